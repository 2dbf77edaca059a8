package shard_test

import (
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
