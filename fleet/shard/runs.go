package shard

import (
	"errors"
	"math"
	"slices"
	"time"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
)

// RunEnd is the end of a run, for logs.
type RunEnd struct {
	Ref    batch.Ref
	Run    int64
	Host   string
	Result port.Result
	// Took is the time from the order to the end of the run. It is 0 when this owner did not have
	// the run assigned.
	Took time.Duration
}

// HandleReport processes the runs and ends that a host reports. It returns the ends that were new.
func (s *State) HandleReport(id string, report *port.HostReport, now time.Time) []RunEnd {
	h := s.Hosts[id]
	if h == nil {
		return nil
	}
	if h.Confirmed && (report.Born != h.Instance || report.Clock < h.Clock) {
		s.handleRestart(h, report, now)
		s.setFirstAnswer(h, now)
	}
	if h.isEndless() && report.Clock > h.GrantedUntil {
		// Its lease has expired, though it answers.
		s.releaseAll(h, now)
		h.expireEnds()
	}
	firstReport := !h.Confirmed
	if firstReport {
		s.setFirstAnswer(h, now)
		s.hostEndedUnseen = s.hostEndedUnseen || (h.restoredBorn != 0 && h.restoredBorn != report.Born)
		// An earlier owner may have granted a lease shortly before.
		h.GrantedUntil = max(h.GrantedUntil, report.Clock+s.Timing.Lease.Milliseconds())
	}
	h.Confirmed, h.Unreachable, h.Instance, h.Clock, h.LastAnswer = true, false, report.Born, report.Clock, now
	h.AnswerPending, h.EndedAt, h.ClockAt, h.unreachableSince = false, time.Time{}, now, time.Time{}
	h.lapsed = nil
	if !report.ReceivedAt.IsZero() {
		h.ClockAt = report.ReceivedAt
	}
	s.neighbors.now = now
	out := s.countEnds(h, report, now)
	h.EndsListed = h.EndsListed || !report.Truncated
	s.reconcile(h, report, firstReport, now)
	s.measureHost(h, now)
	s.handleSlowHost(h, now)
	s.observeServing(h, now)
	s.adjustThrottle(h, now)
	return out
}

// HandleEnds counts the ends in a report that may be older than the last one, and returns those that were new. It
// uses nothing else of the report: the host may have ended further runs since, so that the report does not show that all
// ends are listed.
func (s *State) HandleEnds(id string, report *port.HostReport, now time.Time) []RunEnd {
	h := s.Hosts[id]
	if h == nil || !h.Confirmed || !h.EndedAt.IsZero() || report.Born == 0 || report.Born != h.Instance {
		return nil
	}
	return s.countEnds(h, report, now)
}

// countEnds counts the ends in a report that were not counted before, and returns them.
func (s *State) countEnds(h *Host, report *port.HostReport, now time.Time) []RunEnd {
	var out []RunEnd
	for i := range report.Finished {
		e := &report.Finished[i]
		if e.Number <= h.CountedEnd {
			continue
		}
		h.CountedEnd = e.Number
		if !h.EndsListed {
			h.EndsRead++
			h.EndsListed = s.startedSince(h, e)
		}
		if end, ok := s.countEnd(h, e, now); ok {
			out = append(out, end)
		}
	}
	return out
}

// reconcile compares the runs that a host reports with the tasks assigned to it. It orders stops of
// the unknown runs, and releases the tasks whose runs are gone.
func (s *State) reconcile(h *Host, report *port.HostReport, firstReport bool, now time.Time) {
	h.clearUnknown()
	running := make(map[batch.Ref]int64, len(report.Running))
	for i := range report.Running {
		r := &report.Running[i]
		ref, err := batch.ParseRef(r.Unit)
		if err != nil {
			h.addUnknown(nil)
			continue
		}
		if !s.acceptRunning(h, ref, r, now) {
			_, _, task := s.task(ref)
			h.addUnknown(task)
			s.addUnassigned(h, ref)
			s.orders = append(s.orders, Order{Kind: OrderStop, Host: h.ID, Ref: ref, Run: r.Run, Reason: "run is not assigned to this host"})
			continue
		}
		running[ref] = r.Run
	}
	for ref, task := range h.Assigned {
		_, stage, _ := s.task(ref)
		if running[ref] == task.Run || stage == nil || task.Status == Starting || task.Status == Uncertain {
			continue
		}
		// A host that has answered the start or the stop of a run reports the run while it runs,
		// and its end until the end is acknowledged. A run that a later report which is not truncated does
		// not contain is therefore gone.
		if !report.Truncated && task.StartClock > 0 && report.Clock > task.StartClock && !firstReport {
			if report.Born != 0 {
				// Instances can be told apart, so it was this one that confirmed the stop. The
				// run never began.
				s.release(stage, task, ref)
			} else {
				// The run belonged to an earlier instance that could not be told apart.
				s.releaseLost(stage, task, ref, now)
			}
			s.stopGang(ref, task.Run, "run of a gang member was lost")
		}
	}
}

