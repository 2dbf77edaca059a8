package route

import (
	"context"
	"time"

	"carawaymux.dev/fleet/jobs"
	"carawaymux.dev/fleet/queue"
)

// SlotRequest holds the properties of a request that matter for routing.
type SlotRequest struct {
	Kind     string
	Urgency  jobs.Urgency
	Deadline time.Time
	// BodyBytes is the size of the body in bytes.
	BodyBytes int
	// Probe asks only whether the request would be refused. It takes neither a slot nor a place in the queue.
	Probe bool
	// NoWait refuses the request if it would have to wait, so that the caller can try
	// another entry first.
	NoWait bool
	// Suspect is set if the connection to a target was lost while the target had the request.
	Suspect bool
	// Refused is set if a target refused the connection of an earlier attempt.
	Refused bool
}

// needsConnected reports whether the request waits for a connected target rather than spend another attempt
// on one that is probably down.
func (r *SlotRequest) needsConnected() bool { return r.Suspect || r.Refused }

// Reply answers a slot request. Exactly one of Queued, Refused and Grant is set, and none if a probe is not refused.
type Reply struct {
	// Queued is set if the request waits for a slot; another reply follows.
	Queued bool
	// Refused is the reason for a refusal; empty otherwise.
	Refused string
	// RetryAfter is how long to wait before another attempt after a refusal.
	RetryAfter time.Duration
	// NoCapacity is set if the only reason for the refusal is a lack of capacity, so that
	// another zone may be tried.
	NoCapacity bool
	// Grant is the granted slot. The caller must release it.
	Grant *Grant
}

// Ticket is a slot request that was submitted to a pool.
type Ticket struct {
	request SlotRequest
	pool    *Pool
	reply   chan Reply
	// Only the pool's task uses the fields below.
	item     *queue.Item[*Ticket]
	granted  *Grant
	queuedAt time.Time
}

// Next waits for the next reply.
func (t *Ticket) Next(ctx context.Context) (Reply, error) {
	select {
	case r := <-t.reply:
		return r, nil
	case <-t.pool.task.Done():
		return Reply{Refused: "the entry is stopping"}, nil
	case <-ctx.Done():
		return Reply{}, ctx.Err()
	}
}

// Cancel withdraws the request. A slot that was granted meanwhile is released.
func (t *Ticket) Cancel() { _ = t.pool.task.Send(context.Background(), cancel{t}) }

// Grant is the right to use one slot of a target.
type Grant struct {
	Host    string
	Address string
	// GrantedAt is when the slot was granted.
	GrantedAt time.Time
	// Disconnected is set if a connection to the target had just been refused or lost.
	Disconnected bool
	// owner is the pool that the slot belongs to, requester the pool of the request.
	owner, requester *Pool
	kind             string
	// suspect is set if the target counts the request among its suspect ones.
	suspect bool
}

// Lent reports whether the slot belongs to a pool other than that of the request.
func (g *Grant) Lent() bool { return g.owner != g.requester }

// Result is the outcome of using a slot.
type Result struct {
	// Attempted is set if the entry tried to send the request to the target, even if it
	// could not connect.
	Attempted bool
	// Failed is set if the target failed the request or could not be reached.
	Failed bool
	// Disconnected is set if no connection to the target could be opened, or if it was lost before the
	// answer was complete.
	Disconnected bool
	// Leaving is set if the target announced that it takes no new requests.
	Leaving bool
	// Duration is how long the slot was in use.
	Duration time.Duration
}

// Release gives the slot back. It must be called exactly once.
func (g *Grant) Release(r Result) {
	ctx := context.Background()
	if g.Lent() {
		_ = g.requester.task.Send(ctx, releaseBorrowed{kind: g.kind, result: r})
	}
	_ = g.owner.task.Send(ctx, release{host: g.Host, kind: g.kind, result: r, ownRequest: !g.Lent(), suspect: g.suspect})
}
