package shard

import (
	"cmp"
	"slices"
	"time"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/clamp"
	"carawaymux.dev/fleet/grade"
)

// SizeShare orders like another ranking, but while a pool is overloaded it puts the work in time of large jobs before
// other such work of the same priority while fewer of them than their share have been begun, and what has been begun of
// them first of all while their size has less than others. In the order of remaining work alone hardly any of them is in time.
type SizeShare[R Ranking] struct {
	Ranking    R
	Overloaded bool
}

// Compare implements [Ranking].
func (p SizeShare[R]) Compare(a, b *Demand) int {
	if p.Overloaded && !a.LongRunning && !b.LongRunning && a.Slack >= 0 && b.Slack >= 0 && a.Priority == b.Priority {
		if c := cmp.Compare(a.turn(), b.turn()); c != 0 {
			return c
		}
	}
	return p.Ranking.Compare(a, b)
}

// SortKey implements [Ranking].
func (p SizeShare[R]) SortKey(late bool) SortKey { return p.Ranking.SortKey(late) }

// turn is the order of the work of an overloaded pool by the size of its jobs.
type turn uint8

const (
	// begunLarge is the turn of large jobs that have been begun, since half of a job is of no use, while those of their size
	// have less than others.
	begunLarge turn = iota
	// behind is the turn of jobs of a size that has less than its share.
	behind
	otherTurn
)

func (d *Demand) turn() turn {
	switch {
	case d.Job.Size == grade.Rest:
		return otherTurn
	case d.Begun && d.Tally.Behind(d.Job.Size, grade.BegunShare):
		return begunLarge
	case d.Tally.Behind(d.Job.Size, grade.LeastShare):
		return behind
	}
	return otherTurn
}

// queueSizes holds the sizes of the jobs of a queue.
type queueSizes struct {
	sizes grade.Sizes
	tally grade.Tally
}

// sizesOf returns the sizes of the jobs of a queue.
func (s *State) sizesOf(queue string) *queueSizes {
	if s.sizes[queue] == nil {
		s.sizes[queue] = &queueSizes{}
	}
	return s.sizes[queue]
}

// gradeJob sets the size of a job against those that its queue has seen lately.
func (s *State) gradeJob(j *Job) {
	var work int64
	for i := range j.Spec.Steps {
		work = clamp.Add(work, estimatedWork(&j.Spec.Steps[i], j.Spec.Steps[i].Count))
	}
	j.Size = s.sizesOf(j.Spec.Queue).sizes.Add(work)
}

// countArrival counts a job that was submitted to this owner. Jobs that are long-running or run at set times are not counted:
// they are begun whatever the load is, or much later.
func (s *State) countArrival(j *Job, now time.Time) {
	ends := slices.ContainsFunc(j.Spec.Steps, func(step batch.Step) bool { return !step.LongRunning })
	if j.counted = ends && j.Spec.Repetitions == 0; j.counted {
		s.sizesOf(j.Spec.Queue).tally.Arrive(j.Size, now)
	}
}

// countBegun counts a job of which work that ends is started in time, if it is the first of the job.
func (s *State) countBegun(j *Job, now time.Time) {
	if j.begun {
		return
	}
	j.begun = true
	j.finish = s.finishes(j)
	s.backlog.touchJob(j)
	if j.counted {
		j.begunAt = now
		s.sizesOf(j.Spec.Queue).tally.Begin(j.Size, now)
	}
}

// countJobEnd counts the end of a job: one that was begun in time and is late is lost, and one that was cancelled before it was
// begun needs no share.
func (s *State) countJobEnd(j *Job, now time.Time) {
	switch {
	case j.Phase == Cancelled:
		if j.counted && !j.begun {
			s.sizesOf(j.Spec.Queue).tally.Withdraw(j.Size, j.AcceptedAt, now)
		}
	case now.After(j.Objective) && j.lose():
		s.sizesOf(j.Spec.Queue).tally.Lose(j.Size, j.begunAt, now)
	}
}

// lose notes that a job is late, and reports whether that is the first time since it was begun in time.
func (j *Job) lose() bool {
	if !j.counted || !j.begun || j.lost {
		return false
	}
	j.lost = true
	return true
}