// acceptRunning records a run that a host reports as running. It reports whether the run is
// assigned to the host; otherwise it has to be stopped.
func (s *State) acceptRunning(h *Host, ref batch.Ref, r *port.ActiveRun, now time.Time) bool {
	j, stage, task := s.task(ref)
	if j != nil && stage == nil && j.Phase == Open && j.Stored && ref.Occurrence >= len(j.Occurrences) && ref.Occurrence < j.Spec.Occurrences() {
		// An earlier owner had opened this occurrence.
		for len(j.Occurrences) <= ref.Occurrence {
			s.openOccurrence(j)
		}
		_, stage, task = s.task(ref)
	}
	if stage == nil || j.Phase != Open || task.Done {
		return task != nil && task.Host == h.ID && task.Run == r.Run && task.Status != Idle
	}
	switch {
	case task.Status != Idle && task.Host == h.ID && task.Run == r.Run:
		if task.Status == Starting {
			task.Status = Running
		}
	case task.Status == Idle && r.Run > task.Counted && r.Run >= task.Run && j.Inherited:
		// A run that an earlier owner started continues.
		task.Status, task.Host, task.Run, task.OrderedAt, task.StartClock = Running, h.ID, r.Run, now, h.Clock
		task.ThrottlePercent, task.Meter = 100, SpeedMeter{}
		stage.idle -= count(!task.closed())
		s.assign(h, ref, task)
		s.backlog.update(j, ref.Occurrence, ref.Step)
		s.markStarted(j)
		task.startedEarlier = false
	default:
		return false
	}
	if task.StartClock == 0 {
		task.StartClock = h.Clock
	}
	task.Percent, task.Load = r.ProgressPercent, r.Load
	if r.Checkpoint != "" {
		task.Checkpoint = r.Checkpoint
	}
	return true
}

// countEnd counts one end. It reports whether the end belongs to a known task.
func (s *State) countEnd(h *Host, e *port.FinishedRun, now time.Time) (RunEnd, bool) {
	ref, err := batch.ParseRef(e.Unit)
	if err != nil {
		return RunEnd{}, false
	}
	j, stage, task := s.task(ref)
	if j != nil && stage == nil && j.Phase == Open && ref.Occurrence >= len(j.Occurrences) && ref.Occurrence < j.Spec.Occurrences() {
		for len(j.Occurrences) <= ref.Occurrence {
			s.openOccurrence(j)
		}
		_, stage, task = s.task(ref)
	}
	if stage == nil {
		return RunEnd{}, false
	}
	out := RunEnd{Ref: ref, Run: e.Run, Host: h.ID, Result: e.Result}
	if task.Status != Idle && task.Host == h.ID && task.Run == e.Run {
		out.Took = now.Sub(task.OrderedAt)
		s.release(stage, task, ref)
	}
	step := &j.Spec.Steps[ref.Step]
	if alreadyCounted(step, task, e) {
		return out, true
	}
	if e.Checkpoint != "" && e.Run > task.Counted {
		task.Checkpoint = e.Checkpoint
	}
	task.Counted = max(task.Counted, e.Run)
	task.Run = max(task.Run, e.Run)
	task.startedEarlier = false
	if j.Phase != Open {
		return out, true
	}
	s.markTaskDirty(j, ref)
	if e.Result == port.ResultDone || e.Result == port.ResultFailed {
		// Long-running tasks never end as done. One that has worked for a while shows that its host is sound.
		worked := step.LongRunning && out.Took > settleTime
		s.recordOutcome(h, ref.Job, stage, e.Result == port.ResultFailed && !worked, now.Add(-out.Took), now)
	}
	switch e.Result {
	case port.ResultDone:
		if step.LongRunning {
			break
		}
		s.recordDuration(j, step, out.Took)
		s.observeEnd(h, ref.Job, step, task, e.Run, out.Took, now)
		if step.Gang {
			s.completeGang(j, ref, now)
			break
		}
		s.completeTask(j, ref, task, now)
	case port.ResultFailed:
		if !step.LongRunning {
			task.FailedRuns = append(task.FailedRuns, e.Run)
		}
		task.AvoidHost = h.ID
		s.stopGang(ref, e.Run, "gang member failed")
		if s.attemptsLeft(j, ref, task) <= 0 {
			s.closeJob(j, Failed, now)
		}
	case port.ResultGangBroken, port.ResultGangIncomplete:
		s.stopGang(ref, e.Run, "gang member ended")
	}
	return out, true
}

