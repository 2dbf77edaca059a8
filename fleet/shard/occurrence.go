package shard

import (
	"container/heap"
	"math"
	"time"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/clamp"
)

// opening is the next occurrence of a job, which is due at a time in milliseconds since 1970.
type opening struct {
	job *Job
	at  int64
	// position is the index in backlog.due.
	position int
}

// criticalPathFrom returns the longest sum of estimated run times along dependent steps, from a
// step on.
func criticalPathFrom(spec *batch.Spec, step int) time.Duration {
	longest := make([]time.Duration, len(spec.Steps))
	for i := len(spec.Steps) - 1; i >= step; i-- {
		// All later steps have added their paths to the steps that they depend on.
		longest[i] = clamp.Add(longest[i], spec.Steps[i].Estimate)
		for _, before := range spec.Steps[i].After {
			longest[before] = max(longest[before], longest[i])
		}
	}
	return longest[step]
}

// ready reports whether all predecessors of a step are done.
func (o *Occurrence) ready(spec *batch.Spec, step int) bool {
	for _, a := range spec.Steps[step].After {
		if o.Stages[a].Left > 0 {
			return false
		}
	}
	return true
}

// workLeft is the estimated work of the tasks of an occurrence that are not done.
type workLeft struct {
	sum int64
	// known is false after a task was done.
	known bool
}

// left returns the work.
func (l *workLeft) left(spec *batch.Spec, stages []Stage) int64 {
	if !l.known {
		l.sum, l.known = 0, true
		for si := range stages {
			l.sum += estimatedWork(&spec.Steps[si], stages[si].Left)
		}
	}
	return l.sum
}

// maxOpenTasks limits the tasks of one job in the occurrences that are open at once. Further occurrences
// open as earlier ones are done. One occurrence is always open.
const maxOpenTasks = 65_536

// openOccurrences returns the number of occurrences that are due and not done.
func (j *Job) openOccurrences() int {
	return len(j.Occurrences) - (j.Spec.Occurrences() - j.OccurrencesLeft)
}

// mayOpen reports whether another occurrence of a job may be opened.
func (j *Job) mayOpen() bool {
	open := j.openOccurrences()
	return open == 0 || (open+1)*j.Spec.TaskCount() <= maxOpenTasks
}

// nextDue returns when the next occurrence of a job is due, in milliseconds since 1970.
func (j *Job) nextDue() int64 {
	if j.Spec.Repetitions == 0 {
		return math.MinInt64
	}
	return j.dueAt(len(j.Occurrences))
}

// openDue opens the occurrences that are due. An inherited job may have more open occurrences than
// are due by the clock of this owner.
func (s *State) openDue(wall int64) {
	b := &s.backlog
	for len(b.due) > 0 && b.due[0].at <= wall {
		j := heap.Pop(&b.due).(*opening).job
		for b.unopened[j.ID] == j && j.nextDue() <= wall && j.mayOpen() {
			s.openOccurrence(j)
		}
		switch {
		case b.unopened[j.ID] != j:
		case j.nextDue() <= wall:
			j.opensLater = true
		default:
			b.scheduleOpening(j)
		}
	}
}

// scheduleOpening has the next occurrence of a job opened when it is due.
func (b *backlog) scheduleOpening(j *Job) { heap.Push(&b.due, &opening{job: j, at: j.nextDue()}) }

// resumeOpening has the occurrences of a job opened again that had too many open tasks.
func (b *backlog) resumeOpening(j *Job) {
	if j.opensLater {
		j.opensLater = false
		b.scheduleOpening(j)
	}
}
