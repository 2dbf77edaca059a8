// Package lender runs the task that lends the caps of tenants to the pools, as budgets of their owners. A claim ensures that one entry at a
// time holds the task. Package caps decides which pool should have which part of a cap.
package lender

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"carawaymux.dev/entry/claim"
	"carawaymux.dev/entry/duties"
	"carawaymux.dev/entry/feed"
	"carawaymux.dev/entry/owner"
	"carawaymux.dev/entry/stats"
	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/caps"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/task"
)

// ClaimName is the name that the holder claims. No pool has this name.
const ClaimName = "*caps"

const (
	// roundInterval is the shortest time between two requests to an owner, and roundPerPool the time that it grows by with each pool, up
	// to maxRoundInterval. Demand that moves to another pool gets its budget within two rounds. Work that waits for a budget is late
	// soon: objectives leave 0.6 s beside the run time.
	roundInterval, roundPerPool, maxRoundInterval = 100 * time.Millisecond, 6 * time.Millisecond, 250 * time.Millisecond
	// askTimeout bounds a request to an owner, which may write to the store before it answers.
	askTimeout = 900 * time.Millisecond
	// timePerUse bounds what owners report: a use takes about 100 bytes, so reports take 2 MB a second at most, beside those of tenants that
	// are short. With 760 active tenants in each of 40 pools, they would take 12 MB a second.
	timePerUse = 50 * time.Microsecond
	// planPause is the minimum time between two plans, so that reports that arrive together share one.
	planPause = 10 * time.Millisecond
	// inboxSize is the maximum number of messages that wait for the lender.
	inboxSize = 256
)

// IsNeeded reports whether a configuration has a tenant with a cap.
func IsNeeded(c *port.Config) bool {
	return slices.ContainsFunc(c.Tenants, func(t port.Tenant) bool { return caps.HasCap(t.Cap) })
}

// Deps are the services that the lender uses.
type Deps struct {
	Log    port.Log
	Logger *slog.Logger
	// Stats may be nil.
	Stats *stats.Set
	// Pools returns the pools that have an owner.
	Pools func() []string
	// Ask gives budgets to the owner of a pool and asks for the use of the tenants in a scope. It reports false if the owner could not be
	// asked.
	Ask func(ctx context.Context, pool string, budgets []caps.Budget, scope caps.Scope) (owner.Answer, bool)
}

// Settings configure the lender.
type Settings struct {
	// MaxRecordBytes and MaxRequestBytes are the store's limits on a record and on all records of one append. 0 means no limit.
	MaxRecordBytes, MaxRequestBytes int
}

// Lender lends caps. Use [Starter] to create it.
type Lender struct {
	task *task.Task[message]
	lost chan struct{}
}

type message interface{ handle(c *core) }

type (
	configChange struct{ config *port.Config }
	writeResult  struct{ claim.WriteResult }
	// report is the outcome of a request to the owner of a pool.
	report struct {
		pool   string
		answer owner.Answer
		scope  caps.Scope
		ok     bool
	}
)

// core is the state of the task.
type core struct {
	lender   *Lender
	settings Settings
	deps     Deps
	logger   *slog.Logger
	claim    *claim.Claim
	writer   *claim.Writer
	ledger   *caps.Ledger
	// version is that of the configuration with the caps.
	version int64
	caps    map[string]batch.Size
	// pools holds the pools that may have work of tenants.
	pools map[string]*pool
	// active is the sum over the pools.
	active int
	// unwritten holds the records that wait for the store. No budget is sent while there are any, or while a write is in flight.
	unwritten     []port.Record
	writeInFlight bool
	// unstorable holds the tenants whose accounts the store cannot hold. No budget of them is sent.
	unstorable map[string]struct{}
	// nextPlan is the earliest time of the next plan.
	nextPlan time.Time
	shown    shown
	// fenced is set when a newer holder has been seen. The task then stops.
	fenced bool
	// background counts the goroutines that the task has started and waits for when it stops.
	background sync.WaitGroup
}

