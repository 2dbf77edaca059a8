package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
)

// Guards against a call for each job of a queue that has moved, without end. The earlier pool says when it holds
// no job of the queue any more.
func TestAnEarlierPoolThatHoldsNoJobsIsAskedNoMore(t *testing.T) {
	now := time.Now()
	moved := port.Queue{Name: "short", Pool: "docs", Version: 14}
	c := restoreTestCore(t, idleHost{acked: make(chan int64, 8)}, newStoredState(), configOf(3, shortQueue))
	ask := func() Answer {
		reply := make(chan Answer, 1)
		jobStatus{scope{queue: moved}, "new", reply}.settleForeign(c.core)
		return <-reply
	}
	c.submit(shortQueue, "old")
	c.closeQueue(&moved)
	require.False(t, ask().QueueClosed, "the store does not have it yet")
	closed := readAppends(t, [][]port.Record{c.write(now)})
	c.findEmptyQueues(now)
	c.findEmptyQueues(now.Add(emptyAfter))
	require.True(t, ask().QueueClosed)
	require.False(t, ask().QueueEmpty, "it holds a job")
	delete(c.state.Jobs, "old")
	c.findEmptyQueues(now.Add(emptyAfter))
	require.True(t, ask().QueueEmpty)
	c.takeFromInbox("late", batch.Spec{Queue: "short", Steps: []batch.Step{{Count: 1}}})
	require.False(t, ask().QueueEmpty, "it holds one again")

	next := restoreTestCore(t, idleHost{acked: make(chan int64, 8)}, closed, configOf(14, moved))
	require.EqualValues(t, 14, next.journal.queues["short"].ClosedAt)
	next.findEmptyQueues(now.Add(emptyAfter))
	require.Empty(t, next.placing.empty, "a new owner does not know since when")
}

// Guards against a new owner that asks earlier pools again which hold nothing, and against one that forgets those
// which do.
func TestAPoolForgetsEarlierPoolsThatHoldNoJobs(t *testing.T) {
	stored := newStoredState()
	stored.Queues["short"] = storedQueue{Registered: true, Earlier: []string{"wages", "files"}}
	c := restoreTestCore(t, idleHost{acked: make(chan int64, 8)}, stored, configOf(14, shortQueue))
	c.forgetEmpty("short", []string{"wages"})
	next := readAppends(t, [][]port.Record{c.write(time.Now())})
	require.Equal(t, []string{"files"}, next.Queues["short"].Earlier)
	require.True(t, next.Queues["short"].Registered)
	require.Equal(t, shortQueue.MaxAttempts, next.Queues["short"].MaxAttempts)
}

// Guards against a job that both pools accept. An owner that has not seen the configuration of the queue, asked by
// an entry of an earlier release, took an open queue of the earlier pool for closed.
func TestAQueueIsNotClosedForAPoolWithoutItsConfiguration(t *testing.T) {
	c := restoreTestCore(t, idleHost{acked: make(chan int64, 8)}, newStoredState(), configOf(3, shortQueue))
	unversioned := port.Queue{Name: "short", Pool: "docs"}
	c.closeQueue(&unversioned)
	c.write(time.Now())
	reply := make(chan Answer, 1)
	jobStatus{scope{queue: unversioned}, "new", reply}.settleForeign(c.core)
	require.False(t, (<-reply).QueueClosed)
}
