package shard

import (
	"cmp"
	"slices"
	"time"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/place"
)

// Plan opens the occurrences that are due and orders the starts that are possible now. The
// argument wall is the time of day in milliseconds since 1970.
func Plan[R Ranking](s *State, ranking R, now time.Time, wall int64) {
	s.openDue(wall)
	demands := s.demands(now)
	if len(demands) == 0 {
		s.Overloaded = false
		return
	}
	hosts := s.candidates(now)
	s.updateOverloaded(demands, hosts)
	slices.SortFunc(demands, func(a, b Demand) int { return ranking.Compare(&a, &b, now) })
	for i := range demands {
		s.startTasks(&demands[i], hosts, now)
		if hosts.empty() {
			return
		}
	}
}

// openDue opens the occurrences that are due. An inherited job may have more open occurrences than
// are due by the clock of this owner.
func (s *State) openDue(wall int64) {
	for _, j := range s.openJobs {
		if j.Spec.Repetitions == 0 {
			if len(j.Occurrences) == 0 {
				s.openOccurrence(j)
			}
			continue
		}
		for len(j.Occurrences) < j.Spec.Repetitions && s.dueAt(j, len(j.Occurrences)) <= wall {
			s.openOccurrence(j)
		}
	}
}

// dueAt returns when an occurrence may start, in milliseconds since 1970.
func (s *State) dueAt(j *Job, occurrence int) int64 {
	return j.Spec.FirstDueMS + int64(occurrence)*j.Spec.Interval.Milliseconds()
}

// NextDue returns when the next occurrence has to be opened, in milliseconds since 1970, or 0
// when there is none.
func (s *State) NextDue() int64 {
	var next int64
	for _, j := range s.openJobs {
		if len(j.Occurrences) < j.Spec.Repetitions {
			if d := s.dueAt(j, len(j.Occurrences)); next == 0 || d < next {
				next = d
			}
		}
	}
	return next
}

// demands returns the steps with tasks that could start now.
func (s *State) demands(now time.Time) []Demand {
	unconfirmed := s.hasUnconfirmedHost(now)
	var out []Demand
	for _, j := range s.openJobs {
		if !j.Stored || (j.Inherited && unconfirmed) {
			continue
		}
		q := s.Queues[j.Spec.Queue]
		scale := s.durationRatios[j.Spec.Queue].median()
		for oi := range j.Occurrences {
			occ := &j.Occurrences[oi]
			if occ.Left == 0 {
				continue
			}
			work := workLeft(&j.Spec, occ, scale)
			for si := range occ.Stages {
				if occ.Stages[si].idle <= 0 || !occ.ready(&j.Spec, si) {
					continue
				}
				d := Demand{
					Job: j, Occurrence: oi, Step: si, LongRunning: j.Spec.Steps[si].LongRunning, Priority: q.Priority,
					Objective: j.Objective, CriticalPath: time.Duration(float64(criticalPathFrom(&j.Spec, si)) * scale), RemainingWork: work,
				}
				if j.Spec.Repetitions > 0 {
					offset := time.Duration(s.dueAt(j, oi)-j.Spec.AcceptedMS) * time.Millisecond
					d.Objective = d.Objective.Add(offset)
				}
				out = append(out, d)
			}
		}
	}
	return out
}

// workLeft returns the work of the tasks of an occurrence that are not done.
func workLeft(spec *batch.Spec, occ *Occurrence, scale float64) int64 {
	var sum int64
	for si := range occ.Stages {
		sum += stepWork(&spec.Steps[si], occ.Stages[si].Left, scale)
	}
	return sum
}

// ready reports whether all predecessors of a step are done.
func (o *Occurrence) ready(spec *batch.Spec, step int) bool {
	for _, a := range spec.Steps[step].After {
		if o.Stages[a].Left > 0 {
			return false
		}
	}
	return true
}

// criticalPathFrom returns the longest sum of estimated run times along dependent steps, from a
// step on.
func criticalPathFrom(spec *batch.Spec, step int) time.Duration {
	var next time.Duration
	for later := step + 1; later < len(spec.Steps); later++ {
		if slices.Contains(spec.Steps[later].After, step) {
			next = max(next, criticalPathFrom(spec, later))
		}
	}
	return spec.Steps[step].Estimate + next
}

// candidate is a host that may get work in a round of planning.
type candidate struct {
	host *Host
	rack place.Rack
	free batch.Size
	// reserved reports whether the free capacity is reserved for a demand that does not fit yet.
	reserved bool
	// longRunning is the number of long-running tasks on the host.
	longRunning int
}

type candidates []candidate

