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
	// answersWithin is how long a plan waits for the owners of pools; one that
	// does not answer holds up no others. Answers take a few milliseconds.
	answersWithin = 60 * time.Millisecond
	// listInterval is the shortest time between two looks at the list of machines.
	listInterval = 500 * time.Millisecond
	// callTimeout bounds one call to the platform, and askTimeout one question to
	// the owner of a pool, which must not hold up the others.
	callTimeout = 900 * time.Millisecond
	askTimeout  = 250 * time.Millisecond
	// lateOrders is the part of the wait for an earlier holder's orders after which
	// none of them can still be carried out: a holder that has not been confirmed for
	// a term less callTimeout begins none.
	lateOrders = callTimeout - askTimeout
	// renewAfter is how long the claim goes without a write that confirms it.
	renewAfter = 800 * time.Millisecond
	// reportAgain is the time before a report is written again that was not
	// answered.
	reportAgain = time.Second
)

// Deps are the services that the mover uses.
type Deps struct {
	Machines  port.MachineService
	Operators port.WaveReporter
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
	configured struct{ config *port.Config }
	written    struct{ claim.WriteResult }
	// reported is what came of telling operators of a wave.
	reported struct {
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
	// earlier holds from when on the machines may be ordered about that an earlier
	// holder may have ordered: its orders have to be a term old.
	earlier map[string]time.Time
	// armed holds the machines that the store knows may be ordered, and when they
	// were last wanted; arming holds those of the write under way.
	armed, arming map[string]time.Time
	confirmed     time.Time
	writing       bool
	pending       []port.Record
	kept          kept
	waves         map[int64]*upkeep.Wave
	// told holds when operators were last told of a wave in vain; the zero time once
	// they know that it runs. telling holds the waves that they are being told of.
	told    map[int64]time.Time
	telling map[int64]bool
	standby map[string]bool
	pools   []string
	// machines is the newest list with what has been ordered since; listed is when
	// it was asked for.
	machines map[string]port.Machine
	listed   time.Time
	listing  bool
	// changed holds when a machine was last ordered into another state; older lists
	// do not show it.
	changed   map[string]time.Time
	shutOut   bool
	cloudDown bool
	rearmed   bool
	toArm     []string
	sizes     *sizing.State
	moving    map[string]move
	// stepping holds the machines that are being looked at beside the task.
	stepping map[string]bool
	// waiting says that the plan of this round has not been made yet.
	waiting bool
	// loads holds what the owners have last said; asking holds the pools whose owner
	// is being asked.
	loads  map[string]loaded
	asking map[string]bool
	// sent holds when a machine was last ordered about.
	sent map[string]time.Time
	// beside counts what runs beside the task and ends with it.
	beside sync.WaitGroup
}

// Starter returns how to start the mover from a claim that was won.
func Starter(s Settings, d Deps) duties.Starter {
	return func(ctx context.Context, won *claim.Claim) (duties.Begin, error) {
		k, err := load(ctx, won)
		return func(config *port.Config, _ []port.Host) duties.Holder { return start(s, d, won, k, config) }, err
	}
}

func start(s Settings, d Deps, won *claim.Claim, k kept, config *port.Config) *Mover {
	m := &Mover{lost: make(chan struct{})}
	c := &core{
		mover: m, settings: s, deps: d, claim: won, kept: k, confirmed: won.ConfirmedAt,
		earlier: k.free(time.Now(), s.Term+callTimeout),
		logger:  d.Logger.With("holder", s.Holder, "epoch", won.Epoch),
		waves:   map[int64]*upkeep.Wave{}, told: map[int64]time.Time{}, telling: map[int64]bool{},
		standby: map[string]bool{}, armed: map[string]time.Time{}, changed: map[string]time.Time{},
		sizes: sizing.NewState(), moving: map[string]move{}, stepping: map[string]bool{},
		loads: map[string]loaded{}, asking: map[string]bool{}, sent: map[string]time.Time{},
	}
	if config != nil {
		configured{config}.handle(c)
	}
	m.task = task.Start(c.run, task.WithInbox(moverInbox))
	return m
}

// moverInbox is the number of messages that wait for the mover.
const moverInbox = 256

// Configure implements [duties.Holder].
func (m *Mover) Configure(ctx context.Context, c *port.Config) error {
	return m.task.Send(ctx, configured{c})
}

// UpdateHosts implements [duties.Holder]; the mover looks at machines, not at hosts.
func (m *Mover) UpdateHosts(context.Context, []feed.Change[port.Host]) error { return nil }

// Lost implements [duties.Holder].
func (m *Mover) Lost() <-chan struct{} { return m.lost }

// Close implements [duties.Holder].
func (m *Mover) Close() { m.task.Close() }

func (c *core) run(ctx context.Context, inbox <-chan message) {
	ctx, cancel := context.WithCancel(ctx)
	c.writer = claim.NewWriter(c.claim, func(ctx context.Context, w claim.WriteResult) { c.post(ctx, written{w}) })
	round, answers := time.NewTimer(0), time.NewTimer(0)
	defer round.Stop()
	defer answers.Stop()
	for !c.shutOut && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case m := <-inbox:
			m.handle(c)
			if c.rearmed {
				// What waited to be armed need not wait for the next round.
				c.rearmed = false
				c.step(ctx, time.Now())
			}
			if c.waiting && len(c.asking) == 0 {
				c.plan(ctx)
			}
		case <-answers.C:
			if c.waiting {
				c.plan(ctx)
			}
		case <-round.C:
			c.round(ctx)
			round.Reset(roundInterval)
			answers.Reset(answersWithin)
		}
		c.write()
	}
	cancel()
	c.beside.Wait()
	c.writer.Close()
	if c.shutOut {
		close(c.mover.lost)
		return
	}
	c.leave()
}

