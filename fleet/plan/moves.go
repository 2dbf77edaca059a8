package plan

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"carawaymux.dev/fleet/host"
	"carawaymux.dev/fleet/record"
)

// PoolView is the view of a pool that a [Mover] receives.
type PoolView struct {
	Name  string
	Spare bool
	// Floor is the number of healthy hosts that the pool should keep. 0 means that the pool gets no
	// replacements.
	Floor int
	// Healthy is the number of hosts that are not failed. It includes hosts on their way into
	// the pool and excludes hosts on their way out.
	Healthy int
	// Headroom is how many more hosts may leave service under the budget.
	Headroom int
	// BelowFor and AboveFor are how long Healthy has been below or above Floor. Both stay 0 while
	// Floor is 0.
	BelowFor, AboveFor time.Duration
	// LoanHomes holds the home pool of each host that the pool has on loan, sorted by name.
	LoanHomes []string
}

// Transfer is a proposal to move one host from a pool to another. The planner chooses the host.
type Transfer struct {
	From, To string
	// Loan means that the host will be returned later.
	Loan   bool
	Reason record.Reason
}

// Mover decides which pools give hosts to which other pools. Transfers may modify pools.
type Mover interface {
	Transfers(pools []PoolView) []Transfer
}

// LendSpares lends hosts of spare pools to pools that have lost hosts, and returns them when
// those pools have recovered. It waits before each move, so that short outages move nothing.
type LendSpares struct {
	// ReplaceAfter is the wait before a lost host is replaced, GiveBackAfter the wait before a
	// loan is returned.
	ReplaceAfter, GiveBackAfter time.Duration
}

// Transfers fills pools that have been below their floor for ReplaceAfter, and returns hosts on
// loan from pools that have been above it for GiveBackAfter.
func (m LendSpares) Transfers(pools []PoolView) []Transfer {
	var out []Transfer
	for _, p := range pools {
		switch {
		case p.Floor > 0 && p.Healthy < p.Floor && p.BelowFor >= m.ReplaceAfter:
			out = append(out, m.replace(pools, p)...)
		case len(p.LoanHomes) > 0 && p.Healthy > p.Floor && p.AboveFor >= m.GiveBackAfter && p.Headroom > 0:
			out = append(out, Transfer{From: p.Name, To: p.LoanHomes[0], Reason: record.Reason{
				Rule: "give-host-back",
				Figures: fmt.Sprintf("%s has had more than %d hosts for %v; room %d",
					p.Name, p.Floor, p.AboveFor.Round(time.Second), p.Headroom),
			}})
		}
	}
	return out
}

// replace takes a host from the first spare pool that can give one.
func (m LendSpares) replace(pools []PoolView, p PoolView) []Transfer {
	i := slices.IndexFunc(pools, func(from PoolView) bool {
		return from.Spare && from.Name != p.Name && from.Healthy > from.Floor && from.Headroom > 0
	})
	if i < 0 {
		return nil
	}
	from := &pools[i]
	t := Transfer{From: from.Name, To: p.Name, Loan: true, Reason: record.Reason{
		Rule: "replace-lost-host",
		Figures: fmt.Sprintf("%s has %d of %d hosts for %v; %s has %d of %d, room %d",
			p.Name, p.Healthy, p.Floor, p.BelowFor.Round(time.Second), from.Name, from.Healthy, from.Floor, from.Headroom),
	}}
	from.Healthy--
	from.Headroom--
	return []Transfer{t}
}

// repair drafts the moves that the policy proposes, at most one per pool and round.
func (p *Planner[O, M]) repair(r *round) {
	var pools []PoolView
	healthy := r.healthy()
	for _, name := range slices.Sorted(maps.Keys(r.state.Pools)) {
		spec := r.state.Pools[name].Spec
		view := PoolView{Name: name, Spare: spec.Spare, Floor: spec.Floor, Healthy: healthy[name], Headroom: r.headroom[name]}
		view.BelowFor = r.conditions.heldFor(condition{kind: "below", subject: name}, view.Floor > 0 && view.Healthy < view.Floor, r.input.Now)
		view.AboveFor = r.conditions.heldFor(condition{kind: "above", subject: name}, view.Floor > 0 && view.Healthy > view.Floor, r.input.Now)
		view.LoanHomes = r.loanHomes(name)
		pools = append(pools, view)
	}
	for _, t := range p.mover.Transfers(pools) {
		if name := r.hostToMove(t); name != "" {
			r.output.Drafts = append(r.output.Drafts, Draft{
				Object: name, Base: r.state.Hosts[name].Version, Body: host.Move{To: t.To, Loan: t.Loan}, Reason: t.Reason,
			})
		}
	}
}

// healthy counts each pool's hosts that are not failed, with moves in progress counted at their
// destination.
func (r *round) healthy() map[string]int {
	out := make(map[string]int, len(r.state.Pools))
	for _, h := range r.state.Hosts {
		if h.Phase == host.Failed {
			continue
		}
		if h.MoveTo != "" {
			out[h.MoveTo]++
		} else {
			out[h.Spec.Pool]++
		}
	}
	return out
}

// loanHomes returns the home pools of the hosts that a pool has on loan and that have no pending
// move.
func (r *round) loanHomes(pool string) []string {
	var out []string
	for _, name := range r.state.HostsOf(pool) {
		if h := r.state.Hosts[name]; h.HomePool != pool && h.MoveTo == "" {
			out = append(out, h.HomePool)
		}
	}
	slices.Sort(out)
	return out
}

// hostToMove picks the host that is cheapest to move: the one with the fewest tasks among the
// serving hosts that this round does not cordon. A loan takes a host whose home is the source pool;
// a return takes one whose home is the destination pool. It returns "" if there is none.
func (r *round) hostToMove(t Transfer) string {
	home := t.To
	if t.Loan {
		home = t.From
	}
	chosen := ""
	for _, name := range r.state.HostsOf(t.From) {
		h := r.state.Hosts[name]
		if h.Phase != host.Serving || h.MoveTo != "" || h.HomePool != home || r.zone(h.Spec.Zone).unreachable || r.cordoned[name] {
			continue
		}
		if chosen == "" || r.state.TaskCount(name) < r.state.TaskCount(chosen) {
			chosen = name
		}
	}
	return chosen
}
