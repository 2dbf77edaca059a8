package owner

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/claim"
	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// limitRecords sets the limits of the store.
func (c *testCore) limitRecords() {
	c.settings.MaxRecordBytes, c.settings.MaxRequestBytes = testRecordBytes, testRequestBytes
	c.state.MaxTaskBytes = shard.MaxTaskBytes(testRecordBytes)
}

// checkLimits checks that no append exceeds the limits of the store.
func checkLimits(t *testing.T, appends [][]port.Record) {
	t.Helper()
	for i, records := range appends {
		size := 0
		for _, r := range records {
			size += 5 + len(r.Key) + len(r.Value)
			require.LessOrEqual(t, len(r.Value), testRecordBytes, "append %d, key %s", i, r.Key)
		}
		require.LessOrEqual(t, size, testRequestBytes, "append %d", i)
	}
}

// readAppends returns what the next owner reads after the appends.
func readAppends(t *testing.T, appends [][]port.Record) *StoredState {
	t.Helper()
	newest := map[string][]byte{}
	for _, records := range appends {
		for _, r := range records {
			newest[r.Key] = r.Value
		}
	}
	stored := newStoredState()
	for key, value := range newest {
		if value != nil {
			require.NoError(t, stored.add("pool", port.Record{Key: key, Value: value}))
		}
	}
	stored.findOrphans("pool")
	return stored
}

// write collects and completes one append.
func (c *testCore) write(now time.Time) []port.Record {
	records, content := c.collect(now)
	c.journal.inFlight = content
	writeResult{claim.WriteResult{Sent: now}}.handle(c.core)
	return records
}

// end returns the end of a task's run with the given number of the host.
func end(number int64, unit string) port.FinishedRun {
	return port.FinishedRun{Number: number, Unit: unit, Run: 1, Result: port.ResultDone}
}

// Guards against a pool that stands still. A timed job whose progress exceeded a record of the store kept all
// ends of its pool from being acknowledged; after 500 ends of a host, no further ones were seen (LOST).
func TestALargeJobDoesNotHoldUpTheEndsOfOthers(t *testing.T) {
	c := newTestCore(t, idleHost{acked: make(chan int64, 8)})
	c.settings.MaxRecordBytes, c.settings.MaxRequestBytes = testRecordBytes, testRequestBytes
	c.addHost(testHost)
	now := time.Now()
	large, _ := c.state.Submit("large", batch.Spec{
		Queue: "q", Steps: []batch.Step{{Count: 300}}, Repetitions: 1000, Interval: time.Minute, FirstDueMS: now.Add(-7 * 24 * time.Hour).UnixMilli(),
	}, now)
	c.state.MarkStored(large)
	small, _ := c.state.Submit("small", batch.Spec{Queue: "q", Steps: []batch.Step{{Count: 500}}}, now)
	c.state.MarkStored(small)
	for number := int64(1); number <= 1000; number += 2 {
		// Each end of the small job comes with one of another occurrence of the large one.
		ends := []port.FinishedRun{end(number, fmt.Sprintf("large.%d.0.7", number-1)), end(number+1, fmt.Sprintf("small.0.0.%d", number/2))}
		c.state.HandleReport("h", &port.HostReport{Clock: 1000 + number, Born: 1, Finished: ends}, now)
		c.write(now)
	}
	for range 10 {
		c.write(now)
	}
	require.EqualValues(t, 1000, c.state.Hosts["h"].StoredEnd, "the ends that are acknowledged")
	require.Equal(t, shard.Completed, small.StoredPhase)
}

