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

// crashPool is a pool in which some tasks crash each host that starts them. Hosts that have crashed come
// back at once under a new name. Other tasks are done after a second.
type crashPool struct {
	*owner
	// deadly reports whether a task crashes its host; those in late do so later.
	deadly, late func(ref batch.Ref) bool
	// lateAfter is the age at which a late task crashes its host.
	lateAfter time.Duration
	// running holds the runs by host, with the time of their start.
	running map[string]map[shard.Order]time.Time
	ends    map[string]int64
	// crashes and starts count by task, and startsAfter counts the starts after the third crash.
	crashes, starts, startsAfter map[batch.Ref]int
	hostCount                    int
}

func newCrashPool(t *testing.T, hosts int, deadly func(ref batch.Ref) bool) *crashPool {
	p := &crashPool{
		owner: newOwner(t, 1), deadly: deadly, late: func(batch.Ref) bool { return false }, lateAfter: time.Second, running: map[string]map[shard.Order]time.Time{}, ends: map[string]int64{},
		crashes: map[batch.Ref]int{}, starts: map[batch.Ref]int{}, startsAfter: map[batch.Ref]int{},
	}
	for range hosts {
		p.add()
	}
	return p
}

func (p *crashPool) add() {
	id := fmt.Sprintf("h%03d", p.hostCount)
	p.hostCount++
	p.addHost(id)
	p.running[id] = map[shard.Order]time.Time{}
}

// crash ends a host and lets another one come.
func (p *crashPool) crash(id string) {
	for order := range p.running[id] {
		p.crashes[order.Ref]++
	}
	delete(p.running, id)
	p.HeartbeatFailed(id, false, p.now)
	p.advance(100 * time.Millisecond)
	p.HostEnded(id, p.now)
	p.UnlistHost(id)
	p.add()
}

// step plans once and lets 10 ms pass.
func (p *crashPool) step() {
	for _, order := range p.plan() {
		if p.running[order.Host] == nil {
			p.loseOrder(order)
			continue
		}
		switch order.Kind {
		case shard.OrderStart:
			if p.crashes[order.Ref] >= 3 {
				p.startsAfter[order.Ref]++
			}
			p.starts[order.Ref]++
			p.clock++
			require.True(p.t, p.HandleStartResult(&order, p.clock, nil, p.now))
			order.Reason, order.Checkpoint = "", ""
			p.running[order.Host][order] = p.now
			if p.deadly(order.Ref) {
				p.advance(10 * time.Millisecond)
				p.crash(order.Host)
			}
		case shard.OrderStop:
			p.clock++
			p.HandleStopResult(&order, p.clock, nil, p.now)
			maps.DeleteFunc(p.running[order.Host], func(r shard.Order, _ time.Time) bool {
				if r.Ref == order.Ref {
					p.end(order.Host, r, port.ResultStopped)
				}
				return r.Ref == order.Ref
			})
		}
	}
	p.advance(10 * time.Millisecond)
	for _, id := range slices.Sorted(maps.Keys(p.running)) {
		p.endRuns(id)
	}
	p.SettleSuspects(p.now)
	p.RetryStops(p.now)
	p.ExpireLeases(p.now)
}

// loseOrder leaves an order unanswered.
func (p *crashPool) loseOrder(order shard.Order) {
	if order.Kind == shard.OrderStart {
		p.HandleStartResult(&order, 0, errNoAnswer, p.now)
		return
	}
	p.HandleStopResult(&order, 0, errNoAnswer, p.now)
}

// endRuns ends the runs on a host that have lasted a second, and reports those that go on.
func (p *crashPool) endRuns(id string) {
	var rows []any
	for order, since := range p.running[id] {
		switch {
		case p.late(order.Ref) && p.now.Sub(since) < p.lateAfter:
			rows = append(rows, runningRow(order, 100))
		case p.now.Sub(since) < time.Second || p.Jobs[order.Ref.Job].Spec.Steps[order.Ref.Step].LongRunning && !p.late(order.Ref):
			rows = append(rows, runningRow(order, 100))
		case p.late(order.Ref):
			p.crash(id)
			return
		default:
			delete(p.running[id], order)
			p.end(id, order, port.ResultDone)
		}
	}
	p.report(id, rows...)
}

func (p *crashPool) end(id string, order shard.Order, result port.Result) {
	p.ends[id]++
	row := port.FinishedRun{Number: p.ends[id], Unit: order.Ref.String(), Run: order.Run, Result: result}
	others := []any{row}
	for other := range p.running[id] {
		if other.Ref != order.Ref {
			others = append(others, runningRow(other, 100))
		}
	}
	p.report(id, others...)
}

