package owner

import (
	"context"
	"slices"
	"time"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// A configuration may send a queue to another pool. Work that the earlier pool has accepted goes on there. For a
// job that the new owner does not know, it asks the owners of the earlier pools, which by that take no further job
// of the queue. The store holds which pools those are.

const (
	// earlierTimeout limits the questions about one request to the owners of earlier pools.
	earlierTimeout = 1500 * time.Millisecond
	// registerTimeout limits one attempt to register the pool for its queues, and registerBackoff is the
	// pause after one that failed.
	registerTimeout = 2 * time.Second
	registerBackoff = 200 * time.Millisecond
	// uncheckedInterval is the time between two questions about a job from the inbox.
	uncheckedInterval = 300 * time.Millisecond
	// emptyAfter is the time for which a queue must have been closed before the pool says that it holds no jobs of
	// it. Submissions under the earlier configuration have arrived in the inbox by then.
	emptyAfter = time.Minute
)

// OtherPools asks the owners of other pools about a queue. The queue that is passed has the pool that asks. The
// result is false if no owner has answered.
type OtherPools interface {
	JobStatus(ctx context.Context, pool string, q port.Queue, id string) (Answer, bool)
	// Cancel cancels a job if it is of the tenant.
	Cancel(ctx context.Context, pool string, q port.Queue, id, tenant string) (Answer, bool)
	Pending(ctx context.Context, pool string, q port.Queue) (Answer, bool)
}

var (
	refusedMoved        = Answer{Outcome: Refused, RetryAfter: noAnswerRetryAfter, Reason: "another pool takes the jobs of the queue now"}
	refusedUnchecked    = Answer{Outcome: Refused, RetryAfter: noAnswerRetryAfter, Reason: "an earlier pool of the queue has not said whether it holds the job"}
	refusedUnregistered = Answer{Outcome: Refused, RetryAfter: noAnswerRetryAfter, Reason: "the earlier pools of the queue are not known yet"}
)

// isForeign reports whether a question about a queue comes from the owner of another pool.
func (c *core) isForeign(q *port.Queue) bool { return q.Pool != "" && q.Pool != c.state.Pool }

// isElsewhere reports whether another pool takes the new jobs of a queue, as far as this owner knows.
func (c *core) isElsewhere(name string) bool {
	q, closedAt := c.state.Queues[name], c.journal.queues[name].ClosedAt
	return c.isForeign(&q) || (closedAt > 0 && closedAt >= q.Version)
}

// mayBeElsewhere reports whether the pool that takes the jobs of a queue now may hold a job that this one does not know.
// The entry that asks may have an older configuration than the one that accepted the job, or a newer one than this owner.
func (c *core) mayBeElsewhere(asked *port.Queue) bool {
	return !c.isForeign(asked) && c.isElsewhere(asked.Name)
}

// earlierPools returns the other pools that may hold jobs of a queue. known is false until the pool has been
// registered for the queue.
func (c *core) earlierPools(queue string) (pools []string, known bool) {
	q := c.journal.queues[queue]
	return q.Earlier, q.Registered || c.deps.Places == nil || queue == ""
}

// asking returns a queue for questions to the owners of earlier pools.
func (c *core) asking(name string) port.Queue {
	return port.Queue{Name: name, Pool: c.state.Pool, Version: c.state.Queues[name].Version}
}

// admits reports whether an unknown job may be accepted now. Otherwise it has the submission answered later, or
// refuses it.
func (c *core) admits(m submitJob, checked bool) bool {
	name := m.queue.Name
	earlier, known := c.earlierPools(name)
	switch {
	case c.deps.Places == nil:
		return true
	case c.isElsewhere(name):
		m.reply <- refusedMoved
	case !known:
		c.wantRegistered(name)
		c.placing.waiting = append(c.placing.waiting, m)
		c.register(time.Now())
	case len(earlier) == 0 || checked:
		return true
	default:
		q := c.asking(name)
		c.ask(func(ctx context.Context) message { return submissionChecked{m, c.findEarlier(ctx, earlier, q, m.id)} })
	}
	return false
}

// ask runs questions to the owners of earlier pools in the background and posts the result.
func (c *core) ask(do func(context.Context) message) {
	c.background.Go(func() {
		ctx, cancel := context.WithTimeout(c.runCtx, earlierTimeout)
		defer cancel()
		if m := do(ctx); m != nil {
			c.post(c.runCtx, m)
		}
	})
}

// earlierJob is what the owners of earlier pools know of a job.
type earlierJob struct {
	// answer is that of the pool that holds the job. Its outcome is Missing if none does, and Refused if some
	// pool has not answered.
	answer Answer
	// cancelled reports whether the job was cancelled before it was submitted. closed reports whether none of
	// the pools will accept it later. empty holds the pools that hold no job of the queue.
	cancelled, closed bool
	// cancelledFor is the tenant that has cancelled it.
	cancelledFor string
	empty        []string
}

// findEarlier asks the owners of earlier pools for a job.
func (c *core) findEarlier(ctx context.Context, pools []string, q port.Queue, id string) earlierJob {
	out := earlierJob{answer: missing, closed: true}
	for _, pool := range pools {
		a, ok := c.deps.OtherPools.JobStatus(ctx, pool, q, id)
		switch {
		case ok && a.Outcome == Found:
			return earlierJob{answer: a}
		case !ok || a.Outcome != Missing:
			out.answer, out.closed = refusedUnchecked, false
			continue
		}
		if a.Phase == shard.Cancelled {
			out.cancelled, out.cancelledFor = true, a.Tenant
		}
		out.closed = out.closed && a.QueueClosed
		if a.QueueClosed && a.QueueEmpty {
			out.empty = append(out.empty, pool)
		}
	}
	return out
}

// submissionChecked is what earlier pools know of the job of a submission.
type submissionChecked struct {
	submission submitJob
	earlier    earlierJob
}

func (m submissionChecked) handle(c *core) {
	s := m.submission
	c.forgetEmpty(s.queue.Name, m.earlier.empty)
	switch {
	case c.state.Jobs[s.id] != nil:
	case m.earlier.answer.Outcome == Found && m.earlier.answer.Tenant != s.spec.Tenant:
		s.reply <- conflicting
		return
	case m.earlier.answer.Outcome == Found:
		s.reply <- Answer{Outcome: Accepted, Phase: m.earlier.answer.Phase}
		return
	case m.earlier.cancelled:
		c.cancelFor(m.earlier.cancelledFor, s.id)
	case !m.earlier.closed:
		s.reply <- refusedUnchecked
		return
	}
	c.submit(s, true)
}

// forgetEmpty notes that pools hold no job of a queue and will accept none. A pool to which the queue comes back
// asks this one before it accepts jobs.
func (c *core) forgetEmpty(queue string, pools []string) {
	q := c.journal.queues[queue]
	kept := slices.DeleteFunc(slices.Clone(q.Earlier), func(pool string) bool { return slices.Contains(pools, pool) })
	if len(kept) == len(q.Earlier) || c.isElsewhere(queue) {
		return
	}
	q.Earlier = kept
	c.journal.queues[queue] = q
	c.journal.dirtyQueues[queue] = struct{}{}
	c.logger.Info("earlier pools of a queue hold none of its jobs any more", "queue", queue, "pools", pools)
}

// findEmptyQueues finds the closed queues of which the pool holds no job.
func (c *core) findEmptyQueues(now time.Time) {
	c.placing.empty = map[string]struct{}{}
	for name, q := range c.journal.queues {
		since, closed := c.placing.closedSince[name]
		switch {
		case q.ClosedAt == 0:
			delete(c.placing.closedSince, name)
		case !closed:
			c.placing.closedSince[name] = now
		case now.Sub(since) >= emptyAfter:
			c.placing.empty[name] = struct{}{}
		}
	}
	if len(c.placing.empty) == 0 {
		return
	}
	for _, j := range c.state.Jobs {
		if j.Unsubmitted {
			// The queue of the job is not known.
			clear(c.placing.empty)
			return
		}
		delete(c.placing.empty, j.Spec.Queue)
	}
}

// closeQueue has the pool take no further jobs of a queue that a configuration sends to the pool that asks, unless
// a newer one sends it back here.
func (c *core) closeQueue(asking *port.Queue) {
	own, q := c.state.Queues[asking.Name], c.journal.queues[asking.Name]
	if (own.Pool == c.state.Pool && own.Version >= asking.Version) || q.ClosedAt >= asking.Version {
		return
	}
	q.ClosedAt = asking.Version
	c.journal.queues[asking.Name] = q
	c.journal.dirtyQueues[asking.Name] = struct{}{}
	c.logger.Info("queue closed: another pool takes its jobs", "queue", asking.Name, "pool-now", asking.Pool, "version", asking.Version)
}

// settleForeign answers the owner of the pool to which the queue has moved.
func (m jobStatus) settleForeign(c *core) {
	j := c.state.Jobs[m.id]
	_, unchecked := c.placing.unchecked[m.id]
	q := c.journal.queues[m.queue.Name]
	_, unwritten := c.journal.dirtyQueues[m.queue.Name]
	_, empty := c.placing.empty[m.queue.Name]
	a := c.restingOnInbox(Answer{
		Outcome: Missing, Reason: "no such job", QueueClosed: q.ClosedAt > 0 && q.ClosedAt >= m.queue.Version && !unwritten,
		QueueEmpty: empty && len(c.placing.unchecked) == 0,
	})
	switch {
	case j != nil && j.Unsubmitted:
		a.Phase, a.Tenant = j.Phase, j.Spec.Tenant
	case j != nil && !j.Stored && j.StoredPhase == shard.Open:
		a = refusedUnchecked
	case j != nil:
		a = Answer{Outcome: Found, Phase: j.StoredPhase, Started: j.Started, Epoch: c.state.Epoch, Tenant: j.Spec.Tenant}
	case unchecked:
		a = Answer{Outcome: Found, Phase: shard.Open, Epoch: c.state.Epoch, Tenant: c.placing.unchecked[m.id].Tenant}
	}
	m.reply <- a
}

// awaitsRegistration reports whether the answer rests on a registration under way, which tells the earlier pools of
// the queue.
func (m jobStatus) awaitsRegistration(c *core) bool {
	if c.job(&m.scope, m.id) != nil {
		return false
	}
	_, registering := c.placing.wanted[m.queue.Name]
	_, known := c.earlierPools(m.queue.Name)
	return registering && !known && !c.isForeign(&m.queue) && !c.mayBeElsewhere(&m.queue)
}

// settleEarlier answers a question about a job that this owner does not know, for a queue with other pools. It
// reports false if there are none.
func (m jobStatus) settleEarlier(c *core) bool {
	earlier, known := c.earlierPools(m.queue.Name)
	spec, unchecked := c.placing.unchecked[m.id]
	unchecked = unchecked && spec.Tenant == m.tenant
	switch {
	case c.mayBeElsewhere(&m.queue) && !unchecked:
		m.reply <- refusedMoved
		return true
	case !known:
		m.reply <- refusedUnregistered
		return true
	case len(earlier) == 0 && unchecked:
		m.reply <- Answer{Outcome: Found, Phase: shard.Open, Epoch: c.state.Epoch}
		return true
	case len(earlier) == 0:
		return false
	}
	q := c.asking(m.queue.Name)
	c.ask(func(ctx context.Context) message {
		found := c.findEarlier(ctx, earlier, q, m.id).answer
		if found.Outcome == Found && found.Tenant != m.tenant {
			found = missing
		}
		if found.Outcome == Missing && unchecked {
			found = Answer{Outcome: Found, Phase: shard.Open}
		}
		m.reply <- found
		return nil
	})
	return true
}

// cancelEarlier cancels a job that this owner does not know in the earlier pools of its queue first, or refuses if another
// pool takes the jobs of the queue now. It reports false if there are no other pools.
func (m cancelJob) cancelEarlier(c *core) bool {
	if c.isForeign(&m.queue) || c.job(&m.scope, m.id) != nil {
		return false
	}
	if c.mayBeElsewhere(&m.queue) {
		m.reply <- refusedMoved
		return true
	}
	earlier, known := c.earlierPools(m.queue.Name)
	if !known {
		m.reply <- refusedUnregistered
		return true
	}
	if len(earlier) == 0 {
		return false
	}
	q := c.asking(m.queue.Name)
	c.ask(func(ctx context.Context) message {
		for _, pool := range earlier {
			if a, ok := c.deps.OtherPools.Cancel(ctx, pool, q, m.id, m.tenant); !ok || a.Outcome != Accepted {
				m.reply <- Answer{Outcome: Unknown, Reason: "an earlier pool of the queue has not confirmed the cancellation"}
				return nil
			}
		}
		return cancelledEarlier{m}
	})
	return true
}

// cancelledEarlier reports that all earlier pools of the queue have confirmed a cancellation.
type cancelledEarlier struct{ cancelJob }

func (m cancelledEarlier) handle(c *core) { c.cancel(m.cancelJob) }

// addEarlier adds the pending jobs of earlier pools to an answer and replies, or refuses if another pool takes the jobs
// of the queue now. It reports false if there are no other pools.
func (m pendingCount) addEarlier(c *core, a Answer) bool {
	if c.mayBeElsewhere(&m.queue) {
		m.reply <- refusedMoved
		return true
	}
	earlier, _ := c.earlierPools(m.queue.Name)
	if len(earlier) == 0 || c.isForeign(&m.queue) {
		return false
	}
	q := c.asking(m.queue.Name)
	c.ask(func(ctx context.Context) message {
		for _, pool := range earlier {
			other, ok := c.deps.OtherPools.Pending(ctx, pool, q)
			if !ok || other.Outcome != Found {
				m.reply <- refusedUnchecked
				return nil
			}
			a.Pending += other.Pending
		}
		m.reply <- a
		return nil
	})
	return true
}

// admitsFromInbox reports whether an unknown job from the inbox may be accepted now. Otherwise it is accepted once
// the earlier pools of its queue are known not to hold it.
func (c *core) admitsFromInbox(id string, spec batch.Spec) bool {
	earlier, known := c.earlierPools(spec.Queue)
	if known && len(earlier) == 0 {
		return true
	}
	c.placing.unchecked[id] = spec
	if !known {
		c.wantRegistered(spec.Queue)
	}
	return false
}

// checkInboxJobs asks earlier pools for the jobs from the inbox that they may hold.
func (c *core) checkInboxJobs(now time.Time) {
	c.placing.checkedAt = now
	for id, spec := range c.placing.unchecked {
		earlier, known := c.earlierPools(spec.Queue)
		_, checking := c.placing.checking[id]
		switch {
		case !known || checking:
		case len(earlier) == 0 || c.state.Jobs[id] != nil:
			c.takeFromInbox(id, spec)
		default:
			c.placing.checking[id] = struct{}{}
			q := c.asking(spec.Queue)
			c.ask(func(ctx context.Context) message { return inboxJobChecked{id, c.findEarlier(ctx, earlier, q, id)} })
		}
	}
}

// inboxJobChecked is what earlier pools know of a job from the inbox.
type inboxJobChecked struct {
	id      string
	earlier earlierJob
}

func (m inboxJobChecked) handle(c *core) {
	delete(c.placing.checking, m.id)
	spec, ok := c.placing.unchecked[m.id]
	switch {
	case !ok:
	case m.earlier.answer.Outcome == Found:
		// The earlier pool has accepted the job, so the submission is one of several.
		delete(c.placing.unchecked, m.id)
		c.journal.inboxJobs = append(c.journal.inboxJobs, m.id)
	case m.earlier.cancelled:
		c.cancelFor(m.earlier.cancelledFor, m.id)
		c.takeFromInbox(m.id, spec)
	case m.earlier.closed, m.earlier.answer.Outcome == Missing && c.isElsewhere(spec.Queue):
		// A pool to which the queue does not belong any more cannot have others closed.
		c.takeFromInbox(m.id, spec)
	}
}
