package relay

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"carawaymux.dev/entry/limit"
	"carawaymux.dev/entry/link"
	"carawaymux.dev/entry/work"
	"carawaymux.dev/fleet/task"
)

const (
	// maxStreams is the largest number of open requests on one link.
	maxStreams = 2048
	// requestBytes is the memory of a request beside its body.
	requestBytes = 4 << 10
	// sendTimeout bounds the sending of one answer, and of all queued frames at shutdown.
	sendTimeout = 5 * time.Second
)

// Server runs the requests that peers forward.
type Server struct {
	handler      work.Handler
	incarnation  uint64
	maxBodyBytes int
	logger       *slog.Logger
	// logFailure logs that a link could not be accepted.
	logFailure func(peer string, err error)
	// requests is the parent of the contexts of all requests.
	requests context.Context
	// links counts the links, so that Close can wait for their ends.
	links    *task.Task[linkChange]
	stopping chan struct{}
}

// ServerOption changes how a server is built.
type ServerOption func(*Server)

// WithBaseContext sets the parent of the contexts of all requests.
func WithBaseContext(ctx context.Context) ServerOption {
	return func(s *Server) { s.requests = ctx }
}

// NewServer starts a server. Request bodies may have at most maxBodyBytes.
func NewServer(handler work.Handler, incarnation uint64, maxBodyBytes int, logger *slog.Logger, opts ...ServerOption) *Server {
	s := &Server{
		handler: handler, incarnation: incarnation, maxBodyBytes: maxBodyBytes, logger: logger,
		logFailure: link.FailureLog(logger, "link for forwarded requests could not be accepted"),
		requests:   context.Background(), stopping: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(s)
	}
	s.links = task.Start(countLinks)
	return s
}

// Close refuses new requests, waits until all answers have been sent and closes all links. Peers must
// have been told before that the entry takes no new requests. Cancelling the base context ends the
// requests that are still running, and so the wait.
func (s *Server) Close() {
	close(s.stopping)
	_, _ = task.Call(context.Background(), s.links, func(reply chan<- struct{}) linkChange {
		return linkChange{ended: reply}
	})
	s.links.Close()
}

// linkChange is a message to the task that counts links. At most one field is set; if none is, a link
// has ended.
type linkChange struct {
	// opened asks whether a new link may be served.
	opened chan<- bool
	// ended asks for a reply once all links have ended. No new link is served after it.
	ended chan<- struct{}
}

func countLinks(ctx context.Context, inbox <-chan linkChange) {
	links := 0
	var ended chan<- struct{}
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-inbox:
			switch {
			case m.opened != nil && ended == nil:
				links++
				m.opened <- true
			case m.opened != nil:
				m.opened <- false
			case m.ended != nil:
				ended = m.ended
			default:
				links--
			}
			if ended != nil && links == 0 {
				ended <- struct{}{}
				return
			}
		}
	}
}

// ServeHTTP accepts a link from a peer and serves it until it is lost or the server is closed. If the
// link is lost, the requests that are still open on it are cancelled.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	opened, err := task.Call(context.Background(), s.links, func(reply chan<- bool) linkChange {
		return linkChange{opened: reply}
	})
	if err != nil || !opened {
		http.Error(w, work.ErrStopping.Error(), http.StatusServiceUnavailable)
		return
	}
	defer func() { _ = s.links.Send(context.Background(), linkChange{}) }()
	st := &serverState{server: s, connection: r.Context(), requests: make(map[uint64]*incomingRequest), drained: make(chan struct{})}
	ready := make(chan struct{})
	conn, err := link.Accept(w, r, r.RemoteAddr, func(_ *link.Conn[frame], f frame) {
		<-ready
		_ = st.linkTask.Send(r.Context(), serverMessage{received: &f})
	})
	if err != nil {
		s.logFailure(r.RemoteAddr, err)
		return
	}
	defer conn.Close()
	st.conn = conn
	task.StartInto(&st.linkTask, st.run, task.WithInbox(1024))
	close(ready)
	defer st.answers.Wait()
	defer st.linkTask.Close()
	select {
	case <-conn.Broken():
	case <-s.stopping:
		st.drain()
	}
}

// serverMessage is a message to the task of an accepted link. Exactly one field is set.
type serverMessage struct {
	received *frame
	// answered is set when the answer on a stream has been sent.
	answered *answeredStream
	// stop makes the link refuse new requests.
	stop bool
}

// answeredStream names the request that an answer was for. It is nil if the request was refused.
type answeredStream struct {
	stream  uint64
	request *incomingRequest
}

// incomingRequest is a request that a peer forwards.
type incomingRequest struct {
	header *requestHeader
	body   []byte
	cancel context.CancelFunc
	// release releases the bytes that are reserved for the request. It may be called again.
	release func()
}

// serverState is the state of the task of an accepted link.
type serverState struct {
	server *Server
	conn   *link.Conn[frame]
	// connection is the context of the request that opened the link. It holds the connection.
	connection context.Context
	linkTask   *task.Task[serverMessage]
	requests   map[uint64]*incomingRequest
	// stopping is set once new requests are refused. unanswered is the number of answers that have not
	// been sent; drained is closed when there are none and the link is stopping.
	stopping   bool
	unanswered int
	drained    chan struct{}
	// answers counts the goroutines that send answers. Only the task adds to it.
	answers sync.WaitGroup
}

