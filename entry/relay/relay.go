// Package relay forwards requests to other entries and returns their answers. Each pool has its own
// link to each peer, so that requests of one pool never wait behind those of another. Bodies are
// sent in chunks.
package relay

import (
	"time"

	"carawaymux.dev/entry/work"
	"carawaymux.dev/fleet/jobs"
	"carawaymux.dev/fleet/wire"
)

// Path is the HTTP path at which peers open their links for forwarded requests.
const Path = "/peer/work"

// maxChunkBytes is the largest part of a body in one frame.
const maxChunkBytes = 64 << 10

// frame is a message on a link. Exactly one field other than Stream is set: Request and Answer begin a
// request and its answer, Chunk is a part of the body that follows, End marks the end of that body, and
// Cancel withdraws a request.
type frame struct {
	// Stream identifies a request of the link. The client chooses it and never reuses it.
	Stream  uint64         `json:"stream"`
	Request *requestHeader `json:"ask,omitempty"`
	Answer  *answerHeader  `json:"answer,omitempty"`
	Chunk   []byte         `json:"chunk,omitempty"`
	End     bool           `json:"end,omitempty"`
	Cancel  bool           `json:"cancel,omitempty"`
}

// requestHeader is sent before the body of a request.
type requestHeader struct {
	ID           string       `json:"id"`
	Kind         string       `json:"kind"`
	Team         string       `json:"team,omitempty"`
	Urgency      jobs.Urgency `json:"urgency"`
	RemainingMS  int64        `json:"left-ms"`
	Idempotent   bool         `json:"idempotent,omitempty"`
	Deduplicated bool         `json:"owned,omitempty"`
	ContentType  string       `json:"content-type,omitempty"`
	TraceParent  string       `json:"trace,omitempty"`
	Hops         int          `json:"hops"`
	LostTargets  int          `json:"lost,omitempty"`
	Length       int          `json:"length"`
	// Incarnation is the peer's incarnation as known to the client.
	Incarnation uint64 `json:"incarnation"`
}

// answerHeader is sent before the body of an answer.
type answerHeader struct {
	ID           string       `json:"id"`
	Outcome      wire.Outcome `json:"outcome"`
	Status       int          `json:"status,omitempty"`
	ContentType  string       `json:"content-type,omitempty"`
	Target       string       `json:"target,omitempty"`
	Entry        string       `json:"entry,omitempty"`
	Reason       string       `json:"reason,omitempty"`
	RetryAfterMS int64        `json:"retry-after-ms,omitempty"`
	NoCapacity   bool         `json:"full,omitempty"`
	LostTargets  int          `json:"lost,omitempty"`
	Length       int          `json:"length"`
}

func newRequestHeader(r work.Request, length int, incarnation uint64, now time.Time) *requestHeader {
	return &requestHeader{
		ID: r.ID, Kind: r.Kind, Team: r.Team, Urgency: r.Urgency, RemainingMS: r.Deadline.Sub(now).Milliseconds(),
		Idempotent: r.Idempotent, Deduplicated: r.Deduplicated, ContentType: r.ContentType,
		TraceParent: r.TraceParent, Hops: r.Hops + 1, LostTargets: r.LostTargets, Length: length, Incarnation: incarnation,
	}
}

func (h *requestHeader) workRequest(body []byte, now time.Time) work.Request {
	return work.Request{
		ID: h.ID, Kind: h.Kind, Team: h.Team, Urgency: h.Urgency,
		Deadline:   now.Add(time.Duration(h.RemainingMS) * time.Millisecond),
		Idempotent: h.Idempotent, Deduplicated: h.Deduplicated, ContentType: h.ContentType,
		TraceParent: h.TraceParent, Hops: h.Hops, LostTargets: h.LostTargets,
	}.WithBody(body)
}

func newAnswerHeader(id string, a work.Answer) *answerHeader {
	return &answerHeader{
		ID: id, Outcome: a.Outcome, Status: a.Status, ContentType: a.ContentType, Target: a.Target,
		Entry: a.Entry, Reason: a.Reason, RetryAfterMS: a.RetryAfter.Milliseconds(), NoCapacity: a.NoCapacity,
		LostTargets: a.LostTargets, Length: len(a.Body),
	}
}

func (h *answerHeader) workAnswer(body []byte) work.Answer {
	return work.Answer{
		Outcome: h.Outcome, Status: h.Status, ContentType: h.ContentType, Body: body, Target: h.Target,
		Entry: h.Entry, Reason: h.Reason, RetryAfter: time.Duration(h.RetryAfterMS) * time.Millisecond,
		NoCapacity: h.NoCapacity, LostTargets: h.LostTargets,
	}
}

// chunks splits a body into frames. The last one marks the end.
func chunks(stream uint64, body []byte) []frame {
	var out []frame
	for start := 0; start < len(body); start += maxChunkBytes {
		out = append(out, frame{Stream: stream, Chunk: body[start:min(start+maxChunkBytes, len(body))]})
	}
	return append(out, frame{Stream: stream, End: true})
}
