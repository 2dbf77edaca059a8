// Package window limits how many orders are in flight, that is, decided and not answered yet. An
// owner that decides on more orders than it can send delays all of them. Package window reads no
// clock and does no I/O.
package window

import (
	"slices"
	"time"
)

// answerTimeout is the age at which an unanswered order stops counting as in flight, so that hosts
// that do not answer do not hold back the orders to others.
const answerTimeout = 500 * time.Millisecond

const (
	// delaySamples is the number of newest answers of which the delay is the median.
	delaySamples = 15
	// delayTimeout is how long the delay of the last answers is taken for the present one.
	delayTimeout = time.Second
	// shortestInterval is the time over which the shortest delay is kept, at least once and at most
	// twice.
	shortestInterval = 10 * time.Second
)

// Round describes the orders that were decided since the limit last changed.
type Round struct {
	// Prompt and Late count the orders that were answered within the target time, and those that
	// were not.
	Prompt, Late int
	// Peak is the largest number of orders that were in flight at the same time.
	Peak int
}

// Policy adjusts the limit on the orders in flight. Implementations hold no state.
type Policy interface {
	// Initial returns the limit before any order has been answered.
	Initial() int
	// Target returns the time within which an order is answered if the owner keeps up, given the
	// shortest time that an order took lately, which is 0 if none is known.
	Target(shortest time.Duration) time.Duration
	// Adjust returns the next limit. It reports false if the round is too short for a decision.
	Adjust(limit int, r Round) (next int, ok bool)
}

// Window holds the orders in flight, by keys of type K. Use [New] to build it.
type Window[K comparable, P Policy] struct {
	policy P
	limit  int
	// inFlight holds when each order was decided that has not been answered.
	inFlight map[K]time.Time
	// round describes the orders that were decided after roundStart.
	round      Round
	roundStart time.Time
	// delays is a ring of the times between decision and answer of the newest orders. The newest
	// one was measured at delayAt.
	delays    []time.Duration
	nextDelay int
	delayAt   time.Time
	// shortest is the shortest delay since shortestSince, and before the shortest one of the interval
	// before that. They are 0 if none was measured.
	shortest, before time.Duration
	shortestSince    time.Time
}

// New returns an empty window.
func New[K comparable, P Policy](policy P) *Window[K, P] {
	return &Window[K, P]{policy: policy, limit: policy.Initial(), inFlight: map[K]time.Time{}}
}

// Limit returns the number of orders that may be in flight.
func (w *Window[K, P]) Limit() int { return w.limit }

// Delay returns the median time between the decision on an order and its answer. It is 0 if too few
// orders were answered lately. Hosts that are slow themselves do not change it as long as they are
// few.
func (w *Window[K, P]) Delay(now time.Time) time.Duration {
	if len(w.delays) < delaySamples || now.Sub(w.delayAt) > delayTimeout {
		return 0
	}
	sorted := slices.Clone(w.delays)
	slices.Sort(sorted)
	return sorted[len(sorted)/2]
}

// Target returns the time above which an order counts as late now.
func (w *Window[K, P]) Target() time.Duration {
	shortest := w.shortest
	if w.before > 0 && (shortest == 0 || w.before < shortest) {
		shortest = w.before
	}
	return w.policy.Target(shortest)
}

func (w *Window[K, P]) recordShortest(delay time.Duration, now time.Time) {
	if now.Sub(w.shortestSince) > shortestInterval {
		w.shortest, w.before, w.shortestSince = 0, w.shortest, now
	}
	if w.shortest == 0 || delay < w.shortest {
		w.shortest = delay
	}
}

func (w *Window[K, P]) recordDelay(delay time.Duration, now time.Time) {
	w.recordShortest(delay, now)
	if now.Sub(w.delayAt) > delayTimeout {
		w.delays, w.nextDelay = w.delays[:0], 0
	}
	w.delayAt = now
	if len(w.delays) < delaySamples {
		w.delays = append(w.delays, delay)
		return
	}
	w.delays[w.nextDelay] = delay
	w.nextDelay = (w.nextDelay + 1) % delaySamples
}

// Room returns the number of orders that may be decided now. It is not negative.
func (w *Window[K, P]) Room(now time.Time) int {
	for k, decided := range w.inFlight {
		if now.Sub(decided) > answerTimeout {
			w.Answered(k, now)
		}
	}
	return max(w.limit-len(w.inFlight), 0)
}

// Add adds an order that was decided now.
func (w *Window[K, P]) Add(k K, now time.Time) {
	w.inFlight[k] = now
	w.round.Peak = max(w.round.Peak, len(w.inFlight))
}

// Answered removes an order whose outcome is known now, and adjusts the limit. Only orders that
// were decided under the present limit are judged, so the limit changes at most once in the time
// that an order takes. Unknown keys have no effect.
func (w *Window[K, P]) Answered(k K, now time.Time) {
	decided, ok := w.inFlight[k]
	if !ok {
		return
	}
	delete(w.inFlight, k)
	w.recordDelay(now.Sub(decided), now)
	if decided.Before(w.roundStart) {
		return
	}
	if now.Sub(decided) > w.Target() {
		w.round.Late++
	} else {
		w.round.Prompt++
	}
	if next, ok := w.policy.Adjust(w.limit, w.round); ok {
		w.limit, w.roundStart, w.round = next, now, Round{Peak: len(w.inFlight)}
	}
}
