package owner

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/claim"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// emptyLog is a store that has no records and takes a millisecond for an append.
type emptyLog struct{ port.Log }

func (emptyLog) Append(context.Context, port.Stream, []port.Record, *port.Writer, int64) (int64, error) {
	time.Sleep(time.Millisecond)
	return 1, nil
}

func (emptyLog) Read(ctx context.Context, _ port.Stream, from int64, wait time.Duration) (port.Page, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return port.Page{End: from}, nil
}

func (emptyLog) Newest(context.Context, port.Stream, string) (port.Page, error) {
	return port.Page{}, nil
}

// roundCount asks for the number of rounds of planning since the delays were last logged.
type roundCount struct{ reply chan<- int }

func (m roundCount) handle(c *core) { m.reply <- c.delays.Rounds }

// Each message that arrived by itself led to a round of planning, about a hundred in a second on
// the small entries of an incident, where some take over 100 ms.
func TestMessagesThatKeepComingShareRoundsOfPlanning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := context.Background()
		acquired, err := claim.Acquire(ctx, emptyLog{}, "pool", "e", 1, 24)
		require.NoError(t, err)
		o := Start(Settings{Partitions: 24, Timing: shard.Timing{Lease: 5 * time.Second, Grace: 6 * time.Second}},
			Deps{Log: emptyLog{}, Logger: slog.New(slog.NewJSONHandler(io.Discard, nil))},
			acquired, &StoredState{}, nil, nil)
		defer o.Close()
		rounds := func() int {
			reply := make(chan int, 1)
			require.NoError(t, o.task.Send(ctx, queued{roundCount{reply}, time.Now()}))
			return <-reply
		}
		time.Sleep(80 * time.Millisecond)

		before := rounds()
		synctest.Wait()
		require.Equal(t, before+1, rounds(), "an owner with little to do acts at once")
		const messages = 500
		for range messages {
			time.Sleep(200 * time.Microsecond)
			rounds()
		}
		after := rounds()
		const longest = messages * 200 * time.Microsecond
		require.LessOrEqual(t, after-before, int(longest/minRoundPause)+2, "one round for each pause at most")
		require.GreaterOrEqual(t, after-before, int(longest/minRoundPause)/2, "messages that keep coming do not put rounds off")
	})
}

// Without a longer pause, an owner whose rounds take long does little else.
func TestPauseBetweenRoundsIsAsLongAsARound(t *testing.T) {
	for took, pause := range map[time.Duration]time.Duration{
		0:                      5 * time.Millisecond,
		time.Millisecond:       5 * time.Millisecond,
		20 * time.Millisecond:  20 * time.Millisecond,
		300 * time.Millisecond: 50 * time.Millisecond,
	} {
		require.Equal(t, pause, roundPause(took), "after a round of %v", took)
	}
}
