package owner

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/stats"
	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/shard"
)

// Without the size, metrics did not show that only the large jobs of a queue were late.
func TestEndsOfJobsAreCountedBySize(t *testing.T) {
	c := restoreTestCore(t, idleHost{acked: make(chan int64, 8)}, newStoredState(), configOf(3, shortQueue))
	set := stats.New()
	t.Cleanup(set.Close)
	c.deps.Stats = set
	for i := range 30 {
		spec := batch.Spec{Queue: "short", Steps: []batch.Step{{Count: 1, Need: batch.Size{MilliCores: 100}, Estimate: time.Second}}}
		if i == 29 {
			spec.Steps[0].Count = 50
		}
		id := fmt.Sprint(i)
		submitJob{shortQueue, id, spec, make(chan Answer, 1)}.handle(c.core)
		c.countJob(c.state.Jobs[id], sizeAccepted)
	}
	large := c.state.Jobs["29"]
	c.countEnd(large, shard.Completed, true)
	c.countEnd(c.state.Jobs["0"], shard.Completed, false)
	c.countEnd(c.state.Jobs["1"], shard.Failed, true)
	c.countEnd(c.state.Jobs["2"], shard.Cancelled, false)
	c.countEnd(&shard.Job{}, shard.Cancelled, false)
	w := httptest.NewRecorder()
	set.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, line := range []string{
		`size="rest",outcome="accepted"} 29`, `size="largest-tenth",outcome="accepted"} 1`, `size="largest-tenth",outcome="late"} 1`,
		`size="rest",outcome="in-time"} 1`, `size="rest",outcome="failed"} 1`, `size="rest",outcome="cancelled"} 1`,
	} {
		require.Contains(t, w.Body.String(), `jobs-by-size{pool="pool",queue="short",`+line+"\n")
	}
	require.NotContains(t, w.Body.String(), `queue=""`)
}
