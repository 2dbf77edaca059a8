// Package mover is the task that orders machines about: it takes them through the
// waves of maintenance that operators ask for. One entry holds it, by a claim.
package mover

import (
	"context"
	"errors"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"carawaymux.dev/entry/claim"
	"carawaymux.dev/entry/duties"
	"carawaymux.dev/entry/feed"
	"carawaymux.dev/entry/owner"
	"carawaymux.dev/entry/stats"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/sizing"
	"carawaymux.dev/fleet/task"
	"carawaymux.dev/fleet/upkeep"
)

// ClaimName is what is claimed; no pool has it.
const ClaimName = "*machines"

const (
	// roundInterval is the time between rounds.
	roundInterval = 250 * time.Millisecond
	// loadAnswerTimeout is how long a plan waits for the owners of pools; one that
	// does not answer holds up no others. Answers take a few milliseconds.
	loadAnswerTimeout = 60 * time.Millisecond
	// listInterval is the shortest time between two looks at the list of machines.
	listInterval = 500 * time.Millisecond
	// callTimeout bounds one call to the platform, and askTimeout one question to
	// the owner of a pool, which must not hold up the others.
	callTimeout = 900 * time.Millisecond
	askTimeout  = 250 * time.Millisecond
	// lateOrderMargin is the part of the wait for an earlier holder's orders after which
	// none of them can still be carried out: a holder that has not been confirmed for
	// a term less callTimeout begins none.
	lateOrderMargin = callTimeout - askTimeout
	// confirmInterval is how long the claim goes without a write that confirms it.
	confirmInterval = 800 * time.Millisecond
	// reportBackoff is the time before a report is written again that was not
	// answered.
	reportBackoff = time.Second
)

// Deps are the services that the mover uses.
type Deps struct {
	Machines  port.Machines
	Operators port.Operators
	Logger    *slog.Logger
	// Stats may be nil.
	Stats *stats.Set
	// Waves returns the waves that operators have published; the list is never
	// changed once returned.
	Waves func() []port.Wave
	// Vacate asks the owner of a pool to empty a host, and reports false when it
	// could not be asked.
	Vacate func(ctx context.Context, pool, host string) (owner.Answer, bool)
	// Load asks the owner of a pool what it has to do.
	Load func(ctx context.Context, pool string) (owner.Answer, bool)
}

// Settings are what the mover is told at the start.
type Settings struct {
	// Holder names this entry in orders for machines.
	Holder string
	// Term is how long the orders of one holder keep those of others off.
	Term time.Duration
}

// Mover orders machines about. Use [Starter] to build it.
type Mover struct {
	task *task.Task[message]
	lost chan struct{}
}

type message interface{ handle(c *core) }

type (
	configChange struct{ config *port.Config }
	writeResult  struct{ claim.WriteResult }
	// reportResult is what came of telling operators of a wave.
	reportResult struct {
		wave *upkeep.Wave
		done bool
		err  error
	}
)

// core is the state of the task.
type core struct {
	mover    *Mover
	settings Settings
	deps     Deps
	logger   *slog.Logger
	claim    *claim.Claim
	writer   *claim.Writer
	// orderableAt holds from when on the machines may be ordered about that an orderableAt
	// holder may have ordered: its orders have to be a term old.
	orderableAt map[string]time.Time
	// authorized holds the machines that the store knows may be ordered, and when they
	// were last wanted; authorizing holds those of the write under way.
	authorized, authorizing map[string]time.Time
	confirmedAt             time.Time
	writing                 bool
	unwritten               []port.Entry
	stored                  storedState
	waves                   map[int64]*upkeep.Wave
	// reportedAt holds when operators were last reportedAt of a wave in vain; the zero time once
	// they know that it runs. telling holds the waves that they are being reportedAt of.
	reportedAt map[int64]time.Time
	reporting  map[int64]bool
	standby    map[string]bool
	pools      []string
	// machines is the newest list with what has been ordered since; listed is when
	// it was asked for.
	machines map[string]port.Machine
	listedAt time.Time
	listing  bool
	// orderedStateAt holds when a machine was last ordered into another state; older lists
	// do not show it.
	orderedStateAt  map[string]time.Time
	fenced          bool
	listFailed      bool
	newlyAuthorized bool
	toAuthorize     []string
	sizing          *sizing.State
	moves           map[string]move
	// stepInFlight holds the machines that are being looked at beside the task.
	stepInFlight map[string]bool
	// planDue says that the plan of this round has not been made yet.
	planDue bool
	// loadAnswers holds what the owners have last said; asking holds the pools whose owner
	// is being asked.
	loadAnswers  map[string]loadAnswer
	loadInFlight map[string]bool
	// orderedAt holds when a machine was last ordered about.
	orderedAt map[string]time.Time
	// background counts what runs background the task and ends with it.
	background sync.WaitGroup
}

// Starter returns how to start the mover from a claim that was won.
func Starter(s Settings, d Deps) duties.Starter {
	return func(ctx context.Context, won *claim.Claim) (duties.Begin, error) {
		k, err := readStored(ctx, won)
		return func(config *port.Config, _ []port.Host) duties.Holder { return start(s, d, won, k, config) }, err
	}
}

