package shard_test

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// timing is what the tests run with: a lease of 5 s and a grace of 6 s.
var timing = shard.Timing{
	Lease: 5 * time.Second, MaxLease: 10 * time.Second, Grace: 6 * time.Second, Retention: time.Minute, RemoteFactor: 2,
	AbsenceLimit: 4 * time.Second, StopTimeout: time.Second, DisruptionLimit: 4 * time.Second,
}

// owner is the state of a pool with a clock that the tests advance.
type owner struct {
	*shard.State
	t   *testing.T
	now time.Time
	// clock is the hosts' clock, in milliseconds.
	clock int64
}

func newOwner(t *testing.T, epoch int64, hosts ...string) *owner {
	t.Helper()
	o := &owner{t: t, now: time.Unix(1_700_000_000, 0), clock: 1000}
	o.State = shard.New("pool", epoch, timing, o.now)
	o.Configure(&port.Config{
		Queues: []port.Queue{{Name: "q", Pool: "pool", MaxAttempts: 3, Stretch: 2, Target: time.Second}},
		Pools:  []port.Pool{{Name: "pool", EnforcesCapacity: true}},
	})
	for _, h := range hosts {
		o.addHost(h)
	}
	return o
}

// newSuccessor returns the second owner of a pool, which has inherited hosts and a job "old" of one step.
func newSuccessor(t *testing.T, step batch.Step, hosts ...string) *owner {
	t.Helper()
	o := newOwner(t, 2)
	for _, id := range hosts {
		h := port.Host{ID: id, Pool: "pool", Born: 1, Capacity: batch.Size{MilliCores: 4000, MemoryMB: 4000}}
		o.RestoreHost(h)
		o.UpdateHost(h, o.now)
	}
	o.Restore("old", batch.Spec{Queue: "q", Steps: []batch.Step{step}}, nil, o.now)
	return o
}

func (o *owner) addHost(id string) {
	o.UpdateHost(port.Host{
		ID: id, Address: id + ":1", Pool: "pool", Rack: "r-" + id,
		Capacity: batch.Size{MilliCores: 4000, MemoryMB: 4000},
	}, o.now).Stored = true
	o.report(id)
	// The instance is a minute old, unless a test says otherwise.
	o.Hosts[id].FirstAnswer = o.now.Add(-time.Minute)
	o.advance(time.Millisecond)
}

// advance advances all clocks and confirms the claim.
func (o *owner) advance(d time.Duration) {
	o.now = o.now.Add(d)
	o.clock += d.Milliseconds()
	o.ConfirmedAt = o.now
}

// report makes a host report runs and ends.
func (o *owner) report(id string, rows ...any) []shard.RunEnd {
	o.clock++
	report := &port.HostReport{Clock: o.clock, Born: 1}
	for _, r := range rows {
		switch v := r.(type) {
		case port.ActiveRun:
			report.Running = append(report.Running, v)
		case port.FinishedRun:
			report.Finished = append(report.Finished, v)
		}
	}
	return o.HandleReport(id, report, o.now)
}

// submit submits a job and marks it as stored.
func (o *owner) submit(id string, steps ...batch.Step) {
	o.t.Helper()
	o.submitTo("q", id, steps...)
}

func (o *owner) submitTo(queue, id string, steps ...batch.Step) {
	o.t.Helper()
	j, verdict := o.Submit(id, batch.Spec{Queue: queue, Steps: steps}, o.now)
	require.Equal(o.t, shard.Accepted, verdict)
	o.MarkStored(j)
}

// plan runs a round of planning and returns its orders.
func (o *owner) plan() []shard.Order {
	shard.Plan(o.State, shard.BySlack{}, o.now, o.now.UnixMilli())
	return o.TakeOrders()
}

// start runs a round of planning and answers all starts.
func (o *owner) start() []shard.Order {
	orders := o.plan()
	for i := range orders {
		if orders[i].Kind == shard.OrderStart {
			o.clock++
			require.True(o.t, o.HandleStartResult(&orders[i], o.clock, nil, o.now))
		}
	}
	return orders
}

