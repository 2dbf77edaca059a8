package model_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/admit"
	"carawaymux.dev/trial/model"
)

const (
	// loadEnd is when a load ends that begins at once, and calmEnd when the last job arrives.
	loadEnd, calmEnd = 60 * time.Second, 75 * time.Second
	// calmFactor is the load after that, as a share of what the pools can do.
	calmFactor = 0.5
	// overloadRecovery is the time after the end of a load from which on all is served in time again.
	overloadRecovery = 2 * time.Second
	// keptInTime is the least share of what is in time at the full load that is in time at a higher one, and
	// refusedOfFailed the least share of the jobs that fail which are refused.
	keptInTime, refusedOfFailed = 0.9, 0.9
	// coresInUse is the part of the cores of a host that the model fills.
	coresInUse = 16 * 0.9
)

// steadyPools is a fleet with kinds of several sizes whose rates take all that its hosts can do.
func steadyPools() model.Fleet {
	f := model.Fleet{Kinds: []model.Kind{
		{Pool: "a", Hosts: 16, Worth: 2.78, Steps: 2, Cores: 8 * 3.3, Duration: 2100 * time.Millisecond},
		{Pool: "b", Hosts: 14, Worth: 0.385, Steps: 2, Cores: 8 * 1.2, Duration: 800 * time.Millisecond},
		{Pool: "c", Hosts: 12, Worth: 0.385, Steps: 2, Cores: 8 * 1.5, Duration: 800 * time.Millisecond},
	}, OrdersPerSecond: 40}
	for i := range f.Kinds {
		k := &f.Kinds[i]
		k.Rate = float64(k.Hosts) * coresInUse / (float64(k.Steps) * k.Cores * k.Duration.Seconds())
	}
	return f
}

// load offers a factor of what the pools can do, and then a calm load.
func load(factor float64) model.Shape {
	return model.Shape{Name: "load", Length: calmEnd + 90*time.Second, Factor: func(_ int, at time.Duration) float64 {
		switch {
		case at < loadEnd:
			return factor
		case at < calmEnd:
			return calmFactor
		}
		return 0
	}}
}

// served counts what became of the jobs that arrived in a span.
type served struct{ jobs, inTime, refused, failed int }

func count(r *model.Result, from, until time.Duration) served {
	var out served
	for _, j := range r.Jobs {
		if j.Arrived < from || j.Arrived >= until {
			continue
		}
		out.jobs++
		switch {
		case j.InTime:
			out.inTime++
		case !j.Taken:
			out.refused++
		case !j.Useful:
			out.failed++
		}
	}
	return out
}

func playLoad(t *testing.T, factor float64, opts ...model.Option) model.Result {
	r, err := model.Run(steadyPools(), load(factor), model.Forecast, 1, opts...)
	require.NoError(t, err)
	return r
}

// admission is the policy of the owners of pools.
var admission = model.WithAdmission(admit.Default)

// overloads are the loads of the tests, as multiples of what the pools can do.
var overloads = []float64{2, 4, 10}

// Guards against pools that serve less the more is offered, or that go on to fail callers after the load.
func TestPoolsServeAsMuchInTimeUnderAnyOverload(t *testing.T) {
	t.Parallel()
	full, calm := playLoad(t, 1, admission), playLoad(t, calmFactor)
	want, undisturbed := count(&full, 0, loadEnd), count(&calm, loadEnd+overloadRecovery, calmEnd)
	for _, factor := range overloads {
		r := playLoad(t, factor, admission)
		got, after := count(&r, 0, loadEnd), count(&r, loadEnd+overloadRecovery, calmEnd)
		t.Logf("at 1: %+v; at %v: %+v; afterwards %+v, without the load %+v", want, factor, got, after, undisturbed)
		require.GreaterOrEqual(t, float64(got.inTime), keptInTime*float64(want.inTime), "at %v", factor)
		require.Equal(t, undisturbed.jobs, after.jobs, "at %v", factor)
		require.GreaterOrEqual(t, after.inTime, undisturbed.inTime, "at %v", factor)
		for _, j := range r.Jobs {
			require.True(t, !j.Taken || j.Ended > 0, "at %v, a job that was accepted has not ended", factor)
		}
	}
}

// Guards against pools that accept what fails without a refusal.
func TestOverloadedPoolsRefuseMostOfWhatFails(t *testing.T) {
	t.Parallel()
	for _, factor := range overloads {
		t.Run(fmt.Sprint(factor), func(t *testing.T) {
			t.Parallel()
			r := playLoad(t, factor, admission)
			got := count(&r, 0, loadEnd)
			t.Logf("at %v: %+v", factor, got)
			require.GreaterOrEqual(t, float64(got.refused), refusedOfFailed*float64(got.refused+got.failed))
		})
	}
}

// Guards against refusals of what a pool can do.
func TestPoolsRefuseNothingThatTheyServeWithoutAdmission(t *testing.T) {
	t.Parallel()
	for _, factor := range []float64{0.5, 0.8, 0.9} {
		all, some := playLoad(t, factor), playLoad(t, factor, admission)
		want, got := count(&all, 0, calmEnd), count(&some, 0, calmEnd)
		t.Logf("at %v: %+v, and %+v without admission", factor, got, want)
		require.LessOrEqual(t, got.refused+got.failed, want.failed, "at %v", factor)
		require.GreaterOrEqual(t, got.inTime, want.inTime, "at %v", factor)
	}
}
