package plan

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"carawaymux.dev/fleet/host"
	"carawaymux.dev/fleet/record"
)

// PoolView is what a [Mover] knows of a pool.
type PoolView struct {
	Name  string
	Spare bool
	// Floor is the number of hosts that repair keeps in the pool.
	Floor int
	// Well is the number of hosts that are not failed, those on their way into
	// the pool included and those on their way out left out.
	Well int
	// Room is how many hosts may leave under the budget.
	Room int
	// Below and Above are for how long the pool has been below or above its floor.
	Below, Above time.Duration
	// Loans names the homes of the hosts that the pool has on loan, each host
	// once, sorted.
	Loans []string
}

// Transfer moves one host from a pool to another.
type Transfer struct {
	From, To string
	// Loan says that the host is to be given back later.
	Loan   bool
	Reason record.Reason
}

// Mover decides which pools give hosts to which.
type Mover interface {
	Transfers(pools []PoolView) []Transfer
}

// Hold lends hosts of spare pools to pools that have lost theirs, and gives them back
// when those are well again, each after a wait, so that short shifts move nothing.
type Hold struct {
	// ReplaceAfter and GiveBackAfter are the waits.
	ReplaceAfter, GiveBackAfter time.Duration
}

// Transfers fills pools that have long been below their floor, and gives hosts on loan
// back from pools that have long been above it.
func (m Hold) Transfers(pools []PoolView) []Transfer {
	var out []Transfer
	for _, p := range pools {
		switch {
		case p.Floor > 0 && p.Well < p.Floor && p.Below >= m.ReplaceAfter:
			out = append(out, m.replace(pools, p)...)
		case len(p.Loans) > 0 && p.Well > p.Floor && p.Above >= m.GiveBackAfter && p.Room > 0:
			out = append(out, Transfer{From: p.Name, To: p.Loans[0], Reason: record.Reason{
				Rule: "give-host-back",
				Figures: fmt.Sprintf("%s has had more than %d hosts for %v; room %d",
					p.Name, p.Floor, p.Above.Round(time.Second), p.Room),
			}})
		}
	}
	return out
}

// replace takes a host from the first spare pool that can give one.
func (m Hold) replace(pools []PoolView, p PoolView) []Transfer {
	i := slices.IndexFunc(pools, func(from PoolView) bool {
		return from.Spare && from.Name != p.Name && from.Well > from.Floor && from.Room > 0
	})
	if i < 0 {
		return nil
	}
	from := &pools[i]
	t := Transfer{From: from.Name, To: p.Name, Loan: true, Reason: record.Reason{
		Rule: "replace-lost-host",
		Figures: fmt.Sprintf("%s has %d of %d hosts for %v; %s has %d of %d, room %d",
			p.Name, p.Well, p.Floor, p.Below.Round(time.Second), from.Name, from.Well, from.Floor, from.Room),
	}}
	from.Well--
	from.Room--
	return []Transfer{t}
}

// repair drafts the moves that the policy wants, one a pool at a time.
func (p *Planner[O, M]) repair(r *round) {
	var pools []PoolView
	well := r.well()
	for _, name := range slices.Sorted(maps.Keys(r.s.Pools)) {
		spec := r.s.Pools[name].Spec
		v := PoolView{Name: name, Spare: spec.Spare, Floor: spec.Floor, Well: well[name], Room: r.room[name]}
		v.Below = r.since.held(condition{what: "below", subject: name}, v.Floor > 0 && v.Well < v.Floor, r.in.Now)
		v.Above = r.since.held(condition{what: "above", subject: name}, v.Floor > 0 && v.Well > v.Floor, r.in.Now)
		v.Loans = r.loans(name)
		pools = append(pools, v)
	}
	for _, t := range p.mover.Transfers(pools) {
		if name := r.giver(t); name != "" {
			r.out.Drafts = append(r.out.Drafts, Draft{
				Object: name, Base: r.s.Hosts[name].Version, Body: host.Move{To: t.To, Loan: t.Loan}, Reason: t.Reason,
			})
		}
	}
}

// well counts each pool's hosts that are not failed, moves under way included.
func (r *round) well() map[string]int {
	out := make(map[string]int, len(r.s.Pools))
	for _, h := range r.s.Hosts {
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

// loans names the homes of a pool's hosts that are on loan and not on their way back.
func (r *round) loans(pool string) []string {
	var out []string
	for _, name := range r.s.HostsOf(pool) {
		if h := r.s.Hosts[name]; h.HomePool != pool && h.MoveTo == "" {
			out = append(out, h.HomePool)
		}
	}
	slices.Sort(out)
	return out
}

// giver picks the host that is cheapest to move: serving, with the fewest tasks, in no
// wave's way. A loan takes a host that is at home, a return one whose home is the other
// pool.
func (r *round) giver(t Transfer) string {
	home := t.To
	if t.Loan {
		home = t.From
	}
	best := ""
	for _, name := range r.s.HostsOf(t.From) {
		h := r.s.Hosts[name]
		if h.Phase != host.Serving || h.MoveTo != "" || h.HomePool != home || r.zone(h.Spec.Zone).silent || r.cordons[name] {
			continue
		}
		if best == "" || r.s.TaskCount(name) < r.s.TaskCount(best) {
			best = name
		}
	}
	return best
}
