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
	// routerTick is the time between two looks at the pools.
	routerTick = 100 * time.Millisecond
	// wakeGap is how long the process must have stood still for its view to be
	// held back until it was confirmed.
	wakeGap = time.Second
	// confirmTimeout bounds one confirmation.
	confirmTimeout = 5 * time.Second
	// routerInbox is the mailbox length of the router's task, in messages.
	routerInbox = 1024
)

// pulse is the time up to which the entry's view is known to be fresh. The router's
// task writes it, the pools' tasks read it.
type pulse struct{ at atomic.Int64 }

func (p *pulse) beat(now time.Time) { p.at.Store(now.UnixNano()) }

func (p *pulse) fresh(now time.Time) bool {
	return now.UnixNano()-p.at.Load() < int64(wakeGap)
}

// Summary is what the router tells of its pools.
type Summary struct {
	// Offset is the offset up to which every pool's routing is in force.
	Offset uint64
	// Busy names hosts out of service on which requests are in flight.
	Busy []string
	// Failing names hosts that fail what they are sent.
	Failing []string
	// Room is the number of free slots of each pool.
	Room map[string]int
	// Kinds counts what is done for each kind.
	Kinds []KindStat
}

// directory tells where requests of each kind go. It is never changed after it has
// been published.
type directory struct {
	table *Table
	pools map[string]*Pool
}

// Router owns the pools' tasks. Use [New] to build it.
type Router struct {
	limits  Limits
	logger  *slog.Logger
	confirm func(ctx context.Context) error
	tell    func(Summary)
	pulse   *pulse
	current atomic.Pointer[directory]
	task    *task.Task[routerMessage]
}

// Option changes how a router is built.
type Option func(*Router)

// WithConfirm sets how the view is confirmed after the process stood still.
func WithConfirm(f func(ctx context.Context) error) Option {
	return func(r *Router) { r.confirm = f }
}

// WithSummaryHandler sets who hears summaries, once a tick. It must not block.
func WithSummaryHandler(f func(Summary)) Option { return func(r *Router) { r.tell = f } }

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option { return func(r *Router) { r.logger = l } }

// New starts a router without any pools.
func New(limits Limits, opts ...Option) *Router {
	r := &Router{
		limits: limits, logger: slog.Default(), pulse: &pulse{},
		confirm: func(context.Context) error { return nil }, tell: func(Summary) {},
	}
	for _, opt := range opts {
		opt(r)
	}
	r.current.Store(&directory{})
	r.pulse.beat(time.Now())
	r.task = task.Start(r.run, task.WithInbox(routerInbox))
	return r
}

// Close stops the router and its pools and waits for them.
func (r *Router) Close() { r.task.Close() }

// Apply puts a table in force. Tables must come in the order of their offsets.
func (r *Router) Apply(t *Table) { _ = r.task.Send(context.Background(), apply{t}) }

// AdvanceOffset says that records up to an offset changed nothing about routing.
func (r *Router) AdvanceOffset(offset uint64) { _ = r.task.Send(context.Background(), passed{offset}) }

// Avoid names the hosts that take no new requests, whatever the table says.
func (r *Router) Avoid(hosts []string) {
	set := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		set[h] = true
	}
	_ = r.task.Send(context.Background(), avoidAll{set})
}

// Summary returns the newest summary.
func (r *Router) Summary(ctx context.Context) (Summary, error) {
	return task.Call(ctx, r.task, func(reply chan<- Summary) routerMessage { return summarize{reply} })
}

// ErrUnknownKind reports a request kind that no pool serves.
var ErrUnknownKind = errors.New("no pool serves the kind")

// ErrNoTable reports that the router has no table yet.
var ErrNoTable = errors.New("no configuration yet")

// Lookup returns the routing of a kind's pool.
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

// Submit asks for a slot. The ticket's first reply comes at once.
func (r *Router) Submit(ctx context.Context, a SlotRequest) (*Ticket, error) {
	d := r.current.Load()
	if d.table == nil {
		return nil, ErrNoTable
	}
	pool := d.pools[d.table.Kinds[a.Kind]]
	if pool == nil {
		return nil, ErrUnknownKind
	}
	// A ticket gets two replies at most, so the pool's task never waits.
	t := &Ticket{ask: a, pool: pool, reply: make(chan Reply, 2)}
	return t, pool.task.Send(ctx, submit{t})
}

// TakeRetry takes one retry from a kind's retry budget, and reports whether there
// was one.
func (r *Router) TakeRetry(ctx context.Context, kind string) bool {
	d := r.current.Load()
	if d.table == nil || d.pools[d.table.Kinds[kind]] == nil {
		return false
	}
	pool := d.pools[d.table.Kinds[kind]]
	ok, err := task.Call(ctx, pool.task, func(reply chan<- bool) poolMessage { return mayRetry{kind, reply} })
	return err == nil && ok
}

