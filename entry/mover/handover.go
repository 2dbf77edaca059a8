package mover

import (
	"context"
	"time"

	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/upkeep"
)

// orderTiming returns the timing of this package's calls.
func orderTiming(term time.Duration) upkeep.Timing {
	return upkeep.Timing{Term: term, Ask: askTimeout, Call: callTimeout}
}

// earlierOrders is what a holder knows of a machine that an earlier holder may have ordered.
type earlierOrders struct {
	// orderableAt is the time from which this holder may order the machine, once a list shows what was
	// done with it.
	orderableAt time.Time
	// settledAt is the time from which a list shows all orders of earlier holders. The zero time means that
	// each list does.
	settledAt time.Time
}

// settled reports whether a list that was requested at a time shows all orders of earlier holders.
func (e earlierOrders) settled(listedAt time.Time) bool { return !listedAt.Before(e.settledAt) }

// contested returns the machines that an earlier holder may still order, or has ordered since the newest list
// was requested.
func (c *core) contested() map[string]bool {
	out := map[string]bool{}
	for id, e := range c.earlier {
		if !e.settled(c.listedAt) {
			out[id] = true
		}
	}
	return out
}

// step is one step of a machine: the request to empty its host, and the order that may follow.
type step struct {
	began time.Time
	// mayOrder reports whether the step may order the machine.
	mayOrder bool
	// isEmpty asks for the host to be emptied and reports whether it is empty.
	isEmpty func(context.Context) bool
}

// run carries out a step within the times that a successor of this holder expects: an order is sent within Ask
// and abandoned Call after that, however late the process gets to run.
func (s step) run(
	ctx context.Context, t upkeep.Timing, order func(context.Context) (port.OrderOutcome, error),
) (port.OrderOutcome, error) {
	if !s.isEmpty(ctx) || !s.mayOrder || time.Since(s.began) > t.Ask {
		return "", nil
	}
	ctx, cancel := context.WithDeadline(ctx, s.began.Add(t.Ask+t.Call))
	defer cancel()
	return order(ctx)
}
