// Package limit bounds what the clients of a process hold together: connections, heads, bodies, frames and their decoded
// forms. Readers reserve bytes before they read. When bytes or connections run out, a task closes the connections that
// [shed.Policy] chooses. Nothing is asked of the task unless something runs out, so that requests do not depend on it.
package limit

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"carawaymux.dev/fleet/shed"
	"carawaymux.dev/fleet/task"
)

const (
	// inboxSize is the capacity of the inbox of the task, in messages.
	inboxSize = 1024
	// openTimeout limits the wait of a new connection for the task, before it is refused.
	openTimeout = time.Second
	// retryInterval is the time between two choices of clients while readers wait.
	retryInterval = 100 * time.Millisecond
	// logInterval is the shortest time between two log lines about clients that were shed.
	logInterval = 5 * time.Second
	// crowdedShare is the share of a listener's places above which connections that make no progress are closed.
	crowdedShare = 0.875
)

// Refusal is why a client was refused or its connection was closed.
type Refusal string

// The refusals.
const (
	// Crowded connections were closed for others, Full ones were closed at once since none of the others could be.
	Crowded Refusal = "crowded"
	Full    Refusal = "full"
	// Held connections were closed since they held bytes and made little progress.
	Held Refusal = "held"
	// Exhausted readers found no bytes in time.
	Exhausted Refusal = "exhausted"
	// Slow connections were closed since a body, a frame or a response took too long.
	Slow Refusal = "slow"
	// LargeHead requests were answered 431, since their head is above the limit. With TLS they are not counted.
	LargeHead Refusal = "large-head"
)

var refusals = [...]Refusal{Crowded, Full, Held, Exhausted, Slow, LargeHead}

var errLargeHead = errors.New("the head of the request is too large")

// ErrExhausted reports that other clients hold all bytes that clients may hold. The request has not run.
var ErrExhausted = errors.New("clients hold all the memory that they may hold together")

// share is a part of the bytes that clients may hold.
type share struct {
	size      int64
	free      *semaphore.Weighted
	used      atomic.Int64
	waitingOn atomic.Int64
}

func newShare(size int64) *share { return &share{size: size, free: semaphore.NewWeighted(size)} }

func (s *share) try(n int64) bool {
	if !s.free.TryAcquire(n) {
		return false
	}
	s.used.Add(n)
	return true
}

func (s *share) release(n int64) {
	s.used.Add(-n)
	s.free.Release(n)
}

// Limiter holds the limits of a process.
type Limiter struct {
	limits    shed.Limits
	logger    *slog.Logger
	startedAt time.Time
	shares    [shed.Shares]*share
	// decode limits the decoded forms of callers' messages, decodeLinks those of frames of links.
	decode, decodeLinks *semaphore.Weighted
	refused             map[Refusal]*atomic.Int64
	task                *task.Task[message]
}

// Totals are what clients hold, and those refused so far.
type Totals struct {
	Small       int64                            `json:"small-bytes"`
	Large       int64                            `json:"large-bytes"`
	Frames      int64                            `json:"frame-bytes"`
	Forwarded   int64                            `json:"forwarded-bytes"`
	Connections map[shed.Listener]map[string]int `json:"connections"`
	Refused     map[Refusal]int64                `json:"refused"`
	Limits      map[shed.Listener]int            `json:"connection-limits"`
}

// message is a message to the task. Exactly one field is set.
type message struct {
	opened, closed *Conn
	// pressed tells that a reader waits for bytes.
	pressed bool
	// crowded is a listener that has few places left.
	crowded *listener
	report  chan<- Totals
}

// core is the state of the task.
type core[P shed.Policy] struct {
	limiter *Limiter
	policy  P
	open    map[*Conn]struct{}
	// loggedAt and logged are when refusals were logged last, and how many there were then.
	loggedAt time.Duration
	logged   int64
}

// Start starts the limits of a process.
func Start[P shed.Policy](limits shed.Limits, policy P, logger *slog.Logger) *Limiter {
	l := &Limiter{
		limits: limits, logger: logger, startedAt: time.Now(), refused: map[Refusal]*atomic.Int64{},
		decode: semaphore.NewWeighted(limits.Decode), decodeLinks: semaphore.NewWeighted(limits.DecodeLinks),
	}
	for i := range l.shares {
		l.shares[i] = newShare(limits.Size(shed.Share(i)))
	}
	for _, why := range refusals {
		l.refused[why] = new(atomic.Int64)
	}
	c := &core[P]{limiter: l, policy: policy, open: map[*Conn]struct{}{}, loggedAt: -logInterval}
	task.StartInto(&l.task, c.run, task.WithInbox(inboxSize))
	return l
}

// Limits returns the limits. They must not be modified.
func (l *Limiter) Limits() shed.Limits { return l.limits }

// Close stops the task. Connections stay open.
func (l *Limiter) Close() { l.task.Close() }

