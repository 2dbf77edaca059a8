// Package system tests the programs as processes on a stand-in of the users' platform.
package system

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/trial/fake"
	"carawaymux.dev/trial/procs"
)

// bin holds the program under test.
var bin string

// TestMain builds the program once.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "caraway-system-")
	if err != nil {
		panic(err)
	}
	bin = filepath.Join(dir, "bin")
	build := exec.Command("go", "build", "-o", bin+"/", "./platform/cmd/carawaymux", "./oper/cmd/caraway")
	build.Dir = "../.."
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v: %s", err, out))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// shape is two pools of work and one on standby.
var shape = fake.Layout{
	Pools:       map[string]int{"docs": 4, "wages": 4, "spare": 3},
	StandbyPool: "spare",
	Timing: fake.Timing{
		MaxLease: 10 * time.Second, MoveDuration: 300 * time.Millisecond, MaintenanceDuration: 400 * time.Millisecond, HeartbeatInterval: 300 * time.Millisecond,
	},
}

// rig is a running site with its test.
type rig struct {
	*fake.Deployment
	t   *testing.T
	ctx context.Context
	ids int
}

// start runs entries on a fresh world.
func start(t *testing.T, entries int) *rig {
	t.Helper()
	return startOn(t, shape, entries)
}

// startOn runs entries on a fresh world of a shape.
func startOn(t *testing.T, shape fake.Layout, entries int) *rig {
	t.Helper()
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	t.Cleanup(cancel)
	w, err := fake.New(shape)
	require.NoError(t, err)
	t.Cleanup(w.Close)
	require.NoError(t, w.Publish("config", fake.Config(1, shape)))
	s, err := fake.NewDeployment(w, bin, t.TempDir(), entries)
	require.NoError(t, err)
	t.Cleanup(s.KillAll)
	require.NoError(t, s.StartAll(ctx))
	r := &rig{Deployment: s, t: t, ctx: ctx}
	t.Cleanup(func() {
		if !t.Failed() {
			return
		}
		for _, e := range s.Entries {
			lines := strings.Split(s.Log(e), "\n")
			t.Logf("%s:\n%s", e.Name, strings.Join(lines[max(len(lines)-40, 0):], "\n"))
		}
	})
	return r
}

func (r *rig) id() string {
	r.ids++
	return fmt.Sprintf("%016x", r.ids)
}

// accepted submits until the answer is yes.
func (r *rig) accepted(pool, text string, steps ...fake.StepSpec) *fake.Job {
	r.t.Helper()
	j, err := r.submit(pool, text, steps...)
	require.NoError(r.t, err)
	return j
}

// submit submits until the answer is yes, or the test's time is over.
func (r *rig) submit(pool, text string, steps ...fake.StepSpec) (*fake.Job, error) {
	e := r.Entries[r.ids%len(r.Entries)]
	status, j := r.Submit(r.ctx, e, pool, r.id(), text, steps...)
	for try := 1; status != http.StatusOK; try++ {
		if err := r.ctx.Err(); err != nil {
			return nil, err
		}
		time.Sleep(100 * time.Millisecond)
		status = r.Resubmit(r.ctx, r.Entries[try%len(r.Entries)], pool, j, steps...)
	}
	return j, nil
}

// owner waits until a pool has an owner.
func (r *rig) owner(pool string) *fake.Entry {
	r.t.Helper()
	require.NoError(r.t, procs.WaitFor(r.ctx, "owner of "+pool, func(context.Context) error {
		if r.Owner(pool) == nil {
			return fmt.Errorf("no owner")
		}
		return nil
	}))
	return r.Owner(pool)
}

// waitState waits until some entry says that a job is in a state.
func (r *rig) waitState(pool string, j *fake.Job, want string) {
	r.t.Helper()
	require.NoError(r.t, procs.WaitFor(r.ctx, j.ID+" "+want, func(ctx context.Context) error {
		var last error
		for _, e := range r.Entries {
			state, err := r.JobState(ctx, e, pool, j.ID)
			if err != nil {
				last = err
				continue
			}
			if state == "completed" && !r.AllDone(j) {
				require.Fail(r.t, "shown as completed too early", j.ID)
			}
			if state == want {
				return nil
			}
			last = fmt.Errorf("%s says %s", e.Name, state)
		}
		return last
	}))
}

