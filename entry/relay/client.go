package relay

import (
	"context"
	"errors"
	"net/url"
	"sync/atomic"
	"time"

	"carawaymux.dev/entry/link"
	"carawaymux.dev/entry/work"
	"carawaymux.dev/fleet/fault"
	"carawaymux.dev/fleet/task"
)

// ErrNotSent reports that a request was not passed on, so it did not run there.
var ErrNotSent = errors.New("relay: the request was not passed on")

// Peer is the entry that a request is passed on to.
type Peer struct {
	Name        string
	Address     string
	Incarnation uint64
}

// Client passes requests on. Use [NewClient] to build it.
type Client struct {
	dialer         *link.Dialer
	maxAnswerBytes int
	task           *task.Task[clientMessage]
	dropped        atomic.Int64
}

// NewClient starts a client; limit bounds answers, in bytes.
func NewClient(dialer *link.Dialer, maxAnswerBytes int) *Client {
	c := &Client{dialer: dialer, maxAnswerBytes: maxAnswerBytes}
	c.task = task.Start(c.run)
	return c
}

// Close closes all links and waits for them.
func (c *Client) Close() { c.task.Close() }

// DroppedAnswers counts answers that came late, twice or for no request.
func (c *Client) DroppedAnswers() int64 { return c.dropped.Load() }

// Do passes a request on and waits for its whole answer. The error is
// [ErrNotSent] when nothing was passed on; otherwise the outcome tells.
func (c *Client) Do(ctx context.Context, to Peer, pool string, r work.Request, body []byte) (work.Answer, error) {
	l, err := task.Call(ctx, c.task, func(reply chan<- *poolLink) clientMessage {
		return clientMessage{key: linkKey{to.Address, pool}, reply: reply}
	})
	if err != nil {
		return work.Answer{}, errors.Join(ErrNotSent, err)
	}
	ex := &exchange{
		requestHeader: newRequestHeader(r, len(body), to.Incarnation, time.Now()),
		requestBody:   body, done: make(chan result, 1)}
	if err := l.task.Send(ctx, linkMessage{begin: ex}); err != nil {
		return work.Answer{}, errors.Join(ErrNotSent, err)
	}
	select {
	case ended := <-ex.done:
		return ended.answer, ended.err
	case <-ctx.Done():
		_ = l.task.Send(context.Background(), linkMessage{abandon: ex})
		return work.Unknown("deadline: it passed while another entry held the request"), nil
	case <-l.task.Done():
		return work.Unknown("the entry is stopping"), nil
	}
}

// linkKey names a link.
type linkKey struct{ address, pool string }

// clientMessage asks for the lane of a key.
type clientMessage struct {
	key   linkKey
	reply chan<- *poolLink
}

func (c *Client) run(ctx context.Context, inbox <-chan clientMessage) {
	links := make(map[linkKey]*poolLink)
	for {
		select {
		case <-ctx.Done():
			for _, l := range links {
				l.task.Close()
			}
			return
		case m := <-inbox:
			if links[m.key] == nil {
				links[m.key] = newPoolLink(c, m.key)
			}
			m.reply <- links[m.key]
		}
	}
}

// poolLink owns the link of one pool to one peer.
type poolLink struct{ task *task.Task[linkMessage] }

// linkMessage is what a lane's task understands; one field is set.
type linkMessage struct {
	begin    *exchange
	abandon  *exchange
	received *frame
}

// exchange is one request on its way.
type exchange struct {
	requestHeader *requestHeader
	requestBody   []byte
	done          chan result
	// The fields below belong to the lane's task.
	stream       uint64
	answerHeader *answerHeader
	answerBody   []byte
}

type result struct {
	answer work.Answer
	err    error
}

// linkState is the state of a lane's task.
type linkState struct {
	client   *Client
	key      linkKey
	poolLink *poolLink
	conn     *link.Conn[frame]
	// open holds the exchanges of the present link by stream.
	exchanges map[uint64]*exchange
	stream    uint64
}

func newPoolLink(c *Client, key linkKey) *poolLink {
	l := &poolLink{}
	ready := make(chan struct{})
	l.task = task.Start(func(ctx context.Context, inbox <-chan linkMessage) {
		<-ready
		s := &linkState{client: c, key: key, poolLink: l, exchanges: make(map[uint64]*exchange)}
		s.run(ctx, inbox)
	}, task.WithInbox(1024))
	close(ready)
	return l
}

