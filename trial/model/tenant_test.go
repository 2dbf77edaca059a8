package model_test

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/trial/model"
)

const (
	// tenantCount is the number of tenants, tenantHosts that of the hosts and tenantRate that of the jobs per second that fill them.
	tenantCount, tenantHosts = 20, 200
	tenantRate               = tenantHosts * 16 * 0.9 / (16 * 1.6)
	// tenantSeeds is the number of plays of a mean.
	tenantSeeds = 4
	// mostLost is by how much a flood of one tenant may lower what the others earn, and leastServed how often the worst tenth
	// of the tenants has to be served, against all.
	mostLost, leastServed = 0.02, 0.9
)

// tenantFleet returns a fleet of one pool to which a multiple of its capacity is offered. Each tenant after the first sends
// less than the one before it.
func tenantFleet(load, steepness float64) model.Fleet {
	f := model.Fleet{Kinds: []model.Kind{
		{Pool: "a", Hosts: tenantHosts, Rate: load * tenantRate, Worth: 1, Steps: 2, Cores: 16, Duration: 800 * time.Millisecond, Spread: 1},
	}, OrdersPerSecond: 4}
	sum := 0.0
	for i := range tenantCount {
		sum += math.Pow(float64(i+1), -steepness)
	}
	for i := range tenantCount {
		part := math.Pow(float64(i+1), -steepness) / sum
		f.Tenants = append(f.Tenants, model.Tenant{Part: part, Weight: part * load * tenantRate})
	}
	return f
}

// served is the worth that the tenants were owed and got, by tenant.
type served struct{ owed, got [tenantCount]float64 }

func (s *served) add(t *testing.T, f model.Fleet, seed uint64) {
	t.Helper()
	r, err := model.Run(f, model.Steady(30*time.Second), model.Static, seed)
	require.NoError(t, err)
	for _, j := range r.Jobs {
		s.owed[j.Tenant] += j.Worth
		if j.InTime {
			s.got[j.Tenant] += j.Worth
		}
	}
}

// share returns the share of their worth that some tenants got.
func (s *served) share(tenants ...int) float64 {
	owed, got := 0.0, 0.0
	for _, i := range tenants {
		owed, got = owed+s.owed[i], got+s.got[i]
	}
	return got / owed
}

// tenants returns the tenants from one on.
func tenants(first int) []int {
	var out []int
	for i := first; i < tenantCount; i++ {
		out = append(out, i)
	}
	return out
}

// Guards against a tenant that sends many times its usual load and takes the capacity that the others need.
func TestAFloodOfOneTenantCostsTheOthersLittle(t *testing.T) {
	for _, load := range []float64{0.5, 0.8, 0.95} {
		var calm, flood, before served
		for seed := range uint64(tenantSeeds) {
			f := tenantFleet(load, 1)
			calm.add(t, f, seed)
			f.Tenants[0].Factor = func(at time.Duration) float64 {
				if at >= 8*time.Second && at < 22*time.Second {
					return 10
				}
				return 1
			}
			flood.add(t, f, seed)
			f.NoTenantShare = true
			before.add(t, f, seed)
		}
		others := tenants(1)
		t.Logf("usual load %.2f: others get %.3f, with the flood %.3f, without shares %.3f; the flooding one %.3f, with the flood %.3f", load,
			calm.share(others...), flood.share(others...), before.share(others...), calm.share(0), flood.share(0))
		require.Equal(t, calm.owed[1:], flood.owed[1:])
		require.GreaterOrEqual(t, flood.share(others...), calm.share(others...)-mostLost)
	}
}

// worstTenth returns the mean of the tenth of some values that is the lowest.
func worstTenth(values []float64) float64 {
	worst := slices.Sorted(slices.Values(values))[:len(values)/10]
	sum := 0.0
	for _, v := range worst {
		sum += v
	}
	return sum / float64(len(worst))
}

// Guards against tenants that an overloaded pool hardly serves: all send more than it can do in proportion to their weight, or
// every second one sends its weight, and the others so much more that the sum is the same. Jobs beyond the weight are owed nothing.
func TestTheWorstTenthOfTenantsIsServedLikeAll(t *testing.T) {
	for _, load := range []float64{2, 4} {
		for _, beyond := range []bool{false, true} {
			var with, without served
			f := tenantFleet(load, 0.5)
			if beyond {
				f = tenantFleet(1, 0.5)
			}
			sent := make([]float64, tenantCount)
			for i := range f.Tenants {
				sent[i] = 1
				if beyond && i%2 == 1 {
					sent[i] = 2*load - 1
				}
				f.Tenants[i].Part *= sent[i]
			}
			for seed := range uint64(tenantSeeds) {
				f.NoTenantShare = false
				with.add(t, f, seed)
				f.NoTenantShare = true
				without.add(t, f, seed)
			}
			shares := func(s *served) (each []float64, mean float64) {
				for i := range tenantCount {
					each = append(each, min(s.share(i)*sent[i], 1))
					mean += each[i] / tenantCount
				}
				return each, mean
			}
			each, all := shares(&with)
			eachBefore, allBefore := shares(&without)
			t.Logf("offered %.0f of the capacity, beyond the weight %v: all get %.3f of what they are owed, the worst tenth %.3f; without shares %.3f and %.3f",
				load, beyond, all, worstTenth(each), allBefore, worstTenth(eachBefore))
			require.GreaterOrEqual(t, worstTenth(each), leastServed*all)
		}
	}
}
