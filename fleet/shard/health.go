package shard

import (
	"time"
)

// recordOutcome counts the end of a run for the health of its host. When half of the hosts that answer
// are unhealthy already, no further host becomes unhealthy for failures.
func (s *State) recordOutcome(h *Host, job string, failed bool, now time.Time) {
	if !failed {
		h.failureStreak, h.lastFailedJob, h.unhealthyCount = 0, "", 0
		h.reopen()
		return
	}
	if job == h.lastFailedJob {
		return
	}
	h.lastFailedJob = job
	h.failureStreak++
	// A run that fails on an unhealthy host was started before and shows nothing new.
	if h.failureStreak < unhealthyFailures || now.Before(h.UnhealthyUntil) || !s.mayBecomeUnhealthy(now) {
		return
	}
	h.failingUntil = now.Add(unhealthyBackoff << h.unhealthyCount)
	h.UnhealthyUntil = h.failingUntil
	h.unhealthyCount = min(h.unhealthyCount+1, maxBackoffDoublings)
	// One more failure after the backoff makes the host unhealthy again.
	h.failureStreak = unhealthyFailures - 1
	h.lastFailedJob = ""
}

// reopen lets the host take new work again if it takes none because of failures.
func (h *Host) reopen() {
	if h.UnhealthyUntil.Equal(h.failingUntil) {
		h.UnhealthyUntil = time.Time{}
	}
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
