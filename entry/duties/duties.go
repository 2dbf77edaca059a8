// Package duties decides, with the other entries, which pools this entry owns, and
// starts and stops their owners.
package duties

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"carawaymux.dev/entry/claim"
	"carawaymux.dev/entry/feed"
	"carawaymux.dev/entry/roster"
	"carawaymux.dev/fleet/owners"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/task"
)

// claimTimeout bounds the taking over of a pool; another entry may try after it.
const claimTimeout = 4 * time.Second

// Holder is a task that does the work of something that is owned here.
type Holder interface {
	// Configure puts a configuration in force.
	Configure(ctx context.Context, c *port.Config) error
	// UpdateHosts hands in changes of the platform's list of hosts.
	UpdateHosts(ctx context.Context, changes []feed.Change[port.Host]) error
	// Lost is closed when a newer owner has been seen.
	Lost() <-chan struct{}
	// Close stops the task and waits for its end.
	Close()
}

// Begin starts a holder with the configuration and the hosts that are known.
type Begin func(config *port.Config, hosts []port.Host) Holder

// Starter prepares what a claim has won; it may read from the store.
type Starter func(ctx context.Context, won *claim.Claim) (Begin, error)

// Settings are what the task is told at the start.
type Settings struct {
	// Entry and Life name this process.
	Entry string
	Life  int64
	// Parts is the number of partitions of a topic of the store.
	Parts int
	// Pools starts the owner of a pool; Special starts the holders of other things
	// by their names, which no pool has.
	Pools   Starter
	Special map[string]Starter
}

// Duties is the task that keeps this entry's pools. Use [Start] to build it.
type Duties struct {
	settings Settings
	log      port.Log
	logger   *slog.Logger
	task     *task.Task[message]
	// local holds what runs here; it is replaced, never changed.
	local atomic.Pointer[map[string]Holder]
	// own tells the other entries what is owned here.
	own func(map[string]int64)
}

type message interface {
	handle(ctx context.Context, c *core)
}

type (
	viewed     struct{ view *roster.View }
	configured struct{ config *port.Config }
	listed     struct{ changes []feed.Change[port.Host] }
	leaving    struct{ reply chan<- struct{} }
	won        struct {
		pool  string
		claim *claim.Claim
		begin Begin
		err   error
	}
	lost struct {
		pool   string
		holder Holder
	}
)

// holding is a pool that is owned here.
type holding struct {
	Holder
	epoch int64
}

// core is the state of the task.
type core struct {
	d       *Duties
	config  *port.Config
	hosts   map[string]port.Host
	holds   map[string]holding
	claims  map[string]context.CancelFunc
	leaving bool
	// beside counts what runs beside the task and ends with it.
	beside sync.WaitGroup
}

// Start starts the task. It hands what is owned here to own.
func Start(s Settings, log port.Log, logger *slog.Logger, own func(map[string]int64)) *Duties {
	t := &Duties{settings: s, log: log, logger: logger, own: own}
	t.local.Store(&map[string]Holder{})
	c := &core{d: t, hosts: map[string]port.Host{}, holds: map[string]holding{}, claims: map[string]context.CancelFunc{}}
	t.task = task.Start(c.run, task.WithInbox(inboxSize))
	return t
}

// inboxSize is the number of messages that wait for the task.
const inboxSize = 512

// Local returns the holder of a pool or another thing if it runs here, or nil.
func (t *Duties) Local(name string) Holder { return (*t.local.Load())[name] }

// View hands in a new view of the entries.
func (t *Duties) View(ctx context.Context, v *roster.View) error { return t.task.Send(ctx, viewed{v}) }

// Configure hands in a new configuration.
func (t *Duties) Configure(ctx context.Context, c *port.Config) error {
	return t.task.Send(ctx, configured{c})
}

// List hands in changes of the platform's list of hosts.
func (t *Duties) List(ctx context.Context, changes []feed.Change[port.Host]) error {
	return t.task.Send(ctx, listed{changes})
}

// Leave gives up all pools and takes no more.
func (t *Duties) Leave(ctx context.Context) error {
	_, err := task.Call(ctx, t.task, func(reply chan<- struct{}) message { return leaving{reply} })
	return err
}

// Close stops all owners that run here.
func (t *Duties) Close() { t.task.Close() }

func (c *core) run(ctx context.Context, inbox <-chan message) {
	for {
		select {
		case <-ctx.Done():
			c.giveUpAll()
			c.beside.Wait()
			return
		case m := <-inbox:
			m.handle(ctx, c)
		}
	}
}

func (c *core) giveUpAll() {
	for _, cancel := range c.claims {
		cancel()
	}
	for _, h := range c.holds {
		h.Close()
	}
	c.holds = map[string]holding{}
	c.publish()
}

