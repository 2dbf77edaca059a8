package ledger_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/budget"
	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/host"
	"carawaymux.dev/fleet/jobs"
	"carawaymux.dev/fleet/lease"
	"carawaymux.dev/fleet/ledger"
	"carawaymux.dev/fleet/pool"
	"carawaymux.dev/fleet/quota"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wave"
)

// fleet folds records one by one for a test.
type fleet struct {
	t *testing.T
	s *ledger.State
}

func newFleet(t *testing.T) *fleet { return &fleet{t: t, s: ledger.New()} }

// put folds a record and returns the verdict.
func (f *fleet) put(r record.Record) record.Verdict {
	f.t.Helper()
	if r.ID == (record.ID{}) {
		r.ID = record.NewID()
	}
	if r.Schema == 0 {
		r.Schema = codec.Newest(r.Body.Kind())
	}
	if r.Author == "" {
		r.Author = "ana"
	}
	v, err := f.s.Apply(record.Entry{Offset: f.s.Offset, Record: r})
	require.NoError(f.t, err)
	return v
}

// must folds a record that has to be accepted.
func (f *fleet) must(object string, body record.Body) {
	f.t.Helper()
	v := f.put(record.Record{Object: object, Fence: f.s.Lease.Fence, Body: body})
	require.Equal(f.t, record.Accepted, v.Result, v.Reason)
}

// refused folds a record that has to be rejected, and returns the reason.
func (f *fleet) refused(object string, body record.Body) string {
	f.t.Helper()
	v := f.put(record.Record{Object: object, Fence: f.s.Lease.Fence, Body: body})
	require.Equal(f.t, record.Rejected, v.Result)
	return v.Reason
}

func (f *fleet) step(event host.Event, hosts ...string) host.Change {
	return host.Change{Event: event, Hosts: hosts, Barrier: f.s.Offset}
}

func hostIn(poolName string) host.Spec {
	return host.Spec{
		Pool: poolName, Zone: "z1", Rack: "r1", Address: "10.0.0.1:80",
		Size: host.Size{Cores: 16, MemoryMiB: 65536}, Slots: 8, Connections: 64,
	}
}

// smallFleet has pool docs with three hosts, one of which may be out, and pool spare
// with one host; instance a holds the lease.
func smallFleet(t *testing.T) *fleet {
	f := newFleet(t)
	f.must("one", budget.Spec{MaxUnavailable: 1, MinAvailable: 1})
	f.must("docs", pool.Spec{Budget: "one", Kinds: []string{"documents"}})
	f.must("spare", pool.Spec{Budget: "one", Spare: true})
	for _, name := range []string{"h1", "h2", "h3"} {
		f.must(name, hostIn("docs"))
	}
	f.must("s1", hostIn("spare"))
	f.must("", lease.Claim{Holder: "a", TermMS: 1000})
	return f
}

func TestPoolNeedsItsBudgetFirst(t *testing.T) {
	f := newFleet(t)
	require.Contains(t, f.refused("docs", pool.Spec{Budget: "none"}), `no budget "none"`)
	require.Contains(t, f.refused("docs", pool.Spec{}), "a pool without a budget is refused")
}

func TestFirstOfTwoOperatorsWins(t *testing.T) {
	f := smallFleet(t)
	base := f.s.Budgets["one"].Version
	first := f.put(record.Record{Object: "one", Base: base, Author: "ana", Body: budget.Spec{MaxUnavailable: 2}})
	second := f.put(record.Record{Object: "one", Base: base, Author: "bo", Body: budget.Spec{MaxUnavailable: 3}})
	require.Equal(t, record.Accepted, first.Result)
	require.Equal(t, record.Rejected, second.Result)
	require.Equal(t, "ana", second.WinnerAuthor)
	require.Equal(t, record.Version(first.Offset), second.Winner)
	require.Equal(t, 2, f.s.Budgets["one"].Spec.MaxUnavailable)
}

