// Package caller sends requests over connections that are used until they fail, also after an answer with "Connection: close".
package caller

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"
)

// Pool holds idle values for their next use.
type Pool[T any] chan T

// Take removes a value and reports whether there was one.
func (s Pool[T]) Take() (T, bool) {
	select {
	case v := <-s:
		return v, true
	default:
		var zero T
		return zero, false
	}
}

// Put adds a value and reports whether there was room for it.
func (s Pool[T]) Put(v T) bool {
	select {
	case s <- v:
		return true
	default:
		return false
	}
}

// Conn is a connection of a caller. Use [Dial] to open it.
type Conn struct {
	net    net.Conn
	reader *bufio.Reader
	// Closing is set once an answer has said that the server closes the connection after it.
	Closing bool
}

// dialTimeout limits the time to connect.
const dialTimeout = time.Second

// Dial opens a connection.
func Dial(address string) (*Conn, error) {
	c, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &Conn{net: c, reader: bufio.NewReader(c)}, nil
}

// Close closes the connection.
func (c *Conn) Close() { c.net.Close() }

// Request is a request of a caller.
type Request struct {
	Method, Host, Path string
	Header             http.Header
	Body               []byte
	// Patience is how long the caller waits for the answer.
	Patience time.Duration
	// Drip is the pause after each byte of the body; 0 to send the request at once.
	Drip time.Duration
	// Sent is called when the last byte was written, with the time; nil for no call.
	Sent func(time.Time)
}

// Answer is the answer to a request.
type Answer struct {
	// SentAt is when the last byte of the request was written; zero if that failed.
	SentAt time.Time
	// Status is 0 if there was no complete answer.
	Status int
	Header http.Header
	Body   []byte
	// TimedOut means that the caller stopped waiting.
	TimedOut bool
	Err      error
}

// Exchange sends a request and waits for the answer. The connection is of no use after an error.
func (c *Conn) Exchange(r Request) Answer {
	var a Answer
	if a.Err = c.net.SetDeadline(time.Now().Add(r.Patience)); a.Err != nil {
		return a
	}
	if a.Err = c.write(r); a.Err != nil {
		return a
	}
	a.SentAt = time.Now()
	if r.Sent != nil {
		r.Sent(a.SentAt)
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		a.Body, err = io.ReadAll(response.Body)
		response.Body.Close()
	}
	if err != nil {
		a.Err, a.TimedOut = err, errors.Is(err, os.ErrDeadlineExceeded)
		return a
	}
	a.Status, a.Header, c.Closing = response.StatusCode, response.Header, c.Closing || response.Close
	return a
}

// write writes a request, and the bytes of its body one at a time if it drips.
func (c *Conn) write(r Request) error {
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Path, r.Host)
	header := r.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set("Content-Length", strconv.Itoa(len(r.Body)))
	if err := header.Write(&out); err != nil {
		return err
	}
	out.WriteString("\r\n")
	if r.Drip == 0 {
		out.Write(r.Body)
	}
	if _, err := c.net.Write(out.Bytes()); err != nil || r.Drip == 0 {
		return err
	}
	for i := range r.Body {
		if _, err := c.net.Write(r.Body[i : i+1]); err != nil {
			return err
		}
		time.Sleep(r.Drip)
	}
	return nil
}
