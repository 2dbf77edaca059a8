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

// bench drives a planner on a state of its own, without any process.
type bench struct {
	t       *testing.T
	s       *ledger.State
	planner *plan.Planner[plan.ByRack, plan.Hold]
	in      plan.Input
}

// newBench has a pool of six hosts, three in each of two zones, two of which may be out.
func newBench(t *testing.T) *bench {
	hold := plan.Hold{ReplaceAfter: time.Second, GiveBackAfter: time.Second}
	b := &bench{t: t, s: ledger.New(), planner: plan.New(plan.Times{
		FailAfter: time.Second, ReturnAfter: time.Second,
		CutAfter: 3 * time.Second, QuarantineFor: time.Minute, TaskTerm: 5 * time.Second, RepeatAfter: time.Second,
	}, plan.ByRack{}, hold)}
	b.in = plan.Input{Now: time.Unix(1_000_000, 0), Machines: make(map[string]plat.Machine)}
	b.put("two", budget.Spec{MaxUnavailable: 2, MinAvailable: 3})
	b.put("docs", pool.Spec{Budget: "two"})
	for i := range 6 {
		name := fmt.Sprintf("h%d", i+1)
		b.put(name, host.Spec{
			Pool: "docs", Zone: fmt.Sprintf("z%d", i/3+1), Rack: fmt.Sprintf("r%d", i%3), Address: "10.0.0.1:80",
			Size: host.Resources{Cores: 16, MemoryMiB: 65536}, Slots: 8, Connections: 64,
		})
		b.in.Machines[name] = plat.Machine{Name: name, State: plat.MachineLive}
	}
	b.put("", lease.Claim{Holder: "a", TermMS: 1000})
	b.in.Entries = []plan.Entry{{Name: "e1", Zone: "z1"}, {Name: "e2", Zone: "z2"}}
	return b
}

func (b *bench) put(object string, body record.Body) {
	b.t.Helper()
	b.fold(plan.Draft{Object: object, Body: body})
}

func (b *bench) fold(d plan.Draft) {
	b.t.Helper()
	v, err := b.s.Apply(record.Entry{Offset: b.s.NextOffset, Record: record.Record{
		ID: record.NewID(), Schema: codec.NewestSchema(d.Body.Kind()), Author: "t", Object: d.Object, Base: d.Base,
		Fence: b.s.Lease.Fence, Reason: d.Reason, Body: d.Body,
	}})
	require.NoError(b.t, err)
	require.Equal(b.t, record.Accepted, v.Result, "%+v: %s", d, v.Reason)
}

// round plans once, a second later, folds what is drafted and lets live entries catch up.
func (b *bench) round() plan.Output {
	b.t.Helper()
	b.in.Now = b.in.Now.Add(time.Second)
	out := b.planner.Round(b.s, b.in)
	for _, d := range out.Drafts {
		b.fold(d)
	}
	for i := range b.in.Entries {
		if !b.in.Entries[i].Silent {
			b.in.Entries[i].Offset = b.s.NextOffset
		}
	}
	for _, c := range out.Calls {
		if c.Verb == plan.VerbReboot {
			b.in.Machines[c.Host] = plat.Machine{Name: c.Host, State: plat.MachineLive, BootFence: c.Fence}
		}
	}
	return out
}

// until plans until a condition holds.
func (b *bench) until(what string, holds func() bool) {
	b.t.Helper()
	for range 100 {
		if holds() {
			return
		}
		b.round()
		require.GreaterOrEqual(b.t, b.s.Headroom("docs"), 0, "the budget is never overdrawn")
	}
	b.t.Fatalf("not within 100 rounds: %s", what)
}

func (b *bench) phase(name string) host.Phase { return b.s.Hosts[name].Phase }

func (b *bench) waveIs(p wave.Phase) func() bool {
	return func() bool { return b.s.Waves["w"].Phase == p }
}

func TestWaveRunsThroughWithinTheBudget(t *testing.T) {
	b := newBench(t)
	b.put("w", wave.Spec{Pools: []string{"docs"}})
	b.until("the wave is done", b.waveIs(wave.Done))
	for name, h := range b.s.Hosts {
		require.Equal(t, host.Serving, h.Phase, name)
		require.NotZero(t, h.RebootVersion, name)
	}
}