func (p *crashPool) run(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); {
		p.step()
	}
}

// requireBounded checks that no task that crashes its hosts was started three times more after three crashes.
func (p *crashPool) requireBounded() {
	p.t.Helper()
	for ref, n := range p.startsAfter {
		if !p.deadly(ref) && !p.late(ref) {
			continue
		}
		require.Lessf(p.t, n, 3, "%s was started %d times after three hosts had crashed under it", ref, n)
	}
}

func TestATaskThatCrashesHostAfterHostIsGivenUp(t *testing.T) {
	for name, late := range map[string]bool{"at its start": false, "a second after its start": true} {
		t.Run(name, func(t *testing.T) {
			guilty := batch.Ref{Job: "guilty", Index: 2}
			p := newCrashPool(t, 6, func(ref batch.Ref) bool { return !late && ref == guilty })
			p.late = func(ref batch.Ref) bool { return late && ref == guilty }
			for i := range 4 {
				p.submit(fmt.Sprint("before", i), smallStep(4))
			}
			p.submit("guilty", smallStep(4))
			for i := range 4 {
				p.submit(fmt.Sprint("after", i), smallStep(4))
			}
			p.run(30 * time.Second)
			p.requireBounded()
			require.Equal(t, shard.Failed, p.Jobs["guilty"].Phase)
			for id, j := range p.Jobs {
				if id != "guilty" {
					require.Equal(t, shard.Completed, j.Phase, id)
				}
			}
		})
	}
}

// Guards against hosts that crash for ever under a task that does so long after its start, while shorter tasks
// start beside it and are suspected.
func TestATaskThatCrashesItsHostsLateBesideShortOnesIsGivenUp(t *testing.T) {
	p := newCrashPool(t, 3, func(batch.Ref) bool { return false })
	p.late, p.lateAfter = func(ref batch.Ref) bool { return ref.Job == "guilty" }, 2500*time.Millisecond
	p.submit("guilty", smallStep(1))
	for i := range 200 {
		p.submit(fmt.Sprint("short", i), smallStep(1))
		p.run(100 * time.Millisecond)
	}
	p.run(10 * time.Second)
	p.requireBounded()
	for id, j := range p.Jobs {
		want := shard.Completed
		if id == "guilty" {
			want = shard.Failed
		}
		require.Equal(t, want, j.Phase, id)
	}
}

func TestManyTasksThatCrashTheirHostsLeaveTheOthersDone(t *testing.T) {
	p := newCrashPool(t, 8, func(ref batch.Ref) bool { return ref.Job[0] == 'g' && ref.Index == 0 })
	for round := range 8 {
		p.submit(fmt.Sprint("guilty", round), smallStep(4))
		for i := range 4 {
			p.submit(fmt.Sprint("innocent", round, "-", i), smallStep(3))
		}
		p.run(2 * time.Second)
	}
	p.run(30 * time.Second)
	p.requireBounded()
	for id, j := range p.Jobs {
		want := shard.Completed
		if id[0] == 'g' {
			want = shard.Failed
		}
		require.Equal(t, want, j.Phase, id)
	}
}

func TestALongRunningTaskBesideThoseThatCrashHostsRunsOn(t *testing.T) {
	p := newCrashPool(t, 8, func(ref batch.Ref) bool { return ref.Job[0] == 'g' })
	p.submit("lasting", longRunningStep(6, 0, 1))
	for i := range 12 {
		p.submit(fmt.Sprint("guilty", i), smallStep(1))
		p.run(2 * time.Second)
		require.Equal(t, shard.Open, p.Jobs["lasting"].Phase)
	}
	p.run(6 * time.Second)
	p.requireBounded()
	for _, task := range p.Jobs["lasting"].Occurrences[0].Stages[0].Tasks {
		require.Equal(t, shard.Running, task.Status)
	}
}

func TestALongRunningTaskThatCrashesHostAfterHostIsGivenUp(t *testing.T) {
	p := newCrashPool(t, 6, func(ref batch.Ref) bool { return ref.Job == "guilty" && ref.Index == 1 })
	for i := range 4 {
		p.submit(fmt.Sprint("innocent", i), smallStep(4))
	}
	p.submit("lasting", longRunningStep(3, 0, 1))
	p.submit("guilty", longRunningStep(3, 0, 1))
	p.run(20 * time.Second)
	p.requireBounded()
	require.Equal(t, shard.Open, p.Jobs["lasting"].Phase)
	p.requireOnlyTaskGivenUp(batch.Ref{Job: "guilty", Index: 1}, 10*time.Second)
}

