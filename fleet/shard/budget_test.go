package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/caps"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// capOf is the cap of the tenant "t" in the tests.
var capOf = batch.Size{MilliCores: 8000}

func (o *owner) configureCap(version int64, limit batch.Size) []string {
	return o.SetCaps(&port.Config{Version: version, Tenants: []port.Tenant{{Name: "t", Cap: limit}}})
}

// lend has the owner take a budget of a number of thousandths of a core.
func (o *owner) lend(number, milliCores int64) (newer, lower bool) {
	return o.SetBudget(caps.Budget{
		Tenant: "t", Amount: batch.Size{MilliCores: milliCores}, Cap: capOf, Version: 1, Epoch: 1, Number: number,
	})
}

// submitAs submits a job of a tenant.
func (o *owner) submitAs(tenant, id string, steps ...batch.Step) {
	o.t.Helper()
	j, verdict := o.Submit(id, batch.Spec{Queue: "q", Tenant: tenant, Steps: steps}, o.now)
	require.Equal(o.t, shard.Accepted, verdict)
	o.MarkStored(j)
}

// Guards against starts beyond a budget, and against other tenants that wait because of it.
func TestATenantStartsWithinItsBudget(t *testing.T) {
	o := newOwner(t, 1, "a", "b")
	o.configureCap(1, capOf)
	o.submitAs("t", "job", smallStep(6))
	o.submitAs("other", "free", smallStep(2))
	require.Len(t, o.start(), 2, "only the tenant without a cap starts")
	require.Equal(t, shard.OverBudget, o.Explain(batch.Ref{Job: "job"}, o.now))

	_, lower := o.lend(1, 3500)
	require.True(t, lower, "the first budget has to be stored, since the store has none")
	require.Empty(t, o.BudgetUses(o.now, caps.Short))
	orders := o.start()
	require.Len(t, orders, 3)
	require.Empty(t, o.plan())
	u := o.BudgetUses(o.now, caps.Active)
	require.Len(t, u, 1)
	require.Equal(t, batch.Size{MilliCores: 3000, MemoryMB: 300}, u[0].Running)
	require.Equal(t, int64(3000), u[0].Waiting.MilliCores)
	require.Equal(t, int64(3000), u[0].Ready.MilliCores)
	require.Equal(t, int64(1000), u[0].Least.MilliCores)

	require.Len(t, o.BudgetUses(o.now, caps.Short), 1)

	newer, lower := o.lend(2, 1000)
	require.True(t, newer && lower)
	newer, _ = o.lend(1, 8000)
	require.False(t, newer, "a late budget is refused")
	rows := []any{doneRow(1, orders[0])}
	for ref, task := range o.Hosts[orders[0].Host].Assigned {
		if ref != orders[0].Ref {
			rows = append(rows, port.ActiveRun{Unit: ref.String(), Run: task.Run})
		}
	}
	o.report(orders[0].Host, rows...)
	require.Empty(t, o.plan(), "more runs than the budget allows")
}

// Guards against a gang that starts beyond the budget because one of its tasks fits.
func TestAGangNeedsRoomInTheBudgetForAllItsTasks(t *testing.T) {
	o := newOwner(t, 1, "a", "b")
	o.configureCap(1, capOf)
	gang := smallStep(3)
	gang.Gang = true
	o.submitAs("t", "job", gang)
	o.lend(1, 2000)
	require.Empty(t, o.plan())
	require.Equal(t, shard.OverBudget, o.Explain(batch.Ref{Job: "job"}, o.now))
	require.Equal(t, int64(3000), o.BudgetUses(o.now, caps.Active)[0].Least.MilliCores)
	o.lend(2, 3000)
	require.Len(t, o.plan(), 3)
}

// Guards against best-effort work that counts as nothing, since it reserves no processor capacity.
func TestTheProcessorCapacityOfBestEffortWorkCounts(t *testing.T) {
	o := newOwner(t, 1, "a")
	o.configureCap(1, capOf)
	step := longRunningStep(5, 0, 1)
	step.BestEffort = true
	o.submitAs("t", "job", step)
	o.lend(1, 2000)
	require.Len(t, o.start(), 2)
	require.Equal(t, int64(2000), o.BudgetUses(o.now, caps.Active)[0].Running.MilliCores)
}

