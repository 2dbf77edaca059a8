// Package caps divides the caps of tenants into budgets, one for each pool. It does no I/O and reads no clock.
//
// An owner starts work of a tenant within the [Budget] of its pool. The [Ledger] holds what may run in each pool, so that
// the budgets of all pools together stay within the cap, whatever messages are lost, late or repeated.
package caps

import (
	"cmp"
	"math"
	"math/bits"

	"carawaymux.dev/fleet/batch"
)

// Unlimited is the amount of a dimension that has no limit.
const Unlimited = math.MaxInt64

// Budget is what an owner may have running of a tenant in its pool.
type Budget struct {
	Tenant string `cbor:"1,keyasint,omitempty"`
	// Amount is the budget. A dimension in which Cap is 0 has no limit.
	Amount batch.Size `cbor:"2,keyasint"`
	// Cap is the cap of which the budget is a part.
	Cap batch.Size `cbor:"3,keyasint"`
	// Version is that of the configuration with that cap.
	Version int64 `cbor:"4,keyasint,omitempty"`
	// Epoch is that of the lender, and Number counts the budgets that it has sent. Both are 0 if there is no budget.
	Epoch  int64 `cbor:"5,keyasint,omitempty"`
	Number int64 `cbor:"6,keyasint,omitempty"`
	// Opening reports whether the lender does not know yet what may run in each pool. The amount is nothing then.
	Opening bool `cbor:"7,keyasint,omitempty"`
}

// IsNewer reports whether a budget replaces another one.
func (b *Budget) IsNewer(other *Budget) bool {
	return cmp.Or(cmp.Compare(b.Epoch, other.Epoch), cmp.Compare(b.Number, other.Number)) > 0
}

// Is reports whether two budgets are the same message of a lender.
func (b *Budget) Is(other *Budget) bool { return b.Epoch == other.Epoch && b.Number == other.Number }

// IsValid reports whether a budget that was received or read may be used.
func (b *Budget) IsValid() bool {
	return b.Amount.Fits(batch.Size{}) && b.Cap.Fits(batch.Size{}) && b.Epoch > 0 && b.Number > 0
}

// HasCap reports whether a cap limits anything.
func HasCap(limit batch.Size) bool { return limit != batch.Size{} }

// limit returns what an owner may have running whose own configuration has a version and a cap for the tenant. The budget is
// the zero one if there is none.
func (b *Budget) limit(own batch.Size, version int64) batch.Size {
	older := version < b.Version
	return zip(own, b.Cap, b.Amount, func(own, lent, amount int64) int64 {
		switch {
		case older && lent == 0 && !b.IsVoid(), !older && own == 0:
			return Unlimited
		case lent == 0, own > 0 && own < lent:
			// No part of this cap has been lent yet. What other pools run may exceed a lower one.
			return 0
		}
		return amount
	})
}

// void returns the budget that remains when a configuration has no cap for the tenant: nothing, of no cap. It tells the lender that work has
// started which is in no bound.
func (b Budget) void(version int64) Budget {
	b.Amount, b.Cap, b.Version, b.Opening = batch.Size{}, batch.Size{}, version, false
	return b
}

// IsVoid reports whether the tenant has had no cap since the budget was lent.
func (b *Budget) IsVoid() bool { return b.Number > 0 && !HasCap(b.Cap) }

// Scale returns amount * numerator / denominator, rounded down. The denominator is positive, the numerator at most as large, and
// no argument is negative.
func Scale(amount, numerator, denominator int64) int64 {
	high, low := bits.Mul64(uint64(amount), uint64(numerator))
	quotient, _ := bits.Div64(high, low, uint64(denominator))
	return int64(quotient)
}

// Use is what the owner of a pool reports of a tenant.
type Use struct {
	// Running is what is assigned to hosts, and MayRun what may run at most. It is at least Running.
	Running batch.Size `cbor:"1,keyasint"`
	MayRun  batch.Size `cbor:"2,keyasint"`
	// Ready is what the waiting tasks request for which hosts have room, and Waiting what all of them request.
	Ready   batch.Size `cbor:"3,keyasint"`
	Waiting batch.Size `cbor:"4,keyasint"`
	// Least is what the least of the waiting tasks and gangs request in each dimension.
	Least batch.Size `cbor:"5,keyasint"`
	// Held is the budget that the owner obeys, with the name of the tenant. It is stored if Stored is set.
	Held   Budget `cbor:"6,keyasint"`
	Stored bool   `cbor:"7,keyasint,omitempty"`
	// Void reports whether the tenant has had no cap since a lender has asked what runs.
	Void bool `cbor:"8,keyasint,omitempty"`
}

// Scope says of which tenants an owner reports the use, beside those whose budgets the request contains.
type Scope uint8

// The scopes.
const (
	// Active tenants are those of which something runs or waits.
	Active Scope = iota
	// All tenants with a limit.
	All
	// Short tenants are active ones of which something waits that hosts have room for, and the budget has not.
	Short
)

// IsActive reports whether something of the tenant runs or waits.
func (u *Use) IsActive() bool {
	return u.MayRun != batch.Size{} || u.Waiting != batch.Size{}
}

// isValid reports whether no amount is out of range.
func (u *Use) isValid() bool {
	for _, size := range [...]batch.Size{u.Running, u.MayRun, u.Ready, u.Waiting, u.Least} {
		if !size.Fits(batch.Size{}) {
			return false
		}
	}
	return u.Held == (Budget{Tenant: u.Held.Tenant}) || u.Held.IsValid()
}

// zip combines sizes by dimension.
func zip(a, b, c batch.Size, f func(a, b, c int64) int64) batch.Size {
	return batch.Size{
		MilliCores: f(a.MilliCores, b.MilliCores, c.MilliCores), MemoryMB: f(a.MemoryMB, b.MemoryMB, c.MemoryMB),
		Accelerators: f(a.Accelerators, b.Accelerators, c.Accelerators),
	}
}

// clampTo limits each dimension to the range of amounts that sums of pools do not overflow.
func clampTo(s batch.Size) batch.Size {
	return s.Min(batch.Size{MilliCores: maxAmount, MemoryMB: maxAmount, Accelerators: maxAmount})
}

// maxAmount is above every cap, and small enough that the sum over all pools does not overflow.
const maxAmount = 1 << 51
