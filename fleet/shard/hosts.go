package shard

import (
	"slices"
	"time"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
)

// Host is a host of the pool, as the owner knows it.
type Host struct {
	port.Host
	// Listed says that the platform's list names the host now; LastListed is when
	// it last did.
	Listed     bool
	LastListed time.Time
	// Stored says that the store knows that the host may run work of the pool.
	Stored bool
	// Confirmed says that this life of the host has answered under the owner's
	// token, so that no order of an earlier owner can take effect there.
	Confirmed bool
	// Incarnation is when the life that was last heard began; 0 when not said. Since is
	// when the owner first heard it.
	Incarnation int64
	FirstAnswer time.Time
	// Clock is the host's clock, in milliseconds, in the answer that came at Heard.
	Clock      int64
	LastAnswer time.Time
	// Unreachable says that the last try to reach the host failed.
	Unreachable bool
	// GrantedUntil is the latest deadline that was sent, on the host's clock; 0 for none.
	GrantedUntil int64
	// CountedEnd is the highest end that was counted and StoredEnd the highest whose effect
	// the store has; StoredEnd is at most CountedEnd.
	CountedEnd, StoredEnd int64
	// Assigned holds the units that run, may run or are being stopped there.
	Assigned map[batch.Ref]*Unit
	// UnknownRuns is the number of runs there that belong to no known unit.
	UnknownRuns int
	// CordonedUntil is until when the host takes no new work, by request; CordonedAt is
	// when that began.
	CordonedUntil, CordonedAt time.Time
	// UnhealthyUntil is until when the host takes no new work, by what it was seen to do.
	UnhealthyUntil time.Time
	// LastDisturbed is when work that serves there was last disturbed, or what fills last
	// came back a step.
	LastDisturbed time.Time
	// FullUntil is until when no start is tried, after the host refused one for room.
	FullUntil time.Time
	// Speed is the median speed of the units there, as of Gauged.
	Speed           float64
	SpeedMeasuredAt time.Time
	// slowCount counts how often in a row the host was left alone for its speed.
	slowCount int
	// failureStreak counts failed runs of different jobs without a success between.
	failureStreak  int
	lastFailedJob  string
	unhealthyCount int
}

const (
	// clockMargin is added to the time at which a lease is taken to have run out;
	// it covers timers that fire late.
	clockMargin = 100 * time.Millisecond
	// unhealthyFailures is the number of jobs in a row that fail on a host before it is
	// taken for unwell.
	unhealthyFailures = 3
	// unhealthyBackoff is how long a host that fails its work is left alone at first.
	unhealthyBackoff = 3 * time.Second
	// maxBackoffDoublings bounds the doubling of that time.
	maxBackoffDoublings = 3
	// fullBackoff is how long a host that had no room is not asked again.
	fullBackoff = 60 * time.Millisecond
	// answerTimeout is the time without an answer after which a host is taken for
	// silent; an answer is due every second.
	answerTimeout = 1600 * time.Millisecond
	// startWindow is how late a start may be carried out: longer than an order waits
	// for its answer, shorter than the two seconds from which the platform may carry
	// an order out that it has not answered.
	startWindow = 1500 * time.Millisecond
	// refusedBackoff is how long a host that said it was not well is not asked again.
	refusedBackoff = 500 * time.Millisecond
)

// UpdateHost takes in what the platform's list says of a host of the pool.
func (s *State) UpdateHost(h port.Host, now time.Time) *Host {
	host := s.Hosts[h.ID]
	if host == nil {
		host = &Host{Host: h, Assigned: map[batch.Ref]*Unit{}}
		s.Hosts[h.ID] = host
	}
	host.Host, host.Listed, host.LastListed = h, true, now
	return host
}

// RestoreHost takes in a host that an earlier owner may have given work to.
func (s *State) RestoreHost(h port.Host) {
	if s.Hosts[h.ID] == nil {
		s.Hosts[h.ID] = &Host{Host: h, Assigned: map[batch.Ref]*Unit{}, Stored: true}
	}
	s.Hosts[h.ID].Stored = true
}

// UnlistHost says that the platform's list does not name a host any more.
func (s *State) UnlistHost(id string) {
	if h := s.Hosts[id]; h != nil {
		h.Listed = false
	}
}

// LeaseDeadline is the lease's end to grant now, on the host's clock; 0 when none may be
// granted. A host that has fallen silent is granted no more, so that its lease runs
// out even if what is sent to it arrives late.
func (s *State) LeaseDeadline(h *Host, now time.Time) int64 {
	if h.Clock == 0 || now.Sub(s.ConfirmedAt) > s.Timing.Grace || now.Sub(h.LastAnswer) > answerTimeout {
		return 0
	}
	d := h.Clock + now.Sub(h.LastAnswer).Milliseconds() + s.Timing.Lease.Milliseconds()
	h.GrantedUntil = max(h.GrantedUntil, d)
	return d
}

// StartDeadline is the host's time until which it may carry out a start that is sent now; 0
// when none may be sent. It is well before the lease's end, so that an order that is
// carried out late is refused: deadlines never shorten a lease.
func (s *State) StartDeadline(h *Host, now time.Time) int64 {
	if s.LeaseDeadline(h, now) == 0 {
		return 0
	}
	return h.Clock + now.Sub(h.LastAnswer).Milliseconds() + startWindow.Milliseconds()
}

// LeaseExpiry is the time from which nothing that was started on the host before can
// still run there, if it does not answer.
func (s *State) LeaseExpiry(h *Host) time.Time {
	if !h.Confirmed {
		longest := s.Timing.Grace + time.Duration(float64(s.Timing.Lease)*ClockDrift)
		return s.ClaimedAt.Add(longest + clockMargin)
	}
	left := time.Duration(max(h.GrantedUntil-h.Clock, 0)) * time.Millisecond
	return h.LastAnswer.Add(time.Duration(float64(left)*ClockDrift) + clockMargin)
}

