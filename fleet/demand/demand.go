// Package demand forecasts which pools will soon have much more work than now. Callers of different
// kinds often take turns: a kind brings several times its mean for a while, and then very little. The
// package learns the turns from the rates at which work arrives. It has no period, order or size of
// turns built in, reads no clock and does no I/O.
package demand

import (
	"maps"
	"math"
	"slices"
	"time"

	"carawaymux.dev/fleet/clamp"
)

// History holds what was observed of the turns of all pools. Use [NewHistory] to build it.
type History struct {
	// Pools holds the pools by name.
	Pools map[string]*Pool
	// WorkSince is when the pools had work for the first time, or the zero time before that. Callers of
	// Observe set it.
	WorkSince time.Time
	// LastStart is when the newest turn of any pool began, or the zero time before the first one.
	LastStart time.Time
	// LastEnd is when the newest end of a counted turn was observed, or the zero time before the first one.
	LastEnd time.Time
	// Intervals holds the times between the starts of consecutive turns, the newest last. There are
	// at most maxIntervals.
	Intervals []time.Duration
	// Returns counts, by the number of turns of other pools since the own last turn, how often a pool
	// had the next turn, and Chances how often it could have had it. Both have the same length.
	Returns, Chances []float64
	// Turns counts the turns that have begun or ended since the history was built.
	Turns int
}

// Pool holds the turns of one pool.
type Pool struct {
	// Hosts is the number of hosts that the pool had before work arrived for the first time, or when it
	// was first observed if that was later.
	Hosts int
	// Capacity is what these hosts can carry, in thousandths of a core.
	Capacity int64
	// Peak is the rate at which work arrived at the height of its turns, in thousandths of a core, and
	// 0 before the end of the first one.
	Peak int64
	// InTurn reports whether the pool is in a turn now, which began at Began. Counted reports whether
	// the turn is one of a sequence: work that floods a pool during the turn of another one is none. While
	// Pending is set, that is not decided.
	InTurn, Counted, Pending bool
	Began                    time.Time
	// Falling reports whether the rate has not been below that at which turns begin since the last one ended. A flood
	// ends above it.
	Falling bool
	// Highest is the highest rate of the present turn, and Sum the sum of the Count observed rates that
	// were at least half of the highest one until then.
	Highest, Sum, Count int64
	// StartedAt is when the last counted turn began, or the zero time before the first one.
	StartedAt time.Time
	// Passed is the number of turns of other pools that have begun since the own last one, or since
	// the pool was first observed.
	Passed int
}

// Rate is the rate at which work arrives in a pool.
type Rate struct {
	// Arriving is the work that arrives per second, in thousandths of a core, and Arrivals the number of
	// jobs from which it was measured.
	Arriving int64
	Arrivals int
	// Provided is the number of hosts of the pool, and Capacity what they can carry in thousandths of
	// a core.
	Provided int
	Capacity int64
}

// Expectation is what a pool may need soon.
type Expectation struct {
	// Probability is how likely it is that a turn of the pool begins in time, from 0 to 1.
	Probability float64
	// Begun reports whether the turn has begun, so that its rate shows what the pool needs in addition to what it has.
	Begun bool
	// Arriving is the rate at which work will then arrive, in thousandths of a core. It is 0 if the
	// pool has had no turn yet; Hosts is then the number of hosts that operators have provided, and 0
	// otherwise.
	Arriving int64
	Hosts    int
}

// Policy forecasts the next turn.
type Policy interface {
	// Expect returns what a pool may need within a time from now, in addition to what the rate of a turn that it is in
	// shows.
	Expect(h *History, pool string, now time.Time, within time.Duration) Expectation
}

const (
	// startShare is the share of the height of earlier turns at which a turn begins, and endShare the
	// share of its own height at which it ends.
	startShare, endShare = 0.4, 0.2
	// overlapTolerance is how long a turn may begin before the last one ends: rates follow the load with
	// a delay.
	overlapTolerance = 1500 * time.Millisecond
	// maxRise is the factor by which a turn may be higher than earlier ones, or than the capacity that operators have
	// provided, and still counts as usual.
	maxRise = 2
	// floodRise is the factor by which a higher one counts as higher than earlier ones, so that turns that have become
	// higher for good are learned.
	floodRise = 1.25
	// minArrivals is the number of jobs from which on a rate shows a turn, and not a few large jobs.
	minArrivals = 4
	// maxIntervals bounds the intervals that are kept, so that old ones are forgotten.
	maxIntervals = 12
	// maxPassed bounds the turns of other pools since the own last one that are told apart, so that the
	// history of a pool that has no more turns does not grow.
	maxPassed = 255
	// forget is the factor by which older returns and chances lose weight with each turn.
	forget = 0.95
)

