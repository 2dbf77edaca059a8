package admit_test

import (
	"fmt"
	"math/bits"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/admit"
	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// The tests in this file play a load on the scheduling state of a pool, without a network. The owner of the pool
// has one processor: it takes time for each round, more the more work waits, for each submission, and for each look
// of a caller at a job that is open.

const (
	hosts      = 16
	hostCores  = 4000
	loadTime   = 60 * time.Second
	calmTime   = 10 * time.Second
	recovery   = 2 * time.Second
	idleLimit  = 3 * time.Second
	roundCost  = 5 * time.Millisecond
	waitCost   = 10 * time.Microsecond
	submitCost = 50 * time.Microsecond
	lookCost   = 200 * time.Microsecond
	lookEvery  = time.Second
)

// kind is a kind of job: tasks in two steps, one after the other.
type kind struct {
	queue    string
	count    int
	cores    int64
	estimate time.Duration
	share    float64
}

var kinds = []kind{
	{queue: "urgent", count: 3, cores: 500, estimate: 300 * time.Millisecond, share: 0.2},
	{queue: "small", count: 4, cores: 1000, estimate: 400 * time.Millisecond, share: 0.6},
	{queue: "large", count: 8, cores: 1000, estimate: 600 * time.Millisecond, share: 0.2},
}

func (k *kind) spec(now time.Time) batch.Spec {
	step := batch.Step{Count: k.count, Need: batch.Size{MilliCores: k.cores, MemoryMB: 1}, Estimate: k.estimate}
	second := step
	second.After = []int{0}
	return batch.Spec{Queue: k.queue, Steps: []batch.Step{step, second}, AcceptedMS: now.UnixMilli()}
}

// capacity is how many jobs a second the hosts can do.
func capacity() float64 {
	mean := 0.0
	for _, k := range kinds {
		mean += k.share * 2 * float64(k.count) * float64(k.cores) * k.estimate.Seconds()
	}
	return hosts * hostCores / mean
}

// outcome is what a play has shown.
type outcome struct {
	// offered and inTime count the jobs that were submitted under load, by queue, and those that ended in time.
	offered, inTime map[string]int
	refused         int
	// calmOffered and calmInTime are the same for those submitted once the pool should have recovered.
	calmOffered, calmInTime, calmRefused int
	// longestIdle is for how long work waited while less than half of the hosts were in use.
	longestIdle time.Duration
	mostOpen    int
}

func (o *outcome) served() int {
	n := 0
	for _, in := range o.inTime {
		n += in
	}
	return n
}

type job struct {
	kind      *kind
	objective time.Time
	calm      bool
}

type run struct {
	order shard.Order
	ends  time.Time
}

// play offers a pool a load, and then a calm one.
func play[P admit.Policy](t *testing.T, policy P, times float64) outcome {
	t.Helper()
	random := rand.New(rand.NewPCG(uint64(times*10), 7))
	now := time.Unix(1_700_000_000, 0)
	start, clock := now, int64(1000)
	s := shard.New("pool", 1, shard.Timing{Lease: time.Hour, MaxLease: time.Hour, Grace: time.Hour, Retention: time.Second}, now)
	config := &port.Config{Pools: []port.Pool{{Name: "pool", EnforcesCapacity: true}}}
	for i, k := range kinds {
		config.Queues = append(config.Queues, port.Queue{
			Name: k.queue, Pool: "pool", Priority: min(i, 1), MaxAttempts: 3, Stretch: 1.6, Target: 600 * time.Millisecond,
		})
	}
	s.Configure(config)
	ids := make([]string, hosts)
	ended, number := map[string][]port.FinishedRun{}, map[string]int64{}
	for i := range ids {
		ids[i] = fmt.Sprintf("h%02d", i)
		s.UpdateHost(port.Host{ID: ids[i], Pool: "pool", Born: 1, Capacity: batch.Size{MilliCores: hostCores, MemoryMB: 1000}}, now).Stored = true
	}
	running := map[string]map[batch.Ref]run{}
	admission := admit.New(policy)
	jobs := map[string]*job{}
	out := outcome{offered: map[string]int{}, inTime: map[string]int{}}
	var due, looks float64
	var idleSince time.Time
	last := now
	for now.Sub(start) < loadTime+calmTime+20*time.Second {
		elapsed := now.Sub(last)
		last = now
		clock += elapsed.Milliseconds() + 1
		s.ConfirmedAt = now
		cost := roundCost
		admission.Observe(admit.Pool{Capacity: s.Capacity(now), Overloaded: s.Overloaded}, now)

		for _, id := range ids {
			for ref, r := range running[id] {
				if now.Before(r.ends) {
					continue
				}
				delete(running[id], ref)
				number[id]++
				ended[id] = append(ended[id], port.FinishedRun{Number: number[id], Unit: ref.String(), Run: r.order.Run, Result: port.ResultDone})
			}
			report := &port.HostReport{Clock: clock, Born: 1, Finished: ended[id]}
			for ref, r := range running[id] {
				report.Running = append(report.Running, port.ActiveRun{Unit: ref.String(), Run: r.order.Run, ProgressPercent: 50})
			}
			for _, e := range s.HandleReport(id, report, now) {
				spec := &s.Jobs[e.Ref.Job].Spec
				admission.Done(e.Ref.Job, s.TaskWork(spec, e.Ref.Step), now)
			}
			s.Hosts[id].StoredEnd, ended[id] = s.Hosts[id].CountedEnd, nil
		}
		for _, c := range s.TakeChanges() {
			s.MarkWritten(c)
			if c.Progress.Phase != shard.Completed {
				continue
			}
			admission.Remove(c.Job.ID)
			j := jobs[c.Job.ID]
			switch inTime := !now.After(j.objective); {
			case inTime && j.calm:
				out.calmInTime++
			case inTime:
				out.inTime[j.kind.queue]++
			}
		}
		s.DropExpired(now)

		age := now.Sub(start)
		perSecond := capacity() / 2
		if age < loadTime {
			perSecond = capacity() * times
		}
		if age > loadTime+calmTime {
			perSecond = 0
		}
		// The hosts answer for the first time in the first second.
		if age > time.Second {
			due += perSecond * elapsed.Seconds()
		}
		for ; due >= 1; due-- {
			cost += submitCost
			k := &kinds[0]
			for at := random.Float64(); at >= k.share && k != &kinds[2]; k = &kinds[kindAfter(k)] {
				at -= k.share
			}
			id := fmt.Sprintf("%016x", random.Uint64())
			calm := age > loadTime+recovery
			if calm {
				out.calmOffered++
			} else if age < loadTime {
				out.offered[k.queue]++
			}
			spec := k.spec(now)
			p, ok := s.Prospect(&spec, now)
			require.True(t, ok)
			if _, taken := admission.Submit(admit.Job{
				ID: id, Work: p.Work, LateAt: p.LateAt, UselessAt: p.UselessAt,
				Class: admit.Class{Priority: s.Queues[k.queue].Priority, Size: bits.Len64(uint64(p.Work))},
			}, now); !taken {
				out.refused++
				if calm {
					out.calmRefused++
				}
				continue
			}
			j, _ := s.Submit(id, spec, now)
			s.MarkStored(j)
			jobs[id] = &job{k, j.Objective, calm}
			if age >= loadTime && !calm {
				jobs[id].objective = time.Time{}
			}
		}

		waiting := 0
		open := 0
		for _, j := range s.Jobs {
			if j.Phase != shard.Open {
				continue
			}
			open++
			if !j.Started {
				waiting++
			}
		}
		out.mostOpen = max(out.mostOpen, open)
		cost += time.Duration(waiting) * waitCost
		for looks += float64(open) * elapsed.Seconds() / lookEvery.Seconds(); looks >= 1; looks-- {
			cost += lookCost
		}
		spare := s.HasSpareCapacity(now) && waiting > 0
		switch {
		case !spare:
			idleSince = time.Time{}
		case idleSince.IsZero():
			idleSince = now
		default:
			out.longestIdle = max(out.longestIdle, now.Sub(idleSince))
		}
		ranking := shard.StarvedFirst[shard.ByLoad]{Ranking: shard.ByLoad{Overloaded: s.Overloaded}, Spare: spare}
		shard.PlanWithin(s, ranking, shard.Limits{Starts: 64, StartsPerHost: 1}, now, now.UnixMilli())
		for _, o := range s.TakeOrders() {
			require.Equal(t, shard.OrderStart, o.Kind)
			clock++
			require.True(t, s.HandleStartResult(&o, clock, nil, now))
			if running[o.Host] == nil {
				running[o.Host] = map[batch.Ref]run{}
			}
			estimate := s.Jobs[o.Ref.Job].Spec.Steps[o.Ref.Step].Estimate
			running[o.Host][o.Ref] = run{o, now.Add(time.Duration(float64(estimate) * (0.8 + 0.4*random.Float64())))}
		}
		now = now.Add(cost)
	}
	return out
}

func kindAfter(k *kind) int {
	for i := range kinds {
		if k == &kinds[i] {
			return i + 1
		}
	}
	return 0
}

// policy is the policy that owners use.
var policy = admit.WhileUseful{GrowthTime: 5 * time.Second, Growth: 16}

// A pool served a hundredth of what it could do while four times as much was offered: it accepted all of it, and its
// owner was busy with what waited.
func TestPoolServesAsMuchInTimeUnderAnyOverload(t *testing.T) {
	full := play(t, policy, 1)
	t.Logf("at capacity: %+v", full)
	for _, times := range []float64{2, 4, 10} {
		o := play(t, policy, times)
		t.Logf("%v times: %+v", times, o)
		require.GreaterOrEqual(t, float64(o.served()), 0.9*float64(full.served()), "served in time at %v times", times)
		require.Equal(t, o.calmOffered, o.calmInTime, "all served again %v after %v times", recovery, times)
		require.Less(t, o.longestIdle, idleLimit, "work waits while hosts have room at %v times", times)
		for _, k := range kinds {
			require.Positive(t, o.inTime[k.queue], "%s at %v times", k.queue, times)
		}
	}
}

// The baseline fails the bounds of the test above, for recovery and for idle hosts.
func TestPoolThatTakesAllIsSlowedDownByWhatWaits(t *testing.T) {
	o := play(t, admit.All{}, 10)
	t.Logf("10 times: %+v", o)
	require.Less(t, o.calmInTime, o.calmOffered)
	require.Greater(t, o.longestIdle, idleLimit)
	require.Zero(t, o.inTime["large"])
}

func TestPoolThatKeepsUpRefusesNothing(t *testing.T) {
	for _, times := range []float64{0.5, 0.9} {
		all, useful := play(t, admit.All{}, times), play(t, policy, times)
		require.Equal(t, all, useful)
		require.Zero(t, useful.refused)
	}
}
