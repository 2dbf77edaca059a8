// Package socket holds the connections of callers to an entry. When the entry stops, it ends them without
// cutting off a request: a connection is closed once a request on it is answered, or while nothing of a
// request has arrived. [http.Server.Shutdown] closes connections without a look at what has arrived.
package socket

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"carawaymux.dev/fleet/task"
)

const (
	// backlogWait is how long an accept waits that looks for a connection in the backlog.
	backlogWait = 5 * time.Millisecond
	// backlogTime limits the time to accept the backlog, to which callers may keep adding.
	backlogTime = 500 * time.Millisecond
	// inboxSize is the capacity of the inbox of the task, in messages.
	inboxSize = 512
)

// expired is a deadline that wakes reads and accepts at once.
var expired = time.Unix(1, 0)

// Set is the task that owns the set of the open connections of a listener. The server of the listener must
// have [Set.ConnState] as its hook.
type Set struct {
	listener *listener
	task     *task.Task[message]
}

// listener is a listener whose connections are added to a set.
type listener struct {
	net.Listener
	set *Set
	// closeBy is nil until the listener is to be closed as soon as its backlog is empty. Later, it is when the
	// listener is closed at the latest.
	closeBy atomic.Pointer[time.Time]
}

// deadliner is a listener whose accepts can be ended.
type deadliner interface{ SetDeadline(t time.Time) error }

// Totals counts connections.
type Totals struct {
	// Open is the number of those that are not closed.
	Open int
	// Arrived is the number of those that were told to end and on which something of a request had then
	// arrived that the server had not read.
	Arrived int
}

type message interface{ handle(c *core) }

type (
	opened       struct{ conn *Conn }
	closed       struct{ conn *Conn }
	acceptsEnded struct{}
	end          struct{ requestBy time.Time }
	awaitClosed  struct{ reply chan<- struct{} }
	report       struct{ reply chan<- Totals }
)

// core is the state of the task.
type core struct {
	open map[*Conn]struct{}
	// arrived counts the closed connections on which something unread had arrived when they were told to end.
	arrived int
	// requestBy is zero until connections are told to end.
	requestBy time.Time
	// acceptsEnded is set once there will be no further connections.
	acceptsEnded bool
	waiting      []chan<- struct{}
}

// Start starts a set for the connections of a listener.
func Start(l net.Listener) *Set {
	c := &core{open: map[*Conn]struct{}{}}
	s := &Set{task: task.Start(c.run, task.WithInbox(inboxSize))}
	s.listener = &listener{Listener: l, set: s}
	return s
}

// Listener returns the listener to serve.
func (s *Set) Listener() net.Listener { return s.listener }

func (c *core) run(ctx context.Context, inbox <-chan message) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-inbox:
			m.handle(c)
		}
		if c.acceptsEnded && len(c.open) == 0 {
			for _, reply := range c.waiting {
				reply <- struct{}{}
			}
			c.waiting = nil
		}
	}
}

// Accept waits for a connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if by := l.closeBy.Load(); by != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		c, err = l.acceptBacklog(*by)
	}
	if err != nil {
		if errors.Is(err, net.ErrClosed) {
			l.Listener.Close()
			l.set.send(acceptsEnded{})
		}
		return nil, err
	}
	known := &Conn{Conn: c, set: l.set}
	known.awaited.Store(true)
	l.set.send(opened{known})
	return known, nil
}

// acceptBacklog accepts a connection that the kernel has accepted. It returns [net.ErrClosed] if there is none.
func (l *listener) acceptBacklog(by time.Time) (net.Conn, error) {
	d, ok := l.Listener.(deadliner)
	if !ok || time.Now().After(by) || d.SetDeadline(time.Now().Add(backlogWait)) != nil {
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = net.ErrClosed
	}
	return c, err
}

// StopAccepting closes the listener once the connections that callers have opened are accepted.
func (s *Set) StopAccepting() {
	l := s.listener
	by := time.Now().Add(backlogTime)
	l.closeBy.Store(&by)
	d, ok := l.Listener.(deadliner)
	if !ok || d.SetDeadline(expired) != nil {
		l.Listener.Close()
	}
}

// End ends the connections: each is closed once its request is answered, or at once if nothing of a request
// has arrived. A new connection, and one with a part of a request, has some time for the rest.
func (s *Set) End(rest time.Duration) { s.send(end{time.Now().Add(rest)}) }

// WaitClosed waits until there will be no further connections and all are closed. It returns early if ctx
// ends.
func (s *Set) WaitClosed(ctx context.Context) error {
	_, err := task.Call(ctx, s.task, func(reply chan<- struct{}) message { return awaitClosed{reply} })
	return err
}

// Totals counts the connections of the set.
func (s *Set) Totals(ctx context.Context) (Totals, error) {
	return task.Call(ctx, s.task, func(reply chan<- Totals) message { return report{reply} })
}

// Close closes the listener and stops the task. It leaves connections open.
func (s *Set) Close() {
	s.listener.Close()
	s.task.Close()
}

// send fails only once the set is closed, when nobody asks for the connections.
func (s *Set) send(m message) { _ = s.task.Send(context.Background(), m) }

// ConnState is the hook of the server that serves the connections.
func (s *Set) ConnState(c net.Conn, state http.ConnState) {
	for {
		if known, ok := c.(*Conn); ok {
			known.setState(state)
			return
		}
		wrapped, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return
		}
		c = wrapped.NetConn()
	}
}

func (m opened) handle(c *core) {
	c.open[m.conn] = struct{}{}
	if !c.requestBy.IsZero() {
		m.conn.end(c.requestBy)
	}
}

func (m closed) handle(c *core) {
	if _, ok := c.open[m.conn]; ok && m.conn.arrived.Load() {
		c.arrived++
	}
	delete(c.open, m.conn)
}

func (acceptsEnded) handle(c *core) { c.acceptsEnded = true }

func (m end) handle(c *core) {
	c.requestBy = m.requestBy
	for conn := range c.open {
		conn.end(m.requestBy)
	}
}

func (m awaitClosed) handle(c *core) { c.waiting = append(c.waiting, m.reply) }

func (m report) handle(c *core) {
	t := Totals{Open: len(c.open), Arrived: c.arrived}
	for conn := range c.open {
		if conn.arrived.Load() {
			t.Arrived++
		}
	}
	m.reply <- t
}
