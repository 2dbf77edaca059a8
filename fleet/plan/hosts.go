package plan

import (
	"fmt"
	"strings"
	"time"

	"carawaymux.dev/fleet/host"
	"carawaymux.dev/fleet/record"
)

// observe drafts failures and returns from the platform's list. What fails together
// goes into one record, a whole rack at once.
func (r *round) observe() {
	if r.in.Machines == nil {
		return
	}
	var failed, restored, up, returned []string
	for _, name := range r.names {
		h := r.s.Hosts[name]
		downFor := r.since.held(condition{what: "down", subject: name}, r.down(name) && h.Phase != host.Rebooting, r.in.Now)
		liveFor := r.since.held(condition{what: "live", subject: name}, r.live(name), r.in.Now)
		switch {
		case h.Phase == host.Rebooting:
			if r.live(name) && r.in.Machines[name].BootFence >= h.RebootVersion {
				up = append(up, name)
			}
		case h.Phase == host.Failed:
			if r.live(name) && liveFor >= r.damped(h) {
				restored = append(restored, name)
			}
		case r.down(name) && downFor >= r.times.FailAfter:
			failed = append(failed, name)
		case h.Phase == host.Returning && r.live(name) && liveFor >= r.times.ReturnAfter:
			returned = append(returned, name)
		}
	}
	r.change(host.EventFail, failed, record.Reason{
		Rule:    "host-down",
		Figures: fmt.Sprintf("down for %v or more: %s", r.times.FailAfter, r.racks(failed)),
	})
	r.change(host.EventUp, up, record.Reason{Rule: "reboot-finished", Figures: "the platform reports the boot"})
	r.change(host.EventRestore, restored, record.Reason{
		Rule: "host-live-again", Figures: fmt.Sprintf("live for %v or more, longer after each failure", r.times.ReturnAfter),
	})
	r.change(host.EventReturn, returned, record.Reason{
		Rule: "host-ready", Figures: fmt.Sprintf("live for %v", r.times.ReturnAfter),
	})
}

// damped is how long a host must be live before its failure is over: each failure
// that it remembers doubles the time.
func (r *round) damped(h *host.Host) time.Duration {
	factor := 1
	for _, step := range h.History {
		if step.Event == host.EventFail {
			factor = min(2*factor, maxDamping)
		}
	}
	return r.times.ReturnAfter * time.Duration(factor) / 2
}

