package shard_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// Guards against small jobs that wait for as long as an older job of many small tasks takes all starts, while most
// of the pool is idle (LOST).
func TestAJobWithManySmallTasksDoesNotStarveOthers(t *testing.T) {
	o := newOwner(t, 1, "h")
	large, _ := o.Submit("large", batch.Spec{Queue: "q", Steps: []batch.Step{smallStep(4000)}}, o.now)
	o.MarkStored(large)
	o.now = o.now.Add(time.Minute)
	small, _ := o.Submit("small", batch.Spec{Queue: "q", Steps: []batch.Step{smallStep(3)}}, o.now)
	o.MarkStored(small)
	// The small job is late by the time at which a host answers again.
	o.now = o.now.Add(10 * time.Second)
	number := int64(0)
	started := map[string]int{}
	for range 400 {
		o.now = o.now.Add(10 * time.Millisecond)
		report := &port.HostReport{Clock: o.clock + o.now.UnixMilli() - 1_700_000_000_000}
		for _, order := range o.TakeOrders() {
			// Each task ends within a round.
			number++
			report.Finished = append(report.Finished, doneRow(number, order))
			started[order.Ref.Job]++
			require.True(t, o.HandleStartResult(&order, report.Clock-1, nil, o.now))
		}
		o.HandleReport("h", report, o.now)
		o.ConfirmedAt = o.now.Add(time.Millisecond)
		ranking := shard.StarvedFirst[shard.ByLoad]{Ranking: shard.ByLoad{Overloaded: true}, Spare: o.HasSpareCapacity(o.now)}
		shard.PlanWithin(o.State, ranking, shard.Limits{Starts: 1, StartsPerHost: 1}, o.now, o.now.UnixMilli())
	}
	require.Equal(t, 3, started["small"])
	require.Greater(t, started["large"], 300)
	require.Equal(t, shard.Completed, small.Phase)
}

// Guards against jobs that were begun and wait while each new job gets its first start, when capacity is short.
func TestTheOldestLateJobGoesFirstWhileCapacityIsShort(t *testing.T) {
	begun, fresh := &shard.Demand{Job: &shard.Job{ID: "a"}, Slack: -time.Minute, Age: time.Minute}, &shard.Demand{Job: &shard.Job{ID: "b"}, Slack: -time.Second, Idle: 2 * time.Second}
	require.Negative(t, shard.StarvedFirst[shard.ByLoad]{Spare: false}.Compare(begun, fresh))
	require.Positive(t, shard.StarvedFirst[shard.ByLoad]{Spare: true}.Compare(begun, fresh))
	fresh.Idle = time.Second
	require.Negative(t, shard.StarvedFirst[shard.ByLoad]{Spare: true}.Compare(begun, fresh), "nothing of it runs for a moment")
	fresh.Slack = time.Second
	require.Positive(t, shard.StarvedFirst[shard.ByLoad]{Spare: true}.Compare(begun, fresh), "work that is not late goes first")
}

// Guards against jobs of which nothing runs (LOST), although the pool is mostly idle: all hosts with room were reserved for
// larger steps.
func TestALateJobRunsOnReservedHostsWhileThePoolIsMostlyIdle(t *testing.T) {
	for name, count := range map[string]int{"mostly idle": 2, "half in use": 4} {
		t.Run(name, func(t *testing.T) {
			o := newOwner(t, 1, "a", "b")
			filler := smallStep(count)
			filler.PerHost = count / 2
			o.submit("filler", filler)
			running := o.start()
			require.Len(t, running, count)
			large := smallStep(1)
			large.Need.MilliCores = 4000
			o.submit("large-1", large)
			o.submit("large-2", large)
			o.advance(time.Second)
			o.submit("small", smallStep(2))
			gang := smallStep(2)
			gang.Gang = true
			o.submit("gang", gang)
			o.advance(10 * time.Second)
			o.reportRunning(running...)
			started := map[string]int{}
			for _, start := range o.start() {
				started[start.Ref.Job]++
			}
			if count == 2 {
				require.Equal(t, map[string]int{"small": 1, "gang": 2}, started, "one task of a job, all of a gang")
				return
			}
			require.Empty(t, started, "the hosts are kept for the larger steps")
		})
	}
}

// Guards against jobs of which nothing runs (LOST), although the pool is mostly idle: the healthy hosts were full.
func TestALateJobRunsOnAnUnhealthyHostWhileThePoolIsMostlyIdle(t *testing.T) {
	for name, hosts := range map[string][]string{"mostly idle": {"a", "b", "c"}, "half in use": {"a", "b"}} {
		t.Run(name, func(t *testing.T) {
			o := newOwner(t, 1, hosts...)
			for _, id := range hosts[1:] {
				o.Hosts[id].UnhealthyUntil = o.now.Add(time.Minute)
			}
			o.submit("filler", smallStep(4))
			running := o.start()
			require.Len(t, running, 4)
			o.submit("small", smallStep(3))
			o.advance(10 * time.Second)
			o.reportRunning(running...)
			for _, id := range hosts[1:] {
				o.report(id)
			}
			o.advance(time.Millisecond)
			starts := o.start()
			if len(hosts) == 2 {
				require.Empty(t, starts)
				return
			}
			require.Len(t, starts, 1)
			require.NotEqual(t, "a", starts[0].Host)
			require.Empty(t, o.start(), "a task of the job runs")
		})
	}
}

