package demand_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/demand"
)

var start = time.Unix(1_700_000_000, 0)

const (
	step   = 250 * time.Millisecond
	within = 2500 * time.Millisecond
	high   = 300_000
	low    = 4_000
)

var pools = []string{"a", "b", "c", "d"}

// observe lets the pool that turn returns have a turn, from one time after the start to another.
func observe(h *demand.History, from, until time.Duration, turn func(at time.Duration) string) {
	for at := from; at < until; at += step {
		rates := map[string]demand.Rate{}
		for _, p := range pools {
			rates[p] = demand.Rate{Arriving: low, Arrivals: 5, Provided: 20, Capacity: 272_000}
			if p == turn(at) {
				rates[p] = demand.Rate{Arriving: high, Arrivals: 50, Provided: 20, Capacity: 272_000}
			}
		}
		if h.WorkSince.IsZero() && turn(from) != "" {
			h.WorkSince = start.Add(at)
		}
		h.Observe(rates, start.Add(at))
	}
}

// inOrder gives the turn to one pool after the other.
func inOrder(length time.Duration) func(time.Duration) string {
	return func(at time.Duration) string { return pools[int(at/length)%len(pools)] }
}

func expect(h *demand.History, pool string, at time.Duration) demand.Expectation {
	return demand.InOrder{}.Expect(h, pool, start.Add(at), within)
}

func TestBeforeAnyWorkTheProvisionStands(t *testing.T) {
	h := demand.NewHistory()
	observe(h, 0, 5*time.Second, func(time.Duration) string { return "" })
	for _, p := range pools {
		require.Equal(t, demand.Expectation{Probability: 1, Hosts: 20}, expect(h, p, 5*time.Second))
	}
}

func TestTheNextTurnIsExpectedAfterOneRound(t *testing.T) {
	for _, length := range []time.Duration{3 * time.Second, 4500 * time.Millisecond, 20 * time.Second} {
		h := demand.NewHistory()
		now := 4*length - time.Second
		observe(h, 0, now, inOrder(length))
		next := expect(h, "a", now)
		require.Greater(t, next.Probability, 0.4, "turns of %v", length)
		require.EqualValues(t, high, next.Arriving)
		for _, p := range []string{"b", "c"} {
			require.LessOrEqual(t, expect(h, p, now).Probability, next.Probability/2, "turns of %v", length)
		}
		require.Zero(t, expect(h, "d", now).Probability, "a pool in its turn expects none")
		if early := 3*length + time.Second; length > 2*within {
			h = demand.NewHistory()
			observe(h, 0, early, inOrder(length))
			require.Less(t, expect(h, "a", early).Probability, 0.3, "the turn before has only begun")
		}
	}
}

// A forecast that is not borne out has to become unsure.
func TestTurnsInNoOrderAreNotExpectedWithConfidence(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	h := demand.NewHistory()
	var order []string
	for range 40 {
		p := pools[random.IntN(4)]
		for len(order) > 0 && p == order[len(order)-1] {
			p = pools[random.IntN(4)]
		}
		order = append(order, p)
	}
	turn := func(at time.Duration) string { return order[int(at/(3*time.Second))] }
	sure := 0
	for i := 1; i < len(order); i++ {
		at := time.Duration(i)*3*time.Second - time.Second
		observe(h, time.Duration(i-1)*3*time.Second, at, turn)
		for _, p := range pools {
			if expect(h, p, at).Probability > 0.75 && i > 12 {
				sure++
			}
		}
		observe(h, at, time.Duration(i)*3*time.Second, turn)
	}
	require.LessOrEqual(t, sure, 3)
}

func TestTurnsThatStopAreNoLongerExpected(t *testing.T) {
	h := demand.NewHistory()
	observe(h, 0, 36*time.Second, inOrder(4500*time.Millisecond))
	observe(h, 36*time.Second, 2*time.Minute, func(time.Duration) string { return "" })
	for _, p := range pools {
		require.Less(t, expect(h, p, 2*time.Minute).Probability, 0.05)
	}
}

func TestAFewLargeJobsAreNoTurn(t *testing.T) {
	h := demand.NewHistory()
	observe(h, 0, 9*time.Second, inOrder(4500*time.Millisecond))
	h.Observe(map[string]demand.Rate{"d": {Arriving: 2 * high, Arrivals: 2, Provided: 20, Capacity: 272_000}}, start.Add(9*time.Second))
	require.False(t, h.Pools["d"].InTurn)
}

