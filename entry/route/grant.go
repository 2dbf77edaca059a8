package route

import (
	"context"

	"carawaymux.dev/fleet/jobs"
)

// grantWaiting gives free slots to waiting requests, then lends what is left. It does nothing while
// the router's heartbeat is overdue, since the routing table may then be outdated.
func (s *poolState) grantWaiting() {
	if !s.pool.heartbeat.fresh(s.now) {
		return
	}
	for s.queuedRequests() > 0 && s.hasFreeTarget(func(*target) bool { return true }) {
		q, t := s.nextTicket(s.hasFreeTarget(s.connected))
		if t == nil {
			break
		}
		suspect := t.request.Suspect
		chosen := s.pickTarget(suspect)
		chosen.inUse++
		if suspect {
			chosen.suspects++
		}
		s.grant(q, t, &Grant{
			Host: chosen.Host, Address: chosen.Address, owner: s.pool, requester: s.pool, suspect: suspect,
			Disconnected: !s.connected(chosen),
		})
	}
	s.lend()
	s.announceDemand()
}

func (s *poolState) grant(q *kindQueue, t *Ticket, g *Grant) {
	t.item.Remove()
	q.length--
	q.bodyBytes -= t.request.BodyBytes
	q.granted++
	q.running++
	q.waited += s.now.Sub(t.queuedAt)
	q.grantSeq++
	g.GrantedAt, g.kind = s.now, t.request.Kind
	t.granted = g
	t.reply <- Reply{Grant: g}
}

// nextTicket returns the request to be granted next and its queue, or nil. Kinds are served in rotation.
// Within a kind the most urgent class goes first, except that every lowUrgencyInterval-th
// grant starts with the least urgent class. Unless the slot is of a connected target, requests that wait
// for one are passed over.
func (s *poolState) nextTicket(connected bool) (*kindQueue, *Ticket) {
	for range s.rotation {
		s.rotationIndex = (s.rotationIndex + 1) % len(s.rotation)
		q := s.rotation[s.rotationIndex]
		t := q.first(func(t *Ticket) bool { return connected || s.mayUseDisconnected(&t.request) })
		if t != nil {
			return q, t
		}
	}
	return nil, nil
}

// first returns the first eligible request in the order in which they are granted, or nil.
func (q *kindQueue) first(eligible func(*Ticket) bool) *Ticket {
	if q.length == 0 {
		return nil
	}
	for i := range jobs.Urgencies {
		class := i
		if q.grantSeq%lowUrgencyInterval == lowUrgencyInterval-1 {
			class = len(jobs.Urgencies) - 1 - i
		}
		for item := q.waiting[class].First(); item != nil; item = item.Next() {
			if eligible(item.Value) {
				return item.Value
			}
		}
	}
	return nil
}

// queuedRequests returns the number of waiting requests of all kinds.
func (s *poolState) queuedRequests() int {
	n := 0
	for _, q := range s.rotation {
		n += q.length
	}
	return n
}

func (m setDemand) handle(s *poolState) {
	if m.count == 0 {
		delete(s.demands, m.borrower)
		return
	}
	s.demands[m.borrower] = m.count
}

// lend offers the slots of connected targets that are free above the guard to the pools with a demand, one
// slot to each in turn. The caller has served the pool's own requests before.
func (s *poolState) lend() {
	if !s.table.Spare || len(s.demands) == 0 {
		return
	}
	lendable := s.freeSlots() - s.table.Guard
	for lendable > 0 && len(s.demands) > 0 {
		for borrower, n := range s.demands {
			chosen := s.pickTarget(false)
			if lendable <= 0 || chosen == nil || !s.connected(chosen) {
				return
			}
			g := &Grant{Host: chosen.Host, Address: chosen.Address, owner: s.pool, requester: borrower}
			if !borrower.task.TrySend(offer{g}) {
				delete(s.demands, borrower)
				continue
			}
			chosen.inUse++
			s.lentSlots++
			lendable--
			if n <= 1 {
				delete(s.demands, borrower)
			} else {
				s.demands[borrower] = n - 1
			}
		}
	}
}

func (m offer) handle(s *poolState) {
	s.announcedDemand = max(0, s.announcedDemand-1)
	q, t := s.nextTicket(true)
	if t == nil || !s.pool.heartbeat.fresh(s.now) {
		go m.grant.owner.returnUnused(m.grant)
		return
	}
	s.borrowedSlots++
	s.grant(q, t, m.grant)
}

// returnUnused gives a lent slot back that the borrower did not use.
func (p *Pool) returnUnused(g *Grant) {
	_ = p.task.Send(context.Background(), release{host: g.Host})
}

// announceDemand tells the lenders how many requests wait, if the number has changed since
// they were told.
func (s *poolState) announceDemand() {
	if len(s.lenders) == 0 {
		return
	}
	waiting := s.queuedRequests()
	if waiting == s.announcedDemand {
		return
	}
	for _, lender := range s.lenders {
		if lender != s.pool && lender.task.TrySend(setDemand{borrower: s.pool, count: waiting}) {
			s.announcedDemand = waiting
		}
	}
}
