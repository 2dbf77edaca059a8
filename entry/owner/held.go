package owner

import (
	"slices"
	"time"

	"carawaymux.dev/fleet/shard"
)

// maxHeldTime is how long a start may wait for the store. After that it is returned unsent, since the decision
// behind it may be outdated.
const maxHeldTime = time.Second

// heldStart is the start of a task that hosts have crashed under. It is sent once the store shows that the run was
// ordered: if this owner ends together with the host, the next one would not count the crash otherwise.
type heldStart struct {
	order  shard.Order
	heldAt time.Time
	// change is the number of the newest change when the run was ordered. collected reports whether an append has
	// taken all changes up to it.
	change    int64
	collected bool
}

// sendOrders sends the orders that were decided, and holds the starts that have to wait for the store.
func (c *core) sendOrders(now time.Time) {
	for _, o := range c.state.TakeOrders() {
		if o.AfterWrite {
			c.journal.held = append(c.journal.held, heldStart{order: o, heldAt: now, change: c.state.NewestChange()})
			continue
		}
		c.sendOrder(o, now)
	}
}

// markCollected notes which of the held starts the store shows once it has taken the changes that were collected.
func (c *core) markCollected() {
	for i := range c.journal.held {
		h := &c.journal.held[i]
		h.collected = h.collected || !c.state.HasChangeUpTo(h.change)
	}
}

// sendHeld sends the held starts that the store shows.
func (c *core) sendHeld(now time.Time) {
	held := c.journal.held
	c.journal.held = slices.DeleteFunc(slices.Clone(held), func(h heldStart) bool { return h.collected })
	for _, h := range held {
		switch {
		case !h.collected:
		case c.state.IsStarting(&h.order):
			c.sendOrder(h.order, now)
		default:
			c.state.ReturnStart(&h.order)
		}
	}
}

// returnHeld returns the starts that have waited for too long.
func (c *core) returnHeld(now time.Time) {
	held := c.journal.held
	isOld := func(h heldStart) bool { return now.Sub(h.heldAt) > maxHeldTime }
	c.journal.held = slices.DeleteFunc(slices.Clone(held), isOld)
	for _, h := range held {
		if isOld(h) {
			c.state.ReturnStart(&h.order)
		}
	}
}
