// Package invoke takes a request to its end: it waits for a slot, sends the request
// to a target or on to an entry of another zone, and tries again where that is safe.
package invoke

import (
	"context"
	"errors"
	"math/rand/v2"
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
	// maxTries is the largest number of times that a request is sent.
	maxTries = 3
	// firstPause is the mean pause before the second try; it doubles after.
	firstPause = 10 * time.Millisecond
	// holdAbove is the size of a body, in bytes, above which a request waits for
	// its body before it can get a slot.
	holdAbove = 64 << 10
)

// Invoker runs requests. Use [New] to build it.
type Invoker struct {
	self        string
	zone        string
	incarnation uint64
	router      *route.Router
	members     *member.Tracker
	relay       *relay.Client
	book        *dedup.Registry
	targets     *targets
	tracer      *trace.Tracer
}

// Dependencies are what an invoker works with.
type Dependencies struct {
	Router   *route.Router
	Members  *member.Tracker
	Relay    *relay.Client
	Registry *dedup.Registry
	// Tracer may be nil.
	Tracer *trace.Tracer
}

// Option changes how an invoker is built.
type Option func(*settings)

type settings struct {
	answer, connections int
}

// WithAnswerLimit bounds answers, in bytes.
func WithAnswerLimit(n int) Option { return func(s *settings) { s.answer = n } }

// WithConnections bounds the connections to one target.
func WithConnections(n int) Option { return func(s *settings) { s.connections = n } }

const (
	defaultAnswer      = 4 << 20
	defaultConnections = 32
)

// New builds an invoker for an entry.
func New(self, zone string, incarnation uint64, p Dependencies, opts ...Option) *Invoker {
	s := settings{answer: defaultAnswer, connections: defaultConnections}
	for _, opt := range opts {
		opt(&s)
	}
	return &Invoker{
		self: self, zone: zone, incarnation: incarnation, router: p.Router, members: p.Members, relay: p.Relay,
		book: p.Registry, tracer: p.Tracer, targets: newTargets(s.answer, s.connections),
	}
}

// Close gives up idle connections to targets.
func (v *Invoker) Close() { v.targets.Close() }

// Do runs a request to its end. It is a [work.Handler].
func (v *Invoker) Do(ctx context.Context, r work.Request) work.Answer {
	span := v.tracer.Start(r.TraceParent, "entry", "kind", r.Kind, "id", r.ID, "entry", v.self)
	r.TraceParent = span.Traceparent
	var a work.Answer
	if r.Idempotent || r.Deduplicated {
		a = v.run(ctx, r)
	} else {
		a = v.runOnce(ctx, r)
	}
	if a.Entry == "" {
		a.Entry = v.self
	}
	span.End(string(a.Outcome), a.Reason)
	return a
}

// IssueID issues an ID for a non-idempotent request of a kind. The owner is an entry
// that can send the request to a target itself, this one where possible.
func (v *Invoker) IssueID(ctx context.Context, kind string) (string, error) {
	pool, err := v.router.Lookup(kind)
	if err != nil {
		return "", err
	}
	now := time.Now()
	if pool.Zones[v.zone] == 0 {
		if p, found := v.elsewhere(pool); found {
			return dedup.NewID(p.Name, p.Incarnation, now).String(), nil
		}
	}
	return dedup.NewID(v.self, v.incarnation, now).String(), nil
}

// runOnce sends a non-idempotent request to the owner of its ID.
func (v *Invoker) runOnce(ctx context.Context, r work.Request) work.Answer {
	id, err := dedup.ParseID(r.ID)
	if err != nil {
		a := work.NotRun(err.Error())
		a.Invalid = true
		return a
	}
	if id.Expired(time.Now()) {
		return work.Unknown("the id is too old to tell whether it has run")
	}
	if id.Owner == v.self {
		if id.Incarnation != v.incarnation {
			return work.Unknown("the id was issued before the entry was replaced")
		}
		r.Deduplicated = true
		return v.book.Do(ctx, r.ID, func() work.Answer { return v.run(ctx, r) })
	}
	return v.toOwner(ctx, r, id)
}

// toOwner passes a request on to the owner of its ID. Whatever keeps the owner from
// answering, an earlier copy may have run there.
func (v *Invoker) toOwner(ctx context.Context, r work.Request, id dedup.ID) work.Answer {
	if r.Hops > 0 {
		return work.Unknown("the id belongs to entry " + id.Owner)
	}
	owner, known := v.members.Get(ctx, id.Owner)
	if !known {
		a := work.NotRun("the id names entry " + id.Owner + ", which does not exist")
		a.Invalid = true
		return a
	}
	if owner.Incarnation != 0 && owner.Incarnation != id.Incarnation {
		return work.Unknown("entry " + id.Owner + ", which issued the id, has been replaced")
	}
	body, err := r.ReadBody()
	if err != nil {
		return unread(err)
	}
	a, err := v.pass(ctx, r, relay.Peer{Name: owner.Name, Address: owner.Address, Incarnation: id.Incarnation}, body)
	if err != nil {
		return work.Unknown("entry " + id.Owner + ", which issued the id, cannot be reached")
	}
	return a
}

