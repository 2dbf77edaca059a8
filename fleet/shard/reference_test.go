package shard

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/grade"
	"carawaymux.dev/fleet/place"
	"carawaymux.dev/fleet/sizing"
)

// The functions in this file plan without indexes or counters: each round looks at all hosts and
// all that waits. [Plan] has to make the same decisions.

// cloneState returns a deep copy of what the decisions read, without indexes.
func cloneState(s *State) *State {
	out := New(s.Pool, s.Epoch, s.Timing, s.ClaimedAt)
	out.ConfirmedAt, out.EnforcesCapacity, out.Overloaded = s.ConfirmedAt, s.EnforcesCapacity, s.Overloaded
	out.HasPolicyService, out.needsAdvice, out.latestLost = s.HasPolicyService, s.needsAdvice, s.latestLost
	out.Queues, out.durationRatios = maps.Clone(s.Queues), s.durationRatios
	out.backlog.weights, out.backlog.leastWeight, out.turns = s.backlog.weights, s.backlog.leastWeight, s.turns
	for name, use := range s.backlog.tenants {
		out.backlog.tenants[name] = &TenantUse{Name: name, Running: use.Running, Account: use.Account, rank: use.rank}
	}
	for id, j := range s.Jobs {
		copied := *j
		copied.tenant = nil
		copied.Occurrences = slices.Clone(j.Occurrences)
		for oi := range copied.Occurrences {
			occ := &copied.Occurrences[oi]
			occ.Stages = slices.Clone(occ.Stages)
			for si := range occ.Stages {
				occ.Stages[si].Tasks = slices.Clone(occ.Stages[si].Tasks)
				occ.Stages[si].expand()
			}
		}
		out.Jobs[id] = &copied
		if s.openJobs[id] == j {
			out.openJobs[id] = &copied
		}
	}
	for id, h := range s.Hosts {
		copied := *h
		copied.Assigned = map[batch.Ref]*Task{}
		for r := range h.Assigned {
			_, _, copied.Assigned[r] = out.task(r)
		}
		out.Hosts[id] = &copied
	}
	for r := range s.suspects {
		_, _, out.suspects[r] = out.task(r)
	}
	out.othersWaitedAt = s.othersWaitedAt
	for name, q := range s.sizes {
		out.sizes[name] = &queueSizes{tally: q.tally}
	}
	for r, p := range s.permits {
		copied := *p
		copied.denied, copied.tickets, copied.instances = maps.Clone(p.denied), maps.Clone(p.tickets), maps.Clone(p.instances)
		out.permits[r] = &copied
	}
	return out
}

func referencePlan(s *State, compare compareDemands, now time.Time, wall int64) {
	referenceOpenDue(s, wall)
	referenceUpdateTurns(s, now)
	demands := referenceDemands(s, now)
	if len(demands) == 0 {
		s.Overloaded = false
		return
	}
	hosts := referenceCandidates(s, now)
	referenceUpdateOverloaded(s, demands, hosts)
	referenceLose(s, now)
	// A start may change the order of the others.
	for i := range demands {
		first := i
		for k := i + 1; k < len(demands); k++ {
			if compare(&demands[k], &demands[first], now) < 0 {
				first = k
			}
		}
		demands[i], demands[first] = demands[first], demands[i]
		hosts.startTasks(s, &demands[i], now, nil, false)
	}
	lastResorts := referenceLastResorts(s, now)
	for i := range demands {
		if step := &demands[i].Job.Spec.Steps[demands[i].Step]; step.LongRunning && !step.Gang {
			lastResorts.startTasks(s, &demands[i], now, &hosts, false)
		}
	}
	referenceStartStarved(s, demands, hosts, now)
	referenceProbe(s, hosts, now)
}

// referenceProbe opens the first host that was closed for failures two seconds ago or more, while nothing has succeeded
// since on the hosts that were planned on, if something waits that has room there and on none of these.
func referenceProbe(s *State, hosts referenceHosts, now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(s.Hosts)) {
		h := s.Hosts[id]
		healthy := *h
		healthy.UnhealthyUntil = time.Time{}
		if len(h.Assigned) > 0 && h.blocked && now.After(h.CalledEmptyUntil) && now.Sub(h.CordonedAt) > 2*time.Second {
			healthy.CordonedUntil = time.Time{}
		}
		closed := h.UnhealthyUntil == h.failingUntil && now.Before(h.UnhealthyUntil) && now.Sub(h.failingSince) >= 2*time.Second
		if !closed || !s.Schedulable(&healthy, now) || !referenceWaitsFor(s, h, hosts, now) {
			continue
		}
		if !slices.ContainsFunc(hosts, func(c referenceHost) bool { return c.host.lastSuccess.After(h.failingSince) }) {
			h.UnhealthyUntil = time.Time{}
			return
		}
	}
}

// referenceWaitsFor reports whether a step waits that has room on a host and on none of others, or that may need the host
// beside others.
func referenceWaitsFor(s *State, h *Host, others referenceHosts, now time.Time) bool {
	hasRoom := func(host *Host, free batch.Size, step *batch.Step) bool {
		return free.Fits(step.Reservation()) && (step.RequiredLabel == "" || HasLabel(&host.Host, step.RequiredLabel))
	}
	used, _ := referenceUsed(s, h)
	for _, d := range referenceDemands(s, now) {
		step := &d.Job.Spec.Steps[d.Step]
		elsewhere := slices.ContainsFunc(others, func(c referenceHost) bool { return hasRoom(c.host, c.free, step) })
		if hasRoom(h, h.Capacity.Sub(used), step) && (step.Gang || step.PerHost > 0 || !elsewhere) {
			return true
		}
	}
	return false
}

