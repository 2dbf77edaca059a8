package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

func TestADrainingHostGetsNoNewWork(t *testing.T) {
	o := newOwner(t, 1, "a")
	h := o.Hosts["a"].Host
	h.Draining = true
	o.UpdateHost(h, o.now)
	o.submit("job", smallStep(1))
	require.Empty(t, o.plan())
}

func TestVacateMovesLongRunningWorkOneAtATime(t *testing.T) {
	o := newOwner(t, 1, "a", "b", "c")
	o.submit("job", longRunningStep(2, 1, 1))
	starts := o.start()
	require.Len(t, starts, 2)
	for _, start := range starts {
		o.report(start.Host, runningRow(start, 100))
	}
	first, second := starts[0], starts[1]
	require.False(t, o.Vacate(o.Hosts[first.Host], o.now, time.Second))
	require.Len(t, o.TakeOrders(), 1)
	require.False(t, o.Vacate(o.Hosts[second.Host], o.now, time.Second))
	require.Empty(t, o.TakeOrders(), "one task of the step is unavailable already")
	o.report(first.Host, port.FinishedRun{Number: 1, Unit: first.Ref.String(), Run: first.Run, Result: port.ResultStopped})
	require.True(t, o.Vacate(o.Hosts[first.Host], o.now, time.Second))
	moved := o.start()
	require.Len(t, moved, 1)
	o.report(moved[0].Host, runningRow(moved[0], 40))
	o.Vacate(o.Hosts[second.Host], o.now, time.Second)
	require.Empty(t, o.TakeOrders(), "the moved task does not serve yet")
}

// Guards against stopping one task too many: a task on a host that had just been lost counted as
// serving.
func TestUnitsOnSilentHostsAreUnavailable(t *testing.T) {
	o := newOwner(t, 1, "a", "b", "c")
	o.submit("job", longRunningStep(2, 1, 1))
	starts := o.start()
	for _, start := range starts {
		o.report(start.Host, runningRow(start, 100))
	}
	o.advance(1500 * time.Millisecond)
	for _, id := range []string{"a", "b", "c"} {
		if id != starts[0].Host {
			row := []any{}
			if id == starts[1].Host {
				row = append(row, runningRow(starts[1], 100))
			}
			o.report(id, row...)
		}
	}
	o.Vacate(o.Hosts[starts[1].Host], o.now, time.Second)
	require.Empty(t, o.TakeOrders())
}

// Guards against a new owner that stops one task too many: a task that the previous owner had
// ordered to stop was still reported as serving.
func TestANewOwnerStopsNoLongRunningWorkUntilEarlierStopsShow(t *testing.T) {
	o := newOwner(t, 2, "a", "b", "c")
	o.submit("job", longRunningStep(2, 1, 1))
	starts := o.start()
	for _, start := range starts {
		o.report(start.Host, runningRow(start, 100))
		o.Hosts[start.Host].FirstAnswer = o.now
	}
	o.Vacate(o.Hosts[starts[1].Host], o.now, time.Second)
	require.Empty(t, o.TakeOrders())
	o.advance(timing.StopTimeout + 1300*time.Millisecond)
	for _, id := range []string{"a", "b", "c"} {
		var rows []any
		for _, start := range starts {
			if start.Host == id {
				rows = append(rows, runningRow(start, 100))
			}
		}
		o.report(id, rows...)
	}
	o.Vacate(o.Hosts[starts[1].Host], o.now, time.Second)
	require.Len(t, o.TakeOrders(), 1)
}

func TestVacateStopsNoLongRunningWorkThatFitsNowhereElse(t *testing.T) {
	o := newOwner(t, 1, "a")
	o.submit("job", longRunningStep(1, 0, 1))
	starts := o.start()
	o.report("a", runningRow(starts[0], 100))
	o.Vacate(o.Hosts["a"], o.now, time.Second)
	require.Empty(t, o.TakeOrders())
}

func TestAHostThatFailsEveryRunIsUnhealthy(t *testing.T) {
	o := newOwner(t, 1, "bad", "good", "fine")
	number := int64(0)
	for i := 0; i < 40 && !o.now.Before(o.Hosts["bad"].UnhealthyUntil); i++ {
		o.submit(fmt.Sprintf("job-%d", i), smallStep(1))
		for _, order := range o.start() {
			number++
			e := doneRow(number, order)
			if order.Host == "bad" {
				e.Result = port.ResultFailed
			}
			o.report(order.Host, e)
		}
	}
	require.True(t, o.now.Before(o.Hosts["bad"].UnhealthyUntil))
	require.False(t, o.now.Before(o.Hosts["good"].UnhealthyUntil))
}

func TestBestEffortWorkIsThrottledForServingWork(t *testing.T) {
	o := newOwner(t, 1, "a")
	serving := longRunningStep(1, 0, 1)
	serving.TailLatency = 100 * time.Millisecond
	bestEffort := longRunningStep(1, 0, 1)
	bestEffort.BestEffort = true
	o.submit("job", serving, bestEffort)
	starts := o.start()
	require.Len(t, starts, 2)
	reportTail := func(tail float64) []shard.Order {
		o.advance(time.Second)
		servingRun, bestEffortRun := runningRow(starts[0], 100), runningRow(starts[1], 100)
		servingRun.Load = tail
		o.report("a", servingRun, bestEffortRun)
		return o.TakeOrders()
	}
	require.Empty(t, reportTail(50))
	down := reportTail(120)
	require.Len(t, down, 1)
	require.Equal(t, shard.OrderThrottle, down[0].Kind)
	require.Equal(t, starts[1].Ref, down[0].Ref)
	require.Zero(t, down[0].Percent)
	require.Empty(t, reportTail(120), "the task is throttled already")
	// An order without an answer is given again.
	o.HandleThrottleResult(&down[0], errNoAnswer)
	require.Len(t, reportTail(120), 1)
	require.Empty(t, reportTail(80), "the limit stays between the two thresholds")
	var back []int
	for range 20 {
		for _, up := range reportTail(40) {
			back = append(back, up.Percent)
		}
	}
	require.Equal(t, []int{25, 50, 75, 100}, back)
}
