// Package quota defines how much of the fleet a team's jobs may hold.
package quota

import (
	"carawaymux.dev/fleet/record"
)

// MaxAmount is the largest quota of any dimension.
const MaxAmount = 1 << 40

// Spec is a team's quota. The record's object is the team's name.
type Spec struct {
	// Cores is the number of processor cores that placed tasks may hold.
	Cores int64 `json:"cores"`
	// MemoryMiB is the memory in MiB that placed tasks may hold.
	MemoryMiB int64 `json:"memory-mib"`
	// Accelerators is the number of accelerators that placed tasks may hold.
	Accelerators int64 `json:"accelerators"`
}

// Kind returns [record.KindQuota].
func (Spec) Kind() record.Kind { return record.KindQuota }

// Check reports faults in the fields.
func (s Spec) Check() record.Problems {
	var p record.Problems
	p.CheckRange("cores", s.Cores, 0, MaxAmount)
	p.CheckRange("memory-mib", s.MemoryMiB, 0, MaxAmount)
	p.CheckRange("accelerators", s.Accelerators, 0, MaxAmount)
	return p
}
