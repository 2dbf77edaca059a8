package sizing

import (
	"time"

	"carawaymux.dev/fleet/demand"
)

const (
	// keepProbability is the probability of a turn from which on a pool keeps the hosts that it will
	// need. It is low, since the work that a missing host leaves undone is worth many times what an idle
	// host costs for the same time.
	keepProbability = 0.05
	// fullProbability is the probability from which on it keeps all of them. Below that it keeps a
	// share, since the first hosts do the most of the work that comes before others can be moved.
	fullProbability = 0.3
	// fillProbability is the probability from which on hosts are moved to a pool ahead of its turn.
	fillProbability = 0.4
	// peakTolerance is the factor by which a usual load may exceed the height of earlier turns.
	peakTolerance = 1.25
)

// Forecast sizes pools ahead of their need.
type Forecast[P demand.Policy] struct {
	Policy P
	// Sizer turns rates into numbers of hosts.
	Sizer ClearBacklog
	// History holds what was observed.
	History *demand.History
}

// Observe records the loads of the pools at a time. Pools on standby must not be among them.
func (f *Forecast[P]) Observe(loads map[string]Load, now time.Time) {
	if f.History.WorkSince.IsZero() && hasWork(loads) {
		f.History.WorkSince = now
	}
	rates := make(map[string]demand.Rate, len(loads))
	for name, l := range loads {
		rates[name] = demand.Rate{
			Arriving: l.ArrivalRate, Arrivals: l.Arrivals, Provided: l.Hosts, Capacity: int64(float64(l.Hosts)*float64(l.HostCapacity)*f.Sizer.Utilization) - l.LongRunning,
		}
	}
	f.History.Observe(rates, now)
}

// hasWork reports whether callers have submitted work that ends. Long-running work says nothing about
// turns.
func hasWork(loads map[string]Load) bool {
	for _, l := range loads {
		if max(l.Running, l.Backlog, l.FutureWork, l.ArrivalRate) > 0 {
			return true
		}
	}
	return false
}

// Expected returns how many hosts the pools may need within a time from now.
func (f *Forecast[P]) Expected(loads map[string]Load, now time.Time, within time.Duration) map[string]Expected {
	out := make(map[string]Expected, len(loads))
	for name, l := range loads {
		e := f.Policy.Expect(f.History, name, now, within)
		hosts := e.Hosts
		if e.Arriving > 0 {
			hosts = f.Sizer.HostsFor(&l, e.Arriving)
		}
		x := Expected{Probability: e.Probability, Normal: f.normal(name, &l)}
		if e.Probability >= keepProbability {
			x.Keep = int(float64(hosts) * min(e.Probability/fullProbability, 1))
		}
		if e.Probability >= fillProbability && !e.Begun {
			x.Fill = hosts
		}
		out[name] = x
	}
	return out
}

// normal returns the number of hosts that a pool needs for the highest load that is usual, or 0 if that is not known.
func (f *Forecast[P]) normal(name string, l *Load) int {
	p := f.History.Pools[name]
	switch {
	case p == nil || p.Usual() == 0:
		return 0
	case p.Peak == 0:
		return f.Sizer.HostsFor(l, p.Usual())
	}
	return f.Sizer.HostsFor(l, int64(peakTolerance*float64(p.Peak)))
}
