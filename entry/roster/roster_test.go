package roster_test

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/roster"
	"carawaymux.dev/fleet/port"
)

// shelf is a keyed topic that answers at once, unless it is away.
type shelf struct {
	mu      sync.Mutex
	entries []port.Record
	away    bool
	// slow is how long each call takes; it is set before the first.
	slow time.Duration
}

func (s *shelf) set(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

func (s *shelf) Append(_ context.Context, _ port.Stream, entries []port.Record, _ *port.Writer, _ int64) (int64, error) {
	time.Sleep(s.slow)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return 0, port.ErrBusy
	}
	for _, e := range entries {
		e.Offset = int64(len(s.entries))
		s.entries = append(s.entries, e)
	}
	return int64(len(s.entries)), nil
}

func (s *shelf) Read(_ context.Context, _ port.Stream, from int64, _ time.Duration) (port.Page, error) {
	time.Sleep(s.slow)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return port.Page{}, port.ErrBusy
	}
	return port.Page{Records: append([]port.Record(nil), s.entries[from:]...), End: int64(len(s.entries))}, nil
}

func (s *shelf) Newest(context.Context, port.Stream, string) (port.Page, error) {
	time.Sleep(s.slow)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return port.Page{}, port.ErrBusy
	}
	return port.Page{Records: append([]port.Record(nil), s.entries...), End: int64(len(s.entries))}, nil
}

func begin(t *testing.T, s *shelf, name string) *roster.Roster {
	r := roster.Start(s, roster.Heartbeat{Name: name, Zone: "z", Address: name, Incarnation: 1},
		slog.New(slog.NewJSONHandler(io.Discard, nil)), func(*roster.View) {})
	t.Cleanup(r.Close)
	return r
}

// After the loss of all entries each tenth of a second without owners is lost to
// callers.
func TestEntriesThatStartTogetherSettleSoonAndSeeOneAnother(t *testing.T) {
	s := &shelf{}
	a := begin(t, s, "a")
	time.Sleep(300 * time.Millisecond)
	b := begin(t, s, "b")
	require.Eventually(t, func() bool { return a.View().Settled }, 300*time.Millisecond, 5*time.Millisecond)
	require.Contains(t, a.View().Alive, "b")
	require.Eventually(t, func() bool { return b.View().Settled }, 600*time.Millisecond, 5*time.Millisecond)
}

func TestTheViewSaysThatTheStoreIsAway(t *testing.T) {
	s := &shelf{}
	a := begin(t, s, "a")
	require.Eventually(t, func() bool { return a.View().Settled }, time.Second, 5*time.Millisecond)
	require.Zero(t, a.View().StoreLostSince)
	s.set(true)
	require.Eventually(t, func() bool { return !a.View().StoreLostSince.IsZero() }, time.Second, 5*time.Millisecond)
	require.Contains(t, a.View().Alive, "a", "what was known stays known")
	s.set(false)
	require.Eventually(t, func() bool { return a.View().StoreLostSince.IsZero() }, time.Second, 5*time.Millisecond)
}

// While the store is slow a heartbeat and a read take longer than the pause between
// heartbeats; entries must not be taken for dead for that.
func TestASlowStoreIsNoSilence(t *testing.T) {
	s := &shelf{slow: 300 * time.Millisecond}
	a, b := begin(t, s, "a"), begin(t, s, "b")
	a.SetPools(map[string]int64{"pool": 1})
	owned := func() bool { return b.View().Owners["pool"].Name == "a" }
	require.Eventually(t, owned, 5*time.Second, 10*time.Millisecond)
	for range 400 {
		require.True(t, owned())
		time.Sleep(10 * time.Millisecond)
	}
}
