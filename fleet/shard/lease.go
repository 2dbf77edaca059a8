package shard

import (
	"time"
)

// LeaseDeadline returns the lease deadline to grant now, on the host's clock in milliseconds, and
// 0 when none may be granted. A host that does not answer gets no extension, so that its lease
// expires even if messages to it arrive late, and neither does one that keeps listing further ends.
func (s *State) LeaseDeadline(h *Host, now time.Time) int64 {
	limit := answerTimeout
	if h.AnswerPending {
		// An owner that is late cannot tell that the host is silent.
		limit = max(limit, s.Timing.Lease)
	}
	if h.Clock == 0 || now.Sub(s.ConfirmedAt) > s.Timing.Grace || now.Sub(h.LastAnswer) > limit || h.isEndless() {
		return 0
	}
	d := h.clockAt(now) + s.Timing.Lease.Milliseconds()
	h.GrantedUntil = max(h.GrantedUntil, d)
	return d
}

// clockAt returns the host's clock at a time, in milliseconds. The clock may be slow; it is not
// before the returned time, so that no lease outlasts the time for which the next owner waits.
func (h *Host) clockAt(now time.Time) int64 {
	return h.Clock + time.Duration(float64(now.Sub(h.ClockAt))/ClockDrift).Milliseconds()
}

// StartDeadline returns the time on the host's clock until which the host may carry out a start
// that is sent now, and 0 when none may be sent. It is well before the end of the lease, so that
// an order that is carried out late is refused. Deadlines never shorten a lease.
func (s *State) StartDeadline(h *Host, now time.Time) int64 {
	if s.LeaseDeadline(h, now) == 0 {
		return 0
	}
	return h.clockAt(now) + startWindow.Milliseconds()
}

// LeaseExpiry returns the time after which nothing that was started on the host can still be
// running there if it does not answer.
func (s *State) LeaseExpiry(h *Host) time.Time {
	if !h.EndedAt.IsZero() {
		return h.EndedAt
	}
	if !h.Confirmed {
		longest := s.Timing.Grace + time.Duration(float64(s.Timing.Lease)*ClockDrift)
		return s.ClaimedAt.Add(longest + clockMargin)
	}
	left := time.Duration(max(h.GrantedUntil-h.Clock, 0)) * time.Millisecond
	return h.ClockAt.Add(time.Duration(float64(left)*ClockDrift) + clockMargin)
}

// leaseExpired reports whether nothing can be running on a host that does not answer. A newer
// owner could have extended the host's lease, so the store has to have confirmed the claim since
// the lease expired. An answer that the owner has not handled yet may list the ends of runs, so the
// last heartbeat has to have shown that the host is silent. An owner that stays late gives the host
// up after another lease, since the host may be dead.
func (s *State) leaseExpired(h *Host, now time.Time) bool {
	expiry := s.LeaseExpiry(h)
	silent := !h.AnswerPending || h.UnansweredAt.After(expiry) || now.After(expiry.Add(s.Timing.Lease))
	return silent && now.After(expiry) && s.ConfirmedAt.After(expiry)
}
