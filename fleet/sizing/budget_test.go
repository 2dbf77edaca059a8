package sizing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/sizing"
)

var start = time.Unix(1_700_000_000, 0)

// fleet returns machines for each pool, all up, with a host each.
func fleet(pools map[string]int) map[string]port.Machine {
	out := map[string]port.Machine{}
	for pool, n := range pools {
		for i := range n {
			id := fmt.Sprintf("%s-%04d", pool, i)
			out[id] = port.Machine{ID: id, Pool: pool, State: port.MachineUp, Host: "h-" + id}
		}
	}
	return out
}

// A limit of 16 moves at a time took 1,100 hosts through a change of demand in 14 s, while it lasted
// 4.5 s.
func TestMovesOfALargeFleetBeginTogether(t *testing.T) {
	for _, hosts := range []int{50, 350, 1_100, 2_400} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			lacking := hosts / 4
			in := &sizing.Input{
				Machines: fleet(map[string]int{"busy": hosts / 4, "off": hosts / 2}), Standby: map[string]bool{"off": true},
				Loads:  map[string]sizing.Load{"busy": {Hosts: hosts / 4, HostCapacity: hostCapacity, Running: int64(hosts/4+lacking) * hostCapacity}},
				Budget: hosts,
			}
			moves := sizing.Plan(sizing.NewState(), sizing.OnDemand{}, in, start)
			require.Len(t, moves, lacking)
		})
	}
}

func TestNoMoreMovesBeginThanTheBudgetAllows(t *testing.T) {
	in := &sizing.Input{
		Machines: fleet(map[string]int{"busy": 10, "idle": 40, "off": 40}), Standby: map[string]bool{"off": true},
		Loads: map[string]sizing.Load{
			"busy": {Hosts: 10, HostCapacity: hostCapacity, Running: 30 * hostCapacity},
			"idle": {Hosts: 40, HostCapacity: hostCapacity, IdleHosts: []string{"h-idle-0000", "h-idle-0001", "h-idle-0002"}},
		},
	}
	s := sizing.NewState()
	require.Empty(t, sizing.Plan(s, sizing.OnDemand{}, in, start))
	in.Budget = 7
	require.Len(t, sizing.Plan(s, sizing.OnDemand{}, in, start.Add(2*time.Second)), 7)
	in.Loads["busy"] = sizing.Load{Hosts: 10, HostCapacity: hostCapacity, Running: 10 * hostCapacity}
	in.Budget = 2
	moves := sizing.Plan(s, sizing.OnDemand{}, in, start.Add(4*time.Second))
	require.Len(t, moves, 2, "moves to standby count as well")
}
