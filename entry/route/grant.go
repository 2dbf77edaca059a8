package route

import (
	"context"

	"carawaymux.dev/fleet/jobs"
)

// grantAll gives free slots to waiting requests, then lends what is left.
func (s *poolState) grantAll() {
	if !s.pool.pulse.fresh(s.now) {
		return
	}
	for {
		l, t := s.next()
		if t == nil {
			break
		}
		on := s.pick()
		if on == nil {
			break
		}
		on.inUse++
		s.grant(l, t, &Grant{Host: on.Host, Address: on.Address, owner: s.pool, by: s.pool})
	}
	s.lend()
	s.askLenders()
}

func (s *poolState) grant(l *lane, t *Ticket, g *Grant) {
	t.place.Remove()
	l.length--
	l.bytes -= t.ask.BodyBytes
	l.granted++
	l.running++
	l.waited += s.now.Sub(t.since)
	l.turn++
	g.GrantedAt, g.kind = s.now, t.ask.Kind
	t.granted = g
	t.reply <- Reply{Grant: g}
}

// next returns the request whose turn it is: the kinds take turns, and within a kind
// the more urgent class goes first, but for every lowTurn-th grant.
func (s *poolState) next() (*lane, *Ticket) {
	for range s.turns {
		s.turn = (s.turn + 1) % len(s.turns)
		l := s.turns[s.turn]
		if t := l.first(); t != nil {
			return l, t
		}
	}
	return nil, nil
}

func (l *lane) first() *Ticket {
	if l.length == 0 {
		return nil
	}
	for i := range jobs.Urgencies {
		class := i
		if l.turn%lowTurn == lowTurn-1 {
			class = len(jobs.Urgencies) - 1 - i
		}
		for place := l.waiting[class].First(); place != nil; place = place.Next() {
			if place.Value.ready {
				return place.Value
			}
		}
	}
	return nil
}

// waiting counts the requests that wait.
func (s *poolState) waiting() int {
	n := 0
	for _, l := range s.turns {
		n += l.length
	}
	return n
}

func (m want) handle(s *poolState) {
	if m.n == 0 {
		delete(s.wants, m.from)
		return
	}
	s.wants[m.from] = m.n
}

// lend gives slots that are free above the guard to pools that want them, one each
// in turn. The pool's own requests always go first.
func (s *poolState) lend() {
	if !s.table.Spare || len(s.wants) == 0 {
		return
	}
	room := s.free() - s.table.Guard
	for room > 0 && len(s.wants) > 0 {
		for borrower, n := range s.wants {
			on := s.pick()
			if room <= 0 || on == nil {
				return
			}
			g := &Grant{Host: on.Host, Address: on.Address, owner: s.pool, by: borrower}
			if !borrower.task.TrySend(offer{g}) {
				delete(s.wants, borrower)
				continue
			}
			on.inUse++
			s.lentOut++
			room--
			if n <= 1 {
				delete(s.wants, borrower)
			} else {
				s.wants[borrower] = n - 1
			}
		}
	}
}

func (m offer) handle(s *poolState) {
	s.wanted = max(0, s.wanted-1)
	l, t := s.next()
	if t == nil || !s.pool.pulse.fresh(s.now) {
		go m.grant.owner.giveBack(m.grant)
		return
	}
	s.lentIn++
	s.grant(l, t, m.grant)
}

// giveBack returns a lent slot that was not used.
func (p *Pool) giveBack(g *Grant) {
	_ = p.task.Send(context.Background(), release{host: g.Host})
}

// askLenders tells the lenders how many requests wait, when that has changed.
func (s *poolState) askLenders() {
	if len(s.lenders) == 0 {
		return
	}
	waiting := s.waiting()
	if waiting == s.wanted {
		return
	}
	for _, lender := range s.lenders {
		if lender != s.pool && lender.task.TrySend(want{from: s.pool, n: waiting}) {
			s.wanted = waiting
		}
	}
}
