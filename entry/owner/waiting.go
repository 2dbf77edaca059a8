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
	var hosts, reasons []any
	for obstacle, count := range w.Hosts {
		if count > 0 {
			hosts = append(hosts, slog.Int(obstacleNames[obstacle], count))
		}
	}
	for reason, count := range w.Reasons {
		reasons = append(reasons, slog.Int(string(reason), count))
	}
	c.logger.Info("work waits", "steps", w.Steps, "units", w.Tasks, "long-running", w.LongRunning, slog.Group("hosts", hosts...),
		"roomy", w.Roomy, "busy", w.Busy, "reserved", w.Reserved, "starts-left", c.starts.Room(now), "starts-limit", c.starts.Limit(),
		slog.Group("reasons", reasons...), "oldest", w.Oldest.String(), "age-ms", w.Age.Milliseconds(), "why", string(w.OldestReason))
}
