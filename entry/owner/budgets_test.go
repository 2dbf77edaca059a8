package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/caps"
	"carawaymux.dev/fleet/port"
)

var tenantCap = batch.Size{MilliCores: 1000}

func cappedConfig(version int64) *port.Config {
	c := configOf(version, shortQueue)
	c.Tenants = []port.Tenant{{Name: "t", Cap: tenantCap}}
	return c
}

// give gives a budget to the owner and returns the channel for the answer.
func (c *testCore) give(number, milliCores int64) <-chan Answer {
	reply := make(chan Answer, 1)
	b := caps.Budget{Tenant: "t", Amount: batch.Size{MilliCores: milliCores}, Cap: tenantCap, Version: 3, Epoch: 1, Number: number}
	poolBudgets{budgets: []caps.Budget{b}, reply: reply}.handle(c.core)
	return reply
}

func requireUse(t *testing.T, reply <-chan Answer, milliCores int64, stored bool) {
	t.Helper()
	require.Len(t, reply, 1)
	a := <-reply
	require.Equal(t, Found, a.Outcome)
	require.Len(t, a.Budgets, 1)
	require.Equal(t, "t", a.Budgets[0].Held.Tenant)
	require.Equal(t, milliCores, a.Budgets[0].Held.Amount.MilliCores)
	require.Equal(t, stored, a.Budgets[0].Stored)
}

// Guards against a successor that starts work under a higher budget than the one that the lender counts.
func TestALowerBudgetIsConfirmedOnceItIsStored(t *testing.T) {
	host := idleHost{acked: make(chan int64, 8)}
	c := restoreTestCore(t, host, newStoredState(), cappedConfig(3))
	first := c.give(1, 800)
	require.Empty(t, first)
	written := [][]port.Record{c.write(time.Now())}
	requireUse(t, first, 800, true)

	requireUse(t, c.give(2, 900), 900, false)
	written = append(written, c.write(time.Now()))
	lower := c.give(3, 300)
	require.Empty(t, lower, "the store does not have it yet")
	requireUse(t, c.give(2, 900), 300, false)
	require.Len(t, lower, 1, "nobody waits for an earlier request")

	next := restoreTestCore(t, host, readAppends(t, append(written, c.write(time.Now()))), cappedConfig(3))
	requireUse(t, next.give(2, 900), 300, true)
}

// Guards against starts without a limit when the budget of a tenant cannot be read.
func TestABudgetThatCannotBeReadCountsAsNothing(t *testing.T) {
	stored := newStoredState()
	take := stored.taker("pool")
	take(port.Record{Key: "pool/c/t", Value: []byte("nonsense")})
	require.Contains(t, stored.Unreadable, "pool/c/t")
	c := restoreTestCore(t, idleHost{acked: make(chan int64, 8)}, stored, cappedConfig(3))
	uses := c.state.BudgetUses(time.Now(), true)
	require.Len(t, uses, 1)
	require.Equal(t, caps.Budget{Tenant: "t"}, uses[0].Held)
}

// Guards against calls that deployments without caps would make.
func TestWithoutACapNothingIsStoredAboutTenants(t *testing.T) {
	c := restoreTestCore(t, idleHost{acked: make(chan int64, 8)}, newStoredState(), configOf(3, shortQueue))
	c.write(time.Now())
	configChange{configOf(4, shortQueue)}.handle(c.core)
	records, _ := c.collect(time.Now())
	for _, r := range records {
		require.NotContains(t, r.Key, keyBudget)
	}
	require.Empty(t, c.state.BudgetUses(time.Now(), true))
}
