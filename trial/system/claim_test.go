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

// parts is the number of partitions of each topic.
const parts = 24

// startStore starts a simulated platform and a client of its metadata store.
func startStore(t *testing.T) (context.Context, *fake.Platform, *store.Client) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	t.Cleanup(cancel)
	platform, err := fake.New(fake.Layout{Timing: layout.Timing})
	require.NoError(t, err)
	t.Cleanup(platform.Close)
	c := store.New(platform.StoreAddress)
	t.Cleanup(c.Close)
	return ctx, platform, c
}

func oneRecord(key string) []port.Record { return []port.Record{{Key: key, Value: []byte("v")}} }

func TestNewClaimFencesTheOlderOne(t *testing.T) {
	ctx, _, log := startStore(t)
	first, err := claim.Acquire(ctx, log, "pool", "a", 1, parts)
	require.NoError(t, err)
	_, err = first.Append(ctx, oneRecord("pool/x"))
	require.NoError(t, err)
	second, err := claim.Acquire(ctx, log, "pool", "b", 2, parts)
	require.NoError(t, err)
	require.Greater(t, second.Epoch, first.Epoch)
	_, err = first.Append(ctx, oneRecord("pool/y"))
	require.ErrorIs(t, err, claim.ErrLost)
	var got []string
	require.NoError(t, second.Load(ctx, func(e port.Record) { got = append(got, e.Key) }))
	require.Equal(t, []string{"pool/x"}, got)
	// Claims of different names are independent.
	other, err := claim.Acquire(ctx, log, "else", "a", 1, parts)
	require.NoError(t, err)
	require.EqualValues(t, 1, other.Epoch)
}

func TestConcurrentClaimsGetDifferentEpochs(t *testing.T) {
	ctx, _, log := startStore(t)
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

func TestAppendWithLostAnswerIsAppliedOnce(t *testing.T) {
	ctx, platform, log := startStore(t)
	c, err := claim.Acquire(ctx, log, "pool", "a", 1, parts)
	require.NoError(t, err)
	platform.SetStoreFaults(fake.StoreFaults{LoseEveryNth: 2})
	for i := range 6 {
		_, err := c.Append(ctx, oneRecord("pool/"+string(rune('a'+i))))
		require.NoError(t, err)
	}
	platform.SetStoreFaults(fake.StoreFaults{})
	page, err := log.Read(ctx, claim.StateStream("pool", parts), 0, 0)
	require.NoError(t, err)
	require.Len(t, page.Records, 6)
}

func TestReaderReadsEveryKeyAndReportsABusyStore(t *testing.T) {
	ctx, platform, log := startStore(t)
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
	platform.SetStoreFaults(fake.StoreFaults{Busy: true})
	_, err = r.Poll(ctx, 0)
	require.ErrorIs(t, err, port.ErrBusy)
}

// A store outage must not look like the silence of an entry: pools would lose their owners although
// all entries are alive. An entry that stops its heartbeats does lose its pools.
func TestSilentEntryLosesItsPoolsButAStoreOutageIsNoSilence(t *testing.T) {
	ctx, platform, log := startStore(t)
	discard := slog.New(slog.NewJSONHandler(io.Discard, nil))
	startRoster := func(name string) *roster.Roster {
		return roster.Start(log, roster.Heartbeat{Name: name, Zone: "z", Address: name, Incarnation: 1}, discard, func(*roster.View) {})
	}
	a, b := startRoster("a"), startRoster("b")
	t.Cleanup(b.Close)
	a.SetPools(map[string]int64{"pool": 3})
	owner := func(want string) func(context.Context) error {
		return func(context.Context) error {
			if got := b.View().Owners["pool"].Name; got != want {
				return unexpectedOwnerError(got)
			}
			return nil
		}
	}
	require.NoError(t, procs.WaitFor(ctx, "entry a owns the pool", owner("a")))
	platform.SetStoreFaults(fake.StoreFaults{Busy: true})
	time.Sleep(3 * time.Second)
	platform.SetStoreFaults(fake.StoreFaults{})
	for range 10 {
		require.NoError(t, owner("a")(ctx))
		time.Sleep(50 * time.Millisecond)
	}
	a.Close()
	require.NoError(t, procs.WaitFor(ctx, "no entry owns the pool", owner("")))
}

type unexpectedOwnerError string

func (e unexpectedOwnerError) Error() string { return "the pool's owner is " + string(e) }
