package fake

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	testJob = "00000000000000aa"
	// longTask is a specification that outlasts every test.
	longTask = "60000"
)

// world is a simulated platform without servers, at a time that the test advances.
type world struct {
	*state
	t   *testing.T
	now time.Time
}

func newWorld(t *testing.T, layout Layout) *world {
	t.Helper()
	layout.Timing = Timing{MaxLease: time.Minute, HeartbeatInterval: 300 * time.Millisecond}
	w := &world{state: newState(layout), t: t, now: time.Now()}
	for _, pool := range sortedKeys(layout.Pools) {
		for i := range layout.Pools[pool] {
			m := &machine{id: fmt.Sprintf("m-%s-%d", pool, i), pool: pool}
			w.machines[m.id] = m
			w.boot(m, w.now)
		}
	}
	return w
}

// submit registers a job with one step of independent tasks.
func (w *world) submit(specification string, count int, crash *Crash) *Job {
	j := &Job{ID: testJob, Specification: specification, TaskCounts: []int{count}, Crash: crash}
	w.checker.jobs[j.ID] = j
	return j
}

func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	w.advance(w.now)
}

// hostOf returns the host of a machine; the test fails if the machine is offline.
func (w *world) hostOf(machine string) *host {
	w.t.Helper()
	require.NotNil(w.t, w.machines[machine].host)
	return w.machines[machine].host
}

// startOn starts a task on a machine and returns the HTTP status of the response, or 0 if there was none.
func (w *world) startOn(machine, task string, run int64) int {
	w.t.Helper()
	h := w.hostOf(machine)
	deadline := h.clock(w.now) + time.Minute.Milliseconds()
	specification := w.checker.jobs[testJob].Specification
	return w.start(h, &hostOrder{Task: task, Run: run, Specification: specification, DeadlineMS: deadline}, w.now).status
}

func (w *world) requireViolation(text string) {
	w.t.Helper()
	require.Len(w.t, w.violations, 1)
	require.Contains(w.t, w.violations[0], text)
}

func taskName(index int) string { return fmt.Sprintf("%s.0.0.%d", testJob, index) }

// crashRepeatedly starts the first task of the job until a number of hosts have crashed under it.
func (w *world) crashRepeatedly(crash *Crash, crashes int) {
	w.t.Helper()
	for i := range crashes {
		w.startOn("m-docs-0", taskName(0), int64(i+1))
		w.pass(crash.Delay)
		require.Nil(w.t, w.machines["m-docs-0"].host)
		w.pass(crash.Downtime)
	}
	require.Equal(w.t, crashes, w.checker.crashes[taskName(0)])
}

func TestThirdStartAfterThreeCrashesIsAViolation(t *testing.T) {
	for name, crash := range map[string]*Crash{
		"before the response": {Share: 1, Downtime: time.Second},
		"at once":             {Share: 1, Delay: 10 * time.Millisecond, Downtime: time.Second, KeepID: true},
		"late":                {Share: 1, Delay: 2 * time.Second, Downtime: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, Layout{Pools: map[string]int{"docs": 1}})
			w.submit(longTask, 1, crash)
			w.crashRepeatedly(crash, 5)
			require.Empty(t, w.violations)
			w.startOn("m-docs-0", taskName(0), 6)
			w.requireViolation("start 3 after crash 3")
		})
	}
}

func TestStartsOfTasksThatOnlySharedCrashedHostsAreNotLimited(t *testing.T) {
	w := newWorld(t, Layout{Pools: map[string]int{"docs": 1}})
	w.submit(longTask, 1, nil)
	for run := range int64(9) {
		require.Equal(t, 200, w.startOn("m-docs-0", taskName(0), run+1))
		w.crash(w.hostOf("m-docs-0"), time.Second, true, w.now)
		w.pass(time.Second)
	}
	require.Empty(t, w.violations)
}

func TestStartAfterTheLastAttemptIsAViolation(t *testing.T) {
	w := newWorld(t, Layout{Pools: map[string]int{"docs": 1}})
	w.submit(SpecFail, 1, nil)
	fail := func(run int64) {
		w.startOn("m-docs-0", taskName(0), run)
		w.pass(2 * failDuration)
		w.hold(w.hostOf("m-docs-0"), &hostOrder{LastSeen: run}, w.now)
	}
	for run := range int64(maxAttempts) {
		fail(run + 1)
	}
	require.Empty(t, w.violations)
	fail(maxAttempts + 1)
	w.requireViolation("started again after 3 failures")
}

