package owner

import (
	"time"

	"carawaymux.dev/fleet/shard"
)

// missing is the answer to a request about a job that does not exist for the caller.
var missing = Answer{Outcome: Missing, Reason: "no such job"}

// conflicting is the answer to a submission whose ID another tenant uses.
var conflicting = Answer{Outcome: Conflict, Reason: "the ID of the job is in use by another tenant"}

// cancelledInAdvance is the answer to a cancellation of a job that does not exist for the caller.
var cancelledInAdvance = Answer{Outcome: Accepted, Phase: shard.Cancelled}

// job returns a submitted job that the caller of a request may know of, or nil.
func (c *core) job(s *scope, id string) *shard.Job {
	j := c.state.Jobs[id]
	if j == nil || j.Unsubmitted || (j.Spec.Tenant != s.tenant && !c.isForeign(&s.queue)) {
		return nil
	}
	return j
}

// isOfOther reports whether a job is submitted by another tenant.
func (c *core) isOfOther(tenant, id string) bool {
	j := c.state.Jobs[id]
	return j != nil && !j.Unsubmitted && j.Spec.Tenant != tenant
}

// cancelFor cancels a job for a tenant. It returns nil if the job is of another tenant.
func (c *core) cancelFor(tenant, id string) *shard.Job {
	if c.isOfOther(tenant, id) {
		return nil
	}
	return c.state.Cancel(id, time.Now(), shard.ForTenant(tenant))
}
