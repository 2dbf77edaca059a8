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
	// maxStreams is the largest number of open requests on one link.
	maxStreams = 2048
	// sendTimeout bounds the sending of one answer, and of all queued frames at shutdown.
	sendTimeout = 5 * time.Second
)

// Server runs the requests that peers forward.
type Server struct {
	handler      work.Handler
	incarnation  uint64
	maxBodyBytes int
	logger       *slog.Logger
	// unanswered counts the running requests whose answers have not been sent.
	unanswered sync.WaitGroup
	stop       chan struct{}
}

// NewServer builds a server. Request bodies may have at most maxBodyBytes.
func NewServer(handler work.Handler, incarnation uint64, maxBodyBytes int, logger *slog.Logger) *Server {
	return &Server{handler: handler, incarnation: incarnation, maxBodyBytes: maxBodyBytes, logger: logger, stop: make(chan struct{})}
}

// Close waits until all answers have been sent and then closes all links. Peers must have been told
// before that the entry takes no new requests.
func (s *Server) Close() {
	s.unanswered.Wait()
	close(s.stop)
}

// ServeHTTP accepts a link from a peer and serves it until it is lost or the server is closed. Then it
// cancels the requests that are still open on the link.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var linkTask *task.Task[serverMessage]
	ready := make(chan struct{})
	conn, err := link.Accept(w, r, r.RemoteAddr, func(_ *link.Conn[frame], f frame) {
		<-ready
		_ = linkTask.Send(r.Context(), serverMessage{received: &f})
	})
	if err != nil {
		s.logger.Warn("link for forwarded requests could not be accepted", "error", err)
		return
	}
	defer conn.Close()
	linkTask = task.Start(func(ctx context.Context, inbox <-chan serverMessage) {
		<-ready
		st := &serverState{server: s, conn: conn, linkTask: linkTask, requests: make(map[uint64]*incomingRequest)}
		st.run(ctx, inbox)
	}, task.WithInbox(1024))
	close(ready)
	defer linkTask.Close()
	select {
	case <-conn.Broken():
	case <-s.stop:
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		defer cancel()
		_ = conn.Flush(ctx)
	}
}

// serverMessage is a message to the task of an accepted link. Exactly one field is set.
type serverMessage struct {
	received *frame
	// doneStream is the stream number of a request whose answer has been sent.
	doneStream uint64
}

// incomingRequest is a request that a peer forwards.
type incomingRequest struct {
	header *requestHeader
	body   []byte
	cancel context.CancelFunc
}

// serverState is the state of the task of an accepted link.
type serverState struct {
	server   *Server
	conn     *link.Conn[frame]
	linkTask *task.Task[serverMessage]
	requests map[uint64]*incomingRequest
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
			if m.received == nil {
				delete(st.requests, m.doneStream)
				continue
			}
			st.handleFrame(*m.received)
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
	case f.Request.Incarnation != st.server.incarnation:
		st.refuse(f.Stream, f.Request, "the request was sent to another incarnation of the entry")
	case f.Request.Length > st.server.maxBodyBytes:
		st.refuse(f.Stream, f.Request, "body: larger than the limit of the receiving entry")
	case len(st.requests) >= maxStreams:
		st.refuse(f.Stream, f.Request, "too many open requests on one link between entries")
	default:
		st.requests[f.Stream] = &incomingRequest{header: f.Request}
	}
}

// refuse answers a request that this entry does not run. The outcome of a non-idempotent request is
// unknown, since a copy of it may have run in this or an earlier incarnation. A deduplicated request has
// no other copy, so it has not run; an idempotent one may run again.
func (st *serverState) refuse(stream uint64, h *requestHeader, why string) {
	delete(st.requests, stream)
	a := work.Unknown(why)
	if h.Idempotent || h.Deduplicated {
		a = work.NotRun(why)
	}
	go st.sendAnswer(stream, h.ID, a)
}

// execute runs a request whose body has arrived.
func (st *serverState) execute(stream uint64, request *incomingRequest) {
	if len(request.body) != request.header.Length {
		st.refuse(stream, request.header, "body: shorter than announced in the header of the request")
		return
	}
	r := request.header.workRequest(request.body, time.Now())
	ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
	request.cancel, request.body = cancel, nil
	st.server.unanswered.Add(1)
	go func() {
		defer st.server.unanswered.Done()
		defer cancel()
		st.sendAnswer(stream, r.ID, st.server.handler(ctx, r))
		_ = st.linkTask.Send(context.Background(), serverMessage{doneStream: stream})
	}()
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
