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
}
