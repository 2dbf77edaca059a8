// Package sink writes log lines without ever holding up who logs: lines go through a
// bounded queue, and those that find no room are counted and dropped.
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
	// queueSize is the number of lines that wait to be written.
	queueSize = 4096
	// reportInterval is how often dropped lines are reported.
	reportInterval = time.Second
	// maxLinesPerSecond bounds the lines of one second; what is over is dropped.
	maxLinesPerSecond = 2000
)

// Sink is a writer of log lines. Use [New] to build it.
type Sink struct {
	task *task.Task[[]byte]
	// dropped counts lines that were not written; window and lines bound the rate.
	dropped, windowLines atomic.Int64
	windowSecond         atomic.Int64
}

// New starts a sink that writes to out.
func New(out io.Writer) *Sink {
	s := &Sink{}
	s.task = task.Start(func(ctx context.Context, inbox <-chan []byte) { s.run(ctx, inbox, out) }, task.WithInbox(queueSize))
	return s
}

// Write takes one line. It never blocks and never fails.
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

// Dropped is the number of lines that have been dropped so far.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes what waits, unless the reader has stalled, and stops.
func (s *Sink) Close() { s.task.Close() }

func (s *Sink) run(ctx context.Context, inbox <-chan []byte, out io.Writer) {
	// The writing goroutine may hang with its reader; the task does not.
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

// flush hands on what waits, until ctx is done.
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

// flushTimeout bounds the writing of what waits at the end.
const flushTimeout = 200 * time.Millisecond

// forward hands lines on until ctx is done.
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
				// What waits behind it is still tried; this one is lost only if the
				// reader has stalled.
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

// report writes how many lines were dropped, if the reader takes it at once.
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
