package shard_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
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

// Guards against hosts that get no new work for 24 s because several runs failed at once.
func TestFailuresOfRunsThatWereStartedBeforeDoNotKeepAHostUnhealthyForLonger(t *testing.T) {
	o := newOwner(t, 1, "a", "b", "c")
	starts := o.startJobs(8)
	id := starts[0].Host
	for i, start := range starts {
		require.Equal(t, id, start.Host)
		o.report(id, append(runningRows(starts[i+1:]), failedRow(int64(i+1), start))...)
	}
	require.True(t, o.now.Before(o.Hosts[id].UnhealthyUntil))
	o.advance(3100 * time.Millisecond)
	require.False(t, o.now.Before(o.Hosts[id].UnhealthyUntil), "after the first backoff")

	o.report(id)
	o.submit("next", smallStep(1))
	starts = o.start()
	require.NotEmpty(t, starts)
	require.Equal(t, id, starts[0].Host)
	o.report(id, append(runningRows(starts[1:]), failedRow(9, starts[0]))...)
	o.advance(5 * time.Second)
	require.True(t, o.now.Before(o.Hosts[id].UnhealthyUntil), "a failure after the backoff doubles it")
}

// Guards against hosts that get no new work although their runs succeed.
func TestASuccessMakesAHostHealthyAgain(t *testing.T) {
	o := newOwner(t, 1, "a")
	starts := o.startJobs(4)
	for i, start := range starts[:3] {
		o.report("a", append(runningRows(starts[i+1:]), failedRow(int64(i+1), start))...)
	}
	require.True(t, o.now.Before(o.Hosts["a"].UnhealthyUntil))
	o.report("a", doneRow(4, starts[3]))
	require.False(t, o.now.Before(o.Hosts["a"].UnhealthyUntil))
}

// Guards against attempts that are lost on a host that fails all that it starts, while a run from before its fault goes on to
// succeed.
func TestARunThatWasStartedBeforeDoesNotReopenAHostThatFailsAllNewWork(t *testing.T) {
	o := newOwner(t, 1, "a", "b")
	earlier := o.startJobs(1)
	id := earlier[0].Host
	o.advance(time.Second)
	for i := range 3 {
		o.submit(fmt.Sprint("new", i), smallStep(1))
	}
	failed := byHost(o.start())[id]
	require.Len(t, failed, 3)
	for i, start := range failed {
		running := append(runningRows(failed[i+1:]), runningRow(earlier[0], 50))
		o.report(id, append(running, failedRow(int64(i+1), start))...)
	}
	require.True(t, o.now.Before(o.Hosts[id].UnhealthyUntil))
	o.report(id, doneRow(4, earlier[0]))
	require.True(t, o.now.Before(o.Hosts[id].UnhealthyUntil))
}

// Guards against hosts that get no new work because of jobs that fail wherever they run.
func TestWorkThatFailsOnASoundHostDoesNotMakeHostsUnhealthy(t *testing.T) {
	o := newOwner(t, 1, "a", "b", "c")
	ids := []string{"a", "b", "c"}
	ends := map[string]int64{}
	fail := func(failing map[string][]shard.Order, id string, others ...any) {
		for i, start := range failing[id] {
			ends[id]++
			o.report(id, append(append(runningRows(failing[id][i+1:]), others...), failedRow(ends[id], start))...)
		}
	}
	step := smallStep(3)
	step.Need.MilliCores, step.PerHost = 500, 1
	o.submit("good", step)
	good := byHost(o.start())
	for i := range 3 {
		o.submit(fmt.Sprint("bad", i), step)
	}
	bad := byHost(o.start())
	for _, id := range ids {
		require.Len(t, good[id], 1)
		require.Len(t, bad[id], 3)
		fail(bad, id, runningRow(good[id][0], 50))
	}
	unhealthy := slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return !o.now.Before(o.Hosts[id].UnhealthyUntil) })
	require.Len(t, unhealthy, 2)
	sound := slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return slices.Contains(unhealthy, id) })[0]
	ends[sound]++
	o.report(sound, doneRow(ends[sound], good[sound][0]))
	for _, id := range ids {
		require.False(t, o.now.Before(o.Hosts[id].UnhealthyUntil), "%s: the jobs failed on a host on which another one succeeded", id)
	}

	again := byHost(o.start())
	require.Len(t, again, len(ids))
	for _, id := range ids {
		fail(again, id)
		require.False(t, o.now.Before(o.Hosts[id].UnhealthyUntil), id)
	}
}

// Guards against jobs that wait beside room on hosts that count as unhealthy (LOST), although the others do no better.
func TestUnhealthyHostsTakeWorkIfTheOthersDoNoBetter(t *testing.T) {
	for _, better := range []bool{false, true} {
		t.Run(fmt.Sprintf("another host does better %v", better), func(t *testing.T) {
			o := newOwner(t, 1, "a", "b", "c")
			starts := o.startJobs(3)
			closed := starts[0].Host
			for i, start := range starts {
				o.report(closed, append(runningRows(starts[i+1:]), failedRow(int64(i+1), start))...)
				o.Cancel(start.Ref.Job, o.now)
			}
			require.True(t, o.now.Before(o.Hosts[closed].UnhealthyUntil))
			step := smallStep(3)
			step.Need.MilliCores = 4000
			o.submit("large", step)
			running := o.start()
			require.Len(t, running, 2, "the other hosts")
			o.advance(1500 * time.Millisecond)
			report := func() {
				o.report(closed)
				for _, start := range running {
					o.report(start.Host, runningRow(start, 50))
				}
			}
			report()
			if better {
				o.submit("next", step)
				o.report(running[0].Host, doneRow(1, running[0]))
				running[0] = o.start()[0]
			}
			require.Empty(t, o.start())
			o.advance(600 * time.Millisecond)
			report()
			require.Empty(t, o.start())
			starts = o.start()
			if better {
				require.Empty(t, starts)
				return
			}
			require.Len(t, starts, 1)
			require.Equal(t, closed, starts[0].Host)
			o.report(closed, failedRow(4, starts[0]))
			o.advance(5 * time.Second)
			require.True(t, o.now.Before(o.Hosts[closed].UnhealthyUntil), "the next failure closes the host for longer")
		})
	}
}

