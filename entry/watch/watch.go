// Package watch polls the platform's list of machines and keeps the newest list that it could read.
// The list may be out of date or unreachable, so each one has the time at which it was read.
package watch

import (
	"context"
	"log/slog"
	"time"

	"carawaymux.dev/fleet/plat"
	"carawaymux.dev/fleet/task"
)

// Snapshot is a list of machines and the time at which it was read.
type Snapshot struct {
	List plat.MachineList
	// ReadAt is when the list was read last; the zero time if it has not been read yet.
	ReadAt time.Time
}

// Watcher polls the list and keeps the newest one. Use [New] to build it.
type Watcher struct {
	client    *plat.Client
	interval  time.Duration
	logger    *slog.Logger
	observers []func(plat.MachineList)
	holder    *task.Task[chan<- Snapshot]
	poller    *task.Task[struct{}]
	updates   chan Snapshot
}

// Option configures a watcher.
type Option func(*Watcher)

// WithInterval sets the time between two reads of the list.
func WithInterval(d time.Duration) Option { return func(w *Watcher) { w.interval = d } }

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option { return func(w *Watcher) { w.logger = l } }

// WithObserver adds a function that is called with each list that differs from the previous one. It
// delays the next read, so it must not block for long.
func WithObserver(observer func(plat.MachineList)) Option {
	return func(w *Watcher) { w.observers = append(w.observers, observer) }
}

// New starts a watcher that reads the list once a second unless an option changes it.
func New(client *plat.Client, opts ...Option) *Watcher {
	w := &Watcher{client: client, interval: time.Second, logger: slog.Default(), updates: make(chan Snapshot)}
	for _, opt := range opts {
		opt(w)
	}
	w.holder = task.Start(w.holdLatest)
	w.poller = task.Start(w.pollList)
	return w
}

// Close stops the watcher and waits until its tasks have ended.
func (w *Watcher) Close() {
	w.poller.Close()
	w.holder.Close()
}

// Latest returns the newest list and when it was read.
func (w *Watcher) Latest(ctx context.Context) (Snapshot, error) {
	return task.Call(ctx, w.holder, func(reply chan<- Snapshot) chan<- Snapshot { return reply })
}

// holdLatest owns the newest list.
func (w *Watcher) holdLatest(ctx context.Context, inbox <-chan chan<- Snapshot) {
	var newest Snapshot
	for {
		select {
		case <-ctx.Done():
			return
		case newest = <-w.updates:
		case reply := <-inbox:
			reply <- newest
		}
	}
}

func (w *Watcher) pollList(ctx context.Context, _ <-chan struct{}) {
	tick := time.NewTicker(w.interval)
	defer tick.Stop()
	unreachable := false
	var list plat.MachineList
	var tag string
	for {
		next, nextTag, changed, err := w.client.Hosts(ctx, tag)
		if err == nil && changed {
			list, tag = next, nextTag
			for _, observer := range w.observers {
				observer(list)
			}
		}
		if err == nil {
			select {
			case w.updates <- Snapshot{List: list, ReadAt: time.Now()}:
			case <-ctx.Done():
				return
			}
		}
		if (err != nil) != unreachable && ctx.Err() == nil {
			unreachable = err != nil
			w.logger.Warn("reachability of the platform's machine list has changed",
				"reachable", !unreachable, "err", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}
