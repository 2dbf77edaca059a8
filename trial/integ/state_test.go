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

func TestTwoOperatorsRaceForOneHost(t *testing.T) {
	r := start(t, twoZones())
	const name = "tp-a-documents-1"
	base := r.object(r.Entries[0], record.KindHost, name).Version
	pools := []string{"remittances", "inquiries"}
	verdicts := make([]error, len(pools))
	var group errgroup.Group
	for i, to := range pools {
		group.Go(func() error {
			author := fmt.Sprintf("operator-%d", i)
			_, verdicts[i] = r.Entries[i*2].Client.Publish(r.ctx, client.NewRecord(author, name, base, host.Move{To: to}))
			return nil
		})
	}
	require.NoError(t, group.Wait())
	winner, loser := 0, 1
	if verdicts[0] != nil {
		winner, loser = 1, 0
	}
	require.NoError(t, verdicts[winner])
	var refused *client.Error
	require.ErrorAs(t, verdicts[loser], &refused)
	require.Equal(t, http.StatusConflict, refused.Status)
	require.Equal(t, fmt.Sprintf("operator-%d", winner), refused.Body.Verdict.WinnerAuthor, "the loser is told by whom")
	r.eventually("the host is in its new pool", 20*time.Second, func(context.Context) error {
		for _, e := range r.Entries {
			if o := r.object(e, record.KindHost, name); o.Status.Pool != pools[winner] || o.Status.Phase != "serving" {
				return fmt.Errorf("on %s it is %s in %s", e.Name, o.Status.Phase, o.Status.Pool)
			}
		}
		return nil
	})
}

func TestLostAnswerOfAnAppendHasOneEffect(t *testing.T) {
	r := start(t, twoZones())
	// The planner appends too, so several answers are lost.
	require.NoError(t, r.SetLogFaults(r.ctx, faulty.Faults{LoseAnswers: 6}))
	rec := client.NewRecord("ana", "extra", 0, budget.Spec{MaxUnavailable: 3})
	v, err := r.Entries[0].Client.Publish(r.ctx, rec)
	require.NoError(t, err)
	items, err := r.ReadStream(r.ctx, plat.StreamMain)
	require.NoError(t, err)
	var copies []uint64
	for _, it := range items {
		if codec.DecodeEntry(it.Offset, it.Data).Record.ID == rec.ID {
			copies = append(copies, it.Offset)
		}
	}
	require.NotEmpty(t, copies)
	require.Equal(t, copies[0], v.Offset, "the first copy counts")
	r.settled()
	for _, e := range r.Entries {
		require.Equal(t, record.Version(copies[0]), r.object(e, record.KindBudget, "extra").Version, "and no other")
	}
}

func TestPublishingFailsClearlyWhileTheLogIsDownAndCanBeRepeated(t *testing.T) {
	r := start(t, twoZones())
	require.NoError(t, r.SetLogFaults(r.ctx, faulty.Faults{Outage: true}))
	rec := client.NewRecord("ana", "extra", 0, budget.Spec{MaxUnavailable: 3})
	_, err := r.Entries[0].Client.Publish(r.ctx, rec)
	var refused *client.Error
	require.ErrorAs(t, err, &refused)
	require.Equal(t, http.StatusServiceUnavailable, refused.Status)
	require.Contains(t, refused.Body.Error, "repeat it under the same id")
	require.Equal(t, wire.Done, r.request(r.Entries[0], "documents").Outcome, "requests go on while the log is down")
	require.NoError(t, r.SetLogFaults(r.ctx, faulty.Faults{}))
	_, err = r.Entries[1].Client.Publish(r.ctx, rec)
	require.NoError(t, err)
}

