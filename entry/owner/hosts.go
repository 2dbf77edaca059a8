package owner

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"carawaymux.dev/entry/agent"
	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

const (
	// heartbeatBackoff is the time between a failed heartbeat and the next one to the same host.
	heartbeatBackoff = 150 * time.Millisecond
	// busyHeartbeatWait is the longest wait of a heartbeat to a host with work that ends. Such a host
	// mostly answers sooner, because runs end.
	busyHeartbeatWait = 400 * time.Millisecond
	// unackedBackoff is the time between heartbeats to a host that has reported ended runs
	// which the store does not have yet. Without it the host would answer at once each time,
	// because those ends are not acknowledged.
	unackedBackoff = 150 * time.Millisecond
)

// heartbeatResult is the outcome of a heartbeat over a link.
type heartbeatResult struct {
	agent.HeartbeatResult
	link *hostLink
}

// orderResult is the outcome of an order.
type orderResult struct{ agent.OrderResult }

// extraReport is a report of a host that came beside heartbeats.
type extraReport struct {
	host   string
	report port.HostReport
}

// startKey identifies the start of a run.
type startKey struct {
	ref batch.Ref
	run int64
}

func (m hostChanges) handle(c *core) {
	for _, ch := range m.changes {
		if !ch.Present || ch.Value.Pool != c.state.Pool {
			c.state.UnlistHost(ch.Key)
			continue
		}
		c.addHost(ch.Value)
	}
}

// addHost adds or updates a host of the pool. If the store has no record of the host, the next
// append writes one.
func (c *core) addHost(h port.Host) {
	now := time.Now()
	old := c.state.Hosts[h.ID]
	if old != nil && old.Address != h.Address {
		c.dropAgent(h.ID)
		c.state.OrdersLost(h.ID, now)
	}
	if old == nil || old.Draining != h.Draining {
		c.logger.Info("host added or its drain state changed", "host", h.ID, "address", h.Address, "draining", h.Draining)
	}
	restarted := old != nil && old.Born != h.Born
	known := c.state.UpdateHost(h, now)
	if !known.Stored || restarted {
		c.journal.addHost(h)
	}
	c.openAgent(h)
}

func (c *core) openAgent(h port.Host) {
	if c.agents[h.ID] != nil {
		return
	}
	l := &hostLink{}
	l.agent = agent.Open(h, c.deps.HostClients,
		func(ctx context.Context, r agent.HeartbeatResult) { c.post(ctx, heartbeatResult{r, l}) },
		func(ctx context.Context, r agent.OrderResult) { c.post(ctx, orderResult{r}) }, agent.WithCopies(c.copies),
		agent.WithReports(func(ctx context.Context, r port.HostReport) { c.post(ctx, extraReport{h.ID, r}) }))
	c.agents[h.ID] = l
}

func (c *core) dropAgent(id string) {
	if l := c.agents[id]; l != nil {
		l.agent.Close()
		delete(c.agents, id)
	}
}

// dropHost removes a host that is gone for good, from memory and from the store.
func (c *core) dropHost(id string) {
	c.dropAgent(id)
	c.journal.removeHost(id)
	c.logger.Info("host removed from the pool", "host", id)
}

// sendHeartbeat sends a heartbeat to a host, unless one is in flight or the next one is not
// due.
func (c *core) sendHeartbeat(id string, l *hostLink, now time.Time) {
	h := c.state.Hosts[id]
	if h == nil || l.heartbeatInFlight || now.Before(l.nextHeartbeat) {
		return
	}
	if h.CountedEnd > h.StoredEnd && now.Sub(h.LastAnswer) < unackedBackoff {
		return
	}
	wait := max(c.settings.HeartbeatWait-l.pause, 0)
	if c.state.IsBusy(h) {
		// An end is known late by the rest of the wait if the answer that reports it is lost.
		wait = min(wait, busyHeartbeatWait)
	}
	deadline := c.state.LeaseDeadline(h, now)
	// A host that has not confirmed this owner, that may have ends from before to list, or whose lease cannot be
	// extended, is to answer at once.
	if !h.Confirmed || !h.EndsListed || deadline == 0 {
		wait = 0
	}
	var acked int64
	if l.answered {
		// Otherwise a new instance may answer, which numbers its ends from 1 again.
		acked = h.StoredEnd
	}
	heartbeat := agent.Heartbeat{Deadline: deadline, Token: c.state.Epoch, Acked: acked, Wait: wait}
	if deadline != 0 || acked != 0 {
		// The next instance has another clock and numbers its ends from 1 again.
		heartbeat.Instance = h.Instance
	}
	l.heartbeatInFlight = l.agent.SendHeartbeat(heartbeat)
	if l.heartbeatInFlight {
		c.state.HeartbeatSent(id, now)
	}
	l.nextHeartbeat = now.Add(minHeartbeatInterval)
}

const (
	// minHeartbeatInterval is the minimum time between the starts of two heartbeats to one host.
	minHeartbeatInterval = 10 * time.Millisecond
	// promptShare is the share of the window's target time up to which the delay of starts does not
	// make an owner late.
	promptShare = 0.8
	// pauseFactor is the ratio of the longest pause between heartbeats to the delay beyond that.
	// maxHeartbeatPause bounds the pause; it is well below the time within which a host has to
	// answer.
	pauseFactor       = 20
	maxHeartbeatPause = 500 * time.Millisecond
)

