package owner

import (
	"context"
	"time"

	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/task"
)

const (
	// machineListInterval is the minimum time between two requests for the list of machines.
	machineListInterval = 500 * time.Millisecond
	// machineListTimeout bounds one request for the list of machines.
	machineListTimeout = 900 * time.Millisecond
)

// machineList is the answer to a request for the list of machines.
type machineList struct {
	machines []port.Machine
	// askedAt is when the request was sent.
	askedAt time.Time
	err     error
}

// startMachineLister starts the task that requests the list of machines.
func (c *core) startMachineLister() {
	c.machineLister = task.Start(func(ctx context.Context, inbox <-chan struct{}) {
		for {
			select {
			case <-ctx.Done():
				return
			case <-inbox:
				askedAt := time.Now()
				callCtx, cancel := context.WithTimeout(ctx, machineListTimeout)
				machines, err := c.deps.Machines.List(callCtx)
				cancel()
				c.post(ctx, machineList{machines, askedAt, err})
			}
		}
	}, task.WithInbox(1))
}

// listMachines requests the list of machines while a host that may run work does not answer,
// because the list can show that the host has ended before its lease expires.
func (c *core) listMachines(now time.Time) {
	if c.listInFlight || now.Sub(c.listedAt) < machineListInterval || len(c.state.SilentHosts(now)) == 0 {
		return
	}
	c.listInFlight, c.listedAt = c.machineLister.TrySend(struct{}{}), now
}

func (m machineList) handle(c *core) {
	c.listInFlight = false
	if m.err != nil {
		c.logger.Debug("list of machines not read; ended hosts are detected when their leases expire", "err", m.err)
		return
	}
	running := make(map[string]bool, len(m.machines))
	for _, machine := range m.machines {
		if machine.Host != "" && machine.State == port.MachineUp {
			running[machine.Host] = true
		}
	}
	now := time.Now()
	for _, id := range c.state.SilentHosts(now) {
		h := c.state.Hosts[id]
		if h.FirstAnswer.After(m.askedAt) || h.LastAnswer.After(m.askedAt) {
			// The host answered after the request was sent, so the list may describe an earlier
			// incarnation.
			continue
		}
		if !running[id] {
			c.logger.Info("host has ended", "host", id, "by", "list of machines")
			c.state.HostEnded(id, now)
		}
	}
}
