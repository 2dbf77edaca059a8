package shard

import (
	"cmp"
	"slices"
	"time"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/place"
)

// Plan decides what to start now, and puts the orders with the others.
func Plan[R Ranking](s *State, ranking R, now time.Time, wall int64) {
	s.openDue(wall)
	demands := s.demands(now)
	if len(demands) == 0 {
		s.Overloaded = false
		return
	}
	room := s.room(now)
	s.press(demands, room)
	slices.SortFunc(demands, func(a, b Demand) int { return ranking.Compare(&a, &b, now) })
	for i := range demands {
		s.startAll(&demands[i], room, now)
		if room.empty() {
			return
		}
	}
}

// openDue opens the occurrences whose time has come. An inherited job may have more
// open than are due by this clock.
func (s *State) openDue(wall int64) {
	for _, j := range s.open {
		if j.Spec.Repetitions == 0 {
			if len(j.Occurrences) == 0 {
				s.openTurn(j)
			}
			continue
		}
		for len(j.Occurrences) < j.Spec.Repetitions && s.due(j, len(j.Occurrences)) <= wall {
			s.openTurn(j)
		}
	}
}

// due is when an occurrence may start, in milliseconds since 1970.
func (s *State) due(j *Job, turn int) int64 {
	return j.Spec.FirstDueMS + int64(turn)*j.Spec.Interval.Milliseconds()
}

// NextDue is when the next occurrence has to be opened, in milliseconds since 1970;
// 0 when none is to come.
func (s *State) NextDue() int64 {
	var next int64
	for _, j := range s.open {
		if len(j.Occurrences) < j.Spec.Repetitions {
			if d := s.due(j, len(j.Occurrences)); next == 0 || d < next {
				next = d
			}
		}
	}
	return next
}

// demands lists the steps with tasks that could start now.
func (s *State) demands(now time.Time) []Demand {
	unsure := s.unsure(now)
	var out []Demand
	for _, j := range s.open {
		if !j.Stored || (j.Inherited && unsure) {
			continue
		}
		q := s.Queues[j.Spec.Queue]
		scale := s.durations[j.Spec.Queue].median()
		for t := range j.Occurrences {
			turn := &j.Occurrences[t]
			if turn.Left == 0 {
				continue
			}
			work := workLeft(&j.Spec, turn, scale)
			for g := range turn.Stages {
				if turn.Stages[g].idle <= 0 || !turn.ready(&j.Spec, g) {
					continue
				}
				d := Demand{
					Job: j, Occurrence: t, Step: g, Lasting: j.Spec.Steps[g].LongRunning, Priority: q.Priority,
					Objective: j.Objective, CriticalPath: time.Duration(float64(chainFrom(&j.Spec, g)) * scale), RemainingWork: work,
				}
				if j.Spec.Repetitions > 0 {
					late := time.Duration(s.due(j, t)-j.Spec.AcceptedMS) * time.Millisecond
					d.Objective = d.Objective.Add(late)
				}
				out = append(out, d)
			}
		}
	}
	return out
}

// workLeft is the work of the tasks of an occurrence that are not done.
func workLeft(spec *batch.Spec, t *Occurrence, scale float64) int64 {
	var sum int64
	for g := range t.Stages {
		sum += stepWork(&spec.Steps[g], t.Stages[g].Left, scale)
	}
	return sum
}

// ready reports whether all steps that a step comes after are done.
func (t *Occurrence) ready(spec *batch.Spec, step int) bool {
	for _, a := range spec.Steps[step].After {
		if t.Stages[a].Left > 0 {
			return false
		}
	}
	return true
}

// chainFrom is the longest chain of estimates from a step on.
func chainFrom(spec *batch.Spec, step int) time.Duration {
	var next time.Duration
	for later := step + 1; later < len(spec.Steps); later++ {
		if slices.Contains(spec.Steps[later].After, step) {
			next = max(next, chainFrom(spec, later))
		}
	}
	return spec.Steps[step].Estimate + next
}

// slot is a host in a round of planning.
type slot struct {
	host *Host
	rack place.Rack
	free batch.Size
	// kept says that room on the host is kept for a demand that does not fit yet.
	kept bool
	// lasting is the number of lasting units there.
	lasting int
}

type rooms []slot

