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

// fixture applies records to a state one by one.
type fixture struct {
	t     *testing.T
	state *ledger.State
}

func newFixture(t *testing.T) *fixture { return &fixture{t: t, state: ledger.New()} }

// apply fills in missing envelope fields, applies the record and returns the verdict.
func (f *fixture) apply(r record.Record) record.Verdict {
	f.t.Helper()
	if r.ID == (record.ID{}) {
		r.ID = record.NewID()
	}
	if r.Schema == 0 {
		r.Schema = min(codec.NewestSchema(r.Body.Kind()), f.state.OpenSchema(r.Body.Kind()))
	}
	if r.Author == "" {
		r.Author = "ana"
	}
	v, err := f.state.Apply(record.Entry{Offset: f.state.NextOffset, Record: r})
	require.NoError(f.t, err)
	return v
}

// mustAccept applies a record and requires that it is accepted.
func (f *fixture) mustAccept(object string, body record.Body) {
	f.t.Helper()
	v := f.apply(record.Record{Object: object, Fence: f.state.Lease.Fence, Body: body})
	require.Equal(f.t, record.Accepted, v.Result, v.Reason)
}

// mustReject applies a record, requires that it is rejected and returns the reason.
func (f *fixture) mustReject(object string, body record.Body) string {
	f.t.Helper()
	v := f.apply(record.Record{Object: object, Fence: f.state.Lease.Fence, Body: body})
	require.Equal(f.t, record.Rejected, v.Result)
	return v.Reason
}

// hostEvent returns a change with a barrier that is valid for a drain.
func (f *fixture) hostEvent(event host.Event, hosts ...string) host.Change {
	return host.Change{Event: event, Hosts: hosts, Barrier: f.state.NextOffset}
}

func hostSpec(poolName string) host.Spec {
	return host.Spec{
		Pool: poolName, Zone: "z1", Rack: "r1", Address: "10.0.0.1:80",
		Size: host.Resources{Cores: 16, MemoryMiB: 65536}, Slots: 8, Connections: 64,
	}
}

// newSmallFleet returns a fleet with pool docs (three hosts, of which one may be unavailable) and
// pool spare (one host). Instance a holds the planner lease.
func newSmallFleet(t *testing.T) *fixture {
	f := newFixture(t)
	f.mustAccept("one", budget.Spec{MaxUnavailable: 1, MinAvailable: 1})
	f.mustAccept("docs", pool.Spec{Budget: "one", Kinds: []string{"documents"}})
	f.mustAccept("spare", pool.Spec{Budget: "one", Spare: true})
	for _, name := range []string{"h1", "h2", "h3"} {
		f.mustAccept(name, hostSpec("docs"))
	}
	f.mustAccept("s1", hostSpec("spare"))
	f.mustAccept("", lease.Claim{Holder: "a", TermMS: 1000})
	return f
}

func TestPoolWithoutBudgetIsRejected(t *testing.T) {
	f := newFixture(t)
	require.Contains(t, f.mustReject("docs", pool.Spec{Budget: "none"}), `no budget "none"`)
	require.Contains(t, f.mustReject("docs", pool.Spec{}), "a pool without a budget is refused")
}

func TestStaleBaseVersionIsRejected(t *testing.T) {
	f := newSmallFleet(t)
	base := f.state.Budgets["one"].Version
	first := f.apply(record.Record{Object: "one", Base: base, Author: "ana", Body: budget.Spec{MaxUnavailable: 2}})
	second := f.apply(record.Record{Object: "one", Base: base, Author: "bo", Body: budget.Spec{MaxUnavailable: 3}})
	require.Equal(t, record.Accepted, first.Result)
	require.Equal(t, record.Rejected, second.Result)
	require.Equal(t, "ana", second.WinnerAuthor)
	require.Equal(t, record.Version(first.Offset), second.WinnerVersion)
	require.Equal(t, 2, f.state.Budgets["one"].Spec.MaxUnavailable)
}

func TestDuplicateRecordIsIgnored(t *testing.T) {
	f := newSmallFleet(t)
	r := record.Record{ID: record.NewID(), Object: "two", Body: budget.Spec{MaxUnavailable: 1}}
	require.Equal(t, record.Accepted, f.apply(r).Result)
	require.Equal(t, record.Duplicate, f.apply(r).Result)
}

