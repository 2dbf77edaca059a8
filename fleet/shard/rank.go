package shard

import (
	"cmp"
	"time"

	"carawaymux.dev/fleet/grade"
)

// Demand is a step of an occurrence with tasks that could start now.
type Demand struct {
	Job        *Job
	Tenant     *TenantUse
	Occurrence int
	Step       int
	// LongRunning, Priority, Age, Slack and RemainingWork are what rankings compare. The lowest
	// Priority goes first. Age is the time since the job was accepted. Slack is how long the step
	// can still wait without missing the objective; it is negative if the step is late.
	LongRunning bool
	Priority    int
	Age, Slack  time.Duration
	// Idle is the time since a task of the job was started, or the job was accepted; 0 while any is
	// assigned to a host.
	Idle time.Duration
	// Begun reports whether work of the job was started in time. Tally counts the jobs of its queue by their size.
	Begun bool
	Tally *grade.Tally
	// Excess reports whether the job is beyond what its tenant is owed.
	Excess bool
	// Finish reports whether the job was begun and is small enough to be completed before other tenants have their turn.
	Finish bool
	// RemainingWork is the work of the occurrence that is not done, in millionths of a core-second.
	RemainingWork int64
}

// Ranking orders demands. Implementations hold no state.
type Ranking interface {
	// Compare is negative when a goes before b.
	Compare(a, b *Demand) int
	// SortKey returns the order of the demands of one queue that do not differ in whether they are long-running,
	// late and starved. Compare agrees with it.
	SortKey(late bool) SortKey
}

// BySlack puts long-running work first, then work that can still meet its objective in the order
// of priority and slack, then the rest with the oldest first.
type BySlack struct{}

// Compare implements [Ranking].
func (BySlack) Compare(a, b *Demand) int {
	if a.LongRunning != b.LongRunning {
		return firstIf(a.LongRunning)
	}
	lateA, lateB := a.Slack < 0, b.Slack < 0
	if lateA != lateB {
		return firstIf(lateB)
	}
	if !lateA {
		if c := cmp.Compare(a.Priority, b.Priority); c != 0 {
			return c
		}
		if c := cmp.Compare(a.Slack, b.Slack); c != 0 {
			return c
		}
	}
	if c := cmp.Compare(b.Age, a.Age); c != 0 {
		return c
	}
	return cmp.Compare(a.Job.ID, b.Job.ID)
}

// SortKey implements [Ranking].
func (BySlack) SortKey(late bool) SortKey {
	if late {
		return SortByAge
	}
	return SortBySlack
}

// ByRemainingWork is like [BySlack], but orders work of one priority that can still meet its
// objective by the remaining work, the least first. When not all jobs can meet their objectives,
// more of them do than in the order of slack, which starts each job when it is nearly too late.
type ByRemainingWork struct{}

// Compare implements [Ranking].
func (ByRemainingWork) Compare(a, b *Demand) int {
	lateA, lateB := a.Slack < 0, b.Slack < 0
	if a.LongRunning != b.LongRunning || lateA != lateB || lateA || a.Priority != b.Priority || a.RemainingWork == b.RemainingWork {
		return BySlack{}.Compare(a, b)
	}
	return cmp.Compare(a.RemainingWork, b.RemainingWork)
}

// SortKey implements [Ranking].
func (ByRemainingWork) SortKey(late bool) SortKey {
	if late {
		return SortByAge
	}
	return SortByRemainingWork
}

// ByLoad orders by slack while a pool keeps up, and by remaining work while it is overloaded.
type ByLoad struct{ Overloaded bool }

// Compare implements [Ranking].
func (p ByLoad) Compare(a, b *Demand) int {
	if p.Overloaded {
		return ByRemainingWork{}.Compare(a, b)
	}
	return BySlack{}.Compare(a, b)
}

// SortKey implements [Ranking].
func (p ByLoad) SortKey(late bool) SortKey {
	if p.Overloaded {
		return ByRemainingWork{}.SortKey(late)
	}
	return BySlack{}.SortKey(late)
}

// StarvedFirst orders like another ranking, but while a pool has spare capacity it puts late jobs of which nothing
// runs before other late ones. What is short then is not capacity but starts, which one job of many small tasks
// would take for as long as it is the oldest.
type StarvedFirst[R Ranking] struct {
	Ranking R
	Spare   bool
}

// starvedAfter is how long nothing of a late job has to run for it to count as starved.
const starvedAfter = time.Second

// Compare implements [Ranking].
func (p StarvedFirst[R]) Compare(a, b *Demand) int {
	if p.Spare && a.LongRunning == b.LongRunning && a.Slack < 0 && b.Slack < 0 && a.starved() != b.starved() {
		return firstIf(a.starved())
	}
	return p.Ranking.Compare(a, b)
}

// SortKey implements [Ranking].
func (p StarvedFirst[R]) SortKey(late bool) SortKey { return p.Ranking.SortKey(late) }

func (d *Demand) starved() bool { return d.Slack < 0 && d.Idle > starvedAfter }

// LateShare orders like another ranking, but puts late work that ends before other such work while it has less than its
// share of the pool. Without a share it would never run in a pool that always has more work in time than it can do.
type LateShare[R Ranking] struct {
	Ranking R
	// Due reports whether late work has less than its share.
	Due bool
}

