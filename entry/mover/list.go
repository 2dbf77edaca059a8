package mover

import (
	"context"
	"time"

	"carawaymux.dev/fleet/fault"
	"carawaymux.dev/fleet/port"
)

// listed is a list of machines, and when it was asked for.
type listed struct {
	machines []port.Machine
	asked    time.Time
	err      error
}

// list looks at the machines.
func (c *core) list(ctx context.Context, now time.Time) {
	if c.listing || now.Sub(c.listed) < listInterval {
		return
	}
	c.listing = true
	c.call(ctx, callTimeout, func(ctx context.Context) message {
		machines, err := c.deps.Machines.List(ctx)
		return listed{machines, now, fault.At("list", "machines", err)}
	})
}

func (m listed) handle(c *core) {
	c.listing = false
	if m.err != nil {
		if !c.cloudDown {
			c.logger.Warn("machines lost", "err", m.err)
		}
		c.cloudDown = true
		return
	}
	if c.cloudDown {
		c.cloudDown = false
		c.logger.Info("machines regained")
	}
	old := c.machines
	c.listed = m.asked
	c.machines = make(map[string]port.Machine, len(m.machines))
	for _, one := range m.machines {
		if at, ok := c.changed[one.ID]; ok && !m.asked.After(at) {
			// The list may be older than the order.
			one = old[one.ID]
		} else {
			delete(c.changed, one.ID)
		}
		c.machines[one.ID] = one
	}
	for _, w := range c.waves {
		w.ObserveMachines(c.machines, m.asked)
	}
}