// requireOnlyTaskGivenUp checks that one task of a long-running job is not started again, that the others serve and
// that none of them is stopped.
func (p *crashPool) requireOnlyTaskGivenUp(guilty batch.Ref, during time.Duration) {
	p.t.Helper()
	require.Equal(p.t, shard.Open, p.Jobs[guilty.Job].Phase)
	starts := maps.Clone(p.starts)
	p.run(during)
	for i, task := range p.Jobs[guilty.Job].Occurrences[0].Stages[0].Tasks {
		ref := batch.Ref{Job: guilty.Job, Index: i}
		require.Equal(p.t, starts[ref], p.starts[ref], "starts of %s", ref)
		if ref == guilty {
			require.Equal(p.t, shard.Idle, task.Status)
			require.Equal(p.t, shard.Ended, p.Explain(ref, p.now))
		} else {
			require.Equal(p.t, shard.Running, task.Status)
		}
	}
}

// Guards against stops of tasks that serve since another task of their job has crashed its hosts.
func TestALongRunningTaskThatCrashesItsHostsLateIsGivenUpAlone(t *testing.T) {
	guilty := batch.Ref{Job: "guilty", Index: 1}
	p := newCrashPool(t, 6, func(batch.Ref) bool { return false })
	p.late = func(ref batch.Ref) bool { return ref == guilty }
	p.submit("guilty", longRunningStep(3, 0, 1))
	p.run(30 * time.Second)
	p.requireBounded()
	p.requireOnlyTaskGivenUp(guilty, 10*time.Second)
}

// Guards against long-running tasks that are given up since their hosts crash together with others.
func TestALongRunningTaskIsNotGivenUpWhileHostsCrashWithoutIt(t *testing.T) {
	p := newCrashPool(t, 8, func(batch.Ref) bool { return false })
	p.submit("lasting", longRunningStep(4, 0, 1))
	p.run(3 * time.Second)
	followed := batch.Ref{Job: "lasting"}
	for range 12 {
		// The host of one task and an idle one crash in each second.
		p.crash(p.idleHost())
		p.crash(p.hostOf(followed))
		p.run(time.Second)
		require.Equal(t, shard.Open, p.Jobs["lasting"].Phase)
		require.Equal(t, shard.Running, p.Jobs["lasting"].Occurrences[0].Stages[0].Tasks[0].Status)
	}
}

// hostOf returns the host of a task that runs.
func (p *crashPool) hostOf(ref batch.Ref) string {
	for id, runs := range p.running {
		for order := range runs {
			if order.Ref == ref {
				return id
			}
		}
	}
	require.Fail(p.t, "the task does not run", "%s", ref)
	return ""
}

// idleHost returns a host without a run.
func (p *crashPool) idleHost() string {
	for _, id := range slices.Sorted(maps.Keys(p.running)) {
		if len(p.running[id]) == 0 {
			return id
		}
	}
	require.Fail(p.t, "no host is idle")
	return ""
}

// Guards against a job that is shown as running although none of its tasks is left.
func TestAJobWhoseLongRunningTasksAreAllGivenUpFails(t *testing.T) {
	p := newCrashPool(t, 6, func(ref batch.Ref) bool { return ref.Job == "guilty" })
	p.submit("guilty", longRunningStep(2, 0, 1))
	p.run(30 * time.Second)
	p.requireBounded()
	require.Equal(t, shard.Failed, p.Jobs["guilty"].Phase)
}

func TestALongRunningTaskStaysGivenUpAfterAChangeOfTheOwner(t *testing.T) {
	spec := batch.Spec{Queue: "q", Steps: []batch.Step{longRunningStep(2, 0, 1)}}
	stored := &shard.Progress{Phase: shard.Open, Occurrences: []shard.OccurrenceProgress{{
		Stages: [][]shard.TaskProgress{{{Crashes: &shard.Crashes{Hosts: 4, Unexplained: 4}}, {}}},
	}}}
	o := newOwner(t, 2, "a", "b")
	o.Restore("job", spec, stored, o.now)
	starts := o.start()
	require.Len(t, starts, 1)
	require.Equal(t, batch.Ref{Job: "job", Index: 1}, starts[0].Ref)
}

