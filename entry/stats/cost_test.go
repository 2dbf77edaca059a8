package stats_test

import (
	"testing"
	"time"

	"carawaymux.dev/entry/stats"
)

func BenchmarkAdd(b *testing.B) {
	s := stats.New()
	defer s.Close()
	b.ReportAllocs()
	for b.Loop() {
		s.Add("orders", 1, "pool", "images-0", "kind", "run ordered")
	}
}

func BenchmarkObserve(b *testing.B) {
	s := stats.New()
	defer s.Close()
	b.ReportAllocs()
	for b.Loop() {
		s.Observe("store-append", 3*time.Millisecond, "pool", "images-0")
	}
}