// pool is what the lender knows of the owner of a pool.
type pool struct {
	// inFlight reports whether a request is unanswered.
	inFlight bool
	// epoch is that of the owner that has last reported all tenants.
	epoch int64
	// active is the number of tenants in the last report of all that are active, and nextActive the earliest time of the next one.
	active     int
	nextActive time.Time
	// failing reports whether the last request was not answered.
	failing bool
}

// Starter returns a function that reads the stored state and prepares the start of the lender.
func Starter(s Settings, d Deps) duties.PrepareFunc {
	return func(ctx context.Context, acquired *claim.Claim) (duties.StartFunc, error) {
		stored, err := readStored(ctx, acquired, d)
		if err != nil {
			return nil, err
		}
		claimed, err := claimedPools(ctx, d.Log)
		return func(config *port.Config, _ []port.Host) duties.Holder {
			return start(s, d, acquired, stored, claimed, config)
		}, err
	}
}

func start(s Settings, d Deps, acquired *claim.Claim, stored []caps.Account, claimed []string, config *port.Config) *Lender {
	l := &Lender{lost: make(chan struct{})}
	c := &core{
		lender: l, settings: s, deps: d, claim: acquired, logger: d.Logger.With("epoch", acquired.Epoch),
		ledger: caps.NewLedger(acquired.Epoch, stored), caps: map[string]batch.Size{}, pools: map[string]*pool{}, unstorable: map[string]struct{}{},
		shown: newShown(),
	}
	c.addPools(claimed)
	for i := range stored {
		c.addPools(slices.Collect(maps.Keys(stored[i].Bounds)))
	}
	if config != nil {
		configChange{config}.handle(c)
	}
	c.logger.Info("caps of tenants taken over", "tenants", len(stored), "pools", len(c.pools))
	task.StartInto(&l.task, c.run, task.WithInbox(inboxSize))
	return l
}

// Configure implements [duties.Holder].
func (l *Lender) Configure(ctx context.Context, c *port.Config) error {
	return l.task.Send(ctx, configChange{c})
}

// UpdateHosts implements [duties.Holder]. The lender does not work on hosts.
func (l *Lender) UpdateHosts(context.Context, []feed.Change[port.Host]) error { return nil }

// Lost implements [duties.Holder].
func (l *Lender) Lost() <-chan struct{} { return l.lost }

// Close implements [duties.Holder].
func (l *Lender) Close() { l.task.Close() }

func (c *core) run(ctx context.Context, inbox <-chan message) {
	ctx, cancel := context.WithCancel(ctx)
	c.writer = claim.NewWriter(c.claim, func(ctx context.Context, w claim.WriteResult) { c.post(ctx, writeResult{w}) })
	round := time.NewTicker(roundInterval)
	defer round.Stop()
	plan := time.NewTimer(0)
	defer plan.Stop()
	for !c.fenced && ctx.Err() == nil {
		select {
		case <-ctx.Done():
			continue
		case m := <-inbox:
			m.handle(c)
			// Budgets that the store has are sent before the next plan may change them and start another write.
			c.sendDue(ctx)
		case <-plan.C:
		case now := <-round.C:
			round.Reset(roundTime(len(c.pools)))
			c.addPools(c.deps.Pools())
			c.show(now)
			c.askAll(ctx)
		}
		if wait := time.Until(c.nextPlan); wait > 0 {
			plan.Reset(wait)
			continue
		}
		c.nextPlan = time.Now().Add(planPause)
		c.plan()
		c.write()
		c.sendDue(ctx)
	}
	cancel()
	c.background.Wait()
	c.writer.Close()
	if c.fenced {
		close(c.lender.lost)
	}
}

// roundTime returns the time between two requests to the owner of each of some pools.
func roundTime(pools int) time.Duration {
	return min(max(time.Duration(pools)*roundPerPool, roundInterval), maxRoundInterval)
}

// post puts a message into the lender's own inbox and waits until there is room.
func (c *core) post(ctx context.Context, m message) {
	if err := c.lender.task.Send(ctx, m); err != nil && ctx.Err() == nil {
		c.logger.Debug("message dropped: the lender has stopped", "err", err)
	}
}

func (c *core) addPools(names []string) {
	for _, name := range names {
		if c.pools[name] == nil {
			c.pools[name] = &pool{}
		}
	}
}