// Guards against ends that are never acknowledged while there are always changes that have no room in the
// append.
func TestEndsAreAcknowledgedWhileAppendsStayFull(t *testing.T) {
	c := newTestCore(t, idleHost{acked: make(chan int64, 8)})
	c.limitRecords()
	c.addHost(testHost)
	now := time.Now()
	tasks := make([]shard.TaskProgress, 2000)
	for i := range tasks {
		tasks[i].Counted = 1 << 40
	}
	progress := shard.Progress{Phase: shard.Open, Occurrences: []shard.OccurrenceProgress{{Stages: [][]shard.TaskProgress{tasks}}}}
	const jobs = 200
	for i := range jobs {
		c.state.Restore(fmt.Sprintf("job-%03d", i), batch.Spec{Queue: "q", Steps: []batch.Step{{Count: len(tasks)}}}, &progress, now)
	}
	const rounds = 20
	number := int64(0)
	for round := range rounds {
		var ends []port.FinishedRun
		for i := range jobs {
			number++
			ends = append(ends, port.FinishedRun{
				Number: number, Unit: fmt.Sprintf("job-%03d.0.0.%d", i, round), Run: 1<<40 + 1, Result: port.ResultDone,
			})
		}
		c.state.HandleReport("h", &port.HostReport{Clock: 1000 + number, Born: 1, Finished: ends}, now)
		c.write(now)
		require.True(t, c.state.Dirty(), "append %d has room for all changes", round)
	}
	require.Greater(t, c.state.Hosts["h"].StoredEnd, number/2)
}

// largest is a job as large as the limits on jobs allow: 1,024 occurrences of 4,096 tasks.
var largest = batch.Spec{
	Queue: "q", Steps: []batch.Step{{Count: 1000}, {Count: batch.MaxTasks - 1000}}, Repetitions: batch.MaxRepetitions, Interval: time.Minute, FirstDueMS: 1,
}

// Guards against an owner that runs out of memory, or cannot store its progress, when all occurrences of the
// largest job are due at once.
func TestTheLargestJobIsStoredWithinTheLimits(t *testing.T) {
	c := newTestCore(t, idleHost{acked: make(chan int64, 8)})
	c.limitRecords()
	c.addHost(testHost)
	now := time.Now()
	j, _ := c.state.Submit("largest", largest, now)
	c.state.MarkStored(j)
	c.state.MarkStored(j)
	shard.Plan(c.state, shard.BySlack{}, now, now.UnixMilli())
	open := len(j.Occurrences)
	require.LessOrEqual(t, open*batch.MaxTasks, 65_536, "tasks that are open at once")
	var appends [][]port.Record
	number := int64(0)
	for occurrence := range open {
		var ends []port.FinishedRun
		for index := range 1000 {
			number++
			ends = append(ends, end(number, fmt.Sprintf("largest.%d.0.%d", occurrence, index)))
		}
		c.state.HandleReport("h", &port.HostReport{Clock: 1000 + number, Born: 1, Finished: ends}, now)
		written, _ := c.collectAppends(t)
		appends = append(appends, written...)
	}
	require.Equal(t, number, c.state.Hosts["h"].StoredEnd)
	checkLimits(t, appends)

	next := newTestCore(t, idleHost{acked: make(chan int64, 8)})
	next.limitRecords()
	stored := readAppends(t, appends)
	stored.Specs["largest"] = largest
	next.restore(stored, nil, nil)
	restored := next.state.Jobs["largest"]
	require.Len(t, restored.Occurrences, open)
	for occurrence := range open {
		require.Zero(t, restored.Occurrences[occurrence].Stages[0].Left, "occurrence %d", occurrence)
		require.Equal(t, batch.MaxTasks-1000, restored.Occurrences[occurrence].Stages[1].Left, "occurrence %d", occurrence)
	}
}