func TestDoubledAppendHasNoSecondEffect(t *testing.T) {
	f := smallFleet(t)
	r := record.Record{ID: record.NewID(), Object: "two", Body: budget.Spec{MaxUnavailable: 1}}
	require.Equal(t, record.Accepted, f.put(r).Result)
	require.Equal(t, record.Duplicate, f.put(r).Result)
}

func TestStaleFenceIsRejected(t *testing.T) {
	f := smallFleet(t)
	old := f.s.Lease.Fence
	f.must("w", wave.Spec{Pools: []string{"docs"}})
	v := f.put(record.Record{Base: f.s.Lease.Version, Body: lease.Claim{Holder: "b", TermMS: 1000}})
	require.Equal(t, record.Accepted, v.Result)
	late := f.put(record.Record{Fence: old, Author: "a", Body: host.Change{
		Event: host.EventCordon, Hosts: []string{"h1"}, Wave: "w"}})
	require.Equal(t, record.Rejected, late.Result)
	require.Contains(t, late.Reason, `"b" holds the planner lease`)
}

func TestTwoCandidatesRaceForTheLease(t *testing.T) {
	f := smallFleet(t)
	base := f.s.Lease.Version
	require.Equal(t, record.Accepted, f.put(record.Record{Base: base, Body: lease.Claim{Holder: "b", TermMS: 1000}}).Result)
	lost := f.put(record.Record{Base: base, Body: lease.Claim{Holder: "c", TermMS: 1000}})
	require.Equal(t, record.Rejected, lost.Result)
	require.Equal(t, "b", lost.WinnerAuthor)
}

func TestTwoWavesAndAMoveShareOneBudget(t *testing.T) {
	f := smallFleet(t)
	f.must("w1", wave.Spec{Pools: []string{"docs"}})
	f.must("w2", wave.Spec{Pools: []string{"docs"}})
	f.put(record.Record{Object: "h3", Base: f.s.Hosts["h3"].Version, Body: host.Move{To: "spare"}})
	f.must("", host.Change{Event: host.EventCordon, Hosts: []string{"h1"}, Wave: "w1"})
	require.Contains(t, f.refused("", host.Change{Event: host.EventCordon, Hosts: []string{"h2"}, Wave: "w2"}), "budget of pool")
	require.Contains(t, f.refused("", host.Change{Event: host.EventCordon, Hosts: []string{"h3"}}), "budget of pool")
	f.must("", f.step(host.EventReturn, "h1"))
	f.must("", host.Change{Event: host.EventCordon, Hosts: []string{"h3"}})
}

func TestFailuresUseUpTheBudget(t *testing.T) {
	f := smallFleet(t)
	f.must("w", wave.Spec{Pools: []string{"docs"}})
	f.must("", f.step(host.EventFail, "h2"))
	require.Contains(t, f.refused("", host.Change{Event: host.EventCordon, Hosts: []string{"h1"}, Wave: "w"}), "budget of pool")
}

func TestStricterBudgetStopsARebootThatIsDecidedLate(t *testing.T) {
	f := smallFleet(t)
	f.must("w", wave.Spec{Pools: []string{"docs"}})
	f.must("", host.Change{Event: host.EventCordon, Hosts: []string{"h1"}, Wave: "w"})
	f.must("", f.step(host.EventDrain, "h1"))
	v := f.put(record.Record{Object: "one", Base: f.s.Budgets["one"].Version, Body: budget.Spec{}})
	require.Equal(t, record.Accepted, v.Result)
	require.Contains(t, f.refused("", f.step(host.EventReboot, "h1")), "overdrawn")
	f.must("", f.step(host.EventReturn, "h1"))
}

func TestMoveCountsAtBothEnds(t *testing.T) {
	f := smallFleet(t)
	f.put(record.Record{Object: "h1", Base: f.s.Hosts["h1"].Version, Body: host.Move{To: "spare"}})
	f.must("", host.Change{Event: host.EventCordon, Hosts: []string{"h1"}})
	require.Equal(t, budget.Tally{Size: 3, Serving: 2}, f.s.Tally("docs"), "it belongs to the source until the barrier")
	f.must("", f.step(host.EventDrain, "h1"))
	f.must("", f.step(host.EventAssign, "h1"))
	f.must("", f.step(host.EventReturn, "h1"))
	require.Equal(t, budget.Tally{Size: 2, Serving: 2}, f.s.Tally("docs"))
	require.Equal(t, budget.Tally{Size: 2, Serving: 2}, f.s.Tally("spare"))
}

