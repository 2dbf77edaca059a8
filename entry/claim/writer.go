package claim

import (
	"context"
	"time"

	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/task"
)

// WriteResult is the outcome of one write.
type WriteResult struct {
	// Sent is when the call was sent that the store answered.
	Sent time.Time
	// Err is [ErrLost] when a newer owner has written.
	Err error
}

// Writer is a task that writes under a claim, one append after another.
type Writer struct{ task *task.Task[[]port.Record] }

// NewWriter starts a writer. Each outcome is handed to onWritten.
func NewWriter(c *Claim, onWritten func(context.Context, WriteResult)) *Writer {
	return &Writer{task.Start(func(ctx context.Context, inbox <-chan []port.Record) {
		for {
			select {
			case <-ctx.Done():
				return
			case entries := <-inbox:
				sent, err := c.Append(ctx, entries)
				onWritten(ctx, WriteResult{sent, err})
			}
		}
	}, task.WithInbox(1))}
}

// Write begins a write. The next one may begin when its outcome is known.
func (w *Writer) Write(entries []port.Record) bool { return w.task.TrySend(entries) }

// Close stops the writer; what is under way may or may not be written.
func (w *Writer) Close() { w.task.Close() }
