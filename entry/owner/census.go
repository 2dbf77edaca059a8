package owner

import (
	"context"
	"time"

	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/task"
)

const (
	// censusInterval is the shortest time between two looks at the machines.
	censusInterval = 500 * time.Millisecond
	// censusTimeout bounds one look.
	censusTimeout = 900 * time.Millisecond
)

type census struct {
	machines []port.Machine
	// asked is when the look began.
	asked time.Time
	err   error
}

// startCensus starts the lane that looks at the machines.
func (c *core) startCensus() {
	c.census = task.Start(func(ctx context.Context, inbox <-chan struct{}) {
		for {
			select {
			case <-ctx.Done():
				return
			case <-inbox:
				asked := time.Now()
				call, cancel := context.WithTimeout(ctx, censusTimeout)
				machines, err := c.deps.Machines.List(call)
				cancel()
				c.post(ctx, census{machines, asked, err})
			}
		}
	}, task.WithInbox(1))
}

// count looks at the machines while some host is silent: the platform knows sooner
// than its lease tells whether a host has ended.
func (c *core) count(now time.Time) {
	if c.counting || now.Sub(c.counted) < censusInterval || len(c.state.SilentHosts(now)) == 0 {
		return
	}
	c.counting, c.counted = c.census.TrySend(struct{}{}), now
}

func (m census) handle(c *core) {
	c.counting = false
	if m.err != nil {
		c.logger.Debug("machines not listed", "err", m.err)
		return
	}
	alive := make(map[string]bool, len(m.machines))
	for _, one := range m.machines {
		if one.Host != "" && one.State == port.MachineUp {
			alive[one.Host] = true
		}
	}
	now := time.Now()
	for _, id := range c.state.SilentHosts(now) {
		h := c.state.Hosts[id]
		if h.FirstAnswer.After(m.asked) || h.LastAnswer.After(m.asked) {
			// The list may be older than this life.
			continue
		}
		if !alive[id] {
			c.logger.Info("host has ended", "host", id, "by", "list of machines")
			c.state.HostEnded(id, now)
		}
	}
}
