package shard

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/caps"
	"carawaymux.dev/fleet/clamp"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/share"
	"carawaymux.dev/fleet/sizing"
)

// OverBudget is the reason of tasks whose tenant may not have more running in this pool.
const OverBudget Reason = "the tenant's budget in this pool has no room"

// budgets is what a pool knows of the caps of tenants.
type budgets struct {
	// version is that of the configuration with the caps.
	version int64
	// limited holds the tenants whose starts are limited. It is empty if no tenant has a cap.
	limited map[string]*TenantUse
	// countedAt is when the work was last counted that hosts without an answer may run.
	countedAt time.Time
	// jobsMissing reports whether a job of an earlier owner could not be restored. Hosts may run anything of it.
	jobsMissing bool
}

// tenantBudget is what limits the starts of a tenant.
type tenantBudget struct {
	caps.Holding
	// stored reports whether the store has the budget.
	stored bool
	// limited reports whether limit applies, which is what may run of the tenant.
	limited bool
	limit   batch.Size
	// round counts the rounds of planning.
	round int64
	// unassigned is what hosts report of the tenant that is not assigned to them.
	unassigned batch.Size
	// unseen is what hosts may run of the tenant that have not answered, and bestEffort the processor capacity of that which they
	// run beyond their own. inherited is what an earlier owner may have started of the tenant that is not assigned.
	unseen, inherited batch.Size
	bestEffort        int64
	// waiting is what the idle tasks request that could start. unreserved is the processor capacity of the best-effort ones.
	waiting    batch.Size
	unreserved int64
}

// unassignedRun is a run that a host reports and that is not assigned to it.
type unassignedRun struct {
	use  *TenantUse
	need batch.Size
}

// SetCaps applies the caps of a configuration. It returns the names of the tenants whose budgets are void now, since they have no cap any
// more.
func (s *State) SetCaps(c *port.Config) []string {
	if c.Version < s.budgets.version {
		return nil
	}
	previous := s.budgets.version
	s.budgets.version = c.Version
	limits := map[string]batch.Size{}
	for i := range c.Tenants {
		if t := &c.Tenants[i]; caps.HasCap(t.Cap) {
			limits[t.Name] = t.Cap
			s.backlog.tenantNamed(t.Name)
		}
	}
	var void []string
	for name, t := range s.backlog.tenants {
		b := &t.budget
		if b.Version < previous {
			// A tenant that has been seen since then for the first time had no cap.
			b.Configure(batch.Size{}, previous)
		}
		if b.Configure(limits[name], c.Version) {
			b.stored = false
			void = append(void, name)
		}
		s.updateLimit(t)
	}
	return void
}

// SetBudget takes a budget. It reports whether it is taken, and whether it may be lower than what was held.
func (s *State) SetBudget(b caps.Budget) (taken, lower bool) {
	t := s.backlog.tenantNamed(b.Tenant)
	if t.budget.Version < s.budgets.version {
		t.budget.Configure(batch.Size{}, s.budgets.version)
	}
	if taken, lower = t.budget.Take(b); taken {
		t.budget.stored = false
		s.updateLimit(t)
	}
	return taken, lower
}

// RestoreBudget takes a budget that an earlier owner has stored, before any configuration is known.
func (s *State) RestoreBudget(b caps.Budget) {
	t := s.backlog.tenantNamed(b.Tenant)
	t.budget.Held, t.budget.stored = b, true
	s.updateLimit(t)
}

// BudgetStored records that the store has a budget.
func (s *State) BudgetStored(b caps.Budget) {
	if t := s.backlog.tenants[b.Tenant]; t != nil && t.budget.Held == b {
		t.budget.stored = true
	}
}

// Budget returns the budget that limits the tenant, with its name.
func (t *TenantUse) Budget() caps.Budget {
	b := t.budget.Held
	b.Tenant = t.Name
	return b
}

// HasStored reports whether the store has the budget of a tenant that is held.
func (s *State) HasStored(tenant string) bool {
	t := s.backlog.tenants[tenant]
	return t == nil || t.budget.stored
}

// updateLimit updates what a tenant may have running.
func (s *State) updateLimit(t *TenantUse) {
	b := &t.budget
	was := b.limited
	if b.limit, b.limited = b.Limit(); !b.limited {
		delete(s.budgets.limited, t.Name)
		return
	}
	if !was {
		// Nothing of the tenant has been counted yet.
		s.budgets.countedAt = time.Time{}
	}
	if s.budgets.limited == nil {
		s.budgets.limited = map[string]*TenantUse{}
	}
	s.budgets.limited[t.Name] = t
}

