// Package roster tracks which entries are alive and which pools they own. Each entry writes a
// heartbeat to the platform's store and reads the heartbeats of the others. (Package member does the
// same by direct links, for entries that route by the configuration log.)
package roster

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"carawaymux.dev/entry/feed"
	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/owners"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/task"
)

const (
	// heartbeatInterval is the time between heartbeats.
	heartbeatInterval = 400 * time.Millisecond
	// deadAfter is the time without a new heartbeat after which an entry counts as dead. It spans
	// several heartbeats, so one slow write does not make an entry count as dead.
	deadAfter = 1500 * time.Millisecond
	// callTimeout limits one call to the store.
	callTimeout = 900 * time.Millisecond
	// settleAfter is the time within which all entries that start together have written a heartbeat.
	// The platform starts all of them within 300 ms.
	settleAfter = 400 * time.Millisecond
	// startupInterval is the time between heartbeats until the view is settled. It is short: an entry
	// takes no pools before that, so after a restart of all entries callers have to wait for it.
	startupInterval = 100 * time.Millisecond
	// guestInterval is the time between the reads of an entry that may not own pools.
	guestInterval = 1200 * time.Millisecond
	// readMargin is how much later than planned a read may be before silence counts anew.
	readMargin = 350 * time.Millisecond
	// refreshInterval is the minimum time between two rounds.
	refreshInterval = 150 * time.Millisecond
	// stepDownRounds is the number of rounds in a row for which enough stronger members have to be
	// alive before an entry stops being one.
	stepDownRounds = 3
	// repeatInterval is the time between the reads of a member that has no answer from the store.
	repeatInterval = 200 * time.Millisecond
	// evictAfter is the time without a new heartbeat after which the row of an entry is removed.
	evictAfter = time.Minute
)

// stream holds the newest heartbeat of each entry, keyed by the entry's name.
var stream = port.Stream{Topic: "keyed.entries"}

// Heartbeat is the state that an entry writes to the store at each heartbeat.
type Heartbeat struct {
	Name    string `cbor:"1,keyasint"`
	Zone    string `cbor:"2,keyasint"`
	Address string `cbor:"3,keyasint"`
	// Incarnation is the start time of the process in nanoseconds. A higher one replaces a lower one.
	Incarnation int64 `cbor:"4,keyasint"`
	// Seq increases with each heartbeat of an incarnation.
	Seq int64 `cbor:"5,keyasint"`
	// Pools holds the epoch of each pool that the entry owns, by pool name.
	Pools map[string]int64 `cbor:"6,keyasint,omitempty"`
	// Leaving reports that the entry takes no pools: it is about to stop, or is no longer a member. Pools then holds
	// those that others should take over.
	Leaving bool `cbor:"7,keyasint,omitempty"`
	// Capacity is the processor capacity of the entry in thousandths of a core. Zero means unknown;
	// versions before the field write none.
	Capacity int `cbor:"8,keyasint,omitempty"`
	// Link is the speed of the entry's network link in Mbit/s. Zero means unknown.
	Link int `cbor:"9,keyasint,omitempty"`
	// Claims holds the pools that the entry is about to own: it claims them or reads their state. Versions
	// before the field write none.
	Claims []string `cbor:"10,keyasint,omitempty"`
}

// Owner is an entry that owns a pool.
type Owner struct {
	Name, Address string
	Epoch         int64
	// Leaving reports that the entry serves the pool only until another one has taken it over.
	Leaving bool
}

// View is the known state of the entries. A published view is never modified.
type View struct {
	// Member reports whether this entry is one that may own pools.
	Member bool
	// Alive holds the newest heartbeat of each live entry by name.
	Alive map[string]Heartbeat
	// Owners holds, by pool name, the live owner with the highest epoch.
	Owners map[string]Owner
	// Settled reports that every live entry has had the time to write a heartbeat.
	Settled bool
	// StoreLostSince is the time since which the store has rejected this entry's heartbeats or not
	// answered its reads. It is zero while the store is available.
	StoreLostSince time.Time
	// AsOf is the time at which the calls to the store started that this view is based on.
	AsOf time.Time
}

// Roster maintains the view in a task. Use [Start] to build it.
type Roster struct {
	log    port.Log
	logger *slog.Logger
	task   *task.Task[message]
	view   atomic.Pointer[View]
	// pools holds the pools that this entry owns, with their epochs. A stored map is never modified.
	pools atomic.Pointer[map[string]int64]
	// claims holds the pools that this entry is about to own. A stored slice is never modified.
	claims atomic.Pointer[[]string]
	// poolCount is the number of pools that need an owner.
	poolCount atomic.Int64
	onView    func(*View)
}

