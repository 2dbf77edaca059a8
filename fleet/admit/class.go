package admit

import (
	"math"
	"math/bits"
	"time"

	"carawaymux.dev/fleet/clamp"
)

// Class groups jobs that take their turns alike while a pool is overloaded: by priority, the lowest first, and among
// equals by the work of a job, the least first.
type Class struct {
	Priority int
	// Size is that of the work, see [SizeOf].
	Size Size
}

// Before reports whether jobs of a class go before those of another.
func (c Class) Before(o Class) bool {
	if c.Priority != o.Priority {
		return c.Priority < o.Priority
	}
	return c.Size < o.Size
}

// Size is a class of sizes of work. Larger work has no lower one; there are [Sizes] of them.
type Size uint8

const (
	// sizeBits is the number of binary digits of a size below the leading one.
	sizeBits = 2
	// Sizes is the number of sizes.
	Sizes = (64 - sizeBits) << sizeBits
)

// SizeOf returns the size of work.
func SizeOf(work int64) Size {
	w := uint64(max(work, 0))
	if w < 1<<sizeBits {
		return Size(w)
	}
	shift := bits.Len64(w) - sizeBits - 1
	return Size(uint64(shift)<<sizeBits + w>>shift)
}

// takenWindow is the time over which the work that was taken is averaged. It is short, so that the end of a flood shows
// soon.
const takenWindow = time.Second

// rates holds the rates at which work was taken, by class.
type rates struct{ classes map[Class]*decaying }

func newRates() *rates { return &rates{map[Class]*decaying{}} }

func (r *rates) add(c Class, work int64, now time.Time) {
	d := r.classes[c]
	if d == nil {
		d = &decaying{}
		r.classes[c] = d
	}
	d.window = takenWindow
	d.add(work, now)
}

// before returns what the rates of the classes that go before another, and of all, are at least.
func (r *rates) before(c Class, now time.Time) (before, all int64) {
	var less, sum float64
	var lessSeen, seen float64
	for class, d := range r.classes {
		rate, weight := d.rate(now), d.countAt(now)
		sum, seen = sum+rate, seen+weight
		if class.Before(c) {
			less, lessSeen = less+rate, lessSeen+weight
		}
	}
	return atLeast(less, lessSeen, 1), atLeast(sum, seen, 2)
}

// atLeast returns what a rate is at least, with some certainty, that was measured from a number of arrivals.
func atLeast(rate, arrivals, deviations float64) int64 {
	if arrivals <= 0 {
		return 0
	}
	return clamp.Int[int64](rate * max(1-deviations/math.Sqrt(arrivals), 0))
}

// decaying is a sum of amounts that lose weight with time.
type decaying struct {
	// window is the time in which an amount falls to 1/e of its weight; [rateWindow] if it is 0.
	window time.Duration
	// sum and count are the weighted sum and number of the amounts at a time.
	sum, count float64
	at         time.Time
}

func (d *decaying) weighted(now time.Time) float64 { return d.sum * d.weight(now) }

func (d *decaying) countAt(now time.Time) float64 { return d.count * d.weight(now) }

func (d *decaying) weight(now time.Time) float64 {
	return math.Exp(-now.Sub(d.at).Seconds() / d.length().Seconds())
}

func (d *decaying) length() time.Duration {
	if d.window == 0 {
		return rateWindow
	}
	return d.window
}

func (d *decaying) add(amount int64, now time.Time) {
	d.sum, d.count, d.at = d.weighted(now)+float64(amount), d.countAt(now)+1, now
}

// rate returns the amount per second.
func (d *decaying) rate(now time.Time) float64 { return d.weighted(now) / d.length().Seconds() }
