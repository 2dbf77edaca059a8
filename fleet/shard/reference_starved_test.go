package shard

import (
	"slices"
	"time"
)

// referenceStartStarved starts a task of each late job of which nothing has run for a second, while less than half of the
// processor capacity is in use, on hosts that are reserved or have a task that is kept apart. After two seconds, it does so on
// hosts that are isolated, unhealthy, or have been emptied for two seconds.
func referenceStartStarved(s *State, demands []referenceDemand, hosts referenceHosts, now time.Time) {
	closed := referenceHostsWhere(s, now, func(h *Host) bool {
		healthy := *h
		healthy.UnhealthyUntil = time.Time{}
		emptyingFor := now.Sub(h.CordonedAt)
		if len(h.Assigned) > 0 && now.After(h.CalledEmptyUntil) && emptyingFor > 2*time.Second && (h.blocked || emptyingFor <= 6*time.Second) {
			healthy.CordonedUntil = time.Time{}
		}
		return !s.Schedulable(h, now) && s.Schedulable(&healthy, now)
	})
	var idle, capacity int64
	kept := false
	for _, c := range slices.Concat(hosts, closed) {
		used, _ := referenceUsed(s, c.host)
		idle, capacity = idle+c.host.Capacity.MilliCores-used.MilliCores, capacity+c.host.Capacity.MilliCores
	}
	for i := range hosts {
		kept = kept || hosts[i].apart || (hosts[i].reserved && !hosts[i].reservedToIsolate)
	}
	if 2*idle <= capacity {
		return
	}
	start := func(on referenceHosts, preferred *referenceHosts, idle time.Duration) {
		for i := range demands {
			d := &demands[i]
			step, stage := &d.Job.Spec.Steps[d.Step], &d.Job.Occurrences[d.Occurrence].Stages[d.Step]
			started := slices.ContainsFunc(s.orders, func(o Order) bool { return o.Ref.Job == d.Job.ID })
			if !step.LongRunning && stage.idle > 0 && d.slack(now) < 0 && !started && d.idleFor(now) > idle && (!step.Gang || preferred == nil) {
				on.startTasks(s, d, now, preferred, true)
			}
		}
	}
	kept = kept || (len(s.suspects) > 0 && !hosts.mayIsolate())
	for i := range hosts {
		hosts[i].forStarved = true
	}
	if kept {
		for i := range hosts {
			c := &hosts[i]
			c.closed = c.isolated || c.reservedToIsolate
			if !c.closed {
				c.reserved, c.apart = false, false
			}
		}
		start(hosts, nil, time.Second)
		for i := range hosts {
			hosts[i].closed = false
		}
	}
	for _, c := range hosts {
		if c.isolated && !c.reservedToIsolate {
			c.isolated, c.apart, c.reserved, c.newlyIsolated = false, false, false, false
			closed = append(closed, c)
		}
	}
	for i := range closed {
		closed[i].pool = hosts
	}
	start(closed, &hosts, 2*time.Second)
}

// starved reports whether nothing of the job has run for a second.
func (d *referenceDemand) starved(now time.Time) bool { return d.idleFor(now) > time.Second }

// idleFor returns the time since a task of the job was started, or the job was accepted, and 0 while any is on a host.
func (d *referenceDemand) idleFor(now time.Time) time.Duration {
	idleSince := d.Job.AcceptedAt
	if started := d.ClaimedAt.Add(d.Job.lastStart); started.After(idleSince) {
		idleSince = started
	}
	if d.Job.assigned > 0 {
		return 0
	}
	return now.Sub(idleSince)
}
