package roster_test

import (
	"context"
	"io"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/roster"
	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/port"
)

// fakeStore is an in-memory keyed topic. While unavailable is set, its calls fail.
type fakeStore struct {
	mu          sync.Mutex
	records     []port.Record
	unavailable bool
	// delay is the duration of each call. It must be set before the first call.
	delay time.Duration
}

func (s *fakeStore) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
}

func (s *fakeStore) Append(_ context.Context, _ port.Stream, records []port.Record, _ *port.Writer, _ int64) (int64, error) {
	time.Sleep(s.delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return 0, port.ErrBusy
	}
	for _, r := range records {
		r.Offset = int64(len(s.records))
		s.records = append(s.records, r)
	}
	return int64(len(s.records)), nil
}

func (s *fakeStore) Read(_ context.Context, _ port.Stream, from int64, _ time.Duration) (port.Page, error) {
	time.Sleep(s.delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return port.Page{}, port.ErrBusy
	}
	return port.Page{Records: append([]port.Record(nil), s.records[from:]...), End: int64(len(s.records))}, nil
}

func (s *fakeStore) Newest(context.Context, port.Stream, string) (port.Page, error) {
	time.Sleep(s.delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return port.Page{}, port.ErrBusy
	}
	return port.Page{Records: append([]port.Record(nil), s.records...), End: int64(len(s.records))}, nil
}

func startRoster(t *testing.T, s *fakeStore, name string) *roster.Roster {
	return startRosterOn(t, s, name)
}

func startRosterOn(t *testing.T, s port.Log, name string) *roster.Roster {
	r := roster.Start(s, roster.Heartbeat{Name: name, Zone: "z", Address: name, Incarnation: 1},
		slog.New(slog.NewJSONHandler(io.Discard, nil)), func(*roster.View) {})
	t.Cleanup(r.Close)
	return r
}

// After a restart of all entries, callers wait until the view is settled and pools have owners.
// Entries that start within 300 ms of each other must settle soon and see each other.
func TestEntriesStartedTogetherSettleAndSeeEachOther(t *testing.T) {
	s := &fakeStore{}
	a := startRoster(t, s, "a")
	time.Sleep(300 * time.Millisecond)
	b := startRoster(t, s, "b")
	require.Eventually(t, func() bool { return a.View().Settled }, 300*time.Millisecond, 5*time.Millisecond)
	require.Contains(t, a.View().Alive, "b")
	require.Eventually(t, func() bool { return b.View().Settled }, 600*time.Millisecond, 5*time.Millisecond)
}

func TestViewReportsThatTheStoreIsLost(t *testing.T) {
	s := &fakeStore{}
	a := startRoster(t, s, "a")
	require.Eventually(t, func() bool { return a.View().Settled }, time.Second, 5*time.Millisecond)
	require.Zero(t, a.View().StoreLostSince)
	s.setUnavailable(true)
	require.Eventually(t, func() bool { return !a.View().StoreLostSince.IsZero() }, time.Second, 5*time.Millisecond)
	require.Contains(t, a.View().Alive, "a", "the last known entries stay in the view")
	s.setUnavailable(false)
	require.Eventually(t, func() bool { return a.View().StoreLostSince.IsZero() }, time.Second, 5*time.Millisecond)
}

// While the store is slow, a heartbeat and a read take longer than the heartbeat interval. Entries
// must not count as dead because of that.
func TestEntriesStayAliveWhileTheStoreIsSlow(t *testing.T) {
	s := &fakeStore{delay: 300 * time.Millisecond}
	a, b := startRoster(t, s, "a"), startRoster(t, s, "b")
	a.SetPools(map[string]int64{"pool": 1})
	owned := func() bool { return b.View().Owners["pool"].Name == "a" }
	require.Eventually(t, owned, 5*time.Second, 10*time.Millisecond)
	for range 400 {
		require.True(t, owned())
		time.Sleep(10 * time.Millisecond)
	}
}

// olderHeartbeat is [roster.Heartbeat] as versions before the capacity wrote it.
type olderHeartbeat struct {
	Name        string           `cbor:"1,keyasint"`
	Zone        string           `cbor:"2,keyasint"`
	Address     string           `cbor:"3,keyasint"`
	Incarnation int64            `cbor:"4,keyasint"`
	Seq         int64            `cbor:"5,keyasint"`
	Pools       map[string]int64 `cbor:"6,keyasint,omitempty"`
	Leaving     bool             `cbor:"7,keyasint,omitempty"`
}

