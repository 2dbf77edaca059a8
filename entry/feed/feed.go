package feed

import (
	"context"
	"log/slog"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/task"
)

// Change is a key whose value has changed. Present is false if the key was removed or its value
// cannot be decoded.
type Change[T any] struct {
	Key     string
	Value   T
	Present bool
}

// Feed is a task that follows a stream with values of type T.
type Feed[T any] struct {
	name   string
	reader *Reader
	decode func(key string, value []byte) (T, error)
	logger *slog.Logger
	settings
	// pace is the interval between calls in nanoseconds, negative while the feed pauses.
	pace atomic.Int64
	// task receives a message when the pace has changed or a read is due at once.
	task *task.Task[struct{}]
	// refresh is set while a read is due at once. cancelRead cancels the read in flight.
	refresh    atomic.Bool
	cancelRead atomic.Pointer[context.CancelFunc]
}

type settings struct {
	wait, interval time.Duration
	// onRead is called before the changes of a call that has read all records are passed on. It may be
	// nil.
	onRead func(requestedAt time.Time)
	// now and onConfirmed are nil or both set. onConfirmed is called after the changes of a call were passed on, with the time
	// on the clock now as of which all records have been passed on.
	now         func() time.Duration
	onConfirmed func(asOf time.Duration)
}

// Option configures a [Feed].
type Option func(*settings)

// WithLongPoll makes each call to the store wait for up to the given time for a change.
func WithLongPoll(d time.Duration) Option { return func(s *settings) { s.wait = d } }

// WithInterval sets a pause between calls, so that one call returns several changes.
func WithInterval(d time.Duration) Option { return func(s *settings) { s.interval = d } }

// WithReadTime calls a function with the time at which a call was sent, before the changes that the call
// has returned are passed on. With these, all records of that time have been passed on.
func WithReadTime(f func(requestedAt time.Time)) Option { return func(s *settings) { s.onRead = f } }

// WithConfirmation calls a function after the changes of each call that has read all records were passed on, with a time on the
// given clock: all records that the store had then have been passed on.
func WithConfirmation(now func() time.Duration, f func(asOf time.Duration)) Option {
	return func(s *settings) { s.now, s.onConfirmed = now, f }
}

const (
	// minBackoff and maxBackoff limit the pause after a failed call.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// CallTimeout limits a call to the store, in addition to the time that it waits for a
	// change.
	CallTimeout = 700 * time.Millisecond
)

// Start starts a feed of a stream. It calls onChange with the changes in the order of the store.
func Start[T any](
	log port.Log, stream port.Stream, decode func(key string, value []byte) (T, error),
	logger *slog.Logger, onChange func([]Change[T]), opts ...Option,
) *Feed[T] {
	f := &Feed[T]{name: stream.Topic, reader: NewReader(log, stream, CallTimeout), decode: decode, logger: logger}
	for _, opt := range opts {
		opt(&f.settings)
	}
	f.pace.Store(int64(f.interval))
	f.task = task.Start(func(ctx context.Context, inbox <-chan struct{}) { f.run(ctx, inbox, onChange) })
	return f
}

// Pause is the interval of a feed that pauses.
const Pause = time.Duration(-1)

// SetInterval sets the pause between calls. The next call follows at once if the interval has changed.
// After a [Pause], the feed passes on the newest values of all keys.
func (f *Feed[T]) SetInterval(d time.Duration) {
	if f.pace.Swap(int64(d)) != int64(d) {
		f.task.TrySend(struct{}{})
	}
}

// Refresh ends a read that waits for a change, or hangs, and reads at once.
func (f *Feed[T]) Refresh() {
	f.refresh.Store(true)
	if cancel := f.cancelRead.Load(); cancel != nil {
		(*cancel)()
	}
	f.task.TrySend(struct{}{})
}

// asOf returns as of when a call has read all records that was sent at one time and answered at another. The store answers a call
// without records once it has waited for them, and it has received the call after it was sent.
func asOf(sent, answered, waited time.Duration, records int) time.Duration {
	if records == 0 && answered-sent >= waited {
		return sent + waited
	}
	return sent
}

// poll reads once, without waiting for a change if a read is due at once. It returns how long the store was asked to wait.
func (f *Feed[T]) poll(ctx context.Context) (records []port.Record, waited time.Duration, err error) {
	readCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.cancelRead.Store(&cancel)
	wait := f.wait
	if f.refresh.Swap(false) {
		wait = 0
	}
	records, err = f.reader.Poll(readCtx, wait)
	if err != nil && readCtx.Err() != nil && ctx.Err() == nil {
		// The refresh that has ended the read may be the one that the read served.
		f.refresh.Store(true)
	}
	return records, wait, err
}

// Close stops the task.
func (f *Feed[T]) Close() { f.task.Close() }

func (f *Feed[T]) run(ctx context.Context, inbox <-chan struct{}, onChange func([]Change[T])) {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval, retryBackoff.MaxInterval = minBackoff, maxBackoff
	storeLost := false
	for ctx.Err() == nil {
		if f.pace.Load() < 0 {
			select {
			case <-ctx.Done():
			case <-inbox:
				f.reader.Reset()
			}
			continue
		}
		requestedAt := time.Now()
		var from time.Duration
		if f.now != nil {
			from = f.now()
		}
		records, waited, err := f.poll(ctx)
		delay := time.Duration(f.pace.Load())
		switch {
		case err != nil && f.refresh.Load():
			delay = 0
		case err != nil:
			if !storeLost && ctx.Err() == nil {
				f.logger.Warn("store lost", "topic", f.name, "err", err)
			}
			storeLost = true
			delay = retryBackoff.NextBackOff()
		default:
			if storeLost {
				f.logger.Info("store regained", "topic", f.name)
			}
			storeLost = false
			retryBackoff.Reset()
			if f.onRead != nil && !f.reader.Behind() {
				f.onRead(requestedAt)
			}
			onChange(f.changes(records))
			if f.onConfirmed != nil && !f.reader.Behind() {
				f.onConfirmed(asOf(from, f.now(), waited, len(records)))
			}
		}
		select {
		case <-ctx.Done():
		case <-inbox:
		case <-time.After(max(delay, 0)):
		}
	}
}

func (f *Feed[T]) changes(records []port.Record) []Change[T] {
	out := make([]Change[T], 0, len(records))
	for _, e := range records {
		if e.Key == "" {
			f.logger.Warn("record without a readable key skipped", "topic", f.name, "offset", e.Offset)
			continue
		}
		c := Change[T]{Key: e.Key}
		if e.Value != nil {
			v, err := f.decode(e.Key, e.Value)
			if err != nil {
				f.logger.Warn("record cannot be decoded; its key counts as removed", "topic", f.name, "key", e.Key, "offset", e.Offset, "err", reason(err))
			} else {
				c.Value, c.Present = v, true
			}
		}
		out = append(out, c)
	}
	return out
}

// maxReasonBytes limits the text of an error in a log line.
const maxReasonBytes = 256

// reason returns the text of an error. Errors of decoders may quote the value, which is cut off.
func reason(err error) string {
	text := err.Error()
	if len(text) <= maxReasonBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxReasonBytes], "") + "..."
}