func referenceOpenDue(s *State, wall int64) {
	for _, j := range s.openJobs {
		if j.Spec.Repetitions == 0 {
			if len(j.Occurrences) == 0 {
				referenceOpenOccurrence(j)
			}
			continue
		}
		for len(j.Occurrences) < j.Spec.Repetitions && j.dueAt(len(j.Occurrences)) <= wall {
			referenceOpenOccurrence(j)
		}
	}
}

func referenceOpenOccurrence(j *Job) {
	occ := Occurrence{Stages: make([]Stage, len(j.Spec.Steps)), Left: len(j.Spec.Steps)}
	for i := range occ.Stages {
		count := j.Spec.Steps[i].Count
		occ.Stages[i] = Stage{Tasks: make([]Task, count), count: count, Left: count, idle: count}
	}
	j.Occurrences = append(j.Occurrences, occ)
}

type referenceDemand struct {
	Job           *Job
	Occurrence    int
	Step          int
	LongRunning   bool
	Priority      int
	Objective     time.Time
	CriticalPath  time.Duration
	RemainingWork int64
	// ClaimedAt is when the pool was claimed.
	ClaimedAt time.Time
	// Begun reports whether work of the job that ends was started in time before this round.
	Begun bool
	Tally *grade.Tally
	// Finish is as in the job before this round.
	Finish bool
	Tenant *TenantUse
}

func (d *referenceDemand) slack(now time.Time) time.Duration {
	return d.Objective.Sub(now) - d.CriticalPath
}

type compareDemands func(a, b *referenceDemand, now time.Time) int

func referenceBySlack(a, b *referenceDemand, now time.Time) int {
	if a.LongRunning != b.LongRunning {
		return firstIf(a.LongRunning)
	}
	lateA, lateB := a.slack(now) < 0, b.slack(now) < 0
	if lateA != lateB {
		return firstIf(lateB)
	}
	if c := cmp.Compare(a.Priority, b.Priority); c != 0 && !lateA {
		return c
	}
	if !lateA {
		if c := cmp.Compare(a.slack(now), b.slack(now)); c != 0 {
			return c
		}
	}
	return referenceByAge(a, b, now)
}

func referenceByRemainingWork(a, b *referenceDemand, now time.Time) int {
	lateA, lateB := a.slack(now) < 0, b.slack(now) < 0
	if a.LongRunning != b.LongRunning || lateA != lateB || lateA || a.Priority != b.Priority || a.RemainingWork == b.RemainingWork {
		return referenceBySlack(a, b, now)
	}
	return cmp.Compare(a.RemainingWork, b.RemainingWork)
}

// referenceSizeShare puts what was begun of large jobs first, if less than nine tenths as many of their size as of all
// jobs were begun and not lost, and then those of a size of which less than seven tenths as
// many as of all jobs were begun and not lost, while the pool is overloaded.
func referenceSizeShare(compare compareDemands, overloaded bool) compareDemands {
	turn := func(d *referenceDemand) int {
		switch {
		case d.Job.Size == grade.Rest:
			return 2
		case d.Begun && d.Tally.Behind(d.Job.Size, 0.9):
			return 0
		case d.Tally.Behind(d.Job.Size, 0.7):
			return 1
		}
		return 2
	}
	return func(a, b *referenceDemand, now time.Time) int {
		ends := !a.LongRunning && !b.LongRunning && a.slack(now) >= 0 && b.slack(now) >= 0
		if overloaded && ends && a.Priority == b.Priority && turn(a) != turn(b) {
			return cmp.Compare(turn(a), turn(b))
		}
		return compare(a, b, now)
	}
}

// referenceTenantShare puts what is owed before the rest, what was begun before the rest, and then the tenants that have used
// the least for their weight, among work of one priority that ends, or that is late.
func referenceTenantShare(compare compareDemands, active bool) compareDemands {
	return func(a, b *referenceDemand, now time.Time) int {
		lateA, lateB := a.slack(now) < 0, b.slack(now) < 0
		if !active || a.LongRunning || b.LongRunning || lateA != lateB || (!lateA && a.Priority != b.Priority) {
			return compare(a, b, now)
		}
		switch {
		case a.Job.excess != b.Job.excess:
			return firstIf(b.Job.excess)
		case !lateA && a.Finish != b.Finish:
			return firstIf(a.Finish)
		case a.Tenant.rank != b.Tenant.rank:
			return firstIf(a.Tenant.rank < b.Tenant.rank)
		}
		return compare(a, b, now)
	}
}

// referenceHolds reports whether hosts are reserved at once for a step.
func referenceHolds(s *State, d *referenceDemand, now time.Time) bool {
	return s.heldHosts > 0 && !d.LongRunning && d.slack(now) >= 0 && !d.Job.excess
}

// referenceLose counts the jobs that were begun in time and of which a step that waits is late.
func referenceLose(s *State, now time.Time) {
	for _, j := range s.openJobs {
		for oi := range j.Occurrences {
			for si := range j.Occurrences[oi].Stages {
				waits := j.Stored && j.Occurrences[oi].Stages[si].idle > 0 && j.Occurrences[oi].ready(&j.Spec, si)
				if waits && j.counted && j.begun && !j.lost && referenceIsLate(s, j, oi, si, now) {
					j.lost = true
					s.sizesOf(j.Spec.Queue).tally.Lose(j.Size, j.begunAt, now)
				}
			}
		}
	}
}

