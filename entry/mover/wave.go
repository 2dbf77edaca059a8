package mover

import (
	"context"
	"time"

	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/upkeep"
)

// maintained is what came of one look at a machine that is being emptied for a wave.
type maintained struct {
	wave    *upkeep.Wave
	machine string
	outcome port.OrderOutcome
	err     error
}

// advance chooses the machines of a wave that are to be emptied next.
func (c *core) advance(w *upkeep.Wave, now time.Time) {
	for _, id := range w.Remaining() {
		if _, ok := c.machines[id]; !ok && len(c.machines) > 0 {
			// The machine has gone for good.
			c.logger.Info("machine of a wave is gone", "wave", w.Number, "machine", id)
			c.mark(w, id)
		}
	}
	for _, id := range upkeep.Next(upkeep.StandbyFirst{}, w, c.machines, c.standby, now) {
		w.Emptying[id] = now
		c.logger.Info("machine to be emptied", "wave", w.Number, "machine", id, "pool", c.machines[id].Pool)
	}
}

// maintain asks for a machine to be emptied, and takes it down when it is.
func (c *core) maintain(ctx context.Context, w *upkeep.Wave, m port.Machine, now time.Time) {
	may, ok := c.begin(m.ID, now)
	if !ok {
		return
	}
	empty := c.emptier(m.Pool, m.Host)
	c.call(ctx, askTimeout+callTimeout, func(ctx context.Context) message {
		out := maintained{wave: w, machine: m.ID}
		if empty(ctx) && may {
			out.outcome, out.err = c.deps.Machines.StartMaintenance(ctx, m.ID, w.Number, c.settings.Holder, c.claim.Epoch)
		}
		return out
	})
}

// emptier returns how to ask for a host to be emptied; it reports whether it is.
func (c *core) emptier(pool, host string) func(context.Context) bool {
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

func (s maintained) handle(c *core) {
	delete(c.stepping, s.machine)
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
			one := c.machines[s.machine]
			one.State, one.Host = port.MachineMaintenance, ""
			c.machines[s.machine], c.changed[s.machine] = one, now
		}
		c.mark(w, s.machine)
	case port.OrderFenced:
		c.logger.Warn("a newer holder was seen", "machine", s.machine)
		c.shutOut = true
	case port.OrderBusy:
		c.logger.Info("maintenance put off", "wave", w.Number, "machine", s.machine)
	}
}

// mark says that a machine needs nothing more in a wave.
func (c *core) mark(w *upkeep.Wave, machine string) {
	w.Started[machine] = true
	delete(w.Emptying, machine)
	key := begunKey(w.Number, machine)
	c.kept.begun[key] = true
	c.pending = append(c.pending, port.Record{Key: ClaimName + keyBegun + key, Value: []byte{1}})
}
