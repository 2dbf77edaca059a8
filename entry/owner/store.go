package owner

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"carawaymux.dev/entry/claim"
	"carawaymux.dev/entry/feed"
	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

const (
	// groupWindow is how long progress waits for more before it is written; what a
	// caller waits for does not.
	groupWindow = 60 * time.Millisecond
	// renewAfter is how long an idle claim goes without a write that confirms it.
	renewAfter = time.Second
	// awayAfter is how long an append may go unanswered before the store is taken
	// to be away and submissions are refused at once.
	awayAfter = 400 * time.Millisecond
	// retryAfter is what callers are told while the store is away; it is about
	// how long outages last that pass by themselves.
	retryAfter = 2 * time.Second
	// recordsPerWrite bounds the records of one append.
	recordsPerWrite = 256
)

// storeAway refuses a submission of which nothing has been written.
var storeAway = Answer{Outcome: Refused, RetryAfter: retryAfter, Reason: "the store is away", StoreUnavailable: true}

// Key prefixes of the records of a pool; each stands after the pool's name.
const (
	keySpec  = "/j/"
	keyNote  = "/n/"
	keyHost  = "/h/"
	keyRenew = "/r"
)

// StoredState is what earlier owners have stored of a pool.
type StoredState struct {
	Specs map[string]batch.Spec
	Notes map[string]shard.Progress
	Hosts []port.Host
}

// ReadState reads what earlier owners have stored.
func ReadState(ctx context.Context, won *claim.Claim) (*StoredState, error) {
	k := &StoredState{Specs: map[string]batch.Spec{}, Notes: map[string]shard.Progress{}}
	var bad error
	err := won.Load(ctx, func(e port.Record) { bad = errors.Join(bad, k.take(won.Name, e)) })
	return k, errors.Join(err, bad)
}

func (k *StoredState) take(pool string, e port.Record) error {
	rest := e.Key[len(pool):]
	if len(rest) < len(keySpec) {
		return nil
	}
	id := rest[len(keySpec):]
	switch rest[:len(keySpec)] {
	case keySpec:
		v, err := codec.DecodeFrame[batch.Spec](e.Value)
		if err != nil {
			return err
		}
		k.Specs[id] = v
	case keyNote:
		v, err := codec.DecodeFrame[shard.Progress](e.Value)
		if err != nil {
			return err
		}
		k.Notes[id] = v
	case keyHost:
		v, err := codec.DecodeFrame[port.Host](e.Value)
		if err != nil {
			return err
		}
		k.Hosts = append(k.Hosts, v)
	}
	return nil
}

// journal is what waits to be written and what is being written.
type journal struct {
	// jobs are submissions that no append has carried yet.
	jobs []*shard.Job
	// hosts and gone are hosts to be written and dropped; drop holds jobs to be
	// dropped.
	hosts []port.Host
	gone  []string
	drop  []string
	// inbox holds the IDs of jobs that came by the inbox.
	inbox []string
	// waiting holds who waits for a job's submission or cancellation.
	waiting map[string][]waiter
	// flight is what the append under way carries; nil when there is none.
	flight *flight
	last   time.Time
	// away says that the store has not answered for longer than awayAfter.
	away bool
}

// waiter is a caller that waits for the store.
type waiter struct {
	cancel bool
	reply  chan<- Answer
}

// flight is one append under way.
type flight struct {
	began   time.Time
	jobs    []*shard.Job
	changes []shard.Change
	hosts   []port.Host
	// seen holds how far each host's ends were counted when it began.
	seen map[string]int64
}

type wrote struct{ claim.WriteResult }

func (c *core) restore(k *StoredState, config *port.Config, hosts []port.Host) {
	c.journal.waiting = map[string][]waiter{}
	now := time.Now()
	if config != nil {
		c.state.Configure(config)
	}
	for id, spec := range k.Specs {
		var n *shard.Progress
		if v, ok := k.Notes[id]; ok {
			n = &v
		}
		c.state.Restore(id, spec, n, now)
	}
	for id := range k.Notes {
		if _, ok := k.Specs[id]; !ok {
			c.state.RestoreCancelled(id, now)
		}
	}
	for _, h := range k.Hosts {
		c.state.RestoreHost(h)
		c.openAgent(h)
	}
	for _, h := range hosts {
		if h.Pool == c.state.Pool {
			c.seeHost(h)
		}
	}
	c.deps.Stats.Add("pools-taken-over", 1, "pool", c.state.Pool)
	c.logger.Info("pool taken over", "jobs", len(k.Specs), "hosts", len(c.state.Hosts))
}

