package shard

import (
	"slices"
	"time"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/clamp"
)

// TaskProgress is the stored progress of a task.
type TaskProgress struct {
	// Counted is the highest run whose end has been counted.
	Counted int64 `cbor:"1,keyasint,omitempty"`
	// FailedRuns holds the runs that failed.
	FailedRuns []int64 `cbor:"2,keyasint,omitempty"`
	Done       bool    `cbor:"3,keyasint,omitempty"`
	// Checkpoint is the newest checkpoint at the time of writing.
	Checkpoint string `cbor:"4,keyasint,omitempty"`
	// Crashes is nil if no host has crashed under the task.
	Crashes *Crashes `cbor:"5,keyasint,omitempty"`
	// Started reports whether a run was ordered whose end has not been counted.
	Started bool `cbor:"6,keyasint,omitempty"`
	// FailedEarlier is the number of failed runs in addition to FailedRuns.
	FailedEarlier int `cbor:"7,keyasint,omitempty"`
}

// OccurrenceProgress is the stored progress of an occurrence.
type OccurrenceProgress struct {
	// Done reports whether all steps are done. If so, Stages is empty.
	Done bool `cbor:"1,keyasint,omitempty"`
	// Stages has one element for each step. Each holds one element for each task, or none when
	// all tasks of the step are done.
	Stages [][]TaskProgress `cbor:"2,keyasint,omitempty"`
}

// Progress is the stored progress of a job.
type Progress struct {
	Phase       Phase                `cbor:"1,keyasint"`
	Occurrences []OccurrenceProgress `cbor:"2,keyasint,omitempty"`
	// Unsubmitted reports whether the job was cancelled before it was submitted, and Tenant by which tenant.
	Unsubmitted bool   `cbor:"3,keyasint,omitempty"`
	Tenant      string `cbor:"4,keyasint,omitempty"`
	// Parted reports whether the tasks are stored in parts. The occurrences then only show which
	// of them are done. It is stored as a [PartedProgress].
	Parted bool `cbor:"-"`
}

// Change is progress that has to be stored: that of a whole job, or one part of it.
type Change struct {
	Job *Job
	// Progress is set unless Part is.
	Progress Progress
	Part     *Part
	// sequence orders the changes by when they began to wait.
	sequence int64
}

// unit is progress that waits to be stored. Its part is nil for the progress of a whole job.
type unit struct {
	*Job
	part     *PartRef
	sequence int64
}

// TakeChanges returns the progress of all jobs that changed since the last call.
func (s *State) TakeChanges() []Change {
	for _, u := range s.dirty {
		if u.part == nil && !u.parted && u.Phase == Open && u.openOccurrences()*u.Spec.TaskCount() > maxWholeTasks {
			s.Split(Change{Job: u.Job, sequence: u.sequence})
		}
	}
	out := make([]Change, 0, len(s.dirty))
	whole := map[*Job]bool{}
	for _, u := range s.dirty {
		switch {
		case u.part != nil && u.Phase == Open && u.Occurrences[u.part.Occurrence].Left > 0:
			part := s.partProgress(u.Job, *u.part)
			out = append(out, Change{Job: u.Job, Part: &part, sequence: u.sequence})
		case !whole[u.Job]:
			// The record of the job covers the parts of ended jobs and of occurrences that are done.
			whole[u.Job] = true
			out = append(out, Change{Job: u.Job, Progress: progressOf(u.Job), sequence: u.sequence})
		}
		u.dirty = false
		clear(u.dirtyParts)
	}
	s.dirty, s.endUnstored = s.dirty[:0], false
	return out
}

// NewestChange returns a number that is at least that of each change that waits to be stored.
func (s *State) NewestChange() int64 { return s.changeSequence }

// HasChangeUpTo reports whether a change waits to be stored whose number is at most the given one.
func (s *State) HasChangeUpTo(number int64) bool {
	return slices.ContainsFunc(s.dirty, func(u unit) bool { return u.sequence <= number })
}