// tenantNamed returns the use of a tenant.
func (b *backlog) tenantNamed(name string) *TenantUse {
	t := b.tenants[name]
	if t == nil {
		t = &TenantUse{Name: name, Account: share.NewAccount(b.origin, b.weight(name))}
		t.updateRank()
		b.tenants[name] = t
	}
	return t
}

// admits reports whether the budget of a tenant has room for a task. A task needs no room in dimensions in which it requests nothing.
func (t *TenantUse) admits(need batch.Size) bool {
	if !t.budget.limited {
		return true
	}
	used := t.mayRun()
	return hasBudget(t.budget.limit.MilliCores, used.MilliCores, need.MilliCores) &&
		hasBudget(t.budget.limit.MemoryMB, used.MemoryMB, need.MemoryMB) &&
		hasBudget(t.budget.limit.Accelerators, used.Accelerators, need.Accelerators)
}

// maxDenials is the number of steps of a group that are looked at in a round and then find no room in the budget. The groups of waiting steps
// show what tasks reserve, which is less than they request for best-effort tasks and gangs.
const maxDenials = 64

// deny counts a step that has found no room in the budget.
func (w *waitingStep) deny() {
	g := w.group
	if g == nil {
		return
	}
	if round := g.tenant.budget.round; g.deniedIn != round {
		g.denials, g.deniedIn = 0, round
	}
	g.denials++
}

// isDenied reports whether no further step of the group is to be looked at in this round.
func (g *group) isDenied() bool {
	return g.denials >= maxDenials && g.deniedIn == g.tenant.budget.round
}

func hasBudget(limit, used, need int64) bool {
	return need == 0 || limit == caps.Unlimited || (used <= limit && need <= limit-used)
}

// admitsGang reports whether the budget of a tenant has room for all tasks of a step.
func (t *TenantUse) admitsGang(step *batch.Step, tasks int) bool {
	return !t.budget.limited || t.admits(manyTimes(step.Need, tasks))
}

// manyTimes returns a size multiplied by a number of tasks.
func manyTimes(size batch.Size, tasks int) batch.Size {
	times := func(n int64) int64 { return clamp.Int[int64](float64(n) * float64(tasks)) }
	return batch.Size{MilliCores: times(size.MilliCores), MemoryMB: times(size.MemoryMB), Accelerators: times(size.Accelerators)}
}

// mayRun returns what may run of the tenant in the pool.
func (t *TenantUse) mayRun() batch.Size {
	b := &t.budget
	out := addSizes(addSizes(t.Running, b.unassigned), b.unseen)
	out.MilliCores = clamp.Add(out.MilliCores, b.bestEffort)
	return out
}

func addSizes(a, b batch.Size) batch.Size {
	return batch.Size{
		MilliCores: clamp.Add(a.MilliCores, b.MilliCores), MemoryMB: clamp.Add(a.MemoryMB, b.MemoryMB),
		Accelerators: clamp.Add(a.Accelerators, b.Accelerators),
	}
}

// addUnassigned counts a run that the host reports and that is not assigned to it. It counts until the host reports it no more.
func (s *State) addUnassigned(h *Host, ref batch.Ref) {
	if j, stage, _ := s.task(ref); stage != nil {
		run := unassignedRun{s.backlog.tenant(j), s.step(ref).Need}
		run.use.budget.unassigned = addSizes(run.use.budget.unassigned, run.need)
		h.unassignedRuns = append(h.unassignedRuns, run)
	}
}

// clearUnassigned forgets the runs that are not assigned to the host.
func (h *Host) clearUnassigned() {
	for _, run := range h.unassignedRuns {
		run.use.budget.unassigned = run.use.budget.unassigned.Sub(run.need)
	}
	h.unassignedRuns = nil
}

// countInterval is the minimum time between two counts of the work that may run on hosts without an answer.
const countInterval = 50 * time.Millisecond

