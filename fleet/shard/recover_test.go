package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// Guards against long-running work that waits beside free hosts. Steps with as many tasks on each host
// as allowed had the free hosts reserved.
func TestAStepThatMayUseNoFurtherHostReservesNone(t *testing.T) {
	o := newOwner(t, 1, "a", "b", "c")
	for i := range 3 {
		o.submit(fmt.Sprintf("spread-%d", i), longRunningStep(4, 1, 0))
	}
	require.Len(t, o.start(), 9)
	o.advance(time.Millisecond)
	o.submit("long-running", longRunningStep(1, 0, 0))
	o.submit("other", smallStep(1))
	require.Len(t, o.start(), 2)
}

// Guards against work that waits beside free hosts, which were reserved for a step that the policy
// service allows on none of them.
func TestAStepThatIsDeniedEverywhereReservesNoHost(t *testing.T) {
	o := newOwnerWithAdvice(t, "a")
	o.SetQueue(port.Queue{Name: "free", Pool: "pool", Stretch: 2, Target: time.Second})
	o.submit("denied", longRunningStep(1, 0, 0))
	o.advise(map[string]string{})
	j, _ := o.Submit("other", batch.Spec{Queue: "free", Steps: []batch.Step{smallStep(1)}}, o.now)
	o.MarkStored(j)
	require.Len(t, o.start(), 1)
}

// Guards against work that waits beside free hosts, which were reserved for steps that long-running
// work leaves no room for.
func TestAStepThatLongRunningWorkLeavesNoRoomForReservesNoHost(t *testing.T) {
	o := newOwner(t, 1, "a", "b")
	o.submit("long-running", longRunningStep(2, 1, 0))
	require.Len(t, o.start(), 2)
	large := smallStep(1)
	large.Need.MilliCores = 3500
	for i := range 2 {
		o.submit(fmt.Sprintf("large-%d", i), large)
	}
	o.advance(time.Second)
	o.submit("other", smallStep(1))
	o.advance(time.Minute) // all of it is late
	for _, h := range o.Hosts {
		h.LastAnswer = o.now
	}
	require.Len(t, o.start(), 1)
}

// Guards against work that waits beside free hosts, which were reserved for gangs with more members than
// the hosts have room for.
func TestAGangWithMoreMembersThanFitReservesNoHost(t *testing.T) {
	for name, change := range map[string]func(o *owner, gang *batch.Step){
		"too large":              func(_ *owner, gang *batch.Step) { gang.Need.MilliCores = 3000 },
		"too many for each host": func(_ *owner, gang *batch.Step) { gang.PerHost = 1 },
		"beside long-running work": func(o *owner, gang *batch.Step) {
			gang.Need.MilliCores = 2000
			o.submit("long-running", longRunningStep(2, 1, 0))
			require.Len(o.t, o.start(), 2)
		},
	} {
		t.Run(name, func(t *testing.T) {
			o := newOwner(t, 1, "a", "b")
			gang := smallStep(3)
			gang.Gang = true
			change(o, &gang)
			for i := range 2 {
				o.submit(fmt.Sprintf("gang-%d", i), gang)
			}
			o.advance(time.Second)
			o.submit("other", smallStep(1))
			o.advance(time.Minute) // all of it is late
			for _, h := range o.Hosts {
				h.LastAnswer = o.now
			}
			require.Len(t, o.start(), 1)
		})
	}
}

// Guards against best-effort work that waits behind a step that needs processors, while the hosts have
// memory left and no processor.
func TestBestEffortWorkStartsOnHostsWithoutAFreeProcessor(t *testing.T) {
	o := newOwner(t, 1, "a", "b")
	o.submit("full", longRunningStep(8, 0, 0))
	require.Len(t, o.start(), 8)
	o.submit("first", longRunningStep(1, 0, 0))
	o.advance(time.Millisecond)
	bestEffort := longRunningStep(1, 0, 0)
	bestEffort.BestEffort = true
	o.submit("best-effort", bestEffort)
	require.Len(t, o.start(), 1)
}