func TestStaleFenceIsRejected(t *testing.T) {
	f := newSmallFleet(t)
	old := f.state.Lease.Fence
	f.mustAccept("w", wave.Spec{Pools: []string{"docs"}})
	v := f.apply(record.Record{Base: f.state.Lease.Version, Body: lease.Claim{Holder: "b", TermMS: 1000}})
	require.Equal(t, record.Accepted, v.Result)
	late := f.apply(record.Record{Fence: old, Author: "a", Body: host.Change{
		Event: host.EventCordon, Hosts: []string{"h1"}, Wave: "w"}})
	require.Equal(t, record.Rejected, late.Result)
	require.Contains(t, late.Reason, `"b" holds the planner lease`)
}

func TestFirstOfTwoLeaseClaimsWins(t *testing.T) {
	f := newSmallFleet(t)
	base := f.state.Lease.Version
	require.Equal(t, record.Accepted, f.apply(record.Record{Base: base, Body: lease.Claim{Holder: "b", TermMS: 1000}}).Result)
	lost := f.apply(record.Record{Base: base, Body: lease.Claim{Holder: "c", TermMS: 1000}})
	require.Equal(t, record.Rejected, lost.Result)
	require.Equal(t, "b", lost.WinnerAuthor)
}

func TestWavesAndMovesShareThePoolBudget(t *testing.T) {
	f := newSmallFleet(t)
	f.mustAccept("w1", wave.Spec{Pools: []string{"docs"}})
	f.mustAccept("w2", wave.Spec{Pools: []string{"docs"}})
	f.apply(record.Record{Object: "h3", Base: f.state.Hosts["h3"].Version, Body: host.Move{To: "spare"}})
	f.mustAccept("", host.Change{Event: host.EventCordon, Hosts: []string{"h1"}, Wave: "w1"})
	require.Contains(t, f.mustReject("", host.Change{Event: host.EventCordon, Hosts: []string{"h2"}, Wave: "w2"}), "budget of pool")
	require.Contains(t, f.mustReject("", host.Change{Event: host.EventCordon, Hosts: []string{"h3"}}), "budget of pool")
	f.mustAccept("", f.hostEvent(host.EventReturn, "h1"))
	f.mustAccept("", host.Change{Event: host.EventCordon, Hosts: []string{"h3"}})
}

func TestFailedHostsCountAgainstTheBudget(t *testing.T) {
	f := newSmallFleet(t)
	f.mustAccept("w", wave.Spec{Pools: []string{"docs"}})
	f.mustAccept("", f.hostEvent(host.EventFail, "h2"))
	require.Contains(t, f.mustReject("", host.Change{Event: host.EventCordon, Hosts: []string{"h1"}, Wave: "w"}), "budget of pool")
}

func TestRebootIsRejectedWhenBudgetIsOverdrawn(t *testing.T) {
	f := newSmallFleet(t)
	f.mustAccept("w", wave.Spec{Pools: []string{"docs"}})
	f.mustAccept("", host.Change{Event: host.EventCordon, Hosts: []string{"h1"}, Wave: "w"})
	f.mustAccept("", f.hostEvent(host.EventDrain, "h1"))
	v := f.apply(record.Record{Object: "one", Base: f.state.Budgets["one"].Version, Body: budget.Spec{}})
	require.Equal(t, record.Accepted, v.Result)
	require.Contains(t, f.mustReject("", f.hostEvent(host.EventReboot, "h1")), "overdrawn")
	f.mustAccept("", f.hostEvent(host.EventReturn, "h1"))
}

func TestMoveUpdatesBothPoolsOnAssign(t *testing.T) {
	f := newSmallFleet(t)
	f.apply(record.Record{Object: "h1", Base: f.state.Hosts["h1"].Version, Body: host.Move{To: "spare"}})
	f.mustAccept("", host.Change{Event: host.EventCordon, Hosts: []string{"h1"}})
	require.Equal(t, budget.Tally{Size: 3, Serving: 2}, f.state.Tally("docs"), "until it is assigned, a moving host counts in its old pool")
	f.mustAccept("", f.hostEvent(host.EventDrain, "h1"))
	f.mustAccept("", f.hostEvent(host.EventAssign, "h1"))
	f.mustAccept("", f.hostEvent(host.EventReturn, "h1"))
	require.Equal(t, budget.Tally{Size: 2, Serving: 2}, f.state.Tally("docs"))
	require.Equal(t, budget.Tally{Size: 2, Serving: 2}, f.state.Tally("spare"))
}

