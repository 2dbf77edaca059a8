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
}

// Transfer moves one host from a pool to another.
type Transfer struct {
	From, To string
	Reason   record.Reason
}

// Mover decides which pools give hosts to which.
type Mover interface {
	Transfers(pools []PoolView) []Transfer
}

// Hold moves hosts only to replace lost ones and to give them back, each after a
// wait, so that short shifts move nothing.
type Hold struct {
	// ReplaceAfter and GiveBackAfter are the waits.
	ReplaceAfter, GiveBackAfter time.Duration
}

// Transfers fills pools that have long been below their floor from spare pools above
// theirs, and refills spare pools the same way.
func (m Hold) Transfers(pools []PoolView) []Transfer {
	var out []Transfer
	for _, p := range pools {
		wait, rule := m.ReplaceAfter, "replace-lost-host"
		if p.Spare {
			wait, rule = m.GiveBackAfter, "give-host-back"
		}
		if p.Floor == 0 || p.Well >= p.Floor || p.Below < wait {
			continue
		}
		i := slices.IndexFunc(pools, func(from PoolView) bool { return m.gives(from, p) })
		if i < 0 {
			continue
		}
		out = append(out, Transfer{From: pools[i].Name, To: p.Name, Reason: record.Reason{
			Rule: rule,
			Figures: fmt.Sprintf("%s has %d of %d hosts for %v; %s has %d of %d, room %d",
				p.Name, p.Well, p.Floor, p.Below.Round(time.Second), pools[i].Name, pools[i].Well, pools[i].Floor, pools[i].Room),
		}})
		pools[i].Well--
		pools[i].Room--
	}
	return out
}

// gives reports whether a pool gives a host: a spare pool to any other, another pool
// only back to a spare one once it has been above its floor for long.
func (m Hold) gives(from, to PoolView) bool {
	if from.Name == to.Name || from.Well <= from.Floor || from.Room < 1 {
		return false
	}
	if from.Spare {
		return true
	}
	return to.Spare && from.Floor > 0 && from.Above >= m.GiveBackAfter
}

// repair drafts the moves that the policy wants, one a pool at a time.
func (p *Planner[O, M]) repair(r *round) {
	var pools []PoolView
	for _, name := range slices.Sorted(maps.Keys(r.s.Pools)) {
		spec := r.s.Pools[name].Spec
		v := PoolView{Name: name, Spare: spec.Spare, Floor: spec.Floor, Well: r.well(name), Room: r.room[name]}
		v.Below = r.since.held("below/"+name, v.Floor > 0 && v.Well < v.Floor, r.in.Now)
		v.Above = r.since.held("above/"+name, v.Floor > 0 && v.Well > v.Floor, r.in.Now)
		pools = append(pools, v)
	}
	for _, t := range p.mover.Transfers(pools) {
		if name := r.giver(t.From); name != "" {
			r.out.Drafts = append(r.out.Drafts, Draft{
				Object: name, Base: r.s.Hosts[name].Version, Body: host.Move{To: t.To}, Reason: t.Reason,
			})
		}
	}
}

// well counts a pool's hosts that are not failed, moves under way included.
func (r *round) well(pool string) int {
	n := 0
	for _, h := range r.s.Hosts {
		belongs := h.Spec.Pool
		if h.MoveTo != "" {
			belongs = h.MoveTo
		}
		if belongs == pool && h.Phase != host.Failed {
			n++
		}
	}
	return n
}

// giver picks the host of a pool that is cheapest to move: serving, with the fewest
// tasks, in no wave's way.
func (r *round) giver(pool string) string {
	best := ""
	for _, name := range r.s.HostsOf(pool) {
		h := r.s.Hosts[name]
		if h.Phase != host.Serving || h.MoveTo != "" || r.zone(h.Spec.Zone).silent || r.drafted(name) {
			continue
		}
		if best == "" || r.s.TasksOn(name) < r.s.TasksOn(best) {
			best = name
		}
	}
	return best
}