// updateBudgets updates what hosts that this owner does not know well may run of the tenants that are limited. A host that has not answered
// counts with its capacity for each tenant, one that reports runs of unknown tasks with what is free there. An earlier owner has started
// only tasks of jobs that are stored, so the hosts together run no more than those that are not done and not assigned: else a tenant
// with a small cap would wait for a host in a cut whose capacity is above the cap. Best-effort tasks reserve no processor capacity, so while
// there are such hosts, all of them that are not done count.
func (s *State) updateBudgets(now time.Time) {
	if len(s.budgets.limited) == 0 {
		return
	}
	var unseen, unknown batch.Size
	waits := false
	for _, h := range s.sortedHosts() {
		switch {
		case !h.Confirmed && s.isPrior(h, now):
			unseen, waits = unseen.Add(h.Capacity), true
		case h.UnknownRuns > len(h.unassignedRuns):
			unknown = unknown.Add(h.free().Max(batch.Size{}))
		}
	}
	if waits && now.Sub(s.budgets.countedAt) >= countInterval {
		s.budgets.countedAt = now
		s.countUnseen()
	}
	for _, t := range s.budgets.limited {
		b := &t.budget
		b.round++
		if !waits {
			b.bestEffort, b.inherited = 0, batch.Size{}
		}
		b.unseen = unseen
		if !s.budgets.jobsMissing {
			b.unseen = unseen.Min(b.inherited)
		}
		b.unseen = b.unseen.Add(unknown)
	}
}

// NoteMissingJobs records that jobs of an earlier owner could not be restored.
func (s *State) NoteMissingJobs() { s.budgets.jobsMissing = true }

// countUnseen counts the best-effort tasks that are not done, and the tasks that an earlier owner may have started.
func (s *State) countUnseen() {
	for _, t := range s.budgets.limited {
		t.budget.bestEffort, t.budget.inherited = 0, batch.Size{}
	}
	for _, j := range s.Jobs {
		use := s.backlog.tenants[j.Spec.Tenant]
		if use == nil || !use.budget.limited {
			continue
		}
		for si := range j.Spec.Steps {
			step := &j.Spec.Steps[si]
			if j.Inherited {
				use.budget.inherited = addSizes(use.budget.inherited, manyTimes(step.Reservation(), j.mayBeStarted(si)))
			}
			if !step.BestEffort {
				continue
			}
			tasks := (j.Spec.Occurrences() - len(j.Occurrences)) * step.Count
			for oi := range j.Occurrences {
				if si < len(j.Occurrences[oi].Stages) {
					tasks += j.Occurrences[oi].Stages[si].Left
				}
			}
			use.budget.bestEffort = clamp.Add(use.budget.bestEffort, manyTimes(step.Need, tasks).MilliCores)
		}
	}
}

// mayBeStarted returns the number of tasks of a step that an earlier owner may have started and that are not assigned.
func (j *Job) mayBeStarted(step int) int {
	switch j.Phase {
	case Completed:
		return 0
	case Cancelled, Failed:
		// Runs that are to be stopped go on until their hosts answer, and which there were is not stored.
		return j.Spec.Occurrences() * j.Spec.Steps[step].Count
	}
	tasks := 0
	if len(j.Occurrences) == 0 {
		// This owner has not opened the first occurrence yet.
		tasks = j.Spec.Steps[step].Count
	}
	for oi := range j.Occurrences {
		if step >= len(j.Occurrences[oi].Stages) {
			continue
		}
		stage := &j.Occurrences[oi].Stages[step]
		tasks += stage.Left
		for i := range stage.Tasks {
			if task := &stage.Tasks[i]; !task.Done && task.Status != Idle {
				tasks--
			}
		}
	}
	return tasks
}

// BudgetUses returns the use of the tenants whose starts are limited, in the order of their names: of those in the scope, and those that are
// named.
func (s *State) BudgetUses(now time.Time, scope caps.Scope, named ...string) []caps.Use {
	if len(s.budgets.limited) == 0 && len(named) == 0 {
		return nil
	}
	s.updateQueues()
	s.backlog.advance(now.Sub(s.backlog.origin))
	s.updateBudgets(now)
	tenants := slices.Collect(maps.Values(s.budgets.limited))
	for _, name := range named {
		if s.budgets.limited[name] == nil {
			tenants = append(tenants, s.backlog.tenantNamed(name))
		}
	}
	slices.SortFunc(tenants, func(a, b *TenantUse) int { return cmp.Compare(a.Name, b.Name) })
	least, free := s.readyNeeds(now)
	var out []caps.Use
	for _, t := range slices.Compact(tenants) {
		b := &t.budget
		u := caps.Use{
			Running: t.Running.Max(batch.Size{}), MayRun: t.mayRun().Max(batch.Size{}), Waiting: b.waiting.Max(batch.Size{}), Held: b.Held, Stored: b.stored,
			Void: b.IsVoid(),
		}
		u.Held.Tenant = t.Name
		if need, ready := least[t]; ready {
			u.Least, u.Ready = need, free
			// Best-effort tasks start without free processor capacity.
			u.Ready.MilliCores = clamp.Add(free.MilliCores, b.unreserved)
			u.Ready = u.Ready.Min(u.Waiting)
		}
		_, ready := least[t]
		inScope := scope == caps.All || (u.IsActive() && (scope == caps.Active || (ready && !t.admits(u.Least))))
		if inScope || slices.Contains(named, t.Name) {
			out = append(out, u)
		}
	}
	return out
}

