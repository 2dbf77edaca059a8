package duties_test

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/claim"
	"carawaymux.dev/entry/duties"
	"carawaymux.dev/entry/feed"
	"carawaymux.dev/entry/roster"
	"carawaymux.dev/fleet/port"
)

// emptyLog is a store that accepts all claims and holds nothing.
type emptyLog struct{ port.Log }

func (emptyLog) Append(context.Context, port.Stream, []port.Record, *port.Writer, int64) (int64, error) {
	return 1, nil
}

func (emptyLog) Newest(context.Context, port.Stream, string) (port.Page, error) {
	return port.Page{}, nil
}

// idleHolder is a holder that does nothing.
type idleHolder struct{ lost chan struct{} }

func (idleHolder) Configure(context.Context, *port.Config) error               { return nil }
func (idleHolder) UpdateHosts(context.Context, []feed.Change[port.Host]) error { return nil }
func (h idleHolder) Lost() <-chan struct{}                                     { return h.lost }
func (idleHolder) Close()                                                      {}

func startIdle(*port.Config, []port.Host) duties.Holder { return idleHolder{make(chan struct{})} }

func prepareIdle(context.Context, *claim.Claim) (duties.StartFunc, error) { return startIdle, nil }

func startDuties(t *testing.T, config *port.Config) *duties.Duties {
	t.Helper()
	d := duties.Start(
		duties.Settings{Entry: "e", Incarnation: 1, Partitions: 4, Pools: prepareIdle, Singletons: map[string]duties.PrepareFunc{"*machines": prepareIdle}},
		emptyLog{}, slog.New(slog.NewJSONHandler(io.Discard, nil)), func(map[string]int64, []string) {})
	t.Cleanup(d.Close)
	require.NoError(t, d.Configure(t.Context(), config))
	return d
}

// showAlone passes on a view in which the entry is the only one that is alive.
func showAlone(t *testing.T, d *duties.Duties, owners map[string]roster.Owner) {
	t.Helper()
	v := &roster.View{Settled: true, Alive: map[string]roster.Heartbeat{"e": {Name: "e", Incarnation: 1, Capacity: 1000}}, Owners: owners}
	require.NoError(t, d.UpdateView(t.Context(), v))
}

func claimed(names ...string) []feed.Change[claim.StoredClaim] {
	var out []feed.Change[claim.StoredClaim]
	for _, name := range names {
		out = append(out, feed.Change[claim.StoredClaim]{Key: name, Present: true, Value: claim.StoredClaim{Entry: "dead", Epoch: 1}})
	}
	return out
}

// Guards against accepted jobs that never run (LOST). A configuration had removed the only queue of their pool,
// and no entry claimed the pool after its owner had died.
func TestAPoolWithoutAQueueIsClaimedAfterItsOwnerHasDied(t *testing.T) {
	d := startDuties(t, &port.Config{Version: 2, Queues: []port.Queue{{Name: "verify", Pool: "docs"}}})
	require.NoError(t, d.UpdateClaims(t.Context(), claimed("docs", "records")))
	showAlone(t, d, nil)
	require.Eventually(t, func() bool { return d.Holder("records") != nil && d.Holder("docs") != nil }, 5*time.Second, 5*time.Millisecond)
}

// Guards against two owners of a pool whose queue was removed while its owner is alive.
func TestAPoolWithoutAQueueStaysWithItsOwner(t *testing.T) {
	d := startDuties(t, &port.Config{Version: 2, Queues: []port.Queue{{Name: "verify", Pool: "docs"}}})
	require.NoError(t, d.UpdateClaims(t.Context(), claimed("docs", "records")))
	showAlone(t, d, map[string]roster.Owner{"records": {Name: "other", Epoch: 1}})
	require.Eventually(t, func() bool { return d.Holder("docs") != nil }, 5*time.Second, 5*time.Millisecond)
	require.Nil(t, d.Holder("records"))
}

// Guards against entries that claim the singletons of other releases as if they were pools.
func TestSingletonsOfOtherReleasesAreNotClaimedAsPools(t *testing.T) {
	d := startDuties(t, &port.Config{Version: 2})
	require.NoError(t, d.UpdateClaims(t.Context(), claimed("*later", "records")))
	showAlone(t, d, nil)
	require.Eventually(t, func() bool { return d.Holder("records") != nil && d.Holder("*machines") != nil }, 5*time.Second, 5*time.Millisecond)
	require.Nil(t, d.Holder("*later"))
}

// Guards against calls for a singleton that the configuration has no use for.
func TestASingletonIsClaimedOnceTheConfigurationNeedsIt(t *testing.T) {
	isNeeded := func(c *port.Config) bool { return len(c.Tenants) > 0 }
	d := duties.Start(
		duties.Settings{
			Entry: "e", Incarnation: 1, Partitions: 4, Pools: prepareIdle,
			Singletons: map[string]duties.PrepareFunc{"*caps": prepareIdle, "*machines": prepareIdle},
			Needed:     map[string]func(*port.Config) bool{"*caps": isNeeded},
		},
		emptyLog{}, slog.New(slog.NewJSONHandler(io.Discard, nil)), func(map[string]int64, []string) {})
	t.Cleanup(d.Close)
	require.NoError(t, d.Configure(t.Context(), &port.Config{Version: 1}))
	showAlone(t, d, nil)
	require.Eventually(t, func() bool { return d.Holder("*machines") != nil }, 5*time.Second, 5*time.Millisecond)
	require.Nil(t, d.Holder("*caps"))
	require.NoError(t, d.Configure(t.Context(), &port.Config{Version: 2, Tenants: []port.Tenant{{Name: "t"}}}))
	showAlone(t, d, map[string]roster.Owner{"*machines": {Name: "e", Epoch: 1}})
	require.Eventually(t, func() bool { return d.Holder("*caps") != nil }, 5*time.Second, 5*time.Millisecond)
}
