package shard

import "carawaymux.dev/fleet/grade"

// groupKey is what the steps of a group have in common.
type groupKey struct {
	// request is the binary logarithm of the processor capacity that a gang or best-effort step of a tenant requests, which is more than
	// its tasks reserve. Steps whose request exceeds a budget then do not keep smaller ones from being looked at.
	request int
	queue   *queueRules
	tenant  *TenantUse
	label   string
	// longRunning and inherited are as in the step. exempt reports whether more than the need decides where
	// the step may run.
	longRunning, inherited, exempt bool
	// size and begun are as in the job, for work in time that ends. begun is not set for jobs that are not large.
	size  grade.Grade
	begun bool
	// excess and finish are as in the job. finish is set for work in time that ends.
	excess, finish bool
	// late, starved and reserves are as in the demand. missed reports whether the objective has passed, so
	// that the step stays late.
	late, starved, reserves, missed bool
}

// group is a set of waiting steps that differ in sort keys only.
type group struct {
	groupKey
	size int
	// trees holds a tree for each sort key that is kept, and nil for others.
	trees [sortKeys]*needTree
	// class is the class of a group, or nil without classes and for a class itself. order holds the groups of a class, and is
	// nil for others. leaf is the place of a group there.
	class *group
	order *tenantOrder
	leaf  int
	// denials counts the steps that have found no room in the budget of the tenant in the round deniedIn.
	denials  int
	deniedIn int64
}

// newGroup returns an empty group or class with trees for the sort keys that are kept.
func (b *backlog) newGroup(key groupKey, at level) *group {
	g := &group{groupKey: key}
	for k, kept := range b.keys[at][count(key.late)] {
		if kept {
			g.trees[k] = &needTree{key: SortKey(k), level: at}
		}
	}
	return g
}

func (g *group) insert(w *waitingStep) {
	g.size++
	for _, t := range g.trees {
		if t != nil {
			t.insert(w)
		}
	}
}

func (g *group) remove(w *waitingStep) {
	g.size--
	for _, t := range g.trees {
		if t != nil {
			t.remove(w)
		}
	}
}

// leaveGroup removes a step from its group.
func (b *backlog) leaveGroup(w *waitingStep) {
	g := w.group
	if g == nil {
		return
	}
	w.group = nil
	g.remove(w)
	if g.size == 0 {
		b.emptied = append(b.emptied, g)
	}
	if g.class == nil {
		return
	}
	g.class.order.update(g)
	if g.class.remove(w); g.class.size == 0 {
		b.emptied = append(b.emptied, g.class)
	}
}

// dropEmptied drops the groups and classes that are empty.
func (b *backlog) dropEmptied() {
	for i, g := range b.emptied {
		b.emptied[i] = nil
		if g.size > 0 {
			continue
		}
		if g.order != nil {
			if b.classes[g.groupKey] == g {
				delete(b.classes, g.groupKey)
			}
			continue
		}
		if b.groups[g.groupKey] == g {
			delete(b.groups, g.groupKey)
			if g.class != nil {
				g.class.order.drop(g)
				g.tenant.dropGroup(g)
			}
		}
	}
	b.emptied = b.emptied[:0]
}
