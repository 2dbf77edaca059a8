package churn

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"carawaymux.dev/fleet/budget"
	"carawaymux.dev/fleet/fault"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/task"
	"carawaymux.dev/trial/faulty"
	"carawaymux.dev/trial/procs"
	"carawaymux.dev/trial/proxy"
	"carawaymux.dev/trial/site"
	"carawaymux.dev/trial/soak"
	"carawaymux.dev/trial/target"
)

const (
	zoneA, zoneB = "tp-a", "tp-b"
	// briefKind and longKind are the kinds of requests, each with a pool of its own. Long requests keep entries busy at each stop.
	briefKind, longKind = "brief", "long"
	briefTime, longTime = 30 * time.Millisecond, 700 * time.Millisecond
	// stopTimeout and drainDelay are the settings of entries.
	stopTimeout, drainDelay = 4 * time.Second, 500 * time.Millisecond
	// logDelay is the delay of each call while the log is slow.
	logDelay = 150 * time.Millisecond
	// slots is the number of slots of each target.
	slots = 16
)

// allowed lets one host of a pool be out of service.
var allowed = budget.Spec{MaxUnavailable: 1, MinAvailable: 1}

// plan returns the plan of a deployment.
func plan(o *Options) site.Plan {
	each := map[string]int{zoneA: o.Hosts, zoneB: o.Hosts}
	return site.Plan{
		Zones: []string{zoneA, zoneB}, EntriesPerZone: o.Entries, Slots: slots, ListLag: 100 * time.Millisecond, RebootDuration: 300 * time.Millisecond,
		Pools: []site.Pool{
			{Name: briefKind, Zones: each, Budget: allowed, RunTime: briefTime},
			{Name: longKind, Zones: each, Budget: allowed, RunTime: longTime},
		},
		Settings: map[string][]string{"entry": {"drain-delay = " + drainDelay.String(), "stop-timeout = " + stopTimeout.String()}},
	}
}

// layout names what faults can hit in a deployment.
func layout(o *Options) soak.Layout {
	var l soak.Layout
	for _, zone := range plan(o).Zones {
		for i := range o.Entries {
			l.Entries = append(l.Entries, fmt.Sprintf("%s-e%d", zone, i+1))
		}
		for _, kind := range []string{briefKind, longKind} {
			for i := range o.Hosts {
				l.Machines = append(l.Machines, fmt.Sprintf("%s-%s-%d", zone, kind, i+1))
			}
		}
	}
	for _, from := range l.Entries {
		for _, to := range append([]string{"log", "hosts"}, l.Entries...) {
			if to != from {
				l.Links = append(l.Links, soak.LinkName(from, to))
			}
		}
	}
	return l
}

// deployment is the task that owns the processes of entries and the history of a run.
type deployment struct {
	site      *site.Site
	links     map[string]*proxy.Link
	startedAt time.Time
	cuts      bool
	// waveTime is the time after the last fault in which waves have to be done.
	waveTime time.Duration
	task     *task.Task[func(*core)]
	// publishing counts the waves that are being published.
	publishing sync.WaitGroup
}

// core is the state of the task.
type core struct {
	deployment *deployment
	history    History
	wards      map[string]*ward
	// open holds the requests without an answer.
	open map[*Request]struct{}
	// active counts the faults of the log and of the host service that have not ended.
	active map[soak.Kind]int
}

// ward is an entry whose process the task owns.
type ward struct {
	entry *site.Entry
	// cause is the fault that ends the process, and signalAt when it was signalled; cause is empty while the process is to run.
	cause    soak.Kind
	signalAt time.Duration
	overdue  bool
	downtime time.Duration
	// stopBy is when a planned stop waits no longer for open requests; zero if none waits.
	stopBy time.Duration
	// runs is set while there is a process, pauses counts the pauses that have not ended.
	runs   bool
	pauses int
}

// inboxSize is the capacity of the task's inbox, in messages.
const inboxSize = 4096

