package owner

import (
	"slices"
	"strconv"
	"time"

	"carawaymux.dev/entry/claim"
	"carawaymux.dev/fleet/caps"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

const (
	// groupWindow is the minimum time between two appends that only carry progress, so that
	// more progress shares one append. What a caller waits for is written at once.
	groupWindow = 60 * time.Millisecond
	// confirmInterval is the maximum time for which an idle claim goes without a write that
	// confirms it.
	confirmInterval = time.Second
	// unavailableAfter is how long an append may stay unanswered before the store counts as
	// unavailable and submissions are refused at once, if earlier ones were not slow.
	unavailableAfter = 400 * time.Millisecond
	// unavailableRetryAfter is the retry time that callers are given while the store is
	// unavailable. It is about as long as an outage that ends without intervention.
	unavailableRetryAfter = 2 * time.Second
	// maxJobsPerAppend is the maximum number of submissions in one append.
	maxJobsPerAppend = 256
)

// refusedStoreUnavailable refuses a submission of which nothing has been written.
var refusedStoreUnavailable = Answer{Outcome: Refused, RetryAfter: unavailableRetryAfter, Reason: "the store is away", StoreUnavailable: true}

// The keys of a pool's records consist of the pool's name, one of these infixes, and the ID of a
// job or host, or the name of a queue or tenant. In the key of a part of a job's progress, partSeparator and the part follow. The key
// with keyConfirm has no ID; it is written when a claim is to be confirmed and there is nothing else to
// write.
const (
	keySpec     = "/j/"
	keyProgress = "/n/"
	keyPart     = "/p/"
	keyHost     = "/h/"
	keyQueue    = "/q/"
	keyGrant    = "/e/"
	// keyNeighbors has no ID either.
	keyNeighbors = "/i/"
	keyBudget    = "/c/"
	keyConfirm   = "/r"
)

// journal holds the changes that wait to be written and those of the append in flight.
type journal struct {
	// newJobs are submissions that have not been part of an append yet.
	newJobs []*shard.Job
	// newHosts are to be written; removedHosts and expiredJobs are IDs to be deleted. A host is in
	// one of them at most.
	newHosts     []port.Host
	removedHosts []string
	expiredJobs  []string
	// inboxJobs holds the IDs of jobs that arrived through the inbox and are still in it. trimming
	// holds those that are being deleted from it.
	inboxJobs, trimming []string
	// staleParts are to be deleted.
	staleParts []shard.StalePart
	// queues holds the rules of queues that the store has, or will have once dirtyQueues are written.
	queues      map[string]storedQueue
	dirtyQueues map[string]struct{}
	// grants holds the hosts that are called empty.
	grants grants
	// held holds the starts that wait until the store shows them.
	held []heldStart
	// unacked holds the ends that are acknowledged next. It is nil if there are none.
	unacked *endSnapshot
	// waiters holds, by job ID, the callers that wait for a submission or a cancellation.
	waiters map[string][]waiter
	// inFlight is the append in flight. It is nil if there is none.
	inFlight   *appendInFlight
	lastAppend time.Time
	// unavailable reports whether an append has been unanswered for longer than times allows.
	unavailable bool
	times       appendTimes
}

// addHost notes that the record of a host is to be written.
func (j *journal) addHost(h port.Host) {
	j.forgetHost(h.ID)
	j.newHosts = append(j.newHosts, h)
}

// removeHost notes that the record of a host is to be deleted.
func (j *journal) removeHost(id string) {
	j.forgetHost(id)
	j.removedHosts = append(j.removedHosts, id)
}

// forgetHost drops what was noted about the record of a host.
func (j *journal) forgetHost(id string) {
	j.newHosts = slices.DeleteFunc(j.newHosts, func(h port.Host) bool { return h.ID == id })
	j.removedHosts = slices.DeleteFunc(j.removedHosts, func(removed string) bool { return removed == id })
}

// waiter is a caller that waits for the store.
type waiter struct {
	cancel bool
	reply  chan<- Answer
}

// appendInFlight is an append that the store has not answered yet.
type appendInFlight struct {
	startedAt time.Time
	jobs      []*shard.Job
	changes   []shard.Change
	hosts     []port.Host
	// granted holds the hosts that may be called empty once the append is written.
	granted []string
	budgets []caps.Budget
	// ackOnWrite holds, by host, the ends that were counted when the append was collected. They
	// are acknowledged once the append is written.
	ackOnWrite map[string]countedEnds
}

// countedEnds are the ends of one instance of a host up to a number.
type countedEnds struct {
	number int64
	// firstAnswer is when the instance first answered. It tells the instances of the host apart.
	firstAnswer time.Time
}

// endSnapshot holds the ends of runs that were counted at one time.
type endSnapshot struct {
	ends map[string]countedEnds
	// newestChange is the number of the last change that an end among them can have made.
	newestChange int64
}

// writeResult is the outcome of an append.
type writeResult struct{ claim.WriteResult }

// restore rebuilds the state from what earlier owners have stored, and opens agents for all
// hosts that may run work.
func (c *core) restore(stored *StoredState, config *port.Config, hosts []port.Host) {
	c.journal.waiters, c.journal.grants = map[string][]waiter{}, newGrants()
	now := time.Now()
	c.restoreQueues(stored, config)
	c.restoreNeighbors(stored, now)
	c.restoreBudgets(stored, config)
	for id, spec := range stored.Specs {
		var n *shard.Progress
		if v, ok := stored.Progress[id]; ok {
			n = &v
		}
		c.state.Restore(id, spec, n, now, shard.WithParts(stored.Parts[id]))
	}
	for id := range stored.Progress {
		if _, ok := stored.Specs[id]; !ok {
			c.state.RestoreCancelled(id, now, shard.ForTenant(stored.Progress[id].Tenant))
		}
	}
	c.journal.staleParts = append(stored.OrphanedParts, c.state.TakeStaleParts()...)
	for _, h := range stored.Hosts {
		c.state.RestoreHost(h)
		c.inherited[h.ID] = now
		c.openAgent(h)
	}
	for _, h := range hosts {
		if h.Pool == c.state.Pool {
			c.addHost(h)
		}
	}
	for id := range stored.Granted {
		c.state.RestoreCordon(id, now, cordonDuration)
		c.journal.grants.restore(id, now.Add(cordonDuration))
	}
	for key, err := range stored.Unreadable {
		c.deps.Stats.Add("unreadable-records", 1, "pool", c.state.Pool)
		c.logger.Error("stored record cannot be read; skipped", "key", key, "err", err)
	}
	c.deps.Stats.Add("pools-taken-over", 1, "pool", c.state.Pool)
	c.logger.Info("pool taken over", "jobs", len(stored.Specs), "hosts", len(c.state.Hosts))
}

// flush starts the next append if there is something to write and no append is in flight.
func (c *core) flush(now time.Time) {
	journal := &c.journal
	if journal.inFlight != nil {
		if !journal.unavailable && now.Sub(journal.inFlight.startedAt) > journal.times.limit(now) {
			journal.unavailable = true
			c.logger.Warn("store lost", "waiting", len(journal.newJobs), "limit-ms", journal.times.limit(now).Milliseconds())
		}
		return
	}
	urgent := len(journal.newJobs) > 0 || len(journal.newHosts) > 0 || len(journal.grants.added) > 0 || c.state.NeedsFlush() || c.state.NeedsConfirmation() || c.needsConfirmation() ||
		len(c.budgets.waiting) > 0 && len(c.budgets.dirty) > 0
	recent := now.Sub(journal.lastAppend) < groupWindow
	confirm := now.Sub(c.state.ConfirmedAt) > confirmInterval
	deletions := len(journal.removedHosts) + len(journal.expiredJobs) + len(journal.staleParts) + len(journal.grants.ended) + len(c.budgets.dirty)
	if !urgent && !confirm && (recent || !(c.state.Dirty() || deletions > 0)) {
		return
	}
	records, content := c.collect(now)
	if len(records) == 0 {
		records = []port.Record{{Key: c.state.Pool + keyConfirm, Value: []byte{1}}}
	}
	journal.inFlight, journal.lastAppend = content, now
	c.writer.Write(records)
}

func (m writeResult) handle(c *core) {
	journal := &c.journal
	written := journal.inFlight
	journal.inFlight = nil
	if m.Err != nil {
		if c.runCtx.Err() == nil {
			c.resign("store", m.Err)
		}
		return
	}
	if journal.unavailable {
		journal.unavailable = false
		c.logger.Info("store regained")
	}
	took := time.Since(written.startedAt)
	journal.times.record(took, time.Now())
	c.deps.Stats.Observe("store-append", took, "pool", c.state.Pool)
	c.state.ConfirmedAt = m.Sent
	c.settleQuestions(time.Now())
	for _, h := range written.hosts {
		if host := c.state.Hosts[h.ID]; host != nil {
			host.Stored = true
		}
	}
	for id, counted := range written.ackOnWrite {
		if h := c.state.Hosts[id]; h != nil && h.FirstAnswer.Equal(counted.firstAnswer) {
			h.StoredEnd = max(h.StoredEnd, counted.number)
		}
	}
	for _, j := range written.jobs {
		c.state.MarkStored(j)
		c.countJob(j, sizeAccepted)
		c.answer(j.ID, false, Answer{Outcome: Accepted})
	}
	for _, ch := range written.changes {
		c.state.MarkWritten(ch)
		if ch.Part == nil && ch.Progress.Phase != shard.Open {
			late := time.Now().After(ch.Job.Objective)
			c.deps.Stats.Add("jobs-ended", 1, "pool", c.state.Pool, "phase", string(ch.Progress.Phase), "late", strconv.FormatBool(late))
			c.countEnd(ch.Job, ch.Progress.Phase, late)
			c.deps.Stats.Observe("job", time.Since(ch.Job.AcceptedAt), "pool", c.state.Pool)
			c.logger.Info("job ended", "job", ch.Job.ID, "phase", string(ch.Progress.Phase),
				"took-ms", time.Since(ch.Job.AcceptedAt).Milliseconds(), "late", late, "queue", ch.Job.Spec.Queue, "tenant", ch.Job.Spec.Tenant, "size", ch.Job.Size.String())
			c.answer(ch.Job.ID, true, Answer{Outcome: Accepted, Phase: ch.Progress.Phase})
			// A submission that arrived after the cancellation of the same job waits too.
			c.answer(ch.Job.ID, false, Answer{Outcome: Accepted, Phase: ch.Progress.Phase})
		}
	}
	journal.staleParts = append(journal.staleParts, c.state.TakeStaleParts()...)
	c.settleGrants(written.granted)
	c.settleBudgets(written.budgets)
	c.sendHeld(time.Now())
	c.trimInbox()
}

// answer answers the callers that wait for the submission of a job, or for its cancellation if
// cancel is set.
func (c *core) answer(id string, cancel bool, a Answer) {
	var rest []waiter
	for _, w := range c.journal.waiters[id] {
		if w.cancel != cancel {
			rest = append(rest, w)
			continue
		}
		w.reply <- a
	}
	if len(rest) == 0 {
		delete(c.journal.waiters, id)
		return
	}
	c.journal.waiters[id] = rest
}

// answerAll answers all callers that wait.
func (c *core) answerAll(a Answer) {
	for id := range c.journal.waiters {
		c.answer(id, false, a)
		c.answer(id, true, a)
	}
}

func (m submitJob) handle(c *core) { c.submit(m, false) }

// submit accepts a job, unless it is known. checked reports whether no earlier pool of the queue holds the job or
// will accept it.
func (c *core) submit(m submitJob, checked bool) {
	if known, ok := c.state.Queues[m.queue.Name]; !ok || known.Version < m.queue.Version {
		c.state.SetQueue(m.queue)
		c.noteQueue(m.queue.Name)
	}
	if c.isOfOther(m.spec.Tenant, m.id) {
		c.logger.Info("job refused", "job", m.id, "tenant", m.spec.Tenant, "why", "the ID is in use by another tenant")
		m.reply <- conflicting
		return
	}
	if c.journal.unavailable && c.state.Jobs[m.id] == nil {
		c.deps.Stats.Add("jobs-refused", 1, "pool", c.state.Pool, "why", "store away")
		c.logger.Info("job refused", "job", m.id, "why", "store away")
		m.reply <- refusedStoreUnavailable
		return
	}
	if c.state.Jobs[m.id] == nil && !c.admits(m, checked) {
		return
	}
	j, verdict := c.state.Submit(m.id, m.spec, time.Now())
	if verdict == shard.Duplicate && (j.Stored || j.StoredPhase != shard.Open) {
		m.reply <- Answer{Outcome: Accepted, Phase: j.StoredPhase}
		return
	}
	if verdict == shard.Accepted {
		c.journal.newJobs = append(c.journal.newJobs, j)
		c.deps.Stats.Add("jobs-submitted", 1, "pool", c.state.Pool, "queue", m.queue.Name)
		c.logger.Info("job submitted", "job", m.id, "queue", m.queue.Name, "tenant", m.spec.Tenant, "units", m.spec.TaskCount(), "open", len(c.state.Jobs))
	}
	c.journal.waiters[m.id] = append(c.journal.waiters[m.id], waiter{reply: m.reply})
}

func (m cancelJob) handle(c *core) {
	if !m.cancelEarlier(c) {
		c.cancel(m)
	}
}

func (c *core) cancel(m cancelJob) {
	j := c.cancelFor(m.tenant, m.id)
	if j == nil {
		// The answer is that for a job that does not exist.
		m.reply <- cancelledInAdvance
		return
	}
	if j.StoredPhase != shard.Open {
		m.reply <- Answer{Outcome: Accepted, Phase: j.StoredPhase}
		return
	}
	c.logger.Info("job cancelled; waiting for the store to confirm it", "job", m.id, "phase", string(j.Phase))
	c.journal.waiters[m.id] = append(c.journal.waiters[m.id], waiter{cancel: true, reply: m.reply})
}

// refuseUnwritten refuses the submissions that have not been part of an append while the store
// is unavailable, since nothing of them can have been stored. Jobs from the inbox were accepted
// when they were left there, so they stay.
func (c *core) refuseUnwritten() {
	if !c.journal.unavailable {
		return
	}
	var kept []*shard.Job
	for _, j := range c.journal.newJobs {
		if slices.Contains(c.journal.inboxJobs, j.ID) {
			kept = append(kept, j)
			continue
		}
		c.state.DropRejected(j.ID)
		c.deps.Stats.Add("jobs-refused", 1, "pool", c.state.Pool, "why", "store away")
		c.logger.Info("job refused", "job", j.ID, "why", "store away")
		c.answer(j.ID, false, refusedStoreUnavailable)
	}
	c.journal.newJobs = kept
}
