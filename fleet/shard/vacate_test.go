package shard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// A new owner reported hosts as empty that had not answered it yet. Their machines went into maintenance,
// which ended the long-running work on them.
func TestAHostThatHasNotAnsweredANewOwnerIsNotEmpty(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	timing := shard.Timing{Lease: 3 * time.Second, MaxLease: 6 * time.Second, Grace: 4 * time.Second}
	s := shard.New("pool", 2, timing, now)
	host := port.Host{ID: "h", Pool: "pool", Capacity: batch.Size{MilliCores: 16_000}}
	s.RestoreHost(host)
	h := s.UpdateHost(host, now)
	require.False(t, s.Vacate(h, now, time.Second))

	later := now.Add(timing.Grace + 2*timing.Lease)
	s.ConfirmedAt = later
	require.True(t, s.Vacate(h, later, time.Second), "nothing can be running after its lease")

	s.HandleReport("h", &port.HostReport{Clock: 1000, ReceivedAt: now}, now)
	require.True(t, s.Vacate(h, now, time.Second), "it has reported that nothing runs")

	unused := s.UpdateHost(port.Host{ID: "new", Pool: "pool"}, now)
	require.True(t, s.Vacate(unused, now, time.Second), "no owner has given it work")
}

// Guards against work that is lost with its machine (AVAIL): a host that was called empty ended, left the list and was listed
// again under its ID before the order came.
func TestAHostThatIsListedAgainKeepsItsCordon(t *testing.T) {
	o := newOwner(t, 1, "a")
	o.report("a")
	require.True(t, o.Vacate(o.Hosts["a"], o.now, 3*time.Second))
	o.HostEnded("a", o.now)
	o.UnlistHost("a")
	o.advance(100 * time.Millisecond)
	require.Equal(t, []string{"a"}, o.ExpireLeases(o.now))
	o.submit("waits", longRunningStep(1, 0, 0))
	o.addHost("a")
	require.Empty(t, o.start())
	o.advance(3 * time.Second)
	o.report("a")
	o.advance(time.Millisecond)
	require.Len(t, o.start(), 1)
}

// Guards against an order for a machine that ends the work of the next host there (AVAIL): the holder of the machines asked
// by an old list about the one before, which had ended.
func TestAHostThatMayHaveEndedIsNotCalledEmpty(t *testing.T) {
	o := newOwner(t, 1, "a", "b")
	a, b := o.Hosts["a"], o.Hosts["b"]
	o.report("a")
	o.report("b")
	require.True(t, o.Vacate(a, o.now, time.Second))
	require.True(t, o.Vacate(b, o.now, time.Second))
	o.HostEnded("a", o.now)
	require.False(t, o.Vacate(a, o.now, time.Second), "it has ended")
	o.HeartbeatSent("b", o.now)
	o.HeartbeatFailed("b", false, o.now)
	require.False(t, o.Vacate(b, o.now, time.Second), "its connection is gone")
	o.report("b")
	require.True(t, o.Vacate(b, o.now, time.Second))
	o.advance(2 * time.Second)
	require.False(t, o.Vacate(b, o.now, time.Second), "it is silent")
	o.advance(time.Minute)
	require.True(t, o.Vacate(b, o.now, time.Second), "a list would show its successor by now")
}

// Guards against work that starts on a host which was called empty because the list of hosts did not
// contain it yet (AVAIL).
func TestAHostThatJoinsAfterARequestToEmptyItTakesNoWork(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	s := shard.New("pool", 1, shard.Timing{Lease: 3 * time.Second, MaxLease: 6 * time.Second, Grace: 4 * time.Second}, now)
	s.SetQueue(port.Queue{Name: "q", Pool: "pool"})
	step := batch.Step{Count: 1, Need: batch.Size{MilliCores: 1000}, Estimate: time.Second}
	j, _ := s.Submit("0000000000000001", batch.Spec{Queue: "q", Steps: []batch.Step{step}}, now)
	s.MarkStored(j)
	const cordon = 3 * time.Second
	s.CordonUnlisted("h", now, cordon)

	join := func(at time.Time) int {
		h := s.UpdateHost(port.Host{ID: "h", Pool: "pool", Capacity: batch.Size{MilliCores: 16_000}}, at)
		h.Stored = true
		s.HandleReport("h", &port.HostReport{Clock: at.UnixMilli(), ReceivedAt: at}, at)
		s.ConfirmedAt = at.Add(time.Millisecond)
		shard.PlanWithin(s, shard.ByLoad{}, shard.Limits{Starts: 10, StartsPerHost: 10}, at, at.UnixMilli())
		return len(s.TakeOrders())
	}
	require.Zero(t, join(now.Add(100*time.Millisecond)))
	require.Equal(t, 1, join(now.Add(cordon+time.Millisecond)), "the cordon has expired")
}

