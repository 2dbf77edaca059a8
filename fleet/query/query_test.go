package query_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/budget"
	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/host"
	"carawaymux.dev/fleet/jobs"
	"carawaymux.dev/fleet/lease"
	"carawaymux.dev/fleet/ledger"
	"carawaymux.dev/fleet/pool"
	"carawaymux.dev/fleet/query"
	"carawaymux.dev/fleet/record"
)

// mustAccept applies a record and requires that it is accepted.
func mustAccept(t testing.TB, s *ledger.State, object string, body record.Body) {
	t.Helper()
	v, err := s.Apply(record.Entry{Offset: s.NextOffset, Record: record.Record{
		ID: record.NewID(), Schema: min(codec.NewestSchema(body.Kind()), s.OpenSchema(body.Kind())), Author: "t", Object: object, Fence: s.Lease.Fence, Body: body,
	}})
	require.NoError(t, err)
	require.Equal(t, record.Accepted, v.Result, v.Reason)
}

// newFleet builds pools of equal hosts. One host of each pool may be unavailable.
func newFleet(t testing.TB, pools, hosts int) *ledger.State {
	s := ledger.New()
	mustAccept(t, s, "one", budget.Spec{MaxUnavailable: 1})
	mustAccept(t, s, "", lease.Claim{Holder: "a", TermMS: 1000})
	for p := range pools {
		name := fmt.Sprintf("p%03d", p)
		mustAccept(t, s, name, pool.Spec{Budget: "one", Kinds: []string{name}})
		for h := range hosts {
			mustAccept(t, s, fmt.Sprintf("%s-h%02d", name, h), host.Spec{
				Pool: name, Zone: fmt.Sprintf("z%d", h%7), Rack: fmt.Sprintf("r%d", h), Address: "10.0.0.1:80",
				Size: host.Resources{Cores: 16, MemoryMiB: 65536, Accelerators: int64(h % 3)}, Slots: 8, Connections: 64,
			})
		}
	}
	return s
}

func TestCarryReportsShortDimension(t *testing.T) {
	s := newFleet(t, 1, 4)
	for name, c := range map[string]struct {
		carry query.Carry
		short string
	}{
		"fits":         {query.Carry{Pool: "p000", Jobs: []query.Demand{{Name: "j", Size: host.Resources{Cores: 16}, Tasks: 3}}}, ""},
		"budget":       {query.Carry{Pool: "p000", Jobs: []query.Demand{{Name: "j", Size: host.Resources{Cores: 16}, Tasks: 4}}}, "budget"},
		"cores":        {query.Carry{Pool: "p000", Jobs: []query.Demand{{Name: "j", Size: host.Resources{Cores: 17}, Tasks: 1}}}, "cores"},
		"memory":       {query.Carry{Jobs: []query.Demand{{Name: "j", Size: host.Resources{MemoryMiB: 65537}, Tasks: 1}}}, "memory-mib"},
		"accelerators": {query.Carry{Jobs: []query.Demand{{Name: "j", Size: host.Resources{Accelerators: 3}, Tasks: 1}}}, "accelerators"},
		"slots":        {query.Carry{Pool: "p000", Slots: 33}, "slots"},
		"some slots":   {query.Carry{Pool: "p000", Slots: 24}, ""},
	} {
		got, err := query.AnswerCarry(s, c.carry)
		require.NoError(t, err, name)
		require.Equal(t, c.short, got.ShortOf, "%s: %s", name, got.Why)
		require.Equal(t, c.short == "", got.Fits, name)
	}
	_, err := query.AnswerCarry(s, query.Carry{Pool: "none", Slots: 1})
	require.ErrorContains(t, err, "pool")
}

func TestCarryPlacementsFit(t *testing.T) {
	s := newFleet(t, 2, 6)
	got, err := query.AnswerCarry(s, query.Carry{Jobs: []query.Demand{
		{Name: "a", Size: host.Resources{Cores: 5, MemoryMiB: 1000}, Tasks: 12},
		{Name: "b", Size: host.Resources{Cores: 3, Accelerators: 1}, Tasks: 4, Spread: true},
	}})
	require.NoError(t, err)
	require.True(t, got.Fits, got.Why)
	sizes := map[string]host.Resources{"a": {Cores: 5, MemoryMiB: 1000}, "b": {Cores: 3, Accelerators: 1}}
	usedByHost := make(map[string]host.Resources)
	for _, p := range got.Placements {
		usedByHost[p.Host] = usedByHost[p.Host].Add(sizes[p.Job])
	}
	for name, size := range usedByHost {
		require.Empty(t, s.Hosts[name].Spec.Size.Shortfall(size), name)
	}
	require.Len(t, got.Placements, 16)
}