// drain refuses new requests and waits until the answers to the others have been sent.
func (st *serverState) drain() {
	if st.linkTask.Send(context.Background(), serverMessage{stop: true}) != nil {
		return
	}
	select {
	case <-st.conn.Broken():
	case <-st.drained:
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		defer cancel()
		_ = st.conn.Flush(ctx)
	}
}

func (st *serverState) run(ctx context.Context, inbox <-chan serverMessage) {
	for {
		select {
		case <-ctx.Done():
			for _, request := range st.requests {
				if request.cancel != nil {
					request.cancel()
				}
			}
			return
		case m := <-inbox:
			st.handle(m)
		}
	}
}

func (st *serverState) handle(m serverMessage) {
	switch {
	case m.received != nil:
		st.handleFrame(*m.received)
		return
	case m.answered != nil:
		st.unanswered--
		if request := m.answered.request; request != nil && st.requests[m.answered.stream] == request {
			delete(st.requests, m.answered.stream)
		}
	case m.stop:
		st.stopping = true
		for stream, request := range st.requests {
			if request.cancel == nil {
				st.refuse(stream, request.header, work.ErrStopping.Error())
			}
		}
	}
	if st.stopping && st.unanswered == 0 {
		select {
		case <-st.drained:
		default:
			close(st.drained)
		}
	}
}

func (st *serverState) handleFrame(f frame) {
	request := st.requests[f.Stream]
	switch {
	case f.Request != nil:
		st.begin(f)
	case request == nil:
		return // The request has been refused or cancelled.
	case f.Cancel:
		if request.cancel != nil {
			request.cancel()
		} else {
			request.release()
		}
		delete(st.requests, f.Stream)
	case f.End:
		st.execute(f.Stream, request)
	default:
		request.body = append(request.body, f.Chunk...)
		if len(request.body) > request.header.Length {
			st.refuse(f.Stream, request.header, "body: longer than announced in the header of the request")
		}
	}
}

func (st *serverState) begin(f frame) {
	switch {
	case st.stopping:
		st.refuse(f.Stream, f.Request, work.ErrStopping.Error())
	case f.Request.Incarnation != st.server.incarnation:
		st.refuse(f.Stream, f.Request, "the request was sent to another incarnation of the entry")
	case f.Request.Length > st.server.maxBodyBytes:
		st.refuse(f.Stream, f.Request, "body: larger than the limit of the receiving entry")
	case len(st.requests) >= maxStreams:
		st.refuse(f.Stream, f.Request, "too many open requests on one link between entries")
	default:
		release, err := limit.TryHold(st.connection, int64(max(f.Request.Length, 0))+requestBytes)
		if err != nil {
			st.refuse(f.Stream, f.Request, err.Error())
			return
		}
		if old := st.requests[f.Stream]; old != nil && old.cancel == nil {
			old.release()
		}
		st.requests[f.Stream] = &incomingRequest{header: f.Request, release: release}
	}
}

// refuse answers a request that this entry does not run. The outcome of a non-idempotent request is
// unknown, since a copy of it may have run in this or an earlier incarnation. A deduplicated request has
// no other copy, so it has not run; an idempotent one may run again.
func (st *serverState) refuse(stream uint64, h *requestHeader, why string) {
	if request := st.requests[stream]; request != nil {
		request.release()
	}
	delete(st.requests, stream)
	a := work.Unknown(why)
	if h.Idempotent || h.Deduplicated {
		a = work.NotRun(why)
	}
	st.answer(answeredStream{stream: stream}, func() { st.sendAnswer(stream, h.ID, a) })
}

// answer calls a function that sends an answer, and keeps the link open until it has returned.
func (st *serverState) answer(to answeredStream, send func()) {
	st.unanswered++
	st.answers.Go(func() {
		send()
		_ = st.linkTask.Send(context.Background(), serverMessage{answered: &to})
	})
}

// execute runs a request whose body has arrived.
func (st *serverState) execute(stream uint64, request *incomingRequest) {
	if len(request.body) != request.header.Length {
		st.refuse(stream, request.header, "body: shorter than announced in the header of the request")
		return
	}
	r := request.header.workRequest(request.body, time.Now())
	ctx, cancel := context.WithDeadline(st.server.requests, r.Deadline)
	request.cancel, request.body = cancel, nil
	st.answer(answeredStream{stream, request}, func() {
		defer cancel()
		defer request.release()
		st.sendAnswer(stream, r.ID, st.server.handler(ctx, r))
	})
}

// sendAnswer sends an answer: its header, then its body in chunks.
func (st *serverState) sendAnswer(stream uint64, id string, a work.Answer) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	if st.conn.Send(ctx, frame{Stream: stream, Answer: newAnswerHeader(id, a)}) != nil {
		return
	}
	for _, f := range chunks(stream, a.Body) {
		if st.conn.Send(ctx, f) != nil {
			return
		}
	}
}
