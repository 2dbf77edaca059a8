package duties

import (
	"context"
	"maps"
	"slices"
	"time"

	"carawaymux.dev/entry/claim"
	"carawaymux.dev/fleet/port"
)

// claimTimeout limits the time to claim a pool. After that the pool may be claimed again, by this entry or
// another one. The time to read its state has no limit as long as the store answers: a reader that starts
// over never ends if the state is large.
const claimTimeout = 4 * time.Second

// claimPool claims a pool and reads its state in the background. If the pool still has an owner, which is leaving,
// the state is read first, and that owner serves the pool meanwhile. The task receives the outcome as a claimResult.
func (c *core) claimPool(ctx context.Context, pool string) {
	ctx, cancel := context.WithCancel(ctx)
	c.claims[pool] = cancel
	s := c.duties.settings
	prepare := s.Singletons[pool]
	_, owned := c.view.Owners[pool]
	switch {
	case prepare != nil:
		c.acquireInBackground(ctx, pool, prepare)
	case !owned || s.Preload == nil:
		c.acquireInBackground(ctx, pool, s.Pools)
	default:
		c.background.Go(func() {
			prepare, err := s.Preload(ctx, pool)
			if err != nil {
				c.report(ctx, claimResult{pool: pool, err: err})
				return
			}
			c.report(ctx, poolPreloaded{pool, prepare})
		})
	}
}

func (m poolPreloaded) handle(ctx context.Context, c *core) {
	if o, ok := c.view.Owners[m.pool]; c.leaving || (ok && !o.Leaving) {
		c.claims[m.pool]()
		delete(c.claims, m.pool)
		c.publish()
		return
	}
	c.claims[m.pool]()
	ctx, c.claims[m.pool] = context.WithCancel(ctx)
	c.acquireInBackground(ctx, m.pool, m.prepare)
}

// acquireInBackground claims a pool and prepares its holder.
func (c *core) acquireInBackground(ctx context.Context, pool string, prepare PrepareFunc) {
	s, log := c.duties.settings, c.duties.log
	c.background.Go(func() {
		m := claimResult{pool: pool}
		if m.claim, m.err = acquire(ctx, log, pool, s); m.err == nil {
			m.start, m.err = prepare(ctx, m.claim)
		}
		c.report(ctx, m)
	})
}

// report sends the outcome of work in the background to the task.
func (c *core) report(ctx context.Context, m message) {
	if err := c.duties.task.Send(context.WithoutCancel(ctx), m); err != nil {
		c.duties.logger.Debug("result of a claim dropped: the duties task has stopped", "err", err)
	}
}

// acquire claims a pool within claimTimeout.
func acquire(ctx context.Context, log port.Log, pool string, s Settings) (*claim.Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return claim.Acquire(ctx, log, pool, s.Entry, s.Incarnation, s.Partitions)
}

func (m claimResult) handle(ctx context.Context, c *core) {
	c.claims[m.pool]()
	delete(c.claims, m.pool)
	if m.err != nil {
		c.duties.logger.Warn("taking over a pool failed; it is claimed again while it has no owner", "pool", m.pool, "err", m.err)
		c.publish()
		return
	}
	if c.leaving {
		c.publish()
		return
	}
	h := m.start(c.config, slices.Collect(maps.Values(c.hosts)))
	c.holdings[m.pool] = holding{Holder: h, epoch: m.claim.Epoch}
	c.publish()
	c.background.Go(func() {
		select {
		case <-h.Lost():
			if err := c.duties.task.Send(ctx, holderLost{m.pool, h}); err != nil {
				c.duties.logger.Debug("loss of a pool not handled: the duties task has stopped", "err", err)
			}
		case <-ctx.Done():
		}
	})
}
