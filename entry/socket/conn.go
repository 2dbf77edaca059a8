package socket

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// probeSize is the size of the buffer with which the server reads while a handler runs and the whole request has
// been read. What arrives then is the next request.
const probeSize = 1

// Conn is a connection of a caller. The server's goroutine for the connection reads it and sets its state;
// the task of the set tells it to end.
type Conn struct {
	net.Conn
	set *Set
	// active is set from when the header of a request has been read until the request is answered.
	active atomic.Bool
	// awaited is set while the connection is not active and a request is on its way: the connection is new,
	// or a part of the request has been read.
	awaited atomic.Bool
	// requestBy is nil until the connection is told to end. Later, it is when a request that is awaited must
	// have arrived.
	requestBy atomic.Pointer[time.Time]
	// deadline is the read deadline that the server has set. It is nil if it has set none.
	deadline atomic.Pointer[time.Time]
	// ahead is set if something of the next request was read while the connection is active. With TLS this cannot
	// be told.
	ahead atomic.Bool
	// arrived is set if something of a request was read after the connection was told to end.
	arrived, isClosed atomic.Bool
}

// NetConn returns the connection that c wraps.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// end tells the connection to end. It wakes a read, which then looks at what has arrived.
func (c *Conn) end(requestBy time.Time) {
	c.requestBy.Store(&requestBy)
	// An error means that the connection is closed.
	_ = c.Conn.SetReadDeadline(expired)
}

func (c *Conn) setState(s http.ConnState) {
	switch s {
	case http.StateActive:
		c.ahead.Store(false)
		c.active.Store(true)
	case http.StateIdle:
		c.awaited.Store(c.ahead.Swap(false))
		c.active.Store(false)
	}
}

// Read reads what has arrived. Once the connection is told to end, it returns [io.EOF] when the server waits
// for a request and nothing of one has arrived.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		if by := c.requestBy.Load(); by != nil && !c.active.Load() {
			if n := c.readArrived(p); n > 0 {
				c.arrived.Store(true)
				c.awaited.Store(true)
				return n, nil
			}
			if !c.awaited.Load() || !time.Now().Before(*by) {
				return 0, io.EOF
			}
			_ = c.Conn.SetReadDeadline(*by)
		}
		n, err := c.Conn.Read(p)
		switch {
		case n == 0:
		case !c.active.Load():
			c.awaited.Store(true)
		case len(p) == probeSize:
			c.ahead.Store(true)
		}
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || c.requestBy.Load() == nil {
			return n, err
		}
		if c.active.Load() && !c.restoreDeadline() {
			return n, err
		}
	}
}

// readArrived reads what has arrived, without waiting. It returns 0 if that is nothing.
func (c *Conn) readArrived(p []byte) int {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	if raw.Control(func(fd uintptr) { n, err = syscall.Read(int(fd), p) }) != nil || err != nil {
		return 0
	}
	return n
}

// restoreDeadline sets the server's read deadline again after the connection was told to end. It returns
// false if that deadline has passed.
func (c *Conn) restoreDeadline() bool {
	for {
		requested := c.deadline.Load()
		var t time.Time
		if requested != nil {
			t = *requested
		}
		if !t.IsZero() && !t.After(time.Now()) {
			return false
		}
		if c.Conn.SetReadDeadline(t) != nil {
			return false
		}
		if c.deadline.Load() == requested {
			return true
		}
	}
}

// SetReadDeadline sets the deadline of reads.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.deadline.Store(&t)
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets the deadline of reads and writes.
func (c *Conn) SetDeadline(t time.Time) error {
	c.deadline.Store(&t)
	return c.Conn.SetDeadline(t)
}

// CloseWrite closes the direction to the caller.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close closes the connection.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	if c.isClosed.CompareAndSwap(false, true) {
		c.set.send(closed{c})
	}
	return err
}
