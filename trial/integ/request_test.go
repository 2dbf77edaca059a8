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

// fixed spreads requests over all entries, whatever their state.
func (r *rig) fixed() load.Fixed {
	var out load.Fixed
	for _, e := range r.Entries {
		out = append(out, client.New("http://"+e.HTTP, client.WithHTTP(load.HTTP())))
	}
	return out
}

// mixed is a load of both kinds, remittances not being idempotent.
func mixed(rate float64) []load.Stream {
	return []load.Stream{
		{Kind: "documents", Rate: rate, Idempotent: true, Deadline: 3 * time.Second, BodyBytes: 512, Resend: 2},
		{Kind: "remittances", Rate: rate, Deadline: 3 * time.Second, BodyBytes: 512, Resend: 2},
	}
}

// keepsPromises holds results against what the targets ran.
func (r *rig) keepsPromises(results []load.Result) {
	r.t.Helper()
	totals := r.Totals(r.ctx)
	require.Empty(r.t, load.Check(results, totals.Runs))
	require.Empty(r.t, totals.Repeated, "non-idempotent requests ran more than once")
	require.LessOrEqual(r.t, totals.PeakSlots, 8)
	require.LessOrEqual(r.t, totals.PeakConnections, 64)
	r.t.Logf("%d requests: %v; %d refused by targets", len(results), load.Count(results, ""), totals.Refused)
}

// during runs a load and disturbs it meanwhile.
func (r *rig) during(d time.Duration, b load.Balancer, streams []load.Stream, disturb func()) []load.Result {
	r.t.Helper()
	results := make(chan []load.Result, 1)
	go func() { results <- load.New(b, seed).Run(r.ctx, d, streams...) }()
	disturb()
	return <-results
}

func TestKilledEntriesYieldOnlyUnknown(t *testing.T) {
	r := start(t, twoZones())
	results := r.during(6*time.Second, r.fixed(), mixed(150), func() {
		for _, e := range r.Entries {
			time.Sleep(time.Second)
			r.replace(e)
		}
	})
	require.NoError(t, r.WaitReady(r.ctx))
	r.keepsPromises(results)
	require.Greater(t, load.Count(results, "documents")[wire.Done], len(results)/4)
}

func TestPausedEntriesKeepEveryPromise(t *testing.T) {
	r := start(t, twoZones())
	results := r.during(6*time.Second, r.fixed(), mixed(100), func() {
		for _, e := range r.Entries[:3] {
			require.NoError(t, e.Proc.Pause())
			time.Sleep(1500 * time.Millisecond)
			require.NoError(t, e.Proc.Resume())
		}
	})
	r.keepsPromises(results)
}

func TestAllEntriesAreReplacedInGoodOrderUnderLoad(t *testing.T) {
	p := twoZones()
	// Requests run longer than the delay after which the entry stops listening.
	p.Pools[0].RunTime = 500 * time.Millisecond
	p.Settings = map[string][]string{"entry": {"drain-delay = 200ms"}}
	r := start(t, p)
	b := r.NewBalancer()
	defer b.Close()
	streams := mixed(30)
	for i := range streams {
		streams[i].Resend = 0
	}
	// IDs are issued by the entry that owns them, so an ID whose owner has ended
	// answers unknown; documents show that nothing is cut off.
	results := r.during(8*time.Second, b, streams[:1], func() {
		for _, e := range r.Entries {
			require.NoError(t, e.Proc.Stop())
			require.NoError(t, r.StartEntry(e))
			r.eventually(e.Name+" is ready again", 20*time.Second, e.Client.Ready)
		}
	})
	r.keepsPromises(results)
	for _, one := range results {
		require.Equal(t, wire.Done, one.Last().Outcome, "%s: %+v", one.ID, one.Tries)
	}
}

