package feed

import (
	"context"
	"log/slog"
	"time"

	"github.com/cenkalti/backoff/v5"

	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/task"
)

// Change is a key whose value has changed. Present is false when the key is gone or
// its value cannot be read.
type Change[T any] struct {
	Key     string
	Value   T
	Present bool
}

// Feed is the task that follows a stream whose values are of type T.
type Feed[T any] struct {
	name   string
	reader *Reader
	decode func(key string, value []byte) (T, error)
	logger *slog.Logger
	settings
	task *task.Task[struct{}]
}

type settings struct {
	wait, every time.Duration
}

// Option changes how a feed reads.
type Option func(*settings)

// WithWait lets each call wait for a change.
func WithWait(d time.Duration) Option { return func(s *settings) { s.wait = d } }

// WithInterval puts a pause between calls, so that several changes come in one.
func WithInterval(d time.Duration) Option { return func(s *settings) { s.every = d } }

const (
	// firstPause and longestPause bound the pause after a call that failed.
	firstPause   = 100 * time.Millisecond
	longestPause = 400 * time.Millisecond
	// callTimeout bounds a call beyond the time that it is to wait.
	callTimeout = 700 * time.Millisecond
)

// Start follows a stream. Changes are handed to onChange in the order of the store.
func Start[T any](
	log port.Log, stream port.Stream, decode func(key string, value []byte) (T, error),
	logger *slog.Logger, onChange func([]Change[T]), opts ...Option,
) *Feed[T] {
	f := &Feed[T]{name: stream.Topic, reader: NewReader(log, stream, callTimeout), decode: decode, logger: logger}
	for _, opt := range opts {
		opt(&f.settings)
	}
	f.task = task.Start(func(ctx context.Context, _ <-chan struct{}) { f.run(ctx, onChange) })
	return f
}

// Close stops the task.
func (f *Feed[T]) Close() { f.task.Close() }

func (f *Feed[T]) run(ctx context.Context, onChange func([]Change[T])) {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval, pauses.MaxInterval = firstPause, longestPause
	down := false
	for ctx.Err() == nil {
		entries, err := f.reader.Poll(ctx, f.wait)
		pause := f.every
		switch {
		case err != nil:
			if !down && ctx.Err() == nil {
				f.logger.Warn("store lost", "topic", f.name, "err", err)
			}
			down = true
			pause = pauses.NextBackOff()
		default:
			if down {
				f.logger.Info("store regained", "topic", f.name)
			}
			down = false
			pauses.Reset()
			onChange(f.changes(entries))
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (f *Feed[T]) changes(entries []port.Record) []Change[T] {
	out := make([]Change[T], 0, len(entries))
	for _, e := range entries {
		c := Change[T]{Key: e.Key}
		if e.Value != nil {
			v, err := f.decode(e.Key, e.Value)
			if err != nil {
				f.logger.Warn("entry not readable", "topic", f.name, "key", e.Key, "offset", e.Offset, "err", err)
			} else {
				c.Value, c.Present = v, true
			}
		}
		out = append(out, c)
	}
	return out
}
