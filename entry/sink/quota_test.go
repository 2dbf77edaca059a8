package sink_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/sink"
)

// Guards against a flood of lines, and against lines that are skipped and not counted.
func TestAQuotaBoundsLinesAndCountsTheOthers(t *testing.T) {
	q := sink.NewQuota(3)
	begin := time.Unix(1000, 0)
	var logged, skipped int64
	for i := range 100 {
		if n, ok := q.Take(begin.Add(time.Duration(i) * 20 * time.Millisecond)); ok {
			logged++
			skipped += n
		}
	}
	require.EqualValues(t, 6, logged)
	n, ok := q.Take(begin.Add(time.Minute))
	require.True(t, ok)
	require.EqualValues(t, 100, logged+skipped+n)
}