type message interface {
	handle(ctx context.Context, c *core)
}

type (
	// poolsChanged has the task write a heartbeat at once.
	poolsChanged struct{}
	prepareLeave struct{ reply chan<- struct{} }
	leave        struct{ reply chan<- struct{} }
	// refresh has the task run a round now, unless one has just ended.
	refresh struct{ reply chan<- struct{} }
)

// row is the known state of one entry.
type row struct {
	heartbeat Heartbeat
	// changedAt is when a newer heartbeat was last read, by the local clock.
	changedAt time.Time
}

// core is the state of the roster's task.
type core struct {
	roster *Roster
	// member reports whether this entry writes heartbeats and may own pools. outranked is the number of
	// rounds in a row in which enough stronger members were alive.
	member    bool
	outranked int
	// decided is set once the entry has decided whether it is a member.
	decided bool
	// leaving is set when the entry is about to stop. left is set when it owns no pools any more.
	leaving, left bool
	// triedPools and triedClaims are the pools and claims of the last heartbeat, whether the store has accepted it or not.
	triedPools  *map[string]int64
	triedClaims *[]string
	// lastRound is when the last round ended.
	lastRound time.Time
	self      Heartbeat
	rows      map[string]*row
	// reader reads the heartbeats of all entries, by reads.
	reader *feed.Reader
	reads  *repeatedReads
	// readingSince is the time since which each read has succeeded at most readMargin after its time.
	// lastRead is the time of the last successful read.
	readingSince, lastRead time.Time
	// storeDown is set while reads of the store fail.
	storeDown bool
	// storeLostSince is the value of View.StoreLostSince.
	storeLostSince time.Time
}

// Start starts the task for the entry that the heartbeat self describes. Each new view is passed to
// onView.
func Start(log port.Log, self Heartbeat, logger *slog.Logger, onView func(*View)) *Roster {
	r := &Roster{log: log, logger: logger, onView: onView}
	r.view.Store(&View{})
	r.pools.Store(&self.Pools)
	r.claims.Store(&self.Claims)
	c := &core{roster: r, self: self, member: true, rows: map[string]*row{}, reads: &repeatedReads{Log: log}}
	c.reader = feed.NewReader(c.reads, stream, callTimeout)
	r.task = task.Start(c.run)
	return r
}

// View returns the newest view.
func (r *Roster) View() *View { return r.view.Load() }

// SetPools sets the pools that this entry owns, with their epochs, and writes a heartbeat at once, or
// with the next round if the task's inbox is full. It never blocks, because the task may wait for the
// caller in onView.
func (r *Roster) SetPools(pools map[string]int64) {
	r.pools.Store(&pools)
	r.task.TrySend(poolsChanged{})
}

// SetDuties is like [Roster.SetPools], and sets the pools that this entry is about to own.
func (r *Roster) SetDuties(pools map[string]int64, claims []string) {
	r.claims.Store(&claims)
	r.SetPools(pools)
}

// SetPoolCount sets the number of pools that need an owner. The number of entries that may own pools
// depends on it.
func (r *Roster) SetPoolCount(pools int) { r.poolCount.Store(int64(pools)) }

// Refresh returns a view that has just been read, or the newest one if the store does not answer before
// ctx ends.
func (r *Roster) Refresh(ctx context.Context) *View {
	if _, err := task.Call(ctx, r.task, func(reply chan<- struct{}) message { return refresh{reply} }); err != nil && ctx.Err() == nil {
		r.logger.Debug("view not refreshed: the roster has stopped", "err", err)
	}
	return r.View()
}

// PrepareLeave announces that this entry is about to stop and that other entries should take its pools over. It waits
// until that heartbeat has been written or has failed.
func (r *Roster) PrepareLeave(ctx context.Context) error {
	_, err := task.Call(ctx, r.task, func(reply chan<- struct{}) message { return prepareLeave{reply} })
	return err
}

// Leave announces that this entry is about to stop and owns no pools. It waits until that heartbeat has been written or
// has failed.
func (r *Roster) Leave(ctx context.Context) error {
	_, err := task.Call(ctx, r.task, func(reply chan<- struct{}) message { return leave{reply} })
	return err
}

