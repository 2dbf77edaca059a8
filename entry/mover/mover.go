// Package mover is the task that orders machines about: it takes them through the
// waves of maintenance that operators ask for. One entry holds it, by a claim.
package mover

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"carawaymux.dev/entry/claim"
	"carawaymux.dev/entry/duties"
	"carawaymux.dev/entry/feed"
	"carawaymux.dev/entry/owner"
	"carawaymux.dev/entry/stats"
	"carawaymux.dev/fleet/fault"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/sizing"
	"carawaymux.dev/fleet/task"
	"carawaymux.dev/fleet/upkeep"
)

// Name is what is claimed; no pool has it.
const Name = "*machines"

const (
	// roundInterval is the time between rounds.
	roundInterval = 250 * time.Millisecond
	// listInterval is the shortest time between two looks at the list of machines.
	listInterval = 500 * time.Millisecond
	// callTimeout bounds one call to the platform, and askTimeout one question to
	// the owner of a pool, which must not hold up the others.
	callTimeout = 900 * time.Millisecond
	askTimeout  = 250 * time.Millisecond
	// renewAfter is how long the claim goes without a write that confirms it.
	renewAfter = 800 * time.Millisecond
	// reportAgain is the time before a report is written again that was not
	// answered.
	reportAgain = time.Second
	// keyBegun begins the keys of machines whose maintenance has begun.
	keyBegun = "/b/"
	// keyArmed holds the machines that the holder may have ordered lately. It also
	// confirms the claim when there is nothing else to write.
	keyArmed = "/o"
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
	configured struct{ config *port.Config }
	written    struct{ claim.Written }
)

// core is the state of the task.
type core struct {
	mover    *Mover
	settings Settings
	deps     Deps
	logger   *slog.Logger
	claim    *claim.Claim
	writer   *claim.Writer
	// notBefore is from when on the machines may be ordered about that an earlier
	// holder has armed: its orders have to be a term old.
	notBefore time.Time
	earlier   map[string]bool
	// armed holds the machines that the store knows may be ordered, and when they
	// were last wanted; arming holds those of the write under way.
	armed, arming map[string]time.Time
	confirmed     time.Time
	writing       bool
	pending       []port.Entry
	begun         map[string]bool
	waves         map[int64]*upkeep.Wave
	reported      map[int64]time.Time
	standby       map[string]bool
	pools         []string
	machines      map[string]port.Machine
	listed        time.Time
	shutOut       bool
	cloudDown     bool
	rearmed       bool
	toArm         []string
	sizes         *sizing.State
	moving        map[string]move
}

// Starter returns how to start the mover from a claim that was won.
func Starter(s Settings, d Deps) duties.Starter {
	return func(ctx context.Context, won *claim.Claim) (duties.Begin, error) {
		k := kept{begun: map[string]bool{}, armed: map[string]bool{}}
		err := won.Load(ctx, func(e port.Entry) {
			if rest, ok := strings.CutPrefix(e.Key, Name+keyBegun); ok {
				k.begun[rest] = true
			}
			if e.Key == Name+keyArmed {
				for _, m := range strings.Split(string(e.Value), armedSeparator) {
					k.armed[m] = true
				}
			}
		})
		return func(config *port.Config, _ []port.Host) duties.Holder { return start(s, d, won, k, config) }, err
	}
}

// armedSeparator stands between the machines of the record of armed machines.
const armedSeparator = " "

// kept is what earlier holders have stored.
type kept struct {
	// begun holds the machines of waves whose maintenance has begun, and armed those
	// that the last holder may have ordered lately.
	begun, armed map[string]bool
}

func start(s Settings, d Deps, won *claim.Claim, k kept, config *port.Config) *Mover {
	m := &Mover{lost: make(chan struct{})}
	c := &core{
		mover: m, settings: s, deps: d, claim: won, begun: k.begun, earlier: k.armed, confirmed: won.At,
		logger: d.Logger.With("holder", s.Holder, "epoch", won.Epoch),
		waves:  map[int64]*upkeep.Wave{}, reported: map[int64]time.Time{}, standby: map[string]bool{},
		armed: map[string]time.Time{}, sizes: sizing.NewState(), moving: map[string]move{},
	}
	c.notBefore = time.Now().Add(s.Term + callTimeout)
	if config != nil {
		configured{config}.handle(c)
	}
	m.task = task.Start(c.run)
	return m
}

// Configure implements [duties.Holder].
func (m *Mover) Configure(ctx context.Context, c *port.Config) error {
	return m.task.Send(ctx, configured{c})
}

// List implements [duties.Holder]; the mover looks at machines, not at hosts.
func (m *Mover) List(context.Context, []feed.Change[port.Host]) error { return nil }

