package shard

import (
	"slices"
	"time"

	"carawaymux.dev/fleet/batch"
)

// Obstacle is why a host gets no new work.
type Obstacle uint8

// The obstacles. Of several, the first one is given.
const (
	// NoObstacle means that work may be started on the host.
	NoObstacle Obstacle = iota
	// Unlisted hosts are not in the platform's list, or the store has no record of them.
	Unlisted
	// Unconfirmed hosts have not answered this owner, or the store has not confirmed the claim
	// since.
	Unconfirmed
	// Outdated hosts have a record of an earlier instance.
	Outdated
	// Leaving hosts drain or are being emptied. Long-running work may be started on the latter if no other host takes it
	// and they are not empty after emptyingPatience.
	Leaving
	// Unhealthy hosts failed their work, were slow or refused a start. But for the last, long-running work may be
	// started there if no other host takes it.
	Unhealthy
	// Silent hosts have not answered for longer than answerTimeout.
	Silent
	// Occupied hosts run work that is not assigned to them.
	Occupied
	// Incapable hosts have no capacity.
	Incapable
	obstacles
)

// ObstacleTo returns why a host gets no new work.
func (s *State) ObstacleTo(h *Host, now time.Time) Obstacle { return s.obstacleTo(h, now, anyWork) }

// workKind is a kind of work as far as it decides which hosts take it.
type workKind uint8

const (
	anyWork workKind = iota
	// lastingWork is long-running work that no other host takes, and starvedWork that of late jobs of which nothing runs.
	lastingWork
	starvedWork
)

// obstacleTo returns what keeps a host from work of a kind.
func (s *State) obstacleTo(h *Host, now time.Time, kind workKind) Obstacle {
	switch {
	case !h.Listed || !h.Stored:
		return Unlisted
	case !h.Confirmed || !s.ConfirmedAt.After(h.FirstAnswer):
		return Unconfirmed
	case !h.recordIsCurrent():
		return Outdated
	case h.Draining || (!now.After(h.CordonedUntil) && !h.mayTake(kind, now)):
		return Leaving
	case (kind == anyWork && !now.After(h.UnhealthyUntil)) || !now.After(h.FullUntil):
		return Unhealthy
	case now.Sub(h.LastAnswer) >= answerTimeout:
		return Silent
	case !s.EnforcesCapacity && h.UnknownRuns > 0:
		return Occupied
	case h.Capacity == (batch.Size{}):
		return Incapable
	}
	return NoObstacle
}

// Reason is why a task has not been started, for logs.
type Reason string

// The reasons. Of several, the first one is given.
const (
	Unknown      Reason = "the task is unknown"
	Ended        Reason = "the task or its job has ended or was given up"
	NotStored    Reason = "the job is not stored"
	NotReady     Reason = "an earlier step is not done"
	Assigned     Reason = "the task is starting or running"
	Unanswered   Reason = "the stop of the last run is not confirmed"
	EarlierOwner Reason = "a host of an earlier owner has not answered"
	RunReported  Reason = "a host reports a run of the task"
	EndUnknown   Reason = "the store has not confirmed the claim since the last run was lost"
	NoHost       Reason = "no host may get work"
	NoLabel      Reason = "no host has the label"
	NoTicket     Reason = "no host has a ticket"
	NoRoom       Reason = "no host has room"
	Busy         Reason = "the hosts with room have not answered a start"
	Spread       Reason = "the hosts with room have as many tasks of the step as allowed"
	Apart        Reason = "hosts have crashed under the task, and no host is free to keep it apart"
	Members      Reason = "the members of the gang do not fit together"
	Outranked    Reason = "hosts have room, and other steps go first"
)

// EndsOf is the reason of tasks that may have ended on a host which has not listed all its ends.
func EndsOf(host string) Reason { return Reason("waits for the ends of " + host) }

// Explain returns why a task has not been started.
func (s *State) Explain(ref batch.Ref, now time.Time) Reason {
	j, stage, task := s.task(ref)
	switch {
	case j != nil && j.Phase != Open:
		return Ended
	case task == nil:
		return Unknown
	case task.closed():
		return Ended
	case !j.Stored:
		return NotStored
	case !j.Occurrences[ref.Occurrence].ready(&j.Spec, ref.Step):
		return NotReady
	case task.Status == Uncertain || task.Status == Stopping:
		return Unanswered
	case task.Status != Idle:
		return Assigned
	}
	if reason := s.explainPrior(j, ref, now); reason != "" {
		return reason
	}
	switch {
	case task.unknownRuns > 0:
		return RunReported
	case !s.mayStart(task):
		return EndUnknown
	}
	if s.isOverBudget(j, ref) {
		return OverBudget
	}
	return s.explainPlacement(&j.Spec.Steps[ref.Step], stage, task, ref, now)
}

// explainPrior returns why a task waits for a host of an earlier owner, or nothing if it does not.
func (s *State) explainPrior(j *Job, ref batch.Ref, now time.Time) Reason {
	if !j.Inherited {
		return ""
	}
	step := &j.Spec.Steps[ref.Step]
	switch h := s.priorHosts(now).mayKnow(step.RequiredLabel, step.LongRunning); {
	case h == nil:
		return ""
	case !h.Confirmed:
		return EarlierOwner
	default:
		return EndsOf(h.ID)
	}
}

