package sink

import (
	"sync/atomic"
	"time"
)

// Quota bounds the log lines about one kind of event that clients cause, so that a flood of them does not displace other lines.
// Metrics count what is not logged.
type Quota struct {
	// perSecond is the number of lines that are logged in one second.
	perSecond int64
	// second is the second in which lines counts.
	second, lines atomic.Int64
	// skipped counts the lines that were not logged since the last one that was.
	skipped atomic.Int64
}

// NewQuota returns a quota of a number of lines in a second.
func NewQuota(perSecond int64) *Quota { return &Quota{perSecond: perSecond} }

// Take reports whether a line may be logged now, and how many have been skipped before it.
func (q *Quota) Take(now time.Time) (skipped int64, ok bool) {
	if second := now.Unix(); q.second.Swap(second) != second {
		q.lines.Store(0)
	}
	if q.lines.Add(1) > q.perSecond {
		q.skipped.Add(1)
		return 0, false
	}
	return q.skipped.Swap(0), true
}