// room lists the hosts that may take work, with what is free there.
func (s *State) room(now time.Time) rooms {
	var out rooms
	for _, h := range s.Hosts {
		if !s.Schedulable(h, now) {
			continue
		}
		one := slot{host: h, rack: place.Rack{Zone: h.Zone, Name: h.Rack}, free: h.Capacity.Sub(s.used(h))}
		for r := range h.Assigned {
			if j := s.Jobs[r.Job]; j != nil && j.Spec.Steps[r.Step].LongRunning {
				one.lasting++
			}
		}
		out = append(out, one)
	}
	slices.SortFunc(out, func(a, b slot) int { return cmp.Compare(a.host.ID, b.host.ID) })
	return out
}

// used is the capacity that runs take, those that are being stopped included.
func (s *State) used(h *Host) batch.Size {
	var sum batch.Size
	for r := range h.Assigned {
		if j := s.Jobs[r.Job]; j != nil {
			sum = sum.Add(j.Spec.Steps[r.Step].Reservation())
		}
	}
	return sum
}

func (r rooms) empty() bool {
	for i := range r {
		if !r[i].kept && r[i].free.MilliCores > 0 && r[i].free.MemoryMB > 0 {
			return false
		}
	}
	return true
}

// startAll orders the start of as many tasks of a demand as fit.
func (s *State) startAll(d *Demand, room rooms, now time.Time) {
	step := &d.Job.Spec.Steps[d.Step]
	g := &d.Job.Occurrences[d.Occurrence].Stages[d.Step]
	may := s.may(batch.Ref{Job: d.Job.ID, Occurrence: d.Occurrence, Step: d.Step}, now)
	if step.Gang {
		s.startGang(d, step, g, room, may, now)
		return
	}
	for i := range g.Units {
		u := &g.Units[i]
		if u.Status != Idle || u.Done || !s.settled(u) {
			continue
		}
		ref := batch.Ref{Job: d.Job.ID, Occurrence: d.Occurrence, Step: d.Step, Index: i}
		k := s.pick(step, g, u, room, may)
		if k < 0 {
			s.keep(d, step, room, now)
			return
		}
		s.start(d.Job, ref, g, u, &room[k], s.nextRun(u), now)
	}
}

// nextRun is a run number above all that any owner has given to the unit.
func (s *State) nextRun(u *Unit) int64 { return max(u.Run, (s.Epoch-1)*runsPerEpoch) + 1 }

// start books a task on a host and orders its run.
func (s *State) start(j *Job, ref batch.Ref, g *Stage, u *Unit, k *slot, run int64, now time.Time) {
	step := &j.Spec.Steps[ref.Step]
	u.Status, u.Host, u.Run = Starting, k.host.ID, run
	u.OrderedAt, u.StartClock, u.Pace, u.Percent, u.Load = now, 0, 100, 0, 0
	u.LostAt, u.Meter = time.Time{}, SpeedMeter{}
	g.idle--
	k.host.Assigned[ref] = u
	k.free = k.free.Sub(step.Reservation())
	if step.LongRunning {
		k.lasting++
	}
	s.orders = append(s.orders, Order{
		Kind: OrderStart, Host: k.host.ID, Ref: ref, Run: run, Text: j.Spec.Text, Checkpoint: u.Checkpoint,
		Ticket: s.ticket(ref, k.host.ID), Why: "its turn",
	})
}

// Weights of what speaks for a host, in thousandths of a core of room left over.
const (
	// farWeight keeps work near its data where there is room.
	farWeight = 1 << 20
	// avoidWeight keeps work from the host where it last failed.
	avoidWeight = 1 << 24
	// mateWeight spreads lasting work of one step over hosts and racks.
	mateWeight = 1 << 16
	// fillWeight keeps work that fills from hosts with work that serves.
	fillWeight = 1 << 18
)

// pick chooses a host for a task among those that may run it; -1 when none fits. With
// may nil, all may. Lasting work is spread, other work is packed.
func (s *State) pick(step *batch.Step, g *Stage, u *Unit, room rooms, may func(*Host) bool) int {
	best, bestRank := -1, int64(0)
	need := step.Reservation()
	for k := range room {
		c := &room[k]
		if c.kept || !c.free.Fits(need) || (may != nil && !may(c.host)) {
			continue
		}
		if step.RequiredLabel != "" && !HasLabel(&c.host.Host, step.RequiredLabel) {
			continue
		}
		if step.PerHost > 0 && count(g, c.host.ID) >= step.PerHost {
			continue
		}
		if rank := s.rank(step, g, u, c); best < 0 || rank < bestRank {
			best, bestRank = k, rank
		}
	}
	return best
}

