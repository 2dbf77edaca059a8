package owners_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/owners"
)

func members(n int) []owners.Member {
	var out []owners.Member
	for i := range n {
		out = append(out, owners.Member{Name: fmt.Sprintf("e%d", i), Zone: fmt.Sprintf("z%d", i%4)})
	}
	return out
}

func pools(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("p%03d", i))
	}
	return out
}

func maxPerMember(assigned map[string]string) int {
	count := map[string]int{}
	out := 0
	for _, m := range assigned {
		count[m]++
		out = max(out, count[m])
	}
	return out
}

func TestPoolsAreSpreadEvenly(t *testing.T) {
	require.Equal(t, 1, maxPerMember(owners.Assign(owners.LeastLoaded{}, pools(6), members(8))))
	require.Equal(t, 22, maxPerMember(owners.Assign(owners.LeastLoaded{}, pools(172), members(8))))
	require.Greater(t, maxPerMember(owners.Assign(owners.Rendezvous{}, pools(172), members(8))), 22, "the baseline is uneven")
}

func TestPoolsAreSpreadOverZones(t *testing.T) {
	assigned := owners.Assign(owners.LeastLoaded{}, pools(4), members(8))
	zones := map[byte]bool{}
	for _, m := range assigned {
		zones[(m[1]-'0')%4] = true
	}
	require.Len(t, zones, 4)
}

func TestAssignmentIgnoresInputOrder(t *testing.T) {
	a := owners.Assign(owners.LeastLoaded{}, []string{"x", "y", "z"}, members(5))
	b := owners.Assign(owners.LeastLoaded{}, []string{"z", "x", "y"}, members(5))
	require.Equal(t, a, b)
	require.Nil(t, owners.Assign(owners.LeastLoaded{}, []string{"x"}, nil))
}

func TestIdleMembersArePreferred(t *testing.T) {
	m := members(2)
	m[0].Load = 3
	for _, name := range owners.Assign(owners.LeastLoaded{}, pools(3), m) {
		require.Equal(t, "e1", name)
	}
}

const strong, weak = 800, 192

// mixed returns strong and weak members in turn over four zones. The weak ones come first by name.
func mixed(nStrong, nWeak int) []owners.Member {
	out := members(nWeak)
	for i := range out {
		out[i].Capacity = weak
	}
	for i := range nStrong {
		out = append(out, owners.Member{Name: fmt.Sprintf("s%d", i), Zone: fmt.Sprintf("z%d", i%4), Capacity: strong})
	}
	return out
}

// count returns the number of pools of each member.
func count(assigned map[string]string) map[string]int {
	out := map[string]int{}
	for _, m := range assigned {
		out[m]++
	}
	return out
}

// Owners of busy pools starved on weak hosts while strong ones were idle.
func TestPoolsGoToIdleStrongMembers(t *testing.T) {
	all := mixed(8, 23)
	zones := map[string]string{}
	for _, m := range all {
		zones[m.Name] = m.Zone
	}
	perZone := map[string]int{}
	for member, n := range count(owners.Assign(owners.WeightedLeastLoaded{}, pools(6), all)) {
		require.Equal(t, byte('s'), member[0], member)
		require.Equal(t, 1, n, member)
		perZone[zones[member]]++
	}
	require.Len(t, perZone, 4)
	for zone, n := range perZone {
		require.LessOrEqual(t, n, 2, zone)
	}
}

// The loss of a zone must hit few pools, but a zone without pools must not draw a pool to a weak member.
func TestZoneSpreadDoesNotPreferWeakMembers(t *testing.T) {
	all := []owners.Member{
		{Name: "s0", Zone: "z0", Load: 1, Capacity: strong},
		{Name: "s1", Zone: "z0", Capacity: strong},
		{Name: "w", Zone: "z1", Capacity: weak},
	}
	require.Equal(t, map[string]string{"p": "s1"}, owners.Assign(owners.WeightedLeastLoaded{}, []string{"p"}, all))
}

func TestSharesFollowCapacity(t *testing.T) {
	const nPools, nStrong, nWeak = 172, 8, 23
	all := mixed(nStrong, nWeak)
	got := count(owners.Assign(owners.WeightedLeastLoaded{}, pools(nPools), all))
	total := nStrong*strong + nWeak*weak
	for _, m := range all {
		require.InDelta(t, float64(nPools*m.Capacity)/float64(total), got[m.Name], 1, m.Name)
		for _, other := range all {
			require.LessOrEqual(t, got[m.Name]*other.Capacity, (got[other.Name]+1)*m.Capacity,
				"a pool of %s would be better off at %s", m.Name, other.Name)
		}
	}
}

// A member with one pool of many hosts may be busier than one with several small pools.
func TestPoolsAreAssignedByWeight(t *testing.T) {
	weight := func(pool string) int { return map[string]int{"a": 80, "b": 30, "c": 30, "d": 10}[pool] }
	assigned := owners.Assign(owners.WeightedLeastLoaded{}, []string{"a", "b", "c", "d"}, members(2), owners.WithWeights(weight))
	require.NotEqual(t, assigned["a"], assigned["b"])
	require.Equal(t, assigned["b"], assigned["c"])
	require.Equal(t, assigned["b"], assigned["d"])
}