// candidates returns the schedulable hosts with their free capacity.
func (s *State) candidates(now time.Time) candidates {
	var out candidates
	for _, h := range s.Hosts {
		if !s.Schedulable(h, now) {
			continue
		}
		c := candidate{host: h, rack: place.Rack{Zone: h.Zone, Name: h.Rack}, free: h.Capacity.Sub(s.usedCapacity(h))}
		for r := range h.Assigned {
			if j := s.Jobs[r.Job]; j != nil && j.Spec.Steps[r.Step].LongRunning {
				c.longRunning++
			}
		}
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b candidate) int { return cmp.Compare(a.host.ID, b.host.ID) })
	return out
}

// usedCapacity returns the capacity that runs take, including those that are being stopped.
func (s *State) usedCapacity(h *Host) batch.Size {
	var sum batch.Size
	for r := range h.Assigned {
		if j := s.Jobs[r.Job]; j != nil {
			sum = sum.Add(j.Spec.Steps[r.Step].Reservation())
		}
	}
	return sum
}

// empty reports whether no host has free capacity that is not reserved.
func (c candidates) empty() bool {
	for i := range c {
		if !c[i].reserved && c[i].free.MilliCores > 0 && c[i].free.MemoryMB > 0 {
			return false
		}
	}
	return true
}

// startTasks orders the start of as many tasks of a demand as fit.
func (s *State) startTasks(d *Demand, hosts candidates, now time.Time) {
	step := &d.Job.Spec.Steps[d.Step]
	stage := &d.Job.Occurrences[d.Occurrence].Stages[d.Step]
	permitted := s.permitFilter(batch.Ref{Job: d.Job.ID, Occurrence: d.Occurrence, Step: d.Step}, now)
	if step.Gang {
		s.startGang(d, step, stage, hosts, permitted, now)
		return
	}
	for i := range stage.Tasks {
		task := &stage.Tasks[i]
		if task.Status != Idle || task.Done || !s.mayStart(task) {
			continue
		}
		ref := batch.Ref{Job: d.Job.ID, Occurrence: d.Occurrence, Step: d.Step, Index: i}
		k := s.pickHost(step, stage, task, hosts, permitted)
		if k < 0 {
			s.reserveHost(d, step, hosts, now)
			return
		}
		s.startTask(d.Job, ref, stage, task, &hosts[k], s.nextRun(task), now)
	}
}

// nextRun returns a run number above all that any owner has given to the task.
func (s *State) nextRun(task *Task) int64 { return max(task.Run, (s.Epoch-1)*runsPerEpoch) + 1 }

// startTask assigns a task to a host and orders its start.
func (s *State) startTask(j *Job, ref batch.Ref, stage *Stage, task *Task, c *candidate, run int64, now time.Time) {
	step := &j.Spec.Steps[ref.Step]
	task.Status, task.Host, task.Run = Starting, c.host.ID, run
	task.OrderedAt, task.StartClock, task.ThrottlePercent, task.Percent, task.Load = now, 0, 100, 0, 0
	task.LostAt, task.Meter = time.Time{}, SpeedMeter{}
	stage.idle--
	c.host.Assigned[ref] = task
	c.free = c.free.Sub(step.Reservation())
	if step.LongRunning {
		c.longRunning++
	}
	s.orders = append(s.orders, Order{
		Kind: OrderStart, Host: c.host.ID, Ref: ref, Run: run, Specification: j.Spec.Text, Checkpoint: task.Checkpoint,
		Ticket: s.ticket(ref, c.host.ID), Reason: "scheduled",
	})
}

// The weights of the placement cost, in thousandths of a core of capacity left over.
const (
	// rackWeight keeps work near its data where there is room.
	rackWeight = 1 << 20
	// avoidWeight keeps work off the host where it last failed.
	avoidWeight = 1 << 24
	// spreadWeight spreads the long-running tasks of one step over hosts.
	spreadWeight = 1 << 16
	// longRunningWeight keeps best-effort work off hosts with long-running tasks, and spreads
	// long-running tasks.
	longRunningWeight = 1 << 18
)

// pickHost chooses a host for a task among the permitted ones, and returns its index, or -1 when
// none fits. All hosts are permitted when the filter is nil. Long-running work is spread, other
// work is packed.
func (s *State) pickHost(step *batch.Step, stage *Stage, task *Task, hosts candidates, permitted func(*Host) bool) int {
	best, bestCost := -1, int64(0)
	need := step.Reservation()
	for k := range hosts {
		c := &hosts[k]
		if c.reserved || !c.free.Fits(need) || (permitted != nil && !permitted(c.host)) {
			continue
		}
		if step.RequiredLabel != "" && !HasLabel(&c.host.Host, step.RequiredLabel) {
			continue
		}
		if step.PerHost > 0 && tasksOnHost(stage, c.host.ID) >= step.PerHost {
			continue
		}
		if cost := s.placementCost(step, stage, task, c); best < 0 || cost < bestCost {
			best, bestCost = k, cost
		}
	}
	return best
}

