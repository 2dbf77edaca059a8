package owners_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/owners"
)

const wait = 6 * time.Second

var policy owners.WeightedLeastLoaded

// fleet is a set of members and the owners of their pools.
type fleet struct {
	members     []owners.Member
	ownerByPool map[string]string
	// weights holds the weights of the pools; the others have the weight 1.
	weights map[string]int
}

func (f *fleet) weight(pool string) int { return max(f.weights[pool], 1) }

// state returns the members with their loads.
func (f *fleet) state() []owners.Member {
	loads := map[string]int{}
	for pool, owner := range f.ownerByPool {
		loads[owner] += f.weight(pool)
	}
	out := slices.Clone(f.members)
	for i := range out {
		out[i].Load = loads[out[i].Name]
	}
	return out
}

// claim gives the pools without an owner to members.
func (f *fleet) claim(unowned ...string) {
	for pool, name := range owners.Assign(policy, unowned, f.state(), owners.WithWeights(f.weight)) {
		f.ownerByPool[pool] = name
	}
}

func (f *fleet) capacity(name string) int {
	return f.members[slices.IndexFunc(f.members, func(m owners.Member) bool { return m.Name == name })].Capacity
}

// randomFleet returns a fleet of members of random capacities and pools of random weights, in which each
// pool has a random owner. In half of the fleets, all weights are 1.
func randomFleet(r *rand.Rand) *fleet {
	f := &fleet{members: members(2 + r.IntN(12)), ownerByPool: map[string]string{}, weights: map[string]int{}}
	maxWeight := []int{1, 90}[r.IntN(2)]
	for i := range f.members {
		f.members[i].Capacity = []int{192, 400, 800}[r.IntN(3)]
	}
	for _, pool := range pools(1 + r.IntN(30)) {
		f.ownerByPool[pool] = f.members[r.IntN(len(f.members))].Name
		f.weights[pool] = 1 + r.IntN(maxWeight)
	}
	return f
}

func TestPoolOfAWeakMemberMovesToAnIdleStrongOne(t *testing.T) {
	f := &fleet{members: mixed(2, 2), ownerByPool: map[string]string{"a": "e1", "b": "s0"}}
	next, ok := owners.NextHandover(policy, f.ownerByPool, f.state())
	require.True(t, ok)
	require.Equal(t, owners.Handover{Pool: "a", From: "e1", To: "s1"}, next)
	f.ownerByPool["a"] = "s1"
	_, ok = owners.NextHandover(policy, f.ownerByPool, f.state())
	require.False(t, ok)
}

func TestPoolsStayWhereTheGainIsSmall(t *testing.T) {
	f := &fleet{members: mixed(1, 1), ownerByPool: map[string]string{"a": "e0", "b": "s0", "c": "s0"}}
	// 1/192 is less than twice 3/800.
	_, ok := owners.NextHandover(policy, f.ownerByPool, f.state())
	require.False(t, ok)
	delete(f.ownerByPool, "c")
	// 1/192 is more than twice 2/800.
	_, ok = owners.NextHandover(policy, f.ownerByPool, f.state())
	require.True(t, ok)
}

func TestPoolsDoNotMoveBetweenEqualMembers(t *testing.T) {
	for _, capacity := range []int{0, weak, strong} {
		f := &fleet{members: members(4), ownerByPool: map[string]string{}}
		for i := range f.members {
			f.members[i].Capacity = capacity
		}
		for _, pool := range pools(20) {
			f.ownerByPool[pool] = "e0"
		}
		_, ok := owners.NextHandover(policy, f.ownerByPool, f.state())
		require.False(t, ok, capacity)
	}
}

func TestTheHeaviestPoolThatGainsIsHandedOverFirst(t *testing.T) {
	weights := owners.WithWeights(func(pool string) int { return map[string]int{"a": 1, "b": 60, "c": 20}[pool] })
	ownerByPool := map[string]string{"a": "e0", "b": "e0", "c": "e0"}
	all := mixed(1, 1)
	all[0].Load = 81
	next, ok := owners.NextHandover(policy, ownerByPool, all, weights)
	require.True(t, ok)
	require.Equal(t, "b", next.Pool)
	// 81/192 is less than twice 170/800 but more than twice 130/800.
	all[1].Load = 110
	next, ok = owners.NextHandover(policy, ownerByPool, all, weights)
	require.True(t, ok)
	require.Equal(t, "c", next.Pool)
}

func TestHandoversEndAndNoneIsReverted(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		f := randomFleet(r)
		// Each hand-over goes to a higher one of three capacities.
		for left := 2 * len(f.ownerByPool); ; left-- {
			next, ok := owners.NextHandover(policy, f.ownerByPool, f.state(), owners.WithWeights(f.weight))
			if !ok {
				break
			}
			require.Positive(t, left)
			require.Equal(t, next.From, f.ownerByPool[next.Pool])
			require.Greater(t, f.capacity(next.To), f.capacity(next.From))
			delete(f.ownerByPool, next.Pool)
			f.claim(next.Pool)
			require.Equal(t, next.To, f.ownerByPool[next.Pool], "the pool is claimed by the member that was proposed")
		}
	}
}

