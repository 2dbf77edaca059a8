package shard

import (
	"time"

	"carawaymux.dev/fleet/batch"
)

// selection goes through the waiting steps in the order of a ranking in a round of planning. It leaves out those
// on which the round has no effect: that fit on no host with an answer and for which no host is reserved.
type selection[R Ranking] struct {
	state   *State
	ranking R
	// age is the time since the pool was claimed.
	age time.Duration
	// hosts holds all hosts, and roomy those that have room for the least need.
	hosts, roomy candidates
	groups       []candidateGroup
	rooms        map[roomKey]*rooms
	// taken holds the steps that were returned. They are in no group until the round has ended.
	taken []*waitingStep
	// reserves reports whether hosts may be reserved.
	reserves bool
	// reserved is the number of hosts that were reserved when the tenants of which no step mattered were last looked at.
	reserved int
}

// candidateGroup is a group with the steps that come next.
type candidateGroup struct {
	*group
	tree  *needTree
	rooms *rooms
	// start is the first step that fits on a host now. next is the first one on which the round has an effect.
	start, next *waitingStep
	// mayReserve reports whether a further host may be reserved for a step.
	mayReserve bool
	// holds reports whether hosts are reserved for steps that have not waited for reserveAfter.
	holds bool
	// byTenant reports whether the group is a class whose steps go by the recent use of their tenants. nextRank is the rank
	// of the tenant of next then.
	byTenant bool
	nextRank float64
}

// roomKey is what decides which hosts have room for a step, beside its need.
type roomKey struct {
	label       string
	longRunning bool
}

// rooms holds the capacities into which steps with the same roomKey fit.
type rooms struct {
	roomKey
	// stale reports whether hosts have changed since the capacities were collected.
	stale bool
	// answered holds what is free on the hosts that admit the steps and may get a start, admitted what is free on
	// all that admit them, and free what is free on any host. whole holds what hosts that are not reserved
	// have in all, without long-running tasks.
	answered, admitted, free, whole frontier
}

// frontier holds the sizes of a set that fit into no other size of the set.
type frontier []batch.Size

func (f *frontier) add(size batch.Size) {
	if f.fits(size) {
		return
	}
	kept := (*f)[:0]
	for _, known := range *f {
		if !size.Fits(known) {
			kept = append(kept, known)
		}
	}
	*f = append(kept, size)
}

// fits reports whether a need fits into a size of the set.
func (f frontier) fits(need batch.Size) bool {
	for i := range f {
		if f[i].Fits(need) {
			return true
		}
	}
	return false
}

// newSelection returns the waiting steps that could start now. Inherited ones wait for prior hosts. The backlog has to be
// up to date.
func newSelection[R Ranking](s *State, ranking R, set hostSet, roomy candidates, prior priorHosts, now time.Time) *selection[R] {
	l := &selection[R]{
		state: s, ranking: ranking, age: now.Sub(s.backlog.origin), hosts: set.hosts, roomy: roomy, rooms: map[roomKey]*rooms{},
		reserves: set.starvedFor == 0,
	}
	ordering := orderingOf(ranking)
	groups := s.backlog.groups
	if (ordering == byRecentUse && s.HasTenants()) || s.levelOf(ordering) == classLevel {
		groups = s.backlog.classes
	}
	for _, g := range groups {
		if (g.inherited && prior.mayKnow(g.label, g.longRunning) != nil) || (set.longRunningOnly && !g.longRunning) || (set.starvedFor > 0 && (!g.starved || g.longRunning)) {
			continue
		}
		switch {
		case g.order == nil || ordering != byRecentUse:
			l.add(g, g.trees[ranking.SortKey(g.late)], false)
		case !g.longRunning:
			l.add(g, g.anyTree(), true)
		default:
			for of := range g.order.groups() {
				l.add(of, of.trees[ranking.SortKey(g.late)], false)
			}
		}
	}
	return l
}

// add adds a group or class with a tree of it. The steps of a class go in the order of the tree unless byTenant is set.
func (l *selection[R]) add(g *group, tree *needTree, byTenant bool) {
	key := roomKey{g.label, g.longRunning}
	if l.rooms[key] == nil {
		l.rooms[key] = &rooms{roomKey: key, stale: true}
	}
	l.groups = append(l.groups, candidateGroup{
		group: g, tree: tree, rooms: l.rooms[key], holds: l.state.heldHosts > 0 && g.holdsRoom(), byTenant: byTenant,
	})
}

// close has the steps that were taken put back.
func (l *selection[R]) close() {
	for _, w := range l.taken {
		if w.stage.waiting == w {
			l.state.backlog.touch(w)
		}
	}
	l.restorePassed()
}