// referenceIsLate reports whether a step can no longer meet its objective.
func referenceIsLate(s *State, j *Job, occurrence, step int, now time.Time) bool {
	objective := j.Objective
	if j.Spec.Repetitions > 0 {
		objective = objective.Add(time.Duration(j.dueAt(occurrence)-j.Spec.AcceptedMS) * time.Millisecond)
	}
	path := time.Duration(float64(referenceCriticalPath(&j.Spec, step)) * s.durationRatios[j.Spec.Queue].median())
	return objective.Sub(now)-path < 0
}

// referenceStarvedFirst puts the late jobs of which nothing has run for a second before the other late ones while
// there is spare capacity.
func referenceStarvedFirst(compare compareDemands, spare bool) compareDemands {
	return func(a, b *referenceDemand, now time.Time) int {
		if spare && a.LongRunning == b.LongRunning && a.slack(now) < 0 && b.slack(now) < 0 && a.starved(now) != b.starved(now) {
			return firstIf(a.starved(now))
		}
		return compare(a, b, now)
	}
}

// referenceByAge leaves no order open, unlike [ByAge], since the result would depend on the sort.
func referenceByAge(a, b *referenceDemand, _ time.Time) int {
	return cmp.Or(a.Job.AcceptedAt.Compare(b.Job.AcceptedAt), cmp.Compare(a.Job.ID, b.Job.ID),
		cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step))
}

// referencePriorHosts returns the hosts that inherited tasks with a label have to wait for.
func referencePriorHosts(s *State, label string, longRunning bool, now time.Time) []string {
	var out []string
	for id, h := range s.Hosts {
		if !h.Stored || s.leaseExpired(h, now) {
			continue
		}
		couldRun := label == "" || slices.Contains(h.Labels, label) || h.Born == 0 || h.Born != h.Instance
		if !h.Confirmed || (!h.EndsListed && h.EndedAt.IsZero() && !longRunning && couldRun) {
			out = append(out, id)
		}
	}
	return out
}

func referenceNeedsConfirmation(s *State) bool {
	if !s.latestLost.IsZero() && !s.ConfirmedAt.After(s.latestLost) {
		return true
	}
	for _, h := range s.Hosts {
		if h.Listed && h.Confirmed && !s.ConfirmedAt.After(h.FirstAnswer) {
			return true
		}
	}
	return false
}

func referenceNeedsFlush(s *State) bool {
	for _, j := range s.dirty {
		if j.Phase != j.StoredPhase {
			return true
		}
	}
	return false
}

func referenceRetryStops(s *State, now time.Time) []Order {
	var out []Order
	for id, h := range s.Hosts {
		for ref, task := range h.Assigned {
			if (task.Status == Uncertain || task.Status == Stopping) && !task.RetryStopAt.IsZero() && now.After(task.RetryStopAt) {
				out = append(out, Order{Kind: OrderStop, Host: id, Ref: ref, Run: task.Run, Reason: "earlier stop not answered"})
			}
		}
	}
	return out
}

func referenceMedianSpeed(s *State, now time.Time) float64 {
	var speeds []float64
	for _, h := range s.Hosts {
		if now.Sub(h.SpeedMeasuredAt) < speedMaxAge {
			speeds = append(speeds, h.Speed)
		}
	}
	if len(speeds) < minSpeeds {
		return 0
	}
	slices.Sort(speeds)
	return speeds[len(speeds)/2]
}

func referenceDemands(s *State, now time.Time) []referenceDemand {
	var out []referenceDemand
	for _, j := range s.openJobs {
		if !j.Stored {
			continue
		}
		q := s.Queues[j.Spec.Queue]
		scale := s.durationRatios[j.Spec.Queue].median()
		for oi := range j.Occurrences {
			occ := &j.Occurrences[oi]
			if occ.Left == 0 {
				continue
			}
			work := referenceWorkLeft(&j.Spec, occ, scale)
			for si := range occ.Stages {
				if occ.Stages[si].idle <= 0 || !occ.ready(&j.Spec, si) {
					continue
				}
				if step := &j.Spec.Steps[si]; j.Inherited && len(referencePriorHosts(s, step.RequiredLabel, step.LongRunning, now)) > 0 {
					continue
				}
				path := time.Duration(float64(referenceCriticalPath(&j.Spec, si)) * scale)
				d := referenceDemand{
					Job: j, Occurrence: oi, Step: si, LongRunning: j.Spec.Steps[si].LongRunning, Priority: q.Priority,
					Objective: j.Objective, CriticalPath: path, RemainingWork: work, ClaimedAt: s.ClaimedAt,
					Begun: j.begun, Tally: &s.sizesOf(j.Spec.Queue).tally, Finish: j.finish, Tenant: s.backlog.tenant(j),
				}
				if j.Spec.Repetitions > 0 {
					offset := time.Duration(j.dueAt(oi)-j.Spec.AcceptedMS) * time.Millisecond
					d.Objective = d.Objective.Add(offset)
				}
				out = append(out, d)
			}
		}
	}
	return out
}

func referenceWorkLeft(spec *batch.Spec, occ *Occurrence, scale float64) int64 {
	var sum int64
	for si := range occ.Stages {
		sum += estimatedWork(&spec.Steps[si], occ.Stages[si].Left)
	}
	return int64(float64(sum) * scale)
}

