package port

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Stream is one partition of a topic in the platform's store. Records have keys, and the store
// keeps at least the newest value of each key indefinitely.
type Stream struct {
	Topic string
	Part  int
}

// MaxKeyBytes is the length of the longest key.
const MaxKeyBytes = 255

// Record is a value under a key. A nil value deletes the key.
type Record struct {
	// Key has 1 to MaxKeyBytes bytes. Reads return records whose key cannot be read without key and
	// value.
	Key   string
	Value []byte
	// Offset is the record's position in the stream. Reads set it; appends ignore it.
	Offset int64
}

// recordOverheadBytes is at least what the store counts for a record in addition to its key and value.
const recordOverheadBytes = 16

// StoredBytes is at least what the store counts for the record.
func (r *Record) StoredBytes() int { return recordOverheadBytes + len(r.Key) + len(r.Value) }

// Writer fences appends. The store refuses an append whose epoch is lower than one it has seen for
// the same name, and does not append a repeated sequence number again.
type Writer struct {
	Name            string
	Epoch, Sequence int64
}

// Page is the result of a read.
type Page struct {
	Records []Record
	// End is the offset that the next appended record gets.
	End int64
	// More reports whether [Log.Newest] has further keys after the last one of this page.
	More bool
}

// Log is the platform's store.
type Log interface {
	// Append appends all records or none, and returns the end of the stream after them. The writer
	// may be nil. If expectedEnd is not negative, the append succeeds only if the stream ends there.
	Append(ctx context.Context, s Stream, records []Record, w *Writer, expectedEnd int64) (end int64, err error)
	// Read returns records from an offset on. It waits up to wait for the first one.
	Read(ctx context.Context, s Stream, from int64, wait time.Duration) (Page, error)
	// Newest returns the newest value of each key that sorts after the given one.
	Newest(ctx context.Context, s Stream, after string) (Page, error)
}

// Errors of calls to the store. After any other error the call may have been carried out, or may
// still be carried out later.
var (
	// ErrFenced means that the store has seen a writer with a higher epoch.
	ErrFenced = errors.New("the store has seen a writer with a higher epoch")
	// ErrBusy means that the service did nothing; the call may be repeated.
	ErrBusy = errors.New("the service is busy and did nothing; the call may be repeated")
	// ErrFull means that the store has no space left and did nothing.
	ErrFull = errors.New("the store has no space left; nothing was appended")
)

// EndMismatchError means that a stream did not end at the offset that the writer expected.
type EndMismatchError struct{ End int64 }

// Error includes the actual end.
func (e *EndMismatchError) Error() string {
	return fmt.Sprintf("the stream ends at offset %d, which is not the expected end", e.End)
}

// GoneError means that the store no longer retains the records that were asked for.
type GoneError struct{ First int64 }

// Error includes the first offset that the store retains.
func (e *GoneError) Error() string {
	return fmt.Sprintf("records before offset %d are no longer retained", e.First)
}

// SequenceError means that an append did not carry the sequence number that the store expects of
// the writer.
type SequenceError struct{ Expected int64 }

// Error includes the expected sequence number.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("the store expects sequence number %d of this writer", e.Expected)
}
