package intake_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/duties"
	"carawaymux.dev/entry/intake"
	"carawaymux.dev/entry/owner"
	"carawaymux.dev/entry/peers"
	"carawaymux.dev/entry/roster"
	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
)

// nothing owns no pool.
type nothing struct{}

func (nothing) Local(string) duties.Holder { return nil }

// view is what is known of the entries.
type view struct{ lost, at time.Time }

func (v view) View() *roster.View {
	return &roster.View{Lost: v.lost, At: v.at, Owners: map[string]roster.Owner{"pool": {Name: "other", Address: "other:1", Epoch: 1}}}
}

// asker answers every question in one way.
type asker struct {
	answer owner.Answer
	err    error
}

func (a asker) Ask(context.Context, string, peers.Ask) (owner.Answer, error) { return a.answer, a.err }

// store takes appends in one way; a silent one lets them run out of time.
type store struct {
	port.Log
	err    error
	silent bool
	count  int
}

func (s *store) Append(ctx context.Context, _ port.Stream, _ []port.Record, _ *port.Writer, _ int64) (int64, error) {
	s.count++
	if s.silent {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return 1, s.err
}

var (
	queue   = port.Queue{Name: "q", Pool: "pool"}
	errGone = errors.New("the link broke")
)

func newIntake(v view, a asker, s *store) *intake.Intake {
	return &intake.Intake{
		Local: nothing{}, Roster: v, Peers: a, Log: s, Parts: 4, Logger: slog.New(slog.NewJSONHandler(io.Discard, nil)),
	}
}

func submit(n *intake.Intake) (owner.Answer, time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	began := time.Now()
	return n.Submit(ctx, queue, "0123456789abcdef", batch.Spec{}), time.Since(began)
}

// Entries in a zone that was cut off said after a second that the outcome was not
// known, so that callers could not try again.
func TestAnEntryThatIsCutOffRefusesAtOnce(t *testing.T) {
	s := &store{silent: true}
	n := newIntake(view{lost: time.Now().Add(-time.Second)}, asker{err: peers.ErrUnsent}, s)
	a, took := submit(n)
	require.Equal(t, owner.Refused, a.Outcome)
	require.Positive(t, a.RetryAfter)
	require.Zero(t, s.count, "what the store may carry out later must not be sent")
	require.Less(t, took, 200*time.Millisecond)
	require.True(t, n.CutOff())
}

func TestAQuestionThatMayHaveReachedTheOwnerIsNeverRefused(t *testing.T) {
	n := newIntake(view{lost: time.Now()}, asker{err: errGone}, &store{err: port.ErrBusy})
	a, _ := submit(n)
	require.Equal(t, owner.Unknown, a.Outcome)
}

func TestAnOutcomeThatTheStoreLeavesOpenIsNeverRefused(t *testing.T) {
	n := newIntake(view{}, asker{err: peers.ErrUnsent}, &store{silent: true})
	a, _ := submit(n)
	require.Equal(t, owner.Unknown, a.Outcome)
}

func TestAStoreThatDoesNothingLeavesNothingBehind(t *testing.T) {
	n := newIntake(view{}, asker{err: peers.ErrUnsent}, &store{err: port.ErrBusy})
	a, _ := submit(n)
	require.Equal(t, owner.Refused, a.Outcome)
	require.Positive(t, a.RetryAfter)
}

func TestASubmissionWithoutAnOwnerIsLeftInTheInbox(t *testing.T) {
	s := &store{}
	n := newIntake(view{}, asker{err: peers.ErrUnsent}, s)
	a, _ := submit(n)
	require.Equal(t, owner.Accepted, a.Outcome)
	require.Equal(t, 1, s.count)
	require.False(t, n.CutOff(), "the store can be reached")
}

// While all entries miss the store but reach one another, callers stay where they are.
func TestAnEntryThatReachesOwnersIsNotCutOff(t *testing.T) {
	n := newIntake(view{lost: time.Now()}, asker{answer: owner.Answer{Outcome: owner.Refused, RetryAfter: time.Second}}, &store{silent: true})
	a, _ := submit(n)
	require.Equal(t, owner.Refused, a.Outcome)
	require.False(t, n.CutOff())
}

// The owner of a pool was turned away by the store while other entries were served; it
// refused all submissions until it was replaced.
func TestASubmissionThatTheOwnerCannotStoreIsLeftInTheInbox(t *testing.T) {
	away := asker{answer: owner.Answer{Outcome: owner.Refused, RetryAfter: 2 * time.Second, StoreUnavailable: true}}
	s := &store{}
	a, _ := submit(newIntake(view{at: time.Now()}, away, s))
	require.Equal(t, owner.Accepted, a.Outcome)
	require.Equal(t, 1, s.count)
	// While nobody reaches the store, what it may carry out later must not be sent.
	for _, v := range []view{{at: time.Now().Add(-time.Second)}, {at: time.Now(), lost: time.Now()}} {
		s = &store{silent: true}
		a, took := submit(newIntake(v, away, s))
		require.Equal(t, owner.Refused, a.Outcome)
		require.Zero(t, s.count)
		require.Less(t, took, 200*time.Millisecond)
	}
}
