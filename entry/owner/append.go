package owner

import (
	"errors"
	"time"

	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

var (
	// errNoRoom means that an append has no room for further records.
	errNoRoom = errors.New("the append has no room for the record")
	// errTooLarge means that the store takes a record in no append.
	errTooLarge = errors.New("the record, or its key, exceeds the limit of the store")
)

// appendBuilder collects the records of one append within the limits of the store.
type appendBuilder struct {
	maxRecordBytes, maxRequestBytes int
	records                         []port.Record
	bytes                           int
	// full is set once records did not fit. Nothing is added after that, so records are written
	// in the order in which they were offered.
	full bool
}

func (c *core) newAppend() *appendBuilder {
	return &appendBuilder{maxRecordBytes: c.settings.MaxRecordBytes, maxRequestBytes: c.settings.MaxRequestBytes}
}

// add adds all of the records or none.
func (b *appendBuilder) add(records ...port.Record) error {
	size := 0
	for _, r := range records {
		n := r.StoredBytes()
		if len(r.Key) > port.MaxKeyBytes || b.maxRecordBytes > 0 && n > b.maxRecordBytes {
			return errTooLarge
		}
		size += n
	}
	if b.full || b.maxRequestBytes > 0 && b.bytes+size > b.maxRequestBytes {
		b.full = true
		return errNoRoom
	}
	b.records, b.bytes = append(b.records, records...), b.bytes+size
	return nil
}

// put encodes a value and adds it.
func (b *appendBuilder) put(key string, v any) error {
	if b.full {
		return errNoRoom
	}
	value, err := codec.EncodeFrame(v)
	if err != nil {
		return err
	}
	return b.add(port.Record{Key: key, Value: value})
}

// collect takes the changes that wait to be written and encodes them. What exceeds the limits of one
// append waits for the next one. Deletions come first, so they never follow a newer record of their key.
func (c *core) collect(now time.Time) ([]port.Record, *appendInFlight) {
	journal, pool, b := &c.journal, c.state.Pool, c.newAppend()
	content := &appendInFlight{startedAt: now, ackOnWrite: map[string]countedEnds{}}
	for len(journal.removedHosts) > 0 {
		if errors.Is(b.add(port.Record{Key: pool + keyHost + journal.removedHosts[0]}), errNoRoom) {
			break
		}
		// After any other error, the store cannot hold a record of the host.
		journal.removedHosts = journal.removedHosts[1:]
	}
	for len(journal.expiredJobs) > 0 {
		id := journal.expiredJobs[0]
		if b.add(port.Record{Key: pool + keySpec + id}, port.Record{Key: pool + keyProgress + id}) != nil {
			break
		}
		journal.expiredJobs = journal.expiredJobs[1:]
	}
	for len(journal.staleParts) > 0 {
		part := journal.staleParts[0]
		if b.add(port.Record{Key: partKey(pool, part.Job, part.PartRef)}) != nil {
			break
		}
		journal.staleParts = journal.staleParts[1:]
	}
	for len(journal.newHosts) > 0 {
		h := journal.newHosts[0]
		err := b.put(pool+keyHost+h.ID, h)
		if errors.Is(err, errNoRoom) {
			break
		}
		journal.newHosts = journal.newHosts[1:]
		if err != nil {
			c.logger.Error("record of a host cannot be stored; the host gets no work", "host", h.ID, "err", err)
			continue
		}
		content.hosts = append(content.hosts, h)
	}
	content.granted = journal.grants.collect(pool, b)
	c.collectQueues(b)
	content.budgets = c.collectBudgets(b)
	for len(journal.newJobs) > 0 && len(content.jobs) < maxJobsPerAppend {
		j := journal.newJobs[0]
		err := b.put(pool+keySpec+j.ID, j.Spec)
		if errors.Is(err, errNoRoom) {
			break
		}
		journal.newJobs = journal.newJobs[1:]
		if err != nil {
			c.logger.Error("job cannot be stored and is refused", "job", j.ID, "err", err)
			c.state.DropRejected(j.ID)
			c.answer(j.ID, false, Answer{Outcome: Refused, Reason: err.Error()})
			continue
		}
		content.jobs = append(content.jobs, j)
	}
	c.collectNeighbors(b, now)
	c.collectChanges(b, content)
	return b.records, content
}

// collectChanges takes the progress of jobs. Hosts have to keep their ends until the store has all progress
// that these ends have changed, since the next owner may need them.
func (c *core) collectChanges(b *appendBuilder, content *appendInFlight) {
	journal := &c.journal
	if journal.unacked == nil {
		journal.unacked = c.snapshotEnds()
	}
	changes := c.state.TakeChanges()
	for i, ch := range changes {
		err := b.put(c.progressKey(ch), ch.Encodable())
		if errors.Is(err, errNoRoom) {
			c.state.Requeue(changes[i:])
			break
		}
		if err == nil {
			content.changes = append(content.changes, ch)
			continue
		}
		if ch.Part == nil && !ch.Progress.Parted && ch.Progress.Phase == shard.Open {
			c.logger.Info("progress of a job exceeds a record of the store; it is stored in parts", "job", ch.Job.ID)
			c.state.Split(ch)
			continue
		}
		c.logger.Error("progress of a job cannot be stored; the job is given up", "job", ch.Job.ID, "err", err)
		c.state.GiveUp(ch, content.startedAt)
	}
	c.markCollected()
	if !c.state.HasChangeUpTo(journal.unacked.newestChange) {
		content.ackOnWrite, journal.unacked = journal.unacked.ends, nil
	}
}

// progressKey returns the key under which a change is stored.
func (c *core) progressKey(ch shard.Change) string {
	if ch.Part != nil {
		return partKey(c.state.Pool, ch.Job.ID, ch.Part.PartRef)
	}
	return c.state.Pool + keyProgress + ch.Job.ID
}

// snapshotEnds returns the ends that are counted now.
func (c *core) snapshotEnds() *endSnapshot {
	out := &endSnapshot{ends: make(map[string]countedEnds, len(c.state.Hosts)), newestChange: c.state.NewestChange()}
	for id, h := range c.state.Hosts {
		out.ends[id] = countedEnds{h.CountedEnd, h.FirstAnswer}
	}
	return out
}
