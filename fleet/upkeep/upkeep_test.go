package upkeep_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/upkeep"
)

var start = time.Unix(1_700_000_000, 0)

// fleet returns the given number of machines for each pool, all up.
func fleet(pools map[string]int) map[string]port.Machine {
	out := map[string]port.Machine{}
	for pool, n := range pools {
		for i := range n {
			id := fmt.Sprintf("%s-%d", pool, i)
			out[id] = port.Machine{ID: id, Pool: pool, State: port.MachineUp}
		}
	}
	return out
}

func wave(machines map[string]port.Machine, maxDown int) *upkeep.Wave {
	w := port.Wave{Number: 1, MaxDown: maxDown, TimeLimit: 30 * time.Second}
	for id := range machines {
		w.Machines = append(w.Machines, id)
	}
	return upkeep.NewWave(w, start)
}

func TestStandbyGoesFirstWithinMaxDown(t *testing.T) {
	machines := fleet(map[string]int{"a": 8, "spare": 4})
	w := wave(machines, 3)
	next := upkeep.Next(upkeep.StandbyFirst{}, w, machines, map[string]bool{"spare": true}, nil, start)
	require.Len(t, next, 3)
	for _, id := range next {
		require.Equal(t, "spare", machines[id].Pool)
	}
}

// Guards against emptying all machines of a pool that has shrunk to three hosts.
func TestPoolKeepsOneMachineInService(t *testing.T) {
	for size := 2; size <= 6; size++ {
		machines := fleet(map[string]int{"a": size})
		w := wave(machines, 10)
		late := start.Add(w.TimeLimit)
		require.Less(t, len(upkeep.Next(upkeep.StandbyFirst{}, w, machines, nil, nil, late)), size)
	}
	machines := fleet(map[string]int{"a": 1})
	require.Len(t, upkeep.Next(upkeep.StandbyFirst{}, wave(machines, 10), machines, nil, nil, start), 1)
}

// Guards against more machines down than MaxDown: machines that had just gone down were not
// counted until the next list.
func TestMachinesCountAsDownUntilListedUp(t *testing.T) {
	machines := fleet(map[string]int{"a": 20})
	w := wave(machines, 2)
	for _, id := range []string{"a-0", "a-1"} {
		w.Started[id] = true
		w.Down[id] = start
	}
	require.Empty(t, upkeep.Next(upkeep.StandbyFirst{}, w, machines, nil, nil, start))
	w.ObserveMachines(machines, start.Add(-time.Second))
	require.Empty(t, upkeep.Next(upkeep.StandbyFirst{}, w, machines, nil, nil, start), "a list requested before the maintenance started is ignored")
	w.ObserveMachines(machines, start.Add(time.Second))
	require.Len(t, upkeep.Next(upkeep.StandbyFirst{}, w, machines, nil, nil, start), 2)
	// A machine taken down by an earlier holder shows in the list only.
	m := machines["a-3"]
	m.State = port.MachineMaintenance
	machines["a-3"] = m
	require.Len(t, upkeep.Next(upkeep.StandbyFirst{}, w, machines, nil, nil, start), 1)
}

func TestLateWaveTakesMoreOfPool(t *testing.T) {
	machines := fleet(map[string]int{"a": 12})
	w := wave(machines, 12)
	early := len(upkeep.Next(upkeep.StandbyFirst{}, w, machines, nil, nil, start))
	late := len(upkeep.Next(upkeep.StandbyFirst{}, w, machines, nil, nil, start.Add(25*time.Second)))
	require.Greater(t, late, early)
}

// Guards against machines that count as gone by a list that is older than the wave, and against
// machines that stay out of the wave once they were absent (MIXED).
func TestOnlyListsAfterTheWaveShowWhichMachinesAreAbsent(t *testing.T) {
	machines := fleet(map[string]int{"a": 2})
	w := wave(machines, 2)
	all := w.Remaining()
	joined := machines["a-1"]
	delete(machines, "a-1")
	w.ObserveMachines(machines, start.Add(-time.Millisecond))
	require.Equal(t, all, w.Remaining())
	require.False(t, w.Done())

	gone, _ := w.ObserveMachines(machines, start)
	require.Equal(t, []string{"a-1"}, gone)
	require.Equal(t, []string{"a-0"}, w.Remaining())
	w.Started["a-0"] = true
	require.True(t, w.Done())
	w.Completed = true

	machines["a-1"] = joined
	_, back := w.ObserveMachines(machines, start.Add(time.Second))
	require.Equal(t, []string{"a-1"}, back)
	require.Equal(t, []string{"a-1"}, w.Remaining())
	require.False(t, w.Completed)
}

