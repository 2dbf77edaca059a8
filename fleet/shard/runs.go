package shard

import (
	"errors"
	"slices"
	"time"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
)

// maxEndsPerAnswer is the largest number of ends that a host reports in one answer. Further ends
// are reported later.
const maxEndsPerAnswer = 500

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

// HandleReport takes in the runs and ends that a host reports. It returns the ends that were new.
func (s *State) HandleReport(id string, l *port.HostReport, now time.Time) []RunEnd {
	h := s.Hosts[id]
	if h == nil {
		return nil
	}
	if h.Confirmed && (l.Born != h.Instance || l.Clock < h.Clock) {
		s.handleRestart(h, l, now)
		h.FirstAnswer = now
	}
	first := !h.Confirmed
	if first {
		h.FirstAnswer = now
	}
	h.Confirmed, h.Unreachable, h.Instance, h.Clock, h.LastAnswer = true, false, l.Born, l.Clock, now
	var out []RunEnd
	for i := range l.Finished {
		e := &l.Finished[i]
		if e.Number <= h.CountedEnd {
			continue
		}
		h.CountedEnd = e.Number
		if end, ok := s.countEnd(h, e, now); ok {
			out = append(out, end)
		}
	}
	s.reconcile(h, l, first, now)
	s.measureHost(h, now)
	s.handleSlowHost(h, now)
	s.adjustThrottle(h, now)
	return out
}

// reconcile compares the runs that a host reports with the tasks assigned to it.
func (s *State) reconcile(h *Host, l *port.HostReport, first bool, now time.Time) {
	complete := len(l.Finished) < maxEndsPerAnswer
	h.UnknownRuns = 0
	listed := make(map[batch.Ref]int64, len(l.Running))
	for i := range l.Running {
		r := &l.Running[i]
		ref, err := batch.ParseRef(r.Unit)
		if err != nil {
			h.UnknownRuns++
			continue
		}
		if !s.acceptRunning(h, ref, r, now) {
			h.UnknownRuns++
			s.orders = append(s.orders, Order{Kind: OrderStop, Host: h.ID, Ref: ref, Run: r.Run, Reason: "run is not assigned to this host"})
			continue
		}
		listed[ref] = r.Run
	}
	for ref, u := range h.Assigned {
		_, g, _ := s.unit(ref)
		if listed[ref] == u.Run || g == nil || u.Status == Starting || u.Status == Uncertain {
			continue
		}
		// A host that has answered the start of a run reports its end until the end is
		// acknowledged. A run that is neither running nor ended in a later answer therefore
		// belonged to an earlier instance that could not be told apart.
		if complete && u.StartClock > 0 && l.Clock > u.StartClock && !first {
			if l.Born != 0 {
				// This instance has confirmed the stop, so the run never began.
				s.release(g, u, ref)
			} else {
				s.releaseLost(g, u, ref, now)
			}
			s.stopGang(ref, u.Run, "run of a gang member was lost")
		}
	}
}

// acceptRunning takes in a run that a host reports as running, and reports whether it is wanted
// there.
func (s *State) acceptRunning(h *Host, ref batch.Ref, r *port.ActiveRun, now time.Time) bool {
	j, g, u := s.unit(ref)
	if j != nil && g == nil && j.Phase == Open && j.Stored && ref.Occurrence >= len(j.Occurrences) && ref.Occurrence < j.Spec.Occurrences() {
		// An earlier owner had opened this occurrence.
		for len(j.Occurrences) <= ref.Occurrence {
			s.openOccurrence(j)
		}
		_, g, u = s.unit(ref)
	}
	if g == nil || j.Phase != Open || u.Done {
		return u != nil && u.Host == h.ID && u.Run == r.Run && u.Status != Idle
	}
	switch {
	case u.Status != Idle && u.Host == h.ID && u.Run == r.Run:
		if u.Status == Starting {
			u.Status = Running
		}
	case u.Status == Idle && r.Run > u.Counted && r.Run >= u.Run && j.Inherited:
		// A run that an earlier owner started goes on.
		u.Status, u.Host, u.Run, u.OrderedAt, u.StartClock = Running, h.ID, r.Run, now, h.Clock
		u.ThrottlePercent, u.Meter = 100, SpeedMeter{}
		g.idle--
		h.Assigned[ref] = u
		j.Started = true
	default:
		return false
	}
	if u.StartClock == 0 {
		u.StartClock = h.Clock
	}
	u.Percent, u.Load = r.ProgressPercent, r.Load
	if r.Checkpoint != "" {
		u.Checkpoint = r.Checkpoint
	}
	return true
}

