package shard

import (
	"slices"
	"time"
)

// starvedPatience is how long nothing of a late job has to run for it to be started on hosts that take no other new work.
const starvedPatience = 2 * time.Second

// startStarved orders the start of one task of each late job of which nothing runs, while less than half of the processor
// capacity is in use. It uses hosts that the round has kept for other work, that is, hosts that are reserved for steps which
// do not fit yet, hosts with a task that is kept apart since it crashes hosts late, and hosts beyond the share of those which
// tasks that run apart may have while other work waits. What no such host takes goes, after
// starvedPatience, to hosts that are kept for a suspect until it has settled, unhealthy hosts and hosts that are being
// emptied.
func startStarved[R Ranking](s *State, ranking R, hosts candidates, limits *Limits, prior priorHosts, now time.Time) {
	kept, closed := hosts.keptForOthers(), s.closedHosts(now)
	if (!kept && len(closed) == 0 && len(s.suspects) == 0) || !mostlyIdle(hosts, closed) {
		return
	}
	s.backlog.advance(now.Sub(s.backlog.origin))
	if !s.hasStarved() {
		return
	}
	// Tasks that run apart have any host then, though other work waits.
	kept = kept || (len(s.suspects) > 0 && s.isolatedHosts >= s.maxIsolatedHosts)
	s.maxIsolatedHosts = len(hosts)
	if kept {
		planOn(s, ranking, hostSet{hosts: hosts.releaseKept(), starvedFor: starvedAfter}, limits, prior, now)
	}
	for _, c := range hosts {
		if c.isolated && !c.reservedApart {
			closed = append(closed, &candidate{host: c.host, free: c.free, isolation: isolation{suspects: c.suspects, unsettled: c.unsettled}})
		}
	}
	if len(closed) > 0 && limits.Starts > 0 {
		s.backlog.advance(now.Sub(s.backlog.origin))
		planOn(s, ranking, hostSet{hosts: closed, preferred: hosts, starvedFor: starvedPatience}, limits, prior, now)
	}
}

// lastAttemptFilter returns a filter for the hosts that may run a task, or its gang. The last attempt of a late job is kept for
// a host that does not fail its work: a job that waits can still be done, and one that has failed as often as its queue allows
// is given up.
func (s *State) lastAttemptFilter(w *waitingStep, task *Task, set hostSet, permitted func(*Host) bool, now time.Time) func(*Host) bool {
	if set.starvedFor == 0 || s.attemptsLeft(w.job, w.ref(), task) > 1 {
		return permitted
	}
	return func(h *Host) bool {
		failing := len(h.failures) > 0 && !now.After(h.UnhealthyUntil)
		return !failing && (permitted == nil || permitted(h))
	}
}

// keptForOthers reports whether a host is reserved or has a task that is kept apart.
func (c candidates) keptForOthers() bool {
	for _, host := range c {
		if (host.reserved && !host.reservedApart) || host.apart {
			return true
		}
	}
	return false
}

// releaseKept ends what keeps the hosts for other work, and returns those of them that admit work then.
func (c candidates) releaseKept() candidates {
	var out candidates
	for _, host := range c {
		if host.isolated || host.reservedApart {
			continue
		}
		host.reserved, host.apart, host.unanswered, host.busy = false, false, 0, false
		out = append(out, host)
	}
	return out
}

// hasStarved reports whether a late job waits of which nothing runs.
func (s *State) hasStarved() bool {
	for g := range s.backlog.needs() {
		if g.starved && !g.longRunning {
			return true
		}
	}
	return false
}

// closedHosts returns the hosts that get no new work only because they are unhealthy or are being emptied.
func (s *State) closedHosts(now time.Time) candidates {
	isClosed := func(h *Host) bool { return !now.After(h.UnhealthyUntil) || !now.After(h.CordonedUntil) }
	if !slices.ContainsFunc(s.sortedHosts(), isClosed) {
		return nil
	}
	return s.lastResorts(starvedWork, now)
}

// mostlyIdle reports whether less than half of the processor capacity of some hosts is in use.
func mostlyIdle(sets ...candidates) bool {
	var used, capacity int64
	for _, hosts := range sets {
		for _, c := range hosts {
			used, capacity = used+c.host.used.MilliCores, capacity+c.host.Capacity.MilliCores
		}
	}
	return 2*used < capacity
}
