package route

import (
	"math/rand/v2"
	"slices"
)

// target is the pool's state of one host.
type target struct {
	Target
	inUse   int
	inTable bool
	health  health
	// suspects is the number of slots in use by suspect requests.
	suspects int
}

// pickTarget returns a target with a free slot, or nil if there is none. It prefers connected targets,
// and keeps suspect requests apart from each other and from other requests as far as there are targets,
// since a target that crashes is lost for all of its requests.
func (s *poolState) pickTarget(suspect bool) *target {
	apart := func(t *target) bool { return t.suspects == 0 && s.connected(t) }
	idle := func(t *target) bool { return t.inUse == 0 && apart(t) }
	if suspect {
		if chosen := s.drawTarget(idle); chosen != nil {
			return chosen
		}
	}
	for _, eligible := range []func(*target) bool{apart, s.connected} {
		if chosen := s.drawTarget(eligible); chosen != nil {
			return chosen
		}
	}
	return s.drawTarget(func(*target) bool { return true })
}

func (s *poolState) connected(t *target) bool { return t.health.connected(s.now) }

// hasFreeTarget reports whether an eligible target has a free slot.
func (s *poolState) hasFreeTarget(eligible func(*target) bool) bool {
	return slices.ContainsFunc(s.tableTargets, func(t *target) bool {
		return t.inUse < t.Slots && s.accepts(t) && eligible(t)
	})
}

// hasSlotFor reports whether a request may get a slot at once.
func (s *poolState) hasSlotFor(r *SlotRequest) bool {
	return s.hasFreeTarget(s.connected) || s.freeSlots() > 0 && s.mayUseDisconnected(r)
}

// mayUseDisconnected reports whether a request may get a slot of a target that is probably down.
func (s *poolState) mayUseDisconnected(r *SlotRequest) bool {
	return !r.needsConnected() || !slices.ContainsFunc(s.tableTargets, func(t *target) bool {
		return s.accepts(t) && s.connected(t)
	})
}

// drawTarget returns the less loaded of two targets drawn at random from the eligible ones with a free
// slot. It returns nil if no eligible target has one.
func (s *poolState) drawTarget(eligible func(*target) bool) *target {
	var chosen *target
	seen := 0
	for _, t := range s.tableTargets {
		if t.inUse >= t.Slots || !s.accepts(t) || !eligible(t) {
			continue
		}
		seen++
		// Each target with a free slot is equally likely to be one of the two drawn.
		switch {
		case seen == 1:
			chosen = t
		case rand.IntN(seen) < 2 && t.load() < chosen.load():
			chosen = t
		case t.load() == chosen.load() && rand.IntN(seen) == 0:
			chosen = t
		}
	}
	return chosen
}

// load returns the share of the target's slots that are in use.
func (t *target) load() float64 { return float64(t.inUse) / float64(t.Slots) }