// countEnd counts one end. It reports whether the end belongs to a known task.
func (s *State) countEnd(h *Host, e *port.FinishedRun, now time.Time) (RunEnd, bool) {
	ref, err := batch.ParseRef(e.Unit)
	if err != nil {
		return RunEnd{}, false
	}
	j, g, u := s.unit(ref)
	if j != nil && g == nil && j.Phase == Open && ref.Occurrence >= len(j.Occurrences) && ref.Occurrence < j.Spec.Occurrences() {
		for len(j.Occurrences) <= ref.Occurrence {
			s.openOccurrence(j)
		}
		_, g, u = s.unit(ref)
	}
	if g == nil {
		return RunEnd{}, false
	}
	out := RunEnd{Ref: ref, Run: e.Run, Host: h.ID, Result: e.Result}
	if u.Status != Idle && u.Host == h.ID && u.Run == e.Run {
		out.Took = now.Sub(u.OrderedAt)
		s.release(g, u, ref)
	}
	step := &j.Spec.Steps[ref.Step]
	if alreadyCounted(step, u, e) {
		return out, true
	}
	if e.Checkpoint != "" && e.Run > u.Counted {
		u.Checkpoint = e.Checkpoint
	}
	u.Counted = max(u.Counted, e.Run)
	u.Run = max(u.Run, e.Run)
	if j.Phase != Open {
		return out, true
	}
	s.markDirty(j)
	if e.Result == port.ResultDone || e.Result == port.ResultFailed {
		s.recordOutcome(h, ref.Job, e.Result == port.ResultFailed, now)
	}
	switch e.Result {
	case port.ResultDone:
		if step.LongRunning {
			break
		}
		s.recordDuration(j, step, out.Took)
		if step.Gang {
			s.completeGang(j, ref, now)
			break
		}
		s.completeUnit(j, ref, u, now)
	case port.ResultFailed:
		if !step.LongRunning {
			u.FailedRuns = append(u.FailedRuns, e.Run)
		}
		u.AvoidHost = h.ID
		s.stopGang(ref, e.Run, "gang member failed")
		if s.attemptsExhausted(j, ref, u) {
			s.closeJob(j, Failed, now)
		}
	case port.ResultGangBroken, port.ResultGangIncomplete:
		s.stopGang(ref, e.Run, "gang member ended")
	}
	return out, true
}

// alreadyCounted reports whether an end was counted before or has no effect any more.
func alreadyCounted(step *batch.Step, u *Task, e *port.FinishedRun) bool {
	switch {
	case step.LongRunning:
		return e.Run <= u.Counted
	case e.Result == port.ResultDone:
		return u.Done
	case e.Result == port.ResultFailed:
		return slices.Contains(u.FailedRuns, e.Run)
	}
	return e.Run <= u.Counted
}

// attemptsExhausted reports whether a task has failed as often as its queue allows.
func (s *State) attemptsExhausted(j *Job, ref batch.Ref, u *Task) bool {
	limit := s.Queues[j.Spec.Queue].MaxAttempts
	step := &j.Spec.Steps[ref.Step]
	if limit <= 0 || step.LongRunning {
		return false
	}
	if !step.Gang {
		return len(u.FailedRuns) >= limit
	}
	// The members of a gang fail together. Each of their failures counts as one attempt.
	failures := 0
	for i := range j.Occurrences[ref.Occurrence].Stages[ref.Step].Tasks {
		failures += len(j.Occurrences[ref.Occurrence].Stages[ref.Step].Tasks[i].FailedRuns)
	}
	return failures >= limit
}

// completeUnit marks a task as done.
func (s *State) completeUnit(j *Job, ref batch.Ref, u *Task, now time.Time) {
	if u.Done {
		return
	}
	t := &j.Occurrences[ref.Occurrence]
	g := &t.Stages[ref.Step]
	// A later run that was started in the meantime is stopped.
	if u.Status == Idle {
		g.idle--
	} else {
		s.orderStop(ref, u, "task is already done")
	}
	u.Done = true
	g.Left--
	if g.Left > 0 {
		return
	}
	delete(s.permits, stepRef(ref))
	if t.Left--; t.Left > 0 {
		return
	}
	if j.OccurrencesLeft--; j.OccurrencesLeft == 0 {
		s.closeJob(j, Completed, now)
	}
}

// completeGang marks all members as done. The success of one member is the success of the gang.
func (s *State) completeGang(j *Job, ref batch.Ref, now time.Time) {
	units := j.Occurrences[ref.Occurrence].Stages[ref.Step].Tasks
	for i := range units {
		member := ref
		member.Index = i
		s.completeUnit(j, member, &units[i], now)
	}
}

