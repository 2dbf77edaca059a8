package system

import (
	"context"
	"fmt"
	"regexp"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/trial/fake"
	"carawaymux.dev/trial/procs"
)

var portOfAddress = regexp.MustCompile(`("address":"[^"]*:)[0-9]+`)

// rareRecords is the default layout with hosts that write their records only when they start.
func rareRecords() fake.Layout {
	l := layout
	l.Timing.HeartbeatInterval = time.Hour
	return l
}

// overwrite replaces the records of a pool's hosts by damaged copies, and returns the good ones.
func (f *fixture) overwrite(pool string, damage func([]byte) []byte) map[string][]byte {
	good := f.HostRecords(pool)
	require.NotEmpty(f.t, good)
	for id, value := range good {
		f.WriteHostRecord(id, damage(value))
	}
	return good
}

// outlastLease is longer than a lease, so that work on hosts that the owner has lost ends.
const outlastLease = 8 * time.Second

func TestWorkGoesOnWhileRecordsOfItsHostsHaveAPortOutOfRange(t *testing.T) {
	f := startWith(t, rareRecords(), 2)
	j := f.submitAccepted("docs", fake.SpecRunUntilStopped, fake.StepSpec{Count: 3, LongRunning: true, MayMiss: 1})
	f.waitForState("docs", j, "running")
	require.NoError(t, procs.WaitFor(f.ctx, "all tasks", f.runsTasks(j, 3)))
	good := f.overwrite("docs", func(record []byte) []byte { return portOfAddress.ReplaceAll(record, []byte("${1}70000")) })
	time.Sleep(outlastLease)
	require.Equal(t, 3, f.Started(j.ID), "starts of three tasks")
	require.Equal(t, 3, f.Running(j.ID))
	for id, record := range good {
		f.WriteHostRecord(id, record)
	}
	f.requireCompleted("docs", []*fake.Job{f.submitAccepted("docs", "80", fake.StepSpec{Count: 3, EstimatedMS: 80})})
}

// runsTasks returns a check that a number of tasks of a job are running.
func (f *fixture) runsTasks(j *fake.Job, tasks int) func(context.Context) error {
	return func(context.Context) error {
		if n := f.Running(j.ID); n != tasks {
			return fmt.Errorf("%d tasks run, expected %d", n, tasks)
		}
		return nil
	}
}
