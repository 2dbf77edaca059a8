package shard_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/grade"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

const (
	sizedHosts, sizedCores = 16, 16
	// sizedArrivals is how long jobs arrive, and sizedLength the whole time of a play.
	sizedArrivals, sizedLength = 20 * time.Second, 32 * time.Second
	// leastShare is how often the jobs of each size class have to be in time, against all jobs, and mostLost by how much
	// that may lower the share of all.
	leastShare, mostLost = 0.6, 0.02
)

// sizedJob is a job of a heavy tail of sizes.
type sizedJob struct {
	at    time.Duration
	steps []batch.Step
	work  float64
	// equal reports whether the job is of the queue of jobs that are all equal.
	equal bool
	// tenant is the index of the tenant in those of the pool, if it has any.
	tenant int
}

// arrivals returns jobs that offer a pool a multiple of its capacity. The numbers of steps and tasks, the cores and the
// run time of a task vary independently.
func arrivals(load float64, seed uint64) []sizedJob {
	random := rand.New(rand.NewPCG(seed, 7))
	draw := func(mean, spread, most float64) float64 {
		return min(mean*math.Exp(random.NormFloat64()*spread-spread*spread/2), most)
	}
	offered := load * sizedHosts * sizedCores * sizedArrivals.Seconds()
	var out []sizedJob
	var at []float64
	for offered > 0 {
		var j sizedJob
		for i := range max(int(math.Round(draw(1.6, 0.4, 4))), 1) {
			step := smallStep(max(int(math.Round(draw(8, 0.6, 32))), 1))
			step.Need = batch.Size{MilliCores: int64(draw(2000, 0.45, 6100)), MemoryMB: 100}
			step.Estimate = time.Duration(draw(640, 0.5, 1600)) * time.Millisecond
			if i > 0 {
				step.After = []int{i - 1}
			}
			j.work += float64(step.Count) * float64(step.Need.MilliCores) * step.Estimate.Seconds() / 1000
			j.steps = append(j.steps, step)
		}
		offered -= j.work
		out = append(out, j)
		at = append(at, random.Float64()*sizedArrivals.Seconds())
	}
	slices.Sort(at)
	for i := range out {
		out[i].at = time.Duration(at[i] * float64(time.Second))
	}
	return out
}

// bySizeClass holds a value for all jobs, the largest tenth of them, and the fifth below it.
type bySizeClass struct{ all, largest, fifth float64 }

// add adds the shares of one of a number of plays.
func (c *bySizeClass) add(other bySizeClass, plays float64) {
	c.all += other.all / plays
	c.largest += other.largest / plays
	c.fifth += other.fifth / plays
}

