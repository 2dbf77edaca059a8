package shard

import (
	"errors"
	"slices"
	"time"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
)

// endsPerAnswer is the number of ends that a host lists at once; more wait.
const endsPerAnswer = 500

// RunEnd is a run's end that was counted, for logs.
type RunEnd struct {
	Ref    batch.Ref
	Run    int64
	Host   string
	Result port.Result
	// Took is how long the run took as the owner saw it; 0 when it did not.
	Took time.Duration
}

// HandleListing takes in what a host says of itself. It returns the ends that were new.
func (s *State) HandleListing(id string, l *port.HostReport, now time.Time) []RunEnd {
	h := s.Hosts[id]
	if h == nil {
		return nil
	}
	if h.Confirmed && (l.Born != h.Incarnation || l.Clock < h.Clock) {
		s.newLife(h, l, now)
		h.FirstAnswer = now
	}
	first := !h.Confirmed
	if first {
		h.FirstAnswer = now
	}
	h.Confirmed, h.Unreachable, h.Incarnation, h.Clock, h.LastAnswer = true, false, l.Born, l.Clock, now
	var out []RunEnd
	for i := range l.Finished {
		e := &l.Finished[i]
		if e.Number <= h.CountedEnd {
			continue
		}
		h.CountedEnd = e.Number
		if ending, ok := s.ended(h, e, now); ok {
			out = append(out, ending)
		}
	}
	s.running(h, l, first, now)
	s.gauge(h, now)
	s.compare(h, now)
	s.pace(h, now)
	return out
}

// running compares the runs that a host lists with those that it should have.
func (s *State) running(h *Host, l *port.HostReport, first bool, now time.Time) {
	whole := len(l.Finished) < endsPerAnswer
	h.UnknownRuns = 0
	there := make(map[batch.Ref]int64, len(l.Running))
	for i := range l.Running {
		r := &l.Running[i]
		ref, err := batch.ParseRef(r.Unit)
		if err != nil {
			h.UnknownRuns++
			continue
		}
		if !s.present(h, ref, r, now) {
			h.UnknownRuns++
			s.orders = append(s.orders, Order{Kind: OrderStop, Host: h.ID, Ref: ref, Run: r.Run, Why: "not wanted there"})
			continue
		}
		there[ref] = r.Run
	}
	for ref, u := range h.Assigned {
		_, g, _ := s.unit(ref)
		if there[ref] == u.Run || g == nil || u.Status == Starting || u.Status == Uncertain {
			continue
		}
		// The end of a run that was answered is listed until it is acknowledged, so
		// a run that is in neither list of a later answer has gone with a life that
		// was not told apart.
		if whole && u.StartClock > 0 && l.Clock > u.StartClock && !first {
			if l.Born != 0 {
				// It is the life that the stop was confirmed by: the run never began.
				s.free(g, u, ref)
			} else {
				s.miss(g, u, ref, now)
			}
			s.breakGang(ref, u.Run, "a member is gone")
		}
	}
}

