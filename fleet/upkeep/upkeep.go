// Package upkeep decides which machines of a maintenance wave to empty next. It limits how many
// machines of the wave and of each pool are out of service at once.
package upkeep

import (
	"slices"
	"time"

	"carawaymux.dev/fleet/port"
)

// Wave is a maintenance wave with its progress.
type Wave struct {
	port.Wave
	// FirstSeen is when the wave was first seen, by this holder or an earlier one.
	FirstSeen time.Time
	// ReadAt is when this holder read the wave. Lists that were requested earlier do not show
	// which machines of the wave exist.
	ReadAt time.Time
	// Listed reports whether a list that was requested after ReadAt has been observed.
	Listed bool
	// Started holds the machines whose maintenance has started.
	Started map[string]bool
	// Absent holds the machines that do not exist and whose maintenance has not started, with the
	// time as of which that is known. A machine that is listed later is removed again.
	Absent map[string]time.Time
	// Emptying holds the machines that are being emptied, with the time at which that began.
	Emptying map[string]time.Time
	// Down holds the machines whose maintenance has started and which have not been listed as
	// up since, with the time at which it started.
	Down map[string]time.Time
	// Completed means that operators have been told that the maintenance of all machines has
	// started. It is reset when an absent machine of the wave is listed again.
	Completed bool
	// Reopened reports whether the wave was completed, and operators have added machines to it since.
	Reopened bool
}

// Option configures a [Wave].
type Option func(*Wave)

// WithAge sets how long ago an earlier holder first saw the wave.
func WithAge(age time.Duration) Option { return func(w *Wave) { w.FirstSeen = w.ReadAt.Add(-age) } }

// NewWave builds the state of a wave that was read at now.
func NewWave(w port.Wave, now time.Time, opts ...Option) *Wave {
	out := &Wave{
		Wave: w, FirstSeen: now, ReadAt: now, Started: map[string]bool{}, Absent: map[string]time.Time{},
		Emptying: map[string]time.Time{}, Down: map[string]time.Time{},
	}
	for _, opt := range opts {
		opt(out)
	}
	return out
}

// Replace replaces what operators have requested by what they have requested under the same number since. It reports whether
// that differs. Maintenance that has started stays so, and machines that are down count, whether or not they are still named.
// The argument now is when this holder read the new request.
func (w *Wave) Replace(next port.Wave, now time.Time) bool {
	if slices.Equal(w.Machines, next.Machines) && w.MaxDown == next.MaxDown && w.TimeLimit == next.TimeLimit {
		return false
	}
	completed := w.Completed
	if completed {
		w.FirstSeen = now
	}
	w.Wave, w.ReadAt, w.Listed, w.Completed = next, now, false, false
	w.Reopened = completed && len(w.Remaining()) > 0
	return true
}

// Names reports whether the wave names a machine.
func (w *Wave) Names(machine string) bool { return slices.Contains(w.Machines, machine) }

// ObserveMachines processes a list of machines that was requested at the time asked. Machines
// whose maintenance started before the request are no longer down when the list shows them as
// up or no longer contains them. It returns the machines that are absent since this list, and
// those that were absent and are listed again. A list that was requested before the wave was read
// shows neither.
func (w *Wave) ObserveMachines(machines map[string]port.Machine, asked time.Time) (gone, back []string) {
	for id, since := range w.Down {
		if m, ok := machines[id]; asked.After(since) && (!ok || m.State == port.MachineUp) {
			delete(w.Down, id)
		}
	}
	if asked.Before(w.ReadAt) || len(machines) == 0 {
		return nil, nil
	}
	w.Listed = true
	for _, id := range w.Machines {
		_, listed := machines[id]
		knownAt, absent := w.Absent[id]
		switch {
		case listed && absent && asked.After(knownAt):
			delete(w.Absent, id)
			w.Completed = false
			back = append(back, id)
		case !listed && !absent && !w.Started[id]:
			w.MarkAbsent(id, asked)
			gone = append(gone, id)
		}
	}
	return gone, back
}

