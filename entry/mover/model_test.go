package mover_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"

	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/claim"
	"carawaymux.dev/entry/duties"
	"carawaymux.dev/entry/feed"
	"carawaymux.dev/entry/mover"
	"carawaymux.dev/entry/owner"
	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

var errLost = errors.New("no answer")

// modelLink is the network between an entry and another process. Messages are late and get lost while it is unsteady, and none gets
// through while it is cut.
type modelLink struct {
	mu       sync.Mutex
	random   *rand.Rand
	cut      bool
	unsteady bool
	// slowest is how late a message of an unsteady link may be. One in slowShare is.
	slowest   time.Duration
	slowShare int
}

// draw returns how late the next message is, and whether it gets through.
func (l *modelLink) draw() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	late := time.Duration(1+l.random.IntN(5)) * time.Millisecond
	if l.cut {
		return late, false
	}
	if l.unsteady && l.random.IntN(l.slowShare) == 0 {
		late += time.Duration(l.random.Int64N(int64(l.slowest)))
	}
	return late, !l.unsteady || l.random.IntN(30) > 0
}

func (l *modelLink) set(cut, unsteady bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut, l.unsteady = cut, unsteady
}

// exchange carries out a call over a link. A request that has not arrived when ctx ends does not arrive any more.
func exchange[R any](ctx context.Context, l *modelLink, serve func() (R, error)) (R, error) {
	var none R
	pass := func() error {
		late, ok := l.draw()
		if !ok {
			<-ctx.Done()
		}
		select {
		case <-time.After(late):
			return ctx.Err()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if err := pass(); err != nil {
		return none, errors.Join(errLost, err)
	}
	answer, err := serve()
	if lost := pass(); lost != nil {
		return none, errors.Join(errLost, lost)
	}
	return answer, err
}

// modelStore is a store that fences writers off and knows their sequence numbers.
type modelStore struct {
	mu      sync.Mutex
	records map[port.Stream][]port.Record
	epochs  map[string]port.Writer
}

func (s *modelStore) append(stream port.Stream, records []port.Record, w *port.Writer, end int64) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := int64(len(s.records[stream]))
	if w != nil {
		last := s.epochs[w.Name]
		switch {
		case w.Epoch < last.Epoch:
			return 0, port.ErrFenced
		case w.Epoch == last.Epoch && w.Sequence > 0 && w.Sequence == last.Sequence:
			return at, nil
		case w.Epoch == last.Epoch && w.Sequence > 0 && w.Sequence != last.Sequence+1:
			return 0, &port.SequenceError{Expected: last.Sequence + 1}
		}
		s.epochs[w.Name] = *w
	}
	if end >= 0 && end != at {
		return 0, &port.EndMismatchError{End: at}
	}
	for _, r := range records {
		r.Offset = int64(len(s.records[stream]))
		s.records[stream] = append(s.records[stream], r)
	}
	return int64(len(s.records[stream])), nil
}

func (s *modelStore) newest(stream port.Stream) (port.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := map[string]int{}
	for i, r := range s.records[stream] {
		last[r.Key] = i
	}
	page := port.Page{End: int64(len(s.records[stream]))}
	for i, r := range s.records[stream] {
		if last[r.Key] == i && r.Value != nil {
			page.Records = append(page.Records, r)
		}
	}
	return page, nil
}

// storeView is the store as an entry sees it.
type storeView struct {
	store *modelStore
	link  *modelLink
}

func (v storeView) Append(ctx context.Context, s port.Stream, records []port.Record, w *port.Writer, end int64) (int64, error) {
	return exchange(ctx, v.link, func() (int64, error) { return v.store.append(s, records, w, end) })
}

// Read returns nothing: jobs come from callers only.
func (v storeView) Read(ctx context.Context, _ port.Stream, from int64, wait time.Duration) (port.Page, error) {
	select {
	case <-time.After(max(wait, time.Millisecond)):
		return port.Page{End: from}, nil
	case <-ctx.Done():
		return port.Page{}, ctx.Err()
	}
}

func (v storeView) Newest(ctx context.Context, s port.Stream, _ string) (port.Page, error) {
	return exchange(ctx, v.link, func() (port.Page, error) { return v.store.newest(s) })
}

// modelRun is a run on a host. It is at work from a time on, and ends by itself at another if that is not zero.
type modelRun struct {
	port.ActiveRun
	at, ends time.Time
}

// modelMachine is a machine with its present host.
type modelMachine struct {
	id    string
	pool  string
	life  int64
	since time.Time
	state port.MachineState
	// token is the highest that the host has seen, and deadline the end of its lease.
	token    int64
	deadline time.Time
	runs     map[string]*modelRun
	// refused holds the highest run of each task that was stopped or has ended.
	refused  map[string]int64
	finished []port.FinishedRun
	numbered int64
	holder   int64
	done     bool
}

func (m *modelMachine) host() string { return fmt.Sprintf("%s-life-%d", m.id, m.life) }

func (m *modelMachine) clock() int64 { return time.Since(m.since).Milliseconds() + 1 }

// restart begins the next life of the host.
func (m *modelMachine) restart() {
	m.life, m.since, m.state = m.life+1, time.Now(), port.MachineUp
	m.token, m.deadline, m.runs, m.refused, m.finished, m.numbered = 0, time.Time{}, map[string]*modelRun{}, map[string]int64{}, nil, 0
}

func (m *modelMachine) end(unit string, result port.Result) {
	r := m.runs[unit]
	delete(m.runs, unit)
	m.refused[unit] = r.Run
	m.numbered++
	m.finished = append(m.finished, port.FinishedRun{Number: m.numbered, Unit: unit, Run: r.Run, Result: result})
}

// model is an installation with one pool, whose owner and whose holder of machines change while machines go through a wave.
type model struct {
	t     *testing.T
	seed  uint64
	store *modelStore
	wave  port.Wave
	// config is the configuration of the owners.
	config *port.Config
	// mu guards what follows.
	mu       sync.Mutex
	machines map[string]*modelMachine
	// away holds the long-running tasks that an order has ended and that are not at work again.
	away map[string]bool
	// owner is the owner that the holder of the machines asks.
	owner  *owner.Owner
	owners []*owner.Owner
	// asked is the position of owner among the owners.
	asked int
	// vacated receives a value when a host was called empty, if that is waited for.
	vacated    chan struct{}
	violations []string
	events     []string
}

func (w *model) logf(format string, args ...any) {
	w.events = append(w.events, fmt.Sprintf("%s ", time.Now().Format("05.000"))+fmt.Sprintf(format, args...))
}

func (w *model) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
	w.logf("VIOLATION "+format, args...)
}

