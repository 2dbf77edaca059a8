package sink_test

import (
	"io"
	"log/slog"
	"testing"

	"carawaymux.dev/entry/sink"
)

// BenchmarkFormat is the cost to its task of the line that an owner logs for each order. Most lines are dropped, because
// they exceed the rate limit.
func BenchmarkFormat(b *testing.B) {
	s := sink.New(io.Discard)
	defer s.Close()
	logger := slog.New(slog.NewJSONHandler(s, nil)).With("entry", "entry-1", "zone", "a").With("pool", "images", "epoch", 17)
	b.ReportAllocs()
	for b.Loop() {
		logger.Info("run ordered", "unit", "5c0e7a21d94b36f8.0.1.17", "run", int64(2), "host", "i-0001", "why", "")
	}
}
