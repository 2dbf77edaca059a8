package shard_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// outcome is the number of jobs that met their objective and that missed it.
type outcome struct{ inTime, late int }

// simulateLoad runs a load against the decision code. Jobs of uneven size arrive at a rate for five
// seconds, four hosts of four cores run them, and estimates are off by up to a half.
func simulateLoad(t *testing.T, rank func(*shard.State) shard.Ranking, perSecond float64, seed uint64) outcome {
	t.Helper()
	const step, arrivals, duration = 20 * time.Millisecond, 5 * time.Second, 40 * time.Second
	random := rand.New(rand.NewPCG(seed, 3))
	o := newOwner(t, 1, "a", "b", "c", "d")
	start := o.now
	type run struct {
		order shard.Order
		ends  time.Time
	}
	var runs []run
	ended := map[string][]port.FinishedRun{}
	number := map[string]int64{}
	objective := map[string]time.Time{}
	var out outcome
	backlog := 0.0
	for o.now.Sub(start) < duration {
		o.advance(step)
		if o.now.Sub(start) < arrivals {
			for backlog += perSecond * step.Seconds(); backlog >= 1; backlog-- {
				id := fmt.Sprintf("j%d", len(objective))
				first, second := smallStep(1+random.IntN(6)), smallStep(1+random.IntN(4))
				first.Estimate = time.Duration(300+random.IntN(600)) * time.Millisecond
				second.Estimate, second.After = first.Estimate, []int{0}
				o.submit(id, first, second)
				objective[id] = o.Jobs[id].Objective
			}
		}
		var left []run
		for _, current := range runs {
			if o.now.Before(current.ends) {
				left = append(left, current)
				continue
			}
			h := current.order.Host
			number[h]++
			ended[h] = append(ended[h], doneRow(number[h], current.order))
		}
		runs = left
		for _, h := range []string{"a", "b", "c", "d"} {
			var rows []any
			for _, current := range runs {
				if current.order.Host == h {
					rows = append(rows, runningRow(current.order, 50))
				}
			}
			for _, e := range ended[h] {
				rows = append(rows, e)
			}
			o.report(h, rows...)
			o.Hosts[h].StoredEnd, ended[h] = o.Hosts[h].CountedEnd, nil
		}
		for _, c := range o.TakeChanges() {
			o.MarkWritten(c)
			if c.Progress.Phase == shard.Completed {
				if o.now.After(objective[c.Job.ID]) {
					out.late++
				} else {
					out.inTime++
				}
			}
		}
		shard.Plan(o.State, anyRanking{rank(o.State)}, o.now, o.now.UnixMilli())
		for _, order := range o.TakeOrders() {
			require.Equal(t, shard.OrderStart, order.Kind)
			o.clock++
			require.True(t, o.HandleStartResult(&order, o.clock, nil, o.now))
			estimate := o.Jobs[order.Ref.Job].Spec.Steps[order.Ref.Step].Estimate
			took := time.Duration(float64(estimate) * (0.5 + random.Float64()))
			runs = append(runs, run{order, o.now.Add(took)})
		}
	}
	require.Equal(t, len(objective), out.inTime+out.late, "all jobs complete")
	return out
}

// anyRanking lets a load choose its ranking in each round.
type anyRanking struct{ shard.Ranking }

func bySlack(*shard.State) shard.Ranking { return shard.BySlack{} }

func byLoad(s *shard.State) shard.Ranking { return shard.ByLoad{Overloaded: s.Overloaded} }

func byAge(*shard.State) shard.Ranking { return shard.ByAge{} }

func sumOutcomes(t *testing.T, rank func(*shard.State) shard.Ranking, perSecond float64) outcome {
	var sum outcome
	for seed := range uint64(8) {
		one := simulateLoad(t, rank, perSecond, seed)
		sum.inTime += one.inTime
		sum.late += one.late
	}
	return sum
}

// Three times the work that the pool can run arrives for five seconds. In the order of slack,
// most jobs were started when it was nearly too late for them, and were late.
func TestMoreJobsAreInTimeWhenAPoolDoesNotKeepUp(t *testing.T) {
	slack, load, age := sumOutcomes(t, bySlack, 14), sumOutcomes(t, byLoad, 14), sumOutcomes(t, byAge, 14)
	t.Logf("in time: by slack %d, by load %d, by age %d of %d", slack.inTime, load.inTime, age.inTime, age.inTime+age.late)
	require.Greater(t, load.inTime, slack.inTime)
	require.Greater(t, load.inTime, age.inTime)
}

// While the pool keeps up, the order by slack serves nearly all jobs in time, and ByLoad gives
// the same result.
func TestAPoolThatKeepsUpServesInTheOrderOfSlack(t *testing.T) {
	slack, load := sumOutcomes(t, bySlack, 3), sumOutcomes(t, byLoad, 3)
	require.Equal(t, slack, load)
}
