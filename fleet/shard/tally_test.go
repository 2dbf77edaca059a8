package shard

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/grade"
)

// Guards against shares by size that count jobs which cannot be in time or late like the others.
func TestLongRunningAndTimedJobsDoNotDistortTheSharesBySize(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	s := New("pool", 1, driverTiming, now)
	lasts := batch.Step{Count: 1, LongRunning: true}
	s.Submit("lasts", batch.Spec{Queue: "q", Steps: []batch.Step{lasts}}, now)
	require.Equal(t, grade.Tally{}, s.sizesOf("q").tally)

	timed := batch.Spec{
		Queue: "q", Steps: []batch.Step{{Count: 1, Estimate: time.Second}}, Repetitions: 2, Interval: time.Minute, FirstDueMS: now.UnixMilli(),
	}
	j, _ := s.Submit("timed", timed, now)
	s.countBegun(j, now)
	s.closeJob(j, Completed, now.Add(time.Hour))
	require.False(t, j.lost, "its last occurrence was due long after its first one")

	single, _ := s.Submit("single", batch.Spec{Queue: "q", Steps: []batch.Step{{Count: 1, Estimate: time.Second}}}, now)
	s.countBegun(single, now)
	s.closeJob(single, Completed, now.Add(time.Hour))
	require.True(t, single.lost)
}

// Guards against large jobs that go first for no reason: some of their size were cancelled, are due much later, or were accepted by
// an earlier owner.
func TestJobsThatNeedNoStartDoNotMakeTheirSizeBehind(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	spec := func(count int) batch.Spec {
		return batch.Spec{Queue: "q", Steps: []batch.Step{{Count: count, Need: batch.Size{MilliCores: 1000}, Estimate: time.Second}}}
	}
	for name, add := range map[string]func(s *State, id string){
		"cancelled": func(s *State, id string) {
			s.Submit(id, spec(100), now)
			s.Cancel(id, now)
		},
		"due in an hour": func(s *State, id string) {
			timed := spec(100)
			timed.Repetitions, timed.Interval, timed.FirstDueMS = 1, time.Minute, now.Add(time.Hour).UnixMilli()
			s.Submit(id, timed, now)
		},
		"accepted by an earlier owner": func(s *State, id string) {
			earlier := spec(100)
			earlier.AcceptedMS = now.Add(-10 * time.Minute).UnixMilli()
			s.Restore(id, earlier, nil, now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := New("pool", 1, driverTiming, now)
			for i := range 200 {
				j, _ := s.Submit(fmt.Sprint("small", i), spec(1), now)
				s.countBegun(j, now)
			}
			for i := range 4 {
				j, _ := s.Submit(fmt.Sprint("large", i), spec(100), now)
				require.Equal(t, grade.Largest, j.Size)
				s.countBegun(j, now)
			}
			require.False(t, s.sizesOf("q").tally.Behind(grade.Largest, grade.LeastShare))
			for i := range 3 {
				add(s, fmt.Sprint("other", i))
			}
			require.False(t, s.sizesOf("q").tally.Behind(grade.Largest, grade.LeastShare))
		})
	}
}
