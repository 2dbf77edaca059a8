package mover_test

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/claim"
	"carawaymux.dev/entry/duties"
	"carawaymux.dev/entry/mover"
	"carawaymux.dev/entry/owner"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/sizing"
)

// term is how long the orders of one holder keep those of others off, in these tests;
// calls that may still be under way add to it.
const (
	term = 2 * time.Second
	late = 900 * time.Millisecond
)

// memory is a store that keeps the newest value of each key. Its state belongs to the
// goroutine that reads the requests.
type memory struct{ requests chan func(map[string][]byte) }

func newMemory(t *testing.T) memory {
	m := memory{make(chan func(map[string][]byte))}
	go func() {
		values := map[string][]byte{}
		for do := range m.requests {
			do(values)
		}
	}()
	t.Cleanup(func() { close(m.requests) })
	return m
}

func (m memory) Append(_ context.Context, s port.Stream, entries []port.Record, _ *port.Writer, _ int64) (int64, error) {
	done := make(chan struct{})
	m.requests <- func(values map[string][]byte) {
		for _, e := range entries {
			values[s.Topic+e.Key] = e.Value
		}
		close(done)
	}
	<-done
	return 1, nil
}

func (m memory) Read(context.Context, port.Stream, int64, time.Duration) (port.Page, error) {
	return port.Page{}, nil
}

