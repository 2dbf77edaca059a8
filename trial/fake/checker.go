package fake

import (
	"time"

	"carawaymux.dev/fleet/batch"
)

// taskCores and taskMemory are what each task of the tests requests, in thousandths of a core and in MB.
const taskCores, taskMemory = 1000, 100

// smallCores and smallMemory are what small tasks request, of which a host ends more at a time than it lists in one answer.
const smallCores, smallMemory = 1, 1

// checker records the starts and ends of all tasks on all hosts and checks them against the
// guarantees of the entries.
type checker struct {
	// running holds the runs of each task that are under way. done and acknowledged hold the tasks
	// that have succeeded, and those whose success an entry has acknowledged. failures and starts
	// count by task and by job.
	running      map[string]map[int64]bool
	done         map[string]bool
	acknowledged map[string]bool
	failures     map[string]int
	starts       map[string]int
	// startedAt holds when each task was last started.
	startedAt map[string]time.Time
	// failedRuns counts the runs of each task that have failed, acknowledged or not.
	failedRuns map[string]int
	// crashes counts the hosts that have crashed under each task, and startsAfterCrashes its starts
	// after the first crashLimit of them.
	crashes, startsAfterCrashes map[string]int
	jobs                        map[string]*Job
}

// Job is a job as its caller has submitted it.
type Job struct {
	ID            string
	Specification string
	// After holds the steps that each step depends on, TaskCounts the number of tasks of each step.
	After      map[int][]int
	TaskCounts []int
	// Small holds the steps whose tasks are small.
	Small map[int]bool
	// AcceptedAt and CancelledAt are when the caller received the confirmation; zero before.
	AcceptedAt, CancelledAt time.Time
	// Crash describes the tasks of the job that crash their hosts; nil for none.
	Crash *Crash
	// Refused is set when every attempt to submit the job was refused.
	Refused bool
}

func newChecker() checker {
	return checker{
		running: map[string]map[int64]bool{}, done: map[string]bool{}, acknowledged: map[string]bool{},
		failures: map[string]int{}, starts: map[string]int{}, startedAt: map[string]time.Time{}, failedRuns: map[string]int{},
		crashes: map[string]int{}, startsAfterCrashes: map[string]int{}, jobs: map[string]*Job{},
	}
}

// maxAttempts is the number of failures after which a task is not started again; [Config]
// publishes it.
const maxAttempts = 3

// cancelGrace is how long a task may still start after its caller got the response to a
// cancellation.
const cancelGrace = 3 * time.Second

// checkStart records the start of a task and checks it against the guarantees.
func (c *checker) checkStart(s *state, h *host, o *hostOrder, now time.Time) {
	ref, err := batch.ParseRef(o.Task)
	j := c.jobs[ref.Job]
	switch {
	case err != nil || j == nil:
		s.addViolation("task %s started, but its job was never submitted", o.Task)
		return
	case o.Specification != j.Specification:
		s.addViolation("task %s started with a specification other than the submitted one", o.Task)
	case j.Refused:
		s.addViolation("task %s started, but every attempt to submit its job was refused", o.Task)
	case !j.CancelledAt.IsZero() && time.Since(j.CancelledAt) > cancelGrace:
		s.addViolation("task %s started %v after its job was cancelled", o.Task, time.Since(j.CancelledAt))
	}
	if len(c.running[o.Task]) > 0 {
		s.addViolation("task %s: run %d started on host %s while other runs are under way: %v", o.Task, o.Run, h.id, c.running[o.Task])
	}
	if c.acknowledged[o.Task] {
		s.addViolation("task %s started after an entry had acknowledged its success", o.Task)
	}
	if c.failures[o.Task] >= maxAttempts && j.Specification != SpecRunUntilStopped {
		s.addViolation("task %s started again after %d failures", o.Task, c.failures[o.Task])
	}
	c.checkCrashBudget(s, o.Task)
	c.checkCapacity(s, h, o.Task, now)
	for _, step := range j.After[ref.Step] {
		for i := range j.TaskCounts[step] {
			if dependency := (batch.Ref{Job: ref.Job, Step: step, Index: i}).String(); !c.done[dependency] {
				s.addViolation("task %s started before task %s, on which it depends, was done", o.Task, dependency)
			}
		}
	}
	if c.running[o.Task] == nil {
		c.running[o.Task] = map[int64]bool{}
	}
	c.running[o.Task][o.Run] = true
	c.starts[jobOf(o.Task)]++
	c.startedAt[o.Task] = now
}

// runEnded records that a run is no longer under way.
func (c *checker) runEnded(task string, run int64) { delete(c.running[task], run) }

// acknowledge records that an entry has acknowledged a finished run. A success does not count when
// the lease of the host has expired since.
func (c *checker) acknowledge(s *state, e *finishedRun) {
	switch e.result {
	case "done":
		if e.leaseExpired {
			return
		}
		c.acknowledged[e.task] = true
		if len(c.running[e.task]) > 0 {
			s.addViolation("task %s is still running while an entry acknowledges its success", e.task)
		}
		if c.startedAt[e.task].After(e.endedAt) {
			s.addViolation("task %s was started again before an entry acknowledged its success", e.task)
		}
	case "failed":
		c.failures[e.task]++
	}
}

// RegisterJob registers a job with the checker; it must be called before the job is submitted.
func (fp *Platform) RegisterJob(j *Job) { fp.do(func(s *state) { s.checker.jobs[j.ID] = j }) }

// UpdateJob runs a change of a registered job in the platform's task.
func (fp *Platform) UpdateJob(change func()) { fp.do(func(*state) { change() }) }

// AllDone reports whether every task of a job has succeeded.
func (fp *Platform) AllDone(j *Job) bool {
	return query(fp, func(s *state) bool {
		for _, task := range j.tasks() {
			if !s.checker.done[task] {
				return false
			}
		}
		return true
	})
}

// Release ends all runs of a job whose specification is [SpecRunUntilReleased].
func (fp *Platform) Release(id string) { fp.do(func(s *state) { s.released[id] = true }) }

// Running counts the runs of a job that are under way.
func (fp *Platform) Running(id string) int {
	return query(fp, func(s *state) int {
		n := 0
		for task, runs := range s.checker.running {
			if jobOf(task) == id {
				n += len(runs)
			}
		}
		return n
	})
}

// Started counts the starts of all tasks of a job.
func (fp *Platform) Started(id string) int {
	return query(fp, func(s *state) int { return s.checker.starts[id] })
}
