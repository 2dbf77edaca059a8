package plan_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/budget"
	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/host"
	"carawaymux.dev/fleet/jobs"
	"carawaymux.dev/fleet/lease"
	"carawaymux.dev/fleet/ledger"
	"carawaymux.dev/fleet/plan"
	"carawaymux.dev/fleet/plat"
	"carawaymux.dev/fleet/pool"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wave"
)

// fixture runs a planner on its own state, without log, platform and entries.
type fixture struct {
	t       *testing.T
	state   *ledger.State
	planner *plan.Planner[plan.ByRack, plan.LendSpares]
	input   plan.Input
}

// newFixture returns a planner for pool docs, which has three hosts in each of two zones. Two hosts
// may be unavailable. Each zone has one entry.
func newFixture(t *testing.T) *fixture {
	mover := plan.LendSpares{ReplaceAfter: time.Second, GiveBackAfter: time.Second}
	f := &fixture{t: t, state: ledger.New(), planner: plan.New(plan.Timing{
		FailAfter: time.Second, ReturnAfter: time.Second,
		PartitionAfter: 3 * time.Second, QuarantineFor: time.Minute, TaskLeaseTerm: 5 * time.Second, RepeatCallAfter: time.Second,
	}, plan.ByRack{}, mover)}
	f.input = plan.Input{Now: time.Unix(1_000_000, 0), Machines: make(map[string]plat.Machine)}
	f.mustAccept("two", budget.Spec{MaxUnavailable: 2, MinAvailable: 3})
	f.mustAccept("docs", pool.Spec{Budget: "two"})
	for i := range 6 {
		name := fmt.Sprintf("h%d", i+1)
		f.mustAccept(name, host.Spec{
			Pool: "docs", Zone: fmt.Sprintf("z%d", i/3+1), Rack: fmt.Sprintf("r%d", i%3), Address: "10.0.0.1:80",
			Size: host.Resources{Cores: 16, MemoryMiB: 65536}, Slots: 8, Connections: 64,
		})
		f.input.Machines[name] = plat.Machine{Name: name, State: plat.MachineLive}
	}
	f.mustAccept("", lease.Claim{Holder: "a", TermMS: 1000})
	f.input.Entries = []plan.Entry{{Name: "e1", Zone: "z1"}, {Name: "e2", Zone: "z2"}}
	return f
}

func (f *fixture) mustAccept(object string, body record.Body) {
	f.t.Helper()
	f.mustApply(plan.Draft{Object: object, Body: body})
}

func (f *fixture) mustApply(d plan.Draft) {
	f.t.Helper()
	v, err := f.state.Apply(record.Entry{Offset: f.state.NextOffset, Record: record.Record{
		ID: record.NewID(), Schema: min(codec.NewestSchema(d.Body.Kind()), f.state.OpenSchema(d.Body.Kind())), Author: "t", Object: d.Object, Base: d.Base,
		Fence: f.state.Lease.Fence, At: f.input.Now.UnixMilli(), Reason: d.Reason, Body: d.Body,
	}})
	require.NoError(f.t, err)
	require.Equal(f.t, record.Accepted, v.Result, "%+v: %s", d, v.Reason)
}

// round advances the time by one second, plans once and applies the drafts. Then reachable entries
// acknowledge the new offset, and machines finish the reboots that were called for.
func (f *fixture) round() plan.Output {
	f.t.Helper()
	f.input.Now = f.input.Now.Add(time.Second)
	out := f.planner.Round(f.state, f.input)
	for _, d := range out.Drafts {
		f.mustApply(d)
	}
	for i := range f.input.Entries {
		if !f.input.Entries[i].Unreachable {
			f.input.Entries[i].Offset = f.state.NextOffset
		}
	}
	for _, c := range out.Calls {
		if c.Verb == plan.VerbReboot {
			f.input.Machines[c.Host] = plat.Machine{Name: c.Host, State: plat.MachineLive, BootFence: c.Fence}
		}
	}
	return out
}

// roundsUntil runs rounds until a condition holds.
func (f *fixture) roundsUntil(what string, holds func() bool) {
	f.t.Helper()
	for range 100 {
		if holds() {
			return
		}
		f.round()
		require.GreaterOrEqual(f.t, f.state.Headroom("docs"), 0, "the budget is never overdrawn")
	}
	f.t.Fatalf("not within 100 rounds: %s", what)
}

func (f *fixture) phase(name string) host.Phase { return f.state.Hosts[name].Phase }

func (f *fixture) waveIs(p wave.Phase) func() bool {
	return func() bool { return f.state.Waves["w"].Phase == p }
}

