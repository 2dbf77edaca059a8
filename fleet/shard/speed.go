package shard

import (
	"slices"
	"time"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/clamp"
)

const (
	// speedWindow is the shortest time over which the speed of a task is measured. Progress is
	// reported in whole percents, and work of half a second has to be measurable.
	speedWindow = 400 * time.Millisecond
	// speedMaxAge is how long a measured speed is used. Hosts answer at least every second.
	speedMaxAge = 2500 * time.Millisecond
	// slowThreshold is the share of the median speed of the pool below which a host is slow.
	// Tasks of one stage take uneven times, so half of the median speed is not a sign of a slow
	// host.
	slowThreshold = 0.4
	// minSpeeds is the number of speeds that a median needs.
	minSpeeds = 3
	// minStageSpeeds is the number of measurements that the mean speed of a stage needs before it
	// is used. minStageWeight is the least weight of a new measurement in that mean.
	minStageSpeeds = 6
	minStageWeight = 0.1
	// slowBackoff is how long a slow host gets no new work the first time.
	slowBackoff = 1500 * time.Millisecond
	// minSpeed is the speed assumed for a host on which work makes no progress.
	minSpeed = 0.01
	// minMoveGain is how much sooner a task has to end on another host to be moved. Stopping and
	// starting it takes about as long.
	minMoveGain = 600 * time.Millisecond
)

// SpeedMeter measures how fast a task runs. The speed is 1 when the task takes as long as expected.
type SpeedMeter struct {
	// WindowStart is when the current measurement began, at WindowPercent percent.
	WindowStart   time.Time
	WindowPercent float64
	// Speed was measured at MeasuredAt. MeasuredAt is zero before the first measurement.
	Speed      float64
	MeasuredAt time.Time
}

// measure records the progress of a task, and reports whether it has measured a new speed.
func (m *SpeedMeter) measure(percent float64, expected time.Duration, now time.Time) bool {
	if m.WindowStart.IsZero() || percent < m.WindowPercent {
		m.WindowStart, m.WindowPercent = now, percent
		return false
	}
	span := now.Sub(m.WindowStart)
	if span < speedWindow || expected <= 0 {
		return false
	}
	done := (percent - m.WindowPercent) / fullPercent * expected.Seconds()
	m.Speed, m.MeasuredAt = done/span.Seconds(), now
	m.WindowStart, m.WindowPercent = now, percent
	return true
}

// addSpeed adds the speed of a task to the mean of its stage. Speeds are compared as shares of
// this mean, which cancels the error of the estimate.
func (s *Stage) addSpeed(speed float64) {
	s.speedCount++
	weight := max(1/float64(s.speedCount), minStageWeight)
	s.meanSpeed += weight * (speed - s.meanSpeed)
}

// expected returns the expected run time of a task of a step.
func (s *State) expected(j *Job, step *batch.Step) time.Duration {
	return clamp.Int[time.Duration](float64(step.Estimate) * s.durationRatios[j.Spec.Queue].median())
}

// measureHost measures the tasks of a host and sets the speed of the host: the median of the
// speeds of its tasks, each as a share of the mean of its stage.
func (s *State) measureHost(h *Host, now time.Time) {
	var speeds []float64
	for r, task := range h.Assigned {
		j, stage, _ := s.task(r)
		if stage == nil || task.Status != Running || j.Spec.Steps[r.Step].LongRunning || j.Spec.Steps[r.Step].Gang {
			continue
		}
		if task.Meter.measure(task.Percent, s.expected(j, &j.Spec.Steps[r.Step]), now) {
			stage.addSpeed(task.Meter.Speed)
		}
		if stage.speedCount >= minStageSpeeds && stage.meanSpeed > 0 && !task.Meter.MeasuredAt.IsZero() && now.Sub(task.Meter.MeasuredAt) < speedMaxAge {
			speeds = append(speeds, task.Meter.Speed/stage.meanSpeed)
		}
	}
	if len(speeds) < minSpeeds {
		return
	}
	slices.Sort(speeds)
	h.Speed, h.SpeedMeasuredAt = speeds[len(speeds)/2], now
}

// medianSpeed returns the median speed of the hosts of the pool, or 0 when too few speeds are
// known.
func (s *State) medianSpeed(now time.Time) float64 {
	var speeds []float64
	for _, h := range s.sortedHosts() {
		if now.Sub(h.SpeedMeasuredAt) < speedMaxAge {
			speeds = append(speeds, h.Speed)
		}
	}
	if len(speeds) < minSpeeds {
		return 0
	}
	slices.Sort(speeds)
	return speeds[len(speeds)/2]
}

// compareSpeed reports whether the median speed of the hosts is known and positive, and whether a
// host is at least at slowThreshold of it. It counts, since most hosts are and a median needs a
// sort.
func (s *State) compareSpeed(h *Host, now time.Time) (known, keepsUp bool) {
	total, standing, notFaster := 0, 0, 0
	for _, other := range s.sortedHosts() {
		if now.Sub(other.SpeedMeasuredAt) >= speedMaxAge {
			continue
		}
		total++
		if other.Speed <= 0 {
			standing++
		}
		if h.Speed >= slowThreshold*other.Speed {
			notFaster++
		}
	}
	return total >= minSpeeds && standing <= total/2, notFaster > total/2
}

// handleSlowHost marks a host that is much slower than its pool as unhealthy, and stops the tasks
// there that would end sooner on another host. When half of the hosts that answer are unhealthy
// already, no further host is marked.
func (s *State) handleSlowHost(h *Host, now time.Time) {
	if h.SpeedMeasuredAt != now || now.Before(h.UnhealthyUntil) {
		return
	}
	known, keepsUp := s.compareSpeed(h, now)
	if !known {
		return
	}
	if keepsUp {
		h.slowCount = 0
		return
	}
	poolSpeed := s.medianSpeed(now)
	if !s.mayBecomeUnhealthy(now) {
		return
	}
	h.UnhealthyUntil = now.Add(slowBackoff << h.slowCount)
	h.slowCount = min(h.slowCount+1, maxBackoffDoublings)
	hosts := s.candidates(now)
	for r, task := range h.Assigned {
		j, stage, _ := s.task(r)
		if stage == nil || task.Status != Running || j.Phase != Open {
			continue
		}
		step := &j.Spec.Steps[r.Step]
		if step.LongRunning || step.Gang || !s.soonerElsewhere(j, step, task, h.Speed, poolSpeed) {
			continue
		}
		other := s.pickHost(step, stage, task, hosts, s.permitFilter(r, now), now)
		if other == nil {
			continue
		}
		other.free = other.free.Sub(step.Reservation())
		task.AvoidHost = h.ID
		s.orderStop(r, task, "host is slow")
	}
}

// soonerElsewhere reports whether a task ends at least minMoveGain sooner when it starts again on a
// host of median speed.
func (s *State) soonerElsewhere(j *Job, step *batch.Step, task *Task, speed, poolSpeed float64) bool {
	total := s.expected(j, step).Seconds()
	remaining := total * (1 - task.Percent/fullPercent)
	restart := total / poolSpeed
	if step.Checkpoints && task.Checkpoint != "" {
		restart = remaining/poolSpeed + s.Timing.RestoreTime.Seconds()
	}
	return remaining/max(speed, minSpeed) > restart+minMoveGain.Seconds()
}
