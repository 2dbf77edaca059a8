package mover

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"carawaymux.dev/fleet/demand"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
	"carawaymux.dev/fleet/sizing"
)

const (
	// queueDrainTarget is the time within which waiting work should have started. It is a large
	// part of the time that callers allow in addition to the work itself.
	queueDrainTarget = 1200 * time.Millisecond
	// fillShare is the share of a host that work of different sizes fills in practice.
	fillShare = 0.85
	// reserveHosts is the number of hosts kept free in each pool for work that arrives before a
	// move can take effect.
	reserveHosts = 2
	// serviceDelay is the time from a decision to its order, and from the end of a move to the first
	// start on the host.
	serviceDelay = time.Second
	// moveTimeout is the time after the decision to move a machine after which the move is
	// abandoned if it has not been carried out.
	moveTimeout = 4 * time.Second
	// moveShare is the share of the orders that the machine service accepts that is used for moves.
	// The rest is left for maintenance.
	moveShare = 0.8
	// defaultOrderRate is the number of orders per second where the platform states no limit.
	defaultOrderRate = 64
	// loadTTL is how long the load that an owner has reported is used.
	loadTTL = time.Second
	// shortageLogInterval is the time between two lines about a shortage of machines, for all pools together.
	shortageLogInterval = time.Second
)

// move is a move in progress.
type move struct {
	sizing.Move
	since time.Time
}

// newForecast returns a forecast that goes on from what earlier holders have observed, which may be nil.
func newForecast(observed *demand.History) *sizing.Forecast[demand.InOrder] {
	if observed == nil {
		observed = demand.NewHistory()
	}
	return &sizing.Forecast[demand.InOrder]{
		Sizer:   sizing.ClearBacklog{Within: queueDrainTarget, Utilization: fillShare, Reserve: reserveHosts},
		History: observed,
	}
}

// observeLoads records the loads for the forecast, and has its history stored when turns have begun or
// ended.
func (c *core) observeLoads(loads map[string]sizing.Load, now time.Time) {
	turns := c.forecast.History.Turns
	c.forecast.Observe(loads, now)
	if c.forecast.History.Turns == turns {
		return
	}
	record, err := forecastRecord(c.forecast.History)
	if err != nil {
		c.logger.Error("turns of the pools could not be encoded and are not stored", "err", err)
		return
	}
	c.unwritten = append(c.unwritten, record)
}

// newOrderLimit limits the moves to the share of the orders per second that the machine service accepts.
// Moves that the plans of a second could have begun may begin at once.
func newOrderLimit(perSecond float64) *rate.Limiter {
	moves := movesPerSecond(perSecond)
	return rate.NewLimiter(rate.Limit(moves), max(int(moves), 1))
}

// movesPerSecond returns the moves per second of a service that accepts a number of orders, which is 0 if it is not known.
func movesPerSecond(orders float64) float64 {
	if orders <= 0 {
		orders = defaultOrderRate
	}
	return orders * moveShare
}

type (
	// loadAnswer is the load of a pool as its owner reported it when asked at the time at. The
	// load is nil if the owner did not report one.
	loadAnswer struct {
		pool string
		load *sizing.Load
		at   time.Time
	}
	// moveResult is the outcome of one step of a move.
	moveResult struct {
		machine string
		outcome port.OrderOutcome
		err     error
	}
)

// askLoads asks the owners of all pools that are not on standby for their load, except those
// that have not answered the last request.
func (c *core) askLoads(ctx context.Context) {
	for _, p := range c.pools {
		if c.standby[p] || c.loadInFlight[p] {
			continue
		}
		c.loadInFlight[p] = true
		c.runInBackground(ctx, askTimeout, func(ctx context.Context) message {
			answer := loadAnswer{pool: p, at: time.Now()}
			if a, ok := c.deps.Load(ctx, p); ok {
				answer.load = a.Load
			}
			return answer
		})
	}
}

func (m loadAnswer) handle(c *core) {
	delete(c.loadInFlight, m.pool)
	if m.load == nil {
		delete(c.loadAnswers, m.pool)
		return
	}
	c.loadAnswers[m.pool] = m
}

