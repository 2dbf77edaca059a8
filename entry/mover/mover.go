// Package mover runs the task that sends orders for machines to the platform. It moves machines
// between pools as their load requires, and takes machines through the maintenance waves that
// operators publish. A claim ensures that one entry at a time holds the task.
package mover

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"carawaymux.dev/entry/claim"
	"carawaymux.dev/entry/duties"
	"carawaymux.dev/entry/feed"
	"carawaymux.dev/entry/owner"
	"carawaymux.dev/entry/stats"
	"carawaymux.dev/fleet/demand"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
	"carawaymux.dev/fleet/sizing"
	"carawaymux.dev/fleet/task"
	"carawaymux.dev/fleet/upkeep"
)

// ClaimName is the name that the holder claims. No pool has this name.
const ClaimName = "*machines"

const (
	// roundInterval is the time between two rounds. A round requests lists and loads and ends
	// with a plan.
	roundInterval = 250 * time.Millisecond
	// loadAnswerTimeout is how long a plan waits for the load of the pools. Owners answer
	// within a few milliseconds; an owner that does not answer must not delay the plan for the
	// other pools.
	loadAnswerTimeout = 60 * time.Millisecond
	// listInterval is the minimum time between two requests for the list of machines.
	listInterval = 500 * time.Millisecond
	// callTimeout bounds one call to the platform. askTimeout bounds one request to the owner
	// of a pool, which must not delay the other pools.
	callTimeout = 900 * time.Millisecond
	askTimeout  = 250 * time.Millisecond
	// hostlessTime is how long lists have to show a machine as up without a host before it is ordered without asking an
	// owner. A host that starts is listed well before.
	hostlessTime = 5 * time.Second
	// confirmInterval is the maximum time for which the claim goes without a write that
	// confirms it.
	confirmInterval = 800 * time.Millisecond
	// maxPlanAge is the largest age of the claim at which new moves are planned. A holder whose writes are answered in
	// time stays well below it.
	maxPlanAge = confirmInterval + 700*time.Millisecond
	// reportBackoff is the time before a report to operators that failed is sent again.
	reportBackoff = time.Second
)

// Deps are the services that the mover uses.
type Deps struct {
	Machines  port.MachineService
	Operators port.WaveReporter
	Logger    *slog.Logger
	// Stats may be nil.
	Stats *stats.Set
	// Waves returns the waves that operators have published. The returned list is never
	// changed.
	Waves func() []port.Wave
	// Vacate asks the owner of a pool to empty a host. It reports false if the owner could not
	// be asked.
	Vacate func(ctx context.Context, pool, host string, o shard.LeaveOrder) (owner.Answer, bool)
	// Release has the owner of a pool use hosts again that an order was to have emptied, and ends what earlier holders
	// have asked of it. It reports whether the owner has done so.
	Release func(ctx context.Context, pool string, hosts []string, o shard.LeaveOrder) bool
	// Load asks the owner of a pool for the pool's load. It reports false if the owner could
	// not be asked.
	Load func(ctx context.Context, pool string) (owner.Answer, bool)
}

// Settings configure the mover.
type Settings struct {
	// Holder is the name of this entry in orders for machines.
	Holder string
	// Term is the time that has to pass after the last call of one holder that may order a
	// machine before another holder may send orders to that machine.
	Term time.Duration
	// MaxRecordBytes and MaxRequestBytes are the store's limits on a record and on all records of
	// one append. 0 means no limit.
	MaxRecordBytes, MaxRequestBytes int
	// MoveTime is the time that the platform takes to move a machine to another pool.
	MoveTime time.Duration
	// OrdersPerSecond is the number of orders that the machine service accepts per second from all
	// entries together. It is 0 if the service states none.
	OrdersPerSecond float64
}

// Mover sends orders for machines. Use [Starter] to create it.
type Mover struct {
	task *task.Task[message]
	lost chan struct{}
}

type message interface{ handle(c *core) }

type (
	configChange struct{ config *port.Config }
	writeResult  struct{ claim.WriteResult }
	// reportResult is the outcome of a report on a wave to operators.
	reportResult struct {
		wave *upkeep.Wave
		done bool
		err  error
	}
)