// Guards against attempts that are lost on unhealthy hosts while others have room.
func TestUnhealthyHostsTakeNoWorkBesideRoom(t *testing.T) {
	o := newOwner(t, 1, "a", "b", "c")
	starts := o.startJobs(3)
	closed := starts[0].Host
	for i, start := range starts {
		o.report(closed, append(runningRows(starts[i+1:]), failedRow(int64(i+1), start))...)
		o.Cancel(start.Ref.Job, o.now)
	}
	o.advance(2500 * time.Millisecond)
	for _, id := range []string{"a", "b", "c"} {
		o.report(id)
	}
	o.submit("small", smallStep(2))
	for _, start := range o.start() {
		require.NotEqual(t, closed, start.Host)
	}
	require.True(t, o.now.Before(o.Hosts[closed].UnhealthyUntil))
}

// byHost returns starts by their hosts.
func byHost(starts []shard.Order) map[string][]shard.Order {
	out := map[string][]shard.Order{}
	for _, start := range starts {
		if start.Kind == shard.OrderStart {
			out[start.Host] = append(out[start.Host], start)
		}
	}
	return out
}

// Guards against hosts that fail all their work and stay healthy because other work fails everywhere.
func TestAHostThatFailsEveryRunIsUnhealthyBesideWorkThatAlwaysFails(t *testing.T) {
	o := newOwner(t, 1, "bad", "good", "fine")
	number := int64(0)
	for i := 0; i < 40 && !o.now.Before(o.Hosts["bad"].UnhealthyUntil); i++ {
		o.submit(fmt.Sprintf("fails-%d", i), smallStep(1))
		o.submit(fmt.Sprintf("ends-%d", i), smallStep(1))
		for host, starts := range byHost(o.start()) {
			for k, order := range starts {
				number++
				row := doneRow(number, order)
				if host == "bad" || strings.HasPrefix(order.Ref.Job, "fails") {
					row.Result = port.ResultFailed
				}
				o.report(host, append(runningRows(starts[k+1:]), row)...)
			}
		}
	}
	require.True(t, o.now.Before(o.Hosts["bad"].UnhealthyUntil))
}

// Guards against hosts that are taken for sound in their speed because a run there has succeeded.
func TestASuccessDoesNotMakeASlowHostHealthy(t *testing.T) {
	o := newOwner(t, 1, "a")
	starts := o.startJobs(1)
	until := o.now.Add(time.Minute)
	o.Hosts["a"].UnhealthyUntil = until
	o.report("a", doneRow(1, starts[0]))
	require.Equal(t, until, o.Hosts["a"].UnhealthyUntil)
}

// startJobs submits a number of jobs with one task each and returns their starts.
func (o *owner) startJobs(number int) []shard.Order {
	o.t.Helper()
	step := smallStep(1)
	step.Need.MilliCores = 500
	for i := range number {
		o.submit(fmt.Sprintf("job%d", i), step)
	}
	starts := o.start()
	require.Len(o.t, starts, number)
	return starts
}

func runningRows(starts []shard.Order) []any {
	var rows []any
	for _, start := range starts {
		rows = append(rows, runningRow(start, 50))
	}
	return rows
}

func failedRow(number int64, o shard.Order) port.FinishedRun {
	return port.FinishedRun{Number: number, Unit: o.Ref.String(), Run: o.Run, Result: port.ResultFailed}
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

// Guards against a long-running task that does not run, with room for it (LOST): each host with room had failed other
// work.
func TestLongRunningTasksRunOnUnhealthyHostsIfNoOtherTakesThem(t *testing.T) {
	o := newOwner(t, 1, "a", "b", "c")
	o.submit("ends", smallStep(8))
	require.Len(t, o.start(), 8)
	free := ""
	for _, id := range []string{"a", "b", "c"} {
		if len(o.Hosts[id].Assigned) == 0 {
			free = id
		}
	}
	require.NotEmpty(t, free)
	o.Hosts[free].UnhealthyUntil = o.now.Add(time.Minute)
	o.submit("waits", smallStep(1))
	require.Empty(t, o.start(), "other work waits for a healthy host")
	o.submit("serves", longRunningStep(1, 0, 0))
	starts := o.start()
	require.Len(t, starts, 1)
	require.Equal(t, free, starts[0].Host)
	require.Equal(t, "serves", starts[0].Ref.Job)

	o.Cancel("ends", o.now)
	for _, stop := range o.TakeOrders() {
		o.report(stop.Host, port.FinishedRun{Number: o.Hosts[stop.Host].CountedEnd + 1, Unit: stop.Ref.String(), Run: stop.Run, Result: port.ResultStopped})
	}
	o.submit("healthy", longRunningStep(1, 0, 0))
	for _, start := range o.start() {
		require.NotEqual(t, free, start.Host)
	}
}
