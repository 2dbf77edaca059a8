package owner

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/pairs"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// FuzzStoredRecords restores a pool from records as an owner may find them in the store, and plans its
// work.
func FuzzStoredRecords(f *testing.F) {
	encode := func(v any) []byte {
		raw, err := codec.EncodeFrame(v)
		require.NoError(f, err)
		return raw
	}
	step := batch.Step{Count: 2, Need: batch.Size{MilliCores: 1000, MemoryMB: 100}, Estimate: time.Second}
	later := step
	later.After = []int{0}
	spec := encode(batch.Spec{Queue: "q", Steps: []batch.Step{step, later}, Repetitions: 2})
	tasks := []shard.TaskProgress{{Counted: 1, Done: true}, {Counted: 2, FailedRuns: []int64{1, 2}}}
	progress := encode(shard.Progress{Phase: shard.Open, Occurrences: []shard.OccurrenceProgress{{Stages: [][]shard.TaskProgress{tasks, nil}}, {Done: true}, {}}})
	host := encode(testHost)
	f.Add(spec, progress, host)
	f.Add(spec, encode(shard.Progress{Phase: "odd", Occurrences: make([]shard.OccurrenceProgress, 9)}), encode(port.Host{Capacity: batch.Size{MilliCores: -1}}))
	f.Add([]byte{0xff}, []byte{0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, []byte("{"))
	f.Fuzz(func(_ *testing.T, spec, progress, host []byte) {
		stored := &StoredState{Specs: map[string]batch.Spec{}, Progress: map[string]shard.Progress{}}
		for key, value := range map[string][]byte{keySpec + "job": spec, keyProgress + "job": progress, keyHost + "h": host} {
			_ = stored.add("pool", port.Record{Key: "pool" + key, Value: value})
		}
		now := time.Unix(1_700_000_000, 0)
		s := shard.New("pool", 2, shard.Timing{Lease: 5 * time.Second, Grace: 6 * time.Second}, now)
		s.Configure(&port.Config{Queues: []port.Queue{{Name: "q", Pool: "pool", MaxAttempts: 3}}})
		for id, spec := range stored.Specs {
			var p *shard.Progress
			if v, ok := stored.Progress[id]; ok {
				p = &v
			}
			s.Restore(id, spec, p, now)
		}
		for _, h := range stored.Hosts {
			s.RestoreHost(h)
		}
		s.UpdateHost(testHost, now)
		s.HandleReport("h", &port.HostReport{Clock: 1000, Born: 1}, now)
		now = now.Add(time.Minute)
		s.ConfirmedAt = now
		shard.Plan(s, shard.BySlack{}, now, now.UnixMilli())
		s.TakeOrders()
		s.TakeChanges()
		s.Load(now)
		s.DropExpired(now)
	})
}

// FuzzStoredPairs takes over evidence about images as an owner may find it in the store, and stores it again.
func FuzzStoredPairs(f *testing.F) {
	now := time.Unix(1_700_000_000, 0)
	for _, p := range []storedPair{{"a", "b", 1, 0.01, now.UnixMilli(), 9, 1}, {"a", "a", 1e308, 1, math.MaxInt64, -1, math.MinInt64}} {
		raw, err := codec.EncodeFrame(storedPairs{Pairs: []storedPair{p}})
		require.NoError(f, err)
		f.Add(raw)
	}
	f.Add([]byte{0xa1, 0x01, 0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		stored := newStoredState()
		stored.taker("pool")(port.Record{Key: "pool" + keyNeighbors, Value: raw})
		s := shard.New("pool", 2, shard.Timing{}, now)
		s.Neighbors().Merge(stored.Neighbors, now)
		for _, e := range s.Neighbors().Suspected(maxStoredPairs, now) {
			require.Positive(t, s.Neighbors().Partners(e.Image)[e.Neighbor])
			require.False(t, math.IsInf(e.Slowdown(), 0))
		}
		again := storePairs(s.Neighbors().Suspected(maxStoredPairs, now))
		next := pairs.New()
		require.Zero(t, next.Merge(again.evidence(), now), "what is stored can be read")
		s.Neighbors().Expire(now.Add(48 * time.Hour))
		require.Zero(t, s.Neighbors().Size().Pairs)
	})
}
