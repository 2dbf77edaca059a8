package owner

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/stats"
	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
)

// Guards against an owner that orders by tenants although its configuration has none, or does not although it has.
func TestTenantsHaveSharesIfTheConfigurationHasThem(t *testing.T) {
	config := configOf(3, shortQueue)
	c := restoreTestCore(t, idleHost{acked: make(chan int64, 8)}, newStoredState(), config)
	set := stats.New()
	t.Cleanup(set.Close)
	c.deps.Stats = set
	metrics := func() string {
		w := httptest.NewRecorder()
		set.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		return w.Body.String()
	}
	c.state.Overloaded = true
	require.False(t, c.ranking(time.Now()).Active)
	c.logTenants(time.Now())
	require.NotContains(t, metrics(), "tenant-")

	with := configOf(4, shortQueue)
	with.Tenants = []port.Tenant{{Name: "a", Weight: 3}, {Name: "b", Weight: 1}}
	configChange{with}.handle(c.core)
	require.False(t, c.ranking(time.Now()).Active, "no tenant wants more than its share")
	for id, tenant := range map[string]string{"1": "a", "2": "b"} {
		spec := batch.Spec{Queue: "short", Tenant: tenant, Steps: []batch.Step{{Count: 1, Need: batch.Size{MilliCores: 100}, Estimate: time.Second}}}
		submitJob{shortQueue, id, spec, make(chan Answer, 1)}.handle(c.core)
	}
	c.state.Tenant("a").Account.Charge(1, time.Now())
	c.logTenants(time.Now())
	require.Contains(t, metrics(), `tenant-share{pool="pool",rank="1"} 750`)
	require.Contains(t, metrics(), `tenant-use{pool="pool",rank="1"} 1000`)
	require.Contains(t, metrics(), `tenant-use{pool="pool",rank="2"} 0`)
	c.state.Tenant("b").Account.Charge(5, time.Now())
	require.True(t, c.ranking(time.Now().Add(time.Second)).Active)
	c.state.Overloaded = false
	require.False(t, c.ranking(time.Now().Add(time.Second)).Active, "the order of a pool that keeps up is that of the slack")

	c.state.Overloaded = true
	without := configOf(5, shortQueue)
	configChange{without}.handle(c.core)
	require.False(t, c.ranking(time.Now()).Active)
	c.logTenants(time.Now().Add(time.Minute))
	require.Contains(t, metrics(), `tenant-use{pool="pool",rank="1"} 0`)
}
