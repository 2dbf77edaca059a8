package crowd_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/trial/crowd"
	"carawaymux.dev/trial/fake"
	"carawaymux.dev/trial/procs"
)

// manySteps is the number of steps of a job that takes more than a small reservation on a link.
const manySteps = 200

// startPair starts two entries and returns the one that owns the pool, and the other.
func startPair(t *testing.T, layout fake.Layout) (d *fake.Deployment, owner, other *fake.Entry) {
	t.Helper()
	d = startEntries(t, 2, layout)
	ctx, cancel := context.WithTimeout(t.Context(), answerTime)
	defer cancel()
	require.NoError(t, procs.WaitFor(ctx, "an owner", func(ctx context.Context) error {
		if owner = d.Owner(pool); owner == nil {
			return fmt.Errorf("pool %s has no owner", pool)
		}
		return newVictim(d, owner).ask(ctx)
	}))
	other = d.Entries[0]
	if other == owner {
		other = d.Entries[1]
	}
	return d, owner, other
}

// Guards against an owner that refuses the large requests of other entries for as long as callers hold all memory there.
func TestLargeRequestsOfOtherEntriesAreServedUnderACrowd(t *testing.T) {
	d, owner, other := startPair(t, fake.Layout{EntryLimits: limits(memoryMB, descriptors)})
	c := crowd.Start(newVictim(d, owner).callers, crowd.Whole, clients)
	defer c.Close()
	time.Sleep(hold)
	steps := make([]fake.StepSpec, manySteps)
	for i := range steps {
		steps[i] = fake.StepSpec{Count: 1, EstimatedMS: 1}
	}
	ctx, cancel := context.WithTimeout(t.Context(), answerTime)
	defer cancel()
	number := 0
	require.NoError(t, procs.WaitFor(ctx, "a large job", func(ctx context.Context) error {
		number++
		status, _ := d.Submit(ctx, other, pool, fmt.Sprintf("eeeeeeee%08x", number), "1", steps...)
		if status != http.StatusOK {
			return fmt.Errorf("status %d", status)
		}
		return nil
	}))
	require.NoError(t, owner.Proc().CheckRunning())
	require.Equal(t, owner, d.Owner(pool), "the pool has another owner")
}

// Guards against clients that fill the log, so that the lines that an operator needs are dropped.
func TestACrowdDropsNoLogLines(t *testing.T) {
	v := startEntry(t, limits(memoryMB, descriptors))
	ctx, cancel := context.WithTimeout(t.Context(), answerTime)
	defer cancel()
	require.NoError(t, procs.WaitFor(ctx, "first request", v.ask))
	for _, target := range []crowd.Target{v.callers, v.peer} {
		for _, kind := range []crowd.Kind{crowd.Pipelined, crowd.Unread} {
			c := crowd.Start(target, kind, clients/4)
			defer c.Close()
		}
	}
	time.Sleep(hold)
	log, err := os.ReadFile(v.proc.Log)
	require.NoError(t, err)
	t.Logf("%d lines", strings.Count(string(log), "\n"))
	require.True(t, strings.Contains(string(log), "job specification rejected"), "the crowd caused no line")
	require.False(t, strings.Contains(string(log), "log lines dropped"), "log lines were dropped")
}

// requireCompleted waits until jobs are shown as completed at an entry.
func requireCompleted(ctx context.Context, t *testing.T, d *fake.Deployment, e *fake.Entry, jobs []*fake.Job) {
	t.Helper()
	for _, j := range jobs {
		require.NoError(t, procs.WaitFor(ctx, "job "+j.ID, func(ctx context.Context) error {
			state, err := d.JobState(ctx, e, pool, j.ID)
			if err == nil && state != "completed" {
				err = fmt.Errorf("state %s", state)
			}
			return err
		}))
	}
}

