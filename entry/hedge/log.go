package hedge

import (
	"context"
	"errors"
	"time"

	"carawaymux.dev/fleet/port"
)

// lostAfter is the time after which an answer of the store is taken to be lost. Answers take a few
// milliseconds.
const lostAfter = 200 * time.Millisecond

// Log is a store whose calls are sent again when their answers do not come. Appends without a sequence
// number are sent once, because a copy that is carried out late would overwrite what followed, and appends
// on a condition, because the copy of one that was carried out finds the condition no longer met. Reads of
// whole topics are sent once, because they take long when many entries start together, and copies would
// take the store's bandwidth from the others.
type Log struct {
	log    port.Log
	copies *Budget
}

// NewLog returns a log that makes its calls to another one.
func NewLog(l port.Log) *Log { return &Log{l, NewBudget()} }

// Append implements [port.Log]. The store appends a sequence number once.
func (l *Log) Append(ctx context.Context, s port.Stream, records []port.Record, w *port.Writer, expectedEnd int64) (int64, error) {
	call := func(ctx context.Context) (int64, error) { return l.log.Append(ctx, s, records, w, expectedEnd) }
	if w == nil || expectedEnd >= 0 {
		return call(ctx)
	}
	return Do(ctx, lostAfter, l.copies, isConclusive, call, call)
}

// Read implements [port.Log].
func (l *Log) Read(ctx context.Context, s port.Stream, from int64, wait time.Duration) (port.Page, error) {
	read := func(wait time.Duration) func(context.Context) (port.Page, error) {
		return func(ctx context.Context) (port.Page, error) { return l.log.Read(ctx, s, from, wait) }
	}
	return Do(ctx, wait+lostAfter, l.copies, isConclusive, read(wait), read(0))
}

// Newest implements [port.Log].
func (l *Log) Newest(ctx context.Context, s port.Stream, after string) (port.Page, error) {
	return l.log.Newest(ctx, s, after)
}

// isConclusive reports whether an error holds for all copies of a call.
func isConclusive(err error) bool {
	var sequence *port.SequenceError
	var gone *port.GoneError
	return errors.Is(err, port.ErrFenced) || errors.As(err, &sequence) || errors.As(err, &gone)
}