// core is the state of the task.
type core struct {
	mover    *Mover
	settings Settings
	deps     Deps
	logger   *slog.Logger
	claim    *claim.Claim
	writer   *claim.Writer
	timing   upkeep.Timing
	// earlier holds the machines to which an earlier holder may have sent orders.
	earlier map[string]earlierOrders
	// authorized holds the machines that the store records as ones to which this holder may
	// send orders, and when each was last added to a write. The write in flight keeps all of
	// them. authorizing is what replaces it once that write is answered.
	authorized, authorizing map[string]time.Time
	// confirmedAt is when the newest answered write was sent; the claim is confirmed as of that
	// time. unwritten holds the records of the next write.
	confirmedAt   time.Time
	writeInFlight bool
	unwritten     []port.Record
	stored        storedState
	waves         map[int64]*upkeep.Wave
	// reportFailedAt holds, by wave number, when a report to operators last failed. The zero
	// time means that the last report was delivered. reportInFlight holds the waves with a
	// report in flight.
	reportFailedAt map[int64]time.Time
	reportInFlight map[int64]bool
	standby        map[string]bool
	pools          []string
	// machines is the newest list of machines together with the effects of later orders.
	// listedAt is when the list was requested.
	machines     map[string]port.Machine
	listedAt     time.Time
	listInFlight bool
	// hostlessSince holds, for each machine that is up without a host in a pool at work, when the first of the newest lists
	// was requested that all show it so.
	hostlessSince map[string]time.Time
	// orderedStateAt holds when an order last changed the state of a machine. Older lists do
	// not show that change.
	orderedStateAt map[string]time.Time
	// unanswered holds the machines, by startedKey, whose maintenance was ordered last without an answer.
	unanswered map[string]bool
	// fenced is set when a newer holder has been seen. The task then stops.
	fenced bool
	// listFailed reports whether the last request for the list of machines failed. No plan is made
	// until a request succeeds.
	listFailed bool
	// newlyAuthorized reports whether the last write has increased the number of authorized
	// machines.
	newlyAuthorized bool
	// toAuthorize holds the machines to authorize with the next write.
	toAuthorize []string
	sizing      *sizing.State
	// shortageLoggedAt is when a shortage of machines was last logged.
	shortageLoggedAt time.Time
	// forecast forecasts the load of the pools.
	forecast *sizing.Forecast[demand.InOrder]
	// progressLoggedAt is when the moves in progress were last logged.
	progressLoggedAt time.Time
	// orders limits the moves that begin to what the machine service accepts.
	orders *rate.Limiter
	// pace limits the hosts that are leaving for moves at once.
	pace pace
	// moves holds the moves in progress by machine.
	moves map[string]move
	// released holds, by pool, the hosts to be used again whose owner is to be told.
	released map[string][]string
	// announced holds the pools whose owners know of this holder. announcing holds those that are being told.
	announced, announcing map[string]bool
	// stepInFlight holds the machines with a step in flight, that is, a request to empty the
	// host and the order that may follow.
	stepInFlight map[string]bool
	// planDue reports whether the plan of this round has still to be made.
	planDue bool
	// loadAnswers holds the last load of each pool. loadInFlight holds the pools whose owner
	// has been asked and has not answered.
	loadAnswers  map[string]loadAnswer
	loadInFlight map[string]bool
	// orderedAt holds when the last step that may order a machine began.
	orderedAt map[string]time.Time
	// background counts the goroutines that the task has started and waits for when it stops.
	background sync.WaitGroup
}

// Starter returns a function that reads the stored state and prepares the start of the mover.
func Starter(s Settings, d Deps) duties.PrepareFunc {
	return func(ctx context.Context, acquired *claim.Claim) (duties.StartFunc, error) {
		stored, err := readStored(ctx, acquired)
		return func(config *port.Config, _ []port.Host) duties.Holder { return start(s, d, acquired, stored, config) }, err
	}
}

func start(s Settings, d Deps, acquired *claim.Claim, stored storedState, config *port.Config) *Mover {
	m := &Mover{lost: make(chan struct{})}
	c := &core{
		mover: m, settings: s, deps: d, claim: acquired, stored: stored, confirmedAt: acquired.ConfirmedAt,
		timing: orderTiming(s.Term), earlier: stored.earlierOrders(time.Now(), orderTiming(s.Term)),
		logger: d.Logger.With("holder", s.Holder, "epoch", acquired.Epoch),
		waves:  map[int64]*upkeep.Wave{}, reportFailedAt: map[int64]time.Time{}, reportInFlight: map[int64]bool{},
		standby: map[string]bool{}, authorized: map[string]time.Time{}, orderedStateAt: map[string]time.Time{},
		hostlessSince: map[string]time.Time{}, unanswered: map[string]bool{},
		sizing: sizing.NewState(), forecast: newForecast(stored.turns), orders: newOrderLimit(s.OrdersPerSecond), pace: newPace(movesPerSecond(s.OrdersPerSecond)), moves: map[string]move{}, stepInFlight: map[string]bool{},
		released: map[string][]string{}, announced: map[string]bool{}, announcing: map[string]bool{},
		loadAnswers: map[string]loadAnswer{}, loadInFlight: map[string]bool{}, orderedAt: map[string]time.Time{},
	}
	if config != nil {
		configChange{config}.handle(c)
	}
	task.StartInto(&m.task, c.run, task.WithInbox(inboxSize))
	return m
}

