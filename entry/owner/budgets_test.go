package owner

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/caps"
	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
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
	uses := c.state.BudgetUses(time.Now(), caps.All)
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
	require.Empty(t, c.state.BudgetUses(time.Now(), caps.All))
}

// FuzzBudgets restores a budget from a record as an owner may find it in the store, takes one from another entry, and has the lender take
// the report of another owner.
func FuzzBudgets(f *testing.F) {
	encode := func(v any) []byte {
		raw, err := codec.EncodeFrame(v)
		require.NoError(f, err)
		return raw
	}
	b := caps.Budget{Tenant: "t", Amount: tenantCap, Cap: tenantCap, Version: 3, Epoch: 1, Number: 2}
	huge := batch.Size{MilliCores: math.MaxInt64, MemoryMB: math.MaxInt64, Accelerators: math.MaxInt64}
	use := caps.Use{Running: huge, MayRun: huge, Ready: huge, Waiting: huge, Least: huge, Held: b, Stored: true}
	f.Add(encode(b), encode(caps.Budget{Tenant: "t", Amount: huge, Cap: huge, Epoch: 9, Number: 9}), encode(use))
	f.Add([]byte{0xff}, encode(caps.Budget{Tenant: "t", Amount: batch.Size{MilliCores: -1}, Epoch: 9, Number: 9}), encode(caps.Use{Held: caps.Budget{Tenant: "t"}, Void: true}))
	f.Fuzz(func(t *testing.T, stored, sent, reported []byte) {
		state := newStoredState()
		_ = state.add("pool", port.Record{Key: "pool" + keyBudget + "t", Value: stored})
		now := time.Unix(1_700_000_000, 0)
		s := shard.New("pool", 2, shard.Timing{Lease: 5 * time.Second, Grace: 6 * time.Second}, now)
		for _, b := range state.Budgets {
			s.RestoreBudget(b)
		}
		s.SetCaps(cappedConfig(3))
		if b, err := codec.DecodeFrame[caps.Budget](sent); err == nil {
			s.SetBudget(b)
		}
		s.Restore("job", batch.Spec{Queue: "q", Tenant: "t", Steps: []batch.Step{{Count: 3, Need: batch.Size{MilliCores: 400}}}}, nil, now)
		s.UpdateHost(testHost, now)
		shard.Plan(s, shard.BySlack{}, now, now.UnixMilli())
		s.Load(now)
		uses := s.BudgetUses(now, caps.All, "t")
		if u, err := codec.DecodeFrame[caps.Use](reported); err == nil {
			uses = append(uses, u)
		}
		ledger := caps.NewLedger(1, nil)
		for range 3 {
			caps.Plan(ledger, caps.ByDemand{}, "t", tenantCap, 3, []string{"a", "b"})
			ledger.TakeChanged()
			ledger.Take("a")
			ledger.Report("a", uses, caps.Active)
			ledger.Report("b", uses, caps.Short)
		}
		var lent int64
		for _, l := range ledger.Lendings("t") {
			require.False(t, l.Lent.MilliCores < 0)
			lent += l.Lent.MilliCores
		}
		require.GreaterOrEqual(t, lent, int64(0))
	})
}
