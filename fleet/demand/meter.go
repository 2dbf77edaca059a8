package demand

import (
	"math"
	"slices"
	"time"

	"carawaymux.dev/fleet/clamp"
)

const (
	// longWindow is the time over which arriving work is averaged. shortWindow is the time that shows
	// whether the average lags behind.
	longWindow, shortWindow = 2 * time.Second, 500 * time.Millisecond
	// deviations is how many standard deviations the number of arrivals of the short window has to be
	// below the average before the average is lowered.
	deviations = 2
)

// Meter measures the rate at which work arrives.
type Meter struct{ arrivals []arrival }

// arrival is an amount of work that arrived at a time.
type arrival struct {
	at   time.Time
	work int64
}

// Add records work that arrives now, in thousandths of a core-second.
func (m *Meter) Add(work int64, now time.Time) { m.arrivals = append(m.arrivals, arrival{now, work}) }

// Count returns the number of arrivals in the long window before the last call of [Meter.Rate].
func (m *Meter) Count() int { return len(m.arrivals) }

// Rate returns the work that arrives per second, in thousandths of a core. It is the mean of the long
// window, unless the arrivals of the short one show with some certainty that the rate has changed.
func (m *Meter) Rate(now time.Time) int64 {
	m.arrivals = slices.DeleteFunc(m.arrivals, func(a arrival) bool { return now.Sub(a.at) > longWindow })
	var long, short, count float64
	for _, a := range m.arrivals {
		long += float64(a.work)
		if now.Sub(a.at) <= shortWindow {
			short += float64(a.work)
			count++
		}
	}
	if len(m.arrivals) == 0 {
		return 0
	}
	mean := long / float64(len(m.arrivals))
	if count > 0 {
		mean = short / count
	}
	atLeast := mean * (count - math.Sqrt(count)) / shortWindow.Seconds()
	atMost := mean * (count + deviations*math.Sqrt(count) + 1) / shortWindow.Seconds()
	return clamp.Int[int64](min(max(long/longWindow.Seconds(), atLeast), atMost))
}