// Lost implements [duties.Holder].
func (m *Mover) Lost() <-chan struct{} { return m.lost }

// Close implements [duties.Holder].
func (m *Mover) Close() { m.task.Close() }

func (c *core) run(ctx context.Context, inbox <-chan message) {
	c.writer = claim.NewWriter(c.claim, func(ctx context.Context, w claim.Written) {
		if err := c.mover.task.Send(ctx, written{w}); err != nil && ctx.Err() == nil {
			c.logger.Debug("message after the end", "err", err)
		}
	})
	defer c.writer.Close()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for !c.shutOut {
		select {
		case <-ctx.Done():
			return
		case m := <-inbox:
			m.handle(c)
			if c.rearmed {
				// What waited to be armed need not wait for the next round.
				c.rearmed = false
				timer.Reset(0)
			}
		case <-timer.C:
			timer.Reset(c.round(ctx))
		}
		c.write()
	}
	close(c.mover.lost)
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
	names := strings.Join(slices.Sorted(maps.Keys(c.arming)), armedSeparator)
	entries := append(c.pending, port.Entry{Key: Name + keyArmed, Value: []byte(names + armedSeparator)})
	c.pending, c.toArm = nil, nil
	c.writing = c.writer.Write(entries)
}

// mayOrder reports whether a machine may be ordered about. The claim has to be
// confirmed so lately that no other holder can be past its wait, and the store has to
// know that this holder may order the machine. A machine that is not armed will be.
func (c *core) mayOrder(machine string, now time.Time) bool {
	if now.Sub(c.confirmed) > c.settings.Term-callTimeout || (c.earlier[machine] && now.Before(c.notBefore)) {
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

// round does what is to be done now, and returns the time until the next.
func (c *core) round(ctx context.Context) time.Duration {
	now := time.Now()
	c.takeWaves(now)
	var open []*upkeep.Wave
	for _, w := range c.waves {
		c.report(ctx, w, now)
		if !w.Completed {
			open = append(open, w)
		}
	}
	if err := c.list(ctx, now); err != nil {
		if !c.cloudDown {
			c.logger.Warn("machines lost", "err", err)
		}
		c.cloudDown = true
		return roundInterval
	}
	if c.cloudDown {
		c.cloudDown = false
		c.logger.Info("machines regained")
	}
	for _, w := range open {
		c.advance(ctx, w, now)
	}
	c.resize(ctx, open, now)
	return roundInterval
}

// takeWaves takes in waves that were published.
func (c *core) takeWaves(now time.Time) {
	for _, w := range c.deps.Waves() {
		if c.waves[w.Number] != nil {
			continue
		}
		one := upkeep.NewWave(w, now)
		for _, m := range w.Machines {
			if c.begun[begunKey(w.Number, m)] {
				one.Begun[m] = true
			}
		}
		c.waves[w.Number] = one
		c.logger.Info("wave seen", "wave", w.Number, "machines", len(w.Machines), "cap", w.Cap, "begun", len(one.Begun))
	}
}

func begunKey(wave int64, machine string) string {
	return strconv.FormatInt(wave, 10) + "/" + machine
}

// report tells operators of a wave, once running and once completed.
func (c *core) report(ctx context.Context, w *upkeep.Wave, now time.Time) {
	done := len(w.Left()) == 0 && c.storedAll()
	at, told := c.reported[w.Number]
	if told && !at.IsZero() && now.Sub(at) < reportAgain {
		return
	}
	if (told && at.IsZero() && !done) || w.Completed {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.deps.Operators.ReportWave(ctx, w.Number, done); err != nil {
		c.reported[w.Number] = now
		c.logger.Warn("wave not reported", "wave", w.Number, "err", err)
		return
	}
	c.reported[w.Number] = time.Time{}
	w.Completed = done
	if done {
		c.logger.Info("wave completed", "wave", w.Number, "took-ms", now.Sub(w.Seen).Milliseconds())
	}
}

// storedAll reports whether the store knows all that has begun.
func (c *core) storedAll() bool { return len(c.pending) == 0 && !c.writing }

// list looks at the machines.
func (c *core) list(ctx context.Context, now time.Time) error {
	if now.Sub(c.listed) < listInterval {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	machines, err := c.deps.Machines.List(ctx)
	if err != nil {
		return fault.At("list", "machines", err)
	}
	c.listed = now
	c.machines = make(map[string]port.Machine, len(machines))
	for _, m := range machines {
		c.machines[m.ID] = m
	}
	for _, w := range c.waves {
		w.Listed(c.machines, now)
	}
	return nil
}
