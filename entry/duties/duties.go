// Package duties decides which pools this entry owns, and starts and stops their owners. All entries
// apply the same assignment to the same view of the live entries; a claim in the store settles
// conflicts.
package duties

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"slices"
	"strings"
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

// handoverWait is the time for which a stronger entry must have been free before a pool is handed
// over to it. It is long enough for the next entry to go down in a rolling restart.
const handoverWait = 6 * time.Second

// singletonPrefix begins the claim names of singletons, also of those of other releases.
const singletonPrefix = "*"

// IsSingleton reports whether a claim name is that of a singleton, and not of a pool.
func IsSingleton(name string) bool { return strings.HasPrefix(name, singletonPrefix) }

// Holder is a task that does the work of a pool, or of a singleton, that this entry owns.
type Holder interface {
	// Configure applies a configuration.
	Configure(ctx context.Context, c *port.Config) error
	// UpdateHosts applies changes of the platform's list of hosts.
	UpdateHosts(ctx context.Context, changes []feed.Change[port.Host]) error
	// Lost returns a channel that is closed when the holder has detected a newer owner.
	Lost() <-chan struct{}
	// Close stops the task and waits until it has ended.
	Close()
}

// StartFunc starts a holder with the current configuration and hosts.
type StartFunc func(config *port.Config, hosts []port.Host) Holder

// PrepareFunc prepares a holder after its claim has been acquired, and returns the function that
// starts it. It may read from the store, and fails if the store does not answer for some seconds.
type PrepareFunc func(ctx context.Context, acquired *claim.Claim) (StartFunc, error)

// PreloadFunc reads the state of a pool that still has an owner. It returns the function that prepares the holder
// after the claim has been acquired, which only reads what was written meanwhile.
type PreloadFunc func(ctx context.Context, pool string) (PrepareFunc, error)

// Settings configure [Duties].
type Settings struct {
	// Entry is the name of this entry; Incarnation distinguishes its processes.
	Entry       string
	Incarnation int64
	// Partitions is the number of partitions of each topic of the store.
	Partitions int
	// Pools prepares the owner of a pool. Singletons prepares the tasks that run in one entry
	// at a time, by claim name; the names begin with singletonPrefix, and no pool's name does.
	Pools      PrepareFunc
	Singletons map[string]PrepareFunc
	// Needed holds, by claim name, which configurations need a singleton. Those that are not in it are always needed. A holder that is not
	// needed any more stays, but nobody claims it.
	Needed map[string]func(*port.Config) bool
	// Preload reads the state of a pool whose owner is about to stop. It may be nil.
	Preload PreloadFunc
}

// Duties is the task that claims and releases pools for this entry. Use [Start] to create it.
type Duties struct {
	settings Settings
	log      port.Log
	logger   *slog.Logger
	task     *task.Task[message]
	// local holds the holders that run here. The map is replaced and never modified.
	local atomic.Pointer[map[string]Holder]
	// announce publishes the epochs of the pools that are owned here, and the pools that are being claimed,
	// to the other entries.
	announce func(owned map[string]int64, claimed []string)
}

type message interface {
	handle(ctx context.Context, c *core)
}

type (
	viewUpdate   struct{ view *roster.View }
	configUpdate struct{ config *port.Config }
	hostsUpdate  struct{ changes []feed.Change[port.Host] }
	claimsUpdate struct {
		changes []feed.Change[claim.StoredClaim]
	}
	// leaveRequest is answered once all pools have a new owner. releaseRequest releases those that have none.
	leaveRequest   struct{ reply chan<- struct{} }
	releaseRequest struct{ reply chan<- struct{} }
	// poolPreloaded has the task claim a pool whose state has been read.
	poolPreloaded struct {
		pool    string
		prepare PrepareFunc
	}
	claimResult struct {
		pool  string
		claim *claim.Claim
		start StartFunc
		err   error
	}
	holderLost struct {
		pool   string
		holder Holder
	}
)

// holding is a pool or singleton that this entry owns.
type holding struct {
	Holder
	epoch int64
}

// core is the state of the task. Only the task's goroutine uses it.
type core struct {
	duties *Duties
	config *port.Config
	// claimed holds the pools that have been claimed. They may hold accepted jobs, whether a queue uses them
	// now or not.
	claimed map[string]struct{}
	hosts   map[string]port.Host
	// hostCounts holds the number of hosts of each pool.
	hostCounts map[string]int
	// holdings holds what this entry owns, by name. claims holds the claims in progress, by name,
	// with the function that cancels each.
	holdings map[string]holding
	claims   map[string]context.CancelFunc
	leaving  bool
	// left is told when the last pool has a new owner. It is nil unless the entry is leaving.
	left chan<- struct{}
	// view is the newest view.
	view *roster.View
	// rebalancer decides when a pool is handed over to a stronger entry.
	rebalancer owners.Rebalancer[owners.WeightedLeastLoaded]
	// background counts the goroutines that the task has started and waits for when it stops.
	background sync.WaitGroup
}

