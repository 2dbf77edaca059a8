package shard_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

func TestAGangStartsAsAWholeWithOneRunNumber(t *testing.T) {
	o := newOwner(t, 1, "a")
	gang := smallStep(6)
	gang.Gang = true
	o.submit("job", gang)
	require.Empty(t, o.plan(), "six members do not fit on four cores")
	o.addHost("b")
	starts := o.start()
	require.Len(t, starts, 6)
	for _, start := range starts {
		require.Equal(t, starts[0].Run, start.Run)
	}
	o.report("a", doneRow(1, starts[0]))
	require.Equal(t, shard.Completed, o.Jobs["job"].Phase, "the success of one member completes the gang")
}

func TestAGangWithAMemberRefusedIsStoppedAsAWhole(t *testing.T) {
	o := newOwner(t, 1, "a", "b")
	gang := smallStep(6)
	gang.Gang = true
	o.submit("job", gang)
	starts := o.plan()
	require.Len(t, starts, 6)
	for i := range starts[:5] {
		o.clock++
		o.HandleStartResult(&starts[i], o.clock, nil, o.now)
	}
	o.HandleStartResult(&starts[5], 0, &port.RefusedError{Reason: port.RefusedCapacity}, o.now)
	stops := o.plan()
	require.Len(t, stops, 5)
	for _, stop := range stops {
		require.Equal(t, shard.OrderStop, stop.Kind)
	}
}

func TestPlacementRules(t *testing.T) {
	o := newOwner(t, 1, "a", "b", "c")
	o.Hosts["b"].Labels = []string{"fast"}
	labelled := smallStep(1)
	labelled.RequiredLabel = "fast"
	o.submit("labelled", labelled)
	starts := o.start()
	require.Equal(t, "b", starts[0].Host)
	spread := smallStep(3)
	spread.PerHost = 1
	o.submit("spread", spread)
	starts = o.start()
	hosts := map[string]bool{}
	for _, start := range starts {
		hosts[start.Host] = true
	}
	require.Len(t, hosts, 3)
	missing := smallStep(1)
	missing.RequiredLabel = "label of no host"
	o.submit("missing", missing)
	require.Empty(t, o.plan())
	o.submit("another", smallStep(1))
	require.Len(t, o.plan(), 1, "work that can never run does not block other work")
}

// newGangOwner returns an owner with a job of one gang, which waits.
func newGangOwner(t *testing.T, members int, hosts ...string) *owner {
	t.Helper()
	o := newOwner(t, 1, hosts...)
	gang := smallStep(members)
	gang.Gang = true
	o.submit("job", gang)
	return o
}

// Guards against a job that is shown as failed without cause (LOST): each member that failed in a run of a gang counted as an
// attempt.
func TestAGangFailsOnceARunHoweverManyMembersFail(t *testing.T) {
	o := newGangOwner(t, 4, "a")
	number := int64(0)
	for attempt := 1; attempt <= 3; attempt++ {
		require.Equal(t, shard.Open, o.Jobs["job"].Phase, "before attempt %d of 3", attempt)
		starts := o.start()
		require.Len(t, starts, 4)
		var ends []any
		for _, start := range starts {
			number++
			ends = append(ends, failedRow(number, start))
		}
		o.report("a", ends...)
		o.TakeOrders()
	}
	require.Equal(t, shard.Failed, o.Jobs["job"].Phase)
}

// Guards against a start after the last attempt of a gang (BUDGET): another member failed in each run.
func TestAGangFailsIfAnotherMemberFailsInEachRun(t *testing.T) {
	o := newGangOwner(t, 4, "a")
	number := int64(0)
	for attempt := range 3 {
		starts := o.start()
		require.Len(t, starts, 4)
		var ends []any
		for i, start := range starts {
			number++
			e := failedRow(number, start)
			if i != attempt {
				e.Result = port.ResultGangBroken
			}
			ends = append(ends, e)
		}
		o.report("a", ends...)
		o.TakeOrders()
	}
	require.Equal(t, shard.Failed, o.Jobs["job"].Phase)
	require.Empty(t, o.plan())
}

// Guards against a gang that uses up its attempts on a host that fails all it starts.
func TestAGangIsNotStartedWhereItFailedIfItFitsElsewhere(t *testing.T) {
	o := newGangOwner(t, 2, "a", "b")
	starts := o.start()
	require.Len(t, starts, 2)
	failed := starts[0].Host
	require.Equal(t, failed, starts[1].Host)
	o.report(failed, failedRow(1, starts[0]), failedRow(2, starts[1]))
	o.TakeOrders()
	starts = o.start()
	require.Len(t, starts, 2)
	for _, start := range starts {
		require.NotEqual(t, failed, start.Host)
	}
	other := starts[0].Host
	o.report(other, failedRow(1, starts[0]), failedRow(2, starts[1]))
	o.TakeOrders()
	o.UnlistHost(failed)
	require.Len(t, o.start(), 2, "there is no other host")
}
