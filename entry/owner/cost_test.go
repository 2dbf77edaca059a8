package owner_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/claim"
	"carawaymux.dev/entry/owner"
	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// BenchmarkWaitingJobs runs an owner in which jobs wait, whose callers ask for each of them once a second. An
// iteration lasts for a second. A CPU profile shows what the owner spends its time on.
func BenchmarkWaitingJobs(b *testing.B) {
	for _, waiting := range []int{1000, 10_000, 30_000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) { benchmarkWaitingJobs(b, waiting) })
	}
}

func benchmarkWaitingJobs(b *testing.B, waiting int) {
	const hostCount, calls = 80, 256
	ctx, cancel := context.WithCancel(context.Background())
	hosts := make([]port.Host, hostCount)
	for i := range hosts {
		hosts[i] = port.Host{
			ID: fmt.Sprintf("h%03d", i), Address: fmt.Sprintf("h%03d:1", i), Pool: "pool", Born: 1,
			Capacity: batch.Size{MilliCores: 1000 * slotsPerHost, MemoryMB: 1000 * slotsPerHost},
		}
	}
	fleet := startSlowHosts(ctx, hosts)
	fleet.processor = make(processor, calls)
	acquired, err := claim.Acquire(ctx, storeAtOnce{}, "pool", "e", 1, 24)
	require.NoError(b, err)
	config := &port.Config{
		Queues: []port.Queue{{Name: "q", Pool: "pool", Stretch: 2, Target: time.Second}},
		Pools:  []port.Pool{{Name: "pool", EnforcesCapacity: true}},
	}
	o := owner.Start(
		owner.Settings{
			Partitions: 24, HeartbeatWait: heartbeatWait,
			Timing: shard.Timing{Lease: testLease, Grace: 3 * time.Second, Retention: time.Hour},
		},
		owner.Deps{
			Log: storeAtOnce{}, HostClients: fleet, Machines: machinesUp{hosts: hosts},
			Logger: slog.New(slog.NewJSONHandler(io.Discard, nil)),
		},
		acquired, &owner.StoredState{}, config, hosts)
	jobs := make(chan int)
	var callers sync.WaitGroup
	var polls, ended atomic.Int64
	submit := func(i int) {
		spec := batch.Spec{Queue: "q", AcceptedMS: time.Now().UnixMilli(), Steps: []batch.Step{{
			Count: 1, Need: batch.Size{MilliCores: 500 + int64(i*7919%997), MemoryMB: 500 + int64(i*104_729%911)}, Estimate: taskTime,
		}}}
		o.Submit(ctx, config.Queues[0], fmt.Sprintf("%016x", i), spec)
	}
	for range calls {
		callers.Go(func() {
			for i := range jobs {
				submit(i)
			}
		})
	}
	for i := range waiting {
		jobs <- i
	}
	close(jobs)
	callers.Wait()
	// Each caller asks for its share of the jobs in turn, once a second, and submits one for each that has ended.
	next := atomic.Int64{}
	next.Store(int64(waiting))
	for k := range calls {
		callers.Go(func() {
			var mine []int
			for i := k; i < waiting; i += calls {
				mine = append(mine, i)
			}
			pause := time.Second / time.Duration(len(mine))
			for turn := time.Now(); ctx.Err() == nil; {
				for n, i := range mine {
					if turn = turn.Add(pause); time.Until(turn) > 0 {
						time.Sleep(time.Until(turn))
					}
					polls.Add(1)
					if o.JobStatus(ctx, fmt.Sprintf("%016x", i)).Phase == shard.Completed {
						ended.Add(1)
						mine[n] = int(next.Add(1))
						submit(mine[n])
					}
					if ctx.Err() != nil {
						return
					}
				}
			}
		})
	}
	b.ResetTimer()
	polls.Store(0)
	ended.Store(0)
	before := processorTime(b)
	for b.Loop() {
		time.Sleep(time.Second)
	}
	b.ReportMetric(float64(polls.Load())/b.Elapsed().Seconds(), "polls/s")
	b.ReportMetric(float64(ended.Load())/b.Elapsed().Seconds(), "ends/s")
	b.ReportMetric((processorTime(b)-before).Seconds()/b.Elapsed().Seconds(), "cores")
	cancel()
	callers.Wait()
	o.Close()
	fleet.running.Wait()
}

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
