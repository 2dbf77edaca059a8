package shard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// The load tells apart what can be in time, what is late and what callers hardly wait for any more.
func TestLoadTellsLateWorkApart(t *testing.T) {
	o := newOwner(t, 1)
	o.submit("job", smallStep(3))
	require.Empty(t, o.plan())
	l := o.Load(o.now)
	require.Equal(t, int64(3000), l.Backlog)
	require.Zero(t, l.Late)
	// The objective is 3 s after the submission, and a task takes 1 s.
	l = o.Load(o.now.Add(2100 * time.Millisecond))
	require.Equal(t, int64(3000), l.Backlog)
	require.Equal(t, int64(3000), l.Late)
	require.Zero(t, l.Expired)
	l = o.Load(o.now.Add(9100 * time.Millisecond))
	require.Equal(t, int64(3000), l.Late)
	require.Equal(t, int64(3000), l.Expired)
}

func TestLoadTellsLateRunsApart(t *testing.T) {
	o := newOwner(t, 1, "a")
	o.submit("job", smallStep(6))
	starts := o.start()
	require.Len(t, starts, 4)
	require.Zero(t, o.Load(o.now).RunningLate)
	o.now = o.now.Add(2500 * time.Millisecond)
	var rows []any
	for _, start := range starts {
		rows = append(rows, runningRow(start, 50))
	}
	o.report("a", rows...)
	o.addHost("b")
	require.Len(t, o.start(), 2)
	l := o.Load(o.now)
	require.Equal(t, int64(2000), l.RunningLate)
	require.Equal(t, int64(6000), l.Running)
	require.Equal(t, []string{"a", "b"}, l.ReleasableHosts, "the tasks of the first host have been expected to end")
	require.Empty(t, l.IdleHosts)
}

// Guards against late work that never runs in a pool that always has more work in time than it can do.
func TestLateWorkIsSureOfAShare(t *testing.T) {
	const rounds = 400
	o := newOwner(t, 1, "a")
	o.submit("late", smallStep(10))
	o.now = o.now.Add(5 * time.Second)
	number, late, ended := int64(0), 0, 0
	for i := range rounds {
		o.now = o.now.Add(250 * time.Millisecond)
		// Twice the work that the host can do arrives.
		j, _ := o.Submit(string(rune('A'+i%26))+string(rune('a'+i/26)), batch.Spec{Queue: "q", Steps: []batch.Step{smallStep(2)}}, o.now)
		o.MarkStored(j)
		var finished []any
		for ref, task := range o.Hosts["a"].Assigned {
			if task.Status == shard.Running && o.now.Sub(task.OrderedAt) >= time.Second {
				number++
				ended++
				finished = append(finished, port.FinishedRun{Number: number, Unit: ref.String(), Run: task.Run, Result: port.ResultDone})
			} else {
				finished = append(finished, port.ActiveRun{Unit: ref.String(), Run: task.Run})
			}
		}
		o.report("a", finished...)
		o.ConfirmedAt = o.now.Add(time.Millisecond)
		ranking := shard.LateShare[shard.BySlack]{Due: o.LateWorkIsDue(o.now)}
		shard.Plan(o.State, ranking, o.now, o.now.UnixMilli())
		orders := o.TakeOrders()
		for k := range orders {
			if orders[k].Ref.Job == "late" {
				late++
			}
			o.clock++
			require.True(t, o.HandleStartResult(&orders[k], o.clock, nil, o.now))
		}
	}
	require.Equal(t, shard.Completed, o.Jobs["late"].Phase)
	require.Equal(t, 10, late)
	require.Greater(t, ended, rounds/2, "the host is not idle")
}
