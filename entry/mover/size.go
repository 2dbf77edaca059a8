package mover

import (
	"context"
	"sync"
	"time"

	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/sizing"
	"carawaymux.dev/fleet/upkeep"
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
)

// move is a move that is under way.
type move struct {
	sizing.Move
	since time.Time
}

// moved is what came of one look at a move.
type moved struct {
	machine string
	outcome port.OrderOutcome
	err     error
}

// resize plans moves and takes those under way further.
func (c *core) resize(ctx context.Context, open []*upkeep.Wave, now time.Time) {
	loads := c.loads(ctx)
	in := &sizing.Input{
		Loads: loads, Machines: c.machines, Standby: c.standby,
		Moving: map[string]sizing.Move{}, Busy: map[string]bool{},
	}
	for id, m := range c.moving {
		in.Moving[id] = m.Move
	}
	for _, w := range open {
		for id := range w.Emptying {
			in.Busy[id] = true
		}
	}
	policy := sizing.Drain{Within: drainWithin, Fill: fillShare, Reserve: reserveHosts}
	for _, m := range sizing.Plan(c.sizes, policy, in, now) {
		c.moving[m.Machine] = move{m, now}
		c.logger.Info("machine to be moved", "machine", m.Machine, "from", m.From, "to", m.To, "host", m.Host,
			"waiting", loads[m.To].Waiting, "inflow", loads[m.To].Inflow, "hosts", loads[m.To].Hosts)
	}
	c.moveAll(ctx, now)
}

// loads asks the owners of all pools that work.
func (c *core) loads(ctx context.Context) map[string]sizing.Load {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	type answer struct {
		pool string
		load *sizing.Load
	}
	answers := make(chan answer, len(c.pools))
	var all sync.WaitGroup
	for _, p := range c.pools {
		if c.standby[p] {
			continue
		}
		all.Go(func() {
			if a, ok := c.deps.Load(ctx, p); ok {
				answers <- answer{p, a.Load}
			}
		})
	}
	all.Wait()
	close(answers)
	out := map[string]sizing.Load{}
	for a := range answers {
		if a.load != nil {
			out[a.pool] = *a.load
		}
	}
	return out
}

// moveAll takes all moves that are under way further, at the same time.
func (c *core) moveAll(ctx context.Context, now time.Time) {
	results := make(chan moved, len(c.moving))
	var all sync.WaitGroup
	for id, m := range c.moving {
		c.arm(id, now)
		may := c.mayOrder(id, now)
		all.Go(func() { results <- c.moveOne(ctx, m.Move, may) })
	}
	all.Wait()
	close(results)
	for r := range results {
		c.settleMove(r, now)
	}
}

// moveOne asks for a machine to be emptied, and moves it when it is.
func (c *core) moveOne(ctx context.Context, m sizing.Move, may bool) moved {
	out := moved{machine: m.Machine}
	if !c.vacate(ctx, m.From, m.Host) || !may {
		return out
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	out.outcome, out.err = c.deps.Machines.Move(ctx, m.Machine, m.To, c.settings.Holder, c.claim.Epoch)
	return out
}

// settleMove takes in what came of a look.
func (c *core) settleMove(r moved, now time.Time) {
	m := c.moving[r.machine]
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
