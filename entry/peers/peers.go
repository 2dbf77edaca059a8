// Package peers carries questions about pools from one entry to the entry that owns
// the pool, as CBOR over a WebSocket.
package peers

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"carawaymux.dev/entry/link"
	"carawaymux.dev/entry/owner"
	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/fault"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/task"
)

// Path is where entries accept links of other entries.
const Path = "/v1/peer"

// Verb is what is asked.
type Verb string

// The verbs.
const (
	VerbSubmit    Verb = "submit"
	VerbJobStatus Verb = "look"
	VerbCancel    Verb = "cancel"
	VerbPending   Verb = "pending"
	VerbVacate    Verb = "vacate"
	VerbLoad      Verb = "load"
)

// Request is a question to the owner of a pool.
type Request struct {
	Pool string `cbor:"1,keyasint"`
	Verb Verb   `cbor:"2,keyasint"`
	// Subject is a job's ID, or a host's for VerbVacate.
	Subject string      `cbor:"3,keyasint,omitempty"`
	Queue   port.Queue  `cbor:"4,keyasint"`
	Spec    *batch.Spec `cbor:"5,keyasint,omitempty"`
}

// Frame is what goes over a link: a question or an answer.
type Frame struct {
	// ID matches an answer to its question; it is unique on a link.
	ID      uint64        `cbor:"1,keyasint"`
	Request *Request      `cbor:"2,keyasint,omitempty"`
	Answer  *owner.Answer `cbor:"3,keyasint,omitempty"`
}

const (
	// dialTimeout bounds the opening of a link.
	dialTimeout = 600 * time.Millisecond
	// redialAfter is the pause after a link could not be opened.
	redialAfter = 300 * time.Millisecond
	// silentAfter is how long a link may bring nothing while a question waits; then
	// it is taken for dead, since a link can go silent without breaking.
	silentAfter = 800 * time.Millisecond
	// answerTimeout bounds the work on a question of a peer.
	answerTimeout = 5 * time.Second
)

// ErrUnsent says that a question was not sent, so that nobody can have acted on it.
var ErrUnsent = errors.New("the question was not sent")

// Client asks other entries.
type Client struct {
	dialer *link.Dialer
	logger *slog.Logger
	task   *task.Task[message]
}

type message interface {
	handle(ctx context.Context, c *core)
}

type call struct {
	address string
	ask     Request
	reply   chan<- result
}

type result struct {
	answer owner.Answer
	err    error
}

// frameFrom is an answer that came over a link.
type frameFrom struct {
	lane  *lane
	frame Frame
}

type opened struct {
	lane *lane
	conn *link.Conn[Frame]
	err  error
}

type broken struct {
	lane *lane
	conn *link.Conn[Frame]
}

// lane is a link to one entry, with the questions that wait on it.
type lane struct {
	address string
	conn    *link.Conn[Frame]
	// opening says that the link is being opened; retry is the earliest next try.
	opening bool
	retry   time.Time
	next    uint64
	waiting map[uint64]call
	// asked is when the first question was sent since a frame last came; zero when
	// none was.
	asked time.Time
}

// core is the state of the client's task.
type core struct {
	client *Client
	lanes  map[string]*lane
}

// NewClient starts a client.
func NewClient(logger *slog.Logger) *Client {
	c := &Client{
		dialer: &link.Dialer{
			Client: &http.Client{Transport: &http.Transport{}}, Scheme: "ws",
			Token: func() string { return "" },
		},
		logger: logger,
	}
	k := &core{client: c, lanes: map[string]*lane{}}
	c.task = task.Start(k.run, task.WithInbox(clientInbox))
	return c
}

// clientInbox is the number of messages that wait for the client's task.
const clientInbox = 1024

// Ask asks the entry at an address. After an error the question may have been
// answered all the same.
func (c *Client) Ask(ctx context.Context, address string, a Request) (owner.Answer, error) {
	r, err := task.Call(ctx, c.task, func(reply chan<- result) message { return call{address, a, reply} })
	if err != nil {
		return owner.Answer{}, fault.At("ask", address, err)
	}
	return r.answer, fault.At("ask", address, r.err)
}

// Close closes all links.
func (c *Client) Close() { c.task.Close() }