func TestAGangThatCrashesItsHostsIsGivenUp(t *testing.T) {
	p := newCrashPool(t, 6, func(ref batch.Ref) bool { return ref.Job == "guilty" && ref.Index == 1 })
	gang := smallStep(3)
	gang.Gang = true
	p.submit("guilty", gang)
	p.submit("innocent", smallStep(6))
	p.run(30 * time.Second)
	p.requireBounded()
	require.Equal(t, shard.Failed, p.Jobs["guilty"].Phase)
	require.Equal(t, shard.Completed, p.Jobs["innocent"].Phase)
}

func TestTheCountOfCrashesSurvivesAChangeOfTheOwner(t *testing.T) {
	spec := batch.Spec{Queue: "q", Steps: []batch.Step{smallStep(1)}}
	var stored *shard.Progress
	starts := 0
	for epoch := int64(1); epoch <= 10; epoch++ {
		o := newOwner(t, epoch, "a", "b")
		o.Restore("job", spec, stored, o.now)
		orders := o.start()
		if len(orders) == 0 {
			break
		}
		starts++
		o.advance(10 * time.Millisecond)
		o.HostEnded(orders[0].Host, o.now)
		changes := o.TakeChanges()
		require.Len(t, changes, 1)
		stored = &changes[0].Progress
	}
	require.Equal(t, 3, starts)
	require.Equal(t, shard.Failed, stored.Phase)
}

// The next start waits for a write that is sent after the crash was counted.
func TestATaskWaitsUntilItsCrashIsStored(t *testing.T) {
	o := newOwner(t, 1, "a", "b")
	o.submit("job", smallStep(1))
	starts := o.start()
	o.HostEnded(starts[0].Host, o.now)
	require.Empty(t, o.plan())
	require.Len(t, o.TakeChanges(), 1)
	o.advance(time.Millisecond)
	require.Len(t, o.plan(), 1)
}

func TestAnInstanceThatIsReplacedUnderOneNameCountsAsACrash(t *testing.T) {
	o := newOwner(t, 1, "a")
	o.submit("job", smallStep(1))
	for born := int64(2); born <= 4; born++ {
		starts := o.start()
		require.Len(t, starts, 1)
		o.clock = 0
		o.HandleReport("a", &port.HostReport{Clock: 1, Born: born}, o.now)
		for _, stop := range o.TakeOrders() {
			require.True(t, o.HandleStopResult(&stop, 2, nil, o.now))
		}
		o.HandleReport("a", &port.HostReport{Clock: 3, Born: born}, o.now)
		o.clock = 10
		o.advance(time.Millisecond)
	}
	require.Equal(t, shard.Failed, o.Jobs["job"].Phase)
}

// Guards against giving up tasks for the ends of hosts that are no crashes.
func TestEndsOfHostsThatAreNoCrashesDoNotCount(t *testing.T) {
	for name, end := range map[string]func(o *owner, host string){
		"the lease of a silent host expires": func(o *owner, host string) {
			for range 8 {
				o.HeartbeatSent(host, o.now)
				o.advance(time.Second)
				o.HeartbeatFailed(host, false, o.now)
				o.ExpireLeases(o.now)
			}
		},
		"the host was draining": func(o *owner, host string) {
			listed := o.Hosts[host].Host
			listed.Draining = true
			o.UpdateHost(listed, o.now)
			o.HostEnded(host, o.now)
		},
		"the host was being emptied": func(o *owner, host string) {
			o.Vacate(o.Hosts[host], o.now, time.Second)
			o.advance(500 * time.Millisecond)
			o.HostEnded(host, o.now)
		},
		"the platform says twice that the host has ended": func(o *owner, host string) {
			o.Hosts[host].Draining = true
			o.HostEnded(host, o.now)
			o.HostEnded(host, o.now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			o := newOwner(t, 1)
			o.submit("job", smallStep(1))
			for i := range 8 {
				o.addHost(fmt.Sprint(i))
				starts := o.start()
				require.Len(t, starts, 1)
				end(o, starts[0].Host)
				o.UnlistHost(starts[0].Host)
				o.TakeOrders()
				o.advance(time.Millisecond)
			}
			require.Equal(t, shard.Open, o.Jobs["job"].Phase)
			require.Zero(t, o.Jobs["job"].Occurrences[0].Stages[0].Tasks[0].Crashes.Hosts)
			require.Empty(t, o.TakeCrashes())
		})
	}
}