// Start starts the task. It calls announce with the epochs of the owned pools and with the pools that are
// being claimed when they change.
func Start(s Settings, log port.Log, logger *slog.Logger, announce func(owned map[string]int64, claimed []string)) *Duties {
	t := &Duties{settings: s, log: log, logger: logger, announce: announce}
	t.local.Store(&map[string]Holder{})
	c := &core{
		duties: t, claimed: map[string]struct{}{}, hosts: map[string]port.Host{}, hostCounts: map[string]int{},
		holdings: map[string]holding{}, claims: map[string]context.CancelFunc{}, view: &roster.View{},
	}
	c.rebalancer.Wait = handoverWait
	t.task = task.Start(c.run, task.WithInbox(inboxSize))
	return t
}

// inboxSize is the capacity of the inbox of the task, in messages.
const inboxSize = 512

// Holder returns the holder of a pool or singleton, or nil if it does not run here.
func (t *Duties) Holder(name string) Holder { return (*t.local.Load())[name] }

// UpdateView sends a new view of the entries to the task.
func (t *Duties) UpdateView(ctx context.Context, v *roster.View) error {
	return t.task.Send(ctx, viewUpdate{v})
}

// Configure sends a new configuration to the task.
func (t *Duties) Configure(ctx context.Context, c *port.Config) error {
	return t.task.Send(ctx, configUpdate{c})
}

// UpdateHosts sends changes of the platform's list of hosts to the task.
func (t *Duties) UpdateHosts(ctx context.Context, changes []feed.Change[port.Host]) error {
	return t.task.Send(ctx, hostsUpdate{changes})
}

// UpdateClaims sends changes of the claims that the store holds to the task.
func (t *Duties) UpdateClaims(ctx context.Context, changes []feed.Change[claim.StoredClaim]) error {
	return t.task.Send(ctx, claimsUpdate{changes})
}

// Close stops the task and all holders that run here.
func (t *Duties) Close() { t.task.Close() }

func (c *core) run(ctx context.Context, inbox <-chan message) {
	for {
		select {
		case <-ctx.Done():
			c.releaseAll()
			c.background.Wait()
			return
		case m := <-inbox:
			m.handle(ctx, c)
		}
	}
}

// publish makes the owned pools visible to the rest of this entry and to the other entries.
func (c *core) publish() {
	local := make(map[string]Holder, len(c.holdings))
	epochs := make(map[string]int64, len(c.holdings))
	for pool, h := range c.holdings {
		local[pool], epochs[pool] = h.Holder, h.epoch
	}
	c.duties.local.Store(&local)
	c.duties.announce(epochs, slices.Sorted(maps.Keys(c.claims)))
}

func (m configUpdate) handle(ctx context.Context, c *core) {
	c.config = m.config
	for pool, h := range c.holdings {
		if err := h.Configure(ctx, m.config); err != nil {
			c.duties.logger.Debug("configuration not delivered to the holder", "pool", pool, "err", err)
		}
	}
}

func (m hostsUpdate) handle(ctx context.Context, c *core) {
	for _, ch := range m.changes {
		if old, ok := c.hosts[ch.Key]; ok {
			c.hostCounts[old.Pool]--
		}
		if ch.Present {
			c.hosts[ch.Key] = ch.Value
			c.hostCounts[ch.Value.Pool]++
		} else {
			delete(c.hosts, ch.Key)
		}
	}
	for pool, h := range c.holdings {
		if err := h.UpdateHosts(ctx, m.changes); err != nil {
			c.duties.logger.Debug("host changes not delivered to the holder", "pool", pool, "err", err)
		}
	}
}

func (m claimsUpdate) handle(_ context.Context, c *core) {
	for _, ch := range m.changes {
		if ch.Present && !strings.HasPrefix(ch.Key, singletonPrefix) {
			c.claimed[ch.Key] = struct{}{}
		}
	}
}

// handle releases the pools that have a newer owner, claims the pools that are assigned to this
// entry, and hands a pool over if a stronger entry is free.
func (m viewUpdate) handle(ctx context.Context, c *core) {
	v := m.view
	c.view = v
	for pool, h := range c.holdings {
		if o, ok := v.Owners[pool]; ok && o.Epoch > h.epoch {
			c.duties.logger.Info("pool has a newer owner", "pool", pool, "owner", o.Name, "epoch", o.Epoch)
			c.release(pool)
		}
	}
	if c.leaving {
		c.continueLeave()
		return
	}
	if c.config == nil || !v.Settled {
		return
	}
	if pools := c.poolsToClaim(v); len(pools) > 0 {
		for _, pool := range pools {
			c.claimPool(ctx, pool)
		}
		c.publish()
	}
	c.handOver(v)
}

