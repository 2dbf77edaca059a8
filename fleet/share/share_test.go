package share_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/share"
)

var origin = time.Unix(1_700_000_000, 0)

// Guards against uses that do not decay, or whose order changes as they do.
func TestUseDecaysAndKeepsItsOrder(t *testing.T) {
	a, b := share.NewAccount(origin, 1), share.NewAccount(origin, 1)
	require.InDelta(t, 0, a.Use(origin), 0)
	a.Charge(8, origin)
	b.Charge(5, origin)
	require.Greater(t, a.Key(), b.Key())
	require.InDelta(t, 4, a.Use(origin.Add(5*time.Second)), 1e-9)
	b.Charge(2, origin.Add(5*time.Second))
	require.InDelta(t, 4.5, b.Use(origin.Add(5*time.Second)), 1e-9)
	require.Less(t, a.Key(), b.Key(), "8 of five seconds ago is less than 5 of then and 2 of now")
	year := origin.Add(365 * 24 * time.Hour)
	a.Charge(3, year)
	require.InDelta(t, 3, a.Use(year), 1e-6)
}

// Guards against a tenant that pays for starts which a host has refused.
func TestChargesAreTakenBack(t *testing.T) {
	a := share.NewAccount(origin, 1)
	at := origin.Add(3 * time.Second)
	a.Charge(2, at)
	a.Charge(-2, at)
	require.True(t, math.IsInf(a.Key(), -1))
	a.Charge(5, at)
	a.Charge(-1, at)
	require.InDelta(t, 4, a.Use(at), 1e-9)
	a.Charge(-100, at)
	require.True(t, math.IsInf(a.Key(), -1), "a use is not negative")
}

func TestWeightsDivideTheUse(t *testing.T) {
	a, b := share.NewAccount(origin, 4), share.NewAccount(origin, 1)
	a.Charge(4, origin)
	b.Charge(1, origin)
	require.InDelta(t, a.Key(), b.Key(), 1e-9)
	for _, weight := range []float64{0, -1, math.NaN(), math.Inf(-1)} {
		none := share.NewAccount(origin, weight)
		none.Charge(0.1, origin)
		require.Greater(t, none.Key(), b.Key(), "weight %v", weight)
		require.False(t, none.Arrive(origin.Add(time.Hour)), "weight %v", weight)
	}
	endless := share.NewAccount(origin, math.Inf(1))
	endless.Charge(1, origin)
	require.False(t, math.IsNaN(endless.Key()))
	require.Less(t, endless.Key(), a.Key())
}

// Guards against ranks that tell tenants apart which have used about the same, or do not after one has used twice as much.
func TestRanksAreCoarse(t *testing.T) {
	unused := share.NewAccount(origin, 1)
	ranks := map[float64]bool{}
	last := unused.Rank()
	for i := range 100 {
		a := share.NewAccount(origin, 1)
		a.Charge(1+float64(i)/50, origin)
		require.GreaterOrEqual(t, a.Rank(), last)
		last = a.Rank()
		ranks[last] = true
	}
	require.Len(t, ranks, 4, "from 1 to 3 is less than two doublings")
	require.Less(t, unused.Rank(), -1e9)
}

// Guards against a flood that is owed as much as the work of tenants within their weight.
func TestJobsBeyondTheWeightAreNotOwed(t *testing.T) {
	flood, usual := share.NewAccount(origin, 3), share.NewAccount(origin, 3)
	owed := [2]int{}
	for i := range 600 {
		if flood.Arrive(origin.Add(time.Duration(i) * time.Second / 60)) {
			owed[0]++
		}
		if i%20 == 0 && usual.Arrive(origin.Add(time.Duration(i)*time.Second/60)) {
			owed[1]++
		}
	}
	require.InDelta(t, 3*10+3*3+4, owed[0], 1)
	require.Equal(t, 30, owed[1])
}