// A flood of work during the turn of another pool counted as a turn. The pool was then not expected to have
// its own turn, which came 17 s later.
func TestAFloodDuringATurnIsNoTurn(t *testing.T) {
	h := demand.NewHistory()
	const length = 10 * time.Second
	for at := time.Duration(0); at < 3*length-time.Second; at += step {
		rates := map[string]demand.Rate{}
		for i, p := range pools {
			rates[p] = demand.Rate{Arriving: low, Arrivals: 5, Provided: 20, Capacity: 272_000}
			flood := p == "d" && at >= 13*time.Second && at < 17*time.Second
			if int(at/length) == i || flood {
				rates[p] = demand.Rate{Arriving: high, Arrivals: 50, Provided: 20, Capacity: 272_000}
			}
		}
		h.WorkSince = start
		h.Observe(rates, start.Add(at))
	}
	e := expect(h, "d", 3*length-time.Second)
	require.Greater(t, e.Probability, 0.4)
	require.Equal(t, 20, e.Hosts, "its peak is not known")
	require.Equal(t, []time.Duration{length, length}, h.Intervals)
}

// Guards against a pool whose next turn is not expected, since its last one had begun as a flood during that of another pool.
func TestAFloodThatLastsIntoTheOwnTurnIsThatTurn(t *testing.T) {
	h := demand.NewHistory()
	const length = 5 * time.Second
	for at := time.Duration(0); at < 9*length-time.Second; at += step {
		rates := map[string]demand.Rate{}
		for i, p := range pools {
			rates[p] = demand.Rate{Arriving: low, Arrivals: 5, Provided: 20, Capacity: 272_000}
			flood := p == "b" && at >= 4*length+time.Second && at < 5*length
			if int(at/length)%len(pools) == i || flood {
				rates[p] = demand.Rate{Arriving: high, Arrivals: 50, Provided: 20, Capacity: 272_000}
			}
		}
		h.WorkSince = start
		h.Observe(rates, start.Add(at))
		h = h.Snapshot().History()
	}
	require.Equal(t, slices.Repeat([]time.Duration{length}, 8), h.Intervals)
	require.Greater(t, expect(h, "b", 9*length-time.Second).Probability, 0.4)
}

// The rate of the last turn falls some time after the next one has begun.
func TestATurnThatBeginsJustBeforeTheLastOneEndsCounts(t *testing.T) {
	h := demand.NewHistory()
	const length = 5 * time.Second
	for at := time.Duration(0); at < 19*time.Second; at += step {
		rates := map[string]demand.Rate{}
		for i, p := range pools {
			rates[p] = demand.Rate{Arriving: low, Arrivals: 5, Provided: 20, Capacity: 272_000}
			if from := time.Duration(i) * length; at >= from && at < from+length+time.Second {
				rates[p] = demand.Rate{Arriving: high, Arrivals: 50, Provided: 20, Capacity: 272_000}
			}
		}
		h.WorkSince = start
		h.Observe(rates, start.Add(at))
	}
	require.Equal(t, []time.Duration{length, length, length}, h.Intervals)
	require.Greater(t, expect(h, "a", 19*time.Second).Probability, 0.4)
}

// Guards against a pool that gives away the hosts that it got for its turn as the turn begins, since the rate of its
// first jobs is low, and needs them again a second later.
func TestAPoolIsExpectedToNeedItsHostsAsItsTurnBegins(t *testing.T) {
	h := demand.NewHistory()
	const length = 5 * time.Second
	observe(h, 0, 4*length+step, inOrder(length))
	require.True(t, h.Pools["a"].InTurn)
	for at := 4*length + step; at < 4*length+2*time.Second; at += step {
		require.Equal(t, demand.Expectation{Probability: 1, Arriving: high, Begun: true}, expect(h, "a", at), at)
		observe(h, at, at+step, inOrder(length))
	}
	require.Zero(t, expect(h, "a", 4*length+2*time.Second), "the rate of the turn itself shows what it needs")
}