func TestWaveCompletesWithinBudget(t *testing.T) {
	f := newFixture(t)
	f.mustAccept("w", wave.Spec{Pools: []string{"docs"}})
	f.roundsUntil("the wave is done", f.waveIs(wave.Done))
	for name, h := range f.state.Hosts {
		require.Equal(t, host.Serving, h.Phase, name)
		require.NotZero(t, h.RebootVersion, name)
	}
}

func TestWaveRespectsParallelLimit(t *testing.T) {
	f := newFixture(t)
	f.mustAccept("w", wave.Spec{Pools: []string{"docs"}, Parallel: 1})
	f.roundsUntil("the wave is done", func() bool {
		require.LessOrEqual(t, f.state.Tally("docs").Unavailable(), 1)
		return f.waveIs(wave.Done)()
	})
}

func TestWaveSkipsUnreachableZone(t *testing.T) {
	f := newFixture(t)
	f.mustAccept("w", wave.Spec{Pools: []string{"docs"}})
	f.input.Entries[1].Unreachable = true
	f.roundsUntil("zone 1 is done", func() bool { return len(f.state.Waves["w"].PendingHosts) == 3 })
	for range 10 {
		f.round()
	}
	for _, name := range []string{"h4", "h5", "h6"} {
		require.Equal(t, host.Serving, f.phase(name), name)
	}
	f.input.Entries[1].Unreachable = false
	f.roundsUntil("the wave is done", f.waveIs(wave.Done))
}

func TestCordonedHostOfUnreachableZoneReturnsWithoutReboot(t *testing.T) {
	f := newFixture(t)
	f.mustAccept("w", wave.Spec{Pools: []string{"docs"}})
	f.input.Entries[0].Unreachable, f.input.Entries[1].Unreachable = false, false
	f.round()
	f.input.Entries[0].Unreachable, f.input.Entries[1].Unreachable = true, true
	f.input.Entries[0].Offset, f.input.Entries[1].Offset = 0, 0
	for range 6 {
		f.round()
	}
	for name, h := range f.state.Hosts {
		require.Equal(t, host.Serving, h.Phase, name)
		require.Zero(t, h.RebootVersion, name)
	}
}

func TestBarrierWaitsForRequestsInFlight(t *testing.T) {
	f := newFixture(t)
	f.mustAccept("w", wave.Spec{Pools: []string{"docs"}, Parallel: 1})
	f.input.Entries[0].Busy = []string{"h1", "h2", "h3"}
	f.input.Entries[1].Busy = []string{"h4", "h5", "h6"}
	for range 5 {
		f.round()
	}
	require.Equal(t, 1, f.state.Tally("docs").Unavailable())
	for name, h := range f.state.Hosts {
		require.Contains(t, []host.Phase{host.Serving, host.Cordoned}, h.Phase, name)
	}
	f.input.Entries[0].Busy, f.input.Entries[1].Busy = nil, nil
	f.roundsUntil("the wave is done", f.waveIs(wave.Done))
}

func TestRackFailureIsOneRecordAndPausesWave(t *testing.T) {
	f := newFixture(t)
	f.mustAccept("w", wave.Spec{Pools: []string{"docs"}, Parallel: 1})
	f.input.Machines["h5"] = plat.Machine{Name: "h5", State: plat.MachineDown}
	f.input.Machines["h6"] = plat.Machine{Name: "h6", State: plat.MachineDown}
	f.round()
	out := f.round()
	require.True(t, containsFail(out, []string{"h5", "h6"}), "%+v", out.Drafts)
	f.roundsUntil("the wave is paused", f.waveIs(wave.Paused))
	f.input.Machines["h5"] = plat.Machine{Name: "h5", State: plat.MachineLive}
	f.input.Machines["h6"] = plat.Machine{Name: "h6", State: plat.MachineLive}
	f.roundsUntil("the wave is done", f.waveIs(wave.Done))
}

func containsFail(out plan.Output, hosts []string) bool {
	for _, d := range out.Drafts {
		if c, ok := d.Body.(host.Change); ok && c.Event == host.EventFail && fmt.Sprint(c.Hosts) == fmt.Sprint(hosts) {
			return true
		}
	}
	return false
}

