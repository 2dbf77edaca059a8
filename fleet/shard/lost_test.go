package shard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// Guards against starting work again that has ended. A newer owner may have counted the end
// before the host ended, without this owner having an answer that says so. The owner in a zone
// that was cut off started such work again as soon as the connection was restored.
func TestWorkOfAHostThatHasEndedWaitsForTheClaimToBeConfirmed(t *testing.T) {
	o := newOwner(t, 1, "a", "b")
	o.submit("job", smallStep(1))
	starts := o.start()
	require.Len(t, starts, 1)
	other := map[string]string{"a": "b", "b": "a"}[starts[0].Host]
	o.report(starts[0].Host, runningRow(starts[0], 10))
	o.now = o.now.Add(2 * time.Second)
	o.report(other)
	o.HostEnded(starts[0].Host, o.now)
	require.Empty(t, o.plan(), "the claim was confirmed before the host ended")
	require.True(t, o.NeedsConfirmation(), "the next write is not delayed")
	o.advance(time.Millisecond)
	require.Len(t, o.plan(), 1)
}

func TestWorkOfAnEarlierInstanceWaitsForTheClaimToBeConfirmed(t *testing.T) {
	o := newOwner(t, 1, "a", "b")
	o.submit("job", smallStep(1))
	starts := o.start()
	other := map[string]string{"a": "b", "b": "a"}[starts[0].Host]
	o.report(starts[0].Host, runningRow(starts[0], 10))
	o.now = o.now.Add(2 * time.Second)
	o.report(other)
	o.HandleReport(starts[0].Host, &port.HostReport{Clock: 5000, Born: 2}, o.now)
	require.Empty(t, o.plan())
	o.advance(time.Millisecond)
	require.Len(t, o.plan(), 1)
}

// Guards against two runs of one task at once. The new instance of a host that had ended carried
// out a start that was still under way, while the task was started on another host.
func TestATaskWhoseStartIsUnderWayToAnEndedHostIsNotStartedElsewhere(t *testing.T) {
	o := newOwner(t, 1, "a", "b")
	o.submit("job", smallStep(1))
	starts := o.plan()
	require.Len(t, starts, 1)
	o.HostEnded(starts[0].Host, o.now)
	o.advance(50 * time.Millisecond)
	o.ExpireLeases(o.now)
	require.Empty(t, o.plan(), "the outcome of the start is unknown")

	o.HandleStartResult(&starts[0], 0, errNoAnswer, o.now)
	o.TakeOrders()
	o.advance(50 * time.Millisecond)
	o.ExpireLeases(o.now)
	require.Empty(t, o.plan(), "a new instance may have carried out the start")
	o.HeartbeatSent(starts[0].Host, o.now)
	o.advance(50 * time.Millisecond)
	o.HeartbeatFailed(starts[0].Host, false, o.now)
	o.ExpireLeases(o.now)
	require.Len(t, o.plan(), 1, "the host has ended, so no stop has to be confirmed")
}

// Guards against a long-running task that is stopped while it works, and others of its step are away (AVAIL): the answer to its
// start was lost, although the host had reported the run.
func TestARunThatItsHostHasReportedIsNotStoppedWhenItsStartIsNotAnswered(t *testing.T) {
	o := newOwner(t, 1, "a")
	o.submit("job", longRunningStep(1, 0, 1))
	starts := o.start()
	require.Len(t, starts, 1)
	o.report("a", runningRow(starts[0], 100))
	o.HandleStartResult(&starts[0], 0, errNoAnswer, o.now)
	require.Empty(t, o.TakeOrders())
	o.advance(time.Second)
	o.report("a", runningRow(starts[0], 100))
	require.Empty(t, o.plan())

	o.report("a", port.FinishedRun{Number: 1, Unit: starts[0].Ref.String(), Run: starts[0].Run, Result: port.ResultFailed})
	o.advance(time.Second)
	o.report("a")
	require.Len(t, o.plan(), 1, "it starts again after its end")
}

// Guards against two runs of one task at once. A host was taken for ended and ran on, or its new
// instance carried out an order of the earlier one. The task was started elsewhere while the stop
// of the run that the host reported was under way.
func TestATaskWithAnUnknownRunIsNotStartedElsewhereBeforeThatRunIsGone(t *testing.T) {
	for name, gone := range map[string]func(o *owner, host string, run shard.Order){
		"ended": func(o *owner, host string, run shard.Order) {
			o.report(host, port.FinishedRun{Number: 1, Unit: run.Ref.String(), Run: run.Run, Result: port.ResultStopped})
		},
		"not listed any more": func(o *owner, host string, _ shard.Order) { o.report(host) },
		"host ended":          func(o *owner, host string, _ shard.Order) { o.HostEnded(host, o.now) },
		"lease expired": func(o *owner, host string, _ shard.Order) {
			other := map[string]string{"a": "b", "b": "a"}[host]
			for range 8 {
				o.advance(time.Second)
				o.report(other)
			}
			o.ExpireLeases(o.now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			o := newOwner(t, 1, "a", "b")
			o.submit("job", smallStep(1))
			starts := o.start()
			require.Len(t, starts, 1)
			host := starts[0].Host
			o.report(host, runningRow(starts[0], 10))
			o.HostEnded(host, o.now)
			o.advance(time.Millisecond)
			o.report(host, runningRow(starts[0], 20))
			o.report(map[string]string{"a": "b", "b": "a"}[host])
			orders := o.plan()
			require.Len(t, orders, 1)
			require.Equal(t, shard.OrderStop, orders[0].Kind)
			gone(o, host, starts[0])
			o.advance(time.Millisecond)
			orders = o.plan()
			require.Len(t, orders, 1)
			require.Equal(t, shard.OrderStart, orders[0].Kind)
		})
	}
}

