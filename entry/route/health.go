package route

import "time"

const (
	// window is the number of results that a target is judged by.
	window = 16
	// leastResults is the number of results below which no target is judged.
	leastResults = 8
	// failedShare is the share of failures from which a target may be ejected.
	failedShare = 0.5
	// poolShare is the share of failures of the other targets up to which a
	// failing target is an exception.
	poolShare = 0.25
	// firstEjection and lastEjection bound how long a target is left out.
	firstEjection = 2 * time.Second
	lastEjection  = time.Minute
	// leaveFor is how long a target is left out that says that it is leaving.
	leaveFor = 5 * time.Second
	// ejectableShare is the largest share of a pool's targets left out at once.
	ejectableShare = 1.0 / 3
)

// health is what the results of a target say.
type health struct {
	// failed holds the newest results, count how many there are, next the place
	// of the next one.
	failed [window]bool
	count  int
	next   int
	// until is when the target takes requests again; the zero time when it does.
	until time.Time
	// ejected is how long the last ejection lasted.
	ejected time.Duration
	// failing is set from an ejection until the target has shown to be well.
	failing bool
}

func (h *health) open(now time.Time) bool { return !now.Before(h.until) }

func (h *health) note(failed bool) {
	h.failed[h.next] = failed
	h.next = (h.next + 1) % window
	h.count = min(h.count+1, window)
	if h.failing && h.count >= leastResults && h.share() < poolShare {
		h.failing, h.ejected = false, 0
	}
}

func (h *health) leave(now time.Time) { h.until = now.Add(leaveFor) }

// share is the share of failures among the newest results.
func (h *health) share() float64 {
	n := 0
	for _, failed := range h.failed[:h.count] {
		if failed {
			n++
		}
	}
	return float64(n) / float64(max(1, h.count))
}

// judge leaves a target out that fails while its pool does not. When most of the
// pool fails, the targets are not the cause and none is left out.
func (s *poolState) judge(t *target) {
	if t.health.count < leastResults || t.health.share() < failedShare {
		return
	}
	out, others := 0, 0.0
	for _, o := range s.order {
		if !o.health.open(s.now) {
			out++
		}
		if o != t {
			others += o.health.share()
		}
	}
	n := len(s.order) - 1
	if n < 1 || others/float64(n) > poolShare || float64(out+1) > max(1, ejectableShare*float64(n+1)) {
		return
	}
	h := &t.health
	h.ejected = min(max(firstEjection, 2*h.ejected), lastEjection)
	h.until = s.now.Add(h.ejected)
	h.failing = true
	h.count, h.next = 0, 0
}
