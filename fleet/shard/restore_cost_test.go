package shard_test

import (
	"fmt"
	"testing"
	"time"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// BenchmarkTakeOver measures the restoration of jobs that wait, and the first round after it.
func BenchmarkTakeOver(b *testing.B) {
	for _, waiting := range []int{1000, 10_000, 30_000} {
		b.Run(fmt.Sprintf("jobs-%d", waiting), func(b *testing.B) {
			var restored, planned time.Duration
			for b.Loop() {
				now := time.Unix(1_700_000_000, 0)
				s := shard.New("pool", 2, timing, now)
				s.Configure(&port.Config{
					Queues: []port.Queue{{Name: "q", Pool: "pool", Stretch: 2, Target: 4 * time.Second}},
					Pools:  []port.Pool{{Name: "pool", EnforcesCapacity: true}},
				})
				for i := range 80 {
					id := fmt.Sprint(i)
					s.UpdateHost(port.Host{ID: id, Pool: "pool", Capacity: batch.Size{MilliCores: 8000, MemoryMB: 8000}}, now).Stored = true
					s.HandleReport(id, &port.HostReport{Clock: 1}, now)
				}
				now = now.Add(time.Millisecond)
				s.ConfirmedAt = now
				start := time.Now()
				for i := range waiting {
					step := batch.Step{
						Count: 8, Estimate: 600 * time.Millisecond,
						Need: batch.Size{MilliCores: 500 + int64(i*7919%997), MemoryMB: 400 + int64(i*104_729%1201)},
					}
					spec := batch.Spec{
						Queue: "q", Steps: []batch.Step{step}, AcceptedMS: now.UnixMilli() - int64(i%20_000),
						Repetitions: 4, FirstDueMS: now.UnixMilli() - 20_000,
					}
					s.Restore(fmt.Sprintf("%08d", i), spec, nil, now)
				}
				restored += time.Since(start)
				start = time.Now()
				shard.PlanWithin(s, shard.ByLoad{Overloaded: true}, shard.Limits{Starts: 16, StartsPerHost: 1}, now, now.UnixMilli())
				planned += time.Since(start)
			}
			b.ReportMetric(restored.Seconds()*1000/float64(b.N), "restore-ms")
			b.ReportMetric(planned.Seconds()*1000/float64(b.N), "round-ms")
		})
	}
}
