package integ

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/client"
	"carawaymux.dev/fleet/plat"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wire"
	"carawaymux.dev/trial/load"
	"carawaymux.dev/trial/target"
)

// roundRobin selects all entries in turn, including those that are not ready.
func (f *fixture) roundRobin() load.RoundRobin {
	var out load.RoundRobin
	for _, e := range f.Entries {
		out = append(out, client.New("http://"+e.HTTP, client.WithHTTP(load.NewHTTPClient())))
	}
	return out
}

// mixedLoad returns a load of idempotent documents and non-idempotent remittances.
func mixedLoad(rate float64) []load.Stream {
	return []load.Stream{
		{Kind: "documents", Rate: rate, Idempotent: true, Deadline: 3 * time.Second, BodyBytes: 512, MaxRetries: 2},
		{Kind: "remittances", Rate: rate, Deadline: 3 * time.Second, BodyBytes: 512, MaxRetries: 2},
	}
}

// checkGuarantees compares the results with what the targets ran, and checks that no target
// got more requests or connections at once than it allows.
func (f *fixture) checkGuarantees(results []load.Result) {
	f.t.Helper()
	totals := f.Totals(f.ctx)
	require.Empty(f.t, load.Check(results, totals.Runs))
	require.Empty(f.t, totals.Repeated, "non-idempotent requests ran more than once")
	require.LessOrEqual(f.t, totals.PeakSlots, 8)
	require.LessOrEqual(f.t, totals.PeakConnections, 64)
	f.t.Logf("%d requests: %v; %d refused by targets", len(results), load.Count(results, ""), totals.Refused)
}

// runLoad runs a load, calls disturb meanwhile and returns the results of the load.
func (f *fixture) runLoad(d time.Duration, b load.Balancer, streams []load.Stream, disturb func()) []load.Result {
	f.t.Helper()
	results := make(chan []load.Result, 1)
	go func() { results <- load.New(b, seed).Run(f.ctx, d, streams...) }()
	disturb()
	return <-results
}

func TestKilledEntriesKeepRequestGuarantees(t *testing.T) {
	f := start(t, twoZones())
	results := f.runLoad(6*time.Second, f.roundRobin(), mixedLoad(150), func() {
		for _, e := range f.Entries {
			time.Sleep(time.Second)
			f.restartEntry(e)
		}
	})
	require.NoError(t, f.WaitReady(f.ctx))
	f.checkGuarantees(results)
	require.Greater(t, load.Count(results, "documents")[wire.Done], len(results)/4)
}

func TestPausedEntriesKeepRequestGuarantees(t *testing.T) {
	f := start(t, twoZones())
	results := f.runLoad(6*time.Second, f.roundRobin(), mixedLoad(100), func() {
		for _, e := range f.Entries[:3] {
			require.NoError(t, e.Proc.Pause())
			time.Sleep(1500 * time.Millisecond)
			require.NoError(t, e.Proc.Resume())
		}
	})
	f.checkGuarantees(results)
}

func TestRollingRestartUnderLoadLosesNoRequests(t *testing.T) {
	p := twoZones()
	// Requests run longer than the delay after which a stopping entry stops listening,
	// so some are still in flight at that time.
	p.Pools[0].RunTime = 500 * time.Millisecond
	p.Settings = map[string][]string{"entry": {"drain-delay = 200ms"}}
	f := start(t, p)
	b := f.NewBalancer()
	defer b.Close()
	streams := mixedLoad(30)
	for i := range streams {
		streams[i].MaxRetries = 0
	}
	// The load has idempotent requests only: a non-idempotent one has an ID of the
	// entry that issued it, and its outcome is unknown once that entry has ended.
	results := f.runLoad(8*time.Second, b, streams[:1], func() {
		for _, e := range f.Entries {
			require.NoError(t, e.Proc.Stop())
			require.NoError(t, f.StartEntry(e))
			f.eventually(e.Name+" is ready again", 20*time.Second, e.Client.Ready)
		}
	})
	f.checkGuarantees(results)
	for _, result := range results {
		require.Equal(t, wire.Done, result.LastAttempt().Outcome, "%s: %+v", result.ID, result.Attempts)
	}
}

func TestFaultyTargetsKeepRequestGuarantees(t *testing.T) {
	f := start(t, twoZones())
	modes := []target.Mode{target.Truncate, target.Late, target.Fail, target.Hang}
	results := f.runLoad(8*time.Second, f.roundRobin(), mixedLoad(60), func() {
		for i, mode := range modes {
			failing := f.hostsOf("documents", "")[i]
			other := f.hostsOf("remittances", "")[i]
			require.NoError(t, f.SetBehaviour(f.ctx, failing, target.Behaviour{Mode: mode}))
			require.NoError(t, f.SetBehaviour(f.ctx, other, target.Behaviour{Mode: mode}))
			time.Sleep(1500 * time.Millisecond)
			require.NoError(t, f.SetBehaviour(f.ctx, failing, target.Behaviour{Mode: target.Normal}))
			require.NoError(t, f.SetBehaviour(f.ctx, other, target.Behaviour{Mode: target.Normal}))
		}
	})
	f.checkGuarantees(results)
}

