package shard

import (
	"math"
	"slices"
	"time"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/clamp"
)

// Limits bounds the starts of one round of planning. What is beyond a limit stays idle and is ranked
// anew in the next round.
type Limits struct {
	// Starts is the number of starts that may be ordered. A gang is ordered whole if any start is
	// left.
	Starts int
	// StartsPerHost is the number of starts of a host that may be unanswered. A gang may exceed it.
	StartsPerHost int
}

// NoLimits allows any number of starts.
var NoLimits = Limits{Starts: math.MaxInt, StartsPerHost: math.MaxInt}

// Plan is [PlanWithin] without limits.
func Plan[R Ranking](s *State, ranking R, now time.Time, wall int64) {
	PlanWithin(s, ranking, NoLimits, now, wall)
}

// PlanWithin opens the occurrences that are due and orders the starts that are possible now, within
// the limits. The argument wall is the time of day in milliseconds since 1970.
//
// Steps go in the order of the ranking. Those that can neither start nor reserve a host are left
// out, and planning ends once no host has room for any of the others or the limit is reached. The time
// that a round takes depends on the hosts, on the steps that start or reserve a host and on what has
// changed since the last round, but hardly on the number of steps that wait.
func PlanWithin[R Ranking](s *State, ranking R, limits Limits, now time.Time, wall int64) {
	s.openDue(wall)
	s.countVanished(now)
	s.reserved = 0
	s.updateTurns(now)
	if len(s.backlog.steps) == 0 {
		s.Overloaded = false
		return
	}
	if limits.Starts <= 0 {
		return
	}
	s.updateQueues()
	for _, late := range [...]bool{false, true} {
		s.backlog.keep(s.levelOf(orderingOf(ranking)), late, ranking.SortKey(late))
	}
	s.backlog.advance(now.Sub(s.backlog.origin))
	s.updateBudgets(now)
	hosts := s.candidates(now)
	s.limitReservations(len(hosts))
	prior := s.priorHosts(now)
	s.updateOverloaded(hosts, prior)
	s.limitHeld(len(hosts), now)
	planOn(s, ranking, hostSet{hosts: hosts}, &limits, prior, now)
	if s.backlog.longRunningTasks > 0 && limits.Starts > 0 {
		if others := s.lastResorts(lastingWork, now); len(others) > 0 {
			// Waiting costs long-running work more than a host that fails its work now and then, or another move.
			s.backlog.advance(now.Sub(s.backlog.origin))
			planOn(s, ranking, hostSet{hosts: others, preferred: hosts, longRunningOnly: true}, &limits, prior, now)
		}
	}
	if limits.Starts > 0 {
		startStarved(s, ranking, hosts, &limits, prior, now)
	}
	if limits.Starts > 0 {
		s.probe(hosts, prior, now)
	}
}

// hostSet is the hosts of one pass through the waiting steps.
type hostSet struct {
	hosts candidates
	// preferred holds the hosts that a task takes or waits for if they admit it; then it gets none of hosts.
	preferred candidates
	// longRunningOnly reports whether only long-running tasks that are in no gang may start. No host is reserved
	// then, since no other work could take it.
	longRunningOnly bool
	// starvedFor is how long nothing of a late job has to run for one task of it to start, and 0 if any task may
	// start. If it is set, no host is reserved.
	starvedFor time.Duration
}

// takes reports whether tasks of a step may start on the hosts.
func (set *hostSet) takes(w *waitingStep) bool {
	if w.step.Gang && (set.longRunningOnly || len(set.preferred) > 0) {
		return false
	}
	return set.starvedFor == 0 || (w.job.assigned == 0 && w.demand.Idle > set.starvedFor)
}