func TestAssignIsRejectedWhenBudgetIsOverdrawn(t *testing.T) {
	f := newSmallFleet(t)
	f.apply(record.Record{Object: "h1", Base: f.state.Hosts["h1"].Version, Body: host.Move{To: "spare"}})
	f.mustAccept("", host.Change{Event: host.EventCordon, Hosts: []string{"h1"}})
	f.mustAccept("", f.hostEvent(host.EventDrain, "h1"))
	f.mustAccept("", f.hostEvent(host.EventFail, "h2"))
	require.Contains(t, f.mustReject("", f.hostEvent(host.EventAssign, "h1")), "overdrawn")
}

func TestBarrierBelowTheCordonIsRejected(t *testing.T) {
	f := newSmallFleet(t)
	f.mustAccept("w", wave.Spec{Pools: []string{"docs"}})
	f.mustAccept("", host.Change{Event: host.EventCordon, Hosts: []string{"h1"}, Wave: "w"})
	early := host.Change{Event: host.EventDrain, Hosts: []string{"h1"}, Barrier: f.state.Hosts["h1"].CordonVersion - 1}
	require.Contains(t, f.mustReject("", early), "below its cordon")
}

func TestOnlyRebootedHostsCountAsMaintained(t *testing.T) {
	f := newSmallFleet(t)
	f.mustAccept("w", wave.Spec{Pools: []string{"docs"}})
	f.mustAccept("", host.Change{Event: host.EventCordon, Hosts: []string{"h1"}, Wave: "w"})
	f.mustAccept("", f.hostEvent(host.EventReturn, "h1"))
	require.Len(t, f.state.Waves["w"].PendingHosts, 3, "a host that returned without a reboot is not maintained yet")
	f.mustAccept("", host.Change{Event: host.EventCordon, Hosts: []string{"h1"}, Wave: "w"})
	for _, event := range []host.Event{host.EventDrain, host.EventReboot, host.EventUp, host.EventReturn} {
		f.mustAccept("", f.hostEvent(event, "h1"))
	}
	require.Equal(t, []string{"h2", "h3"}, f.state.Waves["w"].PendingHosts)
}

func TestUnknownKindAndSchemaAreStoredUnapplied(t *testing.T) {
	f := newSmallFleet(t)
	raw := []byte(`{"id":"` + record.NewID().String() + `","kind":"comet","schema":7,"author":"x","body":{"tail":true}}`)
	v, err := f.state.Apply(codec.DecodeEntry(f.state.NextOffset, raw))
	require.NoError(t, err)
	require.Equal(t, record.Kept, v.Result)
	require.Equal(t, raw, f.state.Unknown[v.Offset].Raw)
	later := []byte(`{"id":"` + record.NewID().String() + `","kind":"budget","schema":3,"author":"x","object":"b","body":{}}`)
	v, err = f.state.Apply(codec.DecodeEntry(f.state.NextOffset, later))
	require.NoError(t, err)
	require.Equal(t, record.Kept, v.Result)
	require.Contains(t, v.Reason, "schema 3")
}

func TestGateOpensTheNextVersionOnly(t *testing.T) {
	f := newSmallFleet(t)
	require.Contains(t, f.mustReject("", ledger.Gate{RecordKind: record.KindBudget, Schema: 4}), "only 3 can be opened")
	f.mustAccept("", ledger.Gate{RecordKind: record.KindBudget, Schema: 3})
	require.Equal(t, 3, f.state.OpenSchema(record.KindBudget))
}

func TestMalformedRecordIsRejectedAndReplayContinues(t *testing.T) {
	f := newSmallFleet(t)
	v, err := f.state.Apply(codec.DecodeEntry(f.state.NextOffset, []byte("not json")))
	require.NoError(t, err)
	require.Equal(t, record.Rejected, v.Result)
	f.mustAccept("two", budget.Spec{})
}

func TestGapIsAnErrorAndOldEntriesAreIgnored(t *testing.T) {
	f := newSmallFleet(t)
	var gap *ledger.GapError
	_, err := f.state.Apply(record.Entry{Offset: f.state.NextOffset + 1})
	require.ErrorAs(t, err, &gap)
	at := f.state.NextOffset
	v, err := f.state.Apply(record.Entry{Offset: 0})
	require.NoError(t, err)
	require.Equal(t, record.Duplicate, v.Result)
	require.Equal(t, at, f.state.NextOffset)
}

