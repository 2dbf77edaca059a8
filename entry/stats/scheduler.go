package stats

import (
	"math"
	"runtime/metrics"
	"time"
)

// schedulerMetric is the histogram of the Go runtime of how long goroutines were ready to run
// before they ran.
const schedulerMetric = "/sched/latencies:seconds"

// Scheduler measures how long the goroutines of this process wait for a processor. A process that
// gets too little processor time shows long waits. The zero value is ready to use.
type Scheduler struct {
	samples [1]metrics.Sample
	// counts holds the counts of the histogram when it was last read.
	counts []uint64
}

// Longest returns the longest wait since the last call, as the lower bound of its bucket. The runtime
// measures about one goroutine in eight.
func (s *Scheduler) Longest() time.Duration {
	s.samples[0].Name = schedulerMetric
	metrics.Read(s.samples[:])
	if s.samples[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	h := s.samples[0].Value.Float64Histogram()
	var longest time.Duration
	for i, n := range h.Counts {
		if (i >= len(s.counts) || n > s.counts[i]) && n > 0 && !math.IsInf(h.Buckets[i], 0) {
			longest = time.Duration(h.Buckets[i] * float64(time.Second))
		}
	}
	s.counts = append(s.counts[:0], h.Counts...)
	return longest
}
