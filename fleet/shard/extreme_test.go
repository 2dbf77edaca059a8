package shard_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/demand"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
	"carawaymux.dev/fleet/sizing"
)

// extremeSteps are steps that callers may submit and that no host can run or finish.
func extremeSteps() map[string]batch.Step {
	const most = math.MaxInt64
	return map[string]batch.Step{
		"billions":     {Count: 75, Need: batch.Size{MilliCores: 2_000_000_000}, Estimate: 4_000_000 * time.Second},
		"largest":      {Count: batch.MaxTasks / 2, Need: batch.Size{MilliCores: most, MemoryMB: most, Accelerators: most}, Estimate: most},
		"no estimate":  {Count: batch.MaxTasks / 2, Need: batch.Size{MilliCores: most}},
		"no need":      {Count: 1, Estimate: most},
		"long-running": {Count: batch.MaxTasks / 2, Need: batch.Size{MilliCores: most}, LongRunning: true, PerHost: most},
		"gang":         {Count: 9, Need: batch.Size{MilliCores: most}, Estimate: most, Gang: true, PerHost: most},
	}
}

// A few jobs with cores and estimates of 10^9 ended the process that held the machines: sums of their work wrapped
// around, so that a turn had no rate that counted.
func TestExtremeJobsLeadToNoErrorOfArithmetic(t *testing.T) {
	for name, step := range extremeSteps() {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1_700_000_000, 0)
			s := shard.New("pool", 1, shard.Timing{Lease: 5 * time.Second, MaxLease: 10 * time.Second, Grace: 6 * time.Second}, now)
			s.Configure(&port.Config{
				Queues: []port.Queue{{Name: "q", Pool: "pool", Stretch: 1e9, Target: math.MaxInt64}}, Pools: []port.Pool{{Name: "pool"}},
			})
			s.UpdateHost(port.Host{ID: "h", Pool: "pool", Capacity: batch.Size{MilliCores: 8000, MemoryMB: 8000}}, now)
			history := demand.NewHistory()
			forecast := sizing.Forecast[demand.InOrder]{Sizer: sizing.ClearBacklog{Within: time.Second, Utilization: 0.9, Reserve: 1}, History: history}
			last := step
			last.After = []int{0}
			for k := range 60 {
				if k < 9 {
					spec := batch.Spec{Queue: "q", Steps: []batch.Step{step, last}, AcceptedMS: now.UnixMilli()}
					require.NoError(t, spec.Check())
					j, _ := s.Submit(fmt.Sprintf("%016x", k), spec, now)
					require.False(t, j.Objective.Before(now))
					s.MarkStored(j)
				}
				shard.Plan(s, shard.ByLoad{Overloaded: s.Overloaded}, now, now.UnixMilli())
				l := s.Load(now)
				for _, amount := range []int64{l.LongRunning, l.Backlog, l.FutureWork, l.ArrivalRate, int64(l.SpreadHosts)} {
					require.GreaterOrEqual(t, amount, int64(0))
				}
				loads := map[string]sizing.Load{"pool": l}
				forecast.Observe(loads, now)
				for _, e := range forecast.Expected(loads, now, time.Second) {
					require.GreaterOrEqual(t, e.Fill, 0)
				}
				require.GreaterOrEqual(t, forecast.Sizer.Desired(&l), 1)
				require.GreaterOrEqual(t, forecast.Sizer.Required(&l), 1)
				now = now.Add(250 * time.Millisecond)
			}
		})
	}
}

// A first time near the largest number counted as long past, so all occurrences opened at once.
func TestOccurrenceDueAtTheEndOfTimeIsNotDueNow(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	s := shard.New("pool", 1, shard.Timing{Lease: 5 * time.Second, MaxLease: 10 * time.Second, Grace: 6 * time.Second}, now)
	spec := batch.Spec{
		Queue: "q", Steps: []batch.Step{{Count: 1}}, AcceptedMS: now.UnixMilli(),
		Repetitions: 3, FirstDueMS: math.MaxInt64 - 1, Interval: math.MaxInt64,
	}
	require.NoError(t, spec.Check())
	j, _ := s.Submit("5c0e7a21d94b36f8", spec, now)
	s.MarkStored(j)
	shard.Plan(s, shard.BySlack{}, now, now.UnixMilli())
	require.Empty(t, j.Occurrences)
	require.EqualValues(t, math.MaxInt64-1, s.NextDue())
	j.Occurrences = make([]shard.Occurrence, 1)
	require.EqualValues(t, math.MaxInt64, s.NextDue())
}

// Guards against a sum of the backlog that wraps around.
func TestTheSumOfManyHugeJobsDoesNotWrapAround(t *testing.T) {
	o := newOwner(t, 1, "a")
	step := smallStep(1)
	step.Estimate = 1 << 62
	last := int64(0)
	for i := range 20 {
		_, _ = o.Submit(string(rune('a'+i)), batch.Spec{Queue: "q", Repetitions: 65_536, Interval: time.Millisecond, Steps: []batch.Step{step}}, o.now)
		o.MarkStored(o.Jobs[string(rune('a'+i))])
		o.now = o.now.Add(time.Millisecond)
		shard.Plan(o.State, shard.BySlack{}, o.now, 1<<50)
		now := o.Load(o.now).Backlog
		require.GreaterOrEqualf(t, now, last, "job %d", i)
		last = now
	}
}
