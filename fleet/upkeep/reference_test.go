package upkeep_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/upkeep"
)

// referenceNext chooses the machines one by one among all that wait, which is slow for large waves.
func referenceNext[P upkeep.Policy](
	policy P, w *upkeep.Wave, machines map[string]port.Machine, standby, contested map[string]bool, now time.Time,
) []string {
	pools := map[string]*upkeep.Pool{}
	down := len(w.Down)
	var taken []string
	for id, m := range machines {
		p := pools[m.Pool]
		if p == nil {
			p = &upkeep.Pool{Standby: standby[m.Pool]}
			pools[m.Pool] = p
		}
		p.Machines++
		_, emptying := w.Emptying[id]
		if m.State != port.MachineUp || emptying || contested[id] {
			p.Unavailable++
		}
		_, counted := w.Down[id]
		if counted || !(m.State == port.MachineMaintenance || contested[id]) || !slices.Contains(w.Machines, id) {
			continue
		}
		switch {
		case m.State == port.MachineMaintenance:
			down++
		case !emptying && !w.Started[id]:
			taken = append(taken, id)
		}
	}
	waiting := w.Remaining()
	slots := w.MaxDown - down - len(w.Emptying)
	var out []string
	chosen := map[string]bool{}
	for _, id := range waiting {
		if len(out) < slots && machines[id].State == port.MachineUp && slices.Contains(taken, id) {
			out, chosen[id] = append(out, id), true
		}
	}
	slots -= len(taken)
	for ; slots > 0; slots-- {
		m := referenceBest(policy, w, waiting, chosen, machines, pools, referenceConcurrency(w, len(waiting), now))
		if m == "" {
			return out
		}
		pools[machines[m].Pool].Unavailable++
		out, chosen[m] = append(out, m), true
	}
	return out
}

func referenceConcurrency(w *upkeep.Wave, waiting int, now time.Time) int {
	remaining := time.Duration(float64(w.TimeLimit)*0.7) - now.Sub(w.FirstSeen)
	if remaining <= 8*time.Second {
		return waiting
	}
	return int(time.Duration(waiting)*8*time.Second/remaining) + 1
}

func referenceBest[P upkeep.Policy](
	policy P, w *upkeep.Wave, waiting []string, chosen map[string]bool, machines map[string]port.Machine, pools map[string]*upkeep.Pool,
	concurrency int,
) string {
	best, rank := "", 0
	for _, id := range waiting {
		m, ok := machines[id]
		if _, emptying := w.Emptying[id]; !ok || emptying || m.State != port.MachineUp || chosen[id] {
			continue
		}
		p := pools[m.Pool]
		share := max(p.Machines/4, (concurrency+len(pools)-1)/len(pools))
		if !p.Standby && p.Unavailable >= max(min(share, p.Machines-1), 1) {
			continue
		}
		if r := policy.Rank(p); best == "" || cmp.Less(r, rank) {
			best, rank = id, r
		}
	}
	return best
}

// referenceMayStart counts the other machines of a wave that are down or being ordered.
func referenceMayStart(w *upkeep.Wave, machine string, machines map[string]port.Machine, inFlight map[string]bool) bool {
	others := 0
	for _, id := range w.Machines {
		_, down := w.Down[id]
		_, emptying := w.Emptying[id]
		if id != machine && (down || machines[id].State == port.MachineMaintenance || (emptying && inFlight[id])) {
			others++
		}
	}
	return others < w.MaxDown
}

// randomWave returns a wave in the middle of its course.
func randomWave(r *rand.Rand) (w *upkeep.Wave, machines map[string]port.Machine, standby, contested map[string]bool) {
	states := []port.MachineState{port.MachineUp, port.MachineUp, port.MachineUp, port.MachineUp, port.MachineMaintenance, port.MachineMoving}
	machines, standby, contested = map[string]port.Machine{}, map[string]bool{"pool-0": r.IntN(2) == 0}, map[string]bool{}
	var ids []string
	pools := 1 + r.IntN(6)
	for i := range 1 + r.IntN(60) {
		id := fmt.Sprintf("m-%d", i)
		ids = append(ids, id)
		if r.IntN(10) > 0 {
			machines[id] = port.Machine{ID: id, Pool: fmt.Sprintf("pool-%d", r.IntN(pools)), State: states[r.IntN(len(states))]}
		}
	}
	r.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	w = upkeep.NewWave(port.Wave{
		Number: 1, Machines: ids[:1+r.IntN(len(ids))], MaxDown: r.IntN(len(ids) + 1), TimeLimit: 30 * time.Second,
	}, start)
	contestedShare, progressShare := r.IntN(3), r.IntN(4)
	for _, id := range ids {
		contested[id] = r.IntN(10) < contestedShare
		if r.IntN(10) >= progressShare || !slices.Contains(w.Machines, id) {
			continue
		}
		switch r.IntN(4) {
		case 0:
			w.Emptying[id] = start
		case 1:
			w.Started[id], w.Down[id] = true, start
		case 2:
			w.Started[id] = true
		case 3:
			w.Absent[id] = start
		}
	}
	return w, machines, standby, contested
}

func TestMachinesAreChosenAsByTheReference(t *testing.T) {
	chosen := 0
	for seed := range uint64(5000) {
		r := rand.New(rand.NewPCG(seed, 14))
		w, machines, standby, contested := randomWave(r)
		now := start.Add(time.Duration(r.IntN(25_000)) * time.Millisecond)
		want := referenceNext(upkeep.StandbyFirst{}, w, machines, standby, contested, now)
		require.Equal(t, want, upkeep.Next(upkeep.StandbyFirst{}, w, machines, standby, contested, now), "seed %d", seed)
		require.Equal(t, referenceNext(upkeep.InOrder{}, w, machines, standby, contested, now),
			upkeep.Next(upkeep.InOrder{}, w, machines, standby, contested, now), "seed %d", seed)
		chosen += len(want)

		inFlight := map[string]bool{}
		for _, id := range w.Machines {
			inFlight[id] = r.IntN(3) == 0
		}
		slots := w.Slots(machines, inFlight)
		for _, id := range w.Machines {
			if _, emptying := w.Emptying[id]; !emptying || inFlight[id] {
				continue
			}
			inFlight[id] = true
			require.Equal(t, referenceMayStart(w, id, machines, inFlight), slots.MayStart(id), "seed %d, machine %s", seed, id)
			slots.Take(id)
		}
	}
	require.Greater(t, chosen, 5000, "too few machines were chosen")
}

func BenchmarkNext(b *testing.B) {
	for _, n := range []int{48, 349, 2400} {
		machines := map[string]port.Machine{}
		w := port.Wave{Number: 1, MaxDown: n, TimeLimit: time.Minute}
		for i := range n {
			id := fmt.Sprintf("machine-of-zone-%04d", i)
			machines[id] = port.Machine{ID: id, Pool: fmt.Sprintf("pool-%d", i%8), State: port.MachineUp}
			w.Machines = append(w.Machines, id)
		}
		late := start.Add(w.TimeLimit)
		b.Run(fmt.Sprintf("reference/%d", n), func(b *testing.B) {
			for b.Loop() {
				referenceNext(upkeep.StandbyFirst{}, upkeep.NewWave(w, start), machines, nil, nil, late)
			}
		})
		b.Run(fmt.Sprintf("queues/%d", n), func(b *testing.B) {
			for b.Loop() {
				upkeep.Next(upkeep.StandbyFirst{}, upkeep.NewWave(w, start), machines, nil, nil, late)
			}
		})
	}
}