func TestWaveKeepsItsOwnBound(t *testing.T) {
	b := newBench(t)
	b.put("w", wave.Spec{Pools: []string{"docs"}, Parallel: 1})
	b.until("the wave is done", func() bool {
		require.LessOrEqual(t, b.s.Tally("docs").Unavailable(), 1)
		return b.waveIs(wave.Done)()
	})
}

func TestCutZoneIsLeftAloneAndTheRestGoesOn(t *testing.T) {
	b := newBench(t)
	b.put("w", wave.Spec{Pools: []string{"docs"}})
	b.in.Entries[1].Silent = true
	b.until("zone 1 is done", func() bool { return len(b.s.Waves["w"].PendingHosts) == 3 })
	for range 10 {
		b.round()
	}
	for _, name := range []string{"h4", "h5", "h6"} {
		require.Equal(t, host.Serving, b.phase(name), name)
	}
	b.in.Entries[1].Silent = false
	b.until("the wave is done", b.waveIs(wave.Done))
}

func TestCordonedHostOfACutZoneIsGivenBackButNeverRebooted(t *testing.T) {
	b := newBench(t)
	b.put("w", wave.Spec{Pools: []string{"docs"}})
	b.in.Entries[0].Silent, b.in.Entries[1].Silent = false, false
	b.round()
	b.in.Entries[0].Silent, b.in.Entries[1].Silent = true, true
	b.in.Entries[0].Offset, b.in.Entries[1].Offset = 0, 0
	for range 6 {
		b.round()
	}
	for name, h := range b.s.Hosts {
		require.Equal(t, host.Serving, h.Phase, name)
		require.Zero(t, h.RebootVersion, name)
	}
}

func TestBarrierWaitsForRequestsInFlight(t *testing.T) {
	b := newBench(t)
	b.put("w", wave.Spec{Pools: []string{"docs"}, Parallel: 1})
	b.in.Entries[0].Busy = []string{"h1", "h2", "h3"}
	b.in.Entries[1].Busy = []string{"h4", "h5", "h6"}
	for range 5 {
		b.round()
	}
	require.Equal(t, 1, b.s.Tally("docs").Unavailable())
	for name, h := range b.s.Hosts {
		require.Contains(t, []host.Phase{host.Serving, host.Cordoned}, h.Phase, name)
	}
	b.in.Entries[0].Busy, b.in.Entries[1].Busy = nil, nil
	b.until("the wave is done", b.waveIs(wave.Done))
}

func TestRackFailsInOneRecordAndPausesTheWave(t *testing.T) {
	b := newBench(t)
	b.put("w", wave.Spec{Pools: []string{"docs"}, Parallel: 1})
	b.in.Machines["h5"] = plat.Machine{Name: "h5", State: plat.MachineDown}
	b.in.Machines["h6"] = plat.Machine{Name: "h6", State: plat.MachineDown}
	b.round()
	out := b.round()
	require.True(t, containsFail(out, []string{"h5", "h6"}), "%+v", out.Drafts)
	b.until("the wave is paused", b.waveIs(wave.Paused))
	b.in.Machines["h5"] = plat.Machine{Name: "h5", State: plat.MachineLive}
	b.in.Machines["h6"] = plat.Machine{Name: "h6", State: plat.MachineLive}
	b.until("the wave is done", b.waveIs(wave.Done))
}

func containsFail(out plan.Output, hosts []string) bool {
	for _, d := range out.Drafts {
		if c, ok := d.Body.(host.Change); ok && c.Event == host.EventFail && fmt.Sprint(c.Hosts) == fmt.Sprint(hosts) {
			return true
		}
	}
	return false
}

func TestFlappingHostReturnsLaterEachTime(t *testing.T) {
	b := newBench(t)
	rounds := func(state plat.MachineState, done func() bool) int {
		b.in.Machines["h1"] = plat.Machine{Name: "h1", State: state}
		n := 0
		for ; !done(); n++ {
			require.Less(t, n, 50)
			b.round()
		}
		return n
	}
	failed := func() bool { return b.phase("h1") == host.Failed }
	serving := func() bool { return b.phase("h1") == host.Serving }
	rounds(plat.MachineDown, failed)
	first := rounds(plat.MachineLive, serving)
	rounds(plat.MachineDown, failed)
	second := rounds(plat.MachineLive, serving)
	require.Greater(t, second, first)
}