const (
	// recoveryTick is the time between two rounds of a simulated pool.
	recoveryTick = 100 * time.Millisecond
	// crashAge is the age of a run at which its host crashes, and leaveAge that at which a host leaves that has
	// announced it. A task under which hosts crash sooner than that is given up.
	crashAge, leaveAge = 3 * time.Second, time.Second
	// recoveryLimit is how long a long-running task may be without a run where there is room.
	recoveryLimit = 6 * time.Second
)

// simulated is a pool whose hosts answer in each round and run work that ends after a second.
type simulated struct {
	*owner
	// born holds the instance of each host that is up.
	born map[string]int64
	// ends holds the number of ends that each instance has reported.
	ends map[string]int64
	jobs int
}

func newSimulated(t *testing.T, o *owner) *simulated {
	t.Helper()
	s := &simulated{owner: o, born: map[string]int64{}, ends: map[string]int64{}}
	for id := range o.Hosts {
		s.born[id] = 1
	}
	return s
}

// step simulates one round.
func (s *simulated) step() {
	s.now = s.now.Add(recoveryTick)
	s.clock += recoveryTick.Milliseconds()
	for id, born := range s.born {
		report := &port.HostReport{Clock: s.clock, Born: born}
		for ref, task := range s.Hosts[id].Assigned {
			switch {
			case task.Status == shard.Stopping:
				s.ends[id]++
				report.Finished = append(report.Finished, port.FinishedRun{Number: s.ends[id], Unit: ref.String(), Run: task.Run, Result: port.ResultStopped})
			case task.Status != shard.Running:
			case !s.Jobs[ref.Job].Spec.Steps[ref.Step].LongRunning && s.now.Sub(task.OrderedAt) >= time.Second:
				s.ends[id]++
				report.Finished = append(report.Finished, port.FinishedRun{Number: s.ends[id], Unit: ref.String(), Run: task.Run, Result: port.ResultDone})
			default:
				report.Running = append(report.Running, port.ActiveRun{Unit: ref.String(), Run: task.Run, ProgressPercent: 100})
			}
		}
		s.HandleReport(id, report, s.now)
	}
	s.ExpireLeases(s.now)
	s.SettleSuspects(s.now)
	s.RetryStops(s.now)
	s.ConfirmedAt = s.now.Add(time.Millisecond)
	shard.PlanWithin(s.State, shard.ByLoad{Overloaded: s.Overloaded}, shard.Limits{Starts: 32, StartsPerHost: 1}, s.now, s.now.UnixMilli())
	for _, order := range s.TakeOrders() {
		if s.born[order.Host] == 0 {
			continue
		}
		switch order.Kind {
		case shard.OrderStart:
			s.HandleStartResult(&order, s.clock, nil, s.now)
		case shard.OrderStop:
			s.HandleStopResult(&order, s.clock, nil, s.now)
		}
	}
}

// crash ends a host.
func (s *simulated) crash(id string) {
	delete(s.born, id)
	s.HostEnded(id, s.now)
}

// restart starts a new instance of a host.
func (s *simulated) restart(id string, born int64) { s.born[id], s.ends[id] = born, 0 }

// fill submits work until the given number of tasks waits.
func (s *simulated) fill(waiting int, step batch.Step) {
	for open := s.waitingTasks(); open < waiting; open += step.Count {
		s.jobs++
		s.submit(fmt.Sprintf("fill-%d", s.jobs), step)
	}
}

func (s *simulated) waitingTasks() int { return s.Waiting(s.now).Tasks }

