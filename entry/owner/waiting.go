package owner

import (
	"log/slog"
	"time"

	"carawaymux.dev/fleet/shard"
)

const (
	// waitingLogInterval is the time between log lines about work that waits.
	waitingLogInterval = time.Second
	// waitingLogAge is the age of the oldest waiting job from which on it is logged.
	waitingLogAge = 3 * time.Second
)

// obstacleNames holds the log keys of the obstacles.
var obstacleNames = [...]string{
	shard.NoObstacle: "schedulable", shard.Unlisted: "unlisted", shard.Unconfirmed: "unconfirmed", shard.Outdated: "outdated", shard.Leaving: "leaving",
	shard.Unhealthy: "unhealthy", shard.Silent: "silent", shard.Occupied: "occupied", shard.Incapable: "incapable",
}

// logWaiting logs how much work waits, which hosts could take it, and why it waits, if some job has
// waited for long.
func (c *core) logWaiting(now time.Time) {
	if now.Before(c.nextWaitingLog) {
		return
	}
	c.nextWaitingLog = now.Add(waitingLogInterval)
	w := c.state.Waiting(now)
	if w.Age < waitingLogAge {
		return
	}
	var hosts []any
	for obstacle, count := range w.Hosts {
		if count > 0 {
			hosts = append(hosts, slog.Int(obstacleNames[obstacle], count))
		}
	}
	c.logger.Info("work waits", "steps", w.Steps, "units", w.Tasks, "long-running", w.LongRunning, slog.Group("hosts", hosts...),
		"roomy", w.Roomy, "busy", w.Busy, "reserved", w.Reserved, "starts-left", c.starts.Room(now), "starts-limit", c.starts.Limit(),
		reasonGroup("reasons", w.Reasons), "oldest", w.Oldest.String(), "age-ms", w.Age.Milliseconds(), "why", string(w.OldestReason),
		reasonGroup("long-running-reasons", w.LongRunningReasons), "long-running-unit", longRunningUnit(&w))
}

// reasonGroup returns a log group that holds how often each reason applies.
func reasonGroup(key string, reasons map[shard.Reason]int) slog.Attr {
	var counts []any
	for reason, count := range reasons {
		counts = append(counts, slog.Int(string(reason), count))
	}
	return slog.Group(key, counts...)
}

// longRunningUnit returns the name of a long-running task that waits, or nothing if there is none.
func longRunningUnit(w *shard.Waiting) string {
	if w.LongRunning == 0 {
		return ""
	}
	return w.LongRunningTask.String()
}
