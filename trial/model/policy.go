package model

import (
	"fmt"
	"time"

	"carawaymux.dev/fleet/demand"
	"carawaymux.dev/fleet/sizing"
)

// The policies that [Run] knows, from the baselines to the limit.
const (
	// Static keeps the pools as they are.
	Static = "static"
	// OnDemand gives a pool hosts for the work that it has now.
	OnDemand = "on-demand"
	// Reactive adds the hosts that clear the backlog, and expects no turns.
	Reactive = "reactive"
	// Forecast is the product's policy.
	Forecast = "forecast"
	// Oracle knows the load.
	Oracle = "oracle"
)

// Policies returns the names of all policies.
func Policies() []string { return []string{Static, OnDemand, Reactive, Forecast, Oracle} }

// sizer is the product's sizer of pools.
var sizer = sizing.ClearBacklog{Within: 1200 * time.Millisecond, Utilization: 0.85, Reserve: 2}

// lookAhead is the time that a forecast looks ahead: a move, and the round that decides on it.
const lookAhead = moveTime + planInterval

// Run plays a shape on a fleet with a policy. The error names a policy that does not exist.
func Run(f Fleet, s Shape, policy string, seed uint64) (Result, error) {
	var r Result
	switch policy {
	case Static:
		r = Play(f, s, sizing.Static{}, nothing{}, seed)
	case OnDemand:
		r = Play(f, s, sizing.OnDemand{}, nothing{}, seed)
	case Reactive:
		r = Play(f, s, sizer, newForecaster(demand.Never{}), seed)
	case Forecast:
		r = Play(f, s, sizer, newForecaster(demand.InOrder{}), seed)
	case Oracle:
		r = Play(f, s, sizer, &oracle{f, s}, seed)
	default:
		return r, fmt.Errorf("unknown policy %q, expected one of %v", policy, Policies())
	}
	r.Policy = policy
	return r, nil
}

// nothing expects nothing.
type nothing struct{}

func (nothing) Expected(map[string]sizing.Load, time.Time) map[string]sizing.Expected { return nil }

// forecaster expects what a forecast says.
type forecaster[P demand.Policy] struct{ *sizing.Forecast[P] }

func newForecaster[P demand.Policy](policy P) forecaster[P] {
	return forecaster[P]{&sizing.Forecast[P]{Policy: policy, Sizer: sizer, History: demand.NewHistory()}}
}

func (f forecaster[P]) Expected(loads map[string]sizing.Load, now time.Time) map[string]sizing.Expected {
	f.Observe(loads, now)
	return f.Forecast.Expected(loads, now, lookAhead)
}

// oracle expects the rates that will come.
type oracle struct {
	fleet Fleet
	shape Shape
}

func (o *oracle) Expected(loads map[string]sizing.Load, now time.Time) map[string]sizing.Expected {
	out := map[string]sizing.Expected{}
	for i, k := range o.fleet.Kinds {
		at := max(now.Sub(epoch), 0)
		rate := 0.0
		for t := at; t <= at+lookAhead && t < o.shape.Length; t += planInterval {
			rate = max(rate, k.Rate*o.shape.Factor(i, t))
		}
		l := loads[k.Pool]
		hosts := sizer.HostsFor(&l, int64(rate*float64(k.Steps)*k.Cores*k.Duration.Seconds()*1000))
		out[k.Pool] = sizing.Expected{Fill: hosts, Keep: hosts, Probability: 1}
	}
	return out
}

// ShapeNames returns the names of shapes, in their order.
func ShapeNames(shapes []Shape) []string {
	out := make([]string, len(shapes))
	for i, s := range shapes {
		out[i] = s.Name
	}
	return out
}
