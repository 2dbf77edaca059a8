package shard

import (
	"cmp"
	"math"
	"slices"
	"time"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/clamp"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/share"
)

// TenantUse is what a pool knows of a tenant. Jobs of callers without a key share the one with the empty name.
type TenantUse struct {
	// Name is the name of the tenant.
	Name string
	// Running is what the tasks request that run, may run or are being stopped on hosts of the pool. Unlike a reservation
	// it contains the processor capacity of best-effort tasks.
	Running batch.Size
	// waitingWork is the estimated work of the tasks that wait and end, in millionths of a core-second.
	waitingWork int64
	// Account is what the tasks that end have used lately. It is charged while the configuration has tenants. Only
	// [TenantUse.charge] and [TenantUse.setWeight] change it.
	Account share.Account
	// rank is that of the account. groups holds the groups of the tenant that are in a class.
	rank   float64
	groups []*group
	// budget limits the starts of the tenant.
	budget tenantBudget
}

// charge adds work that was used at a time.
func (t *TenantUse) charge(work float64, at time.Time) {
	t.Account.Charge(work, at)
	t.updateRank()
}

// setWeight sets the weight.
func (t *TenantUse) setWeight(weight float64) {
	t.Account.SetWeight(weight)
	t.updateRank()
}

func (t *TenantUse) updateRank() {
	rank := t.Account.Rank()
	if rank == t.rank {
		return
	}
	t.rank = rank
	for _, g := range t.groups {
		g.class.order.update(g)
	}
}

// dropGroup removes a group.
func (t *TenantUse) dropGroup(g *group) {
	if i := slices.Index(t.groups, g); i >= 0 {
		t.groups = slices.Delete(t.groups, i, i+1)
	}
}

// tenant returns the use of the tenant of a job.
func (b *backlog) tenant(j *Job) *TenantUse {
	if j.tenant == nil {
		j.tenant = b.tenantNamed(j.Spec.Tenant)
	}
	return j.tenant
}

// Tenant returns what the pool knows of a tenant, or nil if it has had no job of it.
func (s *State) Tenant(name string) *TenantUse { return s.backlog.tenants[name] }

// HasTenants reports whether the configuration in force has tenants.
func (s *State) HasTenants() bool { return s.backlog.weights != nil }

// setTenants applies the weights of the tenants of a configuration. Without any, nothing is charged and no job is in excess.
func (s *State) setTenants(tenants []port.Tenant) {
	b := &s.backlog
	had := b.weights != nil
	if had != (len(tenants) > 0) {
		b.regroup()
	}
	b.weights, b.leastWeight = nil, math.Inf(1)
	if len(tenants) > 0 {
		b.weights = make(map[string]float64, len(tenants))
	}
	for i := range tenants {
		b.weights[tenants[i].Name] = tenants[i].Weight
		b.leastWeight = min(b.leastWeight, tenants[i].Weight)
	}
	if had != (b.weights != nil) {
		b.resetKeys()
	}
	for name, use := range b.tenants {
		use.setWeight(b.weight(name))
	}
}

// levelOf returns whether rounds of planning go through groups or classes. Classes hold the same steps in fewer trees; rankings
// that order tenants need groups, and those by recent use both. Groups are needed, too, where budgets limit tenants.
func (s *State) levelOf(o tenantOrdering) level {
	if s.HasTenants() && o == anyTenant && len(s.budgets.limited) == 0 {
		return classLevel
	}
	return groupLevel
}

// weight returns the weight of a tenant. Those that are not in the configuration have the smallest one.
func (b *backlog) weight(name string) float64 {
	if weight, known := b.weights[name]; known {
		return weight
	}
	return b.leastWeight
}

// countTenantArrival sets whether a job that arrives is beyond what its tenant is owed.
func (s *State) countTenantArrival(j *Job, now time.Time) {
	if s.HasTenants() {
		j.excess = !s.backlog.tenant(j).Account.Arrive(now)
	}
}

// finishTime is the time of all hosts up to which the work that is left of a job that is begun goes before the turns of other
// tenants, since half of a job is of no use. More than that would make their jobs late.
const finishTime = 250 * time.Millisecond

// finishes reports whether a job that is begun is to be completed before other tenants have their turn.
func (s *State) finishes(j *Job) bool {
	if !s.HasTenants() {
		return false
	}
	var left int64
	for i := range j.Spec.Steps {
		if step := &j.Spec.Steps[i]; !step.LongRunning {
			left = clamp.Add(left, stepWork(step, step.Count, s.durationRatios[j.Spec.Queue].median()))
		}
	}
	return float64(left) <= float64(s.capacity)*finishTime.Seconds()
}

