// Package sizing decides how many hosts each pool should have and which machines to move
// between pools. Machines move from pools that have more than they need to pools with waiting
// work, and to standby, where a machine costs nothing.
package sizing

import (
	"cmp"
	"slices"
	"time"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/clamp"
	"carawaymux.dev/fleet/port"
)

// Load is what the owner of a pool reports about its work. Capacities are in thousandths of a
// core.
type Load struct {
	// Hosts is the number of hosts that may take work, and HostCapacity the mean capacity of a
	// host.
	Hosts        int   `cbor:"1,keyasint,omitempty"`
	HostCapacity int64 `cbor:"2,keyasint,omitempty"`
	// LongRunning is the capacity that long-running tasks take, and SpreadHosts the number of hosts that they need in
	// any case: those over which they have to be spread, or that have the memory and accelerators for them.
	LongRunning int64 `cbor:"3,keyasint,omitempty"`
	SpreadHosts int   `cbor:"4,keyasint,omitempty"`
	// Running is the capacity that other tasks take now.
	Running int64 `cbor:"5,keyasint,omitempty"`
	// Backlog is the work that could start now if there were room: capacity times run time, in
	// thousandths of a core-second. FutureWork is the work of steps that are not ready yet, in
	// the same unit.
	Backlog    int64 `cbor:"6,keyasint,omitempty"`
	FutureWork int64 `cbor:"7,keyasint,omitempty"`
	// ArrivalRate is the work that arrives per second, in thousandths of a core, and Arrivals the number
	// of jobs from which it was measured.
	ArrivalRate int64 `cbor:"8,keyasint,omitempty"`
	Arrivals    int   `cbor:"11,keyasint,omitempty"`
	// Oversized is what a task takes that waits and is too large for the present capacity of every host of
	// the pool; the smallest one if there are several. It is zero if there is none.
	Oversized batch.Size `cbor:"12,keyasint,omitzero"`
	// Late is the part of Backlog that can no longer meet its objective, and Expired the part of Late that has taken
	// several times its objective, so that callers hardly wait for it any more. RunningLate is the part of Running that
	// was late when it started. Earlier releases report none of them, and all of the work then counts as work that can
	// be in time.
	Late        int64 `cbor:"13,keyasint,omitempty"`
	Expired     int64 `cbor:"14,keyasint,omitempty"`
	RunningLate int64 `cbor:"15,keyasint,omitempty"`
	// IdleHosts lists hosts on which nothing runs. MovableHosts lists hosts that only run
	// long-running tasks, which may be moved, those with the fewest tasks first.
	IdleHosts    []string `cbor:"9,keyasint,omitempty"`
	MovableHosts []string `cbor:"10,keyasint,omitempty"`
	// ReleasableHosts lists hosts whose tasks all end soon if they get no more, those that are empty first before others.
	ReleasableHosts []string `cbor:"16,keyasint,omitempty"`
}

// Policy says how many hosts a pool should have.
type Policy interface {
	// Desired is how many hosts the pool should have when there are enough machines.
	Desired(l *Load) int
	// Required is how many hosts the pool needs for the work that could run now, at most
	// Desired. Its idle hosts above this number may go to pools that need them.
	Required(l *Load) int
	// Urgent is how many hosts the pool needs for the work that can still be in time, Late how many it could use for
	// late work besides, and Expired the part of Late for work that callers hardly wait for any more.
	Urgent(l *Load) int
	Late(l *Load) int
	Expired(l *Load) int
}

// Static keeps every pool as it is. It is a baseline.
type Static struct{}

// Desired implements [Policy].
func (Static) Desired(l *Load) int { return l.Hosts }

// Required implements [Policy].
func (Static) Required(l *Load) int { return l.Hosts }

// Urgent implements [Policy].
func (Static) Urgent(l *Load) int { return l.Hosts }

// Late implements [Policy].
func (Static) Late(*Load) int { return 0 }

// Expired implements [Policy].
func (Static) Expired(*Load) int { return 0 }

// OnDemand gives a pool the hosts for the work that it has now. It is a baseline.
type OnDemand struct{}

// Desired implements [Policy].
func (OnDemand) Desired(l *Load) int {
	return hostsFor(l, clamp.Add(clamp.Add(l.LongRunning, l.Running), l.Backlog))
}

// Required implements [Policy].
func (o OnDemand) Required(l *Load) int { return o.Desired(l) }

// Urgent implements [Policy]. The baseline does not tell late work from other work.
func (o OnDemand) Urgent(l *Load) int { return o.Desired(l) }

// Late implements [Policy].
func (OnDemand) Late(*Load) int { return 0 }

