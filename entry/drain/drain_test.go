package drain_test

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/drain"
	"carawaymux.dev/entry/stats"
)

func TestReportNamesWhatAnOpenRequestWaitsFor(t *testing.T) {
	var out bytes.Buffer
	set := stats.New()
	defer set.Close()
	tracker := drain.Start(slog.New(slog.NewJSONHandler(&out, nil)), set)
	defer tracker.Close()
	_, answered := tracker.Begin(t.Context(), drain.Request{Verb: "look", Path: "/docs/00000000000000aa"})
	ctx, _ := tracker.Begin(t.Context(), drain.Request{Verb: "submit", Path: "/docs/00000000000000bb"})
	drain.Waiting(ctx, drain.Inbox, "")
	drain.Waiting(ctx, drain.Owner, "entry-3")
	answered.End()
	tracker.BeginStop()
	require.Equal(t, 1, tracker.ReportCut(t.Context()))
	var line map[string]any
	require.NoError(t, json.Unmarshal(out.Bytes(), &line))
	require.Equal(t, "request cut off without an answer", line["msg"])
	require.Equal(t, "submit", line["verb"])
	require.Equal(t, "/docs/00000000000000bb", line["path"])
	require.Equal(t, "owner", line["waits-for"])
	require.Equal(t, "entry-3", line["on"])
	for _, key := range []string{"took-ms", "waited-ms", "stopping-ms"} {
		require.Contains(t, line, key)
	}
	w := httptest.NewRecorder()
	set.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	require.Contains(t, w.Body.String(), `requests-cut{verb="submit",waits-for="owner"} 1`)
}

func TestWaitingIgnoresContextsWithoutARequest(t *testing.T) {
	drain.Waiting(context.Background(), drain.Owner, "entry-3")
	var none *drain.Tracker
	ctx, open := none.Begin(t.Context(), drain.Request{})
	drain.Waiting(ctx, drain.Owner, "entry-3")
	open.End()
	_, stopping := none.StopStarted()
	require.False(t, stopping)
}
