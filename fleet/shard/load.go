package shard

import (
	"slices"
	"time"

	"carawaymux.dev/fleet/batch"
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
	return scaledWork(estimatedWork(step, tasks), scale)
}

// estimatedWork is like stepWork, but uses the estimate and is neither rounded nor bounded.
func estimatedWork(step *batch.Step, tasks int) float64 {
	return float64(step.Reservation().MilliCores) * float64(tasks) * step.Estimate.Seconds()
}

// maxStepWork bounds the work of a step, in thousandths of a core-second, so that sums over the steps of a
// pool do not overflow.
const maxStepWork = 1e12

// scaledWork returns estimated work at a scale, rounded and bounded.
func scaledWork(estimated, scale float64) int64 { return int64(min(estimated*scale, maxStepWork)) }

// Load sums up the work of the pool for sizing.
func (s *State) Load(now time.Time) sizing.Load {
	var l sizing.Load
	s.addHostLoad(&l, now)
	for _, j := range s.openJobs {
		if !j.Stored {
			continue
		}
		scale := s.durationRatios[j.Spec.Queue].median()
		for oi := range j.Occurrences {
			occ := &j.Occurrences[oi]
			for si := range occ.Stages {
				step, stage := &j.Spec.Steps[si], &occ.Stages[si]
				switch {
				case step.LongRunning:
					l.LongRunning += int64(min(float64(step.Reservation().MilliCores)*float64(stage.Left), maxStepWork))
					if step.PerHost > 0 {
						l.SpreadHosts = max(l.SpreadHosts, (step.Count-1)/step.PerHost+1)
					}
				case occ.ready(&j.Spec, si):
					l.Backlog += stepWork(step, stage.idle, scale)
				default:
					l.FutureWork += stepWork(step, stage.Left, scale)
				}
			}
		}
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
	var smallest batch.Size
	for key, sh := range s.backlog.shapes {
		if smallest != (batch.Size{}) && key.need.MilliCores >= smallest.MilliCores {
			continue
		}
		if s.isOversized(sh) {
			smallest = key.need
		}
	}
	return smallest
}

func (s *State) isOversized(sh *shape) bool {
	suitable := false
	for _, h := range s.sortedHosts() {
		if !h.Listed || h.Draining || !sh.hasLabel(h) {
			continue
		}
		suitable = true
		if h.Capacity.Fits(sh.need) {
			return false
		}
	}
	return suitable
}

// addHostLoad adds the schedulable hosts, the work that runs on them, and the hosts that could
// leave the pool.
func (s *State) addHostLoad(l *sizing.Load, now time.Time) {
	var capacity int64
	var movableHosts []string
	for id, h := range s.Hosts {
		if !s.Schedulable(h, now) {
			continue
		}
		l.Hosts++
		capacity += h.Capacity.MilliCores
		longRunningOnly := true
		for r := range h.Assigned {
			j := s.Jobs[r.Job]
			if j == nil {
				continue
			}
			if step := &j.Spec.Steps[r.Step]; !step.LongRunning {
				longRunningOnly = false
				l.Running += step.Reservation().MilliCores
			}
		}
		switch {
		case len(h.Assigned) == 0 && h.UnknownRuns == 0:
			l.IdleHosts = append(l.IdleHosts, id)
		case longRunningOnly && h.UnknownRuns == 0:
			movableHosts = append(movableHosts, id)
		}
	}
	if l.Hosts > 0 {
		l.HostCapacity = capacity / int64(l.Hosts)
	}
	slices.Sort(l.IdleHosts)
	slices.SortFunc(movableHosts, func(a, b string) int {
		return len(s.Hosts[a].Assigned) - len(s.Hosts[b].Assigned)
	})
	l.MovableHosts = movableHosts
}