// Expired implements [Policy].
func (OnDemand) Expired(*Load) int { return 0 }

// ClearBacklog gives a pool the hosts that it needs to start its backlog within a time, and a
// reserve.
type ClearBacklog struct {
	// Within is the time in which waiting work should have started; it is positive.
	Within time.Duration
	// Utilization is the share of a host's capacity that can be used in practice, above 0 and at
	// most 1.
	Utilization float64
	// Reserve is the number of hosts kept in addition to those that the work needs.
	Reserve int
}

// Desired implements [Policy].
func (c ClearBacklog) Desired(l *Load) int {
	backlog := float64(clamp.Add(l.Backlog, l.FutureWork/futureWorkDivisor)) / c.Within.Seconds()
	required := float64(l.LongRunning) + max(float64(l.Running)+backlog, float64(l.ArrivalRate))
	return c.hostsToCarry(l, required)
}

// Required implements [Policy].
func (c ClearBacklog) Required(l *Load) int {
	now := float64(l.LongRunning) + float64(l.Running) + float64(l.Backlog)/c.Within.Seconds()
	return min(max(hostsFor(l, clamp.Int[int64](now/c.Utilization)), l.SpreadHosts)+requiredReserve, c.Desired(l))
}

// Urgent implements [Policy].
func (c ClearBacklog) Urgent(l *Load) int {
	now := float64(l.Running-l.RunningLate) + float64(l.Backlog-l.Late)/c.Within.Seconds()
	urgent := clamp.Int[int64]((float64(l.LongRunning) + max(now, float64(l.ArrivalRate))) / c.Utilization)
	return min(max(hostsFor(l, urgent), l.SpreadHosts)+requiredReserve, c.Desired(l))
}

// Late implements [Policy].
func (c ClearBacklog) Late(l *Load) int {
	late := float64(l.RunningLate) + float64(l.Late)/c.Within.Seconds()
	return hostsFor(l, clamp.Int[int64](late/c.Utilization))
}

// Expired implements [Policy].
func (c ClearBacklog) Expired(l *Load) int {
	return hostsFor(l, clamp.Int[int64](float64(l.Expired)/c.Within.Seconds()/c.Utilization))
}

// HostsFor returns the number of hosts that a pool should have while work arrives at a rate, in
// thousandths of a core.
func (c ClearBacklog) HostsFor(l *Load, rate int64) int {
	return c.hostsToCarry(l, float64(clamp.Add(l.LongRunning, rate)))
}

// hostsToCarry returns the number of hosts that carry work of a capacity in thousandths of a core, with the
// reserve.
func (c ClearBacklog) hostsToCarry(l *Load, milliCores float64) int {
	return max(hostsFor(l, clamp.Int[int64](milliCores/c.Utilization)), l.SpreadHosts) + c.Reserve
}

// requiredReserve is the number of hosts that a pool keeps in addition to those that its
// present work needs.
const requiredReserve = 1

// futureWorkDivisor divides the work of steps that are not ready: a third of it counts.
const futureWorkDivisor = 3

// maxHosts bounds the number of hosts that a pool may want.
const maxHosts = 1 << 30

// hostsFor returns the number of hosts that have the given capacity together. While the capacity
// of a host is unknown, it returns the present number.
func hostsFor(l *Load, milliCores int64) int {
	if l.HostCapacity <= 0 {
		return l.Hosts
	}
	return int(min(clamp.Add(milliCores, l.HostCapacity-1)/l.HostCapacity, maxHosts))
}

// Move moves a machine into another pool.
type Move struct {
	Machine string
	// Host is the host that the machine is now; empty for a machine on standby.
	Host     string
	From, To string
}

// State is the state that lasts between rounds. A surplus must last before it causes a move.
type State struct {
	// SurplusSince is the time since which each pool has had more hosts than desired.
	SurplusSince map[string]time.Time
	// TakenAt is when a pool was last to give a host that was at work to another one. Only From and To are set in its
	// keys.
	TakenAt map[Move]time.Time
	// Shortage is the largest shortage after the last plan.
	Shortage Shortage
	// Refused holds the pairs of pools between which a machine could not be moved. Only From and
	// To are set in its keys.
	Refused map[Move]bool
}

// Shortage is a lack of hosts for work that can be in time which a plan has left.
type Shortage struct {
	// Pool is the pool that lacks hosts; empty if there is none.
	Pool string
	// Hosts is the number of hosts of the pool and on their way there, and Needed the number for the work that can be in
	// time.
	Hosts, Needed int
	// Holder is the pool with the most hosts beyond its own need for such work; if there is none, the one with the most
	// hosts. HolderHosts and HolderNeeded are its hosts and its need.
	Holder                    string
	HolderHosts, HolderNeeded int
	// Releasable is the number of hosts that the holder could still give.
	Releasable int
}

