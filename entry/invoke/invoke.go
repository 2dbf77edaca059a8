// Package invoke runs requests until they have an answer: it waits for a slot, sends the request to
// a target or forwards it to another entry, and retries if that is safe.
package invoke

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"carawaymux.dev/entry/dedup"
	"carawaymux.dev/entry/member"
	"carawaymux.dev/entry/relay"
	"carawaymux.dev/entry/route"
	"carawaymux.dev/entry/trace"
	"carawaymux.dev/entry/work"
	"carawaymux.dev/fleet/wire"
)

const (
	// maxAttempts is the largest number of attempts to run a request.
	maxAttempts = 3
	// maxLostTargets is the largest number of targets whose connection may be lost under a request,
	// over all entries that attempt it.
	maxLostTargets = 3
	// firstBackoff is the mean delay before the second attempt. It doubles with each
	// further attempt.
	firstBackoff = 10 * time.Millisecond
	// probeAboveBytes is the size of a body above which it is not read if the request would be refused.
	probeAboveBytes = 4 << 10
)

// Invoker runs requests for callers and peers. Use [New] to build it.
type Invoker struct {
	self        string
	zone        string
	incarnation uint64
	router      *route.Router
	members     *member.Tracker
	relay       *relay.Client
	registry    *dedup.Registry
	targets     *targets
	tracer      *trace.Tracer
	// requests is the parent of the contexts of all requests.
	requests context.Context
	// stopping makes the invoker issue IDs that other entries own.
	stopping atomic.Bool
}

// Dependencies holds the components that an invoker uses.
type Dependencies struct {
	Router   *route.Router
	Members  *member.Tracker
	Relay    *relay.Client
	Registry *dedup.Registry
	// Tracer may be nil.
	Tracer *trace.Tracer
}

// Option configures an invoker.
type Option func(*settings)

type settings struct {
	maxAnswerBytes, maxConnections int
	requests                       context.Context
}

// WithBaseContext sets the parent of the contexts of all requests. Nothing is sent once it is done.
func WithBaseContext(ctx context.Context) Option { return func(s *settings) { s.requests = ctx } }

// WithAnswerLimit sets the largest size of an answer's body, in bytes.
func WithAnswerLimit(n int) Option { return func(s *settings) { s.maxAnswerBytes = n } }

// WithConnections sets the largest number of connections to one target.
func WithConnections(n int) Option { return func(s *settings) { s.maxConnections = n } }

const (
	defaultMaxAnswerBytes = 4 << 20
	defaultMaxConnections = 32
)

// New builds an invoker for an entry.
func New(self, zone string, incarnation uint64, deps Dependencies, opts ...Option) *Invoker {
	s := settings{
		maxAnswerBytes: defaultMaxAnswerBytes, maxConnections: defaultMaxConnections, requests: context.Background(),
	}
	for _, opt := range opts {
		opt(&s)
	}
	return &Invoker{
		self: self, zone: zone, incarnation: incarnation, router: deps.Router, members: deps.Members, relay: deps.Relay,
		registry: deps.Registry, tracer: deps.Tracer, targets: newTargets(s.maxAnswerBytes, s.maxConnections),
		requests: s.requests,
	}
}

// Close closes idle connections to targets.
func (v *Invoker) Close() { v.targets.Close() }

// MarkStopping tells the invoker that the entry stops. Requests that still arrive are run.
func (v *Invoker) MarkStopping() { v.stopping.Store(true) }

// Do runs a request and returns its answer. It is a [work.Handler].
func (v *Invoker) Do(ctx context.Context, r work.Request) work.Answer {
	span := v.tracer.Start(r.TraceParent, "entry", "kind", r.Kind, "id", r.ID, "entry", v.self)
	r.TraceParent = span.TraceParent
	var a work.Answer
	if r.Idempotent || r.Deduplicated {
		a = v.run(ctx, r)
	} else {
		a = v.runNonIdempotent(ctx, r)
	}
	if a.Entry == "" {
		a.Entry = v.self
	}
	span.End(string(a.Outcome), a.Reason)
	return a
}

// IssueID issues an ID for a non-idempotent request of a kind. The owner of the ID is an entry that
// can send the request to a target itself: this one, if the pool serves in its zone and the entry is
// not stopping.
func (v *Invoker) IssueID(ctx context.Context, kind string) (string, error) {
	pool, err := v.router.Lookup(kind)
	if err != nil {
		return "", err
	}
	now := time.Now()
	var owner member.Peer
	found, stopping := false, v.stopping.Load()
	if stopping && pool.Zones[v.zone] > 0 {
		owner, found = v.members.MostFreeSlots(v.zone, pool.Name)
	}
	if !found && (stopping || pool.Zones[v.zone] == 0) {
		owner, found = v.findPeer(pool)
	}
	if found {
		return dedup.NewID(owner.Name, owner.Incarnation, now).String(), nil
	}
	return dedup.NewID(v.self, v.incarnation, now).String(), nil
}

