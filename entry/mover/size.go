package mover

import (
	"context"
	"time"

	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/sizing"
)

const (
	// drainWithin is the time in which waiting work should have started: a good
	// part of what callers allow beyond the work itself.
	drainWithin = 1200 * time.Millisecond
	// fillShare is the share of a host that work of uneven sizes fills in practice.
	fillShare = 0.85
	// reserveHosts is kept in each pool for what comes before a move can help.
	reserveHosts = 2
	// moveTimeout is how long a machine may take to be emptied for a move.
	moveTimeout = 4 * time.Second
	// loadKeep is how long what an owner has said is gone by.
	loadKeep = time.Second
)

// move is a move that is under way.
type move struct {
	sizing.Move
	since time.Time
}

type (
	// loaded is what the owner of a pool has said of its work; the load is nil when
	// it could not be asked.
	loaded struct {
		pool string
		load *sizing.Load
		at   time.Time
	}
	// moved is what came of one look at a move.
	moved struct {
		machine string
		outcome port.OrderOutcome
		err     error
	}
)

// ask asks the owners of all pools that work, unless they are being asked.
func (c *core) ask(ctx context.Context) {
	for _, p := range c.pools {
		if c.standby[p] || c.asking[p] {
			continue
		}
		c.asking[p] = true
		c.call(ctx, askTimeout, func(ctx context.Context) message {
			out := loaded{pool: p, at: time.Now()}
			if a, ok := c.deps.Load(ctx, p); ok {
				out.load = a.Load
			}
			return out
		})
	}
}

func (m loaded) handle(c *core) {
	delete(c.asking, m.pool)
	if m.load == nil {
		delete(c.loads, m.pool)
		return
	}
	c.loads[m.pool] = m
}

// resize plans moves.
func (c *core) resize(now time.Time) {
	in := &sizing.Input{
		Loads: map[string]sizing.Load{}, Machines: c.machines, Standby: c.standby,
		Moving: map[string]sizing.Move{}, Emptying: map[string]bool{}, Held: map[string]bool{},
		MaintenanceDue: map[string]bool{},
	}
	for pool, l := range c.loads {
		if now.Sub(l.at) < loadKeep {
			in.Loads[pool] = *l.load
		}
	}
	for id, m := range c.moving {
		in.Moving[id] = m.Move
	}
	for id, free := range c.earlier {
		in.Held[id] = now.Before(free)
	}
	for _, w := range c.open() {
		for id := range w.Emptying {
			in.Emptying[id] = true
		}
		for _, id := range w.Remaining() {
			in.MaintenanceDue[id] = true
		}
	}
	policy := sizing.ClearBacklog{Within: drainWithin, Utilization: fillShare, Reserve: reserveHosts}
	for _, m := range sizing.Plan(c.sizes, policy, in, now) {
		c.moving[m.Machine] = move{m, now}
		to := in.Loads[m.To]
		c.logger.Info("machine to be moved", "machine", m.Machine, "from", m.From, "to", m.To, "host", m.Host,
			"waiting", to.Backlog, "inflow", to.ArrivalRate, "hosts", to.Hosts, "held", in.Held[m.Machine])
	}
}

// move asks for a machine to be emptied, and moves it when it is.
func (c *core) move(ctx context.Context, m sizing.Move, now time.Time) {
	if one := c.machines[m.Machine]; !c.stepping[m.Machine] && (one.Pool != m.From || one.Host != m.Host) {
		// An earlier holder has moved it, or it has started anew.
		delete(c.moving, m.Machine)
		c.logger.Info("move dropped", "machine", m.Machine, "from", m.From, "to", m.To, "now-in", one.Pool)
		return
	}
	may, ok := c.begin(m.Machine, now)
	if !ok {
		return
	}
	empty := c.emptier(m.From, m.Host)
	c.call(ctx, askTimeout+callTimeout, func(ctx context.Context) message {
		out := moved{machine: m.Machine}
		if empty(ctx) && may {
			out.outcome, out.err = c.deps.Machines.Move(ctx, m.Machine, m.To, c.settings.Holder, c.claim.Epoch)
		}
		return out
	})
}

func (r moved) handle(c *core) {
	delete(c.stepping, r.machine)
	m, ok := c.moving[r.machine]
	if !ok {
		return
	}
	now := time.Now()
	if r.err != nil {
		c.logger.Warn("move not answered", "machine", r.machine, "to", m.To, "err", r.err)
		return
	}
	switch r.outcome {
	case port.OrderDone:
		c.deps.Stats.Add("moves", 1, "from", m.From, "to", m.To)
		c.logger.Info("machine moved", "machine", r.machine, "from", m.From, "to", m.To,
			"after-ms", now.Sub(m.since).Milliseconds())
		// Until the next look at the list it counts as on its way.
		one := c.machines[r.machine]
		one.Pool, one.State, one.Host = m.To, port.MachineMoving, ""
		c.machines[r.machine] = one
		c.changed[r.machine] = now
		delete(c.moving, r.machine)
	case port.OrderFenced:
		c.logger.Warn("a newer holder was seen", "machine", r.machine)
		c.shutOut = true
	case port.OrderUnknown:
		c.sizes.Refuse(m.Move)
		delete(c.moving, r.machine)
		c.logger.Info("machine cannot be moved", "machine", r.machine, "from", m.From, "to", m.To)
	default:
		if now.Sub(m.since) > moveTimeout {
			delete(c.moving, r.machine)
			c.logger.Info("move given up", "machine", r.machine, "from", m.From, "to", m.To)
		}
	}
}