func (m configChange) handle(c *core) {
	if m.config.Version < c.version {
		return
	}
	c.version = m.config.Version
	c.caps = map[string]batch.Size{}
	for i := range m.config.Tenants {
		if t := &m.config.Tenants[i]; caps.HasCap(t.Cap) {
			c.caps[t.Name] = t.Cap
		}
	}
	for _, tenant := range c.ledger.Tenants() {
		if _, capped := c.caps[tenant]; !capped {
			c.ledger.Drop(tenant)
		}
	}
	for tenant := range c.caps {
		c.planTenant(tenant)
	}
}

// plan divides the caps of the tenants of which something has changed.
func (c *core) plan() {
	for _, tenant := range c.ledger.TakeTouched() {
		if _, capped := c.caps[tenant]; capped {
			c.planTenant(tenant)
		}
	}
}

func (c *core) planTenant(tenant string) {
	caps.Plan(c.ledger, caps.ByDemand{}, tenant, c.caps[tenant], c.version, slices.Collect(maps.Keys(c.pools)))
}

// askAll asks the owners of all pools, unless no tenant has a cap.
func (c *core) askAll(ctx context.Context) {
	if len(c.caps) == 0 {
		return
	}
	for name := range c.pools {
		c.ask(ctx, name)
	}
}

// sendDue sends the budgets that wait, at once.
func (c *core) sendDue(ctx context.Context) {
	if !c.isStored() {
		return
	}
	for name, p := range c.pools {
		if !p.inFlight && !p.failing && c.ledger.IsDue(name) {
			c.ask(ctx, name)
		}
	}
}

// isStored reports whether the store has all that the budgets to be sent rest on.
func (c *core) isStored() bool { return !c.writeInFlight && len(c.unwritten) == 0 }

// scope returns of which tenants an owner is asked for the use: of all at first, and mostly of those that are active. Where many are, it is
// asked of those that are short in between.
func (c *core) scope(p *pool) caps.Scope {
	switch {
	case p.epoch == 0:
		return caps.All
	case time.Now().Before(p.nextActive):
		return caps.Short
	}
	return caps.Active
}

// ask asks the owner of a pool for the use of its tenants, and gives it the budgets that wait, unless a request is in flight.
func (c *core) ask(ctx context.Context, name string) {
	p := c.pools[name]
	if p.inFlight {
		return
	}
	var budgets []caps.Budget
	if c.isStored() {
		budgets = slices.DeleteFunc(c.ledger.Take(name), func(b caps.Budget) bool {
			_, unstorable := c.unstorable[b.Tenant]
			return unstorable
		})
	}
	p.inFlight = true
	scope := c.scope(p)
	c.deps.Stats.Add("caps-requests", 1, "pool", name)
	c.deps.Stats.Add("caps-budgets-sent", int64(len(budgets)), "pool", name)
	c.background.Go(func() {
		askCtx, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		a, ok := c.deps.Ask(askCtx, name, budgets, scope)
		c.post(ctx, report{name, a, scope, ok && a.Outcome == owner.Found})
	})
}

func (m report) handle(c *core) {
	p := c.pools[m.pool]
	p.inFlight = false
	if p.failing != !m.ok {
		p.failing = !m.ok
		if m.ok {
			c.logger.Info("owner of a pool reports the use of tenants again", "pool", m.pool)
		} else {
			c.logger.Warn("owner of a pool does not report the use of tenants; its budgets stay as they are", "pool", m.pool,
				"outcome", string(m.answer.Outcome), "why", m.answer.Reason)
		}
	}
	if !m.ok {
		return
	}
	switch {
	case m.scope == caps.All:
		p.epoch = m.answer.Epoch
	case p.epoch != m.answer.Epoch:
		// A new owner may hold other budgets, so it is asked for all.
		p.epoch = 0
	}
	if m.scope != caps.Short {
		c.active += len(m.answer.Budgets) - p.active
		p.active = len(m.answer.Budgets)
		p.nextActive = time.Now().Add(time.Duration(c.active) * timePerUse)
	}
	c.ledger.Report(m.pool, m.answer.Budgets, m.scope)
}