func (k *core) run(ctx context.Context, inbox <-chan message) {
	for {
		select {
		case <-ctx.Done():
			for _, l := range k.lanes {
				if l.conn != nil {
					l.conn.Close()
				}
			}
			return
		case m := <-inbox:
			m.handle(ctx, k)
		}
	}
}

func (m call) handle(ctx context.Context, k *core) {
	l := k.lanes[m.address]
	if l == nil {
		l = &lane{address: m.address, waiting: map[uint64]call{}}
		k.lanes[m.address] = l
	}
	if l.conn != nil && !l.asked.IsZero() && time.Since(l.asked) > silentAfter {
		k.client.logger.Warn("peer silent", "peer", l.address, "waiting", len(l.waiting))
		l.drop()
	}
	if l.conn == nil && !l.opening {
		if time.Now().Before(l.retry) {
			m.reply <- result{err: fault.At("dial", m.address, ErrUnsent)}
			return
		}
		l.opening = true
		go k.open(ctx, l)
	}
	l.next++
	l.waiting[l.next] = m
	if l.conn != nil {
		k.send(l, l.next, m)
	}
}

func (k *core) send(l *lane, id uint64, m call) {
	if l.asked.IsZero() {
		l.asked = time.Now()
	}
	if !l.conn.TrySend(Frame{ID: id, Request: &m.ask}) {
		delete(l.waiting, id)
		m.reply <- result{err: fault.At("send", l.address, ErrUnsent)}
	}
}

// open opens a link beside the task, which goes on with other links.
func (k *core) open(ctx context.Context, l *lane) {
	dial, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := link.Dial(dial, k.client.dialer, l.address, Path, func(f Frame) {
		k.post(ctx, frameFrom{l, f})
	})
	k.post(ctx, opened{l, conn, err})
	if err != nil {
		return
	}
	select {
	case <-conn.Broken():
		k.post(ctx, broken{l, conn})
	case <-ctx.Done():
	}
}

func (k *core) post(ctx context.Context, m message) {
	if err := k.client.task.Send(ctx, m); err != nil && ctx.Err() == nil {
		k.client.logger.Debug("message after the end", "err", err)
	}
}

func (m opened) handle(_ context.Context, k *core) {
	l := m.lane
	l.opening = false
	if m.err != nil {
		k.client.logger.Warn("peer not reached", "peer", l.address, "err", m.err)
		l.retry = time.Now().Add(redialAfter)
		l.failAll(fault.At("dial", l.address, ErrUnsent))
		return
	}
	l.conn = m.conn
	for id, c := range l.waiting {
		k.send(l, id, c)
	}
}

func (m broken) handle(_ context.Context, k *core) {
	if m.lane.conn == m.conn {
		m.lane.drop()
	}
}

// drop gives the link up; those who wait may ask again.
func (l *lane) drop() {
	if l.conn != nil {
		go l.conn.Close()
		l.conn = nil
	}
	l.asked = time.Time{}
	l.failAll(fault.New("link", l.address, "the link broke"))
}

func (l *lane) failAll(err error) {
	for id, c := range l.waiting {
		c.reply <- result{err: err}
		delete(l.waiting, id)
	}
}

func (m frameFrom) handle(_ context.Context, _ *core) {
	m.lane.asked = time.Time{}
	c, ok := m.lane.waiting[m.frame.ID]
	if !ok || m.frame.Answer == nil {
		return
	}
	delete(m.lane.waiting, m.frame.ID)
	c.reply <- result{answer: *m.frame.Answer}
}

// Handler accepts links of other entries and answers their questions.
func Handler(logger *slog.Logger, answer func(context.Context, Request) owner.Answer) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		conn, err := link.Accept(w, r, r.RemoteAddr, func(c *link.Conn[Frame], f Frame) {
			if f.Request == nil {
				return
			}
			go func() {
				ctx, cancel := context.WithTimeout(ctx, answerTimeout)
				defer cancel()
				a := answer(ctx, *f.Request)
				if err := c.Send(ctx, Frame{ID: f.ID, Answer: &a}); err != nil {
					logger.Debug("answer not sent", "peer", r.RemoteAddr, "err", err)
				}
			}()
		})
		if err != nil {
			logger.Warn("peer not accepted", "peer", r.RemoteAddr, "err", err)
			return
		}
		<-conn.Broken()
		conn.Close()
	})
}