func TestLeaveReportsBlockers(t *testing.T) {
	s := newFleet(t, 1, 3)
	mustAccept(t, s, "big", jobs.Spec{Pool: "p000", Size: host.Resources{Cores: 16}, Tasks: 3, Urgency: jobs.Normal})
	mustAccept(t, s, "", jobs.Placement{Items: []jobs.PlacementItem{
		{Job: "big", Task: 0, Act: jobs.ActStart, Host: "p000-h00"}, {Job: "big", Task: 1, Act: jobs.ActStart, Host: "p000-h01"},
	}})
	got, err := query.AnswerLeave(s, query.Leave{})
	require.NoError(t, err)
	require.True(t, got.Hosts[0].MayLeave, "its task finds room on the idle host")
	mustAccept(t, s, "", jobs.Placement{Items: []jobs.PlacementItem{{Job: "big", Task: 2, Act: jobs.ActStart, Host: "p000-h02"}}})
	got, err = query.AnswerLeave(s, query.Leave{Pool: "p000"})
	require.NoError(t, err)
	require.Contains(t, got.Hosts[0].Blocker, "task 0 of job big fits on no other serving host of the pool: short of cores")
	mustAccept(t, s, "", host.Change{Event: host.EventFail, Hosts: []string{"p000-h02"}})
	got, err = query.AnswerLeave(s, query.Leave{Host: "p000-h00"})
	require.NoError(t, err)
	require.Contains(t, got.Hosts[0].Blocker, "budget of pool p000 allows no more hosts to leave: ")
	got, err = query.AnswerLeave(s, query.Leave{Host: "p000-h02"})
	require.NoError(t, err)
	require.Equal(t, "host is not serving, it is failed", got.Hosts[0].Blocker)
}

// The benchmarks use the planned size of the fleet: 2,400 hosts in 172 pools.
const (
	benchPools = 172
	benchHosts = 14
)

func BenchmarkCarryPool(b *testing.B) {
	s := newFleet(b, benchPools, benchHosts)
	q := query.Carry{Pool: "p100", Jobs: []query.Demand{{Name: "j", Size: host.Resources{Cores: 4, MemoryMiB: 8192}, Tasks: 10}}}
	b.ResetTimer()
	for range b.N {
		_, _ = query.AnswerCarry(s, q)
	}
}

func BenchmarkCarryFleet(b *testing.B) {
	s := newFleet(b, benchPools, benchHosts)
	q := query.Carry{Jobs: []query.Demand{{Name: "j", Size: host.Resources{Cores: 4, MemoryMiB: 8192}, Tasks: 10}}}
	b.ResetTimer()
	for range b.N {
		_, _ = query.AnswerCarry(s, q)
	}
}

// BenchmarkCarryFleetRefused asks for a task that no host can hold, so that every pool is searched.
func BenchmarkCarryFleetRefused(b *testing.B) {
	s := newFleet(b, benchPools, benchHosts)
	q := query.Carry{Jobs: []query.Demand{{Name: "j", Size: host.Resources{Cores: 17}, Tasks: 1}}}
	b.ResetTimer()
	for range b.N {
		_, _ = query.AnswerCarry(s, q)
	}
}

func BenchmarkLeavePool(b *testing.B) {
	s := newFleet(b, benchPools, benchHosts)
	b.ResetTimer()
	for range b.N {
		_, _ = query.AnswerLeave(s, query.Leave{Pool: "p100"})
	}
}

func BenchmarkLeaveFleet(b *testing.B) {
	s := newFleet(b, benchPools, benchHosts)
	b.ResetTimer()
	for range b.N {
		_, _ = query.AnswerLeave(s, query.Leave{})
	}
}
