package shard

import (
	"cmp"
	"math/bits"
	"slices"

	"carawaymux.dev/fleet/batch"
)

// SortKey names an order in which waiting steps are kept. It does not change with time, as opposed to the
// ages and slacks that it sorts by.
type SortKey uint8

// The sort keys.
const (
	// SortByAge puts the steps of the oldest job first.
	SortByAge SortKey = iota
	// SortBySlack puts the least slack first, then the oldest job.
	SortBySlack
	// SortByRemainingWork puts the least remaining work first, then the least slack.
	SortByRemainingWork
	sortKeys
)

// compare returns the order of two steps of one queue. It is negative when a goes before b, and 0 only if they
// are the same.
func (k SortKey) compare(a, b *waitingStep) int {
	if k == SortByRemainingWork {
		if c := cmp.Compare(a.remaining, b.remaining); c != 0 {
			return c
		}
	}
	if k != SortByAge {
		if c := cmp.Compare(a.lateAfter, b.lateAfter); c != 0 {
			return c
		}
	}
	if c := cmp.Compare(a.accepted, b.accepted); c != 0 {
		return c
	}
	if a.job != b.job {
		return cmp.Compare(a.job.ID, b.job.ID)
	}
	return compareSteps(&a.demand, &b.demand)
}

// compareSteps orders the steps of one job.
func compareSteps(a, b *Demand) int {
	return cmp.Or(cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step))
}

// needTree holds waiting steps by what their tasks need, and finds the first of those whose needs meet a
// condition. It is a trie over the bits of the needs, highest bits first, so that the needs below a node are
// near one another.
type needTree struct {
	key   SortKey
	level level
	root  *needNode
}

// level tells the tree of a group from that of its class.
type level uint8

const (
	groupLevel level = iota
	classLevel
	levels
)

// needNode is a node of a needTree. A leaf holds the steps of one need.
type needNode struct {
	parent *needNode
	// children are nil for a leaf. They differ in a bit, the one with 0 first; all higher bits are the same.
	children [2]*needNode
	bit      int
	// low and high bound the needs below in each dimension.
	low, high batch.Size
	// first is the first step below.
	first *waitingStep
	// steps is a binary heap. It is empty unless the node is a leaf.
	steps []*waitingStep
}

// slot is the place of a step in a needTree.
type slot struct {
	leaf     *needNode
	position int
}

// dimensions is the number of dimensions of a need.
const dimensions = 3

func dimensionsOf(s batch.Size) [dimensions]uint64 {
	return [...]uint64{uint64(s.MilliCores), uint64(s.MemoryMB), uint64(s.Accelerators)}
}

// childOf returns which child of a node with a bit a need belongs to.
func childOf(need batch.Size, bit int) int {
	return int(dimensionsOf(need)[bit%dimensions] >> (63 - bit/dimensions) & 1)
}

// firstDifference returns the first bit in which two needs differ. If there is none, it is past the last bit.
func firstDifference(a, b batch.Size) int {
	first := dimensions * 64
	left, right := dimensionsOf(a), dimensionsOf(b)
	for d := range left {
		if left[d] != right[d] {
			first = min(first, bits.LeadingZeros64(left[d]^right[d])*dimensions+d)
		}
	}
	return first
}

func (n *needNode) isLeaf() bool { return n.children[0] == nil }

// insert adds a step.
func (t *needTree) insert(w *waitingStep) {
	if t.root == nil {
		t.root = t.newLeaf(w)
		return
	}
	n := t.root
	for !n.isLeaf() {
		n = n.children[childOf(w.need, n.bit)]
	}
	difference := firstDifference(n.low, w.need)
	if difference == dimensions*64 {
		t.push(n, w)
		t.updateFrom(n)
		return
	}
	n = t.root
	for !n.isLeaf() && n.bit < difference {
		n = n.children[childOf(w.need, n.bit)]
	}
	branch := &needNode{parent: n.parent, bit: difference}
	t.replace(n, branch)
	leaf := t.newLeaf(w)
	side := childOf(w.need, difference)
	branch.children[side], branch.children[1-side] = leaf, n
	leaf.parent, n.parent = branch, branch
	t.updateFrom(branch)
}

// remove removes a step.
func (t *needTree) remove(w *waitingStep) {
	at := &w.slots[t.level][t.key]
	leaf, i := at.leaf, at.position
	*at = slot{}
	last := len(leaf.steps) - 1
	moved := leaf.steps[last]
	leaf.steps[last] = nil
	leaf.steps = leaf.steps[:last]
	if i < last {
		t.set(leaf, i, moved)
		if !t.down(leaf, i) {
			t.up(leaf, i)
		}
	}
	switch {
	case last > 0:
		t.updateFrom(leaf)
	case leaf.parent == nil:
		t.root = nil
	default:
		branch := leaf.parent
		sibling := branch.children[0]
		if sibling == leaf {
			sibling = branch.children[1]
		}
		t.replace(branch, sibling)
		sibling.parent = branch.parent
		if branch.parent != nil {
			t.updateFrom(branch.parent)
		}
	}
}

