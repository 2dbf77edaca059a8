// Package system tests entries as processes that run against a simulation of the users' platform.
package system

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/trial/edits"
	"carawaymux.dev/trial/fake"
	"carawaymux.dev/trial/procs"
)

// bin is the folder of the programs under test.
var bin string

// TestMain builds the programs once for all tests.
func TestMain(m *testing.M) {
	os.Exit(edits.Main(m, &bin, "../..", "./platform/cmd/carawaymux", "./oper/cmd/caraway"))
}

// layout consists of two pools that run tasks and a standby pool.
var layout = fake.Layout{
	Pools:       map[string]int{"docs": 4, "wages": 4, "spare": 3},
	StandbyPool: "spare",
	Timing: fake.Timing{
		MaxLease: 10 * time.Second, MoveDuration: 300 * time.Millisecond, MaintenanceDuration: 400 * time.Millisecond, HeartbeatInterval: 300 * time.Millisecond,
	},
}

// fixture is a running deployment with the test that uses it.
type fixture struct {
	*fake.Deployment
	t      *testing.T
	ctx    context.Context
	lastID atomic.Int64
}

// start starts entries on a new simulated platform with the default layout.
func start(t *testing.T, entries int) *fixture {
	t.Helper()
	return startWith(t, layout, entries)
}

// startWith starts entries on a new simulated platform with the given layout.
func startWith(t *testing.T, layout fake.Layout, entries int) *fixture {
	t.Helper()
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	t.Cleanup(cancel)
	platform, err := fake.New(layout)
	require.NoError(t, err)
	t.Cleanup(platform.Close)
	require.NoError(t, platform.Publish("config", fake.Config(1, layout)))
	d, err := fake.NewDeployment(platform, bin, t.TempDir(), entries)
	require.NoError(t, err)
	t.Cleanup(d.KillAll)
	require.NoError(t, d.StartAll(ctx))
	f := &fixture{Deployment: d, t: t, ctx: ctx}
	t.Cleanup(func() {
		if !t.Failed() {
			return
		}
		for _, e := range d.Entries {
			lines := strings.Split(d.Log(e), "\n")
			t.Logf("%s:\n%s", e.Name, strings.Join(lines[max(len(lines)-40, 0):], "\n"))
		}
	})
	return f
}

func (f *fixture) nextID() string {
	return fmt.Sprintf("%016x", f.lastID.Add(1))
}

// submitAccepted submits a job until an entry accepts it, and fails the test if none does in time.
func (f *fixture) submitAccepted(pool, specification string, steps ...fake.StepSpec) *fake.Job {
	f.t.Helper()
	j, err := f.submitUntilAccepted(pool, specification, steps...)
	require.NoError(f.t, err)
	return j
}

// submitUntilAccepted submits a job at one entry after the other until one accepts it or the
// test's context is done.
func (f *fixture) submitUntilAccepted(pool, specification string, steps ...fake.StepSpec) (*fake.Job, error) {
	j := &fake.Job{ID: f.nextID(), Specification: specification}
	return j, f.submitJob(pool, j, steps...)
}

// submitJob is like submitUntilAccepted, for a job that the test has built.
func (f *fixture) submitJob(pool string, j *fake.Job, steps ...fake.StepSpec) error {
	status := f.SubmitJob(f.ctx, f.Entries[int(f.lastID.Load())%len(f.Entries)], pool, j, steps...)
	for try := 1; status != http.StatusOK; try++ {
		if err := f.ctx.Err(); err != nil {
			return err
		}
		time.Sleep(100 * time.Millisecond)
		status = f.Resubmit(f.ctx, f.Entries[try%len(f.Entries)], pool, j, steps...)
	}
	return nil
}

// waitForOwner waits until an entry owns a pool and returns the entry.
func (f *fixture) waitForOwner(pool string) *fake.Entry {
	f.t.Helper()
	require.NoError(f.t, procs.WaitFor(f.ctx, "owner of "+pool, func(context.Context) error {
		if f.Owner(pool) == nil {
			return fmt.Errorf("no entry has logged yet that it took the pool over")
		}
		return nil
	}))
	return f.Owner(pool)
}

// waitForState waits until an entry reports that a job is in a state.
func (f *fixture) waitForState(pool string, j *fake.Job, want string) {
	f.t.Helper()
	require.NoError(f.t, procs.WaitFor(f.ctx, j.ID+" "+want, func(ctx context.Context) error {
		var lastErr error
		for _, e := range f.Entries {
			state, err := f.JobState(ctx, e, pool, j.ID)
			if err != nil {
				lastErr = err
				continue
			}
			if state == "completed" && !f.AllDone(j) {
				require.Fail(f.t, "shown as completed too early", j.ID)
			}
			if state == want {
				return nil
			}
			lastErr = fmt.Errorf("entry %s reports state %s", e.Name, state)
		}
		return lastErr
	}))
}

