package sizing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/demand"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/sizing"
)

const (
	hostCapacity = 16_000
	step         = 250 * time.Millisecond
	moveTime     = 1500 * time.Millisecond
	// budget is the number of moves that may begin in one round.
	budget = 16
)

var standby = map[string]bool{"spare": true}

// simulation models pools, a load and moves without a network. Work is a flow in thousandths of
// a core-second; work that is not done waits.
type simulation struct {
	machines map[string]port.Machine
	arrivals map[string]time.Time
	pending  map[string]float64
	demand   func(pool string, at time.Duration) float64
}

// result is the backlog and the cost of a simulation.
type result struct {
	// MeanBacklog is the mean of the work that waited, in core-seconds, MaxBacklog its maximum,
	// and Hosts the mean number of hosts in service.
	MeanBacklog, MaxBacklog, Hosts float64
	Moves                          int
}

func newSimulation(demand func(string, time.Duration) float64) *simulation {
	s := &simulation{machines: map[string]port.Machine{}, arrivals: map[string]time.Time{}, pending: map[string]float64{}, demand: demand}
	for pool, n := range map[string]int{"a": 8, "b": 9, "c": 11, "d": 12, "spare": 8} {
		for i := range n {
			id := fmt.Sprintf("%s-%d", pool, i)
			s.machines[id] = port.Machine{ID: id, Pool: pool, State: port.MachineUp, Host: "h-" + id}
		}
	}
	return s
}

func (s *simulation) load(pool string, arrivalRate float64) sizing.Load {
	l := sizing.Load{HostCapacity: hostCapacity, SpreadHosts: 3, ArrivalRate: int64(arrivalRate)}
	var hosts []string
	for _, m := range s.machines {
		if m.Pool == pool && m.State == port.MachineUp {
			l.Hosts++
			hosts = append(hosts, m.Host)
		}
	}
	capacity := float64(l.Hosts * hostCapacity)
	l.Running = int64(min(capacity, s.pending[pool]/step.Seconds()))
	l.Backlog = int64(max(s.pending[pool]-capacity*step.Seconds(), 0))
	busy := int(l.Running+hostCapacity-1) / hostCapacity
	l.IdleHosts = hosts[min(busy, len(hosts)):]
	return l
}

func simulate[P sizing.Policy](policy P, demand func(string, time.Duration) float64, length time.Duration) result {
	s := newSimulation(demand)
	state := sizing.NewState()
	var r result
	now := time.Unix(1_700_000_000, 0)
	rounds := 0
	for at := time.Duration(0); at < length; at += step {
		now = now.Add(step)
		rounds++
		in := &sizing.Input{Loads: map[string]sizing.Load{}, Machines: s.machines, Standby: standby, Budget: budget}
		for id, arrival := range s.arrivals {
			if !now.Before(arrival) {
				m := s.machines[id]
				m.State = port.MachineUp
				s.machines[id] = m
				delete(s.arrivals, id)
			}
		}
		backlog := 0.0
		for _, pool := range []string{"a", "b", "c", "d"} {
			flow := demand(pool, at)
			s.pending[pool] += flow * step.Seconds()
			l := s.load(pool, flow)
			in.Loads[pool] = l
			s.pending[pool] -= float64(l.Running) * step.Seconds()
			backlog += float64(l.Backlog) / 1000
			r.Hosts += float64(l.Hosts)
		}
		r.MeanBacklog += backlog
		r.MaxBacklog = max(r.MaxBacklog, backlog)
		for _, m := range sizing.Plan(state, policy, in, now) {
			machine := s.machines[m.Machine]
			machine.Pool, machine.State = m.To, port.MachineMoving
			s.machines[m.Machine] = machine
			s.arrivals[m.Machine] = now.Add(moveTime)
			r.Moves++
		}
	}
	r.MeanBacklog /= float64(rounds)
	r.Hosts /= float64(rounds)
	return r
}

var clearBacklog = sizing.ClearBacklog{Within: 1200 * time.Millisecond, Utilization: 0.85, Reserve: 1}

// rotatingDemand lets each pool in turn ask for more than it holds, while the others ask for
// little.
func rotatingDemand(period time.Duration) func(string, time.Duration) float64 {
	return func(pool string, at time.Duration) float64 {
		if int(at/period)%4 == int(pool[0]-'a') {
			return 200_000
		}
		return 3_000
	}
}

