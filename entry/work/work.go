// Package work holds a caller's request and its answer as they pass through an
// entry, free of how they are encoded.
package work

import (
	"context"
	"time"

	"carawaymux.dev/fleet/jobs"
	"carawaymux.dev/fleet/wire"
)

// Request is what a caller asks for.
type Request struct {
	ID         string
	Kind       string
	Urgency    jobs.Urgency
	Deadline   time.Time
	Idempotent bool
	// ContentType is passed on to the target; it may be empty.
	ContentType string
	// BodySize is the size of the body in bytes, or -1 when it is not known yet.
	BodySize int
	// ReadBody returns the body; later calls return the same. It is not called for a
	// request that is refused before its body is read.
	ReadBody func() ([]byte, error)
	// TraceParent is the W3C traceparent of the hop before; empty for none.
	TraceParent string
	// Hops is the number of entries that have passed the request on.
	Hops int
	// Deduplicated says that the owner of a non-idempotent request's ID has made sure
	// that this is the only copy.
	Deduplicated bool
}

// Answer is what becomes of a request.
type Answer struct {
	Outcome wire.Outcome
	// Status is the target's HTTP status; 0 unless Outcome is done.
	Status      int
	ContentType string
	Body        []byte
	// Target is the host that ran the request; empty when none did.
	Target string
	// Entry is the entry that sent it there.
	Entry string
	// Reason says why the outcome is not done.
	Reason string
	// RetryAfter is when another try may be worth it; 0 says nothing.
	RetryAfter time.Duration
	// NoCapacity says that the request did not run for want of room only.
	NoCapacity bool
	// Invalid says that the request itself is at fault; Status then tells how.
	Invalid bool
}

// NotRun makes the answer for a request that no target has begun to run.
func NotRun(reason string) Answer { return Answer{Outcome: wire.NotRun, Reason: reason} }

// Unknown makes the answer for a request that may have run.
func Unknown(reason string) Answer { return Answer{Outcome: wire.Unknown, Reason: reason} }

// Handler runs a request to its end.
type Handler func(ctx context.Context, r Request) Answer

// WithBody returns the request with a body that is there already.
func (r Request) WithBody(body []byte) Request {
	r.BodySize = len(body)
	r.ReadBody = func() ([]byte, error) { return body, nil }
	return r
}