// inboxSize is the maximum number of messages that wait for the mover.
const inboxSize = 256

// Configure implements [duties.Holder].
func (m *Mover) Configure(ctx context.Context, c *port.Config) error {
	return m.task.Send(ctx, configChange{c})
}

// UpdateHosts implements [duties.Holder]. It does nothing, because the mover works on machines
// and not on hosts.
func (m *Mover) UpdateHosts(context.Context, []feed.Change[port.Host]) error { return nil }

// Lost implements [duties.Holder].
func (m *Mover) Lost() <-chan struct{} { return m.lost }

// Close implements [duties.Holder].
func (m *Mover) Close() { m.task.Close() }

func (c *core) run(ctx context.Context, inbox <-chan message) {
	ctx, cancel := context.WithCancel(ctx)
	c.writer = claim.NewWriter(c.claim, func(ctx context.Context, w claim.WriteResult) { c.post(ctx, writeResult{w}) })
	roundTimer, answerTimer := time.NewTimer(0), time.NewTimer(0)
	defer roundTimer.Stop()
	defer answerTimer.Stop()
	for !c.fenced && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case m := <-inbox:
			m.handle(c)
			if c.newlyAuthorized {
				// Machines that waited for their authorization need not wait for the next
				// round.
				c.newlyAuthorized = false
				c.stepMachines(ctx, time.Now())
			}
			if c.planDue && len(c.loadInFlight) == 0 {
				c.plan(ctx)
			}
		case <-answerTimer.C:
			if c.planDue {
				c.plan(ctx)
			}
		case <-roundTimer.C:
			c.startRound(ctx)
			roundTimer.Reset(roundInterval)
			answerTimer.Reset(loadAnswerTimeout)
		}
		c.sendReleases(ctx)
		c.write()
	}
	cancel()
	c.background.Wait()
	c.writer.Close()
	if c.fenced {
		close(c.mover.lost)
		return
	}
	c.handOver()
}

// post puts a message into the mover's own inbox and waits until there is room.
func (c *core) post(ctx context.Context, m message) {
	if err := c.mover.task.Send(ctx, m); err != nil && ctx.Err() == nil {
		c.logger.Debug("message dropped: the mover has stopped", "err", err)
	}
}

// runInBackground runs do in a goroutine of its own, with a timeout, and posts its result.
func (c *core) runInBackground(ctx context.Context, timeout time.Duration, do func(context.Context) message) {
	c.background.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		m := do(callCtx)
		cancel()
		c.post(ctx, m)
	})
}

func (m configChange) handle(c *core) {
	c.standby, c.pools = map[string]bool{}, nil
	for _, p := range m.config.Pools {
		c.standby[p.Name] = p.Standby
		c.pools = append(c.pools, p.Name)
	}
}

// startRound requests the lists and loads that the next plan needs, without waiting for the
// answers, and reports waves to operators.
func (c *core) startRound(ctx context.Context) {
	now := time.Now()
	c.addWaves()
	for _, w := range c.waves {
		c.reportWave(ctx, w, now)
	}
	c.listMachines(ctx)
	c.askLoads(ctx)
	c.announce(ctx)
	c.planDue = true
}

// plan decides what to do with the machines and starts it. It does nothing while the list of
// machines is not available.
func (c *core) plan(ctx context.Context) {
	c.planDue = false
	if c.listFailed || c.machines == nil {
		return
	}
	now := time.Now()
	if !c.claimIsFresh(now) {
		c.takeBackAll("the claim on the machines is not confirmed")
		return
	}
	for _, w := range c.openWaves() {
		c.chooseMachines(w, now)
	}
	c.planMoves(now)
	c.logProgress(now)
	c.stepMachines(ctx, now)
}

// openWaves returns the waves that are not completed.
func (c *core) openWaves() []*upkeep.Wave {
	var out []*upkeep.Wave
	for _, w := range c.waves {
		if !w.Completed {
			out = append(out, w)
		}
	}
	return out
}

// stepMachines starts the next step of each machine that is to be moved or maintained. It does nothing while the list of
// machines is not available, since a machine may have restarted since the newest one, or while the claim is not confirmed.
func (c *core) stepMachines(ctx context.Context, now time.Time) {
	if c.listFailed || !c.claimIsFresh(now) {
		return
	}
	for _, w := range c.openWaves() {
		var slots *upkeep.Slots
		for id := range w.Emptying {
			m, listed := c.machines[id]
			switch {
			case c.stepInFlight[id]:
				continue
			case !w.Names(id):
				// Operators have taken it out of the wave.
				delete(w.Emptying, id)
				continue
			case !listed:
				continue
			}
			if slots == nil {
				slots = w.Slots(c.machines, c.stepInFlight)
			}
			c.stepMaintenance(ctx, w, slots, m, now)
		}
	}
	for _, m := range c.moves {
		c.stepMove(ctx, m.Move, now)
	}
}

