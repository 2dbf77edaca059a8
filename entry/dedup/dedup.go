// Package dedup makes sure that a non-idempotent request runs at most once.
//
// The ID of such a request names the entry that owns it, with the entry's
// incarnation and the time of issue. Every copy of the request is sent to the owner,
// whose book says whether one has been begun. Nothing has to be stored: a new
// incarnation runs no ID that an earlier one has issued.
package dedup

import (
	"context"
	"crypto/rand"
	"fmt"
	"strconv"
	"strings"
	"time"

	"carawaymux.dev/entry/work"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/task"
	"carawaymux.dev/fleet/wire"
)

const (
	// IDLifetime is how long an ID can be used after it was issued.
	IDLifetime = 15 * time.Minute
	// MaxClockSkew is how far the clocks of two entries may differ.
	MaxClockSkew = time.Minute
	// sweepEvery is the time between two removals of old IDs.
	sweepEvery = 5 * time.Second
	// keepBodies bounds the answers that are kept for repeated requests, in bytes.
	keepBodies = 4 << 20
	// separator stands between the parts of an ID.
	separator = ":"
)

// ID is the ID of a non-idempotent request.
type ID struct {
	// Owner is the entry that owns the request.
	Owner string
	// Incarnation is the owner's incarnation that may run the request.
	Incarnation uint64
	// Issued is when the ID was issued.
	Issued time.Time
	// Random tells IDs of the same time apart.
	Random string
}

// NewID issues an ID.
func NewID(owner string, incarnation uint64, now time.Time) ID {
	return ID{Owner: owner, Incarnation: incarnation, Issued: now, Random: strings.ToLower(rand.Text())}
}

// String returns the ID as callers send it.
func (id ID) String() string {
	return strings.Join([]string{
		id.Owner, strconv.FormatUint(id.Incarnation, 10), strconv.FormatInt(id.Issued.UnixMilli(), 10), id.Random,
	}, separator)
}

// ParseID reads an ID.
func ParseID(s string) (ID, error) {
	parts := strings.Split(s, separator)
	if len(parts) != 4 || !record.ValidName(parts[0]) || parts[3] == "" {
		return ID{}, fmt.Errorf("id %q was not issued by %s", s, wire.PathTickets)
	}
	incarnation, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return ID{}, fmt.Errorf("id %q: incarnation: %w", s, err)
	}
	ms, err := strconv.ParseInt(parts[2], 10, 64)
	if err != nil {
		return ID{}, fmt.Errorf("id %q: time of issue: %w", s, err)
	}
	return ID{Owner: parts[0], Incarnation: incarnation, Issued: time.UnixMilli(ms), Random: parts[3]}, nil
}

// Expired reports whether the ID can no longer be used.
func (id ID) Expired(now time.Time) bool { return now.Sub(id.Issued) > IDLifetime }

// Registry remembers which IDs have been begun. Use [New] to build it.
type Registry struct{ task *task.Task[message] }

// New starts a book.
func New() *Registry { return &Registry{task: task.Start(run)} }

// Close stops the book and waits for it.
func (b *Registry) Close() { b.task.Close() }

// Do runs a request unless a copy of it has been begun; then it waits for what
// becomes of that copy. A copy that did not run makes place for the next one.
func (b *Registry) Do(ctx context.Context, id string, run func() work.Answer) work.Answer {
	claim, err := task.Call(ctx, b.task, func(reply chan<- claimed) message { return claim{id, reply} })
	if err != nil {
		// Nothing was begun by this copy, but another may have been.
		return work.Unknown("once: " + err.Error())
	}
	if claim.first {
		a := run()
		_ = b.task.Send(context.Background(), settle{id, a})
		return a
	}
	select {
	case a := <-claim.answer:
		return a
	case <-b.task.Done():
		return work.Unknown("once: the entry is stopping")
	case <-ctx.Done():
		return work.Unknown("a copy of the request is still running")
	}
}

type message interface{ handle(s *state) }

type (
	claim struct {
		id    string
		reply chan<- claimed
	}
	settle struct {
		id     string
		answer work.Answer
	}
)

// claimed answers a claim: either the copy is the first, or answer gets what became
// of the first.
type claimed struct {
	first  bool
	answer <-chan work.Answer
}

// page is what is known of one ID.
type page struct {
	begun   time.Time
	settled bool
	answer  work.Answer
	waiting []chan<- work.Answer
}

// state is the state of the task.
type state struct {
	pages map[string]*page
	// bodies is the size of the kept answers, kept their IDs, oldest first.
	bodies int
	kept   []string
}

func run(ctx context.Context, inbox <-chan message) {
	s := &state{pages: make(map[string]*page)}
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-inbox:
			m.handle(s)
		case now := <-sweep.C:
			s.sweep(now)
		}
	}
}

func (c claim) handle(s *state) {
	p := s.pages[c.id]
	if p == nil {
		s.pages[c.id] = &page{begun: time.Now()}
		c.reply <- claimed{first: true}
		return
	}
	answer := make(chan work.Answer, 1)
	if p.settled {
		answer <- p.answer
	} else {
		p.waiting = append(p.waiting, answer)
	}
	c.reply <- claimed{answer: answer}
}

func (m settle) handle(s *state) {
	p := s.pages[m.id]
	for _, w := range p.waiting {
		w <- m.answer
	}
	if m.answer.Outcome == wire.NotRun {
		delete(s.pages, m.id)
		return
	}
	p.settled, p.answer, p.waiting = true, m.answer, nil
	s.bodies += len(m.answer.Body)
	s.kept = append(s.kept, m.id)
	for s.bodies > keepBodies {
		s.forgetBody(s.kept[0])
		s.kept = s.kept[1:]
	}
}

// forgetBody drops an answer but remembers that the request has run.
func (s *state) forgetBody(id string) {
	p := s.pages[id]
	if p == nil {
		return
	}
	s.bodies -= len(p.answer.Body)
	p.answer = work.Unknown("the request has run before; its answer is no longer kept")
}

// sweep forgets IDs that can no longer be used.
func (s *state) sweep(now time.Time) {
	for id, p := range s.pages {
		if p.settled && now.Sub(p.begun) > IDLifetime+2*MaxClockSkew {
			s.bodies -= len(p.answer.Body)
			delete(s.pages, id)
		}
	}
	for len(s.kept) > 0 && s.pages[s.kept[0]] == nil {
		s.kept = s.kept[1:]
	}
}