// sound requires that no promise was broken.
func (r *rig) sound() {
	r.t.Helper()
	require.Empty(r.t, r.Violations())
}

func TestJobsRunInOrderAndAreShownAsCompleted(t *testing.T) {
	r := start(t, 3)
	var jobs []*fake.Job
	for range 12 {
		jobs = append(jobs, r.accepted("docs", "80", fake.StepSpec{Count: 3, EstimatedMS: 80}, fake.StepSpec{Count: 2, EstimatedMS: 80, After: []int{0}}))
	}
	for _, j := range jobs {
		r.waitState("docs", j, "completed")
	}
	for _, e := range r.Entries {
		n, err := r.PendingJobs(r.ctx, e, "docs")
		require.NoError(t, err)
		require.Zero(t, n)
	}
	// The same ID again is the same job.
	before := r.Started(jobs[0].ID)
	require.Equal(t, http.StatusOK, r.Resubmit(r.ctx, r.Entries[1], "docs", jobs[0], fake.StepSpec{Count: 3, CPU: 1000, MemoryMB: 100}))
	r.waitState("docs", jobs[0], "completed")
	require.Equal(t, before, r.Started(jobs[0].ID))
	r.sound()
}

func TestAJobThatAlwaysFailsIsShownAsFailed(t *testing.T) {
	r := start(t, 2)
	j := r.accepted("docs", fake.SpecFail, fake.StepSpec{Count: 1, EstimatedMS: 50})
	r.waitState("docs", j, "failed")
	r.sound()
}

func TestACancelledJobEndsAndStaysCancelled(t *testing.T) {
	r := start(t, 2)
	j := r.accepted("docs", fake.SpecRunUntilStopped, fake.StepSpec{Count: 2, LongRunning: true, MayMiss: 1})
	r.waitState("docs", j, "running")
	require.Equal(t, http.StatusOK, r.Cancel(r.ctx, r.Entries[0], "docs", j))
	r.waitState("docs", j, "cancelled")
	require.NoError(t, procs.WaitFor(r.ctx, "nothing runs", func(context.Context) error {
		if n := r.Running(j.ID); n > 0 {
			return fmt.Errorf("%d runs", n)
		}
		return nil
	}))
	r.sound()
}

func TestBadRequestsAreNamedAndStoreNothing(t *testing.T) {
	r := start(t, 1)
	e := r.Entries[0]
	path := fake.QueuePath("docs") + "00000000000000aa"
	for body, why := range map[string]string{
		`{"steps":`:                           "unexpected end",
		`{"steps":[]}`:                        "0 steps",
		`{"steps":[{"count":0}]}`:             "count 0",
		`{"steps":[{"count":1,"cpu":-1}]}`:    "negative",
		`{"steps":[{"count":1,"after":[0]}]}`: "not an earlier one",
	} {
		status, answer, err := r.Post(r.ctx, e, path, []byte(body))
		require.NoError(t, err)
		require.Equal(t, http.StatusBadRequest, status, body)
		require.Contains(t, answer, why)
	}
	status, answer, err := r.Post(r.ctx, e, fake.QueuePath("docs")+"xyz", []byte(`{"steps":[{"count":1}]}`))
	require.NoError(t, err)
	require.Equal(t, http.StatusBadRequest, status)
	require.Contains(t, answer, "16 expected")
	status, _, err = r.Post(r.ctx, e, "/none/00000000000000aa", []byte(`{"steps":[{"count":1}]}`))
	require.NoError(t, err)
	require.Equal(t, http.StatusNotFound, status)
	status, _, err = r.Post(r.ctx, e, path, []byte(`{"specification":"`+strings.Repeat("x", 300_000)+`"}`))
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestEntityTooLarge, status)
	_, err = r.JobState(r.ctx, e, "docs", "00000000000000aa")
	require.ErrorContains(t, err, "410")
	r.sound()
}

