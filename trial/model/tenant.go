package model

import (
	"cmp"
	"slices"
	"time"

	"carawaymux.dev/fleet/share"
)

// Tenant is a tenant of a fleet. Its jobs are drawn apart from those of others.
type Tenant struct {
	// Part is its part of the load of each kind, and Weight its weight in jobs per second. Its jobs are larger than those of
	// others by the factor Size, and as many fewer, unless that is 0.
	Part, Weight, Size float64
	// Factor returns the factor by which its rate differs from that part at a time since the start. There is none if it is nil.
	Factor func(at time.Duration) float64
}

// size returns the factor of the size of the jobs.
func (t *Tenant) size() float64 { return cmp.Or(t.Size, 1) }

// rate returns the part of a kind's rate that a tenant sends at a time.
func (t *Tenant) rate(at time.Duration) float64 {
	part := t.Part / t.size()
	if t.Factor == nil {
		return part
	}
	return part * t.Factor(at)
}

// newAccounts returns an account for each tenant, or none if the fleet has no shares of tenants.
func newAccounts(f *Fleet) []share.Account {
	if f.NoTenantShare {
		return nil
	}
	var out []share.Account
	for i := range f.Tenants {
		out = append(out, share.NewAccount(epoch.Add(-leadTime), f.Tenants[i].Weight))
	}
	return out
}

// order gives the jobs of a pool one after the other.
type order interface {
	// pop removes the next job and returns it, or nil when there is none.
	pop() *job
}

// finishTime is as in package shard.
const finishTime = 250 * time.Millisecond

// byTenant goes through the jobs of an overloaded pool like shard.TenantShare: those in time before late ones, owed ones before
// others, what was begun before the rest, and then those of the tenant that has used the least.
type byTenant struct {
	accounts []share.Account
	// classes holds the turns of the tenants with jobs of the class.
	classes [8][]tenantTurns
	// position holds the place of each job in the order within tenants. It decides between tenants with about the same use.
	position map[*job]int
}

// tenantTurns holds the jobs of a tenant.
type tenantTurns struct {
	tenant int
	turns  *turns
	next   *job
}

// newByTenant returns the order of jobs, for which turnsOf gives the order within a tenant.
func newByTenant(jobs []*job, accounts []share.Account, isLate func(*job) bool, turnsOf func([]*job) *turns) *byTenant {
	b := &byTenant{accounts: accounts, position: make(map[*job]int, len(jobs))}
	of := make([][len(b.classes)][]*job, len(accounts))
	for i, j := range jobs {
		b.position[j] = i
		class := 0
		if isLate(j) {
			class = 4
		}
		if j.excess {
			class += 2
		}
		if !j.finish {
			class++
		}
		of[j.tenant][class] = append(of[j.tenant][class], j)
	}
	for tenant := range of {
		for class, jobs := range of[tenant] {
			if len(jobs) > 0 {
				turns := turnsOf(jobs)
				b.classes[class] = append(b.classes[class], tenantTurns{tenant, turns, turns.pop()})
			}
		}
	}
	return b
}

// pop implements [order].
func (b *byTenant) pop() *job {
	for class := range b.classes {
		tenants := b.classes[class]
		if len(tenants) == 0 {
			continue
		}
		first := slices.MinFunc(tenants, func(x, y tenantTurns) int {
			return cmp.Or(cmp.Compare(b.accounts[x.tenant].Rank(), b.accounts[y.tenant].Rank()), cmp.Compare(b.position[x.next], b.position[y.next]))
		})
		at := slices.IndexFunc(tenants, func(t tenantTurns) bool { return t.tenant == first.tenant })
		if tenants[at].next = first.turns.pop(); tenants[at].next == nil {
			b.classes[class] = slices.Delete(tenants, at, at+1)
		}
		return first.next
	}
	return nil
}
