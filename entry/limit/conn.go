package limit

import (
	"context"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"carawaymux.dev/fleet/shed"
)

const (
	// headWait limits the wait for bytes for a head. The whole head has to arrive within 3 s.
	headWait = time.Second
	// writeStart is the time that a response may take beyond that of its bytes at [shed.MinRate]. It may take twice as
	// long, since a deadline serves the writes of as long a time.
	writeStart = 10 * time.Second
)

// listener is a listener whose connections are limited.
type listener struct {
	net.Listener
	limiter *Limiter
	name    shed.Listener
	places  int
	open    atomic.Int64
	// asked is set while the task has a message about this listener.
	asked atomic.Bool
}

// Listen returns a listener whose connections are limited. Use [Limiter.Serve] for its server.
func (l *Limiter) Listen(name shed.Listener, inner net.Listener) net.Listener {
	return &listener{Listener: inner, limiter: l, name: name, places: l.limits.Connections[name]}
}

// LimitBuffers limits the bytes that the kernel holds for the connections of a TCP listener: what it has received and was not read,
// and what clients have not taken yet. It must be called before connections are opened.
func LimitBuffers(name shed.Listener, inner net.Listener) {
	s, ok := inner.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return
	}
	// The kernel keeps its defaults if the options fail.
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, shed.ReceiveBuffer(name))
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, shed.SendBuffer(name))
	})
}

// Accept waits for a connection. It closes those beyond the places of the listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		open := l.open.Add(1)
		if float64(open) > crowdedShare*float64(l.places) && l.asked.CompareAndSwap(false, true) && !l.limiter.task.TrySend(message{crowded: l}) {
			l.asked.Store(false)
		}
		if open <= int64(l.places) {
			if c := l.accepted(inner); c != nil {
				return c, nil
			}
		}
		l.open.Add(-1)
		l.limiter.refused[Full].Add(1)
		inner.Close()
	}
}

// accepted returns a connection, or nil if the task does not take it in time.
func (l *listener) accepted(inner net.Conn) net.Conn {
	c := &Conn{Conn: inner, listener: l}
	c.begin(shed.Waiting)
	if l.limiter.task.TrySend(message{opened: c}) {
		return c
	}
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	if l.limiter.task.Send(ctx, message{opened: c}) != nil {
		return nil
	}
	return c
}

// Conn is a connection of a client. The goroutines of its server read and write it, and the task closes it.
type Conn struct {
	net.Conn
	listener *listener
	// phase is a shed.Phase. since is when it began and progressAt when the client last made progress in it, both as
	// durations since the limiter was started. received is the number of bytes that arrived in it.
	phase, since, progressAt, received atomic.Int64
	// head is what has arrived of the head of the current request, and headLimit limits it. It is nil until a server serves the
	// connection, and with TLS.
	head      head
	headLimit *HeadLimit
	// writingSince is 0 unless a write waits for the client.
	writingSince atomic.Int64
	// writeBy is the deadline of writes, as a duration since the limiter was started.
	writeBy atomic.Int64
	// blocked counts the readers that wait for bytes.
	blocked atomic.Int64
	// held are the bytes that are reserved, of each share.
	held     [shed.Shares]atomic.Int64
	isClosed atomic.Bool
	// lingers is set if the server's call of Close is to be carried out after closeDelay.
	lingers atomic.Bool
	// served is set once a request was answered, or a frame received whole.
	served atomic.Bool
	// bodyRead is set once the body of the current request has been read whole.
	bodyRead atomic.Bool
}

// NetConn returns the connection that c wraps.
func (c *Conn) NetConn() net.Conn { return c.Conn }

func (c *Conn) allHeld() int64 {
	var sum int64
	for i := range c.held {
		sum += c.held[i].Load()
	}
	return sum
}

// begin begins a phase.
func (c *Conn) begin(p shed.Phase) {
	now := int64(c.listener.limiter.now())
	c.received.Store(0)
	c.since.Store(now)
	c.progressAt.Store(now)
	c.phase.Store(int64(p))
}

// client returns the connection as it is now.
func (c *Conn) client(now time.Duration) shed.Client {
	out := shed.Client{
		Phase: shed.Phase(c.phase.Load()), IsFresh: !c.served.Load(), Held: c.allHeld(), Received: c.received.Load(),
		Age: now - time.Duration(c.since.Load()), Quiet: now - time.Duration(c.progressAt.Load()),
	}
	if w := c.writingSince.Load(); w != 0 {
		out.Phase, out.Age = shed.Writing, now-time.Duration(w)
		out.Quiet = out.Age
	}
	if c.blocked.Load() > 0 {
		out.Phase = shed.Running
	}
	return out
}

