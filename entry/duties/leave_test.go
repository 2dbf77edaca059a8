package duties_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/claim"
	"carawaymux.dev/entry/duties"
	"carawaymux.dev/entry/roster"
	"carawaymux.dev/fleet/port"
)

// testEntry is the part of an entry that owns pools.
type testEntry struct {
	roster *roster.Roster
	duties *duties.Duties
}

// startMember starts an entry with one pool. The state of a pool that has an owner is read by preload.
func startMember(t *testing.T, s *fakeStore, name string, capacity int, preload duties.PreloadFunc) *testEntry {
	logger := slog.New(slog.DiscardHandler)
	e := &testEntry{}
	started := make(chan struct{})
	e.duties = duties.Start(
		duties.Settings{Entry: name, Incarnation: 1, Partitions: 1, Pools: prepareIdle, Preload: preload}, s, logger,
		func(owned map[string]int64, claimed []string) {
			<-started
			e.roster.SetDuties(owned, claimed)
		})
	e.roster = roster.Start(s, roster.Heartbeat{Name: name, Zone: "z", Address: name, Incarnation: 1, Capacity: capacity}, logger,
		func(v *roster.View) {
			<-started
			_ = e.duties.UpdateView(t.Context(), v)
		})
	e.roster.SetPoolCount(1)
	close(started)
	require.NoError(t, e.duties.Configure(t.Context(), &port.Config{Version: 1, Queues: []port.Queue{{Name: "queue", Pool: "pool"}}}))
	t.Cleanup(func() { e.roster.Close(); e.duties.Close() })
	return e
}

// waitForEach waits until each entry sees all of them.
func waitForEach(t *testing.T, entries ...*testEntry) {
	require.Eventually(t, func() bool {
		for _, e := range entries {
			if v := e.roster.View(); len(v.Alive) != len(entries) || !v.Settled {
				return false
			}
		}
		return true
	}, 5*time.Second, 5*time.Millisecond)
}

func (e *testEntry) owns() bool { return e.duties.Holder("pool") != nil }

// leave stops the entry as a SIGTERM does, and closes the channel once its pools are given up.
func (e *testEntry) leave(ctx context.Context) <-chan struct{} {
	left := make(chan struct{})
	go func() {
		defer close(left)
		_ = e.roster.PrepareLeave(ctx)
		_ = e.duties.Leave(ctx)
	}()
	return left
}

// Guards against a pool that nobody serves for seconds in a rolling restart, because its owner gives it up before
// the next one reads a large state.
func TestAStoppingOwnerServesAPoolUntilTheNextOneHasReadItsState(t *testing.T) {
	s := &fakeStore{streams: map[port.Stream][]port.Record{}}
	reading, finish := make(chan struct{}), make(chan struct{})
	old := startMember(t, s, "old", 400, nil)
	require.Eventually(t, old.owns, 5*time.Second, 5*time.Millisecond)
	next := startMember(t, s, "next", 400, func(context.Context, string) (duties.PrepareFunc, error) {
		close(reading)
		<-finish
		return prepareIdle, nil
	})
	waitForEach(t, old, next)
	left := old.leave(t.Context())
	<-reading
	for range 50 {
		require.True(t, old.owns(), "the pool is served")
		require.Equal(t, "old", next.roster.View().Owners["pool"].Name, "requests find the owner")
		time.Sleep(20 * time.Millisecond)
	}
	close(finish)
	<-left
	require.True(t, next.owns())
	require.False(t, old.owns())
	require.Eventually(t, func() bool {
		return next.roster.View().Owners["pool"] == roster.Owner{Name: "next", Address: "next", Epoch: 2}
	}, 5*time.Second, 5*time.Millisecond)
}

// Guards against a stop that waits for entries that there are not.
func TestTheOnlyEntryGivesItsPoolsUpAtOnce(t *testing.T) {
	s := &fakeStore{streams: map[port.Stream][]port.Record{}}
	e := startMember(t, s, "only", 400, nil)
	require.Eventually(t, e.owns, 5*time.Second, 5*time.Millisecond)
	select {
	case <-e.leave(t.Context()):
	case <-time.After(time.Second):
		t.Error("the pool is not given up")
	}
	require.False(t, e.owns())
}