// runNonIdempotent runs a request if this entry owns its ID, or forwards it to the owner.
func (v *Invoker) runNonIdempotent(ctx context.Context, r work.Request) work.Answer {
	id, err := dedup.ParseID(r.ID)
	if err != nil {
		a := work.NotRun(err.Error())
		a.Invalid = true
		return a
	}
	if id.Expired(time.Now()) {
		return work.Unknown("the id has expired, so the entry cannot tell whether the request has run")
	}
	if id.Owner == v.self {
		if id.Incarnation != v.incarnation {
			return work.Unknown("the id was issued by an earlier incarnation of the entry")
		}
		r.Deduplicated = true
		return v.registry.Do(ctx, r.ID, r.Team, func() work.Answer { return v.run(ctx, r) })
	}
	return v.forwardToOwner(ctx, r, id)
}

// forwardToOwner forwards a request to the owner of its ID. If the owner does not answer, the outcome
// is unknown whatever the cause, since an earlier copy may have run there.
func (v *Invoker) forwardToOwner(ctx context.Context, r work.Request, id dedup.ID) work.Answer {
	if r.Hops > 0 {
		return work.Unknown("the request was forwarded to an entry that does not own its id; the owner is entry " + id.Owner)
	}
	owner, known := v.members.Get(ctx, id.Owner)
	if !known {
		return work.Unknown("entry " + id.Owner + ", which issued the id, is not known")
	}
	if owner.Incarnation != 0 && owner.Incarnation != id.Incarnation {
		return work.Unknown("entry " + id.Owner + ", which issued the id, has been replaced")
	}
	body, err := r.ReadBody()
	if err != nil {
		return work.Unknown("body: " + err.Error())
	}
	a, err := v.forward(ctx, r, relay.Peer{Name: owner.Name, Address: owner.Address, Incarnation: id.Incarnation}, body)
	if err != nil {
		return work.Unknown("entry " + id.Owner + ", which issued the id, was not asked: " + err.Error())
	}
	return a
}

