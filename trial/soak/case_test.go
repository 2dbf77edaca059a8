package soak

import (
	"path/filepath"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// Cases that once failed are repeated with trial soak --case. They must stay readable.
func TestCasesThatOnceFailedCanBeRepeated(t *testing.T) {
	paths, err := filepath.Glob("cases/*.json")
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	for _, path := range paths {
		c, err := readCase(path)
		require.NoError(t, err)
		require.NotEmpty(t, c.Cause, path)
		require.NotEmpty(t, c.Schedule, path)
		require.GreaterOrEqual(t, c.Minutes, MinMinutes, path)
		l := faultLayout(c.Entries, c.Hosts)
		targets := slices.Concat(l.Entries, l.Machines, l.Links, []string{"", extraQueue})
		for _, f := range c.Schedule {
			require.Contains(t, Kinds(), f.Kind, path)
			require.Contains(t, targets, f.Target, path)
		}
	}
}
