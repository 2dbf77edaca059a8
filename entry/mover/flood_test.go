package mover_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/mover"
	"carawaymux.dev/entry/owner"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
	"carawaymux.dev/fleet/sizing"
)

// Guards against moves from a flooded pool that are taken back by the round after the one that has decided them, since the
// flood counted as usual load.
func TestMovesFromAFloodedPoolAreNotTakenBackWhileLoadsStayTheSame(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var machines, hosts []string
		for i := range 24 {
			machines = append(machines, fmt.Sprintf("m-%02d", i))
			hosts = append(hosts, fmt.Sprintf("h-m-%02d", i))
		}
		var flooded atomic.Bool
		var asked, released atomic.Int32
		h := startMoverWithin(t, newMemoryStore(t), mover.Deps{
			Machines: newWaveMachines(machines...), Logger: slog.New(slog.DiscardHandler), Waves: func() []port.Wave { return nil },
			Load: func(_ context.Context, pool string) (owner.Answer, bool) {
				l := sizing.Load{Hosts: 3, HostCapacity: 10_000, Running: 1000, ArrivalRate: 1000, Arrivals: 4}
				switch {
				case !flooded.Load() && pool == "busy":
					l = sizing.Load{Hosts: 2, HostCapacity: 10_000}
				case flooded.Load() && pool == "busy":
					l = sizing.Load{
						Hosts: 24, HostCapacity: 10_000, Running: 240_000, Backlog: 9_000_000, ArrivalRate: 1_000_000, Arrivals: 99, ReleasableHosts: hosts,
					}
				case flooded.Load():
					l = sizing.Load{Hosts: 3, HostCapacity: 10_000, Running: 30_000, Backlog: 30_000, ArrivalRate: 40_000, Arrivals: 9}
				}
				return owner.Answer{Load: &l}, true
			},
			// Work runs on the hosts for longer than the test.
			Vacate: func(context.Context, string, string, shard.LeaveOrder) (owner.Answer, bool) {
				asked.Add(1)
				return owner.Answer{}, true
			},
			Release: func(_ context.Context, _ string, hosts []string, _ shard.LeaveOrder) bool {
				released.Add(int32(len(hosts)))
				return true
			},
		}, mover.Settings{Holder: "h", Term: 3 * time.Second})
		defer h.Close()
		time.Sleep(3 * time.Second)
		flooded.Store(true)
		time.Sleep(3500 * time.Millisecond)
		require.NotZero(t, asked.Load())
		require.Zero(t, released.Load())
	})
}
