package owner

import "time"

const (
	// maxUnavailableAfter bounds how long an append may stay unanswered while the store is slow. A submission waits for the append in
	// flight and for its own, and callers wait for 3 s.
	maxUnavailableAfter = 1200 * time.Millisecond
	// slowFactor is how much longer than the newest append the next one may take before the store counts as unavailable.
	slowFactor = 2
	// slowFor is how long the duration of an append says something about the next ones.
	slowFor = 5 * time.Second
)

// appendTimes holds how long the newest append took. It tells a store that is slow from one that does not answer: submissions are
// worth the wait for a slow one, and refused at once if it does not answer.
type appendTimes struct {
	took    time.Duration
	endedAt time.Time
}

// record records an append that was answered.
func (a *appendTimes) record(took time.Duration, now time.Time) { a.took, a.endedAt = took, now }

// limit returns how long an append may stay unanswered before the store counts as unavailable.
func (a *appendTimes) limit(now time.Time) time.Duration {
	if now.Sub(a.endedAt) > slowFor {
		return unavailableAfter
	}
	return min(max(slowFactor*a.took, unavailableAfter), maxUnavailableAfter)
}