// Guards against a flood that counts as two turns. The rate at which it ended was above that at which turns begin, so
// another turn began while it fell, and the next pool's turn counted as a flood during that one.
func TestTheEndOfAFloodBeginsNoTurn(t *testing.T) {
	h := demand.NewHistory()
	const length, fall = 5 * time.Second, 2 * time.Second
	for at := time.Duration(0); at < 7*length; at += step {
		turn := int(at / length)
		rates := map[string]demand.Rate{}
		for i, p := range pools {
			rates[p] = demand.Rate{Arriving: low, Arrivals: 5, Provided: 20, Capacity: 272_000}
			if turn%len(pools) == i {
				rates[p] = demand.Rate{Arriving: high, Arrivals: 50, Provided: 20, Capacity: 272_000}
			}
		}
		// The fifth turn is a flood of pool "a", whose rate falls over the length of the meter's window.
		flood := demand.Rate{Arriving: 12 * high, Arrivals: 600, Provided: 20, Capacity: 272_000}
		if since := at - 5*length; since >= 0 && since < fall {
			flood.Arriving = int64(12 * high * float64(fall-since) / float64(fall))
			rates["a"] = flood
		} else if turn == 4 {
			rates["a"] = flood
		}
		h.WorkSince = start
		h.Observe(rates, start.Add(at))
		// A holder that takes over in between goes on from what is stored.
		h = h.Snapshot().History()
	}
	require.Equal(t, slices.Repeat([]time.Duration{length}, 6), h.Intervals)
	require.Greater(t, expect(h, "d", 7*length-step).Probability, 0.4)
}

// Guards against a pool that holds hosts for work that floods it beside the turn of another pool, which then lacks them.
func TestAFloodBesideATurnIsExpectedToNeedNothingMore(t *testing.T) {
	h := demand.NewHistory()
	const length = 5 * time.Second
	observe(h, 0, 5*length, inOrder(length))
	for at := 5 * length; at < 6*length; at += step {
		rates := map[string]demand.Rate{}
		for _, p := range pools {
			rates[p] = demand.Rate{Arriving: low, Arrivals: 5, Provided: 20, Capacity: 272_000}
		}
		rates["b"] = demand.Rate{Arriving: high, Arrivals: 50, Provided: 20, Capacity: 272_000}
		if at >= 5*length+2*time.Second {
			rates["d"] = rates["b"]
		}
		h.Observe(rates, start.Add(at))
		if h.Pools["d"].InTurn {
			require.Zero(t, expect(h, "d", at), at)
		}
	}
	require.True(t, h.Pools["d"].InTurn)
}

// The height of a first turn is not known.
func TestTheBeginningOfAFirstTurnIsNotExpectedToBeHigh(t *testing.T) {
	h := demand.NewHistory()
	observe(h, 0, step, inOrder(5*time.Second))
	require.True(t, h.Pools["a"].InTurn)
	require.Zero(t, expect(h, "a", step))
}

func TestSteadyLoadHasNoTurns(t *testing.T) {
	h := demand.NewHistory()
	for at := time.Duration(0); at < time.Minute; at += step {
		rates := map[string]demand.Rate{}
		for _, p := range pools {
			rates[p] = demand.Rate{Arriving: 90_000, Arrivals: 20, Provided: 20, Capacity: 272_000}
		}
		h.WorkSince = start
		h.Observe(rates, start.Add(at))
	}
	require.True(t, h.LastStart.IsZero())
	for _, p := range pools {
		require.Less(t, expect(h, p, time.Minute).Probability, 0.05)
	}
}

func TestNeverExpectsNothing(t *testing.T) {
	h := demand.NewHistory()
	observe(h, 0, 20*time.Second, inOrder(4500*time.Millisecond))
	require.Zero(t, demand.Never{}.Expect(h, "b", start.Add(20*time.Second), within))
}

// meter adds jobs that arrive at a rate for a time, and returns the rate after that.
func meter(m *demand.Meter, from, until time.Duration, perSecond int) int64 {
	for at := from; at < until; at += time.Second / time.Duration(perSecond) {
		m.Add(10_000, start.Add(at))
	}
	return m.Rate(start.Add(until))
}