// planMoves decides which machines to move to other pools.
func (c *core) planMoves(now time.Time) {
	in := &sizing.Input{
		Loads: map[string]sizing.Load{}, Machines: c.machines, Standby: c.standby,
		Moving: map[string]sizing.Move{}, Emptying: map[string]bool{}, Held: map[string]bool{},
		MaintenanceDue: map[string]bool{}, Budget: int(c.orders.TokensAt(now)),
		MaxLeaving: c.pace.hosts(),
	}
	for pool, l := range c.loadAnswers {
		if now.Sub(l.at) < loadTTL {
			in.Loads[pool] = *l.load
		}
	}
	for id, m := range c.moves {
		in.Moving[id] = m.Move
	}
	for id, e := range c.earlier {
		in.Held[id] = now.Before(e.orderableAt)
	}
	for _, w := range c.openWaves() {
		for id := range w.Emptying {
			in.Emptying[id] = true
		}
		for _, id := range w.Remaining() {
			in.MaintenanceDue[id] = true
		}
	}
	c.observeLoads(in.Loads, now)
	if c.forecast.History.WorkSince.IsZero() {
		// Nothing is known about the load, so the pools stay as operators have provided them.
		return
	}
	in.Expected = c.forecast.Expected(in.Loads, now, c.settings.MoveTime+serviceDelay)
	c.takeBackUnwanted(in)
	if now.Sub(c.confirmedAt) > maxPlanAge {
		// Another holder may be there before the moves could be ordered.
		return
	}
	moves := sizing.Plan(c.sizing, c.forecast.Sizer, in, now)
	c.orders.ReserveN(now, len(moves))
	c.logShortage(now)
	for _, m := range moves {
		c.moves[m.Machine] = move{m, now}
		to := in.Loads[m.To]
		c.logger.Info("machine to be moved", "machine", m.Machine, "from", m.From, "to", m.To, "host", m.Host,
			"waiting", to.Backlog, "late", to.Late, "from-late", in.Loads[m.From].Late, "inflow", to.ArrivalRate, "hosts", to.Hosts, "held", in.Held[m.Machine])
	}
}

// logShortage logs the largest shortage that the last plan has left, at most once in shortageLogInterval.
func (c *core) logShortage(now time.Time) {
	s := c.sizing.Shortage
	if s.Pool == "" || now.Sub(c.shortageLoggedAt) < shortageLogInterval {
		return
	}
	c.shortageLoggedAt = now
	c.logger.Info("machines wanted and not given", "pool", s.Pool, "hosts", s.Hosts, "needed", s.Needed,
		"holder", s.Holder, "holder-hosts", s.HolderHosts, "holder-needed", s.HolderNeeded, "holder-could-give", s.Releasable)
}

// stepMove asks for the host of a machine to be emptied, and orders the move once it is empty.
func (c *core) stepMove(ctx context.Context, m sizing.Move, now time.Time) {
	machine := c.machines[m.Machine]
	if !c.stepInFlight[m.Machine] && (machine.Pool != m.From || machine.Host != m.Host) {
		// An earlier holder has moved the machine, or the machine has restarted.
		c.endMove(c.moves[m.Machine])
		c.logger.Info("move dropped", "machine", m.Machine, "from", m.From, "to", m.To, "now-in", machine.Pool)
		return
	}
	if m.Host != "" && !c.stepInFlight[m.Machine] && !c.mayOrder(m.Machine, now) {
		// The host works until an order can follow.
		c.authorize(m.Machine, now)
		c.abandonLateMove(c.moves[m.Machine], now)
		return
	}
	mayOrder, ok := c.beginStep(m.Machine, now)
	if !ok {
		return
	}
	s := c.newStep(mayOrder, c.emptyCheck(machine, shard.ForMove, mayOrder), now)
	c.runInBackground(ctx, askTimeout+callTimeout, func(ctx context.Context) message {
		result := moveResult{machine: m.Machine}
		result.outcome, result.err = s.run(ctx, c.timing, func(ctx context.Context) (port.OrderOutcome, error) {
			return c.deps.Machines.Move(ctx, m.Machine, m.To, c.settings.Holder, c.claim.Epoch)
		})
		return result
	})
}

func (r moveResult) handle(c *core) {
	delete(c.stepInFlight, r.machine)
	m, ok := c.moves[r.machine]
	if !ok {
		return
	}
	now := time.Now()
	if r.err != nil || r.outcome == port.OrderBusy {
		c.pace.notTaken()
	}
	if r.err != nil {
		c.logger.Warn("move order not answered", "machine", r.machine, "to", m.To, "err", r.err)
		c.abandonLateMove(m, now)
		return
	}
	switch r.outcome {
	case port.OrderDone:
		c.pace.taken()
		c.deps.Stats.Add("moves", 1, "from", m.From, "to", m.To)
		c.logger.Info("machine moved", "machine", r.machine, "from", m.From, "to", m.To,
			"after-ms", now.Sub(m.since).Milliseconds())
		// The machine counts as moving until the next list of machines arrives.
		machine := c.machines[r.machine]
		machine.Pool, machine.State, machine.Host = m.To, port.MachineMoving, ""
		c.machines[r.machine] = machine
		c.orderedStateAt[r.machine] = now
		delete(c.moves, r.machine)
	case port.OrderFenced:
		c.logger.Warn("move order rejected: a newer holder has sent orders; giving up the claim on machines",
			"machine", r.machine)
		c.fenced = true
	case port.OrderUnknown:
		c.sizing.Refuse(m.Move)
		c.endMove(m)
		c.logger.Info("machine cannot be moved: the platform does not know the machine or the pool",
			"machine", r.machine, "from", m.From, "to", m.To)
	default:
		c.abandonLateMove(m, now)
	}
}

// abandonLateMove abandons a move that has exceeded moveTimeout. An order that was not answered may still
// be carried out; the list of machines then shows it.
func (c *core) abandonLateMove(m move, now time.Time) {
	if now.Sub(m.since) <= moveTimeout {
		return
	}
	c.endMove(m)
	c.logger.Info("move abandoned: the machine was not emptied and moved within the time limit",
		"machine", m.Machine, "from", m.From, "to", m.To)
}
