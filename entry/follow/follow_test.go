package follow_test

import (
	"context"
	"errors"
	"log/slog"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/follow"
	"carawaymux.dev/fleet/budget"
	"carawaymux.dev/fleet/client"
	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/ledger"
	"carawaymux.dev/fleet/plat"
	"carawaymux.dev/fleet/record"
)

// unreachableLog returns a client of an address at which no log listens.
func unreachableLog() *plat.Client { return plat.New("http://127.0.0.1:1", "http://127.0.0.1:1") }

// records returns n encoded records.
func records(t *testing.T, n int) []plat.Record {
	var out []plat.Record
	for i := range n {
		raw, err := codec.EncodeRecord(client.NewRecord("t", "b", uint64(i), budget.Spec{MaxUnavailable: i}))
		require.NoError(t, err)
		out = append(out, plat.Record{Offset: uint64(i), Data: raw})
	}
	return out
}

// snapshotOf returns the encoded state after some records have been applied.
func snapshotOf(t *testing.T, items []plat.Record) []byte {
	s := ledger.New()
	for _, r := range items {
		_, err := s.Apply(codec.DecodeEntry(r.Offset, r.Data))
		require.NoError(t, err)
	}
	raw, err := codec.EncodeSnapshot(s.Snapshot())
	require.NoError(t, err)
	return raw
}

func startFollower(t *testing.T, c *plat.Client, fetch follow.Fetcher) *follow.Follower {
	f := follow.New(c, follow.WithFetcher(fetch), follow.WithLogger(slog.New(slog.DiscardHandler)),
		follow.WithPoll(50*time.Millisecond))
	t.Cleanup(f.Close)
	return f
}

func waitOffset(t *testing.T, f *follow.Follower, offset uint64) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	require.NoError(t, f.WaitOffset(ctx, offset))
}

func TestStalePeerCannotRollBackState(t *testing.T) {
	items := records(t, 30)
	answers := make(chan follow.Fetched, 16)
	f := startFollower(t, unreachableLog(), func(context.Context, uint64) (follow.Fetched, error) {
		select {
		case a := <-answers:
			return a, nil
		default:
			return follow.Fetched{}, errors.New("no peer")
		}
	})
	answers <- follow.Fetched{Peer: "new", Trusted: true, Next: 30, Snapshot: snapshotOf(t, items)}
	waitOffset(t, f, 30)
	answers <- follow.Fetched{Peer: "old", Trusted: true, Next: 10, Snapshot: snapshotOf(t, items[:10])}
	answers <- follow.Fetched{Peer: "old", Trusted: true, Next: 10, Records: items[:10]}
	require.Eventually(t, func() bool { return len(answers) == 0 }, 20*time.Second, 10*time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	p, err := f.Progress(context.Background())
	require.NoError(t, err)
	require.EqualValues(t, 30, p.Offset)
	got, err := follow.Ask(context.Background(), f, func(s *ledger.State) int { return s.Budgets["b"].Spec.MaxUnavailable })
	require.NoError(t, err)
	require.Equal(t, 29, got)
}

func TestStateFromAnotherZoneIsNotTrusted(t *testing.T) {
	items := records(t, 5)
	f := startFollower(t, unreachableLog(), func(context.Context, uint64) (follow.Fetched, error) {
		return follow.Fetched{Peer: "far", Next: 5, Snapshot: snapshotOf(t, items)}, nil
	})
	waitOffset(t, f, 5)
	p, err := f.Progress(context.Background())
	require.NoError(t, err)
	require.True(t, p.Configured)
	require.False(t, p.Trusted)
}

func TestTruncatedLogNeedsASnapshot(t *testing.T) {
	log := newLog(t, 4)
	for _, r := range records(t, 10) {
		_, err := log.Append(context.Background(), plat.StreamMain, r.Data)
		require.NoError(t, err)
	}
	f := startFollower(t, log, nil)
	time.Sleep(300 * time.Millisecond)
	p, err := f.Progress(context.Background())
	require.NoError(t, err)
	require.False(t, p.Configured, "a log that starts past offset 0 is not an empty fleet")
	parts, err := codec.SplitSnapshot(8, snapshotOf(t, records(t, 8)))
	require.NoError(t, err)
	for _, part := range parts {
		_, err := log.Append(context.Background(), plat.StreamSnapshots, part)
		require.NoError(t, err)
	}
	waitOffset(t, f, 10)
}

func TestCheckpointWithAnotherHashMarksDivergence(t *testing.T) {
	log := newLog(t, 0)
	f := startFollower(t, log, nil)
	items := records(t, 64)
	for _, r := range items {
		_, err := log.Append(context.Background(), plat.StreamMain, r.Data)
		require.NoError(t, err)
	}
	waitOffset(t, f, 64)
	p, err := f.Progress(context.Background())
	require.NoError(t, err)
	require.EqualValues(t, 64, p.HashOffset)
	require.Equal(t, codec.Hash(snapshotOf(t, items)), p.Hash)
	publish := func(r record.Record) {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		v, err := f.Publish(ctx, r)
		require.NoError(t, err)
		require.Equal(t, record.Accepted, v.Result, v.Reason)
	}
	publish(client.NewRecord("a", "", 0, claim("a")))
	check := client.NewRecord("a", "", 0, ledger.Checkpoint{AsOf: 64, Hash: "0000000000000000"})
	fence, err := follow.Ask(context.Background(), f, func(s *ledger.State) uint64 { return s.Lease.Fence })
	require.NoError(t, err)
	check.Fence = fence
	publish(check)
	p, err = f.Progress(context.Background())
	require.NoError(t, err)
	require.True(t, p.Diverged)
}

func TestPublishErrorNamesTheAppendStep(t *testing.T) {
	f := startFollower(t, unreachableLog(), nil)
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err := f.Publish(ctx, client.NewRecord("a", "b", 0, budget.Spec{}))
	require.ErrorContains(t, err, "append")
}

// newLog starts a log service that keeps the last retain records; 0 keeps all.
func newLog(t *testing.T, retain int) *plat.Client {
	server := httptest.NewServer(logHandler(t, retain))
	t.Cleanup(server.Close)
	c := plat.New(server.URL, server.URL)
	t.Cleanup(c.Close)
	return c
}
