// Package hedge sends a call again whose answer does not come, so that a lost answer costs less than
// the whole time-out. The calls have to be idempotent: carried out twice, or late, they have the effect
// of one.
package hedge

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

const (
	// copyCost is the number of calls for which one copy may be sent. A caller that is late itself would
	// otherwise double its load.
	copyCost = 10
	// maxCredit is the number of calls that are saved up for copies.
	maxCredit = 40 * copyCost
)

// Budget limits the copies to a share of the calls. The zero value allows none until calls were made;
// use [NewBudget] to start with a full one. It is safe for concurrent use.
type Budget struct{ credit atomic.Int64 }

// NewBudget returns a budget for as many copies as may be saved up.
func NewBudget() *Budget {
	b := &Budget{}
	b.credit.Store(maxCredit)
	return b
}

// earn records a call.
func (b *Budget) earn() {
	if b.credit.Add(1) > maxCredit {
		b.credit.Add(-1)
	}
}

// take reports whether a copy may be sent, and records it.
func (b *Budget) take() bool {
	if b.credit.Add(-copyCost) >= 0 {
		return true
	}
	b.credit.Add(copyCost)
	return false
}

// ErrUnanswered means that a call and its copy had no conclusive outcome: one of them may have been
// carried out, or may still be.
var ErrUnanswered = errors.New("the call and its copy were not answered")

// errAnswered ends a call whose copy was answered.
var errAnswered = errors.New("the copy of the call was answered")

// outcome is how a call or its copy ended.
type outcome[T any] struct {
	value T
	err   error
}

// The states of a call.
const (
	// waiting means that no copy has been sent.
	waiting int32 = iota
	// copied means that a copy has been sent.
	copied
	// ended means that the call has ended and no copy is sent any more.
	ended
)

// Do makes a call, and a copy of it if the call has not ended after a delay and the budget allows it. It
// returns the first conclusive outcome of the two. Without a copy, each outcome is conclusive. With one,
// success is, and the errors for which the function conclusive returns true: other refusals say nothing
// about the other of the two, so they are returned as [ErrUnanswered].
func Do[T any](
	ctx context.Context, delay time.Duration, b *Budget, conclusive func(error) bool, call, again func(context.Context) (T, error),
) (T, error) {
	b.earn()
	both, cancelBoth := context.WithCancel(ctx)
	defer cancelBoth()
	first, cancelFirst := context.WithCancelCause(both)
	defer cancelFirst(nil)
	var state atomic.Int32
	second := make(chan outcome[T], 1)
	timer := time.AfterFunc(delay, func() {
		if state.Load() != waiting || !b.take() || !state.CompareAndSwap(waiting, copied) {
			return
		}
		var o outcome[T]
		o.value, o.err = again(both)
		second <- o
		if o.err == nil || conclusive(o.err) {
			cancelFirst(errAnswered)
		}
	})
	value, err := call(first)
	if timer.Stop() || state.CompareAndSwap(waiting, ended) || err == nil || conclusive(err) {
		return value, err
	}
	o := <-second
	if o.err == nil || conclusive(o.err) {
		return o.value, o.err
	}
	return o.value, errors.Join(ErrUnanswered, context.Cause(ctx))
}