func smallStep(count int) batch.Step {
	return batch.Step{Count: count, Need: batch.Size{MilliCores: 1000, MemoryMB: 100}, Estimate: time.Second}
}

func longRunningStep(count, perHost, maxUnavailable int) batch.Step {
	s := smallStep(count)
	s.LongRunning, s.PerHost, s.MaxUnavailable = true, perHost, maxUnavailable
	return s
}

func doneRow(number int64, o shard.Order) port.FinishedRun {
	return port.FinishedRun{Number: number, Unit: o.Ref.String(), Run: o.Run, Result: port.ResultDone}
}

func runningRow(o shard.Order, percent float64) port.ActiveRun {
	return port.ActiveRun{Unit: o.Ref.String(), Run: o.Run, ProgressPercent: percent}
}

var errNoAnswer = errors.New("no answer")

func TestNothingStartsBeforeTheStoreHasTheJob(t *testing.T) {
	o := newOwner(t, 1, "a")
	j, _ := o.Submit("job", batch.Spec{Queue: "q", Steps: []batch.Step{smallStep(1)}}, o.now)
	require.Empty(t, o.plan())
	o.MarkStored(j)
	require.Len(t, o.plan(), 1)
}

func TestAStepWaitsForItsPredecessors(t *testing.T) {
	o := newOwner(t, 1, "a")
	second := smallStep(1)
	second.After = []int{0}
	o.submit("job", smallStep(2), second)
	first := o.start()
	require.Len(t, first, 2)
	o.report("a", doneRow(1, first[0]), runningRow(first[1], 50))
	require.Empty(t, o.plan())
	o.report("a", doneRow(1, first[0]), doneRow(2, first[1]))
	next := o.start()
	require.Len(t, next, 1)
	require.Equal(t, 1, next[0].Ref.Step)
	o.report("a", doneRow(3, next[0]))
	require.Equal(t, shard.Completed, o.Jobs["job"].Phase)
	require.Equal(t, shard.Open, o.Jobs["job"].StoredPhase, "callers are told only once the store has it")
	for _, c := range o.TakeChanges() {
		o.MarkWritten(c)
	}
	require.Equal(t, shard.Completed, o.Jobs["job"].StoredPhase)
}

func TestAnEndThatIsListedAgainCountsOnce(t *testing.T) {
	o := newOwner(t, 1, "a")
	o.submit("job", smallStep(1))
	for attempt := int64(1); attempt <= 3; attempt++ {
		starts := o.start()
		require.Len(t, starts, 1)
		require.Equal(t, attempt, starts[0].Run)
		failed := port.FinishedRun{Number: attempt, Unit: starts[0].Ref.String(), Run: starts[0].Run, Result: port.ResultFailed}
		o.report("a", failed)
		o.report("a", failed)
		o.advance(time.Minute) // past any backoff of the host
		o.report("a")
	}
	require.Equal(t, shard.Failed, o.Jobs["job"].Phase)
	require.Empty(t, o.plan())
}

// Guards against failures that are not counted because another host has reported a later run
// first.
func TestFailuresCountInAnyOrderOfReports(t *testing.T) {
	o := newOwner(t, 2, "a", "b", "c")
	o.Restore("job", batch.Spec{Queue: "q", Steps: []batch.Step{smallStep(1)}}, nil, o.now)
	failed := func(run int64) port.FinishedRun {
		return port.FinishedRun{Number: 1, Unit: "job.0.0.0", Run: run, Result: port.ResultFailed}
	}
	shard.Plan(o.State, shard.ByAge{}, o.now, o.now.UnixMilli())
	o.TakeOrders()
	o.report("c", failed(3))
	o.report("b", failed(2))
	o.report("a", failed(1))
	require.Equal(t, shard.Failed, o.Jobs["job"].Phase)
}

