package shard

import (
	"iter"
	"math"

	"carawaymux.dev/fleet/batch"
)

// needs returns the groups of waiting steps, or the classes if there are any, with the lowest and highest needs of each.
func (b *backlog) needs() iter.Seq2[*group, *needNode] {
	if b.weights != nil {
		return needsOf(b.classes)
	}
	return needsOf(b.groups)
}

// needsOf returns groups that have steps, with the lowest and highest needs of each.
func needsOf(groups map[groupKey]*group) iter.Seq2[*group, *needNode] {
	return func(yield func(*group, *needNode) bool) {
		for _, g := range groups {
			for _, t := range g.trees {
				if t != nil && t.root != nil {
					if !yield(g, t.root) {
						return
					}
					break
				}
			}
		}
	}
}

// leastNeed returns the least need of any waiting step in each dimension.
func (b *backlog) leastNeed() batch.Size {
	least := batch.Size{MilliCores: math.MaxInt64, MemoryMB: math.MaxInt64, Accelerators: math.MaxInt64}
	for _, n := range b.needs() {
		least = least.Min(n.low)
	}
	for _, w := range b.touched {
		if w.stage.waiting == w {
			least = least.Min(w.need)
		}
	}
	return least
}

// oldest returns the oldest waiting steps, up to a number, in the order of their age.
func (b *backlog) oldest(limit int) []*waitingStep {
	h := b.steps
	var out, next indexedHeap[*waitingStep, byAge]
	if len(h) > 0 {
		next = append(next, h[0])
	}
	for len(next) > 0 && len(out) < limit {
		// Positions belong to the whole heap, so this one is searched.
		first := 0
		for i := range next {
			if next.Less(i, first) {
				first = i
			}
		}
		w := next[first]
		next[first] = next[len(next)-1]
		next = next[:len(next)-1]
		out = append(out, w)
		for child := 2*w.position + 1; child <= 2*w.position+2 && child < len(h); child++ {
			next = append(next, h[child])
		}
	}
	return out
}
