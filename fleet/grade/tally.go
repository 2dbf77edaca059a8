package grade

import "time"

// window is the time for which a tally counts: it covers the last window and up to one before it.
const window = 15 * time.Second

// LeastShare is how often the jobs of each size are begun and not lost at least in a pool that is overloaded, against all
// jobs of their queue. Some that are begun are late.
const LeastShare = 0.7

// BegunShare is the share up to which large jobs that were begun go first.
const BegunShare = 0.9

// Tally counts what became of the jobs of a queue, by their size. The zero value is ready to use.
type Tally struct {
	// newer holds the counts from since on, and older those of the window before.
	newer, older [Grades]Counts
	since        time.Time
}

// Counts are the counts of the jobs of one size.
type Counts struct {
	// Arrived is the number of jobs that have arrived, Begun that of those that were begun in time, and Lost that of those
	// that were late afterwards.
	Arrived, Begun, Lost int64
}

// advance forgets what is older than two windows.
func (t *Tally) advance(now time.Time) {
	switch age := now.Sub(t.since); {
	case age < window:
	case age < 2*window:
		t.older, t.newer, t.since = t.newer, [Grades]Counts{}, t.since.Add(window)
	default:
		t.older, t.newer, t.since = [Grades]Counts{}, [Grades]Counts{}, now
	}
}

// Arrive counts a job that has arrived.
func (t *Tally) Arrive(g Grade, now time.Time) {
	t.advance(now)
	t.newer[g].Arrived++
}

// Begin counts a job that was begun in time.
func (t *Tally) Begin(g Grade, now time.Time) {
	t.advance(now)
	t.newer[g].Begun++
}

// Lose counts a job that was begun in time and is late, unless its beginning is no longer counted.
func (t *Tally) Lose(g Grade, begunAt, now time.Time) {
	t.advance(now)
	if !begunAt.Before(t.since.Add(-window)) {
		t.newer[g].Lost++
	}
}

// Withdraw takes back the arrival of a job, as far as it is still counted.
func (t *Tally) Withdraw(g Grade, arrivedAt, now time.Time) {
	t.advance(now)
	switch {
	case !arrivedAt.Before(t.since):
		t.newer[g].Arrived--
	case !arrivedAt.Before(t.since.Add(-window)):
		t.older[g].Arrived--
	}
}

// Behind reports whether the jobs of a size were begun, and not lost, less often than a share of how often all jobs were. A
// size of which most jobs that were begun are lost is not behind: further ones would be lost, too.
func (t *Tally) Behind(g Grade, share float64) bool {
	if sum := t.newer[g].plus(t.older[g]); 2*sum.Lost > sum.Begun {
		return false
	}
	var all Counts
	for i := range t.newer {
		all.Arrived += t.newer[i].Arrived + t.older[i].Arrived
		all.Begun += t.newer[i].sound() + t.older[i].sound()
	}
	arrived, begun := t.newer[g].Arrived+t.older[g].Arrived, t.newer[g].sound()+t.older[g].sound()
	return arrived > 0 && float64(begun*all.Arrived) < share*float64(all.Begun*arrived)
}

// sound returns the number of jobs that were begun and not lost.
func (c *Counts) sound() int64 { return c.Begun - c.Lost }

func (c Counts) plus(o Counts) Counts {
	return Counts{Arrived: c.Arrived + o.Arrived, Begun: c.Begun + o.Begun, Lost: c.Lost + o.Lost}
}