func referenceCriticalPath(spec *batch.Spec, step int) time.Duration {
	var next time.Duration
	for later := step + 1; later < len(spec.Steps); later++ {
		if slices.Contains(spec.Steps[later].After, step) {
			next = max(next, referenceCriticalPath(spec, later))
		}
	}
	return spec.Steps[step].Estimate + next
}

func referenceUpdateTurns(s *State, now time.Time) {
	if !s.HasTenants() || now.Sub(s.turns.at) < 100*time.Millisecond {
		return
	}
	wants, weights, all := map[*TenantUse]float64{}, 0.0, 0.0
	for _, u := range s.backlog.tenants {
		wants[u] = u.Account.Use(now)
	}
	for _, j := range s.openJobs {
		for oi := range j.Occurrences {
			for si := range j.Occurrences[oi].Stages {
				step, stage := &j.Spec.Steps[si], &j.Occurrences[oi].Stages[si]
				if j.Stored && !step.LongRunning && j.Occurrences[oi].ready(&j.Spec, si) {
					wants[s.backlog.tenant(j)] += float64(estimatedWork(step, stage.idle)) / 1e6
				}
			}
		}
	}
	for u, w := range wants {
		if w > 0 {
			weights, all = weights+u.Account.Weight(), all+w
		}
	}
	s.turns = turnsOfTenants{at: now}
	for u, w := range wants {
		s.turns.due = s.turns.due || (w > all/10 && w*weights > 1.5*all*u.Account.Weight())
	}
}

func referenceUpdateOverloaded(s *State, demands []referenceDemand, hosts referenceHosts) {
	var waiting, capacity int64
	estimated := map[string]int64{}
	for i := range demands {
		d := &demands[i]
		if !d.LongRunning {
			estimated[d.Job.Spec.Queue] += estimatedWork(&d.Job.Spec.Steps[d.Step], d.Job.Occurrences[d.Occurrence].Stages[d.Step].idle)
		}
	}
	for queue, work := range estimated {
		waiting += referenceScaled(s, queue, work)
	}
	for i := range hosts {
		capacity += hosts[i].host.Capacity.MilliCores
	}
	s.capacity, s.Overloaded = capacity, waiting > int64(float64(capacity)*overloadThreshold.Seconds())
	s.heldHosts = 0
	if s.Overloaded && s.HasTenants() && s.turns.due {
		s.heldHosts = max(len(hosts)/2, 1)
	}
}

type referenceHost struct {
	host        *Host
	rack        place.Rack
	free        batch.Size
	reserved    bool
	reservedFor batch.Size
	longRunning int
	// isolated, apart, suspects and unsettled are as in isolation. reservedToIsolate is set if the host is reserved for
	// a task that runs apart.
	isolated, apart, reservedToIsolate bool
	// reservedToEnd is set if the host is reserved for a step that ends.
	reservedToEnd bool
	// newlyIsolated is set if a task that runs apart was started there. pool is nil unless other hosts bound the hosts that
	// are kept for such tasks.
	newlyIsolated bool
	pool          referenceHosts
	// forStarved is set while the hosts take work of late jobs of which nothing runs.
	forStarved bool
	// closed is set while work goes to others of the hosts.
	closed              bool
	suspects, unsettled int
	// othersWait reports whether a task that does not have to run apart waited when this round or one of the last
	// second began.
	othersWait bool
}

type referenceHosts []referenceHost

func referenceUsed(s *State, h *Host) (used batch.Size, longRunning int) {
	for r := range h.Assigned {
		if j := s.Jobs[r.Job]; j != nil {
			used = used.Add(j.Spec.Steps[r.Step].Reservation())
			if j.Spec.Steps[r.Step].LongRunning {
				longRunning++
			}
		}
	}
	return used, longRunning
}

// referenceLongRunning returns what the long-running tasks of a host take.
func referenceLongRunning(s *State, h *Host) batch.Size {
	var used batch.Size
	for r := range h.Assigned {
		if step := s.step(r); step != nil && step.LongRunning {
			used = used.Add(step.Reservation())
		}
	}
	return used
}

func referenceCandidates(s *State, now time.Time) referenceHosts {
	out := referenceHostsWhere(s, now, func(h *Host) bool { return s.Schedulable(h, now) })
	for i := range out {
		kept := &out[i].host.kept
		out[i].reserved, out[i].reservedFor = now.Before(kept.until), kept.need
	}
	if referenceOthersWait(s, out) {
		s.othersWaitedAt = now
	}
	for i := range out {
		out[i].othersWait = now.Sub(s.othersWaitedAt) <= idleTime
	}
	return out
}

// referenceLastResorts returns the hosts that could get work if they were not unhealthy, and not being emptied for over
// two seconds without being empty.
func referenceLastResorts(s *State, now time.Time) referenceHosts {
	return referenceHostsWhere(s, now, func(h *Host) bool {
		healthy := *h
		healthy.UnhealthyUntil = time.Time{}
		if len(h.Assigned) > 0 && h.blocked && now.After(h.CalledEmptyUntil) && now.Sub(h.CordonedAt) > 2*time.Second {
			healthy.CordonedUntil = time.Time{}
		}
		return !s.Schedulable(h, now) && s.Schedulable(&healthy, now)
	})
}

