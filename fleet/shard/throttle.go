package shard

import (
	"time"

	"carawaymux.dev/fleet/batch"
)

const (
	// throttleAt is the share of its latency limit at which a serving task makes the best-effort
	// tasks on its host pause. throttleRaiseBelow is the share below which they may resume.
	throttleAt, throttleRaiseBelow = 0.9, 0.6
	// fullPercent is the share of capacity that a task may use when it is not throttled.
	fullPercent = 100
	// throttleStep is by how much the limit of a best-effort task is raised at once, in percent.
	throttleStep = 25
	// throttleRaiseAfter is the time since serving work was last disturbed, or since the limits
	// were last raised, after which the limits may be raised by a step. It is several times as
	// long as a change takes to show in the latency.
	throttleRaiseAfter = 2 * time.Second
)

// adjustThrottle pauses the best-effort tasks of a host when the tail latency of a serving task
// nears its limit, and lets them use more capacity step by step when no serving task is near its
// limit.
func (s *State) adjustThrottle(h *Host, now time.Time) {
	disturbed, calm := s.servingLatency(h)
	switch {
	case disturbed:
		h.LastDisturbed = now
		s.throttleTasks(h, func(int) int { return 0 }, "serving work is near its latency limit")
	case calm && now.Sub(h.LastDisturbed) > throttleRaiseAfter:
		if s.throttleTasks(h, func(p int) int { return min(p+throttleStep, fullPercent) }, "serving work is well below its latency limit") {
			h.LastDisturbed = now
		}
	}
}

// servingLatency reports whether some serving task is near its latency limit, and whether all are
// well below it.
func (s *State) servingLatency(h *Host) (disturbed, calm bool) {
	calm = true
	for r, task := range h.Assigned {
		step := s.step(r)
		if step == nil || step.TailLatency <= 0 || task.Status != Running || task.Percent < servingPercent {
			continue
		}
		share := task.Load * float64(time.Millisecond) / float64(step.TailLatency)
		disturbed = disturbed || share >= throttleAt
		calm = calm && share < throttleRaiseBelow
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

// throttleTasks changes the capacity limit of all best-effort tasks of a host, and reports
// whether it gave any order.
func (s *State) throttleTasks(h *Host, change func(int) int, why string) bool {
	ordered := false
	for r, task := range h.Assigned {
		step := s.step(r)
		if step == nil || !step.BestEffort || task.Status != Running {
			continue
		}
		percent := change(task.ThrottlePercent)
		if percent == task.ThrottlePercent {
			continue
		}
		task.ThrottlePercent = percent
		ordered = true
		s.orders = append(s.orders, Order{Kind: OrderThrottle, Host: h.ID, Ref: r, Run: task.Run, Percent: percent, Reason: why})
	}
	return ordered
}

// HandleThrottleResult processes the answer to a throttle order. An order that may not have been
// carried out is given again.
func (s *State) HandleThrottleResult(o *Order, err error) {
	_, _, task := s.task(o.Ref)
	if err != nil && task != nil && task.Host == o.Host && task.Run == o.Run {
		// This value is neither 0 nor fullPercent, so the next report that calls for a lower or
		// a higher limit leads to a new order.
		task.ThrottlePercent = throttleUnknown
	}
}

// throttleUnknown stands for a limit that the host may or may not have applied.
const throttleUnknown = 1