// NewHistory returns an empty history.
func NewHistory() *History { return &History{Pools: map[string]*Pool{}} }

// Observe records the rates of the pools at a time. Calls must not go back in time.
func (h *History) Observe(rates map[string]Rate, now time.Time) {
	for name, r := range rates {
		p := h.Pools[name]
		if p == nil {
			p = &Pool{}
			h.Pools[name] = p
		}
		if h.WorkSince.IsZero() || p.Capacity == 0 {
			p.Hosts, p.Capacity = max(p.Hosts, r.Provided), max(p.Capacity, r.Capacity)
		}
		if p.endsTurn(r) {
			h.Turns++
			h.LastEnd = now
		}
	}
	for _, name := range h.names() {
		p := h.Pools[name]
		if r, ok := rates[name]; ok && p.beginsTurn(r) {
			p.InTurn, p.Counted, p.Pending, p.Began = true, false, true, now
			p.Highest, p.Sum, p.Count = 0, 0, 0
			p.addRate(r.Arriving)
		}
		if p.InTurn && p.Pending {
			h.decide(p, now)
		} else if r, ok := rates[name]; ok && p.InTurn && !p.Counted && p.hasTurnRate(r) {
			h.countFlood(p, now)
		}
	}
}

// names returns the names of the pools, sorted, so that the same rates give the same history.
func (h *History) names() []string { return slices.Sorted(maps.Keys(h.Pools)) }

// decide counts a turn once no other counted turn is left, and none that lasts on beside one.
func (h *History) decide(p *Pool, now time.Time) {
	for _, q := range h.Pools {
		if q != p && q.InTurn && q.Counted {
			p.Pending = now.Sub(p.Began) <= overlapTolerance
			return
		}
	}
	p.Counted, p.Pending = true, false
	h.countTurn(p)
}

// countFlood counts a flood during the turn of another pool as a turn of its own that began as that one ended, once no
// pool has had a turn since for longer than turns overlap.
func (h *History) countFlood(p *Pool, now time.Time) {
	for _, q := range h.Pools {
		if q.InTurn && q.Counted {
			return
		}
	}
	if now.Sub(h.LastEnd) <= overlapTolerance {
		return
	}
	if p.Began.Before(h.LastEnd) {
		p.Began = h.LastEnd
	}
	p.Counted = true
	h.countTurn(p)
}

// beginsTurn records a rate of a pool that is not in a turn, and reports whether one begins.
func (p *Pool) beginsTurn(r Rate) bool {
	if p.InTurn {
		return false
	}
	high := p.hasTurnRate(r)
	p.Falling = p.Falling && high
	return high && !p.Falling && r.Arrivals >= minArrivals
}

// hasTurnRate reports whether work arrives at a rate at which turns begin. Before the first turn, operators' provision
// stands for its height.
func (p *Pool) hasTurnRate(r Rate) bool {
	height := p.Peak
	if height == 0 {
		height = p.Capacity
	}
	return height > 0 && float64(r.Arriving) >= startShare*float64(height)
}

// addRate records a rate of the present turn.
func (p *Pool) addRate(rate int64) {
	rate = max(rate, 0)
	p.Highest = max(p.Highest, rate)
	if rate >= p.Highest-rate {
		p.Sum = clamp.Add(p.Sum, rate)
		p.Count++
	}
}

// endsTurn records a rate, and ends the present turn if the rate is low. It reports whether it did.
func (p *Pool) endsTurn(r Rate) bool {
	if !p.InTurn {
		return false
	}
	p.addRate(r.Arriving)
	if float64(r.Arriving) >= endShare*float64(p.Highest) {
		return false
	}
	p.InTurn, p.Pending, p.Falling = false, false, true
	if !p.Counted {
		return false
	}
	height := p.Sum / p.Count
	if usual := p.Usual(); usual > 0 && height > usual {
		height = clamp.Int[int64](float64(usual) / maxRise * floodRise)
	}
	if p.Peak > 0 {
		height = clamp.Add(height, p.Peak) / 2
	}
	p.Peak = height
	return true
}

