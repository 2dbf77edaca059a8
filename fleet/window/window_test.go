package window_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/window"
)

func TestAdaptiveLimit(t *testing.T) {
	for name, c := range map[string]struct {
		limit int
		round window.Round
		next  int
		ok    bool
	}{
		"grows when all were prompt":              {32, window.Round{Prompt: 32, Peak: 32}, 36, true},
		"waits for the whole round":               {32, window.Round{Prompt: 31, Peak: 32}, 32, false},
		"stays when it was not reached":           {32, window.Round{Prompt: 10, Peak: 10}, 32, true},
		"halves when most were late":              {32, window.Round{Late: 17, Peak: 32}, 16, true},
		"does not halve before most were late":    {32, window.Round{Prompt: 15, Late: 16, Peak: 32}, 32, false},
		"grows in spite of a few late ones":       {32, window.Round{Prompt: 28, Late: 4, Peak: 32}, 36, true},
		"shrinks to what was used":                {400, window.Round{Late: 21, Peak: 40}, 20, true},
		"keeps the smallest limit":                {8, window.Round{Late: 8, Peak: 8}, 8, true},
		"needs more than a single late order":     {32, window.Round{Late: 1, Peak: 1}, 32, false},
		"judges a gang that exceeds it by itself": {8, window.Round{Late: 5, Peak: 64}, 8, true},
	} {
		next, ok := window.Adaptive{}.Adjust(c.limit, c.round)
		require.Equal(t, c.ok, ok, name)
		require.Equal(t, c.next, next, name)
	}
}

var start = time.Unix(1_700_000_000, 0)

// An owner whose answers are all late must not halve its limit for each of them.
func TestLimitIsHalvedOncePerRoundTrip(t *testing.T) {
	w := window.New[int](window.Adaptive{})
	limit := w.Limit()
	for i := range limit {
		w.Add(i, start)
	}
	for i := range limit {
		w.Answered(i, start.Add(300*time.Millisecond))
	}
	require.Equal(t, limit/2, w.Limit())
}

// Orders to hosts that do not answer counted as in flight until their calls timed out, so a few
// such hosts kept an owner from ordering anything.
func TestUnansweredOrdersDoNotHoldBackOthers(t *testing.T) {
	w := window.New[int](window.Adaptive{})
	limit := w.Limit()
	for i := range limit {
		w.Add(i, start)
	}
	require.Zero(t, w.Room(start.Add(500*time.Millisecond)))
	now := start.Add(501 * time.Millisecond)
	room := w.Room(now)
	require.Equal(t, w.Limit(), room)
	require.Positive(t, room)
	w.Answered(0, now)
	require.Equal(t, room, w.Room(now), "an answer after that has no effect")
}

func TestDelayIsTheMedianOfTheLatestAnswers(t *testing.T) {
	w := window.New[int](window.Adaptive{})
	now := start
	answer := func(count int, delay time.Duration) {
		for i := range count {
			w.Add(i, now)
		}
		now = now.Add(delay)
		for i := range count {
			w.Answered(i, now)
		}
	}
	answer(14, time.Millisecond)
	require.Zero(t, w.Delay(now), "too few answers")
	answer(1, time.Millisecond)
	require.Equal(t, time.Millisecond, w.Delay(now))
	answer(7, 400*time.Millisecond)
	require.Equal(t, time.Millisecond, w.Delay(now), "less than half of the hosts are slow")
	answer(1, 400*time.Millisecond)
	require.Equal(t, 400*time.Millisecond, w.Delay(now))
	require.Zero(t, w.Delay(now.Add(1001*time.Millisecond)), "the answers are old")
}

func TestUnlimitedWindowHasAlwaysRoom(t *testing.T) {
	w := window.New[int](window.Unlimited{})
	for i := range 1000 {
		w.Add(i, start)
	}
	require.Equal(t, math.MaxInt-1000, w.Room(start))
	for i := range 1000 {
		w.Answered(i, start.Add(time.Second))
	}
	require.Equal(t, math.MaxInt, w.Limit())
}

// server answers orders one at a time, in the order of arrival.
type server struct {
	cost time.Duration
	free time.Time
}

// answerAt returns when an order that arrives now is answered.
func (s *server) answerAt(now time.Time) time.Time {
	if s.free.Before(now) {
		s.free = now
	}
	s.free = s.free.Add(s.cost)
	return s.free
}

// longestWait offers more orders than a server can answer for ten seconds and returns the longest
// time that one of them took in the last five, and the number of those that were answered.
func longestWait[P window.Policy](policy P, cost time.Duration, random *rand.Rand) (longest time.Duration, answered int) {
	const steps, step = 10_000, time.Millisecond
	w := window.New[int](policy)
	s := server{cost: cost, free: start}
	type order struct {
		key          int
		decided, end time.Time
	}
	var waiting []order
	next := 0
	for i := range steps {
		now := start.Add(time.Duration(i) * step)
		for len(waiting) > 0 && !waiting[0].end.After(now) {
			o := waiting[0]
			waiting = waiting[1:]
			w.Answered(o.key, now)
			if i >= steps/2 {
				answered++
				longest = max(longest, now.Sub(o.decided))
			}
		}
		offered := random.IntN(2 * int(2*step/cost+1))
		for range min(offered, w.Room(now)) {
			w.Add(next, now)
			waiting = append(waiting, order{next, now, s.answerAt(now)})
			next++
		}
	}
	return longest, answered
}

// The time that orders take stays below the time after which agents return starts unsent, while the
// server is kept busy. Without a limit it grows with the backlog.
func TestOrdersOfAnOverloadedServerAreAnsweredInTime(t *testing.T) {
	const maxStartAge = 250 * time.Millisecond
	for _, cost := range []time.Duration{500 * time.Microsecond, 2 * time.Millisecond, 5 * time.Millisecond} {
		t.Run(fmt.Sprint(cost), func(t *testing.T) {
			longest, answered := longestWait(window.Adaptive{}, cost, rand.New(rand.NewPCG(1, 2)))
			unlimited, _ := longestWait(window.Unlimited{}, cost, rand.New(rand.NewPCG(1, 2)))
			possible := int(5 * time.Second / cost)
			t.Logf("longest %v, answered %d of %d, longest without a limit %v", longest, answered, possible, unlimited)
			require.LessOrEqual(t, longest, maxStartAge)
			require.GreaterOrEqual(t, answered*10, possible*9, "the server is idle for a tenth of the time at most")
			require.Greater(t, unlimited, maxStartAge)
		})
	}
}

// Hosts that are far away answer late however few orders are in flight. Their owner sent a hundred
// orders a second, since the limit shrank to its minimum and stayed there.
func TestDistantHostsAreNotTakenForOverload(t *testing.T) {
	for _, roundTrip := range []time.Duration{10 * time.Millisecond, 45 * time.Millisecond, 55 * time.Millisecond, 80 * time.Millisecond} {
		w := window.New[int](window.Adaptive{})
		initial := w.Limit()
		now, key := start, 0
		for range 40 {
			var keys []int
			for range w.Room(now) {
				key++
				w.Add(key, now)
				keys = append(keys, key)
			}
			now = now.Add(roundTrip)
			for _, k := range keys {
				w.Answered(k, now)
			}
		}
		require.Greater(t, w.Limit(), initial, "round trip of %v", roundTrip)
	}
}