// Close stops the task.
func (r *Roster) Close() { r.task.Close() }

func (c *core) run(ctx context.Context, inbox <-chan message) {
	tick := time.NewTimer(0)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-inbox:
			m.handle(ctx, c)
		case <-tick.C:
			began := time.Now()
			c.round(ctx)
			c.handleWaiting(ctx, inbox)
			tick.Reset(max(min(c.interval()-time.Since(began), c.untilSilent()), 0))
		}
	}
}

// handleWaiting handles the messages that wait after a round. While the store is slow, the next round is due at once, and
// messages would wait for several rounds.
func (c *core) handleWaiting(ctx context.Context, inbox <-chan message) {
	for range len(inbox) {
		(<-inbox).handle(ctx, c)
	}
}

// untilSilent returns the time until the next entry counts as dead unless it has written. A member reads then, since the
// pools of that entry have no owner any more.
func (c *core) untilSilent() time.Duration {
	next := deadAfter
	if !c.member || c.storeDown {
		return next
	}
	for _, r := range c.rows {
		if left := deadAfter - time.Since(later(r.changedAt, c.readingSince)); left >= 0 && !r.heartbeat.Leaving {
			next = min(next, left+time.Millisecond)
		}
	}
	return next
}

// interval returns the time from the start of one round to the start of the next. A slow store does
// not add to it, unless the calls take longer than the interval.
func (c *core) interval() time.Duration {
	switch {
	case c.storeDown:
		return heartbeatInterval
	case !c.roster.View().Settled:
		return startupInterval
	case !c.member:
		return guestInterval
	}
	return heartbeatInterval
}

func (poolsChanged) handle(ctx context.Context, c *core) {
	if len(*c.roster.pools.Load()) > 0 {
		// A claim that was under way when the entry stopped being a member has succeeded.
		c.member, c.outranked = true, 0
	}
	// One heartbeat announces all changes before it, and the next round repeats one that the store has not accepted.
	announced := c.roster.pools.Load() == c.triedPools && c.roster.claims.Load() == c.triedClaims
	if c.member && !announced && !c.storeDown {
		c.writeHeartbeat(ctx)
	}
}

func (m prepareLeave) handle(ctx context.Context, c *core) {
	c.leaving = true
	c.writeHeartbeat(ctx)
	m.reply <- struct{}{}
}

func (m leave) handle(ctx context.Context, c *core) {
	c.leaving, c.left = true, true
	c.writeHeartbeat(ctx)
	m.reply <- struct{}{}
}

func (m refresh) handle(ctx context.Context, c *core) {
	if time.Since(c.lastRound) >= refreshInterval {
		c.round(ctx)
	}
	m.reply <- struct{}{}
}

func (c *core) round(ctx context.Context) {
	began := time.Now()
	defer func() { c.lastRound = time.Now() }()
	// While the store is down, only reads find out that it is back: they may be repeated.
	written, readFirst := true, c.storeDown
	if c.member && !readFirst {
		written = c.writeHeartbeat(ctx)
	}
	if !written {
		c.markStoreLost(began)
	}
	c.reads.repeat = c.member && (readFirst || !written)
	if err := c.readHeartbeats(ctx); err != nil {
		c.markStoreLost(began)
		if !c.storeDown {
			c.roster.logger.Warn("entries: store lost", "err", err)
		}
		c.storeDown = true
		return
	}
	if c.storeDown {
		c.roster.logger.Info("entries: store regained")
	}
	c.storeDown = false
	if c.member && readFirst {
		written = c.writeHeartbeat(ctx)
	}
	if written {
		c.storeLostSince = time.Time{}
	}
	c.publishView(ctx, time.Now(), began)
}

// updateMembership decides whether this entry is one of those that may own pools, and reports whether
// that has changed. The strongest entries of each availability zone are, as long as they are alive.
func (c *core) updateMembership(v *View) bool {
	if !v.Settled || c.leaving {
		return false
	}
	members := make([]owners.Member, 0, len(v.Alive))
	for _, h := range v.Alive {
		members = append(members, h.candidate())
	}
	mayOwn := owners.MayOwn(c.self.candidate(), members, int(c.roster.poolCount.Load()))
	c.outranked++
	if mayOwn || len(*c.roster.pools.Load()) > 0 || len(*c.roster.claims.Load()) > 0 {
		c.outranked = 0
	}
	// The first settled view shows all entries that have started together.
	first := !c.decided
	c.decided = true
	switch {
	case mayOwn && !c.member:
		c.member = true
		c.roster.logger.Info("entry may own pools", "members", len(members))
		return true
	case c.member && c.outranked > 0 && (first || c.outranked >= stepDownRounds):
		c.member = false
		c.roster.logger.Info("entry owns no pools: enough stronger ones are alive in its zone", "members", len(members))
		return true
	}
	return false
}

