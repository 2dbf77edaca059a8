package follow

import (
	"context"
	"slices"
	"time"

	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/ledger"
	"carawaymux.dev/fleet/plat"
	"carawaymux.dev/fleet/record"
)

// message is handled by the task that owns core.
type message interface{ handle(c *core) }

type (
	ask        func(s *ledger.State)
	progress   struct{ reply chan<- Progress }
	waitOffset struct {
		ctx    context.Context
		offset uint64
		reply  chan<- struct{}
	}
	waitVerdict struct {
		ctx   context.Context
		id    record.ID
		reply chan<- record.Verdict
	}
	recordsFrom struct {
		from  uint64
		limit int
		reply chan<- Range
	}
	lastSnapshot struct{ reply chan<- Snapshot }
	snapshotNow  struct{ reply chan<- Snapshot }
	// batch carries records from the log or a peer, in order.
	batch struct {
		records []plat.Record
		// next is the sender's next offset. When the state reaches it, the sender has no newer
		// records.
		next uint64
		// trusted is set for the log and for trusted peers of the same zone.
		trusted bool
		// fromLog is set if the records come from the log, which shows that it can be reached.
		fromLog bool
		// askedAt is when the log was asked, on the clock of [clock.SinceBoot].
		askedAt time.Duration
		reply   chan<- uint64
	}
	// adoptState offers a full state. It replaces the current one if its offset is higher, or if the
	// offsets are equal and there is no configuration yet.
	adoptState struct {
		state *ledger.State
		// current reports that the source had applied no more records than the state contains. A
		// snapshot from the log is not current until the records after it have been read.
		current bool
		trusted bool
		source  string
		reply   chan<- uint64
	}
	// logError reports that the log could not be read, or has lost records that are applied here.
	logError struct{ text string }
)

// core is the state of the follower's task.
type core struct {
	f     *Follower
	state *ledger.State
	// progress.Offset equals state.NextOffset between messages.
	progress Progress
	// records are the last applied records, without gaps, up to state.NextOffset.
	records  []JudgedRecord
	verdicts map[record.ID]record.Verdict
	// verdictOrder holds the keys of verdicts in the order of their insertion, for eviction.
	verdictOrder   []record.ID
	offsetWaiters  []waitOffset
	verdictWaiters []waitVerdict
	// hashes are the newest hashes by offset; snapshot is the encoded state at the newest one.
	hashes   map[uint64]string
	snapshot Snapshot
}

func (f *Follower) run(ctx context.Context, inbox <-chan message) {
	c := &core{
		f: f, state: ledger.New(),
		verdicts: make(map[record.ID]record.Verdict), hashes: make(map[uint64]string),
	}
	tick := time.NewTicker(waiterCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-inbox:
			m.handle(c)
		case <-tick.C:
			c.dropWaiters()
		}
	}
}

func (a ask) handle(c *core) { a(c.state) }

func (m progress) handle(c *core) { m.reply <- c.progress }

func (m waitOffset) handle(c *core) {
	if c.state.NextOffset >= m.offset {
		m.reply <- struct{}{}
		return
	}
	c.offsetWaiters = append(c.offsetWaiters, m)
}

func (m waitVerdict) handle(c *core) {
	if v, known := c.verdicts[m.id]; known {
		m.reply <- v
		return
	}
	if offset, folded := c.state.IDs[m.id]; folded {
		m.reply <- record.Verdict{
			Offset: offset, ID: m.id, Result: record.Duplicate,
			Reason: "the record was applied before; this entry no longer keeps its verdict",
		}
		return
	}
	c.verdictWaiters = append(c.verdictWaiters, m)
}

func (m recordsFrom) handle(c *core) {
	first := c.state.NextOffset - uint64(len(c.records))
	out := Range{Next: c.state.NextOffset, Kept: m.from >= first}
	if out.Kept && m.from < c.state.NextOffset {
		rest := c.records[m.from-first:]
		out.Records = append(out.Records, rest[:min(m.limit, len(rest))]...)
	}
	m.reply <- out
}

func (m lastSnapshot) handle(c *core) { m.reply <- c.snapshot }

func (m snapshotNow) handle(c *core) {
	saved, err := encodeState(c.state)
	if err != nil {
		c.f.logger.Error("state could not be encoded; an empty snapshot is returned", "err", err)
	}
	m.reply <- saved
}

func encodeState(s *ledger.State) (Snapshot, error) {
	raw, err := codec.EncodeSnapshot(s.Snapshot())
	if err != nil {
		return Snapshot{}, err
	}
	return Snapshot{Offset: s.NextOffset, Hash: codec.Hash(raw), Raw: raw}, nil
}

func (m logError) handle(c *core) {
	if c.progress.LogError == "" {
		c.f.logger.Warn("log could not be read; the read is retried",
			"err", m.text, "offset", c.state.NextOffset)
	}
	c.progress.LogError = m.text
}

func (m batch) handle(c *core) {
	for _, r := range m.records {
		if !c.fold(r, m.next) {
			break
		}
	}
	if c.state.NextOffset >= m.next {
		c.progress.ConfirmedAt = time.Now()
		c.progress.Configured = true
		c.progress.Trusted = c.progress.Trusted || m.trusted
		if m.fromLog {
			c.progress.LogReadAt = m.askedAt
		}
	}
	if m.fromLog {
		c.progress.LogError = ""
	}
	c.notify()
	m.reply <- c.state.NextOffset
}

