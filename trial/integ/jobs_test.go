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
	"carawaymux.dev/fleet/plat"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wave"
	"carawaymux.dev/trial/site"
)

// fastTasks shortens the leases of tasks.
func fastTasks() site.Plan {
	p := twoZones()
	p.Settings = map[string][]string{"planner": {"task-term = 1s"}}
	return p
}

// running waits until the platform runs all tasks of a job, none of them twice.
func (r *rig) running(job string, tasks int, within time.Duration) map[int]string {
	r.t.Helper()
	on := make(map[int]string)
	r.eventually(fmt.Sprintf("%d tasks of %s run", tasks, job), within, func(ctx context.Context) error {
		report, err := site.Get[plat.UsageReport](ctx, r.HostURL+"/usage")
		if err != nil {
			return err
		}
		clear(on)
		for _, u := range report.Tasks {
			if u.Job == job && u.State == plat.TaskRunning {
				on[u.Task] = u.Host
			}
		}
		if len(on) != tasks {
			return fmt.Errorf("%d run", len(on))
		}
		return nil
	})
	return on
}

// noneDoubled checks that no task was started while it ran elsewhere.
func (r *rig) noneDoubled() {
	r.t.Helper()
	stats, err := r.HostStats(r.ctx)
	require.NoError(r.t, err)
	require.Empty(r.t, stats.DuplicateStarts, "tasks were started twice")
}

func TestTasksMoveOutOfAWavesWayAndNoneRunsTwice(t *testing.T) {
	r := start(t, fastTasks())
	e := r.Entries[0]
	r.publish(e, "match", 0, jobs.Spec{
		Pool: "documents", Size: host.Resources{Cores: 4, MemoryMiB: 1024}, Tasks: 6, Urgency: jobs.Normal, Spread: true,
	})
	on := r.running("match", 6, 20*time.Second)
	racks := make(map[string]bool)
	for _, name := range on {
		racks[r.target(name).Zone+r.target(name).Rack] = true
	}
	require.Len(t, racks, 2, "the tasks are spread over the racks of the pool")
	r.publish(e, "w", 0, wave.Spec{Pools: []string{"documents"}})
	r.phase(e, record.KindWave, "w", "done", 60*time.Second)
	r.running("match", 6, 20*time.Second)
	r.noneDoubled()
	r.checkStream("documents")
}

func TestTasksOfALostHostStartElsewhereAfterTheirLease(t *testing.T) {
	r := start(t, fastTasks())
	e := r.Entries[0]
	r.publish(e, "match", 0, jobs.Spec{
		Pool: "documents", Size: host.Resources{Cores: 4, MemoryMiB: 1024}, Tasks: 4, Urgency: jobs.Normal, Spread: true,
	})
	on := r.running("match", 4, 20*time.Second)
	require.NoError(t, r.SetMachineState(r.ctx, on[0], plat.MachineDown))
	r.eventually("the task runs elsewhere", 30*time.Second, func(ctx context.Context) error {
		if now := r.running("match", 4, 20*time.Second); now[0] == on[0] {
			return fmt.Errorf("task 0 is on %s", now[0])
		}
		return nil
	})
	r.noneDoubled()
}

func TestPausedPlannerDoesNotStartTasksTwice(t *testing.T) {
	r := start(t, fastTasks())
	holder := r.holder()
	e := r.Entries[0]
	if e == holder {
		e = r.Entries[2]
	}
	r.publish(e, "match", 0, jobs.Spec{
		Pool: "documents", Size: host.Resources{Cores: 2, MemoryMiB: 1024}, Tasks: 8, Urgency: jobs.Urgent,
	})
	r.running("match", 8, 20*time.Second)
	require.NoError(t, holder.Proc.Pause())
	// With nobody to renew them the leases lapse; the next planner starts the tasks
	// again under the same placements.
	time.Sleep(3 * time.Second)
	require.NoError(t, holder.Proc.Resume())
	r.running("match", 8, 30*time.Second)
	r.noneDoubled()
}

func TestNeverRunnableJobIsNamedAndHoldsNothingUp(t *testing.T) {
	r := start(t, fastTasks())
	e := r.Entries[0]
	r.publish(e, "huge", 0, jobs.Spec{Pool: "documents", Size: host.Resources{Cores: 1, Accelerators: 2}, Tasks: 1, Urgency: jobs.Urgent})
	r.publish(e, "small", 0, jobs.Spec{Pool: "documents", Size: host.Resources{Cores: 1}, Tasks: 1, Urgency: jobs.Low})
	r.running("small", 1, 20*time.Second)
	require.Equal(t, "accelerators", r.object(e, record.KindJob, "huge").Status.UnplaceableFor)
	explained, err := e.Client.Explain(r.ctx, record.KindJob, "huge")
	require.NoError(t, err)
	require.Contains(t, strings.Join(explained.Why, "\n"), "short of accelerators")
	r.publish(e, "", 0, jobs.Cancel{Jobs: []string{"huge", "small"}})
	r.running("small", 0, 20*time.Second)
}

func TestTaskOverItsSizeIsTakenOffAnOverfullHost(t *testing.T) {
	p := fastTasks()
	p.Pools[0].Zones = map[string]int{zoneA: 2}
	r := start(t, p)
	e := r.Entries[0]
	// Eight tasks declare 8 GiB each: all fit on one host of 64 GiB.
	r.publish(e, "liar", 0, jobs.Spec{Pool: "documents", Size: host.Resources{Cores: 1, MemoryMiB: 8 << 10}, Tasks: 8, Urgency: jobs.Low})
	before := r.running("liar", 8, 20*time.Second)
	hosts := make(map[string]bool)
	for _, name := range before {
		hosts[name] = true
	}
	require.Len(t, hosts, 1, "by their declared sizes they fit on one host")
	require.NoError(t, site.Post(r.ctx, r.HostURL+"/control/jobs/liar/scale", map[string]float64{"factor": 1.5}))
	r.eventually("no host holds more than it has", 40*time.Second, func(ctx context.Context) error {
		report, err := site.Get[plat.UsageReport](ctx, r.HostURL+"/usage")
		if err != nil {
			return err
		}
		held := make(map[string]int64)
		for _, u := range report.Tasks {
			held[u.Host] += u.Used.MemoryMiB
		}
		for name, memory := range held {
			if memory > 64<<10 {
				return fmt.Errorf("%s holds %d MiB", name, memory)
			}
		}
		if len(report.Tasks) != 8 {
			return fmt.Errorf("%d tasks run", len(report.Tasks))
		}
		return nil
	})
	r.noneDoubled()
}
