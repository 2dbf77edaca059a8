package mover

import (
	"context"
	"time"

	"carawaymux.dev/fleet/fault"
	"carawaymux.dev/fleet/port"
)

// machineList is a list of machines, and when it was asked for.
type machineList struct {
	machines []port.Machine
	askedAt  time.Time
	err      error
}

// listMachines looks at the machines.
func (c *core) listMachines(ctx context.Context, now time.Time) {
	if c.listing || now.Sub(c.listedAt) < listInterval {
		return
	}
	c.listing = true
	c.runInBackground(ctx, callTimeout, func(ctx context.Context) message {
		machines, err := c.deps.Machines.List(ctx)
		return machineList{machines, now, fault.At("list", "machines", err)}
	})
}

func (m machineList) handle(c *core) {
	c.listing = false
	if m.err != nil {
		if !c.listFailed {
			c.logger.Warn("machines lost", "err", m.err)
		}
		c.listFailed = true
		return
	}
	if c.listFailed {
		c.listFailed = false
		c.logger.Info("machines regained")
	}
	old := c.machines
	c.listedAt = m.askedAt
	c.machines = make(map[string]port.Machine, len(m.machines))
	for _, machine := range m.machines {
		if at, ok := c.orderedStateAt[machine.ID]; ok && !m.askedAt.After(at) {
			// The list may be older than the order.
			machine = old[machine.ID]
		} else {
			delete(c.orderedStateAt, machine.ID)
		}
		c.machines[machine.ID] = machine
	}
	for _, w := range c.waves {
		w.Listed(c.machines, m.askedAt)
	}
}