// stopGang stops the other members of a gang run that can no longer be complete.
func (s *State) stopGang(ref batch.Ref, run int64, why string) {
	j, g, _ := s.unit(ref)
	if g == nil || j.Phase != Open || !j.Spec.Steps[ref.Step].Gang {
		return
	}
	for i := range g.Tasks {
		if u := &g.Tasks[i]; u.Run == run {
			member := ref
			member.Index = i
			s.orderStop(member, u, why)
		}
	}
}

// HandleStartResult takes in the answer to a start. It returns false when the host has seen the
// token of a newer owner.
func (s *State) HandleStartResult(o *Order, clock int64, err error, now time.Time) bool {
	j, g, u := s.unit(o.Ref)
	if g == nil || u.Host != o.Host || u.Run != o.Run {
		return true
	}
	h := s.Hosts[o.Host]
	var refused *port.RefusedError
	switch {
	case err == nil:
		if u.Status == Starting {
			u.Status = Running
		}
		u.StartClock = max(clock, 1)
		j.Started = true
		return true
	case !errors.As(err, &refused):
		s.orderStop(o.Ref, u, "start not answered")
		return true
	}
	// The host did nothing, so a task that was to be stopped needs no stop any more.
	s.release(g, u, o.Ref)
	s.stopGang(o.Ref, o.Run, "start of a gang member was refused")
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
	case port.RefusedInvalid, port.RefusedUnhealthy, port.RefusedInstance, port.RefusedDeadline:
		h.FullUntil = now.Add(refusedBackoff)
	}
	return true
}

// HandleStopResult takes in the answer to a stop. It returns false when the host has seen the
// token of a newer owner.
func (s *State) HandleStopResult(o *Order, clock int64, err error, now time.Time) bool {
	_, g, u := s.unit(o.Ref)
	var refused *port.RefusedError
	if errors.As(err, &refused) && refused.Reason == port.RefusedFence {
		return false
	}
	current := g != nil && u.Status != Idle && u.Host == o.Host && u.Run == o.Run
	if !current {
		return true
	}
	if err != nil {
		// The stop may not have reached the host, so it is sent again. If it never arrives, the
		// run ends with the lease.
		u.RetryStopAt = now.Add(stopRetryDelay)
		return true
	}
	if u.Status == Uncertain {
		// From now on the host refuses the run if it has not begun. If it has begun, its end is
		// reported in an answer that is later than this one.
		u.Status, u.StartClock = Stopping, max(clock, 1)
	}
	return true
}

// stopRetryDelay is the pause before a stop that was not answered is sent again.
const stopRetryDelay = 300 * time.Millisecond

// RetryStops sends stops again that were not answered.
func (s *State) RetryStops(now time.Time) {
	for id, h := range s.Hosts {
		for ref, u := range h.Assigned {
			if (u.Status == Uncertain || u.Status == Stopping) && !u.RetryStopAt.IsZero() && now.After(u.RetryStopAt) {
				u.RetryStopAt = time.Time{}
				s.orders = append(s.orders, Order{Kind: OrderStop, Host: id, Ref: ref, Run: u.Run, Reason: "earlier stop not answered"})
			}
		}
	}
}

// recordDuration records how long a task took, to correct later estimates.
func (s *State) recordDuration(j *Job, step *batch.Step, took time.Duration) {
	if took <= 0 || step.Estimate <= 0 {
		return
	}
	key := j.Spec.Queue
	if s.durationRatios[key] == nil {
		s.durationRatios[key] = &sample{}
	}
	s.durationRatios[key].add(float64(took) / float64(step.Estimate))
}

// sampleSize is the number of newest run times that are kept for each queue.
const sampleSize = 64

// sample is a ring of the newest ratios of run time to estimate. The median is cached because it
// is read far more often than a run ends.
type sample struct {
	values []float64
	next   int
	// cachedMedian is the median of the values, or 0 when there are too few.
	cachedMedian float64
}

func (p *sample) add(v float64) {
	const minRatios = 8
	if len(p.values) < sampleSize {
		p.values = append(p.values, v)
	} else {
		p.values[p.next] = v
		p.next = (p.next + 1) % sampleSize
	}
	if len(p.values) >= minRatios {
		sorted := slices.Clone(p.values)
		slices.Sort(sorted)
		p.cachedMedian = sorted[len(sorted)/2]
	}
}

// median returns the median ratio, or 1 when there are too few.
func (p *sample) median() float64 {
	if p == nil || p.cachedMedian == 0 {
		return 1
	}
	return p.cachedMedian
}
