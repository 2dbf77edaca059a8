package batch_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/batch"
)

func TestRefRoundTrip(t *testing.T) {
	r := batch.Ref{Job: "5c0e7a21d94b36f8", Occurrence: 2, Step: 1, Index: 17}
	parsed, err := batch.ParseRef(r.String())
	require.NoError(t, err)
	require.Equal(t, r, parsed)
	require.Equal(t, "5c0e7a21d94b36f8.2.1.17", r.String())
	for _, invalid := range []string{"", "a", "a.0.1", "a.0.1.x", "a.0.1.-1", "a.0.1.2.3"} {
		_, err := batch.ParseRef(invalid)
		require.Error(t, err, invalid)
	}
}

func TestInvalidSpecsAreRejected(t *testing.T) {
	validSpec := func() batch.Spec { return batch.Spec{Steps: []batch.Step{{Count: 1}}} }
	for name, invalidate := range map[string]func(*batch.Spec){
		"no steps":             func(s *batch.Spec) { s.Steps = nil },
		"long text":            func(s *batch.Spec) { s.Text = strings.Repeat("x", batch.MaxTextBytes+1) },
		"no tasks":             func(s *batch.Spec) { s.Steps[0].Count = 0 },
		"too many tasks":       func(s *batch.Spec) { s.Steps[0].Count = batch.MaxTasks + 1 },
		"negative size":        func(s *batch.Spec) { s.Steps[0].Need.MilliCores = -1 },
		"after itself":         func(s *batch.Spec) { s.Steps[0].After = []int{0} },
		"after a later step":   func(s *batch.Spec) { s.Steps = append(s.Steps, s.Steps[0]); s.Steps[0].After = []int{1} },
		"negative repetitions": func(s *batch.Spec) { s.Repetitions = -1 },
		"negative interval":    func(s *batch.Spec) { s.Interval = -time.Second },
	} {
		s := validSpec()
		invalidate(&s)
		require.Error(t, s.Check(), name)
	}
	s := validSpec()
	require.NoError(t, s.Check())
}

func TestCheckID(t *testing.T) {
	require.NoError(t, batch.CheckID("5c0e7a21d94b36f8"))
	for _, invalid := range []string{"", "5c0e7a21d94b36f", "5c0e7a21d94b36f80", "5c0e7a21d94b36fg", "5c0e7a21/94b36f8"} {
		require.Error(t, batch.CheckID(invalid), invalid)
	}
}

func TestCriticalPath(t *testing.T) {
	s := batch.Spec{Steps: []batch.Step{
		{Count: 1, Estimate: time.Second},
		{Count: 1, Estimate: 3 * time.Second},
		{Count: 1, Estimate: 2 * time.Second, After: []int{0}},
		{Count: 1, Estimate: time.Second, After: []int{1, 2}},
	}}
	require.Equal(t, 4*time.Second, s.CriticalPath())
}

func TestBestEffortTaskReservesNoCores(t *testing.T) {
	s := batch.Step{Need: batch.Size{MilliCores: 1000, MemoryMB: 5}, BestEffort: true}
	require.Equal(t, batch.Size{MemoryMB: 5}, s.Reservation())
}