// Stale reports whether a grant is too old to be used: the process stood still
// since it was given.
func (g *Grant) Stale(now time.Time) bool { return now.Sub(g.GrantedAt) > wakeGap }

type routerMessage interface{ handle(s *routerState) }

type (
	apply     struct{ table *Table }
	passed    struct{ offset uint64 }
	avoidAll  struct{ hosts map[string]bool }
	summarize struct{ reply chan<- Summary }
	// changed says that a pool has something new to report.
	changed struct{ pool string }
	// confirmed says that the view was confirmed, or that no one could be asked.
	confirmed struct{ err error }
)

// routerState is the state of the router's task.
type routerState struct {
	r     *Router
	ctx   context.Context
	table *Table
	// offset is the newest offset heard of, seq the number of the table.
	offset  uint64
	seq     uint64
	pools   map[string]*Pool
	avoided map[string]bool
	// reports holds the newest report of each pool, changed the pools that have
	// something new to report.
	reports map[string]report
	changed map[string]bool
	// newest is the last summary; stale says that it has to be made anew.
	newest Summary
	stale  bool
	// acked is the offset that every pool's routing is known to be in force at.
	acked   uint64
	lastRun time.Time
	// held is set while the view has to be confirmed.
	held bool
}

func (r *Router) run(ctx context.Context, inbox <-chan routerMessage) {
	s := &routerState{
		r: r, ctx: ctx, pools: make(map[string]*Pool), reports: make(map[string]report),
		changed: make(map[string]bool), lastRun: time.Now(),
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
	s.r.current.Store(&directory{})
	for _, p := range s.pools {
		p.task.Close()
	}
}

// tick keeps the view fresh and asks the pools for reports.
func (s *routerState) tick() {
	now := time.Now()
	if now.Sub(s.lastRun) > wakeGap && !s.held {
		s.r.logger.Warn("process stood still; the view has to be confirmed", "gap", now.Sub(s.lastRun).String())
		s.held = true
		go s.askConfirm()
	}
	s.lastRun = now
	if !s.held {
		s.r.pulse.beat(now)
	}
	for name := range s.changed {
		if s.pools[name].task.TrySend(poll{func(r report) bool { return s.r.task.TrySend(r) }}) {
			delete(s.changed, name)
		}
	}
	s.r.tell(s.summary())
}

func (m changed) handle(s *routerState) { s.changed[m.pool] = true }

// askConfirm runs beside the task, since it waits for the log or for peers.
func (s *routerState) askConfirm() {
	ctx, cancel := context.WithTimeout(s.ctx, confirmTimeout)
	defer cancel()
	_ = s.r.task.Send(s.ctx, confirmed{s.r.confirm(ctx)})
}

func (m confirmed) handle(s *routerState) {
	s.r.logger.Info("view confirmed", "error", m.err)
	s.held, s.stale = false, true
	s.lastRun = time.Now()
	s.r.pulse.beat(s.lastRun)
	for _, p := range s.pools {
		p.task.TrySend(poke{})
	}
}

func (m passed) handle(s *routerState) {
	s.offset = max(s.offset, m.offset)
	s.stale = true
}

func (m avoidAll) handle(s *routerState) {
	s.avoided = m.hosts
	for _, p := range s.pools {
		_ = p.task.Send(s.ctx, avoid(m))
	}
}

func (m apply) handle(s *routerState) {
	s.table, s.seq, s.stale = m.table, s.seq+1, true
	s.offset = max(s.offset, m.table.Offset)
	for name := range m.table.Pools {
		if s.pools[name] == nil {
			s.pools[name] = newPool(name, s.r.limits, s.r.pulse, s.announce)
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
		_ = p.task.Send(s.ctx, view{table: table, seq: s.seq, lenders: lendersFor(p, lenders)})
		_ = p.task.Send(s.ctx, avoid{s.avoided})
	}
	s.r.current.Store(&directory{table: m.table, pools: maps.Clone(s.pools)})
}

// announce is called by pools' tasks.
func (s *routerState) announce(pool string) bool { return s.r.task.TrySend(changed{pool}) }

// lendersFor leaves a pool out of its own lenders.
func lendersFor(p *Pool, lenders []*Pool) []*Pool {
	return slices.DeleteFunc(slices.Clone(lenders), func(l *Pool) bool { return l == p })
}

func (m report) handle(s *routerState) {
	s.reports[m.pool] = m
	s.stale = true
}

func (m summarize) handle(s *routerState) { m.reply <- s.summary() }

// summary returns the newest summary; callers must not change it.
func (s *routerState) summary() Summary {
	if s.stale {
		s.newest, s.stale = s.summarize(), false
	}
	return s.newest
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
	if current && !s.held {
		s.acked = s.offset
	}
	out.Offset = s.acked
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
