package fake

import (
	"time"

	"carawaymux.dev/fleet/batch"
)

// unitCores is what a task of the tests asks for, in thousandths of a core.
const unitCores = 1000

// ledger is what the hosts have seen of all tasks.
type ledger struct {
	// running holds the runs of each unit that are under way.
	running map[string]map[int64]bool
	done    map[string]bool
	noted   map[string]bool
	fails   map[string]int
	starts  map[string]int
	jobs    map[string]*Job
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

func newLedger() ledger {
	return ledger{
		running: map[string]map[int64]bool{}, done: map[string]bool{}, noted: map[string]bool{},
		fails: map[string]int{}, starts: map[string]int{}, jobs: map[string]*Job{},
	}
}

// maxAttempts is how often a unit may fail, as the tests' configuration says.
const maxAttempts = 3

// cancelWithin is how long after a cancel's answer a unit may still start.
const cancelWithin = 3 * time.Second

// start holds a start against the promises.
func (l *ledger) start(s *state, h *host, o *order) {
	ref, err := batch.ParseRef(o.Task)
	j := l.jobs[ref.Job]
	switch {
	case err != nil || j == nil:
		s.broken("%s: nobody submitted it", o.Task)
		return
	case o.Text != j.Specification:
		s.broken("%s: started with another specification", o.Task)
	case j.Refused:
		s.broken("%s: started, though every try to submit it was refused", o.Task)
	case !j.CancelledAt.IsZero() && time.Since(j.CancelledAt) > cancelWithin:
		s.broken("%s: started %v after its cancel", o.Task, time.Since(j.CancelledAt))
	}
	if len(l.running[o.Task]) > 0 {
		s.broken("%s: run %d on %s beside %v", o.Task, o.Run, h.id, l.running[o.Task])
	}
	if l.noted[o.Task] {
		s.broken("%s: started after its end was noted", o.Task)
	}
	if l.fails[o.Task] >= maxAttempts && j.Specification != SpecRunUntilStopped {
		s.broken("%s: started after %d failures", o.Task, l.fails[o.Task])
	}
	for _, a := range j.After[ref.Step] {
		for i := range j.TaskCounts[a] {
			if before := (batch.Ref{Job: ref.Job, Step: a, Index: i}).String(); !l.done[before] {
				s.broken("%s: started before %s was done", o.Task, before)
			}
		}
	}
	if l.running[o.Task] == nil {
		l.running[o.Task] = map[int64]bool{}
	}
	l.running[o.Task][o.Run] = true
	l.starts[job(o.Task)]++
}

// left says that a run is not under way any more.
func (l *ledger) left(unit string, run int64) { delete(l.running[unit], run) }

// note takes in that an end was taken note of.
func (l *ledger) note(s *state, e *ended) {
	switch e.result {
	case "done":
		if e.lapsed {
			return
		}
		l.noted[e.unit] = true
		if len(l.running[e.unit]) > 0 {
			s.broken("%s: runs while its end is noted", e.unit)
		}
	case "failed":
		l.fails[e.unit]++
	}
}

// RegisterJob tells the world of a job before it is submitted.
func (w *Platform) RegisterJob(j *Job) { w.do(func(s *state) { s.seen.jobs[j.ID] = j }) }

// UpdateJob changes what the world knows of a job.
func (w *Platform) UpdateJob(change func()) { w.do(func(*state) { change() }) }

// AllDone reports whether every task of a job has ended well.
func (w *Platform) AllDone(j *Job) bool {
	return ask(w, func(s *state) bool {
		for step, count := range j.TaskCounts {
			for i := range count {
				if !s.seen.done[(batch.Ref{Job: j.ID, Step: step, Index: i}).String()] {
					return false
				}
			}
		}
		return true
	})
}

// Running counts the runs of a job that are under way.
func (w *Platform) Running(id string) int {
	return ask(w, func(s *state) int {
		n := 0
		for unit, runs := range s.seen.running {
			if job(unit) == id {
				n += len(runs)
			}
		}
		return n
	})
}

// Started counts the starts of a job's units.
func (w *Platform) Started(id string) int {
	return ask(w, func(s *state) int { return s.seen.starts[id] })
}