func TestZonePartitionUnderLoadKeepsRequestGuarantees(t *testing.T) {
	p := twoZones()
	// Remittances run in zone B only, so that zone A forwards them.
	p.Pools[1].Zones = map[string]int{zoneB: 2}
	f := start(t, p)
	results := f.runLoad(7*time.Second, f.roundRobin(), mixedLoad(60), func() {
		time.Sleep(1500 * time.Millisecond)
		heal := f.partitionZone(zoneB)
		time.Sleep(2 * time.Second)
		heal()
	})
	f.checkGuarantees(results)
	require.Positive(t, load.Count(results, "remittances")[wire.Done])
}

func TestConnectionResetsDuringForwardedBodies(t *testing.T) {
	p := twoZones()
	p.Pools[0].Zones = map[string]int{zoneB: 2}
	f := start(t, p)
	for _, c := range f.links {
		if f.zoneOf(c.from) == zoneA && f.zoneOf(c.to) == zoneB {
			_, err := c.proxy.Toxics.AddToxicJson(strings.NewReader(
				`{"name":"reset","type":"limit_data","stream":"downstream","attributes":{"bytes":200000}}`))
			require.NoError(t, err)
		}
	}
	streams := []load.Stream{{Kind: "documents", Rate: 40, Idempotent: true, Deadline: 3 * time.Second, BodyBytes: 100_000}}
	results := f.runLoad(4*time.Second, f.roundRobin(), streams, func() {})
	f.checkGuarantees(results)
	require.Positive(t, load.Count(results, "documents")[wire.Done])
}

func TestLeavingTargetGetsNoNewRequests(t *testing.T) {
	const limit = 3 * time.Second
	for name, leave := range map[string]func(f *fixture, t *target.Behaviour, name string){
		"by the platform's list": func(f *fixture, _ *target.Behaviour, name string) {
			require.NoError(f.t, f.SetMachineState(f.ctx, name, plat.MachineLeaving))
		},
		"by the target itself": func(f *fixture, b *target.Behaviour, _ string) { b.Mode = target.Leaving },
	} {
		t.Run(name, func(t *testing.T) {
			f := start(t, twoZones())
			leaving := f.hostsOf("documents", zoneA)[0]
			var left time.Time
			results := f.runLoad(7*time.Second, f.roundRobin(), mixedLoad(60)[:1], func() {
				time.Sleep(time.Second)
				var b target.Behaviour
				leave(f, &b, leaving.Name)
				if b.Mode != "" {
					require.NoError(t, f.SetBehaviour(f.ctx, leaving, b))
				}
				left = time.Now()
			})
			f.checkGuarantees(results)
			stats, err := f.TargetStats(f.ctx, leaving)
			require.NoError(t, err)
			require.NotZero(t, stats.LastStartMS)
			require.Less(t, time.UnixMilli(stats.LastStartMS).Sub(left), limit, "the target got a new request after the limit")
			for _, result := range results {
				require.Equal(t, wire.Done, result.LastAttempt().Outcome, "%+v", result.Attempts)
			}
		})
	}
}

func TestFailingTargetIsQuarantinedWithinTheBudget(t *testing.T) {
	f := start(t, twoZones())
	bad := f.hostsOf("documents", zoneA)[0]
	f.leaseHolder()
	require.NoError(t, f.SetBehaviour(f.ctx, bad, target.Behaviour{Mode: target.Fail}))
	results := f.runLoad(8*time.Second, f.roundRobin(), mixedLoad(80)[:1], func() {
		f.waitForPhase(f.Entries[0], record.KindHost, bad.Name, "quarantined", 20*time.Second)
	})
	f.checkGuarantees(results)
	f.checkBudgetHistory("documents")
	// Hosts are not quarantined when most of a pool fails, as the cause is then not
	// in the hosts.
	for _, failing := range f.hostsOf("remittances", "") {
		require.NoError(t, f.SetBehaviour(f.ctx, failing, target.Behaviour{Mode: target.Fail}))
	}
	f.runLoad(4*time.Second, f.roundRobin(), []load.Stream{{
		Kind: "remittances", Rate: 80, Idempotent: true, Deadline: 2 * time.Second,
	}}, func() {})
	for name, phase := range f.hostPhases(f.Entries[0], "remittances") {
		require.Equal(t, "serving", phase, name)
	}
}

