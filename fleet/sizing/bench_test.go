package sizing_test

import (
	"fmt"
	"testing"
	"time"

	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/sizing"
)

// BenchmarkPlan measures a plan for 2,400 hosts in 172 pools. With floods, the first four pools hold most of the hosts
// for late work, and the others lack some.
func BenchmarkPlan(b *testing.B) {
	const pools, hosts, orders = 172, 2400, 1000
	for _, flooded := range []bool{false, true} {
		b.Run(fmt.Sprintf("flooded-%v", flooded), func(b *testing.B) {
			in := &sizing.Input{Loads: map[string]sizing.Load{}, Machines: map[string]port.Machine{}, Standby: standby, Budget: orders / 4}
			busy := map[string][]string{}
			for i := range hosts {
				pool := fmt.Sprintf("p%03d", i%pools)
				if flooded && i > 2*pools {
					pool = fmt.Sprintf("p%03d", i%4)
				}
				id := fmt.Sprintf("m%04d", i)
				in.Machines[id] = port.Machine{ID: id, Pool: pool, State: port.MachineUp, Host: "h-" + id}
				busy[pool] = append(busy[pool], "h-"+id)
			}
			for pool, names := range busy {
				capacity := int64(len(names) * hostCapacity)
				l := sizing.Load{Hosts: len(names), HostCapacity: hostCapacity, Running: capacity * 8 / 10}
				switch {
				case flooded && len(names) > 10:
					l.Running, l.RunningLate, l.Backlog, l.Late, l.ReleasableHosts = capacity, capacity, 20*capacity, 20*capacity, names
				case flooded:
					l.Backlog = 8 * capacity
				}
				in.Loads[pool] = l
			}
			now, moves := time.Unix(1_700_000_000, 0), 0
			for b.Loop() {
				moves = len(sizing.Plan(sizing.NewState(), clearBacklog, in, now))
			}
			b.ReportMetric(float64(moves), "moves/op")
		})
	}
}
