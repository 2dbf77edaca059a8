package integ

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/budget"
	"carawaymux.dev/fleet/client"
	"carawaymux.dev/fleet/host"
	"carawaymux.dev/fleet/plat"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wave"
	"carawaymux.dev/fleet/wire"
	"carawaymux.dev/trial/faulty"
	"carawaymux.dev/trial/load"
	"carawaymux.dev/trial/site"
	"carawaymux.dev/trial/target"
)

// hostsOf lists the targets of a pool in a zone.
func (r *rig) hostsOf(pool, zone string) []*site.Target {
	var out []*site.Target
	for _, t := range r.Targets {
		if t.Pool == pool && (zone == "" || t.Zone == zone) {
			out = append(out, t)
		}
	}
	return out
}

// phases returns the phase of each host of a pool at an entry.
func (r *rig) phases(e *site.Entry, pool string) map[string]string {
	out := make(map[string]string)
	for _, t := range r.hostsOf(pool, "") {
		out[t.Name] = r.object(e, record.KindHost, t.Name).Status.Phase
	}
	return out
}

func TestZoneIsCutOffInsideAWave(t *testing.T) {
	r := start(t, twoZones())
	r.holder()
	heal := r.cutZone(zoneB)
	a := r.Entries[0]
	// The zone counts as cut once its entries have been silent for a while.
	r.eventually("zone B is silent", 20*time.Second, func(ctx context.Context) error {
		members, err := a.Client.Members(ctx)
		if err != nil {
			return err
		}
		for _, m := range members {
			if m.Zone == zoneB && m.State != "silent" {
				return fmt.Errorf("%s is %s", m.Name, m.State)
			}
		}
		return nil
	})
	r.phaseOfSomePlanner(a)
	r.publish(a, "w", 0, wave.Spec{Pools: []string{"documents"}})
	r.eventually("the hosts of zone A are maintained", 30*time.Second, func(context.Context) error {
		if left := r.object(a, record.KindWave, "w").Status.Remaining; left != 2 {
			return fmt.Errorf("%d left", left)
		}
		return nil
	})
	stats, err := r.HostStats(r.ctx)
	require.NoError(t, err)
	for _, target := range r.hostsOf("documents", zoneB) {
		require.Zero(t, stats.Reboots[target.Name], "a host of the cut zone was rebooted under it")
	}
	require.Equal(t, wire.Done, r.request(r.entry("tp-b-e1"), "documents").Outcome, "the cut zone goes on serving")
	heal()
	r.phase(a, record.KindWave, "w", "done", 40*time.Second)
	r.checkStream("documents")
}

// phaseOfSomePlanner waits until an entry that e can see holds the lease.
func (r *rig) phaseOfSomePlanner(e *site.Entry) {
	r.t.Helper()
	r.eventually("a planner on this side", 30*time.Second, func(ctx context.Context) error {
		status, err := e.Client.Status(ctx)
		if err != nil {
			return err
		}
		name, _, _ := strings.Cut(status.Lease.Holder, ":")
		if name == "" || r.zoneOf(name) != e.Zone {
			return fmt.Errorf("the lease is held by %q", name)
		}
		return nil
	})
}

func TestRackDiesInsideAWave(t *testing.T) {
	r := start(t, twoZones())
	e := r.Entries[0]
	r.publish(e, "w", 0, wave.Spec{Pools: []string{"documents", "remittances"}, Parallel: 1})
	r.eventually("the wave has begun", 20*time.Second, func(context.Context) error {
		if r.object(e, record.KindWave, "w").Status.Remaining == 8 {
			return errors.New("no host is done yet")
		}
		return nil
	})
	// Rack r1 of zone A holds the documents and remittances hosts of the zone.
	rack := append(r.hostsOf("documents", zoneA), r.hostsOf("remittances", zoneA)...)
	for _, target := range rack {
		require.NoError(t, r.SetMachineState(r.ctx, target.Name, plat.MachineDown))
	}
	r.phase(e, record.KindWave, "w", "paused", 20*time.Second)
	explained, err := e.Client.Explain(r.ctx, record.KindWave, "w")
	require.NoError(t, err)
	require.Contains(t, strings.Join(explained.Why, "\n"), "correlated-failure")
	for _, target := range rack {
		require.NoError(t, r.SetMachineState(r.ctx, target.Name, plat.MachineLive))
	}
	r.phase(e, record.KindWave, "w", "done", 60*time.Second)
}

