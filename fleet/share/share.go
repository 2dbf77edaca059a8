// Package share accounts what tenants have used of a pool lately, against their weights, and which of their jobs the pool
// owes them. It reads no clock and does no I/O.
package share

import (
	"math"
	"time"
)

const (
	// halfLife is the time in which what was used counts half. It is a few times the length of a job, so that shares hold for
	// jobs as a whole and a tenant that had a flood is treated like others soon after it.
	halfLife = 5 * time.Second
	// leastWeight stands for a weight of 0, so that the work of such a tenant is done when no other wants the capacity.
	leastWeight = 1e-6
	// burst and burstJobs are how much a tenant that was idle may send at once and be owed all of it: its weight for burst, and
	// burstJobs. Arrivals at the rate of the weight vary by less; without burstJobs, tenants of few jobs lost a tenth of them.
	burst     = 3 * time.Second
	burstJobs = 4
	// ranksPerDoubling is the number of ranks in which the use of a tenant doubles. With an exact order each tenant's smallest
	// jobs go first, and not the smallest of all; up to a fifth fewer jobs were in time then. With one rank the worst
	// tenth of tenants fell below 0.9 of all.
	ranksPerDoubling = 2
)

// Account is what a tenant has used lately. Use [NewAccount] to build it.
type Account struct {
	origin time.Time
	weight float64
	// level is the logarithm to base 2 of the use, as it would count if all of it were used at origin, and -Inf for none.
	// All uses decay alike, so the order of two levels does not change with time.
	level float64
	// owed is the number of jobs that the tenant could send at filledAt and be owed, at most the burst.
	owed     float64
	filledAt time.Time
}

// NewAccount returns the account of a tenant that has used nothing. Accounts that are compared have the same origin.
func NewAccount(origin time.Time, weight float64) Account {
	a := Account{origin: origin, level: math.Inf(-1), filledAt: origin}
	a.SetWeight(weight)
	a.owed = a.mostOwed()
	return a
}

// SetWeight sets the weight. One that is no positive number counts as 0.
func (a *Account) SetWeight(weight float64) {
	if !(weight > 0) {
		weight = 0
	}
	a.weight = min(weight, math.MaxFloat32)
	a.owed = min(a.owed, a.mostOwed())
}

// Weight returns the weight.
func (a *Account) Weight() float64 { return a.weight }

// Charge adds work, in core-seconds, that was used at a time. Negative work takes back what was added at that time before.
func (a *Account) Charge(work float64, at time.Time) {
	if work == 0 {
		return
	}
	added := math.Log2(math.Abs(work)) + a.age(at)
	top := max(a.level, added)
	a.level = top + math.Log2(max(math.Exp2(a.level-top)+math.Copysign(math.Exp2(added-top), work), 0))
}

// Key orders accounts by their use for their weight; the least comes first. It is -Inf if nothing was used.
func (a *Account) Key() float64 { return a.level - math.Log2(max(a.weight, leastWeight)) }

// Rank is the key in coarse steps. Accounts of one rank differ by less than two fifths.
func (a *Account) Rank() float64 { return math.Floor(a.Key() * ranksPerDoubling) }

// Use returns the use as it counts at a time, in core-seconds.
func (a *Account) Use(now time.Time) float64 { return math.Exp2(a.level - a.age(now)) }

// Arrive counts a job that arrives, and reports whether it is owed. Jobs beyond the weight, in jobs per second, are not.
func (a *Account) Arrive(now time.Time) bool {
	if since := now.Sub(a.filledAt); since > 0 {
		a.owed, a.filledAt = min(a.owed+a.weight*since.Seconds(), a.mostOwed()), now
	}
	if a.weight == 0 || a.owed < 1 {
		return false
	}
	a.owed--
	return true
}

// mostOwed returns the number of jobs that a tenant which was idle may send at once.
func (a *Account) mostOwed() float64 { return a.weight*burst.Seconds() + burstJobs }

// age returns the number of half-lives from the origin to a time.
func (a *Account) age(at time.Time) float64 { return at.Sub(a.origin).Seconds() / halfLife.Seconds() }
