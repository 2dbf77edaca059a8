package shard

import (
	"time"

	"carawaymux.dev/fleet/batch"
)

// Vacate keeps new work from a host for a time, and moves away what can be moved
// without breaking a bound. It reports whether the host is empty.
func (s *State) Vacate(h *Host, now time.Time, cordon time.Duration) bool {
	h.Cordoned = now.Add(cordon)
	for r, u := range h.Assigned {
		j, g, _ := s.unit(r)
		if g == nil || u.Status != Live {
			continue
		}
		step := &j.Spec.Steps[r.Step]
		if step.Lasting && s.mayStop(step, g, now) {
			s.stop(r, u, "host to be emptied")
		}
	}
	return len(h.Assigned) == 0 && h.Strays == 0
}

// mayStop reports whether one more unit of a lasting step may be ended by an order.
func (s *State) mayStop(step *batch.Step, g *Stage, now time.Time) bool {
	return s.away(g, now) < max(step.MayMiss, 1)
}

// atWork is the percentage at which a lasting unit serves.
const atWork = 100

// away is the number of units of a lasting step that are not at work.
func (s *State) away(g *Stage, _ time.Time) int {
	n := 0
	for i := range g.Units {
		if u := &g.Units[i]; u.Status != Live || u.Percent < atWork {
			n++
		}
	}
	return n
}