// newDeployment starts a deployment whose processes write their logs to a folder.
func newDeployment(ctx context.Context, o *Options, dir string) (*deployment, error) {
	d := &deployment{links: map[string]*proxy.Link{}, startedAt: time.Now(), cuts: o.cuts, waveTime: cmp.Or(o.waveTime, waveTime)}
	s, err := site.New(plan(o), o.Bin, dir, site.WithProxy(d.addLink))
	if err != nil {
		return nil, err
	}
	d.site = s
	c := &core{deployment: d, wards: map[string]*ward{}, open: map[*Request]struct{}{}, active: map[soak.Kind]int{}}
	c.history.Runs = map[string]int{}
	d.task = task.Start(func(ctx context.Context, inbox <-chan func(*core)) {
		for {
			select {
			case <-ctx.Done():
				return
			case f := <-inbox:
				f(c)
			}
		}
	}, task.WithInbox(inboxSize))
	if err = s.Start(ctx); err == nil {
		err = s.Publish(ctx)
	}
	if err == nil {
		status, statusErr := s.Entries[0].Client.Status(ctx)
		if err = statusErr; err == nil {
			err = s.WaitForOffset(ctx, status.Offset)
		}
	}
	if err != nil {
		d.close()
		return nil, err
	}
	d.send(func(c *core) {
		for _, e := range s.Entries {
			c.wards[e.Name] = &ward{entry: e, runs: true}
			c.watch(c.wards[e.Name], e.Proc)
		}
	})
	return d, nil
}

// addLink starts the proxy of a link, once, and returns its address.
func (d *deployment) addLink(from, to, address string) (string, error) {
	name := soak.LinkName(from, to)
	if d.links[name] == nil {
		l, err := proxy.Start(address)
		if err != nil {
			return "", err
		}
		d.links[name] = l
	}
	return d.links[name].Address, nil
}

// now returns the time since the start of the history.
func (d *deployment) now() time.Duration { return time.Since(d.startedAt) }

// send passes a message to the task. It fails only once the task is closed.
func (d *deployment) send(f func(*core)) { _ = d.task.Send(context.Background(), f) }

// later passes a message to the task after a time.
func (d *deployment) later(wait time.Duration, f func(*core)) {
	time.AfterFunc(wait, func() { d.send(f) })
}

// close ends all processes and proxies.
func (d *deployment) close() {
	d.task.Close()
	d.site.Close()
	for _, l := range d.links {
		l.Close()
	}
}

const (
	// stopPatience is the time that a planned stop waits until requests are open at the entry, and lookInterval the time
	// between two looks. Requests that are open for long end after endMargin at the earliest.
	stopPatience, lookInterval, endMargin = time.Second, 4 * time.Millisecond, 100 * time.Millisecond
	// crashDowntime is the time before an entry that ended by itself is started again.
	crashDowntime = time.Second
	// cutTime is the time after SIGTERM after which processes are killed that are to break promises.
	cutTime = 100 * time.Millisecond
)

// holds reports whether a request is open at an entry that has been for longer than lossSlack and cannot end yet, since its
// target takes longTime.
func (c *core) holds(entry string, at time.Duration) bool {
	for r := range c.open {
		if r.Entry == entry && r.SentAt > 0 && at-r.SentAt > lossSlack && at-r.BeginAt < longTime-endMargin {
			return true
		}
	}
	return false
}

// lookTimeout limits the time of a look whether a process listens.
const lookTimeout = 50 * time.Millisecond

