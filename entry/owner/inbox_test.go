package owner_test

import (
	"context"
	"io"
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/claim"
	"carawaymux.dev/entry/owner"
	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// partialStore is a store in which the pool's own stream can be unavailable while the inbox is
// available.
type partialStore struct {
	poolUnavailable atomic.Bool
	inbox           chan port.Record
}

func (p *partialStore) Append(ctx context.Context, s port.Stream, _ []port.Record, w *port.Writer, _ int64) (int64, error) {
	if w != nil && p.poolUnavailable.Load() {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return 1, nil
}

func (p *partialStore) Read(ctx context.Context, s port.Stream, from int64, wait time.Duration) (port.Page, error) {
	if !strings.HasPrefix(s.Topic, "keyed.in") {
		return port.Page{}, nil
	}
	select {
	case e := <-p.inbox:
		e.Offset = from
		return port.Page{Records: []port.Record{e}, End: from + 1}, nil
	case <-time.After(min(wait, 50*time.Millisecond)):
	case <-ctx.Done():
	}
	return port.Page{End: from}, nil
}

func (p *partialStore) Newest(context.Context, port.Stream, string) (port.Page, error) {
	return port.Page{}, nil
}

// noMachines is an empty list of machines.
type noMachines struct{ port.MachineService }

func (noMachines) List(context.Context) ([]port.Machine, error) { return nil, nil }

// startOwner starts an owner of a pool without hosts.
func startOwner(ctx context.Context, t *testing.T, store port.Log) *owner.Owner {
	acquired, err := claim.Acquire(ctx, store, "pool", "e", 1, 24)
	require.NoError(t, err)
	return startStored(t, store, acquired, &owner.StoredState{})
}

// startStored is like startOwner, for a pool of which an earlier owner has stored something.
func startStored(t *testing.T, store port.Log, acquired *claim.Claim, stored *owner.StoredState) *owner.Owner {
	o := owner.Start(
		owner.Settings{Partitions: 24, Timing: shard.Timing{Lease: 5 * time.Second, Grace: 6 * time.Second}},
		owner.Deps{Log: store, Machines: noMachines{}, Logger: slog.New(slog.NewJSONHandler(io.Discard, nil))},
		acquired, stored, &port.Config{Queues: []port.Queue{{Name: "q", Pool: "pool"}}, Pools: []port.Pool{{Name: "pool"}}}, nil)
	t.Cleanup(o.Close)
	return o
}

// Jobs that arrived through the inbox count as accepted. This test guards against dropping them
// together with the submissions that are refused while the store is unavailable.
func TestInboxJobsAreKeptWhileTheStoreIsUnavailable(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	store := &partialStore{inbox: make(chan port.Record, 1)}
	o := startOwner(ctx, t, store)
	spec := batch.Spec{Queue: "q", Steps: []batch.Step{{Count: 1}}}
	queue := port.Queue{Name: "q", Pool: "pool"}
	require.Equal(t, owner.Accepted, o.Submit(ctx, queue, "first", spec).Outcome)

	store.poolUnavailable.Store(true)
	shortCtx, stop := context.WithTimeout(ctx, 600*time.Millisecond)
	defer stop()
	require.Equal(t, owner.Unknown, o.Submit(shortCtx, queue, "in-flight", spec).Outcome)
	value, err := codec.EncodeFrame(spec)
	require.NoError(t, err)
	store.inbox <- port.Record{Key: "pool/by-inbox", Value: value}
	require.Eventually(t, func() bool { return o.JobStatus(ctx, "by-inbox").Outcome == owner.Found }, 5*time.Second, 10*time.Millisecond)
	require.Equal(t, owner.Refused, o.Submit(ctx, queue, "refused", spec).Outcome)
	time.Sleep(300 * time.Millisecond)
	require.Equal(t, owner.Found, o.JobStatus(ctx, "by-inbox").Outcome)
	// The store cannot confirm that this owner has not been replaced by one that knows the job.
	require.Equal(t, owner.Refused, o.JobStatus(ctx, "refused").Outcome)

	store.poolUnavailable.Store(false)
	require.Eventually(t, func() bool { return o.Submit(ctx, queue, "again", spec).Outcome == owner.Accepted }, 10*time.Second, 50*time.Millisecond)
	require.Equal(t, owner.Accepted, o.Submit(ctx, queue, "by-inbox", spec).Outcome)
	require.Equal(t, owner.Missing, o.JobStatus(ctx, "refused").Outcome)
}

// invalidSpecs are submissions that no caller's entry lets through, as another writer or a damaged message
// may contain them.
var invalidSpecs = map[string]batch.Spec{
	"step after a step that does not exist": {Queue: "q", Steps: []batch.Step{{Count: 1, After: []int{7}}}},
	"step after itself":                     {Queue: "q", Steps: []batch.Step{{Count: 1, After: []int{0}}}},
	"negative count":                        {Queue: "q", Steps: []batch.Step{{Count: -1}}},
	"too many tasks":                        {Queue: "q", Steps: []batch.Step{{Count: 1 << 40}}},
	"no steps":                              {Queue: "q"},
}

// An invalid submission panicked in the owner's task and took the entry down, and again each entry that
// took the pool over, since it stayed in the inbox.
func TestInvalidSubmissionsTakeNoOwnerDown(t *testing.T) {
	for name, spec := range invalidSpecs {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			store := &partialStore{inbox: make(chan port.Record, 3)}
			o := startOwner(ctx, t, store)
			require.Equal(t, owner.Refused, o.Submit(ctx, port.Queue{Name: "q", Pool: "pool"}, "invalid-1", spec).Outcome)
			value, err := codec.EncodeFrame(spec)
			require.NoError(t, err)
			store.inbox <- port.Record{Key: "pool/invalid-2", Value: value}
			store.inbox <- port.Record{Key: "pool/invalid-3", Value: []byte{0xff}}
			value, err = codec.EncodeFrame(batch.Spec{Queue: "q", Steps: []batch.Step{{Count: 1}}})
			require.NoError(t, err)
			store.inbox <- port.Record{Key: "pool/valid", Value: value}
			require.Eventually(t, func() bool { return o.JobStatus(ctx, "valid").Outcome == owner.Found }, 5*time.Second, 10*time.Millisecond)
			for _, id := range []string{"invalid-1", "invalid-2", "invalid-3"} {
				require.Equal(t, owner.Missing, o.JobStatus(ctx, id).Outcome, id)
			}
		})
	}
}

