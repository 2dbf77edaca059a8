// Package agent sends heartbeats and orders to one host. One task sends the heartbeats, which
// renew the host's lease and return the runs that have ended; the other tasks send orders. Only
// these tasks make calls to the host.
package agent

import (
	"context"
	"errors"
	"time"

	"carawaymux.dev/entry/hedge"
	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
	"carawaymux.dev/fleet/task"
)

const (
	// orderQueues is the number of order queues of a host, and so the maximum number of orders
	// in flight.
	orderQueues = 2
	// orderTimeout bounds one order. An order that takes longer counts as unanswered.
	orderTimeout = 900 * time.Millisecond
	// heartbeatTimeout bounds the answer to a heartbeat, in addition to the time that the host
	// may wait.
	heartbeatTimeout = 900 * time.Millisecond
	// readMargin is the part of a timeout that this process has to be running for. It bounds how
	// late a timer may fire before the process counts as late.
	readMargin = 100 * time.Millisecond
	// lostAfter is the time after which the answer to an order, or to a heartbeat whose wait has ended,
	// is taken to be lost. Answers take a few milliseconds.
	lostAfter = 150 * time.Millisecond
	// orderQueueSize is the maximum number of orders that wait in one queue.
	orderQueueSize = 256
	// maxStartDelay is how long a start may wait in a queue before it is returned unsent,
	// because the decision behind it may be outdated. A host that answers handles its queue
	// much faster.
	maxStartDelay = 250 * time.Millisecond
)

// Order is an order together with the fencing token and, for a start, the deadline on the
// host's clock in milliseconds. The owner adds both when it sends the order.
type Order struct {
	shard.Order
	Token    int64
	Deadline int64
	// Instance is the instance of the host that a start is meant for; 0 means any.
	Instance int64
	// queuedAt is when the order was passed to the agent.
	queuedAt time.Time
}

// Heartbeat is a heartbeat to a host.
type Heartbeat = port.Heartbeat

// HeartbeatResult is the outcome of a heartbeat.
type HeartbeatResult struct {
	Host   string
	Sent   time.Time
	Report port.HostReport
	Err    error
	// Late reports whether this process, and not the host, may be the cause of the error: the
	// failure took so long that an answer may have arrived and not been read.
	Late bool
}

// OrderResult is the outcome of an order.
type OrderResult struct {
	Order     shard.Order
	HostClock int64
	Err       error
	// Waited is how long the order waited in its queue. Took is how long the call took; it is 0
	// when the order was not sent.
	Waited, Took time.Duration
}

// Agent communicates with one host. Use [Open] to create it.
type Agent struct {
	host   string
	client port.HostClient
	// copies limits the calls that are sent again because their answers may have been lost.
	copies *hedge.Budget
	// onReport receives the reports that starts had to request.
	onReport   func(context.Context, port.HostReport)
	heartbeats *task.Task[Heartbeat]
	queues     [orderQueues]*task.Task[Order]
}

// Option configures an [Agent].
type Option func(*Agent)

// WithCopies sets the budget for calls that are sent again, which agents may share. Without it, an agent
// has one of its own.
func WithCopies(b *hedge.Budget) Option { return func(a *Agent) { a.copies = b } }

// WithReports sets the function that receives reports which came beside heartbeats. It may block until its receiver
// has room.
func WithReports(onReport func(context.Context, port.HostReport)) Option {
	return func(a *Agent) { a.onReport = onReport }
}

// Open starts an agent for a host. It passes outcomes to onHeartbeat and onOrder, which may
// block until their receiver has room.
func Open(
	h port.Host, clients port.HostClients, onHeartbeat func(context.Context, HeartbeatResult), onOrder func(context.Context, OrderResult), opts ...Option,
) *Agent {
	a := &Agent{host: h.ID, client: clients.Open(h)}
	for _, opt := range opts {
		opt(a)
	}
	if a.copies == nil {
		a.copies = hedge.NewBudget()
	}
	a.heartbeats = task.Start(func(ctx context.Context, inbox <-chan Heartbeat) {
		serve(ctx, inbox, func(m Heartbeat) { onHeartbeat(ctx, a.sendHeartbeat(ctx, m)) })
	}, task.WithInbox(1))
	for i := range a.queues {
		a.queues[i] = task.Start(func(ctx context.Context, inbox <-chan Order) {
			serve(ctx, inbox, func(m Order) { onOrder(ctx, a.sendOrder(ctx, m)) })
		}, task.WithInbox(orderQueueSize))
	}
	return a
}