// Guards against a list that was requested before the platform denied a machine and still shows it.
func TestDeniedMachineStaysAbsentUntilALaterListShowsIt(t *testing.T) {
	machines := fleet(map[string]int{"a": 1})
	w := wave(machines, 1)
	denied := start.Add(time.Second)
	w.MarkAbsent("a-0", denied)
	w.ObserveMachines(machines, denied.Add(-time.Millisecond))
	require.Empty(t, w.Remaining())
	w.ObserveMachines(machines, denied.Add(time.Millisecond))
	require.Equal(t, []string{"a-0"}, w.Remaining())
}

// Guards against an empty answer of the machine service that would end all waves.
func TestEmptyListShowsNoMachineAbsent(t *testing.T) {
	w := wave(fleet(map[string]int{"a": 1}), 1)
	w.ObserveMachines(nil, start.Add(time.Second))
	require.Len(t, w.Remaining(), 1)
	require.False(t, w.Done())
}

// Guards against more machines down than MaxDown: those that an earlier holder may still order were not counted.
func TestContestedMachinesCountAsDownAndGoFirst(t *testing.T) {
	machines := fleet(map[string]int{"a": 20})
	w := wave(machines, 3)
	contested := map[string]bool{"a-4": true, "a-9": true, "elsewhere": true}
	next := upkeep.Next(upkeep.StandbyFirst{}, w, machines, nil, contested, start)
	require.Len(t, next, 3)
	require.ElementsMatch(t, []string{"a-4", "a-9"}, next[:2])
	for _, id := range next {
		w.Emptying[id] = start
	}
	require.Empty(t, upkeep.Next(upkeep.StandbyFirst{}, w, machines, nil, contested, start))

	w = wave(machines, 1)
	next = upkeep.Next(upkeep.StandbyFirst{}, w, machines, nil, contested, start)
	require.Len(t, next, 1)
	require.True(t, contested[next[0]], "no slot is left for others")
	w.Started["a-4"], w.Started["a-9"] = true, true
	next = upkeep.Next(upkeep.StandbyFirst{}, w, machines, nil, contested, start)
	require.Len(t, next, 1, "machines whose maintenance has started are ordered no more")
}

// Guards against an order for a chosen machine while another holder has taken a machine of the wave down.
func TestMaintenanceStartsOnlyWhileASlotIsFree(t *testing.T) {
	machines := fleet(map[string]int{"a": 4})
	w := wave(machines, 2)
	w.Emptying["a-0"], w.Emptying["a-1"] = start, start
	require.True(t, w.Slots(machines, map[string]bool{"a-0": true, "a-1": true}).MayStart("a-0"))
	other := machines["a-3"]
	other.State = port.MachineMaintenance
	machines["a-3"] = other
	require.True(t, w.Slots(machines, map[string]bool{"a-0": true}).MayStart("a-0"))
	require.False(t, w.Slots(machines, map[string]bool{"a-0": true, "a-1": true}).MayStart("a-0"))
	w.Down["a-2"] = start
	require.False(t, w.Slots(machines, map[string]bool{"a-0": true}).MayStart("a-0"))
}

// simulate runs a whole wave in steps of one second. Emptying a machine takes three seconds.
func simulate[P upkeep.Policy](policy P, machines map[string]port.Machine, maxDown int) time.Duration {
	w := wave(machines, maxDown)
	now := start
	for ; len(w.Remaining()) > 0 && now.Sub(start) < time.Hour; now = now.Add(time.Second) {
		w.ObserveMachines(machines, now)
		for _, id := range upkeep.Next(policy, w, machines, map[string]bool{"spare": true}, nil, now) {
			w.Emptying[id] = now
		}
		for id, since := range w.Emptying {
			if now.Sub(since) >= 3*time.Second || machines[id].Pool == "spare" {
				delete(w.Emptying, id)
				w.Started[id], w.Down[id] = true, now
			}
		}
	}
	return now.Sub(start)
}

