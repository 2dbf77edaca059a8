package mover_test

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/duties"
	"carawaymux.dev/entry/mover"
	"carawaymux.dev/entry/owner"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// cuttableStore is a store that can stop answering one holder.
type cuttableStore struct {
	memoryStore
	cut *atomic.Bool
}

func (s cuttableStore) Append(ctx context.Context, stream port.Stream, records []port.Record, w *port.Writer, end int64) (int64, error) {
	if s.cut.Load() {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return s.memoryStore.Append(ctx, stream, records, w, end)
}

// waveMachines carries out the maintenance of machines and records how many are down at once.
type waveMachines struct {
	mu       sync.Mutex
	machines map[string]port.Machine
	epochs   map[string]int64
	done     map[string]bool
	mostDown int
	orders   []string
}

// maintenanceTime is how long the maintenance of a machine takes.
const maintenanceTime = time.Second

func (m *waveMachines) List(context.Context) ([]port.Machine, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []port.Machine
	for _, machine := range m.machines {
		out = append(out, machine)
	}
	return out, nil
}

func (m *waveMachines) setState(id string, state port.MachineState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	machine := m.machines[id]
	machine.State = state
	m.machines[id] = machine
}

func (*waveMachines) Move(context.Context, string, string, string, int64) (port.OrderOutcome, error) {
	return port.OrderBusy, nil
}

func (m *waveMachines) StartMaintenance(_ context.Context, id string, _ int64, _ string, epoch int64) (port.OrderOutcome, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if epoch < m.epochs[id] {
		return port.OrderFenced, nil
	}
	m.epochs[id] = epoch
	if m.done[id] {
		return port.OrderDone, nil
	}
	machine := m.machines[id]
	if machine.State != port.MachineUp {
		return port.OrderBusy, nil
	}
	m.done[id], machine.State = true, port.MachineMaintenance
	m.machines[id] = machine
	m.orders = append(m.orders, id)
	down := 0
	for _, other := range m.machines {
		if other.State == port.MachineMaintenance {
			down++
		}
	}
	m.mostDown = max(m.mostDown, down)
	time.AfterFunc(maintenanceTime, func() { m.setState(id, port.MachineUp) })
	return port.OrderDone, nil
}

// ordered returns the machines whose maintenance was started.
func (m *waveMachines) ordered() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.orders...)
}

// wavePair is a holder that the store turns away, and its successors.
type wavePair struct {
	machines *waveMachines
	vacant   *atomic.Bool
	// cut and cutSecond make the store turn the first and the second holder away.
	cut, cutSecond       *atomic.Bool
	store                memoryStore
	wave                 port.Wave
	reports              waveReports
	first, second, third func() duties.Holder
	// idle starts a second holder that has not seen the wave.
	idle func() duties.Holder
}

func newWavePair(t *testing.T) *wavePair {
	p := &wavePair{
		machines: &waveMachines{
			machines: map[string]port.Machine{
				"m-busy":    {ID: "m-busy", Pool: "busy", State: port.MachineUp, Host: "h-busy"},
				"m-standby": {ID: "m-standby", Pool: "spare", State: port.MachineMoving},
			},
			epochs: map[string]int64{}, done: map[string]bool{},
		},
		vacant: new(atomic.Bool), cut: new(atomic.Bool), cutSecond: new(atomic.Bool), store: newMemoryStore(t), reports: make(waveReports, 64),
		wave: port.Wave{Number: 1, Machines: []string{"m-busy", "m-standby"}, TimeLimit: time.Minute, MaxDown: 1},
	}
	start := func(store port.Log, waves ...port.Wave) func() duties.Holder {
		return func() duties.Holder {
			return startMoverWithin(t, store, mover.Deps{
				Machines: p.machines, Logger: slog.New(slog.NewJSONHandler(io.Discard, nil)), Load: busyLoad(0), Operators: p.reports,
				Waves: func() []port.Wave { return waves },
				Vacate: func(context.Context, string, string, shard.LeaveOrder) (owner.Answer, bool) {
					return owner.Answer{Vacant: p.vacant.Load()}, true
				},
			}, mover.Settings{Holder: "h", Term: 3 * time.Second})
		}
	}
	p.first, p.second = start(cuttableStore{p.store, p.cut}, p.wave), start(cuttableStore{p.store, p.cutSecond}, p.wave)
	p.idle, p.third = start(cuttableStore{p.store, p.cutSecond}), start(p.store, p.wave)
	return p
}

// cutFirst starts the first holder and has the store turn it away while it empties the machine at work, since
// the other one is on its way to standby. That one arrives then.
func (p *wavePair) cutFirst(t *testing.T) {
	first := p.first()
	t.Cleanup(first.Close)
	time.Sleep(1200 * time.Millisecond)
	p.cut.Store(true)
	p.machines.setState("m-standby", port.MachineUp)
}

