package sizing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/sizing"
)

// floodedPools returns the input for pool "late" with a number of hosts that are all at work on late work, of which far
// more waits, and pool "due" with one host and work in time for many.
func floodedPools(hosts int) *sizing.Input {
	in := &sizing.Input{Loads: map[string]sizing.Load{}, Machines: map[string]port.Machine{}, Standby: standby, Budget: budget}
	var busy []string
	for i := range hosts {
		id := fmt.Sprintf("late-%02d", i)
		in.Machines[id] = port.Machine{ID: id, Pool: "late", State: port.MachineUp, Host: "h-" + id}
		busy = append(busy, "h-"+id)
	}
	in.Machines["due-0"] = port.Machine{ID: "due-0", Pool: "due", State: port.MachineUp, Host: "h-due-0"}
	waiting := int64(100 * hosts * hostCapacity)
	running := int64(hosts * hostCapacity)
	in.Loads["late"] = sizing.Load{
		Hosts: hosts, HostCapacity: hostCapacity, Running: running, RunningLate: running, Backlog: waiting, Late: waiting, ReleasableHosts: busy,
	}
	in.Loads["due"] = sizing.Load{Hosts: 1, HostCapacity: hostCapacity, Running: hostCapacity, Backlog: 40 * hostCapacity, ArrivalRate: 40 * hostCapacity}
	return in
}

// planUntilSettled carries out moves until there are no more, and returns their number.
func planUntilSettled(s *sizing.State, in *sizing.Input) int {
	now, moves := time.Unix(1_700_000_000, 0), 0
	for range 100 {
		planned := sizing.Plan(s, clearBacklog, in, now)
		if len(planned) == 0 {
			return moves
		}
		for _, m := range planned {
			machine := in.Machines[m.Machine]
			machine.Pool, machine.Host = m.To, fmt.Sprintf("h-%s-%d", m.Machine, moves)
			in.Machines[m.Machine] = machine
			moves++
		}
		now = now.Add(step)
	}
	return -1
}

func hostsIn(in *sizing.Input, pool string) int {
	n := 0
	for _, m := range in.Machines {
		if m.Pool == pool {
			n++
		}
	}
	return n
}

// Guards against a pool that keeps the machines of a flood for late work, since none of its hosts is idle.
func TestHostsAtWorkOnLateWorkGoToWorkInTime(t *testing.T) {
	in := floodedPools(30)
	moves := sizing.Plan(sizing.NewState(), clearBacklog, in, time.Unix(1_700_000_000, 0))
	require.Len(t, moves, budget)
	for i, m := range moves {
		require.Equal(t, sizing.Move{Machine: fmt.Sprintf("late-%02d", i), Host: fmt.Sprintf("h-late-%02d", i), From: "late", To: "due"}, m)
	}
}

// Late work is sure of an eighth of the hosts, in equal parts for the pools, and the moves come to an end.
func TestLateWorkKeepsAShareOfTheHosts(t *testing.T) {
	in := floodedPools(32)
	require.Positive(t, planUntilSettled(sizing.NewState(), in))
	require.GreaterOrEqual(t, hostsIn(in, "late"), 33/8/2)
	require.GreaterOrEqual(t, hostsIn(in, "due"), 25)
}

// An earlier release reports no parts of its backlog. All of it then counts as work that can be in time.
func TestALoadWithoutPartsCountsAsInTime(t *testing.T) {
	in := floodedPools(30)
	l := in.Loads["late"]
	l.Late, l.RunningLate, l.ReleasableHosts = 0, 0, nil
	in.Loads["late"] = l
	require.Empty(t, sizing.Plan(sizing.NewState(), clearBacklog, in, time.Unix(1_700_000_000, 0)))
}

// Guards against hosts that swing between two pools whose needs change in turn.
func TestAHostThatWasTakenIsNotTakenBackAtOnce(t *testing.T) {
	s, in, now := sizing.NewState(), floodedPools(30), time.Unix(1_700_000_000, 0)
	require.NotEmpty(t, sizing.Plan(s, clearBacklog, in, now))
	in.Loads["late"], in.Loads["due"] = in.Loads["due"], in.Loads["late"]
	for id, m := range in.Machines {
		if m.Pool == "late" {
			m.Pool = "due"
		} else {
			m.Pool = "late"
		}
		in.Machines[id] = m
	}
	require.Empty(t, sizing.Plan(s, clearBacklog, in, now.Add(time.Second)))
	require.NotEmpty(t, sizing.Plan(s, clearBacklog, in, now.Add(3*time.Second)))
}

// What a plan has left names the pool that holds the machines.
func TestAPlanNamesThePoolThatHoldsWhatIsMissing(t *testing.T) {
	s, in, now := sizing.NewState(), floodedPools(30), time.Unix(1_700_000_000, 0)
	in.Budget = 2
	require.Len(t, sizing.Plan(s, clearBacklog, in, now), 2)
	require.Equal(t, "due", s.Shortage.Pool)
	require.Equal(t, 3, s.Shortage.Hosts)
	require.Greater(t, s.Shortage.Needed, 30)
	require.Equal(t, "late", s.Shortage.Holder)
	require.Equal(t, 28, s.Shortage.HolderHosts)
	require.Less(t, s.Shortage.HolderNeeded, 5)
	require.Equal(t, 28, s.Shortage.Releasable)
	delete(in.Loads, "due")
	sizing.Plan(s, clearBacklog, in, now)
	require.Empty(t, s.Shortage)
}
