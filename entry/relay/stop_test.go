package relay_test

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/link"
	"carawaymux.dev/entry/relay"
	"carawaymux.dev/entry/work"
	"carawaymux.dev/fleet/wire"
)

// closeTimeout is longer than a server that has cancelled its requests takes to close, and shorter than
// the deadlines of the requests.
const closeTimeout = 3 * time.Second

// closeServer closes a server and fails the test if that takes longer than closeTimeout.
func closeServer(t *testing.T, server *relay.Server) {
	t.Helper()
	closed := make(chan struct{})
	go func() {
		server.Close()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(closeTimeout):
		require.FailNow(t, "the server has not closed")
	}
}

// Guards against a stop that lasts as long as the deadline of a forwarded request, and against a
// request that is cut off without the answer of its entry.
func TestAStoppingEntryAnswersForwardedRequestsWhoseDeadlineIsLaterThanTheStop(t *testing.T) {
	base, cancel := context.WithCancelCause(t.Context())
	started := make(chan struct{})
	server := relay.NewServer(func(ctx context.Context, _ work.Request) work.Answer {
		close(started)
		<-ctx.Done()
		return work.NotRun(work.EndReason(ctx, "while the request waited for a slot"))
	}, incarnation, 1<<20, slog.New(slog.DiscardHandler), relay.WithBaseContext(base))
	client, peer, _ := connect(t, server)
	answer := make(chan work.Answer, 1)
	r := request("x")
	r.Deadline = time.Now().Add(time.Minute)
	go func() {
		a, _ := client.Do(t.Context(), peer, "docs", r, nil)
		answer <- a
	}()
	<-started
	cancel(work.ErrStopping)
	closeServer(t, server)
	a := <-answer
	require.Equal(t, wire.NotRun, a.Outcome, a.Reason)
	require.Contains(t, a.Reason, "the entry stopped")
}

// frame has the fields of the frames on a link that the test uses.
type frame struct {
	Stream  uint64         `json:"stream"`
	Request map[string]any `json:"ask,omitempty"`
	Answer  *struct {
		Outcome wire.Outcome `json:"outcome"`
	} `json:"answer,omitempty"`
	Chunk []byte `json:"chunk,omitempty"`
	End   bool   `json:"end,omitempty"`
}

// Guards against a link that is closed with no answer to a request whose body is still arriving.
func TestAStoppingEntryRefusesARequestWhoseBodyIsIncomplete(t *testing.T) {
	server := relay.NewServer(echo, incarnation, 1<<20, slog.New(slog.DiscardHandler))
	listener := httptest.NewServer(server)
	defer listener.Close()
	frames := make(chan frame, 16)
	dialer := &link.Dialer{Client: http.DefaultClient, Scheme: "ws", Token: func() string { return "" }}
	conn, err := link.Dial(t.Context(), dialer, strings.TrimPrefix(listener.URL, "http://"), relay.Path, func(f frame) { frames <- f })
	require.NoError(t, err)
	defer conn.Close()
	header := func(id string, length int) map[string]any {
		return map[string]any{
			"id": id, "kind": "docs", "left-ms": 60_000, "idempotent": true, "length": length, "incarnation": incarnation,
		}
	}
	require.NoError(t, conn.Send(t.Context(), frame{Stream: 1, Request: header("x", 2)}))
	require.NoError(t, conn.Send(t.Context(), frame{Stream: 1, Chunk: []byte("a")}))
	// The answer to the second request shows that the server has read the first one.
	require.NoError(t, conn.Send(t.Context(), frame{Stream: 2, Request: header("y", 0)}))
	require.NoError(t, conn.Send(t.Context(), frame{Stream: 2, End: true}))
	for f := range frames {
		if f.Stream == 2 && f.End {
			break
		}
	}
	closeServer(t, server)
	<-conn.Broken()
	close(frames)
	for f := range frames {
		if f.Stream == 1 && f.Answer != nil {
			require.Equal(t, wire.NotRun, f.Answer.Outcome)
			return
		}
	}
	require.FailNow(t, "the request has no answer")
}