// NewState builds an empty state.
func NewState() *State {
	return &State{SurplusSince: map[string]time.Time{}, TakenAt: map[Move]time.Time{}, Refused: map[Move]bool{}}
}

// Refuse records that a move between two pools is not possible.
func (s *State) Refuse(m Move) { s.Refused[Move{From: m.From, To: m.To}] = true }

// Expected is the number of hosts that a pool may need soon, in addition to its present need.
type Expected struct {
	// Fill is the number of hosts to move to the pool ahead of the need. Keep is the number up to which
	// the pool keeps the hosts that it has, as long as no other pool needs them now.
	Fill, Keep int
	// Normal is the number of hosts that the pool needs at the height of its usual load, or 0 if that is not known.
	Normal int
	// Probability is how likely the need is, from 0 to 1.
	Probability float64
}

// Input holds the observations that a round of planning uses.
type Input struct {
	// Loads holds the load of each pool whose owner has answered.
	Loads map[string]Load
	// Machines holds the machines as the platform lists them.
	Machines map[string]port.Machine
	// Standby names the pools whose machines are switched off.
	Standby map[string]bool
	// Moving holds the moves in progress, by machine.
	Moving map[string]Move
	// Emptying holds machines that are being emptied for maintenance and must not be moved.
	// Held holds machines that cannot be moved immediately. They are taken from standby last, and not from pools at work.
	Emptying, Held map[string]bool
	// MaintenanceDue holds machines that are due for maintenance, which costs least while they
	// are on standby.
	MaintenanceDue map[string]bool
	// Expected holds, by pool, what the forecast of its demand asks for.
	Expected map[string]Expected
	// Budget is the number of moves that may begin now. It is not negative.
	Budget int
	// MaxLeaving is the number of hosts that may be leaving their pools for moves at once. 0 means no limit.
	MaxLeaving int
}

// surplusDelay is how long a pool must have more hosts than desired before it gives a machine to
// standby. A move to standby and back takes about as long.
const surplusDelay = 1500 * time.Millisecond

// reserveProbability is the probability of a forecast load above which other pools get none of the hosts for it: by the
// time that a host arrives there, it is more likely needed where it was.
const reserveProbability = 0.5

// pool is the state of a pool in a round of planning.
type pool struct {
	name string
	load Load
	// current counts machines in service and machines on their way to the pool. desired is the number
	// for the present load, and expected the number for the load that is forecast, at least desired.
	current, desired, expected int
	// probability is how likely the forecast load is.
	probability float64
	// reserved is the number of hosts for the forecast load if that is likely to come before a host that moves now
	// arrives elsewhere, and 0 otherwise.
	reserved int
	// required is the part of desired for work that could run now.
	required int
	// normal is the number of hosts for the usual load that can still be in time, ahead that for such a load that is
	// forecast as well, urgent that for all work that can be in time, and useful that for late work that is still of use
	// as well. The first three contain the hosts of which late work is sure, and are in ascending order.
	normal, ahead, urgent, useful int
	// flooded reports whether the pool has so much work that is late, or will be whatever it gets, that its hosts do not
	// become idle soon.
	flooded bool
	// removable lists the machines that may leave, the cheapest to move first. idle is the
	// number of those on which nothing runs.
	removable []port.Machine
	idle      int
	// releasable lists the machines that can leave soon once they get no more work.
	releasable []port.Machine
}

// Plan decides which moves to begin now.
func Plan[P Policy](s *State, policy P, in *Input, now time.Time) []Move {
	pools, standby := surveyPools(policy, in)
	var out []Move
	setShares(pools, in, policy)
	limit := newMoveLimit(pools, in)
	add := func(m Move) bool {
		if s.Refused[Move{From: m.From, To: m.To}] || !limit.take(&m) {
			return false
		}
		out = append(out, m)
		return true
	}
	// The pool that lacks the most hosts is served first.
	slices.SortFunc(pools, func(a, b *pool) int {
		return cmp.Or(cmp.Compare(b.desired-b.current, a.desired-a.current), cmp.Compare(a.name, b.name))
	})
	for _, p := range pools {
		// A host that is on its way may be the one that can hold the work.
		if p.load.Oversized != (batch.Size{}) && p.current <= p.load.Hosts && s.fillOversized(p, pools, &standby, add) {
			p.current++
			p.expected = max(p.expected, p.current)
		}
	}
	for _, p := range pools {
		for p.current < p.normal && s.fillPool(p, pools, &standby, add) {
			p.current++
		}
	}
	for _, p := range pools {
		for p.current < min(p.urgent, p.desired) && s.fillAhead(p, pools, &standby, add) {
			p.current++
		}
	}
	s.reclaim(pools, now, add)
	for _, p := range pools {
		for p.current < p.useful && s.fillLate(p, pools, &standby, add) {
			p.current++
		}
	}
	for _, p := range pools {
		for p.current < p.desired && s.fillLate(p, pools, &standby, add) {
			p.current++
		}
	}
	for _, p := range pools {
		for p.current < p.expected && s.fillAhead(p, pools, &standby, add) {
			p.current++
		}
	}
	s.Shortage = findShortage(pools)
	out = append(out, s.parkSurplus(pools, in, now, limit)...)
	return out
}