// flush starts the next append, when there is something to write and none is under
// way.
func (c *core) flush(now time.Time) {
	b := &c.journal
	if b.flight != nil {
		if !b.away && now.Sub(b.flight.began) > awayAfter {
			b.away = true
			c.logger.Warn("store lost", "waiting", len(b.jobs))
		}
		return
	}
	urgent := len(b.jobs) > 0 || len(b.hosts) > 0 || c.state.NeedsFlush() || c.state.NeedsConfirmation()
	recent := now.Sub(b.last) < groupWindow
	renew := now.Sub(c.state.ConfirmedAt) > renewAfter
	if !urgent && !renew && (recent || !(c.state.Dirty() || len(b.gone)+len(b.drop) > 0)) {
		return
	}
	entries, f := c.collect(now)
	if len(entries) == 0 {
		entries = []port.Record{{Key: c.state.Pool + keyRenew, Value: []byte{1}}}
	}
	b.flight, b.last = f, now
	c.writer.Write(entries)
}

// collect takes what waits to be written.
func (c *core) collect(now time.Time) ([]port.Record, *flight) {
	b, pool := &c.journal, c.state.Pool
	f := &flight{began: now, seen: map[string]int64{}}
	var entries []port.Record
	put := func(key string, v any) {
		value, err := codec.EncodeFrame(v)
		if err != nil {
			c.logger.Error("record not encoded", "key", key, "err", err)
			return
		}
		entries = append(entries, port.Record{Key: key, Value: value})
	}
	n := min(len(b.jobs), recordsPerWrite)
	f.jobs, b.jobs = b.jobs[:n:n], b.jobs[n:]
	for _, j := range f.jobs {
		put(pool+keySpec+j.ID, j.Spec)
	}
	f.hosts, b.hosts = b.hosts, nil
	for _, h := range f.hosts {
		put(pool+keyHost+h.ID, h)
	}
	f.changes = c.state.TakeChanges()
	for _, ch := range f.changes {
		put(pool+keyNote+ch.Job.ID, ch.Progress)
	}
	for id, h := range c.state.Hosts {
		f.seen[id] = h.CountedEnd
	}
	for _, id := range b.gone {
		entries = append(entries, port.Record{Key: pool + keyHost + id})
	}
	for _, id := range b.drop {
		entries = append(entries, port.Record{Key: pool + keySpec + id}, port.Record{Key: pool + keyNote + id})
	}
	b.gone, b.drop = nil, nil
	return entries, f
}

func (m wrote) handle(c *core) {
	b := &c.journal
	f := b.flight
	b.flight = nil
	if m.Err != nil {
		if c.out.Err() == nil {
			c.resign("store", m.Err)
		}
		return
	}
	if b.away {
		b.away = false
		c.logger.Info("store regained")
	}
	c.deps.Stats.Observe("store-append", time.Since(f.began), "pool", c.state.Pool)
	c.state.ConfirmedAt = m.Sent
	for _, h := range f.hosts {
		if one := c.state.Hosts[h.ID]; one != nil {
			one.Stored = true
		}
	}
	for id, seen := range f.seen {
		if h := c.state.Hosts[id]; h != nil && h.CountedEnd >= seen {
			h.StoredEnd = max(h.StoredEnd, seen)
		}
	}
	for _, j := range f.jobs {
		c.state.MarkStored(j)
		c.answer(j.ID, false, Answer{Outcome: Accepted})
	}
	for _, ch := range f.changes {
		c.state.MarkWritten(ch)
		if ch.Progress.Phase != shard.Open {
			late := time.Now().After(ch.Job.Objective)
			c.deps.Stats.Add("jobs-ended", 1, "pool", c.state.Pool, "phase", string(ch.Progress.Phase), "late", strconv.FormatBool(late))
			c.deps.Stats.Observe("job", time.Since(ch.Job.AcceptedAt), "pool", c.state.Pool)
			c.logger.Info("job ended", "job", ch.Job.ID, "phase", string(ch.Progress.Phase),
				"took-ms", time.Since(ch.Job.AcceptedAt).Milliseconds(), "late", late)
			c.answer(ch.Job.ID, true, Answer{Outcome: Accepted, Phase: ch.Progress.Phase})
			// A submission that came after its own cancellation waits as well.
			c.answer(ch.Job.ID, false, Answer{Outcome: Accepted, Phase: ch.Progress.Phase})
		}
	}
	c.emptyInbox()
}

// answer tells those who wait for a job.
func (c *core) answer(id string, cancel bool, a Answer) {
	var rest []waiter
	for _, w := range c.journal.waiting[id] {
		if w.cancel != cancel {
			rest = append(rest, w)
			continue
		}
		w.reply <- a
	}
	if len(rest) == 0 {
		delete(c.journal.waiting, id)
		return
	}
	c.journal.waiting[id] = rest
}

// answerAll tells everybody who waits.
func (c *core) answerAll(a Answer) {
	for id := range c.journal.waiting {
		c.answer(id, false, a)
		c.answer(id, true, a)
	}
}