// storedRecords is a store in which an earlier owner has left records.
type storedRecords struct {
	partialStore
	records []port.Record
}

func (s *storedRecords) Newest(_ context.Context, stream port.Stream, _ string) (port.Page, error) {
	if strings.HasPrefix(stream.Topic, "keyed.work") {
		return port.Page{Records: s.records}, nil
	}
	return port.Page{}, nil
}

// A record that could not be read failed each take-over, so that the pool had no owner any more.
func TestAnUnreadableRecordDoesNotKeepAPoolWithoutOwner(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	good, err := codec.EncodeFrame(batch.Spec{Queue: "q", Steps: []batch.Step{{Count: 1}}})
	require.NoError(t, err)
	bad, err := codec.EncodeFrame(invalidSpecs["step after itself"])
	require.NoError(t, err)
	store := &storedRecords{records: []port.Record{
		{Key: "pool/j/bad", Value: []byte{0xff, 0x00}}, {Key: "pool/j/invalid", Value: bad}, {Key: "pool/j/begun", Value: good}, {Key: "pool/n/begun", Value: []byte{0xff}},
		{Key: "pool/h/host", Value: []byte("{")}, {Key: "pool/j/good", Value: good}, {Key: "pool/", Value: good},
	}}
	acquired, err := claim.Acquire(ctx, store, "pool", "e", 1, 24)
	require.NoError(t, err)
	stored, err := owner.ReadState(ctx, acquired)
	require.NoError(t, err)
	require.Contains(t, stored.Specs, "good")
	require.NotContains(t, stored.Specs, "begun", "it may have run")
	require.Len(t, stored.Specs, 1)
	require.Len(t, stored.Unreadable, 4)
	o := startStored(t, store, acquired, stored)
	require.Equal(t, owner.Found, o.JobStatus(ctx, "good").Outcome)
}
