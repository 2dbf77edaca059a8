package lease_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/lease"
)

func TestLeaseExpiresWhenUnchangedForItsTerm(t *testing.T) {
	var w lease.Watch
	now := time.Unix(1000, 0)
	l := lease.Lease{Holder: "a", Fence: 3, Version: 3, TermMS: 1000}
	require.True(t, w.Expired(lease.Lease{}, now), "a lease without a holder is expired")
	require.False(t, w.Expired(l, now), "the version was observed for the first time")
	require.False(t, w.Expired(l, now.Add(999*time.Millisecond)))
	l.Version = 9
	require.False(t, w.Expired(l, now.Add(2*time.Second)), "the lease was renewed")
	require.True(t, w.Expired(l, now.Add(3*time.Second)))
}

func TestRenewalKeepsTheFenceAndTakeoverRaisesIt(t *testing.T) {
	l := lease.Lease{}.Grant(lease.Claim{Holder: "a", TermMS: 1000}, 5)
	l = l.Grant(lease.Claim{Holder: "a", TermMS: 1000}, 8)
	require.Equal(t, lease.Lease{Holder: "a", Fence: 5, Version: 8, TermMS: 1000}, l)
	l = l.Grant(lease.Claim{Holder: "b", TermMS: 1000}, 11)
	require.EqualValues(t, 11, l.Fence)
}
