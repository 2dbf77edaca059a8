package route

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"carawaymux.dev/fleet/task"
)

const (
	// routerTick is the time between two heartbeats. At each one the router also polls
	// the pools that have changed.
	routerTick = 100 * time.Millisecond
	// maxHeartbeatGap is the longest time between two heartbeats. After a longer one the
	// process was paused, so its routing table may be outdated: pools grant no slots until
	// the table has been confirmed.
	maxHeartbeatGap = time.Second
	// confirmTimeout bounds the confirmation of the routing table.
	confirmTimeout = 5 * time.Second
	// routerInbox is the mailbox length of the router's task, in messages.
	routerInbox = 1024
)

// heartbeat holds the time at which the routing table was last known to be up to date. The
// router's task writes it and the pools' tasks read it.
type heartbeat struct{ recordedAt atomic.Int64 }

func (h *heartbeat) record(now time.Time) { h.recordedAt.Store(now.UnixNano()) }

func (h *heartbeat) fresh(now time.Time) bool {
	return now.UnixNano()-h.recordedAt.Load() < int64(maxHeartbeatGap)
}

// Summary is the state of all pools. Its fields are published under their names at
// /debug/vars.
type Summary struct {
	// Offset is the log offset up to which all records are in force in every pool.
	Offset uint64
	// Busy names the hosts out of service that still run requests.
	Busy []string
	// Failing names the hosts that were ejected for failures and have not recovered.
	Failing []string
	// Room is the number of free slots of each pool.
	Room map[string]int
	// Kinds holds the figures of each request kind.
	Kinds []KindStat
}

// directory maps request kinds to the tasks of their pools. It is immutable once it has been
// published.
type directory struct {
	table *Table
	pools map[string]*Pool
}

// Router assigns requests to pools and owns the pools' tasks. Use [New] to build it.
type Router struct {
	limits    Limits
	logger    *slog.Logger
	confirm   func(ctx context.Context) error
	onSummary func(Summary)
	heartbeat *heartbeat
	current   atomic.Pointer[directory]
	task      *task.Task[routerMessage]
}

// Option configures a router.
type Option func(*Router)

// WithConfirm sets the function that confirms that the routing table is up to date after the
// process was paused.
func WithConfirm(f func(ctx context.Context) error) Option {
	return func(r *Router) { r.confirm = f }
}

// WithSummaryHandler sets a function that gets a summary every 100 ms. It must not block.
func WithSummaryHandler(f func(Summary)) Option { return func(r *Router) { r.onSummary = f } }

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option { return func(r *Router) { r.logger = l } }

// New starts a router without pools.
func New(limits Limits, opts ...Option) *Router {
	r := &Router{
		limits: limits, logger: slog.Default(), heartbeat: &heartbeat{},
		confirm: func(context.Context) error { return nil }, onSummary: func(Summary) {},
	}
	for _, opt := range opts {
		opt(r)
	}
	r.current.Store(&directory{})
	r.heartbeat.record(time.Now())
	r.task = task.Start(r.run, task.WithInbox(routerInbox))
	return r
}

// Close stops the router and its pools and waits until they have ended.
func (r *Router) Close() { r.task.Close() }

// Apply puts a table in force. Tables must be applied in the order of their offsets.
func (r *Router) Apply(t *Table) { _ = r.task.Send(context.Background(), apply{t}) }

// AdvanceOffset tells the router that the records up to an offset do not change the table.
func (r *Router) AdvanceOffset(offset uint64) {
	_ = r.task.Send(context.Background(), advanceOffset{offset})
}

// Avoid replaces the set of hosts that get no new requests even if the table lists them as
// serving.
func (r *Router) Avoid(hosts []string) {
	set := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		set[h] = true
	}
	_ = r.task.Send(context.Background(), avoidHosts{set})
}

// Summary returns the newest summary.
func (r *Router) Summary(ctx context.Context) (Summary, error) {
	return task.Call(ctx, r.task, func(reply chan<- Summary) routerMessage { return summarize{reply} })
}

// ErrUnknownKind reports a request kind that no pool serves.
var ErrUnknownKind = errors.New("no pool serves this request kind")

