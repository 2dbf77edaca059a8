package lender_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/claim"
	"carawaymux.dev/entry/duties"
	"carawaymux.dev/entry/lender"
	"carawaymux.dev/entry/owner"
	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/caps"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// memoryLog is a store that keeps all records. It refuses the appends of fenced writers.
type memoryLog struct {
	mu      sync.Mutex
	records map[port.Stream][]port.Record
	epochs  map[string]int64
}

func (l *memoryLog) Append(_ context.Context, s port.Stream, records []port.Record, w *port.Writer, _ int64) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w != nil && w.Epoch < l.epochs[w.Name] {
		return 0, port.ErrFenced
	}
	if w != nil {
		l.epochs[w.Name] = w.Epoch
	}
	l.records[s] = append(l.records[s], records...)
	return int64(len(l.records[s])), nil
}

func (l *memoryLog) Read(ctx context.Context, _ port.Stream, from int64, wait time.Duration) (port.Page, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return port.Page{End: from}, ctx.Err()
}

func (l *memoryLog) Newest(_ context.Context, s port.Stream, _ string) (port.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := map[string][]byte{}
	for _, r := range l.records[s] {
		newest[r.Key] = r.Value
	}
	page := port.Page{End: int64(len(l.records[s]))}
	for key, value := range newest {
		if value != nil {
			page.Records = append(page.Records, port.Record{Key: key, Value: value})
		}
	}
	return page, nil
}

// site is a store, pools with one host each, and the links between the lender and the owners.
type site struct {
	t   *testing.T
	log *memoryLog
	mu  sync.Mutex
	// running holds what runs, by host and task. most is the largest number of tasks of the tenant that ran at once, and calls counts
	// the requests to owners.
	running     map[string]map[string]port.ActiveRun
	most, calls int
	owners      map[string]*owner.Owner
	hosts       []port.Host
	config      *port.Config
	since       time.Time
}

func newSite(t *testing.T, limit batch.Size) *site {
	return &site{
		t: t, log: &memoryLog{records: map[port.Stream][]port.Record{}, epochs: map[string]int64{}}, running: map[string]map[string]port.ActiveRun{},
		owners: map[string]*owner.Owner{}, since: time.Now(),
		config: &port.Config{Version: 1, Tenants: []port.Tenant{{Name: "t", Cap: limit}}},
	}
}

func (s *site) logger() *slog.Logger { return slog.New(slog.NewJSONHandler(io.Discard, nil)) }

// host is the client of a host that starts what it is told and runs it until it is stopped.
type host struct {
	*site
	id string
}

func (s *site) Open(h port.Host) port.HostClient { return host{s, h.ID} }

func (h host) clock() int64 { return time.Since(h.since).Milliseconds() + 1 }

func (h host) Heartbeat(ctx context.Context, b port.Heartbeat) (port.HostReport, error) {
	select {
	case <-time.After(min(b.Wait, 50*time.Millisecond) + time.Millisecond):
	case <-ctx.Done():
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	report := port.HostReport{Clock: h.clock(), Born: 1}
	for _, r := range h.running[h.id] {
		report.Running = append(report.Running, r)
	}
	return report, ctx.Err()
}

func (h host) Start(_ context.Context, o port.StartOrder) (int64, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.running[h.id] == nil {
		h.running[h.id] = map[string]port.ActiveRun{}
	}
	h.running[h.id][o.Unit] = port.ActiveRun{Unit: o.Unit, Run: o.Run, ProgressPercent: 100}
	total := 0
	for _, runs := range h.running {
		total += len(runs)
	}
	h.most = max(h.most, total)
	return h.clock(), nil
}

func (h host) Stop(_ context.Context, unit string, _, _ int64) (int64, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.running[h.id], unit)
	return h.clock(), nil
}

func (host) Throttle(context.Context, string, int64, int, int64) error { return nil }
func (host) Close()                                                    {}

type noMachines struct{ port.MachineService }

func (noMachines) List(context.Context) ([]port.Machine, error) { return nil, nil }

// startOwner starts an owner of a pool, from what earlier ones have stored.
func (s *site) startOwner(pool string) *owner.Owner {
	h := port.Host{ID: "h-" + pool, Pool: pool, Born: 1, Capacity: batch.Size{MilliCores: 8000, MemoryMB: 8000}}
	if !slices.ContainsFunc(s.hosts, func(known port.Host) bool { return known.ID == h.ID }) {
		s.hosts = append(s.hosts, h)
	}
	acquired, err := claim.Acquire(s.t.Context(), s.log, pool, "entry", 1, 4)
	require.NoError(s.t, err)
	stored, err := owner.ReadState(s.t.Context(), acquired)
	require.NoError(s.t, err)
	settings := owner.Settings{Partitions: 4, Timing: shard.Timing{
		Lease: 3 * time.Second, MaxLease: 6 * time.Second, Grace: 3 * time.Second, Retention: time.Minute, StopTimeout: time.Second,
	}}
	deps := owner.Deps{Log: s.log, HostClients: s, Machines: noMachines{}, Logger: s.logger()}
	o := owner.Start(settings, deps, acquired, stored, s.config, s.hosts)
	s.t.Cleanup(o.Close)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owners[pool] = o
	return o
}

