package shard

import (
	"slices"
	"time"

	"carawaymux.dev/fleet/batch"
)

// UnitProgress is what the store keeps of a task.
type UnitProgress struct {
	// Counted is the highest run whose end has been counted.
	Counted int64 `cbor:"1,keyasint,omitempty"`
	// FailedRuns holds the runs that failed.
	FailedRuns []int64 `cbor:"2,keyasint,omitempty"`
	Done       bool    `cbor:"3,keyasint,omitempty"`
	// Checkpoint is the newest checkpoint at the time of writing.
	Checkpoint string `cbor:"4,keyasint,omitempty"`
}

// OccurrenceProgress is what the store keeps of an occurrence.
type OccurrenceProgress struct {
	// Done says that all steps are done; Stages is then empty.
	Done bool `cbor:"1,keyasint,omitempty"`
	// Stages has one element a step, each with one element a task, or none
	// when all of the step's units are done.
	Stages [][]UnitProgress `cbor:"2,keyasint,omitempty"`
}

// Progress is what the store keeps of a job's progress.
type Progress struct {
	Phase       Phase                `cbor:"1,keyasint"`
	Occurrences []OccurrenceProgress `cbor:"2,keyasint,omitempty"`
}

// Change is a job's progress as it is to be stored.
type Change struct {
	Job      *Job
	Progress Progress
}

// TakeChanges returns the progress of all jobs that changed since the last call.
func (s *State) TakeChanges() []Change {
	out := make([]Change, 0, len(s.dirty))
	for _, j := range s.dirty {
		j.dirty = false
		out = append(out, Change{Job: j, Progress: note(j)})
	}
	s.dirty = s.dirty[:0]
	return out
}

// NeedsFlush reports whether a job waits to be shown as ended, so that the next write
// should not wait.
func (s *State) NeedsFlush() bool {
	for _, j := range s.dirty {
		if j.Phase != j.StoredPhase {
			return true
		}
	}
	return false
}

// Dirty reports whether some progress is not yet stored.
func (s *State) Dirty() bool { return len(s.dirty) > 0 }

// MarkWritten says that the store has a change.
func (s *State) MarkWritten(c Change) { c.Job.StoredPhase = c.Progress.Phase }

// Requeue puts back changes that the store has refused.
func (s *State) Requeue(changes []Change) {
	for _, c := range changes {
		s.touch(c.Job)
	}
}

func note(j *Job) Progress {
	n := Progress{Phase: j.Phase}
	if j.Phase != Open {
		// An ended job needs no details: nothing of it starts any more.
		return n
	}
	for t := range j.Occurrences {
		turn := &j.Occurrences[t]
		if turn.Left == 0 {
			n.Occurrences = append(n.Occurrences, OccurrenceProgress{Done: true})
			continue
		}
		tn := OccurrenceProgress{Stages: make([][]UnitProgress, len(turn.Stages))}
		for g := range turn.Stages {
			if turn.Stages[g].Left == 0 {
				continue
			}
			units := make([]UnitProgress, len(turn.Stages[g].Units))
			for i := range units {
				u := &turn.Stages[g].Units[i]
				units[i] = UnitProgress{Counted: u.Counted, FailedRuns: slices.Clone(u.FailedRuns), Done: u.Done, Checkpoint: u.Checkpoint}
			}
			tn.Stages[g] = units
		}
		n.Occurrences = append(n.Occurrences, tn)
	}
	return n
}

// RestoreCancelled takes in a job of which only the cancellation is stored.
func (s *State) RestoreCancelled(id string, now time.Time) {
	s.Jobs[id] = &Job{ID: id, Phase: Cancelled, StoredPhase: Cancelled, AcceptedAt: now, EndedAt: now, Unsubmitted: true, Stored: true}
}

// Restore takes a job in as an earlier owner stored it. The note is nil when no
// progress was stored.
func (s *State) Restore(id string, spec batch.Spec, n *Progress, now time.Time) {
	age := time.Duration(now.UnixMilli()-spec.AcceptedMS) * time.Millisecond
	j := &Job{
		ID: id, Spec: spec, Phase: Open, OccurrencesLeft: spec.Occurrences(), Stored: true, Inherited: true,
		AcceptedAt: now.Add(-max(age, 0)),
	}
	if n != nil {
		j.Phase = n.Phase
		for t := range n.Occurrences {
			s.restoreTurn(j, &n.Occurrences[t])
		}
		j.Begun = len(n.Occurrences) > 0 && j.touched()
	}
	j.StoredPhase = j.Phase
	j.Objective = s.objective(j)
	s.Jobs[id] = j
	if j.Phase == Open {
		s.open[id] = j
		return
	}
	// How long ago it ended is not known; it is kept for the whole time again.
	j.EndedAt = now
}

func (s *State) restoreTurn(j *Job, n *OccurrenceProgress) {
	s.openTurn(j)
	t := &j.Occurrences[len(j.Occurrences)-1]
	if n.Done {
		t.Stages, t.Left = nil, 0
		j.OccurrencesLeft--
		return
	}
	for g := range t.Stages {
		stage := &t.Stages[g]
		var units []UnitProgress
		if g < len(n.Stages) {
			units = n.Stages[g]
		}
		if len(units) != len(stage.Units) {
			// A step without details is done.
			for i := range stage.Units {
				stage.Units[i].Done = true
			}
			stage.Left, stage.idle = 0, 0
			t.Left--
			continue
		}
		for i, u := range units {
			stage.Units[i] = Unit{Run: u.Counted, Counted: u.Counted, FailedRuns: slices.Clone(u.FailedRuns), Done: u.Done, Checkpoint: u.Checkpoint}
			if u.Done {
				stage.Left--
				stage.idle--
			}
		}
		if stage.Left == 0 {
			t.Left--
		}
	}
}

// touched reports whether some run of the job has ended.
func (j *Job) touched() bool {
	for t := range j.Occurrences {
		if j.Occurrences[t].Left == 0 {
			return true
		}
		for g := range j.Occurrences[t].Stages {
			for i := range j.Occurrences[t].Stages[g].Units {
				u := &j.Occurrences[t].Stages[g].Units[i]
				if u.Done || u.Counted > 0 {
					return true
				}
			}
		}
	}
	return false
}
