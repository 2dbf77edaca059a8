package intake

import (
	"context"
	"math/bits"
	"sync"
	"time"

	"carawaymux.dev/entry/owner"
	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/task"
)

const (
	// holdInterval is how long submissions to a pool are collected before its owner is asked about all of them.
	holdInterval = 50 * time.Millisecond
	// knownTimeout bounds the question.
	knownTimeout = time.Second
	// maxHeld is the maximum number of submissions in one question.
	maxHeld = 256
)

// AskKnown asks the owner of a queue's pool which of some jobs of the queue it knows. It reports false if the owner cannot tell.
type AskKnown func(ctx context.Context, q port.Queue, ids []string) ([]string, bool)

// Gate refuses submissions that the owner of their pool would refuse for its load, for as long as the owner has
// said. A job that was accepted before is never refused, so the gate asks the owner which ones it knows, about many
// in one request. Use [NewGate] to build it.
type Gate struct {
	ask  AskKnown
	task *task.Task[gateMessage]
}

type gateMessage interface{ handle(g *gate) }

// gate is the state of the task.
type gate struct {
	owner *Gate
	ctx   context.Context
	// shut holds the refusals that hold, by kind of job.
	shut map[gateKey]refusal
	// held holds the submissions that wait for a question, by queue.
	held map[string][]hold
	// background counts the questions that are open.
	background sync.WaitGroup
}

// gateKey is a kind of jobs that are refused together: of a queue, and of about the same work by their estimates.
type gateKey struct {
	queue string
	size  int
}

// refusal is an owner's refusal that holds until a time.
type refusal struct {
	answer owner.Answer
	until  time.Time
}

type (
	// learn records a refusal.
	learn struct {
		key gateKey
		refusal
	}
	// hold asks whether a submission is refused. The reply is nil if it is not.
	hold struct {
		queue   port.Queue
		id      string
		key     gateKey
		reply   chan<- *owner.Answer
		refusal refusal
	}
	// flush sends the question about the submissions of a queue that its pool's owner was not asked about.
	flush struct{ queue string }
)

// NewGate starts a gate that asks owners with a function.
func NewGate(ask AskKnown) *Gate {
	g := &Gate{ask: ask}
	task.StartInto(&g.task, g.run, task.WithInbox(maxHeld))
	return g
}

// Close stops the gate and waits for it. Submissions that it holds go on to their owners.
func (g *Gate) Close() { g.task.Close() }

// hold returns the refusal of a submission, or nil if its owner has to decide.
func (g *Gate) hold(ctx context.Context, q port.Queue, id string, spec *batch.Spec) *owner.Answer {
	if g == nil {
		return nil
	}
	a, err := task.Call(ctx, g.task, func(reply chan<- *owner.Answer) gateMessage {
		return hold{queue: q, id: id, key: keyOf(q, spec), reply: reply}
	})
	if ctx.Err() != nil {
		a := refuse("the pool is overloaded, and the time of the request ended before it was sent to the owner")
		return &a
	}
	if err != nil {
		return nil
	}
	return a
}

// learn records an owner's answer to a submission.
func (g *Gate) learn(ctx context.Context, q port.Queue, spec *batch.Spec, a owner.Answer) {
	if g == nil || a.Outcome != owner.Refused || a.HoldsFor <= 0 {
		return
	}
	// Without it, the next submission is refused by the owner.
	_ = g.task.Send(ctx, learn{keyOf(q, spec), refusal{a, time.Now().Add(a.HoldsFor)}})
}

func keyOf(q port.Queue, spec *batch.Spec) gateKey {
	var work float64
	for i := range spec.Steps {
		s := &spec.Steps[i]
		work += float64(s.Reservation().MilliCores) * float64(s.Count) * s.Estimate.Seconds()
	}
	return gateKey{queue: q.Name, size: bits.Len64(uint64(min(work, 1<<62)))}
}

func (g *Gate) run(ctx context.Context, inbox <-chan gateMessage) {
	s := &gate{owner: g, ctx: ctx, shut: map[gateKey]refusal{}, held: map[string][]hold{}}
	defer s.background.Wait()
	for {
		select {
		case <-ctx.Done():
			for _, held := range s.held {
				pass(held)
			}
			return
		case m := <-inbox:
			m.handle(s)
		}
	}
}

// pass lets submissions go on to their owner.
func pass(held []hold) {
	for _, h := range held {
		h.reply <- nil
	}
}

func (m learn) handle(g *gate) { g.shut[m.key] = m.refusal }

func (m hold) handle(g *gate) {
	r, shut := g.shut[m.key]
	if !shut || !time.Now().Before(r.until) {
		delete(g.shut, m.key)
		m.reply <- nil
		return
	}
	m.refusal = r
	name := m.queue.Name
	g.held[name] = append(g.held[name], m)
	switch len(g.held[name]) {
	case 1:
		g.background.Go(func() {
			sleep(g.ctx, holdInterval)
			// The task passes what it holds when it stops.
			_ = g.owner.task.Send(g.ctx, flush{name})
		})
	case maxHeld:
		flush{name}.handle(g)
	}
}

func (m flush) handle(g *gate) {
	held := g.held[m.queue]
	if len(held) == 0 {
		return
	}
	delete(g.held, m.queue)
	g.background.Go(func() {
		ctx, cancel := context.WithTimeout(g.ctx, knownTimeout)
		defer cancel()
		ids := make([]string, len(held))
		for i, h := range held {
			ids[i] = h.id
		}
		known, ok := g.owner.ask(ctx, held[0].queue, ids)
		if !ok {
			pass(held)
			return
		}
		accepted := make(map[string]bool, len(known))
		for _, id := range known {
			accepted[id] = true
		}
		for _, h := range held {
			if accepted[h.id] {
				h.reply <- nil
				continue
			}
			a := h.refusal.answer
			a.Entry = owner.LocalEntry
			h.reply <- &a
		}
	})
}
