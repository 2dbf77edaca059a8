package shard

import (
	"time"

	"carawaymux.dev/fleet/batch"
)

const (
	// saveAfter is how long a host that is to be emptied keeps work that can resume
	// from a checkpoint; most work ends by itself before.
	saveAfter = 1500 * time.Millisecond
	// stopAfter is how long it keeps other work.
	stopAfter = 6 * time.Second
)

// Vacate keeps new work from a host for a time, and moves away what can be moved
// without breaking a bound. It reports whether the host is empty.
func (s *State) Vacate(h *Host, now time.Time, cordon time.Duration) bool {
	if now.After(h.CordonedUntil) {
		h.CordonedAt = now
	}
	h.CordonedUntil = now.Add(cordon)
	waited := now.Sub(h.CordonedAt)
	for r, u := range h.Assigned {
		j, g, _ := s.unit(r)
		if g == nil || u.Status != Running {
			continue
		}
		step := &j.Spec.Steps[r.Step]
		switch {
		case step.LongRunning:
			if s.mayStop(step, g, now) && s.elsewhere(r, step, g, u, now) {
				s.stop(r, u, "host to be emptied")
			}
		case step.Checkpoints && waited > saveAfter, waited > stopAfter:
			s.stop(r, u, "host to be emptied")
		}
	}
	return len(h.Assigned) == 0 && h.UnknownRuns == 0
}

// elsewhere reports whether some other host has room for a unit.
func (s *State) elsewhere(r batch.Ref, step *batch.Step, g *Stage, u *Unit, now time.Time) bool {
	room := s.room(now)
	return s.pick(step, g, u, room, s.may(r, now)) >= 0
}

// mayStop reports whether one more unit of a lasting step may be ended by an order.
func (s *State) mayStop(step *batch.Step, g *Stage, now time.Time) bool {
	return s.away(g, now) < max(step.MaxUnavailable, 1)
}

// atWork is the percentage at which a lasting unit serves.
const atWork = 100

// quietAfter is the time without an answer after which a host may be lost; an answer
// is due every second.
const quietAfter = 1200 * time.Millisecond

// away is the number of units of a lasting step that are not known to be at work.
func (s *State) away(g *Stage, now time.Time) int {
	n := 0
	for i := range g.Units {
		u := &g.Units[i]
		h := s.Hosts[u.Host]
		if u.Status != Running || u.Percent < atWork || h == nil || now.Sub(h.LastAnswer) > quietAfter {
			n++
			continue
		}
		if now.Sub(h.FirstAnswer) < s.Timing.StopTimeout+quietAfter {
			// A stop that an earlier owner has ordered may not show yet.
			n++
		}
	}
	return n
}
