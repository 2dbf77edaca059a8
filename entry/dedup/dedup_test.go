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

func TestCopiesOfARequestRunOnceAndGetTheSameAnswer(t *testing.T) {
	registry := dedup.New()
	defer registry.Close()
	var runs atomic.Int64
	var group errgroup.Group
	for range 50 {
		group.Go(func() error {
			a := registry.Do(context.Background(), "id", "", func() work.Answer {
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

func TestUnknownIsFinalAndNotRunAllowsAnotherRun(t *testing.T) {
	registry := dedup.New()
	defer registry.Close()
	run := func(id string, a work.Answer) work.Answer {
		return registry.Do(context.Background(), id, "", func() work.Answer { return a })
	}
	run("lost", work.Unknown("cut"))
	require.Equal(t, wire.Unknown, run("lost", work.Answer{Outcome: wire.Done}).Outcome, "the request may have run, so no copy may run again")
	run("refused", work.NotRun("full"))
	require.Equal(t, wire.Done, run("refused", work.Answer{Outcome: wire.Done}).Outcome, "the request has not run, so a copy may run")
}

func TestDroppedAnswerIsUnknownAndNotRunAgain(t *testing.T) {
	registry := dedup.New()
	defer registry.Close()
	big := work.Answer{Outcome: wire.Done, Body: make([]byte, 3<<20)}
	for _, id := range []string{"a", "b"} {
		registry.Do(context.Background(), id, "", func() work.Answer { return big })
	}
	a := registry.Do(context.Background(), "a", "", func() work.Answer {
		t.Error("the request ran twice")
		return big
	})
	require.Equal(t, wire.Unknown, a.Outcome)
}

func TestIDRoundTripAndInvalidIDs(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	id := dedup.NewID("tp-a.e1", 42, now)
	parsed, err := dedup.ParseID(id.String())
	require.NoError(t, err)
	require.Equal(t, id, parsed)
	require.False(t, parsed.Expired(now.Add(dedup.IDLifetime)))
	require.True(t, parsed.Expired(now.Add(dedup.IDLifetime+time.Second)))
	for _, bad := range []string{"", "x", "e:1:2", "e:x:2:r", "e:1:x:r", "E!:1:2:r", "e:1:2:"} {
		_, err := dedup.ParseID(bad)
		require.Error(t, err, bad)
	}
}

// Guards against a team that gets the answer to another team's request, and against a request that runs twice because its caller
// began to send a key in between.
func TestTheIDOfAnotherTeamNeitherRunsNorGetsTheAnswer(t *testing.T) {
	registry := dedup.New()
	defer registry.Close()
	send := func(team string) work.Answer {
		return registry.Do(context.Background(), "a", team, func() work.Answer {
			return work.Answer{Outcome: wire.Done, Body: []byte(team)}
		})
	}
	require.Equal(t, "berths", string(send("berths").Body))
	for _, team := range []string{"", "quays"} {
		a := send(team)
		require.Equal(t, wire.Unknown, a.Outcome)
		require.Empty(t, a.Body)
	}
	require.Equal(t, "berths", string(send("berths").Body))
}
