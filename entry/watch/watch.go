// Package watch follows the platform's list of machines, which lags and may be out
// of reach.
package watch

import (
	"context"
	"log/slog"
	"time"

	"carawaymux.dev/fleet/plat"
	"carawaymux.dev/fleet/task"
)

// Snapshot is a list and when it was read.
type Snapshot struct {
	List plat.MachineList
	// ReadAt is when the list was read; the zero time when it never was.
	ReadAt time.Time
}

// Watcher follows the list. Use [New] to build it.
type Watcher struct {
	client   *plat.Client
	interval time.Duration
	logger   *slog.Logger
	observe  []func(plat.MachineList)
	core     *task.Task[chan<- Snapshot]
	reader   *task.Task[struct{}]
	arrived  chan Snapshot
}

// Option changes how a watcher is built.
type Option func(*Watcher)

// WithInterval sets the time between two looks at the list.
func WithInterval(d time.Duration) Option { return func(w *Watcher) { w.interval = d } }

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option { return func(w *Watcher) { w.logger = l } }

// WithObserver adds a function that is told each list that differs from the one before. It must not block for long.
func WithObserver(f func(plat.MachineList)) Option {
	return func(w *Watcher) { w.observe = append(w.observe, f) }
}

// New starts a watcher.
func New(client *plat.Client, opts ...Option) *Watcher {
	w := &Watcher{client: client, interval: time.Second, logger: slog.Default(), arrived: make(chan Snapshot)}
	for _, opt := range opts {
		opt(w)
	}
	w.core = task.Start(w.keep)
	w.reader = task.Start(w.read)
	return w
}

// Close stops the watcher and waits for its tasks.
func (w *Watcher) Close() {
	w.reader.Close()
	w.core.Close()
}

// Latest returns the newest list.
func (w *Watcher) Latest(ctx context.Context) (Snapshot, error) {
	return task.Call(ctx, w.core, func(reply chan<- Snapshot) chan<- Snapshot { return reply })
}

// keep owns the newest list.
func (w *Watcher) keep(ctx context.Context, inbox <-chan chan<- Snapshot) {
	var newest Snapshot
	for {
		select {
		case <-ctx.Done():
			return
		case newest = <-w.arrived:
		case reply := <-inbox:
			reply <- newest
		}
	}
}

func (w *Watcher) read(ctx context.Context, _ <-chan struct{}) {
	tick := time.NewTicker(w.interval)
	defer tick.Stop()
	failing := false
	var l plat.MachineList
	var tag string
	for {
		next, nextTag, changed, err := w.client.Hosts(ctx, tag)
		if err == nil && changed {
			l, tag = next, nextTag
			for _, f := range w.observe {
				f(l)
			}
		}
		if err == nil {
			select {
			case w.arrived <- Snapshot{List: l, ReadAt: time.Now()}:
			case <-ctx.Done():
				return
			}
		}
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			w.logger.Warn("platform's list", "reachable", !failing, "error", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}
