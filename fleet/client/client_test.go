package client_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/client"
	"carawaymux.dev/fleet/wire"
)

// Guards against a caller that gives up before the deadline that it has set for its request.
func TestARequestIsAwaitedUntilItsDeadline(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(300 * time.Millisecond)
		w.Header().Set(wire.HeaderOutcome, string(wire.Done))
	}))
	defer server.Close()
	c := client.New(server.URL, client.WithHTTP(&http.Client{Timeout: 100 * time.Millisecond}))
	a, err := c.Do(t.Context(), client.Request{Kind: "docs", ID: "x", Idempotent: true, Deadline: 10 * time.Second})
	require.NoError(t, err)
	require.Equal(t, wire.Done, a.Outcome)
	_, err = c.Status(t.Context())
	require.Error(t, err, "the timeout holds for calls without a deadline")
}