// beginStep marks a machine as having a step in flight, and returns whether the step may order
// the machine. It also has the machine authorized, or its authorization renewed, with the next
// write. If a step is already in flight, it does nothing and ok is false.
func (c *core) beginStep(machine string, now time.Time) (mayOrder, ok bool) {
	if c.stepInFlight[machine] {
		return false, false
	}
	c.stepInFlight[machine] = true
	c.authorize(machine, now)
	mayOrder = c.mayOrder(machine, now)
	if mayOrder {
		c.orderedAt[machine] = now
	}
	return mayOrder, true
}

// addWaves adds waves that operators have published, and updates those that they have published again with other contents.
func (c *core) addWaves() {
	published := c.deps.Waves()
	now := time.Now()
	for _, w := range published {
		if known := c.waves[w.Number]; known != nil {
			c.replaceWave(known, w, now)
			continue
		}
		age, recorded := c.stored.waveAge(&w, now)
		if !recorded {
			age = 0
			c.unwritten = append(c.unwritten, seenRecord(&w, now))
		}
		added := upkeep.NewWave(w, now, upkeep.WithAge(age))
		c.restoreStarted(added)
		c.waves[w.Number] = added
		c.logger.Info("wave seen", "wave", w.Number, "machines", len(w.Machines), "cap", w.MaxDown, "begun", len(added.Started),
			"age-ms", age.Milliseconds())
	}
}

// replaceWave updates a wave that operators have published again. It is reported as running until it is completed anew.
func (c *core) replaceWave(known *upkeep.Wave, published port.Wave, now time.Time) {
	completed := known.Completed
	if !known.Replace(published, now) {
		return
	}
	if completed {
		c.unwritten = append(c.unwritten, seenRecord(&published, now))
	}
	c.restoreStarted(known)
	delete(c.reportFailedAt, published.Number)
	c.logger.Info("wave changed by operators", "wave", published.Number, "machines", len(published.Machines), "cap", published.MaxDown,
		"completed", completed, "remaining", len(known.Remaining()))
}

// restoreStarted marks the machines of a wave that need no more steps, as the store has it.
func (c *core) restoreStarted(w *upkeep.Wave) {
	for _, m := range w.Machines {
		if c.stored.started[startedKey(w.Number, m)] {
			w.Started[m] = true
		}
	}
}

func startedKey(wave int64, machine string) string {
	return strconv.FormatInt(wave, 10) + "/" + machine
}

// reportWave reports a wave to operators once when it runs and once when it is completed. It waits for a
// list of machines, which shows whether an earlier holder has completed the wave, unless this one has.
func (c *core) reportWave(ctx context.Context, w *upkeep.Wave, now time.Time) {
	if !w.Listed && !w.Reopened {
		return
	}
	done := w.Done() && c.allWritten()
	failedAt, attempted := c.reportFailedAt[w.Number]
	runReported := attempted && failedAt.IsZero()
	if w.Completed || c.reportInFlight[w.Number] || (runReported && !done) || (attempted && !runReported && now.Sub(failedAt) < reportBackoff) {
		return
	}
	c.reportInFlight[w.Number] = true
	c.runInBackground(ctx, callTimeout, func(ctx context.Context) message {
		return reportResult{w, done, c.deps.Operators.ReportWave(ctx, w.Number, done)}
	})
}

func (m reportResult) handle(c *core) {
	w := m.wave
	delete(c.reportInFlight, w.Number)
	if m.err != nil {
		c.reportFailedAt[w.Number] = time.Now()
		c.logger.Warn("report on a wave to operators not delivered; it is sent again", "wave", w.Number, "err", m.err)
		return
	}
	if m.done && !w.Done() {
		// A machine of the wave was listed again, or added by operators, while the report was in flight.
		w.Reopened = len(w.Remaining()) > 0
		delete(c.reportFailedAt, w.Number)
		return
	}
	c.reportFailedAt[w.Number] = time.Time{}
	w.Completed = m.done
	if m.done {
		c.logger.Info("wave completed", "wave", w.Number, "took-ms", time.Since(w.FirstSeen).Milliseconds())
	}
}

// allWritten reports whether the store holds all records of this holder.
func (c *core) allWritten() bool { return len(c.unwritten) == 0 && !c.writeInFlight }
