package claim

import (
	"context"
	"time"

	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/task"
)

// WriteResult is the outcome of one write.
type WriteResult struct {
	// Sent is when the first call was sent that may have been carried out.
	Sent time.Time
	// Err is [ErrLost] if a newer owner has written.
	Err error
}

// Writer is a task that writes under a claim, one append at a time.
type Writer struct{ task *task.Task[[]port.Record] }

// NewWriter starts a writer. It passes each outcome to onWritten.
func NewWriter(c *Claim, onWritten func(context.Context, WriteResult)) *Writer {
	return &Writer{task.Start(func(ctx context.Context, inbox <-chan []port.Record) {
		for {
			select {
			case <-ctx.Done():
				return
			case records := <-inbox:
				sent, err := c.Append(ctx, records)
				onWritten(ctx, WriteResult{sent, err})
			}
		}
	}, task.WithInbox(1))}
}

// Write starts a write and reports whether the writer took it. The next write may start once
// the outcome is known.
func (w *Writer) Write(records []port.Record) bool { return w.task.TrySend(records) }

// Close stops the writer. A write in flight may or may not be carried out.
func (w *Writer) Close() { w.task.Close() }
