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
	dialer  *link.Dialer
	limit   int
	task    *task.Task[clientMessage]
	dropped atomic.Int64
}

// NewClient starts a client; limit bounds answers, in bytes.
func NewClient(dialer *link.Dialer, limit int) *Client {
	c := &Client{dialer: dialer, limit: limit}
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
	l, err := task.Call(ctx, c.task, func(reply chan<- *lane) clientMessage {
		return clientMessage{key: laneKey{to.Address, pool}, reply: reply}
	})
	if err != nil {
		return work.Answer{}, errors.Join(ErrNotSent, err)
	}
	ex := &exchange{ask: newAsk(r, len(body), to.Incarnation, time.Now()), body: body, done: make(chan finished, 1)}
	if err := l.task.Send(ctx, laneMessage{begin: ex}); err != nil {
		return work.Answer{}, errors.Join(ErrNotSent, err)
	}
	select {
	case f := <-ex.done:
		return f.answer, f.err
	case <-ctx.Done():
		_ = l.task.Send(context.Background(), laneMessage{abandon: ex})
		return work.Unknown("deadline: it passed while another entry held the request"), nil
	case <-l.task.Done():
		return work.Unknown("the entry is stopping"), nil
	}
}

// laneKey names a link.
type laneKey struct{ address, pool string }

// clientMessage asks for the lane of a key.
type clientMessage struct {
	key   laneKey
	reply chan<- *lane
}

func (c *Client) run(ctx context.Context, inbox <-chan clientMessage) {
	lanes := make(map[laneKey]*lane)
	for {
		select {
		case <-ctx.Done():
			for _, l := range lanes {
				l.task.Close()
			}
			return
		case m := <-inbox:
			if lanes[m.key] == nil {
				lanes[m.key] = newLane(c, m.key)
			}
			m.reply <- lanes[m.key]
		}
	}
}

// lane owns the link of one pool to one peer.
type lane struct{ task *task.Task[laneMessage] }

// laneMessage is what a lane's task understands; one field is set.
type laneMessage struct {
	begin   *exchange
	abandon *exchange
	got     *frame
}

// exchange is one request on its way.
type exchange struct {
	ask  *ask
	body []byte
	done chan finished
	// The fields below belong to the lane's task.
	stream uint64
	head   *answer
	got    []byte
}

type finished struct {
	answer work.Answer
	err    error
}

// laneState is the state of a lane's task.
type laneState struct {
	c    *Client
	key  laneKey
	self *lane
	conn *link.Conn[frame]
	// open holds the exchanges of the present link by stream.
	open   map[uint64]*exchange
	stream uint64
}

func newLane(c *Client, key laneKey) *lane {
	l := &lane{}
	ready := make(chan struct{})
	l.task = task.Start(func(ctx context.Context, inbox <-chan laneMessage) {
		<-ready
		s := &laneState{c: c, key: key, self: l, open: make(map[uint64]*exchange)}
		s.run(ctx, inbox)
	}, task.WithInbox(1024))
	close(ready)
	return l
}

func (s *laneState) run(ctx context.Context, inbox <-chan laneMessage) {
	defer s.drop("the entry is stopping")
	for {
		var broken <-chan struct{}
		if s.conn != nil {
			broken = s.conn.Broken()
		}
		select {
		case <-ctx.Done():
			return
		case <-broken:
			s.drain(ctx, inbox)
			s.drop("the link to " + s.key.address + " broke")
		case m := <-inbox:
			s.handle(ctx, m)
		}
	}
}

// drain handles the frames that came before the link broke.
func (s *laneState) drain(ctx context.Context, inbox <-chan laneMessage) {
	for {
		select {
		case m := <-inbox:
			if m.begin != nil {
				m.begin.done <- finished{err: ErrNotSent}
				continue
			}
			s.handle(ctx, m)
		default:
			return
		}
	}
}

func (s *laneState) handle(ctx context.Context, m laneMessage) {
	switch {
	case m.begin != nil:
		s.begin(ctx, m.begin)
	case m.abandon != nil:
		if s.open[m.abandon.stream] == m.abandon {
			delete(s.open, m.abandon.stream)
			s.conn.TrySend(frame{Stream: m.abandon.stream, Cancel: true})
		}
	case m.got != nil:
		s.got(*m.got)
	}
}

func (s *laneState) begin(ctx context.Context, ex *exchange) {
	if err := s.connect(ctx); err != nil {
		ex.done <- finished{err: errors.Join(ErrNotSent, err)}
		return
	}
	s.stream++
	ex.stream = s.stream
	if err := s.conn.Send(ctx, frame{Stream: ex.stream, Ask: ex.ask}); err != nil {
		ex.done <- finished{err: errors.Join(ErrNotSent, err)}
		return
	}
	s.open[ex.stream] = ex
	for _, f := range chunks(ex.stream, ex.body) {
		if s.conn.Send(ctx, f) != nil {
			return // The broken link settles the exchange.
		}
	}
}

func (s *laneState) connect(ctx context.Context) error {
	if s.conn != nil {
		return nil
	}
	path := Path + "?" + url.Values{"lane": {s.key.pool}}.Encode()
	conn, err := link.Dial(ctx, s.c.dialer, s.key.address, path, func(f frame) {
		_ = s.self.task.Send(ctx, laneMessage{got: &f})
	})
	if err != nil {
		return err
	}
	s.conn = conn
	return nil
}

// got takes a frame of an answer.
func (s *laneState) got(f frame) {
	ex := s.open[f.Stream]
	if ex == nil || f.Answer != nil && f.Answer.ID != ex.ask.ID {
		s.c.dropped.Add(1)
		return
	}
	switch {
	case f.Answer != nil:
		ex.head = f.Answer
	case ex.head == nil:
		s.finish(ex, work.Unknown("the peer's answer began without a head"))
	case f.End:
		s.end(ex)
	default:
		ex.got = append(ex.got, f.Chunk...)
		if len(ex.got) > min(s.c.limit, ex.head.Length) {
			s.finish(ex, work.Unknown("the peer's answer is longer than it said, or than the limit"))
		}
	}
}

// end checks that the answer is whole.
func (s *laneState) end(ex *exchange) {
	if len(ex.got) != ex.head.Length {
		err := fault.New("relay", s.key.address, "answer of %d bytes, %d were announced", len(ex.got), ex.head.Length)
		s.finish(ex, work.Unknown(err.Error()))
		return
	}
	s.finish(ex, ex.head.result(ex.got))
}

func (s *laneState) finish(ex *exchange, a work.Answer) {
	delete(s.open, ex.stream)
	ex.done <- finished{answer: a}
}

// drop gives the link up. What was under way on it may have run.
func (s *laneState) drop(why string) {
	if s.conn != nil {
		s.conn.Close()
		s.conn = nil
	}
	for _, ex := range s.open {
		s.finish(ex, work.Unknown(why))
	}
}