// alreadyCounted reports whether an end was counted before or has no effect any more.
func alreadyCounted(step *batch.Step, task *Task, e *port.FinishedRun) bool {
	switch {
	case step.LongRunning:
		return e.Run <= task.Counted
	case e.Result == port.ResultDone:
		return task.Done
	case e.Result == port.ResultFailed:
		return slices.Contains(task.FailedRuns, e.Run)
	}
	return e.Run <= task.Counted
}

// attemptsLeft returns how often a task, or its gang, may still fail before its job is given up.
func (s *State) attemptsLeft(j *Job, ref batch.Ref, task *Task) int {
	limit := s.Queues[j.Spec.Queue].MaxAttempts
	step := &j.Spec.Steps[ref.Step]
	if limit <= 0 || step.LongRunning {
		return math.MaxInt
	}
	if step.Gang {
		return limit - gangFailures(j.Occurrences[ref.Occurrence].Stages[ref.Step].Tasks)
	}
	return limit - task.failures()
}

// gangFailures returns the number of failed runs of a gang, however many members have failed in each. It may be too low if
// the numbers of some runs are not kept, but not below that of any member.
func gangFailures(members []Task) int {
	most, runs := 0, map[int64]struct{}{}
	for i := range members {
		most = max(most, members[i].failures())
		for _, run := range members[i].FailedRuns {
			runs[run] = struct{}{}
		}
	}
	return max(most, len(runs))
}

// failures is the number of failed runs of a task.
func (t *Task) failures() int { return t.FailedEarlier + len(t.FailedRuns) }

// completeTask marks a task as done.
func (s *State) completeTask(j *Job, ref batch.Ref, task *Task, now time.Time) {
	if task.Done {
		return
	}
	occ := &j.Occurrences[ref.Occurrence]
	stage := &occ.Stages[ref.Step]
	// A later run that was started in the meantime is stopped.
	if task.Status == Idle {
		stage.idle--
	} else {
		s.orderStop(ref, task, "task is already done")
	}
	task.Done = true
	s.markTaskDirty(j, ref)
	stage.Left--
	occ.work.known = false
	s.backlog.touchOccurrence(j, ref.Occurrence)
	if stage.Left > 0 {
		s.backlog.update(j, ref.Occurrence, ref.Step)
		return
	}
	// The steps after this one may be ready now.
	s.backlog.updateOccurrence(j, ref.Occurrence)
	delete(s.permits, stepRef(ref))
	if occ.Left--; occ.Left > 0 {
		if !j.hasTaskLeft() {
			s.closeJob(j, Failed, now)
		}
		return
	}
	defer s.backlog.resumeOpening(j)
	if j.OccurrencesLeft--; j.OccurrencesLeft == 0 {
		s.closeJob(j, Completed, now)
	}
}

// completeGang marks all members as done. The success of one member is the success of the gang.
func (s *State) completeGang(j *Job, ref batch.Ref, now time.Time) {
	tasks := j.Occurrences[ref.Occurrence].Stages[ref.Step].Tasks
	for i := range tasks {
		member := ref
		member.Index = i
		s.completeTask(j, member, &tasks[i], now)
	}
}

// stopGang stops the other members of a gang run that can no longer be complete.
func (s *State) stopGang(ref batch.Ref, run int64, why string) {
	j, stage, _ := s.task(ref)
	if stage == nil || j.Phase != Open || !j.Spec.Steps[ref.Step].Gang {
		return
	}
	for i := range stage.Tasks {
		if task := &stage.Tasks[i]; task.Run == run {
			member := ref
			member.Index = i
			s.orderStop(member, task, why)
		}
	}
}

// IsStarting reports whether the start of a run is still wanted and has not been answered.
func (s *State) IsStarting(o *Order) bool {
	_, stage, task := s.task(o.Ref)
	return stage != nil && task.Status == Starting && task.Host == o.Host && task.Run == o.Run
}

