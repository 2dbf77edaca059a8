package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/shard"
)

// planWithin runs a round of planning within limits and returns its orders.
func (o *owner) planWithin(limits shard.Limits) []shard.Order {
	shard.PlanWithin(o.State, shard.BySlack{}, limits, o.now, o.now.UnixMilli())
	return o.TakeOrders()
}

// starts returns limits that only bound the starts of a round.
func starts(n int) shard.Limits {
	return shard.Limits{Starts: n, StartsPerHost: shard.NoLimits.StartsPerHost}
}

// Rounds that are limited must start the same work in the same order as one round without a limit.
func TestLimitedRoundsKeepTheOrderOfTheRanking(t *testing.T) {
	submit := func() *owner {
		o := newOwner(t, 1, "a", "b", "c")
		for i := range 4 {
			step := smallStep(3)
			step.Estimate = time.Duration(4-i) * time.Second
			o.submit(fmt.Sprint(i), step)
		}
		return o
	}
	refs := func(orders []shard.Order) []batch.Ref {
		var out []batch.Ref
		for _, o := range orders {
			out = append(out, o.Ref)
		}
		return out
	}
	whole := refs(submit().plan())
	require.Len(t, whole, 12)
	for n := 1; n <= 13; n++ {
		o := submit()
		var limited []batch.Ref
		for len(limited) < len(whole) {
			got := refs(o.planWithin(starts(n)))
			require.NotEmpty(t, got)
			require.LessOrEqual(t, len(got), n)
			limited = append(limited, got...)
		}
		require.Equal(t, whole, limited, "rounds of %d starts", n)
	}
	o := submit()
	require.Empty(t, o.planWithin(starts(0)))
	require.Equal(t, whole, refs(o.plan()), "what was not started is ranked anew")
}

// A gang that was cut at the limit would wait on hosts for members that do not start.
func TestGangIsStartedWholeWithinALimit(t *testing.T) {
	gang := smallStep(6)
	gang.Gang = true
	for n := range 8 {
		o := newOwner(t, 1, "a", "b", "c")
		o.submit("g", gang)
		got := o.planWithin(shard.Limits{Starts: n, StartsPerHost: 1})
		if n == 0 {
			require.Empty(t, got)
			continue
		}
		require.Len(t, got, 6, "a gang starts whole even if it exceeds the limit of %d", n)
	}
	o := newOwner(t, 1, "a", "b", "c")
	o.submit("g", gang)
	o.submit("late", smallStep(1))
	require.Len(t, o.planWithin(starts(3)), 6, "the gang has used up the limit")
}

// Starts of one host share queues, so a start that is ordered before the host has answered others
// may wait behind them.
func TestHostWithUnansweredStartsGetsNoFurtherOne(t *testing.T) {
	limits := shard.Limits{Starts: 100, StartsPerHost: 2}
	o := newOwner(t, 1, "a", "b")
	o.submit("j", smallStep(8))
	first := o.planWithin(limits)
	perHost := map[string]int{}
	for _, order := range first {
		perHost[order.Host]++
	}
	require.Equal(t, map[string]int{"a": 2, "b": 2}, perHost)
	require.Empty(t, o.planWithin(limits), "both hosts have to answer")
	for i := range first {
		if first[i].Host == "b" {
			o.clock++
			require.True(t, o.HandleStartResult(&first[i], o.clock, nil, o.now))
		}
	}
	second := o.planWithin(limits)
	require.Len(t, second, 2)
	for _, order := range second {
		require.Equal(t, "b", order.Host, "a host that does not answer does not hold back the other")
	}
}

// With the limit on the starts of a host, tasks must not run away from their data just because the
// hosts near it have to answer first.
func TestTaskWaitsForABusyHostNearItsData(t *testing.T) {
	limits := shard.Limits{Starts: 100, StartsPerHost: 1}
	o := newOwner(t, 1, "a", "b")
	near := smallStep(3)
	near.DataRack = "r-a"
	o.submit("1", near)
	o.submit("2", smallStep(1))
	hosts := map[string]string{}
	for _, order := range o.planWithin(limits) {
		hosts[order.Ref.Job] = order.Host
	}
	require.Equal(t, map[string]string{"1": "a", "2": "b"}, hosts)
}
