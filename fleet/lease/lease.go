// Package lease defines the planner lease, which gives one instance at a time the right to propose
// moves, waves and placements.
//
// The log decides who holds the lease, not a clock. A candidate claims the lease when its version
// has not changed for a full term, and bases the claim on that version. The first claim in the log
// is accepted. Proposals that carry an older fence are rejected.
package lease

import (
	"fmt"
	"time"

	"carawaymux.dev/fleet/record"
)

// Limits on the term of a lease.
const (
	MinTerm = 100 * time.Millisecond
	MaxTerm = 5 * time.Minute
)

// Claim takes or renews the planner lease. The record's Base field is the version of the lease that
// the claim is based on.
type Claim struct {
	// Holder is the name and incarnation of the claiming instance.
	Holder string `json:"holder"`
	// TermMS is the term in milliseconds. The lease expires if it is not renewed for a term.
	TermMS int64 `json:"term-ms"`
}

// Lease is the current planner lease.
type Lease struct {
	// Holder is the instance that holds the lease. It is empty before the first claim.
	Holder string `json:"holder"`
	// Fence is the version at which the current holder took the lease. It increases with every
	// change of holder and stays the same on renewal.
	Fence uint64 `json:"fence"`
	// Version is the version of the last accepted claim, including renewals.
	Version uint64 `json:"version"`
	// TermMS is the term in milliseconds. The lease expires if it is not renewed for a term.
	TermMS int64 `json:"term-ms"`
}

// Kind returns [record.KindLease].
func (Claim) Kind() record.Kind { return record.KindLease }

// Check validates the fields.
func (c Claim) Check() record.Problems {
	var p record.Problems
	if c.Holder == "" || len(c.Holder) > record.MaxAuthor {
		p.Add("holder", fmt.Sprintf("%q", c.Holder), fmt.Sprintf("1 to %d bytes", record.MaxAuthor))
	}
	p.CheckRange("term-ms", c.TermMS, MinTerm.Milliseconds(), MaxTerm.Milliseconds())
	return p
}

// Grant returns the lease that results from accepting a claim at the given version.
func (l Lease) Grant(c Claim, version uint64) Lease {
	next := Lease{Holder: c.Holder, Fence: version, Version: version, TermMS: c.TermMS}
	if l.Holder == c.Holder {
		next.Fence = l.Fence
	}
	return next
}

// Watch detects that a lease has not been renewed for a full term. The zero value is ready to use.
type Watch struct {
	// Version is the last observed version of the lease.
	Version uint64
	// Since is the time at which Version was first observed, by the candidate's own clock.
	Since time.Time
}

// Expired observes the lease and reports whether its version has not changed for its full term. A
// lease without a holder is always expired.
func (w *Watch) Expired(l Lease, now time.Time) bool {
	if l.Holder == "" {
		return true
	}
	if w.Since.IsZero() || w.Version != l.Version {
		w.Version, w.Since = l.Version, now
		return false
	}
	return now.Sub(w.Since) >= time.Duration(l.TermMS)*time.Millisecond
}
