package mover_test

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/mover"
	"carawaymux.dev/fleet/port"
)

// changingMachines is a machine service whose list a test replaces. It passes on the machines whose
// maintenance is ordered.
type changingMachines struct {
	list       atomic.Pointer[[]port.Machine]
	maintained chan string
	// held delays answers until it is closed. waiting receives a value for each delayed answer.
	held    atomic.Pointer[chan struct{}]
	waiting chan struct{}
}

func newChangingMachines(names ...string) *changingMachines {
	m := &changingMachines{maintained: make(chan string, 16), waiting: make(chan struct{}, 16)}
	m.set(names...)
	return m
}

// set replaces the list by machines that are up and on standby.
func (m *changingMachines) set(names ...string) {
	var list []port.Machine
	for _, name := range names {
		list = append(list, port.Machine{ID: name, Pool: "spare", State: port.MachineUp})
	}
	m.list.Store(&list)
}

// List returns the machines as of the request.
func (m *changingMachines) List(ctx context.Context) ([]port.Machine, error) {
	list := *m.list.Load()
	if held := m.held.Load(); held != nil {
		m.waiting <- struct{}{}
		select {
		case <-*held:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return list, nil
}

func (m *changingMachines) StartMaintenance(_ context.Context, machine string, _ int64, _ string, _ int64) (port.OrderOutcome, error) {
	m.maintained <- machine
	return port.OrderDone, nil
}

func (*changingMachines) Move(context.Context, string, string, string, int64) (port.OrderOutcome, error) {
	return port.OrderBusy, nil
}

// waveReports passes on the reports on waves.
type waveReports chan bool

func (r waveReports) ReportWave(_ context.Context, _ int64, completed bool) error {
	r <- completed
	return nil
}

// startWaveHolder starts a holder that sees the waves that the test publishes.
func startWaveHolder(t *testing.T, m port.MachineService) (publish func(port.Wave), reports waveReports) {
	var waves atomic.Pointer[[]port.Wave]
	waves.Store(&[]port.Wave{})
	reports = make(waveReports, 16)
	h := startMoverWith(t, newMemoryStore(t), mover.Deps{
		Machines: m, Logger: slog.New(slog.NewJSONHandler(io.Discard, nil)), Load: busyLoad(0), Operators: reports,
		Waves: func() []port.Wave { return *waves.Load() },
	})
	t.Cleanup(h.Close)
	return func(w port.Wave) { waves.Store(&[]port.Wave{w}) }, reports
}

// receive returns the next value of a channel.
func receive[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(10 * time.Second):
		require.Fail(t, "nothing received")
		panic("unreachable")
	}
}

// Guards against a wave that is reported as completed although a machine of it, which is newer than the
// list of machines, has had no maintenance (MIXED).
func TestWaveWaitsForAMachineThatIsNewerThanTheList(t *testing.T) {
	m := newChangingMachines("m-old")
	publish, reports := startWaveHolder(t, m)
	// The next list is requested before the machine joins and answered after several rounds have
	// seen the wave.
	held := make(chan struct{})
	m.held.Store(&held)
	receive(t, m.waiting)
	m.set("m-old", "m-new")
	publish(port.Wave{Number: 1, Machines: []string{"m-new"}, TimeLimit: 4 * time.Second, MaxDown: 1})
	time.Sleep(600 * time.Millisecond)
	m.held.Store(nil)
	close(held)
	for !receive(t, reports) {
	}
	require.Len(t, m.maintained, 1, "the wave was reported as completed without the maintenance of its machine")
	require.Equal(t, "m-new", <-m.maintained)
}

// Guards against a wave that goes on without a machine that is listed again later (MIXED).
func TestMachineThatIsListedAgainStillBelongsToItsWave(t *testing.T) {
	m := newChangingMachines("m-old")
	publish, reports := startWaveHolder(t, m)
	publish(port.Wave{Number: 1, Machines: []string{"m-1"}, TimeLimit: 4 * time.Second, MaxDown: 1})
	for !receive(t, reports) {
	}
	require.Empty(t, m.maintained)
	m.set("m-old", "m-1")
	require.Equal(t, "m-1", receive(t, m.maintained))
	for !receive(t, reports) {
	}
}

// Guards against a wave that is said to be completed without a machine that operators have added to it (MIXED): the holder of
// the machines kept to what it had read first.
func TestWaveThatIsPublishedAgainTakesInItsNewMachines(t *testing.T) {
	m := newChangingMachines("m-1", "m-2")
	publish, reports := startWaveHolder(t, m)
	w := port.Wave{Number: 1, Machines: []string{"m-1"}, TimeLimit: 4 * time.Second, MaxDown: 1}
	publish(w)
	require.Equal(t, "m-1", receive(t, m.maintained))
	for !receive(t, reports) {
	}
	w.Machines = []string{"m-1", "m-2"}
	publish(w)
	require.False(t, receive(t, reports), "it runs again")
	require.Equal(t, "m-2", receive(t, m.maintained))
	for !receive(t, reports) {
	}
}