func TestRotatingLoadNeedsFewerHosts(t *testing.T) {
	for _, period := range []time.Duration{4500 * time.Millisecond, 7 * time.Second, 20 * time.Second} {
		static := simulate(sizing.Static{}, rotatingDemand(period), 2*time.Minute)
		sized := simulate(clearBacklog, rotatingDemand(period), 2*time.Minute)
		require.Less(t, sized.MeanBacklog, static.MeanBacklog, "period %v", period)
		require.Less(t, sized.Hosts, static.Hosts, "period %v", period)
	}
}

func TestSteadyLoadCausesNoMovesAfterStart(t *testing.T) {
	steady := func(string, time.Duration) float64 { return 60_000 }
	short, long := simulate(clearBacklog, steady, 20*time.Second), simulate(clearBacklog, steady, 5*time.Minute)
	require.Equal(t, short.Moves, long.Moves)
	require.Less(t, long.MaxBacklog, 200.0)
}

func TestPermanentShiftMovesHostsOnce(t *testing.T) {
	shift := func(pool string, at time.Duration) float64 {
		if (pool == "a") == (at > 30*time.Second) {
			return 180_000
		}
		return 5_000
	}
	early, late := simulate(clearBacklog, shift, time.Minute), simulate(clearBacklog, shift, 5*time.Minute)
	require.Equal(t, early.Moves, late.Moves)
	require.Less(t, late.MeanBacklog, simulate(sizing.Static{}, shift, 5*time.Minute).MeanBacklog)
}

func TestOverloadTakesNoRequiredHosts(t *testing.T) {
	overload := func(pool string, _ time.Duration) float64 {
		if pool == "a" {
			return 2_000_000
		}
		return 100_000
	}
	s := newSimulation(overload)
	state := sizing.NewState()
	now := time.Unix(1_700_000_000, 0)
	in := &sizing.Input{Loads: map[string]sizing.Load{}, Machines: s.machines, Standby: standby, Budget: budget}
	for _, pool := range []string{"a", "b", "c", "d"} {
		s.pending[pool] = overload(pool, 0)
		in.Loads[pool] = s.load(pool, overload(pool, 0))
	}
	for _, m := range sizing.Plan(state, clearBacklog, in, now) {
		require.Equal(t, "spare", m.From)
	}
}

func TestFewerMovesThanOnDemand(t *testing.T) {
	noisy := func(pool string, at time.Duration) float64 {
		// Short gaps in a steady load are no reason to remove hosts.
		if int(at/step)%4 == 0 {
			return 20_000
		}
		return 90_000
	}
	require.LessOrEqual(t, simulate(clearBacklog, noisy, time.Minute).Moves, simulate(sizing.OnDemand{}, noisy, time.Minute).Moves)
}

func TestEmptyingOrRefusedMachinesStay(t *testing.T) {
	s := newSimulation(rotatingDemand(time.Second))
	in := &sizing.Input{
		Loads:    map[string]sizing.Load{"a": {Hosts: 1, HostCapacity: hostCapacity, Backlog: 100_000}},
		Machines: map[string]port.Machine{"spare-0": s.machines["spare-0"]},
		Standby:  standby, Budget: budget, Emptying: map[string]bool{"spare-0": true},
	}
	now := time.Unix(1_700_000_000, 0)
	state := sizing.NewState()
	require.Empty(t, sizing.Plan(state, clearBacklog, in, now))
	in.Emptying = nil
	planned := sizing.Plan(state, clearBacklog, in, now)
	require.Len(t, planned, 1)
	state.Refuse(planned[0])
	require.Empty(t, sizing.Plan(state, clearBacklog, in, now))
}

func TestStandbyMovesFreeMachinesFirstAndHeldMachinesLast(t *testing.T) {
	machines := map[string]port.Machine{}
	for _, id := range []string{"m-1", "m-2", "m-3"} {
		machines[id] = port.Machine{ID: id, Pool: "spare", State: port.MachineUp}
	}
	in := &sizing.Input{
		Loads:    map[string]sizing.Load{"a": {HostCapacity: hostCapacity, Running: hostCapacity}},
		Machines: machines, Standby: standby, Budget: budget,
		Held: map[string]bool{"m-1": true}, MaintenanceDue: map[string]bool{"m-2": true},
	}
	var order []string
	for _, m := range sizing.Plan(sizing.NewState(), clearBacklog, in, time.Unix(1_700_000_000, 0)) {
		order = append(order, m.Machine)
	}
	require.Equal(t, []string{"m-3", "m-2", "m-1"}, order)
}