// Guards against the tasks of occurrences that are done, which took memory until the job ended, and against
// parts that stay in the store.
func TestOccurrencesThatAreDoneLeaveNothingBehind(t *testing.T) {
	c := newTestCore(t, idleHost{acked: make(chan int64, 8)})
	c.limitRecords()
	c.addHost(testHost)
	now := time.Now()
	spec := batch.Spec{Queue: "q", Steps: []batch.Step{{Count: 100}}, Repetitions: 3, Interval: time.Minute, FirstDueMS: 1}
	j, _ := c.state.Submit("job", spec, now)
	c.state.MarkStored(j)
	c.state.Split(shard.Change{Job: j})
	var appends [][]port.Record
	number := int64(0)
	for occurrence := range 3 {
		for half := range 2 {
			var ends []port.FinishedRun
			for index := range 50 {
				number++
				ends = append(ends, end(number, fmt.Sprintf("job.%d.0.%d", occurrence, 50*half+index)))
			}
			c.state.HandleReport("h", &port.HostReport{Clock: 1000 + number, Born: 1, Finished: ends}, now)
			written, _ := c.collectAppends(t)
			appends = append(appends, written...)
			if half == 0 {
				require.Len(t, readAppends(t, appends).Parts["job"], 1)
			}
		}
		require.Empty(t, j.Occurrences[0].Stages)
		require.Empty(t, readAppends(t, appends).Parts["job"])
	}
	require.Equal(t, shard.Completed, j.StoredPhase)
}

// Guards against a change of the owner while a job is being split: what was acknowledged is restored from
// what the store has after any of the appends.
func TestAJobThatIsBeingSplitIsRestoredAfterAnyAppend(t *testing.T) {
	c := newTestCore(t, idleHost{acked: make(chan int64, 8)})
	c.limitRecords()
	c.addHost(testHost)
	now := time.Now()
	spec := batch.Spec{Queue: "q", Steps: []batch.Step{{Count: 2000}}}
	j, _ := c.state.Submit("job", spec, now)
	c.state.MarkStored(j)
	var appends [][]port.Record
	var acked []int64
	report := func(number int64, checkpoint string) {
		e := end(number, fmt.Sprintf("job.0.0.%d", number-1))
		e.Checkpoint = checkpoint
		c.state.HandleReport("h", &port.HostReport{Clock: 1000 + number, Born: 1, Finished: []port.FinishedRun{e}}, now)
		appends = append(appends, c.write(now))
		acked = append(acked, c.state.Hosts["h"].StoredEnd)
	}
	for number := int64(1); number <= 1200; number++ {
		report(number, strings.Repeat("c", 500))
	}
	// A checkpoint that takes more than the share of a task is not stored, but the end is.
	report(1201, strings.Repeat("c", 100_000))
	require.EqualValues(t, 1201, acked[len(acked)-1])
	checkLimits(t, appends)
	split := 0
	for i := range appends {
		stored := readAppends(t, appends[:i+1])
		split += min(len(stored.Parts["job"]), 1)
		if i%50 != 0 && (len(stored.Parts["job"]) == 0 || split > 20) && i < len(appends)-1 {
			continue
		}
		stored.Specs["job"] = spec
		next := newTestCore(t, idleHost{acked: make(chan int64, 8)})
		next.limitRecords()
		next.restore(stored, nil, nil)
		if len(next.state.Jobs["job"].Occurrences) == 0 {
			require.Zero(t, acked[i])
			continue
		}
		for index, task := range next.state.Jobs["job"].Occurrences[0].Stages[0].Tasks[:acked[i]] {
			require.True(t, task.Done, "task %d after append %d", index, i)
		}
	}
	require.Positive(t, split)
}

// Guards against the deletion of parts whose job cannot be read, and against parts that nobody deletes.
func TestOnlyPartsWithoutAJobAreDeleted(t *testing.T) {
	stored := readAppends(t, nil)
	part := shard.Part{PartRef: shard.PartRef{Occurrence: 2, Number: 1}}
	stored.Parts["orphan"], stored.Parts["unreadable"], stored.Parts["job"] = []shard.Part{part}, []shard.Part{part}, []shard.Part{part}
	stored.Specs["job"] = batch.Spec{Queue: "q", Steps: []batch.Step{{Count: 100}}, Repetitions: 3}
	stored.Unreadable["pool"+keySpec+"unreadable"] = errTooLarge
	stored.findOrphans("pool")
	c := newTestCore(t, idleHost{acked: make(chan int64, 8)})
	c.restore(stored, nil, nil)
	var deleted []string
	for _, r := range c.write(time.Now()) {
		if r.Value == nil {
			deleted = append(deleted, r.Key)
		}
	}
	require.Equal(t, []string{"pool/p/orphan.2.1"}, deleted)
}
