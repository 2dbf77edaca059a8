package integ

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"carawaymux.dev/fleet/budget"
	"carawaymux.dev/fleet/client"
	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/ledger"
	"carawaymux.dev/fleet/plat"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wire"
	"carawaymux.dev/trial/site"
)

// TestStateIsRestoredAfterTheLogWasTruncated replaces all entries at once, after the log has
// dropped the first records of the fleet. The new incarnations can restore the state only
// from snapshots.
func TestStateIsRestoredAfterTheLogWasTruncated(t *testing.T) {
	p := twoZones()
	p.Retain = 150
	f := start(t, p)
	f.leaseHolder()
	var group errgroup.Group
	group.SetLimit(8)
	for i := range 400 {
		group.Go(func() error {
			_, err := f.Entries[i%4].Client.Publish(f.ctx, client.NewRecord(site.Author, fmt.Sprintf("extra-%d", i), 0, budget.Spec{MaxUnavailable: i}))
			return err
		})
	}
	require.NoError(t, group.Wait())
	f.eventually("a snapshot covers all records that the log has dropped", 20*time.Second, func(ctx context.Context) error {
		items, err := f.ReadStream(ctx, plat.StreamMain)
		if err != nil {
			return err
		}
		for _, it := range items {
			check, ok := codec.DecodeEntry(it.Offset, it.Data).Record.Body.(ledger.Checkpoint)
			if ok && check.AsOf >= items[0].Offset && items[0].Offset > 0 {
				return nil
			}
		}
		return errors.New("no such snapshot yet")
	})
	before, err := f.Entries[0].Client.Status(f.ctx)
	require.NoError(t, err)
	for _, e := range f.Entries {
		e.Proc.Kill()
	}
	for _, e := range f.Entries {
		require.NoError(t, f.StartEntry(e))
	}
	require.NoError(t, f.WaitReady(f.ctx))
	for _, e := range f.Entries {
		after, err := e.Client.Status(f.ctx)
		require.NoError(t, err)
		require.GreaterOrEqual(t, after.Offset, before.Offset)
		require.Equal(t, before.Hosts, after.Hosts)
		for _, name := range []string{"extra-0", "extra-399", "documents"} {
			require.Equal(t, name, f.object(e, record.KindBudget, name).Name)
		}
	}
	require.Equal(t, wire.Done, f.request(f.Entries[0], "documents").Outcome)
	f.publish(f.Entries[1], "after", 0, budget.Spec{})
}
