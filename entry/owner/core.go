package owner

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"carawaymux.dev/entry/agent"
	"carawaymux.dev/entry/claim"
	"carawaymux.dev/entry/feed"
	"carawaymux.dev/entry/hedge"
	"carawaymux.dev/fleet/shard"
	"carawaymux.dev/fleet/task"
	"carawaymux.dev/fleet/window"
)

const (
	// tickInterval is the time between checks of what depends on time alone: leases, backoffs
	// and occurrences that become due.
	tickInterval = 50 * time.Millisecond
	// maxDrainedMessages is the maximum number of queued messages that are handled before the
	// next round of planning.
	maxDrainedMessages = 256
	// minRoundPause is the minimum time between two rounds of planning, so that messages that keep
	// coming share rounds. maxRoundPause bounds it when rounds take long.
	minRoundPause = 5 * time.Millisecond
	maxRoundPause = 50 * time.Millisecond
	// startsPerHost is the number of starts of a host that may be unanswered. Orders of a host
	// share queues, so a second start could wait until the first is answered.
	startsPerHost = 1
)

// core is the state of the owner's task.
type core struct {
	owner    *Owner
	settings Settings
	deps     Deps
	logger   *slog.Logger
	claim    *claim.Claim
	state    *shard.State
	agents   map[string]*hostLink
	// starts holds the starts that have not been answered.
	starts *window.Window[startKey, window.Adaptive]
	// copies limits the calls to hosts that are sent again because their answers may have been lost.
	copies *hedge.Budget
	writer *claim.Writer
	inbox  *feed.Feed[[]byte]
	// inboxReadAt is when the inbox had been read for the first time; zero before that. inboxAsOf is when
	// the newest reading of it was requested, and refreshedAt when one was last asked for.
	inboxReadAt, inboxAsOf, refreshedAt time.Time
	// leaving is set once another entry is about to own the pool. No host is emptied then.
	leaving bool
	// questions holds the requests whose answers wait for the store.
	questions []openQuestion
	// machineLister requests the list of machines. listedAt is when it was last asked to.
	machineLister *task.Task[struct{}]
	listInFlight  bool
	listedAt      time.Time
	// adviser sends requests to the policy service. adviceInFlight reports whether one is
	// unanswered.
	adviser        *task.Task[shard.Question]
	adviceInFlight bool
	// inherited maps the hosts of earlier owners that inherited work waits for to when each was last logged.
	inherited map[string]time.Time
	// journal holds what is to be written to the store.
	journal journal
	// budgets holds the budgets of tenants that are to be stored.
	budgets budgets
	// placing is the registration of the pool for its queues.
	placing placing
	// neighbors holds what was written and reported about images that slow each other down.
	neighbors neighborWrites
	// runCtx is cancelled when the owner stops. It bounds the messages that the owner's
	// background work posts to the owner's inbox, and that work itself.
	runCtx context.Context
	// fenced is set when a newer owner has been seen. The owner then stops.
	fenced bool
	// nextExpiryScan is the earliest time of the next scan for expired jobs.
	nextExpiryScan time.Time
	// nextRound is the earliest time of the next round of planning.
	nextRound time.Time
	// nextWaitingLog is the earliest time of the next log line about work that waits.
	nextWaitingLog time.Time
	// nextOccupancyLog is the earliest time of the next report of what the hosts are used for.
	nextOccupancyLog time.Time
	// delays measures how late this owner is.
	delays *delayMeter
	// background counts the goroutines that the task has started and waits for when it stops.
	background sync.WaitGroup
}

// hostLink is the agent of a host and the state of its heartbeats.
type hostLink struct {
	agent *agent.Agent
	// heartbeatInFlight reports whether a heartbeat has not been answered yet. nextHeartbeat is
	// the earliest time of the next one, and pause is what was added to it for a late owner.
	heartbeatInFlight bool
	nextHeartbeat     time.Time
	pause             time.Duration
	// answered reports whether the last heartbeat was answered, and reached whether any was: the address is that of the host
	// then, and not one that another writer has put into its record.
	answered, reached bool
	// failing reports whether the last heartbeat failed, that is, was refused or not answered.
	failing bool
}

func newCore(o *Owner, s Settings, d Deps, acquired *claim.Claim) *core {
	c := &core{
		owner: o, settings: s, deps: d, claim: acquired, agents: map[string]*hostLink{}, inherited: map[string]time.Time{},
		logger: d.Logger.With("pool", acquired.Name, "epoch", acquired.Epoch),
		state:  shard.New(acquired.Name, acquired.Epoch, s.Timing, time.Now()),
		starts: window.New[startKey](window.Adaptive{}), copies: hedge.NewBudget(),
		placing: newPlacing(),
	}
	c.state.ConfirmedAt = acquired.ConfirmedAt
	c.state.HasPolicyService = d.Adviser != nil
	c.state.MaxTaskBytes = shard.MaxTaskBytes(s.MaxRecordBytes)
	c.delays = newDelayMeter(acquired.Name, d.Stats, c.logger, time.Now())
	return c
}