func TestAStartWithoutAnAnswerIsStoppedBeforeTheNext(t *testing.T) {
	o := newOwner(t, 1, "a", "b")
	o.submit("job", smallStep(1))
	starts := o.plan()
	require.Len(t, starts, 1)
	o.HandleStartResult(&starts[0], 0, errNoAnswer, o.now)
	orders := o.plan()
	require.Len(t, orders, 1)
	require.Equal(t, shard.OrderStop, orders[0].Kind)
	require.Equal(t, starts[0].Run, orders[0].Run)
	// A stop that was not answered may not have reached the host, so it is sent again.
	o.HandleStopResult(&orders[0], 0, errNoAnswer, o.now)
	require.Empty(t, o.plan())
	o.advance(time.Second)
	o.RetryStops(o.now)
	again := o.plan()
	require.Len(t, again, 1)
	o.clock++
	o.HandleStopResult(&again[0], o.clock, nil, o.now)
	o.report(starts[0].Host)
	o.report("a")
	o.report("b")
	next := o.plan()
	require.Len(t, next, 1)
	require.Equal(t, shard.OrderStart, next[0].Kind)
	require.Greater(t, next[0].Run, starts[0].Run)
}

// Guards against extending the lease of a host that cannot be reached. The lease then never
// expired, and long-running work was not restarted.
func TestASilentHostGetsNoLeaseExtension(t *testing.T) {
	o := newOwner(t, 1, "a", "b")
	o.submit("job", longRunningStep(1, 0, 1))
	starts := o.start()
	o.report(starts[0].Host, runningRow(starts[0], 100))
	h := o.Hosts[starts[0].Host]
	require.NotZero(t, o.LeaseDeadline(h, o.now))
	expiry := o.LeaseExpiry(h)
	other := map[string]string{"a": "b", "b": "a"}[starts[0].Host]
	for range 8 {
		o.advance(time.Second)
		o.report(other)
		o.LeaseDeadline(h, o.now)
		o.ExpireLeases(o.now)
	}
	require.False(t, expiry.Add(2*time.Second).Before(o.LeaseExpiry(h)))
	next := o.plan()
	require.Len(t, next, 1)
	require.Equal(t, other, next[0].Host)
}

// Guards against leases that lapse while hosts answer: an owner that was late read no answer for
// 1.6 s and stopped extending them.
func TestALateOwnerGoesOnExtendingLeases(t *testing.T) {
	o := newOwner(t, 1, "a")
	h := o.Hosts["a"]
	o.HeartbeatSent("a", o.now)
	o.advance(2 * time.Second)
	o.HeartbeatFailed("a", true, o.now)
	d := o.LeaseDeadline(h, o.now)
	require.NotZero(t, d)
	require.LessOrEqual(t, d, h.Clock+int64(2000*98/100)+1+timing.Lease.Milliseconds(), "the host's clock may be 2 % slow")

	o.HeartbeatFailed("a", false, o.now)
	require.Zero(t, o.LeaseDeadline(h, o.now), "the host is silent")
	o.HeartbeatFailed("a", true, o.now)
	o.advance(timing.Lease)
	require.Zero(t, o.LeaseDeadline(h, o.now), "a host that is lost to a late owner is given up in the end")
}

// Guards against two runs of one task: an owner that was cut off counted the leases of hosts as
// expired while its successor went on extending them.
func TestALeaseExpiresOnlyIfTheClaimWasConfirmedSince(t *testing.T) {
	o := newOwner(t, 1, "a", "b")
	o.submit("job", smallStep(1))
	starts := o.start()
	confirmed := o.ConfirmedAt
	other := map[string]string{"a": "b", "b": "a"}[starts[0].Host]
	o.LeaseDeadline(o.Hosts[starts[0].Host], o.now)
	for range 10 {
		o.advance(time.Second)
		o.ConfirmedAt = confirmed
		o.report(other)
		o.ExpireLeases(o.now)
		require.Empty(t, o.plan())
	}
	o.advance(0)
	o.ExpireLeases(o.now)
	require.Len(t, o.plan(), 1)
}