// rank is lower for hosts that suit a task better.
func (s *State) rank(step *batch.Step, g *Stage, u *Unit, c *slot) int64 {
	left := c.free.Sub(step.Reservation())
	rank := left.MilliCores
	if step.DataRack != "" && c.rack.Name != step.DataRack {
		rank += farWeight
	}
	if u.AvoidHost == c.host.ID {
		rank += avoidWeight
	}
	switch {
	case step.BestEffort:
		rank = fillWeight*int64(c.lasting) - left.MilliCores
	case step.LongRunning:
		rank += mateWeight * int64(count(g, c.host.ID))
		rank += int64(c.lasting) * fillWeight
		rank -= 2 * left.MilliCores
	}
	return rank
}

// count is the number of units of a step that are on a host.
func count(g *Stage, host string) int {
	n := 0
	for i := range g.Units {
		if g.Units[i].Status != Idle && g.Units[i].Host == host {
			n++
		}
	}
	return n
}

// keep reserves the host that will first have room for a demand that must not be
// passed by smaller ones for ever.
func (s *State) keep(d *Demand, step *batch.Step, room rooms, now time.Time) {
	if !d.Lasting && now.Sub(d.Job.AcceptedAt) < keepAfter {
		return
	}
	need := step.Reservation()
	best := -1
	for k := range room {
		c := &room[k]
		if c.kept || !c.host.Capacity.Fits(need) || (step.RequiredLabel != "" && !HasLabel(&c.host.Host, step.RequiredLabel)) {
			continue
		}
		if best < 0 || c.free.MilliCores > room[best].free.MilliCores {
			best = k
		}
	}
	if best >= 0 {
		room[best].kept = true
	}
}

// keepAfter is how long work waits before room is kept for it.
const keepAfter = 2 * time.Second

// startGang orders the start of all members at once, or of none.
func (s *State) startGang(
	d *Demand, step *batch.Step, g *Stage, room rooms, may func(*Host) bool, now time.Time,
) {
	for i := range g.Units {
		if g.Units[i].Status != Idle || !s.settled(&g.Units[i]) {
			return
		}
	}
	chosen := s.gangRooms(step, g, room, may)
	if chosen == nil {
		s.keep(d, step, room, now)
		return
	}
	var run int64
	checkpoint := ""
	for i := range g.Units {
		run = max(run, s.nextRun(&g.Units[i]))
		if g.Units[i].Checkpoint != "" {
			checkpoint = g.Units[i].Checkpoint
		}
	}
	for i := range g.Units {
		u := &g.Units[i]
		u.Checkpoint = checkpoint
		ref := batch.Ref{Job: d.Job.ID, Occurrence: d.Occurrence, Step: d.Step, Index: i}
		s.start(d.Job, ref, g, u, &room[chosen[i]], run, now)
	}
}

// gangRooms chooses a host for each member, on one rack where that matters and is
// possible; nil when they do not all fit.
func (s *State) gangRooms(step *batch.Step, g *Stage, room rooms, may func(*Host) bool) []int {
	if step.SameRack {
		racks := map[place.Rack]bool{}
		for k := range room {
			if !racks[room[k].rack] {
				racks[room[k].rack] = true
				if chosen := s.fitAll(step, g, room, may, &room[k].rack); chosen != nil {
					return chosen
				}
			}
		}
	}
	return s.fitAll(step, g, room, may, nil)
}

// fitAll chooses a host for each member, on one rack if it is given.
func (s *State) fitAll(
	step *batch.Step, g *Stage, room rooms, may func(*Host) bool, rack *place.Rack,
) []int {
	free := make([]batch.Size, len(room))
	taken := make([]int, len(room))
	for k := range room {
		free[k] = room[k].free
	}
	need := step.Reservation()
	chosen := make([]int, 0, len(g.Units))
	for range g.Units {
		best := -1
		for k := range room {
			c := &room[k]
			if c.kept || !free[k].Fits(need) || (may != nil && !may(c.host)) || (rack != nil && c.rack != *rack) ||
				(step.RequiredLabel != "" && !HasLabel(&c.host.Host, step.RequiredLabel)) ||
				(step.PerHost > 0 && taken[k] >= step.PerHost) {
				continue
			}
			if best < 0 || free[k].MilliCores < free[best].MilliCores {
				best = k
			}
		}
		if best < 0 {
			return nil
		}
		free[best] = free[best].Sub(need)
		taken[best]++
		chosen = append(chosen, best)
	}
	return chosen
}