func referenceHostsWhere(s *State, now time.Time, wanted func(*Host) bool) referenceHosts {
	var out referenceHosts
	for _, h := range s.Hosts {
		if !wanted(h) {
			continue
		}
		used, longRunning := referenceUsed(s, h)
		c := referenceHost{
			host: h, rack: place.Rack{Zone: h.Zone, Name: h.Rack}, free: h.Capacity.Sub(used), longRunning: longRunning,
		}
		for _, task := range h.Assigned {
			if len(s.suspects) == 0 {
				break
			}
			if task.Status != Running || task.StartClock == 0 || now.Sub(task.OrderedAt) <= settleTime {
				c.unsettled++
			}
			if task.Crashes.Hosts > 0 {
				c.suspects++
			}
			settled := task.Status == Running && task.StartClock > 0 && now.Sub(task.OrderedAt) > settleTime
			c.isolated = c.isolated || (task.Crashes.Isolated && !settled)
			c.apart = c.apart || (task.Crashes.Isolated && task.Crashes.Late >= 2)
		}
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b referenceHost) int { return cmp.Compare(a.host.ID, b.host.ID) })
	return out
}

// referenceOthersWait reports whether a task waits that does not have to run apart and could run on a host.
func referenceOthersWait(s *State, hosts referenceHosts) bool {
	for _, j := range s.openJobs {
		if !j.Stored {
			continue
		}
		for oi := range j.Occurrences {
			occ := &j.Occurrences[oi]
			for si := range occ.Stages {
				for i := range occ.Stages[si].Tasks {
					task := &occ.Stages[si].Tasks[i]
					if task.Status == Idle && !task.closed() && !task.Crashes.Isolated && occ.ready(&j.Spec, si) && hosts.couldRun(&j.Spec.Steps[si]) {
						return true
					}
				}
			}
		}
	}
	return false
}

// couldRun reports whether some host has the capacity and the label that a step needs.
func (hosts referenceHosts) couldRun(step *batch.Step) bool {
	for i := range hosts {
		h := &hosts[i].host.Host
		if h.Capacity.Fits(step.Reservation()) && (step.RequiredLabel == "" || HasLabel(h, step.RequiredLabel)) {
			return true
		}
	}
	return false
}

// startTasks starts the tasks of a step, or one of them. If preferred is not nil, tasks that one of these hosts takes are left
// out. No host is reserved then, nor for one task.
func (hosts referenceHosts) startTasks(s *State, d *referenceDemand, now time.Time, preferred *referenceHosts, one bool) {
	step := &d.Job.Spec.Steps[d.Step]
	stage := &d.Job.Occurrences[d.Occurrence].Stages[d.Step]
	permitted := s.permitFilter(batch.Ref{Job: d.Job.ID, Occurrence: d.Occurrence, Step: d.Step}, now)
	if step.Gang {
		hosts.startGang(s, d, step, stage, permitted, now, one)
		return
	}
	suspectWaits := false
	for i := range stage.Tasks {
		task := &stage.Tasks[i]
		if task.Status != Idle || task.closed() || !s.mayStart(task) {
			continue
		}
		if preferred != nil && preferred.pick(s, step, stage, task, permitted, now) >= 0 {
			continue
		}
		ref := batch.Ref{Job: d.Job.ID, Occurrence: d.Occurrence, Step: d.Step, Index: i}
		k := hosts.pick(s, step, stage, task, permitted, now)
		if k < 0 && (preferred != nil || one) {
			continue
		}
		if k < 0 && task.Crashes.Hosts > 0 {
			if task.Crashes.Isolated {
				hosts.reserveIsolated(s, d, step, stage, now)
			} else {
				suspectWaits = true
			}
			continue
		}
		if k < 0 {
			for range stage.idle {
				if !hosts.reserve(s, d, step, stage, now) || !referenceHolds(s, d, now) {
					break
				}
			}
			return
		}
		hosts[k].start(s, d.Job, ref, stage, task, s.nextRun(task), now)
		if one {
			return
		}
	}
	if suspectWaits {
		hosts.reserve(s, d, step, stage, now)
	}
}

// mayIsolate reports whether a further host may be kept for tasks that run apart.
func (hosts referenceHosts) mayIsolate() bool {
	isolated := 0
	if len(hosts) > 0 && hosts[0].pool != nil {
		for i := range hosts {
			isolated += count(hosts[i].newlyIsolated)
		}
		hosts = hosts[0].pool
	}
	for i := range hosts {
		if hosts[i].isolated || hosts[i].reservedToIsolate {
			isolated++
		}
	}
	limit := len(hosts)
	if len(hosts) > 0 && hosts[0].othersWait && !hosts[0].forStarved {
		limit = max(len(hosts)/4, 1)
	}
	return isolated < limit
}

// admits reports whether crashes of hosts allow a task to run beside the tasks of a host.
func (hosts referenceHosts) admits(s *State, c *referenceHost, step *batch.Step, stage *Stage, task *Task, now time.Time) bool {
	if step.LongRunning && s.hasWaited(stage, task, now) {
		return true
	}
	if c.isolated || (c.apart && !step.LongRunning) {
		return false
	}
	if task.Crashes.Hosts > 0 && !step.LongRunning && !now.After(c.host.CordonedUntil) {
		return false
	}
	if task.Crashes.Isolated && step.LongRunning {
		return c.unsettled == 0
	}
	if task.Crashes.Isolated {
		return c.unsettled == 0 && hosts.mayIsolate()
	}
	return task.Crashes.Hosts == 0 || c.suspects < 8
}