// Usual returns the highest rate that counts as usual, in thousandths of a core: a flood shows little about the height
// of later turns. It is 0 if nothing is known.
func (p *Pool) Usual() int64 {
	height := p.Peak
	if height == 0 {
		height = p.Capacity
	}
	return clamp.Int[int64](maxRise * float64(height))
}

// countTurn records a turn of a pool as one of the sequence.
func (h *History) countTurn(p *Pool) {
	if !h.LastStart.IsZero() {
		h.Intervals = append(h.Intervals, p.Began.Sub(h.LastStart))
		h.Intervals = h.Intervals[max(len(h.Intervals)-maxIntervals, 0):]
	}
	for i := range h.Returns {
		h.Returns[i] *= forget
		h.Chances[i] *= forget
	}
	for _, q := range h.Pools {
		if (q == p || !q.InTurn) && !q.StartedAt.IsZero() {
			h.countChance(q.Passed, q == p)
		}
		q.Passed++
	}
	h.LastStart = p.Began
	h.Turns++
	p.StartedAt, p.Passed = p.Began, 0
}

func (h *History) countChance(passed int, returned bool) {
	passed = min(passed, maxPassed)
	for len(h.Chances) <= passed {
		h.Chances, h.Returns = append(h.Chances, 0), append(h.Returns, 0)
	}
	h.Chances[passed]++
	if returned {
		h.Returns[passed]++
	}
}

// Never expects no turns. It is the baseline.
type Never struct{}

// Expect implements [Policy].
func (Never) Expect(*History, string, time.Time, time.Duration) Expectation { return Expectation{} }

// InOrder expects turns after the times that usually lie between them, and of the pools that usually
// have theirs after as many turns of other pools. The fewer turns it has seen, the less sure it is.
type InOrder struct{}

// Expect implements [Policy].
func (InOrder) Expect(h *History, pool string, now time.Time, within time.Duration) Expectation {
	p := h.Pools[pool]
	if p == nil {
		return Expectation{}
	}
	if p.InTurn {
		if p.Peak == 0 || !p.Counted || now.Sub(p.Began) >= longWindow {
			return Expectation{}
		}
		// A rate that has not been measured for the whole window yet says less about a turn than earlier turns do.
		return Expectation{Probability: 1, Arriving: p.Peak, Begun: true}
	}
	e := Expectation{Arriving: p.Peak}
	if p.Peak == 0 {
		e.Hosts = p.Hosts
	}
	if h.WorkSince.IsZero() {
		// Nothing is known yet, so operators' provision stands.
		e.Probability = 1
		return e
	}
	total := 0.0
	for _, name := range h.names() {
		if q := h.Pools[name]; !q.InTurn {
			total += h.weight(q)
		}
	}
	e.Probability = h.weight(p) / total * h.beginsWithin(now, within)
	return e
}

const (
	// priorReturns and priorChances stand for turns that pools had after being passed over a number of
	// times, before any are known.
	priorReturns, priorChances = 0.1, 1.0
	// newPool is the weight of a pool that has had no turn yet, and newPoolDecay the factor by which it
	// falls with each turn of another pool.
	newPool, newPoolDecay = 0.5, 0.9
	// intervalTolerance is by how much an interval may differ from an earlier one, as a share of it.
	intervalTolerance = 0.15
)

// weight returns how likely a pool is to have the next turn, relative to other pools.
func (h *History) weight(p *Pool) float64 {
	if p.StartedAt.IsZero() {
		return newPool * math.Pow(newPoolDecay, float64(p.Passed))
	}
	returns, chances := priorReturns, priorChances
	if passed := min(p.Passed, maxPassed); passed < len(h.Chances) {
		returns, chances = returns+h.Returns[passed], chances+h.Chances[passed]
	}
	return returns / chances
}

// beginsWithin returns the probability that the next turn of any pool begins within a time from now.
func (h *History) beginsWithin(now time.Time, within time.Duration) float64 {
	last := h.LastStart
	if last.IsZero() {
		last = h.WorkSince
	}
	age := now.Sub(last)
	// Without earlier intervals, an event that has not come for a time comes within another one with the
	// ratio of the two (Laplace's rule).
	hits := float64(within) / float64(age+within)
	count := 1.0
	for _, d := range h.Intervals {
		tolerance := time.Duration(intervalTolerance * float64(d))
		if age > d+tolerance {
			continue
		}
		count++
		if age+within >= d-tolerance {
			hits++
		}
	}
	return hits / count
}
