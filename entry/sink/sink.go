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
	// queue is the number of lines that wait to be written.
	queue = 4096
	// reportEvery is how often dropped lines are reported.
	reportEvery = time.Second
	// perSecond bounds the lines of one second; what is over is dropped.
	perSecond = 2000
)

// Sink is a writer of log lines. Use [New] to build it.
type Sink struct {
	task *task.Task[[]byte]
	// dropped counts lines that were not written; window and lines bound the rate.
	dropped, lines atomic.Int64
	window         atomic.Int64
}

// New starts a sink that writes to out.
func New(out io.Writer) *Sink {
	s := &Sink{}
	s.task = task.Start(func(ctx context.Context, inbox <-chan []byte) { s.run(ctx, inbox, out) }, task.WithInbox(queue))
	return s
}

// Write takes one line. It never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	now := time.Now().Unix()
	if s.window.Swap(now) != now {
		s.lines.Store(0)
	}
	if s.lines.Add(1) > perSecond || !s.task.TrySend(append([]byte(nil), line...)) {
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
	s.pass(ctx, inbox, lines)
	end, cancel := context.WithTimeout(context.Background(), flushWithin)
	defer cancel()
	flush(end, inbox, lines)
	close(lines)
	select {
	case <-written:
	case <-end.Done():
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

// flushWithin bounds the writing of what waits at the end.
const flushWithin = 200 * time.Millisecond

// pass hands lines on until ctx is done.
func (s *Sink) pass(ctx context.Context, inbox <-chan []byte, lines chan<- []byte) {
	tick := time.NewTicker(reportEvery)
	defer tick.Stop()
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
				case <-time.After(flushWithin):
					s.dropped.Add(1)
				}
				return
			}
		case <-tick.C:
			if n := s.dropped.Load(); n > reported {
				reported = s.report(lines, n)
			}
		}
	}
}

// report writes how many lines were dropped, if the reader takes it at once.
func (s *Sink) report(lines chan<- []byte, n int64) int64 {
	raw, err := json.Marshal(map[string]any{
		"time": time.Now().UTC().Format(time.RFC3339Nano), "level": "WARN", "msg": "log lines dropped", "total": n,
	})
	if err != nil {
		return 0
	}
	select {
	case lines <- append(raw, '\n'):
		return n
	case <-time.After(flushWithin):
		return 0
	}
}