// The runs on a host are in the log line of its crash, with the ones that are suspected.
func TestACrashTellsWhichRunsAreSuspected(t *testing.T) {
	o := newOwner(t, 1, "a")
	o.submit("old", longRunningStep(1, 0, 1))
	starts := o.start()
	o.advance(5 * time.Second)
	o.report("a", runningRow(starts[0], 100))
	o.submit("young", smallStep(1))
	require.Len(t, o.start(), 1)
	o.advance(10 * time.Millisecond)
	o.HostEnded("a", o.now)
	crashes := o.TakeCrashes()
	require.Len(t, crashes, 1)
	require.Equal(t, []shard.CrashedRun{
		{Ref: batch.Ref{Job: "old"}, Run: 1, Age: 5010 * time.Millisecond, Confirmed: true},
		{Ref: batch.Ref{Job: "young"}, Run: 1, Age: 10 * time.Millisecond, Confirmed: true, Suspected: true},
	}, crashes[0].Runs)
	require.Empty(t, o.TakeCrashes())
}

// Guards against tasks that wait for a host of their own in a pool that is idle otherwise.
func TestTasksThatRunApartUseAllHostsUnlessOtherWorkWaits(t *testing.T) {
	restore := func() *owner {
		o := newOwner(t, 2, "a", "b", "c", "d", "e", "f", "g", "h")
		var tasks []shard.TaskProgress
		for range 12 {
			tasks = append(tasks, shard.TaskProgress{Crashes: &shard.Crashes{Hosts: 2, Isolated: true}})
		}
		stored := &shard.Progress{Phase: shard.Open, Occurrences: []shard.OccurrenceProgress{{Stages: [][]shard.TaskProgress{tasks}}}}
		o.Restore("suspects", batch.Spec{Queue: "q", Steps: []batch.Step{smallStep(12)}}, stored, o.now)
		return o
	}
	hosts := func(orders []shard.Order, job string) map[string]int {
		out := map[string]int{}
		for _, o := range orders {
			if o.Ref.Job == job {
				out[o.Host]++
			}
		}
		return out
	}
	idle := hosts(restore().plan(), "suspects")
	require.Len(t, idle, 8)
	for host, tasks := range idle {
		require.Equal(t, 1, tasks, host)
	}

	o := restore()
	o.submit("others", smallStep(4))
	orders := o.plan()
	apart := hosts(orders, "suspects")
	require.Len(t, apart, 2)
	for host := range hosts(orders, "others") {
		require.NotContains(t, apart, host)
	}
	require.Empty(t, hosts(o.plan(), "suspects"), "other work has just waited")
	o.advance(1100 * time.Millisecond)
	require.NotEmpty(t, hosts(o.plan(), "suspects"))
}

// Guards against a pool that loses its hosts to others while tasks wait for a host of their own.
func TestTheLoadOfTasksThatRunApartIsThatOfWholeHosts(t *testing.T) {
	load := func(crashes *shard.Crashes, others int) int64 {
		o := newOwner(t, 2, "a")
		stored := &shard.Progress{Phase: shard.Open, Occurrences: []shard.OccurrenceProgress{{Stages: [][]shard.TaskProgress{{{Crashes: crashes}}}}}}
		o.Restore("job", batch.Spec{Queue: "q", Steps: []batch.Step{smallStep(1)}}, stored, o.now)
		before := o.Load(o.now).Backlog
		if others > 0 {
			o.submit("others", smallStep(others))
			o.plan()
			require.EqualValues(t, 1000, o.Load(o.now).Backlog, "other work has just waited")
		}
		return before
	}
	require.EqualValues(t, 1000, load(nil, 0))
	require.EqualValues(t, 4000, load(&shard.Crashes{Hosts: 2, Isolated: true}, 4))
}

// Guards against starts without limit while the list of machines cannot be read.
func TestACrashThatIsKnownOnlyAfterTheLeaseCounts(t *testing.T) {
	for name, learn := range map[string]func(o *owner, host string){
		"from the list of machines": func(o *owner, host string) { o.HostEnded(host, o.now) },
		"from the next instance": func(o *owner, host string) {
			o.HandleReport(host, &port.HostReport{Clock: 1, Born: 2}, o.now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			o := newOwner(t, 1, "a")
			o.submit("job", smallStep(1))
			require.Len(t, o.start(), 1)
			o.advance(10 * time.Millisecond)
			for range 12 {
				o.HeartbeatSent("a", o.now)
				o.advance(time.Second)
				o.HeartbeatFailed("a", false, o.now)
				o.ExpireLeases(o.now)
			}
			learn(o, "a")
			require.Equal(t, 1, o.Jobs["job"].Occurrences[0].Stages[0].Tasks[0].Crashes.Hosts)
		})
	}
}