func (s *linkState) run(ctx context.Context, inbox <-chan linkMessage) {
	defer s.disconnect("the entry is stopping")
	for {
		var broken <-chan struct{}
		if s.conn != nil {
			broken = s.conn.Broken()
		}
		select {
		case <-ctx.Done():
			return
		case <-broken:
			s.drainInbox(ctx, inbox)
			s.disconnect("the link to " + s.key.address + " broke")
		case m := <-inbox:
			s.handle(ctx, m)
		}
	}
}

// drainInbox handles the frames that came before the link broke.
func (s *linkState) drainInbox(ctx context.Context, inbox <-chan linkMessage) {
	for {
		select {
		case m := <-inbox:
			if m.begin != nil {
				m.begin.done <- result{err: ErrNotSent}
				continue
			}
			s.handle(ctx, m)
		default:
			return
		}
	}
}

func (s *linkState) handle(ctx context.Context, m linkMessage) {
	switch {
	case m.begin != nil:
		s.begin(ctx, m.begin)
	case m.abandon != nil:
		if s.exchanges[m.abandon.stream] == m.abandon {
			delete(s.exchanges, m.abandon.stream)
			s.conn.TrySend(frame{Stream: m.abandon.stream, Cancel: true})
		}
	case m.received != nil:
		s.handleFrame(*m.received)
	}
}

func (s *linkState) begin(ctx context.Context, ex *exchange) {
	if err := s.connect(ctx); err != nil {
		ex.done <- result{err: errors.Join(ErrNotSent, err)}
		return
	}
	s.stream++
	ex.stream = s.stream
	if err := s.conn.Send(ctx, frame{Stream: ex.stream, Ask: ex.requestHeader}); err != nil {
		ex.done <- result{err: errors.Join(ErrNotSent, err)}
		return
	}
	s.exchanges[ex.stream] = ex
	for _, f := range chunks(ex.stream, ex.requestBody) {
		if s.conn.Send(ctx, f) != nil {
			return // The broken link settles the exchange.
		}
	}
}

func (s *linkState) connect(ctx context.Context) error {
	if s.conn != nil {
		return nil
	}
	path := Path + "?" + url.Values{"lane": {s.key.pool}}.Encode()
	conn, err := link.Dial(ctx, s.client.dialer, s.key.address, path, func(f frame) {
		_ = s.poolLink.task.Send(ctx, linkMessage{received: &f})
	})
	if err != nil {
		return err
	}
	s.conn = conn
	return nil
}

// handleFrame takes a frame of an answer.
func (s *linkState) handleFrame(f frame) {
	ex := s.exchanges[f.Stream]
	if ex == nil || f.Answer != nil && f.Answer.ID != ex.requestHeader.ID {
		s.client.dropped.Add(1)
		return
	}
	switch {
	case f.Answer != nil:
		ex.answerHeader = f.Answer
	case ex.answerHeader == nil:
		s.finish(ex, work.Unknown("the peer's answer began without a head"))
	case f.End:
		s.complete(ex)
	default:
		ex.answerBody = append(ex.answerBody, f.Chunk...)
		if len(ex.answerBody) > min(s.client.maxAnswerBytes, ex.answerHeader.Length) {
			s.finish(ex, work.Unknown("the peer's answer is longer than it said, or than the limit"))
		}
	}
}

// complete checks that the answer is whole.
func (s *linkState) complete(ex *exchange) {
	if len(ex.answerBody) != ex.answerHeader.Length {
		err := fault.New("relay", s.key.address, "answer of %d bytes, %d were announced", len(ex.answerBody), ex.answerHeader.Length)
		s.finish(ex, work.Unknown(err.Error()))
		return
	}
	s.finish(ex, ex.answerHeader.workAnswer(ex.answerBody))
}

func (s *linkState) finish(ex *exchange, a work.Answer) {
	delete(s.exchanges, ex.stream)
	ex.done <- result{answer: a}
}

// disconnect gives the link up. What was under way on it may have run.
func (s *linkState) disconnect(why string) {
	if s.conn != nil {
		s.conn.Close()
		s.conn = nil
	}
	for _, ex := range s.exchanges {
		s.finish(ex, work.Unknown(why))
	}
}
