package plan

import (
	"fmt"
	"strings"
	"time"

	"carawaymux.dev/fleet/host"
	"carawaymux.dev/fleet/record"
)

// observeMachines drafts failures and returns from the platform's machine list. Hosts that fail in
// the same round, such as a whole rack, are drafted together.
func (r *round) observeMachines() {
	if r.input.Machines == nil {
		return
	}
	var failed, restored, up, returned []string
	for _, name := range r.hostNames {
		h := r.state.Hosts[name]
		downFor := r.conditions.heldFor(condition{kind: "down", subject: name}, r.down(name) && h.Phase != host.Rebooting, r.input.Now)
		liveFor := r.conditions.heldFor(condition{kind: "live", subject: name}, r.live(name), r.input.Now)
		switch {
		case h.Phase == host.Rebooting:
			if r.live(name) && r.input.Machines[name].BootFence >= h.RebootVersion {
				up = append(up, name)
			}
		case h.Phase == host.Failed:
			if r.live(name) && liveFor >= r.recoveryWait(h) {
				restored = append(restored, name)
			}
		case r.down(name) && downFor >= r.timing.FailAfter:
			failed = append(failed, name)
		case h.Phase == host.Returning && r.live(name) && liveFor >= r.timing.ReturnAfter:
			returned = append(returned, name)
		}
	}
	r.draftChange(host.EventFail, failed, record.Reason{
		Rule:    "host-down",
		Figures: fmt.Sprintf("down for %v or more: %s", r.timing.FailAfter, r.countByRack(failed)),
	})
	r.draftChange(host.EventUp, up, record.Reason{Rule: "reboot-finished", Figures: "the platform reports the boot"})
	r.draftChange(host.EventRestore, restored, record.Reason{
		Rule: "host-live-again", Figures: fmt.Sprintf("live for %v or more, longer after each failure", r.timing.ReturnAfter),
	})
	r.draftChange(host.EventReturn, returned, record.Reason{
		Rule: "host-ready", Figures: fmt.Sprintf("live for %v", r.timing.ReturnAfter),
	})
}

// recoveryWait returns how long a failed host must be live before its failure is over:
// ReturnAfter, doubled for each further failure in its history, up to the limit that maxWaitFactor
// sets.
func (r *round) recoveryWait(h *host.Host) time.Duration {
	factor := 1
	for _, entry := range h.History {
		if entry.Event == host.EventFail {
			factor = min(2*factor, maxWaitFactor)
		}
	}
	return r.timing.ReturnAfter * time.Duration(factor) / 2
}

// countByRack describes how many of the hosts are in each rack, for the reason of a record.
func (r *round) countByRack(hosts []string) string {
	counts := make(map[string]int)
	var order []string
	for _, name := range hosts {
		spec := r.state.Hosts[name].Spec
		key := spec.Zone + "/" + spec.Rack
		if counts[key] == 0 {
			order = append(order, key)
		}
		counts[key]++
	}
	parts := make([]string, len(order))
	for i, key := range order {
		parts[i] = fmt.Sprintf("%d in %s", counts[key], key)
	}
	return strings.Join(parts, ", ")
}

// returnUnneeded returns cordoned and drained hosts to service if the budget needs them or their
// wave was cancelled. It also returns hosts that have been cordoned for PartitionAfter in a zone
// with an unreachable entry.
func (r *round) returnUnneeded() {
	for _, name := range r.hostNames {
		h := r.state.Hosts[name]
		if h.Phase != host.Cordoned && h.Phase != host.Drained {
			continue
		}
		unreachableFor := r.conditions.heldFor(condition{kind: "unreachable", subject: name}, h.Phase == host.Cordoned && r.zone(h.Spec.Zone).unreachable, r.input.Now)
		pool := h.Spec.Pool
		switch {
		case r.down(name):
			continue // The host cannot serve; observeMachines will record its failure.
		case r.headroom[pool] < 0:
			r.returnHost(name, "budget-needs-host", r.state.BudgetFigures(pool))
		case h.Wave != "" && r.waveCancelled(h.Wave):
			r.returnHost(name, "wave-cancelled", "wave "+h.Wave)
		case unreachableFor >= r.timing.PartitionAfter && unreachableFor > 0:
			r.returnHost(name, "zone-cut-off", fmt.Sprintf("an entry of zone %s was silent for %v", h.Spec.Zone, unreachableFor.Round(time.Millisecond)))
		}
	}
}

