package soak

import (
	"context"
	"net"
	"syscall"
	"time"

	"carawaymux.dev/fleet/task"
	hostile "carawaymux.dev/trial/crowd"
	"carawaymux.dev/trial/fake"
)

// keeper is the task that owns the process of an entry: it sends signals to it and starts it again.
type keeper struct {
	entry *fake.Entry
	task  *task.Task[keeperMessage]
}

// keeperMessage is a fault of the process, or the end of a pause.
type keeperMessage struct {
	kind   Kind
	resume bool
	// downtime is the time between the end of the process and its next start.
	downtime time.Duration
	// memory is nil unless the message asks for the most that the process has held, which is 0 if there is none.
	memory chan<- int64
}

// keeperCore is the state of the task.
type keeperCore struct {
	recorder *recorder
	opened   *opened
	start    func() error
	// beforeStop is called before the signal of a planned stop.
	beforeStop func()
	entry      *fake.Entry
	// exited is the channel of the running process, or nil while there is none.
	exited <-chan struct{}
	// cause is the fault that ends the process, and signalAt when it was signalled; cause is empty while
	// the process is to run.
	cause    Kind
	signalAt time.Duration
	overdue  bool
	downtime time.Duration
	// stops and reloads are set while the process is to be stopped and to be told to reload. poll looks again whether it can
	// be. A stop waits until requests are open at the entry, or until stopBy.
	stops, reloads bool
	poll           <-chan time.Time
	stopBy         time.Duration
	// listens is set once the process has listened, and looks for that. Before, signals end it as they end any program that does
	// not handle them yet.
	listens bool
	looks   func() bool
	// send sends a signal to the process, and result returns the result of one that has ended.
	send   func(syscall.Signal) error
	result func() error
	// pauses counts the pauses that have not ended.
	pauses int
	// restart starts the next process, and grace ends the grace period of a stop.
	restart, grace <-chan time.Time
}

const (
	// crashDowntime is the time before an entry that ended by itself is started again.
	crashDowntime = time.Second
	// stopPatience is the time that a planned stop waits until requests are open at the entry, pollInterval the time
	// between two looks, and signalMargin the time that a look may take.
	stopPatience, pollInterval, signalMargin = time.Second, 4 * time.Millisecond, 10 * time.Millisecond
)

// startKeeper takes over an entry whose process runs.
func startKeeper(e *fake.Entry, r *recorder, o *opened, start func() error, beforeStop func()) *keeper {
	c := &keeperCore{
		recorder: r, opened: o, start: start, beforeStop: beforeStop, entry: e, exited: e.Proc().Exited(),
		looks: func() bool { return listens(e.ReadyAddress) }, send: func(s syscall.Signal) error { return e.Proc().Signal(s) },
		result: func() error { return e.Proc().Result() },
	}
	return &keeper{e, task.Start(c.run)}
}

// lookTimeout limits the time of a look whether a process listens.
const lookTimeout = 50 * time.Millisecond

// listens reports whether a process listens at an address.
func listens(address string) bool {
	c, err := net.DialTimeout("tcp", address, lookTimeout)
	if err != nil {
		return false
	}
	c.Close()
	return true
}

func (c *keeperCore) run(ctx context.Context, inbox <-chan keeperMessage) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-inbox:
			c.handle(m)
		case <-c.poll:
			c.attempt(ctx)
		case <-c.exited:
			c.processEnded()
		case <-c.restart:
			c.startAgain()
		case <-c.grace:
			c.graceOver()
		}
	}
}

// signal sends a signal to the process of the entry, if it runs. It can have ended at this moment.
func (c *keeperCore) signal(s syscall.Signal) {
	if c.exited != nil {
		_ = c.send(s)
	}
}

// memory returns the most that the process has held, or 0 if there is none.
func (c *keeperCore) memory() int64 {
	if c.exited == nil {
		return 0
	}
	return hostile.Highest(c.entry.Proc().PID())
}

