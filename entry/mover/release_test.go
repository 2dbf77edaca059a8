package mover_test

import (
	"context"
	"io"
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

// Guards against a holder that has hosts emptied for orders that it may not send: its store does not answer.
func TestAHolderThatCannotReachTheStoreTakesItsMovesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		machines, cut := newWaveMachines("m-1", "m-2", "m-3"), new(atomic.Bool)
		began := time.Now()
		var askedAt, releasedAt atomic.Int64
		h := startMoverWithin(t, silentStore{newMemoryStore(t), cut}, mover.Deps{
			Machines: machines, Logger: slog.New(slog.NewJSONHandler(io.Discard, nil)), Waves: func() []port.Wave { return nil },
			Load: func(_ context.Context, pool string) (owner.Answer, bool) {
				if pool == "busy" {
					return owner.Answer{Load: &sizing.Load{Hosts: 3, HostCapacity: 10_000, IdleHosts: []string{"h-m-1", "h-m-2", "h-m-3"}}}, true
				}
				return owner.Answer{Load: &sizing.Load{Hosts: 1, HostCapacity: 10_000, Backlog: 100_000, ArrivalRate: 50_000, Arrivals: 1}}, true
			},
			Vacate: func(context.Context, string, string, shard.LeaveOrder) (owner.Answer, bool) {
				askedAt.Store(int64(time.Since(began)))
				return owner.Answer{}, true
			},
			Release: func(_ context.Context, _ string, hosts []string, o shard.LeaveOrder) bool {
				if len(hosts) > 0 && o.Holder == "h" && o.Purpose == shard.ForMove && cut.Load() {
					releasedAt.CompareAndSwap(0, int64(time.Since(began)))
				}
				return true
			},
		}, mover.Settings{Holder: "h", Term: 3 * time.Second})
		defer h.Close()
		time.Sleep(3500 * time.Millisecond)
		require.NotZero(t, askedAt.Load(), "a host is to be emptied")
		cut.Store(true)
		cutAt := time.Since(began)
		time.Sleep(5 * time.Second)
		// The holder may begin steps for 2.1 s after its claim was confirmed, and plans every 250 ms.
		const latest = 2100*time.Millisecond + 300*time.Millisecond
		require.NotZero(t, releasedAt.Load(), "no host was used again")
		require.LessOrEqual(t, time.Duration(releasedAt.Load())-cutAt, latest)
		require.LessOrEqual(t, time.Duration(askedAt.Load())-cutAt, latest)
	})
}

// silentStore is a store that does not answer appends while it is cut off.
type silentStore struct {
	memoryStore
	cut *atomic.Bool
}

func (s silentStore) Append(ctx context.Context, stream port.Stream, records []port.Record, w *port.Writer, end int64) (int64, error) {
	if s.cut.Load() {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return s.memoryStore.Append(ctx, stream, records, w, end)
}

// Guards against a host that leaves a pool whose load has come back while it was being emptied.
func TestAMoveIsTakenBackWhenThePoolNeedsTheHostAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		machines := newWaveMachines("m-1", "m-2", "m-3")
		var asked, back atomic.Bool
		released := make(chan []string, 16)
		h := startMoverWithin(t, newMemoryStore(t), mover.Deps{
			Machines: machines, Logger: slog.New(slog.NewJSONHandler(io.Discard, nil)), Waves: func() []port.Wave { return nil },
			Load: func(_ context.Context, pool string) (owner.Answer, bool) {
				busy := sizing.Load{Hosts: 3, HostCapacity: 10_000, IdleHosts: []string{"h-m-1", "h-m-2", "h-m-3"}}
				other := sizing.Load{Hosts: 1, HostCapacity: 10_000, Backlog: 100_000, ArrivalRate: 50_000, Arrivals: 1}
				if back.Load() {
					busy, other = sizing.Load{Hosts: 1, HostCapacity: 10_000, Running: 10_000, Backlog: 90_000, ArrivalRate: 90_000, Arrivals: 9},
						sizing.Load{Hosts: 1, HostCapacity: 10_000}
				}
				if pool == "busy" {
					return owner.Answer{Load: &busy}, true
				}
				return owner.Answer{Load: &other}, true
			},
			Vacate: func(context.Context, string, string, shard.LeaveOrder) (owner.Answer, bool) {
				asked.Store(true)
				return owner.Answer{}, true
			},
			Release: func(_ context.Context, pool string, hosts []string, _ shard.LeaveOrder) bool {
				if len(hosts) > 0 {
					released <- append([]string{pool}, hosts...)
				}
				return true
			},
		}, mover.Settings{Holder: "h", Term: 3 * time.Second})
		defer h.Close()
		for !asked.Load() {
			time.Sleep(50 * time.Millisecond)
		}
		require.Empty(t, released)
		back.Store(true)
		time.Sleep(time.Second)
		require.Len(t, released, 1)
		require.Equal(t, "busy", (<-released)[0])
		require.Empty(t, machines.ordered())
	})
}