// post puts a message into the mover's own inbox; it waits for room.
func (c *core) post(ctx context.Context, m message) {
	if err := c.mover.task.Send(ctx, m); err != nil && ctx.Err() == nil {
		c.logger.Debug("message after the end", "err", err)
	}
}

// call runs something beside the task, bounded in time, and posts its outcome.
func (c *core) call(ctx context.Context, bound time.Duration, do func(context.Context) message) {
	c.beside.Go(func() {
		call, cancel := context.WithTimeout(ctx, bound)
		m := do(call)
		cancel()
		c.post(ctx, m)
	})
}

func (m configured) handle(c *core) {
	c.standby, c.pools = map[string]bool{}, nil
	for _, p := range m.config.Pools {
		c.standby[p.Name] = p.Standby
		c.pools = append(c.pools, p.Name)
	}
}

func (m written) handle(c *core) {
	c.writing = false
	if m.Err != nil {
		c.shutOut = errors.Is(m.Err, claim.ErrLost)
		return
	}
	c.confirmed = m.Sent
	if c.arming != nil {
		c.rearmed = len(c.arming) > len(c.armed)
		c.armed, c.arming = c.arming, nil
	}
}

// write keeps the claim confirmed and writes what has begun.
func (c *core) write() {
	now := time.Now()
	if c.writing || (len(c.pending)+len(c.toArm) == 0 && now.Sub(c.confirmed) < renewAfter) {
		return
	}
	c.arming = map[string]time.Time{}
	for id, at := range c.armed {
		if now.Sub(at) < c.settings.Term+callTimeout {
			c.arming[id] = at
		}
	}
	for _, id := range c.toArm {
		c.arming[id] = now
	}
	entries := append(c.pending, armedEntry(c.arming))
	c.pending, c.toArm = nil, nil
	c.writing = c.writer.Write(entries)
}

// mayOrder reports whether a machine may be ordered about. The claim has to be
// confirmed so lately that no other holder can be past its wait, and the store has to
// know that this holder may order the machine. A machine that is not armed will be.
// The list has to show all that an earlier holder has ordered.
func (c *core) mayOrder(machine string, now time.Time) bool {
	if now.Sub(c.confirmed) > c.settings.Term-callTimeout {
		return false
	}
	if free, ok := c.earlier[machine]; ok && (now.Before(free) || c.listed.Before(free.Add(-lateOrders))) {
		return false
	}
	_, ok := c.armed[machine]
	return ok
}

