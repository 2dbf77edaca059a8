// Package relay passes requests on to an entry of another zone and brings their
// answers back. Each pool has a link of its own to each peer, so that requests of
// one pool never wait behind those of another; bodies go in chunks.
package relay

import (
	"time"

	"carawaymux.dev/entry/work"
	"carawaymux.dev/fleet/jobs"
	"carawaymux.dev/fleet/wire"
)

// Path is where peers open their links for requests.
const Path = "/peer/work"

// chunkBytes is the largest piece of a body in one frame, in bytes.
const chunkBytes = 64 << 10

// frame is a message on a link; beside Stream one field is set.
type frame struct {
	// Stream tells requests of one link apart; the asking side chooses it and
	// never uses one again.
	Stream uint64  `json:"stream"`
	Ask    *ask    `json:"ask,omitempty"`
	Answer *answer `json:"answer,omitempty"`
	Chunk  []byte  `json:"chunk,omitempty"`
	End    bool    `json:"end,omitempty"`
	Cancel bool    `json:"cancel,omitempty"`
}

// ask begins a request.
type ask struct {
	ID          string       `json:"id"`
	Kind        string       `json:"kind"`
	Urgency     jobs.Urgency `json:"urgency"`
	LeftMS      int64        `json:"left-ms"`
	Idempotent  bool         `json:"idempotent,omitempty"`
	Owned       bool         `json:"owned,omitempty"`
	ContentType string       `json:"content-type,omitempty"`
	Trace       string       `json:"trace,omitempty"`
	Hops        int          `json:"hops"`
	Length      int          `json:"length"`
	// Incarnation is the one that the asking side believes the peer to have.
	Incarnation uint64 `json:"incarnation"`
}

// answer begins an answer.
type answer struct {
	ID           string       `json:"id"`
	Outcome      wire.Outcome `json:"outcome"`
	Status       int          `json:"status,omitempty"`
	ContentType  string       `json:"content-type,omitempty"`
	Target       string       `json:"target,omitempty"`
	Entry        string       `json:"entry,omitempty"`
	Reason       string       `json:"reason,omitempty"`
	RetryAfterMS int64        `json:"retry-after-ms,omitempty"`
	Full         bool         `json:"full,omitempty"`
	Length       int          `json:"length"`
}

func newAsk(r work.Request, length int, incarnation uint64, now time.Time) *ask {
	return &ask{
		ID: r.ID, Kind: r.Kind, Urgency: r.Urgency, LeftMS: r.Deadline.Sub(now).Milliseconds(),
		Idempotent: r.Idempotent, Owned: r.Deduplicated, ContentType: r.ContentType, Trace: r.TraceParent,
		Hops: r.Hops + 1, Length: length, Incarnation: incarnation,
	}
}

func (a *ask) request(body []byte, now time.Time) work.Request {
	return work.Request{
		ID: a.ID, Kind: a.Kind, Urgency: a.Urgency,
		Deadline:   now.Add(time.Duration(a.LeftMS) * time.Millisecond),
		Idempotent: a.Idempotent, Deduplicated: a.Owned, ContentType: a.ContentType, TraceParent: a.Trace, Hops: a.Hops,
	}.WithBody(body)
}

func newAnswer(id string, a work.Answer) *answer {
	return &answer{
		ID: id, Outcome: a.Outcome, Status: a.Status, ContentType: a.ContentType, Target: a.Target,
		Entry: a.Entry, Reason: a.Reason, RetryAfterMS: a.RetryAfter.Milliseconds(), Full: a.NoCapacity,
		Length: len(a.Body),
	}
}

func (a *answer) result(body []byte) work.Answer {
	return work.Answer{
		Outcome: a.Outcome, Status: a.Status, ContentType: a.ContentType, Body: body, Target: a.Target,
		Entry: a.Entry, Reason: a.Reason, RetryAfter: time.Duration(a.RetryAfterMS) * time.Millisecond,
		NoCapacity: a.Full,
	}
}

// chunks cuts a body into frames, the end mark included.
func chunks(stream uint64, body []byte) []frame {
	var out []frame
	for start := 0; start < len(body); start += chunkBytes {
		out = append(out, frame{Stream: stream, Chunk: body[start:min(start+chunkBytes, len(body))]})
	}
	return append(out, frame{Stream: stream, End: true})
}
