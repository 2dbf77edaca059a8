package shard

import "time"

// Reading is how far an inherited host has listed the ends of runs of earlier owners.
type Reading struct {
	State ReadingState
	// Ends is the number of ends that its present instance has listed.
	Ends int
	// Since is when the instance first answered, or when the pool was claimed if the host has not answered.
	Since time.Time
}

// ReadingState is what inherited work may still learn from a host.
type ReadingState string

// The states. Inherited work waits for hosts in the first two.
const (
	ReadingUnanswered ReadingState = "unanswered"
	ReadingIncomplete ReadingState = "incomplete"
	ReadingComplete   ReadingState = "complete"
	// ReadingExpired hosts have lost their lease, and ReadingGone ones have ended. What they have not listed does not count any more.
	ReadingExpired ReadingState = "expired"
	ReadingGone    ReadingState = "gone"
)

// ReadingOf returns how far an inherited host has listed its ends.
func (s *State) ReadingOf(id string, now time.Time) Reading {
	h := s.Hosts[id]
	if h == nil {
		return Reading{State: ReadingGone, Since: s.ClaimedAt}
	}
	out := Reading{State: ReadingComplete, Ends: h.EndsRead, Since: h.FirstAnswer}
	if h.FirstAnswer.IsZero() {
		out.Since = s.ClaimedAt
	}
	switch {
	case !h.EndedAt.IsZero():
		out.State = ReadingGone
	case s.isPrior(h, now) && h.Confirmed:
		out.State = ReadingIncomplete
	case s.isPrior(h, now):
		out.State = ReadingUnanswered
	case !h.Confirmed || !h.EndsListed || h.endsExpired:
		out.State = ReadingExpired
	}
	return out
}
