// Package budget defines availability budgets, which limit how many hosts of a pool may be out of
// service at once.
package budget

import (
	"fmt"

	"carawaymux.dev/fleet/record"
)

// MaxHosts is the upper limit of the host counts in a budget.
const MaxHosts = 10_000

// Spec is an availability budget in schema version 2.
type Spec struct {
	// MaxUnavailable is the maximum number of hosts out of service at once.
	MaxUnavailable int `json:"max-unavailable"`
	// MinAvailable is the minimum number of hosts in service.
	MinAvailable int `json:"min-available"`
}

// SpecV1 is an availability budget in schema version 1, which has no minimum of hosts in service.
type SpecV1 struct {
	// MaxUnavailable is the maximum number of hosts out of service at once.
	MaxUnavailable int `json:"max-unavailable"`
}

// Upgrade returns the budget in schema version 2.
func (s SpecV1) Upgrade() Spec { return Spec{MaxUnavailable: s.MaxUnavailable} }

// Downgrade returns the budget in schema version 1. It fails if the budget uses a field that
// version 1 does not have.
func (s Spec) Downgrade() (SpecV1, error) {
	if s.MinAvailable != 0 {
		return SpecV1{}, fmt.Errorf("min-available: is %d, but schema 1 does not have this field", s.MinAvailable)
	}
	return SpecV1{MaxUnavailable: s.MaxUnavailable}, nil
}

// Kind returns [record.KindBudget].
func (Spec) Kind() record.Kind { return record.KindBudget }

// Check validates the fields.
func (s Spec) Check() record.Problems {
	var p record.Problems
	p.CheckRange("max-unavailable", int64(s.MaxUnavailable), 0, MaxHosts)
	p.CheckRange("min-available", int64(s.MinAvailable), 0, MaxHosts)
	return p
}

// Tally counts the hosts of one pool.
type Tally struct {
	// Size is the number of hosts that belong to the pool.
	Size int
	// Serving is the number of these hosts that are in service, from 0 to Size.
	Serving int
}

// Unavailable returns the number of hosts that are not in service.
func (t Tally) Unavailable() int { return t.Size - t.Serving }

// Headroom returns how many more hosts may leave service under the budget. It is negative when the
// budget is overdrawn.
func (s Spec) Headroom(t Tally) int {
	return min(s.MaxUnavailable-t.Unavailable(), t.Serving-s.MinAvailable)
}

// Figures formats the numbers that a decision is based on. The text is stored in [record.Reason].
func (s Spec) Figures(t Tally) string {
	return fmt.Sprintf("size %d, serving %d, max-unavailable %d, min-available %d, room %d",
		t.Size, t.Serving, s.MaxUnavailable, s.MinAvailable, s.Headroom(t))
}
