package system

import (
	"context"
	"fmt"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/port"
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

func TestOddRecordsAmongGoodOnesEndNoEntryAndStopNoWork(t *testing.T) {
	f := start(t, 3)
	longRunning := f.submitAccepted("docs", fake.SpecRunUntilStopped, fake.StepSpec{Count: 3, LongRunning: true, MayMiss: 1})
	require.NoError(t, procs.WaitFor(f.ctx, "all tasks", f.runsTasks(longRunning, 3)))
	load := f.startLoad("docs", 30, 100*time.Millisecond)
	valid := `{"service":"docs","address":"127.0.0.1:1","zone":"zone-a","version":"v1","slots":8,"cold_remaining_ms":0,"sequence":1,"state":"ready","capacity":{"cpu":%s,"memory_request_mb":32000},"labels":%s}`
	deep := strings.Repeat("[", 100_000)
	odd := map[string]string{
		"deep": deep, "deep-labels": fmt.Sprintf(valid, "8000", deep+strings.Repeat("]", 100_000)), "large": fmt.Sprintf(valid, "1e400", "[]"),
		"int64": fmt.Sprintf(valid, "9223372036854775807", "[]"), "negative": fmt.Sprintf(valid, "-1", "[]"), "bytes": "\xff\x00",
		"port": strings.Replace(fmt.Sprintf(valid, "8000", "[]"), ":1", ":70000", 1), "key\xff": fmt.Sprintf(valid, "8000", "[]"),
		"line\r\nbreak": fmt.Sprintf(valid, "8000", "[]"), strings.Repeat("k", port.MaxKeyBytes): fmt.Sprintf(valid, "8000", "[]"),
		"many-labels": fmt.Sprintf(valid, "8000", `["a"`+strings.Repeat(`,"a"`, 50_000)+`]`), "no-host-there": fmt.Sprintf(valid, "8000", "[]"),
	}
	write := func() {
		for id, value := range odd {
			f.WriteHostRecord(id, []byte(value))
		}
		for id := range f.HostRecords("docs") {
			f.WriteHostRecord(id, []byte(odd["large"]))
		}
	}
	write()
	time.Sleep(time.Second)
	owner := f.waitForOwner("docs")
	owner.Proc().Kill()
	for range 30 {
		write()
		time.Sleep(100 * time.Millisecond)
	}
	f.requireLoadCompleted("docs", load)
	require.NoError(t, procs.WaitFor(f.ctx, "all tasks", f.runsTasks(longRunning, 3)))
	for _, e := range f.Entries {
		if e != owner {
			require.NoError(t, e.Proc().CheckRunning(), e.Name)
		}
	}
}
