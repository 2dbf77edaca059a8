package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

const (
	reservingHosts  = 20
	smallTaskLength = time.Second
)

// A large step starts although the pool always has more small work than it can do. It goes before small work that is
// not late once late work has less than its share; the hosts that are reserved empty within the length of a small task.
func TestALargeStepStartsWithinABound(t *testing.T) {
	const (
		large  = 8
		share  = 0.1
		length = 30 * time.Second
	)
	var hosts []string
	for i := range reservingHosts {
		hosts = append(hosts, fmt.Sprintf("h%02d", i))
	}
	o := newOwner(t, 1, hosts...)
	o.Timing.MaxReservedShare = share
	start, number := o.now, int64(0)
	started := map[string]time.Duration{}
	const tick = 100 * time.Millisecond
	for at, n := time.Duration(0), 0; at < length; at, n = at+tick, n+1 {
		// Each host has four cores.
		o.submit(fmt.Sprintf("small-%04d", n), smallStep(2*4*reservingHosts*int(tick)/int(smallTaskLength)))
		if at == 2*time.Second {
			for i := range large {
				step := smallStep(1)
				step.Need = batch.Size{MilliCores: 4000, MemoryMB: 400}
				o.submit(fmt.Sprintf("large-%d", i), step)
			}
		}
		for _, h := range hosts {
			var rows []any
			for ref, task := range o.Hosts[h].Assigned {
				if o.now.Sub(task.OrderedAt) < smallTaskLength {
					rows = append(rows, port.ActiveRun{Unit: ref.String(), Run: task.Run})
					continue
				}
				number++
				rows = append(rows, port.FinishedRun{Number: number, Unit: ref.String(), Run: task.Run, Result: port.ResultDone})
			}
			o.report(h, rows...)
		}
		o.advance(time.Millisecond)
		ranking := shard.LateShare[shard.StarvedFirst[shard.ByLoad]]{
			Ranking: shard.StarvedFirst[shard.ByLoad]{Ranking: shard.ByLoad{Overloaded: o.Overloaded}, Spare: o.HasSpareCapacity(o.now)},
			Due:     o.LateWorkIsDue(o.now),
		}
		shard.Plan(o.State, ranking, o.now, o.now.UnixMilli())
		orders := o.TakeOrders()
		for i := range orders {
			o.clock++
			require.True(t, o.HandleStartResult(&orders[i], o.clock, nil, o.now))
			if job := orders[i].Ref.Job; job[0] == 'l' {
				started[job] = o.now.Sub(start) - 2*time.Second
			}
		}
		o.advance(tick - time.Millisecond)
	}
	require.Len(t, started, large)
	// Steps are late, and go before others, after 2 s. Then they run one after the other at worst, since one of them is
	// the share of late work: each waits for a host to empty and for the step before.
	bound := 2*time.Second + large*2*smallTaskLength
	for job, at := range started {
		require.LessOrEqual(t, at, bound, job)
	}
}

// Guards against a pool that holds a large part of its hosts idle for late steps that do not fit yet, beside small ones
// that wait.
func TestReservationsHaveABound(t *testing.T) {
	for share, started := range map[float64]int{0: 5, 0.1: 18, 0.01: 19} {
		t.Run(fmt.Sprint(share), func(t *testing.T) {
			o := newOwner(t, 1)
			o.Timing.MaxReservedShare = share
			for i := range reservingHosts {
				o.addHost(fmt.Sprintf("h%02d", i))
			}
			filler, large := smallStep(reservingHosts), smallStep(1)
			filler.Need.MilliCores, large.Need.MilliCores = 3000, 4000
			o.submit("filler", filler)
			running := o.start()
			require.Len(t, running, reservingHosts)
			for i := range 15 {
				o.submit(fmt.Sprintf("large-%d", i), large)
			}
			o.advance(time.Second)
			o.submit("small", smallStep(reservingHosts))
			o.advance(10 * time.Second)
			for _, start := range running {
				o.report(start.Host, runningRow(start, 50))
			}
			o.advance(time.Millisecond)
			require.Len(t, o.start(), started)
		})
	}
}