// arm wants machines to be armed.
func (c *core) arm(machine string, now time.Time) {
	if at, ok := c.armed[machine]; !ok || now.Sub(at) > renewAfter {
		c.toArm = append(c.toArm, machine)
	}
}

// round asks for what the next plan goes by. It waits for nothing: calls run beside the
// task.
func (c *core) round(ctx context.Context) {
	now := time.Now()
	c.takeWaves(now)
	for _, w := range c.waves {
		c.report(ctx, w, now)
	}
	c.list(ctx, now)
	c.ask(ctx)
	c.waiting = true
}

// plan decides what to do with the machines, and begins it.
func (c *core) plan(ctx context.Context) {
	c.waiting = false
	if c.cloudDown || c.machines == nil {
		return
	}
	now := time.Now()
	for _, w := range c.open() {
		c.advance(w, now)
	}
	c.resize(now)
	c.step(ctx, now)
}

// open lists the waves that are not completed.
func (c *core) open() []*upkeep.Wave {
	var out []*upkeep.Wave
	for _, w := range c.waves {
		if !w.Completed {
			out = append(out, w)
		}
	}
	return out
}

// step takes the machines further that are to be moved or maintained.
func (c *core) step(ctx context.Context, now time.Time) {
	for _, w := range c.open() {
		for id := range w.Emptying {
			c.maintain(ctx, w, c.machines[id], now)
		}
	}
	for _, m := range c.moving {
		c.move(ctx, m.Move, now)
	}
}

// begin says that a machine is looked at from now on, and whether it may be ordered
// about. It reports false while it is already being looked at.
func (c *core) begin(machine string, now time.Time) (may, ok bool) {
	if c.stepping[machine] {
		return false, false
	}
	c.stepping[machine] = true
	c.arm(machine, now)
	may = c.mayOrder(machine, now)
	if may {
		c.sent[machine] = now
	}
	return may, true
}

// takeWaves takes in waves that were published.
func (c *core) takeWaves(now time.Time) {
	for _, w := range c.deps.Waves() {
		if c.waves[w.Number] != nil {
			continue
		}
		age, recorded := c.kept.age(&w, now)
		if !recorded {
			age = 0
			c.pending = append(c.pending, seenEntry(&w, now))
		}
		one := upkeep.NewWave(w, now.Add(-age))
		for _, m := range w.Machines {
			if c.kept.begun[begunKey(w.Number, m)] {
				one.Started[m] = true
			}
		}
		c.waves[w.Number] = one
		c.logger.Info("wave seen", "wave", w.Number, "machines", len(w.Machines), "cap", w.MaxDown, "begun", len(one.Started),
			"age-ms", age.Milliseconds())
	}
}

func begunKey(wave int64, machine string) string {
	return strconv.FormatInt(wave, 10) + "/" + machine
}

// report tells operators of a wave, once running and once completed.
func (c *core) report(ctx context.Context, w *upkeep.Wave, now time.Time) {
	done := len(w.Remaining()) == 0 && c.storedAll()
	at, told := c.told[w.Number]
	running := told && at.IsZero()
	if w.Completed || c.telling[w.Number] || (running && !done) || (told && !running && now.Sub(at) < reportAgain) {
		return
	}
	c.telling[w.Number] = true
	c.call(ctx, callTimeout, func(ctx context.Context) message {
		return reported{w, done, c.deps.Operators.ReportWave(ctx, w.Number, done)}
	})
}

func (m reported) handle(c *core) {
	w := m.wave
	delete(c.telling, w.Number)
	if m.err != nil {
		c.told[w.Number] = time.Now()
		c.logger.Warn("wave not reported", "wave", w.Number, "err", m.err)
		return
	}
	c.told[w.Number] = time.Time{}
	w.Completed = m.done
	if m.done {
		c.logger.Info("wave completed", "wave", w.Number, "took-ms", time.Since(w.FirstSeen).Milliseconds())
	}
}

// storedAll reports whether the store knows all that has begun.
func (c *core) storedAll() bool { return len(c.pending) == 0 && !c.writing }
