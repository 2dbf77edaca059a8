package owner

import (
	"context"
	"time"

	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/task"
)

const (
	// machineListInterval is the shortest time between two looks at the machines.
	machineListInterval = 500 * time.Millisecond
	// machineListTimeout bounds one look.
	machineListTimeout = 900 * time.Millisecond
)

type machineList struct {
	machines []port.Machine
	// askedAt is when the look began.
	askedAt time.Time
	err     error
}

// startMachineLister starts the lane that looks at the machines.
func (c *core) startMachineLister() {
	c.machineLister = task.Start(func(ctx context.Context, inbox <-chan struct{}) {
		for {
			select {
			case <-ctx.Done():
				return
			case <-inbox:
				askedAt := time.Now()
				call, cancel := context.WithTimeout(ctx, machineListTimeout)
				machines, err := c.deps.Machines.List(call)
				cancel()
				c.post(ctx, machineList{machines, askedAt, err})
			}
		}
	}, task.WithInbox(1))
}

// listMachines looks at the machines while some host is silent: the platform knows sooner
// than its lease tells whether a host has ended.
func (c *core) listMachines(now time.Time) {
	if c.listing || now.Sub(c.listedAt) < machineListInterval || len(c.state.Silent(now)) == 0 {
		return
	}
	c.listing, c.listedAt = c.machineLister.TrySend(struct{}{}), now
}

func (m machineList) handle(c *core) {
	c.listing = false
	if m.err != nil {
		c.logger.Debug("machines not listed", "err", m.err)
		return
	}
	running := make(map[string]bool, len(m.machines))
	for _, machine := range m.machines {
		if machine.Host != "" && machine.State == port.MachineUp {
			running[machine.Host] = true
		}
	}
	now := time.Now()
	for _, id := range c.state.Silent(now) {
		h := c.state.Hosts[id]
		if h.Since.After(m.askedAt) || h.Heard.After(m.askedAt) {
			// The list may be older than this life.
			continue
		}
		if !running[id] {
			c.logger.Info("host has ended", "host", id, "by", "list of machines")
			c.state.Gone(id, now)
		}
	}
}
