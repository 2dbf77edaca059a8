package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/feed"
	"carawaymux.dev/fleet/admit"
	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// oneTask returns a job of one task that takes a second of the whole test host.
func oneTask() batch.Spec {
	return batch.Spec{Queue: "q", Steps: []batch.Step{{Count: 1, Need: batch.Size{MilliCores: 1000, MemoryMB: 1}, Estimate: time.Second}}}
}

// overloadedCore returns an owner whose pool has been overloaded for a minute, with more work than it can do in time.
// The job "accepted" is among it.
func overloadedCore(t *testing.T) *testCore {
	c := newTestCore(t, idleHost{acked: make(chan int64, 8)})
	c.addHost(testHost)
	now := time.Now()
	for _, at := range []time.Time{now.Add(-time.Minute), now} {
		c.admission.Observe(admit.Pool{Capacity: testHost.Capacity.MilliCores, Overloaded: true}, at)
	}
	accepted, verdict := c.state.Submit("accepted", oneTask(), now)
	require.Equal(t, shard.Accepted, verdict)
	c.state.MarkStored(accepted)
	c.take(accepted, now)
	for i := range 100 {
		c.admission.Take(admit.Job{ID: fmt.Sprint(i), Work: 1_000_000, LateAt: now.Add(time.Minute), UselessAt: now.Add(time.Minute)}, now)
	}
	return c
}

// offer submits a job and returns where the answer comes.
func (c *testCore) offer(id string, spec batch.Spec) <-chan Answer {
	reply := make(chan Answer, 2)
	submitJob{queue: port.Queue{Name: "q", Pool: "pool"}, id: id, spec: spec, reply: reply}.handle(c.core)
	return reply
}

// confirm lets the store confirm the refusals up to now.
func (c *testCore) confirm() {
	now := time.Now()
	c.inboxReadAt, c.inboxAsOf, c.state.ConfirmedAt = now, now, now
	c.refusedAt = time.Time{}
	c.settleRefusals(now)
}

func TestOverloadedPoolRefusesWhatItCannotDoInTime(t *testing.T) {
	c := overloadedCore(t)
	reply := c.offer("late", oneTask())
	require.Empty(t, reply, "a newer owner may have accepted the job, until the store says otherwise")
	c.confirm()
	a := <-reply
	require.Equal(t, Refused, a.Outcome)
	require.Positive(t, a.RetryAfter)
	require.Contains(t, a.Reason, "overloaded")
	require.Nil(t, c.state.Jobs["late"])
	require.Empty(t, c.journal.newJobs)
}

// A caller whose first request was accepted and not answered has to be told so, whatever the load.
func TestRepeatedSubmissionOfAnAcceptedJobIsNotRefused(t *testing.T) {
	c := overloadedCore(t)
	require.Equal(t, Accepted, (<-c.offer("accepted", oneTask())).Outcome)
}

// The job may be in the inbox, or be accepted there while its repetition waits for its refusal.
func TestJobFromTheInboxIsNotRefused(t *testing.T) {
	c := overloadedCore(t)
	reply := c.offer("left", oneTask())
	value, err := codec.EncodeFrame(oneTask())
	require.NoError(t, err)
	inboxChanges{changes: []feed.Change[[]byte]{{Key: "pool/left", Value: value, Present: true}}, asOf: time.Now()}.handle(c.core)
	require.NotNil(t, c.state.Jobs["left"])
	c.confirm()
	require.Empty(t, reply, "accepted once the store has it")
	c.state.MarkStored(c.state.Jobs["left"])
	c.answer("left", false, Answer{Outcome: Accepted})
	require.Equal(t, Accepted, (<-reply).Outcome)
}

// Work that lasts, that has its own time or that only some hosts can run does not wait in the same turn.
func TestOtherWorkIsNotRefusedForTheBacklogOfShortJobs(t *testing.T) {
	c := overloadedCore(t)
	for id, change := range map[string]func(*batch.Spec){
		"long-running": func(s *batch.Spec) { s.Steps[0].LongRunning = true },
		"best-effort":  func(s *batch.Spec) { s.Steps[0].BestEffort = true },
		"timed":        func(s *batch.Spec) { s.Repetitions = 2 },
		"labelled":     func(s *batch.Spec) { s.Steps[0].RequiredLabel = "gpu" },
		"hopeless":     func(s *batch.Spec) { s.Steps[0].Need.MilliCores = 1 << 60 },
	} {
		spec := oneTask()
		change(&spec)
		c.offer(id, spec)
		require.NotNil(t, c.state.Jobs[id], id)
	}
	require.Empty(t, c.refusals)
}

// The outcome is not known if the store cannot say whether another owner has accepted the job.
func TestRefusalWithoutTheStoreIsNoRefusal(t *testing.T) {
	c := overloadedCore(t)
	reply := c.offer("late", oneTask())
	c.settleRefusals(time.Now())
	c.journal.unavailable = true
	c.settleQuestions(time.Now())
	require.Equal(t, Unknown, (<-reply).Outcome)
}

// Entries refuse a job that the owner does not know, so the owner must not speak for other pools of the queue.
func TestOwnerVouchesOnlyForQueuesThatNoOtherPoolHolds(t *testing.T) {
	c := overloadedCore(t)
	ask := func() Answer {
		now := time.Now()
		c.inboxReadAt, c.inboxAsOf, c.state.ConfirmedAt = now, now.Add(time.Minute), now.Add(time.Minute)
		reply := make(chan Answer, 1)
		knownJobs{port.Queue{Name: "q", Pool: "pool"}, []string{"accepted", "unchecked", "new"}, reply}.handle(c.core)
		return <-reply
	}
	c.placing.unchecked["unchecked"] = oneTask()
	a := ask()
	require.Equal(t, Found, a.Outcome)
	require.Equal(t, []string{"accepted", "unchecked"}, a.Known)

	q := c.journal.queues["q"]
	q.Earlier = []string{"other"}
	c.journal.queues["q"] = q
	require.Equal(t, Refused, ask().Outcome, "an earlier pool may hold the job")
	q.Earlier, q.ClosedAt = nil, 9
	c.journal.queues["q"] = q
	require.Equal(t, Refused, ask().Outcome, "a later pool may hold the job")
}
