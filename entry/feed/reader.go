// Package feed follows keyed topics of the platform's store. It reads the newest value of each key
// and then the changes, and recovers when records have been deleted before they were read.
package feed

import (
	"context"
	"errors"
	"time"

	"carawaymux.dev/fleet/port"
)

// Reader reads the changes of one stream. It is not safe for concurrent use.
type Reader struct {
	log     port.Log
	stream  port.Stream
	timeout time.Duration
	// next is the offset of the first record that has not been read.
	next   int64
	loaded bool
	// behind reports whether the last read left records of the stream unread.
	behind bool
	// liveKeys holds the keys that currently have a value.
	liveKeys map[string]bool
}

// NewReader returns a reader. The timeout limits each poll, in addition to the time that it waits for
// a change.
func NewReader(log port.Log, stream port.Stream, timeout time.Duration) *Reader {
	return &Reader{log: log, stream: stream, timeout: timeout, liveKeys: map[string]bool{}}
}

// Poll returns the changes since the last call; the first call returns the newest value of each key.
// It waits for up to wait for the first change. If the store no longer keeps the records since the
// last call, Poll returns the newest value of each key, and a record without a value for each key
// that has been removed.
func (r *Reader) Poll(ctx context.Context, wait time.Duration) ([]port.Record, error) {
	if !r.loaded {
		return r.load(ctx)
	}
	readCtx, cancel := context.WithTimeout(ctx, wait+r.timeout)
	defer cancel()
	page, err := r.log.Read(readCtx, r.stream, r.next, wait)
	var gone *port.GoneError
	if errors.As(err, &gone) {
		return r.load(ctx)
	}
	if err != nil {
		return nil, err
	}
	if page.End < r.next {
		// The stream has been recreated: it is shorter than what was already read.
		return r.load(ctx)
	}
	for _, e := range page.Records {
		r.track(e)
		r.next = e.Offset + 1
	}
	r.behind = len(page.Records) > 0 && r.next < page.End
	return page.Records, nil
}

// Reset makes the next poll read the newest record of each key, in place of all records since the last
// one.
func (r *Reader) Reset() { r.loaded = false }

// Behind reports whether the last poll left records unread that the stream had at that time.
func (r *Reader) Behind() bool { return r.behind }

// track updates liveKeys.
func (r *Reader) track(e port.Record) {
	if e.Value == nil {
		delete(r.liveKeys, e.Key)
		return
	}
	r.liveKeys[e.Key] = true
}

// newest reads one page.
func (r *Reader) newest(ctx context.Context, after string) (port.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	return r.log.Newest(ctx, r.stream, after)
}

// load reads the newest value of each key, page by page. The time of each page is limited, not that of all.
func (r *Reader) load(ctx context.Context) ([]port.Record, error) {
	var out []port.Record
	seen := map[string]bool{}
	nextOffset := int64(-1)
	for after := ""; ; {
		page, err := r.newest(ctx, after)
		if err != nil {
			return nil, err
		}
		if nextOffset < 0 {
			nextOffset = page.End
		}
		known := len(seen)
		for _, e := range page.Records {
			out = append(out, e)
			seen[e.Key] = e.Value != nil
			after = e.Key
		}
		// Keys that are not UTF-8 arrive changed, so a page of them does not lead to the next one.
		if !page.More || len(seen) == known {
			break
		}
	}
	for key := range r.liveKeys {
		if !seen[key] {
			out = append(out, port.Record{Key: key})
		}
	}
	for _, e := range out {
		r.track(e)
	}
	// The pages are not a consistent snapshot, so records appended after the first page was read
	// are read again.
	r.next, r.loaded, r.behind = nextOffset, true, false
	return out, nil
}