// Guards against a successor that starts work beside what runs on a host that has not answered it.
func TestHostsThatHaveNotAnsweredCountWithTheirCapacity(t *testing.T) {
	o := newSuccessor(t, smallStep(1), "a", "b")
	o.configureCap(1, capOf)
	o.RestoreBudget(caps.Budget{Tenant: "t", Amount: batch.Size{MilliCores: 4000}, Cap: capOf, Version: 1, Epoch: 1, Number: 3})
	bestEffort := longRunningStep(2, 0, 1)
	bestEffort.BestEffort = true
	o.Restore("filling", batch.Spec{Queue: "q", Tenant: "t", Steps: []batch.Step{bestEffort}}, nil, o.now)
	o.Restore("earlier", batch.Spec{Queue: "q", Tenant: "t", Steps: []batch.Step{smallStep(9)}}, nil, o.now)
	o.submitAs("t", "new", smallStep(3))
	o.report("a")
	o.advance(time.Millisecond)
	require.Empty(t, o.plan(), "host b may run 4000, and 2000 of best-effort work")
	require.Equal(t, int64(6000), o.BudgetUses(o.now, caps.Active)[0].MayRun.MilliCores)

	o.report("b", port.ActiveRun{Unit: "filling.0.0.0", Run: 1}, port.ActiveRun{Unit: "earlier.0.0.4", Run: 1})
	o.advance(time.Millisecond)
	require.Len(t, o.start(), 3, "two tasks of the tenant, and one of the job without a tenant")
	require.Equal(t, int64(4000), o.BudgetUses(o.now, caps.Active)[0].MayRun.MilliCores)

	t.Run("a host that can run little of the tenant", func(t *testing.T) {
		// Guards against a tenant that waits beside room until a host in a cut answers whose capacity is above its budget.
		budget := caps.Budget{Tenant: "t", Amount: batch.Size{MilliCores: 3000}, Cap: capOf, Version: 1, Epoch: 1, Number: 3}
		o := newSuccessor(t, smallStep(1), "a", "b")
		o.configureCap(1, capOf)
		o.RestoreBudget(budget)
		o.Restore("earlier", batch.Spec{Queue: "q", Tenant: "t", Steps: []batch.Step{smallStep(1)}}, nil, o.now)
		o.Restore("done", batch.Spec{Queue: "q", Tenant: "t", Steps: []batch.Step{smallStep(5)}}, &shard.Progress{Phase: shard.Completed}, o.now)
		o.submitAs("t", "new", smallStep(3))
		o.report("a")
		o.advance(time.Millisecond)
		require.Len(t, o.start(), 2, "host b may run the task of the earlier job")

		for name, restore := range map[string]func(*owner){
			"a cancelled job": func(o *owner) {
				o.Restore("stopping", batch.Spec{Queue: "q", Tenant: "t", Steps: []batch.Step{smallStep(5)}}, &shard.Progress{Phase: shard.Cancelled}, o.now)
			},
			"a job that could not be restored": func(o *owner) { o.NoteMissingJobs() },
		} {
			o := newSuccessor(t, smallStep(1), "a", "b")
			o.configureCap(1, capOf)
			o.RestoreBudget(budget)
			restore(o)
			o.submitAs("t", "new", smallStep(3))
			o.report("a")
			o.advance(time.Millisecond)
			require.Empty(t, o.plan(), name)
		}
	})

	t.Run("a host whose lease has expired", func(t *testing.T) {
		o := newSuccessor(t, smallStep(1), "a", "b")
		o.configureCap(1, capOf)
		o.RestoreBudget(caps.Budget{Tenant: "t", Amount: batch.Size{MilliCores: 4000}, Cap: capOf, Version: 1, Epoch: 1, Number: 3})
		o.Restore("earlier", batch.Spec{Queue: "q", Tenant: "t", Steps: []batch.Step{smallStep(9)}}, nil, o.now)
		o.submitAs("t", "new", smallStep(3))
		o.advance(20 * time.Second)
		o.HeartbeatSent("b", o.now)
		o.HeartbeatFailed("b", false, o.now)
		o.report("a")
		o.advance(time.Millisecond)
		require.Len(t, o.start(), 4, "the host that is left has room for four")
	})
}

