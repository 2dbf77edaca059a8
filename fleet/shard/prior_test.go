package shard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// reportPart makes a host report ends that may not be all.
func (o *owner) reportPart(id string, ends ...port.FinishedRun) {
	o.clock++
	o.HandleReport(id, &port.HostReport{Clock: o.clock, Born: 1, Finished: ends, Truncated: true}, o.now)
	o.advance(time.Millisecond)
}

// inheritedEnd is the end of the first run of a task of the job "old".
func inheritedEnd(number int64, index int, result port.Result) port.FinishedRun {
	return port.FinishedRun{Number: number, Unit: batch.Ref{Job: "old", Index: index}.String(), Run: 1, Result: result}
}

// Guards against work that is done twice (TWICE): a new owner took the first ends that a host lists for all of them.
func TestInheritedWorkWaitsUntilItsHostHasListedAllEnds(t *testing.T) {
	o := newSuccessor(t, smallStep(3), "a", "b")
	o.report("b")
	o.reportPart("a", inheritedEnd(1, 0, port.ResultDone))
	require.Empty(t, o.plan())
	require.Equal(t, shard.EndsOf("a"), o.Explain(batch.Ref{Job: "old", Index: 1}, o.now))
	o.report("a", inheritedEnd(2, 1, port.ResultDone))
	o.advance(time.Millisecond)
	orders := o.plan()
	require.Len(t, orders, 1)
	require.Equal(t, 2, orders[0].Ref.Index)
}

// Guards against a start after the last attempt (BUDGET): the failures of a task were among ends that were not listed yet.
func TestInheritedWorkIsNotStartedBeyondItsAttempts(t *testing.T) {
	o := newSuccessor(t, smallStep(1), "a")
	failed := func(number, run int64) port.FinishedRun {
		return port.FinishedRun{Number: number, Unit: "old.0.0.0", Run: run, Result: port.ResultFailed}
	}
	o.reportPart("a", failed(1, 1), failed(2, 2))
	require.Empty(t, o.plan())
	o.report("a", failed(3, 3))
	require.Empty(t, o.plan())
	require.Equal(t, shard.Failed, o.Jobs["old"].Phase)
}

// Guards against work that waits for a host on which it cannot have run, or whose ends make no difference to it.
func TestOnlyWorkThatMayHaveEndedOnAHostWaitsForItsEnds(t *testing.T) {
	labelled := smallStep(1)
	labelled.RequiredLabel = "gpu"
	for name, c := range map[string]struct {
		step batch.Step
		// born is the instance that the record of the host is from.
		born  int64
		waits bool
	}{
		"long-running":                      {longRunningStep(1, 0, 0), 1, false},
		"label that the host lacks":         {labelled, 1, false},
		"label that another instance lacks": {labelled, 2, true},
		"no label":                          {smallStep(1), 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			o := newSuccessor(t, c.step, "a", "b")
			b := o.Hosts["b"].Host
			b.Labels = []string{"gpu"}
			o.UpdateHost(b, o.now)
			a := o.Hosts["a"].Host
			a.Born = c.born
			o.UpdateHost(a, o.now)
			o.report("b")
			o.reportPart("a")
			require.Equal(t, c.waits, len(o.plan()) == 0)
		})
	}
}

// Guards against a pool that stands still for good: a host ended runs of the present owner as fast as it listed its ends, so
// that no answer was complete.
func TestAnEndOfARunOfThisOwnerShowsThatEarlierEndsAreListed(t *testing.T) {
	o := newSuccessor(t, smallStep(2), "a")
	o.reportPart("a", inheritedEnd(1, 0, port.ResultDone))
	o.submit("new", smallStep(1))
	orders := o.start()
	require.Len(t, orders, 1)
	require.Equal(t, "new", orders[0].Ref.Job)
	o.reportPart("a", inheritedEnd(2, 5, port.ResultDone))
	require.Empty(t, o.plan(), "an end of an unknown task shows nothing")
	o.reportPart("a", doneRow(3, orders[0]))
	orders = o.plan()
	require.Len(t, orders, 1)
	require.Equal(t, batch.Ref{Job: "old", Index: 1}, orders[0].Ref)
}

// Guards against a pool that stands still for good: a host fell silent between two answers.
func TestInheritedWorkDoesNotWaitForTheEndsOfAHostWhoseLeaseHasExpired(t *testing.T) {
	o := newSuccessor(t, smallStep(2), "a", "b")
	o.report("b")
	o.reportPart("a", inheritedEnd(1, 0, port.ResultDone))
	for waited := time.Duration(0); waited <= timing.Lease; waited += time.Second {
		o.report("b")
		o.ExpireLeases(o.now)
		require.Empty(t, o.plan(), "after %v", waited)
		o.advance(time.Second)
	}
	o.report("b")
	o.ExpireLeases(o.now)
	orders := o.plan()
	require.Len(t, orders, 1)
	require.Equal(t, "b", orders[0].Host)
	o.reportPart("a", inheritedEnd(2, 1, port.ResultDone))
	require.True(t, o.Hosts["a"].EndsListed, "its ends from before do not count any more")
}