// ReturnStart takes back a start that was not sent.
func (s *State) ReturnStart(o *Order) {
	if j, stage, task := s.task(o.Ref); stage != nil && task.Host == o.Host && task.Run == o.Run {
		s.releaseUnstarted(o, j, stage, task)
	}
}

// releaseUnstarted makes a task idle whose run has not started.
func (s *State) releaseUnstarted(o *Order, j *Job, stage *Stage, task *Task) {
	s.release(stage, task, o.Ref)
	if o.AfterWrite {
		// The next owner would take the run for one that was lost with its host.
		s.markTaskDirty(j, o.Ref)
	}
	s.stopGang(o.Ref, o.Run, "start of a gang member was refused")
}

// HandleStartResult processes the answer to a start. It returns false when the host has seen the
// token of a newer owner.
func (s *State) HandleStartResult(o *Order, clock int64, err error, now time.Time) bool {
	j, stage, task := s.task(o.Ref)
	if stage == nil || task.Host != o.Host || task.Run != o.Run {
		return true
	}
	h := s.Hosts[o.Host]
	var refused *port.RefusedError
	switch {
	case err == nil:
		if task.Status == Starting {
			task.Status = Running
		}
		task.StartClock = max(clock, 1)
		s.markStarted(j)
		if h != nil && !h.EndedAt.IsZero() {
			s.recordNewInstance(h, clock, now)
		}
		return true
	case !errors.As(err, &refused):
		if h != nil && !h.EndedAt.IsZero() {
			h.expectNewInstance(now)
		}
		// A run that the host has reported since is known to have begun.
		if task.Status != Running {
			s.orderStop(o.Ref, task, "start not answered")
		}
		return true
	}
	// The host did nothing, so a task that was to be stopped needs no stop any more.
	s.releaseUnstarted(o, j, stage, task)
	if h == nil {
		return true
	}
	switch refused.Reason {
	case port.RefusedFence:
		return false
	case port.RefusedCapacity:
		h.FullUntil = now.Add(fullBackoff)
	case port.RefusedTicket:
		if p := s.permits[stepRef(o.Ref)]; p != nil {
			delete(p.tickets, o.Host)
		}
	case port.RefusedInvalid, port.RefusedUnhealthy, port.RefusedInstance, port.RefusedRestarted, port.RefusedDeadline:
		h.FullUntil = now.Add(refusedBackoff)
	}
	return true
}

// HandleStopResult processes the answer to a stop. It returns false when the host has seen the
// token of a newer owner.
func (s *State) HandleStopResult(o *Order, clock int64, err error, now time.Time) bool {
	_, stage, task := s.task(o.Ref)
	var refused *port.RefusedError
	if errors.As(err, &refused) && refused.Reason == port.RefusedFence {
		return false
	}
	current := stage != nil && task.Status != Idle && task.Host == o.Host && task.Run == o.Run
	if !current {
		return true
	}
	if err != nil {
		// The stop may not have reached the host, so it is sent again. If it never arrives, the
		// run ends with the lease.
		s.retryStop(o.Ref, task, now.Add(stopRetryDelay))
		return true
	}
	if task.Status == Uncertain {
		// From now on the host refuses the run if it has not begun. If it has begun, its end is
		// reported in an answer that is later than this one.
		task.Status, task.StartClock = Stopping, max(clock, 1)
	}
	return true
}

// stopRetryDelay is the pause before a stop that was not answered is sent again.
const stopRetryDelay = 300 * time.Millisecond

// retryStop has the stop of a task sent again after a time.
func (s *State) retryStop(r batch.Ref, task *Task, at time.Time) {
	task.RetryStopAt = at
	s.unansweredStops[r] = struct{}{}
}

// RetryStops sends stops again that were not answered.
func (s *State) RetryStops(now time.Time) {
	for ref := range s.unansweredStops {
		j, _, task := s.task(ref)
		switch {
		case task == nil || task.RetryStopAt.IsZero() || (task.Status == Idle && (task.Done || j.Phase != Open)):
			delete(s.unansweredStops, ref)
		case (task.Status == Uncertain || task.Status == Stopping) && now.After(task.RetryStopAt):
			task.RetryStopAt = time.Time{}
			delete(s.unansweredStops, ref)
			s.orders = append(s.orders, Order{Kind: OrderStop, Host: task.Host, Ref: ref, Run: task.Run, Reason: "earlier stop not answered"})
		}
	}
}