// shed closes the connection, unless something has arrived that was not read yet: then the server is late and not the client.
// It reports whether it has closed the connection.
func (c *Conn) shed(why Refusal) bool {
	serverReads := c.writingSince.Load() == 0 && shed.Phase(c.phase.Load()) != shed.Closing
	if serverReads && hasUnread(c.Conn) {
		return false
	}
	c.listener.limiter.refused[why].Add(1)
	c.closeNow()
	return true
}

// hasUnread reports whether the kernel has received something on a connection that was not read yet.
func hasUnread(c net.Conn) bool {
	for {
		outer, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		c = outer.NetConn()
	}
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	var n int
	var peeked [1]byte
	// An error means that the connection is closed.
	_ = raw.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}

// Read reads what has arrived. What it returns of a head has memory reserved for it.
func (c *Conn) Read(p []byte) (int, error) {
	phase, size := shed.Phase(c.phase.Load()), len(p)
	inHead := phase == shed.Waiting || phase == shed.Head
	if inHead {
		// A part of the head may have arrived together with the request before it.
		if err := c.reserveHead(); err != nil {
			return 0, err
		}
		p = p[:min(size, shed.FreeBytes)]
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if phase == shed.Waiting && c.phase.CompareAndSwap(int64(shed.Waiting), int64(shed.Head)) {
		c.since.Store(int64(c.listener.limiter.now()))
		c.received.Store(0)
	}
	c.received.Add(int64(n))
	c.progressAt.Store(int64(c.listener.limiter.now()))
	switch encrypted := c.listener.limiter.limits.Encrypted; {
	case inHead && encrypted:
		c.head.addEncrypted(n)
	case inHead:
		c.head.add(p[:n])
	case !encrypted:
		c.head.skip(p[:n], size)
	}
	if inHead && c.headLimit != nil && c.head.bytes > c.headLimit.bytes.Load() {
		return 0, c.refuseHead()
	}
	if err := c.reserveHead(); err != nil {
		return 0, err
	}
	return n, err
}

// Write writes a part of a response. It fails if the client does not take it in time.
func (c *Conn) Write(p []byte) (int, error) {
	now := c.listener.limiter.now()
	c.writingSince.Store(int64(now))
	limit := writeStart + shed.BodyTime(int64(len(p))) - shed.StartTime
	// A deadline is set for the writes of some time, since setting it costs more than a short write.
	if time.Duration(c.writeBy.Load()) < now+limit {
		c.writeBy.Store(int64(now + limit + writeStart))
		// An error means that the connection is closed, which the write reports.
		_ = c.Conn.SetWriteDeadline(c.listener.limiter.startedAt.Add(now + limit + writeStart))
	}
	n, err := c.Conn.Write(p)
	c.writingSince.Store(0)
	if err != nil && c.listener.limiter.now()-now >= limit {
		c.listener.limiter.refused[Slow].Add(1)
	}
	return n, err
}

// CloseWrite closes the direction to the client. The server then closes the connection after a while.
func (c *Conn) CloseWrite() error {
	c.begin(shed.Closing)
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close closes the connection and releases what is reserved for it. Where the client needs time to take a response, the connection
// keeps its place until that has passed.
func (c *Conn) Close() error {
	if !c.lingers.CompareAndSwap(true, false) {
		return c.closeNow()
	}
	c.releaseAll()
	time.AfterFunc(closeDelay, func() { c.closeNow() })
	return nil
}

func (c *Conn) closeNow() error {
	err := c.Conn.Close()
	if c.isClosed.CompareAndSwap(false, true) {
		c.listener.open.Add(-1)
		// If the inbox is full, the task finds the connection closed later.
		c.listener.limiter.task.TrySend(message{closed: c})
	}
	c.releaseAll()
	return err
}

// reservation is a number of bytes that are reserved for a connection.
type reservation struct {
	conn  *Conn
	share shed.Share
	bytes int64
}

// reserve reserves bytes. It waits for them until ctx is done.
func (c *Conn) reserve(ctx context.Context, use shed.Use, n int64) (reservation, error) {
	r, ok := c.tryReserve(n, shed.SharesOf(use, c.allHeld(), n))
	if !ok {
		if err := c.await(ctx, c.listener.limiter.shares[r.share], n); err != nil {
			return reservation{}, err
		}
	}
	return c.hold(r)
}

// tryReserve takes bytes of the first share that has some. Otherwise, the reservation says from which share they are to come.
func (c *Conn) tryReserve(n int64, shares []shed.Share) (reservation, bool) {
	l := c.listener.limiter
	for _, s := range shares {
		if l.shares[s].try(n) {
			return reservation{c, s, n}, true
		}
	}
	// The first share that could have so many.
	for _, s := range shares {
		if n <= l.shares[s].size {
			return reservation{c, s, n}, false
		}
	}
	return reservation{c, shares[0], n}, false
}

// hold counts bytes that were taken for the connection, unless it is closed.
func (c *Conn) hold(r reservation) (reservation, error) {
	c.held[r.share].Add(r.bytes)
	if c.isClosed.Load() {
		// The connection may have released everything before this.
		c.releaseAll()
		return reservation{}, net.ErrClosed
	}
	return r, nil
}

// await waits for bytes, and has the task look for clients that hold them.
func (c *Conn) await(ctx context.Context, from *share, n int64) error {
	l := c.listener.limiter
	if n > from.size {
		l.refused[Exhausted].Add(1)
		return ErrExhausted
	}
	began := l.now()
	c.blocked.Add(1)
	from.waitingOn.Add(n)
	l.task.TrySend(message{pressed: true})
	err := from.free.Acquire(ctx, n)
	from.waitingOn.Add(-n)
	c.blocked.Add(-1)
	now := l.now()
	c.progressAt.Store(int64(now))
	// The client is not slow because it had to wait.
	c.since.Add(int64(now - began))
	if err != nil {
		l.refused[Exhausted].Add(1)
		return ErrExhausted
	}
	from.used.Add(n)
	return nil
}

// release releases the bytes.
func (r reservation) release() {
	if r.conn == nil {
		return
	}
	held := &r.conn.held[r.share]
	for {
		// What is held is less than the reservation if the connection was closed in between.
		now := held.Load()
		n := min(now, r.bytes)
		if n == 0 {
			return
		}
		if held.CompareAndSwap(now, now-n) {
			r.conn.listener.limiter.shares[r.share].release(n)
			return
		}
	}
}

func (c *Conn) releaseAll() {
	for i := range c.held {
		if n := c.held[i].Swap(0); n > 0 {
			c.listener.limiter.shares[i].release(n)
		}
	}
}

// find returns the limited connection under others, or nil.
func find(c net.Conn) *Conn {
	for {
		if known, ok := c.(*Conn); ok {
			return known
		}
		outer, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = outer.NetConn()
	}
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// fromContext returns the connection of a request, or nil.
func fromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// OnConnOf returns ctx with the connection of a request. ctx does not end with the request.
func OnConnOf(ctx, request context.Context) context.Context {
	return context.WithValue(ctx, connKey{}, fromContext(request))
}

// Serve makes a server limit the requests on connections of a listener of [Limiter.Listen]: their heads and the time of
// bodies that nobody reads. The server's handler, hooks and time limits must be set before.
func (l *Limiter) Serve(s *http.Server, maxHeaderBytes int) {
	l.ServeHeads(s, l.NewHeadLimit(maxHeaderBytes))
}

// ServeHeads is like Serve, with a limit of heads that can be changed.
func (l *Limiter) ServeHeads(s *http.Server, heads *HeadLimit) {
	if l.limits.Encrypted {
		// Go adds 4096 bytes to its limit.
		const slack = 4096
		s.MaxHeaderBytes = max(int(heads.bytes.Load())-slack, 1)
	} else {
		// The server reads its own limit without a lock, so that it cannot be changed.
		s.MaxHeaderBytes = math.MaxInt32
	}
	inner, hook, connContext := s.Handler, s.ConnState, s.ConnContext
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if hook != nil {
			hook(c, state)
		}
		if known := find(c); known != nil && state == http.StateIdle {
			known.releaseAll()
			known.served.Store(true)
			known.head = known.head.next()
			known.begin(shed.Waiting)
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		known := find(c)
		if known != nil && !l.limits.Encrypted {
			known.headLimit = heads
		}
		return context.WithValue(ctx, connKey{}, known)
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := fromContext(r.Context())
		if c == nil {
			inner.ServeHTTP(w, r)
			return
		}
		hasBody := r.Body != nil && r.Body != http.NoBody
		c.begin(shed.Running)
		c.bodyRead.Store(!hasBody)
		c.head.body = r.ContentLength
		if c.reserveHead() != nil {
			// The head arrived together with the request before it.
			panic(http.ErrAbortHandler)
		}
		switch {
		case hasBody && !shed.TakesBodies(c.listener.name):
			w.Header().Set("Connection", "close")
			c.endReadBy(w, 0)
		case hasBody && r.Method != http.MethodPost && r.Method != http.MethodPut:
			c.endReadBy(w, shed.StartTime)
		}
		inner.ServeHTTP(w, r)
		if !c.bodyRead.Load() && shed.TakesBodies(c.listener.name) {
			// The server reads the rest of a body that the handler has not read.
			c.endReadBy(w, shed.StartTime)
			c.begin(shed.Body)
		}
	})
}

// endReadBy ends reads after some time. The server sets another deadline for the next request.
func (c *Conn) endReadBy(w http.ResponseWriter, d time.Duration) {
	// An error means that the connection is closed.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(d))
}
