package sizing

import (
	"cmp"
	"slices"
	"time"
)

const (
	// lateShare is the share of all hosts of which late work is sure, in equal parts for all pools. Callers of late work
	// get little for it, and those of a pool that has only such work must not wait for the end of the load of others.
	lateShare = 0.125
	// returnDelay is how long a pool that has taken a host at work from another one has precedence over it: an
	// exchange costs both the time of a move.
	returnDelay = 2 * time.Second
	// floodFactor is how many times its hosts the late work of a flooded pool could use.
	floodFactor = 2
	// levelMargin is the number of hosts by which a pool has to have more than another one to give hosts that both of
	// them need for unusual loads.
	levelMargin = 2
)

func normalNeed(p *pool) int { return p.normal }
func aheadNeed(p *pool) int  { return p.ahead }
func urgentNeed(p *pool) int { return p.urgent }

// setShares determines for which part of its load each pool needs its hosts.
func setShares[P Policy](pools []*pool, in *Input, policy P) {
	hosts := len(in.Machines)
	sure := 0
	if len(pools) > 0 {
		sure = max(int(lateShare*float64(hosts)/float64(len(pools))), 1)
	}
	for _, p := range pools {
		urgent, usual := policy.Urgent(&p.load), in.Expected[p.name].Normal
		p.normal = urgent
		if usual > 0 {
			p.normal = min(urgent, usual)
		}
		late := policy.Late(&p.load)
		p.flooded = urgent > hosts || late > floodFactor*p.current
		p.useful = p.desired - policy.Expired(&p.load)
		late = min(sure, late)
		p.normal, p.urgent = p.normal+late, urgent+late
		p.ahead = max(min(in.Expected[p.name].Fill, usual), p.normal)
		p.urgent = max(p.urgent, p.ahead)
	}
}

// reclaim moves hosts of flooded pools that are at work to pools that need them more. Work that can be in time goes before late work, and
// of the former, usual loads, also those that are about to come, go before what exceeds them. That shares the hosts
// out evenly, so that its smallest needs are met whole. Other pools have idle hosts soon when their load falls.
func (s *State) reclaim(pools []*pool, now time.Time, add func(Move) bool) {
	for _, need := range []func(*pool) int{normalNeed, aheadNeed} {
		s.reclaimFor(pools, now, add, need, func(_, q *pool) int { return q.current - need(q) })
	}
	s.reclaimFor(pools, now, add, urgentNeed, func(p, q *pool) int {
		return max(q.current-q.urgent, min(q.current-q.ahead, q.current-p.current-levelMargin))
	})
}

// reclaimFor moves hosts to pools that lack some for a need, from pools with spare ones.
func (s *State) reclaimFor(pools []*pool, now time.Time, add func(Move) bool, need func(*pool) int, spare func(p, q *pool) int) {
	for p := leastProvided(pools, need); p != nil; p = leastProvided(pools, need) {
		if !s.release(p, pools, now, add, func(q *pool) int { return spare(p, q) }) {
			return
		}
	}
}

// leastProvided returns the pool with the fewest hosts of those that have less than they need, or nil if there is none.
func leastProvided(pools []*pool, need func(*pool) int) *pool {
	var least *pool
	for _, p := range pools {
		if p.current < need(p) && (least == nil || p.current < least.current) {
			least = p
		}
	}
	return least
}

// release moves a host to p from a flooded pool that needs it less. It prefers pools that use their spare hosts for late work.
func (s *State) release(p *pool, pools []*pool, now time.Time, add func(Move) bool, spare func(*pool) int) bool {
	donors := slices.DeleteFunc(slices.Clone(pools), func(q *pool) bool {
		return q == p || !q.flooded || spare(q) <= 0 || now.Sub(s.TakenAt[Move{From: p.name, To: q.name}]) < returnDelay
	})
	slices.SortStableFunc(donors, func(a, b *pool) int {
		return cmp.Or(cmp.Compare(max(b.current-b.urgent, 0), max(a.current-a.urgent, 0)), cmp.Compare(spare(b), spare(a)))
	})
	for _, q := range donors {
		if s.takeFrom(p, q, add) || s.takeBusy(p, q, add) {
			s.TakenAt[Move{From: q.name, To: p.name}] = now
			p.current++
			return true
		}
	}
	return false
}

// takeBusy moves the host of q to p that can leave soonest.
func (s *State) takeBusy(p, q *pool, add func(Move) bool) bool {
	if len(q.releasable) == 0 {
		return false
	}
	m := q.releasable[0]
	if !add(Move{Machine: m.ID, Host: m.Host, From: q.name, To: p.name}) {
		return false
	}
	q.releasable = q.releasable[1:]
	q.current--
	return true
}

// findShortage returns the largest shortage of hosts for work that can be in time.
func findShortage(pools []*pool) Shortage {
	var short *pool
	for _, p := range pools {
		if lack := p.urgent - p.current; lack > 0 && (short == nil || lack > short.urgent-short.current) {
			short = p
		}
	}
	if short == nil {
		return Shortage{}
	}
	out := Shortage{Pool: short.name, Hosts: short.current, Needed: short.urgent}
	var holder *pool
	for _, q := range pools {
		if q != short && (holder == nil || cmp.Or(cmp.Compare(max(q.current-q.urgent, 0), max(holder.current-holder.urgent, 0)), cmp.Compare(q.current, holder.current)) > 0) {
			holder = q
		}
	}
	if holder != nil {
		out.Holder, out.HolderHosts, out.HolderNeeded = holder.name, holder.current, holder.urgent
		out.Releasable = len(holder.removable) + len(holder.releasable)
	}
	return out
}
