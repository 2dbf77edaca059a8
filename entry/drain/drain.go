// Package drain tracks the requests of callers that an entry is answering. When the entry stops, the
// tracker ends their time before connections are closed, and reports requests that are cut off.
package drain

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"time"

	"carawaymux.dev/entry/stats"
	"carawaymux.dev/fleet/task"
)

// ErrStopping is the cause of the end of a request whose time ended because the entry is stopping.
var ErrStopping = errors.New("the entry is stopping")

// Request is a request of a caller.
type Request struct {
	Verb string
	// Path is the path of the URL. It identifies the queue and the job.
	Path string
}

// Step is what a request waits for.
type Step string

// The steps.
const (
	// Body is the body of the request.
	Body Step = "body"
	// View is a view that shows an entry that owns the pool.
	View Step = "view"
	// Owner is the answer of the owner of the pool.
	Owner Step = "owner"
	// Inbox is the store, which writes the submission to the inbox of the pool.
	Inbox Step = "inbox"
)

// LocalOwner stands for the name of the entry if the owner runs in this entry.
const LocalOwner = "local"

// wait is a step that a request has reached. It is never modified.
type wait struct {
	step Step
	// on is the name of the entry that was asked, if any.
	on    string
	since time.Time
}

// Open is a request without a complete answer.
type Open struct {
	request   Request
	tracker   *Tracker
	startedAt time.Time
	// end ends the context of the request.
	end context.CancelCauseFunc
	// wait is replaced with each step.
	wait atomic.Pointer[wait]
}

// Tracker is the task that owns the set of open requests. Use [Start] to create it. The methods Begin,
// StopStarted and Refusing work on a nil tracker.
type Tracker struct {
	logger *slog.Logger
	stats  *stats.Set
	task   *task.Task[message]
	// stop is nil until the entry stops.
	stop atomic.Pointer[stop]
}

// stop is a stop that has started. It is never modified.
type stop struct {
	startedAt time.Time
	plan      Plan
}

func (s *stop) answerBy() time.Time { return s.startedAt.Add(s.plan.Answer) }

type message interface{ handle(c *core) }

type (
	begun       struct{ open *Open }
	ended       struct{ open *Open }
	stopBegun   struct{}
	awaitAnswer struct{ reply chan<- struct{} }
	reportCut   struct{ reply chan<- int }
)

// core is the state of the task.
type core struct {
	tracker *Tracker
	open    map[*Open]struct{}
	// timeEnded is set once the time of open requests has ended. That of later ones ends when they begin.
	timeEnded bool
	// waiting holds the callers of WaitAnswered.
	waiting []chan<- struct{}
}

// inboxSize is the capacity of the inbox of the task, in messages.
const inboxSize = 512

// Start starts a tracker. The set may be nil.
func Start(logger *slog.Logger, set *stats.Set) *Tracker {
	t := &Tracker{logger: logger, stats: set}
	c := &core{tracker: t, open: map[*Open]struct{}{}}
	t.task = task.Start(c.run, task.WithInbox(inboxSize))
	return t
}

func (c *core) run(ctx context.Context, inbox <-chan message) {
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-inbox:
			m.handle(c)
		case <-next.C:
		}
		if wait := c.advance(time.Now()); wait > 0 {
			next.Reset(wait)
		}
	}
}

// advance does what is due in a stop. It returns the time until something else is due, or 0 if that
// depends on messages.
func (c *core) advance(now time.Time) time.Duration {
	s := c.tracker.stop.Load()
	if s == nil {
		return 0
	}
	if wait := s.answerBy().Sub(now); wait > 0 {
		return wait
	}
	if !c.timeEnded {
		c.timeEnded = true
		for o := range c.open {
			o.end(ErrStopping)
		}
	}
	if len(c.open) > 0 || len(c.waiting) == 0 {
		return 0
	}
	for _, reply := range c.waiting {
		reply <- struct{}{}
	}
	c.waiting = nil
	return 0
}

