package mover_test

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/mover"
	"carawaymux.dev/entry/owner"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// Guards against the end of work on a machine that has come back since the newest list, which shows it without a host (AVAIL).
func TestAMachineThatHasComeBackSinceTheListIsNotOrderedUnasked(t *testing.T) {
	m := newChangingMachines()
	up := []port.Machine{{ID: "m-1", Pool: "busy", State: port.MachineUp, Host: "h-1"}, {ID: "m-2", Pool: "busy", State: port.MachineUp, Host: "h-2"}}
	m.list.Store(&up)
	var asked atomic.Int64
	w := port.Wave{Number: 1, Machines: []string{"m-1"}, TimeLimit: 4 * time.Second, MaxDown: 1}
	h := startMoverWith(t, newMemoryStore(t), mover.Deps{
		Machines: m, Logger: slog.New(slog.NewJSONHandler(io.Discard, nil)), Load: busyLoad(0), Operators: discardReports{},
		Waves: func() []port.Wave { return []port.Wave{w} },
		Vacate: func(context.Context, string, string, shard.LeaveOrder) (owner.Answer, bool) {
			asked.Add(1)
			return owner.Answer{}, true
		},
	})
	t.Cleanup(h.Close)
	require.Eventually(t, func() bool { return asked.Load() > 0 }, 5*time.Second, 10*time.Millisecond)
	// The machine crashes; a list shows it; then it is up again, and the next list is late.
	down := []port.Machine{{ID: "m-1", Pool: "busy", State: port.MachineDown}, up[1]}
	m.list.Store(&down)
	select {
	case id := <-m.maintained:
		require.Fail(t, "ordered without asking the owner", id)
	case <-time.After(3 * time.Second):
	}
}
