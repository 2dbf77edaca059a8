package integ

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"carawaymux.dev/fleet/budget"
	"carawaymux.dev/fleet/client"
	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/host"
	"carawaymux.dev/fleet/plat"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wave"
	"carawaymux.dev/fleet/wire"
	"carawaymux.dev/trial/faulty"
)

func TestConcurrentMovesOfOneHostHaveOneWinner(t *testing.T) {
	f := start(t, twoZones())
	const name = "tp-a-documents-1"
	base := f.object(f.Entries[0], record.KindHost, name).Version
	pools := []string{"remittances", "inquiries"}
	errs := make([]error, len(pools))
	var group errgroup.Group
	for i, to := range pools {
		group.Go(func() error {
			author := fmt.Sprintf("operator-%d", i)
			_, errs[i] = f.Entries[i*2].Client.Publish(f.ctx, client.NewRecord(author, name, base, host.Move{To: to}))
			return nil
		})
	}
	require.NoError(t, group.Wait())
	winner, loser := 0, 1
	if errs[0] != nil {
		winner, loser = 1, 0
	}
	require.NoError(t, errs[winner])
	var refused *client.Error
	require.ErrorAs(t, errs[loser], &refused)
	require.Equal(t, http.StatusConflict, refused.Status)
	require.Equal(t, fmt.Sprintf("operator-%d", winner), refused.Body.Verdict.WinnerAuthor, "the refused operator gets the author of the accepted move")
	f.eventually("the host serves in its new pool on all entries", 20*time.Second, func(context.Context) error {
		for _, e := range f.Entries {
			if o := f.object(e, record.KindHost, name); o.Status.Pool != pools[winner] || o.Status.Phase != "serving" {
				return fmt.Errorf("entry %s reports it as %s in pool %s", e.Name, o.Status.Phase, o.Status.Pool)
			}
		}
		return nil
	})
}

func TestAppendWithLostAnswerIsAppliedOnce(t *testing.T) {
	f := start(t, twoZones())
	// Six answers are lost because the planner appends to the log too.
	require.NoError(t, f.SetLogFaults(f.ctx, faulty.Faults{LoseAnswers: 6}))
	rec := client.NewRecord("ana", "extra", 0, budget.Spec{MaxUnavailable: 3})
	v, err := f.Entries[0].Client.Publish(f.ctx, rec)
	require.NoError(t, err)
	items, err := f.ReadStream(f.ctx, plat.StreamMain)
	require.NoError(t, err)
	var copies []uint64
	for _, it := range items {
		if codec.DecodeEntry(it.Offset, it.Data).Record.ID == rec.ID {
			copies = append(copies, it.Offset)
		}
	}
	require.NotEmpty(t, copies)
	require.Equal(t, copies[0], v.Offset, "the first copy takes effect")
	f.waitUntilApplied()
	for _, e := range f.Entries {
		require.Equal(t, record.Version(copies[0]), f.object(e, record.KindBudget, "extra").Version, "later copies have no effect")
	}
}

func TestPublishDuringALogOutageFailsAndCanBeRepeated(t *testing.T) {
	f := start(t, twoZones())
	require.NoError(t, f.SetLogFaults(f.ctx, faulty.Faults{Outage: true}))
	rec := client.NewRecord("ana", "extra", 0, budget.Spec{MaxUnavailable: 3})
	_, err := f.Entries[0].Client.Publish(f.ctx, rec)
	var refused *client.Error
	require.ErrorAs(t, err, &refused)
	require.Equal(t, http.StatusServiceUnavailable, refused.Status)
	require.Contains(t, refused.Body.Error, "repeat it under the same id")
	require.Equal(t, wire.Done, f.request(f.Entries[0], "documents").Outcome, "entries serve requests while the log is down")
	require.NoError(t, f.SetLogFaults(f.ctx, faulty.Faults{}))
	_, err = f.Entries[1].Client.Publish(f.ctx, rec)
	require.NoError(t, err)
}

