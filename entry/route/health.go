package route

import "time"

const (
	// resultWindow is the number of newest results of a target that are evaluated.
	resultWindow = 16
	// minResults is the number of results that a target needs before it can be ejected.
	minResults = 8
	// ejectFailureShare is the share of failures from which a target may be ejected.
	ejectFailureShare = 0.5
	// maxPoolFailureShare is the largest mean failure share of the other targets at
	// which a target may be ejected. A target whose own share is below it has recovered.
	maxPoolFailureShare = 0.25
	// minEjection and maxEjection bound how long a target is ejected.
	minEjection = 2 * time.Second
	maxEjection = time.Minute
	// leavingExclusion is how long a target gets no requests after it has answered that
	// it is leaving.
	leavingExclusion = 5 * time.Second
	// maxEjectedShare is the largest share of a pool's targets that may be excluded at the
	// same time. One target may always be.
	maxEjectedShare = 1.0 / 3
	// reconnectDelay is how long other targets are preferred to one whose connection was refused or
	// lost.
	reconnectDelay = 2 * time.Second
)

// health tracks the results of a target and whether it is excluded.
type health struct {
	// failed is a ring of the newest results, true for a failure. count is the number of
	// results in it, next the index of the next one.
	failed [resultWindow]bool
	count  int
	next   int
	// excludedUntil is when the target may get requests again; the zero time if it was
	// never excluded.
	excludedUntil time.Time
	// lastEjection is the length of the last ejection; 0 after a recovery.
	lastEjection time.Duration
	// failing is set from an ejection until enough results show that the target has
	// recovered.
	failing bool
	// disconnectedAt is when a connection to the target was last refused or lost; the zero time if none
	// was.
	disconnectedAt time.Time
}

func (h *health) available(now time.Time) bool { return !now.Before(h.excludedUntil) }

// connected reports whether no connection to the target was refused or lost within reconnectDelay.
func (h *health) connected(now time.Time) bool { return now.Sub(h.disconnectedAt) >= reconnectDelay }

func (h *health) record(failed bool) {
	h.failed[h.next] = failed
	h.next = (h.next + 1) % resultWindow
	h.count = min(h.count+1, resultWindow)
	if h.failing && h.count >= minResults && h.failureShare() < maxPoolFailureShare {
		h.failing, h.lastEjection = false, 0
	}
}

func (h *health) excludeLeaving(now time.Time) { h.excludedUntil = now.Add(leavingExclusion) }

// failureShare returns the share of failures among the newest results.
func (h *health) failureShare() float64 {
	n := 0
	for _, failed := range h.failed[:h.count] {
		if failed {
			n++
		}
	}
	return float64(n) / float64(max(1, h.count))
}

// ejectIfFailing excludes a target that fails while most of its pool does not. Each ejection is
// twice as long as the last one, up to maxEjection, until the target has recovered. If most of the
// pool fails, the targets are not the cause and none is ejected.
func (s *poolState) ejectIfFailing(t *target) {
	if t.health.count < minResults || t.health.failureShare() < ejectFailureShare {
		return
	}
	excluded, otherShares := 0, 0.0
	for _, other := range s.tableTargets {
		if !other.health.available(s.now) {
			excluded++
		}
		if other != t {
			otherShares += other.health.failureShare()
		}
	}
	n := len(s.tableTargets) - 1
	if n < 1 || otherShares/float64(n) > maxPoolFailureShare || float64(excluded+1) > max(1, maxEjectedShare*float64(n+1)) {
		return
	}
	h := &t.health
	h.lastEjection = min(max(minEjection, 2*h.lastEjection), maxEjection)
	h.excludedUntil = s.now.Add(h.lastEjection)
	h.failing = true
	h.count, h.next = 0, 0
}
