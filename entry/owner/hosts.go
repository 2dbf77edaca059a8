package owner

import (
	"context"
	"errors"
	"time"

	"carawaymux.dev/entry/agent"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

const (
	// holdPause is the time before a host is asked again that did not answer.
	holdPause = 150 * time.Millisecond
	// unackedPause is the time before a host is asked again whose ends have not
	// been written yet; it would answer at once.
	unackedPause = 150 * time.Millisecond
)

type held struct{ agent.RenewResult }

type done struct{ agent.OrderResult }

// listed takes in changes of the platform's list.
func (m listed) handle(c *core) {
	for _, ch := range m.changes {
		if !ch.Present || ch.Value.Pool != c.state.Pool {
			c.state.UnlistHost(ch.Key)
			continue
		}
		c.seeHost(ch.Value)
	}
}

func (c *core) seeHost(h port.Host) {
	now := time.Now()
	old := c.state.Hosts[h.ID]
	if old != nil && old.Address != h.Address {
		c.dropAgent(h.ID)
	}
	if old == nil || old.Draining != h.Draining {
		c.logger.Info("host listed", "host", h.ID, "address", h.Address, "draining", h.Draining)
	}
	one := c.state.UpdateHost(h, now)
	if !one.Stored {
		c.journal.hosts = append(c.journal.hosts, h)
	}
	c.openAgent(h)
}

func (c *core) openAgent(h port.Host) {
	if c.agents[h.ID] != nil {
		return
	}
	a := agent.Open(h, c.deps.Workers,
		func(ctx context.Context, r agent.RenewResult) { c.post(ctx, held{r}) },
		func(ctx context.Context, r agent.OrderResult) { c.post(ctx, done{r}) })
	c.agents[h.ID] = &link{agent: a}
}

func (c *core) dropAgent(id string) {
	if l := c.agents[id]; l != nil {
		l.agent.Close()
		delete(c.agents, id)
	}
}

// dropHost forgets a host that is gone.
func (c *core) dropHost(id string) {
	c.dropAgent(id)
	c.journal.gone = append(c.journal.gone, id)
	c.logger.Info("host gone", "host", id)
}

// hold asks a host to go on, unless it is being asked.
func (c *core) hold(id string, l *link, now time.Time) {
	h := c.state.Hosts[id]
	if h == nil || l.holding || now.Before(l.again) {
		return
	}
	if h.CountedEnd > h.StoredEnd && now.Sub(h.LastAnswer) < unackedPause {
		return
	}
	wait := c.settings.RenewWait
	deadline := c.state.LeaseDeadline(h, now)
	if !h.Confirmed || deadline == 0 {
		wait = 0
	}
	l.holding = l.agent.Renew(agent.Renewal{Deadline: deadline, Token: c.state.Epoch, Acked: h.StoredEnd, Wait: wait})
	l.again = now.Add(holdGap)
}

// holdGap is the shortest time between two holds of one host.
const holdGap = 10 * time.Millisecond

func (m held) handle(c *core) {
	l := c.agents[m.Host]
	h := c.state.Hosts[m.Host]
	if l == nil || h == nil {
		return
	}
	l.holding = false
	now := time.Now()
	if m.Err != nil {
		c.holdFailed(m.Host, l, m.Err, now)
		return
	}
	if l.failing {
		l.failing = false
		c.logger.Info("host regained", "host", m.Host)
	}
	for _, e := range c.state.HandleReport(m.Host, &m.Listing, now) {
		c.deps.Stats.Add("runs-ended", 1, "pool", c.state.Pool, "result", string(e.Result))
		c.logger.Info("run ended", "unit", e.Ref.String(), "run", e.Run, "host", e.Host,
			"result", string(e.Result), "took-ms", e.Took.Milliseconds())
	}
}

func (c *core) holdFailed(id string, l *link, err error, now time.Time) {
	l.again = now.Add(holdPause)
	c.state.Hosts[id].Unreachable = true
	var refused *port.RefusedError
	if errors.As(err, &refused) && refused.Reason == port.RefusedFence {
		c.resign("host "+id, err)
		return
	}
	if refused != nil && refused.Reason == port.RefusedInstance {
		c.state.HostEnded(id, now)
	}
	if !l.failing {
		l.failing = true
		c.deps.Stats.Add("hosts-lost", 1, "pool", c.state.Pool)
		c.logger.Warn("host lost", "host", id, "err", err)
	}
}

// resign gives the pool up, since a newer owner has been seen.
func (c *core) resign(where string, err error) {
	if !c.shutOut {
		c.logger.Warn("a newer owner was seen", "at", where, "err", err)
	}
	c.shutOut = true
}

// order sends an order to its host's agent.
func (c *core) order(o shard.Order, now time.Time) {
	l, h := c.agents[o.Host], c.state.Hosts[o.Host]
	if l == nil || h == nil {
		c.settle(o, 0, &port.RefusedError{Reason: port.RefusedUnhealthy}, now)
		return
	}
	out := agent.Order{Order: o, Token: c.state.Epoch}
	if o.Kind == shard.OrderStart {
		if out.Deadline = c.state.StartDeadline(h, now); out.Deadline == 0 {
			c.settle(o, 0, &port.RefusedError{Reason: port.RefusedDeadline}, now)
			return
		}
	}
	if !l.agent.Send(out) {
		c.settle(o, 0, &port.RefusedError{Reason: port.RefusedUnhealthy}, now)
		return
	}
	c.deps.Stats.Add("orders", 1, "pool", c.state.Pool, "kind", orderNames[o.Kind])
	c.logger.Info(orderNames[o.Kind], "unit", o.Ref.String(), "run", o.Run, "host", o.Host, "why", o.Why)
}

var orderNames = [...]string{
	shard.OrderStart: "run ordered", shard.OrderStop: "stop ordered", shard.OrderThrottle: "pace ordered",
}

func (m done) handle(c *core) {
	if m.Err != nil {
		c.deps.Stats.Add("orders-failed", 1, "pool", c.state.Pool, "kind", orderNames[m.Order.Kind])
		c.logger.Info("order failed", "unit", m.Order.Ref.String(), "run", m.Order.Run, "host", m.Order.Host,
			"order", orderNames[m.Order.Kind], "err", m.Err)
	}
	c.settle(m.Order, m.HostClock, m.Err, time.Now())
}

// settle hands an order's outcome to the state.
func (c *core) settle(o shard.Order, clock int64, err error, now time.Time) {
	ok := true
	switch o.Kind {
	case shard.OrderStart:
		ok = c.state.HandleStartResult(&o, clock, err, now)
	case shard.OrderStop:
		ok = c.state.HandleStopResult(&o, clock, err, now)
	case shard.OrderThrottle:
		c.state.HandleThrottleResult(&o, err)
	}
	if !ok {
		c.resign("host "+o.Host, err)
	}
}
