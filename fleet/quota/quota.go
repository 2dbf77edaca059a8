// Package quota defines quotas, which limit the resources that the placed tasks of a team's jobs
// may use.
package quota

import (
	"carawaymux.dev/fleet/record"
)

// MaxAmount is the maximum quota in each dimension.
const MaxAmount = 1 << 40

// Spec is the quota of a team. The record's Object field names the team.
type Spec struct {
	// Cores is the number of processor cores that placed tasks may use.
	Cores int64 `json:"cores"`
	// MemoryMiB is the memory in MiB that placed tasks may use.
	MemoryMiB int64 `json:"memory-mib"`
	// Accelerators is the number of accelerators that placed tasks may use.
	Accelerators int64 `json:"accelerators"`
}

// Kind returns [record.KindQuota].
func (Spec) Kind() record.Kind { return record.KindQuota }

// Check validates the fields.
func (s Spec) Check() record.Problems {
	var p record.Problems
	p.CheckRange("cores", s.Cores, 0, MaxAmount)
	p.CheckRange("memory-mib", s.MemoryMiB, 0, MaxAmount)
	p.CheckRange("accelerators", s.Accelerators, 0, MaxAmount)
	return p
}
