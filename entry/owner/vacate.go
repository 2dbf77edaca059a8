package owner

import "time"

// cordonFor is how long a host takes no new work after it was asked to be emptied;
// who asks has to ask again before it is over.
const cordonFor = 3 * time.Second

func (m vacate) handle(c *core) {
	h := c.state.Hosts[m.host]
	if h == nil {
		m.reply <- Answer{Outcome: Missing, Vacant: true, Reason: "no such host in the pool"}
		return
	}
	vacant := c.state.Vacate(h, time.Now(), cordonFor)
	m.reply <- Answer{Outcome: Found, Vacant: vacant}
}

func (m loadOf) handle(c *core) {
	l := c.state.Load(time.Now())
	m.reply <- Answer{Outcome: Found, Load: &l}
}
