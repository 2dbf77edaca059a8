package sizing

import (
	"cmp"
	"slices"

	"carawaymux.dev/fleet/port"
)

// standbyMachines are the machines on standby that may go into service, those that should go first before others.
type standbyMachines struct {
	machines []port.Machine
	// held holds the machines that cannot be moved immediately.
	held map[string]bool
}

// take moves a machine to p that is held or is not.
func (s *standbyMachines) take(p *pool, held bool, add func(Move) bool) bool {
	for i, m := range s.machines {
		if s.held[m.ID] == held && add(Move{Machine: m.ID, From: m.Pool, To: p.name}) {
			s.machines = slices.Delete(s.machines, i, i+1)
			return true
		}
	}
	return false
}

// fillAhead finds a machine for the expected load of a pool: one on standby, one that another pool is not expected to need, or one on
// standby that is held.
func (s *State) fillAhead(p *pool, pools []*pool, standby *standbyMachines, add func(Move) bool) bool {
	if standby.take(p, false, add) {
		return true
	}
	for _, q := range slices.Backward(pools) {
		if q.current > q.expected && s.takeFrom(p, q, add) {
			return true
		}
	}
	return standby.take(p, true, add)
}

// fillPool finds a machine for the present load of a pool: one that fillAhead finds, or one that
// another pool keeps for a load that is less certain.
func (s *State) fillPool(p *pool, pools []*pool, standby *standbyMachines, add func(Move) bool) bool {
	if s.fillAhead(p, pools, standby, add) {
		return true
	}
	// The pool whose load is the least likely gives first, and of equal ones the pool that keeps the most.
	keepers := slices.SortedFunc(slices.Values(pools), func(a, b *pool) int {
		return cmp.Or(cmp.Compare(a.probability, b.probability), cmp.Compare(b.current-b.desired, a.current-a.desired))
	})
	for _, q := range keepers {
		if q.current > max(q.desired, q.reserved) && q.idle > 0 && s.takeFrom(p, q, add) {
			return true
		}
	}
	// Work that waits now takes precedence over work that another pool expects.
	for _, q := range slices.Backward(pools) {
		if p.load.Backlog > 0 && p.current < p.required && q.current > max(q.required, q.reserved) && q.idle > 0 && s.takeFrom(p, q, add) {
			return true
		}
	}
	return false
}

// fillLate finds a machine for the part of the present load that is late: one that fillAhead finds, or, as long as
// nothing of the load is late, one that fillPool finds.
func (s *State) fillLate(p *pool, pools []*pool, standby *standbyMachines, add func(Move) bool) bool {
	if p.load.Late > 0 {
		return s.fillAhead(p, pools, standby, add)
	}
	return s.fillPool(p, pools, standby, add)
}

// fillOversized finds a machine that can hold the work that is too large for all hosts of a pool: one on
// standby, or one that another pool is not expected to need.
func (s *State) fillOversized(p *pool, pools []*pool, standby *standbyMachines, add func(Move) bool) bool {
	for i, m := range standby.machines {
		if m.Capacity.Fits(p.load.Oversized) && add(Move{Machine: m.ID, From: m.Pool, To: p.name}) {
			standby.machines = slices.Delete(standby.machines, i, i+1)
			return true
		}
	}
	for _, q := range slices.Backward(pools) {
		if q == p || q.current <= q.expected {
			continue
		}
		for i, m := range q.removable {
			if m.Capacity.Fits(p.load.Oversized) && add(Move{Machine: m.ID, Host: m.Host, From: q.name, To: p.name}) {
				q.removable = slices.Delete(q.removable, i, i+1)
				q.current--
				if i < q.idle {
					q.idle--
				}
				return true
			}
		}
	}
	return false
}

// takeFrom moves the machine of q that is cheapest to move to p. It returns false when q has none
// that may be moved.
func (s *State) takeFrom(p, q *pool, add func(Move) bool) bool {
	if q == p || len(q.removable) == 0 {
		return false
	}
	m := q.removable[0]
	if !add(Move{Machine: m.ID, Host: m.Host, From: q.name, To: p.name}) {
		return false
	}
	q.removable = q.removable[1:]
	q.current--
	q.idle--
	return true
}
