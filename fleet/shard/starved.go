package shard

import (
	"slices"
	"time"
)

// startStarved orders the start of one task of each late job of which nothing runs, while less than half of the processor
// capacity is in use. It uses hosts that the round has kept for other work, that is, hosts that are reserved for steps which
// do not fit yet and hosts with a task that is kept apart since it crashes hosts late. Hosts that are kept for suspects
// until these have settled are left out, since that is short. Work that no such host takes goes to unhealthy hosts.
func startStarved[R Ranking](s *State, ranking R, hosts candidates, limits *Limits, unconfirmed bool, now time.Time) {
	kept, unhealthy := hosts.keptForOthers(), s.unhealthyHosts(now)
	if (!kept && len(unhealthy) == 0) || !mostlyIdle(hosts, unhealthy) {
		return
	}
	s.backlog.advance(now.Sub(s.backlog.origin))
	if !s.hasStarved() {
		return
	}
	if kept {
		planOn(s, ranking, hostSet{hosts: hosts.releaseKept(), starvedOnly: true}, limits, unconfirmed, now)
	}
	if len(unhealthy) > 0 && limits.Starts > 0 {
		s.backlog.advance(now.Sub(s.backlog.origin))
		planOn(s, ranking, hostSet{hosts: unhealthy, preferred: hosts, starvedOnly: true}, limits, unconfirmed, now)
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

// unhealthyHosts returns the hosts that get no new work only because they are unhealthy.
func (s *State) unhealthyHosts(now time.Time) candidates {
	isUnhealthy := func(h *Host) bool { return !now.After(h.UnhealthyUntil) && now.After(h.CordonedUntil) }
	if !slices.ContainsFunc(s.sortedHosts(), isUnhealthy) {
		return nil
	}
	return slices.DeleteFunc(s.lastResorts(now), func(c *candidate) bool { return !isUnhealthy(c.host) })
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