// chargeStart adds the expected core-time of a task that is started to the use of its tenant.
func (s *State) chargeStart(j *Job, step *batch.Step, task *Task, now time.Time) {
	task.charged = 0
	if s.HasTenants() && !step.LongRunning {
		task.charged = coreSeconds(step, s.expected(j, step))
		s.backlog.tenant(j).charge(task.charged, now)
	}
}

// chargeEnd replaces what was charged for a run by the time that it has taken, which is 0 for a run that did not begin.
func (s *State) chargeEnd(j *Job, step *batch.Step, task *Task, took time.Duration) {
	if task.charged > 0 {
		s.backlog.tenant(j).charge(coreSeconds(step, took)-task.charged, task.OrderedAt)
		task.charged = 0
	}
}

// coreSeconds is the processor capacity that a task of a step takes, times a duration. A task that reserves no cores counts
// with a thousandth of one, so that a tenant with many of them is not ahead of all others for ever.
func coreSeconds(step *batch.Step, d time.Duration) float64 {
	const milli = 1000
	return float64(max(step.Reservation().MilliCores, 1)) / milli * max(d, 0).Seconds()
}

// Measure is what [TenantShare] orders tenants by. Implementations hold no state.
type Measure interface {
	// Of returns a number that is lower for tenants that go first.
	Of(u *TenantUse) float64
}

// RecentUse is what a tenant has used lately, for its weight, in the coarse steps of [share.Account.Rank]. Work of tenants of one
// rank goes in the order of the inner ranking.
type RecentUse struct{}

// Of implements [Measure].
func (RecentUse) Of(u *TenantUse) float64 { return u.rank }

// RunningUse is what a tenant has running, for its weight. It is the baseline for comparisons.
type RunningUse struct{}

// Of implements [Measure].
func (RunningUse) Of(u *TenantUse) float64 {
	return float64(u.Running.MilliCores) / max(u.Account.Weight(), math.SmallestNonzeroFloat32)
}

// TenantShare orders like another ranking, but while a pool is overloaded it puts work of one priority in the order of its
// tenants: jobs that are owed to their tenant before others, what was begun of either before the rest, and then the tenants with the lowest measure first. Work in
// time stays before late work.
type TenantShare[R Ranking, M Measure] struct {
	Ranking R
	Measure M
	// Active reports whether the pool is overloaded and has tenants.
	Active bool
}

// Compare implements [Ranking].
func (p TenantShare[R, M]) Compare(a, b *Demand) int {
	if p.Active && !a.LongRunning && !b.LongRunning && (a.Slack < 0) == (b.Slack < 0) && (a.Slack < 0 || a.Priority == b.Priority) {
		if a.Excess != b.Excess {
			return firstIf(b.Excess)
		}
		if a.Finish != b.Finish && a.Slack >= 0 {
			return firstIf(a.Finish)
		}
		if a.Tenant != b.Tenant {
			if c := cmp.Compare(p.Measure.Of(a.Tenant), p.Measure.Of(b.Tenant)); c != 0 {
				return c
			}
		}
	}
	return p.Ranking.Compare(a, b)
}

// SortKey implements [Ranking].
func (p TenantShare[R, M]) SortKey(late bool) SortKey { return p.Ranking.SortKey(late) }

// tenantOrdering tells how a ranking orders the tenants of a class of work that ends.
type tenantOrdering uint8

const (
	// anyTenant is that of rankings that do not regard tenants.
	anyTenant tenantOrdering = iota
	// byMeasure is that of rankings that put the tenants in the order of some measure, and byRecentUse in that of [RecentUse] with
	// the sort keys of a tenantOrder.
	byMeasure
	byRecentUse
)

// orderingOf returns how a ranking orders tenants.
func orderingOf[R Ranking](ranking R) tenantOrdering {
	if r, ok := any(ranking).(interface{ tenantOrdering() tenantOrdering }); ok {
		return r.tenantOrdering()
	}
	return anyTenant
}

func (p TenantShare[R, M]) tenantOrdering() tenantOrdering {
	_, recent := any(p.Measure).(RecentUse)
	switch {
	case !p.Active:
		return anyTenant
	case recent && p.SortKey(false) == tenantSortKey(false) && p.SortKey(true) == tenantSortKey(true):
		return byRecentUse
	}
	return byMeasure
}

func (p LateShare[R]) tenantOrdering() tenantOrdering { return orderingOf(p.Ranking) }

func (p StarvedFirst[R]) tenantOrdering() tenantOrdering { return orderingOf(p.Ranking) }

// maxHeldShare is the share of the hosts that may be reserved at once for work that does not fit. Each of them leaves less
// unused than one task needs.
const maxHeldShare = 0.5

