// Package place chooses hosts for tasks. The policy is a type parameter, so that policies can
// be compared in one run.
package place

import (
	"carawaymux.dev/fleet/host"
)

// Rack identifies a failure domain.
type Rack struct{ Zone, Name string }

// Candidate is a host that may take a task.
type Candidate struct {
	Name string
	// Rack is the host's failure domain.
	Rack Rack
	// Free is the capacity that is not reserved; no dimension is negative.
	Free host.Resources
	// RackPeers is the number of tasks in the rack that belong to the same job as the task to place.
	RackPeers int
}

// Policy ranks candidates that can hold a task. [Pick] chooses the lowest rank, and the first
// candidate among equal ranks.
type Policy interface {
	Rank(c Candidate, need host.Resources) int64
}

// FirstFit takes the first host that can hold the task. It is the baseline.
type FirstFit struct{}

// Rank returns the same for all candidates.
func (FirstFit) Rank(Candidate, host.Resources) int64 { return 0 }

// acceleratorWeightMiB weighs an idle accelerator against memory. It keeps hosts with
// accelerators free for the tasks that need them.
const acceleratorWeightMiB = 1 << 24

// BestFit takes the host with the least capacity left over, counting accelerators first.
type BestFit struct{}

// Rank returns the capacity that the host would have left over, converted to MiB of memory.
func (BestFit) Rank(c Candidate, need host.Resources) int64 {
	remaining := c.Free.Sub(need)
	return remaining.Accelerators*acceleratorWeightMiB + remaining.Cores*coreWeightMiB + remaining.MemoryMiB
}

// coreWeightMiB weighs a core against memory.
const coreWeightMiB = 4096

// Spread takes the rack with the fewest tasks of the job, then the best fit.
type Spread struct{}

// rackPeerWeight is the rank that each task of the same job in the rack adds. It outweighs the
// capacity that any host could have left over.
const rackPeerWeight = 1 << 40

// Rank orders by the number of the job's tasks in the rack, then by the best fit.
func (Spread) Rank(c Candidate, need host.Resources) int64 {
	return int64(c.RackPeers)*rackPeerWeight + BestFit{}.Rank(c, need)
}

// Pick returns the index of the chosen candidate. When no candidate can hold the task it
// returns -1 and the dimension that the last candidate lacks.
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

// Reserve subtracts a task of size need from the free capacity of the chosen candidate.
func Reserve(candidates []Candidate, chosen int, need host.Resources) {
	candidates[chosen].Free = candidates[chosen].Free.Sub(need)
}

// ReserveSpread does the same as [Reserve], and counts the task in the RackPeers of all candidates
// of the rack.
func ReserveSpread(candidates []Candidate, chosen int, need host.Resources) {
	Reserve(candidates, chosen, need)
	rack := candidates[chosen].Rack
	for i := range candidates {
		if candidates[i].Rack == rack {
			candidates[i].RackPeers++
		}
	}
}
