package mover_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/mover"
	"carawaymux.dev/entry/owner"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// newWaveMachines returns machines that are up and at work.
func newWaveMachines(names ...string) *waveMachines {
	m := &waveMachines{machines: map[string]port.Machine{}, epochs: map[string]int64{}, done: map[string]bool{}}
	for _, name := range names {
		m.machines[name] = port.Machine{ID: name, Pool: "busy", State: port.MachineUp, Host: "h-" + name}
	}
	return m
}

// set replaces the state and the host of a machine.
func (m *waveMachines) set(id string, state port.MachineState, host string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	machine := m.machines[id]
	machine.State, machine.Host = state, host
	m.machines[id] = machine
}

// startWave starts a holder with a wave that takes its machines down one at a time. asked counts the requests to empty hosts,
// which are empty if vacant is set.
func startWave(t *testing.T, m port.MachineService, vacant *atomic.Bool, machines ...string) (asked *atomic.Int64, reports waveReports) {
	t.Helper()
	return startWaveOver(t, newMemoryStore(t), m, vacant, machines...)
}

// startWaveOver is like startWave, with a store.
func startWaveOver(
	t *testing.T, store port.Log, m port.MachineService, vacant *atomic.Bool, machines ...string,
) (asked *atomic.Int64, reports waveReports) {
	t.Helper()
	asked, reports = new(atomic.Int64), make(waveReports, 64)
	w := port.Wave{Number: 1, Machines: machines, TimeLimit: time.Minute, MaxDown: 1}
	h := startMoverWithin(t, store, mover.Deps{
		Machines: m, Logger: slog.New(slog.NewJSONHandler(io.Discard, nil)), Load: busyLoad(0), Operators: reports,
		Waves: func() []port.Wave { return []port.Wave{w} },
		Vacate: func(context.Context, string, string, shard.LeaveOrder) (owner.Answer, bool) {
			asked.Add(1)
			return owner.Answer{Vacant: vacant.Load()}, true
		},
	}, mover.Settings{Holder: "h", Term: 3 * time.Second})
	t.Cleanup(h.Close)
	return asked, reports
}

// completed reports whether the wave was reported as completed.
func (r waveReports) completed() bool {
	for {
		select {
		case done := <-r:
			if done {
				return true
			}
		default:
			return false
		}
	}
}

// Guards against a wave that is late because a machine that crashed while its host was being emptied keeps the only slot.
func TestAMachineThatIsDownDoesNotHoldUpItsWave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// A pool of this size lets go of two machines at once.
		m, vacant := newWaveMachines("m-1", "m-2", "m-3", "m-4", "m-5", "m-6", "m-7", "m-8"), new(atomic.Bool)
		_, reports := startWave(t, m, vacant, "m-1", "m-2")
		time.Sleep(time.Second)
		m.set("m-1", port.MachineDown, "")
		vacant.Store(true)
		time.Sleep(5 * time.Second)
		require.Equal(t, []string{"m-2"}, m.ordered())
		require.False(t, reports.completed())
		m.set("m-1", port.MachineUp, "h-new")
		time.Sleep(5 * time.Second)
		require.Equal(t, []string{"m-2", "m-1"}, m.ordered())
		require.True(t, reports.completed())
	})
}

// Guards against a wave that never ends because a machine is up and its host never is.
func TestAMachineThatStaysUpWithoutAHostIsMaintained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, vacant := newWaveMachines("m-1"), new(atomic.Bool)
		m.set("m-1", port.MachineUp, "")
		asked, reports := startWave(t, m, vacant, "m-1")
		time.Sleep(3 * time.Second)
		require.Empty(t, m.ordered(), "a host may have started since the list")
		time.Sleep(7 * time.Second)
		require.Equal(t, []string{"m-1"}, m.ordered())
		require.True(t, reports.completed())
		require.Zero(t, asked.Load(), "there is no host to ask about")
	})
}

// Guards against the end of work on the host of a machine that came up while a list showed it without one (AVAIL).
func TestAMachineWhoseHostHasJustStartedIsNotOrderedUnasked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, vacant := newWaveMachines("m-1"), new(atomic.Bool)
		m.set("m-1", port.MachineUp, "")
		asked, _ := startWave(t, m, vacant, "m-1")
		time.Sleep(3 * time.Second)
		m.set("m-1", port.MachineUp, "h-new")
		time.Sleep(10 * time.Second)
		require.Empty(t, m.ordered())
		require.NotZero(t, asked.Load())
	})
}

// forgetfulMachines loses the answers to orders for maintenance that it carries out.
type forgetfulMachines struct{ *waveMachines }

func (m forgetfulMachines) StartMaintenance(ctx context.Context, id string, wave int64, holder string, epoch int64) (port.OrderOutcome, error) {
	known := len(m.ordered())
	outcome, err := m.waveMachines.StartMaintenance(ctx, id, wave, holder, epoch)
	if len(m.ordered()) > known {
		return "", errors.New("no answer")
	}
	return outcome, err
}

// Guards against a host that is emptied a second time after its maintenance because the answer to the order was lost.
func TestAMachineInMaintenanceIsNotEmptiedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, vacant := newWaveMachines("m-1"), new(atomic.Bool)
		vacant.Store(true)
		asked, reports := startWave(t, forgetfulMachines{m}, vacant, "m-1")
		for len(m.ordered()) == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		before := asked.Load()
		// The repeated order waits for a list that shows the maintenance.
		time.Sleep(maintenanceTime)
		require.True(t, reports.completed())
		require.LessOrEqual(t, asked.Load(), before+3, "asked until a list showed the maintenance")
		at := asked.Load()
		time.Sleep(5 * time.Second)
		require.Equal(t, at, asked.Load())
	})
}

// silencedMachines stops answering requests for the list.
type silencedMachines struct {
	*waveMachines
	silent *atomic.Bool
}

func (m silencedMachines) List(ctx context.Context) ([]port.Machine, error) {
	if m.silent.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return m.waveMachines.List(ctx)
}

// Guards against the end of work on the host of a machine that has restarted since the newest list, which is old (AVAIL):
// the store lets the holder order the machine when requests for the list have failed.
func TestNoMachineIsOrderedWhileTheListIsNotAvailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, vacant, silent, cut := newWaveMachines("m-1"), new(atomic.Bool), new(atomic.Bool), new(atomic.Bool)
		vacant.Store(true)
		store := cuttableStore{newMemoryStore(t), cut}
		startWaveOver(t, store, silencedMachines{m, silent}, vacant, "m-1")
		cut.Store(true)
		time.Sleep(100 * time.Millisecond)
		silent.Store(true)
		time.Sleep(1900 * time.Millisecond)
		cut.Store(false)
		time.Sleep(2 * time.Second)
		require.Empty(t, m.ordered())
		silent.Store(false)
		time.Sleep(5 * time.Second)
		require.Equal(t, []string{"m-1"}, m.ordered())
	})
}
