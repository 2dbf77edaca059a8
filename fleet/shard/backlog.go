package shard

import (
	"container/heap"
	"iter"
	"math"
	"math/bits"
	"time"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/clamp"
	"carawaymux.dev/fleet/grade"
)

// backlog indexes the steps of the open and stored jobs with tasks that wait for a host, and sums up their work.
// Whoever changes Stage.idle, Stage.Left, Job.Stored or the phase of a job updates it.
//
// Steps are kept in groups of those that a ranking compares alike at any time. What moves a step to another group or
// to another place there is noted as it happens, or known in advance; [backlog.advance] applies it.
type backlog struct {
	// origin is the time from which the times of the steps count.
	origin time.Time
	// steps holds all waiting steps, as a binary heap with the oldest first.
	steps indexedHeap[*waitingStep, byAge]
	// ranked is the buffer of the last ranking.
	ranked []*waitingStep
	// queues holds what the waiting steps of a queue share, by name.
	queues map[string]*queueRules
	// groups holds the steps that are in no other place than touched.
	groups map[groupKey]*group
	// classes holds the groups of all tenants together, by key without a tenant, while the configuration has tenants. A step
	// is in a class if it is in a group.
	classes map[groupKey]*group
	// emptied holds groups and classes that have become empty, until the backlog advances.
	emptied []*group
	// tenants holds what the pool knows of the tenants whose jobs it has had, by name.
	tenants map[string]*TenantUse
	// weights holds the weights of the tenants in the configuration, by name; it is nil if there are none. leastWeight is the
	// smallest of them.
	weights     map[string]float64
	leastWeight float64
	// keys holds the sort keys that groups and classes keep, for the steps that are not late and for those that are.
	keys [levels][2][sortKeys]bool
	// touched holds steps that may have to move to another place, and steps in no group.
	touched []*waitingStep
	// alarms holds the steps that have to move to another group at some time.
	alarms indexedHeap[*waitingStep, byAlarm]
	// unopened holds the open jobs of which some occurrence is not open yet, by ID. Of those, due holds the
	// jobs whose next occurrence may be opened once it is due.
	unopened map[string]*Job
	due      indexedHeap[*opening, byDueTime]
	// spreads counts the stages by the number of hosts over which they spread.
	spreads map[int]int
	// longRunning is what the long-running tasks take that are not done.
	longRunning batch.Size
	// tasks and longRunningTasks count the tasks that wait.
	tasks, longRunningTasks int
}

// waitingStep is a step of an occurrence that has idle tasks and whose predecessors are done.
type waitingStep struct {
	job   *Job
	step  *batch.Step
	stage *Stage
	work  *workLeft
	queue *queueRules
	need  batch.Size
	// demand is what rankings compare. Some of its fields change with time, so it has to be updated
	// before use.
	demand Demand
	// position is the index in backlog.steps, jobPosition that in Job.waiting, and alarmPosition that in
	// backlog.alarms, or -1 if the step is not there.
	position, jobPosition, alarmPosition int
	// accepted and objective are times of the job and of the occurrence, counted from when the pool
	// was claimed.
	accepted, objective time.Duration
	// usefulAfter is how long after its objective the work is still of use.
	usefulAfter time.Duration
	// inherited is Job.Inherited.
	inherited bool
	// criticalPath is the longest sum of estimates along dependent steps, from this step on.
	criticalPath time.Duration
	// group is nil if the step is in no group. The fields below were set when it was added to its group, and
	// do not change while it is there: the time after which the step is late, the remaining work, and the
	// place in each of the trees of the group.
	group     *group
	lateAfter time.Duration
	remaining int64
	slots     [levels][sortKeys]slot
	// lateness says whether the work counts as late. It is as of the last time that the step was in its place.
	lateness lateness
	// alarm is when the step has to move to another group.
	alarm time.Duration
	// since is when a round of planning first found the step, if placed is set.
	since  time.Duration
	placed bool
	// touched reports whether the step is in backlog.touched.
	touched bool
}

