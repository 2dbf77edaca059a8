package caller_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/trial/caller"
)

const patience = 5 * time.Second

// serve starts a server that echoes bodies and returns its address.
func serve(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func TestAnAnswerThatEndsTheConnectionIsNoted(t *testing.T) {
	address := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/last" {
			w.Header().Set("Connection", "close")
		}
		w.Header().Set("Seen", r.Header.Get("Id"))
		_, _ = io.Copy(w, r.Body)
	})
	c, err := caller.Dial(address)
	require.NoError(t, err)
	defer c.Close()
	r := caller.Request{Method: http.MethodPost, Host: "h.example", Path: "/", Header: http.Header{"Id": {"7"}}, Body: []byte("body"), Patience: patience}
	a := c.Exchange(r)
	require.NoError(t, a.Err)
	require.Equal(t, http.StatusOK, a.Status)
	require.Equal(t, "body", string(a.Body))
	require.Equal(t, "7", a.Header.Get("Seen"))
	require.False(t, c.Closing)
	r.Path = "/last"
	require.NoError(t, c.Exchange(r).Err)
	require.True(t, c.Closing)
	a = c.Exchange(r)
	require.Error(t, a.Err)
	require.False(t, a.TimedOut)
}

func TestADrippingBodyArrivesWhole(t *testing.T) {
	address := serve(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
	c, err := caller.Dial(address)
	require.NoError(t, err)
	defer c.Close()
	var sent time.Time
	begin := time.Now()
	a := c.Exchange(caller.Request{
		Method: http.MethodPost, Host: "h.example", Path: "/", Body: []byte("slowly"), Patience: patience, Drip: 5 * time.Millisecond,
		Sent: func(at time.Time) { sent = at },
	})
	require.NoError(t, a.Err)
	require.Equal(t, "slowly", string(a.Body))
	require.GreaterOrEqual(t, sent.Sub(begin), 6*5*time.Millisecond)
	require.Equal(t, sent, a.SentAt)
}

func TestACallerStopsWaiting(t *testing.T) {
	release := make(chan struct{})
	address := serve(t, func(http.ResponseWriter, *http.Request) { <-release })
	defer close(release)
	c, err := caller.Dial(address)
	require.NoError(t, err)
	defer c.Close()
	a := c.Exchange(caller.Request{Method: http.MethodGet, Host: "h.example", Path: "/", Patience: 50 * time.Millisecond})
	require.True(t, a.TimedOut)
	require.Zero(t, a.Status)
}
