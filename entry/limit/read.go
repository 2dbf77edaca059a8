package limit

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"carawaymux.dev/fleet/shed"
)

// ErrSlow reports that a body did not arrive at the least rate. The request has not run.
var ErrSlow = errors.New("the body did not arrive in time")

// growTimeout limits the wait of a reader for more bytes than it holds, since readers that hold some can wait for each other.
const growTimeout = 500 * time.Millisecond

// expired is a deadline that ends reads at once.
var expired = time.Unix(1, 0)

// ReadBody reads the body of a request, of at most maxBytes. It reserves bytes before it reads them; the reservation ends with
// the request. It ends with ctx, and with [ErrSlow] when the body arrives too slowly. A body above the limit results in a
// [http.MaxBytesError].
func ReadBody(ctx context.Context, w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, error) {
	if r.ContentLength > maxBytes {
		return nil, &http.MaxBytesError{Limit: maxBytes}
	}
	if r.ContentLength == 0 {
		return []byte{}, nil
	}
	size := maxBytes
	if r.ContentLength > 0 {
		size = r.ContentLength
	}
	limited := shed.BodyTime(size)
	if by, ok := ctx.Deadline(); !ok || time.Until(by) > limited {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeoutCause(ctx, limited, ErrSlow)
		defer cancel()
	}
	connection := http.NewResponseController(w)
	stop := context.AfterFunc(ctx, func() {
		// An error means that the connection is closed, which ends the read too.
		_ = connection.SetReadDeadline(expired)
	})
	defer stop()
	c := fromContext(r.Context())
	if c != nil {
		c.begin(shed.Body)
		defer c.begin(shed.Running)
	}
	raw, _, err := readAll(ctx, c, shed.Request, http.MaxBytesReader(w, r.Body, maxBytes), r.ContentLength, maxBytes)
	if err != nil && errors.Is(context.Cause(ctx), ErrSlow) {
		if c != nil {
			c.listener.limiter.refused[Slow].Add(1)
		}
		err = ErrSlow
	}
	if errors.Is(err, ErrSlow) || errors.Is(err, ErrExhausted) {
		// The rest of the body would be taken for the next request, or the read deadline has passed.
		w.Header().Set("Connection", "close")
		return nil, err
	}
	if err == nil && c != nil {
		c.bodyRead.Store(true)
	}
	return raw, err
}

// ReadMessage reads a message of a link, of at most maxBytes. closeLink is called if it arrives too slowly. The caller calls the
// function that is returned once it no longer needs the message.
func ReadMessage(ctx context.Context, r io.Reader, maxBytes int64, closeLink func()) (raw []byte, release func(), err error) {
	c := fromContext(ctx)
	if c == nil {
		raw, err = io.ReadAll(r)
		return raw, func() {}, err
	}
	ctx, cancel := context.WithTimeout(ctx, shed.BodyTime(maxBytes))
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		c.listener.limiter.refused[Slow].Add(1)
		closeLink()
	})
	defer stop()
	use := shed.Frame
	if !c.served.Load() {
		use = shed.FirstFrame
	}
	c.begin(shed.Body)
	raw, held, err := readAll(ctx, c, use, r, -1, maxBytes)
	if err == nil {
		c.served.Store(true)
		c.begin(shed.Link)
	}
	return raw, func() {
		for _, h := range held {
			h.release()
		}
	}, err
}

// BeginLink tells that the connection of a request carries frames from now on.
func BeginLink(ctx context.Context) {
	if c := fromContext(ctx); c != nil {
		c.begin(shed.NewLink)
	}
}

// readAll reads a body whose length is known, or is -1.
func readAll(ctx context.Context, c *Conn, use shed.Use, r io.Reader, length, maxBytes int64) ([]byte, []reservation, error) {
	capacity := int64(shed.FreeBytes)
	if length >= 0 {
		// One more byte lets the reader see the end without growing.
		capacity = length + 1
	}
	var held []reservation
	reserve := func(n int64) error {
		if c == nil {
			return nil
		}
		ctx := ctx
		if len(held) > 0 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, growTimeout)
			defer cancel()
		}
		h, err := c.reserve(ctx, use, n)
		held = append(held, h)
		return err
	}
	if capacity > shed.FreeBytes+1 {
		if err := reserve(capacity); err != nil {
			return nil, held, err
		}
	}
	buffer := make([]byte, 0, capacity)
	for {
		if len(buffer) == cap(buffer) {
			more := min(int64(cap(buffer)), max(maxBytes+1-int64(cap(buffer)), shed.FreeBytes))
			if err := reserve(more); err != nil {
				return nil, held, err
			}
			buffer = append(make([]byte, 0, int64(cap(buffer))+more), buffer...)
		}
		n, err := r.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) {
			return buffer, held, nil
		}
		if err != nil {
			return nil, held, err
		}
	}
}

// Decode calls a function that decodes a message into at most some bytes of memory. It waits while the decoded forms
// of other clients take what they may take together, until ctx is done.
func Decode(ctx context.Context, bytes int64, decode func()) error {
	c := fromContext(ctx)
	if c == nil || bytes <= shed.FreeBytes {
		decode()
		return nil
	}
	l := c.listener.limiter
	free, size := l.decode, l.limits.Decode
	if c.listener.name == shed.Peers {
		free, size = l.decodeLinks, l.limits.DecodeLinks
	}
	ctx, cancel := context.WithTimeout(ctx, shed.StartTime)
	defer cancel()
	n := min(bytes, size)
	if err := free.Acquire(ctx, n); err != nil {
		l.refused[Exhausted].Add(1)
		return ErrExhausted
	}
	defer free.Release(n)
	decode()
	return nil
}

// HoldAnswer counts an answer that is in memory until its client has taken it. It waits a while for bytes, so that clients
// that do not take theirs are closed. The answer is then sent in any case, since the request may have run.
func HoldAnswer(ctx context.Context, bytes int64) {
	c := fromContext(ctx)
	if c == nil || bytes <= shed.FreeBytes {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, headWait)
	defer cancel()
	_, _ = c.reserve(ctx, shed.Request, bytes)
}

// TryHold reserves bytes for a request of a link, until the function that it returns is called, perhaps more than once. It
// does not wait, and returns [ErrExhausted] if there are none.
func TryHold(ctx context.Context, bytes int64) (release func(), err error) {
	c := fromContext(ctx)
	if c == nil || bytes <= 0 {
		return func() {}, nil
	}
	// A link carries the requests of many callers, so each counts by itself.
	r, ok := c.tryReserve(bytes, shed.SharesOf(shed.Forwarded, 0, bytes))
	if !ok {
		c.listener.limiter.refused[Exhausted].Add(1)
		return func() {}, ErrExhausted
	}
	r, err = c.hold(r)
	return sync.OnceFunc(r.release), err
}