func TestSameRequestThroughManyEntriesRunsOnce(t *testing.T) {
	f := start(t, twoZones())
	id, err := f.Entries[0].Client.IssueID(f.ctx, "remittances")
	require.NoError(t, err)
	answers := make(chan client.Response, 3*len(f.Entries))
	for range 3 {
		for _, e := range f.Entries {
			go func() {
				a, _ := e.Client.Do(f.ctx, client.Request{Kind: "remittances", ID: id, Deadline: 3 * time.Second, Body: []byte("pay")})
				answers <- a
			}()
		}
	}
	for range cap(answers) {
		a := <-answers
		require.Equal(t, wire.Done, a.Outcome, a.Reason)
		require.True(t, strings.HasSuffix(string(a.Body), ":pay"))
	}
	require.Equal(t, 1, f.Totals(f.ctx).Runs[id])
	// The new incarnation of the owner does not know whether the ID has run.
	f.restartEntry(f.Entries[0])
	f.eventually("the new incarnation of the owner is ready", 20*time.Second, f.Entries[0].Client.Ready)
	f.eventually("another entry knows the new incarnation and answers unknown", 10*time.Second, func(context.Context) error {
		a, err := f.Entries[2].Client.Do(f.ctx, client.Request{Kind: "remittances", ID: id, Deadline: time.Second, Body: []byte("pay")})
		if err != nil || a.Outcome != wire.Unknown {
			return fmt.Errorf("outcome %s, want unknown", a.Outcome)
		}
		return nil
	})
	require.Equal(t, 1, f.Totals(f.ctx).Runs[id])
}

func TestNonIdempotentRequestNeedsAnIssuedID(t *testing.T) {
	f := start(t, twoZones())
	a, err := f.Entries[0].Client.Do(f.ctx, client.Request{Kind: "remittances", ID: "mine", Body: []byte("pay")})
	require.NoError(t, err)
	require.Equal(t, wire.NotRun, a.Outcome)
	require.Equal(t, 400, a.Status)
	require.Contains(t, a.Reason, "/v1/ids")
}

func TestFreeSlotsOfAnotherEntryAreUsedBeforeTheQueue(t *testing.T) {
	p := twoZones()
	p.Pools[0].RunTime = 2 * time.Second
	f := start(t, p)
	// The entry owns 8 of the 16 slots of its zone; 14 requests arrive at once.
	time.Sleep(time.Second) // Waits for heartbeats to report free slots.
	answers := make(chan client.Response, 14)
	for range cap(answers) {
		go func() { answers <- f.request(f.Entries[0], "documents") }()
	}
	through := make(map[string]int)
	for range cap(answers) {
		a := <-answers
		require.Equal(t, wire.Done, a.Outcome, a.Reason)
		through[a.Entry]++
	}
	require.LessOrEqual(t, through[f.Entries[0].Name], 8, "%v", through)
	require.Equal(t, cap(answers)-through[f.Entries[0].Name], through[f.Entries[1].Name], "not all other requests went through the other entry of the zone: %v", through)
	require.Zero(t, f.Totals(f.ctx).Refused)
}

// Guards against a request that is carried to target after target, through every entry that it reaches,
// while each of them is lost under it.
func TestARequestUnderWhichTargetsAreLostReachesThreeTargetsAtMost(t *testing.T) {
	p := twoZones()
	p.Pools = p.Pools[:1]
	p.Pools[0].Zones = map[string]int{zoneB: 10}
	f := start(t, p)
	for _, host := range f.hostsOf("documents", "") {
		require.NoError(t, f.SetBehaviour(f.ctx, host, target.Behaviour{Mode: target.Truncate}))
	}
	// Documents run in zone B only, so the entry of zone A forwards the request with each attempt.
	a := f.request(f.entry(zoneA+"-e1"), "documents")
	require.Equal(t, wire.Unknown, a.Outcome, a.Reason)
	runs := 0
	for _, n := range f.Totals(f.ctx).Runs {
		runs += n
	}
	require.Equal(t, 3, runs)
}

// Guards against giving up requests that share a target with the one that takes it down.
func TestRequestsOnATargetThatIsLostRunOnOthers(t *testing.T) {
	p := twoZones()
	p.Pools = p.Pools[:1]
	p.Pools[0].RunTime = 500 * time.Millisecond
	f := start(t, p)
	entry := f.entry(zoneA + "-e1")
	const count = 6
	answers := make(chan client.Response, count)
	for range count {
		go func() {
			a, _ := entry.Client.Do(f.ctx, client.Request{
				Kind: "documents", ID: record.NewID().String(), Idempotent: true, Deadline: 10 * time.Second, Body: []byte("x"),
			})
			answers <- a
		}()
	}
	lost := f.hostsOf("documents", zoneA)[0]
	f.eventually("requests run on the target", 5*time.Second, func(ctx context.Context) error {
		stats, err := f.TargetStats(ctx, lost)
		if err == nil && len(stats.Runs) == 0 {
			err = fmt.Errorf("none runs")
		}
		return err
	})
	require.NoError(t, f.SetBehaviour(f.ctx, lost, target.Behaviour{Mode: target.Normal, DownMS: 5000}))
	for range count {
		a := <-answers
		require.Equal(t, wire.Done, a.Outcome, a.Reason)
		require.NotEqual(t, lost.Name, a.Target)
	}
}
