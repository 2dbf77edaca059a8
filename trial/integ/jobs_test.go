package integ

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/host"
	"carawaymux.dev/fleet/jobs"
	"carawaymux.dev/fleet/ledger"
	"carawaymux.dev/fleet/plat"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wave"
	"carawaymux.dev/trial/site"
)

// shortTaskLeases is twoZones with task leases of 1 s.
func shortTaskLeases() site.Plan {
	p := twoZones()
	p.Settings = map[string][]string{"planner": {"task-term = 1s"}}
	return p
}

// waitForTasks waits until the platform runs the given number of different tasks of a job, and
// returns the host of each.
func (f *fixture) waitForTasks(job string, tasks int, within time.Duration) map[int]string {
	f.t.Helper()
	hostOf := make(map[int]string)
	f.eventually(fmt.Sprintf("%d tasks of job %s run", tasks, job), within, func(ctx context.Context) error {
		report, err := site.Get[plat.UsageReport](ctx, f.HostURL+"/usage")
		if err != nil {
			return err
		}
		clear(hostOf)
		for _, u := range report.Tasks {
			if u.Job == job && u.State == plat.TaskRunning {
				hostOf[u.Task] = u.Host
			}
		}
		if len(hostOf) != tasks {
			return fmt.Errorf("%d tasks run", len(hostOf))
		}
		return nil
	})
	return hostOf
}

// requireNoDuplicateStarts checks that no task was started while it ran on another host.
func (f *fixture) requireNoDuplicateStarts() {
	f.t.Helper()
	stats, err := f.HostStats(f.ctx)
	require.NoError(f.t, err)
	require.Empty(f.t, stats.DuplicateStarts, "tasks were started while they ran on another host")
}

func TestTasksLeaveHostsInAWaveAndNoneRunsTwice(t *testing.T) {
	f := start(t, shortTaskLeases())
	e := f.Entries[0]
	f.publish(e, "match", 0, jobs.Spec{
		Pool: "documents", Size: host.Resources{Cores: 4, MemoryMiB: 1024}, Tasks: 6, Urgency: jobs.Normal, Spread: true,
	})
	hostOf := f.waitForTasks("match", 6, 20*time.Second)
	racks := make(map[string]bool)
	for _, name := range hostOf {
		racks[f.target(name).Zone+f.target(name).Rack] = true
	}
	require.Len(t, racks, 2, "the tasks are not spread over the racks of the pool")
	f.publish(e, "w", 0, wave.Spec{Pools: []string{"documents"}})
	f.waitForPhase(e, record.KindWave, "w", "done", 60*time.Second)
	f.waitForTasks("match", 6, 20*time.Second)
	f.requireNoDuplicateStarts()
	f.checkBudgetHistory("documents")
}

func TestTasksOfALostHostStartElsewhereAfterLeaseExpiry(t *testing.T) {
	f := start(t, shortTaskLeases())
	e := f.Entries[0]
	f.publish(e, "match", 0, jobs.Spec{
		Pool: "documents", Size: host.Resources{Cores: 4, MemoryMiB: 1024}, Tasks: 4, Urgency: jobs.Normal, Spread: true,
	})
	hostOf := f.waitForTasks("match", 4, 20*time.Second)
	require.NoError(t, f.SetMachineState(f.ctx, hostOf[0], plat.MachineDown))
	f.eventually("task 0 runs on another host", 30*time.Second, func(ctx context.Context) error {
		if now := f.waitForTasks("match", 4, 20*time.Second); now[0] == hostOf[0] {
			return fmt.Errorf("task 0 is still on %s, which is down", now[0])
		}
		return nil
	})
	f.requireNoDuplicateStarts()
}

func TestPausedPlannerDoesNotStartTasksTwice(t *testing.T) {
	f := start(t, shortTaskLeases())
	holder := f.leaseHolder()
	e := f.Entries[0]
	if e == holder {
		e = f.Entries[2]
	}
	f.publish(e, "match", 0, jobs.Spec{
		Pool: "documents", Size: host.Resources{Cores: 2, MemoryMiB: 1024}, Tasks: 8, Urgency: jobs.Urgent,
	})
	f.waitForTasks("match", 8, 20*time.Second)
	require.NoError(t, holder.Proc.Pause())
	// The leases of the tasks expire because the paused planner does not renew them.
	// The next planner starts the tasks again with the same placements.
	time.Sleep(3 * time.Second)
	require.NoError(t, holder.Proc.Resume())
	f.waitForTasks("match", 8, 30*time.Second)
	f.requireNoDuplicateStarts()
}