// requireNoViolations requires that the simulated platform has recorded no violation.
func (f *fixture) requireNoViolations() {
	f.t.Helper()
	require.Empty(f.t, f.Violations())
}

func TestJobsRunInOrderAndAreShownAsCompleted(t *testing.T) {
	f := start(t, 3)
	var jobs []*fake.Job
	for range 12 {
		jobs = append(jobs, f.submitAccepted("docs", "80", fake.StepSpec{Count: 3, EstimatedMS: 80}, fake.StepSpec{Count: 2, EstimatedMS: 80, After: []int{0}}))
	}
	for _, j := range jobs {
		f.waitForState("docs", j, "completed")
	}
	for _, e := range f.Entries {
		n, err := f.PendingJobs(f.ctx, e, "docs")
		require.NoError(t, err)
		require.Zero(t, n)
	}
	// A submission with the same ID must not start the job again.
	before := f.Started(jobs[0].ID)
	require.Equal(t, http.StatusOK, f.Resubmit(f.ctx, f.Entries[1], "docs", jobs[0], fake.StepSpec{Count: 3, CPU: 1000, MemoryMB: 100}))
	f.waitForState("docs", jobs[0], "completed")
	require.Equal(t, before, f.Started(jobs[0].ID))
	f.requireNoViolations()
}

func TestAJobThatAlwaysFailsIsShownAsFailed(t *testing.T) {
	f := start(t, 2)
	j := f.submitAccepted("docs", fake.SpecFail, fake.StepSpec{Count: 1, EstimatedMS: 50})
	f.waitForState("docs", j, "failed")
	f.requireNoViolations()
}

func TestACancelledJobEndsAndStaysCancelled(t *testing.T) {
	f := start(t, 2)
	j := f.submitAccepted("docs", fake.SpecRunUntilStopped, fake.StepSpec{Count: 2, LongRunning: true, MayMiss: 1})
	f.waitForState("docs", j, "running")
	require.Equal(t, http.StatusOK, f.Cancel(f.ctx, f.Entries[0], "docs", j))
	f.waitForState("docs", j, "cancelled")
	require.NoError(t, procs.WaitFor(f.ctx, "no task of the cancelled job runs", func(context.Context) error {
		if n := f.Running(j.ID); n > 0 {
			return fmt.Errorf("%d runs are under way", n)
		}
		return nil
	}))
	f.requireNoViolations()
}

func TestInvalidRequestsAreRefusedWithAReasonAndStoreNothing(t *testing.T) {
	f := start(t, 1)
	e := f.Entries[0]
	path := fake.QueuePath("docs") + "00000000000000aa"
	for body, why := range map[string]string{
		`{"steps":`:                           "unexpected end",
		`{"steps":[]}`:                        "0 steps",
		`{"steps":[{"count":0}]}`:             "count 0",
		`{"steps":[{"count":1,"cpu":-1}]}`:    "negative",
		`{"steps":[{"count":1,"after":[0]}]}`: "not an earlier one",
	} {
		status, answer, err := f.Post(f.ctx, e, path, []byte(body))
		require.NoError(t, err)
		require.Equal(t, http.StatusBadRequest, status, body)
		require.Contains(t, answer, why)
	}
	status, answer, err := f.Post(f.ctx, e, fake.QueuePath("docs")+"xyz", []byte(`{"steps":[{"count":1}]}`))
	require.NoError(t, err)
	require.Equal(t, http.StatusBadRequest, status)
	require.Contains(t, answer, "16 expected")
	status, _, err = f.Post(f.ctx, e, "/none/00000000000000aa", []byte(`{"steps":[{"count":1}]}`))
	require.NoError(t, err)
	require.Equal(t, http.StatusNotFound, status)
	status, _, err = f.Post(f.ctx, e, path, []byte(`{"specification":"`+strings.Repeat("x", 300_000)+`"}`))
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestEntityTooLarge, status)
	_, err = f.JobState(f.ctx, e, "docs", "00000000000000aa")
	require.ErrorContains(t, err, "410")
	f.requireNoViolations()
}

// loadResult holds the jobs that startLoad has submitted, and the error that ended it early.
type loadResult struct {
	jobs []*fake.Job
	err  error
}

// startLoad submits count small jobs in the background, with a pause of gap between them.
func (f *fixture) startLoad(pool string, count int, gap time.Duration) <-chan loadResult {
	f.t.Helper()
	f.waitForOwner(pool)
	out := make(chan loadResult, 1)
	go func() {
		var result loadResult
		for range count {
			j, err := f.submitUntilAccepted(pool, "150", fake.StepSpec{Count: 2, EstimatedMS: 150}, fake.StepSpec{Count: 2, EstimatedMS: 150, After: []int{0}})
			if err != nil {
				result.err = err
				break
			}
			result.jobs = append(result.jobs, j)
			time.Sleep(gap)
		}
		out <- result
	}()
	return out
}

