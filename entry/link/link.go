// Package link sends typed frames, encoded as CBOR, between two entries over a WebSocket. Each link
// has two tasks that own its socket: one reads, one writes.
package link

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/coder/websocket"

	"carawaymux.dev/entry/limit"
	"carawaymux.dev/entry/sink"
	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/fault"
	"carawaymux.dev/fleet/task"
)

const (
	// MaxFrameBytes is the largest size of an encoded frame.
	MaxFrameBytes = 8 << 20
	// decodedFactor is the memory that a decoded frame takes for each byte: a list of empty steps has one byte for each,
	// which decodes into a few hundred. Most frames hold text.
	decodedFactor = 32
	// writeTimeout bounds the writing of one frame.
	writeTimeout = 5 * time.Second
	// dialTimeout bounds the opening of a link.
	dialTimeout = 2 * time.Second
	// maxFailures is the number of log lines in a second about links that could not be accepted.
	maxFailures = 5
	// outboxFrames is the largest number of frames waiting to be written.
	outboxFrames = 256
)

// Conn is a link whose frames are of type F.
type Conn[F any] struct {
	peer   string
	ws     *websocket.Conn
	writer *task.Task[outgoing[F]]
	reader *task.Task[struct{}]
	// broken is cancelled when the link can no longer be used. Its cause is the error.
	broken context.Context
	fail   context.CancelCauseFunc
}

// outgoing is a frame to be written, or a request to confirm that all frames before it have been
// written.
type outgoing[F any] struct {
	frame   F
	flushed chan<- struct{}
}

// Dialer opens links to peers.
type Dialer struct {
	// Client sends the HTTP request that opens the link. It holds the TLS settings.
	Client *http.Client
	// Scheme is ws or wss.
	Scheme string
	// Token returns the key that authenticates this entry, or an empty string for none.
	// It is called each time a link is opened, so that keys can be changed.
	Token func() string
}

// Dial opens a link to a peer's address and path. It calls onFrame with each received frame, one at a
// time.
func Dial[F any](ctx context.Context, d *Dialer, address, path string, onFrame func(F)) (*Conn[F], error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	opts := &websocket.DialOptions{HTTPClient: d.Client, HTTPHeader: http.Header{}}
	if token := d.Token(); token != "" {
		opts.HTTPHeader.Set("Authorization", "Bearer "+token)
	}
	ws, _, err := websocket.Dial(ctx, d.Scheme+"://"+address+path, opts)
	if err != nil {
		return nil, fault.At("dial", address, err)
	}
	return start(context.Background(), ws, address, onFrame), nil
}

// Accept accepts a link from the HTTP request of a peer.
func Accept[F any](w http.ResponseWriter, r *http.Request, peer string, onFrame func(*Conn[F], F)) (*Conn[F], error) {
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return nil, fault.At("accept", peer, err)
	}
	ready := make(chan struct{})
	var c *Conn[F]
	limit.BeginLink(r.Context())
	c = start(r.Context(), ws, peer, func(f F) {
		<-ready
		onFrame(c, f)
	})
	close(ready)
	return c, nil
}

// FailureLog returns a function that logs that links from peers could not be accepted, in a limited number of lines, since
// whoever reaches the listener can cause them.
func FailureLog(logger *slog.Logger, message string) func(peer string, err error) {
	quota := sink.NewQuota(maxFailures)
	return func(peer string, err error) {
		if skipped, ok := quota.Take(time.Now()); ok {
			logger.Warn(message, "peer", peer, "err", err, "skipped", skipped)
		}
	}
}

// start starts the tasks of a link. The frames that it receives are limited as those of the connection of a request.
func start[F any](request context.Context, ws *websocket.Conn, peer string, onFrame func(F)) *Conn[F] {
	ws.SetReadLimit(MaxFrameBytes)
	c := &Conn[F]{peer: peer, ws: ws}
	c.broken, c.fail = context.WithCancelCause(context.Background())
	c.writer = task.Start(c.write, task.WithInbox(outboxFrames))
	c.reader = task.Start(func(ctx context.Context, _ <-chan struct{}) { c.read(limit.OnConnOf(ctx, request), onFrame) })
	return c
}

// Send queues a frame and waits while the outbox is full. It returns an error if the link is broken.
func (c *Conn[F]) Send(ctx context.Context, f F) error {
	if c.broken.Err() != nil {
		return fault.At("send", c.peer, context.Cause(c.broken))
	}
	return fault.At("send", c.peer, c.writer.Send(ctx, outgoing[F]{frame: f}))
}

// Flush waits until all frames queued before the call have been written.
func (c *Conn[F]) Flush(ctx context.Context) error {
	_, err := task.Call(ctx, c.writer, func(reply chan<- struct{}) outgoing[F] {
		return outgoing[F]{flushed: reply}
	})
	return fault.At("flush", c.peer, err)
}

// TrySend queues a frame unless the outbox is full or the link is broken. It reports whether it did.
func (c *Conn[F]) TrySend(f F) bool {
	return c.broken.Err() == nil && c.writer.TrySend(outgoing[F]{frame: f})
}

// Broken returns a channel that is closed when the link can no longer be used.
func (c *Conn[F]) Broken() <-chan struct{} { return c.broken.Done() }

// Close closes the link and waits until its tasks have ended.
func (c *Conn[F]) Close() {
	c.fail(task.ErrClosed)
	c.writer.Close()
	c.ws.CloseNow()
	c.reader.Close()
}

func (c *Conn[F]) write(ctx context.Context, inbox <-chan outgoing[F]) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.broken.Done():
			return
		case out := <-inbox:
			if out.flushed != nil {
				out.flushed <- struct{}{}
				continue
			}
			if err := c.writeFrame(ctx, out.frame); err != nil {
				c.fail(err)
				c.ws.CloseNow()
				return
			}
		}
	}
}

func (c *Conn[F]) writeFrame(ctx context.Context, f F) error {
	raw, err := codec.EncodeFrame(f)
	if err != nil {
		return err
	}
	if len(raw) > MaxFrameBytes {
		return fault.New("write", c.peer, "the frame has %d bytes, the limit is %d bytes", len(raw), MaxFrameBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return c.ws.Write(ctx, websocket.MessageBinary, raw)
}

func (c *Conn[F]) read(ctx context.Context, onFrame func(F)) {
	for {
		if err := c.readFrame(ctx, onFrame); err != nil {
			c.fail(err)
			c.ws.CloseNow()
			return
		}
	}
}

// readFrame reads a frame and calls onFrame with it.
func (c *Conn[F]) readFrame(ctx context.Context, onFrame func(F)) error {
	_, message, err := c.ws.Reader(ctx)
	if err != nil {
		return err
	}
	raw, release, err := limit.ReadMessage(ctx, message, MaxFrameBytes, func() { c.ws.CloseNow() })
	defer release()
	if err != nil {
		return fault.At("read", c.peer, err)
	}
	var f F
	if err := limit.Decode(ctx, decodedFactor*int64(len(raw)), func() { f, err = codec.DecodeFrame[F](raw) }); err != nil {
		return fault.At("decode", c.peer, err)
	}
	if err != nil {
		return fault.At("read", c.peer, err)
	}
	onFrame(f)
	return nil
}
