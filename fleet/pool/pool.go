// Package pool defines pools of hosts: their availability budget, the request kinds that they serve
// and how they lend capacity to other pools.
package pool

import (
	"fmt"

	"carawaymux.dev/fleet/record"
)

// Limits on a pool's fields.
const (
	// MaxKinds is the maximum number of request kinds of one pool.
	MaxKinds = 32
	// MaxGuard is the maximum number of slots that a lending pool keeps for itself.
	MaxGuard = 100_000
	// MaxFloor is the maximum number of hosts that the planner keeps in a pool by replacing lost
	// ones.
	MaxFloor = 10_000
)

// Spec is a pool in schema version 2.
type Spec struct {
	// Budget names the availability budget, which must exist.
	Budget string `json:"budget"`
	// Kinds are the request kinds that the pool serves. A kind belongs to at most one pool.
	Kinds []string `json:"kinds,omitempty"`
	// Spare is set if the pool lends slots and gives hosts to other pools.
	Spare bool `json:"spare,omitempty"`
	// Guard is the number of slots that a lending pool keeps for itself. It must be 0 if Spare is
	// not set.
	Guard int `json:"guard,omitempty"`
	// Floor is the number of hosts below which lost hosts are replaced from a spare pool. 0 turns
	// replacement off.
	Floor int `json:"floor,omitempty"`
}

// SpecV1 is a pool in schema version 1, which has at most one request kind and no guard or floor.
type SpecV1 struct {
	// Budget names the availability budget, which must exist.
	Budget string `json:"budget"`
	// Serves is the only request kind. It is empty for a pool that serves none.
	Serves string `json:"serves,omitempty"`
	// Spare is set if the pool lends slots and gives hosts to other pools.
	Spare bool `json:"spare,omitempty"`
}

// Upgrade returns the pool in schema version 2.
func (s SpecV1) Upgrade() Spec {
	out := Spec{Budget: s.Budget, Spare: s.Spare}
	if s.Serves != "" {
		out.Kinds = []string{s.Serves}
	}
	return out
}

// Downgrade returns the pool in schema version 1. It fails if the pool uses a field or a number of
// kinds that version 1 does not have.
func (s Spec) Downgrade() (SpecV1, error) {
	if len(s.Kinds) > 1 {
		return SpecV1{}, fmt.Errorf("kinds: schema 1 holds one kind, but the pool has %d", len(s.Kinds))
	}
	if s.Guard != 0 || s.Floor != 0 {
		return SpecV1{}, fmt.Errorf("guard, floor: are %d and %d, but schema 1 does not have these fields", s.Guard, s.Floor)
	}
	out := SpecV1{Budget: s.Budget, Spare: s.Spare}
	if len(s.Kinds) == 1 {
		out.Serves = s.Kinds[0]
	}
	return out, nil
}

// Kind returns [record.KindPool].
func (Spec) Kind() record.Kind { return record.KindPool }

// Check validates the fields.
func (s Spec) Check() record.Problems {
	var p record.Problems
	if s.Budget == "" {
		p.Add("budget", "", "the name of a budget; a pool without a budget is refused")
	} else {
		p.CheckName("budget", s.Budget)
	}
	p.CheckRange("kinds", int64(len(s.Kinds)), 0, MaxKinds)
	seen := make(map[string]bool, len(s.Kinds))
	for _, k := range s.Kinds {
		p.CheckName("kinds", k)
		if seen[k] {
			p.Add("kinds", k, "named once")
		}
		seen[k] = true
	}
	p.CheckRange("guard", int64(s.Guard), 0, MaxGuard)
	p.CheckRange("floor", int64(s.Floor), 0, MaxFloor)
	if !s.Spare && s.Guard != 0 {
		p.Add("guard", fmt.Sprint(s.Guard), "0 where spare is false")
	}
	return p
}