func (hosts referenceHosts) reserveIsolated(s *State, d *referenceDemand, step *batch.Step, stage *Stage, now time.Time) {
	if !hosts.mayIsolate() {
		return
	}
	if !d.LongRunning && now.Sub(d.Job.AcceptedAt) < reserveAfter {
		return
	}
	if k := hosts.reserveBy(s, d, step, stage, now, func(c, best *referenceHost) bool {
		return !c.isolated && (best == nil || c.unsettled < best.unsettled)
	}); k >= 0 {
		hosts[k].reservedToIsolate, hosts[k].reservedFor = true, hosts[k].host.Capacity
	}
}

func (c *referenceHost) start(s *State, j *Job, ref batch.Ref, stage *Stage, task *Task, run int64, now time.Time) {
	step := &j.Spec.Steps[ref.Step]
	if !step.LongRunning && !j.begun && !referenceIsLate(s, j, ref.Occurrence, ref.Step, now) {
		j.begun, j.finish = true, s.finishes(j)
		if j.counted {
			j.begunAt = now
			s.sizesOf(j.Spec.Queue).tally.Begin(j.Size, now)
		}
	}
	task.Status, task.Host, task.Run = Starting, c.host.ID, run
	task.OrderedAt, task.StartClock, task.ThrottlePercent, task.Percent, task.Load = now, 0, 100, 0, 0
	task.LostAt, task.Meter = time.Time{}, SpeedMeter{}
	s.chargeStart(j, step, task, now)
	stage.idle--
	c.host.Assigned[ref] = task
	c.free = c.free.Sub(step.Reservation())
	c.unsettled++
	if task.Crashes.Hosts > 0 {
		c.suspects++
	}
	c.newlyIsolated = c.newlyIsolated || (task.Crashes.Isolated && !c.isolated)
	c.isolated = c.isolated || task.Crashes.Isolated
	if step.LongRunning {
		c.longRunning++
	}
	s.orders = append(s.orders, Order{
		Kind: OrderStart, Host: c.host.ID, Ref: ref, Run: run, Specification: j.Spec.Text, Checkpoint: task.Checkpoint,
		Ticket: s.ticket(ref, c.host.ID), AfterWrite: task.Crashes.Isolated, Reason: "scheduled",
	})
}

func (hosts referenceHosts) pick(s *State, step *batch.Step, stage *Stage, task *Task, permitted func(*Host) bool, now time.Time) int {
	best, bestCost := -1, int64(0)
	need := step.Reservation()
	for k := range hosts {
		c := &hosts[k]
		if c.closed || !c.free.Fits(need) || (permitted != nil && !permitted(c.host)) {
			continue
		}
		if c.reserved && !step.LongRunning {
			continue
		}
		if step.RequiredLabel != "" && !HasLabel(&c.host.Host, step.RequiredLabel) {
			continue
		}
		if step.PerHost > 0 && tasksOnHost(stage, c.host.ID) >= step.PerHost {
			continue
		}
		if !hosts.admits(s, c, step, stage, task, now) {
			continue
		}
		cost := c.cost(step, stage, task)
		if c.reserved && !c.host.Capacity.Sub(referenceLongRunning(s, c.host)).Sub(need).Fits(c.reservedFor) {
			cost += displaceWeight
		}
		if best < 0 || cost < bestCost {
			best, bestCost = k, cost
		}
	}
	return best
}

func (c *referenceHost) cost(step *batch.Step, stage *Stage, task *Task) int64 {
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
	if c.isolated {
		cost += isolatedWeight
	}
	return cost
}

func (hosts referenceHosts) reserve(s *State, d *referenceDemand, step *batch.Step, stage *Stage, now time.Time) bool {
	reserved := 0
	for i := range hosts {
		reserved += count(hosts[i].reservedToEnd)
	}
	limit := max(int(s.Timing.MaxReservedShare*float64(len(hosts))), 1)
	holds := referenceHolds(s, d, now)
	if holds {
		limit = max(limit, s.heldHosts)
	}
	if !step.LongRunning && s.Timing.MaxReservedShare > 0 && reserved >= limit {
		return false
	}
	if !d.LongRunning && !holds && now.Sub(d.Job.AcceptedAt) < reserveAfter {
		return false
	}
	k := hosts.reserveBy(s, d, step, stage, now, func(c, best *referenceHost) bool {
		return best == nil || c.free.MilliCores > best.free.MilliCores
	})
	if k >= 0 {
		hosts[k].reservedToEnd = !step.LongRunning
	}
	return k >= 0
}

// reserveBy reserves a host and returns its index, or -1 if there is none. The function better reports whether a host
// is to be reserved rather than the best one so far, which is nil for the first.
func (hosts referenceHosts) reserveBy(
	s *State, d *referenceDemand, step *batch.Step, stage *Stage, now time.Time, better func(c, best *referenceHost) bool,
) int {
	need := step.Reservation()
	if step.Gang && !hosts.gangCouldFit(s, d, step, stage) {
		return -1
	}
	var best *referenceHost
	chosen := -1
	for k := range hosts {
		c := &hosts[k]
		if c.reserved || !c.host.Capacity.Sub(referenceLongRunning(s, c.host)).Fits(need) || (step.RequiredLabel != "" && !HasLabel(&c.host.Host, step.RequiredLabel)) {
			continue
		}
		if (step.PerHost > 0 && tasksOnHost(stage, c.host.ID) >= step.PerHost) || referenceDenied(s, d, c.host) {
			continue
		}
		if better(c, best) {
			best, chosen = c, k
		}
	}
	if best != nil {
		best.reserved, best.reservedFor = true, need
	}
	return chosen
}

