package drain_test

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net/http/httptest"
	"testing"
	"time"

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
	tracker.BeginStop(drain.NewPlan(time.Minute))
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
	require.False(t, none.Refusing())
}

func TestOpenRequestsEndBeforeConnectionsAreClosed(t *testing.T) {
	tracker := drain.Start(slog.New(slog.DiscardHandler), nil)
	defer tracker.Close()
	start := time.Now()
	early, open := tracker.Begin(t.Context(), drain.Request{Verb: "look"})
	plan := drain.Plan{Take: 50 * time.Millisecond, Answer: 100 * time.Millisecond, Close: time.Minute}
	tracker.BeginStop(plan)
	require.False(t, tracker.Refusing())
	<-early.Done()
	require.Equal(t, drain.ErrStopping, context.Cause(early))
	require.GreaterOrEqual(t, time.Since(start), plan.Answer)
	require.True(t, tracker.Refusing())
	// A request that was read late ends at once.
	late, lateOpen := tracker.Begin(t.Context(), drain.Request{Verb: "look"})
	<-late.Done()
	require.Equal(t, drain.ErrStopping, context.Cause(late))
	open.End()
	short, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, tracker.WaitAnswered(short), context.DeadlineExceeded, "a request is open")
	lateOpen.End()
	require.NoError(t, tracker.WaitAnswered(t.Context()))
	require.Zero(t, tracker.ReportCut(t.Context()))
}

func TestPlanLeavesTimeForLateAnswers(t *testing.T) {
	p := drain.NewPlan(6 * time.Second)
	require.Less(t, p.Take, p.Answer)
	require.GreaterOrEqual(t, p.Close-p.Answer, time.Second)
	require.GreaterOrEqual(t, 6*time.Second-p.Close, time.Second)
}