// requireLoadCompleted requires that all jobs of a load complete.
func (f *fixture) requireLoadCompleted(pool string, load <-chan loadResult) {
	f.t.Helper()
	result := <-load
	require.NoError(f.t, result.err)
	f.requireCompleted(pool, result.jobs)
}

func (f *fixture) requireCompleted(pool string, jobs []*fake.Job) {
	f.t.Helper()
	for _, j := range jobs {
		f.waitForState(pool, j, "completed")
	}
	f.requireNoViolations()
}

// The owner of a pool is killed under load and restarted. Another entry takes the pool over, and no
// task may run twice.
func TestAnOwnerThatIsKilledIsReplacedAndNothingRunsTwice(t *testing.T) {
	f := start(t, 3)
	load := f.startLoad("docs", 40, 100*time.Millisecond)
	time.Sleep(time.Second)
	owner := f.waitForOwner("docs")
	owner.Proc().Kill()
	time.Sleep(2 * time.Second)
	require.NoError(t, f.Start(owner))
	f.requireLoadCompleted("docs", load)
}

// A paused owner does not notice that another entry has taken its pool over. Its orders after it
// resumes must be rejected.
func TestPausedOwnerIsFencedAfterItResumes(t *testing.T) {
	f := start(t, 3)
	load := f.startLoad("docs", 40, 100*time.Millisecond)
	time.Sleep(time.Second)
	owner := f.waitForOwner("docs")
	require.NoError(t, owner.Proc().Pause())
	time.Sleep(4 * time.Second)
	require.NoError(t, owner.Proc().Resume())
	f.requireLoadCompleted("docs", load)
}

// With all entries killed at the same time, only the store and the hosts have the state of the jobs.
func TestJobsCompleteAfterAllEntriesWereKilled(t *testing.T) {
	f := start(t, 3)
	var jobs []*fake.Job
	for range 8 {
		jobs = append(jobs, f.submitAccepted("docs", "900", fake.StepSpec{Count: 2, EstimatedMS: 900}, fake.StepSpec{Count: 2, EstimatedMS: 900, After: []int{0}}))
	}
	for _, e := range f.Entries {
		e.Proc().Kill()
	}
	require.NoError(t, f.StartAll(f.ctx))
	f.requireCompleted("docs", jobs)
}

func TestJobsCompleteAfterStoreFaults(t *testing.T) {
	for name, faults := range map[string]fake.StoreFaults{
		"silent": {Unresponsive: true}, "refusing": {Busy: true}, "losing answers": {LoseEveryNth: 4},
	} {
		t.Run(name, func(t *testing.T) {
			f := start(t, 3)
			load := f.startLoad("docs", 30, 100*time.Millisecond)
			time.Sleep(time.Second)
			f.SetStoreFaults(faults)
			time.Sleep(3 * time.Second)
			f.SetStoreFaults(fake.StoreFaults{})
			f.requireLoadCompleted("docs", load)
		})
	}
}

func TestWorkOfCrashedAndUnreachableHostsIsDone(t *testing.T) {
	f := start(t, 2)
	longRunning := f.submitAccepted("docs", fake.SpecRunUntilStopped, fake.StepSpec{Count: 3, LongRunning: true, MayMiss: 1})
	load := f.startLoad("docs", 30, 100*time.Millisecond)
	time.Sleep(time.Second)
	f.CrashHosts("docs", 1, 2*time.Second)
	time.Sleep(time.Second)
	f.SetUnreachable("docs", 1, true)
	time.Sleep(3 * time.Second)
	f.SetUnreachable("docs", 9, false)
	f.requireLoadCompleted("docs", load)
	require.NoError(t, procs.WaitFor(f.ctx, "three tasks of the long-running job run", func(context.Context) error {
		if n := f.Running(longRunning.ID); n != 3 {
			return fmt.Errorf("%d runs are under way", n)
		}
		return nil
	}))
	f.requireNoViolations()
}