func TestMachinesDueForMaintenanceGoToStandbyFirst(t *testing.T) {
	machines := map[string]port.Machine{}
	for _, id := range []string{"m-1", "m-2", "m-3"} {
		machines[id] = port.Machine{ID: id, Pool: "a", State: port.MachineUp, Host: "h-" + id}
	}
	in := &sizing.Input{
		Loads:    map[string]sizing.Load{"a": {Hosts: 3, HostCapacity: hostCapacity, Running: hostCapacity / 2, IdleHosts: []string{"h-m-1", "h-m-2", "h-m-3"}}},
		Machines: machines, Standby: standby, Budget: budget, MaintenanceDue: map[string]bool{"m-2": true},
	}
	state, now := sizing.NewState(), time.Unix(1_700_000_000, 0)
	require.Empty(t, sizing.Plan(state, clearBacklog, in, now))
	parked := sizing.Plan(state, clearBacklog, in, now.Add(2*time.Second))
	require.Len(t, parked, 1)
	require.Equal(t, "m-2", parked[0].Machine)
}

// Guards against a pool that holds ten idle hosts for future steps while the work of another
// pool waits and no machine is on standby.
func TestBacklogTakesPriorityOverExpectedWork(t *testing.T) {
	machines := map[string]port.Machine{}
	var idle []string
	for i := range 8 {
		id := fmt.Sprintf("a-%d", i)
		machines[id] = port.Machine{ID: id, Pool: "a", State: port.MachineUp, Host: "h-" + id}
		idle = append(idle, "h-"+id)
	}
	machines["b-0"] = port.Machine{ID: "b-0", Pool: "b", State: port.MachineUp, Host: "h-b-0"}
	in := &sizing.Input{
		Loads: map[string]sizing.Load{
			"a": {Hosts: 8, HostCapacity: hostCapacity, Running: 2 * hostCapacity, ArrivalRate: 12 * hostCapacity, IdleHosts: idle[3:]},
			"b": {Hosts: 1, HostCapacity: hostCapacity, Running: hostCapacity, Backlog: 2 * hostCapacity},
		},
		Machines: machines, Standby: standby, Budget: budget,
	}
	planned := sizing.Plan(sizing.NewState(), clearBacklog, in, time.Unix(1_700_000_000, 0))
	require.NotEmpty(t, planned)
	for _, m := range planned {
		require.Equal(t, "b", m.To)
		require.Contains(t, idle[3:], m.Host)
	}
	// The pool keeps what its own work needs. Expected work alone moves nothing.
	require.LessOrEqual(t, len(planned), 4)
	in.Loads["b"] = sizing.Load{Hosts: 1, HostCapacity: hostCapacity, Running: hostCapacity / 4, ArrivalRate: 8 * hostCapacity}
	require.Empty(t, sizing.Plan(sizing.NewState(), clearBacklog, in, time.Unix(1_700_000_000, 0)))
}

// Guards against a pool whose turn is about to begin and that gives the hosts for it to a pool whose turn is about to end.
func TestHostsForATurnThatIsAboutToBeginStay(t *testing.T) {
	for _, probability := range []float64{0.45, 0.8} {
		in := &sizing.Input{Loads: map[string]sizing.Load{}, Machines: map[string]port.Machine{}, Standby: standby, Budget: budget}
		next := sizing.Load{Hosts: 8, HostCapacity: hostCapacity}
		for i := range 8 {
			id := fmt.Sprintf("next-%d", i)
			in.Machines[id] = port.Machine{ID: id, Pool: "next", State: port.MachineUp, Host: "h-" + id}
			next.IdleHosts = append(next.IdleHosts, "h-"+id)
		}
		in.Machines["last-0"] = port.Machine{ID: "last-0", Pool: "last", State: port.MachineUp, Host: "h-last-0"}
		in.Loads["next"] = next
		in.Loads["last"] = sizing.Load{Hosts: 1, HostCapacity: hostCapacity, Running: hostCapacity, Backlog: 4 * hostCapacity, ArrivalRate: 4 * hostCapacity}
		in.Expected = map[string]sizing.Expected{"next": {Fill: 6, Keep: 6, Probability: probability}}
		planned := sizing.Plan(sizing.NewState(), clearBacklog, in, time.Unix(1_700_000_000, 0))
		if probability > 0.5 {
			require.Len(t, planned, 2, "those beyond the hosts for the turn")
		} else {
			require.Greater(t, len(planned), 2, "work that waits goes before a load that is unlikely")
		}
	}
}