// Guards against jobs of which nothing runs (LOST), although the pool is mostly idle: the hosts with room were being emptied.
func TestALateJobRunsOnAHostThatIsBeingEmptiedWhileThePoolIsMostlyIdle(t *testing.T) {
	o := newOwner(t, 1, "a", "b", "c", "d")
	o.submit("filler", smallStep(3))
	running := o.start()
	spread := smallStep(2)
	spread.PerHost = 1
	o.submit("spread", spread)
	o.Hosts["a"].UnhealthyUntil, o.Hosts["d"].UnhealthyUntil = o.now, o.now
	running = append(running, o.start()...)
	require.Len(t, running, 5)
	small := smallStep(1)
	small.Need.MilliCores = 2000
	o.submit("small", small)
	o.advance(10 * time.Second)
	empty := func() {
		o.reportRunning(running...)
		o.report("d")
		o.advance(time.Millisecond)
		for _, id := range []string{"b", "c", "d"} {
			require.Equal(t, id == "d", o.Vacate(o.Hosts[id], o.now, 5*time.Second))
		}
	}
	empty()
	require.Empty(t, o.start(), "most hosts are empty soon")
	o.advance(2100 * time.Millisecond)
	empty()
	starts := o.start()
	require.Len(t, starts, 1)
	require.Contains(t, []string{"b", "c"}, starts[0].Host, "the other one was called empty")
	// Earlier work is stopped after six seconds, this one after as long.
	o.advance(4 * time.Second)
	running = append(running, starts...)
	empty()
	stopped := o.TakeOrders()
	require.Len(t, stopped, 2)
	for _, order := range stopped {
		require.Equal(t, shard.OrderStop, order.Kind)
		require.Equal(t, "spread", order.Ref.Job)
	}
}

// Guards against jobs of which nothing runs (LOST), although the pool is mostly idle: their tasks ran apart, one host after the
// other, since a step for whole hosts waited that no host can take beside long-running work.
func TestTasksThatRunApartDoNotWaitForOneAnotherWhileThePoolIsMostlyIdle(t *testing.T) {
	o := newOwner(t, 2, "a", "b", "c", "d")
	o.submit("lasting", longRunningStep(4, 1, 0))
	running := o.start()
	require.Len(t, running, 4)
	whole := smallStep(1)
	whole.Need.MilliCores = 4000
	o.submit("whole", whole)
	for i := range 3 {
		restoreIsolated(o, fmt.Sprint("suspect-", i), smallStep(1))
	}
	o.advance(10 * time.Second)
	o.reportRunning(running...)
	require.Len(t, o.start(), 3)
}

// reportRunning makes hosts report the runs of some starts.
func (o *owner) reportRunning(starts ...shard.Order) {
	rows := map[string][]any{}
	for _, start := range starts {
		rows[start.Host] = append(rows[start.Host], runningRow(start, 50))
	}
	for _, host := range slices.Sorted(maps.Keys(rows)) {
		o.report(host, rows[host]...)
	}
	o.advance(time.Millisecond)
}

// Guards against a job that is given up although it could be done: the hosts that fail their work are closed for longer after each
// failure, and a late job of which nothing runs used up its attempts there.
func TestALateJobKeepsAnAttemptForAHostThatDoesNotFailItsWork(t *testing.T) {
	o := newOwner(t, 1, "a", "b", "c")
	o.Configure(&port.Config{
		Queues: []port.Queue{{Name: "q", Version: 1, Pool: "pool", MaxAttempts: 3, Stretch: 1.6, Target: 600 * time.Millisecond}},
		Pools:  []port.Pool{{Name: "pool", EnforcesCapacity: true}},
	})
	o.Hosts["b"].UnhealthyUntil, o.Hosts["c"].UnhealthyUntil = o.now.Add(30*time.Second), o.now.Add(30*time.Second)
	o.submit("filler", smallStep(4))
	running := o.start()
	require.Len(t, running, 4)
	o.submit("small", smallStep(1))
	o.advance(10 * time.Second)
	number := int64(0)
	for range 150 {
		o.advance(100 * time.Millisecond)
		o.reportRunning(running...)
		o.report("b")
		o.report("c")
		o.advance(time.Millisecond)
		for _, start := range o.start() {
			number++
			o.report(start.Host, failedRow(number, start))
			o.Hosts[start.Host].StoredEnd = o.Hosts[start.Host].CountedEnd
		}
		o.TakeChanges()
	}
	require.Equal(t, shard.Open, o.Jobs["small"].Phase)
}
