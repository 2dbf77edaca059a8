package intake_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/intake"
	"carawaymux.dev/fleet/port"
)

// serialLog carries out one append at a time. Appends wait until the test releases them.
type serialLog struct {
	port.Log
	appends atomic.Int64
	release chan error
	mu      sync.Mutex
	records []port.Record
}

func (l *serialLog) Append(ctx context.Context, _ port.Stream, records []port.Record, _ *port.Writer, _ int64) (int64, error) {
	l.appends.Add(1)
	select {
	case err := <-l.release:
		if err == nil {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.records = append(l.records, records...)
		}
		return 0, err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// Guards against a slow store that gets an append for each submission, one after the other, until it refuses them as busy.
func TestSubmissionsToAnInboxShareAppends(t *testing.T) {
	const submissions = 100
	l := &serialLog{release: make(chan error)}
	w := intake.StartInboxWriter(l, 0)
	t.Cleanup(w.Close)
	stream := port.Stream{Topic: "keyed.in", Part: 3}
	results := make(chan error, submissions)
	send := func(i int) {
		results <- w.Append(t.Context(), stream, port.Record{Key: fmt.Sprint(i), Value: []byte{1}})
	}
	go send(0)
	require.Eventually(t, func() bool { return l.appends.Load() == 1 }, 10*time.Second, time.Millisecond)
	for i := 1; i < submissions; i++ {
		go send(i)
	}
	time.Sleep(50 * time.Millisecond) // The submissions reach the task while the first append is in flight.
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case l.release <- nil:
			case <-stop:
				return
			}
		}
	}()
	for range submissions {
		require.NoError(t, <-results)
	}
	close(stop)
	require.Len(t, l.records, submissions)
	require.Less(t, l.appends.Load(), int64(submissions/2))
}

// Guards against a batch that is larger than the store takes, against a failed append that fails later ones, and against records of
// callers that have given up before anything was sent.
func TestAnInboxAppendStaysWithinLimitsAndFailsAlone(t *testing.T) {
	l := &serialLog{release: make(chan error)}
	w := intake.StartInboxWriter(l, 600)
	t.Cleanup(w.Close)
	results := make(chan error, 4)
	gone, cancel := context.WithCancel(t.Context())
	send := func(ctx context.Context, key string) {
		results <- w.Append(ctx, port.Stream{}, port.Record{Key: key, Value: make([]byte, 250)})
	}
	go send(t.Context(), "first")
	require.Eventually(t, func() bool { return l.appends.Load() == 1 }, 10*time.Second, time.Millisecond)
	go send(gone, "gone")
	time.Sleep(20 * time.Millisecond)
	cancel()
	require.ErrorIs(t, <-results, context.Canceled)
	for _, key := range []string{"a", "b", "c"} {
		go send(t.Context(), key)
	}
	time.Sleep(50 * time.Millisecond) // The submissions reach the task while the first append is in flight.
	l.release <- port.ErrBusy
	require.ErrorIs(t, <-results, port.ErrBusy)
	l.release <- nil
	l.release <- nil
	for range 3 {
		require.NoError(t, <-results)
	}
	require.EqualValues(t, 3, l.appends.Load())
	require.Len(t, l.records, 3)
	for _, r := range l.records {
		require.NotEqual(t, "gone", r.Key)
	}
}
