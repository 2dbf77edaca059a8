package limit

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"carawaymux.dev/fleet/shed"
)

const (
	// headStep is the multiple of which memory is reserved for a head.
	headStep = 4 << 10
	// bufferSize is the size of the buffer with which the server reads. It can read as much of the next request.
	bufferSize = 4 << 10
	// closeDelay is the time that a client has to take the response to a head that is too large, before the connection is closed
	// with what it has sent since. Go's server waits as long.
	closeDelay = 500 * time.Millisecond
	// headTooLarge is the response to such a head, that of Go's server.
	headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n" +
		"431 Request Header Fields Too Large"
)

// HeadLimit limits the heads of the requests of a server. It can be changed while the server runs, unless connections use TLS.
type HeadLimit struct {
	// bytes is the size of the largest head that is served. It is at most largest, the size of the largest one that can be held.
	bytes   atomic.Int64
	largest int64
}

// NewHeadLimit returns a limit that allows heads of some size. Larger ones can be allowed as far as there is memory for them.
func (l *Limiter) NewHeadLimit(bytes int) *HeadLimit {
	h := &HeadLimit{largest: max(l.limits.LargestHead(), int64(bytes))}
	h.bytes.Store(int64(bytes))
	return h
}

// Set sets the size of the largest head. It returns the size that is in force, which is smaller if such a head could not be held.
func (h *HeadLimit) Set(bytes int64) int64 {
	bytes = min(bytes, h.largest)
	h.bytes.Store(bytes)
	return bytes
}

// head counts what has arrived of the head of a request. One goroutine reads a connection at a time, and only it uses the head.
type head struct {
	// bytes and lines count up to the end of the head.
	bytes, lines int64
	// held is the memory that is reserved for it.
	held int64
	// begun is set once a line was not empty, inLine while the current line is not, and ended after the empty line that follows.
	begun, inLine, ended bool
	// rest is the number of bytes that arrived after the end of the head, and body the length of the request's body, or -1 if
	// it is not known before its end.
	rest, body int64
	// ahead is the number of lines in what was read last beyond the head. They may be of the next request.
	ahead int64
}

// next returns the head of the next request on the connection.
func (h *head) next() head {
	if h.body >= 0 && h.rest <= h.body {
		return head{}
	}
	return head{lines: h.ahead}
}

// add counts what has arrived.
func (h *head) add(p []byte) {
	for !h.ended {
		line, rest, found := bytes.Cut(p, []byte{'\n'})
		h.inLine = h.inLine || len(bytes.TrimLeft(line, "\r")) > 0
		h.bytes += int64(len(p) - len(rest))
		if !found {
			return
		}
		h.lines++
		h.ended = h.begun && !h.inLine
		h.begun, h.inLine, p = h.begun || h.inLine, false, rest
	}
	h.rest, h.ahead = int64(len(p)), countLines(p)
}

// addEncrypted counts what has arrived on a connection with TLS, whose lines cannot be told apart.
func (h *head) addEncrypted(n int) {
	h.bytes += int64(n)
	h.lines = max(h.bytes-shed.FreeBytes, 0) / shed.MinLineBytes
}

// skip counts the lines of what was read after the head with a buffer of some size.
func (h *head) skip(p []byte, size int) {
	h.rest += int64(len(p))
	switch {
	case size > bufferSize:
		h.ahead = 0
	case size == 1:
		h.ahead += countLines(p)
	default:
		h.ahead = countLines(p)
	}
}

func countLines(p []byte) int64 { return int64(bytes.Count(p, []byte{'\n'})) }

// refuseHead answers a head that is too large. The request has not run. The server closes the connection, which then gives the
// client time to take the response.
func (c *Conn) refuseHead() error {
	c.listener.limiter.refused[LargeHead].Add(1)
	// Errors mean that the client is gone.
	_ = c.Conn.SetWriteDeadline(time.Now().Add(closeDelay))
	if _, err := io.WriteString(c.Conn, headTooLarge); err == nil && c.CloseWrite() == nil {
		c.lingers.Store(true)
	}
	return &net.OpError{Op: "read", Net: "tcp", Err: errLargeHead}
}

// reserveHead reserves the memory that the head takes which has arrived so far.
func (c *Conn) reserveHead() error {
	missing := shed.HeadBytes(c.head.bytes, c.head.lines) - c.head.held
	if missing <= 0 {
		return nil
	}
	missing += headStep - 1 - (missing-1)%headStep
	ctx, cancel := context.WithTimeout(context.Background(), headWait)
	defer cancel()
	if _, err := c.reserve(ctx, shed.Request, missing); err != nil {
		// The server closes the connection after such an error. After others it calls the request malformed.
		return &net.OpError{Op: "read", Net: "tcp", Err: err}
	}
	c.head.held += missing
	return nil
}