const (
	// overuse is the factor by which a tenant has to exceed its share of what all want for tenants to have turns. Without such a tenant
	// all get about their share in any order, and turns would only make jobs late that could be in time.
	overuse = 1.5
	// leastOveruse is the part of what all want that such a tenant wants at least. One that wants less costs others little.
	leastOveruse = 0.1
	// overuseInterval is the time between two looks at what tenants want.
	overuseInterval = 100 * time.Millisecond
)

// turnsOfTenants says whether tenants have turns, as of a time.
type turnsOfTenants struct {
	at  time.Time
	due bool
}

// TenantsHaveTurns reports whether some tenant wants much more of the pool than its share.
func (s *State) TenantsHaveTurns(now time.Time) bool {
	s.updateTurns(now)
	return s.HasTenants() && s.turns.due
}

// updateTurns updates whether tenants have turns, unless that was done shortly before.
func (s *State) updateTurns(now time.Time) {
	if !s.HasTenants() || now.Sub(s.turns.at) < overuseInterval {
		return
	}
	weights, wanted := 0.0, 0.0
	for _, u := range s.backlog.tenants {
		if w := u.wants(now); w > 0 {
			weights, wanted = weights+u.Account.Weight(), wanted+w
		}
	}
	s.turns = turnsOfTenants{at: now}
	for _, u := range s.backlog.tenants {
		w := u.wants(now)
		s.turns.due = s.turns.due || (w > leastOveruse*wanted && w*weights > overuse*wanted*u.Account.Weight())
	}
}

// wants returns what a tenant has used lately and what waits of it, in core-seconds. A flood waits before it uses anything.
func (t *TenantUse) wants(now time.Time) float64 {
	const perCoreSecond = 1000 * workUnits
	return t.Account.Use(now) + float64(t.waitingWork)/perCoreSecond
}

// limitHeld sets how many hosts a round of planning may reserve at once. Otherwise the small tasks of a tenant that floods a
// pool would take all room that becomes free before larger ones of other tenants fit.
func (s *State) limitHeld(hosts int, now time.Time) {
	s.heldHosts = 0
	if s.Overloaded && s.TenantsHaveTurns(now) {
		s.heldHosts = max(int(maxHeldShare*float64(hosts)), 1)
	}
}

// holdsRoom reports whether hosts may be reserved at once for the steps of a group: those in time that are owed.
func (g *group) holdsRoom() bool { return !g.longRunning && !g.late && !g.excess }

// holdsRoom is like that of a group.
func (d *Demand) holdsRoom() bool { return !d.LongRunning && d.Slack >= 0 && !d.Excess }

// reservesFor reports whether hosts are reserved for a step that does not fit.
func (s *State) reservesFor(w *waitingStep) bool {
	return w.reserves() || (s.heldHosts > 0 && w.demand.holdsRoom())
}

// reservationsFor returns how many hosts may be reserved, for a step that holds room or another one.
func (s *State) reservationsFor(holdsRoom bool) int {
	if holdsRoom {
		return max(s.maxReservations, s.heldHosts)
	}
	return s.maxReservations
}

// reserveHosts reserves a host for a step that does not fit, or, if it holds room, one for each task that waits. It reports
// whether it has reserved a host.
func (s *State) reserveHosts(w *waitingStep, hosts candidates) bool {
	changed := s.reserveHost(w, hosts)
	if changed && s.heldHosts > 0 && w.demand.holdsRoom() {
		for range w.stage.idle - 1 {
			if !s.reserveHost(w, hosts) {
				break
			}
		}
	}
	return changed
}

// TenantReport is what a pool says about a tenant, for metrics and logs.
type TenantReport struct {
	Name string
	// Share is the weight as a part of that of all tenants that the pool knows. Use is what was used lately as a part of
	// what all have used.
	Share, Use float64
}

// LargestTenants returns the tenants that have used most lately, up to a number of them, the largest first. It returns none
// while the configuration has no tenants.
func (s *State) LargestTenants(limit int, now time.Time) []TenantReport {
	if !s.HasTenants() {
		return nil
	}
	var out []TenantReport
	weights, uses := 0.0, 0.0
	for name, u := range s.backlog.tenants {
		r := TenantReport{Name: name, Share: u.Account.Weight(), Use: u.Account.Use(now)}
		weights, uses = weights+r.Share, uses+r.Use
		if r.Use > 0 {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b TenantReport) int { return cmp.Or(cmp.Compare(b.Use, a.Use), cmp.Compare(a.Name, b.Name)) })
	out = out[:min(len(out), limit)]
	for i := range out {
		out[i].Use /= uses
		if weights > 0 {
			out[i].Share /= weights
		}
	}
	return out
}
