package shard

import (
	"slices"
	"time"

	"carawaymux.dev/fleet/batch"
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
}

// Change is the progress of a job that has to be stored.
type Change struct {
	Job      *Job
	Progress Progress
}

// TakeChanges returns the progress of all jobs that changed since the last call.
func (s *State) TakeChanges() []Change {
	out := make([]Change, 0, len(s.dirty))
	for _, j := range s.dirty {
		j.dirty = false
		out = append(out, Change{Job: j, Progress: progressOf(j)})
	}
	s.dirty, s.endUnstored = s.dirty[:0], false
	return out
}

// NeedsFlush reports whether the end of some job is not stored yet. The next write should not be
// delayed then, since callers are told of the end only once it is stored.
func (s *State) NeedsFlush() bool {
	if !s.endUnstored {
		return false
	}
	for _, j := range s.dirty {
		if j.Phase != j.StoredPhase {
			return true
		}
	}
	return false
}

// Dirty reports whether some progress is not stored yet.
func (s *State) Dirty() bool { return len(s.dirty) > 0 }

// MarkWritten records that the store has a change.
func (s *State) MarkWritten(c Change) { c.Job.StoredPhase = c.Progress.Phase }

// Requeue marks jobs as changed again whose changes the store has refused.
func (s *State) Requeue(changes []Change) {
	for _, c := range changes {
		s.markDirty(c.Job)
	}
	s.endUnstored = true
}

// progressOf returns the progress of a job as it is to be stored.
func progressOf(j *Job) Progress {
	out := Progress{Phase: j.Phase}
	if j.Phase != Open {
		// An ended job needs no details, because nothing of it starts again.
		return out
	}
	for oi := range j.Occurrences {
		occ := &j.Occurrences[oi]
		if occ.Left == 0 {
			out.Occurrences = append(out.Occurrences, OccurrenceProgress{Done: true})
			continue
		}
		progress := OccurrenceProgress{Stages: make([][]TaskProgress, len(occ.Stages))}
		for si := range occ.Stages {
			if occ.Stages[si].Left == 0 {
				continue
			}
			tasks := make([]TaskProgress, len(occ.Stages[si].Tasks))
			for i := range tasks {
				task := &occ.Stages[si].Tasks[i]
				tasks[i] = TaskProgress{Counted: task.Counted, FailedRuns: slices.Clone(task.FailedRuns), Done: task.Done, Checkpoint: task.Checkpoint}
				tasks[i].Started = task.startedEarlier || task.Status != Idle
				if task.Crashes != (Crashes{}) {
					crashes := task.Crashes
					tasks[i].Crashes = &crashes
				}
			}
			progress.Stages[si] = tasks
		}
		out.Occurrences = append(out.Occurrences, progress)
	}
	return out
}

// RestoreCancelled adds a job of which only the cancellation is stored.
func (s *State) RestoreCancelled(id string, now time.Time) {
	s.Jobs[id] = &Job{ID: id, Phase: Cancelled, StoredPhase: Cancelled, AcceptedAt: now, EndedAt: now, Unsubmitted: true, Stored: true}
}

// Restore adds a job that an earlier owner has stored. The progress is nil when none was stored.
func (s *State) Restore(id string, spec batch.Spec, stored *Progress, now time.Time) {
	age := time.Duration(now.UnixMilli()-spec.AcceptedMS) * time.Millisecond
	j := &Job{
		ID: id, Spec: spec, Phase: Open, OccurrencesLeft: spec.Occurrences(), Stored: true, Inherited: true,
		AcceptedAt: now.Add(-max(age, 0)),
	}
	if stored != nil {
		j.Phase = stored.Phase
		for oi := range stored.Occurrences {
			restoreOccurrence(j, &stored.Occurrences[oi])
		}
		j.Started = len(stored.Occurrences) > 0 && j.hasCountedEnds()
	}
	j.StoredPhase = j.Phase
	j.Objective = s.objective(j)
	s.Jobs[id] = j
	if j.Phase == Open {
		s.openJobs[id] = j
		s.backlog.addJob(j)
		s.addRestored(j)
		return
	}
	// The time since its end is unknown, so the job is kept for the whole retention time again.
	j.EndedAt = now
}

func restoreOccurrence(j *Job, stored *OccurrenceProgress) {
	j.addOccurrence()
	occ := &j.Occurrences[len(j.Occurrences)-1]
	if stored.Done {
		occ.Stages, occ.work, occ.Left = nil, nil, 0
		j.OccurrencesLeft--
		return
	}
	for si := range occ.Stages {
		stage := &occ.Stages[si]
		var tasks []TaskProgress
		if si < len(stored.Stages) {
			tasks = stored.Stages[si]
		}
		if len(tasks) != len(stage.Tasks) {
			// A step without details is done.
			for i := range stage.Tasks {
				stage.Tasks[i].Done = true
			}
			stage.Left, stage.idle = 0, 0
			occ.Left--
			continue
		}
		for i, p := range tasks {
			stage.Tasks[i] = Task{Run: p.Counted, Counted: p.Counted, FailedRuns: slices.Clone(p.FailedRuns), Done: p.Done, Checkpoint: p.Checkpoint, startedEarlier: p.Started}
			if p.Crashes != nil {
				stage.Tasks[i].Crashes = *p.Crashes
			}
			if p.Done {
				stage.Left--
				stage.idle--
			}
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
