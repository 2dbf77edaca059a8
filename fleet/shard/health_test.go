package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
)

func TestHostsThatNeverAnsweredDoNotLetMoreOfTheOthersBecomeUnhealthy(t *testing.T) {
	for _, silent := range []int{0, 1, 20} {
		o := newOwner(t, 1, "a", "b", "c", "d")
		for i := range silent {
			id := fmt.Sprintf("silent-%d", i)
			o.UpdateHost(port.Host{ID: id, Address: id + ":1", Pool: "pool", Capacity: batch.Size{MilliCores: 4000, MemoryMB: 4000}}, o.now)
		}
		ends := int64(0)
		for job := range 60 {
			o.submit(fmt.Sprintf("%016x", job), smallStep(1))
			for _, order := range o.start() {
				ends++
				o.report(order.Host, port.FinishedRun{Number: ends, Unit: order.Ref.String(), Run: order.Run, Result: port.ResultFailed})
			}
			o.advance(10 * time.Millisecond)
		}
		unhealthy := 0
		for _, h := range o.Hosts {
			if o.now.Before(h.UnhealthyUntil) {
				unhealthy++
			}
		}
		require.Equal(t, 2, unhealthy, "of four hosts, beside %d that never answered", silent)
	}
}

// Guards against hosts that get no new work because long-running tasks, which never end as done, have failed there by
// themselves over time.
func TestLongRunningTasksThatFailAfterTheyHaveWorkedDoNotMakeTheirHostUnhealthy(t *testing.T) {
	o := newOwner(t, 1, "a")
	for i := range int64(4) {
		o.submit(fmt.Sprintf("job%d", i), longRunningStep(1, 0, 0))
		starts := o.start()
		require.Len(t, starts, 1)
		o.report("a", runningRow(starts[0], 100))
		o.advance(10 * time.Second)
		o.report("a", port.FinishedRun{Number: i + 1, Unit: starts[0].Ref.String(), Run: starts[0].Run, Result: port.ResultFailed})
		require.False(t, o.now.Before(o.Hosts["a"].UnhealthyUntil), "after the failures of %d jobs", i+1)
		o.Cancel(starts[0].Ref.Job, o.now)
	}
}

// Guards against a host that fails all its work and stays healthy because some of it is long-running.
func TestLongRunningTasksThatFailAtOnceMakeTheirHostUnhealthy(t *testing.T) {
	o := newOwner(t, 1, "a")
	for i := range int64(3) {
		o.submit(fmt.Sprintf("job%d", i), longRunningStep(1, 0, 0))
		starts := o.start()
		require.Len(t, starts, 1)
		o.advance(time.Second)
		o.report("a", port.FinishedRun{Number: i + 1, Unit: starts[0].Ref.String(), Run: starts[0].Run, Result: port.ResultFailed})
		o.Cancel(starts[0].Ref.Job, o.now)
	}
	require.True(t, o.now.Before(o.Hosts["a"].UnhealthyUntil))
}
