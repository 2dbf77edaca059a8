package owner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/owner"
	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// Guards against hosts that stay reserved for an order although the holder of the machines cannot send one.
func TestAHostIsNotReservedForAnOrderThatCannotFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newMemoryLog()
		host := port.Host{ID: "h", Address: "h:1", Pool: "pool", Capacity: batch.Size{MilliCores: 4000, MemoryMB: 4000}, Born: 1}
		o := startSuccessor(t, log, newHealthyHost(), host)
		time.Sleep(time.Second)
		order := shard.LeaveOrder{Purpose: shard.ForMove, Holder: "i", Epoch: 3, Tentative: true}
		require.Eventually(t, func() bool { return o.Vacate(t.Context(), "h", order).Vacant }, time.Second, 50*time.Millisecond)
		require.Empty(t, granted(t, log))
		require.Zero(t, o.Load(t.Context()).Load.Hosts, "it is being emptied")
		require.Equal(t, owner.Found, o.Release(t.Context(), []string{"h"}, order).Outcome)
		require.Equal(t, 1, o.Load(t.Context()).Load.Hosts)

		order.Tentative = false
		require.Eventually(t, func() bool { return o.Vacate(t.Context(), "h", order).Vacant }, time.Second, 50*time.Millisecond)
		require.Len(t, granted(t, log), 1)
		require.Equal(t, owner.Found, o.Release(t.Context(), nil, shard.LeaveOrder{Holder: "j", Epoch: 4}).Outcome)
		require.Equal(t, owner.Refused, o.Vacate(t.Context(), "h", order).Outcome, "the holder was replaced")
		require.Zero(t, o.Load(t.Context()).Load.Hosts, "the order may be under way")
		time.Sleep(cordonTime)
		require.Equal(t, 1, o.Load(t.Context()).Load.Hosts)
	})
}
