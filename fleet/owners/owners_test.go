package owners_test

import (
	"fmt"
	"testing"

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
