// Package record defines the records of the platform's log: the envelope that all records share,
// the interface of their bodies, and the verdict on a record after it was applied.
//
// The encoding of records is defined in package codec.
package record

import (
	"fmt"
	"strings"

	"github.com/google/uuid"
)

// ID identifies one record permanently. A record that is appended again with the same ID has no
// further effect.
type ID = uuid.UUID

// NewID returns a new time-ordered ID.
func NewID() ID {
	return uuid.Must(uuid.NewV7())
}

// Kind is the type of a record's body.
type Kind string

// The kinds of records that operators publish.
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
	KindKey    Kind = "key"
	// KindTeamCancel is what entries publish for a team that cancels its jobs.
	KindTeamCancel Kind = "team-cancel"
)

// The kinds of records that the planner writes. Except for lease claims and the cancelling
// of a wave, they need the fence of the planner lease.
const (
	KindLease      Kind = "lease"
	KindHostChange Kind = "host-change"
	KindWaveChange Kind = "wave-change"
	KindPlacement  Kind = "placement"
	KindCheckpoint Kind = "checkpoint"
)

// Limits on records. The error for a record that exceeds a limit names the limit.
const (
	// MaxBytes is the maximum size of an encoded record, in bytes.
	MaxBytes = 64 << 10
	// MaxName is the maximum length of an object name, in bytes.
	MaxName = 64
	// MaxAuthor is the maximum length of an author name, in bytes.
	MaxAuthor = 128
	// MaxBatch is the maximum number of items in a batch record.
	MaxBatch = 256
)

// Body is the typed content of a record.
type Body interface {
	// Kind returns the kind of record that the body belongs to.
	Kind() Kind
	// Check validates the body as far as that is possible without the state.
	Check() Problems
}

// Reason records why a decision was made, so that it can be explained later.
type Reason struct {
	// Rule is the name of the rule that led to the decision, in kebab case.
	Rule string `json:"rule,omitempty"`
	// Figures are the values that the rule evaluated.
	Figures string `json:"figures,omitempty"`
}

// Record is one entry of the log: a decision of the planner or a publication of an operator.
type Record struct {
	// ID is unique. A second record with the same ID is not applied.
	ID ID
	// Schema is the schema version of the body, 1 or more.
	Schema int
	// Author is the name of an operator or of an instance. It is never empty.
	Author string
	// Object is the name of the object that the record creates or changes. It is empty for batches,
	// which name their objects in the body.
	Object string
	// Base is the version of the object that the change is based on. It is 0 when the record
	// creates the object.
	Base uint64
	// Fence is the fence of the planner lease under which the record was proposed. It is 0 for
	// operators.
	Fence uint64
	// At is the time by the author's clock, in Unix milliseconds. It is only displayed: no decision
	// depends on it.
	At int64
	// Reason records why the decision was made. It may be empty for operators.
	Reason Reason
	// Body is the content of the record. It is not nil if the record was decoded without an error.
	Body Body
}

// Entry is a record with its offset in the log.
type Entry struct {
	// Offset is the position in the log. Offsets start at 0 and have no gaps.
	Offset uint64
	// Record is the decoded record. Its Body is an [Unknown] if this version does not support its
	// kind or schema version.
	Record Record
	// Raw is the encoded record as stored in the log.
	Raw []byte
	// DecodeError is set if Raw is not a valid record. Such an entry is rejected.
	DecodeError string
}

// Unknown is the body of a record whose kind or schema version this version does not support. The
// record is stored unmodified.
type Unknown struct {
	// Name is the kind in the record.
	Name Kind `json:"kind"`
	// Version is the schema version in the record.
	Version int `json:"schema"`
	// Raw is the complete encoded record.
	Raw []byte `json:"raw"`
}

// Kind returns the kind in the record.
func (u Unknown) Kind() Kind { return u.Name }

// Check reports no problems, since an unknown body cannot be validated.
func (Unknown) Check() Problems { return nil }

// Versioned holds a published specification with its version.
type Versioned[T any] struct {
	// Name is the name of the object, which is unique within its kind.
	Name string `json:"name"`
	// Version is the offset of the last accepted change, plus one. It is never 0.
	Version uint64 `json:"version"`
	// Author is the author of the last accepted change.
	Author string `json:"author"`
	// At is the time of the last accepted change by its author's clock, in Unix milliseconds.
	At int64 `json:"at"`
	// Schema is the schema version of the last accepted change.
	Schema int `json:"schema"`
	// Spec is the current specification.
	Spec T `json:"spec"`
}

// Result is the outcome of applying a record.
type Result string

// The results of applying a record. A record with result Kept is stored but not applied, because
// its kind or schema version is unknown or not open yet.
const (
	Accepted  Result = "accepted"
	Rejected  Result = "rejected"
	Duplicate Result = "duplicate"
	Kept      Result = "kept"
)

// Verdict is the result of applying one record, with its explanation.
type Verdict struct {
	// Offset is the offset of the record.
	Offset uint64 `json:"offset"`
	// ID is the ID of the record.
	ID ID `json:"id"`
	// Result is the outcome.
	Result Result `json:"result"`
	// Reason explains why the record was not applied. It is empty for an accepted record.
	Reason string `json:"reason,omitempty"`
	// WinnerVersion is the current version of the object if the record was rejected because it was
	// based on another version. It is 0 otherwise.
	WinnerVersion uint64 `json:"winner,omitempty"`
	// WinnerAuthor is the author of WinnerVersion.
	WinnerAuthor string `json:"winner-author,omitempty"`
}

// Version returns the object version that results from accepting the record at offset.
func Version(offset uint64) uint64 { return offset + 1 }

// Problem describes an invalid value of a field.
type Problem struct {
	// Field is the path of the field in kebab case.
	Field string `json:"field"`
	// Got is the value of the field. It is empty if the field is missing.
	Got string `json:"got,omitempty"`
	// Allowed describes the valid values.
	Allowed string `json:"allowed"`
}

// Problems is a list of invalid fields. It implements error; see [Problems.Err].
type Problems []Problem

// Error returns all problems on one line.
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

// Err returns the problems as an error, or nil if there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// CheckName adds a problem if name is not a valid object name.
func (p *Problems) CheckName(field, name string) {
	if ValidName(name) {
		return
	}
	p.Add(field, fmt.Sprintf("%q", name),
		fmt.Sprintf("1 to %d lower-case letters, digits, dots and dashes", MaxName))
}

// CheckRange adds a problem if got is not between lo and hi, inclusive.
func (p *Problems) CheckRange(field string, got, lo, hi int64) {
	if got >= lo && got <= hi {
		return
	}
	p.Add(field, fmt.Sprint(got), fmt.Sprintf("from %d to %d", lo, hi))
}

// Add appends a problem.
func (p *Problems) Add(field, got, allowed string) {
	*p = append(*p, Problem{Field: field, Got: got, Allowed: allowed})
}

// ValidName reports whether name is a valid object name.
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

// CheckEnvelope validates all fields except the body.
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
