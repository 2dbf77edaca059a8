package intake_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/intake"
	"carawaymux.dev/entry/owner"
	"carawaymux.dev/entry/peers"
	"carawaymux.dev/fleet/batch"
)

// refusingPeer is the entry of an owner that refuses all submissions for its load, except those that it knows.
type refusingPeer struct {
	known     []string
	cannotSay bool
	requests  chan peers.Request
}

func (p *refusingPeer) Ask(_ context.Context, _ string, r peers.Request) (owner.Answer, error) {
	p.requests <- r
	switch {
	case r.Verb == peers.VerbKnown && p.cannotSay:
		return owner.Answer{Outcome: owner.Refused}, nil
	case r.Verb == peers.VerbKnown:
		a := owner.Answer{Outcome: owner.Found}
		for _, id := range r.Subjects {
			if slices.Contains(p.known, id) {
				a.Known = append(a.Known, id)
			}
		}
		return a, nil
	case slices.Contains(p.known, r.Subject):
		return owner.Answer{Outcome: owner.Accepted}, nil
	}
	return owner.Answer{Outcome: owner.Refused, RetryAfter: time.Second, HoldsFor: 400 * time.Millisecond, Reason: "overloaded"}, nil
}

// verbs returns how many requests of each kind have come.
func (p *refusingPeer) verbs() map[peers.Verb]int {
	out := map[peers.Verb]int{}
	for len(p.requests) > 0 {
		out[(<-p.requests).Verb]++
	}
	return out
}

func newGatedIntake(p *refusingPeer) *intake.Intake {
	p.requests = make(chan peers.Request, 1000)
	n := &intake.Intake{
		Local: noHolders{}, Roster: fakeView{at: time.Now()}, Peers: p, Log: &fakeLog{}, Partitions: 4,
		Logger: slog.New(slog.NewJSONHandler(io.Discard, nil)),
	}
	n.Gate = intake.NewGate(n.Known)
	return n
}

// submitMany submits jobs at once and returns the answers by ID.
func submitMany(n *intake.Intake, estimate time.Duration, ids ...string) map[string]owner.Answer {
	type answer struct {
		id string
		owner.Answer
	}
	answers := make(chan answer, len(ids))
	for _, id := range ids {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			spec := batch.Spec{Queue: "q", Steps: []batch.Step{{Count: 1, Need: batch.Size{MilliCores: 1000}, Estimate: estimate}}}
			answers <- answer{id, n.Submit(ctx, queue, id, spec)}
		}()
	}
	out := map[string]owner.Answer{}
	for range ids {
		a := <-answers
		out[a.id] = a.Answer
	}
	return out
}

func jobIDs(count int) []string {
	var out []string
	for i := range count {
		out = append(out, fmt.Sprintf("%016x", i))
	}
	return out
}

// An owner that was offered several times what its pool can do spent its processor on refusals.
func TestEntryAsksOnceAboutManySubmissionsThatAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &refusingPeer{known: []string{"accepted"}}
		n := newGatedIntake(p)
		defer n.Gate.Close()
		submitMany(n, time.Second, "first")
		require.Equal(t, map[peers.Verb]int{peers.VerbSubmit: 1}, p.verbs())

		ids := jobIDs(200)
		answers := submitMany(n, time.Second, append(ids, "accepted")...)
		require.Equal(t, map[peers.Verb]int{peers.VerbKnown: 1, peers.VerbSubmit: 1}, p.verbs())
		require.Equal(t, owner.Accepted, answers["accepted"].Outcome, "a repeated submission is never refused")
		retries := map[time.Duration]bool{}
		for _, id := range ids {
			require.Equal(t, owner.Refused, answers[id].Outcome)
			require.GreaterOrEqual(t, answers[id].RetryAfter, time.Second)
			retries[answers[id].RetryAfter] = true
		}
		require.Greater(t, len(retries), len(ids)/2, "callers do not return together")
	})
}

func TestRefusalDoesNotOutliveItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &refusingPeer{}
		n := newGatedIntake(p)
		defer n.Gate.Close()
		submitMany(n, time.Second, "first")
		time.Sleep(400 * time.Millisecond)
		submitMany(n, time.Second, "second")
		require.Equal(t, map[peers.Verb]int{peers.VerbSubmit: 2}, p.verbs())
	})
}

// A smaller job may go before those that are refused.
func TestRefusalIsForJobsOfTheSameSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &refusingPeer{}
		n := newGatedIntake(p)
		defer n.Gate.Close()
		submitMany(n, time.Second, "first")
		submitMany(n, time.Millisecond, "small")
		require.Equal(t, map[peers.Verb]int{peers.VerbSubmit: 2}, p.verbs())
	})
}

// A request of which nothing was sent was answered as if its outcome were unknown, so its caller could not repeat it.
func TestSubmissionWhoseTimeEndsWhileItIsHeldIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &refusingPeer{}
		n := newGatedIntake(p)
		defer n.Gate.Close()
		submitMany(n, time.Second, "first")
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		spec := batch.Spec{Queue: "q", Steps: []batch.Step{{Count: 1, Need: batch.Size{MilliCores: 1000}, Estimate: time.Second}}}
		a := n.Submit(ctx, queue, "second", spec)
		require.Equal(t, owner.Refused, a.Outcome)
		require.Positive(t, a.RetryAfter)
		require.Equal(t, map[peers.Verb]int{peers.VerbSubmit: 1}, p.verbs())
	})
}

func TestEntryRefusesNothingThatTheOwnerCannotVouchFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &refusingPeer{cannotSay: true}
		n := newGatedIntake(p)
		defer n.Gate.Close()
		submitMany(n, time.Second, "first")
		submitMany(n, time.Second, jobIDs(5)...)
		require.Equal(t, map[peers.Verb]int{peers.VerbKnown: 1, peers.VerbSubmit: 6}, p.verbs())
	})
}
