// Package admit decides which submissions a pool takes. It answers a load that lasts: more work arrives than
// the pool can do for longer than its queues let their jobs wait. A burst that the pool can work off in time is
// taken whole. The package reads no clock and does no I/O.
package admit

import (
	"hash/fnv"
	"time"
)

// Class groups jobs that a pool runs in the same turn: by priority, the lowest first, and among equals by the
// work of a job, the least first.
type Class struct {
	Priority int
	// Size is the number of binary digits of the job's work.
	Size int
}

// before reports whether jobs of a class go before those of another.
func (c Class) before(o Class) bool {
	if c.Priority != o.Priority {
		return c.Priority < o.Priority
	}
	return c.Size < o.Size
}

// Job is a job as far as its admission is concerned.
type Job struct {
	ID    string
	Class Class
	// Work is what the job takes, in thousandths of a core-second. It is not negative.
	Work int64
	// LateAt is when the job has to start so as to meet its objective, and UselessAt when it has to start so as to
	// be of any use. UselessAt is not before LateAt.
	LateAt, UselessAt time.Time
}

// Pool is what an owner observes of its pool.
type Pool struct {
	// Capacity is that of the hosts that may take work, in thousandths of a core.
	Capacity int64
	// Overloaded reports whether the waiting work would take all hosts longer than the pool lets it wait.
	Overloaded bool
}

// Forecast is how long a job would wait.
type Forecast struct {
	// Ahead is the work that goes before the job, and Backlog all work that goes before it or is late, in
	// thousandths of a core-second.
	Ahead, Backlog int64
	// Rate is the rate at which the pool works for the job's class and those before it, in thousandths of a core.
	// It is 0 if it is not known.
	Rate int64
	// Wait is how long the job waits in its turn while work goes on arriving, and Longest how long all that is there
	// before it takes.
	Wait, Longest time.Duration
	// Allowed is how long it may wait so as to meet its objective, and Useful so as to be of any use.
	Allowed, Useful time.Duration
	// Overloaded is for how long the pool has been overloaded.
	Overloaded time.Duration
	// Crowds reports whether later classes, of which jobs are refused, get less than their share of the rate.
	Crowds bool
}

// Policy decides whether a job is taken.
type Policy interface {
	Admit(f *Forecast) bool
}

// All takes all jobs. It is the baseline.
type All struct{}

// Admit implements [Policy].
func (All) Admit(*Forecast) bool { return true }

// WhileUseful refuses jobs that a pool can do neither in time nor while they are of use. It answers a load of several times what the pool can do: the backlog stays as short as the
// objectives, so that what is taken is in time.
type WhileUseful struct {
	// GrowthTime is for how long an overloaded pool may still get hosts, and Growth the factor by which these may
	// multiply its rate, at least 1.
	GrowthTime time.Duration
	Growth     float64
}

// Admit implements [Policy].
func (p WhileUseful) Admit(f *Forecast) bool {
	if f.Rate <= 0 {
		return true
	}
	wait, longest := f.Wait, f.Longest
	if f.Overloaded < p.GrowthTime {
		wait, longest = time.Duration(float64(wait)/p.Growth), time.Duration(float64(longest)/p.Growth)
	}
	return (wait <= f.Allowed && !f.Crowds) || longest <= f.Useful
}

// State is the state of the admission to a pool. Use [New] to build it.
type State[P Policy] struct {
	Policy P
	book   *book
	pool   Pool
	// overloadedSince is when the pool became overloaded; zero while it is not.
	overloadedSince time.Time
	// done is the work done since the pool became overloaded.
	done decaying
	// taken is the work that was taken, by class, and refusedAt when a job was last refused.
	taken     map[Class]*decaying
	refusedAt map[Class]time.Time
}

// New returns the state of a pool without jobs.
func New[P Policy](policy P) *State[P] {
	return &State[P]{Policy: policy, book: newBook(), done: decaying{window: rateWindow}, taken: map[Class]*decaying{}, refusedAt: map[Class]time.Time{}}
}

// Observe records what is known of the pool. Calls must not go back in time.
func (s *State[P]) Observe(p Pool, now time.Time) {
	switch {
	case !p.Overloaded:
		s.overloadedSince = time.Time{}
	case s.overloadedSince.IsZero():
		s.overloadedSince, s.done = now, decaying{window: rateWindow}
	}
	s.pool = p
	for class, taken := range s.taken {
		if now.Sub(taken.at) > forgetAfter*takenWindow {
			delete(s.taken, class)
		}
	}
	for class, at := range s.refusedAt {
		if now.Sub(at) > rateWindow {
			delete(s.refusedAt, class)
		}
	}
}