func (m memory) Newest(_ context.Context, s port.Stream, _ string) (port.Page, error) {
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

// order is an order for a machine, and when it came.
type order struct {
	machine, to string
	at          time.Time
}

// yard is a list of machines on standby; orders are handed to a channel.
type yard struct {
	names  []string
	orders chan order
	// pools holds the pool of each machine that was moved.
	pools *sync.Map
}

func newYard(names ...string) yard {
	return yard{names, make(chan order, 16), &sync.Map{}}
}

func (y yard) List(context.Context) ([]port.Machine, error) {
	var out []port.Machine
	for _, n := range y.names {
		m := port.Machine{ID: n, Pool: "spare", State: port.MachineUp}
		if pool, ok := y.pools.Load(n); ok {
			m.Pool, m.Host = pool.(string), "h-"+n
		}
		out = append(out, m)
	}
	return out, nil
}

func (y yard) Move(_ context.Context, machine, pool, _ string, _ int64) (port.OrderOutcome, error) {
	y.pools.Store(machine, pool)
	y.orders <- order{machine, pool, time.Now()}
	return port.OrderDone, nil
}

func (y yard) StartMaintenance(context.Context, string, int64, string, int64) (port.OrderOutcome, error) {
	return port.OrderDone, nil
}

// begin starts a holder of the machines on what earlier ones have kept in the store.
func begin(t *testing.T, m memory, y yard, load func(context.Context, string) (owner.Answer, bool)) duties.Holder {
	t.Helper()
	return beginWith(t, m, mover.Deps{
		Machines: y, Logger: slog.New(slog.NewJSONHandler(io.Discard, nil)), Load: load,
		Waves: func() []port.Wave { return nil },
	})
}

// beginWave starts a holder that has a wave to do, and lets it see and record it.
func beginWave(t *testing.T, m memory, y yard, logs *slog.Logger, w port.Wave) duties.Holder {
	t.Helper()
	h := beginWith(t, m, mover.Deps{
		Machines: y, Logger: logs, Load: busy(0), Operators: deaf{},
		Waves: func() []port.Wave { return []port.Wave{w} },
	})
	time.Sleep(100 * time.Millisecond)
	return h
}

// deaf takes reports of waves.
type deaf struct{}

func (deaf) ReportWave(context.Context, int64, bool) error { return nil }

func beginWith(t *testing.T, m memory, d mover.Deps) duties.Holder {
	t.Helper()
	d.Vacate = func(context.Context, string, string) (owner.Answer, bool) { return owner.Answer{Vacant: true}, true }
	start := mover.Starter(mover.Settings{Holder: "h", Term: term}, d)
	won, err := claim.Acquire(t.Context(), m, mover.ClaimName, "h", time.Now().UnixNano(), 4)
	require.NoError(t, err)
	build, err := start(t.Context(), won)
	require.NoError(t, err)
	return build(&port.Config{Pools: []port.Pool{{Name: "busy"}, {Name: "dark"}, {Name: "spare", Standby: true}}}, nil)
}

// busy says that the pool "busy" waits for a number of machines; the owner of any
// other pool does not answer.
func busy(hosts int) func(context.Context, string) (owner.Answer, bool) {
	return func(ctx context.Context, pool string) (owner.Answer, bool) {
		if pool != "busy" {
			<-ctx.Done()
			return owner.Answer{}, false
		}
		const perHost = 10_000
		return owner.Answer{Load: &sizing.Load{HostCapacity: perHost, Running: int64(hosts-2) * perHost * 85 / 100}}, true
	}
}

func take(t *testing.T, y yard) order {
	t.Helper()
	select {
	case o := <-y.orders:
		return o
	case <-time.After(10 * time.Second):
		require.Fail(t, "no order")
		return order{}
	}
}

func TestAnOwnerThatDoesNotAnswerHoldsUpNoOtherPool(t *testing.T) {
	y := newYard("m-1", "m-2", "m-3")
	began := time.Now()
	h := begin(t, newMemory(t), y, busy(3))
	defer h.Close()
	for range y.names {
		o := take(t, y)
		require.Equal(t, "busy", o.to)
		// The owner of the other pool keeps its caller waiting for 250 ms each time.
		require.Less(t, o.at.Sub(began), 500*time.Millisecond+250*time.Millisecond)
	}
}

// A holder that stops says how old its last orders are; the next one need not take
// them for new.
func TestAfterAHandOverOnlyYoungOrdersAreWaitedFor(t *testing.T) {
	m := newMemory(t)
	y := newYard("m-1")
	first := begin(t, m, y, busy(3))
	old := take(t, y)
	// It goes on holding the machines for most of a term without ordering that one.
	time.Sleep(term)
	first.Close()

	y = newYard("m-1", "m-2")
	second := begin(t, m, y, busy(4))
	defer second.Close()
	o := take(t, y)
	require.Equal(t, "m-2", o.machine, "a machine that may be ordered at once goes first")
	o = take(t, y)
	require.Equal(t, "m-1", o.machine)
	require.GreaterOrEqual(t, o.at.Sub(old.at), term)
	require.Less(t, o.at.Sub(old.at), term+late+time.Second)
}

// A holder that ended without a word may have ordered all that it was armed for until
// the end.
func TestAfterACrashAllArmedMachinesAreWaitedFor(t *testing.T) {
	m := newMemory(t)
	_, err := m.Append(t.Context(), claim.StateStream(mover.ClaimName, 4), []port.Record{{Key: mover.ClaimName + "/o", Value: []byte("m-1 ")}}, nil, -1)
	require.NoError(t, err)
	y := newYard("m-1", "m-2")
	began := time.Now()
	h := begin(t, m, y, busy(4))
	defer h.Close()
	require.Equal(t, "m-2", take(t, y).machine)
	o := take(t, y)
	require.Equal(t, "m-1", o.machine)
	require.GreaterOrEqual(t, o.at.Sub(began), term+late)
}

// Orders of an earlier holder were carried out while the next one waited; it then took
// machines that had begun to work for machines on standby.
func TestAMachineThatAnEarlierHolderHasMovedMeanwhileIsNotMovedAgain(t *testing.T) {
	m := newMemory(t)
	_, err := m.Append(t.Context(), claim.StateStream(mover.ClaimName, 4), []port.Record{{Key: mover.ClaimName + "/o", Value: []byte("m-1 ")}}, nil, -1)
	require.NoError(t, err)
	y := newYard("m-1")
	h := begin(t, m, y, busy(4))
	defer h.Close()
	time.Sleep(term / 2)
	y.pools.Store("m-1", "dark")
	select {
	case o := <-y.orders:
		require.Fail(t, "ordered", "%+v", o)
	case <-time.After(term + late):
	}
}

// Each new holder took a wave for new, and a wave that changed hands three times was
// late.
func TestAWaveKeepsItsAgeWhenItChangesHands(t *testing.T) {
	m := newMemory(t)
	y := newYard("m-1", "m-2", "m-3", "m-4", "m-5", "m-6", "m-7", "m-8")
	w := port.Wave{Number: 7, Machines: y.names, TimeLimit: 4 * time.Second, MaxDown: 1}
	ages := make(chan int64, 8)
	logs := slog.New(slog.NewJSONHandler(ageReader{ages}, nil))
	for range 2 {
		beginWave(t, m, y, logs, w).Close()
		time.Sleep(600 * time.Millisecond)
	}
	require.Zero(t, <-ages)
	require.GreaterOrEqual(t, <-ages, int64(600))
}

// ageReader hands on the ages of waves that are logged.
type ageReader struct{ ages chan int64 }

func (r ageReader) Write(line []byte) (int, error) {
	var v struct {
		Message string `json:"msg"`
		Age     int64  `json:"age-ms"`
	}
	if json.Unmarshal(line, &v) == nil && v.Message == "wave seen" {
		r.ages <- v.Age
	}
	return len(line), nil
}
