package task_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"carawaymux.dev/fleet/task"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestCallReturnsReplyAndCloseWaitsForGoroutine(t *testing.T) {
	returned := false
	counter := task.Start(func(ctx context.Context, inbox <-chan chan<- int) {
		defer func() { returned = true }()
		for n := 0; ; n++ {
			select {
			case <-ctx.Done():
				return
			case reply := <-inbox:
				reply <- n
			}
		}
	})
	for want := range 3 {
		got, err := task.Call(context.Background(), counter, func(reply chan<- int) chan<- int { return reply })
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
	counter.Close()
	require.True(t, returned)
	_, err := task.Call(context.Background(), counter, func(reply chan<- int) chan<- int { return reply })
	require.ErrorIs(t, err, task.ErrClosed)
	require.False(t, counter.TrySend(nil))
}

func TestSendFailsIfInboxIsFullUntilDeadline(t *testing.T) {
	idle := task.Start(func(ctx context.Context, _ <-chan int) { <-ctx.Done() }, task.WithInbox(1))
	defer idle.Close()
	require.True(t, idle.TrySend(1))
	require.False(t, idle.TrySend(2), "the inbox is full")
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, idle.Send(ctx, 3), context.DeadlineExceeded)
}