// Two members with different views may release pools at the same time, for the same idle member.
func TestConcurrentHandoversDoNotOscillate(t *testing.T) {
	r := rand.New(rand.NewPCG(2, 2))
	for range 2000 {
		f := randomFleet(r)
		rounds := 0
		for {
			var released []string
			for _, m := range f.members {
				own := map[string]string{}
				for pool, owner := range f.ownerByPool {
					if owner == m.Name {
						own[pool] = owner
					}
				}
				if next, ok := owners.NextHandover(policy, own, f.state(), owners.WithWeights(f.weight)); ok {
					released = append(released, next.Pool)
				}
			}
			if len(released) == 0 {
				break
			}
			rounds++
			require.LessOrEqual(t, rounds, 2*len(f.ownerByPool))
			for _, pool := range released {
				delete(f.ownerByPool, pool)
			}
			f.claim(released...)
		}
	}
}

// rebalancers holds the rebalancer of each member.
type rebalancers map[string]*owners.Rebalancer[owners.WeightedLeastLoaded]

// released is a hand-over that a member has carried out, with its time.
type released struct {
	owners.Handover
	by string
	at time.Duration
}

// run calls the rebalancers of all members every 400 ms until the time is over. A released pool is
// claimed before the next call. It returns the hand-overs.
func (f *fleet) run(rs rebalancers, from, until time.Duration) []released {
	var out []released
	for now := from; now < until; now += 400 * time.Millisecond {
		state, ownerByPool := f.state(), maps.Clone(f.ownerByPool)
		var unowned []string
		for _, m := range state {
			if rs[m.Name] == nil {
				rs[m.Name] = &owners.Rebalancer[owners.WeightedLeastLoaded]{Wait: wait}
			}
			if next, ok := rs[m.Name].Next(time.Unix(0, 0).Add(now), m.Name, ownerByPool, state); ok {
				out = append(out, released{next, m.Name, now})
				unowned = append(unowned, next.Pool)
				delete(f.ownerByPool, next.Pool)
			}
		}
		f.claim(unowned...)
	}
	return out
}

func TestHandoversWaitAndHappenOneAtATime(t *testing.T) {
	f := &fleet{members: mixed(4, 8), ownerByPool: map[string]string{"a": "e1", "b": "e1", "c": "e2", "d": "s0"}}
	handovers := f.run(rebalancers{}, 0, time.Minute)
	require.Len(t, handovers, 3)
	lastBy := map[string]time.Duration{}
	for i, h := range handovers {
		require.Equal(t, h.From, h.by)
		require.GreaterOrEqual(t, h.at-lastBy[h.by], wait)
		lastBy[h.by] = h.at
		if i > 0 {
			require.Greater(t, h.at, handovers[i-1].at)
		}
	}
	owned := count(f.ownerByPool)
	for _, name := range []string{"s0", "s1", "s2", "s3"} {
		require.Equal(t, 1, owned[name], name)
	}
}

// In a rolling restart the strong members go down one after the other. A pool that is handed over in
// between would soon have to move again.
func TestNoPoolIsHandedOverDuringARollingRestart(t *testing.T) {
	const nStrong = 4
	f := &fleet{members: mixed(nStrong, 8), ownerByPool: map[string]string{}}
	for i, pool := range pools(nStrong) {
		f.ownerByPool[pool] = fmt.Sprintf("e%d", i)
	}
	all, now, r := f.members, time.Duration(0), rebalancers{}
	for i := range nStrong {
		name := fmt.Sprintf("s%d", i)
		f.members = slices.DeleteFunc(slices.Clone(all), func(m owners.Member) bool { return m.Name == name })
		require.Empty(t, f.run(r, now, now+2*time.Second))
		f.members = all
		require.Empty(t, f.run(r, now+2*time.Second, now+4*time.Second))
		now += 4 * time.Second
	}
	require.Len(t, f.run(r, now, now+time.Minute), nStrong)
	for pool, owner := range f.ownerByPool {
		require.Equal(t, strong, f.capacity(owner), pool)
	}
}

func TestRestartOfAStrongerMemberStartsANewWait(t *testing.T) {
	f := &fleet{members: mixed(1, 2), ownerByPool: map[string]string{"a": "e0"}}
	r := rebalancers{}
	require.Empty(t, f.run(r, 0, 5*time.Second))
	f.members[2].Incarnation++
	require.Empty(t, f.run(r, 5*time.Second, 10*time.Second))
	f.members[1].Incarnation++
	require.Len(t, f.run(r, 10*time.Second, 12*time.Second), 1, "the restart of a weak member does not matter")
}

func TestGapBetweenViewsStartsANewWait(t *testing.T) {
	f := &fleet{members: mixed(1, 1), ownerByPool: map[string]string{"a": "e0"}}
	r := rebalancers{}
	require.Empty(t, f.run(r, 0, 5*time.Second))
	require.Empty(t, f.run(r, 9*time.Second, 14*time.Second))
	require.Len(t, f.run(r, 14*time.Second, 16*time.Second), 1)
}

// Entries of the version before the capacity assign by load alone. Whatever the entries of both
// versions decide, one of them must claim a pool without an owner.
func TestSomeEntryOfEitherVersionClaimsAPool(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 3))
	for range 2000 {
		f := randomFleet(r)
		older := map[string]bool{}
		for i := range f.members {
			if older[f.members[i].Name] = r.IntN(2) == 0; older[f.members[i].Name] {
				f.members[i].Capacity = 0
			}
		}
		byOlder := owners.Assign(owners.LeastLoaded{}, []string{"p"}, f.state())["p"]
		byNewer := owners.Assign(policy, []string{"p"}, f.state())["p"]
		require.True(t, older[byOlder] || !older[byNewer], "%s and %s leave the pool to each other", byOlder, byNewer)
	}
}