func TestWaveOfWholeFleetEndsInTime(t *testing.T) {
	machines := fleet(map[string]int{"a": 4, "b": 4, "c": 5, "d": 6, "spare": 4})
	require.Less(t, simulate(upkeep.StandbyFirst{}, machines, 10), 25*time.Second)
}

// Guards against a wave that is said to be completed without a machine that operators have added to it (MIXED).
func TestAWaveThatIsPublishedAgainFollowsItsNewestContents(t *testing.T) {
	later := start.Add(time.Minute)
	machines := fleet(map[string]int{"a": 4})
	first := port.Wave{Number: 1, Machines: []string{"a-0", "a-1"}, MaxDown: 2, TimeLimit: 30 * time.Second}
	completedWave := func() *upkeep.Wave {
		w := upkeep.NewWave(first, start)
		w.ObserveMachines(machines, start.Add(time.Second))
		w.Started["a-0"], w.Started["a-1"], w.Completed = true, true, true
		return w
	}
	w := completedWave()
	require.False(t, w.Replace(first, later), "published again as it was")
	require.True(t, w.Completed)

	more := first
	more.Machines = []string{"a-0", "a-1", "a-2"}
	require.True(t, w.Replace(more, later))
	require.False(t, w.Completed)
	require.True(t, w.Reopened)
	require.Equal(t, []string{"a-2"}, w.Remaining())
	require.Equal(t, later, w.FirstSeen, "a request after the end has its whole time")
	w.ObserveMachines(machines, later.Add(-time.Millisecond))
	require.False(t, w.Done())
	w.ObserveMachines(machines, later.Add(time.Millisecond))
	require.False(t, w.Done())

	for name, change := range map[string]func(w *port.Wave){
		"fewer machines": func(w *port.Wave) { w.Machines = []string{"a-1"} },
		"other order":    func(w *port.Wave) { w.Machines = []string{"a-1", "a-0"} },
		"other limit":    func(w *port.Wave) { w.MaxDown = 1 },
		"other time":     func(w *port.Wave) { w.TimeLimit = time.Hour },
	} {
		w, next := completedWave(), first
		change(&next)
		require.True(t, w.Replace(next, later), name)
		require.False(t, w.Done(), "%s: no list since", name)
		w.ObserveMachines(machines, later.Add(time.Millisecond))
		require.True(t, w.Done(), name)
	}
}

// Guards against more machines down than the limit of a wave (LIMIT): one that is down was taken out of it.
func TestAMachineThatIsDownCountsAfterItWasTakenOutOfItsWave(t *testing.T) {
	machines := fleet(map[string]int{"a": 3})
	w := upkeep.NewWave(port.Wave{Number: 1, Machines: []string{"a-0", "a-1"}, MaxDown: 1, TimeLimit: time.Minute}, start)
	w.Started["a-0"], w.Down["a-0"] = true, start
	require.True(t, w.Replace(port.Wave{Number: 1, Machines: []string{"a-1", "a-2"}, MaxDown: 1, TimeLimit: time.Minute}, start))
	require.Empty(t, upkeep.Next(upkeep.InOrder{}, w, machines, nil, nil, start))
	require.False(t, w.Slots(machines, nil).MayStart("a-1"))
	w.ObserveMachines(machines, start.Add(time.Second))
	require.Len(t, upkeep.Next(upkeep.InOrder{}, w, machines, nil, nil, start), 1)

	w.Emptying["a-1"] = start
	require.True(t, w.Replace(port.Wave{Number: 1, Machines: []string{"a-2"}, MaxDown: 1, TimeLimit: time.Minute}, start))
	require.False(t, w.Slots(machines, map[string]bool{"a-1": true}).MayStart("a-2"), "the order for the other is under way")
}