const (
	modelMachines    = 12
	modelLongRunning = 6
	// modelStartup is the time from the start of a long-running task until it is at work.
	modelStartup = 200 * time.Millisecond
	modelLease   = 5 * time.Second
	// modelMoveTime is the time from an order to move a machine until it is up again.
	modelMoveTime = time.Second
)

// update applies what has happened on a machine since the last call. mu is held.
func (w *model) update(m *modelMachine) {
	now := time.Now()
	for _, unit := range sortedUnits(m.runs) {
		r := m.runs[unit]
		switch {
		case now.After(m.deadline):
			m.end(unit, port.ResultLeaseExpired)
			w.logf("lapse %s run %d on %s", unit, r.Run, m.host())
		case !r.ends.IsZero() && now.After(r.ends):
			m.end(unit, port.ResultDone)
		case r.ends.IsZero() && now.After(r.at):
			r.ProgressPercent = 100
			delete(w.away, unit)
		}
	}
}

func sortedUnits(runs map[string]*modelRun) []string {
	var out []string
	for unit := range runs {
		out = append(out, unit)
	}
	slices.Sort(out)
	return out
}

// longRunning is the ID of the job whose tasks last.
const longRunning = "00000000000000ff"

// ordered checks the end of a run by an order (AVAIL). mu is held.
func (w *model) ordered(unit string, r *modelRun, by string) {
	if !r.ends.IsZero() || r.ProgressPercent < 100 {
		return
	}
	if len(w.away) > 0 {
		w.violate("AVAIL: %s run %d is ended by %s while %d others are away", unit, r.Run, by, len(w.away))
	}
	w.away[unit] = true
}

// modelHost is a host as an entry sees it.
type modelHost struct {
	port.HostClient
	world *model
	link  *modelLink
	id    string
}

type modelClients struct {
	world *model
	link  *modelLink
}

func (c modelClients) Open(h port.Host) port.HostClient {
	return modelHost{world: c.world, link: c.link, id: h.ID}
}

