package route

import "time"

const (
	// resultWindow is the number of results that a target is judged by.
	resultWindow = 16
	// minResults is the number of results below which no target is judged.
	minResults = 8
	// ejectFailureShare is the share of failures from which a target may be ejected.
	ejectFailureShare = 0.5
	// maxPoolFailureShare is the share of failures of the other targets up to which a
	// failing target is an exception.
	maxPoolFailureShare = 0.25
	// minEjection and lastEjection bound how long a target is left out.
	minEjection = 2 * time.Second
	maxEjection = time.Minute
	// leavingExclusion is how long a target is left out that says that it is leaving.
	leavingExclusion = 5 * time.Second
	// maxEjectedShare is the largest share of a pool's targets left out at once.
	maxEjectedShare = 1.0 / 3
)

// health is what the results of a target say.
type health struct {
	// failed holds the newest results, count how many there are, next the place
	// of the next one.
	failed [resultWindow]bool
	count  int
	next   int
	// excludedUntil is when the target takes requests again; the zero time when it does.
	excludedUntil time.Time
	// lastEjection is how long the last ejection lasted.
	lastEjection time.Duration
	// failing is set from an ejection until the target has shown to be well.
	failing bool
}

func (h *health) available(now time.Time) bool { return !now.Before(h.excludedUntil) }

func (h *health) record(failed bool) {
	h.failed[h.next] = failed
	h.next = (h.next + 1) % resultWindow
	h.count = min(h.count+1, resultWindow)
	if h.failing && h.count >= minResults && h.failureShare() < maxPoolFailureShare {
		h.failing, h.lastEjection = false, 0
	}
}

func (h *health) excludeLeaving(now time.Time) { h.excludedUntil = now.Add(leavingExclusion) }

// failureShare is the failureShare of failures among the newest results.
func (h *health) failureShare() float64 {
	n := 0
	for _, failed := range h.failed[:h.count] {
		if failed {
			n++
		}
	}
	return float64(n) / float64(max(1, h.count))
}

// ejectIfFailing leaves a target out that fails while its pool does not. When most of the
// pool fails, the targets are not the cause and none is left out.
func (s *poolState) ejectIfFailing(t *target) {
	if t.health.count < minResults || t.health.failureShare() < ejectFailureShare {
		return
	}
	out, others := 0, 0.0
	for _, o := range s.tableTargets {
		if !o.health.available(s.now) {
			out++
		}
		if o != t {
			others += o.health.failureShare()
		}
	}
	n := len(s.tableTargets) - 1
	if n < 1 || others/float64(n) > maxPoolFailureShare || float64(out+1) > max(1, maxEjectedShare*float64(n+1)) {
		return
	}
	h := &t.health
	h.lastEjection = min(max(minEjection, 2*h.lastEjection), maxEjection)
	h.excludedUntil = s.now.Add(h.lastEjection)
	h.failing = true
	h.count, h.next = 0, 0
}