// listens reports whether a process listens at an address. Before, signals end it as they end any program that does not handle
// them yet.
func listens(address string) bool {
	conn, err := net.DialTimeout("tcp", address, lookTimeout)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// signal sends a signal to a process, if it runs. It can have ended at this moment.
func (w *ward) signal(s syscall.Signal) {
	if w.runs {
		_ = w.entry.Proc.Signal(s)
	}
}

// watch passes on the end of a process.
func (c *core) watch(w *ward, p *procs.Proc) {
	d := c.deployment
	go func() {
		<-p.Exited()
		d.send(func(c *core) { c.ended(w, p) })
	}()
}

// stop sends SIGTERM once requests are open at the entry, or the patience is over.
func (c *core) stop(w *ward) {
	d, at := c.deployment, c.deployment.now()
	switch {
	case !w.runs || w.cause != "" || w.stopBy == 0:
		return
	case !c.holds(w.entry.Name, at) && (at < w.stopBy || !listens(w.entry.HTTP)):
		d.later(lookInterval, func(c *core) { c.stop(w) })
		return
	}
	w.cause, w.signalAt, w.stopBy = soak.Term, at, 0
	p := w.entry.Proc
	w.signal(syscall.SIGTERM)
	limit := stopTimeout + stopMargin
	if d.cuts {
		limit = cutTime
	}
	d.later(limit, func(*core) {
		// The end of the process may not have been handled yet.
		if w.runs && w.entry.Proc == p && p.CheckRunning() == nil {
			w.overdue = true
			w.signal(syscall.SIGKILL)
		}
	})
}

// ended records the end of a process and schedules the next start.
func (c *core) ended(w *ward, p *procs.Proc) {
	d := c.deployment
	e := Exit{Entry: w.entry.Name, At: d.now(), Cause: w.cause, SignalAt: w.signalAt, Overdue: w.overdue}
	if err := p.Result(); err != nil {
		e.Error = err.Error()
	}
	c.history.Exits = append(c.history.Exits, e)
	if w.cause == "" {
		w.downtime = crashDowntime
	}
	w.runs, w.pauses, w.stopBy = false, 0, 0
	d.later(w.downtime, func(c *core) { c.startAgain(w) })
}

// startAgain starts the next process and records the window of the fault that ended the last one once it is ready.
func (c *core) startAgain(w *ward) {
	d := c.deployment
	if err := d.site.StartEntry(w.entry); err != nil {
		d.later(crashDowntime, func(c *core) { c.startAgain(w) })
		return
	}
	window := soak.Window{Kind: w.cause, Target: w.entry.Name, From: w.signalAt, To: d.now()}
	if w.cause != "" {
		c.history.Windows = append(c.history.Windows, window)
	}
	w.runs, w.cause, w.overdue = true, "", false
	c.watch(w, w.entry.Proc)
}

// begin starts a fault.
func (c *core) begin(f soak.Fault) {
	w := c.wards[f.Target]
	switch f.Kind {
	case soak.Term:
		if w.runs && w.cause == "" && w.stopBy == 0 {
			w.downtime, w.stopBy = f.For, c.deployment.now()+stopPatience
			c.stop(w)
		}
	case soak.Kill:
		if w.runs && w.cause != soak.Kill {
			if w.cause == "" {
				w.signalAt = c.deployment.now()
			}
			w.cause, w.downtime, w.stopBy = soak.Kill, f.For, 0
			w.signal(syscall.SIGKILL)
		}
	case soak.Pause:
		w.pauses++
		w.signal(syscall.SIGSTOP)
	}
}

// end ends a fault of a process.
func (c *core) end(f soak.Fault) {
	if w := c.wards[f.Target]; f.Kind == soak.Pause && w.pauses > 0 {
		if w.pauses--; w.pauses == 0 {
			w.signal(syscall.SIGCONT)
		}
	}
}

// action is the begin or the end of a fault.
type action struct {
	at  time.Duration
	run func(context.Context) error
}

// conduct carries out all faults and returns when the last one has ended.
func (d *deployment) conduct(ctx context.Context, schedule []soak.Fault) error {
	defer d.publishing.Wait()
	var actions []action
	start, active := d.now(), map[soak.Kind]int{}
	for i, f := range schedule {
		var from time.Duration
		actions = append(actions, action{f.At, func(ctx context.Context) error {
			from = d.now()
			return d.inject(ctx, f, i, active)
		}}, action{f.At + f.For, func(ctx context.Context) error {
			err := d.heal(ctx, f, i, active)
			window := soak.Window{Kind: f.Kind, Target: f.Target, From: from, To: d.now()}
			if f.Kind != soak.Term && f.Kind != soak.Kill {
				d.send(func(c *core) { c.history.Windows = append(c.history.Windows, window) })
			}
			return err
		}})
	}
	slices.SortStableFunc(actions, func(a, b action) int { return int(a.at - b.at) })
	for _, a := range actions {
		if !sleep(ctx, start+a.at-d.now()) {
			return ctx.Err()
		}
		if err := a.run(ctx); err != nil {
			return err
		}
	}
	return nil
}

// sleep waits for a time and reports whether it has passed before ctx was done.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// inject starts a fault.
func (d *deployment) inject(ctx context.Context, f soak.Fault, number int, active map[soak.Kind]int) error {
	switch f.Kind {
	case soak.Term, soak.Kill, soak.Pause:
		d.send(func(c *core) { c.begin(f) })
		return nil
	case soak.HostCrash:
		i := slices.IndexFunc(d.site.Targets, func(t *site.Target) bool { return t.Name == f.Target })
		if i < 0 {
			return fault.New("inject", f.Target, "there is no such target")
		}
		return d.site.SetBehaviour(ctx, d.site.Targets[i], target.Behaviour{DownMS: int(f.For.Milliseconds())})
	case soak.MaintenanceWave:
		d.publishing.Go(func() { d.publishWave(ctx, fmt.Sprintf("wave-%d", number)) })
		return nil
	case soak.StoreBusy, soak.StoreSlow, soak.MachinesDown:
		active[f.Kind]++
		return d.applyServiceFaults(ctx, active)
	}
	l := d.links[f.Target]
	if l == nil {
		return fault.New("inject", f.Target, "there is no such link")
	}
	return l.Inject(ctx, fmt.Sprint(number), soak.Toxics(f.Kind, number))
}

// heal ends a fault.
func (d *deployment) heal(ctx context.Context, f soak.Fault, number int, active map[soak.Kind]int) error {
	switch f.Kind {
	case soak.Term, soak.Kill, soak.HostCrash, soak.MaintenanceWave:
		return nil
	case soak.Pause:
		d.send(func(c *core) { c.end(f) })
		return nil
	case soak.StoreBusy, soak.StoreSlow, soak.MachinesDown:
		active[f.Kind]--
		return d.applyServiceFaults(ctx, active)
	}
	return d.links[f.Target].Heal(ctx, fmt.Sprint(number))
}

// applyServiceFaults sets the faults of the log and of the host service to those that are active.
func (d *deployment) applyServiceFaults(ctx context.Context, active map[soak.Kind]int) error {
	log := faulty.Faults{Outage: active[soak.StoreBusy] > 0}
	if active[soak.StoreSlow] > 0 {
		log.DelayMS = int(logDelay.Milliseconds())
	}
	return errors.Join(d.site.SetLogFaults(ctx, log), d.site.SetHostFaults(ctx, faulty.Faults{Outage: active[soak.MachinesDown] > 0}))
}

// ends returns what the entries say at the end of the faults.
func (d *deployment) ends(ctx context.Context, p *clients) []End {
	ctx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	var out []End
	for _, e := range d.site.Entries {
		out = append(out, p.end(ctx, e))
	}
	return out
}

// finish asks all entries what they know, waits for the waves, asks all targets what they know, and returns the history.
func (d *deployment) finish(ctx context.Context, p *clients) (*History, error) {
	ends := d.ends(ctx, p)
	waves := d.awaitWaves(ctx)
	ctx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	h, err := task.Call(ctx, d.task, func(reply chan<- History) func(*core) {
		return func(c *core) { reply <- c.history }
	})
	if err != nil {
		return nil, err
	}
	h.Ends, h.Waves, h.Pools = ends, waves, map[string][]string{}
	if h.Outages, err = d.outages(ctx); err != nil {
		return nil, err
	}
	for _, t := range d.site.Targets {
		h.Pools[t.Pool] = append(h.Pools[t.Pool], t.Name)
		stats, err := d.site.TargetStats(ctx, t)
		if err != nil {
			return nil, err
		}
		for id, n := range stats.Runs {
			h.Runs[id] += n
		}
	}
	return &h, nil
}

// accepted records that a record was accepted.
func (d *deployment) accepted(v record.Verdict, name string) {
	if v.Result == record.Accepted {
		d.send(func(c *core) { c.history.Accepted = append(c.history.Accepted, name) })
	}
}
