package owner_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/claim"
	"carawaymux.dev/entry/feed"
	"carawaymux.dev/entry/owner"
	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// keyLimitedStore refuses appends with keys that the platform's store cannot hold, as its client does.
type keyLimitedStore struct{ partialStore }

func (s *keyLimitedStore) Append(ctx context.Context, stream port.Stream, records []port.Record, w *port.Writer, end int64) (int64, error) {
	for _, r := range records {
		if len(r.Key) == 0 || len(r.Key) > port.MaxKeyBytes {
			return 0, errors.New("invalid length of a record key")
		}
	}
	return s.partialStore.Append(ctx, stream, records, w, end)
}

// silentHosts are hosts that do not answer.
type silentHosts struct{ port.HostClient }

func (c silentHosts) Open(port.Host) port.HostClient { return c }

func (silentHosts) Heartbeat(ctx context.Context, _ port.Heartbeat) (port.HostReport, error) {
	<-ctx.Done()
	return port.HostReport{}, ctx.Err()
}

func (silentHosts) Close() {}

func TestAHostIDTooLongForAKeyDoesNotKeepThePoolFromWriting(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	store := &keyLimitedStore{partialStore{inbox: make(chan port.Record, 1)}}
	acquired, err := claim.Acquire(ctx, store, "pool", "e", 1, 24)
	require.NoError(t, err)
	o := owner.Start(
		owner.Settings{Partitions: 24, Timing: shard.Timing{Lease: 5 * time.Second, Grace: 6 * time.Second}},
		owner.Deps{Log: store, HostClients: silentHosts{}, Machines: noMachines{}, Logger: slog.New(slog.NewJSONHandler(io.Discard, nil))},
		acquired, &owner.StoredState{}, &port.Config{Queues: []port.Queue{{Name: "q", Pool: "pool"}}, Pools: []port.Pool{{Name: "pool"}}}, nil)
	t.Cleanup(o.Close)
	odd := port.Host{
		ID: strings.Repeat("i", port.MaxKeyBytes), Address: "192.0.2.1:1", Pool: "pool", Capacity: batch.Size{MilliCores: 1000, MemoryMB: 1000},
	}
	require.NoError(t, o.UpdateHosts(ctx, []feed.Change[port.Host]{{Key: odd.ID, Value: odd, Present: true}}))
	answer := o.Submit(ctx, port.Queue{Name: "q", Pool: "pool"}, "job", batch.Spec{Queue: "q", Steps: []batch.Step{{Count: 1}}})
	require.Equal(t, owner.Accepted, answer.Outcome, answer.Reason)
}
