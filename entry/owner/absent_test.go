package owner_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/owner"
	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// hangingInboxStore is a store whose reads of the inbox hang while it is told so. Its inbox holds what was left
// in it.
type hangingInboxStore struct {
	hangs, reads atomic.Int64
	fenced       atomic.Bool
	left         atomic.Pointer[[]port.Record]
	appends      atomic.Int64
}

func newHangingInboxStore() *hangingInboxStore {
	s := &hangingInboxStore{}
	s.left.Store(&[]port.Record{})
	return s
}

func (s *hangingInboxStore) Append(ctx context.Context, _ port.Stream, _ []port.Record, _ *port.Writer, _ int64) (int64, error) {
	s.appends.Add(1)
	if s.fenced.Load() {
		return 0, port.ErrFenced
	}
	return 1, nil
}

func (s *hangingInboxStore) Newest(context.Context, port.Stream, string) (port.Page, error) {
	return port.Page{}, nil
}

func (s *hangingInboxStore) Read(ctx context.Context, stream port.Stream, from int64, wait time.Duration) (port.Page, error) {
	if !strings.HasPrefix(stream.Topic, "keyed.in") {
		return port.Page{}, nil
	}
	s.reads.Add(1)
	if s.hangs.Load() > 0 {
		<-ctx.Done()
		return port.Page{}, ctx.Err()
	}
	if left := *s.left.Load(); from < int64(len(left)) {
		return port.Page{Records: left[from:], End: int64(len(left))}, nil
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return port.Page{}, ctx.Err()
	}
	return port.Page{End: from}, nil
}

// leave leaves a submission in the inbox.
func (s *hangingInboxStore) leave(t *testing.T, id string) {
	value, err := codec.EncodeFrame(batch.Spec{Queue: "q", Steps: []batch.Step{{Count: 1}}})
	require.NoError(t, err)
	left := append([]port.Record(nil), *s.left.Load()...)
	left = append(left, port.Record{Key: "pool/" + id, Value: value, Offset: int64(len(left))})
	s.left.Store(&left)
}

// Guards against status 410 for a job that was accepted into the inbox while the reads of its owner hung. The
// owner had read the inbox once and took that for what it holds (LOST).
func TestAJobInTheInboxIsNeverMissingWhileTheInboxIsNotRead(t *testing.T) {
	ctx := t.Context()
	store := newHangingInboxStore()
	o := startOwner(ctx, t, store)
	require.Equal(t, owner.Missing, o.JobStatus(ctx, "unknown").Outcome)
	store.hangs.Store(1)
	store.leave(t, "left")
	for range 3 {
		began := time.Now()
		a := o.JobStatus(ctx, "left")
		require.Equal(t, owner.Refused, a.Outcome)
		require.Positive(t, a.RetryAfter)
		require.Less(t, time.Since(began), 2*time.Second)
	}
	store.hangs.Store(0)
	require.Equal(t, owner.Found, o.JobStatus(ctx, "left").Outcome)
}

// Guards against status 410 for a job that was left in the inbox just before, while the owner waits for changes.
func TestAJobThatWasJustLeftInTheInboxIsFound(t *testing.T) {
	ctx := t.Context()
	store := newHangingInboxStore()
	o := startOwner(ctx, t, store)
	for _, id := range []string{"first", "second", "third"} {
		time.Sleep(100 * time.Millisecond)
		store.leave(t, id)
		began := time.Now()
		require.Equal(t, owner.Found, o.JobStatus(ctx, id).Outcome)
		require.Less(t, time.Since(began), time.Second)
	}
}

// Guards against status 410 of an owner that does not know yet that it was replaced: its successor may have
// accepted the job (LOST).
func TestAnOwnerThatWasReplacedAnswersMissingNoMore(t *testing.T) {
	ctx := t.Context()
	store := newHangingInboxStore()
	o := startOwner(ctx, t, store)
	require.Equal(t, owner.Missing, o.JobStatus(ctx, "unknown").Outcome)
	store.fenced.Store(true)
	require.Equal(t, owner.Refused, o.JobStatus(ctx, "elsewhere").Outcome)
}

// Guards against a machine that is moved or goes into maintenance under the work of a newer owner (AVAIL).
func TestAnOwnerThatWasReplacedCallsNoHostEmpty(t *testing.T) {
	ctx := t.Context()
	store := newHangingInboxStore()
	o := startOwner(ctx, t, store)
	requireEmpty(t, o, "listed-later")
	store.fenced.Store(true)
	require.Eventually(t, func() bool { return !o.Vacate(ctx, "listed-later", shard.LeaveOrder{}).Vacant }, silenceLimit/2, 10*time.Millisecond)
	require.Never(t, func() bool { return o.Vacate(ctx, "listed-later", shard.LeaveOrder{}).Vacant }, silenceLimit, 50*time.Millisecond)
}