func (s *site) pools() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for name := range s.owners {
		out = append(out, name)
	}
	return out
}

func (s *site) ask(ctx context.Context, pool string, budgets []caps.Budget, all bool) (owner.Answer, bool) {
	s.mu.Lock()
	o := s.owners[pool]
	s.calls++
	s.mu.Unlock()
	if o == nil {
		return owner.Answer{}, false
	}
	return o.Budgets(ctx, budgets, all), true
}

// startLender starts a holder of the claim, from what earlier ones have stored.
func (s *site) startLender() duties.Holder {
	acquired, err := claim.Acquire(s.t.Context(), s.log, lender.ClaimName, "entry", 1, 4)
	require.NoError(s.t, err)
	prepare := lender.Starter(lender.Settings{}, lender.Deps{Log: s.log, Logger: s.logger(), Pools: s.pools, Ask: s.ask})
	start, err := prepare(s.t.Context(), acquired)
	require.NoError(s.t, err)
	l := start(s.config, nil)
	s.t.Cleanup(l.Close)
	return l
}

func (s *site) submit(pool, id string, tasks int) {
	spec := batch.Spec{Queue: "q", Tenant: "t", AcceptedMS: time.Now().UnixMilli(), Steps: []batch.Step{{
		Count: tasks, Need: batch.Size{MilliCores: 1000}, Estimate: time.Minute,
	}}}
	q := port.Queue{Name: "q", Pool: pool, Version: 1, Target: time.Minute}
	require.Equal(s.t, owner.Accepted, s.owners[pool].Submit(s.t.Context(), q, id, spec).Outcome)
}

func (s *site) cancel(pool, id string) {
	require.Equal(s.t, owner.Accepted, s.owners[pool].Cancel(s.t.Context(), id, owner.OfTenant("t")).Outcome)
}

// requireRunning waits until a number of tasks runs in a pool.
func (s *site) requireRunning(pool string, tasks int) {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.running["h-"+pool]) == tasks
	}, 20*time.Second, 5*time.Millisecond, "pool %s", pool)
}

// Guards against a cap that stays in a pool without work, that is exceeded while it moves, or that is lost with the lender or an owner.
func TestACapFollowsTheDemand(t *testing.T) {
	s := newSite(t, batch.Size{MilliCores: 4000})
	for _, pool := range []string{"a", "b"} {
		s.startOwner(pool)
	}
	s.submit("a", "0000000000000001", 6)
	first := s.startLender()
	s.requireRunning("a", 4)

	s.cancel("a", "0000000000000001")
	moved := time.Now()
	s.submit("b", "0000000000000002", 6)
	s.requireRunning("b", 4)
	t.Logf("the cap moved in %v", time.Since(moved))

	// A successor of the lender has the budgets that are stored.
	first.Close()
	s.startLender()
	s.submit("a", "0000000000000003", 2)
	s.cancel("b", "0000000000000002")
	s.requireRunning("a", 2)

	// So has a successor of an owner, with what runs.
	s.owners["a"].Close()
	s.startOwner("a")
	s.submit("a", "0000000000000004", 5)
	s.requireRunning("a", 4)
	require.LessOrEqual(t, s.most, 4, "tasks at once")
}

// Guards against a cap that is exceeded by what had started before the tenant had one.
func TestWhatRanBeforeTheFirstCapCounts(t *testing.T) {
	s := newSite(t, batch.Size{})
	s.startOwner("a")
	s.startOwner("b")
	s.submit("a", "0000000000000001", 3)
	s.requireRunning("a", 3)
	s.config = &port.Config{Version: 2, Tenants: []port.Tenant{{Name: "t", Cap: batch.Size{MilliCores: 4000}}}}
	s.startLender()
	// The owners learn of the cap late.
	s.submit("b", "0000000000000002", 8)
	for _, o := range s.owners {
		require.NoError(t, o.Configure(t.Context(), s.config))
	}
	before := s.most
	s.cancel("a", "0000000000000001")
	s.requireRunning("b", max(before-3, 4))
	require.LessOrEqual(t, s.most, max(before, 4))
}

// Guards against requests that deployments without caps would make.
func TestWithoutACapNobodyIsAsked(t *testing.T) {
	s := newSite(t, batch.Size{})
	require.False(t, lender.IsNeeded(s.config))
	s.startOwner("a")
	s.startLender()
	time.Sleep(400 * time.Millisecond)
	require.Zero(t, s.calls)
}

// Guards against a lender that does not start because an account cannot be read.
func TestAnAccountThatCannotBeReadIsBegunAnew(t *testing.T) {
	s := newSite(t, batch.Size{MilliCores: 4000})
	stream := claim.StateStream(lender.ClaimName, 4)
	_, err := s.log.Append(t.Context(), stream, []port.Record{{Key: fmt.Sprint(lender.ClaimName, "/t/t"), Value: []byte("nonsense")}}, nil, -1)
	require.NoError(t, err)
	s.startOwner("a")
	s.startLender()
	s.submit("a", "0000000000000001", 6)
	s.requireRunning("a", 4)
}
