package shard_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

func TestAGangStartsAsAWholeWithOneRunNumber(t *testing.T) {
	o := newOwner(t, 1, "a")
	gang := smallStep(6)
	gang.Gang = true
	o.submit("job", gang)
	require.Empty(t, o.plan(), "six members do not fit on four cores")
	o.addHost("b")
	s := o.start()
	require.Len(t, s, 6)
	for _, one := range s {
		require.Equal(t, s[0].Run, one.Run)
	}
	o.report("a", doneRow(1, s[0]))
	require.Equal(t, shard.Completed, o.Jobs["job"].Phase, "the success of one member completes the gang")
}

func TestAGangWithAMemberRefusedIsStoppedAsAWhole(t *testing.T) {
	o := newOwner(t, 1, "a", "b")
	gang := smallStep(6)
	gang.Gang = true
	o.submit("job", gang)
	s := o.plan()
	require.Len(t, s, 6)
	for i := range s[:5] {
		o.clock++
		o.HandleStartResult(&s[i], o.clock, nil, o.now)
	}
	o.HandleStartResult(&s[5], 0, &port.RefusedError{Reason: port.RefusedCapacity}, o.now)
	stops := o.plan()
	require.Len(t, stops, 5)
	for _, one := range stops {
		require.Equal(t, shard.OrderStop, one.Kind)
	}
}

func TestPlacementRules(t *testing.T) {
	o := newOwner(t, 1, "a", "b", "c")
	o.Hosts["b"].Labels = []string{"fast"}
	needs := smallStep(1)
	needs.RequiredLabel = "fast"
	o.submit("needs", needs)
	s := o.start()
	require.Equal(t, "b", s[0].Host)
	spread := smallStep(3)
	spread.PerHost = 1
	o.submit("apart", spread)
	s = o.start()
	hosts := map[string]bool{}
	for _, one := range s {
		hosts[one.Host] = true
	}
	require.Len(t, hosts, 3)
	missing := smallStep(1)
	missing.RequiredLabel = "none has it"
	o.submit("missing", missing)
	require.Empty(t, o.plan())
	o.submit("after it", smallStep(1))
	require.Len(t, o.plan(), 1, "work that can never run does not block other work")
}
