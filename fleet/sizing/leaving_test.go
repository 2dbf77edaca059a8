package sizing_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/sizing"
)

// Guards against hosts that take no work while an order for their machines may not be sent: an earlier holder may have
// ordered them.
func TestAHostIsNotTakenBeforeItsMachineMayBeOrdered(t *testing.T) {
	in := floodedPools(12)
	in.Held = map[string]bool{}
	for id := range in.Machines {
		in.Held[id] = true
	}
	delete(in.Held, "late-03")
	planned := sizing.Plan(sizing.NewState(), clearBacklog, in, time.Unix(1_700_000_000, 0))
	require.Len(t, planned, 1)
	require.Equal(t, "late-03", planned[0].Machine)
	l := in.Loads["late"]
	l.Running, l.RunningLate, l.Backlog, l.Late, l.IdleHosts, l.ReleasableHosts = 0, 0, 0, 0, l.ReleasableHosts, nil
	in.Loads["late"] = l
	planned = sizing.Plan(sizing.NewState(), clearBacklog, in, time.Unix(1_700_000_000, 0))
	require.Len(t, planned, 1)
	require.Equal(t, "late-03", planned[0].Machine)
}