// placementCost returns a cost that is lower for hosts that suit a task better.
func (s *State) placementCost(step *batch.Step, stage *Stage, task *Task, c *candidate) int64 {
	left := c.free.Sub(step.Reservation())
	cost := left.MilliCores
	if step.DataRack != "" && c.rack.Name != step.DataRack {
		cost += rackWeight
	}
	if task.AvoidHost == c.host.ID {
		cost += avoidWeight
	}
	switch {
	case step.BestEffort:
		cost = longRunningWeight*int64(c.longRunning) - left.MilliCores
	case step.LongRunning:
		cost += spreadWeight * int64(tasksOnHost(stage, c.host.ID))
		cost += int64(c.longRunning) * longRunningWeight
		cost -= 2 * left.MilliCores
	}
	return cost
}

// tasksOnHost returns the number of tasks of a step that are on a host.
func tasksOnHost(stage *Stage, host string) int {
	n := 0
	for i := range stage.Tasks {
		if stage.Tasks[i].Status != Idle && stage.Tasks[i].Host == host {
			n++
		}
	}
	return n
}

// reserveHost reserves the host with the most free capacity for a demand that does not fit, so
// that smaller demands do not starve it.
func (s *State) reserveHost(d *Demand, step *batch.Step, hosts candidates, now time.Time) {
	if !d.LongRunning && now.Sub(d.Job.AcceptedAt) < reserveAfter {
		return
	}
	need := step.Reservation()
	best := -1
	for k := range hosts {
		c := &hosts[k]
		if c.reserved || !c.host.Capacity.Fits(need) || (step.RequiredLabel != "" && !HasLabel(&c.host.Host, step.RequiredLabel)) {
			continue
		}
		if best < 0 || c.free.MilliCores > hosts[best].free.MilliCores {
			best = k
		}
	}
	if best >= 0 {
		hosts[best].reserved = true
	}
}

// reserveAfter is how long after its acceptance a job waits before a host is reserved for its work.
// Long-running work does not wait.
const reserveAfter = 2 * time.Second

// startGang orders the start of all members of a gang, or of none.
func (s *State) startGang(
	d *Demand, step *batch.Step, stage *Stage, hosts candidates, permitted func(*Host) bool, now time.Time,
) {
	for i := range stage.Tasks {
		if stage.Tasks[i].Status != Idle || !s.mayStart(&stage.Tasks[i]) {
			return
		}
	}
	chosen := s.placeGang(step, stage, hosts, permitted)
	if chosen == nil {
		s.reserveHost(d, step, hosts, now)
		return
	}
	var run int64
	checkpoint := ""
	for i := range stage.Tasks {
		run = max(run, s.nextRun(&stage.Tasks[i]))
		if stage.Tasks[i].Checkpoint != "" {
			checkpoint = stage.Tasks[i].Checkpoint
		}
	}
	for i := range stage.Tasks {
		task := &stage.Tasks[i]
		task.Checkpoint = checkpoint
		ref := batch.Ref{Job: d.Job.ID, Occurrence: d.Occurrence, Step: d.Step, Index: i}
		s.startTask(d.Job, ref, stage, task, &hosts[chosen[i]], run, now)
	}
}

// placeGang chooses a host for each member, on one rack if the step asks for it and it is
// possible. It returns nil when the members do not all fit.
func (s *State) placeGang(step *batch.Step, stage *Stage, hosts candidates, permitted func(*Host) bool) []int {
	if step.SameRack {
		racks := map[place.Rack]bool{}
		for k := range hosts {
			if !racks[hosts[k].rack] {
				racks[hosts[k].rack] = true
				if chosen := s.placeMembers(step, stage, hosts, permitted, &hosts[k].rack); chosen != nil {
					return chosen
				}
			}
		}
	}
	return s.placeMembers(step, stage, hosts, permitted, nil)
}

// placeMembers chooses a host for each member, on one rack if it is given.
func (s *State) placeMembers(
	step *batch.Step, stage *Stage, hosts candidates, permitted func(*Host) bool, rack *place.Rack,
) []int {
	free := make([]batch.Size, len(hosts))
	taken := make([]int, len(hosts))
	for k := range hosts {
		free[k] = hosts[k].free
	}
	need := step.Reservation()
	chosen := make([]int, 0, len(stage.Tasks))
	for range stage.Tasks {
		best := -1
		for k := range hosts {
			c := &hosts[k]
			if c.reserved || !free[k].Fits(need) || (permitted != nil && !permitted(c.host)) || (rack != nil && c.rack != *rack) ||
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