// handOver releases a pool if a stronger entry should have it. That entry then claims the pool as one
// without an owner.
func (c *core) handOver(v *roster.View) {
	if len(c.holdings) == 0 || len(c.claims) > 0 || !v.StoreLostSince.IsZero() || !c.isShownIn(v) {
		return
	}
	ownerByPool := map[string]string{}
	for _, pool := range c.allPools() {
		owner, owned := v.Owners[pool]
		if !owned || owner.Leaving {
			return
		}
		// A change of the holder of a singleton delays its work, which takes little processor time.
		if c.duties.settings.Singletons[pool] == nil {
			ownerByPool[pool] = owner.Name
		}
	}
	h, ok := c.rebalancer.Next(time.Now(), c.duties.settings.Entry, ownerByPool, c.members(v), owners.WithWeights(c.weightOf(v)))
	if ok {
		c.duties.logger.Info("pool handed over to a stronger entry", "pool", h.Pool, "to", h.To)
		c.release(h.Pool)
	}
}

// isShownIn reports whether a view shows just the pools that this entry owns as owned by it.
func (c *core) isShownIn(v *roster.View) bool {
	shown := v.Alive[c.duties.settings.Entry].Pools
	if len(shown) != len(c.holdings) {
		return false
	}
	for pool, h := range c.holdings {
		if shown[pool] != h.epoch {
			return false
		}
	}
	return true
}

// poolsToClaim returns the pools and singletons without an owner, and the pools whose owner is leaving, that are assigned to
// this entry. Those that an entry is about to own are left to it: a newer claim would fence it off when it has just read the state.
// They count in the assignment, so that it does not depend on how soon a claim is known.
func (c *core) poolsToClaim(v *roster.View) []string {
	var unowned []string
	for _, pool := range c.allPools() {
		owner, owned := v.Owners[pool]
		_, held := c.holdings[pool]
		// A holder of a singleton stores what the next one needs before it gives it up.
		leaving := owner.Leaving && c.duties.settings.Singletons[pool] == nil
		if (!owned || leaving) && !held {
			unowned = append(unowned, pool)
		}
	}
	if len(unowned) == 0 {
		return nil
	}
	claimed := map[string]bool{}
	for _, heartbeat := range v.Alive {
		for _, pool := range heartbeat.Claims {
			claimed[pool] = true
		}
	}
	var out []string
	for pool, name := range owners.Assign(owners.WeightedLeastLoaded{}, unowned, c.members(v), owners.WithWeights(c.weightOf(v))) {
		if name == c.duties.settings.Entry && !claimed[pool] && c.claims[pool] == nil {
			out = append(out, pool)
		}
	}
	return out
}

// weightOf returns the function that returns the weight of a pool: its number of hosts, at least 1.
// Versions that report no capacity count pools. While such an entry is alive, each pool has the weight
// 1, because two versions that weigh pools differently could leave a pool to each other.
func (c *core) weightOf(v *roster.View) func(pool string) int {
	for _, heartbeat := range v.Alive {
		if heartbeat.Capacity == 0 {
			return func(string) int { return 1 }
		}
	}
	return func(pool string) int { return max(c.hostCounts[pool], 1) }
}

// members returns the live entries, sorted by name.
func (c *core) members(v *roster.View) []owners.Member {
	weight := c.weightOf(v)
	out := make([]owners.Member, 0, len(v.Alive))
	for name, heartbeat := range v.Alive {
		load := 0
		for pool := range heartbeat.Pools {
			load += weight(pool)
		}
		out = append(out, owners.Member{
			Name: name, Zone: heartbeat.Zone, Incarnation: heartbeat.Incarnation, Load: load,
			Capacity: heartbeat.Capacity, Link: heartbeat.Link,
		})
	}
	slices.SortFunc(out, func(a, b owners.Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// allPools returns the pools that are used by a queue or have been claimed, and the singletons. A pool is
// claimed before its owner accepts the first job, so each pool that holds accepted jobs is among them.
func (c *core) allPools() []string {
	names := map[string]bool{}
	for name := range c.duties.settings.Singletons {
		if isNeeded := c.duties.settings.Needed[name]; isNeeded == nil || isNeeded(c.config) {
			names[name] = true
		}
	}
	for _, q := range c.config.Queues {
		names[q.Pool] = true
	}
	for pool := range c.claimed {
		names[pool] = true
	}
	return slices.Sorted(maps.Keys(names))
}

func (m holderLost) handle(_ context.Context, c *core) {
	if h, ok := c.holdings[m.pool]; ok && h.Holder == m.holder {
		c.release(m.pool)
	}
}

func (c *core) release(pool string) {
	c.holdings[pool].Close()
	delete(c.holdings, pool)
	c.publish()
	c.reportLeft()
}