// NeedsFlush reports whether the end of some job is not stored yet. The next write should not be
// delayed then, since callers are told of the end only once it is stored.
func (s *State) NeedsFlush() bool {
	if !s.endUnstored {
		return false
	}
	for _, u := range s.dirty {
		if u.Phase != u.StoredPhase {
			return true
		}
	}
	return false
}

// Dirty reports whether some progress is not stored yet.
func (s *State) Dirty() bool { return len(s.dirty) > 0 }

// MarkWritten records that the store has a change.
func (s *State) MarkWritten(c Change) {
	if c.Part != nil {
		c.Job.storedParts[c.Part.PartRef] = struct{}{}
		return
	}
	c.Job.StoredPhase = c.Progress.Phase
	s.dropStaleParts(c.Job, c.Progress)
	s.compact(c.Job)
}

// compact drops what is not needed of a job whose end is stored.
func (s *State) compact(j *Job) {
	if j.Phase == Open || j.StoredPhase != j.Phase || !j.Stored || s.hasRuns(j) {
		return
	}
	for oi := range j.Occurrences {
		j.Occurrences[oi].forgetTasks()
	}
	j.Spec.Text, j.waiting = "", nil
}

// Requeue marks changes as not stored that had no room in an append. They keep their numbers.
func (s *State) Requeue(changes []Change) {
	queued := make([]unit, 0, len(changes)+len(s.dirty))
	for _, c := range changes {
		u := unit{Job: c.Job, sequence: c.sequence}
		if c.Part != nil {
			u.part = &c.Part.PartRef
		}
		if c.Job.setDirty(u.part) {
			queued = append(queued, u)
		}
	}
	s.dirty = append(queued, s.dirty...)
	s.endUnstored = true
}

// progressOf returns the progress of a job as it is to be stored.
func progressOf(j *Job) Progress {
	out := Progress{Phase: j.Phase}
	if j.Unsubmitted {
		out.Unsubmitted, out.Tenant = true, j.Spec.Tenant
	}
	if j.Phase != Open {
		// An ended job needs no details, because nothing of it starts again.
		return out
	}
	out.Parted = j.parted
	for oi := range j.Occurrences {
		occ := &j.Occurrences[oi]
		if occ.Left == 0 || j.parted {
			out.Occurrences = append(out.Occurrences, OccurrenceProgress{Done: occ.Left == 0})
			continue
		}
		progress := OccurrenceProgress{Stages: make([][]TaskProgress, len(occ.Stages))}
		for si := range occ.Stages {
			if occ.Stages[si].Left == 0 {
				continue
			}
			tasks := make([]TaskProgress, occ.Stages[si].count)
			for i := range occ.Stages[si].Tasks {
				tasks[i] = taskProgress(&occ.Stages[si].Tasks[i])
			}
			progress.Stages[si] = tasks
		}
		out.Occurrences = append(out.Occurrences, progress)
	}
	return out
}

func taskProgress(task *Task) TaskProgress {
	out := TaskProgress{
		Counted: task.Counted, FailedRuns: slices.Clone(task.FailedRuns), FailedEarlier: task.FailedEarlier, Done: task.Done,
		Checkpoint: task.Checkpoint, Started: task.startedEarlier || task.Status != Idle,
	}
	if task.Crashes != (Crashes{}) {
		crashes := task.Crashes
		out.Crashes = &crashes
	}
	return out
}

func restoreTask(p *TaskProgress) Task {
	out := Task{
		Run: p.Counted, Counted: p.Counted, FailedRuns: slices.Clone(p.FailedRuns), FailedEarlier: p.FailedEarlier, Done: p.Done,
		Checkpoint: p.Checkpoint, startedEarlier: p.Started,
	}
	if p.Crashes != nil {
		out.Crashes = *p.Crashes
	}
	return out
}

