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

// earlierOrders are the bounds of a holder for a machine that an earlier holder may have ordered.
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

// unsettled returns the machines that an earlier holder may still order.
func (c *core) unsettled(now time.Time) map[string]bool {
	out := map[string]bool{}
	for id, e := range c.earlier {
		if now.Before(e.settledAt) {
			out[id] = true
		}
	}
	return out
}

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
	// mayOrder reports whether the step may order the machine. sendBy is the latest time at which the order may be sent.
	mayOrder bool
	sendBy   time.Time
	// isEmpty asks for the host to be emptied and reports whether it is empty.
	isEmpty func(context.Context) bool
}

// emptyFor is how long after a request to empty a host its machine may be ordered. Owners give the host no work for
// longer than that and a call together.
const emptyFor = time.Second

// newStep returns a step that begins at a time. Its order is sent within Ask of the last moment at which a step may
// begin, as a successor of this holder expects.
func (c *core) newStep(mayOrder bool, isEmpty func(context.Context) bool, now time.Time) step {
	sendBy := c.confirmedAt.Add(c.timing.BeginWithin() + c.timing.Ask)
	if end := now.Add(emptyFor); end.Before(sendBy) {
		sendBy = end
	}
	return step{mayOrder: mayOrder, isEmpty: isEmpty, sendBy: sendBy}
}

// run carries out a step. However late the process gets to run, no order is sent after sendBy, and each is abandoned
// within Call after that.
func (s step) run(
	ctx context.Context, t upkeep.Timing, order func(context.Context) (port.OrderOutcome, error),
) (port.OrderOutcome, error) {
	if !s.isEmpty(ctx) || !s.mayOrder || time.Now().After(s.sendBy) {
		return "", nil
	}
	ctx, cancel := context.WithDeadline(ctx, s.sendBy.Add(t.Call))
	defer cancel()
	return order(ctx)
}