// queueRules is what the waiting steps of a queue share.
type queueRules struct {
	priority int
	// needsTicket reports whether hosts need a ticket for the work.
	needsTicket bool
	// scale is the expected ratio of run time to estimate.
	scale float64
	// tally counts the jobs by their size.
	tally *grade.Tally
	// waiting is the estimated work that waits: of jobs that were submitted to this owner, and of inherited
	// ones. future is that of the steps that are not ready.
	waiting [2]int64
	future  int64
	// late is the part of waiting that can no longer meet its objective, and expired the part of it of jobs that have
	// taken usefulFactor times their objective.
	late, expired int64
	// pending is the number of jobs of which nothing has started.
	pending int
}

func newBacklog(origin time.Time) backlog {
	b := backlog{
		origin: origin, queues: map[string]*queueRules{}, groups: map[groupKey]*group{}, classes: map[groupKey]*group{}, tenants: map[string]*TenantUse{}, unopened: map[string]*Job{}, spreads: map[int]int{},
	}
	b.resetKeys()
	return b
}

// update updates the entry of a step.
func (b *backlog) update(j *Job, occurrence, step int) {
	occ := &j.Occurrences[occurrence]
	stage := &occ.Stages[step]
	live := j.Phase == Open && j.Stored
	ready := live && occ.ready(&j.Spec, step)
	waits := ready && stage.idle > 0
	switch {
	case waits && stage.waiting == nil:
		b.add(j, occurrence, step, stage)
	case !waits && stage.waiting != nil:
		b.remove(stage.waiting)
	}
	b.sumUp(j, &j.Spec.Steps[step], stage, live, ready)
}

// queue returns the rules of the queue of a job.
func (b *backlog) queue(j *Job) *queueRules {
	if j.rules == nil {
		if j.rules = b.queues[j.Spec.Queue]; j.rules == nil {
			j.rules = &queueRules{}
			b.queues[j.Spec.Queue] = j.rules
		}
	}
	return j.rules
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
		b.scheduleOpening(j)
	}
	b.updateJob(j)
}

// updateJob updates all steps of a job.
func (b *backlog) updateJob(j *Job) {
	for occurrence := range j.Occurrences {
		b.updateOccurrence(j, occurrence)
	}
	b.updatePending(j)
}

// updatePending updates whether a job counts as pending.
func (b *backlog) updatePending(j *Job) {
	pending := j.Phase == Open && j.Stored && !j.Started
	if pending != j.pending {
		j.pending = pending
		b.queue(j).pending += count(pending) - count(!pending)
	}
}

// dropJob removes a job that has ended or is not stored.
func (b *backlog) dropJob(j *Job) {
	b.dropOpening(j)
	b.updateJob(j)
}

// dropOpening removes a job of which no further occurrence is to be opened.
func (b *backlog) dropOpening(j *Job) {
	delete(b.unopened, j.ID)
	if j.opening != nil {
		heap.Remove(&b.due, j.opening.position)
	}
}

func (b *backlog) add(j *Job, occurrence, number int, stage *Stage) {
	step := &j.Spec.Steps[number]
	w := &waitingStep{
		job: j, step: step, stage: stage, need: step.Reservation(), criticalPath: criticalPathFrom(&j.Spec, number),
		work: j.Occurrences[occurrence].work, queue: b.queue(j),
		demand:   Demand{Job: j, Tenant: b.tenant(j), Occurrence: occurrence, Step: number, LongRunning: step.LongRunning, Excess: j.excess},
		accepted: j.AcceptedAt.Sub(b.origin), objective: j.Objective.Sub(b.origin), inherited: j.Inherited,
		jobPosition: len(j.waiting), alarmPosition: -1,
	}
	w.usefulAfter = clamp.Int[time.Duration]((usefulFactor - 1) * float64(w.objective-w.accepted))
	if j.Spec.Repetitions > 0 {
		w.objective = clamp.Add(w.objective, clamp.Millis(clamp.Sub(j.dueAt(occurrence), j.Spec.AcceptedMS)))
	}
	stage.waiting = w
	j.waiting = append(j.waiting, w)
	heap.Push(&b.steps, w)
	b.touch(w)
}

func (b *backlog) remove(w *waitingStep) {
	w.stage.waiting = nil
	heap.Remove(&b.steps, w.position)
	last := len(w.job.waiting) - 1
	w.job.waiting[w.jobPosition] = w.job.waiting[last]
	w.job.waiting[w.jobPosition].jobPosition = w.jobPosition
	w.job.waiting[last] = nil
	w.job.waiting = w.job.waiting[:last]
	b.leaveGroup(w)
	b.setAlarm(w, never)
}

