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

func (s *Sink) run(ctx context.Context, inbox <-chan []byte, out io.Writer) {
	// A separate goroutine writes, because a write blocks for as long as the reader stalls. The
	// task must not block.
	lines := make(chan []byte)
	written := make(chan struct{})
	go func() {
		defer close(written)
		for line := range lines {
			if _, err := out.Write(line); err != nil {
				s.dropped.Add(1)
			}
		}
	}()
	s.forward(ctx, inbox, lines)
	flushCtx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	flush(flushCtx, inbox, lines)
	close(lines)
	select {
	case <-written:
	case <-flushCtx.Done():
	}
}

// flush forwards the lines that wait in the inbox until it is empty or ctx is done.
func flush(ctx context.Context, inbox <-chan []byte, lines chan<- []byte) {
	for {
		select {
		case line := <-inbox:
			select {
			case lines <- line:
			case <-ctx.Done():
				return
			}
		default:
			return
		}
	}
}

// flushTimeout bounds the writing of waiting lines on close, and of one report of dropped lines.
const flushTimeout = 200 * time.Millisecond

// forward passes lines to the writing goroutine until ctx is done.
func (s *Sink) forward(ctx context.Context, inbox <-chan []byte, lines chan<- []byte) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	reported := int64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case line := <-inbox:
			select {
			case lines <- line:
			case <-ctx.Done():
				// Try once more, so that this line is lost only if the reader has stalled. The
				// lines behind it are flushed later.
				select {
				case lines <- line:
				case <-time.After(flushTimeout):
					s.dropped.Add(1)
				}
				return
			}
		case <-ticker.C:
			if total := s.dropped.Load(); total > reported {
				reported = s.report(lines, total)
			}
		}
	}
}

// report writes the total number of dropped lines. It returns that total, or 0 if the line could
// not be written within flushTimeout.
func (s *Sink) report(lines chan<- []byte, total int64) int64 {
	raw, err := json.Marshal(map[string]any{
		"time": time.Now().UTC().Format(time.RFC3339Nano), "level": "WARN", "msg": "log lines dropped", "total": total,
	})
	if err != nil {
		return 0
	}
	select {
	case lines <- append(raw, '\n'):
		return total
	case <-time.After(flushTimeout):
		return 0
	}
}