// candidate returns the entry as one that may own pools.
func (h Heartbeat) candidate() owners.Member {
	return owners.Member{Name: h.Name, Zone: h.Zone, Incarnation: h.Incarnation, Capacity: h.Capacity, Link: h.Link}
}

// markStoreLost publishes the time since which the store is unavailable, unless it is already marked.
func (c *core) markStoreLost(at time.Time) {
	if !c.storeLostSince.IsZero() {
		return
	}
	c.storeLostSince = at
	v := *c.roster.view.Load()
	v.StoreLostSince = at
	c.roster.view.Store(&v)
}

// writeHeartbeat writes the heartbeat and reports whether the store has accepted it. After a failure
// the other entries see the previous heartbeat until the next write succeeds.
func (c *core) writeHeartbeat(ctx context.Context) bool {
	c.self.Seq++
	c.triedPools, c.triedClaims = c.roster.pools.Load(), c.roster.claims.Load()
	c.self.Pools, c.self.Claims = *c.triedPools, *c.triedClaims
	c.self.Leaving = c.leaving || !c.member
	if c.self.Leaving {
		c.self.Claims = nil
	}
	if c.left || !c.member {
		c.self.Pools = nil
	}
	value, err := codec.EncodeFrame(c.self)
	if err != nil {
		c.roster.logger.Error("heartbeat could not be encoded and is not written", "err", err)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := c.roster.log.Append(ctx, stream, []port.Record{{Key: c.self.Name, Value: value}}, nil, -1); err != nil {
		c.roster.logger.Debug("heartbeat not written to the store; the next one follows", "err", err)
		return false
	}
	return true
}

// readHeartbeats reads and applies the heartbeats written since the last read.
func (c *core) readHeartbeats(ctx context.Context) error {
	records, err := c.reader.Poll(ctx, 0)
	if err != nil {
		return err
	}
	c.applyHeartbeats(records)
	return nil
}

func (c *core) applyHeartbeats(records []port.Record) {
	now := time.Now()
	for _, r := range records {
		if r.Value == nil {
			delete(c.rows, r.Key)
			continue
		}
		hb, err := codec.DecodeFrame[Heartbeat](r.Value)
		if err != nil {
			c.roster.logger.Warn("heartbeat could not be decoded; the previous one is kept",
				"entry", r.Key, "err", err)
			continue
		}
		old := c.rows[hb.Name]
		if old != nil && (hb.Incarnation < old.heartbeat.Incarnation ||
			(hb.Incarnation == old.heartbeat.Incarnation && hb.Seq <= old.heartbeat.Seq)) {
			continue
		}
		c.rows[hb.Name] = &row{heartbeat: hb, changedAt: now}
	}
}

func (c *core) publishView(ctx context.Context, now, began time.Time) {
	if c.readingSince.IsZero() || now.Sub(c.lastRead) > c.interval()+readMargin {
		// While nothing could be read, missing heartbeats do not show that entries are dead.
		c.readingSince = now
	}
	c.lastRead = now
	v := &View{Alive: map[string]Heartbeat{}, Owners: map[string]Owner{}, StoreLostSince: c.storeLostSince, AsOf: began}
	v.Settled = now.Sub(c.readingSince) >= settleAfter
	for name, r := range c.rows {
		silence := now.Sub(later(r.changedAt, c.readingSince))
		if silence > evictAfter {
			delete(c.rows, name)
		}
		if silence > deadAfter {
			continue
		}
		if !r.heartbeat.Leaving {
			v.Alive[name] = r.heartbeat
		}
		for pool, epoch := range r.heartbeat.Pools {
			if epoch > v.Owners[pool].Epoch {
				v.Owners[pool] = Owner{Name: name, Address: r.heartbeat.Address, Epoch: epoch, Leaving: r.heartbeat.Leaving}
			}
		}
	}
	changed := c.updateMembership(v)
	v.Member = c.member && c.decided
	c.roster.view.Store(v)
	c.roster.onView(v)
	if changed {
		c.writeHeartbeat(ctx)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
