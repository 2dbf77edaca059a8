package shard

import "carawaymux.dev/fleet/batch"

// TenantUse is what a pool knows of a tenant. Jobs of callers without a key share the one with the empty name.
type TenantUse struct {
	// Name is the name of the tenant.
	Name string
	// Running is what the tasks request that run, may run or are being stopped on hosts of the pool. Unlike a reservation
	// it contains the processor capacity of best-effort tasks.
	Running batch.Size
}

// tenant returns the use of the tenant of a job.
func (b *backlog) tenant(j *Job) *TenantUse {
	if j.tenant == nil {
		name := j.Spec.Tenant
		if j.tenant = b.tenants[name]; j.tenant == nil {
			j.tenant = &TenantUse{Name: name}
			b.tenants[name] = j.tenant
		}
	}
	return j.tenant
}

// Tenant returns what the pool knows of a tenant, or nil if it has had no job of it.
func (s *State) Tenant(name string) *TenantUse { return s.backlog.tenants[name] }
