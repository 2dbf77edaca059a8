package hedge_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/hedge"
	"carawaymux.dev/fleet/port"
)

// lossyLog carries out all calls and loses the answer to the first one.
type lossyLog struct {
	calls atomic.Int64
	err   error
}

func (l *lossyLog) answer(ctx context.Context) error {
	if l.calls.Add(1) > 1 {
		return l.err
	}
	<-ctx.Done()
	return context.Cause(ctx)
}

func (l *lossyLog) Append(ctx context.Context, _ port.Stream, _ []port.Record, _ *port.Writer, _ int64) (int64, error) {
	return 5, l.answer(ctx)
}

func (l *lossyLog) Read(ctx context.Context, _ port.Stream, _ int64, wait time.Duration) (port.Page, error) {
	return port.Page{End: int64(wait)}, l.answer(ctx)
}

func (l *lossyLog) Newest(ctx context.Context, _ port.Stream, _ string) (port.Page, error) {
	return port.Page{End: 5}, l.answer(ctx)
}

// A lost answer of the store delayed the submissions and ends of a pool by a second.
func TestALostAnswerOfTheStoreDelaysNoCall(t *testing.T) {
	for name, call := range map[string]func(context.Context, *hedge.Log) error{
		"append under a claim": func(ctx context.Context, l *hedge.Log) error {
			_, err := l.Append(ctx, port.Stream{}, nil, &port.Writer{Name: "w", Epoch: 1, Sequence: 1}, -1)
			return err
		},
		"read": func(ctx context.Context, l *hedge.Log) error {
			page, err := l.Read(ctx, port.Stream{}, 0, 50*time.Millisecond)
			require.Zero(t, page.End, "the second read does not wait")
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
			defer cancel()
			began := time.Now()
			require.NoError(t, call(ctx, hedge.NewLog(&lossyLog{})))
			require.Less(t, time.Since(began), 600*time.Millisecond)
		})
	}
}

// All entries of a fleet that had restarted read the list of hosts at the same time, twice, and no pool had
// an owner for 5 s.
func TestReadsOfWholeTopicsAreSentOnce(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	l := &lossyLog{}
	_, err := hedge.NewLog(l).Newest(ctx, port.Stream{}, "")
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.EqualValues(t, 1, l.calls.Load())
}

// The copy of a claim that was written finds that another record follows the one it expects. A copy of a
// status or a deletion that is carried out seconds later undoes what followed.
func TestAppendsOnAConditionOrWithoutANumberAreSentOnce(t *testing.T) {
	for name, c := range map[string]struct {
		writer      *port.Writer
		expectedEnd int64
	}{"on a condition": {nil, 7}, "numbered, on a condition": {&port.Writer{Name: "w"}, 7}, "without a number": {nil, -1}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			defer cancel()
			l := &lossyLog{}
			_, err := hedge.NewLog(l).Append(ctx, port.Stream{}, []port.Record{{Key: "k"}}, c.writer, c.expectedEnd)
			require.ErrorIs(t, err, context.DeadlineExceeded)
			require.EqualValues(t, 1, l.calls.Load())
		})
	}
}

// A store that is busy has done nothing for the copy, but the first call may be carried out.
func TestABusyCopySaysNothingAboutTheCall(t *testing.T) {
	for err, conclusive := range map[error]bool{port.ErrBusy: false, port.ErrFenced: true, &port.SequenceError{Expected: 3}: true, &port.GoneError{}: true} {
		ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
		_, got := hedge.NewLog(&lossyLog{err: err}).Append(ctx, port.Stream{}, nil, &port.Writer{}, -1)
		cancel()
		if conclusive {
			require.ErrorIs(t, got, err)
			continue
		}
		require.ErrorIs(t, got, hedge.ErrUnanswered)
		require.NotErrorIs(t, got, err)
	}
}
