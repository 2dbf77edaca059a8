package shard

import (
	"slices"
	"time"
)

// outcomes is what the runs of a step tell about the step itself.
type outcomes struct {
	// succeeded reports whether a run has ended as done, or a long-running one has worked.
	succeeded bool
	// failsAnywhere reports whether a run has failed on a host that was sound, with no success since. Further failures
	// do not count against hosts then.
	failsAnywhere bool
}

// failure is a failed run that counts against its host.
type failure struct {
	step *outcomes
	// startedAt is when the run was ordered.
	startedAt time.Time
}

// recordOutcome counts the end of a run, which was ordered at startedAt, for the health of its host. When half of the
// hosts that answer are unhealthy already, no further host becomes unhealthy for failures.
func (s *State) recordOutcome(h *Host, job string, stage *Stage, failed bool, startedAt, now time.Time) {
	if stage.outcomes == nil {
		stage.outcomes = &outcomes{succeeded: stage.Left < stage.count}
	}
	o := stage.outcomes
	if !failed {
		o.succeeded, o.failsAnywhere = true, false
		s.recordSuccess(h, startedAt, now)
		return
	}
	if o.failsAnywhere || job == h.lastFailedJob {
		return
	}
	h.lastFailedJob = job
	h.failures = append(h.failures[max(len(h.failures)+1-unhealthyFailures, 0):], failure{o, startedAt})
	// A run that fails on an unhealthy host was started before and shows nothing new.
	if len(h.failures) < unhealthyFailures || now.Before(h.UnhealthyUntil) || !s.mayBecomeUnhealthy(now) {
		return
	}
	h.failingSince, h.failingUntil = now, now.Add(unhealthyBackoff<<h.unhealthyCount)
	h.UnhealthyUntil = h.failingUntil
	h.unhealthyCount = min(h.unhealthyCount+1, maxBackoffDoublings)
	// One more failure after the backoff makes the host unhealthy again.
	h.lastFailedJob = ""
}

// recordSuccess records that a run has succeeded on the host. The steps without a success whose runs failed there
// since the last one are to blame for that themselves. A run that was ordered before all of those tells nothing: the host
// may fail all that it has started since.
func (s *State) recordSuccess(h *Host, startedAt, now time.Time) {
	h.lastSuccess = now
	failures := h.failures
	if len(failures) > 0 && !slices.ContainsFunc(failures, func(f failure) bool { return !startedAt.Before(f.startedAt) }) {
		return
	}
	h.failures, h.lastFailedJob, h.unhealthyCount = nil, "", 0
	h.reopen()
	blamed := false
	for _, f := range failures {
		f.step.failsAnywhere = !f.step.succeeded
		blamed = blamed || f.step.failsAnywhere
	}
	if !blamed {
		return
	}
	for _, other := range s.sortedHosts() {
		other.withdrawFailures()
	}
}

// withdrawFailures drops the failures of steps that fail anywhere.
func (h *Host) withdrawFailures() {
	counted := len(h.failures)
	h.failures = slices.DeleteFunc(h.failures, func(f failure) bool { return f.step.failsAnywhere })
	if counted >= unhealthyFailures && len(h.failures) < unhealthyFailures {
		h.unhealthyCount = max(h.unhealthyCount-1, 0)
		h.reopen()
	}
}

// reopen lets the host take new work again if it takes none because of failures.
func (h *Host) reopen() {
	if h.UnhealthyUntil.Equal(h.failingUntil) {
		h.UnhealthyUntil = time.Time{}
	}
}

// probeDelay is how long a host that fails its work gets no new work although no other host does better.
const probeDelay = 2 * time.Second

// probe opens a host that is closed because of failures, if work waits that fits there and on none of the hosts that were
// planned on, and if no run has succeeded on these since: the host may be as good as they are. It opens one host a round,
// which is closed again by its next failure.
func (s *State) probe(hosts candidates, prior priorHosts, now time.Time) {
	var succeeded time.Time
	for _, c := range hosts {
		if c.host.lastSuccess.After(succeeded) {
			succeeded = c.host.lastSuccess
		}
	}
	for _, h := range s.sortedHosts() {
		if h.fails(now) && now.Sub(h.failingSince) >= probeDelay && !succeeded.After(h.failingSince) &&
			s.obstacleTo(h, now, lastingWork) == NoObstacle && s.workWaitsFor(h, hosts, prior) {
			h.reopen()
			return
		}
	}
}

// workWaitsFor reports whether work waits that has room on a host and on none of some others. Gangs and steps with a
// limit of tasks per host may need a further host anyway.
func (s *State) workWaitsFor(h *Host, others candidates, prior priorHosts) bool {
	free, rooms := h.free(), map[string]*frontier{}
	waitsFor := func(w *waitingStep) bool {
		switch {
		case w.waitsFor(prior) != nil || !w.hasLabel(h) || !free.Fits(w.need):
			return false
		case w.step.Gang || w.step.PerHost > 0:
			return true
		}
		room := rooms[w.step.RequiredLabel]
		if room == nil {
			room = &frontier{}
			for _, c := range others {
				if w.hasLabel(c.host) {
					room.add(c.free)
				}
			}
			rooms[w.step.RequiredLabel] = room
		}
		return !room.fits(w.need)
	}
	for _, root := range s.backlog.needs() {
		if root.contains(free.Fits, waitsFor) {
			return true
		}
	}
	return slices.ContainsFunc(s.backlog.touched, func(w *waitingStep) bool { return w.stage.waiting == w && waitsFor(w) })
}

// fails reports whether the host takes no new work because of failures.
func (h *Host) fails(now time.Time) bool {
	return now.Before(h.UnhealthyUntil) && h.UnhealthyUntil.Equal(h.failingUntil)
}

// mayBecomeUnhealthy reports whether a further host may become unhealthy, that is, whether fewer hosts
// are unhealthy than half of those that answer.
func (s *State) mayBecomeUnhealthy(now time.Time) bool {
	unhealthy, answering := 0, 0
	for _, h := range s.sortedHosts() {
		if now.Before(h.UnhealthyUntil) {
			unhealthy++
		}
		if h.Listed && h.Confirmed && !h.Unreachable {
			answering++
		}
	}
	return unhealthy*2 < answering
}