// serve handles messages until ctx ends.
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

// SendHeartbeat passes a heartbeat to the agent's task and reports whether the task took it. Only
// one heartbeat may be in flight.
func (a *Agent) SendHeartbeat(h Heartbeat) bool { return a.heartbeats.TrySend(h) }

// Send queues an order. It reports false if the queue is full. Orders for one task of a job go
// through one queue, so they are sent in the order in which they were queued.
func (a *Agent) Send(o Order) bool {
	o.queuedAt = time.Now()
	queue := (o.Ref.Index + o.Ref.Step) % orderQueues
	return a.queues[queue].TrySend(o)
}

// Close stops the tasks and closes the connections.
func (a *Agent) Close() {
	a.heartbeats.Close()
	for _, q := range a.queues {
		q.Close()
	}
	a.client.Close()
}

// withReadMargin returns a context that ends after the timeout. If this process did not run for a
// while, the timer fires together with the arrival of answers that have waited, so the end of the
// timeout leaves readMargin to read them.
func withReadMargin(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	timer := time.AfterFunc(timeout-readMargin, func() {
		time.AfterFunc(readMargin, func() { cancel(context.DeadlineExceeded) })
	})
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}

func (a *Agent) sendHeartbeat(ctx context.Context, h Heartbeat) HeartbeatResult {
	timeout := h.Wait + heartbeatTimeout
	ctx, cancel := withReadMargin(ctx, timeout)
	defer cancel()
	result := HeartbeatResult{Host: a.host, Sent: time.Now()}
	heartbeat := func(wait time.Duration) func(context.Context) (port.HostReport, error) {
		return func(ctx context.Context) (port.HostReport, error) {
			copied := h
			copied.Wait = wait
			return a.client.Heartbeat(ctx, copied)
		}
	}
	result.Report, result.Err = hedge.Do(ctx, h.Wait+lostAfter, a.copies, isConclusive, heartbeat(h.Wait), heartbeat(0))
	result.Report.ReceivedAt = time.Now()
	result.Late = result.Err != nil && time.Since(result.Sent) > timeout+readMargin
	return result
}

func (a *Agent) sendOrder(ctx context.Context, o Order) OrderResult {
	sent := time.Now()
	result := OrderResult{Order: o.Order, Waited: sent.Sub(o.queuedAt)}
	if o.Kind == shard.OrderStart && result.Waited > maxStartDelay {
		result.Err = &port.RefusedError{Reason: port.RefusedDeadline}
		return result
	}
	ctx, cancel := withReadMargin(ctx, orderTimeout)
	defer cancel()
	unit := batch.Ref.String(o.Ref)
	switch o.Kind {
	case shard.OrderStart:
		start := port.StartOrder{
			Unit: unit, Run: o.Run, Specification: o.Specification, Deadline: o.Deadline, Token: o.Token,
			Checkpoint: o.Checkpoint, Ticket: o.Ticket, Instance: o.Instance,
		}
		if a.onReport != nil {
			start.OnReport = func(r port.HostReport) { a.onReport(ctx, r) }
		}
		result.HostClock, result.Err = a.sendTwice(ctx, func(ctx context.Context) (int64, error) { return a.client.Start(ctx, start) })
	case shard.OrderStop:
		result.HostClock, result.Err = a.sendTwice(ctx, func(ctx context.Context) (int64, error) { return a.client.Stop(ctx, unit, o.Run, o.Token) })
	case shard.OrderThrottle:
		result.Err = a.client.Throttle(ctx, unit, o.Run, o.Percent, o.Token)
	}
	result.Took = time.Since(sent)
	return result
}

// sendTwice sends an order, and a copy of it if its answer may have been lost. A host takes a run that it
// has started or ended for the same run, however often and late the order arrives.
func (a *Agent) sendTwice(ctx context.Context, order func(context.Context) (int64, error)) (int64, error) {
	return hedge.Do(ctx, lostAfter, a.copies, isConclusive, order, order)
}

// isConclusive reports whether a refusal holds for all copies of a call: a newer owner has sent orders, or
// the instance of the host that the call was meant for has ended.
func isConclusive(err error) bool {
	var refused *port.RefusedError
	return errors.As(err, &refused) && (refused.Reason == port.RefusedFence || refused.Reason == port.RefusedInstance)
}