// leaseExpired reports whether nothing can run on a host that does not answer. A newer
// owner could have extended the host's lease, so the store has to have confirmed the
// claim since the lease ran out.
func (s *State) leaseExpired(h *Host, now time.Time) bool {
	expiry := s.LeaseExpiry(h)
	return now.After(expiry) && s.ConfirmedAt.After(expiry)
}

// hasUnconfirmedHost reports whether some host that an earlier owner may have used has neither
// answered nor run out of its lease.
func (s *State) hasUnconfirmedHost(now time.Time) bool {
	for _, h := range s.Hosts {
		if h.Stored && !h.Confirmed && !s.leaseExpired(h, now) {
			return true
		}
	}
	return false
}

// ExpireLeases frees what ran on hosts whose lease has run out, and returns the hosts that
// are gone for good.
func (s *State) ExpireLeases(now time.Time) []string {
	var dropped []string
	for id, h := range s.Hosts {
		if !s.leaseExpired(h, now) {
			continue
		}
		if h.Confirmed || len(h.Assigned) > 0 {
			s.releaseAll(h, s.LeaseExpiry(h))
		}
		if !h.Listed {
			dropped = append(dropped, id)
			delete(s.Hosts, id)
		}
	}
	return dropped
}

// SilentHosts lists the hosts that do not answer and on which something may run.
func (s *State) SilentHosts(now time.Time) []string {
	var out []string
	for id, h := range s.Hosts {
		since := h.LastAnswer
		if !h.Confirmed {
			since = s.ClaimedAt
		}
		if (h.Unreachable || now.Sub(since) > silentTimeout) && (len(h.Assigned) > 0 || (h.Stored && !h.Confirmed)) {
			out = append(out, id)
		}
	}
	return out
}

// HostEnded says that this life of a host has ended, so that nothing of it can run any
// more.
func (s *State) HostEnded(id string, now time.Time) {
	if h := s.Hosts[id]; h != nil {
		s.releaseAll(h, now)
		h.Confirmed, h.Unreachable, h.GrantedUntil, h.LastAnswer = true, false, 0, time.Time{}
	}
}

// releaseAll frees all units of a host on which nothing can run any more since a time.
func (s *State) releaseAll(h *Host, since time.Time) {
	for r, u := range h.Assigned {
		_, g, _ := s.unit(r)
		if g == nil {
			delete(h.Assigned, r)
			continue
		}
		s.releaseLost(g, u, r, since)
		s.stopGang(r, u.Run, "a member's host is gone")
	}
}

// handleRestart empties a host that has started anew. Starts that the new life may have
// carried out, or may yet, stay in doubt.
func (s *State) handleRestart(h *Host, l *port.Listing, now time.Time) {
	for r, u := range h.Assigned {
		_, g, _ := s.unit(r)
		if g == nil {
			delete(h.Assigned, r)
			continue
		}
		if l.Names(r.String(), u.Run) {
			continue
		}
		if u.Status == Starting || u.Status == Uncertain || u.StartClock > l.Clock {
			u.Status = Uncertain
			s.orders = append(s.orders, Order{Kind: OrderStop, Host: h.ID, Ref: r, Run: u.Run, Why: "host started anew"})
			continue
		}
		s.releaseLost(g, u, r, now)
		s.stopGang(r, u.Run, "a member's host started anew")
	}
	h.CountedEnd, h.StoredEnd, h.GrantedUntil, h.UnknownRuns = 0, 0, 0, 0
}

// NeedsConfirmation reports whether some host or lost unit waits for a confirmation of the
// claim.
func (s *State) NeedsConfirmation() bool {
	if !s.latestLost.IsZero() && !s.ConfirmedAt.After(s.latestLost) {
		return true
	}
	for _, h := range s.Hosts {
		if h.Listed && h.Confirmed && !s.ConfirmedAt.After(h.FirstAnswer) {
			return true
		}
	}
	return false
}

// Schedulable reports whether new work may be started on the host. A life that has begun
// has seen no token, so it might take orders of an owner that has been replaced: the
// claim has to be confirmed after the life was first heard.
func (s *State) Schedulable(h *Host, now time.Time) bool {
	return h.Listed && h.Stored && h.Confirmed && s.ConfirmedAt.After(h.FirstAnswer) && !h.Draining &&
		now.After(h.CordonedUntil) && now.After(h.UnhealthyUntil) && now.After(h.FullUntil) &&
		now.Sub(h.LastAnswer) < answerTimeout && (s.Guarded || h.UnknownRuns == 0) && h.Capacity != (batch.Size{})
}

// HasLabel reports whether the host has a label.
func HasLabel(h *port.Host, label string) bool {
	return slices.Contains(h.Labels, label)
}

// recordOutcome counts a run's end for the host's health.
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
	if h.failureStreak < unhealthyFailures || s.unhealthyHosts(now)*2 >= len(s.Hosts) {
		return
	}
	h.UnhealthyUntil = now.Add(unhealthyBackoff << h.unhealthyCount)
	h.unhealthyCount = min(h.unhealthyCount+1, maxBackoffDoublings)
	// One more failure after the pause is enough.
	h.failureStreak = unhealthyFailures - 1
	h.lastFailedJob = ""
}

// unhealthyHosts is the number of hosts that are left alone for their failures.
func (s *State) unhealthyHosts(now time.Time) int {
	n := 0
	for _, h := range s.Hosts {
		if now.Before(h.UnhealthyUntil) {
			n++
		}
	}
	return n
}