func TestHeartbeatsOfOlderAndNewerVersionsAreUnderstood(t *testing.T) {
	s := &fakeStore{}
	older := olderHeartbeat{Name: "old", Zone: "z", Address: "old", Incarnation: 1, Seq: 1, Pools: map[string]int64{"pool": 3}}
	value, err := codec.EncodeFrame(older)
	require.NoError(t, err)
	_, err = s.Append(t.Context(), port.Stream{}, []port.Record{{Key: "old", Value: value}}, nil, -1)
	require.NoError(t, err)
	r := roster.Start(s, roster.Heartbeat{Name: "new", Zone: "z", Address: "new", Incarnation: 1, Capacity: 800},
		slog.New(slog.NewJSONHandler(io.Discard, nil)), func(*roster.View) {})
	t.Cleanup(r.Close)
	require.Eventually(t, func() bool { return len(r.View().Alive) == 2 }, time.Second, 5*time.Millisecond)
	view := r.View()
	require.Equal(t, "old", view.Owners["pool"].Name)
	require.Zero(t, view.Alive["old"].Capacity)
	require.Equal(t, 800, view.Alive["new"].Capacity)

	value, err = codec.EncodeFrame(roster.Heartbeat{Name: "old", Zone: "z", Address: "old", Incarnation: 1, Seq: 1,
		Pools: map[string]int64{"pool": 3}, Capacity: 800})
	require.NoError(t, err)
	got, err := codec.DecodeFrame[olderHeartbeat](value)
	require.NoError(t, err)
	require.Equal(t, older, got)
}

// blockedStore is a store whose appends wait until the channel is closed.
type blockedStore struct {
	*fakeStore
	unblocked chan struct{}
}

func (s blockedStore) Append(ctx context.Context, stream port.Stream, records []port.Record, w *port.Writer, end int64) (int64, error) {
	select {
	case <-s.unblocked:
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	return s.fakeStore.Append(ctx, stream, records, w, end)
}

// Guards against an entry that announces a pool that it has released. The change arrived while the inbox
// of the roster was full, during a slow call of the store, and was dropped.
func TestTheLastChangeOfOwnedPoolsIsAnnouncedAfterTheStoreWasSlow(t *testing.T) {
	s := blockedStore{&fakeStore{}, make(chan struct{})}
	r := roster.Start(s, roster.Heartbeat{Name: "a", Zone: "z", Address: "a", Incarnation: 1},
		slog.New(slog.NewJSONHandler(io.Discard, nil)), func(*roster.View) {})
	t.Cleanup(r.Close)
	for epoch := range 200 {
		r.SetPools(map[string]int64{"pool": int64(epoch + 1)})
	}
	r.SetPools(map[string]int64{"other": 1})
	close(s.unblocked)
	announced := func() map[string]int64 { return r.View().Alive["a"].Pools }
	require.Eventually(t, func() bool { return announced()["other"] == 1 }, 2*time.Second, 10*time.Millisecond)
	require.NotContains(t, announced(), "pool")
}

func TestAnEntryThatLeavesAnnouncesNoPools(t *testing.T) {
	s := &fakeStore{}
	r := startRoster(t, s, "a")
	r.SetPools(map[string]int64{"pool": 1})
	require.NoError(t, r.Leave(t.Context()))
	r.SetPools(map[string]int64{"pool": 2})
	time.Sleep(500 * time.Millisecond)
	page, err := s.Read(t.Context(), port.Stream{}, 0, 0)
	require.NoError(t, err)
	hb, err := codec.DecodeFrame[roster.Heartbeat](page.Records[len(page.Records)-1].Value)
	require.NoError(t, err)
	require.True(t, hb.Leaving)
	require.Empty(t, hb.Pools)
}

// appends returns the number of heartbeats that each entry has written.
func (s *fakeStore) appends() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int{}
	for _, r := range s.records {
		out[r.Key]++
	}
	return out
}

// startZone starts a number of entries in one zone. Those with the lowest names are the strongest.
func startZone(t *testing.T, s *fakeStore, count int) map[string]*roster.Roster {
	out := map[string]*roster.Roster{}
	for i := range count {
		name := string(rune('a' + i))
		out[name] = roster.Start(s, roster.Heartbeat{Name: name, Zone: "z", Address: name, Incarnation: 1, Capacity: 800 - 10*i, Link: 100},
			slog.New(slog.NewJSONHandler(io.Discard, nil)), func(*roster.View) {})
		t.Cleanup(out[name].Close)
	}
	return out
}