func TestFlappingHostWaitsLongerAfterEachFailure(t *testing.T) {
	f := newFixture(t)
	rounds := func(state plat.MachineState, done func() bool) int {
		f.input.Machines["h1"] = plat.Machine{Name: "h1", State: state}
		n := 0
		for ; !done(); n++ {
			require.Less(t, n, 50)
			f.round()
		}
		return n
	}
	failed := func() bool { return f.phase("h1") == host.Failed }
	serving := func() bool { return f.phase("h1") == host.Serving }
	rounds(plat.MachineDown, failed)
	first := rounds(plat.MachineLive, serving)
	rounds(plat.MachineDown, failed)
	second := rounds(plat.MachineLive, serving)
	require.Greater(t, second, first)
}

func TestStaleMachineListCausesNoFailures(t *testing.T) {
	f := newFixture(t)
	f.input.Machines = nil
	for range 5 {
		require.Empty(t, f.round().Drafts)
	}
}

func TestFailedHostIsReplacedByLoanAndLoanReturned(t *testing.T) {
	f := newFixture(t)
	f.mustAccept("loose", budget.Spec{MaxUnavailable: 2})
	f.mustAccept("spare", pool.Spec{Budget: "loose", Spare: true, Floor: 1})
	for i := range 2 {
		name := fmt.Sprintf("s%d", i+1)
		f.mustAccept(name, host.Spec{
			Pool: "spare", Zone: "z1", Rack: "r9", Address: "10.0.0.2:80", Size: host.Resources{Cores: 16, MemoryMiB: 65536},
			Slots: 8, Connections: 64,
		})
		f.input.Machines[name] = plat.Machine{Name: name, State: plat.MachineLive}
	}
	f.mustAccept("", host.Change{Event: host.EventFail, Hosts: []string{"h1"}})
	v := f.state.Pools["docs"].Version
	f.mustApply(plan.Draft{Object: "docs", Base: v, Body: pool.Spec{Budget: "two", Floor: 6}})
	f.input.Machines["h1"] = plat.Machine{Name: "h1", State: plat.MachineDown}
	f.roundsUntil("docs has six serving hosts again", func() bool { return f.state.Tally("docs") == budget.Tally{Size: 7, Serving: 6} })
	require.Len(t, f.state.HostsOf("spare"), 1)
	f.input.Machines["h1"] = plat.Machine{Name: "h1", State: plat.MachineLive}
	f.roundsUntil("the loan is given back", func() bool { return len(f.state.HostsOf("spare")) == 2 })
	require.Equal(t, budget.Tally{Size: 6, Serving: 6}, f.state.Tally("docs"))
}

func TestQuarantineRequiresAllEntriesOfZone(t *testing.T) {
	f := newFixture(t)
	f.input.Entries = append(f.input.Entries, plan.Entry{Name: "e3", Zone: "z1"})
	f.input.Entries[0].Failing = []string{"h1"}
	f.round()
	require.Equal(t, host.Serving, f.phase("h1"))
	f.input.Entries[2].Failing = []string{"h1"}
	f.round()
	require.Equal(t, host.Quarantined, f.phase("h1"))
	f.input.Entries[0].Failing, f.input.Entries[2].Failing = nil, nil
	f.roundsUntil("the quarantine is over", func() bool { return f.phase("h1") == host.Serving })
}

func TestTasksAreStoppedForWaveAndPlacedAgain(t *testing.T) {
	f := newFixture(t)
	f.mustAccept("batch", jobs.Spec{Pool: "docs", Size: host.Resources{Cores: 8}, Tasks: 6, Urgency: jobs.Normal, Spread: true})
	f.round()
	require.Zero(t, f.state.Jobs["batch"].Waiting())
	f.mustAccept("w", wave.Spec{Pools: []string{"docs"}})
	f.input.StoppedTasks = make(map[plan.TaskKey]uint64)
	for range 100 {
		for _, c := range f.round().Calls {
			if c.Verb == plan.VerbStop {
				f.input.StoppedTasks[c.Task] = c.Fence
			}
		}
		if f.waveIs(wave.Done)() {
			break
		}
	}
	require.True(t, f.waveIs(wave.Done)())
	f.roundsUntil("all tasks are placed", func() bool { return f.state.Jobs["batch"].Waiting() == 0 })
}

func TestUrgentJobsArePlacedFirst(t *testing.T) {
	f := newFixture(t)
	f.mustAccept("bulk", jobs.Spec{Pool: "docs", Size: host.Resources{Cores: 16}, Tasks: 6, Urgency: jobs.Low})
	f.mustAccept("now", jobs.Spec{Pool: "docs", Size: host.Resources{Cores: 16}, Tasks: 2, Urgency: jobs.Urgent})
	f.round()
	require.Zero(t, f.state.Jobs["now"].Waiting())
	require.Equal(t, 2, f.state.Jobs["bulk"].Waiting())
}