func TestEntryRestartsFromItsPeerDuringALogOutage(t *testing.T) {
	f := start(t, twoZones())
	before, err := f.Entries[0].Client.Status(f.ctx)
	require.NoError(t, err)
	require.NoError(t, f.SetLogFaults(f.ctx, faulty.Faults{Outage: true}))
	heal := f.partitionZone(zoneB)
	f.restartEntry(f.Entries[0])
	f.eventually("the new incarnation is ready with the state of its peer", 20*time.Second, f.Entries[0].Client.Ready)
	after, err := f.Entries[0].Client.Status(f.ctx)
	require.NoError(t, err)
	require.GreaterOrEqual(t, after.Offset, before.Offset, "the new incarnation has an older offset than its predecessor")
	require.NotEmpty(t, after.LogError)
	require.Equal(t, wire.Done, f.request(f.Entries[0], "documents").Outcome)
	heal()
	require.NoError(t, f.SetLogFaults(f.ctx, faulty.Faults{}))
	f.publish(f.Entries[0], "extra", 0, budget.Spec{MaxUnavailable: 3})
	f.waitUntilApplied()
}

func TestEntryWithoutLogAndPeersIsNotReady(t *testing.T) {
	f := start(t, twoZones())
	e := f.Entries[0]
	heal := f.partition(func(from, _ string) bool { return from == e.Name })
	f.restartEntry(e)
	f.eventually("the entry accepts connections", 10*time.Second, func(context.Context) error {
		if !reachable(e.HTTP) {
			return errors.New("connection not accepted")
		}
		return nil
	})
	require.Error(t, e.Client.Ready(f.ctx))
	a := f.request(e, "documents")
	require.Equal(t, wire.NotRun, a.Outcome)
	require.Contains(t, a.Reason, "no configuration")
	heal()
	f.eventually("the entry is ready", 20*time.Second, e.Client.Ready)
}

func TestRecordOfAFormerLeaseHolderIsRejected(t *testing.T) {
	f := start(t, twoZones())
	holder := f.leaseHolder()
	other := f.Entries[0]
	if other == holder {
		other = f.Entries[3]
	}
	status, err := other.Client.Status(f.ctx)
	require.NoError(t, err)
	oldFence := status.Lease.Fence
	f.publish(other, "w", 0, wave.Spec{Pools: []string{"documents"}})
	require.NoError(t, holder.Proc.Pause())
	f.eventually("another entry takes the planner lease over", 20*time.Second, func(ctx context.Context) error {
		status, err := other.Client.Status(ctx)
		if err != nil {
			return err
		}
		if name := status.Lease.Holder; len(name) > len(holder.Name) && name[:len(holder.Name)+1] == holder.Name+":" {
			return errors.New("the paused entry still holds the lease")
		}
		return nil
	})
	// A decision of the paused lease holder reaches the log late. It is appended
	// directly to bypass the checks of the entries.
	late := newRecord("", 0, host.Change{Event: host.EventFail, Hosts: []string{"tp-a-documents-1"}})
	late.Fence = oldFence
	require.NoError(t, f.AppendToLog(f.ctx, late, codec.EncodeRecord))
	require.NoError(t, holder.Proc.Resume())
	f.waitForPhase(other, record.KindWave, "w", "done", 40*time.Second)
	f.checkBudgetHistory("documents")
	explained, err := other.Client.Explain(f.ctx, record.KindHost, "tp-a-documents-1")
	require.NoError(t, err)
	for _, step := range explained.History {
		require.NotEqual(t, host.EventFail, step.Event, "a record with an old fence took effect")
	}
}

// checkBudgetHistory replays the log. After every accepted change of a host it checks that the
// pool is within its budget and that the change carries the fence of the current lease.
func (f *fixture) checkBudgetHistory(pool string) {
	f.t.Helper()
	items, err := f.ReadStream(f.ctx, plat.StreamMain)
	require.NoError(f.t, err)
	history := newReplay()
	for _, it := range items {
		e := codec.DecodeEntry(it.Offset, it.Data)
		v := history.apply(f.t, e)
		if _, planned := e.Record.Body.(host.Change); planned && v.Result == record.Accepted {
			require.Equal(f.t, history.state.Lease.Fence, e.Record.Fence)
			require.GreaterOrEqual(f.t, history.state.Tally(pool).Serving, oneUnavailable.MinAvailable, "offset %d", e.Offset)
			require.LessOrEqual(f.t, history.state.Tally(pool).Unavailable(), oneUnavailable.MaxUnavailable, "offset %d", e.Offset)
		}
	}
}