// Guards against starts without limit of a long-running task whose hosts crash before they confirm the start.
func TestALongRunningTaskThatCrashesItsHostsBeforeTheyAnswerIsGivenUp(t *testing.T) {
	p := newCrashPool(t, 6, func(batch.Ref) bool { return false })
	p.submit("guilty", longRunningStep(1, 0, 1))
	starts := 0
	for range 3000 {
		for _, order := range p.plan() {
			if order.Kind == shard.OrderStart {
				starts++
				p.HandleStartResult(&order, 0, errNoAnswer, p.now)
				p.advance(10 * time.Millisecond)
				p.crash(order.Host)
			}
		}
		p.advance(10 * time.Millisecond)
		for id := range p.running {
			p.report(id)
		}
		p.SettleSuspects(p.now)
		p.RetryStops(p.now)
		p.ExpireLeases(p.now)
	}
	require.Less(t, starts, 7, "starts in 30 s")
}

// Guards against two tasks of which each explains the crashes of the other.
func TestTwoLongRunningTasksThatCrashTheirHostsLateAreGivenUp(t *testing.T) {
	p := newCrashPool(t, 6, func(batch.Ref) bool { return false })
	p.late = func(ref batch.Ref) bool { return ref.Job == "guilty" && ref.Index < 2 }
	p.submit("guilty", longRunningStep(3, 0, 1))
	p.run(60 * time.Second)
	p.requireBounded()
}

// Guards against several tasks of which each explains the crashes of the others.
func TestManyLongRunningTasksThatCrashTheirHostsLateAreGivenUp(t *testing.T) {
	for _, hosts := range []int{4, 16} {
		for guilty := 2; guilty <= 6; guilty++ {
			for _, lateAfter := range []time.Duration{300 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
				t.Run(fmt.Sprintf("%d hosts, %d tasks, after %v", hosts, guilty, lateAfter), func(t *testing.T) {
					p := newCrashPool(t, hosts, func(batch.Ref) bool { return false })
					p.late, p.lateAfter = func(ref batch.Ref) bool { return ref.Job == "guilty" && ref.Index < guilty }, lateAfter
					p.submit("guilty", longRunningStep(guilty+1, 0, 1))
					p.run(30 * time.Second)
					p.requireBounded()
				})
			}
		}
	}
}

// Guards against long-running tasks that are given up since several of their hosts crash together, with others.
func TestLongRunningTasksAreNotGivenUpWhileHostsCrashWithoutThem(t *testing.T) {
	p := newCrashPool(t, 12, func(batch.Ref) bool { return false })
	p.submit("lasting", longRunningStep(6, 0, 1))
	p.run(3 * time.Second)
	for range 12 {
		p.crash(p.idleHost())
		for i := range 4 {
			p.crash(p.hostOf(batch.Ref{Job: "lasting", Index: i}))
		}
		p.run(time.Second)
		for _, task := range p.Jobs["lasting"].Occurrences[0].Stages[0].Tasks {
			require.Equal(t, shard.Running, task.Status)
		}
	}
}

// Guards against a job that is shown as running although none of its tasks is left.
func TestAJobEndsOnceOnlyTasksThatWereGivenUpAreLeft(t *testing.T) {
	p := newCrashPool(t, 6, func(ref batch.Ref) bool { return ref.Step == 0 })
	slow := smallStep(1)
	p.submit("blocker", smallStep(1))
	p.submit("guilty", longRunningStep(1, 0, 1), slow)
	p.deadly = func(ref batch.Ref) bool { return ref.Job == "guilty" && ref.Step == 0 }
	p.run(60 * time.Second)
	require.NotEqual(t, shard.Open, p.Jobs["guilty"].Phase)
}

// Guards against machines that are held for tasks that are given up.
func TestATaskThatWasGivenUpTakesNoCapacity(t *testing.T) {
	load := func(crashes *shard.Crashes) int64 {
		o := newOwner(t, 2, "a", "b")
		stored := &shard.Progress{Phase: shard.Open, Occurrences: []shard.OccurrenceProgress{{Stages: [][]shard.TaskProgress{{{Crashes: crashes}, {}}}}}}
		o.Restore("job", batch.Spec{Queue: "q", Steps: []batch.Step{longRunningStep(2, 0, 1)}}, stored, o.now)
		return o.Load(o.now).LongRunning
	}
	require.Equal(t, load(nil)/2, load(&shard.Crashes{Hosts: 4, Unexplained: 4}))
}