// forgetAfter is the number of windows after which what was taken of a class no longer counts.
const forgetAfter = 5

// Submit decides on a job and takes it unless it is refused.
func (s *State[P]) Submit(j Job, now time.Time) (Forecast, bool) {
	f := s.forecast(&j, now)
	if !s.Policy.Admit(&f) {
		s.refusedAt[j.Class] = now
		return f, false
	}
	s.Take(j, now)
	if e := s.book.jobs[j.ID]; e != nil {
		e.takenAt, e.foreseen = now, f.Wait
	}
	return f, true
}

// Started records that a job has started, and returns which wait was foreseen for it and which came. It reports false
// unless the job was submitted and starts for the first time.
func (s *State[P]) Started(id string, now time.Time) (foreseen, came time.Duration, ok bool) {
	e := s.book.jobs[id]
	if e == nil || e.takenAt.IsZero() {
		return 0, 0, false
	}
	foreseen, came = e.foreseen, now.Sub(e.takenAt)
	e.takenAt = time.Time{}
	return foreseen, came, true
}

// Take takes a job that has been accepted already.
func (s *State[P]) Take(j Job, now time.Time) {
	if !s.book.add(j, now) {
		return
	}
	taken := s.taken[j.Class]
	if taken == nil {
		taken = &decaying{window: takenWindow}
		s.taken[j.Class] = taken
	}
	taken.add(j.Work, now)
}

// Done records that work of a job was done.
func (s *State[P]) Done(id string, work int64, now time.Time) {
	s.done.add(work, now)
	s.book.reduce(id, work, now)
}

// Remove removes a job that has ended.
func (s *State[P]) Remove(id string) { s.book.remove(id) }

// minRateShare is the least rate that is assumed, as a share of the capacity: work that only some hosts can run
// may hide what the others could do.
const minRateShare = 0.5

// laterShare is the share of the rate that classes which go before others leave to those while any is refused.
const laterShare = 0.1

// rate returns the rate at which the pool works, in thousandths of a core, or 0 if it is not known.
func (s *State[P]) rate(now time.Time) float64 {
	capacity := float64(s.pool.Capacity)
	if s.overloadedSince.IsZero() || now.Sub(s.overloadedSince) < rateWindow {
		return capacity
	}
	return min(max(s.done.rate(now, s.overloadedSince), minRateShare*capacity), capacity)
}

// forecast returns how long a job would wait.
func (s *State[P]) forecast(j *Job, now time.Time) Forecast {
	s.book.expire(now)
	before, same := s.book.ahead(j.Class)
	rate := s.rate(now)
	var earlier float64
	for class, taken := range s.taken {
		if class.before(j.Class) {
			earlier += taken.rate(now, time.Time{})
		}
	}
	left := max(rate-earlier, laterShare*rate)
	f := Forecast{
		Ahead: before + same, Backlog: before + same + s.book.late, Rate: int64(left),
		Allowed: j.LateAt.Sub(now), Useful: j.UselessAt.Sub(now),
	}
	if taken := s.taken[j.Class]; taken != nil && earlier+taken.rate(now, time.Time{}) > (1-laterShare)*rate {
		for class := range s.refusedAt {
			f.Crowds = f.Crowds || j.Class.before(class)
		}
	}
	if !s.overloadedSince.IsZero() {
		f.Overloaded = now.Sub(s.overloadedSince)
	}
	if left > 0 {
		f.Wait = seconds(float64(before)/rate + float64(same)/left)
		f.Longest = seconds(float64(f.Backlog) / rate)
	}
	return f
}

// RetryAfter returns after which time a caller whose job was refused should try again, at the earliest: when the
// backlog will have become short enough.
func (f *Forecast) RetryAfter() time.Duration { return min(max(f.Wait-f.Allowed, minRetry), maxRetry) }

// minRetry and maxRetry bound the times that callers are given, before they are spread.
const minRetry, maxRetry = time.Second, 10 * time.Second

// HoldsFor returns for how long jobs of the same kind are certainly refused: until the work ahead has become so short
// that half of the allowed wait is left.
func (f *Forecast) HoldsFor() time.Duration { return min(max(f.Wait-f.Allowed/2, 0), maxHold) }

// maxHold bounds the time for which a refusal holds.
const maxHold = 500 * time.Millisecond

// Spread returns a time from d up to twice d that depends on the ID of a job, so that callers that are refused
// together do not return together.
func Spread(d time.Duration, id string) time.Duration {
	h := fnv.New32a()
	// Writes to a hash do not fail.
	_, _ = h.Write([]byte(id))
	return d + time.Duration(float64(d)*float64(h.Sum32())/(1<<32))
}