func TestEntryIsKilledBetweenCordonAndAct(t *testing.T) {
	r := start(t, twoZones())
	r.holder()
	e := r.entry("tp-a-e1")
	victim := r.entry("tp-b-e2")
	if r.holder() == victim {
		victim = r.entry("tp-b-e1")
	}
	// A paused entry has not acknowledged; a killed one may still have requests on
	// their way. Neither may be taken for gone by its silence.
	require.NoError(t, victim.Proc.Pause())
	r.publish(e, "w", 0, wave.Spec{Pools: []string{"documents"}})
	r.eventually("zone A is done", 30*time.Second, func(context.Context) error {
		if left := r.object(e, record.KindWave, "w").Status.Remaining; left > 2 {
			return fmt.Errorf("%d left", left)
		}
		return nil
	})
	victim.Proc.Kill()
	time.Sleep(2 * time.Second)
	stats, err := r.HostStats(r.ctx)
	require.NoError(t, err)
	for _, target := range r.hostsOf("documents", zoneB) {
		require.Zero(t, stats.Reboots[target.Name], "a host was rebooted while an entry of its zone had not acknowledged")
	}
	require.NoError(t, r.SetMachineState(r.ctx, victim.Name, plat.MachineGone))
	r.phase(e, record.KindWave, "w", "done", 40*time.Second)
	r.checkStream("documents")
}

func TestPlannerIsKilledInsideAWave(t *testing.T) {
	r := start(t, twoZones())
	holder := r.holder()
	e := r.Entries[0]
	if e == holder {
		e = r.Entries[2]
	}
	r.publish(e, "w", 0, wave.Spec{Pools: []string{"documents"}})
	r.eventually("a host is out", 20*time.Second, func(context.Context) error {
		for _, phase := range r.phases(e, "documents") {
			if phase != "serving" {
				return nil
			}
		}
		return errors.New("none yet")
	})
	r.replace(holder)
	r.phase(e, record.KindWave, "w", "done", 60*time.Second)
	r.checkStream("documents")
	stats, err := r.HostStats(r.ctx)
	require.NoError(t, err)
	for _, target := range r.hostsOf("documents", "") {
		require.Equal(t, 1, stats.Reboots[target.Name], "%s is rebooted exactly once", target.Name)
	}
}

func TestRebootWhoseAnswerIsLostHappensOnce(t *testing.T) {
	r := start(t, twoZones())
	r.holder()
	require.NoError(t, r.SetHostFaults(r.ctx, faulty.Faults{LoseAnswers: 6}))
	r.publish(r.Entries[0], "w", 0, wave.Spec{Pools: []string{"remittances"}})
	r.phase(r.Entries[0], record.KindWave, "w", "done", 60*time.Second)
	stats, err := r.HostStats(r.ctx)
	require.NoError(t, err)
	for _, target := range r.hostsOf("remittances", "") {
		require.Equal(t, 1, stats.Reboots[target.Name], "%s is rebooted exactly once", target.Name)
	}
}

func TestTwoWavesAndAMoveShareOneBudget(t *testing.T) {
	r := start(t, twoZones())
	e := r.Entries[0]
	const moving = "tp-b-documents-1"
	r.publish(e, "w1", 0, wave.Spec{Pools: []string{"documents"}})
	r.publish(r.Entries[2], "w2", 0, wave.Spec{Pools: []string{"documents"}})
	r.eventually("the move is accepted", 20*time.Second, func(ctx context.Context) error {
		o, err := e.Client.Object(ctx, record.KindHost, moving, 0)
		if err != nil {
			return err
		}
		_, err = e.Client.Publish(ctx, newMove(moving, o.Version, "remittances"))
		return err
	})
	r.phase(e, record.KindWave, "w1", "done", 60*time.Second)
	r.phase(e, record.KindWave, "w2", "done", 60*time.Second)
	r.eventually("the host has moved", 20*time.Second, func(context.Context) error {
		if o := r.object(e, record.KindHost, moving); o.Status.Pool != "remittances" {
			return fmt.Errorf("it is in %s", o.Status.Pool)
		}
		return nil
	})
	r.checkStream("documents")
	r.checkStream("remittances")
}

