package soak

import (
	"context"
	"time"

	"carawaymux.dev/fleet/task"
)

// opened is the task that knows which requests of callers are open.
type opened struct{ task *task.Task[func(*openedCore)] }

// openedCore is the state of the task.
type openedCore struct{ requests map[*openRequest]struct{} }

// openRequest is a request that has no answer yet.
type openRequest struct {
	entry   string
	verb    Verb
	beginAt time.Duration
	// sentAt is when the last byte was written; zero before that.
	sentAt time.Duration
	// drips means that the body takes at least minUpload.
	drips bool
}

// openedInbox is the capacity of the task's inbox, in messages.
const openedInbox = 1024

func startOpened() *opened {
	return &opened{task.Start(func(ctx context.Context, inbox <-chan func(*openedCore)) {
		c := &openedCore{map[*openRequest]struct{}{}}
		for {
			select {
			case <-ctx.Done():
				return
			case f := <-inbox:
				f(c)
			}
		}
	}, task.WithInbox(openedInbox))}
}

// begin, sent and end follow a request. They fail only once the task is closed.
func (o *opened) begin(r *openRequest) {
	_ = o.task.Send(context.Background(), func(c *openedCore) { c.requests[r] = struct{}{} })
}

func (o *opened) sent(r *openRequest, at time.Duration) {
	_ = o.task.Send(context.Background(), func(*openedCore) { r.sentAt = at })
}

func (o *opened) end(r *openRequest) {
	_ = o.task.Send(context.Background(), func(c *openedCore) { delete(c.requests, r) })
}

// holds reports whether an entry has requests open at a time which cannot end within signalMargin: a submission that was
// sent more than loss_slack_ms before, and an upload.
func (o *opened) holds(ctx context.Context, entry string, at time.Duration) bool {
	held, err := task.Call(ctx, o.task, func(reply chan<- bool) func(*openedCore) {
		return func(c *openedCore) { reply <- c.holds(entry, at) }
	})
	return err == nil && held
}

func (c *openedCore) holds(entry string, at time.Duration) bool {
	long, upload := false, false
	for r := range c.requests {
		age := at - r.beginAt
		switch {
		case r.entry != entry:
		case r.sentAt == 0:
			upload = upload || r.drips && age <= minUpload-signalMargin
		case r.verb == Submit:
			// The store takes holdAppend for what answers a submission.
			long = long || at-r.sentAt > lossSlack && age <= holdAppend-signalMargin
		}
	}
	return long && upload
}