// touch notes that a step may have to move.
func (b *backlog) touch(w *waitingStep) {
	if !w.touched {
		w.touched = true
		b.touched = append(b.touched, w)
	}
}

// touchJob notes that the steps of a job may have to move.
func (b *backlog) touchJob(j *Job) {
	for _, w := range j.waiting {
		b.touch(w)
	}
}

// touchOccurrence notes that the steps of an occurrence may have to move.
func (b *backlog) touchOccurrence(j *Job, occurrence int) {
	for _, w := range j.waiting {
		if w.demand.Occurrence == occurrence {
			b.touch(w)
		}
	}
}

// updateQueues updates the rules of the queues, and has the steps moved that depend on them.
func (s *State) updateQueues() {
	for name, q := range s.backlog.queues {
		scale, needsTicket := s.durationRatios[name].median(), s.needsTicket(name)
		scaled, ticketed := scale != q.scale, needsTicket != q.needsTicket
		q.tally = &s.sizesOf(name).tally
		q.priority, q.scale, q.needsTicket = s.Queues[name].Priority, scale, needsTicket
		if !scaled && !ticketed {
			continue
		}
		for _, g := range s.backlog.groups {
			if g.queue == q && (ticketed || !g.missed) {
				for w := range g.all() {
					s.backlog.touch(w)
				}
			}
		}
	}
}

// all returns the steps of the group.
func (g *group) all() iter.Seq[*waitingStep] {
	return func(yield func(*waitingStep) bool) {
		for _, t := range g.trees {
			if t != nil && t.root != nil {
				t.root.all(yield)
				return
			}
		}
	}
}

// advance moves the steps to the places where they belong at a time, counted from when the pool was claimed.
func (b *backlog) advance(now time.Duration) {
	for len(b.alarms) > 0 && b.alarms[0].alarm <= now {
		b.touch(b.alarms[0])
		b.setAlarm(b.alarms[0], never)
	}
	for i, w := range b.touched {
		w.touched = false
		if w.stage.waiting == w {
			b.place(w, now)
		}
		b.touched[i] = nil
	}
	b.touched = b.touched[:0]
	b.dropEmptied()
}

// keep has steps kept by a sort key, in groups or in classes.
func (b *backlog) keep(at level, late bool, key SortKey) {
	if b.keys[at][count(late)][key] {
		return
	}
	b.keys[at][count(late)][key] = true
	b.regroup()
}

// resetKeys has steps kept by the sort keys that are needed first.
func (b *backlog) resetKeys() {
	b.keys = [levels][2][sortKeys]bool{}
	for at := range levels {
		for late := range b.keys[at] {
			var ranking Ranking = BySlack{}
			if at == groupLevel && b.weights != nil {
				// Groups are needed only while the pool is overloaded, and classes otherwise.
				ranking = ByRemainingWork{}
			}
			b.keys[at][late][ranking.SortKey(late == 1)] = true
		}
	}
}

// regroup has all steps put into new groups.
func (b *backlog) regroup() {
	for _, w := range b.steps {
		b.leaveGroup(w)
		b.touch(w)
	}
	b.dropEmptied()
}