// next takes the first step on which the round has an effect. It returns nil if no step fits on a host.
func (l *selection[R]) next() *waitingStep {
	fits := false
	for i := range l.groups {
		g := &l.groups[i]
		g.rooms.collect(l.hosts, l.roomy)
		g.mayReserve = l.reserves && (g.longRunning || g.exempt || l.state.reservations < l.state.reservationsFor(g.group.holdsRoom()))
		if g.start != nil && (!g.holdsStep(g.start) || !g.couldStart(g.start.need, g.start.need)) {
			g.start = nil
		}
		if g.start == nil {
			g.start = g.tree.find(nil, g.couldStart)
		}
		fits = fits || g.start != nil
	}
	if !fits {
		return nil
	}
	var first *waitingStep
	for i := range l.groups {
		g := &l.groups[i]
		if g.next != nil && (!g.holdsStep(g.next) || !g.couldMatter(g.next.need, g.next.need) || (g.byTenant && !g.stillNext())) {
			g.next = nil
		}
		if g.next == nil {
			g.next = g.nextOf(g.tree, g.start)
			if g.byTenant && g.next != nil {
				g.next = l.nextByTenant(g)
			}
		}
		if g.next == nil {
			continue
		}
		g.next.updateDemand(l.age)
		// A start in this round does not change the order of the round, but for the counts by size.
		g.next.demand.Begun, g.next.demand.Finish = g.begun, g.finish
		if g.starved {
			g.next.demand.Idle = max(g.next.demand.Idle, starvedAfter+1)
		}
		if first == nil || l.before(g.next, first) {
			first = g.next
		}
	}
	if first == nil {
		// The tenants of all steps for which hosts have room are at their budgets.
		return nil
	}
	l.state.backlog.leaveGroup(first)
	l.taken = append(l.taken, first)
	return first
}

// nextByTenant returns the first step of a class on which the round has an effect.
func (l *selection[R]) nextByTenant(g *candidateGroup) *waitingStep {
	if l.reserved != l.state.reserved {
		// A step that waited for the answer of a host may reserve one after that host was reserved.
		l.reserved = l.state.reserved
		l.restorePassed()
	}
	key := l.ranking.SortKey(g.late)
	w := g.order.find(g.couldMatter, func(of *group) *waitingStep {
		one := candidateGroup{group: of, rooms: g.rooms, mayReserve: g.mayReserve, holds: g.holds}
		return one.nextOf(of.trees[key], of.trees[key].find(nil, one.couldStart))
	})
	if w != nil {
		g.nextRank = w.demand.Tenant.rank
	}
	return w
}

// stillNext reports whether the next step of a class is still that.
func (g *candidateGroup) stillNext() bool {
	t := g.next.demand.Tenant
	return t.rank == g.nextRank && t.admits(g.next.need) && !g.next.group.isDenied()
}

// restorePassed has the classes find all tenants again.
func (l *selection[R]) restorePassed() {
	for i := range l.groups {
		if l.groups[i].byTenant {
			l.groups[i].order.restore()
		}
	}
}

// nextOf returns the first step of a tree on which the round has an effect; start is the first that fits on a host now.
func (g *candidateGroup) nextOf(tree *needTree, start *waitingStep) *waitingStep {
	if g.reserves || g.holds {
		return tree.find(start, g.couldReserve)
	}
	return start
}

// holdsStep reports whether a step is in the group or class.
func (g *candidateGroup) holdsStep(w *waitingStep) bool {
	return w.group != nil && (w.group == g.group || w.group.class == g.group)
}

func (l *selection[R]) before(a, b *waitingStep) bool {
	if c := l.ranking.Compare(&a.demand, &b.demand); c != 0 {
		return c < 0
	}
	return compareSteps(&a.demand, &b.demand) < 0
}

// update notes that hosts have got a task or were reserved.
func (l *selection[R]) update(roomy candidates) {
	l.roomy = roomy
	for _, r := range l.rooms {
		r.stale = true
	}
}

// admits reports whether the budget of the tenant has room for a task. That of a class may have room for any: the tenants of its
// groups are asked.
func (g *candidateGroup) admits(need batch.Size) bool {
	return g.tenant == nil || (g.tenant.admits(need) && !g.isDenied())
}

// couldStart reports whether a step could start whose need is within bounds.
func (g *candidateGroup) couldStart(low, _ batch.Size) bool {
	if !g.admits(low) {
		return false
	}
	if g.exempt {
		return g.rooms.free.fits(low)
	}
	return g.rooms.answered.fits(low)
}

// couldReserve reports whether a host could be reserved for a step whose need is within bounds. None is reserved
// for one that waits for the answer of a host with room.
func (g *candidateGroup) couldReserve(low, high batch.Size) bool {
	return g.mayReserve && g.admits(low) && g.rooms.whole.fits(low) && (g.exempt || !g.rooms.admitted.fits(high))
}

// couldMatter reports whether the round has an effect on a step with a need.
func (g *candidateGroup) couldMatter(low, high batch.Size) bool {
	return g.couldStart(low, high) || ((g.reserves || g.holds) && g.couldReserve(low, high))
}

// collect collects the capacities of the hosts.
func (r *rooms) collect(hosts, roomy candidates) {
	if !r.stale {
		return
	}
	r.stale = false
	r.answered, r.admitted, r.free, r.whole = r.answered[:0], r.admitted[:0], r.free[:0], r.whole[:0]
	for _, c := range roomy {
		if (c.reserved && !r.longRunning) || !labelAllows(c.host, r.label) {
			continue
		}
		available := c.available(r.longRunning)
		r.free.add(available)
		if !r.longRunning && (c.isolated || c.apart) {
			continue
		}
		r.admitted.add(available)
		if !c.busy {
			r.answered.add(available)
		}
	}
	for _, c := range hosts {
		if !c.reserved && labelAllows(c.host, r.label) {
			r.whole.add(c.host.Capacity.Sub(c.host.longRunningUsed))
		}
	}
}
