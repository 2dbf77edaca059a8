package admit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/admit"
)

const core = 1000

var start = time.Unix(1_700_000_000, 0)

// job returns a job of some core-seconds, of which half a second is its path and which is late after two.
func job(id string, seconds int64) *admit.Job {
	return &admit.Job{
		ID: id, Class: admit.Class{Size: admit.SizeOf(seconds * core)}, Work: seconds * core,
		Path: 500 * time.Millisecond, Target: 2 * time.Second,
	}
}

// flood submits ten times what a pool of 100 cores can do, for some seconds, in jobs of 10 core-seconds.
func flood[P admit.Policy](s *admit.State[P], p admit.Pool, seconds int) time.Time {
	now := start
	for i := range 100 * seconds {
		now = now.Add(10 * time.Millisecond)
		s.Observe(p, now)
		s.Submit(p, job(fmt.Sprint("flood", i), 10), now)
	}
	return now
}

var (
	idle = admit.Pool{Capacity: 100 * core}
	// full is a pool in which more small work waits than it can do while jobs are of use.
	full = admit.Pool{Capacity: 100 * core, Ahead: 1000 * core, Waiting: 1000 * core, Late: 1000 * core}
)

func TestAllTakesAll(t *testing.T) {
	s := admit.New(admit.All{})
	now := flood(s, full, 3)
	require.True(t, s.Submit(full, job("a", 1000), now).Admitted)
}

func TestAJobThatWouldWaitTooLongIsRefused(t *testing.T) {
	s := admit.New(admit.Default)
	d := s.Submit(full, job("a", 1000), start)
	require.False(t, d.Admitted)
	require.Equal(t, 10*time.Second, d.Wait)
	require.GreaterOrEqual(t, d.RetryAfter, time.Second)
}

// Guards against a wait that counts work which the job would overtake.
func TestAJobThatGoesBeforeWhatWaitsIsTaken(t *testing.T) {
	s := admit.New(admit.Default)
	p := full
	p.Ahead = 0
	require.True(t, s.Submit(p, job("a", 1), start).Admitted)
}

// Guards against a rate that leaves out the machines on their way.
func TestMachinesOnTheirWayCount(t *testing.T) {
	s := admit.New(admit.Default)
	p := full
	p.Coming = 900 * core
	require.True(t, s.Submit(p, job("a", 1000), start).Admitted)
}

// Guards against refusals that leave hosts without work.
func TestNothingIsRefusedWhileLittleGoesBeforeIt(t *testing.T) {
	s := admit.New(admit.Default)
	now := flood(s, idle, 3)
	p := idle
	p.Ahead, p.Waiting, p.Late = 10*core, 10*core, 1000*core
	require.True(t, s.Submit(p, job("a", 1000), now).Admitted)
}

// Guards against refusals before it is certain that there is too much work, while machines may be on their way.
func TestNothingIsRefusedWithoutLateWork(t *testing.T) {
	s := admit.New(admit.Default)
	now := flood(s, idle, 3)
	p := full
	p.Late = 0
	require.True(t, s.Submit(p, job("a", 1000), now).Admitted)
}

// Guards against jobs that are taken while smaller work takes all that the pool can do.
func TestAJobWhoseTurnDoesNotComeIsRefused(t *testing.T) {
	s := admit.New(admit.Default)
	for i := range 300 {
		s.Submit(idle, job(fmt.Sprint(i), 2), start.Add(time.Duration(i)*10*time.Millisecond))
	}
	p := idle
	p.Ahead, p.Waiting, p.Late = 100*core, 100*core, 200*core
	d := s.Submit(p, job("a", 1000), start.Add(3*time.Second))
	require.False(t, d.Admitted)
	require.Equal(t, admit.Never, d.Wait)
	require.True(t, s.Submit(p, job("a", 1000), start.Add(9*time.Second)).Admitted, "after the load")
}

// Guards against callers who return and take the places of jobs that can still be in time.
func TestAJobThatReturnsHasNoMoreTimeThanBefore(t *testing.T) {
	s := admit.New(admit.Default)
	require.False(t, s.Submit(full, job("a", 1000), start).Admitted)
	d := s.Submit(idle, job("a", 1000), start.Add(3*time.Second))
	require.True(t, d.Admitted, "there is room")
	require.Equal(t, start, d.FirstAt)
	require.Equal(t, -1500*time.Millisecond, d.Allowed)
}

func TestRefusedCallersAreSpreadAndBackOff(t *testing.T) {
	s := admit.New(admit.Default)
	times := map[time.Duration]bool{}
	for i := range 100 {
		d := s.Submit(full, job(fmt.Sprint(i), 1000), start)
		require.False(t, d.Admitted)
		times[d.RetryAfter.Round(100*time.Millisecond)] = true
	}
	require.Greater(t, len(times), 10)
	busy := admit.Pool{Capacity: 100 * core, Ahead: 300 * core, Waiting: 300 * core, Late: 300 * core}
	first := s.Submit(busy, job("a", 1000), start).RetryAfter
	require.Greater(t, s.Submit(busy, job("a", 1000), start.Add(9*time.Second)).RetryAfter, first)
}

// Guards against a pool that is taken for slower than it is since little of its work has ended yet.
func TestTheRateFollowsTheWorkThatEnds(t *testing.T) {
	s := admit.New(admit.Default)
	p := admit.Pool{Capacity: 100 * core, Waiting: 1000 * core}
	rate := func() int64 { return s.Submit(p, job("a", 1), start.Add(20*time.Second)).Rate }
	require.EqualValues(t, 100*core, rate())
	for i := range 2000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		s.Done(800, now)
		s.Observe(p, now)
	}
	require.InDelta(t, 80*core, rate(), 2*core)
}

func TestSizesGrowWithWork(t *testing.T) {
	last := admit.Size(0)
	for w := int64(1); w > 0; w += w/7 + 1 {
		size := admit.SizeOf(w)
		require.GreaterOrEqual(t, size, last)
		require.Less(t, int(size), admit.Sizes)
		last = size
	}
	require.Equal(t, admit.Size(0), admit.SizeOf(-1))
	require.True(t, admit.Class{Priority: 0, Size: 200}.Before(admit.Class{Priority: 1, Size: 1}))
	require.True(t, admit.Class{Size: 1}.Before(admit.Class{Size: 2}))
}

// Guards against a memory of refused jobs that grows with the length of a load.
func TestRefusedJobsAreForgotten(t *testing.T) {
	s := admit.New(admit.Default)
	require.False(t, s.Submit(full, job("a", 1000), start).Admitted)
	require.False(t, s.Submit(full, job("b", 1000), start.Add(time.Minute)).Admitted)
	require.Equal(t, start.Add(2*time.Minute), s.Submit(idle, job("a", 1000), start.Add(2*time.Minute)).FirstAt)
}
