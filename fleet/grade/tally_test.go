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
		tally.Lose(grade.Largest, now)
	}
	require.True(t, tally.Behind(grade.Largest, 0.7))
}