// A mean over two seconds shows half of a new rate after one, and keeps an old one for as long.
func TestMeterFollowsACertainChangeAtOnce(t *testing.T) {
	var m demand.Meter
	meter(&m, 0, 3*time.Second, 2)
	require.Greater(t, meter(&m, 3*time.Second, 3500*time.Millisecond, 200), int64(1_500_000), "of 2,000,000")
	meter(&m, 3500*time.Millisecond, 6*time.Second, 200)
	require.Less(t, meter(&m, 6*time.Second, 6600*time.Millisecond, 2), int64(200_000))
}

func TestMeterKeepsTheMeanOfSparseArrivals(t *testing.T) {
	var m demand.Meter
	rate := meter(&m, 0, 4*time.Second, 3)
	require.InDelta(t, 30_000, rate, 6_000)
	require.Zero(t, new(demand.Meter).Rate(start))
}

// A holder of the machines that takes over goes on from what the last one has observed.
func TestHistoryIsTheSameAfterItWasStored(t *testing.T) {
	h := demand.NewHistory()
	observe(h, 0, 17*time.Second, inOrder(4500*time.Millisecond))
	restored := h.Snapshot().History()
	for _, p := range pools {
		require.Equal(t, expect(h, p, 17*time.Second), expect(restored, p, 17*time.Second))
	}
	observe(h, 17*time.Second, 30*time.Second, inOrder(4500*time.Millisecond))
	observe(restored, 17*time.Second, 30*time.Second, inOrder(4500*time.Millisecond))
	require.Equal(t, h.Snapshot(), restored.Snapshot())
}

// Guards against a holder of the machines that can write nothing more: its record of the turns grew with each
// turn while some pool had none, until it exceeded a record of the store.
func TestHistoryDoesNotGrowWhileAPoolHasNoTurns(t *testing.T) {
	h := demand.NewHistory()
	rate := func(arriving int64) demand.Rate {
		return demand.Rate{Arrivals: 10, Arriving: arriving, Capacity: 1000, Provided: 1}
	}
	turn := func(pool string, at time.Time) {
		h.Observe(map[string]demand.Rate{pool: rate(1000)}, at)
		h.Observe(map[string]demand.Rate{pool: rate(0)}, at.Add(4*time.Second))
	}
	turn("idle", start)
	size := func() int {
		s := h.Snapshot()
		return len(s.Returns) + len(s.Chances) + len(s.Intervals)
	}
	const turns = 20_000
	for i := range turns {
		turn("busy", start.Add(time.Duration(i+1)*10*time.Second))
		require.LessOrEqual(t, size(), 600, "after %d turns", i+1)
	}
	require.GreaterOrEqual(t, h.Turns, turns)
}

func TestSnapshotsThatContradictThemselvesAreDropped(t *testing.T) {
	for _, s := range []demand.Snapshot{
		{Returns: []float64{1}},
		{Pools: map[string]demand.PoolSnapshot{"a": {Passed: -1}}},
	} {
		require.Empty(t, s.History().Pools)
	}
	h := demand.Snapshot{Pools: map[string]demand.PoolSnapshot{"a": {InTurn: true}}}.History()
	require.NotPanics(t, func() { h.Observe(map[string]demand.Rate{"a": {}}, start) })
}

// Rates above half of the largest number ended the process: no rate of the turn counted as high, and the mean was
// divided by zero.
func TestTurnsOfAnyRateEnd(t *testing.T) {
	for _, rate := range []int64{math.MaxInt64, math.MaxInt64 / 2, math.MaxInt64/2 + 1, 2 * (math.MaxInt64 / 5), 1} {
		h := demand.NewHistory()
		at := start
		for range 6 {
			for k := range 8 {
				arriving := rate
				if k >= 4 {
					arriving = 0
				}
				h.Observe(map[string]demand.Rate{"a": {Arriving: arriving, Arrivals: 9, Provided: 1, Capacity: 1}}, at)
				at = at.Add(step)
			}
			require.False(t, h.Pools["a"].InTurn)
			require.Positive(t, h.Pools["a"].Peak, "rate %d", rate)
		}
	}
	h := demand.NewHistory()
	h.Pools["a"] = &demand.Pool{Peak: 1}
	require.NotPanics(t, func() {
		h.Observe(map[string]demand.Rate{"a": {Arriving: math.MinInt64, Arrivals: 9}}, start)
	})
}
