package shard_test

import (
	"fmt"
	"testing"
	"time"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// benchRunTime is how long the tasks of BenchmarkTenants run.
const benchRunTime = 1600 * time.Millisecond

// BenchmarkTenants measures rounds of an overloaded pool with 10,000 waiting tasks of a number of tenants, or of none. In
// each, some tasks end and as many start. In some, every second waiting task needs more memory than any host has left. Run times
// are as estimated, since all waiting steps are placed anew when the ratio changes.
func BenchmarkTenants(b *testing.B) {
	const hosts, perHost, waiting = 80, 8, 10_000
	for _, tenants := range []int{0, 1, 20, 760} {
		for i, name := range []string{"equal-needs-ends-1", "equal-needs-ends-32", "mixed-needs-ends-1", "mixed-needs-ends-32"} {
			ends, mixed := []int{1, 32}[i%2], i >= 2
			b.Run(fmt.Sprintf("tenants-%d-%s", tenants, name), func(b *testing.B) {
				p := newTenantPool(tenants, hosts, perHost, waiting, mixed)
				step := func() {
					p.now = p.now.Add(time.Duration(ends) * benchRunTime / (hosts * perHost))
					p.state.ConfirmedAt = p.now
					for range ends {
						p.replaceOldest(func() { p.submitFor(tenants, true) })
					}
					p.tenantRound()
				}
				for range 3 * hosts * perHost / ends {
					step()
				}
				b.ResetTimer()
				for b.Loop() {
					step()
				}
			})
		}
	}
}

func newTenantPool(tenants, hosts, perHost, waiting int, mixed bool) *fullPool {
	p := &fullPool{now: time.Unix(1_700_000_000, 0), perJob: 1}
	p.state = shard.New("pool", 1, timing, p.now)
	p.state.Timing.MaxReservedShare = 0.1
	c := &port.Config{
		Queues: []port.Queue{{Name: "q", Pool: "pool", Stretch: 2, Target: time.Hour}}, Pools: []port.Pool{{Name: "pool", EnforcesCapacity: true}},
	}
	for i := range tenants {
		c.Tenants = append(c.Tenants, port.Tenant{Name: fmt.Sprint("t", i), Weight: float64(1 + i%7)})
	}
	p.state.Configure(c)
	for i := range hosts {
		id := fmt.Sprint(i)
		size := batch.Size{MilliCores: int64(perHost)*1000 + 500, MemoryMB: 8000}
		p.state.UpdateHost(port.Host{ID: id, Pool: "pool", Capacity: size}, p.now).Stored = true
		p.state.HandleReport(id, &port.HostReport{Clock: 1}, p.now)
	}
	p.now = p.now.Add(time.Millisecond)
	p.state.ConfirmedAt = p.now
	for i := range waiting + hosts*perHost {
		p.submitFor(tenants, !mixed || i%2 == 1)
	}
	for range 2 {
		p.tenantRound()
	}
	return p
}

// submitFor submits a job of one of a number of tenants, which fits on a host with a free core or on none.
func (p *fullPool) submitFor(tenants int, fits bool) {
	p.jobs++
	step := smallStep(1)
	step.Estimate = benchRunTime
	if !fits {
		step.Need = batch.Size{MilliCores: 400, MemoryMB: 7500}
	}
	spec := batch.Spec{Queue: "q", Steps: []batch.Step{step}}
	if tenants > 0 {
		spec.Tenant = fmt.Sprint("t", p.jobs/2%tenants)
	}
	j, _ := p.state.Submit(fmt.Sprint(p.jobs), spec, p.now)
	p.state.MarkStored(j)
}

// tenantRound is like round, with the ranking of an owner.
func (p *fullPool) tenantRound() {
	p.state.RetryStops(p.now)
	ranking := rankingWithTenants[shard.RecentUse](&owner{State: p.state, now: p.now})
	shard.Plan(p.state, ranking, p.now, p.now.UnixMilli())
	p.started = append(p.started, p.state.TakeOrders()...)
	p.state.NeedsFlush()
	p.state.NeedsConfirmation()
}