// Guards against two holders of the machines that together exceed the cap of a wave. The store turned the first
// one away, which may order machines for some time after that, and the second one did not count these (LIMIT).
func TestASuccessorCountsWhatItsPredecessorMayStillOrder(t *testing.T) {
	p := newWavePair(t)
	p.cutFirst(t)
	second := p.second()
	defer second.Close()
	time.Sleep(800 * time.Millisecond)
	require.Empty(t, p.machines.ordered(), "the first holder may still order the machine at work")
	p.vacant.Store(true)
	require.Eventually(t, func() bool { return len(p.machines.ordered()) == 1 }, 2*time.Second, 10*time.Millisecond)
	require.Equal(t, []string{"m-busy"}, p.machines.ordered(), "ordered by the first holder")
	for !receive(t, p.reports) {
	}
	require.Equal(t, []string{"m-busy", "m-standby"}, p.machines.ordered())
	require.Equal(t, 1, p.machines.mostDown)
}

// Guards against a third holder that does not know what the first one may still order: the second one had
// replaced the record (LIMIT).
func TestTheRecordOfASuccessorHoldsWhatItsPredecessorMayStillOrder(t *testing.T) {
	t.Run("stops", func(t *testing.T) { testThirdHolder(t, true) })
	t.Run("cut off", func(t *testing.T) { testThirdHolder(t, false) })
}

func testThirdHolder(t *testing.T, stops bool) {
	p := newWavePair(t)
	p.cutFirst(t)
	if stops {
		p.second().Close()
	} else {
		second := p.idle()
		defer second.Close()
		// It has written its own record by then, to confirm its claim.
		time.Sleep(time.Second)
		p.cutSecond.Store(true)
	}
	third := p.third()
	defer third.Close()
	time.Sleep(800 * time.Millisecond)
	require.Empty(t, p.machines.ordered(), "the first holder may still order the machine at work")
	p.vacant.Store(true)
	for !receive(t, p.reports) {
	}
	require.Equal(t, 1, p.machines.mostDown)
}

// Guards against a wave that waits at each hand-over for orders that nobody sends.
func TestASuccessorOfAHolderThatStoppedOrdersAtOnce(t *testing.T) {
	p := newWavePair(t)
	first := p.first()
	time.Sleep(1200 * time.Millisecond)
	first.Close()
	p.machines.setState("m-standby", port.MachineUp)
	second := p.second()
	defer second.Close()
	require.Eventually(t, func() bool { return len(p.machines.ordered()) == 1 }, 1500*time.Millisecond, 10*time.Millisecond)
	require.Equal(t, []string{"m-standby"}, p.machines.ordered())
}

// Guards against an order for a machine whose host the owner may have given work to again (AVAIL): the process did not run
// between the owner's answer and the order.
func TestAnOrderIsNotSentLongAfterTheHostWasCalledEmpty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newWavePair(t)
		p.machines.setState("m-standby", port.MachineUp)
		var asked atomic.Int64
		h := startMoverWithin(t, p.store, mover.Deps{
			Machines: p.machines, Logger: slog.New(slog.NewJSONHandler(io.Discard, nil)), Load: busyLoad(0), Operators: discardReports{},
			Waves: func() []port.Wave {
				return []port.Wave{{Number: 1, Machines: []string{"m-busy"}, TimeLimit: time.Minute, MaxDown: 1}}
			},
			Vacate: func(context.Context, string, string, shard.LeaveOrder) (owner.Answer, bool) {
				asked.Add(1)
				time.Sleep(1500 * time.Millisecond)
				return owner.Answer{Vacant: true}, true
			},
		}, mover.Settings{Holder: "h", Term: 3 * time.Second})
		defer h.Close()
		time.Sleep(10 * time.Second)
		require.Empty(t, p.machines.ordered())
		require.Greater(t, asked.Load(), int64(2))
	})
}

// Guards against an order that leaves a holder which was stopped for a while within a step, after its successor
// no longer expects it.
func TestAnOrderThatIsLateIsNotSent(t *testing.T) {
	p := newWavePair(t)
	p.machines.setState("m-standby", port.MachineUp)
	var asked atomic.Int64
	h := startMoverWithin(t, p.store, mover.Deps{
		Machines: p.machines, Logger: slog.New(slog.NewJSONHandler(io.Discard, nil)), Load: busyLoad(0), Operators: p.reports,
		Waves: func() []port.Wave {
			return []port.Wave{{Number: 1, Machines: []string{"m-busy"}, TimeLimit: time.Minute, MaxDown: 1}}
		},
		Vacate: func(context.Context, string, string, shard.LeaveOrder) (owner.Answer, bool) {
			asked.Add(1)
			// The answer comes after the holder's right to order has ended, as after a pause of the process.
			time.Sleep(2500 * time.Millisecond)
			return owner.Answer{Vacant: true}, true
		},
	}, mover.Settings{Holder: "h", Term: 3 * time.Second})
	defer h.Close()
	require.Eventually(t, func() bool { return asked.Load() > 2 || len(p.machines.ordered()) > 0 }, 10*time.Second, 10*time.Millisecond)
	require.Empty(t, p.machines.ordered())
}