// now returns the time since the limiter was started.
func (l *Limiter) now() time.Duration { return time.Since(l.startedAt) }

// Totals returns what clients hold.
func (l *Limiter) Totals(ctx context.Context) (Totals, error) {
	return task.Call(ctx, l.task, func(reply chan<- Totals) message { return message{report: reply} })
}

func (c *core[P]) run(ctx context.Context, inbox <-chan message) {
	retry := time.NewTimer(retryInterval)
	defer retry.Stop()
	// armed is set while the timer runs. Messages must not put it off.
	armed := true
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-inbox:
			c.handle(m)
		case <-retry.C:
			armed = false
			c.shedBytes()
		}
		c.log()
		if armed {
			continue
		}
		if c.limiter.isShort() || c.limiter.refusedCount() > c.logged {
			armed = true
			retry.Reset(retryInterval)
		}
	}
}

func (c *core[P]) handle(m message) {
	switch {
	case m.opened != nil:
		c.open[m.opened] = struct{}{}
	case m.closed != nil:
		delete(c.open, m.closed)
	case m.pressed:
		c.shedBytes()
	case m.crowded != nil:
		c.shedConnections(m.crowded)
	case m.report != nil:
		m.report <- c.totals()
	}
}

// clients returns the open connections as they are now.
func (c *core[P]) clients(accept func(*Conn) bool) ([]*Conn, []shed.Client) {
	now := c.limiter.now()
	var conns []*Conn
	var clients []shed.Client
	for conn := range c.open {
		if conn.isClosed.Load() {
			delete(c.open, conn)
			continue
		}
		if accept(conn) {
			conns, clients = append(conns, conn), append(clients, conn.client(now))
		}
	}
	return conns, clients
}

// isShort reports whether a reader waits for bytes.
func (l *Limiter) isShort() bool {
	return slices.ContainsFunc(l.shares[:], func(s *share) bool { return s.waitingOn.Load() > 0 })
}

// shedBytes closes connections that hold bytes of shares for which readers wait.
func (c *core[P]) shedBytes() {
	for i, s := range c.limiter.shares {
		need := s.waitingOn.Load()
		if need <= 0 {
			continue
		}
		conns, clients := c.clients(func(conn *Conn) bool { return conn.held[i].Load() > 0 })
		for n, conn := range conns {
			clients[n].Held = conn.held[i].Load()
		}
		for _, n := range c.policy.Holders(clients, need) {
			conns[n].shed(Held)
		}
	}
}

// shedConnections closes connections of a listener until it has some places left.
func (c *core[P]) shedConnections(l *listener) {
	l.asked.Store(false)
	excess := int(l.open.Load()) - int(crowdedShare*float64(l.places))
	if excess <= 0 {
		return
	}
	conns, clients := c.clients(func(conn *Conn) bool { return conn.listener == l })
	for excess > 0 {
		i := c.policy.Connection(clients)
		if i < 0 {
			return
		}
		if conns[i].shed(Crowded) {
			excess--
		}
		last := len(clients) - 1
		conns[i], clients[i] = conns[last], clients[last]
		conns, clients = conns[:last], clients[:last]
	}
}

func (l *Limiter) used(s shed.Share) int64 { return l.shares[s].used.Load() }

func (l *Limiter) refusedCount() int64 {
	var sum int64
	for _, n := range l.refused {
		sum += n.Load()
	}
	return sum
}

// log logs refusals since the last log line, in one line for all clients.
func (c *core[P]) log() {
	l := c.limiter
	sum := l.refusedCount()
	now := l.now()
	if sum == c.logged || now-c.loggedAt < logInterval {
		return
	}
	attrs := []any{"since-last", sum - c.logged, "connections", len(c.open), "small-bytes", l.used(shed.SmallShare), "large-bytes", l.used(shed.LargeShare),
		"frame-bytes", l.used(shed.FrameShare), "forwarded-bytes", l.used(shed.ForwardShare)}
	for _, why := range refusals {
		attrs = append(attrs, string(why), l.refused[why].Load())
	}
	l.logger.Warn("clients refused or their connections closed, to stay within the limits on what clients hold", attrs...)
	c.logged, c.loggedAt = sum, now
}

func (c *core[P]) totals() Totals {
	l := c.limiter
	t := Totals{
		Small: l.used(shed.SmallShare), Large: l.used(shed.LargeShare), Frames: l.used(shed.FrameShare), Forwarded: l.used(shed.ForwardShare),
		Connections: map[shed.Listener]map[string]int{}, Refused: map[Refusal]int64{},
		Limits: l.limits.Connections,
	}
	conns, clients := c.clients(func(*Conn) bool { return true })
	for i, conn := range conns {
		name := conn.listener.name
		if t.Connections[name] == nil {
			t.Connections[name] = map[string]int{}
		}
		t.Connections[name][clients[i].Phase.String()]++
	}
	for why, n := range l.refused {
		t.Refused[why] = n.Load()
	}
	return t
}