func (m submit) handle(c *core) {
	if _, ok := c.state.Queues[m.queue.Name]; !ok {
		c.state.SetQueue(m.queue)
	}
	if c.journal.away && c.state.Jobs[m.id] == nil {
		c.deps.Stats.Add("jobs-refused", 1, "pool", c.state.Pool, "why", "store away")
		c.logger.Info("job refused", "job", m.id, "why", "store away")
		m.reply <- storeAway
		return
	}
	j, verdict := c.state.Submit(m.id, m.spec, time.Now())
	if verdict == shard.Duplicate && (j.Stored || j.StoredPhase != shard.Open) {
		m.reply <- Answer{Outcome: Accepted, Phase: j.StoredPhase}
		return
	}
	if verdict == shard.Accepted {
		c.journal.jobs = append(c.journal.jobs, j)
		c.deps.Stats.Add("jobs-submitted", 1, "pool", c.state.Pool, "queue", m.queue.Name)
		c.logger.Info("job submitted", "job", m.id, "queue", m.queue.Name, "units", m.spec.TaskCount(), "open", len(c.state.Jobs))
	}
	c.journal.waiting[m.id] = append(c.journal.waiting[m.id], waiter{reply: m.reply})
}

func (m cancelJob) handle(c *core) {
	j := c.state.Cancel(m.id, time.Now())
	if j.StoredPhase != shard.Open {
		m.reply <- Answer{Outcome: Accepted, Phase: j.StoredPhase}
		return
	}
	c.logger.Info("job cancelled", "job", m.id, "phase", string(j.Phase))
	c.journal.waiting[m.id] = append(c.journal.waiting[m.id], waiter{cancel: true, reply: m.reply})
}

// refuseWaiting refuses submissions that no append has carried while the store is
// away: nothing of them can have been kept. What came by the inbox was accepted and
// stays.
func (c *core) refuseWaiting() {
	if !c.journal.away {
		return
	}
	var stay []*shard.Job
	for _, j := range c.journal.jobs {
		if slices.Contains(c.journal.inbox, j.ID) {
			stay = append(stay, j)
			continue
		}
		c.state.DropRejected(j.ID)
		c.deps.Stats.Add("jobs-refused", 1, "pool", c.state.Pool, "why", "store away")
		c.logger.Info("job refused", "job", j.ID, "why", "store away")
		c.answer(j.ID, false, storeAway)
	}
	c.journal.jobs = stay
}

// InboxStream is where entries leave submissions that cannot reach a pool's owner.
func InboxStream(pool string, parts int) port.Stream {
	s := claim.StateStream(pool, parts)
	s.Topic = "keyed.in" + s.Topic[len("keyed.work"):]
	return s
}

// inboxWait is how long one look into the inbox may take; a store that falls silent
// meanwhile is noticed no sooner.
const inboxWait = 2 * time.Second

type arrived struct{ changes []feed.Change[[]byte] }

// startInbox follows the pool's inbox.
func (c *core) startInbox() {
	raw := func(_ string, value []byte) ([]byte, error) { return value, nil }
	c.inbox = feed.Start(c.deps.Log, InboxStream(c.state.Pool, c.settings.Parts), raw, c.logger,
		func(changes []feed.Change[[]byte]) { c.post(c.out, arrived{changes}) }, feed.WithWait(inboxWait))
}

func (m arrived) handle(c *core) {
	prefix := c.state.Pool + "/"
	for _, ch := range m.changes {
		if !ch.Present || len(ch.Key) <= len(prefix) || ch.Key[:len(prefix)] != prefix {
			continue
		}
		spec, err := codec.DecodeFrame[batch.Spec](ch.Value)
		if err != nil {
			c.logger.Error("submission in the inbox not readable", "key", ch.Key, "err", err)
			continue
		}
		id := ch.Key[len(prefix):]
		j, verdict := c.state.Submit(id, spec, time.Now())
		c.logger.Info("job came by the inbox", "job", id, "known", verdict == shard.Duplicate)
		c.journal.inbox = append(c.journal.inbox, id)
		if verdict == shard.Accepted {
			c.journal.jobs = append(c.journal.jobs, j)
		}
	}
}

// emptyInbox drops submissions from the inbox that the pool's own records now hold.
func (c *core) emptyInbox() {
	if len(c.journal.inbox) == 0 {
		return
	}
	var drop []port.Record
	var rest []string
	for _, id := range c.journal.inbox {
		if j := c.state.Jobs[id]; j != nil && !j.Stored && j.StoredPhase == shard.Open {
			rest = append(rest, id)
			continue
		}
		drop = append(drop, port.Record{Key: c.state.Pool + "/" + id})
	}
	c.journal.inbox = rest
	if len(drop) == 0 {
		return
	}
	stream := InboxStream(c.state.Pool, c.settings.Parts)
	c.beside.Go(func() {
		ctx, cancel := context.WithTimeout(c.out, awayAfter)
		defer cancel()
		if _, err := c.deps.Log.Append(ctx, stream, drop, nil, -1); err != nil {
			// They are found again, and known, by the next owner.
			c.logger.Warn("inbox not emptied", "err", err)
		}
	})
}