// Guards against an entry under a crowd at whose cost others suffer: accepted jobs that are lost, tasks that last and are started
// again, and an entry that never says that it is ready.
func TestCrowdsAtTwoEntriesLoseNothingOfOthers(t *testing.T) {
	const memory, jobs = 184, 20
	d, owner, other := startPair(t, fake.Layout{EntryLimits: limits(memory, descriptors)})
	ctx, cancel := context.WithTimeout(t.Context(), 2*answerTime)
	defer cancel()
	number := 0
	submit := func(e *fake.Entry, specification string, step fake.StepSpec) *fake.Job {
		var j *fake.Job
		require.NoError(t, procs.WaitFor(ctx, "submission", func(ctx context.Context) error {
			var status int
			number++
			if status, j = d.Submit(ctx, e, pool, fmt.Sprintf("dddddddd%08x", number), specification, step); status != http.StatusOK {
				return fmt.Errorf("status %d", status)
			}
			return nil
		}))
		return j
	}
	lasting := submit(other, "3600000", fake.StepSpec{Count: 2, LongRunning: true, EstimatedMS: 100})
	require.NoError(t, procs.WaitFor(ctx, "lasting tasks", func(context.Context) error {
		if n := d.Running(lasting.ID); n != 2 {
			return fmt.Errorf("%d of 2 tasks run", n)
		}
		return nil
	}))
	var crowds []*crowd.Crowd
	var accepted []*fake.Job
	for _, e := range []*fake.Entry{owner, other} {
		v := newVictim(d, e)
		meter := crowd.Watch(e.Proc().PID(), e.CallerAddress, e.ReadyAddress, e.PeerAddress)
		defer func() {
			peak := meter.Close()
			t.Logf("%s: %v", e.Name, peak)
			require.Less(t, peak.Memory, int64(memory)<<20, "memory in bytes")
			require.Less(t, peak.Descriptors, descriptors, "open descriptors")
		}()
		crowds = append(crowds, v.startAll()...)
	}
	time.Sleep(hold)
	for range jobs {
		for _, e := range []*fake.Entry{owner, other} {
			accepted = append(accepted, submit(e, "10", fake.StepSpec{Count: 2, EstimatedMS: 10}))
		}
	}
	for _, e := range []*fake.Entry{owner, other} {
		require.NoError(t, d.WaitReady(ctx, e))
	}
	for _, c := range crowds {
		c.Close()
	}
	requireCompleted(ctx, t, d, other, accepted)
	require.Equal(t, 2, d.Started(lasting.ID), "starts of the two tasks that last")
	require.Empty(t, d.Violations())
	for _, e := range d.Entries {
		require.NoError(t, e.Proc().CheckRunning())
	}
}

// Guards against an entry that does not stop under a crowd, and against accepted jobs that are lost with it.
func TestAnEntryStopsUnderACrowd(t *testing.T) {
	const memory, jobs = 184, 20
	d, owner, other := startPair(t, fake.Layout{EntryLimits: limits(memory, descriptors)})
	ctx, cancel := context.WithTimeout(t.Context(), 2*answerTime)
	defer cancel()
	crowds := newVictim(d, owner).startAll()
	time.Sleep(hold)
	var accepted []*fake.Job
	for i := range jobs {
		if i == jobs/2 {
			require.NoError(t, owner.Proc().Signal(syscall.SIGTERM))
		}
		status, j := d.Submit(ctx, owner, pool, fmt.Sprintf("cccccccc%08x", i), "300", fake.StepSpec{Count: 2, EstimatedMS: 300})
		if status == http.StatusOK {
			accepted = append(accepted, j)
		}
	}
	began := time.Now()
	require.NoError(t, owner.Proc().Result(), "result of the process")
	t.Logf("stopped %v after the last submission, %d of %d jobs accepted", time.Since(began), len(accepted), jobs)
	for _, c := range crowds {
		c.Close()
	}
	requireCompleted(ctx, t, d, other, accepted)
	require.Empty(t, d.Violations())
	require.NoError(t, newVictim(d, other).ask(ctx))
}

// bodiesThatWait are kinds whose requests wait for bodies that do not arrive.
var bodiesThatWait = []crowd.Kind{crowd.Whole, crowd.Trickle, crowd.Expecting}

// requireServes requires that an ordinary request is served while a crowd is there.
func (v *victim) requireServes(t *testing.T, kind crowd.Kind) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), answerTime)
	defer cancel()
	require.NoError(t, procs.WaitFor(ctx, "first request", v.ask))
	c := crowd.Start(v.callers, kind, clients)
	defer c.Close()
	time.Sleep(hold / 4)
	require.NoError(t, procs.WaitFor(ctx, "request beside the crowd", v.ask))
	require.NoError(t, v.proc.CheckRunning())
}

// Guards against ordinary requests that are refused for as long as a crowd is there.
func TestAnEntryServesOthersUnderACrowd(t *testing.T) {
	for _, kind := range bodiesThatWait {
		t.Run(string(kind), func(t *testing.T) { startEntry(t, limits(memoryMB, descriptors)).requireServes(t, kind) })
	}
}

// Guards against the same of carawayd, where such requests took the slots of targets and the places in the queue.
func TestADaemonServesOthersUnderACrowd(t *testing.T) {
	for _, kind := range bodiesThatWait {
		t.Run(string(kind), func(t *testing.T) {
			startDaemon(t, fmt.Sprintf("memory = %dMiB", memoryMB), fmt.Sprintf("descriptors = %d", descriptors)).requireServes(t, kind)
		})
	}
}
