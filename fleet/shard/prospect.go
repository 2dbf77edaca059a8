package shard

import (
	"time"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/clamp"
)

// lateFactor is the factor of the time up to the objective after which a job is of no more use to its caller.
const lateFactor = 3

// maxCountedTime is the longest run time of a task that [State.TaskWork] counts. Longer ones hold their capacity
// for as long as any forecast looks ahead.
const maxCountedTime = 30 * time.Second

// Prospect is what is known of a job before it is submitted.
type Prospect struct {
	// Work is the work of all its tasks, in thousandths of a core-second.
	Work int64
	// LateAt is when the job has to start so as to meet its objective, and UselessAt when it has to start so as to
	// be of any use. Neither is before now.
	LateAt, UselessAt time.Time
}

// Prospect returns the prospect of a job that competes for the capacity of all hosts, and false for any other:
// one that runs at set times or until it is cancelled, that uses what others leave, or that only some hosts or none
// can run.
func (s *State) Prospect(spec *batch.Spec, now time.Time) (Prospect, bool) {
	if spec.Repetitions > 0 || s.needsTicket(spec.Queue) {
		return Prospect{}, false
	}
	p := Prospect{}
	for i := range spec.Steps {
		step := &spec.Steps[i]
		if step.LongRunning || step.BestEffort || step.RequiredLabel != "" || !s.fitsSomeHost(step.Need) {
			return Prospect{}, false
		}
		p.Work = clamp.Add(p.Work, clamp.Int[int64](float64(s.TaskWork(spec, i))*float64(step.Count)))
	}
	path := clamp.Int[time.Duration](float64(spec.CriticalPath()) * s.durationRatios[spec.Queue].median())
	objective := s.objective(&Job{Spec: *spec, AcceptedAt: now}).Sub(now)
	useful := clamp.Int[time.Duration](lateFactor * float64(objective))
	p.LateAt, p.UselessAt = now.Add(max(objective-path, 0)), now.Add(max(useful-path, 0))
	return p, true
}

// TaskWork returns the work of one task of a step, in thousandths of a core-second.
func (s *State) TaskWork(spec *batch.Spec, step int) int64 {
	scale := s.durationRatios[spec.Queue].median()
	took := min(spec.Steps[step].Estimate.Seconds()*scale, maxCountedTime.Seconds())
	return int64(min(float64(spec.Steps[step].Reservation().MilliCores)*took, maxStepWork))
}

// fitsSomeHost reports whether some listed host would have room for a task if nothing else ran there.
func (s *State) fitsSomeHost(need batch.Size) bool {
	for _, h := range s.Hosts {
		if h.Listed && h.Capacity.Fits(need) {
			return true
		}
	}
	return false
}

// Capacity returns the processor capacity of the hosts that may get work, in thousandths of a core, without what
// long-running tasks take.
func (s *State) Capacity(now time.Time) int64 {
	var sum int64
	for _, h := range s.Hosts {
		if s.Schedulable(h, now) {
			sum += max(h.Capacity.MilliCores-h.longRunningUsed.MilliCores, 0)
		}
	}
	return sum
}
