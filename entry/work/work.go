// Package work defines the request of a caller and its answer, as the parts of an entry exchange
// them. The types do not depend on how requests are encoded.
package work

import (
	"context"
	"errors"
	"time"

	"carawaymux.dev/fleet/jobs"
	"carawaymux.dev/fleet/wire"
)

// Request is a request to run work on a target.
type Request struct {
	ID   string
	Kind string
	// Team is the team of the caller; empty if callers need no keys, and for operators.
	Team       string
	Urgency    jobs.Urgency
	Deadline   time.Time
	Idempotent bool
	// ContentType is passed on to the target; it may be empty.
	ContentType string
	// BodySize is the size of the body in bytes, or -1 if it is not known yet.
	BodySize int
	// ReadBody returns the body; further calls return the same body. It is not called for a
	// request that is refused before its body is needed.
	ReadBody func() ([]byte, error)
	// TraceParent is the W3C traceparent of the previous hop; empty if there is none.
	TraceParent string
	// Hops is the number of entries that have forwarded the request.
	Hops int
	// Deduplicated is set if the request is not idempotent and the entry that owns its ID has
	// ensured that this is the only copy.
	Deduplicated bool
	// LostTargets is the number of targets whose connection was lost while they had the request.
	LostTargets int
	// Refused is set if a target refused the connection of an earlier attempt of this entry.
	Refused bool
}

// Answer is the result of a request.
type Answer struct {
	Outcome wire.Outcome
	// Status is the target's HTTP status; 0 unless Outcome is done.
	Status      int
	ContentType string
	Body        []byte
	// Target is the host that ran the request; empty if none did.
	Target string
	// Entry is the entry that sent the request to the target.
	Entry string
	// Reason explains why Outcome is not done.
	Reason string
	// RetryAfter is the time after which a retry may succeed; 0 if it is not known.
	RetryAfter time.Duration
	// NoCapacity is set if the only reason why the request did not run is a lack of capacity.
	NoCapacity bool
	// Invalid is set if the request itself is invalid; Reason explains what is wrong with it.
	Invalid bool
	// LostTargets is the number of targets whose connection was lost while they had the request, over
	// all attempts.
	LostTargets int
	// Refused is set if the target refused the connection. Other entries are not told.
	Refused bool
	// NoAttempt is set if a target that was not known to be down refused the connection, which does not
	// count as an attempt. Other entries are not told.
	NoAttempt bool
}

// NotRun returns the answer for a request that no target has started to run.
func NotRun(reason string) Answer { return Answer{Outcome: wire.NotRun, Reason: reason} }

// Unknown returns the answer for a request that may have run.
func Unknown(reason string) Answer { return Answer{Outcome: wire.Unknown, Reason: reason} }

// After returns the answer to a request whose previous attempts were answered with earlier and whose
// last one with a. The request has not run only if no attempt has run, so an attempt that has not run
// does not replace an answer of one that may have.
func (a Answer) After(earlier Answer) Answer {
	if a.Outcome != wire.NotRun || earlier.Outcome == wire.NotRun {
		return a
	}
	if earlier.Outcome == wire.Unknown {
		earlier.Reason += "; a later attempt did not run: " + a.Reason
	}
	return earlier
}

// ErrStopping is the cause with which a stopping entry cancels the requests that it has not answered.
var ErrStopping = errors.New("the entry is stopping")

// EndReason returns why a request whose context is done ended during an activity, such as "while it
// waited for a slot".
func EndReason(ctx context.Context, activity string) string {
	if errors.Is(context.Cause(ctx), ErrStopping) {
		return "stop: the entry stopped " + activity
	}
	return "deadline: passed " + activity
}

// Handler runs a request and returns its answer.
type Handler func(ctx context.Context, r Request) Answer

// WithBody returns a copy of the request with a body that has already been read.
func (r Request) WithBody(body []byte) Request {
	r.BodySize = len(body)
	r.ReadBody = func() ([]byte, error) { return body, nil }
	return r
}
