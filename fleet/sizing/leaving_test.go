package sizing_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/sizing"
)

// Guards against hosts that take no work while an order for their machines may not be sent: an earlier holder may have
// ordered them.
func TestAHostIsNotTakenBeforeItsMachineMayBeOrdered(t *testing.T) {
	in := floodedPools(12)
	in.Held = map[string]bool{}
	for id := range in.Machines {
		in.Held[id] = true
	}
	delete(in.Held, "late-03")
	planned := sizing.Plan(sizing.NewState(), clearBacklog, in, time.Unix(1_700_000_000, 0))
	require.Len(t, planned, 1)
	require.Equal(t, "late-03", planned[0].Machine)
	l := in.Loads["late"]
	l.Running, l.RunningLate, l.Backlog, l.Late, l.IdleHosts, l.ReleasableHosts = 0, 0, 0, 0, l.ReleasableHosts, nil
	in.Loads["late"] = l
	planned = sizing.Plan(sizing.NewState(), clearBacklog, in, time.Unix(1_700_000_000, 0))
	require.Len(t, planned, 1)
	require.Equal(t, "late-03", planned[0].Machine)
}

// Guards against a pool that waits for a machine on standby which may not be ordered yet, beside idle hosts of another pool: the former
// holder of the machines had ordered it.
func TestAnIdleHostGoesBeforeAHeldMachineOnStandby(t *testing.T) {
	in := floodedPools(12)
	l := in.Loads["late"]
	l.Running, l.RunningLate, l.Backlog, l.Late, l.IdleHosts, l.ReleasableHosts = 0, 0, 0, 0, l.ReleasableHosts, nil
	in.Loads["late"], in.Budget = l, 1
	in.Machines["spare-0"] = port.Machine{ID: "spare-0", Pool: "spare", State: port.MachineUp}
	planned := sizing.Plan(sizing.NewState(), clearBacklog, in, time.Unix(1_700_000_000, 0))
	require.Equal(t, "spare-0", planned[0].Machine)
	in.Held = map[string]bool{"spare-0": true}
	planned = sizing.Plan(sizing.NewState(), clearBacklog, in, time.Unix(1_700_000_000, 0))
	require.Equal(t, "late", planned[0].From)
	delete(in.Loads, "late")
	planned = sizing.Plan(sizing.NewState(), clearBacklog, in, time.Unix(1_700_000_000, 0))
	require.Equal(t, "spare-0", planned[0].Machine, "there is no other")
}

// busyPool returns the input for pool "late", which needs all its hosts for work in time, and pool "due", which needs many more. Hosts of
// the first are idle for a moment.
func busyPool(hosts int) *sizing.Input {
	in := floodedPools(hosts)
	l := in.Loads["late"]
	l.RunningLate, l.Late, l.Backlog, l.Running = 0, 0, int64(hosts*hostCapacity), int64(hosts*hostCapacity/2)
	l.IdleHosts, l.ReleasableHosts = l.ReleasableHosts, nil
	in.Loads["late"], in.Budget = l, 3*hosts
	d := in.Loads["due"]
	d.Backlog, d.ArrivalRate = int64(10*hosts*hostCapacity), int64(10*hosts*hostCapacity)
	in.Loads["due"] = d
	return in
}

// Guards against a pool whose hosts leave all at once although its own work needs them.
func TestAPoolGivesAtMostAFifthOfTheHostsThatItNeedsAtOnce(t *testing.T) {
	for _, hosts := range []int{48, 2400} {
		in := busyPool(hosts)
		l := in.Loads["late"]
		// The flood is in time, and exceeds the usual load of the pool.
		l.Running, l.Backlog, l.ReleasableHosts, l.IdleHosts = int64(hosts*hostCapacity), int64(100*hosts*hostCapacity), l.IdleHosts, nil
		in.Loads["late"] = l
		in.Expected = map[string]sizing.Expected{"late": {Normal: 2}, "due": {Normal: 10 * hosts}}
		planned := sizing.Plan(sizing.NewState(), clearBacklog, in, time.Unix(1_700_000_000, 0))
		require.NotEmpty(t, planned)
		require.LessOrEqual(t, len(planned), hosts/5)

		l.IdleHosts, l.ReleasableHosts = l.ReleasableHosts, nil
		l.ArrivalRate, l.Running, l.Backlog = 0, 0, 0
		in.Loads["late"] = l
		planned = sizing.Plan(sizing.NewState(), clearBacklog, in, time.Unix(1_700_000_000, 0))
		require.Greater(t, len(planned), hosts/2, "it has no demand of its own")
		in.MaxLeaving = hosts / 10
		planned = sizing.Plan(sizing.NewState(), clearBacklog, in, time.Unix(1_700_000_000, 0))
		require.Len(t, planned, hosts/10)
		in.Moving = map[string]sizing.Move{planned[0].Machine: planned[0]}
		planned = sizing.Plan(sizing.NewState(), clearBacklog, in, time.Unix(1_700_000_000, 0))
		require.Len(t, planned, hosts/10-1, "one is on its way")
	}
}

// Guards against hosts that leave a pool whose load has come back, for a pool that needs them less or for standby.
func TestAMoveIsUnwantedOnceThePoolThatGivesNeedsTheHostMore(t *testing.T) {
	const hosts = 20
	in := busyPool(hosts)
	in.Moving = map[string]sizing.Move{
		"late-00": {Machine: "late-00", Host: "h-late-00", From: "late", To: "spare"}, "late-01": {Machine: "late-01", Host: "h-late-01", From: "late", To: "due"},
	}
	l := in.Loads["late"]
	l.Running, l.Backlog = 0, 0
	in.Loads["late"] = l
	require.Empty(t, sizing.Unwanted(clearBacklog, in), "it needs none of them")
	l.Running, l.Backlog, l.ArrivalRate = int64(hosts*hostCapacity), int64(hosts*hostCapacity), int64(hosts*hostCapacity)
	in.Loads["late"] = l
	require.Equal(t, []sizing.Move{in.Moving["late-00"]}, sizing.Unwanted(clearBacklog, in), "the other pool needs more hosts than it lacks")
	d := in.Loads["due"]
	d.Backlog, d.ArrivalRate, d.Running = 0, 0, 0
	in.Loads["due"] = d
	require.Len(t, sizing.Unwanted(clearBacklog, in), 2)
	l.Late = l.Backlog
	l.RunningLate, l.ArrivalRate = l.Running, 0
	in.Loads["late"] = l
	require.Empty(t, sizing.Unwanted(clearBacklog, in), "late work does not call hosts back")
}