// playSized plays jobs on a pool and returns the shares of them that are in time, and which are.
func playSized(t *testing.T, jobs []sizedJob, plan func(*owner), tenants ...port.Tenant) (bySizeClass, []bool) {
	t.Helper()
	const tick = 20 * time.Millisecond
	o := newOwner(t, 1)
	o.Configure(&port.Config{
		Queues: []port.Queue{
			{Name: "q", Version: 1, Pool: "pool", MaxAttempts: 3, Stretch: 1.6, Target: 600 * time.Millisecond},
			{Name: "equal", Version: 1, Pool: "pool", MaxAttempts: 3, Stretch: 1.6, Target: 600 * time.Millisecond},
		},
		Pools:   []port.Pool{{Name: "pool", EnforcesCapacity: true}},
		Tenants: tenants,
	})
	o.Timing.MaxReservedShare = 0.1
	type run struct {
		order shard.Order
		ends  time.Time
	}
	running := map[string][]run{}
	var hosts []string
	for i := range sizedHosts {
		id := fmt.Sprintf("h%02d", i)
		hosts = append(hosts, id)
		o.UpdateHost(port.Host{ID: id, Address: id, Pool: "pool", Rack: "r", Capacity: batch.Size{MilliCores: sizedCores * 1000, MemoryMB: 64000}}, o.now).Stored = true
		o.report(id)
		o.Hosts[id].FirstAnswer = o.now.Add(-time.Minute)
	}
	start, next := o.now, 0
	number := int64(0)
	inTime := make([]bool, len(jobs))
	for n := 0; o.now.Sub(start) < sizedLength; n++ {
		o.advance(tick)
		for ; next < len(jobs) && jobs[next].at <= o.now.Sub(start); next++ {
			queue := "q"
			if jobs[next].equal {
				queue = "equal"
			}
			spec := batch.Spec{Queue: queue, Steps: jobs[next].steps}
			if len(tenants) > 0 {
				spec.Tenant = tenants[jobs[next].tenant].Name
			}
			j, _ := o.Submit(fmt.Sprint(next), spec, o.now)
			o.MarkStored(j)
		}
		for i, h := range hosts {
			var left []run
			var rows []any
			for _, r := range running[h] {
				if o.now.Before(r.ends) {
					left = append(left, r)
					rows = append(rows, runningRow(r.order, 50))
					continue
				}
				number++
				rows = append(rows, doneRow(number, r.order))
			}
			if len(left) < len(running[h]) || (n+i)%50 == 0 {
				o.report(h, rows...)
				o.Hosts[h].StoredEnd = o.Hosts[h].CountedEnd
			}
			running[h] = left
		}
		for _, c := range o.TakeChanges() {
			o.MarkWritten(c)
			if c.Progress.Phase == shard.Completed {
				var id int
				_, err := fmt.Sscan(c.Job.ID, &id)
				require.NoError(t, err)
				inTime[id] = !o.now.After(c.Job.Objective)
			}
		}
		plan(o)
		orders := o.TakeOrders()
		for i := range orders {
			if orders[i].Kind != shard.OrderStart {
				continue
			}
			o.clock++
			require.True(t, o.HandleStartResult(&orders[i], o.clock, nil, o.now))
			// The run time is up to a tenth off its estimate.
			random := rand.New(rand.NewPCG(uint64(orders[i].Ref.Index), uint64(len(orders[i].Ref.Job))))
			estimate := o.Jobs[orders[i].Ref.Job].Spec.Steps[orders[i].Ref.Step].Estimate
			took := time.Duration(float64(estimate) * (0.9 + 0.2*random.Float64()))
			running[orders[i].Host] = append(running[orders[i].Host], run{orders[i], o.now.Add(took)})
		}
	}
	return sharesInTime(jobs, inTime), inTime
}

// sharesInTime returns the shares of the jobs in time by their work.
func sharesInTime(jobs []sizedJob, inTime []bool) bySizeClass {
	order := make([]int, len(jobs))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return int(math.Copysign(1, jobs[b].work-jobs[a].work)) })
	share := func(part []int) float64 {
		served := 0
		for _, i := range part {
			if inTime[i] {
				served++
			}
		}
		return float64(served) / float64(len(part))
	}
	tenth := len(jobs) / 10
	return bySizeClass{share(order), share(order[:tenth]), share(order[tenth : 3*tenth])}
}

func planByRemainingWork(o *owner) {
	ranking := shard.LateShare[shard.StarvedFirst[shard.ByLoad]]{
		Ranking: shard.StarvedFirst[shard.ByLoad]{Ranking: shard.ByLoad{Overloaded: o.Overloaded}, Spare: o.HasSpareCapacity(o.now)},
		Due:     o.LateWorkIsDue(o.now),
	}
	shard.Plan(o.State, ranking, o.now, o.now.UnixMilli())
}

func planWithSizeShare(o *owner) {
	ranking := shard.LateShare[shard.StarvedFirst[shard.SizeShare[shard.ByLoad]]]{
		Ranking: shard.StarvedFirst[shard.SizeShare[shard.ByLoad]]{
			Ranking: shard.SizeShare[shard.ByLoad]{Ranking: shard.ByLoad{Overloaded: o.Overloaded}, Overloaded: o.Overloaded},
			Spare:   o.HasSpareCapacity(o.now),
		},
		Due: o.LateWorkIsDue(o.now),
	}
	shard.Plan(o.State, ranking, o.now, o.now.UnixMilli())
}

// orders holds the mean shares of the jobs in time with SizeShare and with the order of remaining work alone, on the
// same arrivals.
type orders struct{ with, without bySizeClass }

// played holds the results of playOrders, by load.
var played = map[float64]orders{}

func playOrders(t *testing.T, load float64) orders {
	t.Helper()
	const seeds = 3
	if o, ok := played[load]; ok {
		return o
	}
	var o orders
	for seed := range uint64(seeds) {
		jobs := arrivals(load, seed)
		with, _ := playSized(t, jobs, planWithSizeShare)
		without, _ := playSized(t, jobs, planByRemainingWork)
		o.with.add(with, seeds)
		o.without.add(without, seeds)
	}
	t.Logf("offered %.1f of the capacity: in time %.3f of all, %.3f of the largest tenth, %.3f of the fifth below it; by remaining work alone %.3f, %.3f and %.3f",
		load, o.with.all, o.with.largest, o.with.fifth, o.without.all, o.without.largest, o.without.fifth)
	played[load] = o
	return o
}

