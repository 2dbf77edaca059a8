package owner

import "time"

// cordonDuration is how long a host takes no new work after a request to empty it. The request
// has to be repeated before the cordon expires.
const cordonDuration = 3 * time.Second

func (m vacateHost) handle(c *core) {
	h := c.state.Hosts[m.host]
	if h == nil {
		// The list of hosts may be older than the request. No owner has given work to a host that it
		// has not stored, so the host is empty, and the cordon keeps it so.
		c.state.CordonUnlisted(m.host, time.Now(), cordonDuration)
		m.reply <- Answer{Outcome: Missing, Vacant: true, Reason: "no such host in the pool"}
		return
	}
	vacant := c.state.Vacate(h, time.Now(), cordonDuration)
	m.reply <- Answer{Outcome: Found, Vacant: vacant}
}

func (m poolLoad) handle(c *core) {
	l := c.state.Load(time.Now())
	m.reply <- Answer{Outcome: Found, Load: &l}
}