// heartbeatPause returns the time between the answer to a heartbeat and the next one to the same
// host, for an owner whose starts are answered after a delay, and in time if that is within target. A
// late owner sends fewer heartbeats, each of which returns more ends. The time is random, so that the
// heartbeats to hosts that answered together spread out.
func heartbeatPause(delay, target time.Duration) time.Duration {
	prompt := time.Duration(promptShare * float64(target))
	if delay <= prompt {
		return 0
	}
	return rand.N(min(pauseFactor*(delay-prompt), maxHeartbeatPause))
}

func (m heartbeatResult) handle(c *core) {
	l, now := m.link, time.Now()
	l.heartbeatInFlight, l.pause = false, heartbeatPause(c.starts.Delay(now), c.starts.Target())
	if next := now.Add(l.pause); next.After(l.nextHeartbeat) {
		l.nextHeartbeat = next
	}
	// Another service may answer at an earlier address of a host, so only reports count from there.
	current := l == c.agents[m.Host]
	if c.state.Hosts[m.Host] == nil || (m.Err != nil && !current) {
		return
	}
	if m.Err != nil {
		c.heartbeatFailed(l, m.HeartbeatResult, now)
		return
	}
	l.answered, l.reached = true, true
	if l.failing {
		l.failing = false
		c.logger.Info("host regained", "host", m.Host)
	}
	c.logEnds(c.state.HandleReport(m.Host, &m.Report, now))
	if !current {
		// The answer over the current link is still to come.
		c.state.HeartbeatSent(m.Host, now)
	}
}

func (m extraReport) handle(c *core) { c.logEnds(c.state.HandleEnds(m.host, &m.report, time.Now())) }

// logEnds logs and counts ends of runs.
func (c *core) logEnds(ends []shard.RunEnd) {
	for _, e := range ends {
		c.deps.Stats.Add("runs-ended", 1, "pool", c.state.Pool, "result", string(e.Result))
		c.logger.Info("run ended", "unit", e.Ref.String(), "run", e.Run, "host", e.Host,
			"result", string(e.Result), "took-ms", e.Took.Milliseconds())
	}
}

func (c *core) heartbeatFailed(l *hostLink, m agent.HeartbeatResult, now time.Time) {
	id, err := m.Host, m.Err
	l.nextHeartbeat, l.answered = now.Add(heartbeatBackoff), false
	c.state.HeartbeatFailed(id, m.Late, now)
	var refused *port.RefusedError
	if errors.As(err, &refused) && refused.Reason == port.RefusedFence {
		c.resign("host "+id, err)
		return
	}
	if refused != nil && refused.Reason == port.RefusedInstance && l.reached {
		// Another host has the address now. Had the host never answered there, it could be at work at another one.
		c.state.HostEnded(id, now)
	}
	if !l.failing {
		l.failing = true
		c.deps.Stats.Add("hosts-lost", 1, "pool", c.state.Pool)
		c.logger.Warn("host lost", "host", id, "err", err, "late", m.Late)
	}
}

// resign makes the owner give up the pool after it has seen a newer owner.
func (c *core) resign(where string, err error) {
	if !c.fenced {
		c.logger.Warn("a newer owner was seen", "at", where, "err", err)
	}
	c.fenced = true
}

// sendOrder passes an order to the agent of its host. An order that cannot be passed on counts
// as refused by the host.
func (c *core) sendOrder(o shard.Order, now time.Time) {
	l, h := c.agents[o.Host], c.state.Hosts[o.Host]
	if l == nil || h == nil {
		c.recordOutcome(o, 0, &port.RefusedError{Reason: port.RefusedUnhealthy}, now)
		return
	}
	order := agent.Order{Order: o, Token: c.state.Epoch}
	if o.Kind == shard.OrderStart {
		order.Instance = h.Instance
		if order.Deadline = c.state.StartDeadline(h, now); order.Deadline == 0 {
			c.recordOutcome(o, 0, &port.RefusedError{Reason: port.RefusedDeadline}, now)
			return
		}
	}
	if !l.agent.Send(order) {
		c.recordOutcome(o, 0, &port.RefusedError{Reason: port.RefusedUnhealthy}, now)
		return
	}
	if o.Kind == shard.OrderStart {
		c.starts.Add(startKey{o.Ref, o.Run}, now)
	}
	c.deps.Stats.Add("orders", 1, "pool", c.state.Pool, "kind", orderNames[o.Kind])
	c.logger.Info(orderNames[o.Kind], "unit", o.Ref.String(), "run", o.Run, "host", o.Host, "why", o.Reason)
}

// orderNames holds the log message and the metric label of each kind of order.
var orderNames = [...]string{
	shard.OrderStart: "run ordered", shard.OrderStop: "stop ordered", shard.OrderThrottle: "pace ordered",
}

func (m orderResult) handle(c *core) {
	c.delays.recordOrder(&m.OrderResult)
	if m.Err != nil {
		c.deps.Stats.Add("orders-failed", 1, "pool", c.state.Pool, "kind", orderNames[m.Order.Kind])
		c.logger.Info("order failed", "unit", m.Order.Ref.String(), "run", m.Order.Run, "host", m.Order.Host,
			"order", orderNames[m.Order.Kind], "waited-ms", m.Waited.Milliseconds(), "err", m.Err)
	}
	now := time.Now()
	if m.Order.Kind == shard.OrderStart {
		c.starts.Answered(startKey{m.Order.Ref, m.Order.Run}, now)
	}
	c.recordOutcome(m.Order, m.HostClock, m.Err, now)
}

// recordOutcome passes the outcome of an order to the state.
func (c *core) recordOutcome(o shard.Order, clock int64, err error, now time.Time) {
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
