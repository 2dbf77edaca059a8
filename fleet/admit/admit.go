// Package admit decides which submissions a pool takes. It answers a load that the pool cannot do, and refuses those
// jobs that would wait until they are of no use. It reads no clock and does no I/O.
package admit

import (
	"hash/fnv"
	"time"

	"carawaymux.dev/fleet/clamp"
)

// Job is a submission as far as its admission is concerned.
type Job struct {
	ID    string
	Class Class
	// Work is what the job takes, in thousandths of a core-second. It is not negative.
	Work int64
	// Path is the expected run time along dependent steps, and Target the time from the first submission to the objective.
	Path, Target time.Duration
}

// Pool is what an owner observes of its pool as a job arrives. Capacities are in thousandths of a core, work is in
// thousandths of a core-second.
type Pool struct {
	// Capacity is that of the hosts that may take work, and Coming that of the hosts on their way to the pool.
	Capacity, Coming int64
	// Ahead is the work that waits, can be in time and goes before the job. Waiting is all such work, whatever goes
	// first, and Late the work that waits and can no longer be in time.
	Ahead, Waiting, Late int64
}

// Forecast is how long a job would wait.
type Forecast struct {
	Pool
	// Rate is the rate at which the pool works, the hosts on their way included, in thousandths of a core. Arriving is
	// the part of it that goes to work that arrives later and goes before the job, and AllArriving to any work.
	Rate, Arriving, AllArriving int64
	// Wait is how long the job waits if it goes before what is larger, and LateWait if it goes after all else. They are
	// at most [Never].
	Wait, LateWait time.Duration
	// Allowed is how long the job may wait so as to meet its objective, and Useful so as to be of any use. They are
	// negative once it is too late.
	Allowed, Useful time.Duration
	Busy            time.Duration
	// Waited is the time since the job was first submitted.
	Waited time.Duration
}

// Never is the wait of a job whose turn does not come while the load lasts.
const Never = time.Hour

// Policy decides whether a job is taken.
type Policy interface {
	Admit(f *Forecast) bool
}

// All takes all jobs. It is the baseline.
type All struct{}

// Admit implements [Policy].
func (All) Admit(*Forecast) bool { return true }

// Unservable refuses jobs that can end neither in time nor while they are of use, as long as the load lasts. It answers a
// load of several times what the pool can do: the jobs that it refuses are those that would wait until it is too late.
type Unservable struct {
	// Excess is the time for which late work takes the hosts of a pool that has certainly too much work. Before that,
	// nothing is refused: hosts may be on their way that the pool does not know of.
	Excess time.Duration
	// Buffer is the time for which the hosts have work that goes before a job that is refused, so that refusals leave no
	// host idle while the load varies.
	Buffer time.Duration
}

// Default is the policy of the owners of pools.
var Default = Unservable{Excess: time.Second, Buffer: 150 * time.Millisecond}

// Admit implements [Policy].
func (p Unservable) Admit(f *Forecast) bool {
	return f.Rate <= 0 || f.Late < work(f.Rate, p.Excess) || f.Wait <= f.Allowed || f.LateWait <= f.Useful ||
		(f.Allowed >= 0 && f.Ahead < work(f.Rate, p.Buffer))
}

// usefulFactor is how many times its target a job may take and be of use.
const usefulFactor = 3

// State is the state of the admission to a pool. Use [New] to build it.
type State[P Policy] struct {
	Policy P
	taken  *rates
	done   decaying
	// busySince is when the waiting work last began to be enough for all hosts; zero while it is not.
	busySince time.Time
	// efficiency is the rate of ending work as a share of the capacity, as last measured under load.
	efficiency float64
	refused    *refused
}

// New returns the state of a pool that has taken nothing.
func New[P Policy](policy P) *State[P] {
	return &State[P]{Policy: policy, taken: newRates(), efficiency: 1, refused: newRefused()}
}

