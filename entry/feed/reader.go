// Package feed follows keyed topics of the platform's store.
package feed

import (
	"context"
	"errors"
	"time"

	"carawaymux.dev/fleet/port"
)

// Reader reads the changes of one stream, one call after another. It belongs to one
// task.
type Reader struct {
	log     port.Log
	stream  port.Stream
	timeout time.Duration
	// next is the offset of the first record that has not been read.
	next   int64
	loaded bool
	// known holds the keys that have a value.
	known map[string]bool
}

// NewReader builds a reader; each call to the store takes at most the timeout
// longer than it is to wait.
func NewReader(log port.Log, stream port.Stream, timeout time.Duration) *Reader {
	return &Reader{log: log, stream: stream, timeout: timeout, known: map[string]bool{}}
}

// Poll returns the changes since the last call; the first call returns the newest
// value of each key. It waits up to wait for the first change. When the records in
// between are no longer kept, it compares with the newest values, and returns a
// dropped key for each that is gone.
func (r *Reader) Poll(ctx context.Context, wait time.Duration) ([]port.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+r.timeout)
	defer cancel()
	if !r.loaded {
		return r.load(ctx)
	}
	page, err := r.log.Read(ctx, r.stream, r.next, wait)
	var gone *port.GoneError
	if errors.As(err, &gone) {
		return r.load(ctx)
	}
	if err != nil {
		return nil, err
	}
	if page.End < r.next {
		// The stream is not the one that was read before.
		return r.load(ctx)
	}
	for _, e := range page.Records {
		r.note(e)
		r.next = e.Offset + 1
	}
	return page.Records, nil
}

func (r *Reader) note(e port.Record) {
	if e.Value == nil {
		delete(r.known, e.Key)
		return
	}
	r.known[e.Key] = true
}

// load reads the newest value of each key, page by page.
func (r *Reader) load(ctx context.Context) ([]port.Record, error) {
	var out []port.Record
	seen := map[string]bool{}
	first := int64(-1)
	for after := ""; ; {
		page, err := r.log.Newest(ctx, r.stream, after)
		if err != nil {
			return nil, err
		}
		if first < 0 {
			first = page.End
		}
		for _, e := range page.Records {
			out = append(out, e)
			seen[e.Key] = e.Value != nil
			after = e.Key
		}
		if !page.More || len(page.Records) == 0 {
			break
		}
	}
	for key := range r.known {
		if !seen[key] {
			out = append(out, port.Record{Key: key})
		}
	}
	for _, e := range out {
		r.note(e)
	}
	// Pages are no snapshot: what came after the first one is read again.
	r.next, r.loaded = first, true
	return out, nil
}
