package mover

import (
	"bytes"
	"errors"
	"io"
	"log/slog"
	"strings"
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

// Guards against a line for each plan and pool while machines are short.
func TestAShortageOfMachinesIsLoggedOnceASecond(t *testing.T) {
	var out bytes.Buffer
	c := &core{logger: slog.New(slog.NewJSONHandler(&out, nil)), sizing: sizing.NewState()}
	now := time.Now()
	c.logShortage(now)
	require.Empty(t, out.String(), "nothing is short")
	c.sizing.Shortage = sizing.Shortage{Pool: "p", Hosts: 1, Needed: 9, Holder: "q", HolderHosts: 40, HolderNeeded: 3}
	for i := range 100 {
		c.logShortage(now.Add(time.Duration(i) * 50 * time.Millisecond))
	}
	require.Equal(t, 5, strings.Count(out.String(), "machines wanted and not given"))
}
