package shard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/shard"
)

const leaveTime = 1500 * time.Millisecond

// vacate asks for a host to be emptied by an order.
func (o *owner) vacate(host string, order shard.LeaveOrder) bool {
	o.NoteLeave(o.Hosts[host], order)
	return o.Vacate(o.Hosts[host], o.now, leaveTime)
}

func TestOccupancyNamesTheOrderThatKeepsAHostFromWork(t *testing.T) {
	o := newOwner(t, 1, "a", "b", "c", "d", "e")
	o.submit("lasts", longRunningStep(1, 0, 0))
	starts := o.start()
	require.Len(t, starts, 1)
	busy := starts[0].Host
	o.report(busy, runningRow(starts[0], 50))
	var idle []string
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		if id != busy {
			o.report(id)
			idle = append(idle, id)
		}
	}
	o.addHost("f")
	o.Hosts["f"].Confirmed = false
	o.Hosts[idle[2]].Draining = true
	move := shard.LeaveOrder{Purpose: shard.ForMove, Holder: "h", Epoch: 3}
	wave := shard.LeaveOrder{Purpose: shard.ForWave, Holder: "h", Epoch: 3}
	since := o.now
	require.False(t, o.vacate(busy, wave))
	require.True(t, o.vacate(idle[0], move))
	got := o.Occupancy(8, o.now.Add(time.Millisecond))
	require.Equal(t, 2, got.Working)
	require.Equal(t, 2, got.Unused)
	require.Equal(t, 1, got.Draining)
	require.Equal(t, 1, got.Arriving)
	require.Equal(t, map[shard.Purpose]int{shard.ForMove: 1, shard.ForWave: 1}, got.Leaving)
	require.ElementsMatch(t, []shard.LeavingHost{
		{Host: busy, Since: since, Order: wave, Wait: shard.ForLongRunning}, {Host: idle[0], Since: since, Order: move, Wait: shard.ForOrder},
	}, got.Longest)
	require.Len(t, o.Occupancy(1, o.now).Longest, 1)
	o.HostEnded(idle[0], o.now)
	require.Zero(t, o.Occupancy(8, o.now).Leaving[shard.ForMove], "its machine has gone")
}

// Guards against hosts that take no work for a holder of the machines that was replaced: its requests went on, and the next one did
// not know of them.
func TestANewHolderOfTheMachinesEndsTheLeavesOfTheFormerOne(t *testing.T) {
	o := newOwner(t, 1, "a", "b", "c")
	for _, id := range []string{"a", "b", "c"} {
		o.report(id)
	}
	first, second := shard.LeaveOrder{Purpose: shard.ForMove, Holder: "h", Epoch: 1}, shard.LeaveOrder{Purpose: shard.ForMove, Holder: "i", Epoch: 2}
	require.True(t, o.AdmitHolder(first, o.now))
	require.True(t, o.vacate("a", first))
	require.True(t, o.vacate("b", first))
	fence := o.now.Add(3 * time.Second)
	o.CallEmpty("b", fence)
	require.True(t, o.AdmitHolder(second, o.now))
	require.False(t, o.AdmitHolder(first, o.now), "it was replaced")
	require.True(t, o.AdmitHolder(shard.LeaveOrder{}, o.now), "holders of earlier releases send no epoch")
	o.advance(time.Millisecond)
	o.ConfirmedAt = o.now
	require.Equal(t, shard.NoObstacle, o.ObstacleTo(o.Hosts["a"], o.now))
	require.Equal(t, shard.Leaving, o.ObstacleTo(o.Hosts["b"], o.now), "its machine may be ordered")
	require.Equal(t, fence, o.Hosts["b"].CordonedUntil)
}

// Guards against a host that was called empty and gets work because another request ends or repeats its leave (AVAIL).
func TestAHostThatWasCalledEmptyKeepsItsFence(t *testing.T) {
	o := newOwner(t, 1, "a")
	o.report("a")
	order := shard.LeaveOrder{Purpose: shard.ForMove, Holder: "h", Epoch: 1}
	require.True(t, o.vacate("a", order))
	fence := o.now.Add(3 * time.Second)
	o.CallEmpty("a", fence)
	o.EndLeaves([]string{"a"}, order, o.now)
	require.Equal(t, fence, o.Hosts["a"].CordonedUntil)
	o.advance(time.Second)
	o.vacate("a", order)
	require.Equal(t, fence, o.Hosts["a"].CordonedUntil)
	o.advance(time.Second)
	o.vacate("a", order)
	o.EndLeaves([]string{"a"}, order, o.now)
	require.Equal(t, fence, o.Hosts["a"].CordonedUntil, "what exceeds the fence is taken back")
}

// Guards against a move that is taken back by a request that was meant for another order.
func TestALeaveIsTakenBackByItsOwnOrderOnly(t *testing.T) {
	o := newOwner(t, 1, "a")
	o.report("a")
	order := shard.LeaveOrder{Purpose: shard.ForMove, Holder: "h", Epoch: 2}
	require.True(t, o.vacate("a", order))
	for _, other := range []shard.LeaveOrder{
		{Purpose: shard.ForWave, Holder: "h", Epoch: 2}, {Purpose: shard.ForMove, Holder: "i", Epoch: 2}, {Purpose: shard.ForMove, Holder: "h", Epoch: 1},
	} {
		o.EndLeaves([]string{"a"}, other, o.now)
		require.Equal(t, shard.Leaving, o.ObstacleTo(o.Hosts["a"], o.now))
	}
	o.EndLeaves([]string{"a", "unknown"}, order, o.now)
	o.ConfirmedAt = o.now.Add(time.Millisecond)
	require.Equal(t, shard.NoObstacle, o.ObstacleTo(o.Hosts["a"], o.now))
}
