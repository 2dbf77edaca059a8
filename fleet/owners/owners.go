// Package owners proposes which entry should own which pool. A proposal is a hint only: the
// claim in the platform's store decides who owns a pool.
package owners

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is an entry that may own pools.
type Member struct {
	Name string
	Zone string
	// Load is the number of pools that it owns; it is not negative.
	Load int
	// Capacity is the processor capacity in thousandths of a core. Zero or less means unknown;
	// [Assign] then uses the lowest known capacity of the members.
	Capacity int
}

// Policy compares how well members suit a pool. The member that suits it best is chosen.
type Policy interface {
	// Less reports whether a suits the pool better than b. The map holds the number of pools
	// owned in each zone.
	Less(pool string, a, b Member, poolsByZone map[string]int) bool
}

// WeightedLeastLoaded gives a pool to the member that has the fewest pools relative to its capacity
// after taking it. Among equals it prefers the zone with the fewest pools, so that the loss of a zone
// affects few pools, and then uses rendezvous hashing.
type WeightedLeastLoaded struct{}

// Less implements [Policy].
func (WeightedLeastLoaded) Less(pool string, a, b Member, poolsByZone map[string]int) bool {
	// (a.Load+1)/a.Capacity < (b.Load+1)/b.Capacity, without rounding.
	if c := cmp.Compare((a.Load+1)*b.Capacity, (b.Load+1)*a.Capacity); c != 0 {
		return c < 0
	}
	if c := cmp.Compare(poolsByZone[a.Zone], poolsByZone[b.Zone]); c != 0 {
		return c < 0
	}
	return rendezvous(pool, a.Name) < rendezvous(pool, b.Name)
}

// LeastLoaded gives a pool to the member with the fewest pools, whatever its capacity. Ties are
// broken as in [WeightedLeastLoaded]. It is the baseline of that policy.
type LeastLoaded struct{}

// Less implements [Policy].
func (LeastLoaded) Less(pool string, a, b Member, poolsByZone map[string]int) bool {
	if c := cmp.Compare(a.Load, b.Load); c != 0 {
		return c < 0
	}
	if c := cmp.Compare(poolsByZone[a.Zone], poolsByZone[b.Zone]); c != 0 {
		return c < 0
	}
	return rendezvous(pool, a.Name) < rendezvous(pool, b.Name)
}

// Rendezvous gives each pool to a member by rendezvous hashing alone. It is the baseline.
type Rendezvous struct{}

// Less implements [Policy].
func (Rendezvous) Less(pool string, a, b Member, _ map[string]int) bool {
	return rendezvous(pool, a.Name) < rendezvous(pool, b.Name)
}

// rendezvous returns the hash of a pool and a member. The member with the lowest hash is chosen.
func rendezvous(pool, member string) uint64 { return xxhash.Sum64String(pool + "\x00" + member) }

// withKnownCapacities returns a copy of members in which each unknown capacity is the lowest known
// one, or 1 if none is known.
func withKnownCapacities(members []Member) []Member {
	lowest := 0
	for _, m := range members {
		if m.Capacity > 0 && (lowest == 0 || m.Capacity < lowest) {
			lowest = m.Capacity
		}
	}
	out := slices.Clone(members)
	for i := range out {
		if out[i].Capacity <= 0 {
			out[i].Capacity = max(lowest, 1)
		}
	}
	return out
}

// Assign returns the member that should claim each pool without an owner. Members keep the
// pools that they own.
func Assign[P Policy](policy P, unowned []string, members []Member) map[string]string {
	if len(members) == 0 {
		return nil
	}
	members = withKnownCapacities(members)
	poolsByZone := map[string]int{}
	for _, m := range members {
		poolsByZone[m.Zone] += m.Load
	}
	pools := slices.Clone(unowned)
	slices.Sort(pools)
	out := make(map[string]string, len(pools))
	for _, pool := range pools {
		best := 0
		for i := range members {
			if policy.Less(pool, members[i], members[best], poolsByZone) {
				best = i
			}
		}
		out[pool] = members[best].Name
		members[best].Load++
		poolsByZone[members[best].Zone]++
	}
	return out
}
