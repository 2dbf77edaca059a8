package shard

import "carawaymux.dev/fleet/batch"

// TenantUse is what a pool knows of a tenant. Jobs of callers without a key share the one with the empty name.
type TenantUse struct {
	// Name is the name of the tenant.
	Name string
	// Running is what the tasks request that run, may run or are being stopped on hosts of the pool. Unlike a reservation
	// it contains the processor capacity of best-effort tasks.
	Running batch.Size
	// budget limits the starts of the tenant.
	budget tenantBudget
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
