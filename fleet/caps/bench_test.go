package caps_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"carawaymux.dev/fleet/caps"
)

const (
	// roundsPerSecond is how often the lender asks, and turnRounds how many rounds the demand of a tenant stays in its pools on average.
	roundsPerSecond = 4
	turnRounds      = 80
	// tenantCap is the cap of each tenant and taskSize what a task requests, in thousandths of a core.
	tenantCap = 100_000
	taskSize  = 500
)

// load is a tenant whose demand moves between pools. Its tasks last a second on average.
type load struct {
	wanted, running []int64
	held            []caps.Holding
}

// move gives the tenant another demand: up to twice its cap in one to three pools.
func (l *load) move(r *rand.Rand) {
	clear(l.wanted)
	for range 1 + r.IntN(3) {
		l.wanted[r.IntN(len(l.wanted))] = r.Int64N(2*tenantCap/taskSize) * taskSize
	}
}

// BenchmarkDivisions compares the policies. An operation is a round of the lender. It reports the part of what tenants could run within
// their caps that they do not, the budgets and the requests to owners in a second, and the starts in a second, in each of which an owner
// of the tenant would have to be asked otherwise, and the pairs of tenant and pool with starts in a round.
func BenchmarkDivisions(b *testing.B) {
	for _, tenants := range []int{20, 760} {
		for _, pools := range []int{4, 40} {
			b.Run(fmt.Sprintf("fixed/tenants=%d/pools=%d", tenants, pools), func(b *testing.B) { divide(b, caps.FixedSplit{}, tenants, pools) })
			b.Run(fmt.Sprintf("demand/tenants=%d/pools=%d", tenants, pools), func(b *testing.B) { divide(b, caps.ByDemand{}, tenants, pools) })
		}
	}
}

func divide[P caps.Policy](b *testing.B, policy P, tenants, pools int) {
	r := rand.New(rand.NewPCG(1, 1))
	ledger := caps.NewLedger(1, nil)
	names, poolNames := make([]string, tenants), make([]string, pools)
	for p := range poolNames {
		poolNames[p] = fmt.Sprint("pool-", p)
	}
	loads := make([]load, tenants)
	byName := map[string]*load{}
	for t := range loads {
		names[t] = fmt.Sprint("tenant-", t)
		loads[t] = load{make([]int64, pools), make([]int64, pools), make([]caps.Holding, pools)}
		for p := range poolNames {
			loads[t].held[p].Configure(cores(tenantCap), 1)
		}
		loads[t].move(r)
		byName[names[t]] = &loads[t]
	}
	var possible, used, budgets, requests, starts, pairs, changed float64
	rounds := 0
	round := func() {
		for t := range loads {
			l := &loads[t]
			if r.IntN(turnRounds) == 0 {
				l.move(r)
			}
			var want, run int64
			for p := range poolNames {
				l.running[p] -= (l.running[p]/taskSize + roundsPerSecond - 1) / roundsPerSecond * taskSize
				limit, _ := l.held[p].Limit()
				more := max(min(l.wanted[p], limit.MilliCores)-l.running[p], 0) / taskSize
				l.running[p] += more * taskSize
				starts += float64(more)
				if more > 0 {
					pairs++
				}
				want, run = want+l.wanted[p], run+l.running[p]
			}
			possible += float64(min(want, tenantCap))
			used += float64(min(run, want, tenantCap))
		}
		for _, name := range names {
			caps.Plan(ledger, policy, name, cores(tenantCap), 1, poolNames)
		}
		changed += float64(len(ledger.TakeChanged()))
		taken := make([][]caps.Budget, pools)
		for p, pool := range poolNames {
			taken[p] = ledger.Take(pool)
		}
		for p, pool := range poolNames {
			requests++
			sent := taken[p]
			budgets += float64(len(sent))
			for _, budget := range sent {
				byName[budget.Tenant].held[p].Take(budget)
			}
			var uses []caps.Use
			for t := range loads {
				l := &loads[t]
				waiting := max(l.wanted[p]-l.running[p], 0)
				if l.wanted[p]+l.running[p] == 0 && len(sent) == 0 {
					continue
				}
				u := caps.Use{
					Running: cores(l.running[p]), MayRun: cores(l.running[p]), Ready: cores(waiting), Waiting: cores(waiting), Least: cores(taskSize),
					Held: l.held[p].Held, Stored: true,
				}
				u.Held.Tenant = names[t]
				uses = append(uses, u)
			}
			ledger.Report(pool, uses)
		}
		rounds++
	}
	// The first budgets are not measured.
	for range 20 * roundsPerSecond {
		round()
	}
	possible, used, budgets, requests, starts, pairs, changed, rounds = 0, 0, 0, 0, 0, 0, 0, 0
	for b.Loop() {
		round()
	}
	seconds := float64(rounds) / roundsPerSecond
	b.ReportMetric(100*(1-used/possible), "%unused")
	b.ReportMetric(budgets/seconds, "budgets/s")
	b.ReportMetric(requests/seconds, "requests/s")
	b.ReportMetric(changed/seconds, "accounts/s")
	b.ReportMetric(starts/seconds, "starts/s")
	b.ReportMetric(pairs/seconds, "start-pairs/s")
}
