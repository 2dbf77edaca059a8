package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"carawaymux.dev/trial/fake"
)

// shelf keeps things that are idle for their next use.
type shelf[T any] chan T

// take returns something idle, if there is any.
func (s shelf[T]) take() (T, bool) {
	select {
	case v := <-s:
		return v, true
	default:
		var zero T
		return zero, false
	}
}

// put keeps something and reports whether there was room for it.
func (s shelf[T]) put(v T) bool {
	select {
	case s <- v:
		return true
	default:
		return false
	}
}

// conn is a connection of a caller. It ignores requests to close it and is used until it fails.
type conn struct {
	net    net.Conn
	reader *bufio.Reader
	// closing is set once an answer has said that the entry closes the connection after it.
	closing bool
}

const (
	// dialTimeout limits the time to connect, and callerDeadline the time that callers wait for an answer.
	dialTimeout, callerDeadline = time.Second, 3 * time.Second
)

func dial(address string) (*conn, error) {
	c, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &conn{net: c, reader: bufio.NewReader(c)}, nil
}

// answer is the answer to a request.
type answer struct {
	// sentAt is when the last byte of the request was written; zero if that failed.
	sentAt time.Time
	// status is 0 if there was no complete answer.
	status   int
	body     []byte
	timedOut bool
	err      error
}

// exchange sends a request, calls sent, and waits for the answer. The connection is of no use after an error. If drip is
// not zero, it pauses after each byte of the body.
func (c *conn) exchange(method, path string, body []byte, drip time.Duration, sent func(time.Time)) answer {
	var a answer
	if a.err = c.net.SetDeadline(time.Now().Add(callerDeadline)); a.err != nil {
		return a
	}
	request := fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\nDeadline: %d\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		method, path, fake.VirtualHost, callerDeadline.Milliseconds(), len(body), body)
	if a.err = c.write(request, len(body), drip); a.err != nil {
		return a
	}
	a.sentAt = time.Now()
	sent(a.sentAt)
	response, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		a.body, err = io.ReadAll(response.Body)
		response.Body.Close()
	}
	if err != nil {
		a.err, a.timedOut = err, errors.Is(err, os.ErrDeadlineExceeded)
		return a
	}
	a.status, c.closing = response.StatusCode, c.closing || response.Close
	return a
}

// write writes a request. If drip is not zero, it writes the last bytes one at a time.
func (c *conn) write(request []byte, last int, drip time.Duration) error {
	if drip == 0 {
		_, err := c.net.Write(request)
		return err
	}
	if _, err := c.net.Write(request[:len(request)-last]); err != nil {
		return err
	}
	for i := len(request) - last; i < len(request); i++ {
		if _, err := c.net.Write(request[i : i+1]); err != nil {
			return err
		}
		time.Sleep(drip)
	}
	return nil
}