func TestOverdrawnPoolGivesNoHostAway(t *testing.T) {
	f := smallFleet(t)
	f.put(record.Record{Object: "h1", Base: f.s.Hosts["h1"].Version, Body: host.Move{To: "spare"}})
	f.must("", host.Change{Event: host.EventCordon, Hosts: []string{"h1"}})
	f.must("", f.step(host.EventDrain, "h1"))
	f.must("", f.step(host.EventFail, "h2"))
	require.Contains(t, f.refused("", f.step(host.EventAssign, "h1")), "overdrawn")
}

func TestBarrierBelowTheCordonIsRejected(t *testing.T) {
	f := smallFleet(t)
	f.must("w", wave.Spec{Pools: []string{"docs"}})
	f.must("", host.Change{Event: host.EventCordon, Hosts: []string{"h1"}, Wave: "w"})
	early := host.Change{Event: host.EventDrain, Hosts: []string{"h1"}, Barrier: f.s.Hosts["h1"].Cordon - 1}
	require.Contains(t, f.refused("", early), "below its cordon")
}

func TestOnlyRebootedHostsCountAsMaintained(t *testing.T) {
	f := smallFleet(t)
	f.must("w", wave.Spec{Pools: []string{"docs"}})
	f.must("", host.Change{Event: host.EventCordon, Hosts: []string{"h1"}, Wave: "w"})
	f.must("", f.step(host.EventReturn, "h1"))
	require.Len(t, f.s.Waves["w"].Todo, 3, "a host that was given back is still to do")
	f.must("", host.Change{Event: host.EventCordon, Hosts: []string{"h1"}, Wave: "w"})
	for _, event := range []host.Event{host.EventDrain, host.EventReboot, host.EventUp, host.EventReturn} {
		f.must("", f.step(event, "h1"))
	}
	require.Equal(t, []string{"h2", "h3"}, f.s.Waves["w"].Todo)
}

func TestUnknownKindAndVersionAreKeptWhole(t *testing.T) {
	f := smallFleet(t)
	raw := []byte(`{"id":"` + record.NewID().String() + `","kind":"comet","schema":7,"author":"x","body":{"tail":true}}`)
	v, err := f.s.Apply(codec.DecodeEntry(f.s.Offset, raw))
	require.NoError(t, err)
	require.Equal(t, record.Kept, v.Result)
	require.Equal(t, raw, f.s.Unread[v.Offset].Raw)
	later := []byte(`{"id":"` + record.NewID().String() + `","kind":"budget","schema":3,"author":"x","object":"b","body":{}}`)
	v, err = f.s.Apply(codec.DecodeEntry(f.s.Offset, later))
	require.NoError(t, err)
	require.Equal(t, record.Kept, v.Result)
	require.Contains(t, v.Reason, "schema 3")
}

func TestGateOpensTheNextVersionOnly(t *testing.T) {
	f := smallFleet(t)
	require.Contains(t, f.refused("", ledger.Gate{Of: record.KindBudget, Schema: 4}), "only 3 can be opened")
	f.must("", ledger.Gate{Of: record.KindBudget, Schema: 3})
	require.Equal(t, 3, f.s.Open(record.KindBudget))
}

func TestMalformedRecordIsRejectedAndTheFoldGoesOn(t *testing.T) {
	f := smallFleet(t)
	v, err := f.s.Apply(codec.DecodeEntry(f.s.Offset, []byte("not json")))
	require.NoError(t, err)
	require.Equal(t, record.Rejected, v.Result)
	f.must("two", budget.Spec{})
}

