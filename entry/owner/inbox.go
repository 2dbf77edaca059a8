package owner

import (
	"context"
	"slices"
	"time"

	"carawaymux.dev/entry/claim"
	"carawaymux.dev/entry/feed"
	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// InboxStream returns the stream in which entries leave submissions when they cannot reach the
// pool's owner.
func InboxStream(pool string, partitions int) port.Stream {
	s := claim.StateStream(pool, partitions)
	s.Topic = "keyed.in" + s.Topic[len("keyed.work"):]
	return s
}

// inboxReadWait is how long one read of the inbox may wait for a change. A store that stops
// answering during a read is not detected before the end of this wait.
const inboxReadWait = 2 * time.Second

// inboxChanges are submissions that other entries have left in the inbox, as of a time.
type inboxChanges struct {
	changes []feed.Change[[]byte]
	asOf    time.Time
}

// startInbox starts to follow the pool's inbox.
func (c *core) startInbox() {
	raw := func(_ string, value []byte) ([]byte, error) { return value, nil }
	var asOf time.Time
	c.inbox = feed.Start(c.deps.Log, InboxStream(c.state.Pool, c.settings.Partitions), raw, c.logger,
		func(changes []feed.Change[[]byte]) { c.post(c.runCtx, inboxChanges{changes, asOf}) },
		feed.WithLongPoll(inboxReadWait), feed.WithReadTime(func(requestedAt time.Time) { asOf = requestedAt }))
}

func (m inboxChanges) handle(c *core) {
	prefix := c.state.Pool + "/"
	for _, ch := range m.changes {
		if !ch.Present || len(ch.Key) <= len(prefix) || ch.Key[:len(prefix)] != prefix {
			continue
		}
		spec, err := decodeSpec(ch.Value)
		if err != nil {
			c.deps.Stats.Add("unreadable-records", 1, "pool", c.state.Pool)
			c.logger.Error("submission in the inbox could not be decoded or is invalid; skipped", "key", ch.Key, "err", err)
			continue
		}
		id := ch.Key[len(prefix):]
		if c.state.Jobs[id] == nil && !c.admitsFromInbox(id, spec) {
			continue
		}
		c.takeFromInbox(id, spec)
	}
	now := time.Now()
	if !c.hasReadInbox() {
		// The first changes are all that the inbox holds.
		c.inboxReadAt = now
	}
	c.inboxAsOf = m.asOf
	c.settleQuestions(now)
}

// takeFromInbox accepts a job from the inbox.
func (c *core) takeFromInbox(id string, spec batch.Spec) {
	delete(c.placing.unchecked, id)
	delete(c.placing.empty, spec.Queue)
	j, verdict := c.state.Submit(id, spec, time.Now())
	j.InInbox = true
	c.logger.Info("job came by the inbox", "job", id, "known", verdict == shard.Duplicate)
	c.journal.inboxJobs = append(c.journal.inboxJobs, id)
	if verdict == shard.Accepted {
		c.journal.newJobs = append(c.journal.newJobs, j)
	}
}

// hasReadInbox reports whether the inbox has been read.
func (c *core) hasReadInbox() bool { return !c.inboxReadAt.IsZero() }

// inboxTrimmed is the outcome of the deletion of submissions from the inbox.
type inboxTrimmed struct{ err error }

// trimInbox deletes submissions from the inbox once the pool's own records hold them.
func (c *core) trimInbox() {
	journal := &c.journal
	if len(journal.inboxJobs) == 0 || len(journal.trimming) > 0 {
		return
	}
	drop := c.newAppend()
	var rest []string
	for _, id := range journal.inboxJobs {
		j := c.state.Jobs[id]
		unstored := j != nil && !j.Stored && j.StoredPhase == shard.Open
		if unstored || drop.add(port.Record{Key: c.state.Pool + "/" + id}) != nil {
			rest = append(rest, id)
			continue
		}
		journal.trimming = append(journal.trimming, id)
	}
	journal.inboxJobs = rest
	if len(drop.records) == 0 {
		return
	}
	stream := InboxStream(c.state.Pool, c.settings.Partitions)
	c.background.Go(func() {
		ctx, cancel := context.WithTimeout(c.runCtx, unavailableAfter)
		defer cancel()
		_, err := c.deps.Log.Append(ctx, stream, drop.records, nil, -1)
		c.post(c.runCtx, inboxTrimmed{err})
	})
}

func (m inboxTrimmed) handle(c *core) {
	journal := &c.journal
	trimmed := journal.trimming
	journal.trimming = nil
	if m.err != nil {
		c.logger.Warn("stored submissions not deleted from the inbox; they are deleted after the next append", "err", m.err)
		journal.inboxJobs = append(journal.inboxJobs, trimmed...)
		return
	}
	for _, id := range trimmed {
		// The submission may have been left in the inbox again.
		if j := c.state.Jobs[id]; j != nil {
			j.InInbox = slices.Contains(journal.inboxJobs, id)
		}
	}
}
