// Package pool defines pools of hosts and the request kinds that they serve.
package pool

import (
	"fmt"

	"carawaymux.dev/fleet/record"
)

// Limits on a pool's fields.
const (
	// MaxKinds is the largest number of request kinds that a pool serves.
	MaxKinds = 32
	// MaxGuard is the largest number of slots that a lender keeps free.
	MaxGuard = 100_000
	// MaxFloor is the largest number of hosts that repair keeps in a pool.
	MaxFloor = 10_000
)

// Spec is a pool in schema version 2.
type Spec struct {
	// Budget names the availability budget; the budget must exist.
	Budget string `json:"budget"`
	// Kinds are the request kinds that the pool serves. A kind belongs to one
	// pool at most.
	Kinds []string `json:"kinds,omitempty"`
	// Spare says that the pool lends slots and gives hosts to other pools.
	Spare bool `json:"spare,omitempty"`
	// Guard is the number of slots that the pool keeps for itself when it
	// lends; it is 0 where Spare is false.
	Guard int `json:"guard,omitempty"`
	// Floor is the number of hosts below which lost hosts are replaced from
	// the spare pool; 0 asks for no replacement.
	Floor int `json:"floor,omitempty"`
}

// SpecV1 is schema version 1: one request kind, no floor.
type SpecV1 struct {
	// Budget names the availability budget; the budget must exist.
	Budget string `json:"budget"`
	// Serves is the one request kind; empty for a pool that serves none.
	Serves string `json:"serves,omitempty"`
	// Spare says that the pool lends to others.
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

// Downgrade returns the pool in schema version 1. It fails when the pool says
// something that version 1 cannot hold.
func (s Spec) Downgrade() (SpecV1, error) {
	if len(s.Kinds) > 1 {
		return SpecV1{}, fmt.Errorf("kinds: schema 1 holds one kind, the pool has %d", len(s.Kinds))
	}
	if s.Guard != 0 || s.Floor != 0 {
		return SpecV1{}, fmt.Errorf("guard, floor: schema 1 cannot hold %d, %d", s.Guard, s.Floor)
	}
	out := SpecV1{Budget: s.Budget, Spare: s.Spare}
	if len(s.Kinds) == 1 {
		out.Serves = s.Kinds[0]
	}
	return out, nil
}

// Kind returns [record.KindPool].
func (Spec) Kind() record.Kind { return record.KindPool }

// Check reports faults in the fields.
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
