package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// shortQueue is a queue with rules of its own.
var shortQueue = port.Queue{
	Name: "short", Version: 3, Pool: "pool", Priority: 2, MaxAttempts: 3, Stretch: 1.5, Target: time.Second, Advice: &port.Advice{Valid: time.Second},
}

func configOf(version int64, queues ...port.Queue) *port.Config {
	c := &port.Config{Version: version}
	for _, q := range queues {
		q.Version = version
		c.Queues = append(c.Queues, q)
	}
	return c
}

// submit submits a job and returns the channel for the answer.
func (c *testCore) submit(q port.Queue, id string) <-chan Answer {
	reply := make(chan Answer, 1)
	spec := batch.Spec{Queue: q.Name, AcceptedMS: time.Now().UnixMilli(), Steps: []batch.Step{{Count: 1, Need: batch.Size{MilliCores: 100}}}}
	submitJob{q, id, spec, reply}.handle(c.core)
	return reply
}

// fail has a host report that a run of a job's only task has failed.
func (c *testCore) fail(id string, number int64) {
	unit := batch.Ref{Job: id}.String()
	end := port.FinishedRun{Number: number, Unit: unit, Run: number, Result: port.ResultFailed}
	c.state.HandleReport("h", &port.HostReport{Clock: 1000 + number, Born: 1, Finished: []port.FinishedRun{end}}, time.Now())
}

// Guards against tasks that are started again without end (BUDGET). A configuration had removed the queue of their
// job, and the next owner of the pool knew no limit of attempts.
func TestAnOwnerKnowsTheRulesOfAQueueThatWasRemovedBefore(t *testing.T) {
	host := idleHost{acked: make(chan int64, 8)}
	first := restoreTestCore(t, host, newStoredState(), configOf(3, shortQueue))
	first.submit(shortQueue, "job")
	stored := readAppends(t, [][]port.Record{first.write(time.Now())})

	next := restoreTestCore(t, host, stored, configOf(11))
	require.Equal(t, shortQueue.Priority, next.state.Queues["short"].Priority)
	require.Equal(t, shortQueue.Advice, next.state.Queues["short"].Advice)
	require.Equal(t, first.state.Jobs["job"].Objective.UnixMilli(), next.state.Jobs["job"].Objective.UnixMilli())
	next.addHost(testHost)
	for number := range int64(3) {
		require.Equal(t, shard.Open, next.state.Jobs["job"].Phase, "after %d failures", number)
		next.fail("job", number+1)
	}
	require.Equal(t, shard.Failed, next.state.Jobs["job"].Phase)
}

// Guards against an owner that goes by rules that are not the newest that were in force.
func TestTheNewestRulesOfAQueueAreStored(t *testing.T) {
	host := idleHost{acked: make(chan int64, 8)}
	changed := shortQueue
	changed.MaxAttempts, changed.Advice = 5, nil
	first := restoreTestCore(t, host, newStoredState(), configOf(3, shortQueue))
	first.submit(shortQueue, "job")
	written := [][]port.Record{first.write(time.Now())}
	configChange{configOf(7, changed)}.handle(first.core)
	stored := readAppends(t, append(written, first.write(time.Now())))
	require.Equal(t, 5, stored.Queues["short"].MaxAttempts)
	require.Nil(t, stored.Queues["short"].Advice)

	t.Run("a successor without the queue", func(t *testing.T) {
		next := restoreTestCore(t, host, stored, configOf(11))
		require.Equal(t, 5, next.state.Queues["short"].MaxAttempts)
	})
	t.Run("a successor with an older configuration", func(t *testing.T) {
		next := restoreTestCore(t, host, stored, configOf(3, shortQueue))
		require.Equal(t, 5, next.state.Queues["short"].MaxAttempts)
	})
	t.Run("a successor with a newer configuration", func(t *testing.T) {
		newest := shortQueue
		newest.MaxAttempts = 6
		next := restoreTestCore(t, host, stored, configOf(12, newest))
		require.Equal(t, 6, next.state.Queues["short"].MaxAttempts)
		require.Equal(t, 6, readAppends(t, [][]port.Record{next.write(time.Now())}).Queues["short"].MaxAttempts)
	})
	t.Run("rules that changed for new work of another pool", func(t *testing.T) {
		moved := shortQueue
		moved.Pool, moved.MaxAttempts = "other", 7
		next := restoreTestCore(t, host, stored, configOf(12, moved))
		require.Equal(t, 7, readAppends(t, [][]port.Record{next.write(time.Now())}).Queues["short"].MaxAttempts)
	})
}

// Guards against a job that the store has without the rules of its queue.
func TestTheRulesOfAQueueAreStoredNoLaterThanItsJobs(t *testing.T) {
	c := restoreTestCore(t, idleHost{acked: make(chan int64, 8)}, newStoredState(), configOf(3, shortQueue))
	for i := range 3 {
		c.submit(shortQueue, fmt.Sprint("job-", i))
	}
	records, _ := c.collect(time.Now())
	require.Equal(t, "pool/q/short", records[0].Key)
	again := restoreTestCore(t, idleHost{acked: make(chan int64, 8)}, newStoredState(), configOf(3, shortQueue))
	again.settings.MaxRequestBytes = records[0].StoredBytes() - 1
	again.submit(shortQueue, "job")
	records, _ = again.collect(time.Now())
	require.Empty(t, records, "the job waits for an append with room for both")
}

// Guards against an append each time that an owner starts or a configuration changes nothing.
func TestRulesThatAreStoredAreNotWrittenAgain(t *testing.T) {
	host := idleHost{acked: make(chan int64, 8)}
	first := restoreTestCore(t, host, newStoredState(), configOf(3, shortQueue))
	stored := readAppends(t, [][]port.Record{first.write(time.Now())})
	next := restoreTestCore(t, host, stored, configOf(7, shortQueue))
	configChange{configOf(9, shortQueue)}.handle(next.core)
	records, _ := next.collect(time.Now())
	require.Empty(t, records)
}