func (c *core) run(ctx context.Context, inbox <-chan queued) {
	c.runCtx = ctx
	c.writer = claim.NewWriter(c.claim, func(ctx context.Context, w claim.WriteResult) { c.post(ctx, writeResult{w}) })
	c.startInbox()
	c.startMachineLister()
	c.startAdvice()
	c.register(time.Now())
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	round := time.NewTimer(0)
	defer round.Stop()
	for !c.fenced {
		select {
		case <-ctx.Done():
			c.shutdown()
			return
		case <-tick.C:
			c.tick()
		case m := <-inbox:
			c.handle(m)
			c.drainInbox(inbox)
		case <-round.C:
		}
		if wait := time.Until(c.nextRound); wait > 0 {
			round.Reset(wait)
			continue
		}
		c.act()
	}
	close(c.owner.lost)
	c.shutdown()
}

// handle handles one message from the inbox.
func (c *core) handle(m queued) {
	c.delays.recordMessage(time.Since(m.postedAt))
	m.message.handle(c)
}

// drainInbox handles the messages that are already queued, so that one round of planning covers
// all of them.
func (c *core) drainInbox(inbox <-chan queued) {
	for range maxDrainedMessages {
		select {
		case m := <-inbox:
			c.handle(m)
		default:
			return
		}
	}
}

// act sends heartbeats, plans and sends orders, and starts the next request to the policy service and
// the next write to the store. Hosts answer while it plans: a new owner cannot start inherited work before they have, and its
// first round looks at all that waits.
func (c *core) act() {
	now := time.Now()
	for id, l := range c.agents {
		c.sendHeartbeat(id, l, now)
	}
	c.state.RetryStops(now)
	limits := shard.Limits{Starts: c.starts.Room(now), StartsPerHost: startsPerHost}
	ranking := shard.LateShare[shard.StarvedFirst[shard.SizeShare[shard.ByLoad]]]{
		Ranking: shard.StarvedFirst[shard.SizeShare[shard.ByLoad]]{Ranking: c.ranking(), Spare: c.state.HasSpareCapacity(now)},
		Due:     c.state.LateWorkIsDue(now),
	}
	shard.PlanWithin(c.state, ranking, limits, now, now.UnixMilli())
	c.sendOrders(now)
	c.askAdviser(now)
	c.flush(now)
	end := time.Now()
	c.delays.recordRound(end.Sub(now))
	c.nextRound = end.Add(roundPause(end.Sub(now)))
}

// ranking returns the order of work that is in time.
func (c *core) ranking() shard.SizeShare[shard.ByLoad] {
	return shard.SizeShare[shard.ByLoad]{Ranking: shard.ByLoad{Overloaded: c.state.Overloaded}, Overloaded: c.state.Overloaded}
}

// roundPause returns the minimum time between a round of planning and the next one. It is as long
// as the round took, within bounds, so that time is left for messages.
func roundPause(took time.Duration) time.Duration {
	return min(max(took, minRoundPause), maxRoundPause)
}

// tick applies changes that depend on time alone.
func (c *core) tick() {
	now := time.Now()
	for _, id := range c.state.ExpireLeases(now) {
		c.dropHost(id)
	}
	if now.After(c.nextExpiryScan) {
		c.nextExpiryScan = now.Add(expiryScanInterval)
		c.journal.expiredJobs = append(c.journal.expiredJobs, c.state.DropExpired(now)...)
		c.findEmptyQueues(now)
	}
	c.state.SettleSuspects(now)
	c.refuseUnwritten()
	c.journal.grants.expire(now)
	c.returnHeld(now)
	c.tickPlacing(now)
	c.settleQuestions(now)
	c.logCrashes()
	c.logInherited(now)
	c.listMachines(now)
	c.logWaiting(now)
	c.logOccupancy(now)
	c.reportNeighbors(now)
	c.delays.endInterval(now)
}

// expiryScanInterval is the time between scans for jobs whose retention period has ended.
const expiryScanInterval = 5 * time.Second

// shutdown stops everything that the owner started. Callers whose submissions or cancellations
// the store has not confirmed are told that the outcome is unknown.
func (c *core) shutdown() {
	c.inbox.Close()
	c.writer.Close()
	c.machineLister.Close()
	c.adviser.Close()
	for _, l := range c.agents {
		l.agent.Close()
	}
	c.background.Wait()
	c.refuseWaiting(Answer{Outcome: Refused, RetryAfter: noAnswerRetryAfter, Reason: "the owner of the pool stopped before it took the job"})
	c.answerAll(Answer{Outcome: Unknown, Reason: "the owner of the pool stopped before the store confirmed the request"})
	c.logger.Info("pool given up", "jobs", len(c.state.Jobs), "shut-out", c.fenced)
}

// post puts a message into the owner's own inbox and waits until there is room.
func (c *core) post(ctx context.Context, m message) {
	if err := c.owner.task.Send(ctx, queued{m, time.Now()}); err != nil && ctx.Err() == nil {
		c.logger.Debug("message dropped: the owner of the pool has stopped", "err", err)
	}
}
