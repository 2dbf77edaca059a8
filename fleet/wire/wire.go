// Package wire defines the HTTP interface between an entry and its callers and operators: the
// paths, the headers and the messages in the bodies.
package wire

import (
	"encoding/json"

	"carawaymux.dev/fleet/host"
	"carawaymux.dev/fleet/lease"
	"carawaymux.dev/fleet/record"
)

// Outcome reports whether a request ran.
type Outcome string

// The outcomes.
const (
	// Done means that the request ran and that the response is complete.
	Done Outcome = "done"
	// NotRun means that no target started to run the request.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// The headers of requests and responses.
const (
	// HeaderID is the request's ID, chosen by the caller.
	HeaderID = "Caraway-Id"
	// HeaderDeadline is how long the caller waits, in milliseconds.
	HeaderDeadline = "Caraway-Deadline-Ms"
	// HeaderUrgency is low, normal or urgent.
	HeaderUrgency = "Caraway-Urgency"
	// HeaderIdempotent reports whether the request may run more than once: true or false.
	HeaderIdempotent = "Caraway-Idempotent"
	// HeaderOutcome is the [Outcome] of the request.
	HeaderOutcome = "Caraway-Outcome"
	// HeaderReason explains an outcome other than done.
	HeaderReason = "Caraway-Reason"
	// HeaderTarget names the host that ran the request.
	HeaderTarget = "Caraway-Target"
	// HeaderEntry names the entry that sent the response.
	HeaderEntry = "Caraway-Entry"
)

// Limits on requests.
const (
	// MaxID is the maximum length of a request ID, in bytes.
	MaxID = 128
	// MaxDeadlineMS is the maximum of [HeaderDeadline], in milliseconds.
	MaxDeadlineMS = 10 * 60 * 1000
)

// The paths of an entry.
const (
	PathRequests = "/v1/requests/" // + kind
	PathIDs      = "/v1/ids"
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

// QueryMinOffset is the URL parameter that delays the response until the entry has applied the
// records up to the given offset.
const QueryMinOffset = "min-offset"

// ErrorBody is the body of every response with an error status.
type ErrorBody struct {
	// Error is the message.
	Error string `json:"error"`
	// Problems lists the invalid fields, if the error is about fields.
	Problems record.Problems `json:"problems,omitempty"`
	// Verdict is set if the ledger rejected a record.
	Verdict *record.Verdict `json:"verdict,omitempty"`
}

// PublishResult is the response to a record that was accepted.
type PublishResult struct {
	Verdict record.Verdict `json:"verdict"`
}

// Object is a published object with its current state.
type Object struct {
	Kind record.Kind `json:"kind"`
	Name string      `json:"name"`
	// Version is the version of the object. A change has to name it as its base version.
	Version uint64 `json:"version"`
	// Author, At and Schema are those of the last accepted change: who made it, when by the
	// author's clock in Unix milliseconds, and its schema version.
	Author string `json:"author"`
	At     int64  `json:"at"`
	Schema int    `json:"schema"`
	// Spec is the specification in the requested schema version.
	Spec json.RawMessage `json:"spec"`
	// Status is the state that the system keeps in addition to the specification.
	Status ObjectStatus `json:"status"`
}

// ObjectStatus is the state of an object. Only the fields that apply to the object's kind are set.
type ObjectStatus struct {
	// Phase is the phase of a host or a wave.
	Phase string `json:"phase,omitempty"`
	// Pool is the pool that a host belongs to.
	Pool string `json:"pool,omitempty"`
	// MoveTo is the pool that a host is moving to.
	MoveTo string `json:"move-to,omitempty"`
	// Wave is the wave for which a host is out of service.
	Wave string `json:"wave,omitempty"`
	// Size and Serving count the hosts of a pool. Headroom is how many more of them may leave
	// service under the budget.
	Size     int `json:"size,omitempty"`
	Serving  int `json:"serving,omitempty"`
	Headroom int `json:"room,omitempty"`
	// Total counts the hosts that a wave started with, Remaining those that are not maintained yet.
	Total     int `json:"total,omitempty"`
	Remaining int `json:"left,omitempty"`
	// Tasks counts the tasks of a job, or those on a host. Waiting, Finished and GivenUp count the
	// tasks of a job.
	Tasks    int `json:"tasks,omitempty"`
	Waiting  int `json:"waiting,omitempty"`
	Finished int `json:"finished,omitempty"`
	GivenUp  int `json:"given-up,omitempty"`
	// UnplaceableFor is set if no host of the pool could hold a task of the job, even when empty. It
	// names a dimension in which the task is too large.
	UnplaceableFor string `json:"never,omitempty"`
	// Cancelled reports whether a job was cancelled.
	Cancelled bool `json:"cancelled,omitempty"`
}

// ObjectList is a list of objects.
type ObjectList struct {
	// Offset is the first log offset that the entry has not applied.
	Offset uint64 `json:"offset"`
	// AgeMS is how long ago the log or a peer last confirmed that the entry was up to date, in
	// milliseconds; -1 means never.
	AgeMS   int64    `json:"age-ms"`
	Objects []Object `json:"objects"`
}

// Explanation says what the system did with an object, and why.
type Explanation struct {
	// Offset is the first log offset that the entry has not applied.
	Offset uint64 `json:"offset"`
	Object Object `json:"object"`
	// Why lists the reasons for the object's state. History lists the latest changes of a host.
	Why     []string            `json:"why"`
	History []host.HistoryEntry `json:"steps"`
}

// LogRecord is one record of the log and the verdict on it.
type LogRecord struct {
	Offset  uint64         `json:"offset"`
	Verdict record.Verdict `json:"verdict"`
	// Record is the record as stored in the log. If it is not valid JSON, it is given as a string.
	Record json.RawMessage `json:"record"`
}

// Member is the state of one entry, as the entry that was asked sees it.
type Member struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
	// Offset is the log offset up to which the entry applies the configuration to requests.
	Offset uint64 `json:"offset"`
	// State is live, silent, left or gone.
	State string `json:"state"`
	// SilentMS is the time since the last message from the entry, in milliseconds.
	SilentMS int64 `json:"silent-ms"`
}

// MemberList is the list of entries.
type MemberList struct {
	Members []Member `json:"members"`
}

// EntryStatus is the state of one entry.
type EntryStatus struct {
	Entry       string `json:"entry"`
	Zone        string `json:"zone"`
	Incarnation uint64 `json:"incarnation"`
	// Offset is the first log offset that the entry has not applied.
	Offset uint64 `json:"offset"`
	// AgeMS is how long ago the log or a peer last confirmed that the entry was up to date, in
	// milliseconds; -1 means never.
	AgeMS int64 `json:"age-ms"`
	// LogError is the error of the last read of the log. It is empty if the read succeeded.
	LogError string `json:"log-error,omitempty"`
	// Hash is the newest hash of the entry's state, computed at HashOffset. Diverged is set once a
	// hash differed from that of a checkpoint.
	Hash       string `json:"hash,omitempty"`
	HashOffset uint64 `json:"hash-at,omitempty"`
	Diverged   bool   `json:"diverged,omitempty"`
	// Lease is the planner lease.
	Lease lease.Lease `json:"lease"`
	Hosts int         `json:"hosts"`
	Pools int         `json:"pools"`
	Jobs  int         `json:"jobs"`
	Waves int         `json:"waves"`
	// UnknownRecords counts the records that the ledger keeps without applying them, because their
	// kind or schema version is not supported or not open yet.
	UnknownRecords int        `json:"unread"`
	Kinds          []KindLoad `json:"kinds,omitempty"`
}

// KindLoad is the load that one request kind puts on one entry.
type KindLoad struct {
	Kind string `json:"kind"`
	// Pool is the pool that serves the kind.
	Pool string `json:"pool"`
	// Queued and Running count the kind's requests.
	Queued  int `json:"queued"`
	Running int `json:"running"`
	// Slots counts the pool's slots that the entry may use. Lent counts the slots that the pool
	// has on loan from other pools.
	Slots int `json:"slots"`
	Lent  int `json:"lent"`
	// Done, NotRun and Unknown count requests by outcome. Retries counts repeated attempts.
	Done    int64 `json:"done"`
	NotRun  int64 `json:"not-run"`
	Unknown int64 `json:"unknown"`
	Retries int64 `json:"retries"`
}

// IssuedID is the response of [PathIDs]: an ID for one request that is not idempotent.
type IssuedID struct {
	ID string `json:"id"`
}

// LogPage is a page of the log, with the verdicts that the entry computed.
type LogPage struct {
	// Next is the offset at which the next page starts.
	Next    uint64      `json:"next"`
	Records []LogRecord `json:"records"`
}
