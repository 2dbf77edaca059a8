package model_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/trial/model"
)

const (
	floodStart    = 10 * time.Second
	floodDuration = 6 * time.Second
	floodFactor   = 12
	// trafficEnd is when the last job arrives.
	trafficEnd = 46 * time.Second
	// recoverOthers and recoverFlooded are the times after a flood after which its effect on the other queues and on its
	// own has to be over, and recovered is the least share of the worth of a day without the flood that counts as that.
	recoverOthers, recoverFlooded, recovered = 2 * time.Second, 6 * time.Second, 0.95
	// leftOver is the least share of the capacity that the normal load leaves free in which late work is done.
	leftOver = 0.5
)

// threePools is a fleet whose kinds have their turns one after the other, each of which takes a third of the hosts.
var threePools = model.Fleet{Kinds: []model.Kind{
	{Pool: "a", Hosts: 85, Rate: 4.1, Worth: 2.78, Steps: 2, Cores: 8 * 3.3, Duration: 2100 * time.Millisecond},
	{Pool: "b", Hosts: 78, Rate: 26.75, Worth: 0.385, Steps: 2, Cores: 8 * 1.2, Duration: 800 * time.Millisecond},
	{Pool: "c", Hosts: 69, Rate: 21.4, Worth: 0.385, Steps: 2, Cores: 8 * 1.5, Duration: 800 * time.Millisecond},
}, Standby: 56, OrdersPerSecond: 152}

// turnsWithFloods returns turns of the kinds of a fleet, and floods of some kinds, which follow one another. The first kind
// has a turn as the first flood begins, so the floods of the first kinds in their order are in their turns.
func turnsWithFloods(kinds int, flooded ...int) model.Shape {
	const turn = floodDuration
	offset := time.Duration(kinds)*turn - floodStart%(time.Duration(kinds)*turn)
	turns := model.Turns("turns", kinds, turn, trafficEnd)
	return model.Shape{Name: "flood", Length: 150 * time.Second, Factor: func(kind int, at time.Duration) float64 {
		if at >= trafficEnd {
			return 0
		}
		f := turns.Factor(kind, at+offset)
		for i, k := range flooded {
			start := floodStart + time.Duration(i)*floodDuration
			if k == kind && at >= start && at < start+floodDuration {
				f *= floodFactor
			}
		}
		return f
	}}
}

// worthIn returns the worth in time of the jobs of a kind that arrived in a span.
func worthIn(r *model.Result, kind int, from, until time.Duration) float64 {
	sum := 0.0
	for _, j := range r.Jobs {
		if j.Kind == kind && j.InTime && j.Arrived >= from && j.Arrived < until {
			sum += j.Worth
		}
	}
	return sum
}

// lastEnd returns when the last job ended, and false if one has not.
func lastEnd(r *model.Result) (time.Duration, bool) {
	last := time.Duration(0)
	for _, j := range r.Jobs {
		if j.Ended == 0 {
			return 0, false
		}
		last = max(last, j.Ended)
	}
	return last, true
}

// requireRecovery compares days with floods with the same days without them. Each queue has to recover with each seed.
func requireRecovery(t *testing.T, f model.Fleet, flooded ...int) {
	t.Helper()
	t.Parallel()
	const seeds = 8
	kinds := len(f.Kinds)
	floodEnd := floodStart + time.Duration(len(flooded))*floodDuration
	from := func(kind int) time.Duration {
		if slices.Contains(flooded, kind) {
			return floodEnd + recoverFlooded
		}
		return floodEnd + recoverOthers
	}
	for seed := range uint64(seeds) {
		calm, err := model.Run(f, turnsWithFloods(kinds), model.Forecast, seed)
		require.NoError(t, err)
		flood, err := model.Run(f, turnsWithFloods(kinds, flooded...), model.Forecast, seed)
		require.NoError(t, err)
		last, ended := lastEnd(&flood)
		t.Logf("seed %d: last end at %v; served %.3f, without the flood %.3f; moves %d, without the flood %d", seed, last, flood.Served, calm.Served, flood.Moves, calm.Moves)
		require.True(t, ended, "a job that was accepted has not ended")
		require.LessOrEqual(t, last, endBound(f, len(flooded)))
		for k := range kinds {
			got, want := worthIn(&flood, k, from(k), trafficEnd), worthIn(&calm, k, from(k), trafficEnd)
			t.Logf("kind %s from %v: %.0f of %.0f in time", f.Kinds[k].Pool, from(k), got, want)
			require.GreaterOrEqual(t, got, recovered*want, "seed %d, kind %s after %v", seed, f.Kinds[k].Pool, from(k))
		}
	}
}

