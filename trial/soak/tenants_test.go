package soak

const (
	// testTenant is the tenant of the job in histories with tenants, and testKey its key. otherTenant has otherKey.
	testTenant, testKey   = "tenant-a", "key-a"
	otherTenant, otherKey = "tenant-b", "key-b"
)

// withTenant gives the job a tenant with a cap, which is in force from the start, and all requests its key.
func (h *History) withTenant(cpu int) {
	h.Configs = []TenantConfig{{Tenants: []TenantState{
		{Name: testTenant, Keys: []string{testKey}, Weight: 1, CPU: cpu}, {Name: otherTenant, Keys: []string{otherKey}, Weight: 1},
	}}}
	h.Jobs[0].Tenant = testTenant
	for i := range h.Requests {
		h.Requests[i] = withKey(h.Requests[i], testTenant, testKey)
	}
}

// withKey adds a key to a request.
func withKey(r Request, tenant, key string) Request {
	r.Tenant, r.Key, r.BeginAt = tenant, key, r.SentAt
	return r
}

// removeKey removes the key of the job's tenant.
func (h *History) removeKey(seconds float64) {
	h.Configs = append(h.Configs, TenantConfig{BeginAt: at(seconds), AckAt: at(seconds), Tenants: []TenantState{
		{Name: testTenant, Weight: 1}, {Name: otherTenant, Keys: []string{otherKey}, Weight: 1},
	}})
}

// foreign adds a request with the key of the other tenant.
func (h *History) foreign(r Request) {
	h.Foreign = append(h.Foreign, withKey(r, otherTenant, otherKey))
}

// waiting has the job wait for its last step from 2.6 s on.
func (h *History) waiting(cpu int) {
	h.withTenant(cpu)
	h.Requests[2].State = "running"
	h.Hosts = h.Hosts[:7]
}