// surveyPools determines the current, desired and required hosts of each pool, and the machines
// that may be moved.
func surveyPools[P Policy](policy P, in *Input) (pools []*pool, standby standbyMachines) {
	standby.held = in.Held
	byName := map[string]*pool{}
	for name, l := range in.Loads {
		if in.Standby[name] {
			continue
		}
		p := &pool{name: name, load: l, desired: policy.Desired(&l), required: policy.Required(&l)}
		byName[name] = p
		pools = append(pools, p)
	}
	byHost := map[string]port.Machine{}
	for id, m := range in.Machines {
		if move, moving := in.Moving[id]; moving {
			if p := byName[move.To]; p != nil {
				p.current++
			}
			continue
		}
		p := byName[m.Pool]
		switch {
		case m.State == port.MachineMoving || m.State == port.MachineMaintenance:
			// A moving machine will soon be available.
			if p != nil && m.State == port.MachineMoving {
				p.current++
			}
		case m.State != port.MachineUp:
		case in.Standby[m.Pool]:
			if !in.Emptying[id] {
				standby.machines = append(standby.machines, m)
			}
		case p != nil && !in.Emptying[id]:
			// A machine that is being emptied does not count, since its work needs room
			// elsewhere.
			p.current++
			byHost[m.Host] = m
		}
	}
	for _, p := range pools {
		expected := in.Expected[p.name]
		p.expected = max(p.desired, expected.Fill, min(p.current, expected.Keep))
		p.probability = expected.Probability
		if p.probability > reserveProbability {
			p.reserved = expected.Fill
		}
		for i, hosts := range [][]string{p.load.IdleHosts, p.load.MovableHosts} {
			var due, others []port.Machine
			for _, h := range hosts {
				switch m, ok := byHost[h]; {
				case !ok || m.Pool != p.name || in.Held[m.ID]:
					// The host of a held machine would take no work until its order can be sent.
				case in.MaintenanceDue[m.ID]:
					due = append(due, m)
				default:
					others = append(others, m)
				}
			}
			if i == 0 {
				p.idle = len(due) + len(others)
			}
			p.removable = slices.Concat(p.removable, due, others)
		}
		for _, h := range p.load.ReleasableHosts {
			if m, ok := byHost[h]; ok && m.Pool == p.name && !in.Held[m.ID] {
				p.releasable = append(p.releasable, m)
			}
		}
	}
	slices.SortFunc(standby.machines, func(a, b port.Machine) int {
		return cmp.Or(cmp.Compare(standbyRank(in, a), standbyRank(in, b)), cmp.Compare(a.ID, b.ID))
	})
	return pools, standby
}

// standbyRank returns a rank that is lower for machines on standby that should go into service
// first.
func standbyRank(in *Input, m port.Machine) int {
	switch {
	case in.Held[m.ID]:
		return 2
	case in.MaintenanceDue[m.ID]:
		return 1
	}
	return 0
}

// parkSurplus moves machines to standby from pools that have had a surplus for surplusDelay.
func (s *State) parkSurplus(pools []*pool, in *Input, now time.Time, limit *moveLimit) []Move {
	to := ""
	for name, standby := range in.Standby {
		if standby && (to == "" || name < to) {
			to = name
		}
	}
	if to == "" {
		return nil
	}
	var out []Move
	for _, p := range pools {
		if p.current <= p.expected {
			delete(s.SurplusSince, p.name)
			continue
		}
		since, ok := s.SurplusSince[p.name]
		if !ok {
			s.SurplusSince[p.name] = now
			continue
		}
		if now.Sub(since) < surplusDelay || s.Refused[Move{From: p.name, To: to}] {
			continue
		}
		for p.current > p.expected && len(p.removable) > 0 {
			m := Move{Machine: p.removable[0].ID, Host: p.removable[0].Host, From: p.name, To: to}
			if !limit.take(&m) {
				break
			}
			p.removable = p.removable[1:]
			p.current--
			out = append(out, m)
		}
	}
	return out
}