// fold applies one record to the state and reports whether the next one can be applied. While the
// state is far behind the sender's next offset, its hashes are not computed: they would be dropped
// before the state has caught up.
func (c *core) fold(r plat.Record, next uint64) bool {
	if r.Offset < c.state.NextOffset {
		return true
	}
	e := codec.DecodeEntry(r.Offset, r.Data)
	v, err := c.state.Apply(e)
	if err != nil {
		c.f.logger.Error("record could not be applied; the rest of the batch is skipped", "err", err)
		return false
	}
	if v.Result != record.Accepted {
		c.f.logger.Info("record not accepted; it has no effect on the state", "offset", v.Offset, "id", v.ID,
			"result", v.Result, "reason", v.Reason)
	}
	c.keep(JudgedRecord{Raw: r.Data, Verdict: v})
	if check, ok := e.Record.Body.(ledger.Checkpoint); ok && v.Result == record.Accepted {
		c.compareHash(check)
	}
	if c.state.NextOffset%hashEvery == 0 && next < c.state.NextOffset+hashEvery*keptHashes {
		c.hashState()
	}
	return true
}

func (c *core) keep(j JudgedRecord) {
	c.records = append(c.records, j)
	if len(c.records) >= 2*keptRecords {
		c.records = append([]JudgedRecord(nil), c.records[len(c.records)-keptRecords:]...)
	}
	if j.Verdict.Result == record.Duplicate {
		return
	}
	c.verdicts[j.Verdict.ID] = j.Verdict
	c.verdictOrder = append(c.verdictOrder, j.Verdict.ID)
	if len(c.verdictOrder) >= 2*keptVerdicts {
		for _, id := range c.verdictOrder[:keptVerdicts] {
			delete(c.verdicts, id)
		}
		c.verdictOrder = append([]record.ID(nil), c.verdictOrder[keptVerdicts:]...)
	}
}

// hashState hashes the state and keeps its encoding as the last snapshot.
func (c *core) hashState() {
	saved, err := encodeState(c.state)
	if err != nil {
		c.f.logger.Error("state could not be encoded; its hash is skipped", "err", err)
		return
	}
	c.snapshot = saved
	c.hashes[saved.Offset] = saved.Hash
	delete(c.hashes, saved.Offset-hashEvery*keptHashes)
	c.progress.HashOffset, c.progress.Hash = saved.Offset, saved.Hash
}

// compareHash compares the entry's own hash with that of a checkpoint, if it is still kept. An entry
// whose hash differs no longer takes part in planning.
func (c *core) compareHash(check ledger.Checkpoint) {
	own, known := c.hashes[check.AsOf]
	if !known || own == check.Hash {
		return
	}
	c.progress.Diverged = true
	c.f.logger.Error("state hash differs from the checkpoint; this entry no longer plans",
		"offset", check.AsOf, "own", own, "checkpoint", check.Hash)
}

func (m adoptState) handle(c *core) {
	if m.state.NextOffset > c.state.NextOffset || !c.progress.Configured && m.state.NextOffset == c.state.NextOffset {
		c.state = m.state
		c.records, c.hashes = nil, make(map[uint64]string)
		c.progress.Configured = c.progress.Configured || m.current
		c.progress.Trusted = c.progress.Trusted || m.trusted
		c.f.logger.Info("state replaced by a snapshot", "source", m.source, "offset", m.state.NextOffset)
		c.notifyObservers(ledger.Changed{Routing: true, Keys: true})
		c.notify()
	} else {
		c.f.logger.Info("snapshot not used: it is not newer than the own state", "source", m.source,
			"offset", m.state.NextOffset, "own", c.state.NextOffset)
	}
	m.reply <- c.state.NextOffset
}

// notify answers waiters and calls observers after the state has changed.
func (c *core) notify() {
	c.progress.Offset = c.state.NextOffset
	waitingOffsets := c.offsetWaiters[:0]
	for _, w := range c.offsetWaiters {
		if c.state.NextOffset >= w.offset {
			w.reply <- struct{}{}
		} else {
			waitingOffsets = append(waitingOffsets, w)
		}
	}
	c.offsetWaiters = waitingOffsets
	waitingVerdicts := c.verdictWaiters[:0]
	for _, w := range c.verdictWaiters {
		if v, known := c.verdicts[w.id]; known {
			w.reply <- v
		} else {
			waitingVerdicts = append(waitingVerdicts, w)
		}
	}
	c.verdictWaiters = waitingVerdicts
	c.notifyObservers(c.state.TakeChanges())
}

func (c *core) notifyObservers(changed ledger.Changed) {
	for _, o := range c.f.observers {
		o(c.state, changed, c.progress)
	}
}

// dropWaiters removes waiters whose context is done.
func (c *core) dropWaiters() {
	c.offsetWaiters = slices.DeleteFunc(c.offsetWaiters, func(w waitOffset) bool { return w.ctx.Err() != nil })
	c.verdictWaiters = slices.DeleteFunc(c.verdictWaiters, func(w waitVerdict) bool { return w.ctx.Err() != nil })
}