// Guards against a start that is carried out two seconds after it was sent. By then, the task's
// earlier run may be known to be done.
func TestAStartIsNotCarriedOutLate(t *testing.T) {
	o := newOwner(t, 1, "a")
	h := o.Hosts["a"]
	// The host's clock may be 2 % slow. Two seconds later it has to be past the
	// deadline of the start.
	late := o.clock + int64(2000*98/100)
	require.Less(t, o.StartDeadline(h, o.now), late)
	require.Greater(t, o.LeaseDeadline(h, o.now), late, "the lease itself is longer")
	o.advance(timing.Grace + time.Second)
	o.ConfirmedAt = o.now.Add(-timing.Grace - time.Second)
	require.Zero(t, o.StartDeadline(h, o.now))
}

// Guards against starts that hosts refuse as late and against leases that lapse early: deadlines
// counted from the time at which the owner handled an answer, not from its arrival.
func TestDeadlinesCountFromTheArrivalOfAnAnswer(t *testing.T) {
	o := newOwner(t, 1, "a")
	const waited = 2 * time.Second
	o.now = o.now.Add(waited)
	o.ConfirmedAt = o.now
	o.HandleReport("a", &port.HostReport{Clock: 5000, Born: 1, ReceivedAt: o.now.Add(-waited)}, o.now)
	h := o.Hosts["a"]
	clock := int64(5000 + 2000*98/100)
	require.Greater(t, o.StartDeadline(h, o.now), clock+1000)
	require.GreaterOrEqual(t, o.LeaseDeadline(h, o.now), clock+timing.Lease.Milliseconds())
	longest := time.Duration(float64(timing.Lease)*shard.ClockDrift) + 200*time.Millisecond
	require.LessOrEqual(t, o.LeaseExpiry(h).Sub(o.now), longest)
}

func TestNoLeaseIsGrantedLongAfterTheClaimWasConfirmed(t *testing.T) {
	o := newOwner(t, 1, "a")
	confirmed := o.ConfirmedAt
	o.advance(timing.Grace + time.Second)
	o.report("a")
	o.ConfirmedAt = confirmed
	require.Zero(t, o.LeaseDeadline(o.Hosts["a"], o.now))
	o.ConfirmedAt = o.now
	require.NotZero(t, o.LeaseDeadline(o.Hosts["a"], o.now))
}

func TestANewOwnerAsksAllHostsBeforeItStartsInheritedWork(t *testing.T) {
	o := newSuccessor(t, smallStep(2), "a", "b")
	o.submit("new", smallStep(1))
	o.report("a", port.ActiveRun{Unit: "old.0.0.1", Run: 1, ProgressPercent: 30})
	o.advance(time.Millisecond)
	orders := o.start()
	require.Len(t, orders, 1, "only work that no earlier owner can have started")
	require.Equal(t, "new", orders[0].Ref.Job)
	o.report("b")
	o.advance(time.Millisecond)
	orders = o.start()
	require.Len(t, orders, 1)
	require.Equal(t, batch.Ref{Job: "old", Index: 0}, orders[0].Ref)
	require.Greater(t, orders[0].Run, int64(1000), "above all run numbers that the first owner can have given")
}

func TestANewOwnerWaitsForTheLeaseOfAHostThatItCannotReach(t *testing.T) {
	o := newSuccessor(t, smallStep(1), "a", "silent")
	for waited := time.Duration(0); waited < timing.Grace+timing.Lease; waited += time.Second {
		o.report("a")
		o.ExpireLeases(o.now)
		require.Empty(t, o.plan(), "after %v", waited)
		o.advance(time.Second)
	}
	o.advance(time.Second)
	o.report("a")
	o.ExpireLeases(o.now)
	require.Len(t, o.plan(), 1)
}