// RestoreCancelled adds a job of which only the cancellation is stored.
func (s *State) RestoreCancelled(id string, now time.Time, opts ...CancelOption) {
	j := newJob(id, now)
	for _, opt := range opts {
		opt(j)
	}
	j.Phase, j.StoredPhase, j.EndedAt, j.Unsubmitted, j.Stored = Cancelled, Cancelled, now, true, true
	s.Jobs[id] = j
	s.ended = append(s.ended, j)
}

// RestoreOption configures [State.Restore].
type RestoreOption func(*restored)

// restored is what is known of a job in addition to its progress.
type restored struct{ parts []Part }

// WithParts passes the parts of a job that are stored. They are newer than its progress.
func WithParts(parts []Part) RestoreOption { return func(r *restored) { r.parts = parts } }

// Restore adds a job that an earlier owner has stored. The progress is nil when none was stored.
func (s *State) Restore(id string, spec batch.Spec, stored *Progress, now time.Time, opts ...RestoreOption) {
	var known restored
	for _, opt := range opts {
		opt(&known)
	}
	age := clamp.Millis(clamp.Sub(now.UnixMilli(), spec.AcceptedMS))
	j := newJob(id, now.Add(-max(age, 0)))
	j.Spec, j.OccurrencesLeft, j.Stored, j.Inherited = spec, spec.Occurrences(), true, true
	if stored != nil && stored.Unsubmitted && stored.Tenant != spec.Tenant {
		// Another tenant has cancelled a job with the ID before this one was submitted.
		stored = nil
	}
	if stored != nil {
		j.Phase, j.parted = stored.Phase, stored.Parted
		for oi := range stored.Occurrences {
			restoreOccurrence(j, &stored.Occurrences[oi], stored.Parted)
		}
	}
	s.restoreParts(j, stored, known.parts)
	j.Started = len(j.Occurrences) > 0 && j.hasCountedEnds()
	j.StoredPhase = j.Phase
	j.Objective = s.objective(j)
	s.Jobs[id] = j
	if j.Phase == Open {
		s.gradeJob(j)
		s.openJobs[id] = j
		s.backlog.addJob(j)
		s.addRestored(j)
		if j.OccurrencesLeft == 0 {
			s.closeJob(j, Completed, now)
		}
		return
	}
	// The time since its end is unknown, so the job is kept for the whole retention time again.
	j.EndedAt = now
	s.ended = append(s.ended, j)
}

// restoreOccurrence adds an occurrence from the progress of its job. If its tasks are stored in parts, nothing
// of them is known yet.
func restoreOccurrence(j *Job, stored *OccurrenceProgress, parted bool) {
	j.addOccurrence()
	occ := &j.Occurrences[len(j.Occurrences)-1]
	if stored.Done {
		occ.forgetTasks()
		occ.Left = 0
		j.OccurrencesLeft--
		return
	}
	if parted {
		return
	}
	for si := range occ.Stages {
		stage := &occ.Stages[si]
		var tasks []TaskProgress
		if si < len(stored.Stages) {
			tasks = stored.Stages[si]
		}
		stage.expand()
		if len(tasks) != stage.count {
			// A step without details is done.
			for i := range stage.Tasks {
				stage.Tasks[i].Done = true
			}
			stage.Left, stage.idle = 0, 0
			occ.Left--
			continue
		}
		for i := range tasks {
			stage.Tasks[i] = restoreTask(&tasks[i])
			stage.Left -= count(tasks[i].Done)
			stage.idle -= count(stage.Tasks[i].closed())
			stage.givenUp += count(stage.Tasks[i].Crashes.GivenUp())
		}
		if stage.Left == 0 {
			occ.Left--
		}
	}
}

// hasCountedEnds reports whether some run of the job has ended.
func (j *Job) hasCountedEnds() bool {
	for oi := range j.Occurrences {
		if j.Occurrences[oi].Left == 0 {
			return true
		}
		for si := range j.Occurrences[oi].Stages {
			for i := range j.Occurrences[oi].Stages[si].Tasks {
				task := &j.Occurrences[oi].Stages[si].Tasks[i]
				if task.Done || task.Counted > 0 {
					return true
				}
			}
		}
	}
	return false
}