// explainPlacement returns why no host gets a task that may start. It takes no host as reserved.
func (s *State) explainPlacement(step *batch.Step, stage *Stage, task *Task, ref batch.Ref, now time.Time) Reason {
	hosts := s.candidates(now)
	if step.LongRunning && !step.Gang {
		hosts = slices.Concat(hosts, s.lastResorts(lastingWork, now))
	}
	if len(hosts) == 0 {
		return NoHost
	}
	permitted := s.permitFilter(ref, now)
	var labelled, allowed, roomy candidates
	for _, c := range hosts {
		if step.RequiredLabel != "" && !HasLabel(&c.host.Host, step.RequiredLabel) {
			continue
		}
		labelled = append(labelled, c)
		if permitted != nil && !permitted(c.host) {
			continue
		}
		allowed = append(allowed, c)
		if c.free.Fits(step.Reservation()) {
			roomy = append(roomy, c)
		}
	}
	switch {
	case len(labelled) == 0:
		return NoLabel
	case len(allowed) == 0:
		return NoTicket
	case len(roomy) == 0:
		return NoRoom
	case step.Gang && s.placeGang(step, stage, hosts, permitted) == nil:
		return Members
	case !step.Gang && task.Crashes.Hosts > 0 && s.pickHost(step, stage, task, roomy, permitted, now) == nil:
		return Apart
	case !step.Gang && s.pickHost(step, stage, task, roomy, permitted, now) == nil:
		return Spread
	case !step.Gang && s.pickHost(step, stage, task, roomy.answered(), permitted, now) == nil:
		return Busy
	}
	return Outranked
}

// answered returns the hosts that have answered all starts.
func (c candidates) answered() candidates {
	c.markBusy(1)
	var out candidates
	for _, host := range c {
		if !host.busy {
			out = append(out, host)
		}
	}
	return out
}

// explainedSteps is the largest number of waiting steps that one summary explains.
const explainedSteps = 32

// Waiting describes the work that waits for a host, for logs.
type Waiting struct {
	// Steps and Tasks count what waits. LongRunning is the part of Tasks that is long-running.
	Steps, Tasks, LongRunning int
	// Hosts counts the hosts by their obstacles.
	Hosts [obstacles]int
	// Roomy is the number of hosts that may get work and have room for the least need. Busy is the
	// part of them that has not answered a start. Reserved is the number of hosts that the last
	// round of planning reserved.
	Roomy, Busy, Reserved int
	// Oldest is an idle task of the step that has waited longest, and Age the time since its job was
	// accepted.
	Oldest batch.Ref
	Age    time.Duration
	// Reasons counts the explainedSteps oldest steps by the reason why their first idle task
	// waits. OldestReason is that of Oldest.
	Reasons      map[Reason]int
	OldestReason Reason
	// LongRunningReasons counts long-running steps, up to explainedSteps, by the reason why their first idle task
	// waits. LongRunningTask is such a task; which one is not defined.
	LongRunningReasons map[Reason]int
	LongRunningTask    batch.Ref
}

// Waiting sums up the work that waits.
func (s *State) Waiting(now time.Time) Waiting {
	w := Waiting{
		Steps: len(s.backlog.steps), Tasks: s.backlog.tasks, LongRunning: s.backlog.longRunningTasks,
		Reserved: s.reserved, Reasons: map[Reason]int{}, LongRunningReasons: map[Reason]int{},
	}
	if w.Steps == 0 {
		return w
	}
	for _, h := range s.sortedHosts() {
		w.Hosts[s.ObstacleTo(h, now)]++
	}
	roomy := s.candidates(now).withRoom(s.backlog.leastNeed())
	w.Roomy, w.Busy = len(roomy), len(roomy)-len(roomy.answered())
	for i, step := range s.backlog.oldest(explainedSteps) {
		ref := step.firstIdle()
		reason := s.Explain(ref, now)
		w.Reasons[reason]++
		if i == 0 {
			w.Oldest, w.Age, w.OldestReason = ref, now.Sub(step.job.AcceptedAt), reason
		}
	}
	s.explainLongRunning(&w, now)
	return w
}

// explainLongRunning sets why long-running work waits. It may wait beside older work.
func (s *State) explainLongRunning(w *Waiting, now time.Time) {
	if w.LongRunning == 0 {
		return
	}
	explained := 0
	for _, step := range s.backlog.steps {
		if !step.step.LongRunning {
			continue
		}
		w.LongRunningTask = step.firstIdle()
		w.LongRunningReasons[s.Explain(w.LongRunningTask, now)]++
		if explained++; explained == explainedSteps {
			return
		}
	}
}

// firstIdle returns the first idle task of the step.
func (w *waitingStep) firstIdle() batch.Ref {
	ref := w.ref()
	ref.Index = max(slices.IndexFunc(w.stage.Tasks, func(t Task) bool { return t.Status == Idle && !t.closed() }), 0)
	return ref
}