// Guards against two runs of one task: a host fell silent right after its first answer to a new
// owner, which counted only the lease that it had granted itself.
func TestANewOwnerCountsTheLeaseThatAnEarlierOneGranted(t *testing.T) {
	o := newSuccessor(t, smallStep(1), "a", "b")
	o.report("a", port.ActiveRun{Unit: "old.0.0.0", Run: 1, ProgressPercent: 30})
	for waited := time.Duration(0); waited <= timing.Lease; waited += time.Second {
		o.report("b")
		o.ExpireLeases(o.now)
		require.Empty(t, o.plan(), "after %v", waited)
		o.advance(time.Second)
	}
	o.report("b")
	o.ExpireLeases(o.now)
	require.Len(t, o.plan(), 1)
}

func TestAHostThatThePlatformKnowsToHaveEndedIsNotWaitedFor(t *testing.T) {
	o := newSuccessor(t, smallStep(1), "a", "silent")
	o.report("a")
	o.advance(time.Second + 300*time.Millisecond)
	o.report("a")
	require.Equal(t, []string{"silent"}, o.SilentHosts(o.now))
	o.HostEnded("silent", o.now)
	require.Len(t, o.plan(), 1)
}

func TestAHostThatRestartsHasLostItsWork(t *testing.T) {
	o := newOwner(t, 1, "a")
	o.submit("job", smallStep(1))
	starts := o.start()
	o.report("a", runningRow(starts[0], 10))
	restart := func(clock int64) { o.HandleReport("a", &port.HostReport{Clock: clock, Born: 2}, o.now) }
	restart(5000)
	o.advance(time.Millisecond)
	next := o.plan()
	require.Len(t, next, 1)
	require.Equal(t, shard.OrderStart, next[0].Kind)
	require.Greater(t, next[0].Run, starts[0].Run)
	// The numbers of ends start again in each instance.
	require.Zero(t, o.Hosts["a"].CountedEnd)
}

// Guards against starting a task twice: the answer to a start came from the new instance before
// the owner had a report from it, and the task was taken for lost.
func TestARunAcceptedByTheNewInstanceIsNotLost(t *testing.T) {
	o := newOwner(t, 1, "a", "b")
	o.submit("job", smallStep(1))
	starts := o.plan()
	require.Len(t, starts, 1)
	o.HandleStartResult(&starts[0], 40, nil, o.now)
	o.HandleReport(starts[0].Host, &port.HostReport{Clock: 30, Born: 2}, o.now)
	o.advance(time.Millisecond)
	orders := o.plan()
	require.Len(t, orders, 1)
	require.Equal(t, shard.OrderStop, orders[0].Kind, "the run may exist, so it is stopped first")
	o.HandleReport(starts[0].Host, &port.HostReport{
		Clock: 50, Born: 2, Running: []port.ActiveRun{runningRow(starts[0], 5)},
	}, o.now)
	require.Empty(t, o.plan())
}

// Guards against a new instance that accepts orders of an owner that has been replaced.
func TestANewInstanceIsUsedOnlyOnceTheClaimWasConfirmed(t *testing.T) {
	o := newOwner(t, 1, "a")
	confirmed := o.ConfirmedAt
	o.advance(time.Second)
	o.ConfirmedAt = confirmed
	o.HandleReport("a", &port.HostReport{Clock: 10, Born: 2}, o.now)
	o.submit("job", smallStep(1))
	require.Empty(t, o.plan())
	require.True(t, o.NeedsConfirmation())
	o.advance(time.Millisecond)
	require.Len(t, o.plan(), 1)
}

