package caps

import "carawaymux.dev/fleet/batch"

// Holding is what an owner holds of a tenant: its budget, and what its own configuration says.
type Holding struct {
	// Held is the budget, and the zero one before there is any.
	Held Budget
	// Cap and Version are of the owner's configuration. Cap is zero if the tenant has none.
	Cap     batch.Size
	Version int64
	// UncappedAt is the newest version at which the tenant is known to have had no cap, and 0 if there is none. What has started then is in
	// no bound of the lender.
	UncappedAt int64
}

// Configure applies the cap of a configuration. It reports whether the budget is void now, and has to be stored.
func (h *Holding) Configure(limit batch.Size, version int64) (voided bool) {
	if h.Version > 0 && !HasCap(h.Cap) {
		h.UncappedAt = max(h.UncappedAt, h.Version)
	}
	h.Cap, h.Version = limit, version
	if HasCap(limit) {
		return false
	}
	h.UncappedAt = max(h.UncappedAt, version)
	if h.Held.Number == 0 || h.Held.Version > version || h.Held.IsVoid() {
		return false
	}
	h.Held = h.Held.void(version)
	return true
}

// IsVoid reports whether the tenant has had no cap since a lender has asked what runs. The first budget from then on has to be one with
// which a lender asks that.
func (h *Holding) IsVoid() bool { return h.Held.IsVoid() || (h.Held.Number == 0 && h.UncappedAt > 0) }

// Take takes a budget, unless it is older than the one that is held, or does not take into account what has started without a cap. It
// reports whether it is taken, and whether it may be lower than what was held.
func (h *Holding) Take(b Budget) (taken, lower bool) {
	uncappedAt := h.UncappedAt
	if h.Held.IsVoid() {
		uncappedAt = max(uncappedAt, h.Held.Version)
	}
	if !b.IsValid() || !b.IsNewer(&h.Held) || b.Version <= uncappedAt || (h.IsVoid() && !b.Opening) {
		return false, false
	}
	lower = h.Held.Number == 0 || h.Held.Cap != b.Cap || !b.Amount.Fits(h.Held.Amount)
	h.Held = b
	return true, lower
}

// Limit returns what may run of the tenant in the pool. It reports false if nothing limits it. A budget of a newer configuration than the
// owner's holds in any case.
func (h *Holding) Limit() (batch.Size, bool) {
	if !HasCap(h.Cap) && (h.Held.Number == 0 || h.Version >= h.Held.Version) {
		return batch.Size{}, false
	}
	return h.Held.limit(h.Cap, h.Version), true
}
