package admit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"carawaymux.dev/fleet/admit"
)

var start = time.Unix(1_700_000_000, 0)

// cores is the capacity of the pools in these tests, in thousandths of a core.
const cores = 10_000

// overloaded returns a pool that has been overloaded for ten seconds and has worked at its capacity.
func overloaded() (*admit.State[admit.WhileUseful], time.Time) {
	s := admit.New(policy)
	for now := start; ; now = now.Add(100 * time.Millisecond) {
		s.Observe(admit.Pool{Capacity: cores, Overloaded: true}, now)
		s.Done("none", cores/10, now)
		if now.Sub(start) >= 10*time.Second {
			return s, now
		}
	}
}

// work returns a job of some seconds of all cores that may wait for two seconds and is of use for five.
func work(id string, class admit.Class, seconds float64, now time.Time) admit.Job {
	return admit.Job{
		ID: id, Class: class, Work: int64(seconds * cores), LateAt: now.Add(2 * time.Second), UselessAt: now.Add(5 * time.Second),
	}
}

func submit(s *admit.State[admit.WhileUseful], id string, class admit.Class, seconds float64, now time.Time) bool {
	_, taken := s.Submit(work(id, class, seconds, now), now)
	return taken
}

func TestBurstIsTakenThatThePoolCanDoOnceItHasGrown(t *testing.T) {
	s := admit.New(policy)
	for i := range 81 {
		s.Observe(admit.Pool{Capacity: cores, Overloaded: i > 0}, start)
		require.True(t, submit(s, fmt.Sprint(i), admit.Class{}, 1, start))
	}
	require.False(t, submit(s, "more", admit.Class{}, 1, start), "sixteen times the hosts would take more than five seconds")
}

func TestPoolWithoutHostsTakesAll(t *testing.T) {
	s := admit.New(policy)
	s.Observe(admit.Pool{Overloaded: true}, start)
	now := start.Add(time.Minute)
	s.Observe(admit.Pool{Overloaded: true}, now)
	for i := range 100 {
		require.True(t, submit(s, fmt.Sprint(i), admit.Class{}, 1, now))
	}
}

func TestJobThatWouldBeOfNoUseIsRefusedUntilTheBacklogIsDone(t *testing.T) {
	s, now := overloaded()
	taken := 0
	for submit(s, fmt.Sprint(taken), admit.Class{}, 1, now) {
		taken++
	}
	require.Equal(t, 6, taken, "five seconds of work go before a job that is of use for five")
	s.Done("0", cores, now)
	s.Done("1", cores, now)
	require.True(t, submit(s, "more", admit.Class{}, 1, now))
}

func TestUrgentJobsDoNotWaitForOthers(t *testing.T) {
	s, now := overloaded()
	for i := 0; submit(s, fmt.Sprint(i), admit.Class{Priority: 1}, 1, now); i++ {
	}
	require.True(t, submit(s, "urgent", admit.Class{}, 1, now))
	require.True(t, submit(s, "smaller", admit.Class{Priority: 1, Size: -1}, 0.1, now))
	require.False(t, submit(s, "last", admit.Class{Priority: 2}, 0.1, now))
}

// Late jobs go after those that can be in time, so they are no reason to refuse these.
func TestLateJobsDoNotCountAsAhead(t *testing.T) {
	s, now := overloaded()
	for i := 0; submit(s, fmt.Sprint(i), admit.Class{}, 1, now); i++ {
	}
	now = now.Add(2 * time.Second)
	s.Observe(admit.Pool{Capacity: cores, Overloaded: true}, now)
	f, taken := s.Submit(work("fresh", admit.Class{}, 0.5, now), now)
	require.True(t, taken)
	require.Zero(t, f.Ahead)
	require.EqualValues(t, 6*cores, f.Backlog)
}

func TestForeseenWaitIsReportedOnceWithTheOneThatCame(t *testing.T) {
	s, now := overloaded()
	require.True(t, submit(s, "first", admit.Class{}, 1, now))
	require.True(t, submit(s, "second", admit.Class{}, 1, now))
	foreseen, came, ok := s.Started("second", now.Add(3*time.Second))
	require.True(t, ok)
	require.Equal(t, time.Second, foreseen)
	require.Equal(t, 3*time.Second, came)
	_, _, ok = s.Started("second", now)
	require.False(t, ok)
	_, _, ok = s.Started("unknown", now)
	require.False(t, ok)
}

func TestRetryTimesAreSpread(t *testing.T) {
	f := admit.Forecast{Wait: 4 * time.Second, Allowed: time.Second}
	require.Equal(t, 3*time.Second, f.RetryAfter())
	seen := map[time.Duration]bool{}
	for i := range 1000 {
		d := admit.Spread(f.RetryAfter(), fmt.Sprintf("%016x", i))
		require.GreaterOrEqual(t, d, 3*time.Second)
		require.Less(t, d, 6*time.Second)
		seen[d.Truncate(time.Second/2)] = true
	}
	require.Len(t, seen, 6)
}

// Whatever happens, the sums are those of the jobs that are left.
func TestBacklogIsTheWorkThatIsLeft(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := overloaded()
		left, lateAt := map[string]int64{}, map[string]time.Time{}
		id := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"})
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			name := id.Draw(t, "id")
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				j := work(name, admit.Class{Priority: rapid.IntRange(0, 2).Draw(t, "priority")}, 1, now)
				s.Take(j, now)
				if _, known := left[name]; !known {
					left[name], lateAt[name] = j.Work, j.LateAt
				}
			case 1:
				done := int64(rapid.IntRange(0, cores).Draw(t, "done"))
				s.Done(name, done, now)
				if _, known := left[name]; known {
					left[name] = max(left[name]-done, 0)
				}
			case 2:
				s.Remove(name)
				delete(left, name)
			case 3:
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
			}
			var ahead, backlog int64
			for name, work := range left {
				backlog += work
				if now.Before(lateAt[name]) {
					ahead += work
				}
			}
			f, _ := s.Submit(work("probe", admit.Class{Priority: 9}, 0, now), now)
			s.Remove("probe")
			require.Equal(t, ahead, f.Ahead)
			require.Equal(t, backlog, f.Backlog)
		}
	})
}