func members(entries map[string]*roster.Roster) []string {
	var out []string
	for name, r := range entries {
		if r.View().Member {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Each entry wrote a heartbeat and read those of all others 2.5 times a second, so bytes grew with the
// square of the entries.
func TestOnlyTheStrongestEntriesWriteHeartbeats(t *testing.T) {
	s := &fakeStore{}
	entries := startZone(t, s, 12)
	want := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	require.Eventually(t, func() bool { return slices.Equal(members(entries), want) }, 5*time.Second, 10*time.Millisecond)
	time.Sleep(500 * time.Millisecond)
	before := s.appends()
	time.Sleep(1500 * time.Millisecond)
	after := s.appends()
	for name := range entries {
		require.Equal(t, slices.Contains(want, name), after[name] > before[name], name)
		require.Len(t, entries[name].View().Alive, len(want), "%s sees the members and no others", name)
	}
}

// When a fleet restarts, entries that are not members must not do the work of members until they notice.
func TestTheFirstSettledViewShowsWhetherAnEntryIsAMember(t *testing.T) {
	s := &fakeStore{}
	type seen struct{ settled, member bool }
	views := make([]chan seen, 12)
	for i := range views {
		views[i] = make(chan seen, 1000)
		name := string(rune('a' + i))
		r := roster.Start(s, roster.Heartbeat{Name: name, Zone: "z", Address: name, Incarnation: 1, Capacity: 800 - 10*i, Link: 100},
			slog.New(slog.NewJSONHandler(io.Discard, nil)), func(v *roster.View) { views[i] <- seen{v.Settled, v.Member} })
		t.Cleanup(r.Close)
	}
	for i := range views {
		for v := range views[i] {
			if v.settled {
				require.Equal(t, i < 8, v.member, "entry %d", i)
				break
			}
			require.False(t, v.member)
		}
	}
}

func TestEntriesThatOwnPoolsStayMembers(t *testing.T) {
	s := &fakeStore{}
	entries := startZone(t, s, 10)
	entries["j"].SetPools(map[string]int64{"pool": 1})
	require.Eventually(t, func() bool { return len(members(entries)) == 9 }, 5*time.Second, 10*time.Millisecond)
	for range 100 {
		require.Equal(t, "j", entries["a"].View().Owners["pool"].Name)
		time.Sleep(10 * time.Millisecond)
	}
	entries["j"].SetPools(nil)
	require.Eventually(t, func() bool { return len(members(entries)) == 8 }, 5*time.Second, 10*time.Millisecond)
}

func TestOtherEntriesBecomeMembersWhenAllMembersDie(t *testing.T) {
	s := &fakeStore{}
	entries := startZone(t, s, 12)
	require.Eventually(t, func() bool { return len(members(entries)) == 8 }, 5*time.Second, 10*time.Millisecond)
	for _, name := range members(entries) {
		entries[name].Close()
		delete(entries, name)
	}
	require.Eventually(t, func() bool { return len(members(entries)) == 4 }, 5*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool { return len(entries["l"].View().Alive) == 4 }, 5*time.Second, 10*time.Millisecond)
}

// The time since which the store is lost tells whether an owner could not be reached since then. An entry
// that writes no heartbeats moved it on with each read that failed, and reported itself ready in between.
func TestTheTimeOfTheLossOfTheStoreStays(t *testing.T) {
	s := &fakeStore{}
	entries := startZone(t, s, 12)
	require.Eventually(t, func() bool { return len(members(entries)) == 8 }, 5*time.Second, 10*time.Millisecond)
	s.setUnavailable(true)
	for _, name := range []string{"a", "l"} {
		r := entries[name]
		require.Eventually(t, func() bool { return !r.View().StoreLostSince.IsZero() }, 3*time.Second, 5*time.Millisecond, name)
		lost := r.View().StoreLostSince
		for range 100 {
			require.Equal(t, lost, r.View().StoreLostSince, name)
			time.Sleep(10 * time.Millisecond)
		}
	}
	s.setUnavailable(false)
	require.Eventually(t, func() bool { return entries["l"].View().StoreLostSince.IsZero() }, 3*time.Second, 5*time.Millisecond)
}

// An entry that reads seldom has to see a new owner at once when it asks for a new view.
func TestRefreshReadsAtOnce(t *testing.T) {
	s := &fakeStore{}
	entries := startZone(t, s, 12)
	require.Eventually(t, func() bool { return len(members(entries)) == 8 }, 5*time.Second, 10*time.Millisecond)
	for epoch := range int64(5) {
		entries["a"].SetPools(map[string]int64{"pool": epoch + 1})
		time.Sleep(200 * time.Millisecond)
		require.Equal(t, epoch+1, entries["l"].Refresh(t.Context()).Owners["pool"].Epoch)
	}
}
