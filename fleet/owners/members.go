package owners

import "cmp"

const (
	// minMembers is the number of entries that may own pools, as long as there are as many, and
	// minPerZone their number in each availability zone. The pools of entries that are lost together
	// find others that may own them at once.
	minMembers, minPerZone = 8, 3
	// dutiesPerMember is the number of pools for which there is one such entry.
	dutiesPerMember = 4
)

// perZone returns how many entries of each availability zone may own pools, for a number of pools.
func perZone(pools, zones int) int {
	wanted := max(minMembers, (pools+dutiesPerMember-1)/dutiesPerMember)
	return max(minPerZone, (wanted+zones-1)/zones)
}

// MayOwn reports whether an entry is one of those that may own pools, given the live entries that may
// and the number of pools. These are the strongest entries of each availability zone. The slice may
// contain the entry itself.
func MayOwn(self Member, members []Member, pools int) bool {
	all := []Member{self}
	for _, m := range members {
		if m.Name != self.Name {
			all = append(all, m)
		}
	}
	zones := map[string]bool{}
	for _, m := range all {
		zones[m.Zone] = true
	}
	all = withKnownCapacities(all)
	stronger := 0
	for _, m := range all[1:] {
		if m.Zone == self.Zone && cmp.Or(cmp.Compare(all[0].Capacity, m.Capacity), cmp.Compare(m.Name, self.Name)) < 0 {
			stronger++
		}
	}
	return stronger < perZone(pools, len(zones))
}