// Decision is the answer to a submission.
type Decision struct {
	Forecast
	Admitted bool
	// RetryAfter is when the caller of a refused job should submit it again.
	RetryAfter time.Duration
	// FirstAt is when the job was first submitted.
	FirstAt time.Time
}

// Submit decides on a job. Calls must not go back in time.
func (s *State[P]) Submit(p Pool, j *Job, now time.Time) Decision {
	d := Decision{FirstAt: s.refused.firstAt(j.ID, now)}
	d.Forecast = s.forecast(p, j, now.Sub(d.FirstAt), now)
	if d.Admitted = s.Policy.Admit(&d.Forecast); d.Admitted {
		s.refused.forget(j.ID)
		s.taken.add(j.Class, j.Work, now)
		return d
	}
	s.refused.note(j.ID, d.FirstAt, now)
	d.RetryAfter = retryAfter(&d.Forecast, j.ID)
	return d
}

const (
	// busyTime is the time for which all hosts have waiting work while the pool's rate is measured, and rateWindow the
	// time over which it is averaged.
	busyTime, rateWindow = 500 * time.Millisecond, 2 * time.Second
	// minEfficiency is the least share of the capacity that is assumed to do work: work that only some hosts can run
	// may hide what the others could do.
	minEfficiency = 0.5
)

// Observe records the load of the pool.
func (s *State[P]) Observe(p Pool, now time.Time) {
	switch {
	case p.Capacity <= 0 || p.Waiting+p.Late < work(p.Capacity, busyTime):
		s.busySince = time.Time{}
	case s.busySince.IsZero():
		s.busySince = now
	case now.Sub(s.busySince) >= rateWindow:
		s.efficiency = min(max(s.done.rate(now)/float64(p.Capacity), minEfficiency), 1)
	}
}

// Done records that work was done.
func (s *State[P]) Done(work int64, now time.Time) { s.done.add(work, now) }

func (s *State[P]) forecast(p Pool, j *Job, waited time.Duration, now time.Time) Forecast {
	before, all := s.taken.before(j.Class, now)
	f := Forecast{
		Pool: p, Rate: clamp.Int[int64](s.efficiency * float64(p.Capacity+p.Coming)), Arriving: before, AllArriving: all,
		Waited: waited, Allowed: j.Target - waited - j.Path, Useful: usefulFactor*j.Target - waited - j.Path,
	}
	if f.Useful < 0 {
		// The caller has come back all the same, and takes what is left over.
		f.Useful = (usefulFactor - 1) * j.Target
	}
	f.Wait = clear(p.Ahead, f.Rate-before)
	f.LateWait = clear(clamp.Add(p.Waiting, p.Late), f.Rate-all)
	return f
}

// clear returns how long work takes at a rate, in thousandths of a core.
func clear(work, rate int64) time.Duration {
	if work <= 0 {
		return 0
	}
	if rate <= 0 {
		return Never
	}
	return min(clamp.Int[time.Duration](float64(work)/float64(rate)*float64(time.Second)), Never)
}

// work returns the work that is done at a rate in a time.
func work(rate int64, d time.Duration) int64 { return clamp.Int[int64](float64(rate) * d.Seconds()) }

// minRetry and maxRetry bound the times that callers are given, before they are spread.
const minRetry, maxRetry = time.Second, 10 * time.Second

// retryAfter returns when a refused caller should return: once what is in excess is done, after longer pauses the longer
// it has tried, and not together with others.
func retryAfter(f *Forecast, id string) time.Duration {
	return Spread(min(max(clear(f.Waiting+f.Late, f.Rate)-max(f.Allowed, 0), f.Waited, minRetry), maxRetry), id)
}

// Spread returns a time from d up to twice d that depends on the ID of a job, so that callers that are refused together
// do not return together.
func Spread(d time.Duration, id string) time.Duration {
	h := fnv.New32a()
	// Writes to a hash do not fail.
	_, _ = h.Write([]byte(id))
	return d + time.Duration(float64(d)*float64(h.Sum32())/(1<<32))
}