func (modelHost) Close() {}

// serve carries out a call on the host. It fails if the host has ended.
func serve[R any](ctx context.Context, h modelHost, do func(m *modelMachine) (R, error)) (R, error) {
	return exchange(ctx, h.link, func() (R, error) {
		w := h.world
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, m := range w.machines {
			if m.host() == h.id && m.state == port.MachineUp {
				w.update(m)
				return do(m)
			}
		}
		var none R
		return none, errLost
	})
}

// fence checks the token of a call. mu is held.
func (m *modelMachine) fence(token int64) error {
	if token < m.token {
		return &port.RefusedError{Reason: port.RefusedFence, Clock: m.clock()}
	}
	m.token = token
	return nil
}

func (m *modelMachine) extend(deadline int64) {
	if at := m.since.Add(time.Duration(deadline) * time.Millisecond); deadline > 0 && at.After(m.deadline) {
		m.deadline = at
	}
}

func (h modelHost) Start(ctx context.Context, o port.StartOrder) (int64, error) {
	return serve(ctx, h, func(m *modelMachine) (int64, error) {
		if err := m.fence(o.Token); err != nil {
			return 0, err
		}
		if m.clock() > o.Deadline {
			return 0, &port.RefusedError{Reason: port.RefusedDeadline, Clock: m.clock()}
		}
		if o.Run <= m.refused[o.Unit] {
			return 0, &port.RefusedError{Reason: port.RefusedStaleRun, Clock: m.clock()}
		}
		m.extend(o.Deadline)
		if m.runs[o.Unit] == nil {
			r := &modelRun{ActiveRun: port.ActiveRun{Unit: o.Unit, Run: o.Run}, at: time.Now().Add(modelStartup)}
			if o.Unit[:len(longRunning)] != longRunning {
				r.ends = time.Now().Add(400 * time.Millisecond)
			}
			m.runs[o.Unit] = r
			h.world.logf("start %s run %d on %s", o.Unit, o.Run, h.id)
		}
		return m.clock(), nil
	})
}

func (h modelHost) Stop(ctx context.Context, unit string, run, token int64) (int64, error) {
	return serve(ctx, h, func(m *modelMachine) (int64, error) {
		if err := m.fence(token); err != nil {
			return 0, err
		}
		if r := m.runs[unit]; r != nil && r.Run == run {
			h.world.logf("stop %s run %d on %s by epoch %d", unit, run, h.id, token)
			h.world.ordered(unit, r, fmt.Sprintf("a stop of epoch %d", token))
			m.end(unit, port.ResultStopped)
		}
		m.refused[unit] = max(m.refused[unit], run)
		return m.clock(), nil
	})
}

func (modelHost) Throttle(context.Context, string, int64, int, int64) error { return nil }

