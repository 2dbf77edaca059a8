package dedup_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"carawaymux.dev/entry/dedup"
	"carawaymux.dev/entry/work"
	"carawaymux.dev/fleet/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestCopiesOfARequestRunOnceAndGetOneAnswer(t *testing.T) {
	b := dedup.New()
	defer b.Close()
	var runs atomic.Int64
	var group errgroup.Group
	for range 50 {
		group.Go(func() error {
			a := b.Do(context.Background(), "id", func() work.Answer {
				runs.Add(1)
				time.Sleep(20 * time.Millisecond)
				return work.Answer{Outcome: wire.Done, Body: []byte("paid")}
			})
			require.Equal(t, "paid", string(a.Body))
			return nil
		})
	}
	require.NoError(t, group.Wait())
	require.EqualValues(t, 1, runs.Load())
}

func TestUnknownIsKeptAndNotRunMakesPlace(t *testing.T) {
	b := dedup.New()
	defer b.Close()
	run := func(id string, a work.Answer) work.Answer {
		return b.Do(context.Background(), id, func() work.Answer { return a })
	}
	run("lost", work.Unknown("cut"))
	require.Equal(t, wire.Unknown, run("lost", work.Answer{Outcome: wire.Done}).Outcome, "it may have run")
	run("refused", work.NotRun("full"))
	require.Equal(t, wire.Done, run("refused", work.Answer{Outcome: wire.Done}).Outcome, "it has not run")
}

func TestForgottenAnswerIsUnknownButNeverRunAgain(t *testing.T) {
	b := dedup.New()
	defer b.Close()
	big := work.Answer{Outcome: wire.Done, Body: make([]byte, 3<<20)}
	for _, id := range []string{"a", "b"} {
		b.Do(context.Background(), id, func() work.Answer { return big })
	}
	a := b.Do(context.Background(), "a", func() work.Answer {
		t.Error("it ran twice")
		return big
	})
	require.Equal(t, wire.Unknown, a.Outcome)
}

func TestIDsAreReadBackAndOthersRefused(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	id := dedup.NewID("tp-a.e1", 42, now)
	back, err := dedup.ParseID(id.String())
	require.NoError(t, err)
	require.Equal(t, id, back)
	require.False(t, back.Expired(now.Add(dedup.IDLifetime)))
	require.True(t, back.Expired(now.Add(dedup.IDLifetime+time.Second)))
	for _, bad := range []string{"", "x", "e:1:2", "e:x:2:r", "e:1:x:r", "E!:1:2:r", "e:1:2:"} {
		_, err := dedup.ParseID(bad)
		require.Error(t, err, bad)
	}
}
