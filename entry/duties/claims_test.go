package duties_test

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/claim"
	"carawaymux.dev/entry/duties"
	"carawaymux.dev/entry/roster"
	"carawaymux.dev/fleet/port"
)

// fakeStore is an in-memory store. It fences no writers.
type fakeStore struct {
	mu      sync.Mutex
	streams map[port.Stream][]port.Record
}

func (s *fakeStore) Append(_ context.Context, stream port.Stream, records []port.Record, _ *port.Writer, expectedEnd int64) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := int64(len(s.streams[stream]))
	if expectedEnd >= 0 && expectedEnd != end {
		return 0, &port.EndMismatchError{}
	}
	for _, r := range records {
		r.Offset = int64(len(s.streams[stream]))
		s.streams[stream] = append(s.streams[stream], r)
	}
	return int64(len(s.streams[stream])), nil
}

func (s *fakeStore) Read(_ context.Context, stream port.Stream, from int64, _ time.Duration) (port.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := s.streams[stream]
	return port.Page{Records: slices.Clone(records[from:]), End: int64(len(records))}, nil
}

func (s *fakeStore) Newest(_ context.Context, stream port.Stream, _ string) (port.Page, error) {
	return s.Read(context.Background(), stream, 0, 0)
}

// startEntry starts the duties of an entry with one pool.
func startEntry(t *testing.T, s *fakeStore, name string, capacity int, prepare duties.PrepareFunc) *roster.Roster {
	logger := slog.New(slog.DiscardHandler)
	var r *roster.Roster
	d := duties.Start(duties.Settings{Entry: name, Incarnation: 1, Partitions: 1, Pools: prepare}, s, logger,
		func(owned map[string]int64, claimed []string) { r.SetDuties(owned, claimed) })
	started := make(chan struct{})
	r = roster.Start(s, roster.Heartbeat{Name: name, Zone: "z", Address: name, Incarnation: 1, Capacity: capacity}, logger,
		func(v *roster.View) {
			<-started
			_ = d.UpdateView(t.Context(), v)
		})
	r.SetPoolCount(1)
	close(started)
	require.NoError(t, d.Configure(t.Context(), &port.Config{Version: 1, Queues: []port.Queue{{Name: "queue", Pool: "pool"}}}))
	t.Cleanup(func() { r.Close(); d.Close() })
	return r
}

// Guards against a pool that has no owner for long because each entry that comes claims it while another one
// is still reading its state.
func TestAPoolIsNotClaimedWhileAnotherEntryReadsItsState(t *testing.T) {
	s := &fakeStore{streams: map[port.Stream][]port.Record{}}
	reading, finish, stolen := make(chan struct{}), make(chan struct{}), make(chan struct{}, 16)
	startEntry(t, s, "weak", 400, func(context.Context, *claim.Claim) (duties.StartFunc, error) {
		close(reading)
		<-finish
		return startIdle, nil
	})
	<-reading
	strong := startEntry(t, s, "strong", 800, func(context.Context, *claim.Claim) (duties.StartFunc, error) {
		stolen <- struct{}{}
		return startIdle, nil
	})
	require.Eventually(t, func() bool { return strong.View().Settled }, 5*time.Second, 5*time.Millisecond)
	select {
	case <-stolen:
		t.Error("the pool was claimed while another entry read its state")
	case <-time.After(2 * time.Second):
	}
	close(finish)
	require.Eventually(t, func() bool {
		return strong.View().Owners["pool"] == roster.Owner{Name: "weak", Address: "weak", Epoch: 1}
	}, 5*time.Second, 5*time.Millisecond)
}

// Guards against a pool that stays without an owner after the entry that was reading its state is gone.
func TestAPoolIsClaimedOnceTheEntryThatReadItsStateHasGone(t *testing.T) {
	s := &fakeStore{streams: map[port.Stream][]port.Record{}}
	reading, taken := make(chan struct{}), make(chan struct{})
	gone := startEntry(t, s, "gone", 800, func(ctx context.Context, _ *claim.Claim) (duties.StartFunc, error) {
		close(reading)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	<-reading
	startEntry(t, s, "next", 400, func(context.Context, *claim.Claim) (duties.StartFunc, error) {
		close(taken)
		return startIdle, nil
	})
	gone.Close()
	select {
	case <-taken:
	case <-time.After(8 * time.Second):
		t.Error("the pool has no owner")
	}
}

// Guards against a pool that never has an owner: each entry gave the reading of a large state up after four
// seconds, and it was started over under a newer claim.
func TestAStateThatTakesLongToReadIsReadToItsEnd(t *testing.T) {
	s := &fakeStore{streams: map[port.Stream][]port.Record{}}
	ended := make(chan error, 1)
	startEntry(t, s, "slow", 400, func(ctx context.Context, _ *claim.Claim) (duties.StartFunc, error) {
		select {
		case <-ctx.Done():
			ended <- ctx.Err()
			return nil, ctx.Err()
		case <-time.After(5 * time.Second):
			ended <- nil
			return startIdle, nil
		}
	})
	require.NoError(t, <-ended)
}
