package soak

import (
	"fmt"
	"slices"
	"time"

	"carawaymux.dev/trial/fake"
)

// waveBegin is a begin of maintenance, and how many machines were down for the same wave before.
type waveBegin struct {
	wave    Wave
	machine string
	at      time.Duration
	down    int
}

// begins returns the begins of maintenance, in their order.
func (h *History) begins() []waveBegin {
	waves, down := map[int64]Wave{}, map[int64]map[string]bool{}
	for _, w := range h.Waves {
		waves[w.Number], down[w.Number] = w, map[string]bool{}
	}
	var out []waveBegin
	for _, e := range h.Hosts {
		w, ok := waves[e.Wave]
		switch {
		case !ok:
		case e.Kind == fake.MaintenanceBegun:
			out = append(out, waveBegin{w, e.Machine, e.At, len(down[w.Number])})
			down[w.Number][e.Machine] = true
		case e.Kind == fake.MaintenanceEnded:
			delete(down[w.Number], e.Machine)
		}
	}
	return out
}

// stateWaveCompleted is the state of a wave in which all its machines have begun their maintenance.
const stateWaveCompleted = "completed"

func checkWaves(h *History) []string {
	var out []string
	begunAt := map[int64]map[string]time.Duration{}
	for _, b := range h.begins() {
		if b.down >= b.wave.Cap {
			out = append(out, fmt.Sprintf("machine %s goes down for wave %d at %s while %d machines are down for it, its cap is %d", b.machine, b.wave.Number, seconds(b.at), b.down, b.wave.Cap))
		}
		if begunAt[b.wave.Number] == nil {
			begunAt[b.wave.Number] = map[string]time.Duration{}
		}
		if _, again := begunAt[b.wave.Number][b.machine]; !again {
			begunAt[b.wave.Number][b.machine] = b.at
		}
	}
	for _, r := range h.Reports {
		i := slices.IndexFunc(h.Waves, func(w Wave) bool { return w.Number == r.Number })
		switch {
		case r.State != stateWaveCompleted:
		case i < 0:
			out = append(out, fmt.Sprintf("wave %d is said to be completed at %s, but no operator published it", r.Number, seconds(r.At)))
		default:
			for _, machine := range h.Waves[i].Machines {
				if at, ok := begunAt[r.Number][machine]; !ok || at > r.At {
					out = append(out, fmt.Sprintf("wave %d is said to be completed at %s, but the maintenance of %s had not begun", r.Number, seconds(r.At), machine))
				}
			}
		}
	}
	return out
}

// countWaves counts the begins that reach the cap of their wave.
func countWaves(h *History) int {
	return count(h.begins(), func(b waveBegin) bool { return b.down+1 >= b.wave.Cap })
}
