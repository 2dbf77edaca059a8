// Package sink writes log lines without blocking the callers that log. Lines wait in a bounded
// queue. Lines that do not fit into the queue or exceed a rate limit are dropped and counted.
package sink

import (
	"context"
	"encoding/json"
	"io"
	"sync/atomic"
	"time"

	"carawaymux.dev/fleet/task"
)

const (
	// queueSize is the maximum number of lines that wait to be written.
	queueSize = 4096
	// reportInterval is the time between two reports of dropped lines.
	reportInterval = time.Second
	// maxLinesPerSecond is the maximum number of lines in one second; lines above it are dropped.
	maxLinesPerSecond = 2000
	// batchDelay is how long a line may wait for others that are written with it, because each
	// write costs about as much as several lines.
	batchDelay = 20 * time.Millisecond
	// maxBatchBytes is the size above which a batch takes no further lines.
	maxBatchBytes = 32 << 10
	// flushTimeout bounds the writing of waiting lines on close.
	flushTimeout = 200 * time.Millisecond
)

// Sink is a writer of log lines that does not block. Use [New] to build it.
type Sink struct {
	task *task.Task[[]byte]
	// dropped counts lines that were not written. windowLines counts the lines in the second
	// windowSecond, to limit the rate.
	dropped, windowLines atomic.Int64
	windowSecond         atomic.Int64
}

// New starts a sink that writes to out.
func New(out io.Writer) *Sink {
	s := &Sink{}
	s.task = task.Start(func(ctx context.Context, inbox <-chan []byte) { s.run(ctx, inbox, out) }, task.WithInbox(queueSize))
	return s
}

// Write queues one line, or drops it. It never blocks and never returns an error.
func (s *Sink) Write(line []byte) (int, error) {
	now := time.Now().Unix()
	if s.windowSecond.Swap(now) != now {
		s.windowLines.Store(0)
	}
	if s.windowLines.Add(1) > maxLinesPerSecond || !s.task.TrySend(append([]byte(nil), line...)) {
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes the lines that wait, unless the reader has stalled, and stops the sink.
func (s *Sink) Close() { s.task.Close() }

// batch holds lines that are written with one call.
type batch struct {
	data  []byte
	lines int64
}

func (b *batch) add(line []byte) {
	b.data = append(b.data, line...)
	b.lines++
}

func (s *Sink) run(ctx context.Context, inbox <-chan []byte, out io.Writer) {
	// A separate goroutine writes, because a write blocks for as long as the reader stalls. The
	// task must not block.
	w := writer{batches: make(chan batch), spare: make(chan []byte, 1)}
	written := make(chan struct{})
	go func() {
		defer close(written)
		s.write(&w, out)
	}()
	pending := s.forward(ctx, inbox, &w)
	flushCtx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	s.flush(flushCtx, inbox, &w, pending)
	close(w.batches)
	select {
	case <-written:
	case <-flushCtx.Done():
	}
}

// writer connects the task with the goroutine that writes.
type writer struct {
	batches chan batch
	// spare returns the memory of a written batch.
	spare chan []byte
}

// next returns an empty batch.
func (w *writer) next() batch {
	select {
	case data := <-w.spare:
		return batch{data: data[:0]}
	default:
		return batch{}
	}
}

func (s *Sink) write(w *writer, out io.Writer) {
	for b := range w.batches {
		if _, err := out.Write(b.data); err != nil {
			s.dropped.Add(b.lines)
		}
		select {
		case w.spare <- b.data:
		default:
		}
	}
}

// flush writes a batch and the lines that wait in the inbox, until the inbox is empty or ctx is done.
func (s *Sink) flush(ctx context.Context, inbox <-chan []byte, w *writer, pending batch) {
	for {
		takeWaiting(inbox, &pending)
		if len(pending.data) == 0 {
			return
		}
		select {
		case w.batches <- pending:
			pending = w.next()
		case <-ctx.Done():
			s.dropped.Add(pending.lines)
			return
		}
	}
}

// takeWaiting moves lines that already wait into a batch until it is full.
func takeWaiting(inbox <-chan []byte, b *batch) {
	for len(b.data) < maxBatchBytes {
		select {
		case line := <-inbox:
			b.add(line)
		default:
			return
		}
	}
}

// forward passes lines to the writing goroutine until ctx is done. It returns the lines that it has
// not passed on.
func (s *Sink) forward(ctx context.Context, inbox <-chan []byte, w *writer) batch {
	reports := time.NewTicker(reportInterval)
	defer reports.Stop()
	delay := time.NewTimer(batchDelay)
	defer delay.Stop()
	pending, due, reported := batch{}, false, int64(0)
	add := func(line []byte) {
		if len(pending.data) == 0 {
			due = false
			delay.Reset(batchDelay)
		}
		pending.data = append(pending.data, line...)
	}
	for {
		in, out := inbox, w.batches
		full := len(pending.data) >= maxBatchBytes
		if full {
			in = nil
		}
		if !full && !due || len(pending.data) == 0 {
			out = nil
		}
		select {
		case <-ctx.Done():
			return pending
		case line := <-in:
			add(line)
			pending.lines++
			takeWaiting(inbox, &pending)
		case <-delay.C:
			due = true
		case out <- pending:
			pending = w.next()
		case <-reports.C:
			if total := s.dropped.Load(); total > reported && !full {
				reported = total
				add(report(total))
			}
		}
	}
}

// report returns a line with the total number of dropped lines.
func report(total int64) []byte {
	raw, err := json.Marshal(map[string]any{
		"time": time.Now().UTC().Format(time.RFC3339Nano), "level": "WARN", "msg": "log lines dropped", "total": total,
	})
	if err != nil {
		return nil
	}
	return append(raw, '\n')
}