// run attempts a request until it has a final answer, maxAttempts, maxLostTargets or the retry budget
// is used up, or the deadline has passed. Another attempt is made only if the request has not run or is
// idempotent. A connection that is refused by a target not known to be down counts as no attempt: the target
// then counts as down, so this happens once for each.
func (v *Invoker) run(ctx context.Context, r work.Request) work.Answer {
	answer, backoff := work.NotRun("no attempt was made"), firstBackoff
	for try := 1; ; {
		a, retry := v.attempt(ctx, r)
		r.LostTargets, r.Refused = max(r.LostTargets, a.LostTargets), r.Refused || a.Refused
		answer = a.After(answer)
		answer.LostTargets = r.LostTargets
		safe := answer.Outcome == wire.NotRun || r.Idempotent
		if a.NoAttempt && retry && safe {
			continue
		}
		if !retry || !safe || try == maxAttempts || r.LostTargets >= maxLostTargets || !v.router.TakeRetry(ctx, r.Kind) {
			return answer
		}
		// Full jitter keeps retries of different requests from being synchronized.
		if !sleep(ctx, rand.N(2*backoff)) {
			return answer
		}
		backoff *= 2
		try++
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// attempt makes one attempt to run a request, in this zone if the pool serves there and otherwise in
// another one. It also reports whether another attempt may succeed. A forwarded request is not
// forwarded again.
func (v *Invoker) attempt(ctx context.Context, r work.Request) (work.Answer, bool) {
	pool, err := v.router.Lookup(r.Kind)
	if err != nil {
		a := work.NotRun(err.Error())
		a.Invalid = errors.Is(err, route.ErrUnknownKind)
		return a, false
	}
	if r.Hops > 0 {
		return v.runLocally(ctx, r, false)
	}
	if pool.Zones[v.zone] == 0 {
		if p, found := v.findPeer(pool); found {
			return v.forwardToPeer(ctx, r, p)
		}
		return v.runLocally(ctx, r, false)
	}
	// A free slot of another entry is preferred to waiting in the queue of this one.
	a, retry := v.runLocally(ctx, r, true)
	if !a.NoCapacity {
		return a, retry
	}
	if p, found := v.findPeer(pool); found && p.FreeSlots[pool.Name] > 0 {
		if a, retry = v.forwardToPeer(ctx, r, p); !a.NoCapacity {
			return a, retry
		}
	}
	return v.runLocally(ctx, r, false)
}

// runLocally runs a request on a slot of this entry. With noWait, the request is refused if it would
// have to wait for a slot. The body is read first: while it arrives, which the caller decides, the request
// takes neither a slot nor a place in the queue.
func (v *Invoker) runLocally(ctx context.Context, r work.Request, noWait bool) (work.Answer, bool) {
	slot := route.SlotRequest{
		Kind: r.Kind, Urgency: r.Urgency, Deadline: r.Deadline, BodyBytes: max(r.BodySize, 0), NoWait: noWait,
		Suspect: r.LostTargets > 0, Refused: r.Refused,
	}
	if r.BodySize < 0 || r.BodySize > probeAboveBytes {
		slot.Probe = true
		if _, _, refused := v.askForSlot(ctx, slot); refused != nil {
			return *refused, false
		}
		slot.Probe = false
	}
	body, err := r.ReadBody()
	if err != nil {
		return bodyNotRead(err), false
	}
	slot.BodyBytes = len(body)
	ticket, reply, refused := v.askForSlot(ctx, slot)
	if refused != nil {
		return *refused, false
	}
	if reply.Queued {
		if reply, err = ticket.Next(ctx); err != nil {
			ticket.Cancel()
			return work.NotRun(work.EndReason(ctx, "while the request waited for a slot")), false
		}
		if reply.Refused != "" {
			return refusal(reply), false
		}
	}
	return v.sendToTarget(ctx, r, reply.Grant, body)
}

// askForSlot asks the router for a slot and returns its first reply, or the answer to a request that is refused.
func (v *Invoker) askForSlot(ctx context.Context, slot route.SlotRequest) (*route.Ticket, route.Reply, *work.Answer) {
	ticket, err := v.router.Submit(ctx, slot)
	if err != nil {
		a := work.NotRun("submit: " + err.Error())
		return nil, route.Reply{}, &a
	}
	reply, err := ticket.Next(ctx)
	if err != nil {
		ticket.Cancel()
		a := work.NotRun(work.EndReason(ctx, "before the router answered"))
		return nil, route.Reply{}, &a
	}
	if reply.Refused != "" {
		a := refusal(reply)
		return nil, route.Reply{}, &a
	}
	return ticket, reply, nil
}

func refusal(reply route.Reply) work.Answer {
	a := work.NotRun(reply.Refused)
	a.RetryAfter, a.NoCapacity = reply.RetryAfter, reply.NoCapacity
	return a
}

// bodyNotRead returns the answer to a request whose body could not be read from the caller.
func bodyNotRead(err error) work.Answer {
	a := work.NotRun("body: " + err.Error())
	a.Invalid = true
	return a
}

// sendToTarget sends a request to the target of the granted slot and releases the slot.
func (v *Invoker) sendToTarget(ctx context.Context, r work.Request, g *route.Grant, body []byte) (work.Answer, bool) {
	if g.Stale(time.Now()) {
		g.Release(route.Result{})
		return work.NotRun("the entry was paused after it had got a slot; the slot was released unused"), true
	}
	if ended := v.ended(ctx); ended != "" {
		g.Release(route.Result{})
		return work.NotRun(ended), false
	}
	span := v.tracer.Start(r.TraceParent, "target", "host", g.Host)
	result := v.targets.send(ctx, g, r, body, span.TraceParent)
	g.Release(result.slotResult)
	span.End(string(result.answer.Outcome), result.answer.Reason)
	return result.answer, result.retry
}

// ended returns why a request must not be sent any more, or "". The base context is done before those
// of its requests, so a slot that one of them releases is not used for another.
func (v *Invoker) ended(ctx context.Context) string {
	for _, c := range []context.Context{v.requests, ctx} {
		if c.Err() != nil {
			return work.EndReason(c, "before the request was sent")
		}
	}
	return ""
}

// findPeer returns another entry that can send requests of a pool to targets: an entry of this zone
// if it has a free slot, otherwise the entry with the most free slots in another zone.
func (v *Invoker) findPeer(pool route.PoolTable) (member.Peer, bool) {
	if pool.Zones[v.zone] > 0 {
		if p, found := v.members.MostFreeSlots(v.zone, pool.Name); found && p.FreeSlots[pool.Name] > 0 {
			return p, true
		}
	}
	var best member.Peer
	found := false
	for zone, serving := range pool.Zones {
		if zone == v.zone || serving == 0 {
			continue
		}
		p, live := v.members.MostFreeSlots(zone, pool.Name)
		if live && (!found || p.FreeSlots[pool.Name] > best.FreeSlots[pool.Name]) {
			best, found = p, true
		}
	}
	return best, found
}

// forwardToPeer forwards a request to another entry that can send it to a target.
func (v *Invoker) forwardToPeer(ctx context.Context, r work.Request, p member.Peer) (work.Answer, bool) {
	body, err := r.ReadBody()
	if err != nil {
		return bodyNotRead(err), false
	}
	if ended := v.ended(ctx); ended != "" {
		return work.NotRun(ended), false
	}
	a, err := v.forward(ctx, r, relay.Peer{Name: p.Name, Address: p.Address, Incarnation: p.Incarnation}, body)
	if err != nil {
		return work.NotRun(err.Error()), true
	}
	return a, a.Outcome == wire.Unknown
}

// forward sends a request to another entry. An error means that the entry has not received it.
func (v *Invoker) forward(ctx context.Context, r work.Request, p relay.Peer, body []byte) (work.Answer, error) {
	pool, err := v.router.Lookup(r.Kind)
	if err != nil {
		return work.Answer{}, err
	}
	span := v.tracer.Start(r.TraceParent, "relay", "peer", p.Name)
	r.TraceParent = span.TraceParent
	a, err := v.relay.Do(ctx, p, pool.Name, r, body)
	if err != nil {
		span.End(string(wire.NotRun), err.Error())
		return a, err
	}
	span.End(string(a.Outcome), a.Reason)
	return a, nil
}
