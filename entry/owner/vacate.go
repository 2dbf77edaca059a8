package owner

import "time"

// cordonDuration is how long a host takes no new work after a request to empty it. The request
// has to be repeated before the cordon expires.
const cordonDuration = 3 * time.Second

func (m vacateHost) handle(c *core) {
	h := c.state.Hosts[m.host]
	if h == nil {
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
