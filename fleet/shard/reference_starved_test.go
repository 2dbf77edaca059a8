package shard

import (
	"slices"
	"time"
)

// referenceStartStarved starts a task of each late job of which nothing has run for a second, while less than half of the
// processor capacity is in use: on hosts that are reserved or have a task that is kept apart, then on unhealthy ones.
func referenceStartStarved(s *State, demands []referenceDemand, hosts referenceHosts, now time.Time) {
	unhealthy := referenceHostsWhere(s, now, func(h *Host) bool {
		healthy := *h
		healthy.UnhealthyUntil = time.Time{}
		return !s.Schedulable(h, now) && s.Schedulable(&healthy, now)
	})
	var idle, capacity int64
	kept := false
	for _, c := range slices.Concat(hosts, unhealthy) {
		used, _ := referenceUsed(s, c.host)
		idle, capacity = idle+c.host.Capacity.MilliCores-used.MilliCores, capacity+c.host.Capacity.MilliCores
	}
	for i := range hosts {
		kept = kept || hosts[i].apart || (hosts[i].reserved && !hosts[i].reservedToIsolate)
	}
	if 2*idle <= capacity {
		return
	}
	start := func(on referenceHosts, preferred *referenceHosts) {
		for i := range demands {
			d := &demands[i]
			step, stage := &d.Job.Spec.Steps[d.Step], &d.Job.Occurrences[d.Occurrence].Stages[d.Step]
			if !step.LongRunning && stage.idle > 0 && d.slack(now) < 0 && d.starved(now) && (!step.Gang || preferred == nil) {
				on.startTasks(s, d, now, preferred, true)
			}
		}
	}
	if kept {
		for i := range hosts {
			c := &hosts[i]
			c.closed = c.isolated || c.reservedToIsolate
			if !c.closed {
				c.reserved, c.apart = false, false
			}
		}
		start(hosts, nil)
		for i := range hosts {
			hosts[i].closed = false
		}
	}
	for i := range unhealthy {
		unhealthy[i].pool = hosts
	}
	start(unhealthy, &hosts)
}

// starved reports whether nothing of the job has run for a second.
func (d *referenceDemand) starved(now time.Time) bool {
	idleSince := d.Job.AcceptedAt
	if started := d.ClaimedAt.Add(d.Job.lastStart); started.After(idleSince) {
		idleSince = started
	}
	return d.Job.assigned == 0 && now.Sub(idleSince) > time.Second
}