func start(s Settings, d Deps, won *claim.Claim, k storedState, config *port.Config) *Mover {
	m := &Mover{lost: make(chan struct{})}
	c := &core{
		mover: m, settings: s, deps: d, claim: won, stored: k, confirmedAt: won.ConfirmedAt,
		orderableAt: k.orderableAt(time.Now(), s.Term+callTimeout),
		logger:      d.Logger.With("holder", s.Holder, "epoch", won.Epoch),
		waves:       map[int64]*upkeep.Wave{}, reportedAt: map[int64]time.Time{}, reporting: map[int64]bool{},
		standby: map[string]bool{}, authorized: map[string]time.Time{}, orderedStateAt: map[string]time.Time{},
		sizing: sizing.NewState(), moves: map[string]move{}, stepInFlight: map[string]bool{},
		loadAnswers: map[string]loadAnswer{}, loadInFlight: map[string]bool{}, orderedAt: map[string]time.Time{},
	}
	if config != nil {
		configChange{config}.handle(c)
	}
	m.task = task.Start(c.run, task.WithInbox(inboxSize))
	return m
}

// inboxSize is the number of messages that wait for the mover.
const inboxSize = 256

// Configure implements [duties.Holder].
func (m *Mover) Configure(ctx context.Context, c *port.Config) error {
	return m.task.Send(ctx, configChange{c})
}

// UpdateHosts implements [duties.Holder]; the mover looks at machines, not at hosts.
func (m *Mover) UpdateHosts(context.Context, []feed.Change[port.Host]) error { return nil }

// Lost implements [duties.Holder].
func (m *Mover) Lost() <-chan struct{} { return m.lost }

// Close implements [duties.Holder].
func (m *Mover) Close() { m.task.Close() }

func (c *core) run(ctx context.Context, inbox <-chan message) {
	ctx, cancel := context.WithCancel(ctx)
	c.writer = claim.NewWriter(c.claim, func(ctx context.Context, w claim.WriteResult) { c.post(ctx, writeResult{w}) })
	roundTimer, answerTimer := time.NewTimer(0), time.NewTimer(0)
	defer roundTimer.Stop()
	defer answerTimer.Stop()
	for !c.fenced && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case m := <-inbox:
			m.handle(c)
			if c.newlyAuthorized {
				// What waited to be armed need not wait for the next round.
				c.newlyAuthorized = false
				c.stepMachines(ctx, time.Now())
			}
			if c.planDue && len(c.loadInFlight) == 0 {
				c.plan(ctx)
			}
		case <-answerTimer.C:
			if c.planDue {
				c.plan(ctx)
			}
		case <-roundTimer.C:
			c.startRound(ctx)
			roundTimer.Reset(roundInterval)
			answerTimer.Reset(loadAnswerTimeout)
		}
		c.write()
	}
	cancel()
	c.background.Wait()
	c.writer.Close()
	if c.fenced {
		close(c.mover.lost)
		return
	}
	c.handOver()
}

// post puts a message into the mover's own inbox; it waits for room.
func (c *core) post(ctx context.Context, m message) {
	if err := c.mover.task.Send(ctx, m); err != nil && ctx.Err() == nil {
		c.logger.Debug("message after the end", "err", err)
	}
}

// runInBackground runs something beside the task, bounded in time, and posts its outcome.
func (c *core) runInBackground(ctx context.Context, bound time.Duration, do func(context.Context) message) {
	c.background.Go(func() {
		call, cancel := context.WithTimeout(ctx, bound)
		m := do(call)
		cancel()
		c.post(ctx, m)
	})
}

func (m configChange) handle(c *core) {
	c.standby, c.pools = map[string]bool{}, nil
	for _, p := range m.config.Pools {
		c.standby[p.Name] = p.Standby
		c.pools = append(c.pools, p.Name)
	}
}

func (m writeResult) handle(c *core) {
	c.writing = false
	if m.Err != nil {
		c.fenced = errors.Is(m.Err, claim.ErrLost)
		return
	}
	c.confirmedAt = m.Sent
	if c.authorizing != nil {
		c.newlyAuthorized = len(c.authorizing) > len(c.authorized)
		c.authorized, c.authorizing = c.authorizing, nil
	}
}

// write keeps the claim confirmed and writes what has begun.
func (c *core) write() {
	now := time.Now()
	if c.writing || (len(c.unwritten)+len(c.toAuthorize) == 0 && now.Sub(c.confirmedAt) < confirmInterval) {
		return
	}
	c.authorizing = map[string]time.Time{}
	for id, at := range c.authorized {
		if now.Sub(at) < c.settings.Term+callTimeout {
			c.authorizing[id] = at
		}
	}
	for _, id := range c.toAuthorize {
		c.authorizing[id] = now
	}
	entries := append(c.unwritten, authorizedEntry(c.authorizing))
	c.unwritten, c.toAuthorize = nil, nil
	c.writing = c.writer.Write(entries)
}

