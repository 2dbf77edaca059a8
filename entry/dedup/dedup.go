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
	// sweepInterval is the time between two removals of old IDs.
	sweepInterval = 5 * time.Second
	// maxKeptBytes bounds the answers that are kept for repeated requests, in bytes.
	maxKeptBytes = 4 << 20
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
func (r *Registry) Close() { r.task.Close() }

// Do runs a request unless a copy of it has been begun; then it waits for what
// becomes of that copy. A copy that did not run makes place for the next one.
func (r *Registry) Do(ctx context.Context, id string, run func() work.Answer) work.Answer {
	result, err := task.Call(ctx, r.task, func(reply chan<- claimed) message { return claim{id, reply} })
	if err != nil {
		// Nothing was begun by this copy, but another may have been.
		return work.Unknown("once: " + err.Error())
	}
	if result.first {
		a := run()
		_ = r.task.Send(context.Background(), finish{id, a})
		return a
	}
	select {
	case a := <-result.answer:
		return a
	case <-r.task.Done():
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
	finish struct {
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

// execution is what is known of one ID.
type execution struct {
	startedAt time.Time
	finished  bool
	answer    work.Answer
	waiters   []chan<- work.Answer
}

// state is the state of the task.
type state struct {
	executions map[string]*execution
	// keptBytes is the size of the kept answers, kept their IDs, oldest first.
	keptBytes int
	keptIDs   []string
}

func run(ctx context.Context, inbox <-chan message) {
	s := &state{executions: make(map[string]*execution)}
	sweep := time.NewTicker(sweepInterval)
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

func (m claim) handle(s *state) {
	e := s.executions[m.id]
	if e == nil {
		s.executions[m.id] = &execution{startedAt: time.Now()}
		m.reply <- claimed{first: true}
		return
	}
	answer := make(chan work.Answer, 1)
	if e.finished {
		answer <- e.answer
	} else {
		e.waiters = append(e.waiters, answer)
	}
	m.reply <- claimed{answer: answer}
}

func (m finish) handle(s *state) {
	e := s.executions[m.id]
	for _, waiter := range e.waiters {
		waiter <- m.answer
	}
	if m.answer.Outcome == wire.NotRun {
		delete(s.executions, m.id)
		return
	}
	e.finished, e.answer, e.waiters = true, m.answer, nil
	s.keptBytes += len(m.answer.Body)
	s.keptIDs = append(s.keptIDs, m.id)
	for s.keptBytes > maxKeptBytes {
		s.dropAnswer(s.keptIDs[0])
		s.keptIDs = s.keptIDs[1:]
	}
}

// dropAnswer drops an answer but remembers that the request has run.
func (s *state) dropAnswer(id string) {
	e := s.executions[id]
	if e == nil {
		return
	}
	s.keptBytes -= len(e.answer.Body)
	e.answer = work.Unknown("the request has run before; its answer is no longer kept")
}

// sweep forgets IDs that can no longer be used.
func (s *state) sweep(now time.Time) {
	for id, e := range s.executions {
		if e.finished && now.Sub(e.startedAt) > IDLifetime+2*MaxClockSkew {
			s.keptBytes -= len(e.answer.Body)
			delete(s.executions, id)
		}
	}
	for len(s.keptIDs) > 0 && s.executions[s.keptIDs[0]] == nil {
		s.keptIDs = s.keptIDs[1:]
	}
}