// Guards against an overloaded pool that serves the largest jobs of a queue less than half as often as the others (SHORT).
func TestTheLargestJobsOfAnOverloadedPoolAreServedLikeTheOthers(t *testing.T) {
	for _, load := range []float64{1, 1.5, 2, 4} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			with := playOrders(t, load).with
			require.GreaterOrEqual(t, with.largest, leastShare*with.all)
			require.GreaterOrEqual(t, with.fifth, leastShare*with.all)
		})
	}
}

// requireLittleCost requires that the share of large jobs costs all others little.
func requireLittleCost(t *testing.T, load float64) {
	t.Helper()
	o := playOrders(t, load)
	require.GreaterOrEqual(t, o.with.all, o.without.all-mostLost, "offered %v of the capacity", load)
}

func TestServingTheLargestJobsCostsAPoolThatKeepsUpLittle(t *testing.T) { requireLittleCost(t, 1) }

func TestServingTheLargestJobsCostsAnOverloadedPoolLittle(t *testing.T) {
	for _, load := range []float64{1.5, 2, 4} {
		t.Run(fmt.Sprint(load), func(t *testing.T) { requireLittleCost(t, load) })
	}
}

// Guards against large jobs that go first without a bound, in a pool that keeps up or for a queue of higher priority.
func TestSizeShareComparesOnlyWhereItMay(t *testing.T) {
	var tally grade.Tally
	now := time.Unix(1_700_000_000, 0)
	for range 10 {
		tally.Arrive(grade.Rest, now)
		tally.Arrive(grade.Largest, now)
		tally.Begin(grade.Rest, now)
	}
	small := shard.Demand{Job: &shard.Job{ID: "a"}, Slack: time.Second, RemainingWork: 1, Tally: &tally}
	large := shard.Demand{Job: &shard.Job{ID: "b", Size: grade.Largest}, Slack: time.Second, RemainingWork: 100, Tally: &tally}
	ranking := shard.SizeShare[shard.ByLoad]{Ranking: shard.ByLoad{Overloaded: true}, Overloaded: true}
	require.Positive(t, ranking.Compare(&small, &large), "the large ones are behind")
	keepsUp := shard.SizeShare[shard.ByLoad]{}
	require.Equal(t, shard.ByLoad{}.Compare(&small, &large), keepsUp.Compare(&small, &large))
	late := large
	late.Slack = -1
	require.Negative(t, ranking.Compare(&small, &late))
	lower := large
	lower.Priority = 1
	require.Negative(t, ranking.Compare(&small, &lower))
	begun := large
	begun.Begun = true
	require.Negative(t, ranking.Compare(&begun, &large))
	for range 7 {
		tally.Begin(grade.Largest, now)
	}
	require.Negative(t, ranking.Compare(&small, &large), "they have their share")
	require.Positive(t, ranking.Compare(&small, &begun), "what was begun goes on")
	for range 2 {
		tally.Begin(grade.Largest, now)
	}
	require.Negative(t, ranking.Compare(&small, &begun), "they have hardly less than others")
}

// Guards against a queue whose jobs are all equal that pays for the large jobs of another one in its pool.
func TestEqualJobsAreServedLikeThoseOfAQueueWithLargeOnes(t *testing.T) {
	const seeds = 3
	var varied, equal float64
	for seed := range uint64(seeds) {
		jobs := arrivals(1.5, seed)
		for i := range jobs {
			if jobs[i].equal = i%2 == 1; jobs[i].equal {
				step := smallStep(8)
				step.Need, step.Estimate = batch.Size{MilliCores: 2000, MemoryMB: 100}, 900*time.Millisecond
				jobs[i].steps = []batch.Step{step}
			}
		}
		_, inTime := playSized(t, jobs, planWithSizeShare)
		var served, all [2]float64
		for i, j := range jobs {
			queue := 0
			if j.equal {
				queue = 1
			}
			all[queue]++
			if inTime[i] {
				served[queue]++
			}
		}
		varied += served[0] / all[0] / seeds
		equal += served[1] / all[1] / seeds
	}
	require.GreaterOrEqual(t, equal, leastShare*varied)
}
