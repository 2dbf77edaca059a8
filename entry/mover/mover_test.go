package mover_test

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/claim"
	"carawaymux.dev/entry/duties"
	"carawaymux.dev/entry/mover"
	"carawaymux.dev/entry/owner"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
	"carawaymux.dev/fleet/sizing"
)

const (
	// term is the time that has to pass between the orders of two holders for one machine.
	term = 2 * time.Second
	// callTimeout is how long a call of the earlier holder may still be in flight; a new holder
	// waits for it in addition to the term.
	callTimeout = 900 * time.Millisecond
)

// memoryStore is a store that keeps the newest value of each key. Only the goroutine that reads
// the requests accesses its state.
type memoryStore struct {
	requests chan func(map[string][]byte)
	// largest is the size of the largest record that was appended.
	largest *atomic.Int64
}

func newMemoryStore(t *testing.T) memoryStore {
	m := memoryStore{make(chan func(map[string][]byte)), new(atomic.Int64)}
	go func() {
		values := map[string][]byte{}
		for do := range m.requests {
			do(values)
		}
	}()
	t.Cleanup(func() { close(m.requests) })
	return m
}

func (m memoryStore) Append(_ context.Context, s port.Stream, records []port.Record, _ *port.Writer, _ int64) (int64, error) {
	done := make(chan struct{})
	m.requests <- func(values map[string][]byte) {
		for _, e := range records {
			values[s.Topic+e.Key] = e.Value
			m.largest.Store(max(m.largest.Load(), int64(e.StoredBytes())))
		}
		close(done)
	}
	<-done
	return 1, nil
}

func (m memoryStore) Read(context.Context, port.Stream, int64, time.Duration) (port.Page, error) {
	return port.Page{}, nil
}

func (m memoryStore) Newest(_ context.Context, s port.Stream, _ string) (port.Page, error) {
	out := make(chan port.Page, 1)
	m.requests <- func(values map[string][]byte) {
		p := port.Page{End: 1}
		for k, v := range values {
			if rest, ok := cut(k, s.Topic); ok {
				p.Records = append(p.Records, port.Record{Key: rest, Value: v})
			}
		}
		out <- p
	}
	return <-out, nil
}

func cut(s, prefix string) (string, bool) {
	if len(s) < len(prefix) || s[:len(prefix)] != prefix {
		return "", false
	}
	return s[len(prefix):], true
}

// order is an order for a machine and the time at which it arrived.
type order struct {
	machine, to string
	at          time.Time
}

// fakeMachines is a list of machines on standby. It passes orders to a channel.
type fakeMachines struct {
	names  []string
	orders chan order
	// pools holds the pool of each machine that has been moved.
	pools *sync.Map
}

func newFakeMachines(names ...string) fakeMachines {
	return fakeMachines{names, make(chan order, 16), &sync.Map{}}
}

func (f fakeMachines) List(context.Context) ([]port.Machine, error) {
	var out []port.Machine
	for _, n := range f.names {
		m := port.Machine{ID: n, Pool: "spare", State: port.MachineUp}
		if pool, ok := f.pools.Load(n); ok {
			m.Pool, m.Host = pool.(string), "h-"+n
		}
		out = append(out, m)
	}
	return out, nil
}

func (f fakeMachines) Move(_ context.Context, machine, pool, _ string, _ int64) (port.OrderOutcome, error) {
	f.pools.Store(machine, pool)
	f.orders <- order{machine, pool, time.Now()}
	return port.OrderDone, nil
}

func (f fakeMachines) StartMaintenance(context.Context, string, int64, string, int64) (port.OrderOutcome, error) {
	return port.OrderDone, nil
}

// startMover starts a holder of the claim on machines, from what earlier holders have stored.
func startMover(t *testing.T, m memoryStore, f fakeMachines, load func(context.Context, string) (owner.Answer, bool)) duties.Holder {
	t.Helper()
	return startMoverWith(t, m, mover.Deps{
		Machines: f, Logger: slog.New(slog.NewJSONHandler(io.Discard, nil)), Load: load,
		Waves: func() []port.Wave { return nil },
	})
}

// startMoverWithWave starts a holder with a wave to carry out, and gives it time to see and
// record the wave.
func startMoverWithWave(t *testing.T, m memoryStore, f fakeMachines, logs *slog.Logger, w port.Wave) duties.Holder {
	t.Helper()
	h := startMoverWith(t, m, mover.Deps{
		Machines: f, Logger: logs, Load: busyLoad(0), Operators: discardReports{},
		Waves: func() []port.Wave { return []port.Wave{w} },
	})
	time.Sleep(100 * time.Millisecond)
	return h
}

// discardReports accepts all reports on waves.
type discardReports struct{}

func (discardReports) ReportWave(context.Context, int64, bool) error { return nil }

func startMoverWith(t *testing.T, m memoryStore, d mover.Deps) duties.Holder {
	t.Helper()
	return startMoverWithin(t, m, d, mover.Settings{Holder: "h", Term: term})
}

func startMoverWithin(t *testing.T, m port.Log, d mover.Deps, s mover.Settings) duties.Holder {
	t.Helper()
	if d.Release == nil {
		d.Release = func(context.Context, string, []string, shard.LeaveOrder) bool { return true }
	}
	if d.Vacate == nil {
		d.Vacate = func(context.Context, string, string, shard.LeaveOrder) (owner.Answer, bool) {
			return owner.Answer{Vacant: true}, true
		}
	}
	start := mover.Starter(s, d)
	acquired, err := claim.Acquire(t.Context(), m, mover.ClaimName, "h", time.Now().UnixNano(), 4)
	require.NoError(t, err)
	build, err := start(t.Context(), acquired)
	require.NoError(t, err)
	return build(&port.Config{Pools: []port.Pool{{Name: "busy"}, {Name: "unresponsive"}, {Name: "spare", Standby: true}}}, nil)
}

