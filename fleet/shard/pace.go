package shard

import (
	"time"

	"carawaymux.dev/fleet/batch"
)

const (
	// paceDownAt is the share of its bound at which a serving unit's tail latency
	// makes what fills beside it give way, and paceUpAt the share below which it may
	// come back.
	paceDownAt, paceUpAt = 0.9, 0.6
	// paceFull is the share of capacity that a unit uses when it is not paced.
	paceFull = 100
	// paceStep is by how much a unit comes back at once, in percent.
	paceStep = 25
	// paceUpAfter is how long all has to be calm before a unit comes back a step; it
	// is several times as long as a change takes to show.
	paceUpAfter = 2 * time.Second
)

// pace slows down what fills beside work that serves and whose tail latency nears its
// bound, and lets it come back when all is calm.
func (s *State) pace(h *Host, now time.Time) {
	strained, calm := s.strain(h)
	switch {
	case strained:
		h.LastDisturbed = now
		s.paceAll(h, func(int) int { return 0 }, "serving work is disturbed")
	case calm && now.Sub(h.LastDisturbed) > paceUpAfter:
		if s.paceAll(h, func(p int) int { return min(p+paceStep, paceFull) }, "serving work is calm") {
			h.LastDisturbed = now
		}
	}
}

// strain reports whether some serving unit nears its bound, and whether all are far
// from it.
func (s *State) strain(h *Host) (strained, calm bool) {
	calm = true
	for r, u := range h.Assigned {
		step := s.step(r)
		if step == nil || step.TailLatency <= 0 || u.Status != Running || u.Percent < atWork {
			continue
		}
		share := u.Load / float64(step.TailLatency.Milliseconds())
		strained = strained || share >= paceDownAt
		calm = calm && share < paceUpAt
	}
	return strained, calm
}

// step is the step of a task, or nil when the job is not known.
func (s *State) step(r batch.Ref) *batch.Step {
	j := s.Jobs[r.Job]
	if j == nil || r.Step >= len(j.Spec.Steps) {
		return nil
	}
	return &j.Spec.Steps[r.Step]
}

// paceAll changes the pace of all units that fill on a host, and reports whether it
// ordered anything.
func (s *State) paceAll(h *Host, change func(int) int, why string) bool {
	ordered := false
	for r, u := range h.Assigned {
		step := s.step(r)
		if step == nil || !step.BestEffort || u.Status != Running {
			continue
		}
		to := change(u.Pace)
		if to == u.Pace {
			continue
		}
		u.Pace = to
		ordered = true
		s.orders = append(s.orders, Order{Kind: OrderPace, Host: h.ID, Ref: r, Run: u.Run, Percent: to, Why: why})
	}
	return ordered
}

// HandlePaceResult takes in the answer to a pace. One that was not answered is ordered again.
func (s *State) HandlePaceResult(o *Order, err error) {
	_, _, u := s.unit(o.Ref)
	if err != nil && u != nil && u.Host == o.Host && u.Run == o.Run {
		// Neither 0 nor full: the next look at the host changes it whichever way.
		u.Pace = paceUnknown
	}
}

// paceUnknown stands for a pace that the host may or may not have.
const paceUnknown = 1
