package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/feed"
	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// wholeHost returns a job of one task that takes some seconds of the whole test host.
func wholeHost(seconds int) batch.Spec {
	return batch.Spec{Queue: "q", Steps: []batch.Step{{
		Count: 1, Need: batch.Size{MilliCores: testHost.Capacity.MilliCores, MemoryMB: 1}, Estimate: time.Duration(seconds) * time.Second,
	}}}
}

// overloadedCore returns an owner of a pool in which far more work waits than it can do while that is of use. The job
// "accepted" is among it.
func overloadedCore(t *testing.T) *testCore {
	c := restoreTestCore(t, idleHost{acked: make(chan int64, 8)}, &StoredState{}, &port.Config{
		Queues: []port.Queue{{Name: "q", Pool: "pool", Target: 5 * time.Second}, {Name: "hasty", Pool: "pool"}},
	})
	c.addHost(testHost)
	for i := range 400 {
		id := "accepted"
		if i > 0 {
			id = fmt.Sprint("accepted", i)
		}
		spec := wholeHost(1)
		if i >= 350 {
			// This queue leaves no time to wait, so the work is late.
			spec.Queue = "hasty"
		}
		j, verdict := c.state.Submit(id, spec, time.Now())
		require.Equal(t, shard.Accepted, verdict)
		c.state.MarkStored(j)
	}
	now := time.Now().Add(time.Millisecond)
	shard.PlanWithin(c.state, shard.ByLoad{}, shard.Limits{}, now, now.UnixMilli())
	c.state.Load(now)
	c.admission.capacity = testHost.Capacity.MilliCores
	return c
}

// offer submits a job and returns where the answer comes.
func (c *testCore) offer(id string, spec batch.Spec) <-chan Answer {
	reply := make(chan Answer, 2)
	submitJob{queue: port.Queue{Name: "q", Pool: "pool"}, id: id, spec: spec, reply: reply}.handle(c.core)
	return reply
}

// answerOf returns an answer that is there.
func answerOf(t *testing.T, reply <-chan Answer) Answer {
	t.Helper()
	require.Len(t, reply, 1)
	return <-reply
}

// confirm lets the store confirm what the owner knows.
func (c *testCore) confirm() {
	now := time.Now()
	c.inboxReadAt, c.inboxAsOf, c.state.ConfirmedAt = now, now, now
	c.settleQuestions(now)
}

// Guards against jobs that are accepted although they can only end when they are of no use any more.
func TestOverloadedPoolRefusesWhatItCannotDoInTime(t *testing.T) {
	c := overloadedCore(t)
	reply := c.offer("late", wholeHost(10))
	require.Empty(t, reply, "a newer owner may have accepted the job, until the store says otherwise")
	c.confirm()
	a := answerOf(t, reply)
	require.Equal(t, Refused, a.Outcome)
	require.Positive(t, a.RetryAfter)
	require.Contains(t, a.Reason, "overloaded")
	require.Nil(t, c.state.Jobs["late"])
	require.Empty(t, c.journal.newJobs)
	require.Positive(t, c.state.Load(time.Now()).ArrivalRate, "the pool needs hosts for it all the same")
}

// Guards against a refusal of a job that was accepted before, whose answer the caller has not received.
func TestRepeatedSubmissionOfAnAcceptedJobIsNotRefused(t *testing.T) {
	c := overloadedCore(t)
	require.Equal(t, Accepted, answerOf(t, c.offer("accepted", wholeHost(10))).Outcome)
}

// Guards against a refusal of a job that is in the inbox, or is accepted there while its repetition waits.
func TestJobFromTheInboxIsNotRefused(t *testing.T) {
	c := overloadedCore(t)
	reply := c.offer("left", wholeHost(10))
	value, err := codec.EncodeFrame(wholeHost(10))
	require.NoError(t, err)
	inboxChanges{[]feed.Change[[]byte]{{Key: "pool/left", Value: value, Present: true}}, time.Now()}.handle(c.core)
	c.confirm()
	require.Empty(t, reply, "the job is answered once the store has it")
	require.NotNil(t, c.state.Jobs["left"])
}

// Guards against a refusal that the store has not confirmed, while a newer owner may have accepted the job.
func TestRefusalWithoutTheStoreSaysThatTheOutcomeIsUnknown(t *testing.T) {
	c := overloadedCore(t)
	reply := c.offer("late", wholeHost(10))
	c.journal.unavailable = true
	c.settleQuestions(time.Now())
	require.Equal(t, Unknown, answerOf(t, reply).Outcome)
}

// Guards against refusals of work that is not in the turn of others: it lasts, or runs at set times.
func TestOverloadedPoolTakesLongRunningAndTimedJobs(t *testing.T) {
	c := overloadedCore(t)
	lasting, timed := wholeHost(10), wholeHost(10)
	lasting.Steps[0].LongRunning = true
	timed.Repetitions, timed.Interval = 2, time.Hour
	c.offer("lasting", lasting)
	c.offer("timed", timed)
	require.NotNil(t, c.state.Jobs["lasting"])
	require.NotNil(t, c.state.Jobs["timed"])
}

// Guards against the places of jobs that can be in time going to callers who return.
func TestARefusedJobThatReturnsKeepsTheTimeOfItsFirstSubmission(t *testing.T) {
	c := overloadedCore(t)
	spec := wholeHost(10)
	spec.AcceptedMS = time.Now().UnixMilli()
	c.offer("late", spec)
	c.confirm()
	for id := range c.state.Jobs {
		c.state.Cancel(id, time.Now())
	}
	time.Sleep(20 * time.Millisecond)
	c.offer("late", spec)
	j := c.state.Jobs["late"]
	require.NotNil(t, j)
	require.GreaterOrEqual(t, time.Since(j.AcceptedAt), 20*time.Millisecond)
	require.Less(t, j.Spec.AcceptedMS, spec.AcceptedMS)
}