// Guards against a report that leaves out what hosts may run which have not answered: the lender would lend it to other pools.
func TestTheFirstReportOfASuccessorCountsWhatMayRun(t *testing.T) {
	o := newSuccessor(t, smallStep(1), "a")
	o.SetCaps(&port.Config{Version: 1, Tenants: []port.Tenant{{Name: "t", Cap: capOf}, {Name: "other", Cap: capOf}}})
	for _, tenant := range []string{"t", "other"} {
		o.Restore("earlier-"+tenant, batch.Spec{Queue: "q", Tenant: tenant, Steps: []batch.Step{smallStep(2)}}, nil, o.now)
	}
	require.Equal(t, int64(2000), o.BudgetUses(o.now, caps.Active)[0].MayRun.MilliCores)
	o.plan()
	// A tenant that gets its first cap now counts at once.
	o.Restore("earlier-late", batch.Spec{Queue: "q", Tenant: "late", Steps: []batch.Step{smallStep(2)}}, nil, o.now)
	o.SetCaps(&port.Config{Version: 2, Tenants: []port.Tenant{{Name: "late", Cap: capOf}}})
	uses := o.BudgetUses(o.now, caps.Active)
	require.Len(t, uses, 1)
	require.Equal(t, int64(2000), uses[0].MayRun.MilliCores)
}

// Guards against starts under an earlier cap, and against a budget from before a time without a cap.
func TestABudgetOfAHigherCapStartsNothing(t *testing.T) {
	o := newOwner(t, 1, "a")
	o.configureCap(1, capOf)
	o.lend(1, 4000)
	o.configureCap(2, batch.Size{MilliCores: 6000})
	o.submitAs("t", "job", smallStep(4))
	require.Empty(t, o.plan(), "other pools may run more than the lower cap")

	require.Equal(t, []string{"t"}, o.configureCap(3, batch.Size{}))
	require.Len(t, o.start(), 4, "no cap")
	o.configureCap(4, capOf)
	o.submitAs("t", "later", smallStep(1))
	require.Empty(t, o.plan())
	require.True(t, o.BudgetUses(o.now, caps.All)[0].Void)
	taken, _ := o.lend(2, 4000)
	require.False(t, taken, "the lender has to ask first what has started without a cap")
}

// Guards against an owner with an older configuration that goes on to start work when the lender divides the first cap.
func TestABudgetOfANewerConfigurationHolds(t *testing.T) {
	o := newOwner(t, 1, "a")
	o.submitAs("t", "job", smallStep(1))
	o.lend(1, 0)
	require.Empty(t, o.plan())
	require.Equal(t, int64(0), o.BudgetUses(o.now, caps.All)[0].Held.Amount.MilliCores)
}

// Guards against caps that change the decisions of deployments without them, and against a round that looks at all that waits of a tenant
// without room.
func TestTenantsWithoutCapsAreNotLimited(t *testing.T) {
	o := newOwner(t, 1, "a")
	o.configureCap(1, batch.Size{})
	o.submitAs("t", "job", smallStep(4))
	require.Len(t, o.plan(), 4)
	require.Empty(t, o.BudgetUses(o.now, caps.All))
}

// Guards against machines that are moved to a pool for work which its tenant's cap holds back.
func TestTheLoadLeavesOutWhatWaitsForABudget(t *testing.T) {
	o := newOwner(t, 1)
	o.configureCap(1, capOf)
	o.submitAs("other", "free", smallStep(10))
	require.Empty(t, o.plan())
	free := o.Load(o.now).Backlog
	require.Positive(t, free)
	o.submitAs("t", "job", smallStep(40))
	require.Empty(t, o.plan())
	require.Equal(t, free, o.Load(o.now).Backlog)
	o.lend(1, 20_000)
	require.Equal(t, 3*free, o.Load(o.now).Backlog, "half of the work has room")
	o.lend(2, 40_000)
	require.Equal(t, 5*free, o.Load(o.now).Backlog)
}