func TestGapIsAnErrorAndOldEntriesChangeNothing(t *testing.T) {
	f := smallFleet(t)
	var gap *ledger.GapError
	_, err := f.s.Apply(record.Entry{Offset: f.s.Offset + 1})
	require.ErrorAs(t, err, &gap)
	at := f.s.Offset
	v, err := f.s.Apply(record.Entry{Offset: 0})
	require.NoError(t, err)
	require.Equal(t, record.Duplicate, v.Result)
	require.Equal(t, at, f.s.Offset)
}

func TestJobsThatNeverFitAreNamed(t *testing.T) {
	f := smallFleet(t)
	f.must("huge", jobs.Spec{Pool: "docs", Size: host.Size{Cores: 1, Accelerators: 1}, Tasks: 1, Urgency: jobs.Low})
	require.Equal(t, "accelerators", f.s.Jobs["huge"].UnplaceableFor)
	big := hostIn("docs")
	big.Size.Accelerators = 1
	f.must("h4", big)
	require.Empty(t, f.s.Jobs["huge"].UnplaceableFor, "a host that can hold it has joined")
}

func TestPlacementHoldsSizesAndQuotas(t *testing.T) {
	f := smallFleet(t)
	f.must("berths", quota.Spec{Cores: 10, MemoryMiB: 1 << 20})
	f.must("j", jobs.Spec{Pool: "docs", Team: "berths", Size: host.Size{Cores: 6}, Tasks: 3, Urgency: jobs.Normal})
	start := func(task int, on string) jobs.Placement {
		return jobs.Placement{Items: []jobs.PlacementItem{{Job: "j", Task: task, Act: jobs.ActStart, Host: on}}}
	}
	f.must("", start(0, "h1"))
	require.Contains(t, f.refused("", start(0, "h2")), "is on host")
	require.Contains(t, f.refused("", start(1, "s1")), "belongs to pool")
	require.Contains(t, f.refused("", start(1, "h2")), "no quota of cores left")
	f.must("", jobs.Placement{Items: []jobs.PlacementItem{{Job: "j", Act: jobs.ActStop}}})
	f.must("", start(1, "h2"))
	f.must("", jobs.Cancel{Jobs: []string{"j", "unknown"}})
	require.Contains(t, f.refused("", start(2, "h1")), "cancelled")
}

func TestDrainWaitsForTasks(t *testing.T) {
	f := smallFleet(t)
	f.must("j", jobs.Spec{Pool: "docs", Size: host.Size{Cores: 6}, Tasks: 1, Urgency: jobs.Normal})
	f.must("", jobs.Placement{Items: []jobs.PlacementItem{{Job: "j", Act: jobs.ActStart, Host: "h1"}}})
	f.must("w", wave.Spec{Pools: []string{"docs"}})
	f.must("", host.Change{Event: host.EventCordon, Hosts: []string{"h1"}, Wave: "w"})
	require.Contains(t, f.refused("", f.step(host.EventDrain, "h1")), "still holds 1 tasks")
}

func TestRetireRefusesWhatIsInUse(t *testing.T) {
	f := smallFleet(t)
	retire := func(k record.Kind, name string, base uint64) record.Verdict {
		return f.put(record.Record{Object: name, Base: base, Body: ledger.Retire{Of: k}})
	}
	require.Contains(t, retire(record.KindBudget, "one", f.s.Budgets["one"].Version).Reason, "is used by pool")
	require.Contains(t, retire(record.KindPool, "docs", f.s.Pools["docs"].Version).Reason, "still has 3 hosts")
	require.Contains(t, retire(record.KindHost, "h1", f.s.Hosts["h1"].Version).Reason, "only a failed host")
	f.must("", f.step(host.EventFail, "h1"))
	require.Equal(t, record.Accepted, retire(record.KindHost, "h1", f.s.Hosts["h1"].Version).Result)
	require.Equal(t, []string{"h2", "h3"}, f.s.HostsOf("docs"))
}

func TestCheckpointForgetsOldIDs(t *testing.T) {
	f := smallFleet(t)
	before := len(f.s.IDs)
	f.must("", ledger.Checkpoint{AsOf: f.s.Offset, Hash: "0123456789abcdef", First: 3})
	require.Equal(t, before-3+1, len(f.s.IDs))
	require.EqualValues(t, 3, f.s.Floor)
}
