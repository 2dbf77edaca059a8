package window

import (
	"math"
	"time"
)

// Adaptive grows the limit by a fixed amount for each round in which orders were answered in time,
// and halves it when most were late. A few hosts that are slow themselves do not shrink the window,
// since it is the owner that delays the orders to all hosts.
type Adaptive struct{}

const (
	// initialLimit is the limit of [Adaptive] at the start.
	initialLimit = 32
	// minLimit is the smallest limit. It keeps a pool with a slow network going.
	minLimit = 8
	// growth is what the limit grows by in one round.
	growth = 4
	// minTarget and maxTarget bound the time between the decision on an order and its answer above
	// which the order counts as late. The last order of a burst waits about twice as long as the
	// median one, and an agent returns starts that waited for 250 ms.
	minTarget, maxTarget = 50 * time.Millisecond, 200 * time.Millisecond
	// baseFactor is the ratio of that time to the shortest one of late. It leaves room for hosts
	// that are farther away than others.
	baseFactor = 2
)

// Initial implements [Policy].
func (Adaptive) Initial() int { return initialLimit }

// Target implements [Policy].
func (Adaptive) Target(shortest time.Duration) time.Duration {
	return min(max(baseFactor*shortest, minTarget), maxTarget)
}

// Adjust implements [Policy]. A limit that has not been reached does not grow.
func (Adaptive) Adjust(limit int, r Round) (int, bool) {
	needed := max(min(limit, r.Peak), minLimit)
	switch {
	case 2*r.Late > needed:
		return max(min(limit, r.Peak)/2, minLimit), true
	case r.Prompt+r.Late < needed:
		return limit, false
	case r.Peak < limit:
		return limit, true
	}
	return limit + growth, true
}

// Unlimited sets no limit. It is the baseline.
type Unlimited struct{}

// Initial implements [Policy].
func (Unlimited) Initial() int { return math.MaxInt }

// Target implements [Policy].
func (Unlimited) Target(time.Duration) time.Duration { return math.MaxInt64 }

// Adjust implements [Policy].
func (Unlimited) Adjust(limit int, _ Round) (int, bool) { return limit, false }
