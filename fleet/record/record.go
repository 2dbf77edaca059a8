// Package record defines what is written to the platform's log: the envelope
// that every record shares, and the verdict that the fold gives on it.
//
// The package knows nothing of encodings; see package codec.
package record

import (
	"fmt"
	"strings"

	"github.com/google/uuid"
)

// ID names one record for good. An append that is repeated with the same ID has
// no second effect.
type ID = uuid.UUID

// NewID returns a fresh time-ordered ID.
func NewID() ID {
	return uuid.Must(uuid.NewV7())
}

// Kind is the type of a record's body.
type Kind string

// The kinds that operators publish.
const (
	KindBudget Kind = "budget"
	KindPool   Kind = "pool"
	KindHost   Kind = "host"
	KindJob    Kind = "job"
	KindQuota  Kind = "quota"
	KindWave   Kind = "wave"
	KindMove   Kind = "move"
	KindCancel Kind = "cancel"
	KindRetire Kind = "retire"
	KindGate   Kind = "gate"
)

// The kinds that the planner writes. Each needs the fence of its lease.
const (
	KindLease      Kind = "lease"
	KindHostChange Kind = "host-change"
	KindWaveChange Kind = "wave-change"
	KindPlacement  Kind = "placement"
	KindCheckpoint Kind = "checkpoint"
)

// Limits on records. A record past a limit is refused with the limit named.
const (
	// MaxBytes is the largest encoded record, in bytes.
	MaxBytes = 64 << 10
	// MaxName is the longest object name, in bytes.
	MaxName = 64
	// MaxAuthor is the longest author name, in bytes.
	MaxAuthor = 128
	// MaxBatch is the largest number of items in one batch record.
	MaxBatch = 256
)

// Body is the typed content of a record.
type Body interface {
	// Kind is the record kind that the body belongs to.
	Kind() Kind
	// Check reports every fault that shows without knowing the state.
	Check() Problems
}

// Reason says why a decision was taken, so that it can be explained later.
type Reason struct {
	// Rule names the rule that decided, in kebab case.
	Rule string `json:"rule,omitempty"`
	// Figures are the inputs that the rule decided on.
	Figures string `json:"figures,omitempty"`
}

// Record is one decision or one publication.
type Record struct {
	// ID is unique; a second record with the same ID is dropped by the fold.
	ID ID
	// Schema is the version of the body's form, 1 or more.
	Schema int
	// Author is an operator's name or an instance's; never empty.
	Author string
	// Object is the name of the object that the record creates or changes.
	// It is empty for batches, which name their objects in the body.
	Object string
	// Base is the version of the object that the change was based on; 0 when
	// the object is to be created.
	Base uint64
	// Fence is the version of the planner lease under which the record was
	// proposed; 0 for operators.
	Fence uint64
	// At is the author's clock in Unix milliseconds. It is shown to people and
	// never decides anything.
	At int64
	// Reason is why the decision was taken; it may be empty for operators.
	Reason Reason
	// Body is never nil in a record that was decoded without an error.
	Body Body
}

// Entry is a record at its place in the log.
type Entry struct {
	// Offset is the place in the log, from 0 without gaps.
	Offset uint64
	// Record is the decoded record. Its Body is an [Unread] when this program
	// does not understand it.
	Record Record
	// Raw is the encoded record as the log holds it.
	Raw []byte
	// DecodeError is set when Raw is not a record at all; the fold rejects it.
	DecodeError string
}

// Unknown is the body of a record whose kind or schema version this program does
// not know. It is kept whole.
type Unknown struct {
	// Name is the record kind as written.
	Name Kind `json:"kind"`
	// Version is the schema version as written.
	Version int `json:"schema"`
	// Raw is the whole encoded record.
	Raw []byte `json:"raw"`
}

// Kind returns the kind as written.
func (u Unknown) Kind() Kind { return u.Name }

// Check finds no fault: what is not understood cannot be judged.
func (Unknown) Check() Problems { return nil }