// ErrNoTable reports that no table has been applied yet.
var ErrNoTable = errors.New("the entry has no configuration yet")

// Lookup returns the table of the pool that serves a kind.
func (r *Router) Lookup(kind string) (PoolTable, error) {
	d := r.current.Load()
	if d.table == nil {
		return PoolTable{}, ErrNoTable
	}
	name, known := d.table.Kinds[kind]
	if !known {
		return PoolTable{}, ErrUnknownKind
	}
	return d.table.Pools[name], nil
}

// Submit requests a slot. The ticket gets its first reply without waiting for a slot.
func (r *Router) Submit(ctx context.Context, request SlotRequest) (*Ticket, error) {
	d := r.current.Load()
	if d.table == nil {
		return nil, ErrNoTable
	}
	pool := d.pools[d.table.Kinds[request.Kind]]
	if pool == nil {
		return nil, ErrUnknownKind
	}
	// A ticket gets at most two replies, so the pool's task never blocks.
	t := &Ticket{request: request, pool: pool, reply: make(chan Reply, 2)}
	return t, pool.task.Send(ctx, submit{t})
}

// TakeRetry takes one retry from the retry budget of a kind. It returns false if the budget is
// used up.
func (r *Router) TakeRetry(ctx context.Context, kind string) bool {
	d := r.current.Load()
	if d.table == nil || d.pools[d.table.Kinds[kind]] == nil {
		return false
	}
	pool := d.pools[d.table.Kinds[kind]]
	ok, err := task.Call(ctx, pool.task, func(reply chan<- bool) poolMessage { return takeRetry{kind, reply} })
	return err == nil && ok
}

// Stale reports whether a grant is too old to be used, because the process was paused after it
// was given.
func (g *Grant) Stale(now time.Time) bool { return now.Sub(g.GrantedAt) > maxHeartbeatGap }

type routerMessage interface{ handle(s *routerState) }

type (
	apply         struct{ table *Table }
	advanceOffset struct{ offset uint64 }
	avoidHosts    struct{ hosts map[string]bool }
	summarize     struct{ reply chan<- Summary }
	// poolChanged tells the router that a pool has changed.
	poolChanged struct{ pool string }
	// confirmed reports that the confirmation has ended; err is set if it failed, for
	// example because neither the log nor a peer could be reached. Slots are granted
	// again in both cases.
	confirmed struct{ err error }
)

// routerState is the state of the router's task.
type routerState struct {
	router *Router
	ctx    context.Context
	table  *Table
	// offset is the newest known log offset; seq counts the tables.
	offset  uint64
	seq     uint64
	pools   map[string]*Pool
	avoided map[string]bool
	// reports holds the newest report of each pool; changed holds the pools that have
	// changed since they were polled.
	reports map[string]report
	changed map[string]bool
	// lastSummary is the last summary; summaryStale is set if it must be made again.
	lastSummary  Summary
	summaryStale bool
	// ackedOffset is the newest offset up to which all records are known to be in force
	// in every pool.
	ackedOffset uint64
	lastTick    time.Time
	// unconfirmed is set from a pause of the process until the confirmation has ended.
	unconfirmed bool
}

func (r *Router) run(ctx context.Context, inbox <-chan routerMessage) {
	s := &routerState{
		router: r, ctx: ctx, pools: make(map[string]*Pool), reports: make(map[string]report),
		changed: make(map[string]bool), lastTick: time.Now(),
	}
	tick := time.NewTicker(routerTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			s.close()
			return
		case m := <-inbox:
			m.handle(s)
		case <-tick.C:
			s.tick()
		}
	}
}

func (s *routerState) close() {
	s.router.current.Store(&directory{})
	for _, p := range s.pools {
		p.task.Close()
	}
}

// tick records the heartbeat, polls the pools that have changed and passes on the summary.
func (s *routerState) tick() {
	now := time.Now()
	if now.Sub(s.lastTick) > maxHeartbeatGap && !s.unconfirmed {
		s.router.logger.Warn("process was paused; granting no slots until the routing table is confirmed",
			"gap", now.Sub(s.lastTick).String())
		s.unconfirmed = true
		go s.confirmTable()
	}
	s.lastTick = now
	if !s.unconfirmed {
		s.router.heartbeat.record(now)
	}
	for name := range s.changed {
		if s.pools[name].task.TrySend(poll{func(r report) bool { return s.router.task.TrySend(r) }}) {
			delete(s.changed, name)
		}
	}
	s.router.onSummary(s.summary())
}

