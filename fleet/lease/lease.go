// Package lease defines the planner lease: the right to propose moves, waves and
// placements, held by one instance at a time.
//
// No clock decides who holds the lease. A candidate watches the lease until its
// version has stood still for a whole term, and then claims it on that version.
// The fold accepts the first claim; proposals under an older fence are rejected.
package lease

import (
	"fmt"
	"time"

	"carawaymux.dev/fleet/record"
)

// Bounds of a lease's term.
const (
	MinTerm = 100 * time.Millisecond
	MaxTerm = 5 * time.Minute
)

// Claim takes or renews the planner lease. The record's base is the lease
// version that the claim was based on.
type Claim struct {
	// Holder is the claiming instance's name and incarnation.
	Holder string `json:"holder"`
	// TermMS is the term in milliseconds.
	TermMS int64 `json:"term-ms"`
}

// Lease is the planner lease in force.
type Lease struct {
	// Holder is the instance that holds the lease; empty before the first claim.
	Holder string `json:"holder"`
	// Fence is the version at which the present holder took the lease; it grows
	// with every change of holder and stays the same while it is renewed.
	Fence uint64 `json:"fence"`
	// Version is that of the last accepted claim, renewals included.
	Version uint64 `json:"version"`
	// TermMS is the term in milliseconds.
	TermMS int64 `json:"term-ms"`
}

// Kind returns [record.KindLease].
func (Claim) Kind() record.Kind { return record.KindLease }

// Check reports faults in the fields.
func (c Claim) Check() record.Problems {
	var p record.Problems
	if c.Holder == "" || len(c.Holder) > record.MaxAuthor {
		p.Add("holder", fmt.Sprintf("%q", c.Holder), fmt.Sprintf("1 to %d bytes", record.MaxAuthor))
	}
	p.CheckRange("term-ms", c.TermMS, MinTerm.Milliseconds(), MaxTerm.Milliseconds())
	return p
}

// Grant returns the lease after an accepted claim with the given version.
func (l Lease) Grant(c Claim, version uint64) Lease {
	next := Lease{Holder: c.Holder, Fence: version, Version: version, TermMS: c.TermMS}
	if l.Holder == c.Holder {
		next.Fence = l.Fence
	}
	return next
}

// Watch tells a candidate when the lease has stood still for a whole term. Its
// zero value is ready.
type Watch struct {
	// Version is the lease version last seen.
	Version uint64
	// Since is when that version was first seen, on the candidate's own clock.
	Since time.Time
}

// Expired records a look at the lease and reports whether its version has stood
// still for its whole term. A lease that nobody holds has lapsed.
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
