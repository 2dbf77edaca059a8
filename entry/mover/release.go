package mover

import (
	"context"

	"carawaymux.dev/fleet/shard"
	"carawaymux.dev/fleet/sizing"
)

// announceResult is the answer of the owner of a pool that was told of this holder.
type announceResult struct {
	pool string
	done bool
}

// announce tells the owners of the pools at work that this holder is there, which ends what earlier holders have asked for.
func (c *core) announce(ctx context.Context) {
	for _, p := range c.pools {
		if c.standby[p] || c.announced[p] || c.announcing[p] {
			continue
		}
		c.announcing[p] = true
		order := c.leaveOrder(shard.ForMove)
		c.runInBackground(ctx, askTimeout, func(ctx context.Context) message {
			return announceResult{p, c.deps.Release(ctx, p, nil, order)}
		})
	}
}

func (r announceResult) handle(c *core) {
	delete(c.announcing, r.pool)
	c.announced[r.pool] = r.done
}

// leaveOrder returns the order by which this holder has hosts emptied.
func (c *core) leaveOrder(p shard.Purpose) shard.LeaveOrder {
	return shard.LeaveOrder{Purpose: p, Holder: c.settings.Holder, Epoch: c.claim.Epoch}
}

// takeBackAll takes back all moves for which no order is under way.
func (c *core) takeBackAll(why string) {
	n := 0
	for id, m := range c.moves {
		if !c.stepInFlight[id] {
			c.endMove(m)
			n++
		}
	}
	if n > 0 {
		c.logger.Info("moves taken back", "moves", n, "why", why)
	}
}

// takeBackUnwanted takes back the moves that are no longer wanted and for which no order is under way.
func (c *core) takeBackUnwanted(in *sizing.Input) {
	for _, m := range sizing.Unwanted(c.forecast.Sizer, in) {
		if c.stepInFlight[m.Machine] {
			continue
		}
		c.endMove(c.moves[m.Machine])
		delete(in.Moving, m.Machine)
		c.logger.Info("move taken back: the pool needs the host", "machine", m.Machine, "from", m.From, "to", m.To, "host", m.Host)
	}
}

// endMove ends a move that is not carried out, and has the host used again.
func (c *core) endMove(m move) {
	delete(c.moves, m.Machine)
	if m.Host != "" {
		c.released[m.From] = append(c.released[m.From], m.Host)
	}
}

// releaseSent is the end of a request to use hosts again. If it has failed, their leaves lapse.
type releaseSent struct{}

func (releaseSent) handle(*core) {}

// sendReleases tells the owners which hosts are to be used again.
func (c *core) sendReleases(ctx context.Context) {
	order := c.leaveOrder(shard.ForMove)
	for pool, hosts := range c.released {
		c.runInBackground(ctx, askTimeout, func(ctx context.Context) message {
			c.deps.Release(ctx, pool, hosts, order)
			return releaseSent{}
		})
	}
	clear(c.released)
}
