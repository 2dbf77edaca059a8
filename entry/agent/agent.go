// Package agent carries orders to one host. Its lanes own the connections: one
// holds the lease and listens for ends, the others give orders.
package agent

import (
	"context"
	"time"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
	"carawaymux.dev/fleet/task"
)

const (
	// orderLanes is the number of orders that are under way to a host at once.
	orderLanes = 2
	// orderTimeout bounds one order; one that takes longer counts as unanswered.
	orderTimeout = 900 * time.Millisecond
	// holdTimeout bounds the answer to a hold beyond the time that it is to wait.
	holdTimeout = 900 * time.Millisecond
	// laneInbox is the number of orders that wait in a lane.
	laneInbox = 256
	// startWait is how long a start may wait in a lane before it is handed back. What
	// it rests on may have changed since; a host that answers is done far sooner.
	startWait = 250 * time.Millisecond
)

// Order is an order with what the owner adds at the time of sending.
type Order struct {
	shard.Order
	Token    int64
	Deadline int64
	// decided is when the order was handed in.
	decided time.Time
}

// Renewal asks a host to go on and to say what it runs.
type Renewal struct {
	Deadline, Token, Acked int64
	Wait                   time.Duration
}

// RenewResult is the outcome of a hold.
type RenewResult struct {
	Host    string
	Sent    time.Time
	Listing port.HostReport
	Err     error
}

// OrderResult is the outcome of an order.
type OrderResult struct {
	Order     shard.Order
	HostClock int64
	Err       error
}

// Agent speaks to one host. Use [Open] to build it.
type Agent struct {
	host   string
	worker port.HostClient
	hold   *task.Task[Renewal]
	lanes  [orderLanes]*task.Task[Order]
}

// Open starts an agent for a host. Outcomes are handed to onHeld and onDone, which
// may block until their reader has room.
func Open(h port.Host, workers port.HostClients, onHeld func(context.Context, RenewResult), onDone func(context.Context, OrderResult)) *Agent {
	a := &Agent{host: h.ID, worker: workers.Open(h)}
	a.hold = task.Start(func(ctx context.Context, inbox <-chan Renewal) {
		serve(ctx, inbox, func(m Renewal) { onHeld(ctx, a.carryHold(ctx, m)) })
	}, task.WithInbox(1))
	for i := range a.lanes {
		a.lanes[i] = task.Start(func(ctx context.Context, inbox <-chan Order) {
			serve(ctx, inbox, func(m Order) { onDone(ctx, a.carry(ctx, m)) })
		}, task.WithInbox(laneInbox))
	}
	return a
}

func serve[M any](ctx context.Context, inbox <-chan M, handle func(M)) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-inbox:
			handle(m)
		}
	}
}

// Renew sends a hold. Only one may be under way.
func (a *Agent) Renew(h Renewal) bool { return a.hold.TrySend(h) }

// Send sends an order, and reports false when too many wait. Orders for one task
// go through one lane, so that they keep their order.
func (a *Agent) Send(o Order) bool {
	o.decided = time.Now()
	lane := (o.Ref.Index + o.Ref.Step) % orderLanes
	return a.lanes[lane].TrySend(o)
}

// Close stops the lanes and gives up the connections.
func (a *Agent) Close() {
	a.hold.Close()
	for _, l := range a.lanes {
		l.Close()
	}
	a.worker.Close()
}

func (a *Agent) carryHold(ctx context.Context, h Renewal) RenewResult {
	ctx, cancel := context.WithTimeout(ctx, h.Wait+holdTimeout)
	defer cancel()
	out := RenewResult{Host: a.host, Sent: time.Now()}
	out.Listing, out.Err = a.worker.Heartbeat(ctx, h.Deadline, h.Token, h.Acked, h.Wait)
	return out
}

func (a *Agent) carry(ctx context.Context, o Order) OrderResult {
	out := OrderResult{Order: o.Order}
	if o.Kind == shard.OrderStart && time.Since(o.decided) > startWait {
		out.Err = &port.RefusedError{Reason: port.RefusedDeadline}
		return out
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	unit := batch.Ref.String(o.Ref)
	switch o.Kind {
	case shard.OrderStart:
		out.HostClock, out.Err = a.worker.Start(ctx, port.StartOrder{
			Unit: unit, Run: o.Run, Specification: o.Specification, Deadline: o.Deadline, Token: o.Token,
			Checkpoint: o.Checkpoint, Ticket: o.Ticket,
		})
	case shard.OrderStop:
		out.HostClock, out.Err = a.worker.Stop(ctx, unit, o.Run, o.Token)
	case shard.OrderThrottle:
		out.Err = a.worker.Throttle(ctx, unit, o.Run, o.Percent, o.Token)
	}
	return out
}
