package shard

import (
	"cmp"
	"slices"
	"time"
)

// Purpose is for what a host is emptied.
type Purpose string

// The purposes. Requests of earlier releases have none.
const (
	ForMove Purpose = "move"
	ForWave Purpose = "wave"
)

// LeaveOrder says by whom and for what a host is emptied.
type LeaveOrder struct {
	Purpose Purpose `cbor:"1,keyasint,omitempty"`
	// Holder is the entry that holds the machines, and Epoch that of its claim. The epoch is 0 in requests of earlier
	// releases.
	Holder string `cbor:"2,keyasint,omitempty"`
	Epoch  int64  `cbor:"3,keyasint,omitempty"`
	// Tentative reports that no order for the machine follows the answer, whatever it is.
	Tentative bool `cbor:"4,keyasint,omitempty"`
}

// AdmitHolder reports whether a request of a holder of the machines counts: no newer holder has sent one. The first request of a newer
// holder ends the leaves by which earlier ones had hosts emptied.
func (s *State) AdmitHolder(o LeaveOrder, now time.Time) bool {
	switch {
	case o.Epoch == 0:
		// Earlier releases send no epoch.
		return true
	case o.Epoch < s.holderEpoch:
		return false
	case o.Epoch > s.holderEpoch:
		s.holderEpoch = o.Epoch
		for _, h := range s.sortedHosts() {
			if h.leave.Epoch != 0 && h.leave.Epoch < o.Epoch {
				h.endLeave(now)
			}
		}
	}
	return true
}

// EndLeaves has hosts take work again that were emptied by the holder of an order.
func (s *State) EndLeaves(hosts []string, o LeaveOrder, now time.Time) {
	for _, id := range hosts {
		if h := s.Hosts[id]; h != nil && h.leave.Holder == o.Holder && h.leave.Epoch == o.Epoch && h.leave.Purpose == o.Purpose {
			h.endLeave(now)
		}
	}
}

// endLeave has the host take work again, unless it was called empty: its machine may be ordered until then.
func (h *Host) endLeave(now time.Time) {
	if until := h.CalledEmptyUntil; until.Before(h.CordonedUntil) {
		h.CordonedUntil, h.blocked = until, false
	}
	if !now.Before(h.CordonedUntil) {
		h.CordonedUntil, h.leave = time.Time{}, LeaveOrder{}
	}
}

// CallEmpty records that a host was called empty, so that its machine may be ordered until a time. It takes no work until then.
func (s *State) CallEmpty(host string, until time.Time) {
	if h := s.Hosts[host]; h != nil {
		h.CordonedUntil, h.CalledEmptyUntil = until, until
		return
	}
	if c, ok := s.unlistedCordons[host]; ok {
		c.until = until
		s.unlistedCordons[host] = c
	}
}

// Wait is what a host that is leaving waits for.
type Wait string

// The waits. Of several, the first one is given.
const (
	ForLongRunning Wait = "long-running work to move"
	ForWork        Wait = "work to end"
	ForAnswer      Wait = "an answer of the host"
	ForOrder       Wait = "the order"
)

// LeavingHost is a host that takes no work because it is being emptied.
type LeavingHost struct {
	Host  string
	Since time.Time
	Order LeaveOrder
	Wait  Wait
}

// Occupancy counts the hosts of a pool by what they are used for.
type Occupancy struct {
	// Working is the number of hosts that may take work, and Unused the part of it on which nothing runs.
	Working, Unused int
	// Leaving counts the hosts that are being emptied, by purpose.
	Leaving map[Purpose]int
	// Draining is the number of hosts that the platform drains.
	Draining int
	// Arriving is the number of hosts that are known and may take no work yet.
	Arriving int
	// Obstructed is the number of the other hosts that may take no work, those that have ended or are silent included.
	Obstructed int
	// Longest lists the hosts that are being emptied, those that have been for the longest time first, up to the limit.
	Longest []LeavingHost
}

// Occupancy returns what the hosts of the pool are used for, with at most limit hosts that are being emptied.
func (s *State) Occupancy(limit int, now time.Time) Occupancy {
	o := Occupancy{Leaving: map[Purpose]int{}}
	for _, h := range s.sortedHosts() {
		switch s.ObstacleTo(h, now) {
		case NoObstacle:
			o.Working++
			if len(h.Assigned) == 0 && h.UnknownRuns == 0 {
				o.Unused++
			}
		case Leaving:
			switch {
			case h.Draining:
				o.Draining++
				continue
			case !s.isPresent(h, now):
				// Its machine may have been ordered already.
				o.Obstructed++
				continue
			}
			o.Leaving[h.leave.Purpose]++
			o.Longest = append(o.Longest, LeavingHost{Host: h.ID, Since: h.CordonedAt, Order: h.leave, Wait: s.waitOf(h, now)})
		case Unlisted, Unconfirmed, Outdated:
			if h.Listed {
				o.Arriving++
			}
		default:
			o.Obstructed++
		}
	}
	slices.SortStableFunc(o.Longest, func(a, b LeavingHost) int { return cmp.Compare(a.Since.UnixNano(), b.Since.UnixNano()) })
	o.Longest = o.Longest[:min(len(o.Longest), limit)]
	return o
}

// waitOf returns what a host that is being emptied waits for.
func (s *State) waitOf(h *Host, now time.Time) Wait {
	switch {
	case h.longRunning > 0:
		return ForLongRunning
	case len(h.Assigned) > 0:
		return ForWork
	case h.UnknownRuns > 0 || !h.Confirmed || h.isUnread():
		return ForAnswer
	}
	return ForOrder
}
