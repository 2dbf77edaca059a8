package owner_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/owner"
	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/shard"
)

// specOf returns a job of a tenant.
func specOf(tenant string) batch.Spec {
	spec := movedSpec
	spec.Tenant = tenant
	return spec
}

// Guards against a tenant that learns of another's job, cancels it or takes its place, also after a change of owner.
func TestAJobDoesNotExistForOtherTenants(t *testing.T) {
	in := newInstallation(t)
	q := settleIn("wages", 3)
	pool := in.start("wages", configured(q))
	require.Equal(t, owner.Accepted, pool.Submit(t.Context(), q, "job", specOf("a")).Outcome)
	for range 2 {
		for _, other := range []string{"b", ""} {
			ask := []owner.RequestOption{owner.OfQueue(q), owner.OfTenant(other)}
			unknown := pool.JobStatus(t.Context(), "none", ask...)
			found := pool.JobStatus(t.Context(), "job", ask...)
			require.Equal(t, unknown.Outcome, found.Outcome)
			require.Equal(t, unknown.Reason, found.Reason)
			require.Equal(t, pool.Cancel(t.Context(), "none"+other, ask...).Outcome, pool.Cancel(t.Context(), "job", ask...).Outcome)
			require.Equal(t, owner.Conflict, pool.Submit(t.Context(), q, "job", specOf(other)).Outcome)
		}
		a := pool.JobStatus(t.Context(), "job", owner.OfQueue(q), owner.OfTenant("a"))
		require.Equal(t, owner.Found, a.Outcome)
		require.Equal(t, shard.Open, a.Phase, "nobody else has cancelled it")
		require.Equal(t, owner.Accepted, pool.Submit(t.Context(), q, "job", specOf("a")).Outcome, "a repeat")
		pool.Close()
		pool = in.start("wages", configured(q))
	}
}

// Guards against a tenant that keeps another's job from running by cancelling its ID in advance.
func TestACancellationInAdvanceHoldsForItsTenantOnly(t *testing.T) {
	in := newInstallation(t)
	q := settleIn("wages", 3)
	pool := in.start("wages", configured(q))
	require.Equal(t, owner.Accepted, pool.Submit(t.Context(), q, "first", specOf("a")).Outcome, "registers the pool for the queue")
	require.Equal(t, owner.Accepted, pool.Cancel(t.Context(), "own", owner.OfQueue(q), owner.OfTenant("a")).Outcome)
	require.Equal(t, owner.Accepted, pool.Cancel(t.Context(), "job", owner.OfQueue(q), owner.OfTenant("b")).Outcome)
	require.Equal(t, shard.Open, phaseOf(pool.Submit(t.Context(), q, "job", specOf("a"))))
	pool.Close()
	pool = in.start("wages", configured(q))
	a := pool.JobStatus(t.Context(), "job", owner.OfQueue(q), owner.OfTenant("a"))
	require.Equal(t, owner.Found, a.Outcome)
	require.Equal(t, shard.Open, a.Phase, "the stored cancellation is of another tenant")
	require.Equal(t, shard.Cancelled, pool.Submit(t.Context(), q, "own", specOf("a")).Phase)
}

// phaseOf returns the phase in an answer to a submission, which is empty for an open job.
func phaseOf(a owner.Answer) shard.Phase {
	if a.Outcome == owner.Accepted && a.Phase == "" {
		return shard.Open
	}
	return a.Phase
}

// Guards against a job that becomes visible to other tenants, or gets lost to its own, when its queue moves to another pool.
func TestAMovedQueueKeepsTheTenantsOfItsJobs(t *testing.T) {
	in := newInstallation(t)
	wages := in.start("wages", configured(settleIn("wages", 3)))
	require.Equal(t, owner.Accepted, wages.Submit(t.Context(), settleIn("wages", 3), "job", specOf("a")).Outcome)
	q := settleIn("docs", 14)
	docs := in.start("docs", configured(q))
	status := func(tenant string) owner.Outcome {
		return docs.JobStatus(t.Context(), "job", owner.OfQueue(q), owner.OfTenant(tenant)).Outcome
	}
	require.Eventually(t, func() bool { return status("a") == owner.Found }, 5*time.Second, 5*time.Millisecond)
	require.Equal(t, owner.Missing, status("b"))
	require.Equal(t, owner.Conflict, docs.Submit(t.Context(), q, "job", specOf("b")).Outcome)
	require.Equal(t, owner.Accepted, docs.Cancel(t.Context(), "job", owner.OfQueue(q), owner.OfTenant("b")).Outcome)
	require.Equal(t, shard.Open, wages.JobStatus(t.Context(), "job", owner.OfTenant("a")).Phase)
	require.Equal(t, owner.Accepted, docs.Cancel(t.Context(), "job", owner.OfQueue(q), owner.OfTenant("a")).Outcome)
	require.Equal(t, shard.Cancelled, wages.JobStatus(t.Context(), "job", owner.OfTenant("a")).Phase)
}

// Guards against a cancellation that waits for an earlier pool and then ends a job that another tenant has submitted meanwhile.
func TestACancellationThatWaitedEndsNoJobOfAnotherTenant(t *testing.T) {
	in := newInstallation(t)
	wages := in.start("wages", configured(settleIn("wages", 3)))
	require.Equal(t, owner.Accepted, wages.Submit(t.Context(), settleIn("wages", 3), "first", specOf("a")).Outcome)
	q := settleIn("docs", 14)
	docs := in.start("docs", configured(q))
	require.Eventually(t, func() bool {
		return docs.Submit(t.Context(), q, "second", specOf("a")).Outcome == owner.Accepted
	}, 5*time.Second, 5*time.Millisecond)
	asked, goOn := make(chan struct{}), make(chan struct{})
	in.onCancel = func() {
		close(asked)
		<-goOn
	}
	cancelled := make(chan owner.Answer, 1)
	go func() { cancelled <- docs.Cancel(t.Context(), "job", owner.OfQueue(q), owner.OfTenant("b")) }()
	<-asked
	require.Equal(t, owner.Accepted, docs.Submit(t.Context(), q, "job", specOf("a")).Outcome)
	close(goOn)
	require.Equal(t, owner.Accepted, (<-cancelled).Outcome)
	require.Equal(t, shard.Open, docs.JobStatus(t.Context(), "job", owner.OfQueue(q), owner.OfTenant("a")).Phase)
}

// Guards against a cancellation whose answer tells that another tenant has a job with the ID, in a queue that has moved.
func TestACancellationInAMovedQueueTellsNothingOfOtherTenants(t *testing.T) {
	in := newInstallation(t)
	q := settleIn("wages", 3)
	wages := in.start("wages", configured(q))
	require.Equal(t, owner.Accepted, wages.Submit(t.Context(), q, "job", specOf("a")).Outcome)
	moved := settleIn("docs", 14)
	docs := in.start("docs", configured(moved))
	require.Eventually(t, func() bool {
		return docs.Submit(t.Context(), moved, "second", specOf("a")).Outcome == owner.Accepted
	}, 5*time.Second, 5*time.Millisecond)
	unknown := wages.Cancel(t.Context(), "none", owner.OfQueue(q), owner.OfTenant("b"))
	require.Equal(t, unknown, wages.Cancel(t.Context(), "job", owner.OfQueue(q), owner.OfTenant("b")))
	require.Equal(t, shard.Open, wages.JobStatus(t.Context(), "job", owner.OfTenant("a")).Phase)
}
