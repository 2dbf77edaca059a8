// Package place chooses hosts for tasks. The policy is a type parameter, so that
// policies can be compared in one run.
package place

import (
	"carawaymux.dev/fleet/host"
)

// Rack names a failure domain.
type Rack struct{ Zone, Name string }

// Candidate is a host that may take a task.
type Candidate struct {
	// Name is the host's name.
	Name string
	// Rack is the host's failure domain.
	Rack Rack
	// Free is what the host can still hold; no dimension is negative.
	Free host.Resources
	// Mates is the number of tasks of the same job in the rack.
	Mates int
}

// Policy ranks candidates that can hold a task; the lowest rank is chosen, and
// the first one among equals.
type Policy interface {
	Rank(c Candidate, need host.Resources) int64
}

// FirstFit takes the first host that can hold the task. It is the baseline.
type FirstFit struct{}

// Rank is the same for all candidates.
func (FirstFit) Rank(Candidate, host.Resources) int64 { return 0 }

// acceleratorRank is the rank that an idle accelerator adds, in MiB of memory; it
// keeps hosts with accelerators for the tasks that need them.
const acceleratorRank = 1 << 24

// BestFit takes the host with the least left over, accelerators first.
type BestFit struct{}

// Rank is what the host would have left over, in MiB of memory.
func (BestFit) Rank(c Candidate, need host.Resources) int64 {
	left := c.Free.Sub(need)
	return left.Accelerators*acceleratorRank + left.Cores*memoryPerCore + left.MemoryMiB
}

// memoryPerCore weighs a core against memory, in MiB.
const memoryPerCore = 4096

// Spread takes the rack with the fewest tasks of the job, then the best fit.
type Spread struct{}

// mateRank is the rank that each task of the same job in the rack adds; it
// outweighs what any host could have left over.
const mateRank = 1 << 40

// Rank is the best-fit rank, after the number of tasks in the rack.
func (Spread) Rank(c Candidate, need host.Resources) int64 {
	return int64(c.Mates)*mateRank + BestFit{}.Rank(c, need)
}

// Pick returns the index of the chosen candidate. When none can hold the task it
// returns -1 and the dimension that the last candidate tried is short of.
func Pick[P Policy](policy P, candidates []Candidate, need host.Resources) (chosen int, short string) {
	chosen = -1
	var best int64
	for i, c := range candidates {
		if dimension := c.Free.Shortfall(need); dimension != "" {
			short = dimension
			continue
		}
		if rank := policy.Rank(c, need); chosen < 0 || rank < best {
			chosen, best = i, rank
		}
	}
	if chosen >= 0 {
		return chosen, ""
	}
	return -1, short
}

// Take books a task on a candidate.
func Take(candidates []Candidate, chosen int, need host.Resources) {
	candidates[chosen].Free = candidates[chosen].Free.Sub(need)
}

// TakeSpread books a task on a candidate and counts it in its rack.
func TakeSpread(candidates []Candidate, chosen int, need host.Resources) {
	Take(candidates, chosen, need)
	rack := candidates[chosen].Rack
	for i := range candidates {
		if candidates[i].Rack == rack {
			candidates[i].Mates++
		}
	}
}
