package shard

import (
	"slices"
	"time"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/clamp"
)

// backlog indexes the steps of the open and stored jobs with tasks that wait for a host. Whoever
// changes Stage.idle, Stage.Left, Job.Stored or the phase of a job updates it.
type backlog struct {
	// origin is the time from which the times of the steps count.
	origin time.Time
	// steps holds all waiting steps, in no particular order.
	steps []*waitingStep
	// ranked is the buffer of the last ranking.
	ranked []*waitingStep
	// shapes holds the shapes of the waiting steps. Each has at least one step.
	shapes map[shapeKey]*shape
	// queues holds the rules of the queues that have had waiting steps, by name.
	queues map[string]*queueRules
	// unopened holds the open jobs of which some occurrence is not open yet, by ID.
	unopened map[string]*Job
}

// waitingStep is a step of an occurrence that has idle tasks and whose predecessors are done.
type waitingStep struct {
	job   *Job
	step  *batch.Step
	stage *Stage
	work  *workLeft
	queue *queueRules
	shape *shape
	// demand is what rankings compare. Some of its fields change with time, so it has to be updated
	// before use.
	demand Demand
	// position is the index in backlog.steps.
	position int
	// accepted and objective are times of the job and of the occurrence, counted from when the pool
	// was claimed.
	accepted, objective time.Duration
	// inherited is Job.Inherited.
	inherited bool
	// criticalPath is the longest sum of estimates along dependent steps, from this step on.
	criticalPath time.Duration
}

// queueRules is what the waiting steps of a queue share.
type queueRules struct {
	priority int
	// needsTicket reports whether hosts need a ticket for the work.
	needsTicket bool
	// scale is the expected ratio of run time to estimate.
	scale float64
}

// shapeKey is what decides whether a host can have room for a task.
type shapeKey struct {
	need  batch.Size
	label string
}

// shape is a group of waiting steps with the same key.
type shape struct {
	shapeKey
	// steps is the number of waiting steps.
	steps int
	// fits is false if no host has room in the current round of planning, and unreservable is true
	// if none is left to be reserved. Either lasts until the round ends.
	fits, unreservable bool
}

func newBacklog(origin time.Time) backlog {
	return backlog{origin: origin, shapes: map[shapeKey]*shape{}, queues: map[string]*queueRules{}, unopened: map[string]*Job{}}
}

// update adds a step to the backlog or removes it from there.
func (b *backlog) update(j *Job, occurrence, step int) {
	occ := &j.Occurrences[occurrence]
	stage := &occ.Stages[step]
	waits := j.Phase == Open && j.Stored && stage.idle > 0 && occ.ready(&j.Spec, step)
	switch {
	case waits && stage.waiting == nil:
		b.add(j, occurrence, step, stage)
	case !waits && stage.waiting != nil:
		b.remove(stage.waiting)
	}
}

// updateOccurrence updates all steps of an occurrence.
func (b *backlog) updateOccurrence(j *Job, occurrence int) {
	for step := range j.Occurrences[occurrence].Stages {
		b.update(j, occurrence, step)
	}
}

// addJob adds an open job.
func (b *backlog) addJob(j *Job) {
	if len(j.Occurrences) < j.Spec.Occurrences() {
		b.unopened[j.ID] = j
	}
	for occurrence := range j.Occurrences {
		b.updateOccurrence(j, occurrence)
	}
}

// dropJob removes a job.
func (b *backlog) dropJob(j *Job) {
	delete(b.unopened, j.ID)
	for oi := range j.Occurrences {
		for si := range j.Occurrences[oi].Stages {
			if w := j.Occurrences[oi].Stages[si].waiting; w != nil {
				b.remove(w)
			}
		}
	}
}

func (b *backlog) add(j *Job, occurrence, number int, stage *Stage) {
	step := &j.Spec.Steps[number]
	w := &waitingStep{
		job: j, step: step, stage: stage, position: len(b.steps), criticalPath: criticalPathFrom(&j.Spec, number),
		work:     j.Occurrences[occurrence].work,
		demand:   Demand{Job: j, Occurrence: occurrence, Step: number, LongRunning: step.LongRunning},
		accepted: j.AcceptedAt.Sub(b.origin), objective: j.Objective.Sub(b.origin), inherited: j.Inherited,
	}
	if w.queue = b.queues[j.Spec.Queue]; w.queue == nil {
		w.queue = &queueRules{}
		b.queues[j.Spec.Queue] = w.queue
	}
	if j.Spec.Repetitions > 0 {
		w.objective = clamp.Add(w.objective, clamp.Millis(clamp.Sub(j.dueAt(occurrence), j.Spec.AcceptedMS)))
	}
	key := shapeKey{need: step.Reservation(), label: step.RequiredLabel}
	if w.shape = b.shapes[key]; w.shape == nil {
		w.shape = &shape{shapeKey: key}
		b.shapes[key] = w.shape
	}
	w.shape.steps++
	stage.waiting = w
	b.steps = append(b.steps, w)
}

