package plan_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/host"
	"carawaymux.dev/fleet/jobs"
	"carawaymux.dev/fleet/ledger"
	"carawaymux.dev/fleet/plan"
	"carawaymux.dev/fleet/plat"
	"carawaymux.dev/fleet/record"
)

// crashRounds is how many rounds of one second the crash tests run.
const crashRounds = 300

// newCrashFixture returns a fixture in which crashes are counted.
func newCrashFixture(t *testing.T) *fixture {
	f := newFixture(t)
	f.mustAccept("", ledger.Gate{RecordKind: record.KindPlacement, Schema: jobs.CrashSchema})
	return f
}

// crashHosts runs rounds in which each host that a deadly task has been placed on goes down, and is
// live again after it has failed. It returns the number of crashes and the most rounds in a row that
// a task of another job had no host.
func (f *fixture) crashHosts(deadly string) (crashes, longestWait int) {
	f.t.Helper()
	waits := make(map[plan.TaskKey]int)
	lastFence := make(map[plan.TaskKey]uint64)
	for range crashRounds {
		f.round()
		for i, task := range f.state.Jobs[deadly].Tasks {
			if key := (plan.TaskKey{Job: deadly, Task: i}); task.Host != "" && lastFence[key] != task.Fence {
				lastFence[key] = task.Fence
				crashes++
				f.input.Machines[task.Host] = plat.Machine{Name: task.Host, State: plat.MachineDown}
			}
		}
		for name, j := range f.state.Jobs {
			for i, task := range j.Tasks {
				key := plan.TaskKey{Job: name, Task: i}
				waits[key]++
				if name == deadly || task.Host != "" {
					waits[key] = 0
				}
				longestWait = max(longestWait, waits[key])
			}
		}
		for name, m := range f.input.Machines {
			if m.State == plat.MachineDown && f.phase(name) == host.Failed && f.state.TaskCount(name) == 0 {
				f.input.Machines[name] = plat.Machine{Name: name, State: plat.MachineLive}
			}
		}
	}
	return crashes, longestWait
}

func smallTasks(n int) jobs.Spec {
	return jobs.Spec{Pool: "docs", Size: host.Resources{Cores: 1}, Tasks: n, Urgency: jobs.Normal}
}

// Guards against a task that is started on one host after the other, each of which it crashes.
func TestADeadlyTaskCrashesThreeHostsAtMost(t *testing.T) {
	f := newCrashFixture(t)
	f.mustAccept("deadly", smallTasks(1))
	crashes, _ := f.crashHosts("deadly")
	require.Equal(t, jobs.MaxCrashes, crashes)
	require.True(t, f.state.Jobs["deadly"].Tasks[0].GivenUp())
}

// Guards against giving up tasks that share their hosts with one that crashes them, and against long
// waits of such tasks.
func TestTasksBesideADeadlyOneAreNotGivenUp(t *testing.T) {
	f := newCrashFixture(t)
	f.mustAccept("innocent", smallTasks(8))
	f.mustAccept("deadly", smallTasks(1))
	crashes, longestWait := f.crashHosts("deadly")
	require.Equal(t, jobs.MaxCrashes, crashes)
	// A task waits for the suspect tasks on other hosts at most.
	require.Less(t, longestWait, int((jobs.SuspectTime + 10*time.Second).Seconds()))
	for i, task := range f.state.Jobs["innocent"].Tasks {
		require.NotEmpty(t, task.Host, "task %d does not run", i)
		require.False(t, task.GivenUp(), "task %d", i)
	}
}

// Guards against counting a machine that the platform has removed as a crash.
func TestARemovedMachineIsNoCrash(t *testing.T) {
	f := newCrashFixture(t)
	f.mustAccept("job", smallTasks(1))
	f.round()
	on := f.state.Jobs["job"].Tasks[0].Host
	f.input.Machines[on] = plat.Machine{Name: on, State: plat.MachineGone}
	f.roundsUntil("the task is on another host", func() bool {
		task := f.state.Jobs["job"].Tasks[0]
		return task.Host != "" && task.Host != on
	})
	require.Zero(t, f.state.Jobs["job"].Tasks[0].Crashes)
}

// Guards against counting the failure of a host under a task that has run there for long.
func TestAHostThatFailsLongAfterTheStartIsNoCrash(t *testing.T) {
	f := newCrashFixture(t)
	f.mustAccept("job", smallTasks(1))
	f.round()
	on := f.state.Jobs["job"].Tasks[0].Host
	f.input.Now = f.input.Now.Add(jobs.CrashWindow + time.Second)
	f.input.Machines[on] = plat.Machine{Name: on, State: plat.MachineDown}
	f.roundsUntil("the task is on another host", func() bool {
		task := f.state.Jobs["job"].Tasks[0]
		return task.Host != "" && task.Host != on
	})
	require.Zero(t, f.state.Jobs["job"].Tasks[0].Crashes)
}

// Guards against a planner that forgets the crashes that an earlier planner has counted.
func TestADeadlyTaskIsGivenUpByANewPlanner(t *testing.T) {
	f := newCrashFixture(t)
	f.mustAccept("deadly", smallTasks(1))
	f.state.Jobs["deadly"].Tasks[0].Crashes = jobs.MaxCrashes - 1
	crashes, _ := f.crashHosts("deadly")
	require.Equal(t, 1, crashes)
}

// Guards against a task that crashes its host without an end, because the host is back before it counts
// as failed.
func TestACrashOfAHostThatReturnsAtOnceIsCounted(t *testing.T) {
	f := newCrashFixture(t)
	f.mustAccept("deadly", smallTasks(1))
	f.input.StoppedTasks = make(map[plan.TaskKey]uint64)
	starts := 0
	for range crashRounds {
		f.input.Usage = []plat.TaskUsage{}
		for name := range f.input.Machines {
			f.input.Machines[name] = plat.Machine{Name: name, State: plat.MachineLive}
		}
		for _, c := range f.round().Calls {
			switch c.Verb {
			case plan.VerbStart:
				starts++
				f.input.Machines[c.Host] = plat.Machine{Name: c.Host, State: plat.MachineDown}
				f.input.Usage = []plat.TaskUsage{}
				for _, later := range f.round().Calls {
					if later.Verb == plan.VerbStop {
						f.input.StoppedTasks[later.Task] = later.Fence
					}
				}
			case plan.VerbStop:
				f.input.StoppedTasks[c.Task] = c.Fence
			}
		}
	}
	require.Equal(t, jobs.MaxCrashes, starts)
	require.True(t, f.state.Jobs["deadly"].Tasks[0].GivenUp())
	for name, h := range f.state.Hosts {
		require.Equal(t, host.Serving, h.Phase, "host %s was never down for long enough to fail", name)
	}
}
