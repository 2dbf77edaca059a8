package hedge_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/hedge"
)

var (
	errRefused = errors.New("refused")
	errFinal   = errors.New("final")
)

func isFinal(err error) bool { return errors.Is(err, errFinal) }

// after returns a call that ends after a delay.
func after(delay time.Duration, value int, err error) func(context.Context) (int, error) {
	return func(ctx context.Context) (int, error) {
		select {
		case <-time.After(delay):
			return value, err
		case <-ctx.Done():
			return 0, context.Cause(ctx)
		}
	}
}

func TestOutcomes(t *testing.T) {
	const delay, never = 30 * time.Millisecond, time.Hour
	for name, c := range map[string]struct {
		call, again func(context.Context) (int, error)
		value       int
		err         error
	}{
		"a prompt answer is returned":                 {after(0, 1, nil), after(0, 2, nil), 1, nil},
		"a prompt refusal is returned":                {after(0, 0, errRefused), after(0, 2, nil), 0, errRefused},
		"the answer to the copy is returned":          {after(never, 1, nil), after(0, 2, nil), 2, nil},
		"a late answer to the call is returned":       {after(2*delay, 1, nil), after(never, 2, nil), 1, nil},
		"a final error of the copy is returned":       {after(never, 1, nil), after(0, 0, errFinal), 0, errFinal},
		"a refused copy says nothing about the call":  {after(never, 1, nil), after(0, 0, errRefused), 0, hedge.ErrUnanswered},
		"a refused call says nothing about the copy":  {after(2*delay, 0, errRefused), after(never, 2, nil), 0, hedge.ErrUnanswered},
		"a refused call with an answer to the copy":   {after(2*delay, 0, errRefused), after(2*delay, 2, nil), 2, nil},
		"no answer at all within the caller's limits": {after(never, 1, nil), after(never, 2, nil), 0, context.DeadlineExceeded},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			value, err := hedge.Do(ctx, delay, hedge.NewBudget(), isFinal, c.call, c.again)
			require.ErrorIs(t, err, c.err)
			require.Equal(t, c.value, value)
		})
	}
}

// A caller that is late itself would send each call twice, and would then be later.
func TestCopiesAreAShareOfTheCalls(t *testing.T) {
	b := hedge.NewBudget()
	var copies atomic.Int64
	slow := after(3*time.Millisecond, 1, nil)
	again := func(context.Context) (int, error) {
		copies.Add(1)
		return 2, nil
	}
	const calls = 1000
	for range calls {
		_, err := hedge.Do(t.Context(), time.Millisecond, b, isFinal, slow, again)
		require.NoError(t, err)
	}
	require.LessOrEqual(t, copies.Load(), int64(40+calls/10))
	require.Positive(t, copies.Load())
	copies.Store(0)
	for range 5 {
		_, err := hedge.Do(t.Context(), time.Millisecond, new(hedge.Budget), isFinal, slow, again)
		require.NoError(t, err)
	}
	require.Zero(t, copies.Load(), "an empty budget allows none")
}
