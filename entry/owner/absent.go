package owner

import (
	"slices"
	"time"

	"carawaymux.dev/fleet/shard"
)

const (
	// absenceTimeout is how long a request waits for the store to confirm what its answer rests on. It does
	// not count while the owner reads the inbox for the first time.
	absenceTimeout = time.Second
	// minRefreshInterval is the minimum time between two reads of the inbox for questions, so that
	// questions share them.
	minRefreshInterval = 20 * time.Millisecond
	// maxPendingAge is the largest age of a number of pending jobs.
	maxPendingAge = 2 * time.Second
)

// question is a request whose answer rests on what the store holds besides this owner's state: on the claim, and
// unless it is about hosts only, on the inbox.
type question interface {
	// settle answers from the state. It is called when the state is recent enough.
	settle(c *core)
	// refuse answers that the request cannot be served now.
	refuse(a Answer)
}

// openQuestion is a question that waits for the store.
type openQuestion struct {
	question
	// from is the time as of which the claim has to be confirmed and, if needsInbox is set, the inbox read, or later.
	// Otherwise the state may lack what another owner has done, or a job that was accepted before the request.
	from       time.Time
	askedAt    time.Time
	needsInbox bool
}

// await answers a question once the state is as of a time.
func (c *core) await(q question, from, now time.Time) {
	c.questions = append(c.questions, openQuestion{q, from, now, true})
	c.settleQuestions(now)
}

// awaitClaim answers a question once the claim is confirmed as of a time.
func (c *core) awaitClaim(q question, from, now time.Time) {
	c.questions = append(c.questions, openQuestion{q, from, now, false})
	c.settleQuestions(now)
}

// isReady reports whether the state is recent enough for a question.
func (c *core) isReady(q *openQuestion) bool {
	inbox := c.hasReadInbox() && !c.inboxAsOf.Before(q.from)
	m, isStatus := q.question.(jobStatus)
	return (inbox || !q.needsInbox) && !c.state.ConfirmedAt.Before(q.from) && !(isStatus && m.awaitsRegistration(c))
}

// hasWaitedTooLong reports whether the store leaves a question waiting.
func (c *core) hasWaitedTooLong(q *openQuestion, now time.Time) bool {
	if now.Sub(q.askedAt) <= absenceTimeout {
		return false
	}
	return !q.needsInbox || (c.hasReadInbox() && now.Sub(c.inboxReadAt) > absenceTimeout)
}

// settleQuestions answers the questions for which the state is recent enough, and refuses those that the store
// leaves waiting. It has the inbox read for the others.
func (c *core) settleQuestions(now time.Time) {
	var newest time.Time
	c.questions = slices.DeleteFunc(c.questions, func(q openQuestion) bool {
		switch {
		case c.isReady(&q):
			q.settle(c)
			return true
		case c.journal.unavailable || c.hasWaitedTooLong(&q, now):
			q.refuse(c.restingOnInbox(Answer{
				Outcome: Refused, RetryAfter: noAnswerRetryAfter, Reason: "the store has not confirmed what the owner of the pool knows",
			}))
			return true
		}
		if q.needsInbox && q.from.After(newest) {
			newest = q.from
		}
		return false
	})
	// One read serves the questions that arrive while it is in flight only if it was requested after them.
	inFlight := c.refreshedAt.After(c.inboxAsOf)
	if c.hasReadInbox() && !inFlight && c.inboxAsOf.Before(newest) && now.Sub(c.refreshedAt) >= minRefreshInterval {
		c.refreshedAt = now
		c.inbox.Refresh()
	}
}

// needsConfirmation reports whether a question waits for the claim to be confirmed.
func (c *core) needsConfirmation() bool {
	return slices.ContainsFunc(c.questions, func(q openQuestion) bool { return c.state.ConfirmedAt.Before(q.from) })
}

func (m jobStatus) handle(c *core) {
	if c.isForeign(&m.queue) {
		c.closeQueue(&m.queue)
	}
	if c.job(&m.scope, m.id) != nil {
		m.settle(c)
		return
	}
	now := time.Now()
	c.await(m, now, now)
}

func (m jobStatus) settle(c *core) {
	if c.isForeign(&m.queue) {
		m.settleForeign(c)
		return
	}
	j := c.job(&m.scope, m.id)
	if j == nil {
		if m.settleEarlier(c) {
			return
		}
		m.reply <- c.restingOnInbox(missing)
		return
	}
	m.reply <- Answer{Outcome: Found, Phase: j.StoredPhase, Started: j.Started, Epoch: c.state.Epoch}
}

func (m jobStatus) refuse(a Answer) { m.reply <- a }

func (m pendingCount) handle(c *core) {
	now := time.Now()
	c.await(m, now.Add(-maxPendingAge), now)
}

func (m pendingCount) settle(c *core) {
	a := c.restingOnInbox(Answer{Outcome: Found, Pending: c.state.Pending(m.queue.Name) + c.unstoredInboxJobs(m.queue.Name)})
	if !m.addEarlier(c, a) {
		m.reply <- a
	}
}

// unstoredInboxJobs returns the number of open jobs of a queue that are accepted, since the inbox holds them, but not
// stored yet.
func (c *core) unstoredInboxJobs(queue string) int {
	// A submission that is left in the inbox again is in the list again.
	out := map[string]struct{}{}
	for _, id := range c.journal.inboxJobs {
		j := c.state.Jobs[id]
		if j != nil && j.Spec.Queue == queue && j.Phase == shard.Open && !j.Stored && !j.Unsubmitted {
			out[id] = struct{}{}
		}
	}
	return len(out)
}

func (m pendingCount) refuse(a Answer) { m.reply <- a }

// restingOnInbox completes an answer that rests on what the inbox holds.
func (c *core) restingOnInbox(a Answer) Answer {
	a.Epoch = c.state.Epoch
	if c.hasReadInbox() {
		a.InboxAge = time.Since(c.inboxAsOf)
	}
	return a
}