// present takes in one running run, and reports whether it is wanted there.
func (s *State) present(h *Host, ref batch.Ref, r *port.ActiveRun, now time.Time) bool {
	j, g, u := s.unit(ref)
	if j != nil && g == nil && j.Phase == Open && j.Stored && ref.Occurrence >= len(j.Occurrences) && ref.Occurrence < j.Spec.Occurrences() {
		// An earlier owner had opened this occurrence.
		for len(j.Occurrences) <= ref.Occurrence {
			s.openTurn(j)
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
		u.Pace, u.Meter = 100, SpeedMeter{}
		g.idle--
		h.Assigned[ref] = u
		j.Begun = true
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

// ended counts one end. It reports whether the end concerned a known run.
func (s *State) ended(h *Host, e *port.FinishedRun, now time.Time) (RunEnd, bool) {
	ref, err := batch.ParseRef(e.Unit)
	if err != nil {
		return RunEnd{}, false
	}
	j, g, u := s.unit(ref)
	if j != nil && g == nil && j.Phase == Open && ref.Occurrence >= len(j.Occurrences) && ref.Occurrence < j.Spec.Occurrences() {
		for len(j.Occurrences) <= ref.Occurrence {
			s.openTurn(j)
		}
		_, g, u = s.unit(ref)
	}
	if g == nil {
		return RunEnd{}, false
	}
	out := RunEnd{Ref: ref, Run: e.Run, Host: h.ID, Result: e.Result}
	if u.Status != Idle && u.Host == h.ID && u.Run == e.Run {
		out.Took = now.Sub(u.OrderedAt)
		s.free(g, u, ref)
	}
	step := &j.Spec.Steps[ref.Step]
	if counted(step, u, e) {
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
	s.touch(j)
	if e.Result == port.ResultDone || e.Result == port.ResultFailed {
		s.judge(h, ref.Job, e.Result == port.ResultFailed, now)
	}
	switch e.Result {
	case port.ResultDone:
		if step.LongRunning {
			break
		}
		s.learn(j, step, out.Took)
		if step.Gang {
			s.gangDone(j, ref, now)
			break
		}
		s.unitDone(j, ref, u, now)
	case port.ResultFailed:
		if !step.LongRunning {
			u.FailedRuns = append(u.FailedRuns, e.Run)
		}
		u.AvoidHost = h.ID
		s.breakGang(ref, e.Run, "a member failed")
		if s.spent(j, ref, u) {
			s.end(j, Failed, now)
		}
	case port.ResultGangBroken, port.ResultGangIncomplete:
		s.breakGang(ref, e.Run, "a member ended")
	}
	return out, true
}

// counted reports whether an end changes nothing any more.
func counted(step *batch.Step, u *Unit, e *port.FinishedRun) bool {
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

// spent reports whether a task may not be tried again.
func (s *State) spent(j *Job, ref batch.Ref, u *Unit) bool {
	most := s.Queues[j.Spec.Queue].MaxAttempts
	step := &j.Spec.Steps[ref.Step]
	if most <= 0 || step.LongRunning {
		return false
	}
	if !step.Gang {
		return len(u.FailedRuns) >= most
	}
	// The members of a gang fail together, so their failures count as one each.
	fails := 0
	for i := range j.Occurrences[ref.Occurrence].Stages[ref.Step].Units {
		fails += len(j.Occurrences[ref.Occurrence].Stages[ref.Step].Units[i].FailedRuns)
	}
	return fails >= most
}

// unitDone marks a task as done for good.
func (s *State) unitDone(j *Job, ref batch.Ref, u *Unit, now time.Time) {
	if u.Done {
		return
	}
	t := &j.Occurrences[ref.Occurrence]
	g := &t.Stages[ref.Step]
	// A later run that was started meanwhile is of no use.
	if u.Status == Idle {
		g.idle--
	} else {
		s.stop(ref, u, "already done")
	}
	u.Done = true
	g.Left--
	if g.Left > 0 {
		return
	}
	delete(s.permits, stepOf(ref))
	if t.Left--; t.Left > 0 {
		return
	}
	if j.OccurrencesLeft--; j.OccurrencesLeft == 0 {
		s.end(j, Completed, now)
	}
}

// gangDone marks all members as done: one end stands for all.
func (s *State) gangDone(j *Job, ref batch.Ref, now time.Time) {
	units := j.Occurrences[ref.Occurrence].Stages[ref.Step].Units
	for i := range units {
		member := ref
		member.Index = i
		s.unitDone(j, member, &units[i], now)
	}
}

// breakGang stops the other members of a run that can no longer be whole.
func (s *State) breakGang(ref batch.Ref, run int64, why string) {
	j, g, _ := s.unit(ref)
	if g == nil || j.Phase != Open || !j.Spec.Steps[ref.Step].Gang {
		return
	}
	for i := range g.Units {
		if u := &g.Units[i]; u.Run == run {
			member := ref
			member.Index = i
			s.stop(member, u, why)
		}
	}
}

// HandleStartResult takes in the answer to a start. It reports false when a newer owner has
// shut this one out.
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
		j.Begun = true
		return true
	case !errors.As(err, &refused):
		s.stop(o.Ref, u, "start not answered")
		return true
	}
	// Nothing was done. A unit that is to be stopped needs no stop any more.
	s.free(g, u, o.Ref)
	s.breakGang(o.Ref, o.Run, "a member was refused")
	if h == nil {
		return true
	}
	switch refused.Reason {
	case port.RefusedFence:
		return false
	case port.RefusedCapacity:
		h.FullUntil = now.Add(fullFor)
	case port.RefusedTicket:
		if p := s.permits[stepOf(o.Ref)]; p != nil {
			delete(p.tickets, o.Host)
		}
	case port.RefusedInvalid, port.RefusedUnhealthy, port.RefusedInstance, port.RefusedDeadline:
		h.FullUntil = now.Add(busyFor)
	}
	return true
}

// HandleStopResult takes in the answer to a stop. It reports false when a newer owner has
// shut this one out.
func (s *State) HandleStopResult(o *Order, clock int64, err error, now time.Time) bool {
	_, g, u := s.unit(o.Ref)
	var refused *port.RefusedError
	if errors.As(err, &refused) && refused.Reason == port.RefusedFence {
		return false
	}
	mine := g != nil && u.Status != Idle && u.Host == o.Host && u.Run == o.Run
	if !mine {
		return true
	}
	if err != nil {
		// The host may not have heard it. The lease ends the run if it never does.
		u.RetryStopAt = now.Add(stopRetry)
		return true
	}
	if u.Status == Uncertain {
		// From here on the host refuses the run if it has not begun; if it has, its
		// end is listed by an answer that is later than this one.
		u.Status, u.StartClock = Stopping, max(clock, 1)
	}
	return true
}

// stopRetry is the pause before a stop that was not answered is sent again.
const stopRetry = 300 * time.Millisecond

// RetryStops sends stops again that were not answered.
func (s *State) RetryStops(now time.Time) {
	for id, h := range s.Hosts {
		for ref, u := range h.Assigned {
			if (u.Status == Uncertain || u.Status == Stopping) && !u.RetryStopAt.IsZero() && now.After(u.RetryStopAt) {
				u.RetryStopAt = time.Time{}
				s.orders = append(s.orders, Order{Kind: OrderStop, Host: id, Ref: ref, Run: u.Run, Why: "not answered"})
			}
		}
	}
}

// learn remembers how long a task took, to correct later estimates.
func (s *State) learn(j *Job, step *batch.Step, took time.Duration) {
	if took <= 0 || step.Estimate <= 0 {
		return
	}
	key := j.Spec.Queue
	if s.durations[key] == nil {
		s.durations[key] = &sample{}
	}
	s.durations[key].add(float64(took) / float64(step.Estimate))
}

// sampleSize is the number of newest run times that are kept of each queue.
const sampleSize = 64

// sample is a ring of the newest ratios of run time to estimate. The median is read
// far more often than a run ends.
type sample struct {
	values []float64
	next   int
	// middle is the median of the values; 0 when there are too few.
	middle float64
}

func (p *sample) add(v float64) {
	const enough = 8
	if len(p.values) < sampleSize {
		p.values = append(p.values, v)
	} else {
		p.values[p.next] = v
		p.next = (p.next + 1) % sampleSize
	}
	if len(p.values) >= enough {
		sorted := slices.Clone(p.values)
		slices.Sort(sorted)
		p.middle = sorted[len(sorted)/2]
	}
}

// median is the middle ratio; 1 when there are too few.
func (p *sample) median() float64 {
	if p == nil || p.middle == 0 {
		return 1
	}
	return p.middle
}
