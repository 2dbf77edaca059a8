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

func TestCallGetsItsReplyAndCloseWaits(t *testing.T) {
	ended := false
	echo := task.Start(func(ctx context.Context, inbox <-chan chan<- int) {
		defer func() { ended = true }()
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
		got, err := task.Call(context.Background(), echo, func(reply chan<- int) chan<- int { return reply })
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
	echo.Close()
	require.True(t, ended)
	_, err := task.Call(context.Background(), echo, func(reply chan<- int) chan<- int { return reply })
	require.ErrorIs(t, err, task.ErrClosed)
	require.False(t, echo.TrySend(nil))
}

func TestSendGivesUpWithItsContext(t *testing.T) {
	deaf := task.Start(func(ctx context.Context, _ <-chan int) { <-ctx.Done() }, task.WithInbox(1))
	defer deaf.Close()
	require.True(t, deaf.TrySend(1))
	require.False(t, deaf.TrySend(2), "the mailbox is full")
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, deaf.Send(ctx, 3), context.DeadlineExceeded)
}