// planOn orders the starts that are possible on some hosts.
func planOn[R Ranking](s *State, ranking R, set hostSet, limits *Limits, prior priorHosts, now time.Time) {
	least := s.backlog.leastNeed()
	roomy := set.hosts.withRoom(least)
	roomy.markBusy(limits.StartsPerHost)
	if roomy.allBusy() {
		return
	}
	steps := newSelection(s, ranking, set, roomy, prior, now)
	defer steps.close()
	for w := steps.next(); w != nil; w = steps.next() {
		if !set.takes(w) || !s.startTasks(w, set, roomy, limits, now) {
			continue
		}
		roomy = roomy.withRoom(least)
		if limits.Starts <= 0 || roomy.allBusy() {
			return
		}
		steps.update(roomy)
	}
}

// dueAt returns when an occurrence may start, in milliseconds since 1970.
func (j *Job) dueAt(occurrence int) int64 {
	return clamp.Add(j.Spec.FirstDueMS, int64(occurrence)*j.Spec.Interval.Milliseconds())
}

// NextDue returns when the next occurrence has to be opened, in milliseconds since 1970, or 0
// when there is none.
func (s *State) NextDue() int64 {
	var next int64
	for _, j := range s.backlog.unopened {
		if len(j.Occurrences) < j.Spec.Repetitions {
			if d := j.nextDue(); next == 0 || d < next {
				next = d
			}
		}
	}
	return next
}

// startTasks orders the start of as many tasks of a step as fit. All hosts with room have to be in
// roomy. It reports whether it has started a task or reserved a host.
func (s *State) startTasks(w *waitingStep, set hostSet, roomy candidates, limits *Limits, now time.Time) bool {
	step, stage, hosts := w.step, w.stage, set.hosts
	stage.expand()
	permitted := s.permitFilter(w.ref(), now)
	if step.Gang {
		return s.startGang(w, set, roomy, permitted, limits, now)
	}
	changed, suspectWaits := false, false
	for i := range stage.Tasks {
		if limits.Starts <= 0 {
			break
		}
		task := &stage.Tasks[i]
		if task.Status != Idle || task.closed() || !s.mayStart(task) {
			continue
		}
		if !w.demand.Tenant.admits(step.Need) {
			w.deny()
			break
		}
		if len(set.preferred) > 0 && s.pickHost(step, stage, task, set.preferred, permitted, now) != nil {
			continue
		}
		var host *candidate
		if s.mayHaveTicket(w) {
			host = s.pickHost(step, stage, task, roomy, s.lastAttemptFilter(w, task, set, permitted, now), now)
		}
		if host == nil && (set.longRunningOnly || set.starvedFor > 0) {
			continue
		}
		if host == nil && task.Crashes.Hosts > 0 {
			// The other tasks of the step may run on hosts on which this one may not.
			if task.Crashes.Isolated {
				changed = s.reserveIsolated(w, hosts) || changed
			} else {
				suspectWaits = true
			}
			continue
		}
		if host == nil {
			return s.reserveHosts(w, hosts) || changed
		}
		if host.busy {
			break
		}
		ref := w.ref()
		ref.Index = i
		s.startTask(w.job, ref, stage, task, host, s.nextRun(task), limits, now)
		changed = true
		if set.starvedFor > 0 {
			break
		}
	}
	if suspectWaits && s.reserveHost(w, hosts) {
		changed = true
	}
	return changed
}

// nextRun returns a run number above all that any owner has given to the task.
func (s *State) nextRun(task *Task) int64 { return max(task.Run, (s.Epoch-1)*runsPerEpoch) + 1 }