// silenceLimit is the time after which an entry that is cut off may be replaced.
const silenceLimit = 1500 * time.Millisecond

// Guards against a machine that is moved or goes into maintenance under the work of an owner that takes over in a planned stop (AVAIL).
func TestAnOwnerThatIsAboutToBeReplacedCallsNoHostEmpty(t *testing.T) {
	ctx := t.Context()
	o := startOwner(ctx, t, newHangingInboxStore())
	requireEmpty(t, o, "listed-later")
	require.NoError(t, o.Leave(ctx))
	require.False(t, o.Vacate(ctx, "listed-later", shard.LeaveOrder{}).Vacant)
}

// slowStore is a store whose appends take a time.
type slowStore struct {
	*hangingInboxStore
	appendTime time.Duration
}

func (s slowStore) Append(ctx context.Context, stream port.Stream, records []port.Record, writer *port.Writer, expect int64) (int64, error) {
	time.Sleep(s.appendTime)
	return s.hangingInboxStore.Append(ctx, stream, records, writer, expect)
}

// Guards against waves and moves that stop while appends are slow.
func TestAHostIsCalledEmptyWhileAppendsAreSlow(t *testing.T) {
	o := startOwner(t.Context(), t, slowStore{newHangingInboxStore(), 300 * time.Millisecond})
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), 250*time.Millisecond)
		defer cancel()
		return o.Vacate(ctx, "listed-later", shard.LeaveOrder{}).Vacant
	}, 3*time.Second, 10*time.Millisecond)
}

// Guards against a number of pending jobs that is older than callers are promised.
func TestPendingJobsAreCountedAsOfTwoSecondsAgoAtMost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		store := newHangingInboxStore()
		o := startOwner(ctx, t, store)
		require.Eventually(t, func() bool { return o.Pending(ctx, "q").Outcome == owner.Found }, 2*time.Second, 10*time.Millisecond)
		store.leave(t, "left")
		time.Sleep(2100 * time.Millisecond)
		a := o.Pending(ctx, "q")
		require.Equal(t, owner.Found, a.Outcome)
		require.Equal(t, 1, a.Pending)
		require.LessOrEqual(t, a.InboxAge, 2*time.Second+100*time.Millisecond)
		store.hangs.Store(1)
		require.Eventually(t, func() bool { return o.Pending(ctx, "q").Outcome == owner.Refused }, 5*time.Second, 10*time.Millisecond)
	})
}

// Guards against a number of pending jobs that is too low: jobs that the owner had read from the inbox, which have been accepted, did
// not count before it had stored them.
func TestPendingJobsFromTheInboxCountBeforeTheyAreStored(t *testing.T) {
	ctx := t.Context()
	store := slowStore{newHangingInboxStore(), 300 * time.Millisecond}
	o := startOwner(ctx, t, store)
	require.Eventually(t, func() bool { return o.Pending(ctx, "q").Outcome == owner.Found }, 2*time.Second, 10*time.Millisecond)
	store.leave(t, "left")
	store.leave(t, "left")
	left := time.Now()
	answered := make(chan owner.Outcome, 1)
	// This has the inbox read, and waits for the store.
	go func() { answered <- o.JobStatus(ctx, "left").Outcome }()
	var a owner.Answer
	require.Eventually(t, func() bool {
		asked := time.Now()
		a = o.Pending(ctx, "q")
		return a.Outcome == owner.Found && asked.Add(-a.InboxAge).After(left)
	}, 5*time.Second, time.Millisecond)
	require.Equal(t, 1, a.Pending)
	require.Equal(t, owner.Found, <-answered)
}

// Guards against a call to the store for each request, when many ask for jobs that do not exist.
func TestManyQuestionsShareTheirCallsToTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		store := newHangingInboxStore()
		o := startOwner(ctx, t, store)
		require.Equal(t, owner.Missing, o.JobStatus(ctx, "unknown").Outcome)
		reads, appends := store.reads.Load(), store.appends.Load()
		const questions, questionInterval = 500, 200 * time.Microsecond
		answers := make(chan owner.Answer, questions)
		for range questions {
			go func() { answers <- o.JobStatus(ctx, "unknown") }()
			time.Sleep(questionInterval)
		}
		for range questions {
			require.Equal(t, owner.Missing, (<-answers).Outcome)
		}
		require.Less(t, store.reads.Load()-reads, int64(questions/5))
		require.Less(t, store.appends.Load()-appends, int64(questions/5))
	})
}