func (b *backlog) remove(w *waitingStep) {
	last := len(b.steps) - 1
	b.steps[w.position] = b.steps[last]
	b.steps[w.position].position = w.position
	b.steps[last] = nil
	b.steps = b.steps[:last]
	if w.shape.steps--; w.shape.steps == 0 {
		delete(b.shapes, w.shape.shapeKey)
	}
	w.stage.waiting = nil
}

// updateQueues updates the rules of the queues.
func (b *backlog) updateQueues(s *State) {
	for name, q := range b.queues {
		q.priority, q.scale, q.needsTicket = s.Queues[name].Priority, s.durationRatios[name].median(), s.needsTicket(name)
	}
}

// updateDemand updates the fields of the demand that change with time. The argument now counts from
// when the pool was claimed.
func (w *waitingStep) updateDemand(now time.Duration) {
	w.demand.Priority, w.demand.Age = w.queue.priority, now-w.accepted
	w.demand.Idle = 0
	if w.job.assigned == 0 {
		w.demand.Idle = now - max(w.accepted, w.job.lastStart)
	}
	w.demand.Slack = clamp.Sub(w.objective-now, clamp.Int[time.Duration](float64(w.criticalPath)*w.queue.scale))
	if len(w.work.terms) == 0 {
		w.work.reset(&w.job.Spec, w.job.Occurrences[w.demand.Occurrence].Stages)
	}
	w.demand.RemainingWork = w.work.at(w.queue.scale)
}

// ref returns the reference of the step.
func (w *waitingStep) ref() batch.Ref {
	return batch.Ref{Job: w.job.ID, Occurrence: w.demand.Occurrence, Step: w.demand.Step}
}

// findFits begins a round of planning. All hosts with room for the least need have to be in roomy.
func (b *backlog) findFits(roomy candidates) {
	for _, sh := range b.shapes {
		sh.fits, sh.unreservable = sh.fitsOn(roomy), false
	}
}

// anyFits reports whether some host has room for a waiting step, after hosts were taken or reserved.
func (b *backlog) anyFits(roomy candidates) bool {
	for _, sh := range b.shapes {
		if sh.fits = sh.fits && sh.fitsOn(roomy); sh.fits {
			return true
		}
	}
	return false
}

// fitsOn reports whether one of some hosts has room for the shape.
func (sh *shape) fitsOn(roomy candidates) bool {
	return slices.ContainsFunc(roomy, func(c *candidate) bool { return c.free.Fits(sh.need) && sh.hasLabel(c.host) })
}

// hasLabel reports whether a host has the label that the shape requires.
func (sh *shape) hasLabel(h *Host) bool {
	return sh.label == "" || HasLabel(&h.Host, sh.label)
}

// leastNeed returns the least need of any waiting step in each dimension.
func (b *backlog) leastNeed() batch.Size {
	var least batch.Size
	first := true
	for key := range b.shapes {
		if first {
			least, first = key.need, false
			continue
		}
		least.MilliCores = min(least.MilliCores, key.need.MilliCores)
		least.MemoryMB = min(least.MemoryMB, key.need.MemoryMB)
		least.Accelerators = min(least.Accelerators, key.need.Accelerators)
	}
	return least
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

// workLeft is the work of the tasks of an occurrence that are not done.
type workLeft struct {
	// terms holds the work of each step by the estimates. It is empty after a task was done.
	terms []float64
	// sum is the work at a scale. The scale is 0 before it was summed up.
	sum   int64
	scale float64
}

// reset sets the terms.
func (l *workLeft) reset(spec *batch.Spec, stages []Stage) {
	l.scale = 0
	for si := range stages {
		l.terms = append(l.terms, estimatedWork(&spec.Steps[si], stages[si].Left))
	}
}

// at returns the work with estimates scaled. The terms have to be set.
func (l *workLeft) at(scale float64) int64 {
	if l.scale != scale {
		l.sum, l.scale = 0, scale
		for _, term := range l.terms {
			l.sum += scaledWork(term, scale)
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

// openDue opens the occurrences that are due. An inherited job may have more open occurrences than
// are due by the clock of this owner.
func (s *State) openDue(wall int64) {
	for _, j := range s.backlog.unopened {
		for len(j.Occurrences) < j.Spec.Occurrences() && (j.Spec.Repetitions == 0 || j.dueAt(len(j.Occurrences)) <= wall) && j.mayOpen() {
			s.openOccurrence(j)
		}
	}
}