// loaded is what came of a load.
type loaded struct {
	jobs []*fake.Job
	err  error
}

// load submits small jobs for a while, beside what a test does.
func (r *rig) load(pool string, count int, gap time.Duration) <-chan loaded {
	r.t.Helper()
	r.owner(pool)
	out := make(chan loaded, 1)
	go func() {
		var l loaded
		for range count {
			j, err := r.submit(pool, "150", fake.StepSpec{Count: 2, EstimatedMS: 150}, fake.StepSpec{Count: 2, EstimatedMS: 150, After: []int{0}})
			if err != nil {
				l.err = err
				break
			}
			l.jobs = append(l.jobs, j)
			time.Sleep(gap)
		}
		out <- l
	}()
	return out
}

// finished requires that all of a load is completed.
func (r *rig) finished(pool string, load <-chan loaded) {
	r.t.Helper()
	l := <-load
	require.NoError(r.t, l.err)
	r.allCompleted(pool, l.jobs)
}

func (r *rig) allCompleted(pool string, jobs []*fake.Job) {
	r.t.Helper()
	for _, j := range jobs {
		r.waitState(pool, j, "completed")
	}
	r.sound()
}

func TestAnOwnerThatIsKilledIsReplacedAndNothingRunsTwice(t *testing.T) {
	r := start(t, 3)
	jobs := r.load("docs", 40, 100*time.Millisecond)
	time.Sleep(time.Second)
	owner := r.owner("docs")
	owner.Proc().Kill()
	time.Sleep(2 * time.Second)
	require.NoError(t, r.Start(owner))
	r.finished("docs", jobs)
}

func TestAnOwnerThatWasFrozenIsShutOut(t *testing.T) {
	r := start(t, 3)
	jobs := r.load("docs", 40, 100*time.Millisecond)
	time.Sleep(time.Second)
	owner := r.owner("docs")
	require.NoError(t, owner.Proc().Pause())
	time.Sleep(4 * time.Second)
	require.NoError(t, owner.Proc().Resume())
	r.finished("docs", jobs)
}

func TestAllEntriesAreKilledAndWorkGoesOn(t *testing.T) {
	r := start(t, 3)
	var jobs []*fake.Job
	for range 8 {
		jobs = append(jobs, r.accepted("docs", "900", fake.StepSpec{Count: 2, EstimatedMS: 900}, fake.StepSpec{Count: 2, EstimatedMS: 900, After: []int{0}}))
	}
	for _, e := range r.Entries {
		e.Proc().Kill()
	}
	require.NoError(t, r.StartAll(r.ctx))
	r.allCompleted("docs", jobs)
}

func TestTheStoreIsAwayAndNothingIsLost(t *testing.T) {
	for name, f := range map[string]fake.StoreFaults{
		"silent": {Unresponsive: true}, "refusing": {Busy: true}, "losing answers": {LoseEveryNth: 4},
	} {
		t.Run(name, func(t *testing.T) {
			r := start(t, 3)
			jobs := r.load("docs", 30, 100*time.Millisecond)
			time.Sleep(time.Second)
			r.SetStoreFaults(f)
			time.Sleep(3 * time.Second)
			r.SetStoreFaults(fake.StoreFaults{})
			r.finished("docs", jobs)
		})
	}
}

func TestHostsCrashOrFallSilentAndTheirWorkIsDone(t *testing.T) {
	r := start(t, 2)
	last := r.accepted("docs", fake.SpecRunUntilStopped, fake.StepSpec{Count: 3, LongRunning: true, MayMiss: 1})
	jobs := r.load("docs", 30, 100*time.Millisecond)
	time.Sleep(time.Second)
	r.CrashHosts("docs", 1, 2*time.Second)
	time.Sleep(time.Second)
	r.SetUnreachable("docs", 1, true)
	time.Sleep(3 * time.Second)
	r.SetUnreachable("docs", 9, false)
	r.finished("docs", jobs)
	require.NoError(t, procs.WaitFor(r.ctx, "three run", func(context.Context) error {
		if n := r.Running(last.ID); n != 3 {
			return fmt.Errorf("%d runs", n)
		}
		return nil
	}))
	r.sound()
}

