package model_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/trial/model"
)

// Guards against an overloaded pool that serves the largest jobs less than half as often as the others (SHORT).
func TestTheLargestJobsAreServedLikeTheOthers(t *testing.T) {
	for _, load := range []float64{1, 1.5, 2, 4} {
		f := model.Fleet{Kinds: []model.Kind{
			{Pool: "a", Hosts: 60, Rate: load * 60 * 16 * 0.9 / (16 * 1.6), Worth: 1, Steps: 2, Cores: 16, Duration: 800 * time.Millisecond, Spread: 1},
		}, OrdersPerSecond: 4}
		var with, without model.Result
		const seeds = 4
		for seed := range uint64(seeds) {
			for _, r := range []*model.Result{&with, &without} {
				f.NoSizeShare = r == &without
				one, err := model.Run(f, model.Steady(40*time.Second), model.Static, seed)
				require.NoError(t, err)
				r.InTime, r.Largest, r.FifthBelow = r.InTime+one.InTime/seeds, r.Largest+one.Largest/seeds, r.FifthBelow+one.FifthBelow/seeds
			}
		}
		t.Logf("offered %.1f of the capacity: in time %.3f of all, %.3f of the largest tenth, %.3f of the fifth below it; by remaining work alone %.3f, %.3f and %.3f",
			load, with.InTime, with.Largest, with.FifthBelow, without.InTime, without.Largest, without.FifthBelow)
		require.GreaterOrEqual(t, with.Largest, 0.6*with.InTime)
		require.GreaterOrEqual(t, with.FifthBelow, 0.6*with.InTime)
	}
}
