package grade_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/grade"
)

func TestATallyForgets(t *testing.T) {
	var tally grade.Tally
	now := time.Unix(1_700_000_000, 0)
	require.False(t, tally.Behind(grade.Largest, 1), "nothing has arrived")
	for range 10 {
		tally.Arrive(grade.Rest, now)
		tally.Begin(grade.Rest, now)
		tally.Arrive(grade.Largest, now)
	}
	require.True(t, tally.Behind(grade.Largest, 0.7))
	tally.Arrive(grade.Rest, now.Add(20*time.Second))
	require.True(t, tally.Behind(grade.Largest, 0.7))
	tally.Arrive(grade.Rest, now.Add(time.Minute))
	require.False(t, tally.Behind(grade.Largest, 0.7))
}

func TestJobsThatWereLostDoNotCount(t *testing.T) {
	var tally grade.Tally
	now := time.Unix(1_700_000_000, 0)
	for range 10 {
		for _, g := range []grade.Grade{grade.Rest, grade.Largest} {
			tally.Arrive(g, now)
			tally.Begin(g, now)
		}
	}
	require.False(t, tally.Behind(grade.Largest, 0.7))
	for range 5 {
		tally.Lose(grade.Largest, now, now)
	}
	require.True(t, tally.Behind(grade.Largest, 0.7))
}

// Guards against capacity that goes to large jobs without a bound although these are late anyway.
func TestASizeThatLosesMostOfItsJobsIsNotBehind(t *testing.T) {
	var tally grade.Tally
	now := time.Unix(1_700_000_000, 0)
	for range 10 {
		tally.Arrive(grade.Rest, now)
		tally.Begin(grade.Rest, now)
		tally.Arrive(grade.Largest, now)
	}
	for range 4 {
		tally.Begin(grade.Largest, now)
	}
	require.True(t, tally.Behind(grade.Largest, 0.7))
	for range 3 {
		tally.Lose(grade.Largest, now, now)
	}
	require.False(t, tally.Behind(grade.Largest, 0.7))
	later := now.Add(time.Minute)
	tally.Arrive(grade.Largest, later)
	tally.Arrive(grade.Rest, later)
	tally.Begin(grade.Rest, later)
	require.True(t, tally.Behind(grade.Largest, 0.7), "it is tried again")
}

// Guards against large jobs that are not served since losses lower the counts of jobs whose beginning is no longer counted.
func TestALossCountsOnlyAsLongAsTheBeginningOfItsJob(t *testing.T) {
	var tally grade.Tally
	begunAt := time.Unix(1_700_000_000, 0)
	for range 100 {
		tally.Arrive(grade.Rest, begunAt)
		tally.Begin(grade.Rest, begunAt)
	}
	now := begunAt.Add(31 * time.Second)
	for range 30 {
		tally.Lose(grade.Rest, begunAt, now)
	}
	for range 10 {
		tally.Arrive(grade.Rest, now)
		tally.Begin(grade.Rest, now)
		tally.Arrive(grade.Largest, now)
	}
	require.True(t, tally.Behind(grade.Largest, 0.7))
}