// readyNeeds returns, for each tenant that is limited and of which a task would find room on a host, the least that a task or gang
// requests, and what is free in the pool.
func (s *State) readyNeeds(now time.Time) (map[*TenantUse]batch.Size, batch.Size) {
	least := map[*TenantUse]batch.Size{}
	var free batch.Size
	var room map[string]frontier
	for g, root := range needsOf(s.backlog.groups) {
		if !g.tenant.budget.limited {
			continue
		}
		if room == nil {
			room = map[string]frontier{}
			for _, c := range s.candidates(now) {
				free = free.Add(c.free.Max(batch.Size{}))
			}
		}
		f, known := room[g.label]
		if !known {
			for _, c := range s.candidates(now) {
				if labelAllows(c.host, g.label) {
					f.add(c.free)
				}
			}
			room[g.label] = f
		}
		if !f.fits(root.low) {
			continue
		}
		need := root.first.request()
		if known, ok := least[g.tenant]; !ok || need.MilliCores < known.MilliCores {
			least[g.tenant] = need
		}
	}
	return least, free
}

// request returns what one task of the step requests, or the whole gang.
func (w *waitingStep) request() batch.Size {
	if w.step.Gang {
		return manyTimes(w.step.Need, w.step.Count)
	}
	return w.step.Need
}

// noteWaiting updates what waits of a tenant.
func (t *TenantUse) noteWaiting(was, now *load) {
	t.budget.waiting = t.budget.waiting.Add(now.requested).Sub(was.requested)
	t.budget.unreserved += now.unreserved - was.unreserved
}

// request sets what the idle tasks of a stage request.
func (l *load) request(step *batch.Step, idle int) {
	l.requested = timesSize(step.Need, idle)
	if step.BestEffort {
		l.unreserved = l.requested.MilliCores
	}
}

// isOverBudget reports whether the budget of its tenant has no room for a task, or for its gang.
func (s *State) isOverBudget(j *Job, ref batch.Ref) bool {
	step := &j.Spec.Steps[ref.Step]
	if step.Gang {
		return !s.backlog.tenant(j).admitsGang(step, step.Count)
	}
	return !s.backlog.tenant(j).admits(step.Need)
}

// leaveOutBlocked takes out of the load what waits for room in budgets. Further hosts would not let it start.
func (s *State) leaveOutBlocked(l *sizing.Load) {
	blocked := map[*TenantUse]float64{}
	for _, t := range s.budgets.limited {
		if part := t.blockedPart(); part > 0 {
			blocked[t] = part
		}
	}
	if len(blocked) == 0 {
		return
	}
	var backlog, late, expired float64
	for _, w := range s.backlog.steps {
		if part := blocked[w.demand.Tenant]; part > 0 {
			backlog += part * float64(w.queue.work(w.stage.load.waiting))
			late += part * float64(w.queue.work(w.stage.load.late))
			expired += part * float64(w.queue.work(w.stage.load.expired))
		}
	}
	l.Backlog = max(l.Backlog-int64(backlog), 0)
	l.Late = max(l.Late-int64(late), 0)
	l.Expired = max(l.Expired-int64(expired), 0)
}

// blockedPart returns the part of the tenant's waiting work for which its budget has no room.
func (t *TenantUse) blockedPart() float64 {
	b, used := &t.budget, t.mayRun()
	part := 0.0
	for _, d := range [...]struct{ limit, used, waiting int64 }{
		{b.limit.MilliCores, used.MilliCores, b.waiting.MilliCores}, {b.limit.MemoryMB, used.MemoryMB, b.waiting.MemoryMB},
		{b.limit.Accelerators, used.Accelerators, b.waiting.Accelerators},
	} {
		if d.limit == caps.Unlimited || d.waiting <= 0 {
			continue
		}
		part = max(part, 1-float64(max(d.limit-d.used, 0))/float64(d.waiting))
	}
	return part
}