func TestJobShownAsFailedWithoutCauseIsAViolation(t *testing.T) {
	w := newWorld(t, Layout{Pools: map[string]int{"docs": 1}})
	w.submit(longTask, 1, nil)
	for run := range int64(3) {
		w.startOn("m-docs-0", taskName(0), run+1)
		w.crash(w.hostOf("m-docs-0"), time.Second, false, w.now)
		w.pass(time.Second)
	}
	w.checker.checkShownState(w.state, testJob, "running")
	require.Empty(t, w.violations)
	w.checker.checkShownState(w.state, testJob, "failed")
	w.requireViolation("is shown as failed")
}

func TestJobShownAsFailedAfterOneCrashIsAViolation(t *testing.T) {
	for crashes, violations := range map[int]int{1: 1, 2: 0} {
		crash := &Crash{Share: 1, Delay: 10 * time.Millisecond, Downtime: time.Second}
		w := newWorld(t, Layout{Pools: map[string]int{"docs": 1}})
		w.submit(longTask, 1, crash)
		w.crashRepeatedly(crash, crashes)
		w.checker.checkShownState(w.state, testJob, "failed")
		require.Len(t, w.violations, violations)
	}
}

func TestJobMayBeShownAsFailedAfterItsLastAttempt(t *testing.T) {
	w := newWorld(t, Layout{Pools: map[string]int{"docs": 1}})
	w.submit(SpecFail, 1, nil)
	for run := range int64(maxAttempts) {
		w.startOn("m-docs-0", taskName(0), run+1)
		w.pass(2 * failDuration)
	}
	w.checker.checkShownState(w.state, testJob, "failed")
	require.Empty(t, w.violations)
}

func TestCrashEndsAllRunsOfTheHost(t *testing.T) {
	w := newWorld(t, Layout{Pools: map[string]int{"docs": 1}})
	crash := &Crash{Share: 0.5, Delay: 10 * time.Millisecond, Downtime: time.Second}
	j := w.submit(longTask, 16, crash)
	require.True(t, j.CrashesHosts())
	fatal, harmless := -1, -1
	for i := range 16 {
		if crash.chooses(taskName(i)) {
			fatal = i
		} else {
			harmless = i
		}
	}
	require.NotEqual(t, -1, fatal)
	require.NotEqual(t, -1, harmless)
	old := w.hostOf("m-docs-0")
	w.startOn("m-docs-0", taskName(harmless), 1)
	w.pass(time.Second)
	require.Equal(t, old, w.machines["m-docs-0"].host)
	w.startOn("m-docs-0", taskName(fatal), 1)
	w.pass(crash.Delay)
	require.Empty(t, w.checker.running[taskName(harmless)])
	require.Empty(t, w.checker.running[taskName(fatal)])
	w.pass(crash.Downtime)
	require.NotEqual(t, old.id, w.hostOf("m-docs-0").id)
}

// A record of a crashed host stays until it expires; a host that is back under its ID before keeps it.
func TestRecordOfACrashedHostExpiresUnlessTheHostIsBack(t *testing.T) {
	for _, keepID := range []bool{false, true} {
		w := newWorld(t, Layout{Pools: map[string]int{"docs": 1}})
		w.pass(0)
		old := w.hostOf("m-docs-0")
		records := w.store.partition("keyed.servers", "0")
		w.crash(old, 500*time.Millisecond, keepID, w.now)
		w.pass(400 * time.Millisecond)
		require.Contains(t, records.newest, old.id)
		w.pass(200 * time.Millisecond)
		w.pass(time.Second)
		require.Equal(t, keepID, w.hostOf("m-docs-0").id == old.id)
		_, listed := records.newest[old.id]
		require.Equal(t, keepID, listed)
		require.Greater(t, w.hostOf("m-docs-0").bootedAt, old.bootedAt)
	}
}

