package shard

import (
	"slices"
	"time"

	"carawaymux.dev/fleet/batch"
)

const (
	// gaugeSpan is the shortest time over which a unit's speed is measured: progress
	// comes in whole percents, and work of half a second has to show.
	gaugeSpan = 400 * time.Millisecond
	// gaugeKeep is how long a speed is gone by; hosts answer every second at least.
	gaugeKeep = 2500 * time.Millisecond
	// slowShare is the share of its pool's median speed below which a host is slow.
	// Units of one stage take uneven times, so one at half speed says nothing.
	slowShare = 0.4
	// slowUnits is the number of units whose speeds have to agree.
	slowUnits = 3
	// stageUnits is the number of measurements from which on a stage's mean speed is
	// gone by, and stageWeight the least weight of a new one in it.
	stageUnits  = 6
	stageWeight = 0.1
	// slowFor is how long a slow host takes no new work at first.
	slowFor = 1500 * time.Millisecond
	// leastSpeed stands for the speed of a host on which work stands still.
	leastSpeed = 0.01
	// moveGain is how much sooner a unit has to end elsewhere to be worth the move;
	// stopping and starting takes about as long.
	moveGain = 600 * time.Millisecond
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
	if span < gaugeSpan || expected <= 0 {
		return false
	}
	done := (percent - g.WindowPercent) / paceFull * expected.Seconds()
	g.Speed, g.MeasuredAt = done/span.Seconds(), now
	g.WindowStart, g.WindowPercent = now, percent
	return true
}

// learn takes the speed of a unit into the mean of its stage, which cancels what the
// stage's estimate is off by.
func (g *Stage) learn(speed float64) {
	g.measured++
	weight := max(1/float64(g.measured), stageWeight)
	g.speed += weight * (speed - g.speed)
}

// expected is how long a unit of a step should run.
func (s *State) expected(j *Job, step *batch.Step) time.Duration {
	return time.Duration(float64(step.Estimate) * s.durations[j.Spec.Queue].median())
}

// gauge measures the units of a host and takes its speed from them: the median of
// theirs, each as a share of its stage's mean.
func (s *State) gauge(h *Host, now time.Time) {
	var speeds []float64
	for r, u := range h.Assigned {
		j, g, _ := s.unit(r)
		if g == nil || u.Status != Running || j.Spec.Steps[r.Step].LongRunning || j.Spec.Steps[r.Step].Gang {
			continue
		}
		if u.Meter.measure(u.Percent, s.expected(j, &j.Spec.Steps[r.Step]), now) {
			g.learn(u.Meter.Speed)
		}
		if g.measured >= stageUnits && g.speed > 0 && !u.Meter.MeasuredAt.IsZero() && now.Sub(u.Meter.MeasuredAt) < gaugeKeep {
			speeds = append(speeds, u.Meter.Speed/g.speed)
		}
	}
	if len(speeds) < slowUnits {
		return
	}
	slices.Sort(speeds)
	h.Speed, h.SpeedMeasuredAt = speeds[len(speeds)/2], now
}

// usual is the median speed of the pool's hosts; 0 when too few are known.
func (s *State) usual(now time.Time) float64 {
	var speeds []float64
	for _, h := range s.Hosts {
		if now.Sub(h.SpeedMeasuredAt) < gaugeKeep {
			speeds = append(speeds, h.Speed)
		}
	}
	if len(speeds) < slowUnits {
		return 0
	}
	slices.Sort(speeds)
	return speeds[len(speeds)/2]
}

// compare leaves a host alone that is much slower than its pool, and moves work away
// from it that ends sooner elsewhere. When many are slow, none is.
func (s *State) compare(h *Host, now time.Time) {
	usual := s.usual(now)
	if usual <= 0 || h.SpeedMeasuredAt != now || now.Before(h.UnhealthyUntil) {
		return
	}
	if h.Speed >= slowShare*usual {
		h.slowSpells = 0
		return
	}
	if s.unwell(now)*2 >= len(s.Hosts) {
		return
	}
	h.UnhealthyUntil = now.Add(slowFor << h.slowSpells)
	h.slowSpells = min(h.slowSpells+1, maxSpells)
	room := s.room(now)
	for r, u := range h.Assigned {
		j, g, _ := s.unit(r)
		if g == nil || u.Status != Running || j.Phase != Open {
			continue
		}
		step := &j.Spec.Steps[r.Step]
		if step.LongRunning || step.Gang || !s.soonerElsewhere(j, step, u, h.Speed, usual) {
			continue
		}
		k := s.pick(step, g, u, room, s.may(r, now))
		if k < 0 {
			continue
		}
		room[k].free = room[k].free.Sub(step.Reservation())
		u.AvoidHost = h.ID
		s.stop(r, u, "host is slow")
	}
}

// soonerElsewhere reports whether a unit ends sooner when it starts again on a host of
// the usual speed.
func (s *State) soonerElsewhere(j *Job, step *batch.Step, u *Unit, speed, usual float64) bool {
	whole := s.expected(j, step).Seconds()
	left := whole * (1 - u.Percent/paceFull)
	again := whole / usual
	if step.Checkpoints && u.Checkpoint != "" {
		again = left/usual + s.Timing.RestoreTime.Seconds()
	}
	return left/max(speed, leastSpeed) > again+moveGain.Seconds()
}