// A strong member takes a heavy pool beside a light one before a weak member takes it.
func TestWeightsAreWeighedAgainstCapacity(t *testing.T) {
	all := mixed(1, 1)
	all[1].Load = 100
	weights := owners.WithWeights(func(string) int { return 60 })
	require.Equal(t, map[string]string{"p": "s0"}, owners.Assign(owners.WeightedLeastLoaded{}, []string{"p"}, all, weights))
	all[1].Load = 250
	require.Equal(t, map[string]string{"p": "e0"}, owners.Assign(owners.WeightedLeastLoaded{}, []string{"p"}, all, weights))
}

func TestEqualCapacitiesAreAssignedByLoad(t *testing.T) {
	all := members(8)
	all[2].Load, all[5].Load = 3, 1
	want := owners.Assign(owners.LeastLoaded{}, pools(40), all)
	for _, capacity := range []int{0, weak, strong} {
		for i := range all {
			all[i].Capacity = capacity
		}
		require.Equal(t, want, owners.Assign(owners.WeightedLeastLoaded{}, pools(40), all), capacity)
	}
}

// Entries of older versions do not report a capacity.
func TestUnknownCapacityCountsAsTheLowestKnown(t *testing.T) {
	all := mixed(2, 2)
	want := owners.Assign(owners.WeightedLeastLoaded{}, pools(30), all)
	require.Equal(t, weak, all[0].Capacity)
	all[0].Capacity = 0
	require.Equal(t, want, owners.Assign(owners.WeightedLeastLoaded{}, pools(30), all))
	require.Zero(t, all[0].Capacity, "the members of the caller are not modified")
}

// An owner on a fast processor with a slow link sent its orders late.
func TestPoolsGoToMembersWithBothProcessorAndLink(t *testing.T) {
	m := []owners.Member{
		{Name: "fast-link", Zone: "a", Capacity: 192, Link: 200},
		{Name: "fast-processor", Zone: "b", Capacity: 800, Link: 10},
		{Name: "both", Zone: "c", Capacity: 600, Link: 150},
	}
	// The scarcer resources are 0.24, 0.05 and 0.75 of the best.
	for pool, name := range owners.Assign(owners.WeightedLeastLoaded{}, pools(3), m) {
		require.Equal(t, "both", name, pool)
	}
	assigned := owners.Assign(owners.WeightedLeastLoaded{}, pools(5), m)
	count := map[string]int{}
	for _, name := range assigned {
		count[name]++
	}
	require.Equal(t, map[string]int{"both": 4, "fast-link": 1}, count)
}

func TestUnknownLinkCountsAsTheSlowestKnown(t *testing.T) {
	m := []owners.Member{{Name: "a", Capacity: 800}, {Name: "b", Capacity: 400, Link: 100}, {Name: "c", Capacity: 100, Link: 10}}
	require.Equal(t, map[string]string{"p000": "b"}, owners.Assign(owners.WeightedLeastLoaded{}, pools(1), m))
	m[1].Link, m[2].Link = 0, 0
	require.Equal(t, map[string]string{"p000": "a"}, owners.Assign(owners.WeightedLeastLoaded{}, pools(1), m))
}

// Guards against a pool that changes its owner again and again in a rolling restart, because it goes to the members
// that are stopped next.
func TestPoolsGoToMembersThatHaveRestarted(t *testing.T) {
	const members, second = 8, int64(time.Second)
	for first := range 10 {
		// Members are restarted in a random order, two seconds apart, while the owner of the pool stops each time.
		r := rand.New(rand.NewPCG(uint64(first), 0))
		var all []owners.Member
		for i := range members {
			all = append(all, owners.Member{Name: fmt.Sprint("m", i), Zone: fmt.Sprint("z", i%4), Incarnation: 100*second + r.Int64N(second), Capacity: 800})
		}
		owner, changes := "m0", 0
		for i, m := range r.Perm(members) {
			if all[m].Name == owner {
				rest := slices.Delete(slices.Clone(all), m, m+1)
				owner = owners.Assign(owners.WeightedLeastLoaded{}, []string{"pool"}, rest)["pool"]
				changes++
			}
			all[m].Incarnation = (200 + 2*int64(i)) * second
		}
		// The first owner may be stopped before any other, which then cannot go to one that has restarted.
		require.LessOrEqual(t, changes, 2, "order %d", first)
	}
}

// Members that start together count as equally old, whatever the order of their starts.
func TestPoolsOfMembersThatStartTogetherAreSpreadOverZones(t *testing.T) {
	var all []owners.Member
	for i := range 8 {
		all = append(all, owners.Member{Name: fmt.Sprint("m", i), Zone: fmt.Sprint("z", i/2), Incarnation: int64(i) * int64(time.Millisecond), Capacity: 800})
	}
	zones := map[string]bool{}
	for _, name := range owners.Assign(owners.WeightedLeastLoaded{}, []string{"a", "b", "c", "d"}, all) {
		zones[all[slices.IndexFunc(all, func(m owners.Member) bool { return m.Name == name })].Zone] = true
	}
	require.Len(t, zones, 4)
}
