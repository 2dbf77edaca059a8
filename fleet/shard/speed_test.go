package shard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// startWork starts tasks of two seconds that use all capacity of the hosts, and returns their
// orders by host.
func (o *owner) startWork(hosts int) map[string][]shard.Order {
	o.t.Helper()
	step := smallStep(4 * hosts)
	step.Estimate = 2 * time.Second
	o.submit("job", step)
	out := map[string][]shard.Order{}
	for _, order := range o.start() {
		out[order.Host] = append(out[order.Host], order)
	}
	require.Len(o.t, out, hosts)
	return out
}

// progress advances the clocks, and makes all hosts report their runs at the given percentages.
func (o *owner) progress(work map[string][]shard.Order, percent map[string]float64) {
	o.advance(500 * time.Millisecond)
	for host, orders := range work {
		var rows []any
		for _, order := range orders {
			rows = append(rows, runningRow(order, percent[host]))
		}
		o.report(host, rows...)
	}
}

func onlyStops(orders []shard.Order) []shard.Order {
	var out []shard.Order
	for _, order := range orders {
		if order.Kind == shard.OrderStop {
			out = append(out, order)
		}
	}
	return out
}

// Guards against waiting for work on a host on which it stands still or runs at a sixth of the
// usual speed. Each job that had a task there was late.
func TestWorkOnASlowHostMovesWhereThereIsRoom(t *testing.T) {
	o := newOwner(t, 1, "a", "b", "c", "d")
	work := o.startWork(4)
	o.addHost("e")
	percents := func(slow, usual float64) map[string]float64 {
		return map[string]float64{"a": slow, "b": usual, "c": usual, "d": usual}
	}
	o.progress(work, percents(0, 10))
	o.progress(work, percents(4, 35))
	o.progress(work, percents(8, 60))
	moved := onlyStops(o.plan())
	require.Len(t, moved, 4, "no more tasks move than fit on the free host")
	for _, order := range moved {
		require.Equal(t, "a", order.Host)
	}
	require.False(t, o.Schedulable(o.Hosts["a"], o.now), "a slow host gets no new work")
	// The tasks start on another host once their ends have been reported.
	var rows []any
	for i, order := range moved {
		rows = append(rows, port.FinishedRun{Number: int64(i + 1), Unit: order.Ref.String(), Run: order.Run, Result: port.ResultStopped})
	}
	o.report("a", rows...)
	for _, order := range o.plan() {
		require.Equal(t, "e", order.Host)
	}
}

func TestWorkStaysWhereThereIsNoRoomElsewhere(t *testing.T) {
	o := newOwner(t, 1, "a", "b", "c", "d")
	work := o.startWork(4)
	for _, p := range []float64{0, 25, 50} {
		o.progress(work, map[string]float64{"a": 0, "b": p, "c": p, "d": p})
	}
	require.Empty(t, onlyStops(o.plan()))
}

// Estimates may be wrong for all tasks. A pool that is slow as a whole has no slow host.
func TestAPoolThatIsSlowAsAWholeKeepsItsHosts(t *testing.T) {
	o := newOwner(t, 1, "a", "b", "c", "d")
	work := o.startWork(4)
	o.addHost("e")
	for _, p := range []float64{0, 3, 6, 9} {
		o.progress(work, map[string]float64{"a": p, "b": p, "c": p, "d": p})
	}
	require.Empty(t, onlyStops(o.plan()))
	for _, h := range []string{"a", "b", "c", "d"} {
		require.True(t, o.Schedulable(o.Hosts[h], o.now))
	}
}

func TestWorkThatIsNearlyDoneIsNotMoved(t *testing.T) {
	o := newOwner(t, 1, "a", "b", "c", "d")
	work := o.startWork(4)
	o.addHost("e")
	for i, p := range []float64{40, 65, 90} {
		o.progress(work, map[string]float64{"a": 85 + 4*float64(i), "b": p, "c": p, "d": p})
	}
	require.Empty(t, onlyStops(o.plan()))
}

func TestAHostThatRecoversIsUsedAgain(t *testing.T) {
	o := newOwner(t, 1, "a", "b", "c", "d")
	work := o.startWork(4)
	for _, p := range []float64{0, 15, 30} {
		o.progress(work, map[string]float64{"a": 0, "b": p, "c": p, "d": p})
	}
	require.False(t, o.Schedulable(o.Hosts["a"], o.now))
	for _, p := range []float64{40, 50, 60, 70, 80} {
		o.progress(work, map[string]float64{"a": p - 30, "b": p, "c": p, "d": p})
	}
	require.True(t, o.Schedulable(o.Hosts["a"], o.now))
}
