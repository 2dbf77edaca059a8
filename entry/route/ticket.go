package route

import (
	"context"
	"time"

	"carawaymux.dev/fleet/jobs"
	"carawaymux.dev/fleet/queue"
)

// SlotRequest is what the routing needs to know of a request.
type SlotRequest struct {
	Kind     string
	Urgency  jobs.Urgency
	Deadline time.Time
	// BodyBytes is the size of the body in bytes.
	BodyBytes int
	// Hold keeps the request from being granted until [Ticket.Ready].
	Hold bool
	// NoWait refuses the request when it would have to wait, so that another
	// entry can be tried first.
	NoWait bool
}

// Reply is the routing's answer to an ask. Exactly one of its states holds.
type Reply struct {
	// Queued says that the request waits; another reply follows.
	Queued bool
	// Refused says why the request will not be routed; empty otherwise.
	Refused string
	// RetryAfter is when another try may be worth it, for a refusal.
	RetryAfter time.Duration
	// Full says that the refusal is for want of room only, so that another
	// zone may be tried.
	Full bool
	// Grant is the slot to use; it must be released.
	Grant *Grant
}

// Ticket stands for a request in a pool's queue.
type Ticket struct {
	ask   SlotRequest
	pool  *Pool
	reply chan Reply
	// The fields below belong to the pool's task.
	place   *queue.Item[*Ticket]
	ready   bool
	granted *Grant
	since   time.Time
}

// Next waits for the next reply.
func (t *Ticket) Next(ctx context.Context) (Reply, error) {
	select {
	case r := <-t.reply:
		return r, nil
	case <-t.pool.task.Done():
		return Reply{Refused: "the pool was retired"}, nil
	case <-ctx.Done():
		return Reply{}, ctx.Err()
	}
}

// Ready says that a held request can be granted.
func (t *Ticket) Ready(ctx context.Context) error { return t.pool.task.Send(ctx, ready{t}) }

// Cancel gives the ticket up. A slot that was granted meanwhile is released.
func (t *Ticket) Cancel() { _ = t.pool.task.Send(context.Background(), cancel{t}) }

// Grant is the right to use one slot of a target.
type Grant struct {
	Host    string
	Address string
	// GrantedAt is when the slot was granted.
	GrantedAt time.Time
	// owner is the pool that the slot belongs to, by the pool that asked.
	owner, by *Pool
	kind      string
}

// Lent reports whether the slot belongs to another pool than the request's.
func (g *Grant) Lent() bool { return g.owner != g.by }

// Result is how the use of a slot went.
type Result struct {
	// Attempted says that the target was asked at all.
	Attempted bool
	// Failed says that the target failed the request.
	Failed bool
	// Leaving says that the target itself says that it takes no new requests.
	Leaving bool
	// Duration is how long the slot was in use.
	Duration time.Duration
}

// Release gives the slot back. It must be called once.
func (g *Grant) Release(r Result) {
	ctx := context.Background()
	if g.Lent() {
		_ = g.by.task.Send(ctx, borrowed{kind: g.kind, result: r})
	}
	_ = g.owner.task.Send(ctx, release{host: g.Host, kind: g.kind, result: r, own: !g.Lent()})
}
