// Package peers sends requests about a pool to the entry that owns the pool and returns its answers,
// as CBOR over a WebSocket. It contains the client and the HTTP handler of the owner's side.
package peers

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"carawaymux.dev/entry/limit"
	"carawaymux.dev/entry/link"
	"carawaymux.dev/entry/owner"
	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/caps"
	"carawaymux.dev/fleet/fault"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
	"carawaymux.dev/fleet/task"
)

// Path is the HTTP path at which entries accept links from other entries.
const Path = "/v1/peer"

// Verb is the operation that a request asks for.
type Verb string

// The verbs.
const (
	VerbSubmit    Verb = "submit"
	VerbJobStatus Verb = "look"
	VerbCancel    Verb = "cancel"
	// VerbPending asks for the number of jobs of a queue that have not started.
	VerbPending Verb = "pending"
	// VerbVacate asks for a host to be emptied.
	VerbVacate Verb = "vacate"
	// VerbRelease has hosts take work again that were to be emptied. Earlier releases refuse it.
	VerbRelease Verb = "release"
	// VerbLoad asks for the load of the pool.
	VerbLoad Verb = "load"
	// VerbBudgets gives budgets of tenants to the pool, and asks for their use. Earlier releases refuse it.
	VerbBudgets Verb = "budgets"
)

// Request is a request to the owner of a pool.
type Request struct {
	Pool string `cbor:"1,keyasint"`
	Verb Verb   `cbor:"2,keyasint"`
	// Subject is the ID of a job, or the name of a host for VerbVacate.
	Subject string `cbor:"3,keyasint,omitempty"`
	// Queue is the queue of the job, or for VerbPending the queue whose jobs are counted.
	Queue port.Queue  `cbor:"4,keyasint"`
	Spec  *batch.Spec `cbor:"5,keyasint,omitempty"`
	// Leave says by whom and for what hosts are emptied. Earlier releases send none.
	Leave *shard.LeaveOrder `cbor:"6,keyasint,omitempty"`
	// Hosts are the hosts of VerbRelease.
	Hosts []string `cbor:"7,keyasint,omitempty"`
	// Tenant is the tenant of the caller of a request about a job, and empty if the caller presented no key.
	Tenant string `cbor:"8,keyasint,omitempty"`
	// Budgets are the budgets of VerbBudgets. Scope is that of the tenants for whose use it asks.
	Budgets []caps.Budget `cbor:"20,keyasint,omitempty"`
	Scope   caps.Scope    `cbor:"21,keyasint,omitempty"`
}

// LeaveOrder returns the order of a request to empty a host, which is zero if it has none.
func (r *Request) LeaveOrder() shard.LeaveOrder {
	if r.Leave == nil {
		return shard.LeaveOrder{}
	}
	return *r.Leave
}

// Frame is a message on a link: either a request or an answer.
type Frame struct {
	// ID matches an answer to its request. It is unique on a link.
	ID      uint64        `cbor:"1,keyasint"`
	Request *Request      `cbor:"2,keyasint,omitempty"`
	Answer  *owner.Answer `cbor:"3,keyasint,omitempty"`
}

const (
	// dialTimeout limits the opening of a link.
	dialTimeout = 600 * time.Millisecond
	// redialDelay is the delay after a failed attempt to open a link. Requests fail at once meanwhile.
	redialDelay = 300 * time.Millisecond
	// silenceTimeout is the time without any frame, while a request waits, after which the next
	// request closes the link: a connection can stop delivering data without being closed.
	silenceTimeout = 800 * time.Millisecond
	// exhaustedRetry is the Retry-After of a request that is refused since links hold all that they may hold.
	exhaustedRetry = time.Second
	// runningBytes and stepBytes are the memory of a request that is being answered, and of each of its steps.
	runningBytes, stepBytes = 4 << 10, 256
	// answerTimeout limits the work on a request of a peer.
	answerTimeout = 5 * time.Second
)

// ErrUnsent reports that a request was not sent, so it had no effect.
var ErrUnsent = errors.New("the request was not sent")

// Client sends requests to other entries. Use [NewClient] to build it.
type Client struct {
	dialer *link.Dialer
	logger *slog.Logger
	task   *task.Task[message]
}

type message interface {
	handle(ctx context.Context, c *core)
}

// call asks the task to send a request to the entry at an address.
type call struct {
	address string
	request Request
	reply   chan<- result
}

type result struct {
	answer owner.Answer
	err    error
}

// received carries a frame that arrived on a link.
type received struct {
	link  *peerLink
	frame Frame
}

// dialed reports that the attempt to open a link has ended; conn is nil if it failed.
type dialed struct {
	link *peerLink
	conn *link.Conn[Frame]
	err  error
}

// broken reports that a connection can no longer be used.
type broken struct {
	link *peerLink
	conn *link.Conn[Frame]
}

// peerLink is the link to one entry, with the requests that wait for an answer.
type peerLink struct {
	address string
	conn    *link.Conn[Frame]
	// dialing is set while the link is being opened. retryAt is the earliest time of the next attempt.
	dialing bool
	retryAt time.Time
	lastID  uint64
	waiting map[uint64]call
	// unansweredSince is when the first request was sent after the last received frame; zero if none
	// has been sent.
	unansweredSince time.Time
}

