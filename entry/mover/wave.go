package mover

import (
	"context"
	"sync"
	"time"

	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/upkeep"
)

// step is what came of one look at a machine that is being emptied.
type step struct {
	machine string
	outcome port.OrderOutcome
	err     error
}

// advance takes a wave as far as it goes now.
func (c *core) advance(ctx context.Context, w *upkeep.Wave, now time.Time) {
	for _, id := range w.Left() {
		if _, ok := c.machines[id]; !ok && len(c.machines) > 0 {
			// The machine has gone for good.
			c.logger.Info("machine of a wave is gone", "wave", w.Number, "machine", id)
			c.mark(w, id)
		}
	}
	for _, id := range upkeep.Next(upkeep.IdleFirst{}, w, c.machines, c.standby, now) {
		w.Emptying[id] = now
		c.logger.Info("machine to be emptied", "wave", w.Number, "machine", id, "pool", c.machines[id].Pool)
	}
	for _, s := range c.tryAll(ctx, w, now) {
		c.settle(w, s)
	}
}

// tryAll looks at all machines that are being emptied, at the same time.
func (c *core) tryAll(ctx context.Context, w *upkeep.Wave, now time.Time) []step {
	steps := make([]step, 0, len(w.Emptying))
	results := make(chan step, len(w.Emptying))
	var all sync.WaitGroup
	for id := range w.Emptying {
		m := c.machines[id]
		c.arm(id, now)
		may := c.mayOrder(id, now)
		all.Go(func() { results <- c.try(ctx, w.Number, m, may) })
	}
	all.Wait()
	close(results)
	for s := range results {
		steps = append(steps, s)
	}
	return steps
}

// try asks for a machine to be emptied, and takes it down when it is.
func (c *core) try(ctx context.Context, wave int64, m port.Machine, may bool) step {
	out := step{machine: m.ID}
	if !c.vacate(ctx, m.Pool, m.Host) || !may {
		return out
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	out.outcome, out.err = c.deps.Machines.Upkeep(ctx, m.ID, wave, c.settings.Holder, c.claim.Epoch)
	return out
}

// vacate asks for a host to be emptied, and reports whether it is.
func (c *core) vacate(ctx context.Context, pool, host string) bool {
	if host == "" || c.standby[pool] {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	a, ok := c.deps.Vacate(ctx, pool, host)
	return ok && a.Vacant
}

// settle takes in what came of a look.
func (c *core) settle(w *upkeep.Wave, s step) {
	if s.err != nil {
		c.logger.Warn("maintenance not answered", "wave", w.Number, "machine", s.machine, "err", s.err)
		return
	}
	switch s.outcome {
	case port.OrderDone, port.OrderUnknown, port.OrderNotInWave:
		c.deps.Stats.Add("maintenance", 1, "outcome", string(s.outcome))
		c.logger.Info("maintenance begun", "wave", w.Number, "machine", s.machine, "outcome", string(s.outcome))
		if s.outcome == port.OrderDone {
			w.Down[s.machine] = time.Now()
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
	w.Begun[machine] = true
	delete(w.Emptying, machine)
	key := begunKey(w.Number, machine)
	c.begun[key] = true
	c.pending = append(c.pending, port.Entry{Key: Name + keyBegun + key, Value: []byte{1}})
}
