// Package dedup makes sure that a non-idempotent request runs at most once.
//
// The ID of such a request names the entry that owns it, the entry's incarnation and the time of
// issue. Every copy of the request is sent to the owner, whose registry tells whether a copy has
// been started. The registry is not stored: a new incarnation does not run any request whose ID
// an earlier incarnation issued.
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
	// IDLifetime is how long an ID may be used after it was issued.
	IDLifetime = 15 * time.Minute
	// MaxClockSkew is the largest difference between the clocks of two entries.
	MaxClockSkew = time.Minute
	// sweepInterval is the time between two removals of expired IDs.
	sweepInterval = 5 * time.Second
	// maxKeptBytes bounds the total size of the answers kept for repeated requests.
	maxKeptBytes = 4 << 20
	// separator separates the parts of an ID.
	separator = ":"
)

// ID is the ID of a non-idempotent request.
type ID struct {
	// Owner is the entry that owns the request.
	Owner string
	// Incarnation is the owner's incarnation; no other one may run the request.
	Incarnation uint64
	// Issued is when the ID was issued.
	Issued time.Time
	// Random distinguishes IDs that were issued at the same time.
	Random string
}

// NewID issues an ID.
func NewID(owner string, incarnation uint64, now time.Time) ID {
	return ID{Owner: owner, Incarnation: incarnation, Issued: now, Random: strings.ToLower(rand.Text())}
}

// String returns the ID in the form that callers send.
func (id ID) String() string {
	return strings.Join([]string{
		id.Owner, strconv.FormatUint(id.Incarnation, 10), strconv.FormatInt(id.Issued.UnixMilli(), 10), id.Random,
	}, separator)
}

// ParseID parses the form that [ID.String] returns.
func ParseID(s string) (ID, error) {
	parts := strings.Split(s, separator)
	if len(parts) != 4 || !record.ValidName(parts[0]) || parts[3] == "" {
		return ID{}, fmt.Errorf("id %q was not issued by %s", s, wire.PathIDs)
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

// Expired reports whether the ID is older than [IDLifetime].
func (id ID) Expired(now time.Time) bool { return now.Sub(id.Issued) > IDLifetime }

// Registry keeps track of the IDs whose requests have been started. Use [New] to build it.
type Registry struct{ task *task.Task[message] }

// New starts a registry.
func New() *Registry { return &Registry{task: task.Start(run)} }

// Close stops the registry and waits until it has ended.
func (r *Registry) Close() { r.task.Close() }

// Do runs a request, unless a copy of it has been started before: then it waits for the answer to
// that copy and returns it. A copy from another team than the first one is not run, and does not get its answer. If the outcome of a
// copy is [wire.NotRun], the next copy may run.
func (r *Registry) Do(ctx context.Context, id, team string, run func() work.Answer) work.Answer {
	result, err := task.Call(ctx, r.task, func(reply chan<- claimed) message { return claim{id, team, reply} })
	if err != nil {
		// This copy was not started, but another one may have been.
		return work.Unknown("registry of request ids: " + err.Error())
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
		return work.Unknown("the entry stopped before the first copy of the request ended")
	case <-ctx.Done():
		return work.Unknown("gave up waiting: an earlier copy of the request is still running")
	}
}

type message interface{ handle(s *state) }

type (
	// claim asks whether the caller may run the request with an ID.
	claim struct {
		id, team string
		reply    chan<- claimed
	}
	// finish reports the answer to the copy that was run.
	finish struct {
		id     string
		answer work.Answer
	}
)

// claimed answers a claim. Either the copy is the first one, or the answer to the first one is
// sent on the answer channel.
type claimed struct {
	first  bool
	answer <-chan work.Answer
}

// execution is the state of the request with one ID.
type execution struct {
	// team is the team of the caller that sent the first copy.
	team      string
	startedAt time.Time
	finished  bool
	answer    work.Answer
	waiters   []chan<- work.Answer
}

// state is the state of the registry's task.
type state struct {
	executions map[string]*execution
	// keptBytes is the total size of the kept answers; keptIDs are their IDs,
	// oldest first.
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
		s.executions[m.id] = &execution{team: m.team, startedAt: time.Now()}
		m.reply <- claimed{first: true}
		return
	}
	answer := make(chan work.Answer, 1)
	switch {
	case e.team != m.team:
		answer <- work.Unknown("the id was used by a caller of another team")
	case e.finished:
		answer <- e.answer
	default:
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

// dropAnswer drops a kept answer but keeps the fact that the request has run.
func (s *state) dropAnswer(id string) {
	e := s.executions[id]
	if e == nil {
		return
	}
	s.keptBytes -= len(e.answer.Body)
	e.answer = work.Unknown("the request has run before, but its answer is no longer kept")
}

// sweep removes the IDs that have expired on every clock within [MaxClockSkew].
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
