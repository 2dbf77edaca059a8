package owner

import "time"

const (
	// leaveDuration is how long a host takes no new work after a request to empty it. The request has to be repeated
	// before. The holder of the machines sends it several times in this time.
	leaveDuration = 1500 * time.Millisecond
	// cordonDuration is how long a host takes no new work after it was called empty, or is not known and may have been.
	cordonDuration = 3 * time.Second
)

// maxEmptyingAge is the largest age of the claim under which hosts are emptied and called empty. An entry that was cut
// off is replaced after more than twice that time.
const maxEmptyingAge = 500 * time.Millisecond

// unlistedTime is how long requests to empty a host that is not known have to go on before the host is called empty. It is
// longer than the list of machines is old by which the requests are sent: another host that has started on the machine
// shows in it.
const unlistedTime = 2 * time.Second

// handle empties the host under a claim that was confirmed lately. A newer owner counts the tasks that are unavailable by
// itself, and does not know of the cordon.
func (m vacateHost) handle(c *core) {
	if c.leaving {
		m.reply <- Answer{Outcome: Refused, Reason: "another entry is about to own the pool"}
		return
	}
	now := time.Now()
	c.awaitClaim(m, now.Add(-maxEmptyingAge), now)
}

// settle answers that the host is empty. If an order may follow, it does once the store shows that the host was granted.
func (m vacateHost) settle(c *core) {
	a, g := m.vacate(c), &c.journal.grants
	if a.Vacant && !m.order.Tentative {
		until := time.Now().Add(cordonDuration)
		c.state.CallEmpty(m.host, until)
		if !g.extend(m.host, until) {
			g.waiting[m.host] = append(g.waiting[m.host], m)
			return
		}
	}
	m.reply <- a
}

func (m vacateHost) refuse(a Answer) { m.reply <- a }

// vacate cordons the host and returns whether it is empty.
func (m vacateHost) vacate(c *core) Answer {
	if !c.state.AdmitHolder(m.order, time.Now()) {
		return newerHolder
	}
	h := c.state.Hosts[m.host]
	if h == nil {
		// The list of hosts may be older than the request. No owner has given work to a host that it
		// has not stored, so the host is empty, and the cordon keeps it so. Or the host has ended.
		now := time.Now()
		since := c.state.CordonUnlisted(m.host, now, cordonDuration)
		return Answer{Outcome: Missing, Vacant: now.Sub(since) >= unlistedTime, Reason: "no such host in the pool"}
	}
	c.state.NoteLeave(h, m.order)
	return Answer{Outcome: Found, Vacant: c.state.Vacate(h, time.Now(), leaveDuration)}
}

// newerHolder refuses a request of a holder of the machines that has been replaced.
var newerHolder = Answer{Outcome: Refused, Reason: "a newer holder of the machines has sent requests"}

// handle has the hosts take work again at once. That needs no confirmed claim: hosts that were called empty stay so.
func (m releaseHosts) handle(c *core) {
	now := time.Now()
	if !c.state.AdmitHolder(m.order, now) {
		m.reply <- newerHolder
		return
	}
	c.state.EndLeaves(m.hosts, m.order, now)
	m.reply <- Answer{Outcome: Found}
}

func (leave) handle(c *core) { c.leaving = true }

func (m poolLoad) handle(c *core) {
	l := c.state.Load(time.Now())
	m.reply <- Answer{Outcome: Found, Load: &l}
}
