package ledger_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/budget"
	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/host"
	"carawaymux.dev/fleet/lease"
	"carawaymux.dev/fleet/ledger"
	"carawaymux.dev/fleet/pool"
	"carawaymux.dev/fleet/quota"
	"carawaymux.dev/fleet/record"
)

// The size of the benchmark fleet, which is the size that is expected in future.
const (
	benchPools  = 172
	benchHosts  = 2400
	benchQuotas = 760
	// benchChanges is the number of changes of one day, including host phase changes.
	benchChanges = 10_000
)

// encodeStream returns encoded records that create a fleet with the given number of hosts, followed
// by the given number of host changes.
func encodeStream(tb testing.TB, hosts, changes int) [][]byte {
	var out [][]byte
	add := func(r record.Record) {
		r.ID, r.Schema, r.Author = record.NewID(), codec.NewestSchema(r.Body.Kind()), "bench"
		raw, err := codec.EncodeRecord(r)
		require.NoError(tb, err)
		out = append(out, raw)
	}
	for p := range benchPools {
		name := fmt.Sprintf("p%03d", p)
		add(record.Record{Object: name, Body: budget.Spec{MaxUnavailable: 3, MinAvailable: 1}})
		add(record.Record{Object: name, Body: pool.Spec{Budget: name, Kinds: []string{name}}})
	}
	for q := range benchQuotas {
		add(record.Record{Object: fmt.Sprintf("t%03d", q), Body: quota.Spec{Cores: 100, MemoryMiB: 1 << 20}})
	}
	for h := range hosts {
		add(record.Record{Object: fmt.Sprintf("h%04d", h), Body: host.Spec{
			Pool: fmt.Sprintf("p%03d", h%benchPools), Zone: fmt.Sprintf("z%d", h%7), Rack: fmt.Sprintf("r%d", h/28),
			Address: "10.0.0.1:8080", Size: host.Resources{Cores: 16, MemoryMiB: 65536, Accelerators: int64(h % 2)},
			Slots: 8, Connections: 64,
		}})
	}
	fence := record.Version(uint64(len(out)))
	add(record.Record{Body: lease.Claim{Holder: "bench", TermMS: 1000}})
	for i := range changes {
		event := host.EventFail
		if i/hosts%3 == 1 {
			event = host.EventRestore
		} else if i/hosts%3 == 2 {
			event = host.EventReturn
		}
		add(record.Record{
			Fence: fence, Reason: record.Reason{Rule: "host-down", Figures: "down for 3s or more: 1 in z1/r1"},
			Body: host.Change{Event: event, Hosts: []string{fmt.Sprintf("h%04d", i%hosts)}},
		})
	}
	return out
}

func applyRaw(tb testing.TB, stream [][]byte) *ledger.State {
	s := ledger.New()
	for i, raw := range stream {
		v, err := s.Apply(codec.DecodeEntry(uint64(i), raw))
		if err != nil || v.Result != record.Accepted {
			tb.Fatal(i, v.Reason, err)
		}
	}
	return s
}

// BenchmarkApply decodes and applies the records of a full-size fleet and 10,000 changes.
func BenchmarkApply(b *testing.B) {
	stream := encodeStream(b, benchHosts, benchChanges)
	b.ResetTimer()
	for range b.N {
		applyRaw(b, stream)
	}
	b.ReportMetric(float64(len(stream)), "records/op")
}

// BenchmarkSnapshotWrite encodes and hashes the state, as every instance does every 64 records.
func BenchmarkSnapshotWrite(b *testing.B) {
	for _, hosts := range []int{600, 1200, benchHosts} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			s := applyRaw(b, encodeStream(b, hosts, benchChanges))
			b.ResetTimer()
			for range b.N {
				raw, err := codec.EncodeSnapshot(s.Snapshot())
				require.NoError(b, err)
				codec.Hash(raw)
				b.ReportMetric(float64(len(raw)), "bytes")
			}
		})
	}
}

// BenchmarkSnapshotRead decodes a snapshot, as an instance does when it starts.
func BenchmarkSnapshotRead(b *testing.B) {
	raw, err := codec.EncodeSnapshot(applyRaw(b, encodeStream(b, benchHosts, benchChanges)).Snapshot())
	require.NoError(b, err)
	b.ResetTimer()
	for range b.N {
		_, err := codec.DecodeSnapshot(raw)
		require.NoError(b, err)
	}
}

// BenchmarkStateMemory reports the heap memory of a full-size state that holds the record IDs of
// one day.
func BenchmarkStateMemory(b *testing.B) {
	for _, hosts := range []int{600, 1200, benchHosts} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			stream := encodeStream(b, hosts, benchChanges)
			for range b.N {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				s := applyRaw(b, stream)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MiB")
				runtime.KeepAlive(s)
			}
		})
	}
}