// Versioned holds a published specification with its version.
type Versioned[T any] struct {
	// Name is the object's name, unique among its kind.
	Name string `json:"name"`
	// Version is the offset of the last accepted change, plus one; never 0.
	Version uint64 `json:"version"`
	// Author wrote the last accepted change.
	Author string `json:"author"`
	// At is when the last accepted change was written, in Unix milliseconds.
	At int64 `json:"at"`
	// Schema is the schema version that the last change was written in.
	Schema int `json:"schema"`
	// Spec is what is in force.
	Spec T `json:"spec"`
}

// Result is what the fold did with a record.
type Result string

// The results of folding a record.
const (
	Accepted  Result = "accepted"
	Rejected  Result = "rejected"
	Duplicate Result = "duplicate"
	Kept      Result = "kept"
)

// Verdict is the fold's answer to one record.
type Verdict struct {
	// Offset is the offset of the record judged.
	Offset uint64 `json:"offset"`
	// ID is the ID of the record judged.
	ID ID `json:"id"`
	// Result says whether the record is in force.
	Result Result `json:"result"`
	// Reason says why a record is not in force; empty when it is accepted.
	Reason string `json:"reason,omitempty"`
	// WinnerVersion is the version that was in force already when a stale change was
	// rejected; 0 otherwise.
	WinnerVersion uint64 `json:"winner,omitempty"`
	// WinnerAuthor wrote the version that was in force already.
	WinnerAuthor string `json:"winner-author,omitempty"`
}

// Version is the object version that an accepted record at offset creates.
func Version(offset uint64) uint64 { return offset + 1 }

// Problem is one fault in a field.
type Problem struct {
	// Field is the path of the field in kebab case.
	Field string `json:"field"`
	// Got is the value found.
	Got string `json:"got,omitempty"`
	// Allowed is what the field may hold.
	Allowed string `json:"allowed"`
}

// Problems is a list of faults; it is an error when it is not empty.
type Problems []Problem

// Error lists all problems on one line.
func (p Problems) Error() string {
	parts := make([]string, 0, len(p))
	for _, problem := range p {
		if problem.Got == "" {
			parts = append(parts, fmt.Sprintf("%s: must be %s", problem.Field, problem.Allowed))
			continue
		}
		parts = append(parts, fmt.Sprintf("%s: is %s, must be %s", problem.Field, problem.Got, problem.Allowed))
	}
	return strings.Join(parts, "; ")
}

// Err returns the problems as an error, or nil when there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// CheckName checks an object name.
func (p *Problems) CheckName(field, name string) {
	if ValidName(name) {
		return
	}
	p.Add(field, fmt.Sprintf("%q", name),
		fmt.Sprintf("1 to %d lower-case letters, digits, dots and dashes", MaxName))
}

// CheckRange checks that a number lies between lo and hi, both included.
func (p *Problems) CheckRange(field string, got, lo, hi int64) {
	if got >= lo && got <= hi {
		return
	}
	p.Add(field, fmt.Sprint(got), fmt.Sprintf("from %d to %d", lo, hi))
}

// Add appends one problem.
func (p *Problems) Add(field, got, allowed string) {
	*p = append(*p, Problem{Field: field, Got: got, Allowed: allowed})
}

// ValidName reports whether a name may name an object.
func ValidName(name string) bool {
	if name == "" || len(name) > MaxName {
		return false
	}
	for _, r := range name {
		switch {
		case r >= 'a' && r <= 'z', r >= '0' && r <= '9', r == '-', r == '.':
		default:
			return false
		}
	}
	return name[0] != '-' && name[0] != '.'
}

// CheckEnvelope reports the faults of everything but the body.
func (r *Record) CheckEnvelope() Problems {
	var p Problems
	if r.ID == (ID{}) {
		p.Add("id", "", "a UUID")
	}
	if r.Author == "" || len(r.Author) > MaxAuthor {
		p.Add("author", fmt.Sprintf("%q", r.Author), fmt.Sprintf("1 to %d bytes", MaxAuthor))
	}
	if r.Schema < 1 {
		p.Add("schema", fmt.Sprint(r.Schema), "1 or more")
	}
	if r.Object != "" {
		p.CheckName("object", r.Object)
	}
	return p
}
