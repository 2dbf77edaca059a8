package shard

import (
	"cmp"
	"math"
	"slices"
	"time"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/clamp"
	"carawaymux.dev/fleet/sizing"
)

// recordArrival adds the work of a job to the arrivals. Long-running work is left out.
func (s *State) recordArrival(j *Job, now time.Time) {
	scale := s.durationRatios[j.Spec.Queue].median()
	var work int64
	for i := range j.Spec.Steps {
		step := &j.Spec.Steps[i]
		if !step.LongRunning {
			work += stepWork(step, step.Count, scale)
		}
	}
	s.arrivals.Add(work, now)
}

// stepWork returns the work of a number of tasks of a step, in thousandths of a core-second.
func stepWork(step *batch.Step, tasks int, scale float64) int64 {
	return clamp.Int[int64](float64(estimatedWork(step, tasks)) * scale / workUnits)
}

const (
	// workUnits is the number of units of an estimated work in a thousandth of a core-second.
	workUnits = 1000
	// maxStepWork bounds the work of a step, in thousandths of a core-second, so that sums over the steps of a
	// pool do not overflow.
	maxStepWork = 1e8
)

// estimatedWork returns the work of a number of tasks of a step by its estimate, in millionths of a core-second. It
// is bounded.
func estimatedWork(step *batch.Step, tasks int) int64 {
	work := float64(step.Reservation().MilliCores) * float64(tasks) * step.Estimate.Seconds()
	return int64(min(work, maxStepWork) * workUnits)
}

// timesSize returns a size multiplied by a number of tasks. It is bounded in each dimension.
func timesSize(size batch.Size, tasks int) batch.Size {
	times := func(n int64) int64 { return int64(min(float64(n)*float64(tasks), maxStepWork)) }
	return batch.Size{MilliCores: times(size.MilliCores), MemoryMB: times(size.MemoryMB), Accelerators: times(size.Accelerators)}
}

// longRunningHosts returns the number of hosts that the long-running tasks need for their memory or accelerators, of which
// some hosts have a whole. It is 0 if nothing is known about hosts. Other work may use the cores there, so they are not
// added to those that it needs.
func (s *State) longRunningHosts(whole batch.Size, hosts int) int {
	need := s.backlog.longRunning
	return max(hostsFor(need.MemoryMB, whole.MemoryMB, hosts), hostsFor(need.Accelerators, whole.Accelerators, hosts))
}

// hostsFor returns the number of hosts that a need takes, of which some hosts have a whole.
func hostsFor(need, whole int64, hosts int) int {
	if whole <= 0 {
		return 0
	}
	return int(clamp.Int[int64](math.Ceil(float64(need) / float64(whole) * float64(hosts))))
}

// Load sums up the work of the pool for sizing.
func (s *State) Load(now time.Time) sizing.Load {
	s.updateQueues()
	s.backlog.advance(now.Sub(s.backlog.origin))
	l := sizing.Load{LongRunning: s.backlog.longRunning.MilliCores}
	s.addHostLoad(&l, now)
	for _, q := range s.backlog.queues {
		l.Backlog += q.work(q.waiting[0] + q.waiting[1])
		l.FutureWork += q.work(q.future)
		l.Late += q.work(q.late)
		l.Expired += q.work(q.expired)
	}
	s.leaveOutBlocked(&l)
	for hosts := range s.backlog.spreads {
		l.SpreadHosts = max(l.SpreadHosts, hosts)
	}
	l.Backlog += s.isolatedWork(l.HostCapacity, now)
	l.Oversized = s.oversized()
	l.ArrivalRate = s.arrivals.Rate(now)
	l.Arrivals = s.arrivals.Count()
	return l
}

// oversized returns the smallest need of a task that waits and that no host of the pool can hold at its present
// capacity, or zero. Work that requires a label is left out unless some host has the label, since it may
// be one that no machine has.
func (s *State) oversized() batch.Size {
	capacities := map[string]frontier{}
	suitable := func(label string) frontier {
		f, known := capacities[label]
		if !known {
			for _, h := range s.sortedHosts() {
				if h.Listed && !h.Draining && labelAllows(h, label) {
					f.add(h.Capacity)
				}
			}
			capacities[label] = f
		}
		return f
	}
	var smallest batch.Size
	for g, root := range s.backlog.needs() {
		if f := suitable(g.label); len(f) > 0 {
			smallest = root.leastBeyond(f, smallest)
		}
	}
	for _, w := range s.backlog.touched {
		if f := suitable(w.step.RequiredLabel); w.stage.waiting == w && len(f) > 0 && !f.fits(w.need) {
			smallest = smaller(w.need, smallest)
		}
	}
	return smallest
}

// smaller returns the need with fewer cores. A zero need stands for none.
func smaller(need, best batch.Size) batch.Size {
	if best != (batch.Size{}) && need.MilliCores >= best.MilliCores {
		return best
	}
	return need
}

const (
	// releaseTime is the time within which the tasks of a host have to end for it to be given to another pool. Waiting
	// for longer would leave more of its capacity unused than the other pool gains.
	releaseTime = 1500 * time.Millisecond
	// maxReleasable bounds the hosts that are listed as releasable, so that the message stays small.
	maxReleasable = 128
)

// releasableHost is a host whose tasks all end within a time.
type releasableHost struct {
	id      string
	busyFor time.Duration
}

// addHostLoad adds the schedulable hosts, the work that runs on them, the hosts that long-running work needs, and those
// that could leave the pool.
func (s *State) addHostLoad(l *sizing.Load, now time.Time) {
	var capacity batch.Size
	var movableHosts []string
	var releasable []releasableHost
	for id, h := range s.Hosts {
		if !s.Schedulable(h, now) {
			continue
		}
		l.Hosts++
		capacity = capacity.Add(h.Capacity)
		longRunningOnly := true
		busyFor := time.Duration(0)
		for r, task := range h.Assigned {
			j := s.Jobs[r.Job]
			if j == nil {
				continue
			}
			step := &j.Spec.Steps[r.Step]
			if step.LongRunning {
				busyFor = never
				continue
			}
			longRunningOnly = false
			l.Running += step.Reservation().MilliCores
			if task.late {
				l.RunningLate += step.Reservation().MilliCores
			}
			busyFor = max(busyFor, s.expected(j, step)-now.Sub(task.OrderedAt))
		}
		switch {
		case len(h.Assigned) == 0 && h.UnknownRuns == 0:
			l.IdleHosts = append(l.IdleHosts, id)
		case longRunningOnly && h.UnknownRuns == 0:
			movableHosts = append(movableHosts, id)
		case busyFor <= releaseTime && h.UnknownRuns == 0:
			releasable = append(releasable, releasableHost{id, busyFor})
		}
	}
	if l.Hosts > 0 {
		l.HostCapacity = capacity.MilliCores / int64(l.Hosts)
	}
	l.SpreadHosts = s.longRunningHosts(capacity, l.Hosts)
	slices.Sort(l.IdleHosts)
	slices.SortFunc(movableHosts, func(a, b string) int {
		return len(s.Hosts[a].Assigned) - len(s.Hosts[b].Assigned)
	})
	l.MovableHosts = movableHosts
	slices.SortFunc(releasable, func(a, b releasableHost) int {
		return cmp.Or(cmp.Compare(a.busyFor, b.busyFor), cmp.Compare(a.id, b.id))
	})
	for _, h := range releasable[:min(len(releasable), maxReleasable)] {
		l.ReleasableHosts = append(l.ReleasableHosts, h.id)
	}
}
