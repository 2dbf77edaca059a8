package mover

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"carawaymux.dev/fleet/port"
)

// progressLogInterval is the minimum time between two lines about the machines that are on their way.
const progressLogInterval = time.Second

// poolProgress counts the machines that leave a pool or are on their way there.
type poolProgress struct {
	// leaving counts the moves from the pool that are not carried out, emptying the machines that are being emptied for
	// waves, and arriving the machines that are to be moved to the pool or are being moved there.
	leaving, emptying, arriving int
	// oldest is when the oldest of the moves from the pool was decided.
	oldest time.Time
}

// logProgress logs the machines that are on their way, while there are some.
func (c *core) logProgress(now time.Time) {
	if now.Sub(c.progressLoggedAt) < progressLogInterval {
		return
	}
	pools := c.poolProgress()
	if len(pools) == 0 {
		return
	}
	c.progressLoggedAt = now
	var groups []any
	for _, name := range slices.Sorted(maps.Keys(pools)) {
		p := pools[name]
		row := []any{"leaving", p.leaving, "emptying", p.emptying, "arriving", p.arriving}
		if p.leaving > 0 {
			row = append(row, "oldest-ms", now.Sub(p.oldest).Milliseconds())
		}
		groups = append(groups, slog.Group(name, row...))
	}
	c.logger.Info("machines on their way", "moves", len(c.moves), "steps", len(c.stepInFlight),
		"confirmed-ms", now.Sub(c.confirmedAt).Milliseconds(), slog.Group("pools", groups...))
}

// poolProgress returns the pools that machines leave or are on their way to.
func (c *core) poolProgress() map[string]*poolProgress {
	pools := map[string]*poolProgress{}
	at := func(name string) *poolProgress {
		if pools[name] == nil {
			pools[name] = &poolProgress{}
		}
		return pools[name]
	}
	for _, m := range c.moves {
		at(m.To).arriving++
		from := at(m.From)
		if from.leaving++; from.leaving == 1 || m.since.Before(from.oldest) {
			from.oldest = m.since
		}
	}
	for _, w := range c.openWaves() {
		for id := range w.Emptying {
			at(c.machines[id].Pool).emptying++
		}
	}
	for id, m := range c.machines {
		if _, planned := c.moves[id]; !planned && m.State == port.MachineMoving {
			at(m.Pool).arriving++
		}
	}
	return pools
}
