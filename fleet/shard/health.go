package shard

import (
	"time"
)

// recordOutcome counts the end of a run for the health of its host. When half of the hosts that answer
// are unhealthy already, no further host becomes unhealthy for failures.
func (s *State) recordOutcome(h *Host, job string, failed bool, now time.Time) {
	if !failed {
		h.failureStreak, h.lastFailedJob, h.unhealthyCount = 0, "", 0
		return
	}
	if job == h.lastFailedJob {
		return
	}
	h.lastFailedJob = job
	h.failureStreak++
	if h.failureStreak < unhealthyFailures || !s.mayBecomeUnhealthy(now) {
		return
	}
	h.UnhealthyUntil = now.Add(unhealthyBackoff << h.unhealthyCount)
	h.unhealthyCount = min(h.unhealthyCount+1, maxBackoffDoublings)
	// One more failure after the backoff makes the host unhealthy again.
	h.failureStreak = unhealthyFailures - 1
	h.lastFailedJob = ""
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