// busyLoad returns loads with which the pool "busy" needs a number of machines. The owner of
// any other pool does not answer.
func busyLoad(hosts int) func(context.Context, string) (owner.Answer, bool) {
	return func(ctx context.Context, pool string) (owner.Answer, bool) {
		if pool != "busy" {
			<-ctx.Done()
			return owner.Answer{}, false
		}
		const perHost = 10_000
		return owner.Answer{Load: &sizing.Load{HostCapacity: perHost, Running: int64(hosts-2) * perHost * 85 / 100}}, true
	}
}

func nextOrder(t *testing.T, f fakeMachines) order {
	t.Helper()
	select {
	case o := <-f.orders:
		return o
	case <-time.After(10 * time.Second):
		require.Fail(t, "no order")
		return order{}
	}
}

func TestUnresponsiveOwnerDelaysNoOtherPool(t *testing.T) {
	f := newFakeMachines("m-1", "m-2", "m-3")
	began := time.Now()
	h := startMover(t, newMemoryStore(t), f, busyLoad(3))
	defer h.Close()
	for range f.names {
		o := nextOrder(t, f)
		require.Equal(t, "busy", o.to)
		// The request to the owner of the other pool takes its whole timeout of 250 ms each
		// time.
		require.Less(t, o.at.Sub(began), 500*time.Millisecond+250*time.Millisecond)
	}
}

// A holder that stops records how old its last orders are, so the next holder must not treat
// them as new.
func TestHandOverDelaysOnlyRecentlyOrderedMachines(t *testing.T) {
	m := newMemoryStore(t)
	f := newFakeMachines("m-1")
	first := startMover(t, m, f, busyLoad(3))
	old := nextOrder(t, f)
	// It keeps the claim for another term without an order to that machine.
	time.Sleep(term)
	first.Close()

	f = newFakeMachines("m-1", "m-2")
	second := startMover(t, m, f, busyLoad(4))
	defer second.Close()
	o := nextOrder(t, f)
	require.Equal(t, "m-2", o.machine, "a machine that may be ordered at once goes first")
	o = nextOrder(t, f)
	require.Equal(t, "m-1", o.machine)
	require.GreaterOrEqual(t, o.at.Sub(old.at), term)
	require.Less(t, o.at.Sub(old.at), term+callTimeout+time.Second)
}

// A holder that ended without recording the age of its orders may have sent orders to all
// authorized machines until its end.
func TestCrashDelaysAllAuthorizedMachines(t *testing.T) {
	m := newMemoryStore(t)
	_, err := m.Append(t.Context(), claim.StateStream(mover.ClaimName, 4), []port.Record{{Key: mover.ClaimName + "/o", Value: []byte("m-1 ")}}, nil, -1)
	require.NoError(t, err)
	f := newFakeMachines("m-1", "m-2")
	began := time.Now()
	h := startMover(t, m, f, busyLoad(4))
	defer h.Close()
	require.Equal(t, "m-2", nextOrder(t, f).machine)
	o := nextOrder(t, f)
	require.Equal(t, "m-1", o.machine)
	require.GreaterOrEqual(t, o.at.Sub(began), term+callTimeout)
}

// Orders of an earlier holder can be carried out while the next holder waits. This test guards
// against a next holder that still takes the moved machines for machines on standby and moves them
// again.
func TestMachineMovedByEarlierHolderIsNotMovedAgain(t *testing.T) {
	m := newMemoryStore(t)
	_, err := m.Append(t.Context(), claim.StateStream(mover.ClaimName, 4), []port.Record{{Key: mover.ClaimName + "/o", Value: []byte("m-1 ")}}, nil, -1)
	require.NoError(t, err)
	f := newFakeMachines("m-1")
	h := startMover(t, m, f, busyLoad(4))
	defer h.Close()
	time.Sleep(term / 2)
	f.pools.Store("m-1", "unresponsive")
	select {
	case o := <-f.orders:
		require.Fail(t, "ordered", "%+v", o)
	case <-time.After(term + callTimeout):
	}
}

// This test guards against holders that treat a wave that an earlier holder has seen as new. A
// wave that changed holders three times was then finished late.
func TestWaveKeepsItsAgeAcrossHolders(t *testing.T) {
	m := newMemoryStore(t)
	f := newFakeMachines("m-1", "m-2", "m-3", "m-4", "m-5", "m-6", "m-7", "m-8")
	w := port.Wave{Number: 7, Machines: f.names, TimeLimit: 4 * time.Second, MaxDown: 1}
	ages := make(chan int64, 8)
	logs := slog.New(slog.NewJSONHandler(waveAgeWriter{ages}, nil))
	for range 2 {
		startMoverWithWave(t, m, f, logs, w).Close()
		time.Sleep(600 * time.Millisecond)
	}
	require.Zero(t, <-ages)
	require.GreaterOrEqual(t, <-ages, int64(600))
}

// waveAgeWriter passes on the ages of waves that are logged.
type waveAgeWriter struct{ ages chan int64 }

func (r waveAgeWriter) Write(line []byte) (int, error) {
	var v struct {
		Message string `json:"msg"`
		Age     int64  `json:"age-ms"`
	}
	if json.Unmarshal(line, &v) == nil && v.Message == "wave seen" {
		r.ages <- v.Age
	}
	return len(line), nil
}