// begun expects a turn that has begun.
type begun struct{}

func (begun) Expect(*demand.History, string, time.Time, time.Duration) demand.Expectation {
	return demand.Expectation{Probability: 1, Hosts: 7, Begun: true}
}

// Guards against machines that go to a pool whose turn has begun for a load that it does not have, while others need them.
func TestAPoolWhoseTurnHasBegunKeepsHostsAndGetsNoMoreAhead(t *testing.T) {
	f := &sizing.Forecast[begun]{Sizer: clearBacklog, History: demand.NewHistory()}
	e := f.Expected(map[string]sizing.Load{"a": {Hosts: 9, HostCapacity: hostCapacity}}, time.Unix(1_700_000_000, 0), time.Second)
	require.Equal(t, sizing.Expected{Keep: 7, Probability: 1}, e["a"])
}

// shrunkPool returns the input for pool "a" with four hosts, pool "b" with as many that are idle, and two
// machines on standby, and a load of pool "a".
func shrunkPool(l sizing.Load) *sizing.Input {
	in := &sizing.Input{Loads: map[string]sizing.Load{}, Machines: map[string]port.Machine{}, Standby: standby, Budget: budget}
	other := sizing.Load{HostCapacity: hostCapacity, Hosts: 4}
	for _, pool := range []string{"a", "b"} {
		for i := range 4 {
			id := fmt.Sprintf("%s-%d", pool, i)
			in.Machines[id] = port.Machine{ID: id, Pool: pool, State: port.MachineUp, Host: "h-" + id, Capacity: batch.Size{MilliCores: hostCapacity}}
			if pool == "b" {
				other.IdleHosts = append(other.IdleHosts, "h-"+id)
			}
		}
	}
	for i, milliCores := range []int64{2000, hostCapacity} {
		id := fmt.Sprintf("spare-%d", i)
		in.Machines[id] = port.Machine{ID: id, Pool: "spare", State: port.MachineUp, Capacity: batch.Size{MilliCores: milliCores}}
	}
	l.Hosts = 4
	in.Loads["a"], in.Loads["b"] = l, other
	return in
}

// Guards against work that waits for ever because it fits no host of its pool any more.
func TestPoolGetsOneMoreHostForWorkTooLargeForItsHosts(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	l := sizing.Load{HostCapacity: 2000, Backlog: 3000, Oversized: batch.Size{MilliCores: 3000}}
	in := shrunkPool(l)
	moves := sizing.Plan(sizing.NewState(), clearBacklog, in, now)
	require.Equal(t, []sizing.Move{{Machine: "spare-1", From: "spare", To: "a"}}, moves)
	in.Moving = map[string]sizing.Move{moves[0].Machine: moves[0]}
	require.Empty(t, sizing.Plan(sizing.NewState(), clearBacklog, in, now), "a host is on its way")
	in = shrunkPool(l)
	delete(in.Machines, "spare-1")
	moves = sizing.Plan(sizing.NewState(), clearBacklog, in, now)
	require.Len(t, moves, 1, "another pool has more hosts than it needs")
	require.Equal(t, "b", moves[0].From)
	l.Oversized.MilliCores = 2 * hostCapacity
	require.Empty(t, sizing.Plan(sizing.NewState(), clearBacklog, shrunkPool(l), now), "no machine can hold it")
}

func TestPoolWhoseHostsHaveShrunkGetsMoreHosts(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	l := sizing.Load{HostCapacity: hostCapacity, ArrivalRate: 2 * hostCapacity}
	require.Empty(t, sizing.Plan(sizing.NewState(), clearBacklog, shrunkPool(l), now))
	l.HostCapacity /= 2
	require.Len(t, sizing.Plan(sizing.NewState(), clearBacklog, shrunkPool(l), now), 2)
}
