package crowd_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
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