// MarkAbsent records that a machine did not exist at a time.
func (w *Wave) MarkAbsent(machine string, at time.Time) {
	w.Absent[machine] = at
	delete(w.Emptying, machine)
}

// Done reports whether no machine of the wave still needs maintenance, as far as the newest list
// shows.
func (w *Wave) Done() bool { return w.Listed && len(w.Remaining()) == 0 }

// Remaining lists the machines that exist and whose maintenance has not started, in the wave's
// order. Until a list has shown otherwise, a machine counts as existing.
func (w *Wave) Remaining() []string {
	var out []string
	for _, m := range w.Machines {
		if _, absent := w.Absent[m]; !absent && !w.Started[m] {
			out = append(out, m)
		}
	}
	return out
}

// Policy ranks the machines of a wave by their pool; the lowest rank goes first. Machines of equal rank go in the
// order of the wave.
type Policy interface {
	Rank(p *Pool) int
}

// Pool is the view of a pool that a policy receives.
type Pool struct {
	// Machines is the number of machines, and Unavailable the number of those that are not up,
	// are being emptied or may be ordered by an earlier holder.
	Machines, Unavailable int
	Standby               bool
}

// StandbyFirst takes machines on standby first, then machines of the pools with the largest
// share in service.
type StandbyFirst struct{}

// Rank implements [Policy].
func (StandbyFirst) Rank(p *Pool) int {
	if p.Standby {
		return -1
	}
	return p.Unavailable * rankScale / max(p.Machines, 1)
}

// rankScale converts shares to whole numbers.
const rankScale = 1000

// InOrder takes machines in the order of the wave. It is the baseline.
type InOrder struct{}

// Rank implements [Policy].
func (InOrder) Rank(*Pool) int { return 0 }

const (
	// maintenanceTime is the approximate time to empty and maintain a machine.
	maintenanceTime = 8 * time.Second
	// normalDivisor sets the share of a pool that may be unavailable while a wave is on schedule:
	// one machine in four.
	normalDivisor = 4
	// plannedShare is the part of a wave's time that is used for planning; the rest is kept for
	// failures.
	plannedShare = 0.7
)

// Next chooses the machines to empty now. Machines that are unavailable for another reason
// count against their pool. The contested machines are those that an earlier holder may still order: they
// count as down, and go first, since they take no further slot.
func Next[P Policy](
	policy P, w *Wave, machines map[string]port.Machine, standby, contested map[string]bool, now time.Time,
) []string {
	pools := map[string]*Pool{}
	down := len(w.Down)
	members := make(map[string]bool, len(w.Machines))
	for _, id := range w.Machines {
		members[id] = true
	}
	var taken []string
	for id, m := range machines {
		p := pools[m.Pool]
		if p == nil {
			p = &Pool{Standby: standby[m.Pool]}
			pools[m.Pool] = p
		}
		p.Machines++
		_, emptying := w.Emptying[id]
		if m.State != port.MachineUp || emptying || contested[id] {
			p.Unavailable++
		}
		_, counted := w.Down[id]
		if counted || !(m.State == port.MachineMaintenance || contested[id]) || !members[id] {
			continue
		}
		switch {
		case m.State == port.MachineMaintenance:
			// Another holder of the wave has started its maintenance.
			down++
		case !emptying && !w.Started[id]:
			taken = append(taken, id)
		}
	}
	waiting := w.Remaining()
	slots := w.MaxDown - down - len(w.Emptying)
	out := nextContested(waiting, taken, machines, slots)
	// The earlier holder may order those that are not chosen, too.
	slots -= len(taken)
	if slots <= 0 {
		return out
	}
	queues := queuesByPool(w, waiting, out, machines, pools)
	concurrency := requiredConcurrency(w, len(waiting), now)
	for ; slots > 0; slots-- {
		q := bestQueue(policy, queues, len(pools), concurrency)
		if q == nil {
			return out
		}
		out = append(out, waiting[q.waiting[0]])
		q.waiting = q.waiting[1:]
		q.pool.Unavailable++
	}
	return out
}

// Slots tells which machines of a wave are down or may be ordered to go down now.
type Slots struct {
	maxDown int
	// taken holds the machines of the wave that are down, and those whose order is in flight.
	taken map[string]bool
}

