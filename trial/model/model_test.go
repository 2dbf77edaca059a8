package model_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/trial/model"
)

// maxRegret is the largest share of the worth by which the forecast may serve callers worse than the
// policy without it on a load without turns, or with turns that do not come.
const maxRegret = 0.01

// play returns the sum of the results of a policy over some seeds.
func play(t *testing.T, f model.Fleet, shape int, policy string) model.Result {
	var sum model.Result
	for seed := range uint64(3) {
		r, err := model.Run(f, model.Shapes(len(f.Kinds), seed)[shape], policy, seed)
		require.NoError(t, err)
		sum.Served += r.Served / 3
		sum.Late += r.Late / 3
		sum.HostSeconds += r.HostSeconds / 3
		sum.Moves += r.Moves
	}
	return sum
}

// Loads with turns of several lengths and orders, a flood, turns that do not come, none at all, and a
// lasting shift, at 48 hosts. Pools that grew only when their work already waited served less.
func TestForecastServesAtLeastAsWellOnEveryShape(t *testing.T) {
	for i, s := range model.Shapes(4, 0) {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			reactive, forecast := play(t, model.Small, i, model.Reactive), play(t, model.Small, i, model.Forecast)
			t.Logf("served %.3f, without a forecast %.3f; host-seconds %.2f and %.2f; moves %d and %d", forecast.Served, reactive.Served,
				forecast.HostSeconds, reactive.HostSeconds, forecast.Moves, reactive.Moves)
			require.GreaterOrEqual(t, forecast.Served, reactive.Served-maxRegret)
		})
	}
}

// The calm load of 1,100 hosts: the beginning of each turn was served worst.
func TestForecastServesTheBeginningOfTurns(t *testing.T) {
	for i, s := range model.Shapes(4, 0)[:2] {
		reactive, forecast := play(t, model.Large, i, model.Reactive), play(t, model.Large, i, model.Forecast)
		t.Logf("%s: late %.3f, without a forecast %.3f", s.Name, forecast.Late, reactive.Late)
		require.LessOrEqual(t, forecast.Late, reactive.Late/2)
		require.Less(t, forecast.Moves, reactive.Moves)
	}
}

// The oracle shows what is possible, and static pools show what moves are worth.
func TestOracleIsTheLimit(t *testing.T) {
	oracle, forecast := play(t, model.Small, 1, model.Oracle), play(t, model.Small, 1, model.Forecast)
	static := play(t, model.Small, 1, model.Static)
	require.GreaterOrEqual(t, oracle.Served, forecast.Served-maxRegret)
	require.Greater(t, forecast.Served, static.Served)
}

func TestUnknownPolicyIsAnError(t *testing.T) {
	_, err := model.Run(model.Small, model.Shapes(4, 0)[0], "none", 0)
	require.ErrorContains(t, err, "static")
}