// Guards against a job that runs although it was cancelled: a cancel that arrived before the
// submission was answered with "no such job".
func TestACancelThatArrivesBeforeItsSubmissionIsKept(t *testing.T) {
	o := newOwner(t, 1, "a")
	j := o.Cancel("job", o.now)
	require.True(t, j.Unsubmitted)
	changes := o.TakeChanges()
	require.Len(t, changes, 1)
	o.MarkWritten(changes[0])
	_, verdict := o.Submit("job", batch.Spec{Queue: "q", Steps: []batch.Step{smallStep(1)}}, o.now)
	require.Equal(t, shard.Duplicate, verdict)
	require.Empty(t, o.plan())
	// The next owner has the cancellation as well.
	next := newOwner(t, 2, "a")
	next.RestoreCancelled("job", next.now)
	_, verdict = next.Submit("job", batch.Spec{Queue: "q", Steps: []batch.Step{smallStep(1)}}, next.now)
	require.Equal(t, shard.Duplicate, verdict)
	require.Empty(t, next.plan())
}

func TestACancelledJobIsStoppedAndNothingMoreStarts(t *testing.T) {
	o := newOwner(t, 1, "a")
	o.submit("job", smallStep(6))
	starts := o.start()
	require.Len(t, starts, 4)
	o.Cancel("job", o.now)
	stops := o.plan()
	require.Len(t, stops, 4)
	for _, stop := range stops {
		require.Equal(t, shard.OrderStop, stop.Kind)
	}
	// A run that the host still reports is not an unknown run until it ends.
	o.report("a", runningRow(starts[0], 10))
	require.Zero(t, o.Hosts["a"].UnknownRuns)
}

func TestARunOfAnUnknownJobIsStopped(t *testing.T) {
	o := newOwner(t, 1, "a")
	o.report("a", port.ActiveRun{Unit: "gone.0.0.0", Run: 3})
	orders := o.plan()
	require.Len(t, orders, 1)
	require.Equal(t, shard.OrderStop, orders[0].Kind)
	require.Equal(t, 1, o.Hosts["a"].UnknownRuns)
}

func TestTimedOccurrencesWaitForTheirTime(t *testing.T) {
	o := newOwner(t, 1, "a")
	first := o.now.Add(2 * time.Second)
	spec := batch.Spec{
		Queue: "q", Steps: []batch.Step{smallStep(1)}, Repetitions: 2, FirstDueMS: first.UnixMilli(), Interval: 3 * time.Second,
		AcceptedMS: o.now.UnixMilli(),
	}
	j, _ := o.Submit("job", spec, o.now)
	o.MarkStored(j)
	require.Empty(t, o.plan())
	require.Equal(t, first.UnixMilli(), o.NextDue())
	o.advance(2 * time.Second)
	o.report("a")
	starts := o.start()
	require.Len(t, starts, 1)
	o.report("a", doneRow(1, starts[0]))
	require.Equal(t, shard.Open, o.Jobs["job"].Phase)
	o.advance(3 * time.Second)
	o.report("a")
	starts = o.start()
	require.Len(t, starts, 1)
	require.Equal(t, 1, starts[0].Ref.Occurrence)
	o.report("a", doneRow(2, starts[0]))
	require.Equal(t, shard.Completed, o.Jobs["job"].Phase)
}

func TestStoredProgressGivesTheNextOwnerTheSameState(t *testing.T) {
	o := newOwner(t, 1, "a")
	second := smallStep(2)
	second.After = []int{0}
	o.submit("job", smallStep(2), second)
	starts := o.start()
	o.report("a", doneRow(1, starts[0]), port.FinishedRun{Number: 2, Unit: starts[1].Ref.String(), Run: 1, Result: port.ResultFailed, Checkpoint: "c1"})
	changes := o.TakeChanges()
	require.Len(t, changes, 1)
	next := newOwner(t, 2, "a")
	next.Restore("job", o.Jobs["job"].Spec, &changes[0].Progress, next.now)
	tasks := next.Jobs["job"].Occurrences[0].Stages[0].Tasks
	require.True(t, tasks[0].Done)
	require.Equal(t, []int64{1}, tasks[1].FailedRuns)
	require.Equal(t, "c1", tasks[1].Checkpoint)
	orders := next.plan()
	require.Len(t, orders, 1)
	require.Equal(t, "c1", orders[0].Checkpoint)
}
