package mover

import (
	"errors"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/sizing"
)

// Guards against a machine that counts as on its way to a pool for as long as the platform does not
// answer the orders to move it, so that no other machine is sent there.
func TestAMoveWhoseOrdersAreNotAnsweredIsAbandoned(t *testing.T) {
	for name, r := range map[string]moveResult{
		"the platform does not answer": {machine: "m", err: errors.New("no answer")},
		"the platform is busy":         {machine: "m", outcome: port.OrderBusy},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			c := &core{
				logger: slog.New(slog.NewJSONHandler(io.Discard, nil)), stepInFlight: map[string]bool{"m": true},
				moves: map[string]move{"m": {Move: sizing.Move{Machine: "m"}, since: now}},
			}
			r.handle(c)
			require.Contains(t, c.moves, "m", "it is tried again within the time limit")
			c.moves["m"] = move{Move: sizing.Move{Machine: "m"}, since: now.Add(-moveTimeout - time.Second)}
			r.handle(c)
			require.NotContains(t, c.moves, "m")
			require.NotContains(t, c.stepInFlight, "m")
		})
	}
}
