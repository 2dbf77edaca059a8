package shard

import (
	"slices"
	"strconv"
	"time"
)

// partTasks is the number of tasks in a part. The last part of an occurrence may have fewer.
const partTasks = 64

// maxWholeTasks is the largest number of open tasks of a job that is stored whole. Each change of such a job
// encodes all of them.
const maxWholeTasks = 2048

// PartRef identifies a part.
type PartRef struct {
	// Occurrence is the occurrence of the job. Number counts the parts of the occurrence from 0: its
	// tasks, in the order of the steps, are divided into parts of equal size.
	Occurrence int `cbor:"1,keyasint,omitempty"`
	Number     int `cbor:"2,keyasint,omitempty"`
}

// String returns OCCURRENCE.NUMBER.
func (r PartRef) String() string { return strconv.Itoa(r.Occurrence) + "." + strconv.Itoa(r.Number) }

// Part is the stored progress of some tasks of an occurrence. The progress of a job is stored in parts once it
// has more than maxWholeTasks or exceeds a record of the store. A part that is not stored has no progress.
type Part struct {
	PartRef
	Tasks []TaskProgress `cbor:"3,keyasint"`
}

// PartedProgress is stored in place of the [Progress] of an open job whose tasks are stored in parts. A
// release that knows no parts cannot decode it, and so starts nothing of the job.
type PartedProgress struct {
	Phase Phase `cbor:"1,keyasint"`
	// Done has a bit for each occurrence, which is set if the occurrence is done. The first occurrence
	// has the lowest bit of the first byte.
	Done []byte `cbor:"2,keyasint"`
}

// bitsPerByte is the number of occurrences in a byte of PartedProgress.
const bitsPerByte = 8

// Encodable returns the value that is stored for a change.
func (c *Change) Encodable() any {
	switch {
	case c.Part != nil:
		return *c.Part
	case c.Progress.Parted:
		return newPartedProgress(c.Progress)
	}
	return c.Progress
}

func newPartedProgress(p Progress) PartedProgress {
	out := PartedProgress{Phase: p.Phase, Done: make([]byte, (len(p.Occurrences)+bitsPerByte-1)/bitsPerByte)}
	for i := range p.Occurrences {
		if p.Occurrences[i].Done {
			out.Done[i/bitsPerByte] |= 1 << (i % bitsPerByte)
		}
	}
	return out
}

// Progress returns the progress that was stored.
func (p PartedProgress) Progress() Progress {
	out := Progress{Phase: p.Phase, Parted: true}
	for i := range len(p.Done) * bitsPerByte {
		if p.Done[i/bitsPerByte]&(1<<(i%bitsPerByte)) != 0 {
			out.Occurrences = append(out.Occurrences, make([]OccurrenceProgress, i+1-len(out.Occurrences))...)
			out.Occurrences[i].Done = true
		}
	}
	return out
}

// partOf returns the part that holds a task of an occurrence.
func (j *Job) partOf(occurrence, step, index int) PartRef {
	for i := range step {
		index += j.Spec.Steps[i].Count
	}
	return PartRef{occurrence, index / partTasks}
}

// partCount returns the number of parts of an occurrence.
func (j *Job) partCount() int { return (j.Spec.TaskCount() + partTasks - 1) / partTasks }

// tasksOf returns the tasks of a part. There are none if the occurrence keeps no tasks.
func (j *Job) tasksOf(ref PartRef) []*Task {
	var out []*Task
	first := 0
	stages := j.Occurrences[ref.Occurrence].Stages
	for i := range stages {
		stages[i].expand()
		tasks := stages[i].Tasks
		from, to := ref.Number*partTasks-first, (ref.Number+1)*partTasks-first
		for k := max(from, 0); k < min(to, len(tasks)); k++ {
			out = append(out, &tasks[k])
		}
		first += len(tasks)
	}
	return out
}

// partProgress returns the progress of a part as it is to be stored. Each task takes at most MaxTaskBytes:
// a longer checkpoint is left out, so that the next owner starts the task from its beginning, and the oldest
// failed runs are only counted.
func (s *State) partProgress(j *Job, ref PartRef) Part {
	out := Part{PartRef: ref}
	for _, task := range j.tasksOf(ref) {
		p := taskProgress(task)
		if s.MaxTaskBytes > 0 {
			if len(p.Checkpoint) > s.MaxTaskBytes/2 {
				p.Checkpoint = ""
			}
			if excess := len(p.FailedRuns) - s.MaxTaskBytes/4/maxRunBytes; excess > 0 {
				p.FailedRuns, p.FailedEarlier = p.FailedRuns[excess:], p.FailedEarlier+excess
			}
		}
		out.Tasks = append(out.Tasks, p)
	}
	return out
}

// maxRunBytes is the largest encoded size of the number of a run.
const maxRunBytes = 9

// MaxTaskBytes returns the limit on the stored progress of a task if the store accepts records up to a number
// of bytes; 0 means that it sets no limit.
func MaxTaskBytes(maxRecordBytes int) int { return maxRecordBytes / partTasks }

