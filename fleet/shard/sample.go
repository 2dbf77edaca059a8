package shard

import (
	"math"
	"slices"
	"time"

	"carawaymux.dev/fleet/batch"
)

// recordDuration records how long a task took, to correct later estimates.
func (s *State) recordDuration(j *Job, step *batch.Step, took time.Duration) {
	if took <= 0 || step.Estimate <= 0 {
		return
	}
	key := j.Spec.Queue
	if s.durationRatios[key] == nil {
		s.durationRatios[key] = &sample{}
	}
	s.durationRatios[key].add(float64(took) / float64(step.Estimate))
}

// sampleSize is the number of newest run times that are kept for each queue.
const sampleSize = 64

// sample is a ring of the newest ratios of run time to estimate.
type sample struct {
	values []float64
	next   int
	// steadyMedian is a recent median of the values, or 0 before there was one that differs much from 1.
	steadyMedian float64
}

// steadyShare is the share by which the median has to change before it is used. All work of a queue is ranked
// anew then, and the median of so few values varies by a few percent while nothing changes.
const steadyShare = 0.125

func (s *sample) add(v float64) {
	const minRatios = 8
	if len(s.values) < sampleSize {
		s.values = append(s.values, v)
	} else {
		s.values[s.next] = v
		s.next = (s.next + 1) % sampleSize
	}
	if len(s.values) >= minRatios {
		sorted := slices.Clone(s.values)
		slices.Sort(sorted)
		used, median := s.median(), sorted[len(sorted)/2]
		if math.Abs(median-used) > steadyShare*used {
			s.steadyMedian = median
		}
	}
}

// median returns the median ratio as of its last change by more than steadyShare, or 1 when there are too few.
func (s *sample) median() float64 {
	if s == nil || s.steadyMedian == 0 {
		return 1
	}
	return s.steadyMedian
}