// Guards against a pool that stands still for good: each answer of a host lists as many further ends as it can.
func TestInheritedWorkDoesNotWaitForGoodForAHostThatListsEndsWithoutEnd(t *testing.T) {
	const endsPerAnswer = 500
	o := newSuccessor(t, smallStep(2), "a", "b")
	running := []port.ActiveRun{{Unit: "old.0.0.0", Run: 1, ProgressPercent: 30}}
	number := int64(0)
	var starts []shard.Order
	for waited := time.Duration(0); waited < time.Minute && len(starts) < 2; waited += 100 * time.Millisecond {
		o.report("b")
		report := &port.HostReport{Clock: o.clock, Born: 1, Truncated: true}
		if until := o.Hosts["a"].GrantedUntil; until > 0 && o.clock > until {
			running = nil
		}
		report.Running = running
		for range endsPerAnswer {
			number++
			report.Finished = append(report.Finished, port.FinishedRun{Number: number, Unit: "unknown.0.0.0", Run: 1, Result: port.ResultDone})
		}
		o.HandleReport("a", report, o.now)
		o.LeaseDeadline(o.Hosts["a"], o.now)
		o.ExpireLeases(o.now)
		starts = append(starts, o.plan()...)
		o.advance(100 * time.Millisecond)
	}
	require.Len(t, starts, 2, "what ran on the host has ended with its lease")
	require.Less(t, number, int64(200*endsPerAnswer))
}

// Guards against a pool that waits for the ends of a host that has ended: nobody asked the machine service for it.
func TestAHostThatIsSilentBetweenTwoAnswersMayHaveEnded(t *testing.T) {
	o := newSuccessor(t, smallStep(2), "a", "b")
	o.reportPart("a", inheritedEnd(1, 0, port.ResultDone))
	o.advance(1300 * time.Millisecond)
	o.report("b")
	require.Equal(t, []string{"a"}, o.SilentHosts(o.now))
	o.HostEnded("a", o.now)
	o.advance(time.Millisecond)
	require.Len(t, o.plan(), 1)
}

// Guards against work that is done twice (TWICE): an answer from before runs ended came after a newer one and showed no
// further ends.
func TestAnAnswerThatWasOvertakenDoesNotShowThatAllEndsAreListed(t *testing.T) {
	o := newSuccessor(t, smallStep(3), "a")
	early := &port.HostReport{Clock: o.clock, Born: 1, Finished: []port.FinishedRun{inheritedEnd(1, 0, port.ResultDone)}}
	o.reportPart("a", inheritedEnd(1, 0, port.ResultDone), inheritedEnd(2, 1, port.ResultDone))
	o.HandleEnds("a", early, o.now)
	require.Empty(t, o.plan())
}

// Guards against a job that is shown as failed without cause (LOST): runs whose ends were not listed yet were taken for lost
// in a crash.
func TestRunsWhoseEndsAreNotListedYetAreNotTakenForCrashes(t *testing.T) {
	o := newOwner(t, 2)
	h := port.Host{ID: "a", Pool: "pool", Born: 1, Capacity: batch.Size{MilliCores: 4000, MemoryMB: 4000}}
	o.RestoreHost(h)
	o.UpdateHost(h, o.now)
	suspect := shard.TaskProgress{Started: true, Crashes: &shard.Crashes{Hosts: 3}}
	progress := &shard.Progress{Phase: shard.Open, Occurrences: []shard.OccurrenceProgress{{Stages: [][]shard.TaskProgress{{suspect}}}}}
	o.Restore("old", batch.Spec{Queue: "q", Steps: []batch.Step{smallStep(1)}}, progress, o.now)
	o.reportPart("a")
	require.Empty(t, o.plan())
	require.Equal(t, shard.Open, o.Jobs["old"].Phase)
	o.report("a", inheritedEnd(1, 0, port.ResultDone))
	require.Empty(t, o.plan())
	require.Equal(t, shard.Completed, o.Jobs["old"].Phase)
}

// Guards against work that is thrown away: a host whose ends were not all listed was called empty, and they were lost with it.
func TestAHostThatHasNotListedAllEndsIsNotEmpty(t *testing.T) {
	o := newSuccessor(t, smallStep(2), "a")
	o.reportPart("a", inheritedEnd(1, 0, port.ResultDone))
	require.False(t, o.Vacate(o.Hosts["a"], o.now, time.Second))
	occupancy := o.Occupancy(1, o.now)
	require.Len(t, occupancy.Longest, 1)
	require.Equal(t, shard.ForAnswer, occupancy.Longest[0].Wait)
	o.report("a", inheritedEnd(2, 1, port.ResultDone))
	require.True(t, o.Vacate(o.Hosts["a"], o.now, time.Second))
}
