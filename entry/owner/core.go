package owner

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"carawaymux.dev/entry/agent"
	"carawaymux.dev/entry/claim"
	"carawaymux.dev/entry/feed"
	"carawaymux.dev/fleet/shard"
	"carawaymux.dev/fleet/task"
)

const (
	// tickInterval is the time between looks at what only time changes: leases,
	// pauses, due occurrences.
	tickInterval = 50 * time.Millisecond
	// drainMost is the number of messages that are taken in before planning.
	drainMost = 256
)

// core is the state of the owner's task.
type core struct {
	owner    *Owner
	settings Settings
	deps     Deps
	logger   *slog.Logger
	claim    *claim.Claim
	state    *shard.State
	agents   map[string]*link
	writer   *claim.Writer
	inbox    *feed.Feed[[]byte]
	census   *task.Task[struct{}]
	counting bool
	counted  time.Time
	// adviser asks the policy service; asking says that it has a question.
	adviser *task.Task[shard.Question]
	asking  bool
	journal journal
	// out is cancelled when the owner stops; messages to its own inbox use it.
	out      context.Context
	shutOut  bool
	nextScan time.Time
	// beside counts what runs beside the task and ends with it.
	beside sync.WaitGroup
}

// link is an agent with what the owner knows of its lease call.
type link struct {
	agent *agent.Agent
	// holding says that a hold is under way; again is the earliest time of the next.
	holding bool
	again   time.Time
	// failing says that the last hold was not answered.
	failing bool
}

func newCore(o *Owner, s Settings, d Deps, won *claim.Claim) *core {
	c := &core{
		owner: o, settings: s, deps: d, claim: won, agents: map[string]*link{},
		logger: d.Logger.With("pool", won.Name, "epoch", won.Epoch),
		state:  shard.New(won.Name, won.Epoch, s.Timing, time.Now()),
	}
	c.state.ConfirmedAt = won.ConfirmedAt
	c.state.HasPolicyService = d.Adviser != nil
	return c
}

func (c *core) run(ctx context.Context, inbox <-chan message) {
	c.out = ctx
	c.writer = claim.NewWriter(c.claim, func(ctx context.Context, w claim.WriteResult) { c.post(ctx, wrote{w}) })
	c.startInbox()
	c.startCensus()
	c.startAdvice()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	c.act()
	for !c.shutOut {
		select {
		case <-ctx.Done():
			c.finish()
			return
		case <-tick.C:
			c.tick()
		case m := <-inbox:
			m.handle(c)
			c.drain(inbox)
		}
		c.act()
	}
	close(c.owner.lost)
	c.finish()
}

// drain takes in the messages that wait already, so that one round of planning
// serves them all.
func (c *core) drain(inbox <-chan message) {
	for range drainMost {
		select {
		case m := <-inbox:
			m.handle(c)
		default:
			return
		}
	}
}

// act plans, gives orders, extends leases and writes.
func (c *core) act() {
	now := time.Now()
	c.state.RetryStops(now)
	shard.Plan(c.state, shard.ByLoad{Overloaded: c.state.Overloaded}, now, now.UnixMilli())
	for _, o := range c.state.TakeOrders() {
		c.order(o, now)
	}
	for id, l := range c.agents {
		c.hold(id, l, now)
	}
	c.ask(now)
	c.flush(now)
}

// tick does what only time brings about.
func (c *core) tick() {
	now := time.Now()
	for _, id := range c.state.ExpireLeases(now) {
		c.dropHost(id)
	}
	if now.After(c.nextScan) {
		c.nextScan = now.Add(scanInterval)
		c.journal.drop = append(c.journal.drop, c.state.DropExpired(now)...)
	}
	c.refuseWaiting()
	c.count(now)
}

// scanInterval is the time between looks for jobs whose state need not be kept.
const scanInterval = 5 * time.Second

// finish closes what the owner started. Callers that wait hear that the outcome is
// not known.
func (c *core) finish() {
	c.inbox.Close()
	c.writer.Close()
	c.census.Close()
	c.adviser.Close()
	for _, l := range c.agents {
		l.agent.Close()
	}
	c.beside.Wait()
	c.answerAll(Answer{Outcome: Unknown, Reason: "the pool changes its owner"})
	c.logger.Info("pool given up", "jobs", len(c.state.Jobs), "shut-out", c.shutOut)
}

// post puts a message into the owner's own inbox; it waits for room.
func (c *core) post(ctx context.Context, m message) {
	if err := c.owner.task.Send(ctx, m); err != nil && ctx.Err() == nil {
		c.logger.Debug("message after the end", "err", err)
	}
}

func (m configured) handle(c *core) { c.state.Configure(m.config) }

func (m look) handle(c *core) {
	j := c.state.Jobs[m.id]
	if j == nil || j.Unsubmitted {
		m.reply <- Answer{Outcome: Missing, Reason: "no such job"}
		return
	}
	m.reply <- Answer{Outcome: Found, Phase: j.StoredPhase, Started: j.Begun}
}

func (m pending) handle(c *core) {
	m.reply <- Answer{Outcome: Found, Pending: c.state.Pending(m.queue)}
}
