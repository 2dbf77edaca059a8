package shard

import (
	"math"
	"slices"
	"time"

	"carawaymux.dev/fleet/batch"
)

// candidate is a host that may get work in a round of planning.
type candidate struct {
	host *Host
	free batch.Size
	// reserved reports whether the free capacity is reserved for a demand that does not fit yet, and reservedFor is
	// what one task of it takes. Long-running tasks may be placed there.
	reserved    bool
	reservedFor batch.Size
	// reservedApart reports whether it is reserved for a task that has to run apart.
	reservedApart bool
	// unanswered is the number of starts that the host has not answered. The host is busy if it may
	// get no further one in this round. Both are kept for hosts with room only.
	unanswered int
	busy       bool
	isolation
}

// candidates holds hosts in the order of their IDs.
type candidates []*candidate

// candidates returns the schedulable hosts with their free capacity. The result is valid until the
// next call.
func (s *State) candidates(now time.Time) candidates {
	hosts := s.sortedHosts()
	for len(s.candidateBuffer) < len(hosts) {
		s.candidateBuffer = append(s.candidateBuffer, &candidate{})
	}
	out := s.candidateBuffer[:0]
	for _, h := range hosts {
		if s.Schedulable(h, now) {
			out = out[:len(out)+1]
			*out[len(out)-1] = candidate{host: h, free: h.free(), reserved: now.Before(h.kept.until), reservedFor: h.kept.need}
		}
	}
	s.markIsolation(out, now)
	return out
}

// lastResorts returns the hosts that get no new work but for work of a kind that no other host takes.
func (s *State) lastResorts(kind workKind, now time.Time) candidates {
	var out candidates
	for _, h := range s.sortedHosts() {
		if s.obstacleTo(h, now, kind) == NoObstacle && !s.Schedulable(h, now) {
			c := &candidate{host: h, free: h.free()}
			c.markIsolation(s, now)
			out = append(out, c)
		}
	}
	return out
}

// available returns the free capacity that tasks may take. Reservations keep off work that ends.
func (c *candidate) available(longRunning bool) batch.Size {
	if c.reserved && !longRunning {
		return batch.Size{}
	}
	return c.free
}

// displaces reports whether the host is reserved for a demand that would not fit any more beside a need, even when all work
// that ends has ended there.
func (c *candidate) displaces(need batch.Size) bool {
	return c.reserved && !c.host.Capacity.Sub(c.host.longRunningUsed).Sub(need).Fits(c.reservedFor)
}

// reserve reserves the host for a need.
func (c *candidate) reserve(need batch.Size) { c.reserved, c.reservedFor = true, need }

// withRoom returns the hosts on which a task has room for a need.
func (c candidates) withRoom(need batch.Size) candidates {
	var out candidates
	for _, host := range c {
		if host.available(true).Fits(need) {
			out = append(out, host)
		}
	}
	return out
}

// markBusy marks the hosts on which a number of starts are unanswered.
func (c candidates) markBusy(limit int) {
	if limit == math.MaxInt {
		return
	}
	for _, host := range c {
		for _, task := range host.host.Assigned {
			if task.Status == Starting || task.Status == Uncertain {
				host.unanswered++
			}
		}
		host.busy = host.unanswered >= limit
	}
}

// allBusy reports whether no host may get a start.
func (c candidates) allBusy() bool {
	return !slices.ContainsFunc(c, func(host *candidate) bool { return !host.busy })
}
