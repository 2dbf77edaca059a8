package intake_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"strings"
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

// noHolders has no holder of any pool.
type noHolders struct{}

func (noHolders) Holder(string) duties.Holder { return nil }

// fakeView returns a view in which another entry owns the pool. The store has been lost since lost,
// and the view is as of at.
type fakeView struct{ lost, at time.Time }

func (v fakeView) View() *roster.View {
	return &roster.View{StoreLostSince: v.lost, AsOf: v.at, Owners: map[string]roster.Owner{"pool": {Name: "other", Address: "other:1", Epoch: 1}}}
}

func (v fakeView) Refresh(context.Context) *roster.View { return v.View() }

// fakePeers returns the same answer and error for every request.
type fakePeers struct {
	answer owner.Answer
	err    error
}

func (p fakePeers) Ask(context.Context, string, peers.Request) (owner.Answer, error) {
	return p.answer, p.err
}

// fakeLog returns the same error for every append. If silent is set, appends wait until the context
// is done. It counts the appends.
type fakeLog struct {
	port.Log
	err    error
	silent bool
	count  int
}

func (l *fakeLog) Append(ctx context.Context, _ port.Stream, _ []port.Record, _ *port.Writer, _ int64) (int64, error) {
	l.count++
	if l.silent {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return 1, l.err
}

var (
	queue         = port.Queue{Name: "q", Pool: "pool"}
	errLinkBroken = errors.New("connection broken")
)

func newIntake(v fakeView, client fakePeers, log *fakeLog) *intake.Intake {
	return &intake.Intake{
		Local: noHolders{}, Roster: v, Peers: client, Log: log, Partitions: 4, Logger: slog.New(slog.NewJSONHandler(io.Discard, nil)),
	}
}

func submit(n *intake.Intake) (owner.Answer, time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	start := time.Now()
	return n.Submit(ctx, queue, "0123456789abcdef", batch.Spec{}), time.Since(start)
}

// Guards against entries in an isolated zone that answer after 1 s that the outcome is unknown, so
// that callers cannot retry elsewhere.
func TestIsolatedEntryRefusesImmediately(t *testing.T) {
	log := &fakeLog{silent: true}
	n := newIntake(fakeView{lost: time.Now().Add(-time.Second)}, fakePeers{err: peers.ErrUnsent}, log)
	a, took := submit(n)
	require.Equal(t, owner.Refused, a.Outcome)
	require.Positive(t, a.RetryAfter)
	require.Zero(t, log.count, "nothing may be sent that the store could carry out later")
	require.Less(t, took, 200*time.Millisecond)
	require.True(t, n.Isolated())
}

func TestSubmitThatMayHaveReachedOwnerIsUnknown(t *testing.T) {
	n := newIntake(fakeView{lost: time.Now()}, fakePeers{err: errLinkBroken}, &fakeLog{err: port.ErrBusy})
	a, _ := submit(n)
	require.Equal(t, owner.Unknown, a.Outcome)
}

// Guards against callers that repeat a job which the store can never hold: its outcome counted as unknown.
func TestJobOverTheLimitOfTheStoreIsRefusedAtOnce(t *testing.T) {
	const maxRecordBytes = 1000
	for _, c := range []struct {
		text    int
		outcome owner.Outcome
		appends int
	}{{800, owner.Accepted, 1}, {1000, owner.Refused, 0}} {
		log := &fakeLog{}
		n := newIntake(fakeView{}, fakePeers{err: peers.ErrUnsent}, log)
		n.MaxRecordBytes = maxRecordBytes
		spec := batch.Spec{Queue: "q", Text: strings.Repeat("x", c.text)}
		a := n.Submit(t.Context(), queue, "0123456789abcdef", spec)
		require.Equal(t, c.outcome, a.Outcome)
		require.Equal(t, c.appends, log.count)
		if a.Outcome == owner.Refused {
			require.Contains(t, a.Reason, "at most 1000 are allowed")
		}
	}
}

func TestSubmitIsUnknownWhenStoreTimesOut(t *testing.T) {
	n := newIntake(fakeView{}, fakePeers{err: peers.ErrUnsent}, &fakeLog{silent: true})
	a, _ := submit(n)
	require.Equal(t, owner.Unknown, a.Outcome)
}

func TestSubmitIsRefusedWhenStoreIsBusy(t *testing.T) {
	n := newIntake(fakeView{}, fakePeers{err: peers.ErrUnsent}, &fakeLog{err: port.ErrBusy})
	a, _ := submit(n)
	require.Equal(t, owner.Refused, a.Outcome)
	require.Positive(t, a.RetryAfter)
}

func TestSubmitWithoutOwnerGoesToInbox(t *testing.T) {
	log := &fakeLog{}
	n := newIntake(fakeView{}, fakePeers{err: peers.ErrUnsent}, log)
	a, _ := submit(n)
	require.Equal(t, owner.Accepted, a.Outcome)
	require.Equal(t, 1, log.count)
	require.False(t, n.Isolated(), "the store can be reached")
}

// If all entries lose the store but reach one another, callers must not be sent to other entries.
func TestEntryThatReachesOwnersIsNotIsolated(t *testing.T) {
	n := newIntake(fakeView{lost: time.Now()}, fakePeers{answer: owner.Answer{Outcome: owner.Refused, RetryAfter: time.Second}}, &fakeLog{silent: true})
	a, _ := submit(n)
	require.Equal(t, owner.Refused, a.Outcome)
	require.False(t, n.Isolated())
}

// Guards against an owner that cannot reach the store, while other entries can, and that refuses all
// submissions until it is replaced.
func TestSubmitGoesToInboxWhenOwnerCannotStore(t *testing.T) {
	unavailable := fakePeers{answer: owner.Answer{Outcome: owner.Refused, RetryAfter: 2 * time.Second, StoreUnavailable: true}}
	log := &fakeLog{}
	a, _ := submit(newIntake(fakeView{at: time.Now()}, unavailable, log))
	require.Equal(t, owner.Accepted, a.Outcome)
	require.Equal(t, 1, log.count)
	// While no entry reaches the store, nothing may be sent that the store could still carry
	// out later.
	for _, v := range []fakeView{{at: time.Now().Add(-time.Second)}, {at: time.Now(), lost: time.Now()}} {
		log = &fakeLog{silent: true}
		a, took := submit(newIntake(v, unavailable, log))
		require.Equal(t, owner.Refused, a.Outcome)
		require.Zero(t, log.count)
		require.Less(t, took, 200*time.Millisecond)
	}
}

// Guards against status 503, as if nothing had happened, for a cancellation that the owner may have
// carried out.
func TestCancelThatMayHaveReachedOwnerIsUnknown(t *testing.T) {
	cancel := func(client fakePeers) owner.Answer {
		ctx, stop := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer stop()
		return newIntake(fakeView{}, client, &fakeLog{}).Cancel(ctx, queue, "0123456789abcdef", "")
	}
	require.Equal(t, owner.Unknown, cancel(fakePeers{err: errLinkBroken}).Outcome)
	require.Equal(t, owner.Unknown, cancel(fakePeers{answer: owner.Answer{Outcome: owner.Unknown}}).Outcome)
	require.Equal(t, owner.Refused, cancel(fakePeers{err: peers.ErrUnsent}).Outcome)
	require.Equal(t, owner.Refused, cancel(fakePeers{answer: owner.Answer{Outcome: intake.NotOwner}}).Outcome)
}

// sequencePeers breaks the link during the first request and returns the answer to the others.
type sequencePeers struct {
	answer owner.Answer
	asked  *int
}

func (p sequencePeers) Ask(context.Context, string, peers.Request) (owner.Answer, error) {
	*p.asked++
	if *p.asked == 1 {
		return owner.Answer{}, errLinkBroken
	}
	return p.answer, nil
}

// Guards against a refusal of a job that may run: the first copy of its submission, whose link broke, may
// be handled after the second copy has been refused.
func TestSubmitThatIsRefusedAfterItMayHaveReachedOwnerIsUnknown(t *testing.T) {
	refused := owner.Answer{Outcome: owner.Refused, RetryAfter: time.Second}
	n := newIntake(fakeView{}, fakePeers{}, &fakeLog{})
	n.Peers = sequencePeers{refused, new(int)}
	a, _ := submit(n)
	require.Equal(t, owner.Unknown, a.Outcome)
	n.Peers = fakePeers{answer: refused}
	a, _ = submit(n)
	refused.Entry = "other"
	require.Equal(t, refused, a)
	n.Peers = sequencePeers{owner.Answer{Outcome: owner.Accepted}, new(int)}
	a, _ = submit(n)
	require.Equal(t, owner.Accepted, a.Outcome)
}
