package crowd_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/wire"
	"carawaymux.dev/trial/crowd"
	"carawaymux.dev/trial/procs"
)

// sendHalfClosed sends a request, closes the sending direction and returns the response.
func sendHalfClosed(ctx context.Context, t crowd.Target, path, body string) (*http.Response, error) {
	c, err := new(net.Dialer).DialContext(ctx, "tcp", t.Address)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(deadline)
	}
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\n%sContent-Length: %d\r\n\r\n%s", path, t.Host, t.Header, len(body), body); err != nil {
		return nil, err
	}
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, err
	}
	return response, response.Body.Close()
}

// halfClosed is the number of requests that are sent.
const halfClosed = 10

// Guards against complete requests that are not served, since their clients have closed the sending direction.
func TestRequestsOfHalfClosedClientsAreServed(t *testing.T) {
	v := startEntry(t, limits(memoryMB, descriptors))
	ctx, cancel := context.WithTimeout(t.Context(), answerTime)
	defer cancel()
	require.NoError(t, procs.WaitFor(ctx, "first request", v.ask))
	for i := range halfClosed {
		response, err := sendHalfClosed(ctx, v.callers, fmt.Sprintf("/%s/dddddddd%08x", pool, i),
			`{"steps":[{"count":1,"cpu":1000,"memory_request_mb":256}],"specification":"10"}`)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
}

// Guards against a daemon that calls requests of clients not run which have closed the sending direction, although they ran. The
// daemon cancels such requests, since work at a target is wasted once its client has gone.
func TestRequestsOfHalfClosedClientsAreNotCalledNotRunByTheDaemon(t *testing.T) {
	v := startDaemon(t, fmt.Sprintf("memory = %dMiB", memoryMB))
	ctx, cancel := context.WithTimeout(t.Context(), answerTime)
	defer cancel()
	require.NoError(t, procs.WaitFor(ctx, "first request", v.ask))
	for i := range halfClosed {
		target, id := v.callers, fmt.Sprintf("half-closed-%d", i)
		target.Header = wire.HeaderIdempotent + ": true\r\n" + wire.HeaderID + ": " + id + "\r\n"
		response, err := sendHalfClosed(ctx, target, target.Path, "x")
		require.NoError(t, err)
		outcome := wire.Outcome(response.Header.Get(wire.HeaderOutcome))
		require.Contains(t, []wire.Outcome{wire.Done, wire.Unknown, wire.NotRun}, outcome)
		require.Falsef(t, outcome == wire.NotRun && v.runs(ctx)[id] > 0, "%s ran and is called %s", id, outcome)
	}
}
