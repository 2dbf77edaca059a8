package clamp_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/clamp"
)

func TestSumsSaturate(t *testing.T) {
	const most, least = int64(math.MaxInt64), int64(math.MinInt64)
	for _, c := range []struct{ a, b, sum, difference int64 }{
		{2, 3, 5, -1},
		{most, 1, most, most - 1},
		{most, -1, most - 1, most},
		{least, 1, least + 1, least},
		{least, -1, least, least + 1},
		{0, least, least, most},
		{-1, least, least, most},
		{most, most, most, 0},
		{least, least, least, 0},
	} {
		require.Equal(t, c.sum, clamp.Add(c.a, c.b), "%d + %d", c.a, c.b)
		require.Equal(t, c.difference, clamp.Sub(c.a, c.b), "%d - %d", c.a, c.b)
	}
}

func TestConversionsSaturate(t *testing.T) {
	require.EqualValues(t, 2, clamp.Int[int64](2.9))
	require.EqualValues(t, math.MaxInt64, clamp.Int[int64](1e300))
	require.EqualValues(t, math.MinInt64, clamp.Int[int64](math.Inf(-1)))
	require.EqualValues(t, 0, clamp.Int[int64](math.NaN()))
	require.Equal(t, time.Duration(math.MaxInt64), clamp.Int[time.Duration](math.MaxInt64))
	require.Equal(t, 3*time.Millisecond, clamp.Millis(3))
	require.Equal(t, time.Duration(math.MaxInt64), clamp.Millis(math.MaxInt64))
	require.Equal(t, time.Duration(math.MinInt64), clamp.Millis(math.MinInt64))
}