func (m leaving) handle(_ context.Context, c *core) {
	c.leaving = true
	c.giveUpAll()
	m.reply <- struct{}{}
}

// publish tells the rest of this entry, and the other entries, what is owned here.
func (c *core) publish() {
	local := make(map[string]Holder, len(c.holds))
	epochs := make(map[string]int64, len(c.holds))
	for pool, h := range c.holds {
		local[pool], epochs[pool] = h.Holder, h.epoch
	}
	c.d.local.Store(&local)
	c.d.own(epochs)
}

func (m configured) handle(ctx context.Context, c *core) {
	c.config = m.config
	for pool, h := range c.holds {
		if err := h.Configure(ctx, m.config); err != nil {
			c.d.logger.Debug("configuration not handed on", "pool", pool, "err", err)
		}
	}
}

func (m listed) handle(ctx context.Context, c *core) {
	for _, ch := range m.changes {
		if ch.Present {
			c.hosts[ch.Key] = ch.Value
		} else {
			delete(c.hosts, ch.Key)
		}
	}
	for pool, h := range c.holds {
		if err := h.UpdateHosts(ctx, m.changes); err != nil {
			c.d.logger.Debug("hosts not handed on", "pool", pool, "err", err)
		}
	}
}

// viewed claims the pools that fall to this entry.
func (m viewed) handle(ctx context.Context, c *core) {
	v := m.view
	for pool, h := range c.holds {
		if o, ok := v.Owners[pool]; ok && o.Epoch > h.epoch {
			c.d.logger.Info("pool has a newer owner", "pool", pool, "owner", o.Name, "epoch", o.Epoch)
			c.release(pool)
		}
	}
	if c.leaving || c.config == nil || !v.Settled {
		return
	}
	for _, pool := range c.mine(v) {
		c.take(ctx, pool)
	}
}

// mine lists the pools without an owner that this entry should claim.
func (c *core) mine(v *roster.View) []string {
	var unowned []string
	for _, pool := range c.pools() {
		_, owned := v.Owners[pool]
		_, here := c.holds[pool]
		if !owned && !here {
			unowned = append(unowned, pool)
		}
	}
	if len(unowned) == 0 {
		return nil
	}
	var members []owners.Member
	for name, b := range v.Alive {
		members = append(members, owners.Member{Name: name, Zone: b.Zone, Load: len(b.Pools)})
	}
	slices.SortFunc(members, func(a, b owners.Member) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	var out []string
	for pool, name := range owners.Assign(owners.LeastLoaded{}, unowned, members) {
		if name == c.d.settings.Entry {
			out = append(out, pool)
		}
	}
	return out
}

// pools lists the pools that some queue sends work to, and what else is owned.
func (c *core) pools() []string {
	set := map[string]bool{}
	for name := range c.d.settings.Special {
		set[name] = true
	}
	for _, q := range c.config.Queues {
		set[q.Pool] = true
	}
	return slices.Sorted(maps.Keys(set))
}

// take claims a pool and reads its state beside the task.
func (c *core) take(ctx context.Context, pool string) {
	if c.claims[pool] != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	c.claims[pool] = cancel
	s, log := c.d.settings, c.d.log
	start := s.Special[pool]
	if start == nil {
		start = s.Pools
	}
	c.beside.Go(func() {
		m := won{pool: pool}
		if m.claim, m.err = claim.Acquire(ctx, log, pool, s.Entry, s.Life, s.Parts); m.err == nil {
			m.begin, m.err = start(ctx, m.claim)
		}
		if err := c.d.task.Send(context.WithoutCancel(ctx), m); err != nil {
			c.d.logger.Debug("message after the end", "err", err)
		}
	})
}

func (m won) handle(ctx context.Context, c *core) {
	c.claims[m.pool]()
	delete(c.claims, m.pool)
	if m.err != nil {
		c.d.logger.Warn("pool not taken over", "pool", m.pool, "err", m.err)
		return
	}
	if c.leaving {
		return
	}
	h := m.begin(c.config, slices.Collect(maps.Values(c.hosts)))
	c.holds[m.pool] = holding{Holder: h, epoch: m.claim.Epoch}
	c.publish()
	c.beside.Go(func() {
		select {
		case <-h.Lost():
			if err := c.d.task.Send(ctx, lost{m.pool, h}); err != nil {
				c.d.logger.Debug("message after the end", "err", err)
			}
		case <-ctx.Done():
		}
	})
}

func (m lost) handle(_ context.Context, c *core) {
	if h, ok := c.holds[m.pool]; ok && h.Holder == m.holder {
		c.release(m.pool)
	}
}

func (c *core) release(pool string) {
	c.holds[pool].Close()
	delete(c.holds, pool)
	c.publish()
}
