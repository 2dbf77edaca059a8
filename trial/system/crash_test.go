package system

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/trial/fake"
	"carawaymux.dev/trial/procs"
)

// crashSeed chooses the order of the jobs and the tasks that crash their hosts.
const crashSeed = 27

// crashLoad holds the jobs of a pool whose hosts crash under some of them.
type crashLoad struct {
	pool string
	// crashing jobs have tasks that crash their hosts. harmless jobs have none, and lasting is a
	// harmless job that is long-running.
	crashing, harmless []*fake.Job
	lasting            *fake.Job
}

// crashesPerPool describes how the tasks of the crashing jobs of each pool crash their hosts.
var crashesPerPool = []fake.Crash{
	{Delay: 0, Downtime: time.Second},
	{Delay: 10 * time.Millisecond, Downtime: time.Second, KeepID: true},
	{Delay: 400 * time.Millisecond, Downtime: 1500 * time.Millisecond},
}

const (
	harmlessPerPool = 20
	// lastingTasks is the number of tasks of the long-running job of each pool.
	lastingTasks = 2
)

// submitCrashLoad submits harmless and crashing jobs to a pool, in an order that depends on the seed.
func (f *fixture) submitCrashLoad(pool string, random *rand.Rand) *crashLoad {
	f.t.Helper()
	load := &crashLoad{pool: pool}
	load.lasting = f.submitAccepted(pool, fake.SpecRunUntilStopped, fake.StepSpec{Count: lastingTasks, LongRunning: true, MayMiss: 1})
	for _, n := range random.Perm(harmlessPerPool + len(crashesPerPool)) {
		j := &fake.Job{ID: f.nextID(), Specification: "500"}
		if n < len(crashesPerPool) {
			crash := crashesPerPool[n]
			crash.Share, crash.Seed = 0.5, random.Uint64()
			j.Crash = &crash
		}
		require.NoError(f.t, f.submitJob(pool, j, fake.StepSpec{Count: 3, EstimatedMS: 500}))
		if j.CrashesHosts() {
			load.crashing = append(load.crashing, j)
		} else {
			load.harmless = append(load.harmless, j)
		}
	}
	require.NotEmpty(f.t, load.crashing)
	return load
}

// isOver returns an error unless the harmless jobs have completed, the crashing ones have been given up
// and the long-running one runs.
func (f *fixture) isOver(load *crashLoad) error {
	e := f.Entries[len(f.Entries)-1]
	check := func(jobs []*fake.Job, want string) error {
		for _, j := range jobs {
			state, err := f.JobState(f.ctx, e, load.pool, j.ID)
			if err == nil && state != want {
				err = fmt.Errorf("job %s of pool %s is shown as %s; %d hosts have crashed under one of its tasks", j.ID, load.pool, state, f.Crashes(j))
			}
			if err != nil {
				return err
			}
		}
		return nil
	}
	if err := check(load.harmless, "completed"); err != nil {
		return err
	}
	if err := check(load.crashing, "failed"); err != nil {
		return err
	}
	if n := f.Running(load.lasting.ID); n != lastingTasks {
		return fmt.Errorf("%d tasks of the long-running job of pool %s run, expected %d", n, load.pool, lastingTasks)
	}
	return nil
}

// Tasks that crash each host that starts them come among harmless ones. The owner of a pool is killed after
// two hosts have crashed under a task, and again after four: the next owner must not count from zero.
func TestTasksThatCrashHostAfterHostAreNotStartedWithoutLimit(t *testing.T) {
	f := start(t, 3)
	random := rand.New(rand.NewPCG(crashSeed, 0))
	loads := []*crashLoad{f.submitCrashLoad("docs", random), f.submitCrashLoad("wages", random)}
	killAt := []int{2, 4}
	require.NoError(t, procs.WaitFor(f.ctx, "all jobs ended", func(context.Context) error {
		if v := f.Violations(); len(v) > 0 {
			return fmt.Errorf("%w: %s", procs.ErrPermanent, v[0])
		}
		for _, j := range loads[0].crashing {
			if len(killAt) > 0 && f.Crashes(j) >= killAt[0] {
				killAt = killAt[1:]
				owner := f.Owner(loads[0].pool)
				owner.Proc().Kill()
				if err := f.Start(owner); err != nil {
					return err
				}
			}
		}
		for _, load := range loads {
			if err := f.isOver(load); err != nil {
				return err
			}
		}
		return nil
	}))
	f.requireNoViolations()
}

const (
	// lateCrash is the delay of a crash that comes after short tasks have started and ended on the host.
	lateCrash = 2500 * time.Millisecond
	// lateLoad is the number of harmless jobs that come beside late crashes.
	lateLoad = 200
)

// Tasks that crash their hosts long after their start come among short harmless ones.
func TestTasksThatCrashHostsLateAreNotStartedWithoutLimit(t *testing.T) {
	f := start(t, 3)
	f.waitForOwner("docs")
	j := &fake.Job{ID: f.nextID(), Specification: "4000", Crash: &fake.Crash{Share: 1, Delay: lateCrash, Downtime: time.Second}}
	require.NoError(t, f.submitJob("docs", j, fake.StepSpec{Count: 1, EstimatedMS: 4000}))
	load := f.startLoad("docs", lateLoad, 100*time.Millisecond)
	require.NoError(t, procs.WaitFor(f.ctx, "the job is given up", func(context.Context) error {
		if v := f.Violations(); len(v) > 0 {
			return fmt.Errorf("%w: %s", procs.ErrPermanent, v[0])
		}
		state, err := f.JobState(f.ctx, f.Entries[0], "docs", j.ID)
		if err == nil && state != "failed" {
			err = fmt.Errorf("job %s is shown as %s; %d hosts have crashed under its task", j.ID, state, f.Crashes(j))
		}
		return err
	}))
	f.requireLoadCompleted("docs", load)
}
