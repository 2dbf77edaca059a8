// Package task runs goroutines that own their state and communicate by messages.
//
// A [Task] is an inbox and one goroutine that reads it. Only this goroutine accesses the task's state
// and sockets, so they need no locks.
package task

import (
	"context"
	"errors"
)

// ErrClosed means that the task was closed before it took a message or replied to it.
var ErrClosed = errors.New("the task is closed")

// defaultInbox is the default capacity of an inbox, in messages.
const defaultInbox = 64

// Option changes how a task is built.
type Option func(*settings)

type settings struct {
	inbox int
}

// WithInbox sets the capacity of the inbox, in messages.
func WithInbox(messages int) Option {
	return func(s *settings) { s.inbox = messages }
}

// Task is an inbox for messages of type M and the goroutine that reads it.
type Task[M any] struct {
	inbox  chan M
	cancel context.CancelFunc
	closed <-chan struct{}
	done   chan struct{}
}

// Start runs body in a new goroutine. The body must return soon after ctx is done. Messages that are
// still in the inbox are then dropped.
func Start[M any](body func(ctx context.Context, inbox <-chan M), opts ...Option) *Task[M] {
	var t *Task[M]
	StartInto(&t, body, opts...)
	return t
}

// StartInto is like [Start], but stores the task in a field before body runs, for bodies that use the
// field to send messages to their own task.
func StartInto[M any](field **Task[M], body func(ctx context.Context, inbox <-chan M), opts ...Option) {
	s := settings{inbox: defaultInbox}
	for _, opt := range opts {
		opt(&s)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &Task[M]{
		inbox:  make(chan M, s.inbox),
		cancel: cancel,
		closed: ctx.Done(),
		done:   make(chan struct{}),
	}
	*field = t
	go func() {
		defer close(t.done)
		body(ctx, t.inbox)
	}()
}

// Send puts a message into the inbox. If the inbox is full, it waits until ctx is done and then
// returns its cause. It returns [ErrClosed] if the task is closed.
func (t *Task[M]) Send(ctx context.Context, m M) error {
	select {
	case <-t.closed:
		return ErrClosed
	default:
	}
	select {
	case t.inbox <- m:
		return nil
	case <-t.closed:
		return ErrClosed
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// TrySend puts a message into the inbox without waiting. It reports false if the inbox is full or
// the task is closed.
func (t *Task[M]) TrySend(m M) bool {
	select {
	case <-t.closed:
		return false
	default:
	}
	select {
	case t.inbox <- m:
		return true
	default:
		return false
	}
}

// Done returns a channel that is closed once the task's goroutine has returned.
func (t *Task[M]) Done() <-chan struct{} { return t.done }

// Close stops the task and waits until its goroutine has returned.
func (t *Task[M]) Close() {
	t.cancel()
	<-t.done
}

// Call sends a message that build creates from a reply channel, and waits for the reply. The channel
// has a buffer for one value, so the task does not block when it replies.
func Call[M, R any](ctx context.Context, t *Task[M], build func(reply chan<- R) M) (R, error) {
	var zero R
	reply := make(chan R, 1)
	if err := t.Send(ctx, build(reply)); err != nil {
		return zero, err
	}
	select {
	case r := <-reply:
		return r, nil
	case <-t.done:
		select {
		case r := <-reply:
			return r, nil
		default:
			return zero, ErrClosed
		}
	case <-ctx.Done():
		return zero, context.Cause(ctx)
	}
}
