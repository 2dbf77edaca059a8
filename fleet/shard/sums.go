package shard

import (
	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/clamp"
)

// lateness says whether a step can still meet its objective.
type lateness uint8

const (
	inTime lateness = iota
	// late steps can no longer meet their objective, and are still of use.
	late
	// expired steps are of jobs that have taken usefulFactor times their objective, which callers hardly wait for.
	expired
)

// usefulFactor is how many times its objective the work of a job is of use.
const usefulFactor = 3

// load is what a stage adds to the sums of the backlog.
type load struct {
	waiting, future                int64
	late, expired                  int64
	longRunning                    batch.Size
	tasks, longRunningTasks, hosts int
	// requested is what the tasks request that could start, and unreserved the processor capacity that best-effort ones request.
	requested  batch.Size
	unreserved int64
}

// sumUp updates what a stage adds to the sums.
func (b *backlog) sumUp(j *Job, step *batch.Step, stage *Stage, live, ready bool) {
	if !live && stage.load == (load{}) {
		return
	}
	var now load
	q := b.queue(j)
	if live && step.LongRunning {
		left := stage.Left - stage.givenUp
		now.longRunning = timesSize(step.Reservation(), left)
		if step.PerHost > 0 && left > 0 {
			now.hosts = (step.Count-stage.givenUp-1)/step.PerHost + 1
		}
	}
	if live && !step.LongRunning {
		if ready {
			now.waiting = estimatedWork(step, stage.idle)
			if w := stage.waiting; w != nil && w.lateness >= late {
				now.late = now.waiting
				if w.lateness == expired {
					now.expired = now.waiting
				}
			}
		} else {
			now.future = estimatedWork(step, stage.Left)
		}
	}
	if ready && stage.idle > 0 {
		now.tasks = stage.idle
		now.request(step, stage.idle)
		if step.LongRunning {
			now.longRunningTasks = stage.idle
		}
	}
	was := stage.load
	b.tenant(j).noteWaiting(&was, &now)
	stage.load = now
	q.waiting[count(j.Inherited)] += now.waiting - was.waiting
	q.future += now.future - was.future
	q.late += now.late - was.late
	q.expired += now.expired - was.expired
	b.longRunning = b.longRunning.Add(now.longRunning).Sub(was.longRunning)
	b.tasks += now.tasks - was.tasks
	b.longRunningTasks += now.longRunningTasks - was.longRunningTasks
	if now.hosts != was.hosts {
		b.spreads[now.hosts]++
		if b.spreads[was.hosts]--; b.spreads[was.hosts] <= 0 {
			delete(b.spreads, was.hosts)
		}
	}
}

// work returns the expected work in thousandths of a core-second for an estimated one.
func (q *queueRules) work(estimated int64) int64 {
	return clamp.Int[int64](float64(estimated) * q.scale / workUnits)
}
