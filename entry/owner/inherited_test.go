package owner

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/stats"
	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
)

func TestInheritedHostsAreLoggedUntilTheyHaveListedTheirEnds(t *testing.T) {
	c := restoreTestCore(t, idleHost{}, &StoredState{Hosts: []port.Host{testHost}, Specs: map[string]batch.Spec{"job": oneTask}},
		&port.Config{Queues: []port.Queue{{Name: "q", Pool: "pool"}}})
	var lines bytes.Buffer
	c.logger = slog.New(slog.NewJSONHandler(&lines, nil))
	c.deps.Stats = stats.New()
	defer c.deps.Stats.Close()
	now := time.Now()
	report := func(r port.HostReport) { c.state.HandleReport("h", &r, now) }
	expect := func(message, state string, ends int) {
		t.Helper()
		c.logInherited(now)
		var line struct {
			Msg, Host, State string
			Ends             int
			Since            *int64 `json:"since-ms"`
		}
		require.NoError(t, json.Unmarshal(lines.Bytes(), &line))
		require.Equal(t, message, line.Msg)
		require.Equal(t, "h", line.Host)
		require.Equal(t, state, line.State)
		require.Equal(t, ends, line.Ends)
		require.NotNil(t, line.Since)
		lines.Reset()
		now = now.Add(2 * inheritedLogInterval)
	}
	now = now.Add(2 * inheritedLogInterval)
	expect("inherited host unread", "unanswered", 0)
	c.logInherited(now.Add(-2*inheritedLogInterval + time.Millisecond))
	require.Zero(t, lines.Len(), "one line a second")
	report(port.HostReport{Clock: 1000, Born: 1, Finished: []port.FinishedRun{end(1, "x.0.0.0")}, Truncated: true})
	expect("inherited host unread", "incomplete", 1)
	report(port.HostReport{Clock: 2000, Born: 1, Finished: []port.FinishedRun{end(2, "x.0.0.1")}})
	expect("inherited host read", "complete", 2)
	c.logInherited(now)
	require.Zero(t, strings.Count(lines.String(), "inherited"), "once a host")
}