// core is the state of the client's task.
type core struct {
	client *Client
	links  map[string]*peerLink
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
	k := &core{client: c, links: map[string]*peerLink{}}
	c.task = task.Start(k.run, task.WithInbox(inboxSize))
	return c
}

// inboxSize is the capacity of the inbox of the client's task.
const inboxSize = 1024

// Ask sends a request to the entry at an address and waits for the answer. After an error other than
// [ErrUnsent], the request may have taken effect.
func (c *Client) Ask(ctx context.Context, address string, request Request) (owner.Answer, error) {
	r, err := task.Call(ctx, c.task, func(reply chan<- result) message { return call{address, request, reply} })
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
			for _, l := range k.links {
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
	l := k.links[m.address]
	if l == nil {
		l = &peerLink{address: m.address, waiting: map[uint64]call{}}
		k.links[m.address] = l
	}
	if l.conn != nil && !l.unansweredSince.IsZero() && time.Since(l.unansweredSince) > silenceTimeout {
		k.client.logger.Warn("no frame from peer while requests wait; closing the link",
			"peer", l.address, "waiting", len(l.waiting))
		l.drop()
	}
	if l.conn == nil && !l.dialing {
		if time.Now().Before(l.retryAt) {
			m.reply <- result{err: fault.At("dial", m.address, ErrUnsent)}
			return
		}
		l.dialing = true
		go k.dial(ctx, l)
	}
	l.lastID++
	l.waiting[l.lastID] = m
	if l.conn != nil {
		k.send(l, l.lastID, m)
	}
}

func (k *core) send(l *peerLink, id uint64, m call) {
	if l.unansweredSince.IsZero() {
		l.unansweredSince = time.Now()
	}
	if !l.conn.TrySend(Frame{ID: id, Request: &m.request}) {
		delete(l.waiting, id)
		m.reply <- result{err: fault.At("send", l.address, ErrUnsent)}
	}
}

// dial opens a link and reports when it breaks. It runs in its own goroutine, so the task can serve
// other links meanwhile.
func (k *core) dial(ctx context.Context, l *peerLink) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := link.Dial(dialCtx, k.client.dialer, l.address, Path, func(f Frame) {
		k.post(ctx, received{l, f})
	})
	k.post(ctx, dialed{l, conn, err})
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
		k.client.logger.Debug("message dropped: the client's task has stopped", "err", err)
	}
}

func (m dialed) handle(_ context.Context, k *core) {
	l := m.link
	l.dialing = false
	if m.err != nil {
		k.client.logger.Warn("link to peer could not be opened; requests fail until the next attempt",
			"peer", l.address, "err", m.err)
		l.retryAt = time.Now().Add(redialDelay)
		l.failAll(fault.At("dial", l.address, ErrUnsent))
		return
	}
	l.conn = m.conn
	for id, c := range l.waiting {
		k.send(l, id, c)
	}
}

func (m broken) handle(_ context.Context, k *core) {
	if m.link.conn == m.conn {
		m.link.drop()
	}
}

// drop closes the link. Waiting requests fail; their callers may retry.
func (l *peerLink) drop() {
	if l.conn != nil {
		go l.conn.Close()
		l.conn = nil
	}
	l.unansweredSince = time.Time{}
	l.failAll(fault.New("link", l.address, "the link broke before the answer arrived"))
}

func (l *peerLink) failAll(err error) {
	for id, c := range l.waiting {
		c.reply <- result{err: err}
		delete(l.waiting, id)
	}
}

func (m received) handle(_ context.Context, _ *core) {
	m.link.unansweredSince = time.Time{}
	c, ok := m.link.waiting[m.frame.ID]
	if !ok || m.frame.Answer == nil {
		return
	}
	delete(m.link.waiting, m.frame.ID)
	c.reply <- result{answer: *m.frame.Answer}
}

// requestBytes returns the memory that a request takes until it is answered.
func requestBytes(r *Request) int64 {
	n := runningBytes
	if r.Spec != nil {
		n += len(r.Spec.Text) + stepBytes*len(r.Spec.Steps)
	}
	return int64(n)
}

// Handler accepts links from other entries and answers their requests with the function answer.
func Handler(logger *slog.Logger, answer func(context.Context, Request) owner.Answer) http.Handler {
	logFailure := link.FailureLog(logger, "link from peer could not be accepted")
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		conn, err := link.Accept(w, r, r.RemoteAddr, func(c *link.Conn[Frame], f Frame) {
			if f.Request == nil {
				return
			}
			release, err := limit.TryHold(r.Context(), requestBytes(f.Request))
			if err != nil {
				a := owner.Answer{Outcome: owner.Refused, Reason: err.Error(), RetryAfter: exhaustedRetry}
				if err := c.Send(ctx, Frame{ID: f.ID, Answer: &a}); err != nil {
					logger.Debug("refusal to peer could not be sent", "peer", r.RemoteAddr, "err", err)
				}
				return
			}
			go func() {
				defer release()
				ctx, cancel := context.WithTimeout(ctx, answerTimeout)
				defer cancel()
				a := answer(ctx, *f.Request)
				if err := c.Send(ctx, Frame{ID: f.ID, Answer: &a}); err != nil {
					logger.Debug("answer to peer could not be sent", "peer", r.RemoteAddr, "err", err)
				}
			}()
		})
		if err != nil {
			logFailure(r.RemoteAddr, err)
			return
		}
		<-conn.Broken()
		conn.Close()
	})
}
