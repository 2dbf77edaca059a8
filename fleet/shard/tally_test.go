package shard

import (
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