// mayOrder reports whether a machine may be ordered about. The claim has to be
// confirmed so lately that no other holder can be past its wait, and the store has to
// know that this holder may order the machine. A machine that is not armed will be.
// The list has to show all that an earlier holder has ordered.
func (c *core) mayOrder(machine string, now time.Time) bool {
	if now.Sub(c.confirmedAt) > c.settings.Term-callTimeout {
		return false
	}
	if at, ok := c.orderableAt[machine]; ok && (now.Before(at) || c.listedAt.Before(at.Add(-lateOrderMargin))) {
		return false
	}
	_, ok := c.authorized[machine]
	return ok
}

// authorize wants machines to be armed.
func (c *core) authorize(machine string, now time.Time) {
	if at, ok := c.authorized[machine]; !ok || now.Sub(at) > confirmInterval {
		c.toAuthorize = append(c.toAuthorize, machine)
	}
}

// startRound asks for what the next plan goes by. It waits for nothing: calls run beside the
// task.
func (c *core) startRound(ctx context.Context) {
	now := time.Now()
	c.addWaves(now)
	for _, w := range c.waves {
		c.reportWave(ctx, w, now)
	}
	c.listMachines(ctx, now)
	c.askLoads(ctx)
	c.planDue = true
}

// plan decides what to do with the machines, and begins it.
func (c *core) plan(ctx context.Context) {
	c.planDue = false
	if c.listFailed || c.machines == nil {
		return
	}
	now := time.Now()
	for _, w := range c.openWaves() {
		c.chooseMachines(w, now)
	}
	c.planMoves(now)
	c.stepMachines(ctx, now)
}

// openWaves lists the waves that are not completed.
func (c *core) openWaves() []*upkeep.Wave {
	var out []*upkeep.Wave
	for _, w := range c.waves {
		if !w.Completed {
			out = append(out, w)
		}
	}
	return out
}

// stepMachines takes the machines further that are to be moved or maintained.
func (c *core) stepMachines(ctx context.Context, now time.Time) {
	for _, w := range c.openWaves() {
		for id := range w.Emptying {
			c.stepMaintenance(ctx, w, c.machines[id], now)
		}
	}
	for _, m := range c.moves {
		c.stepMove(ctx, m.Move, now)
	}
}

// beginStep says that a machine is looked at from now on, and whether it may be ordered
// about. It reports false while it is already being looked at.
func (c *core) beginStep(machine string, now time.Time) (mayOrder, ok bool) {
	if c.stepInFlight[machine] {
		return false, false
	}
	c.stepInFlight[machine] = true
	c.authorize(machine, now)
	mayOrder = c.mayOrder(machine, now)
	if mayOrder {
		c.orderedAt[machine] = now
	}
	return mayOrder, true
}

// addWaves takes in waves that were published.
func (c *core) addWaves(now time.Time) {
	for _, w := range c.deps.Waves() {
		if c.waves[w.Number] != nil {
			continue
		}
		age, recorded := c.stored.waveAge(&w, now)
		if !recorded {
			age = 0
			c.unwritten = append(c.unwritten, seenEntry(&w, now))
		}
		added := upkeep.NewWave(w, now.Add(-age))
		for _, m := range w.Machines {
			if c.stored.begun[begunKey(w.Number, m)] {
				added.Begun[m] = true
			}
		}
		c.waves[w.Number] = added
		c.logger.Info("wave seen", "wave", w.Number, "machines", len(w.Machines), "cap", w.Cap, "begun", len(added.Begun),
			"age-ms", age.Milliseconds())
	}
}

func begunKey(wave int64, machine string) string {
	return strconv.FormatInt(wave, 10) + "/" + machine
}

// reportWave tells operators of a wave, once running and once completed.
func (c *core) reportWave(ctx context.Context, w *upkeep.Wave, now time.Time) {
	done := len(w.Left()) == 0 && c.allWritten()
	at, reported := c.reportedAt[w.Number]
	running := reported && at.IsZero()
	if w.Completed || c.reporting[w.Number] || (running && !done) || (reported && !running && now.Sub(at) < reportBackoff) {
		return
	}
	c.reporting[w.Number] = true
	c.runInBackground(ctx, callTimeout, func(ctx context.Context) message {
		return reportResult{w, done, c.deps.Operators.ReportWave(ctx, w.Number, done)}
	})
}

func (m reportResult) handle(c *core) {
	w := m.wave
	delete(c.reporting, w.Number)
	if m.err != nil {
		c.reportedAt[w.Number] = time.Now()
		c.logger.Warn("wave not reported", "wave", w.Number, "err", m.err)
		return
	}
	c.reportedAt[w.Number] = time.Time{}
	w.Completed = m.done
	if m.done {
		c.logger.Info("wave completed", "wave", w.Number, "took-ms", time.Since(w.Seen).Milliseconds())
	}
}

// allWritten reports whether the store knows all that has begun.
func (c *core) allWritten() bool { return len(c.unwritten) == 0 && !c.writing }
