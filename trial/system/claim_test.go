package system

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/claim"
	"carawaymux.dev/entry/feed"
	"carawaymux.dev/entry/roster"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/platform/store"
	"carawaymux.dev/trial/fake"
	"carawaymux.dev/trial/procs"
)

// parts is the number of partitions of a topic.
const parts = 24

// storeOf starts a world and a client of its store.
func storeOf(t *testing.T) (context.Context, *fake.Platform, *store.Client) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	t.Cleanup(cancel)
	w, err := fake.New(fake.Layout{Timing: shape.Timing})
	require.NoError(t, err)
	t.Cleanup(w.Close)
	c := store.New(w.StoreAddress)
	t.Cleanup(c.Close)
	return ctx, w, c
}

func one(key string) []port.Record { return []port.Record{{Key: key, Value: []byte("v")}} }

func TestANewClaimShutsTheOlderOneOut(t *testing.T) {
	ctx, _, log := storeOf(t)
	first, err := claim.Acquire(ctx, log, "pool", "a", 1, parts)
	require.NoError(t, err)
	_, err = first.Append(ctx, one("pool/x"))
	require.NoError(t, err)
	second, err := claim.Acquire(ctx, log, "pool", "b", 2, parts)
	require.NoError(t, err)
	require.Greater(t, second.Epoch, first.Epoch)
	_, err = first.Append(ctx, one("pool/y"))
	require.ErrorIs(t, err, claim.ErrLost)
	var got []string
	require.NoError(t, second.Load(ctx, func(e port.Record) { got = append(got, e.Key) }))
	require.Equal(t, []string{"pool/x"}, got)
	// Another name is another claim.
	other, err := claim.Acquire(ctx, log, "else", "a", 1, parts)
	require.NoError(t, err)
	require.EqualValues(t, 1, other.Epoch)
}

func TestClaimsAtTheSameTimeGetDifferentEpochs(t *testing.T) {
	ctx, _, log := storeOf(t)
	type outcome struct {
		claim *claim.Claim
		err   error
	}
	out := make(chan outcome, 4)
	for i := range 4 {
		go func() {
			c, err := claim.Acquire(ctx, log, "pool", string(rune('a'+i)), int64(i), parts)
			out <- outcome{c, err}
		}()
	}
	epochs := map[int64]bool{}
	for range 4 {
		if o := <-out; o.err == nil {
			require.False(t, epochs[o.claim.Epoch])
			epochs[o.claim.Epoch] = true
		}
	}
	require.NotEmpty(t, epochs)
}

func TestAnAppendWhoseAnswerIsLostIsMadeOnce(t *testing.T) {
	ctx, w, log := storeOf(t)
	c, err := claim.Acquire(ctx, log, "pool", "a", 1, parts)
	require.NoError(t, err)
	w.SetStoreFaults(fake.StoreFaults{LoseEveryNth: 2})
	for i := range 6 {
		_, err := c.Append(ctx, one("pool/"+string(rune('a'+i))))
		require.NoError(t, err)
	}
	w.SetStoreFaults(fake.StoreFaults{})
	page, err := log.Read(ctx, claim.StateStream("pool", parts), 0, 0)
	require.NoError(t, err)
	require.Len(t, page.Records, 6)
}

func TestAReaderOfManyKeysMissesNone(t *testing.T) {
	ctx, w, log := storeOf(t)
	stream := port.Stream{Topic: "keyed.test"}
	var entries []port.Record
	for i := range 130 {
		entries = append(entries, port.Record{Key: string(rune('A'+i/26)) + string(rune('a'+i%26)), Value: []byte{1}})
	}
	_, err := log.Append(ctx, stream, entries, nil, -1)
	require.NoError(t, err)
	r := feed.NewReader(log, stream, time.Second)
	got, err := r.Poll(ctx, 0)
	require.NoError(t, err)
	require.Len(t, got, 130)
	_, err = log.Append(ctx, stream, []port.Record{{Key: "Aa"}, {Key: "new", Value: []byte{2}}}, nil, -1)
	require.NoError(t, err)
	got, err = r.Poll(ctx, 0)
	require.NoError(t, err)
	require.Len(t, got, 2)
	require.Nil(t, got[0].Value)
	w.SetStoreFaults(fake.StoreFaults{Busy: true})
	_, err = r.Poll(ctx, 0)
	require.ErrorIs(t, err, port.ErrBusy)
}

func TestAnEntryThatFallsSilentLosesItsPoolsAndAnOutageOfTheStoreIsNoSilence(t *testing.T) {
	ctx, w, log := storeOf(t)
	quiet := slog.New(slog.NewJSONHandler(io.Discard, nil))
	begin := func(name string) *roster.Roster {
		return roster.Start(log, roster.Heartbeat{Name: name, Zone: "z", Address: name, Incarnation: 1}, quiet, func(*roster.View) {})
	}
	a, b := begin("a"), begin("b")
	t.Cleanup(b.Close)
	a.SetPools(map[string]int64{"pool": 3})
	owner := func(want string) func(context.Context) error {
		return func(context.Context) error {
			if got := b.View().Owners["pool"].Name; got != want {
				return errOwner(got)
			}
			return nil
		}
	}
	require.NoError(t, procs.WaitFor(ctx, "a owns", owner("a")))
	w.SetStoreFaults(fake.StoreFaults{Busy: true})
	time.Sleep(3 * time.Second)
	w.SetStoreFaults(fake.StoreFaults{})
	for range 10 {
		require.NoError(t, owner("a")(ctx))
		time.Sleep(50 * time.Millisecond)
	}
	a.Close()
	require.NoError(t, procs.WaitFor(ctx, "nobody owns", owner("")))
}

type errOwner string

func (e errOwner) Error() string { return "owner is " + string(e) }
