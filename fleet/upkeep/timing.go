package upkeep

import "time"

// Timing relates the time for which a holder may order machines to the time for which its successor has to
// expect such orders. Both count from the moment at which the store fences the holder off: the claim of the
// holder was confirmed before that, and its successor starts after it.
//
// The invariant is LastOrderAfter <= SettledAfter <= OrderableAfter. Whatever the holder can still order has been
// carried out when the successor asks for the list that ends its wait.
type Timing struct {
	// Term is the time that has to pass between the orders of two holders for one machine.
	Term time.Duration
	// Ask bounds one request to empty a host, and Call one call to the platform. A step of a machine
	// consists of one of each, in this order.
	Ask, Call time.Duration
}

// BeginWithin is how long after its claim was confirmed a holder may begin a step that orders a machine.
func (t Timing) BeginWithin() time.Duration { return t.Term - t.Call }

// LastOrderAfter is how long after the claim was confirmed the last order of a holder has been carried out.
func (t Timing) LastOrderAfter() time.Duration { return t.BeginWithin() + t.Ask + t.Call }

// SettledAfter is how long after its start a successor may ask for the list of machines that shows all orders of
// the holder before it. Until then it counts the machines that the holder may order as ordered.
func (t Timing) SettledAfter() time.Duration { return t.Term + t.Ask }

// OrderableAfter is how long after its start a successor may order a machine that the holder before it may have
// ordered.
func (t Timing) OrderableAfter() time.Duration { return max(t.Term+t.Call, t.SettledAfter()) }