// recordedCores returns the processor capacity in the newest record of a host.
func (w *world) recordedCores(h *host) int {
	w.t.Helper()
	p := w.store.partition("keyed.servers", "0")
	var out struct {
		Capacity struct {
			CPU int `json:"cpu"`
		} `json:"capacity"`
	}
	require.Contains(w.t, p.newest, h.id)
	require.NoError(w.t, json.Unmarshal(p.records[p.newest[h.id]].value, &out))
	return out.Capacity.CPU
}

func TestRecordStatesTheChangedCapacityWithTheNextHeartbeat(t *testing.T) {
	w := newWorld(t, Layout{Pools: map[string]int{"docs": 1}})
	w.pass(0)
	h := w.hostOf("m-docs-0")
	h.setCapacity(Capacity{Cores: 2000, MemoryMB: 16000}, w.now)
	w.pass(100 * time.Millisecond)
	require.Equal(t, 4000, w.recordedCores(h))
	w.pass(300 * time.Millisecond)
	require.Equal(t, 2000, w.recordedCores(h))
}

func TestGuardedHostRefusesStartsBeyondItsCurrentCapacity(t *testing.T) {
	w := newWorld(t, Layout{Pools: map[string]int{"docs": 1}})
	w.submit(longTask, 4, nil)
	require.Equal(t, 200, w.startOn("m-docs-0", taskName(0), 1))
	h := w.hostOf("m-docs-0")
	h.setCapacity(Capacity{Cores: 1000, MemoryMB: 16000}, w.now)
	require.Equal(t, 409, w.startOn("m-docs-0", taskName(1), 1))
	h.setCapacity(machineCapacity, w.now)
	require.Equal(t, 200, w.startOn("m-docs-0", taskName(1), 1))
	require.Empty(t, w.violations)
}

func TestStartBeyondTheCapacityOfAnUnguardedHostIsAViolation(t *testing.T) {
	layout := Layout{Pools: map[string]int{"docs": 1}, UnguardedPools: map[string]bool{"docs": true}}
	for name, shrunk := range map[string]Capacity{
		"cores": {Cores: 1000, MemoryMB: 16000}, "memory": {Cores: 4000, MemoryMB: taskMemory},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, layout)
			w.submit(longTask, 4, nil)
			require.Equal(t, 200, w.startOn("m-docs-0", taskName(0), 1))
			w.hostOf("m-docs-0").setCapacity(shrunk, w.now)
			w.pass(contactTime + w.timing.HeartbeatInterval)
			require.Equal(t, 200, w.startOn("m-docs-0", taskName(1), 1))
			require.Empty(t, w.violations, "the room that has shrunk does not count yet")
			w.pass(advanceInterval)
			require.Equal(t, 200, w.startOn("m-docs-0", taskName(2), 1))
			w.requireViolation("started on host")
		})
	}
}

func TestRunsThatAreBeingStoppedTakeTheirRoom(t *testing.T) {
	w := newWorld(t, Layout{Pools: map[string]int{"docs": 1}, UnguardedPools: map[string]bool{"docs": true}})
	w.submit(longTask, 6, nil)
	for i := range 4 {
		require.Equal(t, 200, w.startOn("m-docs-0", taskName(i), 1))
	}
	h := w.hostOf("m-docs-0")
	w.stop(h, &hostOrder{Task: taskName(0), Run: 1}, w.now)
	w.pass(stopDuration + advanceInterval)
	require.Equal(t, 200, w.startOn("m-docs-0", taskName(4), 1))
	require.Empty(t, w.violations)
	w.stop(h, &hostOrder{Task: taskName(1), Run: 1}, w.now)
	require.Equal(t, 200, w.startOn("m-docs-0", taskName(5), 1))
	w.requireViolation("started on host")
}

func TestGrownCapacityCountsAtOnce(t *testing.T) {
	w := newWorld(t, Layout{Pools: map[string]int{"docs": 1}, UnguardedPools: map[string]bool{"docs": true}})
	w.submit(longTask, 4, nil)
	h := w.hostOf("m-docs-0")
	h.setCapacity(Capacity{Cores: 1000, MemoryMB: 16000}, w.now)
	w.pass(time.Minute)
	h.setCapacity(machineCapacity, w.now)
	for i := range 4 {
		require.Equal(t, 200, w.startOn("m-docs-0", taskName(i), 1))
	}
	require.Empty(t, w.violations)
}
