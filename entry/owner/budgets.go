package owner

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"carawaymux.dev/fleet/caps"
	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/port"
)

// budgets is what the owner holds of the tenants' budgets beside their state.
type budgets struct {
	// dirty holds the tenants whose budgets are to be written.
	dirty map[string]struct{}
	// waiting holds requests that wait until the store has the lower budgets that they contain.
	waiting []waitingBudgets
}

// waitingBudgets is a request with the tenants whose budgets it has lowered.
type waitingBudgets struct {
	poolBudgets
	lowered []string
}

// poolBudgets gives budgets to the pool and asks for the use of the tenants in a scope.
type poolBudgets struct {
	budgets []caps.Budget
	scope   caps.Scope
	reply   chan<- Answer
}

// Budgets gives budgets to the pool, and returns the use of the tenants in a scope and of those with these budgets. Lower budgets hold at
// once; the answer waits until the store has them.
func (o *Owner) Budgets(ctx context.Context, budgets []caps.Budget, scope caps.Scope) Answer {
	return o.call(ctx, Refused, func(reply chan<- Answer) message { return poolBudgets{budgets, scope, reply} })
}

func (m poolBudgets) handle(c *core) {
	// A lender has one request to a pool in flight, so nobody waits for the answers to earlier ones any more.
	for _, w := range c.budgets.waiting {
		w.answer(c)
	}
	c.budgets.waiting = nil
	var lowered []string
	for _, b := range m.budgets {
		taken, lower := c.state.SetBudget(b)
		if !taken {
			c.deps.Stats.Add("tenant-budgets", 1, "pool", c.state.Pool, "outcome", "refused")
			continue
		}
		c.budgets.dirty[b.Tenant] = struct{}{}
		c.deps.Stats.Add("tenant-budgets", 1, "pool", c.state.Pool, "outcome", "taken")
		if lower {
			lowered = append(lowered, b.Tenant)
		}
	}
	if len(lowered) == 0 {
		m.answer(c)
		return
	}
	c.budgets.waiting = append(c.budgets.waiting, waitingBudgets{m, lowered})
}

// answer reports the use of the tenants.
func (m poolBudgets) answer(c *core) {
	var named []string
	for i := range m.budgets {
		named = append(named, m.budgets[i].Tenant)
	}
	m.reply <- Answer{Outcome: Found, Epoch: c.state.Epoch, Budgets: c.state.BudgetUses(time.Now(), m.scope, named...)}
}

// setCaps applies the caps of a configuration.
func (c *core) setCaps(config *port.Config) {
	for _, tenant := range c.state.SetCaps(config) {
		c.logger.Info("budget of a tenant void: it has no cap any more", "tenant", tenant)
		c.budgets.dirty[tenant] = struct{}{}
	}
}

// restoreBudgets applies the budgets that earlier owners have stored. Without one, nothing of a tenant with a cap starts.
func (c *core) restoreBudgets(stored *StoredState, config *port.Config) {
	c.budgets.dirty = map[string]struct{}{}
	for _, b := range stored.Budgets {
		c.state.RestoreBudget(b)
	}
	if len(stored.Unreadable) > 0 {
		c.state.NoteMissingJobs()
	}
	if config != nil {
		c.setCaps(config)
	}
}

// collectBudgets adds the budgets that are to be written, and returns them.
func (c *core) collectBudgets(b *appendBuilder) []caps.Budget {
	var out []caps.Budget
	for _, tenant := range slices.Sorted(maps.Keys(c.budgets.dirty)) {
		held := c.state.Tenant(tenant).Budget()
		err := b.put(c.state.Pool+keyBudget+tenant, held)
		if errors.Is(err, errNoRoom) {
			return out
		}
		delete(c.budgets.dirty, tenant)
		if err != nil {
			// It is never confirmed, so the lender counts the earlier one.
			c.logger.Error("budget of a tenant cannot be stored", "tenant", tenant, "err", err)
			continue
		}
		out = append(out, held)
	}
	return out
}

// settleBudgets answers the requests whose lower budgets the store has, after some have been written.
func (c *core) settleBudgets(written []caps.Budget) {
	for _, b := range written {
		c.state.BudgetStored(b)
	}
	c.budgets.waiting = slices.DeleteFunc(c.budgets.waiting, func(w waitingBudgets) bool {
		settled := !slices.ContainsFunc(w.lowered, func(tenant string) bool { return !c.state.HasStored(tenant) })
		if settled {
			w.answer(c)
		}
		return settled
	})
}

// addBudget adds the stored budget of a tenant.
func (s *StoredState) addBudget(tenant string, raw []byte) error {
	b, err := codec.DecodeFrame[caps.Budget](raw)
	if err != nil {
		return err
	}
	if b.Tenant != tenant || !b.IsValid() {
		return errInvalidBudget
	}
	s.Budgets[tenant] = b
	return nil
}

var errInvalidBudget = errors.New("the budget is invalid")