func TestStricterBudgetInsideAWaveGivesCordonedHostsBack(t *testing.T) {
	r := start(t, twoZones())
	r.holder()
	e := r.entry("tp-a-e1")
	// Requests in flight on every host hold the barrier up, so that the host stays
	// cordoned.
	for _, target := range r.hostsOf("documents", "") {
		require.NoError(t, r.SetBehaviour(r.ctx, target, targetHangs))
	}
	for _, one := range r.Entries {
		for range 16 {
			go func() {
				_, _ = one.Client.Do(r.ctx, client.Request{
					Kind: "documents", ID: record.NewID().String(), Idempotent: true, Deadline: 15 * time.Second,
				})
			}()
		}
	}
	time.Sleep(500 * time.Millisecond)
	r.publish(e, "w", 0, wave.Spec{Pools: []string{"documents"}})
	r.eventually("a host is cordoned", 10*time.Second, func(context.Context) error {
		for _, phase := range r.phases(e, "documents") {
			if phase == "cordoned" {
				return nil
			}
		}
		return errors.New("none yet")
	})
	v := r.object(e, record.KindBudget, "documents").Version
	r.publish(e, "documents", v, budget.Spec{MaxUnavailable: 0, MinAvailable: 4})
	r.eventually("every host serves again", 10*time.Second, func(context.Context) error {
		for name, phase := range r.phases(e, "documents") {
			if phase != "serving" {
				return fmt.Errorf("%s is %s", name, phase)
			}
		}
		return nil
	})
	time.Sleep(time.Second)
	for name, phase := range r.phases(e, "documents") {
		require.Equal(t, "serving", phase, "%s was taken out past the new budget", name)
	}
}

func TestLostHostsAreReplacedFromTheSpareAndGivenBack(t *testing.T) {
	p := twoZones()
	p.Pools[0].Floor = 4
	p.Pools[2].Floor = 3
	p.Settings = map[string][]string{"planner": {"replace-after = 500ms", "give-back-after = 1s"}}
	r := start(t, p)
	e := r.Entries[0]
	const lost = "tp-a-documents-1"
	require.NoError(t, r.SetMachineState(r.ctx, lost, plat.MachineDown))
	size := func(pool string) int { return r.object(e, record.KindPool, pool).Status.Size }
	r.eventually("a spare host takes its place", 30*time.Second, func(context.Context) error {
		if size("documents") != 5 || size("inquiries") != 3 {
			return fmt.Errorf("documents has %d hosts, inquiries %d", size("documents"), size("inquiries"))
		}
		return nil
	})
	// A second loss must not take the spare pool below its own floor.
	require.NoError(t, r.SetMachineState(r.ctx, "tp-b-documents-1", plat.MachineDown))
	time.Sleep(3 * time.Second)
	require.Equal(t, 3, size("inquiries"), "the spare pool keeps its floor")
	require.NoError(t, r.SetMachineState(r.ctx, lost, plat.MachineLive))
	require.NoError(t, r.SetMachineState(r.ctx, "tp-b-documents-1", plat.MachineLive))
	r.eventually("the host on loan is given back", 30*time.Second, func(context.Context) error {
		if size("documents") != 4 || size("inquiries") != 4 {
			return fmt.Errorf("documents has %d hosts, inquiries %d", size("documents"), size("inquiries"))
		}
		return nil
	})
}

// targetHangs makes a target take requests and never answer.
var targetHangs = target.Behaviour{Mode: target.Hang}

func newMove(name string, base uint64, to string) record.Record {
	return newRecord(name, base, host.Move{To: to})
}

func TestNoHostIsRebootedUnderRequestsInFlight(t *testing.T) {
	p := twoZones()
	p.Pools[1].RunTime = time.Second
	r := start(t, p)
	e := r.Entries[0]
	streams := []load.Stream{{Kind: "remittances", Rate: 12, Deadline: 8 * time.Second}}
	results := r.during(12*time.Second, r.fixed(), streams, func() {
		r.publish(e, "w", 0, wave.Spec{Pools: []string{"remittances"}})
		r.phase(e, record.KindWave, "w", "done", 40*time.Second)
	})
	r.keepsPromises(results)
	for _, one := range results {
		require.Equal(t, wire.Done, one.LastAttempt().Outcome, "%+v", one.Attempts)
	}
}