func (m poolChanged) handle(s *routerState) { s.changed[m.pool] = true }

// confirmTable confirms that the routing table is up to date. It runs in its own goroutine, since it
// waits for the log or for peers.
func (s *routerState) confirmTable() {
	ctx, cancel := context.WithTimeout(s.ctx, confirmTimeout)
	defer cancel()
	_ = s.router.task.Send(s.ctx, confirmed{s.router.confirm(ctx)})
}

func (m confirmed) handle(s *routerState) {
	s.router.logger.Info("confirmation of the routing table has ended; granting slots again even if it failed",
		"err", m.err)
	s.unconfirmed, s.summaryStale = false, true
	s.lastTick = time.Now()
	s.router.heartbeat.record(s.lastTick)
	for _, p := range s.pools {
		p.task.TrySend(checkGrants{})
	}
}

func (m advanceOffset) handle(s *routerState) {
	s.offset = max(s.offset, m.offset)
	s.summaryStale = true
}

func (m avoidHosts) handle(s *routerState) {
	s.avoided = m.hosts
	for _, p := range s.pools {
		_ = p.task.Send(s.ctx, setAvoided(m))
	}
}

func (m apply) handle(s *routerState) {
	s.table, s.seq, s.summaryStale = m.table, s.seq+1, true
	s.offset = max(s.offset, m.table.Offset)
	for name := range m.table.Pools {
		if s.pools[name] == nil {
			s.pools[name] = newPool(name, s.router.limits, s.router.heartbeat, s.notifyChange)
		}
	}
	var lenders []*Pool
	for _, name := range slices.Sorted(maps.Keys(m.table.Pools)) {
		if m.table.Pools[name].Spare {
			lenders = append(lenders, s.pools[name])
		}
	}
	for name, p := range s.pools {
		table, kept := m.table.Pools[name]
		if !kept {
			table = PoolTable{Name: name}
		}
		_ = p.task.Send(s.ctx, setTable{table: table, seq: s.seq, lenders: lendersExcept(p, lenders)})
		_ = p.task.Send(s.ctx, setAvoided{s.avoided})
	}
	s.router.current.Store(&directory{table: m.table, pools: maps.Clone(s.pools)})
}

// notifyChange marks a pool as changed and reports whether the router took the message. The pools'
// tasks call it.
func (s *routerState) notifyChange(pool string) bool { return s.router.task.TrySend(poolChanged{pool}) }

// lendersExcept returns the lenders without the pool itself.
func lendersExcept(p *Pool, lenders []*Pool) []*Pool {
	return slices.DeleteFunc(slices.Clone(lenders), func(l *Pool) bool { return l == p })
}

func (m report) handle(s *routerState) {
	s.reports[m.pool] = m
	s.summaryStale = true
}

func (m summarize) handle(s *routerState) { m.reply <- s.summary() }

// summary returns the newest summary. Callers must not modify it.
func (s *routerState) summary() Summary {
	if s.summaryStale {
		s.lastSummary, s.summaryStale = s.summarize(), false
	}
	return s.lastSummary
}

func (s *routerState) summarize() Summary {
	out := Summary{Room: make(map[string]int, len(s.pools))}
	current := s.table != nil
	for name := range s.pools {
		r := s.reports[name]
		current = current && r.seq == s.seq
		out.Busy = append(out.Busy, r.busy...)
		out.Failing = append(out.Failing, r.failing...)
		out.Kinds = append(out.Kinds, r.kinds...)
		out.Room[name] = r.free
	}
	if current && !s.unconfirmed {
		s.ackedOffset = s.offset
	}
	out.Offset = s.ackedOffset
	slices.Sort(out.Busy)
	out.Busy = slices.Compact(out.Busy)
	slices.SortFunc(out.Kinds, func(a, b KindStat) int {
		if a.Kind < b.Kind {
			return -1
		}
		return 1
	})
	return out
}