func TestTargetsThatMisbehave(t *testing.T) {
	r := start(t, twoZones())
	modes := []target.Mode{target.Truncate, target.Late, target.Fail, target.Hang}
	results := r.during(8*time.Second, r.fixed(), mixed(60), func() {
		for i, mode := range modes {
			one := r.hostsOf("documents", "")[i]
			other := r.hostsOf("remittances", "")[i]
			require.NoError(t, r.SetBehaviour(r.ctx, one, target.Behaviour{Mode: mode}))
			require.NoError(t, r.SetBehaviour(r.ctx, other, target.Behaviour{Mode: mode}))
			time.Sleep(1500 * time.Millisecond)
			require.NoError(t, r.SetBehaviour(r.ctx, one, target.Behaviour{Mode: target.Normal}))
			require.NoError(t, r.SetBehaviour(r.ctx, other, target.Behaviour{Mode: target.Normal}))
		}
	})
	r.keepsPromises(results)
}

func TestCutZoneUnderLoadKeepsEveryPromise(t *testing.T) {
	p := twoZones()
	// Remittances run in zone B only, so zone A passes them on.
	p.Pools[1].Zones = map[string]int{zoneB: 2}
	r := start(t, p)
	results := r.during(7*time.Second, r.fixed(), mixed(60), func() {
		time.Sleep(1500 * time.Millisecond)
		heal := r.cutZone(zoneB)
		time.Sleep(2 * time.Second)
		heal()
	})
	r.keepsPromises(results)
	require.Positive(t, load.Count(results, "remittances")[wire.Done])
}

func TestResetsInTheMiddleOfRelayedBodies(t *testing.T) {
	p := twoZones()
	p.Pools[0].Zones = map[string]int{zoneB: 2}
	r := start(t, p)
	for _, c := range r.links {
		if r.zoneOf(c.from) == zoneA && r.zoneOf(c.to) == zoneB {
			_, err := c.proxy.Toxics.AddToxicJson(strings.NewReader(
				`{"name":"reset","type":"limit_data","stream":"downstream","attributes":{"bytes":200000}}`))
			require.NoError(t, err)
		}
	}
	streams := []load.Stream{{Kind: "documents", Rate: 40, Idempotent: true, Deadline: 3 * time.Second, BodyBytes: 100_000}}
	results := r.during(4*time.Second, r.fixed(), streams, func() {})
	r.keepsPromises(results)
	require.Positive(t, load.Count(results, "documents")[wire.Done])
}

func TestLeavingTargetGetsNoNewRequests(t *testing.T) {
	const limit = 3 * time.Second
	for name, leave := range map[string]func(r *rig, t *target.Behaviour, name string){
		"by the platform's list": func(r *rig, _ *target.Behaviour, name string) {
			require.NoError(r.t, r.SetMachineState(r.ctx, name, plat.MachineLeaving))
		},
		"by the target itself": func(r *rig, b *target.Behaviour, _ string) { b.Mode = target.Leaving },
	} {
		t.Run(name, func(t *testing.T) {
			r := start(t, twoZones())
			leaving := r.hostsOf("documents", zoneA)[0]
			var left time.Time
			results := r.during(7*time.Second, r.fixed(), mixed(60)[:1], func() {
				time.Sleep(time.Second)
				var b target.Behaviour
				leave(r, &b, leaving.Name)
				if b.Mode != "" {
					require.NoError(t, r.SetBehaviour(r.ctx, leaving, b))
				}
				left = time.Now()
			})
			r.keepsPromises(results)
			stats, err := r.TargetStats(r.ctx, leaving)
			require.NoError(t, err)
			require.NotZero(t, stats.LastStartMS)
			require.Less(t, time.UnixMilli(stats.LastStartMS).Sub(left), limit, "the last request began too late")
			for _, one := range results {
				require.Equal(t, wire.Done, one.Last().Outcome, "%+v", one.Tries)
			}
		})
	}
}

