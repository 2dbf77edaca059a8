package pairs_test

import (
	"fmt"
	"testing"
	"time"

	"carawaymux.dev/fleet/pairs"
)

// BenchmarkObserve measures an observation of a run beside eight images. The image knows 64 pairs.
func BenchmarkObserve(b *testing.B) {
	l, now := pairs.New(), time.Unix(1_700_000_000, 0)
	for i := 0; b.Loop(); i++ {
		o := pairs.Observation{Image: "image", Host: "host", Source: "job", Ratio: 1 + float64(i%7)/10}
		for k := range 8 {
			o.Beside = append(o.Beside, pairs.Share{Image: fmt.Sprint((i*8 + k) % 64), Part: 1})
		}
		now = now.Add(time.Millisecond)
		l.Observe(&o, now)
	}
}