func (c *keeperCore) handle(m keeperMessage) {
	switch {
	case m.memory != nil:
		m.memory <- c.memory()
	case c.exited == nil:
		// There is no process to harm.
	case m.resume:
		if c.pauses = max(c.pauses-1, 0); c.pauses == 0 {
			c.signal(syscall.SIGCONT)
		}
	case m.kind == Pause:
		c.pauses++
		c.signal(syscall.SIGSTOP)
	case m.kind == Reload:
		c.reloads, c.poll = true, time.After(0)
	case m.kind == Term && c.cause == "" && !c.stops:
		c.downtime, c.stopBy = m.downtime, c.recorder.now()+stopPatience
		c.stops, c.poll = true, time.After(0)
	case m.kind == Kill && c.cause != Kill:
		if c.cause == "" {
			c.signalAt = c.recorder.now()
		}
		c.cause, c.downtime, c.stops = Kill, m.downtime, false
		c.signal(syscall.SIGKILL)
	}
}

// attempt reloads or stops the process if it can be done now, and otherwise tries again soon.
func (c *keeperCore) attempt(ctx context.Context) {
	c.poll = nil
	c.listens = c.listens || c.looks()
	if c.listens && c.reloads {
		c.reloads = false
		c.signal(syscall.SIGHUP)
	}
	if c.listens && c.stops {
		c.stopWhenHeld(ctx)
	}
	if c.reloads || c.stops {
		c.poll = time.After(pollInterval)
	}
}

// stopWhenHeld sends the signal of a planned stop if requests are open at the entry that cannot end before it, or the
// patience is over.
func (c *keeperCore) stopWhenHeld(ctx context.Context) {
	at := c.recorder.now()
	held := c.opened.holds(ctx, c.entry.Name, at)
	if now := c.recorder.now(); now < c.stopBy && (!held || now-at > signalMargin) {
		return
	}
	c.cause, c.signalAt, c.stops = Term, at, false
	c.grace = time.After(fake.GracePeriod)
	c.beforeStop()
	c.signal(syscall.SIGTERM)
}

// graceOver kills the process, unless it has ended and its end has not been handled yet.
func (c *keeperCore) graceOver() {
	c.grace = nil
	select {
	case <-c.exited:
		c.processEnded()
	default:
		c.overdue = true
		c.signal(syscall.SIGKILL)
	}
}

// processEnded records the end of the process and schedules the next start.
func (c *keeperCore) processEnded() {
	e := Exit{Entry: c.entry.Name, At: c.recorder.now(), Cause: c.cause, SignalAt: c.signalAt, Overdue: c.overdue}
	if err := c.result(); err != nil {
		e.Error = err.Error()
	}
	if c.cause == "" {
		c.downtime = crashDowntime
	}
	c.recorder.add(func(h *History) { h.Exits = append(h.Exits, e) })
	c.exited, c.grace, c.poll, c.pauses = nil, nil, nil, 0
	c.stops, c.reloads, c.listens = false, false, false
	c.restart = time.After(c.downtime)
}

// startAgain starts the next process and records the window of the fault that ended the last one.
func (c *keeperCore) startAgain() {
	if err := c.start(); err != nil {
		c.restart = time.After(crashDowntime)
		return
	}
	if c.cause != "" {
		w := Window{Kind: c.cause, Target: c.entry.Name, From: c.signalAt, To: c.recorder.now()}
		c.recorder.add(func(h *History) { h.Windows = append(h.Windows, w) })
	}
	c.exited, c.restart = c.entry.Proc().Exited(), nil
	c.cause, c.overdue = "", false
}

// inject passes a fault to the process and returns the function that ends it.
func (k *keeper) inject(ctx context.Context, f Fault) (heal func(context.Context) error, err error) {
	if err := k.task.Send(ctx, keeperMessage{kind: f.Kind, downtime: f.For}); err != nil {
		return nil, err
	}
	return func(ctx context.Context) error {
		if f.Kind != Pause {
			return nil
		}
		return k.task.Send(ctx, keeperMessage{resume: true})
	}, nil
}