// Compare implements [Ranking].
func (p LateShare[R]) Compare(a, b *Demand) int {
	lateA, lateB := a.Slack < 0, b.Slack < 0
	if p.Due && !a.LongRunning && !b.LongRunning && lateA != lateB {
		return firstIf(lateA)
	}
	return p.Ranking.Compare(a, b)
}

// SortKey implements [Ranking].
func (p LateShare[R]) SortKey(late bool) SortKey { return p.Ranking.SortKey(late) }

// lateShare is the share of a pool of which late work is sure. It is small, since callers get little for such work.
const lateShare = 0.02

// LateWorkIsDue reports whether late work runs on less than its share of the processor capacity of the hosts that may
// get work.
func (s *State) LateWorkIsDue(now time.Time) bool {
	var capacity int64
	for _, h := range s.sortedHosts() {
		if s.Schedulable(h, now) {
			capacity += h.Capacity.MilliCores
		}
	}
	return float64(s.lateUsed) < lateShare*float64(capacity)
}

// HasSpareCapacity reports whether less than half of the processor capacity of the hosts that may get work is in
// use. It reports false while nothing waits or is to open, when no ranking needs it.
func (s *State) HasSpareCapacity(now time.Time) bool {
	if len(s.backlog.steps)+len(s.backlog.unopened) == 0 {
		return false
	}
	var used, capacity int64
	for _, h := range s.sortedHosts() {
		if s.Schedulable(h, now) {
			used, capacity = used+h.used.MilliCores, capacity+h.Capacity.MilliCores
		}
	}
	return 2*used < capacity
}

// overloadThreshold is the longest time that all hosts together may need for the waiting work
// before the pool counts as overloaded. Objectives leave about as much time beyond the work
// itself.
const overloadThreshold = time.Second

// updateOverloaded sets Overloaded from the waiting work and the capacity of the hosts.
func (s *State) updateOverloaded(hosts candidates, prior priorHosts) {
	var capacity int64
	for _, c := range hosts {
		capacity += c.host.Capacity.MilliCores
	}
	var waiting int64
	for _, q := range s.backlog.queues {
		estimated := q.waiting[0]
		if prior.empty() {
			estimated += q.waiting[1]
		}
		waiting += q.work(estimated)
	}
	s.capacity = capacity
	s.Overloaded = waiting > int64(float64(capacity)*overloadThreshold.Seconds())
}

// ranked returns waiting steps in the order of a ranking. Most rounds take one step only, which a scan
// finds; from the second one on, the steps are a binary heap.
type ranked[R Ranking] struct {
	ranking R
	steps   []*waitingStep
	// taken is the number of steps that were taken.
	taken int
	// buffer holds the steps before any was taken.
	buffer []*waitingStep
}

// newRanked returns the waiting steps that could start now and are wanted. Inherited ones wait for prior hosts.
func newRanked[R Ranking](s *State, ranking R, now time.Time, prior priorHosts, wanted func(*waitingStep) bool) *ranked[R] {
	s.updateQueues()
	age := now.Sub(s.backlog.origin)
	r := &ranked[R]{ranking: ranking, steps: s.backlog.ranked[:0]}
	for _, w := range s.backlog.steps {
		if w.waitsFor(prior) != nil {
			continue
		}
		w.updateDemand(age)
		if wanted(w) {
			r.steps = append(r.steps, w)
		}
	}
	r.buffer, s.backlog.ranked = r.steps, r.steps
	return r
}

// pop removes the first step and returns it, or nil when there is none.
func (r *ranked[R]) pop() *waitingStep {
	last := len(r.steps) - 1
	if last < 0 {
		return nil
	}
	first := 0
	switch r.taken {
	case 0:
		for i := range r.steps {
			if r.before(i, first) {
				first = i
			}
		}
	case 1:
		for i := len(r.steps)/2 - 1; i >= 0; i-- {
			r.sink(i)
		}
	}
	r.taken++
	w := r.steps[first]
	r.steps[first] = r.steps[last]
	r.steps = r.steps[:last]
	if r.taken > 1 {
		r.sink(0)
	}
	return w
}

// release clears the buffer, which is used again, so that it keeps no ended job in memory.
func (r *ranked[R]) release() { clear(r.buffer) }

// sink moves a step down until it goes before its children.
func (r *ranked[R]) sink(i int) {
	for {
		child := 2*i + 1
		if child >= len(r.steps) {
			return
		}
		if other := child + 1; other < len(r.steps) && r.before(other, child) {
			child = other
		}
		if !r.before(child, i) {
			return
		}
		r.steps[i], r.steps[child] = r.steps[child], r.steps[i]
		i = child
	}
}

func (r *ranked[R]) before(i, k int) bool {
	return r.ranking.Compare(&r.steps[i].demand, &r.steps[k].demand) < 0
}

// ByAge puts the oldest work first. It is the baseline for comparisons.
type ByAge struct{}

// Compare implements [Ranking].
func (ByAge) Compare(a, b *Demand) int {
	if c := cmp.Compare(b.Age, a.Age); c != 0 {
		return c
	}
	return cmp.Compare(a.Job.ID, b.Job.ID)
}

// SortKey implements [Ranking].
func (ByAge) SortKey(bool) SortKey { return SortByAge }

// firstIf returns the result of a comparison that puts a first if the condition holds, and b first
// otherwise.
func firstIf(first bool) int {
	if first {
		return -1
	}
	return 1
}
