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

// ErrNotSent reports that a request was not sent to the peer, so the peer has not run it.
var ErrNotSent = errors.New("relay: the request was not sent to the other entry")

// Peer is the entry that a request is forwarded to.
type Peer struct {
	Name        string
	Address     string
	Incarnation uint64
}

// Client forwards requests to peers. Use [NewClient] to build it.
type Client struct {
	dialer         *link.Dialer
	maxAnswerBytes int
	task           *task.Task[clientMessage]
	dropped        atomic.Int64
}

// NewClient starts a client. Answers may have at most maxAnswerBytes.
func NewClient(dialer *link.Dialer, maxAnswerBytes int) *Client {
	c := &Client{dialer: dialer, maxAnswerBytes: maxAnswerBytes}
	c.task = task.Start(c.run)
	return c
}

// Close closes all links and waits until they have ended.
func (c *Client) Close() { c.task.Close() }

// DroppedAnswers returns the number of answer frames that arrived late, twice or for no open request.
func (c *Client) DroppedAnswers() int64 { return c.dropped.Load() }

// Do forwards a request and waits for its complete answer. It returns [ErrNotSent] if the peer has
// received nothing of the request. In all other cases the outcome of the answer says whether the
// request has run.
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
		return work.Unknown(work.EndReason(ctx, "while the request was forwarded to another entry")), nil
	case <-l.task.Done():
		return work.Unknown("the entry is stopping"), nil
	}
}

// linkKey identifies a link by peer and pool.
type linkKey struct{ address, pool string }

// clientMessage asks for the link with a key, which is created on first use.
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

// poolLink owns the connection for the requests of one pool to one peer.
type poolLink struct{ task *task.Task[linkMessage] }

// linkMessage is a message to the task of a link. Exactly one field is set.
type linkMessage struct {
	begin    *exchange
	abandon  *exchange
	received *frame
}

// exchange is a forwarded request and the part of its answer that has arrived.
type exchange struct {
	requestHeader *requestHeader
	requestBody   []byte
	done          chan result
	// Only the task of the link uses the fields below.
	stream       uint64
	answerHeader *answerHeader
	answerBody   []byte
}

type result struct {
	answer work.Answer
	err    error
}

// linkState is the state of the task of a link.
type linkState struct {
	client   *Client
	key      linkKey
	poolLink *poolLink
	conn     *link.Conn[frame]
	// exchanges holds the open exchanges of the current connection by stream number.
	// Stream numbers are not reused after a reconnect.
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
			s.disconnect("the connection to " + s.key.address + " was lost before the answer was complete")
		case m := <-inbox:
			s.handle(ctx, m)
		}
	}
}

// drainInbox handles the messages that arrived before the connection was lost. Requests that have
// not been sent fail with [ErrNotSent].
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
	if err := s.conn.Send(ctx, frame{Stream: ex.stream, Request: ex.requestHeader}); err != nil {
		ex.done <- result{err: errors.Join(ErrNotSent, err)}
		return
	}
	s.exchanges[ex.stream] = ex
	for _, f := range chunks(ex.stream, ex.requestBody) {
		if s.conn.Send(ctx, f) != nil {
			return // The loss of the connection ends the exchange.
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

// handleFrame handles a frame of an answer.
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
		s.finish(ex, work.Unknown("the peer sent the body of its answer without a header"))
	case f.End:
		s.complete(ex)
	default:
		ex.answerBody = append(ex.answerBody, f.Chunk...)
		if len(ex.answerBody) > min(s.client.maxAnswerBytes, ex.answerHeader.Length) {
			s.finish(ex, work.Unknown("the peer's answer is longer than announced in its header, or than the limit of this entry"))
		}
	}
}

// complete ends an exchange. Its outcome is unknown if the answer is shorter than announced.
func (s *linkState) complete(ex *exchange) {
	if len(ex.answerBody) != ex.answerHeader.Length {
		err := fault.New("relay", s.key.address, "the answer has %d bytes, but its header announced %d", len(ex.answerBody), ex.answerHeader.Length)
		s.finish(ex, work.Unknown(err.Error()))
		return
	}
	s.finish(ex, ex.answerHeader.workAnswer(ex.answerBody))
}

func (s *linkState) finish(ex *exchange, a work.Answer) {
	delete(s.exchanges, ex.stream)
	ex.done <- result{answer: a}
}

// disconnect closes the connection. The outcome of its open exchanges is unknown, since the peer may
// have run them.
func (s *linkState) disconnect(why string) {
	if s.conn != nil {
		s.conn.Close()
		s.conn = nil
	}
	for _, ex := range s.exchanges {
		s.finish(ex, work.Unknown(why))
	}
}