// Slots returns the slots of the wave. The machines that are being ordered are in flight.
func (w *Wave) Slots(machines map[string]port.Machine, inFlight map[string]bool) *Slots {
	s := &Slots{maxDown: w.MaxDown, taken: map[string]bool{}}
	for _, id := range w.Machines {
		if machines[id].State == port.MachineMaintenance {
			s.taken[id] = true
		}
	}
	for id := range w.Down {
		s.taken[id] = true
	}
	for id := range w.Emptying {
		if inFlight[id] {
			s.taken[id] = true
		}
	}
	return s
}

// Take records that a machine of the wave is being ordered.
func (s *Slots) Take(machine string) { s.taken[machine] = true }

// MayStart reports whether the maintenance of a machine may start now. While no other holder orders machines of
// the wave, it may as soon as Next has chosen the machine.
func (s *Slots) MayStart(machine string) bool {
	others := len(s.taken)
	if s.taken[machine] {
		others--
	}
	return others < s.maxDown
}

// nextContested returns the contested machines of a wave that need maintenance, at most as many as there are
// slots.
func nextContested(waiting, contested []string, machines map[string]port.Machine, slots int) []string {
	if len(contested) == 0 {
		return nil
	}
	wanted := make(map[string]bool, len(contested))
	for _, id := range contested {
		wanted[id] = true
	}
	var out []string
	for _, id := range waiting {
		if len(out) < slots && wanted[id] && machines[id].State == port.MachineUp {
			out = append(out, id)
		}
	}
	return out
}

// requiredConcurrency returns how many machines must be emptied or maintained at once so that the
// wave ends in time.
func requiredConcurrency(w *Wave, waiting int, now time.Time) int {
	remaining := time.Duration(float64(w.TimeLimit)*plannedShare) - now.Sub(w.FirstSeen)
	if remaining <= maintenanceTime {
		return waiting
	}
	return int(time.Duration(waiting)*maintenanceTime/remaining) + 1
}

// poolQueue holds the machines of a pool that may be emptied next.
type poolQueue struct {
	pool *Pool
	// waiting holds their positions in the order of the wave, which ascend.
	waiting []int
}

// queuesByPool returns the waiting machines that are up and neither being emptied nor chosen already, by pool.
func queuesByPool(w *Wave, waiting, chosen []string, machines map[string]port.Machine, pools map[string]*Pool) []*poolQueue {
	skip := make(map[string]bool, len(waiting))
	for _, id := range chosen {
		skip[id] = true
	}
	var queues []*poolQueue
	byPool := map[*Pool]*poolQueue{}
	for i, id := range waiting {
		m, ok := machines[id]
		if _, emptying := w.Emptying[id]; !ok || emptying || m.State != port.MachineUp || skip[id] {
			continue
		}
		skip[id] = true
		p := pools[m.Pool]
		q := byPool[p]
		if q == nil {
			q = &poolQueue{pool: p}
			byPool[p] = q
			queues = append(queues, q)
		}
		q.waiting = append(q.waiting, i)
	}
	return queues
}

// bestQueue returns the queue whose first machine goes next: the one with the lowest rank among the pools that may
// have one more machine unavailable. It returns nil when there is none.
func bestQueue[P Policy](policy P, queues []*poolQueue, pools, concurrency int) *poolQueue {
	var best *poolQueue
	rank := 0
	for _, q := range queues {
		p := q.pool
		if len(q.waiting) == 0 || (!p.Standby && p.Unavailable >= maxUnavailable(p, pools, concurrency)) {
			continue
		}
		if r := policy.Rank(p); best == nil || r < rank || (r == rank && q.waiting[0] < best.waiting[0]) {
			best, rank = q, r
		}
	}
	return best
}

// maxUnavailable returns how many machines of a pool may be unavailable at once. One machine has
// to stay for the work of the others, unless it is the only one.
func maxUnavailable(p *Pool, pools, concurrency int) int {
	share := max(p.Machines/normalDivisor, (concurrency+pools-1)/pools)
	return max(min(share, p.Machines-1), 1)
}