func TestEntryIsReplacedWhileTheLogIsDown(t *testing.T) {
	r := start(t, twoZones())
	before, err := r.Entries[0].Client.Status(r.ctx)
	require.NoError(t, err)
	require.NoError(t, r.SetLogFaults(r.ctx, faulty.Faults{Outage: true}))
	heal := r.cutZone(zoneB)
	r.replace(r.Entries[0])
	r.eventually("the new incarnation serves from its peer's state", 20*time.Second, r.Entries[0].Client.Ready)
	after, err := r.Entries[0].Client.Status(r.ctx)
	require.NoError(t, err)
	require.GreaterOrEqual(t, after.Offset, before.Offset, "an offset never goes back")
	require.NotEmpty(t, after.LogError)
	require.Equal(t, wire.Done, r.request(r.Entries[0], "documents").Outcome)
	heal()
	require.NoError(t, r.SetLogFaults(r.ctx, faulty.Faults{}))
	r.publish(r.Entries[0], "extra", 0, budget.Spec{MaxUnavailable: 3})
	r.settled()
}

func TestEntryWithNeitherLogNorPeerIsHonest(t *testing.T) {
	r := start(t, twoZones())
	e := r.Entries[0]
	heal := r.cut(func(from, _ string) bool { return from == e.Name })
	r.replace(e)
	r.eventually("it listens", 10*time.Second, func(context.Context) error {
		if !reachable(e.HTTP) {
			return errors.New("not yet")
		}
		return nil
	})
	require.Error(t, e.Client.Ready(r.ctx))
	a := r.request(e, "documents")
	require.Equal(t, wire.NotRun, a.Outcome)
	require.Contains(t, a.Reason, "no configuration")
	heal()
	r.eventually("it is ready", 20*time.Second, e.Client.Ready)
}

func TestPausedLeaseHolderProposesInVain(t *testing.T) {
	r := start(t, twoZones())
	holder := r.holder()
	other := r.Entries[0]
	if other == holder {
		other = r.Entries[3]
	}
	status, err := other.Client.Status(r.ctx)
	require.NoError(t, err)
	oldFence := status.Lease.Fence
	r.publish(other, "w", 0, wave.Spec{Pools: []string{"documents"}})
	require.NoError(t, holder.Proc.Pause())
	r.eventually("another planner", 20*time.Second, func(ctx context.Context) error {
		status, err := other.Client.Status(ctx)
		if err != nil {
			return err
		}
		if name := status.Lease.Holder; len(name) > len(holder.Name) && name[:len(holder.Name)+1] == holder.Name+":" {
			return errors.New("the paused one still holds the lease")
		}
		return nil
	})
	// What the paused holder had decided reaches the log late, past every check.
	late := newRecord("", 0, host.Change{Event: host.EventFail, Hosts: []string{"tp-a-documents-1"}})
	late.Fence = oldFence
	require.NoError(t, r.AppendToLog(r.ctx, late, codec.EncodeRecord))
	require.NoError(t, holder.Proc.Resume())
	r.phase(other, record.KindWave, "w", "done", 40*time.Second)
	r.checkStream("documents")
	explained, err := other.Client.Explain(r.ctx, record.KindHost, "tp-a-documents-1")
	require.NoError(t, err)
	for _, step := range explained.History {
		require.NotEqual(t, host.EventFail, step.Event, "a proposal under an old fence took effect")
	}
}

// checkStream folds the log anew, as an instance of its own, and checks at every record
// that the pool never had less than its budget asks for, and that no record under an old
// fence was accepted.
func (r *rig) checkStream(pool string) {
	r.t.Helper()
	items, err := r.ReadStream(r.ctx, plat.StreamMain)
	require.NoError(r.t, err)
	f := newWitness()
	for _, it := range items {
		e := codec.DecodeEntry(it.Offset, it.Data)
		v := f.fold(r.t, e)
		if _, planned := e.Record.Body.(host.Change); planned && v.Result == record.Accepted {
			require.Equal(r.t, f.state.Lease.Fence, e.Record.Fence)
			require.GreaterOrEqual(r.t, f.state.Tally(pool).Serving, one.MinAvailable, "offset %d", e.Offset)
			require.LessOrEqual(r.t, f.state.Tally(pool).Unavailable(), one.MaxUnavailable, "offset %d", e.Offset)
		}
	}
}
