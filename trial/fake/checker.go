package fake

import (
	"time"

	"carawaymux.dev/fleet/batch"
)

// taskCores is what a task of the tests asks for, in thousandths of a core.
const taskCores = 1000

// checker is what the hosts have seen of all tasks.
type checker struct {
	// running holds the runs of each unit that are under way.
	running      map[string]map[int64]bool
	done         map[string]bool
	acknowledged map[string]bool
	failures     map[string]int
	starts       map[string]int
	jobs         map[string]*Job
}

// Job is a job as its caller knows it.
type Job struct {
	ID            string
	Specification string
	After         map[int][]int
	TaskCounts    []int
	// AcceptedAt and CancelledAt are when the caller heard so; zero before.
	AcceptedAt, CancelledAt time.Time
	// Refused says that every try to hand it in was refused.
	Refused bool
}

func newChecker() checker {
	return checker{
		running: map[string]map[int64]bool{}, done: map[string]bool{}, acknowledged: map[string]bool{},
		failures: map[string]int{}, starts: map[string]int{}, jobs: map[string]*Job{},
	}
}

// maxAttempts is how often a unit may fail, as the tests' configuration says.
const maxAttempts = 3

// cancelGrace is how long after a cancel's answer a unit may still start.
const cancelGrace = 3 * time.Second

// checkStart holds a checkStart against the promises.
func (l *checker) checkStart(s *state, h *host, o *hostOrder) {
	ref, err := batch.ParseRef(o.Task)
	j := l.jobs[ref.Job]
	switch {
	case err != nil || j == nil:
		s.addViolation("%s: nobody submitted it", o.Task)
		return
	case o.Specification != j.Specification:
		s.addViolation("%s: started with another specification", o.Task)
	case j.Refused:
		s.addViolation("%s: started, though every try to submit it was refused", o.Task)
	case !j.CancelledAt.IsZero() && time.Since(j.CancelledAt) > cancelGrace:
		s.addViolation("%s: started %v after its cancel", o.Task, time.Since(j.CancelledAt))
	}
	if len(l.running[o.Task]) > 0 {
		s.addViolation("%s: run %d on %s beside %v", o.Task, o.Run, h.id, l.running[o.Task])
	}
	if l.acknowledged[o.Task] {
		s.addViolation("%s: started after its end was noted", o.Task)
	}
	if l.failures[o.Task] >= maxAttempts && j.Specification != SpecRunUntilStopped {
		s.addViolation("%s: started after %d failures", o.Task, l.failures[o.Task])
	}
	for _, a := range j.After[ref.Step] {
		for i := range j.TaskCounts[a] {
			if before := (batch.Ref{Job: ref.Job, Step: a, Index: i}).String(); !l.done[before] {
				s.addViolation("%s: started before %s was done", o.Task, before)
			}
		}
	}
	if l.running[o.Task] == nil {
		l.running[o.Task] = map[int64]bool{}
	}
	l.running[o.Task][o.Run] = true
	l.starts[jobOf(o.Task)]++
}

// runEnded says that a run is not under way any more.
func (l *checker) runEnded(unit string, run int64) { delete(l.running[unit], run) }

// acknowledge takes in that an end was taken acknowledge of.
func (l *checker) acknowledge(s *state, e *finishedRun) {
	switch e.result {
	case "done":
		if e.leaseExpired {
			return
		}
		l.acknowledged[e.task] = true
		if len(l.running[e.task]) > 0 {
			s.addViolation("%s: runs while its end is noted", e.task)
		}
	case "failed":
		l.failures[e.task]++
	}
}

// RegisterJob tells the world of a job before it is submitted.
func (w *Platform) RegisterJob(j *Job) { w.do(func(s *state) { s.checker.jobs[j.ID] = j }) }

// UpdateJob changes what the world knows of a job.
func (w *Platform) UpdateJob(change func()) { w.do(func(*state) { change() }) }

// AllDone reports whether every task of a job has ended well.
func (w *Platform) AllDone(j *Job) bool {
	return query(w, func(s *state) bool {
		for step, count := range j.TaskCounts {
			for i := range count {
				if !s.checker.done[(batch.Ref{Job: j.ID, Step: step, Index: i}).String()] {
					return false
				}
			}
		}
		return true
	})
}

// Running counts the runs of a job that are under way.
func (w *Platform) Running(id string) int {
	return query(w, func(s *state) int {
		n := 0
		for unit, runs := range s.checker.running {
			if jobOf(unit) == id {
				n += len(runs)
			}
		}
		return n
	})
}

// Started counts the starts of a job's units.
func (w *Platform) Started(id string) int {
	return query(w, func(s *state) int { return s.checker.starts[id] })
}
