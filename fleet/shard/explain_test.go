package shard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

func TestExplainNamesWhatATaskWaitsFor(t *testing.T) {
	first := batch.Ref{Job: "job"}
	labelled, large, spread, gang := smallStep(1), smallStep(1), smallStep(2), smallStep(5)
	labelled.RequiredLabel = "gpu"
	large.Need.MilliCores = 5000
	spread.PerHost = 1
	gang.Gang = true
	later := smallStep(1)
	later.After = []int{0}
	for name, c := range map[string]struct {
		prepare func(o *owner)
		ref     batch.Ref
		reason  shard.Reason
	}{
		"unknown": {func(*owner) {}, first, shard.Unknown},
		"not due": {func(o *owner) { o.submit("job", smallStep(1)) }, first, shard.Unknown},
		"cancelled": {func(o *owner) {
			o.submit("job", smallStep(1))
			o.plan()
			o.Cancel("job", o.now)
		}, first, shard.Ended},
		"not stored": {func(o *owner) {
			o.Submit("job", batch.Spec{Queue: "q", Steps: []batch.Step{smallStep(1)}}, o.now)
			o.open()
		}, first, shard.NotStored},
		"later step": {func(o *owner) {
			o.submit("job", smallStep(1), later)
			o.plan()
		}, batch.Ref{Job: "job", Step: 1}, shard.NotReady},
		"running": {func(o *owner) {
			o.submit("job", smallStep(1))
			o.start()
		}, first, shard.Assigned},
		"start not answered": {func(o *owner) {
			o.submit("job", smallStep(1))
			starts := o.plan()
			o.HandleStartResult(&starts[0], 0, errNoAnswer, o.now)
		}, first, shard.Unanswered},
		"run reported by a host that had ended": {func(o *owner) {
			o.submit("job", smallStep(1))
			starts := o.start()
			o.report("a", runningRow(starts[0], 10))
			o.HostEnded("a", o.now)
			o.advance(time.Millisecond)
			o.report("a", runningRow(starts[0], 20))
		}, first, shard.RunReported},
		"claim not confirmed": {func(o *owner) {
			o.submit("job", smallStep(1))
			starts := o.start()
			o.report("a", runningRow(starts[0], 10))
			o.HostEnded("a", o.now)
		}, first, shard.EndUnknown},
		"no host": {func(o *owner) {
			o.UnlistHost("a")
			o.submit("job", smallStep(1))
			o.plan()
		}, first, shard.NoHost},
		"label": {func(o *owner) {
			o.submit("job", labelled)
			o.plan()
		}, first, shard.NoLabel},
		"ticket": {func(o *owner) {
			o.HasPolicyService = true
			o.SetQueue(port.Queue{Name: "q", Pool: "pool", Advice: &port.Advice{}})
			o.submit("job", smallStep(1))
			o.plan()
		}, first, shard.NoTicket},
		"room": {func(o *owner) {
			o.submit("job", large)
			o.plan()
		}, first, shard.NoRoom},
		"spread": {func(o *owner) {
			o.submit("job", spread)
			o.start()
		}, batch.Ref{Job: "job", Index: 1}, shard.Spread},
		"gang": {func(o *owner) {
			o.submit("job", gang)
			o.plan()
		}, first, shard.Members},
		"busy": {func(o *owner) {
			o.submit("other", smallStep(1))
			o.plan()
			o.submit("job", smallStep(1))
			o.open()
		}, first, shard.Busy},
		"outranked": {func(o *owner) {
			o.submit("job", smallStep(1))
			o.open()
		}, first, shard.Outranked},
	} {
		t.Run(name, func(t *testing.T) {
			o := newOwner(t, 1, "a")
			c.prepare(o)
			require.Equal(t, c.reason, o.Explain(c.ref, o.now))
		})
	}
}

func TestExplainNamesTheUnansweredHostOfAnEarlierOwner(t *testing.T) {
	o := newOwner(t, 2, "a")
	o.RestoreHost(port.Host{ID: "b", Pool: "pool"})
	o.Restore("job", batch.Spec{Queue: "q", Steps: []batch.Step{smallStep(1)}}, nil, o.now)
	o.plan()
	require.Equal(t, shard.EarlierOwner, o.Explain(batch.Ref{Job: "job"}, o.now))
}

func TestWaitingCountsHostsByObstacleAndStepsByReason(t *testing.T) {
	o := newOwner(t, 1, "a", "b", "c", "d")
	o.UnlistHost("b")
	o.HostEnded("c", o.now)
	o.Hosts["d"].CordonedUntil = o.now.Add(time.Minute)
	spread := smallStep(3)
	spread.PerHost = 1
	o.submit("old", spread)
	starts := o.start()
	require.Len(t, starts, 1)
	o.advance(2 * time.Second)
	o.report("a", runningRow(starts[0], 10))
	large := longRunningStep(1, 0, 0)
	large.Need.MilliCores = 4000
	o.submit("new", large)
	o.start()
	w := o.Waiting(o.now)
	require.Equal(t, 2, w.Steps)
	require.Equal(t, 3, w.Tasks)
	require.Equal(t, 1, w.LongRunning)
	require.Equal(t, 1, w.Hosts[shard.NoObstacle])
	require.Equal(t, 1, w.Hosts[shard.Unlisted])
	require.Equal(t, 1, w.Hosts[shard.Leaving])
	require.Equal(t, 1, w.Hosts[shard.Silent])
	require.Equal(t, 1, w.Roomy)
	require.Equal(t, 1, w.Reserved)
	require.Equal(t, map[shard.Reason]int{shard.Spread: 1, shard.NoRoom: 1}, w.Reasons)
	require.Equal(t, shard.Spread, w.OldestReason)
	require.Equal(t, 2*time.Second, w.Age)
	require.Equal(t, batch.Ref{Job: "old", Index: 1}, w.Oldest)
	require.Equal(t, map[shard.Reason]int{shard.NoRoom: 1}, w.LongRunningReasons)
	require.Equal(t, batch.Ref{Job: "new"}, w.LongRunningTask)
}

// open opens the occurrences that are due, and starts nothing.
func (o *owner) open() {
	shard.PlanWithin(o.State, shard.BySlack{}, shard.Limits{}, o.now, o.now.UnixMilli())
}
