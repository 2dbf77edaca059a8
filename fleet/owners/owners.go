// Package owners proposes which entry should own which pool. A proposal is a hint only: the
// claim in the platform's store decides who owns a pool.
package owners

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Member is an entry that may own pools.
type Member struct {
	Name string
	Zone string
	// Incarnation distinguishes the processes of a member. It is the time of its start in nanoseconds.
	Incarnation int64
	// Load is the total weight of the pools that it owns; it is not negative.
	Load int
	// Capacity is the processor capacity in thousandths of a core. Zero or less means unknown;
	// [Assign] then uses the lowest known capacity of the members.
	Capacity int
	// Link is the speed of the network link in Mbit/s. Zero or less means unknown, as above.
	Link int
}

// Policy compares how well members suit a pool. The member that suits it best is chosen.
type Policy interface {
	// Less reports whether a suits the pool better than b. The loads of a and b include the pool. The
	// map holds the load of each zone without it.
	Less(pool string, a, b Member, loadByZone map[string]int) bool
}

// Option changes how pools are assigned.
type Option func(*settings)

type settings struct {
	weight func(pool string) int
}

// WithWeights sets the function that returns the weight of a pool, which is positive. Without it, each
// pool has the weight 1.
func WithWeights(weight func(pool string) int) Option {
	return func(s *settings) { s.weight = weight }
}

func newSettings(opts []Option) settings {
	s := settings{weight: func(string) int { return 1 }}
	for _, opt := range opts {
		opt(&s)
	}
	return s
}

// WeightedLeastLoaded gives a pool to the member with the lowest load relative to its capacity after
// taking it. Among equals it prefers those that have started last: in a rolling restart, they are not stopped
// next. Then it prefers the zone with the lowest load, so that the loss of a zone affects few pools, and
// then uses rendezvous hashing.
type WeightedLeastLoaded struct{}

// Less implements [Policy].
func (WeightedLeastLoaded) Less(pool string, a, b Member, loadByZone map[string]int) bool {
	// a.Load/a.Capacity < b.Load/b.Capacity, without rounding.
	if c := cmp.Compare(a.Load*b.Capacity, b.Load*a.Capacity); c != 0 {
		return c < 0
	}
	if c := cmp.Compare(a.Incarnation/startSpan, b.Incarnation/startSpan); c != 0 {
		return c > 0
	}
	return winsTie(pool, a, b, loadByZone)
}

// startSpan is the time in nanoseconds within which members count as having started together, as those of an
// installation that is switched on do.
const startSpan = int64(2 * time.Second)

// LeastLoaded gives a pool to the member with the lowest load, whatever its capacity. Ties are
// broken as in [WeightedLeastLoaded]. It is the baseline of that policy.
type LeastLoaded struct{}

// Less implements [Policy].
func (LeastLoaded) Less(pool string, a, b Member, loadByZone map[string]int) bool {
	if c := cmp.Compare(a.Load, b.Load); c != 0 {
		return c < 0
	}
	return winsTie(pool, a, b, loadByZone)
}

// winsTie reports whether a suits a pool better than b, which suits it as well otherwise: its zone has
// the lower load, or the hash decides.
func winsTie(pool string, a, b Member, loadByZone map[string]int) bool {
	if c := cmp.Compare(loadByZone[a.Zone], loadByZone[b.Zone]); c != 0 {
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

// withKnownCapacities returns a copy of members in which each unknown capacity and link is the lowest
// known one. Capacities are scaled to the scarcer of the two, as a share of the best member's, and
// all links are then equal.
func withKnownCapacities(members []Member) []Member {
	out := slices.Clone(members)
	bestCapacity := fillUnknown(out, func(m *Member) *int { return &m.Capacity })
	bestLink := fillUnknown(out, func(m *Member) *int { return &m.Link })
	for i := range out {
		// min(Capacity/bestCapacity, Link/bestLink), without rounding.
		out[i].Capacity, out[i].Link = min(out[i].Capacity*bestLink, out[i].Link*bestCapacity), 1
	}
	return out
}

// fillUnknown sets the values of a field that are not positive to the lowest positive one, or to 1
// if there is none. It returns the highest value.
func fillUnknown(members []Member, field func(*Member) *int) int {
	lowest, highest := 0, 1
	for i := range members {
		if v := *field(&members[i]); v > 0 {
			highest = max(highest, v)
			if lowest == 0 || v < lowest {
				lowest = v
			}
		}
	}
	for i := range members {
		if v := field(&members[i]); *v <= 0 {
			*v = max(lowest, 1)
		}
	}
	return highest
}

// Assign returns the member that should claim each pool without an owner. Members keep the
// pools that they own.
func Assign[P Policy](policy P, unowned []string, members []Member, opts ...Option) map[string]string {
	if len(members) == 0 {
		return nil
	}
	members = withKnownCapacities(members)
	s := newSettings(opts)
	loadByZone := map[string]int{}
	for _, m := range members {
		loadByZone[m.Zone] += m.Load
	}
	pools := slices.Clone(unowned)
	slices.Sort(pools)
	out := make(map[string]string, len(pools))
	for _, pool := range pools {
		weight := s.weight(pool)
		best := 0
		for i := range members {
			if policy.Less(pool, withLoad(members[i], weight), withLoad(members[best], weight), loadByZone) {
				best = i
			}
		}
		out[pool] = members[best].Name
		members[best].Load += weight
		loadByZone[members[best].Zone] += weight
	}
	return out
}

// withLoad returns a member with an additional load.
func withLoad(m Member, load int) Member {
	m.Load += load
	return m
}
