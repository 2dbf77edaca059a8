package duties

import (
	"context"
	"time"

	"carawaymux.dev/fleet/task"
)

// leaver is a holder that prepares for its successor when this entry leaves.
type leaver interface {
	// Leave tells the holder that another entry is about to take over its work.
	Leave(ctx context.Context) error
}

// Leave stops claiming and waits until other entries have taken the pools over, which they do once they see that
// this entry leaves. When ctx ends, or no other entry is alive, the remaining pools are released. Singletons are
// released at once.
func (t *Duties) Leave(ctx context.Context) error {
	_, err := task.Call(ctx, t.task, func(reply chan<- struct{}) message { return leaveRequest{reply} })
	if err == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	_, err = task.Call(ctx, t.task, func(reply chan<- struct{}) message { return releaseRequest{reply} })
	return err
}

// releaseTimeout limits the time to release the pools that no entry has taken over.
const releaseTimeout = time.Second

func (c *core) releaseAll() {
	for _, cancel := range c.claims {
		cancel()
	}
	for _, h := range c.holdings {
		h.Close()
	}
	c.holdings = map[string]holding{}
	c.publish()
}

func (m leaveRequest) handle(ctx context.Context, c *core) {
	c.leaving, c.left = true, m.reply
	for pool, h := range c.holdings {
		if l, ok := h.Holder.(leaver); ok {
			if err := l.Leave(ctx); err != nil {
				c.duties.logger.Debug("leave not delivered to the holder", "pool", pool, "err", err)
			}
		}
	}
	for _, cancel := range c.claims {
		cancel()
	}
	for name := range c.duties.settings.Singletons {
		if _, ok := c.holdings[name]; ok {
			c.release(name)
		}
	}
	c.continueLeave()
}

// continueLeave releases the pools if there is no entry that could take them over.
func (c *core) continueLeave() {
	alive := len(c.view.Alive)
	if _, ok := c.view.Alive[c.duties.settings.Entry]; ok {
		alive--
	}
	if alive == 0 {
		c.releaseAll()
	}
	c.reportLeft()
}

func (m releaseRequest) handle(_ context.Context, c *core) {
	c.left = nil
	c.releaseAll()
	m.reply <- struct{}{}
}

// reportLeft tells the caller of Leave when no pools are left.
func (c *core) reportLeft() {
	if c.left != nil && len(c.holdings) == 0 {
		c.left <- struct{}{}
		c.left = nil
	}
}