func TestJobThatFitsNoHostIsMarked(t *testing.T) {
	f := newSmallFleet(t)
	f.mustAccept("huge", jobs.Spec{Pool: "docs", Size: host.Resources{Cores: 1, Accelerators: 1}, Tasks: 1, Urgency: jobs.Low})
	require.Equal(t, "accelerators", f.state.Jobs["huge"].UnplaceableFor)
	big := hostSpec("docs")
	big.Size.Accelerators = 1
	f.mustAccept("h4", big)
	require.Empty(t, f.state.Jobs["huge"].UnplaceableFor, "a host that fits the task has joined")
}

func TestPlacementRespectsHostSizesAndQuotas(t *testing.T) {
	f := newSmallFleet(t)
	f.mustAccept("team-a", quota.Spec{Cores: 10, MemoryMiB: 1 << 20})
	f.mustAccept("j", jobs.Spec{Pool: "docs", Team: "team-a", Size: host.Resources{Cores: 6}, Tasks: 3, Urgency: jobs.Normal})
	start := func(task int, on string) jobs.Placement {
		return jobs.Placement{Items: []jobs.PlacementItem{{Job: "j", Task: task, Act: jobs.ActStart, Host: on}}}
	}
	f.mustAccept("", start(0, "h1"))
	require.Contains(t, f.mustReject("", start(0, "h2")), "is on host")
	require.Contains(t, f.mustReject("", start(1, "s1")), "belongs to pool")
	require.Contains(t, f.mustReject("", start(1, "h2")), `quota of team "team-a" does not have enough cores left`)
	f.mustAccept("", jobs.Placement{Items: []jobs.PlacementItem{{Job: "j", Act: jobs.ActStop}}})
	f.mustAccept("", start(1, "h2"))
	f.mustAccept("", jobs.Cancel{Jobs: []string{"j", "unknown"}})
	require.Contains(t, f.mustReject("", start(2, "h1")), "cancelled")
}

func TestDrainIsRejectedWhileTasksArePlaced(t *testing.T) {
	f := newSmallFleet(t)
	f.mustAccept("j", jobs.Spec{Pool: "docs", Size: host.Resources{Cores: 6}, Tasks: 1, Urgency: jobs.Normal})
	f.mustAccept("", jobs.Placement{Items: []jobs.PlacementItem{{Job: "j", Act: jobs.ActStart, Host: "h1"}}})
	f.mustAccept("w", wave.Spec{Pools: []string{"docs"}})
	f.mustAccept("", host.Change{Event: host.EventCordon, Hosts: []string{"h1"}, Wave: "w"})
	require.Contains(t, f.mustReject("", f.hostEvent(host.EventDrain, "h1")), "still holds 1 tasks")
}

func TestRetireOfObjectInUseIsRejected(t *testing.T) {
	f := newSmallFleet(t)
	retire := func(k record.Kind, name string, base uint64) record.Verdict {
		return f.apply(record.Record{Object: name, Base: base, Body: ledger.Retire{ObjectKind: k}})
	}
	require.Contains(t, retire(record.KindBudget, "one", f.state.Budgets["one"].Version).Reason, "is used by pool")
	require.Contains(t, retire(record.KindPool, "docs", f.state.Pools["docs"].Version).Reason, "still has 3 hosts")
	require.Contains(t, retire(record.KindHost, "h1", f.state.Hosts["h1"].Version).Reason, "only a failed host")
	f.mustAccept("", f.hostEvent(host.EventFail, "h1"))
	require.Equal(t, record.Accepted, retire(record.KindHost, "h1", f.state.Hosts["h1"].Version).Result)
	require.Equal(t, []string{"h2", "h3"}, f.state.HostsOf("docs"))
}

func TestCheckpointDropsOldIDs(t *testing.T) {
	f := newSmallFleet(t)
	before := len(f.state.IDs)
	f.mustAccept("", ledger.Checkpoint{AsOf: f.state.NextOffset, Hash: "0123456789abcdef", FirstOffset: 3})
	require.Equal(t, before-3+1, len(f.state.IDs))
	require.EqualValues(t, 3, f.state.FirstOffset)
}
