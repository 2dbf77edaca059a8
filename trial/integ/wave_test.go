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

// hostsOf returns the targets of a pool in a zone, or in all zones if zone is empty.
func (f *fixture) hostsOf(pool, zone string) []*site.Target {
	var out []*site.Target
	for _, t := range f.Targets {
		if t.Pool == pool && (zone == "" || t.Zone == zone) {
			out = append(out, t)
		}
	}
	return out
}

// hostPhases returns the phase that an entry reports for each host of a pool.
func (f *fixture) hostPhases(e *site.Entry, pool string) map[string]string {
	out := make(map[string]string)
	for _, t := range f.hostsOf(pool, "") {
		out[t.Name] = f.object(e, record.KindHost, t.Name).Status.Phase
	}
	return out
}

func TestZonePartitionDuringAWave(t *testing.T) {
	f := start(t, twoZones())
	f.leaseHolder()
	heal := f.partitionZone(zoneB)
	a := f.Entries[0]
	// The partition takes effect on planning once the entries of zone B count as
	// silent.
	f.eventually("zone B is silent", 20*time.Second, func(ctx context.Context) error {
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
	f.waitForPlannerIn(a)
	f.publish(a, "w", 0, wave.Spec{Pools: []string{"documents"}})
	f.eventually("the hosts of zone A are maintained", 30*time.Second, func(context.Context) error {
		if left := f.object(a, record.KindWave, "w").Status.Remaining; left != 2 {
			return fmt.Errorf("%d hosts not yet maintained", left)
		}
		return nil
	})
	stats, err := f.HostStats(f.ctx)
	require.NoError(t, err)
	for _, target := range f.hostsOf("documents", zoneB) {
		require.Zero(t, stats.Reboots[target.Name], "a host of the partitioned zone was rebooted")
	}
	require.Equal(t, wire.Done, f.request(f.entry("tp-b-e1"), "documents").Outcome, "the partitioned zone does not serve requests")
	heal()
	f.waitForPhase(a, record.KindWave, "w", "done", 40*time.Second)
	f.checkBudgetHistory("documents")
}

// waitForPlannerIn waits until an entry in the zone of e holds the planner lease.
func (f *fixture) waitForPlannerIn(e *site.Entry) {
	f.t.Helper()
	f.eventually("an entry in the same zone holds the planner lease", 30*time.Second, func(ctx context.Context) error {
		status, err := e.Client.Status(ctx)
		if err != nil {
			return err
		}
		name, _, _ := strings.Cut(status.Lease.Holder, ":")
		if name == "" || f.zoneOf(name) != e.Zone {
			return fmt.Errorf("the lease is held by %q", name)
		}
		return nil
	})
}

func TestRackFailurePausesAWave(t *testing.T) {
	f := start(t, twoZones())
	e := f.Entries[0]
	f.publish(e, "w", 0, wave.Spec{Pools: []string{"documents", "remittances"}, Parallel: 1})
	f.eventually("the wave has begun", 20*time.Second, func(context.Context) error {
		if f.object(e, record.KindWave, "w").Status.Remaining == 8 {
			return errors.New("no host is maintained yet")
		}
		return nil
	})
	// Rack r1 of zone A holds the documents and remittances hosts of the zone.
	rack := append(f.hostsOf("documents", zoneA), f.hostsOf("remittances", zoneA)...)
	for _, target := range rack {
		require.NoError(t, f.SetMachineState(f.ctx, target.Name, plat.MachineDown))
	}
	f.waitForPhase(e, record.KindWave, "w", "paused", 20*time.Second)
	explained, err := e.Client.Explain(f.ctx, record.KindWave, "w")
	require.NoError(t, err)
	require.Contains(t, strings.Join(explained.Why, "\n"), "correlated-failure")
	for _, target := range rack {
		require.NoError(t, f.SetMachineState(f.ctx, target.Name, plat.MachineLive))
	}
	f.waitForPhase(e, record.KindWave, "w", "done", 60*time.Second)
}

func TestSilentEntryBlocksRebootsInItsZone(t *testing.T) {
	f := start(t, twoZones())
	f.leaseHolder()
	e := f.entry("tp-a-e1")
	victim := f.entry("tp-b-e2")
	if f.leaseHolder() == victim {
		victim = f.entry("tp-b-e1")
	}
	// A paused entry has not acknowledged the cordon, and requests of a killed entry
	// may still be in flight. Silence alone must not count as the end of an entry.
	require.NoError(t, victim.Proc.Pause())
	f.publish(e, "w", 0, wave.Spec{Pools: []string{"documents"}})
	f.eventually("the hosts of zone A are maintained", 30*time.Second, func(context.Context) error {
		if left := f.object(e, record.KindWave, "w").Status.Remaining; left > 2 {
			return fmt.Errorf("%d hosts not yet maintained", left)
		}
		return nil
	})
	victim.Proc.Kill()
	time.Sleep(2 * time.Second)
	stats, err := f.HostStats(f.ctx)
	require.NoError(t, err)
	for _, target := range f.hostsOf("documents", zoneB) {
		require.Zero(t, stats.Reboots[target.Name], "a host was rebooted while an entry of its zone had not acknowledged")
	}
	require.NoError(t, f.SetMachineState(f.ctx, victim.Name, plat.MachineGone))
	f.waitForPhase(e, record.KindWave, "w", "done", 40*time.Second)
	f.checkBudgetHistory("documents")
}

func TestPlannerIsKilledDuringAWave(t *testing.T) {
	f := start(t, twoZones())
	holder := f.leaseHolder()
	e := f.Entries[0]
	if e == holder {
		e = f.Entries[2]
	}
	f.publish(e, "w", 0, wave.Spec{Pools: []string{"documents"}})
	f.eventually("a host is out of service", 20*time.Second, func(context.Context) error {
		for _, phase := range f.hostPhases(e, "documents") {
			if phase != "serving" {
				return nil
			}
		}
		return errors.New("no host yet")
	})
	f.restartEntry(holder)
	f.waitForPhase(e, record.KindWave, "w", "done", 60*time.Second)
	f.checkBudgetHistory("documents")
	stats, err := f.HostStats(f.ctx)
	require.NoError(t, err)
	for _, target := range f.hostsOf("documents", "") {
		require.Equal(t, 1, stats.Reboots[target.Name], "host %s was not rebooted exactly once", target.Name)
	}
}

func TestRebootWithLostAnswerHappensOnce(t *testing.T) {
	f := start(t, twoZones())
	f.leaseHolder()
	require.NoError(t, f.SetHostFaults(f.ctx, faulty.Faults{LoseAnswers: 6}))
	f.publish(f.Entries[0], "w", 0, wave.Spec{Pools: []string{"remittances"}})
	f.waitForPhase(f.Entries[0], record.KindWave, "w", "done", 60*time.Second)
	stats, err := f.HostStats(f.ctx)
	require.NoError(t, err)
	for _, target := range f.hostsOf("remittances", "") {
		require.Equal(t, 1, stats.Reboots[target.Name], "host %s was not rebooted exactly once", target.Name)
	}
}

func TestTwoWavesAndAMoveShareOneBudget(t *testing.T) {
	f := start(t, twoZones())
	e := f.Entries[0]
	const moving = "tp-b-documents-1"
	f.publish(e, "w1", 0, wave.Spec{Pools: []string{"documents"}})
	f.publish(f.Entries[2], "w2", 0, wave.Spec{Pools: []string{"documents"}})
	f.eventually("the move is accepted", 20*time.Second, func(ctx context.Context) error {
		o, err := e.Client.Object(ctx, record.KindHost, moving, 0)
		if err != nil {
			return err
		}
		_, err = e.Client.Publish(ctx, newMove(moving, o.Version, "remittances"))
		return err
	})
	f.waitForPhase(e, record.KindWave, "w1", "done", 60*time.Second)
	f.waitForPhase(e, record.KindWave, "w2", "done", 60*time.Second)
	f.eventually("the host has moved", 20*time.Second, func(context.Context) error {
		if o := f.object(e, record.KindHost, moving); o.Status.Pool != "remittances" {
			return fmt.Errorf("it is in pool %s", o.Status.Pool)
		}
		return nil
	})
	f.checkBudgetHistory("documents")
	f.checkBudgetHistory("remittances")
}

func TestStricterBudgetDuringAWaveUncordonsHosts(t *testing.T) {
	f := start(t, twoZones())
	f.leaseHolder()
	e := f.entry("tp-a-e1")
	// A cordoned host is not drained while requests are in flight on it. Hanging
	// requests on all hosts keep the host of the wave in the phase cordoned.
	for _, target := range f.hostsOf("documents", "") {
		require.NoError(t, f.SetBehaviour(f.ctx, target, hangingTarget))
	}
	for _, entry := range f.Entries {
		for range 16 {
			go func() {
				_, _ = entry.Client.Do(f.ctx, client.Request{
					Kind: "documents", ID: record.NewID().String(), Idempotent: true, Deadline: 15 * time.Second,
				})
			}()
		}
	}
	time.Sleep(500 * time.Millisecond)
	f.publish(e, "w", 0, wave.Spec{Pools: []string{"documents"}})
	f.eventually("a host is cordoned", 10*time.Second, func(context.Context) error {
		for _, phase := range f.hostPhases(e, "documents") {
			if phase == "cordoned" {
				return nil
			}
		}
		return errors.New("no host yet")
	})
	v := f.object(e, record.KindBudget, "documents").Version
	f.publish(e, "documents", v, budget.Spec{MaxUnavailable: 0, MinAvailable: 4})
	f.eventually("every host serves again", 10*time.Second, func(context.Context) error {
		for name, phase := range f.hostPhases(e, "documents") {
			if phase != "serving" {
				return fmt.Errorf("%s is %s", name, phase)
			}
		}
		return nil
	})
	time.Sleep(time.Second)
	for name, phase := range f.hostPhases(e, "documents") {
		require.Equal(t, "serving", phase, "host %s was taken out of service against the new budget", name)
	}
}

func TestLostHostsAreReplacedFromTheSparePoolAndReturned(t *testing.T) {
	p := twoZones()
	p.Pools[0].Floor = 4
	p.Pools[2].Floor = 3
	p.Settings = map[string][]string{"planner": {"replace-after = 500ms", "give-back-after = 1s"}}
	f := start(t, p)
	e := f.Entries[0]
	const lost = "tp-a-documents-1"
	require.NoError(t, f.SetMachineState(f.ctx, lost, plat.MachineDown))
	size := func(pool string) int { return f.object(e, record.KindPool, pool).Status.Size }
	f.eventually("a spare host replaces the lost one", 30*time.Second, func(context.Context) error {
		if size("documents") != 5 || size("inquiries") != 3 {
			return fmt.Errorf("documents has %d hosts, inquiries %d", size("documents"), size("inquiries"))
		}
		return nil
	})
	// A second loss must not reduce the spare pool below its floor.
	require.NoError(t, f.SetMachineState(f.ctx, "tp-b-documents-1", plat.MachineDown))
	time.Sleep(3 * time.Second)
	require.Equal(t, 3, size("inquiries"), "the spare pool is not at its floor")
	require.NoError(t, f.SetMachineState(f.ctx, lost, plat.MachineLive))
	require.NoError(t, f.SetMachineState(f.ctx, "tp-b-documents-1", plat.MachineLive))
	f.eventually("the lent host is returned to the spare pool", 30*time.Second, func(context.Context) error {
		if size("documents") != 4 || size("inquiries") != 4 {
			return fmt.Errorf("documents has %d hosts, inquiries %d", size("documents"), size("inquiries"))
		}
		return nil
	})
}

// hangingTarget makes a target accept requests and never answer them.
var hangingTarget = target.Behaviour{Mode: target.Hang}

func newMove(name string, base uint64, to string) record.Record {
	return newRecord(name, base, host.Move{To: to})
}

func TestNoHostIsRebootedWithRequestsInFlight(t *testing.T) {
	p := twoZones()
	p.Pools[1].RunTime = time.Second
	f := start(t, p)
	e := f.Entries[0]
	streams := []load.Stream{{Kind: "remittances", Rate: 12, Deadline: 8 * time.Second}}
	results := f.runLoad(12*time.Second, f.roundRobin(), streams, func() {
		f.publish(e, "w", 0, wave.Spec{Pools: []string{"remittances"}})
		f.waitForPhase(e, record.KindWave, "w", "done", 40*time.Second)
	})
	f.checkGuarantees(results)
	for _, result := range results {
		require.Equal(t, wire.Done, result.LastAttempt().Outcome, "%+v", result.Attempts)
	}
}
