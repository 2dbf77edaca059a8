package shard_test

import (
	"fmt"
	"testing"
	"time"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// BenchmarkRound measures a round of planning in which one task ends and the next starts.
func BenchmarkRound(b *testing.B) {
	for _, hosts := range []int{10, 100, 350} {
		for _, waiting := range []int{100, 1000, 10_000} {
			b.Run(fmt.Sprintf("hosts-%d-waiting-%d", hosts, waiting), func(b *testing.B) { benchmarkRound(b, hosts, waiting) })
		}
	}
}

func benchmarkRound(b *testing.B, hosts, waiting int) {
	now := time.Unix(1_700_000_000, 0)
	s := shard.New("pool", 1, timing, now)
	s.Configure(&port.Config{
		Queues: []port.Queue{{Name: "q", Pool: "pool", Stretch: 2}}, Pools: []port.Pool{{Name: "pool", EnforcesCapacity: true}},
	})
	for i := range hosts {
		id := fmt.Sprint(i)
		s.UpdateHost(port.Host{ID: id, Pool: "pool", Capacity: batch.Size{MilliCores: 8000, MemoryMB: 8000}}, now).Stored = true
		s.HandleReport(id, &port.HostReport{Clock: 1}, now)
	}
	now = now.Add(time.Millisecond)
	s.ConfirmedAt = now
	for i := range waiting/10 + hosts {
		j, _ := s.Submit(fmt.Sprint(i), batch.Spec{Queue: "q", Steps: []batch.Step{smallStep(10)}}, now)
		s.MarkStored(j)
	}
	shard.Plan(s, shard.BySlack{}, now, now.UnixMilli())
	started := s.TakeOrders()
	number := int64(0)
	b.ResetTimer()
	for i := 0; b.Loop(); i++ {
		if len(started) == 0 {
			b.Skip("all work has ended")
		}
		o := started[0]
		started = started[1:]
		number++
		s.HandleStartResult(&o, 2, nil, now)
		s.HandleReport(o.Host, &port.HostReport{Clock: 3, Finished: []port.FinishedRun{{
			Number: number, Unit: o.Ref.String(), Run: o.Run, Result: port.ResultStopped,
		}}}, now)
		shard.Plan(s, shard.BySlack{}, now, now.UnixMilli())
		started = append(started, s.TakeOrders()...)
	}
}