func TestUnplaceableJobIsReportedAndBlocksNoOtherJob(t *testing.T) {
	f := start(t, shortTaskLeases())
	e := f.Entries[0]
	f.publish(e, "huge", 0, jobs.Spec{Pool: "documents", Size: host.Resources{Cores: 1, Accelerators: 2}, Tasks: 1, Urgency: jobs.Urgent})
	f.publish(e, "small", 0, jobs.Spec{Pool: "documents", Size: host.Resources{Cores: 1}, Tasks: 1, Urgency: jobs.Low})
	f.waitForTasks("small", 1, 20*time.Second)
	require.Equal(t, "accelerators", f.object(e, record.KindJob, "huge").Status.UnplaceableFor)
	explained, err := e.Client.Explain(f.ctx, record.KindJob, "huge")
	require.NoError(t, err)
	require.Contains(t, strings.Join(explained.Why, "\n"), "short of accelerators")
	f.publish(e, "", 0, jobs.Cancel{Jobs: []string{"huge", "small"}})
	f.waitForTasks("small", 0, 20*time.Second)
}

func TestTasksThatExceedTheirSizeLeaveAnOvercommittedHost(t *testing.T) {
	p := shortTaskLeases()
	p.Pools[0].Zones = map[string]int{zoneA: 2}
	f := start(t, p)
	e := f.Entries[0]
	// Each of the eight tasks declares 8 GiB, so that all fit on one host of 64 GiB.
	f.publish(e, "liar", 0, jobs.Spec{Pool: "documents", Size: host.Resources{Cores: 1, MemoryMiB: 8 << 10}, Tasks: 8, Urgency: jobs.Low})
	before := f.waitForTasks("liar", 8, 20*time.Second)
	hosts := make(map[string]bool)
	for _, name := range before {
		hosts[name] = true
	}
	require.Len(t, hosts, 1, "the tasks run on several hosts, though by their declared sizes they fit on one")
	require.NoError(t, site.Post(f.ctx, f.HostURL+"/control/jobs/liar/scale", map[string]float64{"factor": 1.5}))
	f.eventually("no host uses more memory than it has", 40*time.Second, func(ctx context.Context) error {
		report, err := site.Get[plat.UsageReport](ctx, f.HostURL+"/usage")
		if err != nil {
			return err
		}
		held := make(map[string]int64)
		for _, u := range report.Tasks {
			held[u.Host] += u.Used.MemoryMiB
		}
		for name, memory := range held {
			if memory > 64<<10 {
				return fmt.Errorf("tasks on host %s use %d MiB", name, memory)
			}
		}
		if len(report.Tasks) != 8 {
			return fmt.Errorf("%d tasks run", len(report.Tasks))
		}
		return nil
	})
	f.requireNoDuplicateStarts()
}

// Guards against a task that is started on one host after the other, each of which it crashes.
func TestATaskUnderWhichThreeHostsCrashIsGivenUp(t *testing.T) {
	f := start(t, shortTaskLeases())
	e := f.Entries[0]
	f.publish(e, "", 0, ledger.Gate{RecordKind: record.KindPlacement, Schema: jobs.CrashSchema})
	f.publish(e, "deadly", 0, jobs.Spec{
		Pool: "documents", Size: host.Resources{Cores: 2, MemoryMiB: 1024}, Tasks: 1, Urgency: jobs.Normal,
	})
	for range jobs.MaxCrashes {
		on := f.waitForTasks("deadly", 1, 30*time.Second)[0]
		require.NoError(t, f.SetMachineState(f.ctx, on, plat.MachineDown))
		f.eventually("the task is taken off the host", 30*time.Second, func(context.Context) error {
			if n := f.object(e, record.KindHost, on).Status.Tasks; n != 0 {
				return fmt.Errorf("%d tasks are on %s", n, on)
			}
			return nil
		})
		require.NoError(t, f.SetMachineState(f.ctx, on, plat.MachineLive))
	}
	for _, entry := range f.Entries {
		f.eventually("the task is given up", 20*time.Second, func(context.Context) error {
			if s := f.object(entry, record.KindJob, "deadly").Status; s.GivenUp != 1 || s.Waiting != 0 {
				return fmt.Errorf("status %+v", s)
			}
			return nil
		})
	}
	f.requireNoDuplicateStarts()
}
