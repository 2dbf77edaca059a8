package shard

import (
	"slices"
	"time"

	"carawaymux.dev/fleet/batch"
)

// UnitNote is what the store keeps of a task.
type UnitNote struct {
	// Noted is the highest run whose end has been counted.
	Noted int64 `cbor:"1,keyasint,omitempty"`
	// Failed holds the runs that failed.
	Failed []int64 `cbor:"2,keyasint,omitempty"`
	Done   bool    `cbor:"3,keyasint,omitempty"`
	// Saved is the newest checkpoint at the time of writing.
	Saved string `cbor:"4,keyasint,omitempty"`
}

// TurnNote is what the store keeps of an occurrence.
type TurnNote struct {
	// Done says that all steps are done; Stages is then empty.
	Done bool `cbor:"1,keyasint,omitempty"`
	// Stages has one element a step, each with one element a task, or none
	// when all of the step's units are done.
	Stages [][]UnitNote `cbor:"2,keyasint,omitempty"`
}

// Note is what the store keeps of a job's progress.
type Note struct {
	Phase Phase      `cbor:"1,keyasint"`
	Turns []TurnNote `cbor:"2,keyasint,omitempty"`
}

// Change is a job's progress as it is to be stored.
type Change struct {
	Job  *Job
	Note Note
}

// TakeChanges returns the progress of all jobs that changed since the last call.
func (s *State) TakeChanges() []Change {
	out := make([]Change, 0, len(s.dirty))
	for _, j := range s.dirty {
		j.dirty = false
		out = append(out, Change{Job: j, Note: note(j)})
	}
	s.dirty = s.dirty[:0]
	return out
}

// Urgent reports whether a job waits to be shown as ended, so that the next write
// should not wait.
func (s *State) Urgent() bool {
	for _, j := range s.dirty {
		if j.Phase != j.Shown {
			return true
		}
	}
	return false
}

// Dirty reports whether some progress is not yet stored.
func (s *State) Dirty() bool { return len(s.dirty) > 0 }

// Written says that the store has a change.
func (s *State) Written(c Change) { c.Job.Shown = c.Note.Phase }

// Unwritten puts back changes that the store has refused.
func (s *State) Unwritten(changes []Change) {
	for _, c := range changes {
		s.touch(c.Job)
	}
}

func note(j *Job) Note {
	n := Note{Phase: j.Phase}
	if j.Phase != Open {
		// An ended job needs no details: nothing of it starts any more.
		return n
	}
	for t := range j.Turns {
		turn := &j.Turns[t]
		if turn.Left == 0 {
			n.Turns = append(n.Turns, TurnNote{Done: true})
			continue
		}
		tn := TurnNote{Stages: make([][]UnitNote, len(turn.Stages))}
		for g := range turn.Stages {
			if turn.Stages[g].Left == 0 {
				continue
			}
			units := make([]UnitNote, len(turn.Stages[g].Units))
			for i := range units {
				u := &turn.Stages[g].Units[i]
				units[i] = UnitNote{Noted: u.Noted, Failed: slices.Clone(u.Failed), Done: u.Done, Saved: u.Saved}
			}
			tn.Stages[g] = units
		}
		n.Turns = append(n.Turns, tn)
	}
	return n
}

// RestoreCancelled takes in a job of which only the cancellation is stored.
func (s *State) RestoreCancelled(id string, now time.Time) {
	s.Jobs[id] = &Job{ID: id, Phase: Cancelled, Shown: Cancelled, Accepted: now, Closed: now, Unseen: true, Stored: true}
}

// Restore takes a job in as an earlier owner stored it. The note is nil when no
// progress was stored.
func (s *State) Restore(id string, spec batch.Spec, n *Note, now time.Time) {
	age := time.Duration(now.UnixMilli()-spec.AcceptedMS) * time.Millisecond
	j := &Job{
		ID: id, Spec: spec, Phase: Open, TurnsLeft: spec.Occurrences(), Stored: true, Inherited: true,
		Accepted: now.Add(-max(age, 0)),
	}
	if n != nil {
		j.Phase = n.Phase
		for t := range n.Turns {
			s.restoreTurn(j, &n.Turns[t])
		}
		j.Begun = len(n.Turns) > 0 && j.touched()
	}
	j.Shown = j.Phase
	j.Objective = s.objective(j)
	s.Jobs[id] = j
	if j.Phase == Open {
		s.open[id] = j
		return
	}
	// How long ago it ended is not known; it is kept for the whole time again.
	j.Closed = now
}

func (s *State) restoreTurn(j *Job, n *TurnNote) {
	s.openTurn(j)
	t := &j.Turns[len(j.Turns)-1]
	if n.Done {
		t.Stages, t.Left = nil, 0
		j.TurnsLeft--
		return
	}
	for g := range t.Stages {
		stage := &t.Stages[g]
		var units []UnitNote
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
			stage.Units[i] = Unit{Run: u.Noted, Noted: u.Noted, Failed: slices.Clone(u.Failed), Done: u.Done, Saved: u.Saved}
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
	for t := range j.Turns {
		if j.Turns[t].Left == 0 {
			return true
		}
		for g := range j.Turns[t].Stages {
			for i := range j.Turns[t].Stages[g].Units {
				u := &j.Turns[t].Stages[g].Units[i]
				if u.Done || u.Noted > 0 {
					return true
				}
			}
		}
	}
	return false
}