// BeginStop starts a stop. Later calls do nothing.
func (t *Tracker) BeginStop(p Plan) {
	if t.stop.CompareAndSwap(nil, &stop{time.Now(), p}) {
		t.send(stopBegun{})
	}
}

// StopStarted returns when the entry started to stop. It returns false if it has not.
func (t *Tracker) StopStarted() (time.Time, bool) {
	if t == nil || t.stop.Load() == nil {
		return time.Time{}, false
	}
	return t.stop.Load().startedAt, true
}

// Refusing reports whether further requests are to be refused.
func (t *Tracker) Refusing() bool {
	if t == nil {
		return false
	}
	s := t.stop.Load()
	return s != nil && time.Since(s.startedAt) >= s.plan.Take
}

// WaitAnswered waits until the time of open requests has ended and all of them are answered. Others may have
// arrived whose handlers have not run yet; the connections know them. It returns early if ctx ends.
func (t *Tracker) WaitAnswered(ctx context.Context) error {
	_, err := task.Call(ctx, t.task, func(reply chan<- struct{}) message { return awaitAnswer{reply} })
	return err
}

// ReportCut logs and counts the open requests, which are about to be cut off, and returns their number.
func (t *Tracker) ReportCut(ctx context.Context) int {
	n, err := task.Call(ctx, t.task, func(reply chan<- int) message { return reportCut{reply} })
	if err != nil {
		t.logger.Warn("requests that are cut off could not be reported", "err", err)
	}
	return n
}

// Close stops the task.
func (t *Tracker) Close() { t.task.Close() }

// openKey is the key of the context value that holds the open request.
type openKey struct{}

// Begin records that a request has arrived. The caller must call End on it. The context passes the
// request to [Waiting]. It ends when the request does, or with [ErrStopping] when its time ends.
func (t *Tracker) Begin(ctx context.Context, r Request) (context.Context, *Open) {
	if t == nil {
		return ctx, nil
	}
	ctx, end := context.WithCancelCause(ctx)
	o := &Open{request: r, tracker: t, startedAt: time.Now(), end: end}
	t.send(begun{o})
	return context.WithValue(ctx, openKey{}, o), o
}

// End records that the answer has been sent. It does nothing on nil.
func (o *Open) End() {
	if o != nil {
		o.end(nil)
		o.tracker.send(ended{o})
	}
}

func (t *Tracker) send(m message) {
	if err := t.task.Send(context.Background(), m); err != nil {
		t.logger.Debug("request not tracked: the tracker has stopped", "err", err)
	}
}

// Waiting records what the request of a context waits for, and on which entry if any.
func Waiting(ctx context.Context, step Step, on string) {
	if o, ok := ctx.Value(openKey{}).(*Open); ok {
		o.wait.Store(&wait{step, on, time.Now()})
	}
}

func (m begun) handle(c *core) {
	c.open[m.open] = struct{}{}
	if c.timeEnded {
		m.open.end(ErrStopping)
	}
}

func (m ended) handle(c *core) { delete(c.open, m.open) }

func (stopBegun) handle(*core) {}

func (m awaitAnswer) handle(c *core) { c.waiting = append(c.waiting, m.reply) }

func (m reportCut) handle(c *core) {
	now := time.Now()
	for o := range c.open {
		c.tracker.reportCut(o, now)
	}
	m.reply <- len(c.open)
}

func (t *Tracker) reportCut(o *Open, now time.Time) {
	fields := []any{"verb", o.request.Verb, "path", o.request.Path, "took-ms", now.Sub(o.startedAt).Milliseconds()}
	if since, ok := t.StopStarted(); ok {
		fields = append(fields, "stopping-ms", now.Sub(since).Milliseconds())
	}
	step := Step("none")
	if w := o.wait.Load(); w != nil {
		step = w.step
		fields = append(fields, "on", w.on, "waited-ms", now.Sub(w.since).Milliseconds())
	}
	t.logger.Error("request cut off without an answer", append(fields, "waits-for", string(step))...)
	t.stats.Add("requests-cut", 1, "verb", o.request.Verb, "waits-for", string(step))
}
