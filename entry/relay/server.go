package relay

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"carawaymux.dev/entry/link"
	"carawaymux.dev/entry/work"
	"carawaymux.dev/fleet/task"
)

const (
	// maxStreams is the largest number of requests under way on one link.
	maxStreams = 2048
	// sendTimeout bounds the wait for room on the link for one frame.
	sendTimeout = 5 * time.Second
)

// Server takes requests that peers pass on.
type Server struct {
	handle      work.Handler
	incarnation uint64
	limit       int
	logger      *slog.Logger
	// busy counts requests whose answers have not been sent.
	busy sync.WaitGroup
	stop chan struct{}
}

// NewServer builds a server; limit bounds bodies, in bytes.
func NewServer(handle work.Handler, incarnation uint64, limit int, logger *slog.Logger) *Server {
	return &Server{handle: handle, incarnation: incarnation, limit: limit, logger: logger, stop: make(chan struct{})}
}

// Close waits until all answers have been sent, then ends all links. Peers must have
// been told before that the entry takes no new work.
func (s *Server) Close() {
	s.busy.Wait()
	close(s.stop)
}

// ServeHTTP accepts a link. It returns when the link has ended and all requests
// that came over it are settled.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var core *task.Task[serverMessage]
	ready := make(chan struct{})
	conn, err := link.Accept(w, r, r.RemoteAddr, func(_ *link.Conn[frame], f frame) {
		<-ready
		_ = core.Send(r.Context(), serverMessage{got: &f})
	})
	if err != nil {
		s.logger.Warn("relay link refused", "error", err)
		return
	}
	defer conn.Close()
	core = task.Start(func(ctx context.Context, inbox <-chan serverMessage) {
		st := &serverState{s: s, conn: conn, core: core, open: make(map[uint64]*incoming)}
		<-ready
		st.core = core
		st.run(ctx, inbox)
	}, task.WithInbox(1024))
	close(ready)
	defer core.Close()
	select {
	case <-conn.Broken():
	case <-s.stop:
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		defer cancel()
		_ = conn.Flush(ctx)
	}
}

// serverMessage is what the task of an accepted link understands; one field is set.
type serverMessage struct {
	got *frame
	// ended is the stream of a request whose answer has been sent.
	ended uint64
}

// incoming is a request that a peer passes on.
type incoming struct {
	ask    *ask
	body   []byte
	cancel context.CancelFunc
}

// serverState is the state of the task of an accepted link.
type serverState struct {
	s    *Server
	conn *link.Conn[frame]
	core *task.Task[serverMessage]
	open map[uint64]*incoming
}

func (st *serverState) run(ctx context.Context, inbox <-chan serverMessage) {
	for {
		select {
		case <-ctx.Done():
			for _, in := range st.open {
				if in.cancel != nil {
					in.cancel()
				}
			}
			return
		case m := <-inbox:
			if m.got == nil {
				delete(st.open, m.ended)
				continue
			}
			st.got(*m.got)
		}
	}
}

func (st *serverState) got(f frame) {
	in := st.open[f.Stream]
	switch {
	case f.Ask != nil:
		st.begin(f)
	case in == nil:
		return // The request was refused or cancelled before.
	case f.Cancel:
		if in.cancel != nil {
			in.cancel()
		}
		delete(st.open, f.Stream)
	case f.End:
		st.start(f.Stream, in)
	default:
		in.body = append(in.body, f.Chunk...)
		if len(in.body) > in.ask.Length {
			st.refuse(f.Stream, in.ask.ID, "body: longer than announced")
		}
	}
}

func (st *serverState) begin(f frame) {
	switch {
	case f.Ask.Incarnation != st.s.incarnation:
		st.refuseReplaced(f)
	case f.Ask.Length > st.s.limit:
		st.refuse(f.Stream, f.Ask.ID, "body: larger than the limit")
	case len(st.open) >= maxStreams:
		st.refuse(f.Stream, f.Ask.ID, "too many requests on one link")
	default:
		st.open[f.Stream] = &incoming{ask: f.Ask}
	}
}

// refuseReplaced refuses a request that was meant for an earlier incarnation. An
// earlier copy of a non-idempotent request may have run there, unless its owner has
// sent it and so knows that this is the only copy.
func (st *serverState) refuseReplaced(f frame) {
	const why = "the entry has been replaced"
	if f.Ask.Idempotent || f.Ask.Owned {
		st.refuse(f.Stream, f.Ask.ID, why)
		return
	}
	go st.send(f.Stream, f.Ask.ID, work.Unknown(why))
}

func (st *serverState) refuse(stream uint64, id, why string) {
	delete(st.open, stream)
	go st.send(stream, id, work.NotRun(why))
}

// start runs a request whose body is there.
func (st *serverState) start(stream uint64, in *incoming) {
	if len(in.body) != in.ask.Length {
		st.refuse(stream, in.ask.ID, "body: cut short")
		return
	}
	r := in.ask.request(in.body, time.Now())
	ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
	in.cancel, in.body = cancel, nil
	st.s.busy.Add(1)
	go func() {
		defer st.s.busy.Done()
		defer cancel()
		st.send(stream, r.ID, st.s.handle(ctx, r))
		_ = st.core.Send(context.Background(), serverMessage{ended: stream})
	}()
}

// send writes an answer in chunks.
func (st *serverState) send(stream uint64, id string, a work.Answer) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	if st.conn.Send(ctx, frame{Stream: stream, Answer: newAnswer(id, a)}) != nil {
		return
	}
	for _, f := range chunks(stream, a.Body) {
		if st.conn.Send(ctx, f) != nil {
			return
		}
	}
}