// startTask assigns a task to a host and orders its start.
func (s *State) startTask(
	j *Job, ref batch.Ref, stage *Stage, task *Task, c *candidate, run int64, limits *Limits, now time.Time,
) {
	step := &j.Spec.Steps[ref.Step]
	task.Status, task.Host, task.Run = Starting, c.host.ID, run
	task.OrderedAt, task.StartClock, task.ThrottlePercent, task.Percent, task.Load = now, 0, 100, 0, 0
	task.LostAt, task.Meter = time.Time{}, SpeedMeter{}
	task.late = stage.waiting != nil && stage.waiting.lateness != inTime
	if !task.late && !step.LongRunning {
		s.countBegun(j, now)
	}
	s.chargeStart(j, step, task, now)
	stage.idle--
	s.backlog.update(j, ref.Occurrence, ref.Step)
	s.neighbors.now = now
	reason := s.startReason(step, c.host)
	s.observeStart(step, task, c.host, now)
	s.assign(c.host, ref, task)
	c.free = c.free.Sub(step.Reservation())
	s.recordPlacement(c, task)
	j.lastStart = now.Sub(s.backlog.origin)
	// The next owner has to know that the run began, since it cannot tell a crash from a task that waits.
	s.markTaskDirty(j, ref)
	limits.Starts--
	c.unanswered++
	c.busy = c.unanswered >= limits.StartsPerHost
	s.orders = append(s.orders, Order{
		Kind: OrderStart, Host: c.host.ID, Ref: ref, Run: run, Specification: j.Spec.Text, Checkpoint: task.Checkpoint,
		Ticket: s.ticket(ref, c.host.ID), AfterWrite: task.Crashes.Isolated, Reason: reason,
	})
}

// The weights of the placement cost, in thousandths of a core of capacity left over.
const (
	// rackWeight keeps work near its data where there is room.
	rackWeight = 1 << 20
	// avoidWeight keeps work off the host where it last failed.
	avoidWeight = 1 << 24
	// isolatedWeight keeps long-running work that waits no longer off hosts that are kept for suspects.
	isolatedWeight = 1 << 25
	// displaceWeight keeps long-running work off hosts where it takes the room that is reserved for other work.
	displaceWeight = 1 << 26
	// spreadWeight spreads the long-running tasks of one step over hosts.
	spreadWeight = 1 << 16
	// longRunningWeight keeps best-effort work off hosts with long-running tasks, and spreads
	// long-running tasks.
	longRunningWeight = 1 << 18
	// busyWeight keeps work off busy hosts. It is below rackWeight, so work waits for a busy host
	// rather than start away from its data.
	busyWeight = 1 << 19
)

// pickHost chooses a host for a task among the permitted ones, and returns nil when none fits. All
// hosts are permitted when the filter is nil. Long-running work is spread, other work is packed.
func (s *State) pickHost(
	step *batch.Step, stage *Stage, task *Task, hosts candidates, permitted func(*Host) bool, now time.Time,
) *candidate {
	var best *candidate
	var bestCost int64
	need := step.Reservation()
	for _, c := range hosts {
		if !c.available(step.LongRunning).Fits(need) || (c.reserved && !step.LongRunning) || (permitted != nil && !permitted(c.host)) {
			continue
		}
		if step.RequiredLabel != "" && !HasLabel(&c.host.Host, step.RequiredLabel) {
			continue
		}
		if step.PerHost > 0 && tasksOnHost(stage, c.host.ID) >= step.PerHost {
			continue
		}
		if len(s.suspects) > 0 && !s.admits(c, step, stage, task, now) {
			continue
		}
		if cost := s.placementCost(step, stage, task, c); best == nil || cost < bestCost {
			best, bestCost = c, cost
		}
	}
	return best
}

