package shard

import (
	"slices"
	"time"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/clamp"
	"carawaymux.dev/fleet/port"
)

// Verdict is the answer to a submission.
type Verdict uint8

// The verdicts.
const (
	// Accepted means that the job is new. Callers are told so once the store has it.
	Accepted Verdict = iota
	// Duplicate means that the job was accepted before.
	Duplicate
	// Conflict means that another tenant has submitted a job with the ID.
	Conflict
	// Unplaceable means that no host can run the job, now or later.
	Unplaceable
)

// Configure applies a configuration: the rules of the queues, and whether the pool's hosts enforce
// their capacity. Queues that were removed keep their rules for the jobs that they have accepted.
func (s *State) Configure(c *port.Config) {
	for _, q := range c.Queues {
		s.SetQueue(q)
	}
	for _, p := range c.Pools {
		if p.Name == s.Pool {
			s.EnforcesCapacity = p.EnforcesCapacity
		}
	}
}

// SetQueue sets the rules of a queue, unless newer ones are known.
func (s *State) SetQueue(q port.Queue) {
	if s.Queues[q.Name].Version > q.Version {
		return
	}
	s.Queues[q.Name] = q
	s.needsAdvice = s.needsAdvice || q.Advice != nil
}

// Submit adds a job, unless it is known. The spec must have passed its check.
func (s *State) Submit(id string, spec batch.Spec, now time.Time) (*Job, Verdict) {
	switch j := s.Jobs[id]; {
	case j == nil:
	case j.Spec.Tenant == spec.Tenant:
		j.Unsubmitted = false
		return j, Duplicate
	case !j.Unsubmitted:
		return j, Conflict
	}
	// If another tenant has cancelled a job with the ID that was not submitted, this job replaces the one cancelled.
	j := newJob(id, now)
	j.Spec, j.OccurrencesLeft = spec, spec.Occurrences()
	j.Objective = s.objective(j)
	s.gradeJob(j)
	s.countArrival(j, now)
	s.Jobs[id] = j
	s.openJobs[id] = j
	s.backlog.addJob(j)
	s.recordArrival(j, now)
	return j, Accepted
}

// newJob returns an open job of which nothing else is known.
func newJob(id string, acceptedAt time.Time) *Job {
	return &Job{
		ID: id, Phase: Open, StoredPhase: Open, AcceptedAt: acceptedAt,
		dirtyParts: map[PartRef]struct{}{}, storedParts: map[PartRef]struct{}{},
	}
}

// objective returns the time by which a job should be complete: its acceptance, plus its critical
// path times the stretch of the queue, plus the target of the queue.
func (s *State) objective(j *Job) time.Time {
	q := s.Queues[j.Spec.Queue]
	path := float64(j.Spec.CriticalPath()) * max(q.Stretch, 1)
	return j.AcceptedAt.Add(clamp.Add(clamp.Int[time.Duration](path), q.Target))
}

// MarkStored records that the store has a submitted job.
func (s *State) MarkStored(j *Job) {
	if j.Stored {
		return
	}
	j.Stored = true
	if s.openJobs[j.ID] != j {
		return
	}
	s.backlog.updateJob(j)
}

// DropRejected drops a job that the store has refused, so that it never runs.
func (s *State) DropRejected(id string) {
	if j := s.Jobs[id]; j != nil && !j.Stored {
		delete(s.Jobs, id)
		delete(s.openJobs, id)
		s.backlog.dropJob(j)
	}
}

// CancelOption configures a cancellation.
type CancelOption func(*Job)

// ForTenant says for which tenant a job is cancelled that is unknown.
func ForTenant(name string) CancelOption { return func(j *Job) { j.Spec.Tenant = name } }

// Cancel ends a job. An unknown job is kept as cancelled, because its submission may still
// arrive.
func (s *State) Cancel(id string, now time.Time, opts ...CancelOption) *Job {
	j := s.Jobs[id]
	if j == nil {
		j = newJob(id, now)
		for _, opt := range opts {
			opt(j)
		}
		j.Unsubmitted = true
		s.Jobs[id] = j
	}
	if j.Phase == Open {
		s.closeJob(j, Cancelled, now)
	}
	return j
}

// closeJob sets the final phase of a job and stops all its runs.
func (s *State) closeJob(j *Job, p Phase, now time.Time) {
	j.Phase, j.EndedAt = p, now
	s.countJobEnd(j, now)
	s.ended = append(s.ended, j)
	delete(s.openJobs, j.ID)
	s.backlog.dropJob(j)
	s.dropPermits(j)
	s.markDirty(j)
	s.endUnstored = true
	for oi := range j.Occurrences {
		for si := range j.Occurrences[oi].Stages {
			for i := range j.Occurrences[oi].Stages[si].Tasks {
				task := &j.Occurrences[oi].Stages[si].Tasks[i]
				s.orderStop(batch.Ref{Job: j.ID, Occurrence: oi, Step: si, Index: i}, task, "job "+string(p))
			}
		}
	}
}

// orderStop orders the end of a task's run, if it has one that is not being stopped yet.
func (s *State) orderStop(r batch.Ref, task *Task, why string) {
	if task.Status != Starting && task.Status != Running {
		return
	}
	// A task whose start was not answered stays uncertain until the host confirms the stop.
	if task.Status == Starting {
		task.Status = Uncertain
	} else {
		task.Status = Stopping
	}
	s.orders = append(s.orders, Order{Kind: OrderStop, Host: task.Host, Ref: r, Run: task.Run, Reason: why})
}

// Pending returns the number of accepted jobs of a queue of which nothing has started.
func (s *State) Pending(queue string) int {
	if q := s.backlog.queues[queue]; q != nil {
		return q.pending
	}
	return 0
}

// markStarted records that some work of a job has started.
func (s *State) markStarted(j *Job) {
	j.Started = true
	s.backlog.updatePending(j)
}

// DropExpired drops the jobs whose retention time is over and returns their IDs.
func (s *State) DropExpired(now time.Time) []string {
	over := 0
	for over < len(s.ended) && now.Sub(s.ended[over].EndedAt) > s.Timing.Retention {
		over++
	}
	retained := append(s.kept, s.ended[:over]...)
	s.ended = slices.Delete(s.ended, 0, over)
	var out []string
	s.kept = slices.DeleteFunc(retained, func(j *Job) bool {
		if s.Jobs[j.ID] != j {
			return true
		}
		drop := j.StoredPhase == j.Phase && !j.InInbox && !s.hasRuns(j)
		if drop {
			out = append(out, j.ID)
			delete(s.Jobs, j.ID)
		}
		return drop
	})
	return out
}

// hasRuns reports whether some run of the job has not ended.
func (s *State) hasRuns(j *Job) bool {
	for oi := range j.Occurrences {
		if j.Occurrences[oi].hasRuns() {
			return true
		}
	}
	return false
}
