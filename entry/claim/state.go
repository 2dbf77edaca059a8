package claim

import (
	"context"
	"errors"
	"strings"
	"time"

	"carawaymux.dev/fleet/fault"
	"carawaymux.dev/fleet/port"
)

const (
	// pageTimeout bounds the read of one page.
	pageTimeout = 3 * time.Second
	// stallTimeout is the time without a page after which another entry may read the state instead.
	stallTimeout = 3500 * time.Millisecond
)

// Load reads everything that earlier owners have stored, page by page, and passes the newest
// record of each key to take. It repeats failed reads until ctx ends, or until there was no page for stallTimeout.
func (c *Claim) Load(ctx context.Context, take func(port.Record), opts ...LoadOption) error {
	r := StateReader{log: c.log, name: c.Name, stream: c.stream}
	return r.Load(ctx, take, opts...)
}

// StateReader reads what the owners of a name have stored, before the name is claimed. Use [NewStateReader] to
// build it. It is not safe for concurrent use.
type StateReader struct {
	log    port.Log
	name   string
	stream port.Stream
	// next is the offset of the first record that Follow reads.
	next int64
	// Cost is what the reading has taken so far.
	Cost ReadCost
}

// ReadCost is what it took to read a state.
type ReadCost struct {
	// Pages is the number of pages that the store returned.
	Pages int
	// Records and Bytes count the records of the name and their values.
	Records, Bytes int
}

// NewStateReader returns a reader of the state of a name.
func NewStateReader(log port.Log, name string, partitions int) *StateReader {
	return &StateReader{log: log, name: name, stream: StateStream(name, partitions)}
}

// LoadOption changes how a state is read.
type LoadOption func(*loading)

// WithSplits sets the keys, in ascending order, between which the parts of a large state are read side by side. The keys
// begin after the name and its slash.
func WithSplits(keys ...string) LoadOption { return func(l *loading) { l.splits = keys } }

// Load passes the newest record of each key to take, like [Claim.Load].
func (r *StateReader) Load(ctx context.Context, take func(port.Record), opts ...LoadOption) error {
	l := loading{reader: r, take: take}
	for _, opt := range opts {
		opt(&l)
	}
	first, err := r.newest(ctx, "")
	if err != nil {
		return err
	}
	// The pages are no snapshot: what is written while they are read may be missing from them.
	r.next = first.End
	return l.run(ctx, first)
}

// newest reads a page of the newest records.
func (r *StateReader) newest(ctx context.Context, after string) (port.Page, error) {
	return r.retry(ctx, func(ctx context.Context) (port.Page, error) { return r.log.Newest(ctx, r.stream, after) })
}

// ErrNotKept means that the store no longer keeps the records that a reader asks for.
var ErrNotKept = errors.New("the store no longer keeps the records")

// Follow passes the records to take that were written since the last call, or since the start of Load, in their
// order. A record without a value deletes its key. It reads at least what was written before it was called.
func (r *StateReader) Follow(ctx context.Context, take func(port.Record)) error {
	for end := int64(-1); end < 0 || r.next < end; {
		page, err := r.retry(ctx, func(ctx context.Context) (port.Page, error) { return r.log.Read(ctx, r.stream, r.next, 0) })
		if err != nil {
			return err
		}
		if page.End < r.next {
			return fault.At("follow", r.name, ErrNotKept)
		}
		if end < 0 {
			end = page.End
		}
		r.Cost.Pages++
		for _, e := range page.Records {
			r.next = e.Offset + 1
			r.pass(e, take)
		}
	}
	return nil
}

// pass passes a record of this name to take.
func (r *StateReader) pass(e port.Record, take func(port.Record)) {
	if strings.HasPrefix(e.Key, r.name+"/") {
		r.Cost.Records++
		r.Cost.Bytes += len(e.Value)
		take(e)
	}
}

// retry reads a page. It repeats failed reads until ctx ends, or for stallTimeout.
func (r *StateReader) retry(ctx context.Context, read func(context.Context) (port.Page, error)) (port.Page, error) {
	start := time.Now()
	for {
		callCtx, cancel := context.WithTimeout(ctx, pageTimeout)
		page, err := read(callCtx)
		cancel()
		var gone *port.GoneError
		switch {
		case err == nil:
			return page, nil
		case errors.As(err, &gone):
			return page, fault.At("load", r.name, errors.Join(ErrNotKept, err))
		case time.Since(start) > stallTimeout || !sleep(ctx, retryBackoff):
			return page, fault.At("load", r.name, err)
		}
	}
}