// placementCost returns a cost that is lower for hosts that suit a task better.
func (s *State) placementCost(step *batch.Step, stage *Stage, task *Task, c *candidate) int64 {
	left := c.free.Sub(step.Reservation())
	cost := left.MilliCores
	if step.DataRack != "" && c.host.Rack != step.DataRack {
		cost += rackWeight
	}
	if task.AvoidHost == c.host.ID {
		cost += avoidWeight
	}
	switch {
	case step.BestEffort:
		cost = longRunningWeight*int64(c.host.longRunning) - left.MilliCores
	case step.LongRunning:
		cost += spreadWeight * int64(tasksOnHost(stage, c.host.ID))
		cost += int64(c.host.longRunning) * longRunningWeight
		cost -= 2 * left.MilliCores
	}
	cost += s.neighborCost(step, c.host)
	if c.busy {
		cost += busyWeight
	}
	if c.isolated {
		cost += isolatedWeight
	}
	if c.displaces(step.Reservation()) {
		cost += displaceWeight
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

// reserveHost reserves the host with the most free capacity for a step that does not fit, so that
// smaller steps do not starve it. Hosts that could not run the step even when all work that ends has ended
// are left out, and so is a gang for which all hosts together could not. It reports whether it has reserved a host.
func (s *State) reserveHost(w *waitingStep, hosts candidates) bool {
	if !s.reservesFor(w) || (!w.step.LongRunning && s.reservations >= s.reservationsFor(w.demand.holdsRoom())) || (w.step.Gang && !s.gangCouldFit(w, hosts)) {
		return false
	}
	var best *candidate
	for _, c := range hosts {
		if c.reserved || !c.host.Capacity.Sub(c.host.longRunningUsed).Fits(w.need) || !w.hasLabel(c.host) {
			continue
		}
		if (best == nil || c.free.MilliCores > best.free.MilliCores) && s.mayUse(w, c.host) {
			best = c
		}
	}
	if best == nil {
		return false
	}
	best.reserve(w.need)
	s.reserved++
	s.reservations += count(!w.step.LongRunning)
	return true
}

// limitReservations sets how many hosts a round of planning may reserve for steps that end.
func (s *State) limitReservations(hosts int) {
	s.reservations, s.maxReservations = 0, hosts
	if share := s.Timing.MaxReservedShare; share > 0 {
		s.maxReservations = max(int(share*float64(hosts)), 1)
	}
}

// gangCouldFit reports whether all members of a gang would fit on some hosts if all work that ends had
// ended there.
func (s *State) gangCouldFit(w *waitingStep, hosts candidates) bool {
	members := int64(len(w.stage.Tasks))
	for _, c := range hosts {
		if !w.hasLabel(c.host) || !s.mayUse(w, c.host) {
			continue
		}
		fitting := min(timesFits(c.host.Capacity.Sub(c.host.longRunningUsed), w.need), members)
		if w.step.PerHost > 0 {
			fitting = min(fitting, int64(w.step.PerHost))
		}
		if members -= fitting; members <= 0 {
			return true
		}
	}
	return false
}

// timesFits returns how often a need fits into a size.
func timesFits(size, need batch.Size) int64 {
	times := int64(math.MaxInt64)
	for _, d := range [...]struct{ size, need int64 }{
		{size.MilliCores, need.MilliCores}, {size.MemoryMB, need.MemoryMB}, {size.Accelerators, need.Accelerators},
	} {
		if d.need > 0 {
			times = min(times, max(d.size, 0)/d.need)
		}
	}
	return times
}

// mayUse reports whether a step may have one more task on a host if there is room.
func (s *State) mayUse(w *waitingStep, h *Host) bool {
	if w.step.PerHost > 0 && tasksOnHost(w.stage, h.ID) >= w.step.PerHost {
		return false
	}
	return !w.queue.needsTicket || !s.permits[w.ref()].denies(h)
}

// fitsOn reports whether one of some hosts has room for a task of the step.
func (w *waitingStep) fitsOn(hosts candidates) bool {
	return slices.ContainsFunc(hosts, func(c *candidate) bool { return c.free.Fits(w.need) && w.hasLabel(c.host) })
}

// reserves reports whether a host is reserved for a step that does not fit.
func (w *waitingStep) reserves() bool {
	return w.demand.LongRunning || w.demand.Age >= reserveAfter
}

// reserveAfter is how long after its acceptance a job waits before a host is reserved for its work.
// Long-running work does not wait.
const reserveAfter = 2 * time.Second
