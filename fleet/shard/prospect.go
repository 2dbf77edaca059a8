package shard

import (
	"time"

	"carawaymux.dev/fleet/admit"
	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/clamp"
)

// Prospect returns what the admission of a job depends on, and false for a job that is always accepted: one that runs at
// set times or until it is cancelled, that uses what others leave, or that only some hosts can run.
func (s *State) Prospect(id string, spec *batch.Spec) (admit.Job, bool) {
	if spec.Repetitions > 0 || s.needsTicket(spec.Queue) {
		return admit.Job{}, false
	}
	scale := s.durationRatios[spec.Queue].median()
	j := admit.Job{ID: id, Path: clamp.Int[time.Duration](float64(spec.CriticalPath()) * scale)}
	for i := range spec.Steps {
		step := &spec.Steps[i]
		if step.LongRunning || step.BestEffort || step.RequiredLabel != "" {
			return admit.Job{}, false
		}
		j.Work = clamp.Add(j.Work, stepWork(step, step.Count, scale))
	}
	j.Class = admit.Class{Priority: s.Queues[spec.Queue].Priority, Size: admit.SizeOf(j.Work)}
	j.Target = s.objective(&Job{Spec: *spec}).Sub(time.Time{})
	return j, true
}

// RunWork returns the work of one task, in thousandths of a core-second. It is 0 for work that has no end.
func (s *State) RunWork(r batch.Ref) int64 {
	j := s.Jobs[r.Job]
	if j == nil || r.Step >= len(j.Spec.Steps) || j.Spec.Steps[r.Step].LongRunning {
		return 0
	}
	return stepWork(&j.Spec.Steps[r.Step], 1, s.durationRatios[j.Spec.Queue].median())
}

// FreeCapacity returns the processor capacity of the hosts that may get work, in thousandths of a core, without what
// long-running tasks take.
func (s *State) FreeCapacity(now time.Time) int64 {
	var sum int64
	for _, h := range s.sortedHosts() {
		if s.Schedulable(h, now) {
			sum += max(h.Capacity.MilliCores-h.longRunningUsed.MilliCores, 0)
		}
	}
	return sum
}

// Backlog returns the work that waits in thousandths of a core-second: that which can be in time and goes before a job
// while the pool is overloaded, all that can be in time, and the rest. Its cost does not depend on what waits.
func (s *State) Backlog(j *admit.Job) (ahead, waiting, late int64) {
	for _, q := range s.backlog.queues {
		inTime := q.work(q.waiting[0] + q.waiting[1] - q.late)
		waiting, late = clamp.Add(waiting, inTime), clamp.Add(late, q.work(q.late))
		switch {
		case q.priority < j.Class.Priority:
			ahead = clamp.Add(ahead, inTime)
		case q.priority == j.Class.Priority && q.scale > 0:
			var before int64
			for _, work := range q.inTime[:admit.SizeOf(clamp.Int[int64](float64(j.Work)/q.scale))] {
				before += work
			}
			ahead = clamp.Add(ahead, q.work(before))
		}
	}
	return ahead, waiting, late
}

// RecordRefused adds the work of a job that was refused to the arrivals: the pool needs hosts for it all the same.
func (s *State) RecordRefused(spec batch.Spec, now time.Time) { s.recordArrival(&Job{Spec: spec}, now) }
