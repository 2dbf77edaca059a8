// Package wire defines what callers and operators exchange with an entry over
// HTTP: paths, headers and the plain messages in the bodies.
package wire

import (
	"encoding/json"

	"carawaymux.dev/fleet/host"
	"carawaymux.dev/fleet/lease"
	"carawaymux.dev/fleet/record"
)

// Outcome says what became of a request.
type Outcome string

// The outcomes.
const (
	// Done means that the request ran and the whole answer is here.
	Done Outcome = "done"
	// NotRun means that no target has begun to run the request.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// The headers of requests and answers.
const (
	// HeaderID is the request's ID, chosen by the caller.
	HeaderID = "Caraway-Id"
	// HeaderDeadline is the time that the caller waits, in milliseconds.
	HeaderDeadline = "Caraway-Deadline-Ms"
	// HeaderUrgency is low, normal or urgent.
	HeaderUrgency = "Caraway-Urgency"
	// HeaderIdempotent is true or false.
	HeaderIdempotent = "Caraway-Idempotent"
	// HeaderOutcome is the [Outcome] of the answer.
	HeaderOutcome = "Caraway-Outcome"
	// HeaderReason says why the outcome is not done.
	HeaderReason = "Caraway-Reason"
	// HeaderTarget names the host that ran the request.
	HeaderTarget = "Caraway-Target"
	// HeaderEntry names the entry that answered.
	HeaderEntry = "Caraway-Entry"
)

// Limits on requests.
const (
	// MaxID is the longest request ID, in bytes.
	MaxID = 128
	// MaxDeadlineMS is the longest deadline, in milliseconds.
	MaxDeadlineMS = 10 * 60 * 1000
)

// The paths of an entry.
const (
	PathRequests = "/v1/requests/" // + kind
	PathTickets  = "/v1/ids"
	PathRecords  = "/v1/records"
	PathObjects  = "/v1/objects/" // + kind [+ "/" + name]
	PathExplain  = "/v1/explain/" // + kind + "/" + name
	PathMembers  = "/v1/members"
	PathStatus   = "/v1/status"
	PathCarry    = "/v1/query/carry"
	PathLeave    = "/v1/query/leave"
	PathLive     = "/livez"
	PathReady    = "/readyz"
	PathMetrics  = "/debug/vars"
)

// QueryMinOffset is the URL parameter that makes an answer wait until the given
// offset has been folded.
const QueryMinOffset = "min-offset"

// Refusal is the body of every answer with an error.
type Refusal struct {
	// Error says what went wrong.
	Error string `json:"error"`
	// Problems names the fields at fault; empty when no field is.
	Problems record.Problems `json:"problems,omitempty"`
	// Verdict is the fold's verdict on a record that was refused by it.
	Verdict *record.Verdict `json:"verdict,omitempty"`
}

// Published is the answer to a record that was accepted.
type Published struct {
	Verdict record.Verdict `json:"verdict"`
}

// Object is an object in force.
type Object struct {
	Kind    record.Kind `json:"kind"`
	Name    string      `json:"name"`
	Version uint64      `json:"version"`
	Author  string      `json:"author"`
	At      int64       `json:"at"`
	Schema  int         `json:"schema"`
	// Spec is the specification in the schema version asked for.
	Spec json.RawMessage `json:"spec"`
	// Status is what the system adds to the specification.
	Status Status `json:"status"`
}

// Status is what the system knows of an object beside its specification. Only the
// fields that fit the object's kind are set.
type Status struct {
	// Phase is that of a host or a wave.
	Phase string `json:"phase,omitempty"`
	// Pool is the pool that a host belongs to.
	Pool string `json:"pool,omitempty"`
	// MoveTo is the pool that a host is on its way to.
	MoveTo string `json:"move-to,omitempty"`
	// Wave is the wave for which a host is out.
	Wave string `json:"wave,omitempty"`
	// Size, Serving and Room count the hosts of a pool.
	Size    int `json:"size,omitempty"`
	Serving int `json:"serving,omitempty"`
	Room    int `json:"room,omitempty"`
	// Total and Left count the hosts of a wave.
	Total int `json:"total,omitempty"`
	Left  int `json:"left,omitempty"`
	// Tasks, Waiting and Finished count the tasks of a job.
	Tasks    int `json:"tasks,omitempty"`
	Waiting  int `json:"waiting,omitempty"`
	Finished int `json:"finished,omitempty"`
	// Never names the dimension that keeps a job from ever running.
	Never string `json:"never,omitempty"`
	// Cancelled says that a job was cancelled.
	Cancelled bool `json:"cancelled,omitempty"`
}

// Objects is a list of objects in force.
type Objects struct {
	Offset  uint64   `json:"offset"`
	AgeMS   int64    `json:"age-ms"`
	Objects []Object `json:"objects"`
}

// Explained says what was done with an object and why.
type Explained struct {
	Offset uint64              `json:"offset"`
	Object Object              `json:"object"`
	Why    []string            `json:"why"`
	Steps  []host.HistoryEntry `json:"steps"`
}

// Watched is one record of the stream with its verdict.
type Watched struct {
	Offset  uint64          `json:"offset"`
	Verdict record.Verdict  `json:"verdict"`
	Record  json.RawMessage `json:"record"`
}

// Member is an entry as seen by the one that was asked.
type Member struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
	// Offset is the offset up to which the entry has the configuration in force.
	Offset uint64 `json:"offset"`
	// State is live, silent, left or gone.
	State string `json:"state"`
	// SilentMS is how long the entry has not been heard of, in milliseconds.
	SilentMS int64 `json:"silent-ms"`
}

// Members is the list of entries.
type Members struct {
	Members []Member `json:"members"`
}

// Overview is the state of one entry.
type Overview struct {
	Entry       string      `json:"entry"`
	Zone        string      `json:"zone"`
	Incarnation uint64      `json:"incarnation"`
	Offset      uint64      `json:"offset"`
	AgeMS       int64       `json:"age-ms"`
	LogError    string      `json:"log-error,omitempty"`
	Hash        string      `json:"hash,omitempty"`
	HashAt      uint64      `json:"hash-at,omitempty"`
	Diverged    bool        `json:"diverged,omitempty"`
	Lease       lease.Lease `json:"lease"`
	Hosts       int         `json:"hosts"`
	Pools       int         `json:"pools"`
	Jobs        int         `json:"jobs"`
	Waves       int         `json:"waves"`
	Unread      int         `json:"unread"`
	Kinds       []KindLoad  `json:"kinds,omitempty"`
}

// KindLoad is what one entry does for one request kind.
type KindLoad struct {
	Kind    string `json:"kind"`
	Pool    string `json:"pool"`
	Queued  int    `json:"queued"`
	Running int    `json:"running"`
	Slots   int    `json:"slots"`
	Lent    int    `json:"lent"`
	Done    int64  `json:"done"`
	NotRun  int64  `json:"not-run"`
	Unknown int64  `json:"unknown"`
	Retries int64  `json:"retries"`
}

// Ticket is the answer of [PathTickets]: the ID for one non-idempotent request.
type Ticket struct {
	ID string `json:"id"`
}

// Stream is a page of the stream with the verdicts of the entry that was asked.
type Stream struct {
	// Next is the offset to ask for next.
	Next    uint64    `json:"next"`
	Records []Watched `json:"records"`
}
