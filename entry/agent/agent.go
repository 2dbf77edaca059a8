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
	// orderQueues is the number of orders that are under way to a host at once.
	orderQueues = 2
	// orderTimeout bounds one order; one that takes longer counts as unanswered.
	orderTimeout = 900 * time.Millisecond
	// renewTimeout bounds the answer to a hold beyond the time that it is to wait.
	renewTimeout = 900 * time.Millisecond
	// orderQueueSize is the number of orders that wait in a lane.
	orderQueueSize = 256
	// maxStartDelay is how long a start may wait in a lane before it is handed back. What
	// it rests on may have changed since; a host that answers is done far sooner.
	maxStartDelay = 250 * time.Millisecond
)

// Order is an order with what the owner adds at the time of sending.
type Order struct {
	shard.Order
	Token    int64
	Deadline int64
	// queuedAt is when the order was handed in.
	queuedAt time.Time
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
	Listing port.Listing
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
	host     string
	worker   port.Worker
	renewals *task.Task[Renewal]
	queues   [orderQueues]*task.Task[Order]
}

// Open starts an agent for a host. Outcomes are handed to onHeld and onDone, which
// may block until their reader has room.
func Open(h port.Host, workers port.Workers, onRenewed func(context.Context, RenewResult), onOrder func(context.Context, OrderResult)) *Agent {
	a := &Agent{host: h.ID, worker: workers.Open(h)}
	a.renewals = task.Start(func(ctx context.Context, inbox <-chan Renewal) {
		serve(ctx, inbox, func(m Renewal) { onRenewed(ctx, a.sendRenewal(ctx, m)) })
	}, task.WithInbox(1))
	for i := range a.queues {
		a.queues[i] = task.Start(func(ctx context.Context, inbox <-chan Order) {
			serve(ctx, inbox, func(m Order) { onOrder(ctx, a.sendOrder(ctx, m)) })
		}, task.WithInbox(orderQueueSize))
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
func (a *Agent) Renew(r Renewal) bool { return a.renewals.TrySend(r) }

// Send sends an order, and reports false when too many wait. Orders for one task
// go through one lane, so that they keep their order.
func (a *Agent) Send(o Order) bool {
	o.queuedAt = time.Now()
	queue := (o.Ref.Index + o.Ref.Step) % orderQueues
	return a.queues[queue].TrySend(o)
}

// Close stops the lanes and gives up the connections.
func (a *Agent) Close() {
	a.renewals.Close()
	for _, q := range a.queues {
		q.Close()
	}
	a.worker.Close()
}

func (a *Agent) sendRenewal(ctx context.Context, r Renewal) RenewResult {
	ctx, cancel := context.WithTimeout(ctx, r.Wait+renewTimeout)
	defer cancel()
	result := RenewResult{Host: a.host, Sent: time.Now()}
	result.Listing, result.Err = a.worker.Hold(ctx, r.Deadline, r.Token, r.Acked, r.Wait)
	return result
}

func (a *Agent) sendOrder(ctx context.Context, o Order) OrderResult {
	result := OrderResult{Order: o.Order}
	if o.Kind == shard.OrderStart && time.Since(o.queuedAt) > maxStartDelay {
		result.Err = &port.RefusedError{Reason: port.RefusedLate}
		return result
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	unit := batch.Ref.String(o.Ref)
	switch o.Kind {
	case shard.OrderStart:
		result.HostClock, result.Err = a.worker.Start(ctx, port.Start{
			Unit: unit, Run: o.Run, Text: o.Text, Deadline: o.Deadline, Token: o.Token,
			Checkpoint: o.Checkpoint, Ticket: o.Ticket,
		})
	case shard.OrderStop:
		result.HostClock, result.Err = a.worker.Stop(ctx, unit, o.Run, o.Token)
	case shard.OrderPace:
		result.Err = a.worker.Pace(ctx, unit, o.Run, o.Percent, o.Token)
	}
	return result
}
