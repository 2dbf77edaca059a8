package shard

import (
	"cmp"
	"time"
)

// Demand is a step of an occurrence with tasks that could start now.
type Demand struct {
	Job        *Job
	Occurrence int
	Step       int
	// Lasting, Priority, Objective, Left and Work order demands; Left is the chain
	// of work from this step on.
	Lasting      bool
	Priority     int
	Objective    time.Time
	CriticalPath time.Duration
	// RemainingWork is what is left of the occurrence, in thousandths of a core-second.
	RemainingWork int64
}

// Ranking orders demands. It is a policy: implementations hold no state.
type Ranking interface {
	// Compare is negative when a goes before b.
	Compare(a, b *Demand, now time.Time) int
}

// BySlack starts lasting work first, then work that can still meet its objective in
// the order of its slack, then the rest, oldest first.
type BySlack struct{}

// Compare implements [Ranking].
func (BySlack) Compare(a, b *Demand, now time.Time) int {
	if a.Lasting != b.Lasting {
		return boolFirst(a.Lasting)
	}
	lateA, lateB := a.slack(now) < 0, b.slack(now) < 0
	if lateA != lateB {
		return boolFirst(lateB)
	}
	if c := cmp.Compare(a.Priority, b.Priority); c != 0 && !lateA {
		return c
	}
	if !lateA {
		if c := cmp.Compare(a.slack(now), b.slack(now)); c != 0 {
			return c
		}
	}
	if c := a.Job.AcceptedAt.Compare(b.Job.AcceptedAt); c != 0 {
		return c
	}
	return cmp.Compare(a.Job.ID, b.Job.ID)
}

// ByRemainingWork starts lasting work first, then work that can still meet its objective,
// what is nearest to its end first, then the rest, oldest first. When not all can make
// it, more do than in the order of their slack, where each is begun when it is nearly
// too late.
type ByRemainingWork struct{}

// Compare implements [Ranking].
func (ByRemainingWork) Compare(a, b *Demand, now time.Time) int {
	lateA, lateB := a.slack(now) < 0, b.slack(now) < 0
	if a.Lasting != b.Lasting || lateA != lateB || lateA || a.Priority != b.Priority || a.RemainingWork == b.RemainingWork {
		return BySlack{}.Compare(a, b, now)
	}
	return cmp.Compare(a.RemainingWork, b.RemainingWork)
}

// ByLoad orders by slack while a pool keeps up, and by least work while it does not.
type ByLoad struct{ Overloaded bool }

// Compare implements [Ranking].
func (p ByLoad) Compare(a, b *Demand, now time.Time) int {
	if p.Overloaded {
		return ByRemainingWork{}.Compare(a, b, now)
	}
	return BySlack{}.Compare(a, b, now)
}

// overloadThreshold is the time that all hosts would need for what waits from which on a
// pool does not keep up; objectives leave about as much beyond the work itself.
const overloadThreshold = time.Second

// updateOverloaded notes whether the pool keeps up.
func (s *State) updateOverloaded(demands []Demand, hosts candidates) {
	var waiting, capacity int64
	for i := range demands {
		d := &demands[i]
		if !d.Lasting {
			scale := s.durationRatios[d.Job.Spec.Queue].median()
			waiting += stepWork(&d.Job.Spec.Steps[d.Step], d.Job.Occurrences[d.Occurrence].Stages[d.Step].idle, scale)
		}
	}
	for i := range hosts {
		capacity += hosts[i].host.Capacity.MilliCores
	}
	s.Overloaded = waiting > int64(float64(capacity)*overloadThreshold.Seconds())
}

// ByAge starts the oldest work first. It is the baseline.
type ByAge struct{}

// Compare implements [Ranking].
func (ByAge) Compare(a, b *Demand, _ time.Time) int {
	if c := a.Job.AcceptedAt.Compare(b.Job.AcceptedAt); c != 0 {
		return c
	}
	return cmp.Compare(a.Job.ID, b.Job.ID)
}

func boolFirst(first bool) int {
	if first {
		return -1
	}
	return 1
}

// slack is the time that may be lost before the objective is.
func (d *Demand) slack(now time.Time) time.Duration {
	return d.Objective.Sub(now) - d.CriticalPath
}