func TestAStartThatANewInstanceCarriesOutIsNotTakenForLost(t *testing.T) {
	o := newOwner(t, 1, "a", "b")
	o.submit("job", smallStep(1))
	starts := o.plan()
	host := starts[0].Host
	o.HostEnded(host, o.now)
	o.HeartbeatSent(host, o.now)
	o.advance(50 * time.Millisecond)
	o.HeartbeatFailed(host, false, o.now)
	o.HandleStartResult(&starts[0], 20, nil, o.now)
	o.advance(50 * time.Millisecond)
	o.ExpireLeases(o.now)
	require.Empty(t, o.plan())

	o.HandleReport(host, &port.HostReport{Clock: 40, Born: 2, Running: []port.ActiveRun{runningRow(starts[0], 10)}}, o.now)
	o.advance(50 * time.Millisecond)
	o.ExpireLeases(o.now)
	require.Empty(t, o.plan())
	require.Equal(t, shard.Running, o.Jobs["job"].Occurrences[0].Stages[0].Tasks[0].Status)
}

// Guards against starting work again whose end a newer owner has counted. The clock of a new instance
// starts anew, so the start of the run seems to be under way to it; once it confirmed the stop, the
// task was started elsewhere at once.
func TestWorkOfAnEarlierInstanceWaitsForTheClaimAlsoAfterItsStopIsConfirmed(t *testing.T) {
	o := newOwner(t, 1, "a", "b")
	o.submit("job", smallStep(1))
	starts := o.start()
	host := starts[0].Host
	other := map[string]string{"a": "b", "b": "a"}[host]
	o.report(host, runningRow(starts[0], 10))
	o.now = o.now.Add(2 * time.Second)
	o.report(other)
	o.HandleReport(host, &port.HostReport{Clock: 1, Born: 2}, o.now)
	stops := o.plan()
	require.Len(t, stops, 1)
	require.Equal(t, shard.OrderStop, stops[0].Kind)
	require.True(t, o.HandleStopResult(&stops[0], 2, nil, o.now))
	o.HandleReport(host, &port.HostReport{Clock: 3, Born: 2}, o.now)
	require.Empty(t, o.plan(), "the claim was confirmed before the host restarted")
	require.True(t, o.NeedsConfirmation(), "the next write is not delayed")
	o.advance(time.Millisecond)
	require.Len(t, o.plan(), 1)
}

// Guards against work that is never started again: its host was dead, and the owner was late each
// time that a heartbeat to it failed.
func TestADeadHostIsGivenUpByAnOwnerThatStaysLate(t *testing.T) {
	o := newOwner(t, 1, "a", "b")
	o.submit("job", smallStep(1))
	starts := o.start()
	host := starts[0].Host
	other := map[string]string{"a": "b", "b": "a"}[host]
	o.report(host, runningRow(starts[0], 10))
	granted := o.LeaseExpiry(o.Hosts[host])
	for o.now.Before(granted.Add(timing.MaxLease + 2*time.Second)) {
		o.HeartbeatSent(host, o.now)
		o.LeaseDeadline(o.Hosts[host], o.now)
		o.advance(time.Second)
		o.HeartbeatFailed(host, true, o.now)
		o.report(other)
		o.ExpireLeases(o.now)
		if orders := o.plan(); len(orders) > 0 {
			require.Equal(t, other, orders[0].Host)
			return
		}
	}
	t.Fatalf("the work was not started again %v after the first lease had expired", o.now.Sub(granted))
}

// Guards against a run that is never stopped: the outcome of its stop was lost when the connection to
// its host was replaced, and the stop was not sent again.
func TestAStopWhoseOutcomeIsLostIsSentAgain(t *testing.T) {
	o := newOwner(t, 1, "a", "b")
	o.submit("job", smallStep(1))
	starts := o.start()
	host := starts[0].Host
	o.report(host, runningRow(starts[0], 10))
	o.Cancel("job", o.now)
	require.Len(t, o.TakeOrders(), 1)
	o.OrdersLost(host, o.now)
	o.advance(time.Millisecond)
	o.RetryStops(o.now)
	orders := o.TakeOrders()
	require.Len(t, orders, 1)
	require.Equal(t, shard.OrderStop, orders[0].Kind)
	require.Equal(t, host, orders[0].Host)
}

// Guards against a task that runs again although its host has listed its success in an answer to a start.
func TestEndsAreCountedFromAReportThatIsOlderThanTheLastOne(t *testing.T) {
	o := newOwner(t, 1, "a", "b")
	o.submit("job", smallStep(1))
	starts := o.start()
	require.Len(t, starts, 1)
	host := starts[0].Host
	older := &port.HostReport{Clock: o.clock, Born: 1, Finished: []port.FinishedRun{doneRow(1, starts[0])}}
	o.clock += 100
	o.report(host, runningRow(starts[0], 50))
	require.Empty(t, o.HandleEnds(host, &port.HostReport{Clock: 1, Born: 2, Finished: older.Finished}, o.now), "another instance")
	require.Len(t, o.HandleEnds(host, older, o.now), 1)
	require.Empty(t, o.HandleEnds(host, older, o.now), "counted already")
	require.Equal(t, shard.Completed, o.Jobs["job"].Phase)
}