// Guards against a stop that takes longer than the time that it has.
func TestPoolsThatNobodyTakesOverAreGivenUpAtTheEndOfAStop(t *testing.T) {
	s := &fakeStore{streams: map[port.Stream][]port.Record{}}
	old := startMember(t, s, "old", 400, nil)
	require.Eventually(t, old.owns, 5*time.Second, 5*time.Millisecond)
	next := startMember(t, s, "next", 400, func(ctx context.Context, _ string) (duties.PrepareFunc, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	waitForEach(t, old, next)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	left := old.leave(ctx)
	<-left
	require.Error(t, ctx.Err())
	require.False(t, old.owns())
}

// Guards against a pool that stays without an owner when the entry that was to take it over stops too.
func TestAPoolIsTakenOverByAnotherEntryWhenTheNextOwnerStopsAsWell(t *testing.T) {
	s := &fakeStore{streams: map[port.Stream][]port.Record{}}
	reading := make(chan struct{}, 2)
	old := startMember(t, s, "old", 400, nil)
	require.Eventually(t, old.owns, 5*time.Second, 5*time.Millisecond)
	second := startMember(t, s, "second", 800, func(ctx context.Context, _ string) (duties.PrepareFunc, error) {
		reading <- struct{}{}
		<-ctx.Done()
		return nil, ctx.Err()
	})
	third := startMember(t, s, "third", 400, func(context.Context, string) (duties.PrepareFunc, error) { return prepareIdle, nil })
	waitForEach(t, old, second, third)
	oldLeft := old.leave(t.Context())
	<-reading
	second.leave(t.Context())
	<-oldLeft
	require.True(t, third.owns())
}

// Guards against two owners: an entry that has read the state of a pool fences off one that has taken it over meanwhile.
func TestAPoolThatHasANewOwnerIsNotClaimedAfterItsStateWasRead(t *testing.T) {
	reading, finish := make(chan struct{}), make(chan struct{})
	d := duties.Start(
		duties.Settings{Entry: "e", Incarnation: 1, Partitions: 4, Pools: prepareIdle, Preload: func(context.Context, string) (duties.PrepareFunc, error) {
			close(reading)
			<-finish
			return func(context.Context, *claim.Claim) (duties.StartFunc, error) {
				t.Error("the pool was claimed")
				return startIdle, nil
			}, nil
		}},
		emptyLog{}, slog.New(slog.DiscardHandler), func(map[string]int64, []string) {})
	t.Cleanup(d.Close)
	require.NoError(t, d.Configure(t.Context(), &port.Config{Version: 1, Queues: []port.Queue{{Name: "queue", Pool: "pool"}}}))
	showAlone(t, d, map[string]roster.Owner{"pool": {Name: "old", Epoch: 1, Leaving: true}})
	<-reading
	showAlone(t, d, map[string]roster.Owner{"pool": {Name: "other", Epoch: 2}})
	close(finish)
	time.Sleep(200 * time.Millisecond)
	require.Nil(t, d.Holder("pool"))
}

// Guards against machines that are not ordered for a while after each stop: the holder of the machines stores what it has
// ordered before it gives them up, which it cannot do once it is fenced off.
func TestASingletonIsNotClaimedBeforeItsHolderHasGivenItUp(t *testing.T) {
	d := startDuties(t, &port.Config{Version: 1})
	showAlone(t, d, map[string]roster.Owner{"*machines": {Name: "old", Epoch: 1, Leaving: true}})
	time.Sleep(200 * time.Millisecond)
	require.Nil(t, d.Holder("*machines"))
	showAlone(t, d, nil)
	require.Eventually(t, func() bool { return d.Holder("*machines") != nil }, 5*time.Second, 5*time.Millisecond)
}
