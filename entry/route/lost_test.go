package route_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/route"
)

func suspectRequest(kind string) route.SlotRequest {
	request := slotRequest(kind)
	request.Suspect = true
	return request
}

// Guards against a target that is lost under one request and takes several others down with it.
func TestSuspectRequestsGetTargetsOfTheirOwn(t *testing.T) {
	r := newFixture(t, generousLimits, testPool("docs", 4, 4))
	_, normal := r.submit(slotRequest("docs"))
	used := map[string]bool{normal.Grant.Host: true}
	for range 2 {
		_, reply := r.submit(suspectRequest("docs"))
		require.False(t, used[reply.Grant.Host], "the target has other requests")
		used[reply.Grant.Host] = true
	}
	require.Len(t, used, 3)
	// The other requests share the first target and the one that has none yet.
	suspects := used
	delete(suspects, normal.Grant.Host)
	for range 7 {
		_, reply := r.submit(slotRequest("docs"))
		require.False(t, suspects[reply.Grant.Host], "the target has a suspect request")
	}
}

// Guards against requests that wait because each target has a suspect one.
func TestSuspectRequestsShareTargetsRatherThanWait(t *testing.T) {
	r := newFixture(t, generousLimits, testPool("docs", 1, 4))
	for range 2 {
		_, reply := r.submit(suspectRequest("docs"))
		require.NotNil(t, reply.Grant)
		_, reply = r.submit(slotRequest("docs"))
		require.NotNil(t, reply.Grant)
	}
}

// Guards against attempts that are spent on the target that has just been lost.
func TestADisconnectedTargetIsAvoidedWhileOthersHaveSlots(t *testing.T) {
	r := newFixture(t, generousLimits, testPool("docs", 2, 4))
	_, reply := r.submit(slotRequest("docs"))
	lost := reply.Grant.Host
	reply.Grant.Release(route.Result{Attempted: true, Failed: true, Disconnected: true, Duration: time.Millisecond})
	for range 4 {
		_, reply = r.submit(suspectRequest("docs"))
		require.NotEqual(t, lost, reply.Grant.Host)
	}
	waiting, reply := r.submit(suspectRequest("docs"))
	require.True(t, reply.Queued, "a suspect request waits for a connected target")
	waiting.Cancel()
	_, reply = r.submit(slotRequest("docs"))
	require.NotNil(t, reply.Grant, "the slots of a target are used although it may be down")
	require.Equal(t, lost, reply.Grant.Host)
}

// Guards against requests that wait because no target of the pool is connected.
func TestSuspectRequestsUseADisconnectedTargetIfThereIsNoOther(t *testing.T) {
	r := newFixture(t, generousLimits, testPool("docs", 1, 4))
	_, reply := r.submit(slotRequest("docs"))
	reply.Grant.Release(route.Result{Attempted: true, Failed: true, Disconnected: true, Duration: time.Millisecond})
	_, reply = r.submit(suspectRequest("docs"))
	require.NotNil(t, reply.Grant)
}

// Guards against a target that is avoided for good after a suspect request on it has ended.
func TestATargetIsSharedAgainOnceItsSuspectRequestHasEnded(t *testing.T) {
	r := newFixture(t, generousLimits, testPool("docs", 2, 1))
	_, first := r.submit(suspectRequest("docs"))
	first.Grant.Release(route.Result{Attempted: true, Duration: time.Millisecond})
	hosts := make(map[string]bool)
	for range 2 {
		_, reply := r.submit(slotRequest("docs"))
		hosts[reply.Grant.Host] = true
	}
	require.Len(t, hosts, 2)
}

// disconnect makes a connection to a target of a pool with one free slot count as refused. It returns its host.
func (r *fixture) disconnect(kind string) string {
	r.t.Helper()
	_, reply := r.submit(slotRequest(kind))
	require.NotNil(r.t, reply.Grant)
	reply.Grant.Release(route.Result{Attempted: true, Failed: true, Disconnected: true, Duration: time.Millisecond})
	return reply.Grant.Host
}

// Guards against requests that are held up by one that waits for a connected target, while a target that
// may be down has free slots.
func TestARequestThatWaitsForAConnectedTargetHoldsUpNoOther(t *testing.T) {
	r := newFixture(t, generousLimits, testPool("docs", 2, 1))
	_, busy := r.submit(slotRequest("docs"))
	lost := r.disconnect("docs")
	waiting, reply := r.submit(suspectRequest("docs"))
	require.True(t, reply.Queued)
	_, reply = r.submit(slotRequest("docs"))
	require.NotNil(t, reply.Grant, "the request waits behind one that may not use the slot")
	require.Equal(t, lost, reply.Grant.Host)
	busy.Grant.Release(route.Result{Attempted: true, Duration: time.Millisecond})
	require.Equal(t, busy.Grant.Host, r.next(waiting).Grant.Host)
}

// Guards against a borrowed slot of the target that has just refused the request.
func TestASlotOfADisconnectedTargetIsNotLent(t *testing.T) {
	spare := testPool("spare", 1, 1)
	spare.Spare = true
	r := newFixture(t, generousLimits, testPool("docs", 1, 1), spare)
	_, busy := r.submit(slotRequest("docs"))
	require.NotNil(t, busy.Grant)
	r.disconnect("spare")
	waiting, reply := r.submit(suspectRequest("docs"))
	require.True(t, reply.Queued)
	r.requireNoReply(waiting)
	busy.Grant.Release(route.Result{Attempted: true, Duration: time.Millisecond})
	require.Equal(t, busy.Grant.Host, r.next(waiting).Grant.Host)
}

// Guards against a request that waits in the queue of this entry although other entries have free slots.
func TestARequestThatMayNotWaitIsRefusedIfOnlyADisconnectedTargetIsFree(t *testing.T) {
	r := newFixture(t, generousLimits, testPool("docs", 2, 1))
	r.submit(slotRequest("docs"))
	r.disconnect("docs")
	request := suspectRequest("docs")
	request.NoWait = true
	_, reply := r.submit(request)
	require.NotEmpty(t, reply.Refused)
	require.True(t, reply.NoCapacity)
}
