package shard

import (
	"iter"
	"slices"
	"time"

	"carawaymux.dev/fleet/batch"
)

const (
	// isolateAfter is the number of crashes after which a task runs apart from others.
	isolateAfter = 2
	// maxSuspectsPerHost is the number of tasks with one crash that may be on a host.
	maxSuspectsPerHost = 8
	// maxIsolatedShare is the share of the hosts of a pool that may be kept for tasks that run apart, until no
	// other work has waited for idleTime.
	maxIsolatedShare = 0.25
	idleTime         = time.Second
	// isolationPatience is the time after its loss after which a long-running task no longer waits because of
	// suspects. It is well below the time within which such a task has to be started again.
	isolationPatience = 2 * time.Second
)

// settled reports whether a task has run on its host for long enough not to be suspected of a crash.
func (t *Task) settled(now time.Time) bool {
	return t.Status == Running && t.StartClock > 0 && now.Sub(t.OrderedAt) > settleTime
}

// isolation is what the suspects on a host demand of it.
type isolation struct {
	// isolated reports whether a task is there that is kept apart until it has settled, and apart whether one
	// runs there that other tasks which end are kept from all the time, since it crashes hosts late.
	isolated, apart bool
	// suspects is the number of suspects there.
	suspects int
	// unsettled is the number of tasks there that are or could yet be suspected of a crash.
	unsettled int
}

// markIsolation sets what the suspects demand of the hosts on which they are.
func (s *State) markIsolation(hosts candidates, now time.Time) {
	s.isolatedHosts = 0
	if len(s.suspects) == 0 {
		return
	}
	for _, c := range hosts {
		c.markIsolation(s, now)
		s.isolatedHosts += count(c.isolated)
	}
	s.maxIsolatedHosts = len(hosts)
	if s.othersWait(hosts) {
		s.othersWaitedAt = now
	}
	if now.Sub(s.othersWaitedAt) <= idleTime {
		s.maxIsolatedHosts = max(int(maxIsolatedShare*float64(len(hosts))), 1)
	}
}

// markIsolation sets what the suspects demand of the host.
func (c *candidate) markIsolation(s *State, now time.Time) {
	if len(s.suspects) == 0 {
		return
	}
	for _, task := range c.host.Assigned {
		c.unsettled += count(!task.settled(now))
		c.suspects += count(task.Crashes.Hosts > 0)
		c.isolated = c.isolated || (task.Crashes.Isolated && !task.settled(now))
		c.apart = c.apart || (task.Crashes.Isolated && task.Crashes.Late >= isolateAfter)
	}
}

// othersWait reports whether a task waits that does not have to run apart and could run on one of some hosts.
func (s *State) othersWait(hosts candidates) bool {
	apart := map[*Stage]int{}
	for ref := range s.waitingApart() {
		_, stage, _ := s.task(ref)
		apart[stage]++
	}
	whole := map[string]frontier{}
	couldRun := func(label string, need batch.Size) bool {
		if _, known := whole[label]; !known {
			var f frontier
			for _, c := range hosts {
				if labelAllows(c.host, label) {
					f.add(c.host.Capacity)
				}
			}
			whole[label] = f
		}
		return whole[label].fits(need)
	}
	for g, root := range s.backlog.needs() {
		if root.contains(func(low batch.Size) bool { return couldRun(g.label, low) }, func(w *waitingStep) bool { return w.stage.idle > apart[w.stage] }) {
			return true
		}
	}
	return slices.ContainsFunc(s.backlog.touched, func(w *waitingStep) bool {
		return w.stage.waiting == w && couldRun(w.step.RequiredLabel, w.need) && w.stage.idle > apart[w.stage]
	})
}

// waitingApart returns the tasks that wait and have to run apart.
func (s *State) waitingApart() iter.Seq[batch.Ref] {
	return func(yield func(batch.Ref) bool) {
		for ref, task := range s.suspects {
			_, stage, _ := s.task(ref)
			waits := stage != nil && stage.waiting != nil && task.Status == Idle && !task.closed()
			if waits && task.Crashes.Isolated && !yield(ref) {
				return
			}
		}
	}
}

// isolatedWork returns the work that the capacity of the hosts amounts to which are kept for tasks that run apart
// and wait, beyond the tasks' own work, in thousandths of a core-second. While other work waits it is 0, so that
// no machines come for tasks that are late already.
func (s *State) isolatedWork(hostCores int64, now time.Time) int64 {
	var work int64
	if now.Sub(s.othersWaitedAt) <= idleTime {
		return 0
	}
	for ref := range s.waitingApart() {
		j := s.Jobs[ref.Job]
		step := &j.Spec.Steps[ref.Step]
		rest := max(hostCores-step.Reservation().MilliCores, 0)
		expected := step.Estimate.Seconds() * s.durationRatios[j.Spec.Queue].median()
		work += int64(min(float64(rest)*expected, maxStepWork))
	}
	return work
}

// hasWaited reports whether a long-running task has waited for longer than isolationPatience since its run was lost, or
// since its step could start if no run was lost.
func (s *State) hasWaited(stage *Stage, task *Task, now time.Time) bool {
	if !task.LostAt.IsZero() {
		return now.Sub(task.LostAt) > isolationPatience
	}
	w := stage.waiting
	return w != nil && w.placed && now.Sub(s.backlog.origin)-w.since > isolationPatience
}

// admits reports whether a task may be placed on a host beside the tasks there, as far as crashes of hosts
// are concerned.
func (s *State) admits(c *candidate, step *batch.Step, stage *Stage, task *Task, now time.Time) bool {
	switch {
	case step.LongRunning && s.hasWaited(stage, task, now):
		return true
	case c.isolated || (c.apart && !step.LongRunning):
		return false
	case task.Crashes.Hosts > 0 && !step.LongRunning && !now.After(c.host.CordonedUntil):
		// The end of a host that is being emptied does not count as a crash.
		return false
	case task.Crashes.Hosts == 0:
		return true
	case !task.Crashes.Isolated:
		return c.suspects < maxSuspectsPerHost
	case step.LongRunning:
		return c.unsettled == 0
	}
	return c.unsettled == 0 && s.isolatedHosts < s.maxIsolatedHosts
}

// recordPlacement updates what the suspects demand of a host after a task was placed there.
func (s *State) recordPlacement(c *candidate, task *Task) {
	c.unsettled++
	if task.Crashes.Hosts == 0 {
		return
	}
	c.suspects++
	if task.Crashes.Isolated && !c.isolated {
		c.isolated = true
		s.isolatedHosts++
	}
}

// reserveIsolated reserves the host with the fewest tasks that are not settled for a task that has to run
// apart, so that the host empties. It reports whether it has reserved one.
func (s *State) reserveIsolated(w *waitingStep, hosts candidates) bool {
	if s.isolatedHosts >= s.maxIsolatedHosts || !w.reserves() {
		return false
	}
	var best *candidate
	for _, c := range hosts {
		if c.reserved || c.isolated || !c.host.Capacity.Sub(c.host.longRunningUsed).Fits(w.need) || !w.hasLabel(c.host) {
			continue
		}
		if (best == nil || c.unsettled < best.unsettled) && s.mayUse(w, c.host) {
			best = c
		}
	}
	if best == nil {
		return false
	}
	best.reserve(best.host.Capacity)
	best.reservedApart = true
	s.reserved++
	s.isolatedHosts++
	return true
}
