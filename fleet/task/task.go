// Package task runs goroutines that own their state and are reached only by
// messages.
//
// A [Task] is a mailbox with one goroutine behind it. The goroutine is the
// only code that touches the task's state and sockets, so no lock is needed.
package task

import (
	"context"
	"errors"
)

// ErrClosed is returned when a message is sent to a task that has been closed.
var ErrClosed = errors.New("task: closed")

// defaultInbox is the mailbox length, in messages, when no option sets it.
const defaultInbox = 64

// Option changes how a task is built.
type Option func(*settings)

type settings struct {
	inbox int
}

// WithInbox sets the mailbox length in messages.
func WithInbox(messages int) Option {
	return func(s *settings) { s.inbox = messages }
}

// Task is a mailbox of messages of type M and the goroutine that reads it.
type Task[M any] struct {
	inbox  chan M
	cancel context.CancelFunc
	closed <-chan struct{}
	done   chan struct{}
}

// Start runs body on its own goroutine. The body must return soon after ctx is
// done; messages still in the inbox are then dropped.
func Start[M any](body func(ctx context.Context, inbox <-chan M), opts ...Option) *Task[M] {
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
	go func() {
		defer close(t.done)
		body(ctx, t.inbox)
	}()
	return t
}

// Send puts a message into the mailbox. It waits for room until ctx is done and
// returns [ErrClosed] when the task has been closed.
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
		return ctx.Err()
	}
}

// TrySend puts a message into the mailbox if there is room at once, and reports
// whether it did.
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

// Done is closed when the task's goroutine has returned.
func (t *Task[M]) Done() <-chan struct{} { return t.done }

// Close asks the task to stop and waits until its goroutine has returned.
func (t *Task[M]) Close() {
	t.cancel()
	<-t.done
}

// Call sends the message that build makes around a reply channel, and waits for
// the reply. The reply channel holds one value, so the task never blocks on it.
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
		return zero, ctx.Err()
	}
}
