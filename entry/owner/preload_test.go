package owner

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/claim"
	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// changingStore holds one stream, of which pages show few records each and are no snapshot: more is written before
// each page is read.
type changingStore struct {
	mu      sync.Mutex
	records []port.Record
	write   func()
	// reversed is set if the keys of pages are in descending order, and onlyKnown if there are no pages after a key that
	// was never written.
	reversed, onlyKnown bool
	// kept is the offset of the first record that can be read.
	kept int64
}

func (s *changingStore) Append(_ context.Context, _ port.Stream, _ []port.Record, _ *port.Writer, _ int64) (int64, error) {
	return int64(len(s.records)), nil
}

func (s *changingStore) Read(_ context.Context, _ port.Stream, from int64, _ time.Duration) (port.Page, error) {
	if from < s.kept {
		return port.Page{}, &port.GoneError{First: s.kept}
	}
	end := min(from+7, int64(len(s.records)))
	return port.Page{Records: slices.Clone(s.records[from:end]), End: int64(len(s.records))}, nil
}

func (s *changingStore) Newest(_ context.Context, stream port.Stream, after string) (port.Page, error) {
	if stream == claim.Stream {
		return port.Page{}, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	page := port.Page{End: int64(len(s.records))}
	newest := map[string]port.Record{}
	for _, r := range s.records {
		newest[r.Key] = r
	}
	follows := func(a, b string) bool { return b == "" || (a > b) != s.reversed }
	if _, ok := newest[after]; s.onlyKnown && after != "" && !ok {
		return page, nil
	}
	for key, r := range newest {
		if follows(key, after) && r.Value != nil {
			page.Records = append(page.Records, r)
		}
	}
	slices.SortFunc(page.Records, func(a, b port.Record) int { return map[bool]int{true: 1, false: -1}[follows(a.Key, b.Key)] })
	page.More = len(page.Records) > 5
	page.Records = page.Records[:min(len(page.Records), 5)]
	s.write()
	return page, nil
}

// put appends a record, or one without a value.
func (s *changingStore) put(key string, value []byte) {
	s.records = append(s.records, port.Record{Key: key, Value: value, Offset: int64(len(s.records))})
}

// putAny appends a random record of a pool, or of another one.
func (s *changingStore) putAny(t *testing.T, r *rand.Rand) {
	encode := func(v any) []byte {
		raw, err := codec.EncodeFrame(v)
		require.NoError(t, err)
		return raw
	}
	pool := []string{"pool", "pool", "pool", "pools"}[r.IntN(4)]
	id, number := fmt.Sprintf("%02d", r.IntN(20)*5), r.IntN(3)
	key, value := pool+keySpec+id, encode(batch.Spec{Queue: "q", AcceptedMS: r.Int64N(1000) + 1, Steps: []batch.Step{{Count: 1, Estimate: time.Second}}})
	switch r.IntN(5) {
	case 0:
		key, value = pool+keyProgress+id, encode(shard.Progress{Phase: []shard.Phase{shard.Open, shard.Completed, shard.Cancelled}[number]})
	case 1:
		part := shard.PartRef{Occurrence: number}
		key, value = partKey(pool, id, part), encode(shard.Part{PartRef: part, Tasks: []shard.TaskProgress{{Counted: r.Int64N(100)}}})
	case 2:
		key, value = pool+keyHost+id, encode(port.Host{ID: id, Address: fmt.Sprint(r.IntN(100)), Pool: pool})
	case 3:
		key, value = pool+keyQueue+id, encode(storedQueue{Version: r.Int64N(100)})
	}
	switch r.IntN(8) {
	case 0:
		value = nil
	case 1:
		value = []byte{0xff}
	}
	s.put(key, value)
}

// sorted returns a state whose lists are in the order of their keys, so that it can be compared.
func sorted(s *StoredState) *StoredState {
	slices.SortFunc(s.Hosts, func(a, b port.Host) int { return map[bool]int{true: -1, false: 1}[a.ID < b.ID] })
	for _, parts := range s.Parts {
		slices.SortFunc(parts, func(a, b shard.Part) int { return a.Occurrence - b.Occurrence })
	}
	if len(s.Hosts) == 0 {
		s.Hosts = nil
	}
	s.OrphanedParts = nil
	return s
}

// Guards against an owner that starts from a state in which something is missing that was written while it read, or
// is left that was deleted (LOST, TWICE). The former owner goes on to write until it is fenced off.
func TestAStateThatIsReadBeforeTheClaimIsThatOfTheStore(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 0))
		s := &changingStore{reversed: seed%4 == 0, onlyKnown: seed%4 == 1}
		s.write = func() {
			for range r.IntN(4) {
				s.putAny(t, r)
			}
		}
		for range r.IntN(60) {
			s.putAny(t, r)
		}
		reader, preloaded := claim.NewStateReader(s, "pool", 1), newStoredState()
		take := preloaded.taker("pool")
		require.NoError(t, reader.Load(t.Context(), take, stateSplits))
		require.NoError(t, reader.Follow(t.Context(), take))
		for range r.IntN(60) {
			s.putAny(t, r)
		}
		require.NoError(t, reader.Follow(t.Context(), take))
		preloaded.finish("pool")
		s.write = func() {}
		acquired, err := claim.Acquire(t.Context(), s, "pool", "entry", 1, 1)
		require.NoError(t, err)
		read, err := ReadState(t.Context(), acquired)
		require.NoError(t, err)
		orphans := [2]int{len(read.OrphanedParts), len(preloaded.OrphanedParts)}
		require.Equal(t, orphans[0], orphans[1], "seed %d", seed)
		require.Equal(t, sorted(read), sorted(preloaded), "seed %d", seed)
	}
}

// Guards against a pool that cannot be taken over once the store has dropped what was written since its state was
// read.
func TestAStateIsReadAnewWhenTheStoreNoLongerKeepsTheChanges(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 0))
	s := &changingStore{write: func() {}}
	for range 40 {
		s.putAny(t, r)
	}
	prepare, err := Preloader(Settings{Partitions: 1}, Deps{Log: s, Logger: slog.New(slog.NewJSONHandler(io.Discard, nil))})(t.Context(), "pool")
	require.NoError(t, err)
	for range 40 {
		s.putAny(t, r)
	}
	s.kept = int64(len(s.records))
	acquired, err := claim.Acquire(t.Context(), s, "pool", "entry", 1, 1)
	require.NoError(t, err)
	_, err = prepare(t.Context(), acquired)
	require.NoError(t, err)
}
