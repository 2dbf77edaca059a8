package owner

import "time"

// cordonDuration is how long a host takes no new work after a request to empty it. The request
// has to be repeated before the cordon expires.
const cordonDuration = 3 * time.Second

// handle cordons the host. That it is empty is answered only once the claim has been confirmed after that: a newer owner
// does not know of the cordon.
func (m vacateHost) handle(c *core) {
	a := m.vacate(c)
	if a.Vacant {
		c.awaitClaim(m, time.Now())
		return
	}
	m.reply <- a
}

func (m vacateHost) settle(c *core) { m.reply <- m.vacate(c) }

func (m vacateHost) refuse(a Answer) { m.reply <- a }

// vacate cordons the host and returns whether it is empty.
func (m vacateHost) vacate(c *core) Answer {
	h := c.state.Hosts[m.host]
	if h == nil {
		// The list of hosts may be older than the request. No owner has given work to a host that it
		// has not stored, so the host is empty, and the cordon keeps it so.
		c.state.CordonUnlisted(m.host, time.Now(), cordonDuration)
		return Answer{Outcome: Missing, Vacant: true, Reason: "no such host in the pool"}
	}
	return Answer{Outcome: Found, Vacant: c.state.Vacate(h, time.Now(), cordonDuration)}
}

func (m poolLoad) handle(c *core) {
	l := c.state.Load(time.Now())
	m.reply <- Answer{Outcome: Found, Load: &l}
}
