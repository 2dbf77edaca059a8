package shard

import (
	"iter"

	"carawaymux.dev/fleet/batch"
)

// joinClass adds a group to its class.
func (b *backlog) joinClass(g *group) {
	key := g.groupKey
	key.tenant = nil
	class := b.classes[key]
	if class == nil {
		class = b.newGroup(key, classLevel)
		class.order = &tenantOrder{key: tenantSortKey(key.late)}
		b.classes[key] = class
	}
	g.class = class
	g.tenant.groups = append(g.tenant.groups, g)
	class.order.add(g)
}

// tenantOrder finds the first step of a class, by the use of its tenant and then by the sort key of the tenants' groups, among
// those with needs that meet a condition. It is a binary tree whose leaves are the groups. The time that a search takes depends on the groups that it looks at.
type tenantOrder struct {
	// key is the sort key.
	key SortKey
	// nodes holds the root in 1 and the children of i in 2i and 2i+1. The second half holds the leaves.
	nodes []orderNode
	// free holds the leaves without a group.
	free []int
	// passed holds the groups that are left out until [tenantOrder.restore].
	passed []*group
}

// orderNode is a node of a tenantOrder.
type orderNode struct {
	// group is the group of a leaf, and nil for a leaf without one.
	group *group
	// first is the first step below, or nil if there is none in a group that is not left out.
	first *waitingStep
	// low and high bound the needs below in each dimension. They are not set if first is nil.
	low, high batch.Size
	// passed reports whether a leaf is left out.
	passed bool
}

// goesBefore reports whether a step goes before another one of its class.
func (o *tenantOrder) goesBefore(a, b *waitingStep) bool {
	if a.demand.Tenant.rank != b.demand.Tenant.rank {
		return a.demand.Tenant.rank < b.demand.Tenant.rank
	}
	return o.key.compare(a, b) < 0
}

// tenantSortKey returns the sort key of the groups of tenants in a tenantOrder, which is that of an overloaded pool.
func tenantSortKey(late bool) SortKey { return ByRemainingWork{}.SortKey(late) }

// anyTree returns a tree of a group.
func (g *group) anyTree() *needTree {
	for _, t := range g.trees {
		if t != nil {
			return t
		}
	}
	return nil
}

// groups returns the groups of a class.
func (o *tenantOrder) groups() iter.Seq[*group] {
	return func(yield func(*group) bool) {
		for i := len(o.nodes) / 2; i < len(o.nodes); i++ {
			if g := o.nodes[i].group; g != nil && !yield(g) {
				return
			}
		}
	}
}

// add adds a group.
func (o *tenantOrder) add(g *group) {
	if len(o.free) == 0 {
		o.grow()
	}
	g.leaf = o.free[len(o.free)-1]
	o.free = o.free[:len(o.free)-1]
	o.nodes[g.leaf] = orderNode{group: g}
	o.update(g)
}

// drop removes a group.
func (o *tenantOrder) drop(g *group) {
	o.free = append(o.free, g.leaf)
	o.nodes[g.leaf] = orderNode{}
	o.updateAbove(g.leaf)
}

// grow doubles the number of leaves.
func (o *tenantOrder) grow() {
	old := o.nodes
	leaves := max(len(old), 1)
	o.nodes = make([]orderNode, 2*leaves)
	for i := range leaves {
		at := leaves + i
		if i < len(old)/2 {
			o.nodes[at] = old[len(old)/2+i]
			o.nodes[at].group.leaf = at
		} else {
			o.free = append(o.free, at)
		}
	}
	for i := leaves - 1; i > 0; i-- {
		o.join(i)
	}
}

// update updates a group whose steps or whose tenant's use has changed.
func (o *tenantOrder) update(g *group) {
	n := &o.nodes[g.leaf]
	n.first = nil
	if root := g.trees[o.key].root; root != nil && !n.passed {
		n.first, n.low, n.high = root.first, root.low, root.high
	}
	o.updateAbove(g.leaf)
}

func (o *tenantOrder) updateAbove(leaf int) {
	for i := leaf / 2; i > 0; i /= 2 {
		o.join(i)
	}
}

// join updates a node whose children have changed.
func (o *tenantOrder) join(i int) {
	n, a, b := &o.nodes[i], &o.nodes[2*i], &o.nodes[2*i+1]
	switch {
	case b.first == nil:
		n.first, n.low, n.high = a.first, a.low, a.high
	case a.first == nil:
		n.first, n.low, n.high = b.first, b.low, b.high
	default:
		n.first = a.first
		if o.goesBefore(b.first, a.first) {
			n.first = b.first
		}
		n.low, n.high = a.low.Min(b.low), a.high.Max(b.high)
	}
}

// find returns the first of the steps that stepOf returns for the groups. Groups whose needs could not meet a condition are not
// looked at; those of which stepOf returns none are left out of further searches.
func (o *tenantOrder) find(couldMeet func(low, high batch.Size) bool, stepOf func(*group) *waitingStep) *waitingStep {
	if len(o.nodes) < 2 {
		return nil
	}
	looked := len(o.passed)
	step := o.findBelow(1, nil, couldMeet, stepOf)
	for _, g := range o.passed[looked:] {
		o.nodes[g.leaf].passed = true
		o.update(g)
	}
	return step
}

func (o *tenantOrder) findBelow(
	i int, best *waitingStep, couldMeet func(low, high batch.Size) bool, stepOf func(*group) *waitingStep,
) *waitingStep {
	n := &o.nodes[i]
	if n.first == nil || (best != nil && o.goesBefore(best, n.first)) || !couldMeet(n.low, n.high) {
		return best
	}
	if i >= len(o.nodes)/2 {
		switch found := stepOf(n.group); {
		case found == nil:
			o.passed = append(o.passed, n.group)
		case best == nil || o.goesBefore(found, best):
			return found
		}
		return best
	}
	near, far := 2*i, 2*i+1
	if n.first == o.nodes[far].first {
		near, far = far, near
	}
	return o.findBelow(far, o.findBelow(near, best, couldMeet, stepOf), couldMeet, stepOf)
}

// restore has searches find all groups again.
func (o *tenantOrder) restore() {
	for i, g := range o.passed {
		// The group may have been dropped since.
		if n := &o.nodes[g.leaf]; n.group == g {
			n.passed = false
			o.update(g)
		}
		o.passed[i] = nil
	}
	o.passed = o.passed[:0]
}