func (r *round) returnHost(name, rule, figures string) {
	r.draftChange(host.EventReturn, []string{name}, record.Reason{Rule: rule, Figures: figures})
	r.headroom[r.state.Hosts[name].Spec.Pool]++
}

// advanceHosts drafts the next change of each host that is being taken out of service for a wave or
// a move, and calls the platform for each reboot that has not finished.
func (r *round) advanceHosts() {
	for _, name := range r.hostNames {
		h := r.state.Hosts[name]
		switch h.Phase {
		case host.Cordoned:
			r.drainHost(name, h)
		case host.Drained:
			r.rebootOrAssign(name, h)
		case host.Rebooting:
			r.output.Calls = append(r.output.Calls, Call{Verb: VerbReboot, Host: name, Fence: h.RebootVersion})
		}
	}
}

// drainHost drafts the drain once the barrier is passed: every entry that may route to the host
// has acknowledged the cordon and has nothing in flight there, and no task runs on it.
func (r *round) drainHost(name string, h *host.Host) {
	z := r.zone(h.Spec.Zone)
	if z.acknowledged < h.CordonVersion || z.busy[name] || r.state.TaskCount(name) > 0 || r.returned[name] {
		return
	}
	r.output.Drafts = append(r.output.Drafts, Draft{
		Body: host.Change{Event: host.EventDrain, Hosts: []string{name}, Barrier: z.acknowledged},
		Reason: record.Reason{
			Rule: "barrier-passed",
			Figures: fmt.Sprintf("%d entries of zone %s have offset %d in force, the cordon is at %d; nothing in flight",
				z.entries, h.Spec.Zone, z.acknowledged, h.CordonVersion),
		},
	})
}

// rebootOrAssign reboots a drained host, or assigns it to its new pool.
func (r *round) rebootOrAssign(name string, h *host.Host) {
	if r.returned[name] {
		return
	}
	if h.Wave != "" {
		if !r.waveRunning(h.Wave) || r.headroom[h.Spec.Pool] < 0 {
			return
		}
		r.draftChange(host.EventReboot, []string{name}, record.Reason{
			Rule: "wave-reboot", Figures: "wave " + h.Wave + "; " + r.state.BudgetFigures(h.Spec.Pool),
		})
		return
	}
	if h.MoveTo != "" {
		r.draftChange(host.EventAssign, []string{name}, record.Reason{
			Rule:    "move-assign",
			Figures: fmt.Sprintf("from %s (%s) to %s", h.Spec.Pool, r.state.BudgetFigures(h.Spec.Pool), h.MoveTo),
		})
	}
}

// startMoves cordons hosts that are to be moved, within the budget of the source pool.
func (r *round) startMoves() {
	for _, name := range r.hostNames {
		h := r.state.Hosts[name]
		if h.Phase != host.Serving || h.MoveTo == "" || r.headroom[h.Spec.Pool] < 1 || r.zone(h.Spec.Zone).unreachable {
			continue
		}
		r.headroom[h.Spec.Pool]--
		r.draftChange(host.EventCordon, []string{name}, record.Reason{
			Rule:    "move-cordon",
			Figures: fmt.Sprintf("move to %s; %s: %s", h.MoveTo, h.Spec.Pool, r.state.BudgetFigures(h.Spec.Pool)),
		})
	}
}

// quarantine takes a host out of service, within the budget, if every entry of its zone reports
// that requests fail on it. It releases the host after QuarantineFor.
func (r *round) quarantine() {
	for _, name := range r.hostNames {
		h := r.state.Hosts[name]
		z := r.zone(h.Spec.Zone)
		failsForAll := z.entries > 0 && z.failing[name] == z.entries
		quarantinedFor := r.conditions.heldFor(condition{kind: "quarantined", subject: name}, h.Phase == host.Quarantined, r.input.Now)
		switch {
		case h.Phase == host.Quarantined && quarantinedFor >= r.timing.QuarantineFor:
			r.draftChange(host.EventRelease, []string{name}, record.Reason{
				Rule: "quarantine-over", Figures: fmt.Sprintf("after %v", r.timing.QuarantineFor),
			})
		case h.Phase == host.Serving && failsForAll && r.headroom[h.Spec.Pool] >= 1:
			r.headroom[h.Spec.Pool]--
			r.draftChange(host.EventQuarantine, []string{name}, record.Reason{
				Rule: "fails-what-it-starts",
				Figures: fmt.Sprintf("found by %d of %d entries, while the pool is well; %s",
					z.failing[name], z.entries, r.state.BudgetFigures(h.Spec.Pool)),
			})
		}
	}
}
