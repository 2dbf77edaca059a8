package upkeep_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"carawaymux.dev/fleet/upkeep"
)

// Guards against settings with which a holder may still order machines when its successor no longer expects it
// (LIMIT).
func TestAHoldersRightEndsBeforeItsSuccessorCounts(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		duration := rapid.Custom(func(r *rapid.T) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(r, "duration"))
		})
		timing := upkeep.Timing{Term: duration.Draw(r, "term"), Ask: duration.Draw(r, "ask"), Call: duration.Draw(r, "call")}
		require.LessOrEqual(r, timing.LastOrderAfter(), timing.SettledAfter())
		require.LessOrEqual(r, timing.SettledAfter(), timing.OrderableAfter())
		require.LessOrEqual(r, timing.Term, timing.OrderableAfter())
	})
}
