package port

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Stream is a partition of a keyed topic of the platform's store. The newest value
// of each key is kept for good.
type Stream struct {
	Topic string
	Part  int
}

// Record is a value under a key. A nil value drops the key.
type Record struct {
	Key   string
	Value []byte
	// Offset is the record's position; set by reads.
	Offset int64
}

// Writer fences appends: one with a lower epoch than the stream has seen for the
// name is refused, and a repeated sequence is not appended again.
type Writer struct {
	Name            string
	Epoch, Sequence int64
}

// Page is the answer to a read.
type Page struct {
	Records []Record
	// End is the offset that the next record gets.
	End int64
	// More says that the newest values go on after the last key.
	More bool
}

// Log is the platform's store.
type Log interface {
	// Append appends all entries or none and returns the end after them. The
	// writer may be nil. With at not negative, the stream has to end there.
	Append(ctx context.Context, s Stream, entries []Record, w *Writer, at int64) (end int64, err error)
	// Read returns records from an offset on, and waits up to wait for the first.
	Read(ctx context.Context, s Stream, from int64, wait time.Duration) (Page, error)
	// Newest returns the newest value of each key after a key.
	Newest(ctx context.Context, s Stream, after string) (Page, error)
}

// Outcomes of calls to the store. Any other error leaves open whether the call has
// been carried out, now or later.
var (
	// ErrFenced says that a writer with a higher epoch has been seen.
	ErrFenced = errors.New("a newer owner has written")
	// ErrBusy says that the store did nothing and may be asked again.
	ErrBusy = errors.New("the store refused the call")
	// ErrFull says that the store has no room and did nothing.
	ErrFull = errors.New("the store is full")
)

// EndMismatchError says that a stream did not end where the writer expected.
type EndMismatchError struct{ End int64 }

// Error names the end.
func (e *EndMismatchError) Error() string { return fmt.Sprintf("the stream ends at %d", e.End) }

// GoneError says that the records asked for are no longer kept.
type GoneError struct{ First int64 }

// Error names the first offset that is kept.
func (e *GoneError) Error() string { return fmt.Sprintf("records before %d are gone", e.First) }

// SequenceError says which sequence the store expects of a writer.
type SequenceError struct{ Expected int64 }

// Error names the sequence.
func (e *SequenceError) Error() string { return fmt.Sprintf("sequence %d expected", e.Expected) }
