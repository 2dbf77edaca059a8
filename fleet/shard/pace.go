package shard

import (
	"time"

	"carawaymux.dev/fleet/batch"
)

const (
	// paceDownAt is the share of its latency bound at which a serving unit makes the filling
	// units on its host pause. paceUpAt is the share below which they may resume.
	paceDownAt, paceUpAt = 0.9, 0.6
	// paceFull is the share of capacity that a unit uses when it is not paced, in percent.
	paceFull = 100
	// paceStep is the increase of the pace in one step, in percent.
	paceStep = 25
	// paceUpAfter is the time since the last disturbance, or since the pace was last raised,
	// after which the pace may be raised by a step. It is several times as long as a change takes
	// to show in the latency.
	paceUpAfter = 2 * time.Second
)

// adjustPace pauses the filling units of a host when the tail latency of a serving unit nears its
// bound, and raises their pace step by step when no serving unit is near its bound.
func (s *State) adjustPace(h *Host, now time.Time) {
	disturbed, calm := s.servingLatency(h)
	switch {
	case disturbed:
		h.LastDisturbed = now
		s.changePace(h, func(int) int { return 0 }, "serving work is near its latency bound")
	case calm && now.Sub(h.LastDisturbed) > paceUpAfter:
		if s.changePace(h, func(p int) int { return min(p+paceStep, paceFull) }, "serving work is well below its latency bound") {
			h.LastDisturbed = now
		}
	}
}

// servingLatency reports whether some serving unit is near its latency bound, and whether all are
// well below it.
func (s *State) servingLatency(h *Host) (disturbed, calm bool) {
	calm = true
	for r, u := range h.Assigned {
		step := s.step(r)
		if step == nil || step.TailLatency <= 0 || u.Status != Running || u.Percent < servingPercent {
			continue
		}
		share := u.Load / float64(step.TailLatency.Milliseconds())
		disturbed = disturbed || share >= paceDownAt
		calm = calm && share < paceUpAt
	}
	return disturbed, calm
}

// step returns the step of a task, or nil when it is unknown.
func (s *State) step(r batch.Ref) *batch.Step {
	j := s.Jobs[r.Job]
	if j == nil || r.Step >= len(j.Spec.Steps) {
		return nil
	}
	return &j.Spec.Steps[r.Step]
}

// changePace changes the pace of all filling units of a host, and reports whether it gave any
// order.
func (s *State) changePace(h *Host, change func(int) int, why string) bool {
	ordered := false
	for r, u := range h.Assigned {
		step := s.step(r)
		if step == nil || !step.BestEffort || u.Status != Running {
			continue
		}
		percent := change(u.Pace)
		if percent == u.Pace {
			continue
		}
		u.Pace = percent
		ordered = true
		s.orders = append(s.orders, Order{Kind: OrderPace, Host: h.ID, Ref: r, Run: u.Run, Percent: percent, Why: why})
	}
	return ordered
}

// HandlePaceResult takes in the answer to a pace. A pace that was not carried out is ordered
// again.
func (s *State) HandlePaceResult(o *Order, err error) {
	_, _, u := s.unit(o.Ref)
	if err != nil && u != nil && u.Host == o.Host && u.Run == o.Run {
		// This is neither 0 nor full, so the next listing of the host leads to a new order in
		// either direction.
		u.Pace = paceUnknown
	}
}

// paceUnknown stands for a pace that the host may or may not have applied.
const paceUnknown = 1