// endBound returns when the last job has to have ended: the work of the floods is done in the share leftOver of the
// capacity that the normal load leaves free.
func endBound(f model.Fleet, floods int) time.Duration {
	const coresOfAHost = 16
	cores, normal, flood := float64(f.Standby*coresOfAHost), 0.0, 0.0
	for _, k := range f.Kinds {
		cores += float64(k.Hosts * coresOfAHost)
		work := k.Rate * float64(k.Steps) * k.Cores * k.Duration.Seconds()
		normal += work
		flood = max(flood, work*floodFactor*model.TurnFactor(len(f.Kinds)))
	}
	seconds := float64(floods) * flood * floodDuration.Seconds() / ((cores - normal) * leftOver)
	return floodStart + time.Duration(seconds*float64(time.Second))
}

// Guards against a pool that keeps the machines of a flood for work that is late, while callers of other pools, whose own
// load is normal, wait for machines until theirs is late, too.
func TestOtherQueuesRecoverSoonAfterAFlood(t *testing.T) { requireRecovery(t, threePools, 0) }

// The same with two floods that follow one another.
func TestOtherQueuesRecoverSoonAfterTwoFloods(t *testing.T) { requireRecovery(t, threePools, 0, 1) }

// The same with a flood during which half of the machines fail.
func TestOtherQueuesRecoverSoonAfterAFloodWithAnOutage(t *testing.T) {
	f := threePools
	f.Outage = model.Outage{From: floodStart + floodDuration/3, Length: 2 * floodDuration / 3}
	requireRecovery(t, f, 0)
}

// Guards against a queue whose turn is not expected any more, since a flood of it had begun in the turn of another queue and
// had gone on into its own.
func TestQueuesRecoverSoonAfterAFloodBeforeTheOwnTurn(t *testing.T) {
	requireRecovery(t, threePools, 1)
}

// jobsIn returns the jobs of a kind that arrived in a span, without what became of them.
func jobsIn(r *model.Result, kind int, from, until time.Duration) []model.Outcome {
	var out []model.Outcome
	for _, j := range r.Jobs {
		if j.Kind == kind && j.Arrived >= from && j.Arrived < until {
			out = append(out, model.Outcome{Kind: kind, Arrived: j.Arrived, Worth: j.Worth})
		}
	}
	return out
}

// Guards against days that are compared although their jobs differ: the jobs of a flood changed all that were drawn after
// them, so the day with it offered up to a tenth more or less than the day without.
func TestAFloodChangesNoOtherJobs(t *testing.T) {
	for seed := range uint64(3) {
		calm, err := model.Run(threePools, turnsWithFloods(3), model.Forecast, seed)
		require.NoError(t, err)
		flood, err := model.Run(threePools, turnsWithFloods(3, 0), model.Forecast, seed)
		require.NoError(t, err)
		for k := range threePools.Kinds {
			require.NotEmpty(t, jobsIn(&calm, k, 0, trafficEnd))
			require.Equal(t, jobsIn(&calm, k, 0, floodStart), jobsIn(&flood, k, 0, floodStart))
			require.Equal(t, jobsIn(&calm, k, floodStart+floodDuration, trafficEnd), jobsIn(&flood, k, floodStart+floodDuration, trafficEnd))
		}
		require.Greater(t, len(jobsIn(&flood, 0, 0, trafficEnd)), 2*len(jobsIn(&calm, 0, 0, trafficEnd)))
	}
}