// referenceDenied reports whether the policy service allows no task of a step on a host.
func referenceDenied(s *State, d *referenceDemand, h *Host) bool {
	p := s.permits[batch.Ref{Job: d.Job.ID, Occurrence: d.Occurrence, Step: d.Step}]
	if p == nil || !s.needsTicket(d.Job.Spec.Queue) {
		return false
	}
	instance, denied := p.denied[h.ID]
	return denied && instance == h.Instance
}

// gangCouldFit places the members on hosts that have long-running work only.
func (hosts referenceHosts) gangCouldFit(s *State, d *referenceDemand, step *batch.Step, stage *Stage) bool {
	var emptied referenceHosts
	for _, c := range hosts {
		if !referenceDenied(s, d, c.host) {
			c.free, c.reserved, c.isolated = c.host.Capacity.Sub(referenceLongRunning(s, c.host)), false, false
			emptied = append(emptied, c)
		}
	}
	return emptied.placeMembers(step, stage, nil, nil) != nil
}

func (hosts referenceHosts) startGang(s *State, d *referenceDemand, step *batch.Step, stage *Stage, permitted func(*Host) bool, now time.Time, starved bool) {
	for i := range stage.Tasks {
		if stage.Tasks[i].Status != Idle || !s.mayStart(&stage.Tasks[i]) {
			return
		}
	}
	chosen := hosts.placeGang(step, stage, permitted)
	if chosen == nil {
		if !starved {
			hosts.reserve(s, d, step, stage, now)
		}
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
		hosts[chosen[i]].start(s, d.Job, ref, stage, task, run, now)
	}
}

func (hosts referenceHosts) placeGang(step *batch.Step, stage *Stage, permitted func(*Host) bool) []int {
	avoided := map[string]bool{}
	for i := range stage.Tasks {
		avoided[stage.Tasks[i].AvoidHost] = true
	}
	if chosen := hosts.placeOnRacks(step, stage, func(h *Host) bool { return !avoided[h.ID] && (permitted == nil || permitted(h)) }); chosen != nil {
		return chosen
	}
	return hosts.placeOnRacks(step, stage, permitted)
}

func (hosts referenceHosts) placeOnRacks(step *batch.Step, stage *Stage, permitted func(*Host) bool) []int {
	if step.SameRack {
		racks := map[place.Rack]bool{}
		for k := range hosts {
			if !racks[hosts[k].rack] {
				racks[hosts[k].rack] = true
				if chosen := hosts.placeMembers(step, stage, permitted, &hosts[k].rack); chosen != nil {
					return chosen
				}
			}
		}
	}
	return hosts.placeMembers(step, stage, permitted, nil)
}