// BenchmarkRoundWithoutBudget measures a round with many steps of a tenant that has used up its budget.
func BenchmarkRoundWithoutBudget(b *testing.B) {
	for _, bestEffort := range []bool{false, true} {
		for _, waiting := range []int{100, 10_000} {
			b.Run(fmt.Sprintf("best-effort=%t/waiting=%d", bestEffort, waiting), func(b *testing.B) {
				now := time.Unix(1_700_000_000, 0)
				s := shard.New("pool", 1, timing, now)
				s.SetCaps(&port.Config{Version: 1, Tenants: []port.Tenant{{Name: "t", Cap: capOf}}})
				for i := range 100 {
					id := fmt.Sprint("h-", i)
					s.UpdateHost(port.Host{ID: id, Pool: "pool", Capacity: batch.Size{MilliCores: 4000, MemoryMB: 4000}}, now).Stored = true
					s.HandleReport(id, &port.HostReport{Clock: 1000, Born: 1}, now)
				}
				step := smallStep(1)
				step.BestEffort, step.LongRunning = bestEffort, bestEffort
				for i := range waiting {
					j, _ := s.Submit(fmt.Sprint("j-", i), batch.Spec{Queue: "q", Tenant: "t", Steps: []batch.Step{step}}, now)
					s.MarkStored(j)
				}
				now = now.Add(time.Millisecond)
				s.ConfirmedAt = now
				for b.Loop() {
					shard.Plan(s, shard.BySlack{}, now, now.UnixMilli())
				}
				require.Empty(b, s.TakeOrders())
			})
		}
	}
}

// Guards against an owner that crashes, or reports nothing, when tenants have weights and caps.
func TestTheUseOfTenantsWithWeightsIsReported(t *testing.T) {
	o := newOwner(t, 1, "a")
	config := &port.Config{Version: 1, Tenants: []port.Tenant{{Name: "t", Weight: 2, Cap: capOf}, {Name: "other", Weight: 1}}}
	o.Configure(config)
	o.SetCaps(config)
	o.submitAs("t", "job", smallStep(3))
	o.submitAs("other", "free", smallStep(1))
	o.lend(1, 1000)
	require.Len(t, o.start(), 2)
	u := o.BudgetUses(o.now, caps.Active)
	require.Len(t, u, 1)
	require.Equal(t, int64(2000), u[0].Waiting.MilliCores)
	require.Equal(t, int64(1000), u[0].Least.MilliCores)
	require.Equal(t, shard.OverBudget, o.Explain(batch.Ref{Job: "job", Index: 2}, o.now))
}

// Guards against work that fits the budget and waits for ever behind work that does not: gangs and best-effort tasks reserve less than
// they request from a budget.
func TestWorkAboveTheBudgetKeepsNoSmallerWorkWaiting(t *testing.T) {
	bestEffort := func(milliCores int64) batch.Step {
		step := longRunningStep(1, 0, 1)
		step.BestEffort, step.Need.MilliCores = true, milliCores
		return step
	}
	gang := smallStep(3)
	gang.Gang = true
	for name, steps := range map[string][2]batch.Step{"best effort": {bestEffort(3000), bestEffort(500)}, "gangs": {gang, smallStep(1)}} {
		t.Run(name, func(t *testing.T) {
			o := newOwner(t, 1, "a")
			o.configureCap(1, capOf)
			o.lend(1, 2000)
			// More than a round looks at.
			for i := range 100 {
				o.submitAs("t", fmt.Sprintf("large-%03d", i), steps[0])
			}
			o.submitAs("t", "small", steps[1])
			orders := o.start()
			require.Len(t, orders, 1)
			require.Equal(t, "small", orders[0].Ref.Job)
		})
	}
}
