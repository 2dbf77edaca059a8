package shard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// A new owner reported hosts as empty that had not answered it yet. Their machines went into maintenance,
// which ended the long-running work on them.
func TestAHostThatHasNotAnsweredANewOwnerIsNotEmpty(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	timing := shard.Timing{Lease: 3 * time.Second, MaxLease: 6 * time.Second, Grace: 4 * time.Second}
	s := shard.New("pool", 2, timing, now)
	host := port.Host{ID: "h", Pool: "pool", Capacity: batch.Size{MilliCores: 16_000}}
	s.RestoreHost(host)
	h := s.UpdateHost(host, now)
	require.False(t, s.Vacate(h, now, time.Second))

	later := now.Add(timing.Grace + 2*timing.Lease)
	s.ConfirmedAt = later
	require.True(t, s.Vacate(h, later, time.Second), "nothing can be running after its lease")

	s.HandleReport("h", &port.HostReport{Clock: 1000, ReceivedAt: now}, now)
	require.True(t, s.Vacate(h, now, time.Second), "it has reported that nothing runs")

	unused := s.UpdateHost(port.Host{ID: "new", Pool: "pool"}, now)
	require.True(t, s.Vacate(unused, now, time.Second), "no owner has given it work")
}