func TestOldListIsNoGroundForFailures(t *testing.T) {
	b := newBench(t)
	b.in.Machines = nil
	for range 5 {
		require.Empty(t, b.round().Drafts)
	}
}

func TestLostHostIsReplacedOnLoanAndGivenBack(t *testing.T) {
	b := newBench(t)
	b.put("loose", budget.Spec{MaxUnavailable: 2})
	b.put("spare", pool.Spec{Budget: "loose", Spare: true, Floor: 1})
	for i := range 2 {
		name := fmt.Sprintf("s%d", i+1)
		b.put(name, host.Spec{
			Pool: "spare", Zone: "z1", Rack: "r9", Address: "10.0.0.2:80", Size: host.Resources{Cores: 16, MemoryMiB: 65536},
			Slots: 8, Connections: 64,
		})
		b.in.Machines[name] = plat.Machine{Name: name, State: plat.MachineLive}
	}
	b.put("shift", host.Change{Event: host.EventFail, Hosts: []string{"h1"}})
	v := b.s.Pools["docs"].Version
	b.fold(plan.Draft{Object: "docs", Base: v, Body: pool.Spec{Budget: "two", Floor: 6}})
	b.in.Machines["h1"] = plat.Machine{Name: "h1", State: plat.MachineDown}
	b.until("docs is whole again", func() bool { return b.s.Tally("docs") == budget.Tally{Size: 7, Serving: 6} })
	require.Len(t, b.s.HostsOf("spare"), 1)
	b.in.Machines["h1"] = plat.Machine{Name: "h1", State: plat.MachineLive}
	b.until("the loan is given back", func() bool { return len(b.s.HostsOf("spare")) == 2 })
	require.Equal(t, budget.Tally{Size: 6, Serving: 6}, b.s.Tally("docs"))
}

func TestQuarantineNeedsEveryEntryOfTheZone(t *testing.T) {
	b := newBench(t)
	b.in.Entries = append(b.in.Entries, plan.Entry{Name: "e3", Zone: "z1"})
	b.in.Entries[0].Failing = []string{"h1"}
	b.round()
	require.Equal(t, host.Serving, b.phase("h1"))
	b.in.Entries[2].Failing = []string{"h1"}
	b.round()
	require.Equal(t, host.Quarantined, b.phase("h1"))
	b.in.Entries[0].Failing, b.in.Entries[2].Failing = nil, nil
	b.until("the quarantine is over", func() bool { return b.phase("h1") == host.Serving })
}

func TestTasksArePlacedStoppedForWavesAndPlacedAgain(t *testing.T) {
	b := newBench(t)
	b.put("match", jobs.Spec{Pool: "docs", Size: host.Resources{Cores: 8}, Tasks: 6, Urgency: jobs.Normal, Spread: true})
	b.round()
	require.Zero(t, b.s.Jobs["match"].Waiting())
	b.put("w", wave.Spec{Pools: []string{"docs"}})
	b.in.Stopped = make(map[plan.TaskKey]uint64)
	for range 100 {
		for _, c := range b.round().Calls {
			if c.Verb == plan.VerbStop {
				b.in.Stopped[c.Task] = c.Fence
			}
		}
		if b.waveIs(wave.Done)() {
			break
		}
	}
	require.True(t, b.waveIs(wave.Done)())
	b.until("all tasks are placed", func() bool { return b.s.Jobs["match"].Waiting() == 0 })
}

func TestUrgentJobsArePlacedFirst(t *testing.T) {
	b := newBench(t)
	b.put("bulk", jobs.Spec{Pool: "docs", Size: host.Resources{Cores: 16}, Tasks: 6, Urgency: jobs.Low})
	b.put("now", jobs.Spec{Pool: "docs", Size: host.Resources{Cores: 16}, Tasks: 2, Urgency: jobs.Urgent})
	b.round()
	require.Zero(t, b.s.Jobs["now"].Waiting())
	require.Equal(t, 2, b.s.Jobs["bulk"].Waiting())
}
