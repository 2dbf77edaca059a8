package owner

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
	"carawaymux.dev/fleet/window"
)

func TestAnOwnerLogsOnceASecondWhyWorkWaits(t *testing.T) {
	var out bytes.Buffer
	start := time.Now()
	c := &core{
		logger: slog.New(slog.NewJSONHandler(&out, nil)), state: shard.New("pool", 1, shard.Timing{Lease: time.Second}, start),
		starts: window.New[startKey](window.Adaptive{}),
	}
	c.state.SetQueue(port.Queue{Name: "q", Pool: "pool"})
	step := batch.Step{Count: 2, Need: batch.Size{MilliCores: 1000}, Estimate: time.Second}
	j, _ := c.state.Submit("job", batch.Spec{Queue: "q", Steps: []batch.Step{step}}, start)
	c.state.MarkStored(j)
	shard.Plan(c.state, shard.BySlack{}, start, start.UnixMilli())
	c.logWaiting(start.Add(time.Second))
	require.Empty(t, out.String(), "the job has waited for a second only")

	c.logWaiting(start.Add(4 * time.Second))
	line := map[string]any{}
	require.NoError(t, json.Unmarshal(out.Bytes(), &line))
	require.Equal(t, "work waits", line["msg"])
	require.InDelta(t, 2, line["units"], 0)
	require.Equal(t, "job.0.0.0", line["oldest"])
	require.Equal(t, string(shard.NoHost), line["why"])
	require.Empty(t, line["long-running-unit"])

	out.Reset()
	c.logWaiting(start.Add(4*time.Second + waitingLogInterval/2))
	require.Empty(t, out.String())
}

func TestAnOwnerLogsWhyLongRunningWorkWaitsBesideOlderWork(t *testing.T) {
	var out bytes.Buffer
	start := time.Now()
	c := &core{
		logger: slog.New(slog.NewJSONHandler(&out, nil)), state: shard.New("pool", 1, shard.Timing{Lease: time.Second}, start),
		starts: window.New[startKey](window.Adaptive{}),
	}
	c.state.SetQueue(port.Queue{Name: "q", Pool: "pool"})
	for id, lasts := range map[string]bool{"old": false, "serves": true} {
		step := batch.Step{Count: 1, Need: batch.Size{MilliCores: 1000}, Estimate: time.Second, LongRunning: lasts}
		j, _ := c.state.Submit(id, batch.Spec{Queue: "q", Steps: []batch.Step{step}}, start)
		c.state.MarkStored(j)
	}
	shard.Plan(c.state, shard.BySlack{}, start, start.UnixMilli())
	c.logWaiting(start.Add(4 * time.Second))
	line := map[string]any{}
	require.NoError(t, json.Unmarshal(out.Bytes(), &line))
	require.Equal(t, map[string]any{string(shard.NoHost): 1.0}, line["long-running-reasons"])
	require.Equal(t, "serves.0.0.0", line["long-running-unit"])
}