func (h modelHost) Heartbeat(ctx context.Context, b port.Heartbeat) (port.HostReport, error) {
	for end := time.Now().Add(b.Wait); ; {
		report, err := serve(ctx, h, func(m *modelMachine) (port.HostReport, error) {
			if err := m.fence(b.Token); err != nil {
				return port.HostReport{}, err
			}
			if b.Instance == m.life {
				m.extend(b.Deadline)
			}
			m.finished = slices.DeleteFunc(m.finished, func(f port.FinishedRun) bool { return f.Number <= b.Acked })
			report := port.HostReport{Clock: m.clock(), Born: m.life, Finished: slices.Clone(m.finished)}
			for _, unit := range sortedUnits(m.runs) {
				report.Running = append(report.Running, m.runs[unit].ActiveRun)
			}
			return report, nil
		})
		if err != nil || len(report.Finished) > 0 || time.Now().After(end) {
			return report, err
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// machineView is the machine service as an entry sees it.
type machineView struct {
	world *model
	link  *modelLink
}

func (v machineView) List(ctx context.Context) ([]port.Machine, error) {
	return exchange(ctx, v.link, func() ([]port.Machine, error) {
		v.world.mu.Lock()
		defer v.world.mu.Unlock()
		var out []port.Machine
		for _, m := range v.world.machines {
			row := port.Machine{ID: m.id, Pool: m.pool, State: m.state, Capacity: modelCapacity}
			if m.state == port.MachineUp {
				row.Host = m.host()
			}
			out = append(out, row)
		}
		return out, nil
	})
}

func (v machineView) Move(ctx context.Context, id, pool, _ string, epoch int64) (port.OrderOutcome, error) {
	return exchange(ctx, v.link, func() (port.OrderOutcome, error) { return v.world.move(id, pool, epoch), nil })
}

// move begins the move of a machine, which takes modelMoveTime.
func (w *model) move(id, pool string, epoch int64) port.OrderOutcome {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.machines[id]
	switch {
	case epoch < m.holder:
		return port.OrderFenced
	case m.state != port.MachineUp:
		return port.OrderBusy
	}
	m.holder = epoch
	w.update(m)
	w.logf("move of %s from %s to %s by epoch %d", m.host(), m.pool, pool, epoch)
	for _, unit := range sortedUnits(m.runs) {
		w.violate("the move of %s ends %s run %d", m.host(), unit, m.runs[unit].Run)
	}
	w.takeDown(m, port.MachineMoving, modelMoveTime)
	m.pool = pool
	return port.OrderDone
}

func (v machineView) StartMaintenance(ctx context.Context, id string, _ int64, _ string, epoch int64) (port.OrderOutcome, error) {
	return exchange(ctx, v.link, func() (port.OrderOutcome, error) {
		w := v.world
		w.mu.Lock()
		defer w.mu.Unlock()
		m := w.machines[id]
		switch {
		case epoch < m.holder:
			return port.OrderFenced, nil
		case m.done:
			return port.OrderDone, nil
		case m.state != port.MachineUp:
			return port.OrderBusy, nil
		}
		m.holder, m.done = epoch, true
		w.update(m)
		w.logf("maintenance of %s by epoch %d", m.host(), epoch)
		for _, unit := range sortedUnits(m.runs) {
			w.violate("the order for %s ends %s run %d", m.host(), unit, m.runs[unit].Run)
			w.ordered(unit, m.runs[unit], "maintenance")
		}
		w.takeDown(m, port.MachineMaintenance, time.Second)
		return port.OrderDone, nil
	})
}

// takeDown ends the host of a machine, which is up again after a time. mu is held.
func (w *model) takeDown(m *modelMachine, state port.MachineState, d time.Duration) {
	gone := m.host()
	m.state = state
	w.announce(feed.Change[port.Host]{Key: gone})
	time.AfterFunc(d, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		m.restart()
		w.logf("%s is up", m.host())
		w.announce(feed.Change[port.Host]{Key: m.host(), Value: w.entry(m), Present: true})
	})
}

var modelCapacity = batch.Size{MilliCores: 4000, MemoryMB: 4000}

func (w *model) entry(m *modelMachine) port.Host {
	return port.Host{ID: m.host(), Address: m.host(), Pool: m.pool, Capacity: modelCapacity, Born: m.life}
}

// announce tells all owners of a change of the list of hosts. mu is held.
func (w *model) announce(c feed.Change[port.Host]) {
	for _, o := range w.owners {
		time.AfterFunc(100*time.Millisecond, func() { _ = o.UpdateHosts(w.t.Context(), []feed.Change[port.Host]{c}) })
	}
}

// modelEntry is an entry with its links.
type modelEntry struct {
	store, hosts, machines, peers *modelLink
}

func (w *model) newEntry(number uint64) *modelEntry {
	link := func(n uint64, slowest time.Duration, slowShare int) *modelLink {
		return &modelLink{random: rand.New(rand.NewPCG(w.seed, number*10+n)), unsteady: true, slowest: slowest, slowShare: slowShare}
	}
	const usual = 400 * time.Millisecond
	return &modelEntry{link(1, usual, 10), link(2, usual, 10), link(3, 2*usual, 2), link(4, usual/4, 10)}
}

var modelLogs = slog.New(slog.NewJSONHandler(io.Discard, nil))

// claimPool has an entry claim the pool and start its owner.
func (w *model) claimPool(ctx context.Context, e *modelEntry, pool string) (*owner.Owner, error) {
	log := storeView{w.store, e.store}
	acquired, err := claim.Acquire(ctx, log, pool, "e", time.Now().UnixNano(), 4)
	if err != nil {
		return nil, err
	}
	stored, err := owner.ReadState(ctx, acquired)
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	var hosts []port.Host
	for _, m := range w.machines {
		if m.state == port.MachineUp {
			hosts = append(hosts, w.entry(m))
		}
	}
	w.logf("epoch %d owns the pool, hosts called empty: %d", acquired.Epoch, len(stored.Granted))
	o := owner.Start(
		owner.Settings{Partitions: 4, HeartbeatWait: time.Second, Timing: shard.Timing{
			Lease: modelLease, MaxLease: 2 * modelLease, Grace: 3 * time.Second, StopTimeout: 900 * time.Millisecond, Retention: time.Minute,
		}},
		owner.Deps{Log: log, HostClients: modelClients{w, e.hosts}, Machines: machineView{w, e.machines}, Logger: modelLogs},
		acquired, stored, w.config, hosts)
	w.owners = append(w.owners, o)
	return o, nil
}

var modelConfig = &port.Config{
	Queues: []port.Queue{{Name: "q", Pool: "busy", MaxAttempts: 100}}, Pools: []port.Pool{{Name: "busy", EnforcesCapacity: false}},
}

// holdMachines has an entry claim the machines and start their holder.
func (w *model) holdMachines(ctx context.Context, e *modelEntry) (duties.Holder, error) {
	log := storeView{w.store, e.store}
	acquired, err := claim.Acquire(ctx, log, mover.ClaimName, "h", time.Now().UnixNano(), 4)
	if err != nil {
		return nil, err
	}
	start, err := mover.Starter(mover.Settings{Holder: "h", Term: 3 * time.Second}, mover.Deps{
		Machines: machineView{w, e.machines}, Operators: discardReports{}, Logger: modelLogs,
		Waves: func() []port.Wave { return []port.Wave{w.wave} },
		Load: func(ctx context.Context, _ string) (owner.Answer, bool) {
			<-ctx.Done()
			return owner.Answer{}, false
		},
		Release: func(ctx context.Context, _ string, hosts []string, order shard.LeaveOrder) bool {
			_, err := exchange(ctx, e.peers, func() (owner.Answer, error) {
				w.mu.Lock()
				o := w.owner
				w.mu.Unlock()
				return o.Release(ctx, hosts, order), nil
			})
			return err == nil
		},
		Vacate: func(ctx context.Context, _, host string, order shard.LeaveOrder) (owner.Answer, bool) {
			a, err := exchange(ctx, e.peers, func() (owner.Answer, error) {
				w.mu.Lock()
				o := w.owner
				w.mu.Unlock()
				a := o.Vacate(ctx, host, order)
				if a.Vacant {
					w.mu.Lock()
					w.logf("%s is called empty: %s", host, a.Outcome)
					w.mu.Unlock()
					select {
					case w.vacated <- struct{}{}:
					default:
					}
				}
				return a, nil
			})
			return a, err == nil && a.Outcome != owner.Refused
		},
	})(ctx, acquired)
	if err != nil {
		return nil, err
	}
	return start(modelConfig, nil), nil
}

// submitWork submits a short job every 100 ms until ctx ends.
func (w *model) submitWork(ctx context.Context) {
	for n := 1; ctx.Err() == nil; n++ {
		w.mu.Lock()
		o := w.owners[len(w.owners)-1]
		w.mu.Unlock()
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		o.Submit(callCtx, modelConfig.Queues[0], fmt.Sprintf("%016x", n), batch.Spec{Queue: "q", Steps: []batch.Step{
			{Count: 9, Need: batch.Size{MilliCores: 1000, MemoryMB: 10}, Estimate: 400 * time.Millisecond},
		}})
		cancel()
		time.Sleep(100 * time.Millisecond)
	}
}

// repeat repeats a call until it succeeds.
func repeat[R any](t *testing.T, call func() (R, error)) R {
	t.Helper()
	var err error
	for range 100 {
		var r R
		if r, err = call(); err == nil {
			return r
		}
		time.Sleep(100 * time.Millisecond)
	}
	require.NoError(t, err)
	panic("unreachable")
}

// runModel plays a seed and returns the violations of the rules.
func runModel(t *testing.T, seed uint64) *model {
	random := rand.New(rand.NewPCG(seed, 0))
	w := &model{
		t: t, seed: seed, config: modelConfig, store: &modelStore{records: map[port.Stream][]port.Record{}, epochs: map[string]port.Writer{}},
		machines: map[string]*modelMachine{}, away: map[string]bool{}, vacated: make(chan struct{}),
	}
	w.wave = port.Wave{Number: 1, TimeLimit: 30 * time.Second, MaxDown: 3}
	for i := range modelMachines {
		m := &modelMachine{id: fmt.Sprintf("m-%02d", i), pool: "busy"}
		m.restart()
		w.machines[m.id] = m
		w.wave.Machines = append(w.wave.Machines, m.id)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	between := func(from, to time.Duration) time.Duration { return from + time.Duration(random.Int64N(int64(to-from))) }

	first := w.newEntry(1)
	o := repeat(t, func() (*owner.Owner, error) { return w.claimPool(ctx, first, "busy") })
	w.owner = o
	o.Submit(ctx, modelConfig.Queues[0], longRunning, batch.Spec{Queue: "q", Steps: []batch.Step{{
		Count: modelLongRunning, Need: batch.Size{MilliCores: 2000, MemoryMB: 10}, Estimate: time.Second, LongRunning: true, PerHost: 1, MaxUnavailable: 1,
	}}})
	workCtx, endWork := context.WithCancel(ctx)
	defer endWork()
	go w.submitWork(workCtx)
	time.Sleep(3 * time.Second)
	entries := []*modelEntry{first, w.newEntry(2), w.newEntry(3), w.newEntry(4)}
	holderEntry := entries[random.IntN(2)]
	holders := []duties.Holder{repeat(t, func() (duties.Holder, error) { return w.holdMachines(ctx, holderEntry) })}
	for i, next := range entries[1:] {
		time.Sleep(between(500*time.Millisecond, 3*time.Second))
		earlier := entries[i]
		if random.IntN(2) == 0 {
			// The entry is cut off from the store, and may be from hosts and the machine service, too.
			earlier.store.set(true, true)
			earlier.hosts.set(random.IntN(2) == 0, true)
			if random.IntN(2) == 0 {
				earlier.machines.set(true, true)
			}
			time.AfterFunc(between(time.Second, 5*time.Second), func() {
				earlier.store.set(false, true)
				earlier.hosts.set(false, true)
				earlier.machines.set(false, true)
			})
			time.Sleep(between(0, 2*time.Second))
		} else {
			// Another entry claims the pool when its owner has just called a host empty.
			select {
			case <-w.vacated:
			case <-time.After(3 * time.Second):
			}
			time.Sleep(between(0, 20*time.Millisecond))
		}
		o := repeat(t, func() (*owner.Owner, error) { return w.claimPool(ctx, next, "busy") })
		// The holder of the machines learns of the new owner later.
		time.AfterFunc(between(0, 1500*time.Millisecond), func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if i >= w.asked {
				w.asked, w.owner = i, o
			}
		})
		if random.IntN(3) == 0 {
			holders = append(holders, repeat(t, func() (duties.Holder, error) { return w.holdMachines(ctx, next) }))
		}
		if random.IntN(3) == 0 {
			w.mu.Lock()
			if m := w.machines[fmt.Sprintf("m-%02d", random.IntN(modelMachines))]; m.state == port.MachineUp {
				w.logf("crash of %s", m.host())
				w.takeDown(m, port.MachineDown, between(200*time.Millisecond, 2*time.Second))
			}
			w.mu.Unlock()
		}
	}
	for _, e := range entries {
		for _, l := range []*modelLink{e.store, e.hosts, e.machines, e.peers} {
			l.set(false, false)
		}
	}
	endWork()
	time.Sleep(w.wave.TimeLimit)
	cancel()
	for _, h := range holders {
		h.Close()
	}
	w.mu.Lock()
	owners := w.owners
	w.mu.Unlock()
	for _, o := range owners {
		o.Close()
	}
	time.Sleep(5 * time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.machines {
		if !m.done {
			w.violate("%s has had no maintenance", m.id)
		}
	}
	return w
}

// Guards against long-running tasks that an order ends while others are away, and against any work that an order for a machine
// ends (AVAIL): owners and holders of the machines change while messages are late and get lost.
func TestOrdersForMachinesEndNoWork(t *testing.T) {
	for seed := range *modelSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := runModel(t, seed)
				if len(w.violations) > 0 {
					for _, line := range w.events {
						t.Log(line)
					}
				}
				require.Empty(t, w.violations)
			})
		})
	}
}

var modelSeeds = flag.Uint64("model-seeds", 30, "number of seeds of the model of owners and holders of machines")