// Guards against long-running tasks that do not run (LOST): more of them were stopped to empty a host than other hosts
// have room for.
func TestLongRunningTasksAreNotMovedIntoTheSameRoom(t *testing.T) {
	o := newOwner(t, 1, "a")
	half := longRunningStep(1, 0, 0)
	half.Need.MilliCores = 2000
	o.submit("first", half)
	o.submit("second", half)
	rows := []any{}
	for _, start := range o.start() {
		rows = append(rows, runningRow(start, 100))
	}
	require.Len(t, rows, 2)
	o.report("a", rows...)
	o.addHost("b")
	o.submit("ends", batch.Step{Count: 1, Need: batch.Size{MilliCores: 2000}, Estimate: time.Minute})
	require.Len(t, o.start(), 1)
	for range 3 {
		o.Vacate(o.Hosts["a"], o.now, time.Second)
	}
	require.Len(t, o.TakeOrders(), 1)
}

// Guards against long-running tasks that do not run (LOST): others were stopped to empty a host, although a task
// waited for the room on the other hosts.
func TestLongRunningTasksAreNotMovedIntoRoomForWhichOthersWait(t *testing.T) {
	o := newOwner(t, 1, "a", "b")
	spread := longRunningStep(2, 1, 0)
	spread.Need.MilliCores = 3000
	o.submit("runs", spread)
	starts := o.start()
	require.Len(t, starts, 2)
	for _, start := range starts {
		o.report(start.Host, runningRow(start, 100))
	}
	o.addHost("c")
	large := longRunningStep(1, 0, 0)
	large.Need.MilliCores = 4000
	o.submit("waits", large)
	o.open()
	o.Vacate(o.Hosts["a"], o.now, time.Second)
	require.Empty(t, o.TakeOrders())
	require.Len(t, o.plan(), 1, "the room is for the task that waits")
}

// Guards against a long-running task that does not run, with room for it (LOST): the hosts with room were being emptied
// and could not become empty.
func TestLongRunningTasksRunOnHostsThatCannotBeEmptied(t *testing.T) {
	o := newOwner(t, 1, "a")
	o.submit("stays", longRunningStep(1, 0, 0))
	stays := o.start()
	require.Len(t, stays, 1)
	o.report("a", runningRow(stays[0], 100))
	o.addHost("b")
	o.addHost("c")
	o.submit("ends", smallStep(8))
	o.Hosts["a"].CordonedUntil = o.now.Add(time.Millisecond)
	require.Len(t, o.start(), 8)
	o.advance(time.Second)
	o.submit("waits", longRunningStep(1, 0, 0))
	for range 25 {
		require.False(t, o.Vacate(o.Hosts["a"], o.now, time.Second))
		starts := o.start()
		if len(starts) > 0 {
			require.Equal(t, "a", starts[0].Host)
			require.Equal(t, "waits", starts[0].Ref.Job)
			return
		}
		o.advance(100 * time.Millisecond)
		o.report("a", runningRow(stays[0], 100))
	}
	require.Fail(t, "the task has not run for 2.5 s")
}

// Guards against work that is lost with its machine: a host that was called empty got a long-running task.
func TestLongRunningTasksDoNotRunOnHostsThatWereCalledEmpty(t *testing.T) {
	o := newOwner(t, 1, "a")
	for range 30 {
		require.True(t, o.Vacate(o.Hosts["a"], o.now, time.Second))
		o.advance(100 * time.Millisecond)
		o.report("a")
	}
	o.submit("waits", longRunningStep(1, 0, 0))
	require.Empty(t, o.start())
}

// Guards against a wave that is late because waiting long-running work starts on a host that would soon have been empty.
func TestAHostIsEmptiedAlthoughALongRunningTaskWaits(t *testing.T) {
	o := newOwner(t, 1, "a", "b")
	full := longRunningStep(1, 0, 0)
	full.Need.MilliCores = 4000
	o.submit("full", full)
	f := o.start()
	require.Len(t, f, 1)
	other := map[string]string{"a": "b", "b": "a"}[f[0].Host]
	o.report(f[0].Host, runningRow(f[0], 100))
	o.submit("ends", batch.Step{Count: 1, Need: batch.Size{MilliCores: 1000}, Estimate: 3 * time.Second})
	e := o.start()
	require.Len(t, e, 1)
	require.Equal(t, other, e[0].Host)
	o.submit("lasts", longRunningStep(1, 0, 0))
	rows := []any{runningRow(e[0], 50)}
	began := o.now
	empty := false
	for range 120 {
		o.report(f[0].Host, runningRow(f[0], 100))
		if o.now.Sub(began) > 3*time.Second && len(rows) > 0 {
			rows = append([]any{doneRow(1, e[0])}, rows[1:]...)
		}
		o.report(other, rows...)
		empty = empty || o.Vacate(o.Hosts[other], o.now, 3*time.Second)
		for _, s := range o.start() {
			rows = append(rows, runningRow(s, 100))
		}
		o.advance(100 * time.Millisecond)
	}
	require.True(t, empty, "not empty within 12 s")
}
