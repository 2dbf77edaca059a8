package owners_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/owners"
)

// zoned returns entries in a number of zones, a strong one for each seven weak ones.
func zoned(zones, perZone int) []owners.Member {
	var out []owners.Member
	for z := range zones {
		for i := range perZone {
			m := owners.Member{Name: fmt.Sprintf("z%d-%02d", z, i), Zone: fmt.Sprint(z), Capacity: 192, Link: 20}
			if i%8 == 7 {
				m.Capacity, m.Link = 800, 200
			}
			out = append(out, m)
		}
	}
	return out
}

// settle removes and adds members until all entries agree, as they do when they see each other's
// heartbeats.
func settle(all []owners.Member, alive func(owners.Member) bool, pools int) []owners.Member {
	var members []owners.Member
	for _, m := range all {
		if alive(m) {
			members = append(members, m)
		}
	}
	for range 5 {
		var next []owners.Member
		for _, m := range all {
			if alive(m) && owners.MayOwn(m, members, pools) {
				next = append(next, m)
			}
		}
		members = next
	}
	return members
}

func everyone(owners.Member) bool { return true }

// The number of entries that write heartbeats to the store must not follow the size of the fleet, since
// all of them are read by every entry.
func TestMembersDoNotGrowWithTheEntries(t *testing.T) {
	for _, c := range []struct{ zones, perZone, pools, want int }{
		{3, 2, 5, 6}, {4, 2, 5, 8}, {3, 14, 5, 9}, {6, 24, 5, 18}, {7, 150, 5, 21}, {7, 50, 172, 49},
	} {
		require.Len(t, settle(zoned(c.zones, c.perZone), everyone, c.pools), c.want, "%d zones of %d", c.zones, c.perZone)
	}
}

func TestMembersAreTheStrongestOfEachZone(t *testing.T) {
	perZone := map[string]int{}
	for _, m := range settle(zoned(6, 24), everyone, 5) {
		require.Equal(t, 800, m.Capacity, m.Name)
		perZone[m.Zone]++
	}
	require.Len(t, perZone, 6)
}

// Whatever is lost, the entries that are left agree on members, and each zone that has entries has some.
func TestLostMembersAreReplaced(t *testing.T) {
	all := zoned(6, 24)
	for name, alive := range map[string]func(owners.Member) bool{
		"all strong entries": func(m owners.Member) bool { return m.Capacity < 800 },
		"a zone":             func(m owners.Member) bool { return m.Zone != "2" },
		"all but two":        func(m owners.Member) bool { return m.Name == "z1-03" || m.Name == "z4-05" },
	} {
		members := settle(all, alive, 5)
		require.NotEmpty(t, members, name)
		zones := map[string]bool{}
		for _, m := range members {
			require.True(t, alive(m), name)
			zones[m.Zone] = true
		}
		for _, m := range all {
			require.True(t, !alive(m) || zones[m.Zone], name)
		}
	}
}

// Entries of older versions report neither capacity nor link.
func TestUnknownStrengthIsTakenAsTheLowest(t *testing.T) {
	all := zoned(1, 16)
	all[7].Capacity, all[7].Link = 0, 0
	require.False(t, owners.MayOwn(all[7], all, 5))
	require.True(t, owners.MayOwn(all[15], all, 5))
}