func TestAWaveTakesEachMachineDownOnceWithinItsCap(t *testing.T) {
	f := start(t, 3)
	longRunning := f.submitAccepted("docs", fake.SpecRunUntilStopped, fake.StepSpec{Count: 2, LongRunning: true, MayMiss: 1})
	load := f.startLoad("docs", 20, 150*time.Millisecond)
	machines := []string{"m-docs-0", "m-docs-1", "m-docs-2", "m-docs-3", "m-wages-0", "m-spare-0"}
	require.NoError(t, f.Publish("wave/7", map[string]any{"wave": 7, "machines": machines, "duration_s": 30, "cap": 2}))
	time.Sleep(1500 * time.Millisecond)
	// The entry that holds the claim on machines is killed during the wave; another one continues
	// it.
	for _, e := range f.Entries {
		if strings.Contains(f.Log(e), `"msg":"wave seen"`) {
			e.Proc().Kill()
			time.Sleep(time.Second)
			require.NoError(t, f.Start(e))
			break
		}
	}
	require.NoError(t, procs.WaitFor(f.ctx, "wave completed", func(context.Context) error {
		if s := f.Status("wave/7"); s != `{"state":"completed"}` {
			return fmt.Errorf("wave status is %q, maintenance has begun on %d machines", s, f.MaintenanceBegun(7))
		}
		return nil
	}))
	require.Equal(t, len(machines), f.MaintenanceBegun(7))
	f.requireLoadCompleted("docs", load)
	require.NotZero(t, f.Running(longRunning.ID))
}

func TestMachinesMoveToABusyPoolAndBackToStandby(t *testing.T) {
	f := start(t, 2)
	before := f.MachinesInPool("docs")
	var jobs []*fake.Job
	for range 12 {
		jobs = append(jobs, f.submitAccepted("docs", "1500", fake.StepSpec{Count: 4, EstimatedMS: 1500}))
	}
	require.NoError(t, procs.WaitFor(f.ctx, "more machines in the busy pool", func(context.Context) error {
		if n := f.MachinesInPool("docs"); n <= before {
			return fmt.Errorf("%d machines in the pool", n)
		}
		return nil
	}))
	f.requireCompleted("docs", jobs)
	require.NoError(t, procs.WaitFor(f.ctx, "machines back on standby", func(context.Context) error {
		if n := f.MachinesInPool("spare"); n <= 3 {
			return fmt.Errorf("%d machines on standby", n)
		}
		return nil
	}))
	f.requireNoViolations()
}

// An entry that receives SIGTERM must stop within the grace period without cutting off requests.
func TestStoppedEntryCompletesItsOpenRequests(t *testing.T) {
	f := start(t, 3)
	load := f.startLoad("docs", 30, 80*time.Millisecond)
	time.Sleep(700 * time.Millisecond)
	e := f.waitForOwner("docs")
	stopStarted := time.Now()
	require.NoError(t, e.Proc().Stop())
	require.Less(t, time.Since(stopStarted), 6*time.Second, "within the grace period")
	require.NotContains(t, f.Log(e), "requests cut off")
	require.NoError(t, f.Start(e))
	f.requireLoadCompleted("docs", load)
}

// While the strong entry is away, weak ones take its pools over. They must not keep them for as long as
// they live.
func TestPoolsReturnToAStrongEntryUnderLoad(t *testing.T) {
	mixed := layout
	mixed.EntryCores = []float64{0.1, 0.8, 0.1}
	f := startWith(t, mixed, 3)
	docs, wages := f.startLoad("docs", 80, 150*time.Millisecond), f.startLoad("wages", 80, 150*time.Millisecond)
	strong := f.Entries[1]
	require.NoError(t, strong.Proc().Stop())
	waitForOwners := func(what string, want func(*fake.Entry) bool) {
		require.NoError(t, procs.WaitFor(f.ctx, what, func(context.Context) error {
			for _, pool := range []string{"docs", "wages"} {
				if owner := f.Owner(pool); owner == nil || !want(owner) {
					return fmt.Errorf("owner of %s is %+v", pool, owner)
				}
			}
			return nil
		}))
	}
	waitForOwners("weak entries own the pools", func(e *fake.Entry) bool { return e != strong })
	require.NoError(t, f.Start(strong))
	waitForOwners("the strong entry owns the pools", func(e *fake.Entry) bool { return e == strong })
	f.requireLoadCompleted("docs", docs)
	f.requireLoadCompleted("wages", wages)
	for _, pool := range []string{"docs", "wages"} {
		require.Equal(t, strong, f.Owner(pool), pool)
	}
}

func TestTasksThatNeedAdviceStartOnlyWithTickets(t *testing.T) {
	advised := layout
	advised.AdvisedPool = "docs"
	f := startWith(t, advised, 2)
	var jobs []*fake.Job
	for range 6 {
		jobs = append(jobs, f.submitAccepted("docs", "80", fake.StepSpec{Count: 3, EstimatedMS: 80}, fake.StepSpec{Count: 2, EstimatedMS: 80, After: []int{0}}))
	}
	other := f.submitAccepted("wages", "80", fake.StepSpec{Count: 2, EstimatedMS: 80})
	for _, j := range jobs {
		f.waitForState("docs", j, "completed")
	}
	f.waitForState("wages", other, "completed")
	require.Zero(t, f.StartsRefusedForTicket())
	f.requireNoViolations()
}
