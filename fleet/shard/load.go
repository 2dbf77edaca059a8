package shard

import (
	"slices"
	"time"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/sizing"
)

// inflowWindow is the time over which arriving work is averaged.
const inflowWindow = 2 * time.Second

// arrival is work that has come.
type arrival struct {
	at   time.Time
	work int64
}

// arrive counts a job's work, except work that lasts.
func (s *State) arrive(j *Job, now time.Time) {
	scale := s.durations[j.Spec.Queue].median()
	var work int64
	for i := range j.Spec.Steps {
		step := &j.Spec.Steps[i]
		if !step.LongRunning {
			work += stepWork(step, step.Count, scale)
		}
	}
	s.arrivals = append(s.arrivals, arrival{now, work})
}

// stepWork is the work of some units of a step, in thousandths of a core-second.
func stepWork(step *batch.Step, units int, scale float64) int64 {
	return int64(float64(step.Reservation().MilliCores) * float64(units) * step.Estimate.Seconds() * scale)
}

// Load sums up the pool's work for sizing.
func (s *State) Load(now time.Time) sizing.Load {
	var l sizing.Load
	s.loadHosts(&l, now)
	for _, j := range s.open {
		if !j.Stored {
			continue
		}
		scale := s.durations[j.Spec.Queue].median()
		for t := range j.Occurrences {
			turn := &j.Occurrences[t]
			for g := range turn.Stages {
				step, stage := &j.Spec.Steps[g], &turn.Stages[g]
				switch {
				case step.LongRunning:
					l.LongRunning += step.Reservation().MilliCores * int64(stage.Left)
					if step.PerHost > 0 {
						l.SpreadHosts = max(l.SpreadHosts, (step.Count+step.PerHost-1)/step.PerHost)
					}
				case turn.ready(&j.Spec, g):
					l.Backlog += stepWork(step, stage.idle, scale)
				default:
					l.FutureWork += stepWork(step, stage.Left, scale)
				}
			}
		}
	}
	s.arrivals = slices.DeleteFunc(s.arrivals, func(a arrival) bool { return now.Sub(a.at) > inflowWindow })
	for _, a := range s.arrivals {
		l.ArrivalRate += a.work
	}
	l.ArrivalRate = int64(float64(l.ArrivalRate) / inflowWindow.Seconds())
	return l
}

// loadHosts counts hosts, what runs on them and which could go.
func (s *State) loadHosts(l *sizing.Load, now time.Time) {
	var capacity int64
	var light []string
	for id, h := range s.Hosts {
		if !s.Schedulable(h, now) {
			continue
		}
		l.Hosts++
		capacity += h.Capacity.MilliCores
		lastingOnly := true
		for r := range h.Assigned {
			j := s.Jobs[r.Job]
			if j == nil {
				continue
			}
			if step := &j.Spec.Steps[r.Step]; !step.LongRunning {
				lastingOnly = false
				l.Running += step.Reservation().MilliCores
			}
		}
		switch {
		case len(h.Assigned) == 0 && h.UnknownRuns == 0:
			l.IdleHosts = append(l.IdleHosts, id)
		case lastingOnly && h.UnknownRuns == 0:
			light = append(light, id)
		}
	}
	if l.Hosts > 0 {
		l.HostCapacity = capacity / int64(l.Hosts)
	}
	slices.Sort(l.IdleHosts)
	slices.SortFunc(light, func(a, b string) int {
		return len(s.Hosts[a].Assigned) - len(s.Hosts[b].Assigned)
	})
	l.MovableHosts = light
}
