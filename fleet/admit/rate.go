package admit

import (
	"math"
	"time"

	"carawaymux.dev/fleet/clamp"
)

// rateWindow is the time over which rates are averaged.
const rateWindow = 2 * time.Second

// takenWindow is the time over which the work that was taken is averaged. It is shorter, so that the end of a flood
// shows soon.
const takenWindow = time.Second

// decaying is a sum of amounts that lose weight with time.
type decaying struct {
	// window is the time in which an amount falls to 1/e of its weight.
	window time.Duration
	sum    float64
	at     time.Time
}

func (d *decaying) add(amount int64, now time.Time) {
	d.sum, d.at = d.weighted(now)+float64(amount), now
}

func (d *decaying) weighted(now time.Time) float64 {
	return d.sum * math.Exp(-now.Sub(d.at).Seconds()/d.window.Seconds())
}

// rate returns the amount per second, counted since a time or, if that is zero, since ever.
func (d *decaying) rate(now, since time.Time) float64 {
	window := d.window.Seconds()
	if !since.IsZero() {
		window *= 1 - math.Exp(-now.Sub(since).Seconds()/d.window.Seconds())
	}
	if window <= 0 {
		return 0
	}
	return d.weighted(now) / window
}

func seconds(s float64) time.Duration { return clamp.Int[time.Duration](s * float64(time.Second)) }