func TestAWaveTakesEachMachineDownOnceWithinItsCap(t *testing.T) {
	r := start(t, 3)
	last := r.accepted("docs", fake.SpecRunUntilStopped, fake.StepSpec{Count: 2, LongRunning: true, MayMiss: 1})
	jobs := r.load("docs", 20, 150*time.Millisecond)
	machines := []string{"m-docs-0", "m-docs-1", "m-docs-2", "m-docs-3", "m-wages-0", "m-spare-0"}
	require.NoError(t, r.Publish("wave/7", map[string]any{"wave": 7, "machines": machines, "duration_s": 30, "cap": 2}))
	time.Sleep(1500 * time.Millisecond)
	// The holder of the machines is lost in the middle; another one goes on.
	for _, e := range r.Entries {
		if strings.Contains(r.Log(e), `"msg":"wave seen"`) {
			e.Proc().Kill()
			time.Sleep(time.Second)
			require.NoError(t, r.Start(e))
			break
		}
	}
	require.NoError(t, procs.WaitFor(r.ctx, "wave completed", func(context.Context) error {
		if s := r.Status("wave/7"); s != `{"state":"completed"}` {
			return fmt.Errorf("%q, %d upkept", s, r.MaintenanceBegun(7))
		}
		return nil
	}))
	require.Equal(t, len(machines), r.MaintenanceBegun(7))
	r.finished("docs", jobs)
	require.NotZero(t, r.Running(last.ID))
}

func TestMachinesFollowTheWork(t *testing.T) {
	r := start(t, 2)
	before := r.MachinesInPool("docs")
	var jobs []*fake.Job
	for range 12 {
		jobs = append(jobs, r.accepted("docs", "1500", fake.StepSpec{Count: 4, EstimatedMS: 1500}))
	}
	require.NoError(t, procs.WaitFor(r.ctx, "more machines", func(context.Context) error {
		if n := r.MachinesInPool("docs"); n <= before {
			return fmt.Errorf("%d machines", n)
		}
		return nil
	}))
	r.allCompleted("docs", jobs)
	require.NoError(t, procs.WaitFor(r.ctx, "machines on standby", func(context.Context) error {
		if n := r.MachinesInPool("spare"); n <= 3 {
			return fmt.Errorf("%d machines on standby", n)
		}
		return nil
	}))
	r.sound()
}

func TestAnEntryThatIsToldToStopCutsNothingOff(t *testing.T) {
	r := start(t, 3)
	jobs := r.load("docs", 30, 80*time.Millisecond)
	time.Sleep(700 * time.Millisecond)
	e := r.owner("docs")
	began := time.Now()
	require.NoError(t, e.Proc().Stop())
	require.Less(t, time.Since(began), 6*time.Second, "within the grace period")
	require.NotContains(t, r.Log(e), "requests cut off")
	require.NoError(t, r.Start(e))
	r.finished("docs", jobs)
}

func TestWorkThatNeedsAdviceRunsWhereItMayWithTickets(t *testing.T) {
	advised := shape
	advised.AdvisedPool = "docs"
	r := startOn(t, advised, 2)
	var jobs []*fake.Job
	for range 6 {
		jobs = append(jobs, r.accepted("docs", "80", fake.StepSpec{Count: 3, EstimatedMS: 80}, fake.StepSpec{Count: 2, EstimatedMS: 80, After: []int{0}}))
	}
	other := r.accepted("wages", "80", fake.StepSpec{Count: 2, EstimatedMS: 80})
	for _, j := range jobs {
		r.waitState("docs", j, "completed")
	}
	r.waitState("wages", other, "completed")
	require.Zero(t, r.StartsRefusedForTicket())
	r.sound()
}