func (t *needTree) newLeaf(w *waitingStep) *needNode {
	leaf := &needNode{low: w.need, high: w.need, first: w}
	t.push(leaf, w)
	return leaf
}

// replace puts a node into the place of another one.
func (t *needTree) replace(old, with *needNode) {
	switch p := old.parent; {
	case p == nil:
		t.root = with
	case p.children[0] == old:
		p.children[0] = with
	default:
		p.children[1] = with
	}
}

// updateFrom updates a node, whose children or steps have changed, and those above it.
func (t *needTree) updateFrom(n *needNode) {
	for ; n != nil; n = n.parent {
		if n.isLeaf() {
			n.first = n.steps[0]
			continue
		}
		a, b := n.children[0], n.children[1]
		n.first = a.first
		if t.key.compare(b.first, a.first) < 0 {
			n.first = b.first
		}
		n.low, n.high = a.low.Min(b.low), a.high.Max(b.high)
	}
}

func (t *needTree) push(leaf *needNode, w *waitingStep) {
	leaf.steps = append(leaf.steps, w)
	i := len(leaf.steps) - 1
	t.set(leaf, i, w)
	t.up(leaf, i)
}

func (t *needTree) set(leaf *needNode, i int, w *waitingStep) {
	leaf.steps[i] = w
	w.slots[t.level][t.key] = slot{leaf, i}
}

// up moves a step of a leaf up until its parent goes before it.
func (t *needTree) up(leaf *needNode, i int) {
	for i > 0 {
		parent := (i - 1) / 2
		a, b := leaf.steps[parent], leaf.steps[i]
		if t.key.compare(a, b) < 0 {
			return
		}
		t.set(leaf, parent, b)
		t.set(leaf, i, a)
		i = parent
	}
}

// down moves a step of a leaf down until it goes before its children. It reports whether the step has moved.
func (t *needTree) down(leaf *needNode, i int) bool {
	start := i
	for {
		child := 2*i + 1
		if child >= len(leaf.steps) {
			break
		}
		if other := child + 1; other < len(leaf.steps) && t.key.compare(leaf.steps[other], leaf.steps[child]) < 0 {
			child = other
		}
		a, b := leaf.steps[i], leaf.steps[child]
		if t.key.compare(a, b) < 0 {
			break
		}
		t.set(leaf, i, b)
		t.set(leaf, child, a)
		i = child
	}
	return i > start
}

// find returns the first step whose need meets a condition, or best if none goes before it. The condition is
// given the bounds of some needs and reports whether one of them could meet it; for a single need, the bounds
// are the same.
func (t *needTree) find(best *waitingStep, couldMeet func(low, high batch.Size) bool) *waitingStep {
	if t.root == nil {
		return best
	}
	return t.findBelow(t.root, best, couldMeet)
}

func (t *needTree) findBelow(n *needNode, best *waitingStep, couldMeet func(low, high batch.Size) bool) *waitingStep {
	if (best != nil && t.key.compare(best, n.first) <= 0) || !couldMeet(n.low, n.high) {
		return best
	}
	if n.isLeaf() {
		return n.first
	}
	near, far := n.children[0], n.children[1]
	if n.first == far.first {
		near, far = far, near
	}
	return t.findBelow(far, t.findBelow(near, best, couldMeet), couldMeet)
}

// all passes on the steps below until yield returns false, and reports whether it did not.
func (n *needNode) all(yield func(*waitingStep) bool) bool {
	if n.isLeaf() {
		return !slices.ContainsFunc(n.steps, func(w *waitingStep) bool { return !yield(w) })
	}
	return n.children[0].all(yield) && n.children[1].all(yield)
}

// contains reports whether a condition holds for a step below whose need could run.
func (n *needNode) contains(couldRun func(low batch.Size) bool, condition func(*waitingStep) bool) bool {
	switch {
	case !couldRun(n.low):
		return false
	case n.isLeaf():
		return slices.ContainsFunc(n.steps, condition)
	}
	return n.children[0].contains(couldRun, condition) || n.children[1].contains(couldRun, condition)
}

// leastBeyond returns the need below with the fewest cores that fits into no size of a set, or best if that has
// no more cores.
func (n *needNode) leastBeyond(f frontier, best batch.Size) batch.Size {
	switch {
	case f.fits(n.high) || (best != (batch.Size{}) && n.low.MilliCores >= best.MilliCores):
		return best
	case n.isLeaf():
		return smaller(n.low, best)
	}
	return n.children[1].leastBeyond(f, n.children[0].leastBeyond(f, best))
}