func TestFailingTargetIsQuarantinedWithinTheBudget(t *testing.T) {
	r := start(t, twoZones())
	bad := r.hostsOf("documents", zoneA)[0]
	r.holder()
	require.NoError(t, r.SetBehaviour(r.ctx, bad, target.Behaviour{Mode: target.Fail}))
	results := r.during(8*time.Second, r.fixed(), mixed(80)[:1], func() {
		r.phase(r.Entries[0], record.KindHost, bad.Name, "quarantined", 20*time.Second)
	})
	r.keepsPromises(results)
	r.checkStream("documents")
	// When most of a pool fails, the hosts are not the cause.
	for _, one := range r.hostsOf("remittances", "") {
		require.NoError(t, r.SetBehaviour(r.ctx, one, target.Behaviour{Mode: target.Fail}))
	}
	r.during(4*time.Second, r.fixed(), []load.Stream{{
		Kind: "remittances", Rate: 80, Idempotent: true, Deadline: 2 * time.Second,
	}}, func() {})
	for name, phase := range r.phases(r.Entries[0], "remittances") {
		require.Equal(t, "serving", phase, name)
	}
}

func TestSameRequestThroughManyEntriesRunsOnce(t *testing.T) {
	r := start(t, twoZones())
	id, err := r.Entries[0].Client.IssueID(r.ctx, "remittances")
	require.NoError(t, err)
	answers := make(chan client.Response, 3*len(r.Entries))
	for range 3 {
		for _, e := range r.Entries {
			go func() {
				a, _ := e.Client.Do(r.ctx, client.Request{Kind: "remittances", ID: id, Deadline: 3 * time.Second, Body: []byte("pay")})
				answers <- a
			}()
		}
	}
	for range cap(answers) {
		a := <-answers
		require.Equal(t, wire.Done, a.Outcome, a.Reason)
		require.True(t, strings.HasSuffix(string(a.Body), ":pay"))
	}
	require.Equal(t, 1, r.Totals(r.ctx).Runs[id])
	// The owner is replaced: the ID can no longer be told apart from one that ran.
	r.replace(r.Entries[0])
	r.eventually("the owner is back", 20*time.Second, r.Entries[0].Client.Ready)
	r.eventually("the others know the new incarnation", 10*time.Second, func(context.Context) error {
		a, err := r.Entries[2].Client.Do(r.ctx, client.Request{Kind: "remittances", ID: id, Deadline: time.Second, Body: []byte("pay")})
		if err != nil || a.Outcome != wire.Unknown {
			return fmt.Errorf("outcome %s", a.Outcome)
		}
		return nil
	})
	require.Equal(t, 1, r.Totals(r.ctx).Runs[id])
}

func TestNonIdempotentRequestNeedsAnIssuedID(t *testing.T) {
	r := start(t, twoZones())
	a, err := r.Entries[0].Client.Do(r.ctx, client.Request{Kind: "remittances", ID: "mine", Body: []byte("pay")})
	require.NoError(t, err)
	require.Equal(t, wire.NotRun, a.Outcome)
	require.Equal(t, 400, a.Status)
	require.Contains(t, a.Reason, "/v1/ids")
}

func TestFreeSlotsOfAnotherEntryGoBeforeTheQueue(t *testing.T) {
	p := twoZones()
	p.Pools[0].RunTime = 2 * time.Second
	r := start(t, p)
	// The entry has 8 of its zone's 16 slots; the callers ask it for 14 at once.
	time.Sleep(time.Second) // Free slots are told by heartbeats.
	answers := make(chan client.Response, 14)
	for range cap(answers) {
		go func() { answers <- r.request(r.Entries[0], "documents") }()
	}
	through := make(map[string]int)
	for range cap(answers) {
		a := <-answers
		require.Equal(t, wire.Done, a.Outcome, a.Reason)
		through[a.Entry]++
	}
	require.LessOrEqual(t, through[r.Entries[0].Name], 8, "%v", through)
	require.Equal(t, cap(answers)-through[r.Entries[0].Name], through[r.Entries[1].Name], "the rest went through the other entry of the zone: %v", through)
	require.Zero(t, r.Totals(r.ctx).Refused)
}
