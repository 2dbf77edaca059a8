package mover

import (
	"context"
	"time"

	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/upkeep"
)

// maintenanceResult is what came of one look at a machine that is being emptied for a wave.
type maintenanceResult struct {
	wave    *upkeep.Wave
	machine string
	outcome port.OrderOutcome
	err     error
}

// chooseMachines chooses the machines of a wave that are to be emptied next.
func (c *core) chooseMachines(w *upkeep.Wave, now time.Time) {
	for _, id := range w.Left() {
		if _, ok := c.machines[id]; !ok && len(c.machines) > 0 {
			// The machine has gone for good.
			c.logger.Info("machine of a wave is gone", "wave", w.Number, "machine", id)
			c.markBegun(w, id)
		}
	}
	for _, id := range upkeep.Next(upkeep.IdleFirst{}, w, c.machines, c.standby, now) {
		w.Emptying[id] = now
		c.logger.Info("machine to be emptied", "wave", w.Number, "machine", id, "pool", c.machines[id].Pool)
	}
}

// stepMaintenance asks for a machine to be emptied, and takes it down when it is.
func (c *core) stepMaintenance(ctx context.Context, w *upkeep.Wave, m port.Machine, now time.Time) {
	mayOrder, ok := c.beginStep(m.ID, now)
	if !ok {
		return
	}
	isEmpty := c.emptyCheck(m.Pool, m.Host)
	c.runInBackground(ctx, askTimeout+callTimeout, func(ctx context.Context) message {
		result := maintenanceResult{wave: w, machine: m.ID}
		if isEmpty(ctx) && mayOrder {
			result.outcome, result.err = c.deps.Machines.Upkeep(ctx, m.ID, w.Number, c.settings.Holder, c.claim.Epoch)
		}
		return result
	})
}

// emptyCheck returns how to ask for a host to be emptied; it reports whether it is.
func (c *core) emptyCheck(pool, host string) func(context.Context) bool {
	standby := c.standby[pool]
	return func(ctx context.Context) bool {
		if host == "" || standby {
			return true
		}
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		a, ok := c.deps.Vacate(ctx, pool, host)
		return ok && a.Vacant
	}
}

func (s maintenanceResult) handle(c *core) {
	delete(c.stepInFlight, s.machine)
	w := s.wave
	if s.err != nil {
		c.logger.Warn("maintenance not answered", "wave", w.Number, "machine", s.machine, "err", s.err)
		return
	}
	switch s.outcome {
	case port.OrderDone, port.OrderUnknown, port.OrderNotInWave:
		c.deps.Stats.Add("maintenance", 1, "outcome", string(s.outcome))
		c.logger.Info("maintenance begun", "wave", w.Number, "machine", s.machine, "outcome", string(s.outcome))
		if s.outcome == port.OrderDone {
			now := time.Now()
			w.Down[s.machine] = now
			machine := c.machines[s.machine]
			machine.State, machine.Host = port.MachineUpkeep, ""
			c.machines[s.machine], c.orderedStateAt[s.machine] = machine, now
		}
		c.markBegun(w, s.machine)
	case port.OrderFenced:
		c.logger.Warn("a newer holder was seen", "machine", s.machine)
		c.fenced = true
	case port.OrderBusy:
		c.logger.Info("maintenance put off", "wave", w.Number, "machine", s.machine)
	}
}

// markBegun says that a machine needs nothing more in a wave.
func (c *core) markBegun(w *upkeep.Wave, machine string) {
	w.Begun[machine] = true
	delete(w.Emptying, machine)
	key := begunKey(w.Number, machine)
	c.stored.begun[key] = true
	c.unwritten = append(c.unwritten, port.Entry{Key: ClaimName + keyBegun + key, Value: []byte{1}})
}
