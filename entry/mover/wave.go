package mover

import (
	"context"
	"slices"
	"time"

	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
	"carawaymux.dev/fleet/upkeep"
)

// maintenanceResult is the outcome of one step of a machine that is being emptied for a wave.
type maintenanceResult struct {
	wave    *upkeep.Wave
	machine string
	outcome port.OrderOutcome
	err     error
}

// chooseMachines selects the machines of a wave to empty next.
func (c *core) chooseMachines(w *upkeep.Wave, now time.Time) {
	for _, id := range upkeep.Next(upkeep.StandbyFirst{}, w, c.machines, c.standby, c.contested(), now) {
		w.Emptying[id] = now
		c.logger.Info("machine to be emptied", "wave", w.Number, "machine", id, "pool", c.machines[id].Pool)
	}
}

// stepMaintenance asks for the host of a machine to be emptied, and orders the machine's
// maintenance once the host is empty.
func (c *core) stepMaintenance(ctx context.Context, w *upkeep.Wave, slots *upkeep.Slots, m port.Machine, now time.Time) {
	inMaintenance := c.isInMaintenance(w, m)
	switch {
	case inMaintenance:
	case m.State != port.MachineUp:
		// Its host would be ended unasked if it has come back since the list. Others may use its slot until it has.
		delete(w.Emptying, m.ID)
		c.logger.Info("machine of a wave is not up; it is emptied once it is", "wave", w.Number, "machine", m.ID, "state", string(m.State))
		return
	}
	mayOrder, ok := c.beginStep(m.ID, now)
	if !ok {
		return
	}
	mayOrder = mayOrder && slots.MayStart(m.ID)
	isEmpty := c.emptyCheck(m, shard.ForWave, mayOrder)
	if inMaintenance {
		isEmpty = func(context.Context) bool { return true }
	}
	s := c.newStep(mayOrder, isEmpty, now)
	slots.Take(m.ID)
	c.runInBackground(ctx, askTimeout+callTimeout, func(ctx context.Context) message {
		result := maintenanceResult{wave: w, machine: m.ID}
		result.outcome, result.err = s.run(ctx, c.timing, func(ctx context.Context) (port.OrderOutcome, error) {
			return c.deps.Machines.StartMaintenance(ctx, m.ID, w.Number, c.settings.Holder, c.claim.Epoch)
		})
		return result
	})
}

// isInMaintenance reports whether a machine is in the maintenance of a wave by an order whose answer this holder does not
// have. A repeated order has no effect then and tells the outcome.
func (c *core) isInMaintenance(w *upkeep.Wave, m port.Machine) bool {
	_, earlier := c.earlier[m.ID]
	if m.State != port.MachineMaintenance || !(earlier || c.unanswered[startedKey(w.Number, m.ID)]) {
		return false
	}
	for _, other := range c.waves {
		if other != w && slices.Contains(other.Machines, m.ID) {
			return false
		}
	}
	return true
}

// emptyCheck returns a function that asks for the host of a machine to be emptied and reports whether it is
// empty. A machine in a pool on standby counts as empty, and so does one that has been up without a host for
// hostlessTime. The owner is told whether an order may follow.
func (c *core) emptyCheck(m port.Machine, purpose shard.Purpose, mayOrder bool) func(context.Context) bool {
	pool, host := m.Pool, m.Host
	since, hostless := c.hostlessSince[m.ID]
	order := c.leaveOrder(purpose)
	order.Tentative = !mayOrder
	empty := c.standby[pool] || (hostless && c.listedAt.Sub(since) >= hostlessTime)
	return func(ctx context.Context) bool {
		if host == "" || empty {
			return empty
		}
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		a, ok := c.deps.Vacate(ctx, pool, host, order)
		return ok && a.Vacant
	}
}

func (r maintenanceResult) handle(c *core) {
	delete(c.stepInFlight, r.machine)
	w := r.wave
	key := startedKey(w.Number, r.machine)
	if r.err != nil {
		c.unanswered[key] = true
		c.logger.Warn("maintenance order not answered; it is repeated", "wave", w.Number, "machine", r.machine, "err", r.err)
		return
	}
	if r.outcome != "" {
		delete(c.unanswered, key)
	}
	switch r.outcome {
	case port.OrderUnknown:
		c.logger.Info("machine of a wave does not exist; the wave goes on without it", "wave", w.Number, "machine", r.machine)
		w.MarkAbsent(r.machine, time.Now())
	case port.OrderDone, port.OrderNotInWave:
		c.deps.Stats.Add("maintenance", 1, "outcome", string(r.outcome))
		c.logger.Info("maintenance started or not needed", "wave", w.Number, "machine", r.machine, "outcome", string(r.outcome))
		if r.outcome == port.OrderDone {
			now := time.Now()
			w.Down[r.machine] = now
			machine := c.machines[r.machine]
			machine.State, machine.Host = port.MachineMaintenance, ""
			c.machines[r.machine], c.orderedStateAt[r.machine] = machine, now
		}
		c.markStarted(w, r.machine)
	case port.OrderFenced:
		c.logger.Warn("maintenance order rejected: a newer holder has sent orders; giving up the claim on machines",
			"machine", r.machine)
		c.fenced = true
	case port.OrderBusy:
		c.logger.Info("maintenance postponed: the platform cannot start it now; the order is repeated", "wave", w.Number, "machine", r.machine)
	}
}

// markStarted records that a machine needs no more steps in a wave.
func (c *core) markStarted(w *upkeep.Wave, machine string) {
	w.Started[machine] = true
	delete(w.Emptying, machine)
	delete(w.Absent, machine)
	key := startedKey(w.Number, machine)
	c.stored.started[key] = true
	c.unwritten = append(c.unwritten, port.Record{Key: ClaimName + keyStarted + key, Value: []byte{1}})
}
