package shard

import (
	"slices"
	"time"

	"carawaymux.dev/fleet/batch"
)

const (
	// speedWindow is the shortest time over which a unit's speed is measured: progress
	// comes in whole percents, and work of half a second has to show.
	speedWindow = 400 * time.Millisecond
	// speedMaxAge is how long a speed is gone by; hosts answer every second at least.
	speedMaxAge = 2500 * time.Millisecond
	// slowThreshold is the share of its pool's median speed below which a host is slow.
	// Units of one stage take uneven times, so one at half speed says nothing.
	slowThreshold = 0.4
	// minSpeeds is the number of units whose speeds have to agree.
	minSpeeds = 3
	// minStageSpeeds is the number of measurements from which on a stage's mean speed is
	// gone by, and stageWeight the least weight of a new one in it.
	minStageSpeeds = 6
	minStageWeight = 0.1
	// slowBackoff is how long a slow host takes no new work at first.
	slowBackoff = 1500 * time.Millisecond
	// minSpeed stands for the speed of a host on which work stands still.
	minSpeed = 0.01
	// minMoveGain is how much sooner a unit has to end elsewhere to be worth the move;
	// stopping and starting takes about as long.
	minMoveGain = 600 * time.Millisecond
)

// SpeedMeter is how fast a unit runs, as a share of what its estimate says.
type SpeedMeter struct {
	// WindowStart is when the measurement under way began, at From percent.
	WindowStart   time.Time
	WindowPercent float64
	// Speed was measured at At; At is zero before.
	Speed      float64
	MeasuredAt time.Time
}

// measure takes in a unit's progress, and reports whether it has a new speed.
func (g *SpeedMeter) measure(percent float64, expected time.Duration, now time.Time) bool {
	if g.WindowStart.IsZero() || percent < g.WindowPercent {
		g.WindowStart, g.WindowPercent = now, percent
		return false
	}
	span := now.Sub(g.WindowStart)
	if span < speedWindow || expected <= 0 {
		return false
	}
	done := (percent - g.WindowPercent) / paceFull * expected.Seconds()
	g.Speed, g.MeasuredAt = done/span.Seconds(), now
	g.WindowStart, g.WindowPercent = now, percent
	return true
}

// addSpeed takes the speed of a unit into the mean of its stage, which cancels what the
// stage's estimate is off by.
func (g *Stage) addSpeed(speed float64) {
	g.speedCount++
	weight := max(1/float64(g.speedCount), minStageWeight)
	g.meanSpeed += weight * (speed - g.meanSpeed)
}

// expected is how long a unit of a step should run.
func (s *State) expected(j *Job, step *batch.Step) time.Duration {
	return time.Duration(float64(step.Estimate) * s.durationRatios[j.Spec.Queue].median())
}

// measureHost measures the units of a host and takes its speed from them: the median of
// theirs, each as a share of its stage's mean.
func (s *State) measureHost(h *Host, now time.Time) {
	var speeds []float64
	for r, u := range h.Assigned {
		j, g, _ := s.unit(r)
		if g == nil || u.Status != Running || j.Spec.Steps[r.Step].Lasting || j.Spec.Steps[r.Step].Gang {
			continue
		}
		if u.Meter.measure(u.Percent, s.expected(j, &j.Spec.Steps[r.Step]), now) {
			g.addSpeed(u.Meter.Speed)
		}
		if g.speedCount >= minStageSpeeds && g.meanSpeed > 0 && !u.Meter.MeasuredAt.IsZero() && now.Sub(u.Meter.MeasuredAt) < speedMaxAge {
			speeds = append(speeds, u.Meter.Speed/g.meanSpeed)
		}
	}
	if len(speeds) < minSpeeds {
		return
	}
	slices.Sort(speeds)
	h.Speed, h.SpeedMeasuredAt = speeds[len(speeds)/2], now
}

// medianSpeed is the median speed of the pool's hosts; 0 when too few are known.
func (s *State) medianSpeed(now time.Time) float64 {
	var speeds []float64
	for _, h := range s.Hosts {
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

// handleSlowHost leaves a host alone that is much slower than its pool, and moves work away
// from it that ends sooner elsewhere. When many are slow, none is.
func (s *State) handleSlowHost(h *Host, now time.Time) {
	poolSpeed := s.medianSpeed(now)
	if poolSpeed <= 0 || h.SpeedMeasuredAt != now || now.Before(h.UnhealthyUntil) {
		return
	}
	if h.Speed >= slowThreshold*poolSpeed {
		h.slowCount = 0
		return
	}
	if s.unhealthyHosts(now)*2 >= len(s.Hosts) {
		return
	}
	h.UnhealthyUntil = now.Add(slowBackoff << h.slowCount)
	h.slowCount = min(h.slowCount+1, maxBackoffDoublings)
	hosts := s.candidates(now)
	for r, u := range h.Assigned {
		j, g, _ := s.unit(r)
		if g == nil || u.Status != Running || j.Phase != Open {
			continue
		}
		step := &j.Spec.Steps[r.Step]
		if step.Lasting || step.Gang || !s.soonerElsewhere(j, step, u, h.Speed, poolSpeed) {
			continue
		}
		k := s.pickHost(step, g, u, hosts, s.permitFilter(r, now))
		if k < 0 {
			continue
		}
		hosts[k].free = hosts[k].free.Sub(step.Room())
		u.AvoidHost = h.ID
		s.orderStop(r, u, "host is slow")
	}
}

// soonerElsewhere reports whether a unit ends sooner when it starts again on a host of
// the usual speed.
func (s *State) soonerElsewhere(j *Job, step *batch.Step, u *Unit, speed, poolSpeed float64) bool {
	total := s.expected(j, step).Seconds()
	remaining := total * (1 - u.Percent/paceFull)
	restart := total / poolSpeed
	if step.Checkpoints && u.Checkpoint != "" {
		restart = remaining/poolSpeed + s.Timing.RestoreTime.Seconds()
	}
	return remaining/max(speed, minSpeed) > restart+minMoveGain.Seconds()
}
