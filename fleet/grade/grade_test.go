package grade_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/grade"
)

// shares returns the share of the grades among the last jobs of a series.
func shares(sizes []int64, last int) [grade.Grades]float64 {
	var s grade.Sizes
	var out [grade.Grades]float64
	for i, size := range sizes {
		if g := s.Add(size); i >= len(sizes)-last {
			out[g] += 1 / float64(last)
		}
	}
	return out
}

func heavyTail(random *rand.Rand, n int, mean float64) []int64 {
	out := make([]int64, n)
	for i := range out {
		out[i] = int64(mean * math.Exp(random.NormFloat64()))
	}
	return out
}

func TestATenthAndTheFifthBelowItAreToldApart(t *testing.T) {
	got := shares(heavyTail(rand.New(rand.NewPCG(1, 1)), 5000, 1e6), 4000)
	require.InDelta(t, 0.1, got[grade.Largest], 0.02)
	require.InDelta(t, 0.2, got[grade.Upper], 0.02)
}

// The sizes of a queue change for good.
func TestOldSizesAreForgotten(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	sizes := append(heavyTail(random, 1000, 1e9), heavyTail(random, 3000, 1e3)...)
	got := shares(sizes, 2500)
	require.InDelta(t, 0.1, got[grade.Largest], 0.03)
}

func TestNoJobIsLargeAmongEqualOnesOrAmongFew(t *testing.T) {
	equal := make([]int64, 1000)
	require.InDelta(t, 1, shares(equal, 1000)[grade.Rest], 1e-9)
	require.InDelta(t, 1, shares([]int64{1, 5, 100, 1e6}, 4)[grade.Rest], 1e-9)
}

func TestGradesHaveNames(t *testing.T) {
	for g := grade.Rest; g < grade.Grades; g++ {
		require.NotEmpty(t, g.String())
	}
}