func (hosts referenceHosts) placeMembers(step *batch.Step, stage *Stage, permitted func(*Host) bool, rack *place.Rack) []int {
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
			if c.reserved || c.isolated || c.closed || !free[k].Fits(need) || (permitted != nil && !permitted(c.host)) || (rack != nil && c.rack != *rack) ||
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

func referenceNextQuestion(s *State, compare compareDemands, now time.Time) (Question, bool) {
	if !s.HasPolicyService || !s.needsAdvice {
		return Question{}, false
	}
	var wanted []referenceDemand
	for _, d := range referenceDemands(s, now) {
		if s.needsTicket(d.Job.Spec.Queue) {
			wanted = append(wanted, d)
		}
	}
	slices.SortFunc(wanted, func(a, b referenceDemand) int { return compare(&a, &b, now) })
	for i := range wanted {
		if q, ok := referenceQuestionFor(s, &wanted[i], now); ok {
			return q, true
		}
	}
	return Question{}, false
}

func referenceQuestionFor(s *State, d *referenceDemand, now time.Time) (Question, bool) {
	key := batch.Ref{Job: d.Job.ID, Occurrence: d.Occurrence, Step: d.Step}
	p := s.permits[key]
	if p == nil {
		p = &permit{denied: map[string]int64{}, tickets: map[string]Ticket{}}
		s.permits[key] = p
	}
	if p.asking || now.Sub(p.askedAt) < questionInterval {
		return Question{}, false
	}
	step := &d.Job.Spec.Steps[d.Step]
	unknown := referenceUnknown(referenceCandidates(s, now), p, step, now)
	if len(unknown) == 0 && step.LongRunning && !step.Gang {
		unknown = referenceUnknown(referenceLastResorts(s, now), p, step, now)
	}
	if len(unknown) == 0 {
		return Question{}, false
	}
	slices.SortStableFunc(unknown, func(a, b referenceHost) int { return cmp.Compare(b.free.MilliCores, a.free.MilliCores) })
	q := Question{Step: key}
	for _, c := range unknown[:min(len(unknown), hostsPerQuestion)] {
		q.Hosts = append(q.Hosts, c.host.ID)
	}
	return q, true
}

// referenceUnknown returns the hosts that could run a step and of which it is not known whether they may.
func referenceUnknown(hosts referenceHosts, p *permit, step *batch.Step, now time.Time) referenceHosts {
	var unknown referenceHosts
	for _, c := range hosts {
		instance, denied := p.denied[c.host.ID]
		if (denied && instance == c.host.Instance) || p.valid(c.host, now) || !c.host.Capacity.Fits(step.Reservation()) {
			continue
		}
		if step.RequiredLabel == "" || HasLabel(&c.host.Host, step.RequiredLabel) {
			unknown = append(unknown, c)
		}
	}
	return unknown
}

// referenceScaled returns the expected work of a queue in thousandths of a core-second for an estimated one.
func referenceScaled(s *State, queue string, estimated int64) int64 {
	return int64(float64(estimated) * s.durationRatios[queue].median() / 1000)
}

func referenceLoad(s *State, now time.Time) sizing.Load {
	var l sizing.Load
	s.addHostLoad(&l, now)
	var longRunning, whole batch.Size
	schedulable := 0
	for _, h := range s.Hosts {
		if s.Schedulable(h, now) {
			schedulable++
			whole = whole.Add(h.Capacity)
		}
	}
	backlog, future, lateWork, expiredWork := map[string]int64{}, map[string]int64{}, map[string]int64{}, map[string]int64{}
	for _, j := range s.openJobs {
		if !j.Stored {
			continue
		}
		for oi := range j.Occurrences {
			occ := &j.Occurrences[oi]
			for si := range occ.Stages {
				step, stage := &j.Spec.Steps[si], &occ.Stages[si]
				switch {
				case step.LongRunning:
					givenUp := 0
					for i := range stage.Tasks {
						givenUp += count(stage.Tasks[i].Crashes.GivenUp())
					}
					for range stage.Left - givenUp {
						longRunning = longRunning.Add(step.Reservation())
					}
					if step.PerHost > 0 {
						l.SpreadHosts = max(l.SpreadHosts, (step.Count-givenUp+step.PerHost-1)/step.PerHost)
					}
				case occ.ready(&j.Spec, si):
					work := estimatedWork(step, stage.idle)
					backlog[j.Spec.Queue] += work
					objective := j.Objective
					if j.Spec.Repetitions > 0 {
						objective = objective.Add(time.Duration(j.dueAt(oi)-j.Spec.AcceptedMS) * time.Millisecond)
					}
					path := time.Duration(float64(referenceCriticalPath(&j.Spec, si)) * s.durationRatios[j.Spec.Queue].median())
					if now.After(objective.Add(-path)) {
						lateWork[j.Spec.Queue] += work
						if now.After(objective.Add((usefulFactor - 1) * j.Objective.Sub(j.AcceptedAt))) {
							expiredWork[j.Spec.Queue] += work
						}
					}
				default:
					future[j.Spec.Queue] += estimatedWork(step, stage.Left)
				}
				if !occ.ready(&j.Spec, si) || stage.idle == 0 || !referenceOversized(s, step) {
					continue
				}
				if need := step.Reservation(); l.Oversized == (batch.Size{}) || need.MilliCores < l.Oversized.MilliCores {
					l.Oversized = need
				}
			}
		}
	}
	for queue := range s.Queues {
		l.Backlog += referenceScaled(s, queue, backlog[queue])
		l.FutureWork += referenceScaled(s, queue, future[queue])
		l.Late += referenceScaled(s, queue, lateWork[queue])
		l.Expired += referenceScaled(s, queue, expiredWork[queue])
	}
	l.Backlog += s.isolatedWork(l.HostCapacity, now)
	l.ArrivalRate, l.Arrivals = s.arrivals.Rate(now), s.arrivals.Count()
	l.LongRunning = longRunning.MilliCores
	for _, d := range [][2]int64{{longRunning.MemoryMB, whole.MemoryMB}, {longRunning.Accelerators, whole.Accelerators}} {
		if d[1] > 0 {
			l.SpreadHosts = max(l.SpreadHosts, int(math.Ceil(float64(d[0])/float64(d[1])*float64(schedulable))))
		}
	}
	return l
}

// referenceOversized reports whether some host of the pool has the label of a step, and none can hold its tasks.
func referenceOversized(s *State, step *batch.Step) bool {
	suitable := false
	for _, h := range s.Hosts {
		if !h.Listed || h.Draining || (step.RequiredLabel != "" && !HasLabel(&h.Host, step.RequiredLabel)) {
			continue
		}
		suitable = true
		if h.Capacity.Fits(step.Reservation()) {
			return false
		}
	}
	return suitable
}

func referencePending(s *State, queue string) int {
	n := 0
	for _, j := range s.openJobs {
		if j.Stored && !j.Started && j.Spec.Queue == queue {
			n++
		}
	}
	return n
}

func referenceWaitingTasks(s *State) (tasks, longRunning int) {
	for _, j := range s.openJobs {
		for oi := range j.Occurrences {
			occ := &j.Occurrences[oi]
			for si := range occ.Stages {
				if !j.Stored || occ.Left == 0 || !occ.ready(&j.Spec, si) {
					continue
				}
				tasks += occ.Stages[si].idle
				if j.Spec.Steps[si].LongRunning {
					longRunning += occ.Stages[si].idle
				}
			}
		}
	}
	return tasks, longRunning
}

func referenceExpired(s *State, now time.Time) []string {
	var out []string
	for id, j := range s.Jobs {
		if j.Phase != Open && j.StoredPhase == j.Phase && !j.InInbox && now.Sub(j.EndedAt) > s.Timing.Retention && !s.hasRuns(j) {
			out = append(out, id)
		}
	}
	return out
}
