package shard_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

const (
	// tenantCount is the number of tenants of a play.
	tenantCount = 20
	// floodAt is when a tenant begins to send many times its usual load.
	floodAt = 5 * time.Second
)

// tenantArrivals returns the jobs of tenants, each of which sends less than the one before it, and their weights, which are
// the jobs per second that they send. The first one sends a multiple of that from floodAt on.
func tenantArrivals(load, flood float64, seed uint64) ([]sizedJob, []port.Tenant) {
	var jobs []sizedJob
	var tenants []port.Tenant
	sum := 0.0
	for i := range tenantCount {
		sum += 1 / float64(i+1)
	}
	for i := range tenantCount {
		own := arrivals(load/float64(i+1)/sum, seed*100+uint64(i))
		tenants = append(tenants, port.Tenant{Name: fmt.Sprint("t", i), Weight: float64(len(own)) / sizedArrivals.Seconds()})
		if i == 0 && flood > 1 {
			for _, j := range arrivals((flood-1)*load/sum, seed*100+tenantCount) {
				if j.at >= floodAt {
					own = append(own, j)
				}
			}
		}
		for k := range own {
			own[k].tenant = i
		}
		jobs = append(jobs, own...)
	}
	slices.SortStableFunc(jobs, func(a, b sizedJob) int { return cmp.Compare(a.at, b.at) })
	return jobs, tenants
}

// tenantRanking is the order of an owner whose configuration has tenants.
type tenantRanking[M shard.Measure] = shard.LateShare[shard.StarvedFirst[shard.TenantShare[shard.SizeShare[shard.ByLoad], M]]]

func rankingWithTenants[M shard.Measure](o *owner) tenantRanking[M] {
	return tenantRanking[M]{
		Ranking: shard.StarvedFirst[shard.TenantShare[shard.SizeShare[shard.ByLoad], M]]{
			Ranking: shard.TenantShare[shard.SizeShare[shard.ByLoad], M]{
				Ranking: shard.SizeShare[shard.ByLoad]{Ranking: shard.ByLoad{Overloaded: o.Overloaded}, Overloaded: o.Overloaded},
				Active:  o.Overloaded && o.HasTenants(),
			},
			Spare: o.HasSpareCapacity(o.now),
		},
		Due: o.LateWorkIsDue(o.now),
	}
}

func planWithTenants[M shard.Measure](o *owner) {
	shard.Plan(o.State, rankingWithTenants[M](o), o.now, o.now.UnixMilli())
}

// servedTenants holds how many jobs of each tenant arrived and how many of them were in time.
type servedTenants struct{ inTime, all [tenantCount]float64 }

func (s *servedTenants) add(jobs []sizedJob, inTime []bool) {
	for i := range jobs {
		s.all[jobs[i].tenant]++
		if inTime[i] {
			s.inTime[jobs[i].tenant]++
		}
	}
}

// share returns the share of the jobs in time of the tenants from one up to another.
func (s *servedTenants) share(from, to int) float64 {
	inTime, all := 0.0, 0.0
	for i := from; i < to; i++ {
		inTime, all = inTime+s.inTime[i], all+s.all[i]
	}
	return inTime / all
}

// Guards against hosts whose room is taken by the small tasks of a flood before the larger ones of other tenants fit.
func TestAFloodOfOneTenantCostsTheOthersLittle(t *testing.T) {
	const seeds = 3
	var calm, flood, byRunning, without servedTenants
	play := func(s *servedTenants, jobs []sizedJob, plan func(*owner), tenants []port.Tenant) {
		_, inTime := playSized(t, jobs, plan, tenants...)
		s.add(jobs, inTime)
	}
	for seed := range uint64(seeds) {
		jobs, tenants := tenantArrivals(0.7, 1, seed)
		play(&calm, jobs, planWithTenants[shard.RecentUse], tenants)
		jobs, tenants = tenantArrivals(0.7, 10, seed)
		play(&flood, jobs, planWithTenants[shard.RecentUse], tenants)
		play(&byRunning, jobs, planWithTenants[shard.RunningUse], tenants)
		play(&without, jobs, planWithSizeShare, tenants)
	}
	t.Logf("others in time: %.3f, with the flood %.3f, by what runs %.3f, without shares %.3f", calm.share(1, tenantCount),
		flood.share(1, tenantCount), byRunning.share(1, tenantCount), without.share(1, tenantCount))
	require.GreaterOrEqual(t, flood.share(1, tenantCount), calm.share(1, tenantCount)-mostLost)
}