// run sends a request until it is settled, the tries are used up or the deadline has
// passed. A second try is made only when the request has not run or is idempotent.
func (v *Invoker) run(ctx context.Context, r work.Request) work.Answer {
	pause := firstPause
	for try := 1; ; try++ {
		a, retry := v.once(ctx, r)
		safe := a.Outcome == wire.NotRun || r.Idempotent
		if !retry || !safe || try == maxTries || !v.router.TakeRetry(ctx, r.Kind) {
			return a
		}
		// Full jitter: waiting retries do not come in step.
		if !sleep(ctx, rand.N(2*pause)) {
			return a
		}
		pause *= 2
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

// once tries a request once, in this zone if it has targets, else in another.
func (v *Invoker) once(ctx context.Context, r work.Request) (work.Answer, bool) {
	pool, err := v.router.Lookup(r.Kind)
	if err != nil {
		a := work.NotRun(err.Error())
		a.Invalid = errors.Is(err, route.ErrUnknownKind)
		return a, false
	}
	if r.Hops > 0 {
		return v.local(ctx, r, false)
	}
	if pool.Zones[v.zone] == 0 {
		if p, found := v.elsewhere(pool); found {
			return v.passOn(ctx, r, p)
		}
		return v.local(ctx, r, false)
	}
	// A free slot of another entry goes before a place in this one's queue.
	a, retry := v.local(ctx, r, true)
	if !a.NoCapacity {
		return a, retry
	}
	if p, found := v.elsewhere(pool); found && p.FreeSlots[pool.Name] > 0 {
		if a, retry = v.passOn(ctx, r, p); !a.NoCapacity {
			return a, retry
		}
	}
	return v.local(ctx, r, false)
}

// local uses a slot of this entry; with noWait only one that is free.
func (v *Invoker) local(ctx context.Context, r work.Request, noWait bool) (work.Answer, bool) {
	ticket, err := v.router.Submit(ctx, route.SlotRequest{
		Kind: r.Kind, Urgency: r.Urgency, Deadline: r.Deadline, BodyBytes: max(r.BodySize, 0),
		Hold: r.BodySize < 0 || r.BodySize > holdAbove, NoWait: noWait,
	})
	if err != nil {
		return work.NotRun("submit: " + err.Error()), false
	}
	reply, err := ticket.Next(ctx)
	if err != nil {
		ticket.Cancel()
		return work.NotRun("deadline: it passed before the request was queued"), false
	}
	if reply.Refused != "" {
		return refused(reply), false
	}
	body, err := r.ReadBody()
	if err != nil {
		v.giveUp(ticket, reply)
		return unread(err), false
	}
	if reply.Queued {
		if r.BodySize < 0 || r.BodySize > holdAbove {
			_ = ticket.Ready(ctx)
		}
		if reply, err = ticket.Next(ctx); err != nil {
			ticket.Cancel()
			return work.NotRun("deadline: it passed while the request waited"), false
		}
		if reply.Refused != "" {
			return refused(reply), false
		}
	}
	return v.use(ctx, r, reply.Grant, body)
}

func (v *Invoker) giveUp(t *route.Ticket, reply route.Reply) {
	if reply.Grant != nil {
		reply.Grant.Release(route.Result{})
		return
	}
	t.Cancel()
}

func refused(reply route.Reply) work.Answer {
	a := work.NotRun(reply.Refused)
	a.RetryAfter, a.NoCapacity = reply.RetryAfter, reply.Full
	return a
}

// unread is the answer when the caller's body could not be read.
func unread(err error) work.Answer {
	a := work.NotRun("body: " + err.Error())
	a.Invalid = true
	return a
}

// use sends a request to the target that it got a slot of.
func (v *Invoker) use(ctx context.Context, r work.Request, g *route.Grant, body []byte) (work.Answer, bool) {
	if g.Stale(time.Now()) {
		g.Release(route.Result{})
		return work.NotRun("the entry stood still; the slot was given up"), true
	}
	span := v.tracer.Start(r.TraceParent, "target", "host", g.Host)
	out := v.targets.send(ctx, g, r, body, span.Traceparent)
	g.Release(out.result)
	span.End(string(out.answer.Outcome), out.answer.Reason)
	return out.answer, out.retry
}

// elsewhere finds another entry that can send requests of a pool to targets: one of this
// zone if it has room, else the one with the most room.
func (v *Invoker) elsewhere(pool route.PoolTable) (member.Peer, bool) {
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

// passOn passes a request on to an entry of another zone.
func (v *Invoker) passOn(ctx context.Context, r work.Request, p member.Peer) (work.Answer, bool) {
	body, err := r.ReadBody()
	if err != nil {
		return unread(err), false
	}
	a, err := v.pass(ctx, r, relay.Peer{Name: p.Name, Address: p.Address, Incarnation: p.Incarnation}, body)
	if err != nil {
		return work.NotRun(err.Error()), true
	}
	return a, a.Outcome == wire.Unknown
}

func (v *Invoker) pass(ctx context.Context, r work.Request, p relay.Peer, body []byte) (work.Answer, error) {
	pool, err := v.router.Lookup(r.Kind)
	if err != nil {
		return work.NotRun(err.Error()), nil
	}
	span := v.tracer.Start(r.TraceParent, "relay", "peer", p.Name)
	r.TraceParent = span.Traceparent
	a, err := v.relay.Do(ctx, p, pool.Name, r, body)
	if err != nil {
		span.End(string(wire.NotRun), err.Error())
		return a, err
	}
	span.End(string(a.Outcome), a.Reason)
	return a, nil
}
