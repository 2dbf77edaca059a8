// Package upkeep decides which machines of a maintenance wave to empty next.
package upkeep

import (
	"cmp"
	"slices"
	"time"

	"carawaymux.dev/fleet/port"
)

// Wave is a wave as far as it has come.
type Wave struct {
	port.Wave
	// FirstSeen is when the wave was first seen.
	FirstSeen time.Time
	// Started holds the machines whose maintenance has begun, and those that are not
	// there any more.
	Started map[string]bool
	// Emptying holds the machines that are being emptied, and since when.
	Emptying map[string]time.Time
	// Down holds the machines whose maintenance has begun and which have not been
	// seen up since, and when it began.
	Down map[string]time.Time
	// Completed says that all machines have begun.
	Completed bool
}

// NewWave builds the state of a wave that was seen at a time.
func NewWave(w port.Wave, now time.Time) *Wave {
	return &Wave{Wave: w, FirstSeen: now, Started: map[string]bool{}, Emptying: map[string]time.Time{}, Down: map[string]time.Time{}}
}

// ObserveMachines takes in a list of machines that was asked for at a time: machines that it
// shows up again are not down any more.
func (w *Wave) ObserveMachines(machines map[string]port.Machine, asked time.Time) {
	for id, since := range w.Down {
		if m, ok := machines[id]; asked.After(since) && (!ok || m.State == port.MachineUp) {
			delete(w.Down, id)
		}
	}
}

// Remaining lists the machines whose maintenance has not begun, in the wave's order.
func (w *Wave) Remaining() []string {
	var out []string
	for _, m := range w.Machines {
		if !w.Started[m] {
			out = append(out, m)
		}
	}
	return out
}

// Policy ranks the machines of a wave; the lowest rank goes first.
type Policy interface {
	Rank(m *port.Machine, p *Pool) int
}

// Pool is what a policy knows of a pool.
type Pool struct {
	// Machines is the number of machines, and Unavailable the number of those that do not
	// work or are being emptied.
	Machines, Unavailable int
	Standby               bool
}

// StandbyFirst takes machines on standby first, then those of the pools that have the
// largest share at work.
type StandbyFirst struct{}

// Rank implements [Policy].
func (StandbyFirst) Rank(_ *port.Machine, p *Pool) int {
	if p.Standby {
		return -1
	}
	return p.Unavailable * rankScale / max(p.Machines, 1)
}

// rankScale makes whole numbers of shares.
const rankScale = 1000

// InOrder takes machines in the order of the wave. It is the baseline.
type InOrder struct{}

// Rank implements [Policy].
func (InOrder) Rank(*port.Machine, *Pool) int { return 0 }

const (
	// perMachine is about how long a machine takes to be emptied and maintained.
	maintenanceTime = 8 * time.Second
	// calmShare is the share of a pool that may be out for a wave while there is
	// time.
	normalDivisor = 4
	// spareTime is the part of a wave's time that is planned with; the rest is kept
	// for what goes wrong.
	plannedShare = 0.7
)

// Next chooses machines to empty now. Machines that do not work for another reason
// count against their pool.
func Next[P Policy](policy P, w *Wave, machines map[string]port.Machine, standby map[string]bool, now time.Time) []string {
	pools := map[string]*Pool{}
	down := len(w.Down)
	for id, m := range machines {
		p := pools[m.Pool]
		if p == nil {
			p = &Pool{Standby: standby[m.Pool]}
			pools[m.Pool] = p
		}
		p.Machines++
		_, emptying := w.Emptying[id]
		if m.State != port.MachineUp || emptying {
			p.Unavailable++
		}
		if _, counted := w.Down[id]; !counted && m.State == port.MachineUpkeep && slices.Contains(w.Machines, id) {
			// An earlier holder has taken it down.
			down++
		}
	}
	waiting := w.Remaining()
	concurrency := requiredConcurrency(w, len(waiting), now)
	slots := w.Cap - down - len(w.Emptying)
	var out []string
	for slots > 0 {
		m := bestMachine(policy, w, waiting, out, machines, pools, concurrency)
		if m == "" {
			return out
		}
		pools[machines[m].Pool].Unavailable++
		out = append(out, m)
		slots--
	}
	return out
}

// urgency is how many machines have to be on their way at once to end in time.
func requiredConcurrency(w *Wave, waiting int, now time.Time) int {
	remaining := time.Duration(float64(w.Within)*plannedShare) - now.Sub(w.FirstSeen)
	if remaining <= maintenanceTime {
		return waiting
	}
	return int(time.Duration(waiting)*maintenanceTime/remaining) + 1
}

func bestMachine[P Policy](
	policy P, w *Wave, waiting, chosen []string, machines map[string]port.Machine, pools map[string]*Pool, concurrency int,
) string {
	best, rank := "", 0
	for _, id := range waiting {
		m, ok := machines[id]
		if _, emptying := w.Emptying[id]; !ok || emptying || m.State != port.MachineUp || slices.Contains(chosen, id) {
			continue
		}
		p := pools[m.Pool]
		if !p.Standby && p.Unavailable >= maxUnavailable(p, len(pools), concurrency) {
			continue
		}
		if r := policy.Rank(&m, p); best == "" || cmp.Less(r, rank) {
			best, rank = id, r
		}
	}
	return best
}

// allowed is how many machines of a pool may be out at once. One has to stay for the
// work of the others, unless there is only one.
func maxUnavailable(p *Pool, pools, concurrency int) int {
	share := max(p.Machines/normalDivisor, (concurrency+pools-1)/pools)
	return max(min(share, p.Machines-1), 1)
}