func TestALongRunningTaskIsStartedAgainInTimeAsOftenAsItsHostIsLost(t *testing.T) {
	ends := func(cores, memory int64) batch.Step {
		step := smallStep(4)
		step.Need = batch.Size{MilliCores: cores, MemoryMB: memory}
		return step
	}
	gang := ends(2000, 1000)
	gang.Gang = true
	bestEffort := longRunningStep(8, 0, 0)
	bestEffort.BestEffort = true
	bestEffort.Need.MemoryMB = 900
	for name, c := range map[string]struct {
		prepare func(s *simulated)
		round   func(s *simulated, tick int)
	}{
		"full pool":                   {round: func(s *simulated, _ int) { s.fill(40, ends(1000, 500)) }},
		"large work":                  {round: func(s *simulated, _ int) { s.fill(40, ends(3500, 500)) }},
		"work that needs whole hosts": {round: func(s *simulated, _ int) { s.fill(40, ends(4000, 4000)) }},
		"work that fits nowhere":      {round: func(s *simulated, _ int) { s.fill(40, ends(5000, 500)) }},
		"gangs":                       {round: func(s *simulated, _ int) { s.fill(40, gang) }},
		"best-effort work": {
			prepare: func(s *simulated) { s.submit("best-effort", bestEffort) },
			round:   func(s *simulated, _ int) { s.fill(40, ends(1000, 500)) },
		},
		"steps that may use no further host": {
			prepare: func(s *simulated) {
				for i := range 4 {
					spread := longRunningStep(8, 1, 0)
					spread.Need.MilliCores = 200
					s.submit(fmt.Sprintf("spread-%d", i), spread)
				}
			},
			round: func(s *simulated, _ int) { s.fill(40, ends(1000, 500)) },
		},
		"a cordoned host": {round: func(s *simulated, _ int) {
			s.fill(40, ends(1000, 500))
			s.Vacate(s.Hosts["d"], s.now, time.Second)
		}},
		"a change of the owner": {round: func(s *simulated, tick int) {
			s.fill(40, ends(1000, 500))
			if tick == 100 {
				s.takeOver()
			}
		}},
	} {
		for _, leaves := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, host leaves %v", name, leaves), func(t *testing.T) {
				lossAge := crashAge
				if leaves {
					lossAge = leaveAge
				}
				s := newSimulated(t, newOwner(t, 1, "a", "b", "c", "d"))
				if c.prepare != nil {
					c.prepare(s)
				}
				s.submit("watched", longRunningStep(1, 0, 0))
				lastRun := s.now
				restarts := map[string]time.Time{}
				var instance int64 = 1
				for tick := range 600 {
					c.round(s, tick)
					s.step()
					for id, at := range restarts {
						if !s.now.Before(at) {
							instance++
							s.restart(id, instance)
							delete(restarts, id)
						}
					}
					task := &shard.Task{}
					if tasks := s.Jobs["watched"].Occurrences[0].Stages[0].Tasks; len(tasks) > 0 {
						task = &tasks[0]
					}
					if task.Status == shard.Running {
						lastRun = s.now
						if s.now.Sub(task.OrderedAt) >= lossAge && len(restarts) == 0 {
							host := task.Host
							s.Hosts[host].Draining = leaves
							s.crash(host)
							s.Hosts[host].Draining = false
							restarts[host] = s.now.Add(2 * time.Second)
						}
					}
					require.LessOrEqual(t, s.now.Sub(lastRun), recoveryLimit, "%s at tick %d", s.Explain(batch.Ref{Job: "watched"}, s.now), tick)
				}
				require.Greater(t, instance, int64(5), "the host of the task was lost too seldom")
			})
		}
	}
}

// takeOver replaces the owner by one that knows what is stored.
func (s *simulated) takeOver() {
	s.t.Helper()
	old := s.owner
	stored := map[string]shard.Progress{}
	for _, change := range old.TakeChanges() {
		stored[change.Job.ID] = change.Progress
	}
	s.owner = newOwner(s.t, old.Epoch+1)
	s.now, s.clock = old.now, old.clock
	s.State.ClaimedAt, s.ConfirmedAt = s.now, s.now
	for id, h := range old.Hosts {
		s.RestoreHost(h.Host)
		s.UpdateHost(h.Host, s.now)
		_ = id
	}
	for id, j := range old.Jobs {
		var progress *shard.Progress
		if p, ok := stored[id]; ok {
			progress = &p
		}
		s.Restore(id, j.Spec, progress, s.now)
	}
}