func (o *owner) configureTenants(tenants ...port.Tenant) {
	o.Configure(&port.Config{Pools: []port.Pool{{Name: "pool", EnforcesCapacity: true}}, Tenants: tenants})
}

func (o *owner) submitFor(tenant, id string) {
	o.t.Helper()
	j, _ := o.Submit(id, batch.Spec{Queue: "q", Tenant: tenant, Steps: []batch.Step{smallStep(1)}}, o.now)
	o.MarkStored(j)
}

// Guards against a tenant that has the share of a large one, or any at all beside others, after it left the configuration.
func TestTenantsOutsideTheConfigurationHaveTheSmallestWeight(t *testing.T) {
	o := newOwner(t, 1, "a")
	o.submitFor("gone", "0")
	require.False(t, o.HasTenants())
	require.NotEmpty(t, o.start())
	require.Empty(t, o.LargestTenants(8, o.now))
	o.configureTenants(port.Tenant{Name: "gone", Weight: 8}, port.Tenant{Name: "b", Weight: 3}, port.Tenant{Name: "c", Weight: 0.5})
	o.submitFor("", "1")
	require.InDelta(t, 8, o.Tenant("gone").Account.Weight(), 0)
	require.InDelta(t, 0.5, o.Tenant("").Account.Weight(), 0)
	o.configureTenants(port.Tenant{Name: "b", Weight: 3}, port.Tenant{Name: "c", Weight: 0.5})
	require.InDelta(t, 0.5, o.Tenant("gone").Account.Weight(), 0)
	o.configureTenants(port.Tenant{Name: "b"})
	require.InDelta(t, 0, o.Tenant("gone").Account.Weight(), 0)
	require.NotEmpty(t, o.start(), "a weight of 0 keeps no job from running")
	o.configureTenants()
	require.False(t, o.HasTenants())
}

// Guards against a tenant that pays for starts that hosts have refused, or for the estimate where a task took another time.
func TestTenantsAreChargedForWhatTheyUse(t *testing.T) {
	o := newOwner(t, 1, "a")
	o.configureTenants(port.Tenant{Name: "t", Weight: 1})
	o.submitFor("t", "0")
	orders := o.plan()
	require.Len(t, orders, 1)
	require.InDelta(t, 1, o.Tenant("t").Account.Use(o.now), 1e-9, "the estimate is a second of one core")
	o.HandleStartResult(&orders[0], 0, &port.RefusedError{Reason: port.RefusedCapacity}, o.now)
	require.Zero(t, o.Tenant("t").Account.Use(o.now))
	o.advance(time.Minute)
	o.report("a")
	orders = o.start()
	require.Len(t, orders, 1)
	began := o.now
	o.advance(3 * time.Second)
	o.report("a", doneRow(1, orders[0]))
	require.InDelta(t, 3, o.Tenant("t").Account.Use(began), 0.1)
}

// Guards against a tenant at its budget that keeps others from starting since its turn comes first.
func TestTenantsAtTheirBudgetHoldUpNoOthers(t *testing.T) {
	for _, overloaded := range []bool{false, true} {
		o := newOwner(t, 1, "a", "b")
		o.configureTenants(port.Tenant{Name: "t", Weight: 9}, port.Tenant{Name: "other", Weight: 1})
		o.configureCap(1, capOf)
		o.submitAs("t", "0", smallStep(10))
		o.submitAs("other", "1", smallStep(10))
		o.Overloaded = overloaded
		planWithTenants[shard.RecentUse](o)
		orders := o.TakeOrders()
		require.Len(t, orders, 8)
		for i := range orders {
			require.Equal(t, "1", orders[i].Ref.Job)
		}
	}
}
