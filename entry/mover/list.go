package mover

import (
	"context"
	"time"

	"carawaymux.dev/fleet/fault"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/upkeep"
)

// machineList is the answer to a request for the list of machines that was sent at askedAt.
type machineList struct {
	machines []port.Machine
	askedAt  time.Time
	err      error
}

// listMachines requests the list of machines, unless a request is in flight or the newest list
// is recent enough.
func (c *core) listMachines(ctx context.Context) {
	askedAt := time.Now()
	if c.listInFlight || askedAt.Sub(c.listedAt) < listInterval {
		return
	}
	c.listInFlight = true
	c.runInBackground(ctx, callTimeout, func(ctx context.Context) message {
		machines, err := c.deps.Machines.List(ctx)
		return machineList{machines, askedAt, fault.At("list", "machines", err)}
	})
}

func (m machineList) handle(c *core) {
	c.listInFlight = false
	if m.err != nil {
		if !c.listFailed {
			c.logger.Warn("list of machines not available; no moves or maintenance until it is read again", "err", m.err)
		}
		c.listFailed = true
		return
	}
	if c.listFailed {
		c.listFailed = false
		c.logger.Info("list of machines available again")
	}
	old := c.machines
	c.listedAt = m.askedAt
	c.machines = make(map[string]port.Machine, len(m.machines))
	for _, machine := range m.machines {
		if at, ok := c.orderedStateAt[machine.ID]; ok && !m.askedAt.After(at) {
			// The list may not show the last order to this machine yet.
			machine = old[machine.ID]
		} else {
			delete(c.orderedStateAt, machine.ID)
		}
		c.machines[machine.ID] = machine
	}
	c.noteHostless()
	for _, w := range c.waves {
		c.observeWave(w, m.askedAt)
	}
}

// noteHostless notes since which list each machine is up without a host in a pool at work.
func (c *core) noteHostless() {
	earlier := c.hostlessSince
	c.hostlessSince = map[string]time.Time{}
	for id, m := range c.machines {
		if m.State != port.MachineUp || m.Host != "" || c.standby[m.Pool] {
			continue
		}
		since, ok := earlier[id]
		if !ok {
			since = c.listedAt
		}
		c.hostlessSince[id] = since
	}
}

// observeWave compares the machines of a wave with the list that was requested at the time asked.
func (c *core) observeWave(w *upkeep.Wave, asked time.Time) {
	completed := w.Completed
	gone, back := w.ObserveMachines(c.machines, asked)
	for _, id := range gone {
		c.logger.Info("machine of a wave is not listed; the wave goes on without it until it is", "wave", w.Number, "machine", id)
	}
	for _, id := range back {
		c.logger.Info("machine of a wave is listed again; it still needs its maintenance", "wave", w.Number, "machine", id, "completed", completed)
	}
	if completed && !w.Completed {
		delete(c.reportFailedAt, w.Number)
	}
}