// place puts a step into the group to which it belongs at a time.
func (b *backlog) place(w *waitingStep, now time.Duration) {
	if !w.placed {
		w.since, w.placed = now, true
	}
	lateAfter := clamp.Sub(w.objective, w.expectedPath())
	remaining := w.work.left(&w.job.Spec, w.job.Occurrences[w.demand.Occurrence].Stages)
	key := groupKey{
		queue: w.queue, tenant: b.tenant(w.job), label: w.step.RequiredLabel, longRunning: w.step.LongRunning, inherited: w.inherited, excess: w.job.excess,
		exempt:   w.step.Gang || w.step.PerHost > 0 || w.queue.needsTicket || w.stage.suspected,
		late:     now > lateAfter,
		missed:   now > w.objective,
		reserves: w.step.LongRunning || now-w.accepted >= reserveAfter,
	}
	if key.tenant.Name != "" && (w.step.Gang || w.step.BestEffort) {
		key.request = bits.Len64(uint64(max(w.request().MilliCores, 0)))
	}
	if !key.longRunning && !key.late {
		key.size, key.begun = w.job.Size, w.job.begun && w.job.Size != grade.Rest
		key.finish = w.job.finish && b.weights != nil
	}
	if key.late && w.job.lose() {
		w.queue.tally.Lose(w.job.Size, w.job.begunAt, b.origin.Add(now))
	}
	class := inTime
	alarm := never
	switch useless := clamp.Add(w.objective, w.usefulAfter); {
	case key.late && now > useless:
		class = expired
	case key.late:
		class, alarm = late, clamp.Add(useless, 1)
	}
	if class != w.lateness {
		w.lateness = class
		b.sumUp(w.job, w.step, w.stage, true, true)
	}
	if !key.late {
		alarm = clamp.Add(lateAfter, 1)
	}
	if !key.missed {
		alarm = min(alarm, clamp.Add(w.objective, 1))
	}
	if !key.reserves {
		alarm = min(alarm, w.accepted+reserveAfter)
	}
	if key.late && w.job.assigned == 0 {
		starved := max(w.accepted, w.job.lastStart) + starvedAfter + 1
		if key.starved = now >= starved; !key.starved {
			alarm = min(alarm, starved)
		}
	}
	b.setAlarm(w, alarm)
	kept := func(k SortKey) bool {
		return b.keys[groupLevel][count(key.late)][k] || (b.weights != nil && b.keys[classLevel][count(key.late)][k])
	}
	moves := (lateAfter != w.lateAfter && (kept(SortBySlack) || kept(SortByRemainingWork))) ||
		(remaining != w.remaining && kept(SortByRemainingWork))
	if w.group != nil && w.group.groupKey == key && !moves {
		w.lateAfter, w.remaining = lateAfter, remaining
		return
	}
	b.leaveGroup(w)
	w.lateAfter, w.remaining = lateAfter, remaining
	g := b.groups[key]
	if g == nil {
		g = b.newGroup(key, groupLevel)
		b.groups[key] = g
		if b.weights != nil {
			b.joinClass(g)
		}
	}
	w.group = g
	g.insert(w)
	if g.class != nil {
		g.class.insert(w)
		g.class.order.update(g)
	}
}

// never is the alarm of a step that needs none.
const never = time.Duration(math.MaxInt64)

// setAlarm sets when a step has to move.
func (b *backlog) setAlarm(w *waitingStep, at time.Duration) {
	if w.alarm == at && (at == never) == (w.alarmPosition < 0) {
		return
	}
	w.alarm = at
	switch {
	case at == never && w.alarmPosition >= 0:
		heap.Remove(&b.alarms, w.alarmPosition)
	case at != never && w.alarmPosition >= 0:
		heap.Fix(&b.alarms, w.alarmPosition)
	case at != never:
		heap.Push(&b.alarms, w)
	}
}

// updateDemand updates the fields of the demand that change with time. The argument now counts from
// when the pool was claimed.
func (w *waitingStep) updateDemand(now time.Duration) {
	w.demand.Priority, w.demand.Age = w.queue.priority, now-w.accepted
	w.demand.Begun, w.demand.Finish, w.demand.Tally = w.job.begun, w.job.finish, w.queue.tally
	w.demand.Idle = 0
	if w.job.assigned == 0 {
		w.demand.Idle = now - max(w.accepted, w.job.lastStart)
	}
	w.demand.Slack = clamp.Sub(w.objective-now, w.expectedPath())
	estimated := w.work.left(&w.job.Spec, w.job.Occurrences[w.demand.Occurrence].Stages)
	w.demand.RemainingWork = clamp.Int[int64](float64(estimated) * w.queue.scale)
}

// expectedPath returns the expected run time along dependent steps, from this step on.
func (w *waitingStep) expectedPath() time.Duration {
	return clamp.Int[time.Duration](float64(w.criticalPath) * w.queue.scale)
}

// ref returns the reference of the step.
func (w *waitingStep) ref() batch.Ref {
	return batch.Ref{Job: w.job.ID, Occurrence: w.demand.Occurrence, Step: w.demand.Step}
}

// hasLabel reports whether a host has the label that the step requires.
func (w *waitingStep) hasLabel(h *Host) bool { return labelAllows(h, w.step.RequiredLabel) }

// labelAllows reports whether a host has a label. Each host has the empty one.
func labelAllows(h *Host, label string) bool { return label == "" || HasLabel(&h.Host, label) }