// racks counts hosts by rack, for the reason of a record.
func (r *round) racks(hosts []string) string {
	counts := make(map[string]int)
	var order []string
	for _, name := range hosts {
		spec := r.s.Hosts[name].Spec
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

// settle gives cordoned and drained hosts back where the budget needs them, where
// their wave was cancelled or where their zone is cut off.
func (r *round) settle() {
	for _, name := range r.names {
		h := r.s.Hosts[name]
		if h.Phase != host.Cordoned && h.Phase != host.Drained {
			continue
		}
		cutFor := r.since.held(condition{what: "cut", subject: name}, h.Phase == host.Cordoned && r.zone(h.Spec.Zone).silent, r.in.Now)
		pool := h.Spec.Pool
		switch {
		case r.down(name):
			continue // Its failure will be seen; it cannot serve.
		case r.room[pool] < 0:
			r.giveBack(name, "budget-needs-host", r.s.BudgetFigures(pool))
		case h.Wave != "" && r.waveOver(h.Wave):
			r.giveBack(name, "wave-cancelled", "wave "+h.Wave)
		case cutFor >= r.times.CutAfter && cutFor > 0:
			r.giveBack(name, "zone-cut-off", fmt.Sprintf("an entry of zone %s was silent for %v", h.Spec.Zone, cutFor.Round(time.Millisecond)))
		}
	}
}

func (r *round) giveBack(name, rule, figures string) {
	r.change(host.EventReturn, []string{name}, record.Reason{Rule: rule, Figures: figures})
	r.room[r.s.Hosts[name].Spec.Pool]++
}

// advance takes hosts that are on their way out one step further.
func (r *round) advance() {
	for _, name := range r.names {
		h := r.s.Hosts[name]
		switch h.Phase {
		case host.Cordoned:
			r.drain(name, h)
		case host.Drained:
			r.act(name, h)
		case host.Rebooting:
			r.out.Calls = append(r.out.Calls, Call{Verb: VerbReboot, Host: name, Fence: h.RebootVersion})
		}
	}
}

// drain passes the barrier: every entry that may route to the host has acknowledged
// the cordon and has nothing in flight there.
func (r *round) drain(name string, h *host.Host) {
	z := r.zone(h.Spec.Zone)
	if z.acked < h.CordonVersion || z.busy[name] || r.s.TaskCount(name) > 0 || r.returns[name] {
		return
	}
	r.out.Drafts = append(r.out.Drafts, Draft{
		Body: host.Change{Event: host.EventDrain, Hosts: []string{name}, Barrier: z.acked},
		Reason: record.Reason{
			Rule: "barrier-passed",
			Figures: fmt.Sprintf("%d entries of zone %s have offset %d in force, the cordon is at %d; nothing in flight",
				z.entries, h.Spec.Zone, z.acked, h.CordonVersion),
		},
	})
}

// act reboots a drained host, or gives it to its new pool.
func (r *round) act(name string, h *host.Host) {
	if r.returns[name] {
		return
	}
	if h.Wave != "" {
		if !r.waveRunning(h.Wave) || r.room[h.Spec.Pool] < 0 {
			return
		}
		r.change(host.EventReboot, []string{name}, record.Reason{
			Rule: "wave-reboot", Figures: "wave " + h.Wave + "; " + r.s.BudgetFigures(h.Spec.Pool),
		})
		return
	}
	if h.MoveTo != "" {
		r.change(host.EventAssign, []string{name}, record.Reason{
			Rule:    "move-assign",
			Figures: fmt.Sprintf("from %s (%s) to %s", h.Spec.Pool, r.s.BudgetFigures(h.Spec.Pool), h.MoveTo),
		})
	}
}

// startMoves cordons hosts that are to be moved, as the source's budget allows.
func (r *round) startMoves() {
	for _, name := range r.names {
		h := r.s.Hosts[name]
		if h.Phase != host.Serving || h.MoveTo == "" || r.room[h.Spec.Pool] < 1 || r.zone(h.Spec.Zone).silent {
			continue
		}
		r.room[h.Spec.Pool]--
		r.change(host.EventCordon, []string{name}, record.Reason{
			Rule:    "move-cordon",
			Figures: fmt.Sprintf("move to %s; %s: %s", h.MoveTo, h.Spec.Pool, r.s.BudgetFigures(h.Spec.Pool)),
		})
	}
}

// quarantine takes hosts out that every entry of their zone finds failing, within
// the budget, and lets them back after a while.
func (r *round) quarantine() {
	for _, name := range r.names {
		h := r.s.Hosts[name]
		z := r.zone(h.Spec.Zone)
		all := z.entries > 0 && z.failing[name] == z.entries
		heldFor := r.since.held(condition{what: "quarantined", subject: name}, h.Phase == host.Quarantined, r.in.Now)
		switch {
		case h.Phase == host.Quarantined && heldFor >= r.times.QuarantineFor:
			r.change(host.EventRelease, []string{name}, record.Reason{
				Rule: "quarantine-over", Figures: fmt.Sprintf("after %v", r.times.QuarantineFor),
			})
		case h.Phase == host.Serving && all && r.room[h.Spec.Pool] >= 1:
			r.room[h.Spec.Pool]--
			r.change(host.EventQuarantine, []string{name}, record.Reason{
				Rule: "fails-what-it-starts",
				Figures: fmt.Sprintf("found by %d of %d entries, while the pool is well; %s",
					z.failing[name], z.entries, r.s.BudgetFigures(h.Spec.Pool)),
			})
		}
	}
}
