package sizing

import (
	"maps"
	"slices"
)

// Unwanted returns the moves in progress that are no longer wanted, in the order of their machines: the pool that the host is in lacks
// hosts for its usual load that can be in time, of which some waits, and lacks more of them than the pool that the host would go to.
func Unwanted[P Policy](policy P, in *Input) []Move {
	pools, _ := surveyPools(policy, in)
	setShares(pools, in, policy)
	byName := map[string]*pool{}
	for _, p := range pools {
		byName[p.name] = p
	}
	var out []Move
	for _, id := range slices.Sorted(maps.Keys(in.Moving)) {
		m := in.Moving[id]
		from, to := byName[m.From], byName[m.To]
		if m.Host == "" || from == nil || from.current >= from.normal || from.load.Backlog <= from.load.Late {
			continue
		}
		if to != nil {
			if to.normal-to.current >= from.normal-from.current {
				continue
			}
			to.current--
		}
		from.current++
		out = append(out, m)
	}
	return out
}
