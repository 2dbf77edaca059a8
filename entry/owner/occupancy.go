package owner

import (
	"cmp"
	"log/slog"
	"time"

	"carawaymux.dev/fleet/shard"
)

const (
	// occupancyInterval is the minimum time between two reports of what the hosts of the pool are used for.
	occupancyInterval = time.Second
	// maxLeavingLogged bounds the hosts of one report that are named.
	maxLeavingLogged = 4
	// unknownPurpose stands for hosts that are emptied by requests without a purpose.
	unknownPurpose = "unknown"
)

// logOccupancy updates the gauges of what the hosts of the pool are used for, and logs it while hosts are leaving.
func (c *core) logOccupancy(now time.Time) {
	if now.Before(c.nextOccupancyLog) {
		return
	}
	c.nextOccupancyLog = now.Add(occupancyInterval)
	o := c.state.Occupancy(maxLeavingLogged, now)
	gauge := func(use string, n int) { c.deps.Stats.Gauge("hosts", int64(n), "pool", c.state.Pool, "use", use) }
	gauge("working", o.Working)
	gauge("unused", o.Unused)
	gauge("draining", o.Draining)
	gauge("arriving", o.Arriving)
	gauge("obstructed", o.Obstructed)
	leaving := 0
	for _, p := range []shard.Purpose{shard.ForMove, shard.ForWave, ""} {
		gauge("leaving-"+purposeName(p), o.Leaving[p])
		leaving += o.Leaving[p]
	}
	if leaving+o.Draining == 0 {
		return
	}
	var longest []any
	for _, h := range o.Longest {
		longest = append(longest, slog.Group(h.Host, "for-ms", now.Sub(h.Since).Milliseconds(), "purpose", purposeName(h.Order.Purpose),
			"holder", h.Order.Holder, "holder-epoch", h.Order.Epoch, "waits-for", string(h.Wait)))
	}
	c.logger.Info("hosts leaving", "working", o.Working, "unused", o.Unused, "for-move", o.Leaving[shard.ForMove], "for-wave", o.Leaving[shard.ForWave],
		"for-unknown", o.Leaving[""], "draining", o.Draining, "arriving", o.Arriving, "obstructed", o.Obstructed, slog.Group("longest", longest...))
}

// purposeName returns the name of a purpose in logs and gauges.
func purposeName(p shard.Purpose) string { return cmp.Or(string(p), unknownPurpose) }
