package owner

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/stats"
	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

func TestAHostThatLeavesIsLoggedWithItsOrderOnceASecond(t *testing.T) {
	now := time.Now()
	s := shard.New("pool", 1, shard.Timing{Lease: 5 * time.Second, MaxLease: 10 * time.Second}, now)
	for _, id := range []string{"a", "b"} {
		s.UpdateHost(port.Host{ID: id, Pool: "pool", Capacity: batch.Size{MilliCores: 4000}}, now).Stored = true
		s.HandleReport(id, &port.HostReport{Clock: 1, Born: 1}, now)
	}
	s.ConfirmedAt = now.Add(time.Millisecond)
	var lines bytes.Buffer
	set := stats.New()
	defer set.Close()
	c := &core{state: s, logger: slog.New(slog.NewJSONHandler(&lines, nil)), deps: Deps{Stats: set}}
	c.logOccupancy(now)
	require.Zero(t, lines.Len(), "no host is leaving")
	order := shard.LeaveOrder{Purpose: shard.ForWave, Holder: "entry-1", Epoch: 4}
	now = now.Add(occupancyInterval)
	m := vacateHost{"a", order, nil}
	require.True(t, m.vacate(c).Vacant)
	c.logOccupancy(now)
	c.logOccupancy(now.Add(occupancyInterval / 2))
	var line struct {
		Working int `json:"working"`
		ForWave int `json:"for-wave"`
		Longest map[string]struct {
			Purpose string `json:"purpose"`
			Holder  string `json:"holder"`
			Epoch   int64  `json:"holder-epoch"`
			Waits   string `json:"waits-for"`
		} `json:"longest"`
	}
	require.NoError(t, json.Unmarshal(lines.Bytes(), &line), "one line: %s", lines.String())
	require.Equal(t, 1, line.Working)
	require.Equal(t, 1, line.ForWave)
	require.Equal(t, "wave", line.Longest["a"].Purpose)
	require.Equal(t, "entry-1", line.Longest["a"].Holder)
	require.EqualValues(t, 4, line.Longest["a"].Epoch)
	require.Equal(t, "the order", line.Longest["a"].Waits)
	page := httptest.NewRecorder()
	set.Handler().ServeHTTP(page, httptest.NewRequest("GET", "/", nil))
	require.Contains(t, page.Body.String(), `hosts{pool="pool",use="leaving-wave"} 1`)
	require.Contains(t, page.Body.String(), `hosts{pool="pool",use="working"} 1`)
}
