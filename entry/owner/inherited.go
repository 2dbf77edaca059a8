package owner

import (
	"time"

	"carawaymux.dev/fleet/shard"
)

// inheritedLogInterval is the minimum time between two log lines about an inherited host that inherited work waits for.
const inheritedLogInterval = time.Second

// logInherited logs each host of earlier owners once it has listed its ends, and before that once a second.
func (c *core) logInherited(now time.Time) {
	if len(c.inherited) == 0 {
		return
	}
	counts := map[shard.ReadingState]int64{shard.ReadingUnanswered: 0, shard.ReadingIncomplete: 0}
	for id, loggedAt := range c.inherited {
		r := c.state.ReadingOf(id, now)
		waits := r.State == shard.ReadingUnanswered || r.State == shard.ReadingIncomplete
		if waits {
			counts[r.State]++
			if now.Sub(loggedAt) < inheritedLogInterval {
				continue
			}
		}
		message := "inherited host read"
		if waits {
			message = "inherited host unread"
			c.inherited[id] = now
		} else {
			delete(c.inherited, id)
		}
		c.logger.Info(message, "host", id, "state", string(r.State), "ends", r.Ends, "since-ms", now.Sub(r.Since).Milliseconds())
	}
	for state, n := range counts {
		c.deps.Stats.Gauge("inherited-hosts", n, "pool", c.state.Pool, "state", string(state))
	}
}
