package front

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/work"
)

// bodyLimit is the largest body that the tests read, in bytes.
const bodyLimit = 1 << 10

// startSlowRequest sends a request of which only the first byte of the body arrives to a server that
// reads the body. It returns the result of reading.
func startSlowRequest(t *testing.T, base context.Context) <-chan error {
	t.Helper()
	result := make(chan error, 1)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), time.Second)
		defer cancel()
		_, err := readBody(ctx, w, r, bodyLimit)
		result <- err
	}))
	server.Config.BaseContext = func(net.Listener) context.Context { return base }
	server.Start()
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: e\r\nContent-Length: 2\r\n\r\nx")
	require.NoError(t, err)
	return result
}

// requireResult returns the result of reading a body, which must come long before the test ends.
func requireResult(t *testing.T, result <-chan error) error {
	t.Helper()
	select {
	case err := <-result:
		return err
	case <-time.After(5 * time.Second):
		require.FailNow(t, "the body is still being read")
		return nil
	}
}

// Guards against a slot, and an answer, that wait for a slow body beyond the deadline of the request.
func TestAnIncompleteBodyEndsWithTheDeadlineOfItsRequest(t *testing.T) {
	err := requireResult(t, startSlowRequest(t, t.Context()))
	require.EqualError(t, err, "deadline: passed before the body had arrived")
}

// Guards against a connection that a stopping entry closes with no answer while a body arrives.
func TestAnIncompleteBodyEndsWithTheStop(t *testing.T) {
	base, cancel := context.WithCancelCause(t.Context())
	result := startSlowRequest(t, base)
	cancel(work.ErrStopping)
	require.EqualError(t, requireResult(t, result), "stop: the entry stopped before the body had arrived")
}

// Guards against a cancelled context of the next request on a connection whose body arrived when the
// deadline passed.
func TestAConnectionIsNotUsedAgainAfterItsReadDeadline(t *testing.T) {
	expired, cancel := context.WithCancel(t.Context())
	cancel()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = readBody(expired, w, r, bodyLimit)
	}))
	defer server.Close()
	response, err := http.Post(server.URL, "text/plain", nil)
	require.NoError(t, err)
	defer response.Body.Close()
	require.True(t, response.Close)
}