// Split has the progress of a job stored in parts, in place of a change of the whole job. The record of the job
// follows its parts, so that the store holds the progress at any time.
func (s *State) Split(c Change) {
	j := c.Job
	j.parted = true
	var queued []Change
	for oi := range j.Occurrences {
		if j.Occurrences[oi].Left == 0 {
			continue
		}
		for number := range j.partCount() {
			part := Part{PartRef: PartRef{oi, number}}
			if slices.ContainsFunc(j.tasksOf(part.PartRef), (*Task).hasProgress) {
				queued = append(queued, Change{Job: j, Part: &part, sequence: c.sequence})
			}
		}
	}
	s.Requeue(append(queued, Change{Job: j, sequence: c.sequence}))
}

// hasProgress reports whether the progress of a task differs from that of one that was never started.
func (t *Task) hasProgress() bool {
	return t.Done || t.Counted > 0 || t.Status != Idle || t.startedEarlier || t.Checkpoint != "" || t.Crashes != (Crashes{})
}

// GiveUp ends a job of which the store cannot hold a change. The end takes the place of the change.
func (s *State) GiveUp(c Change, now time.Time) {
	if c.Job.Phase == Open {
		s.Requeue([]Change{{Job: c.Job, sequence: c.sequence}})
		s.closeJob(c.Job, Failed, now)
	}
}

// restoreParts adds the progress in the parts of a job, whose own record is nil if none is stored. A job whose
// record does not say that it has parts was being split, so that is begun again.
func (s *State) restoreParts(j *Job, stored *Progress, parts []Part) {
	for i := range parts {
		ref := parts[i].PartRef
		if ref.Occurrence < 0 || ref.Occurrence >= j.Spec.Occurrences() || ref.Number < 0 || ref.Number >= j.partCount() {
			s.staleParts = append(s.staleParts, StalePart{j.ID, ref})
			continue
		}
		j.storedParts[ref] = struct{}{}
		if j.Phase != Open {
			continue
		}
		for len(j.Occurrences) <= ref.Occurrence {
			j.addOccurrence()
		}
		for k, task := range j.tasksOf(ref) {
			if k < len(parts[i].Tasks) {
				*task = restoreTask(&parts[i].Tasks[k])
			}
		}
	}
	if len(parts) == 0 {
		return
	}
	for oi := range j.Occurrences {
		j.recountOccurrence(oi)
	}
	if !j.parted && j.Phase == Open {
		s.Split(Change{Job: j})
	}
	if stored != nil {
		s.dropStaleParts(j, *stored)
	}
}

// recountOccurrence counts what is left of an occurrence after its tasks were restored. The success of one
// member of a gang is the success of the gang, also if not all parts with its members were stored.
func (j *Job) recountOccurrence(number int) {
	occ := &j.Occurrences[number]
	if occ.Left == 0 {
		return
	}
	occ.Left = 0
	for si := range occ.Stages {
		stage := &occ.Stages[si]
		stage.expand()
		done := func(t Task) bool { return t.Done }
		if j.Spec.Steps[si].Gang && slices.ContainsFunc(stage.Tasks, done) {
			for i := range stage.Tasks {
				stage.Tasks[i].Done = true
			}
		}
		stage.Left, stage.idle, stage.givenUp = 0, 0, 0
		for i := range stage.Tasks {
			stage.givenUp += count(stage.Tasks[i].Crashes.GivenUp())
			stage.Left += count(!stage.Tasks[i].Done)
			stage.idle += count(!stage.Tasks[i].closed())
		}
		occ.Left += count(stage.Left > 0)
	}
	if occ.Left == 0 {
		j.OccurrencesLeft--
	}
}

// StalePart is a stored part that is no longer needed.
type StalePart struct {
	Job string
	PartRef
}

// dropStaleParts notes the parts of a job that are not needed once the store has the given progress. The
// occurrences that are done keep no tasks then.
func (s *State) dropStaleParts(j *Job, stored Progress) {
	isDone := func(occurrence int) bool {
		return stored.Phase != Open || (occurrence < len(stored.Occurrences) && stored.Occurrences[occurrence].Done)
	}
	for ref := range j.storedParts {
		if isDone(ref.Occurrence) {
			delete(j.storedParts, ref)
			s.staleParts = append(s.staleParts, StalePart{j.ID, ref})
		}
	}
	if !j.parted || stored.Phase != Open {
		return
	}
	for oi := range j.Occurrences {
		if occ := &j.Occurrences[oi]; occ.Left == 0 && isDone(oi) && !occ.hasRuns() {
			occ.forgetTasks()
		}
	}
}

// forgetTasks drops the tasks of an occurrence that is done.
func (o *Occurrence) forgetTasks() { o.Stages, o.work = nil, nil }

// hasRuns reports whether some run of the occurrence has not ended.
func (o *Occurrence) hasRuns() bool {
	for si := range o.Stages {
		if slices.ContainsFunc(o.Stages[si].Tasks, func(t Task) bool { return t.Status != Idle }) {
			return true
		}
	}
	return false
}

// TakeStaleParts returns the stored parts that are to be deleted.
func (s *State) TakeStaleParts() []StalePart {
	out := s.staleParts
	s.staleParts = nil
	return out
}
