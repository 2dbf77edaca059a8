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

// message is what the core task understands.
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
	entriesFrom struct {
		from  uint64
		limit int
		reply chan<- Range
	}
	lastSnapshot struct{ reply chan<- Snapshot }
	snapshotNow  struct{ reply chan<- Snapshot }
	// batch holds records from the log or a peer, in order.
	batch struct {
		items []plat.Record
		// next is the sender's next offset: when the state reaches it, nothing
		// newer is known.
		next uint64
		// trusted is set for the log and for peers of the same zone.
		trusted bool
		// fromLog is set for the log: it says that the log can be reached.
		fromLog bool
		reply   chan<- uint64
	}
	// adopt offers a whole state; it is taken only when it is newer.
	adopt struct {
		state *ledger.State
		// current says that the source had folded no more than this; a snapshot
		// from the log is not current until its tail has been read.
		current bool
		trusted bool
		source  string
		reply   chan<- uint64
	}
	// logError says that the log could not be read.
	logError struct{ text string }
)

// core is the state of the task.
type core struct {
	f     *Follower
	state *ledger.State
	// progress.Offset always equals state.Offset between messages.
	progress Progress
	// entries are the last records folded, without gaps, ending at state.Offset.
	entries  []JudgedRecord
	verdicts map[record.ID]record.Verdict
	// order holds the keys of verdicts, oldest first.
	order    []record.ID
	byOffset []waitOffset
	byID     []waitVerdict
	// hashes are the newest hashes by offset, saved the newest encoded state.
	hashes map[uint64]string
	saved  Snapshot
}

func (f *Follower) run(ctx context.Context, inbox <-chan message) {
	c := &core{
		f: f, state: ledger.New(),
		verdicts: make(map[record.ID]record.Verdict), hashes: make(map[uint64]string),
	}
	tick := time.NewTicker(tickEvery)
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
	c.byOffset = append(c.byOffset, m)
}

func (m waitVerdict) handle(c *core) {
	if v, known := c.verdicts[m.id]; known {
		m.reply <- v
		return
	}
	if offset, folded := c.state.IDs[m.id]; folded {
		m.reply <- record.Verdict{
			Offset: offset, ID: m.id, Result: record.Duplicate,
			Reason: "the record was folded before; its verdict is no longer kept here",
		}
		return
	}
	c.byID = append(c.byID, m)
}

func (m entriesFrom) handle(c *core) {
	first := c.state.NextOffset - uint64(len(c.entries))
	out := Range{Next: c.state.NextOffset, Kept: m.from >= first}
	if out.Kept && m.from < c.state.NextOffset {
		rest := c.entries[m.from-first:]
		out.Records = append(out.Records, rest[:min(m.limit, len(rest))]...)
	}
	m.reply <- out
}

func (m lastSnapshot) handle(c *core) { m.reply <- c.saved }

func (m snapshotNow) handle(c *core) {
	saved, err := encode(c.state)
	if err != nil {
		c.f.logger.Error("snapshot", "error", err)
	}
	m.reply <- saved
}

func encode(s *ledger.State) (Snapshot, error) {
	raw, err := codec.EncodeSnapshot(s.Snapshot())
	if err != nil {
		return Snapshot{}, err
	}
	return Snapshot{Offset: s.NextOffset, Hash: codec.Hash(raw), Raw: raw}, nil
}

func (m logError) handle(c *core) {
	if c.progress.LogError == "" {
		c.f.logger.Warn("log is out of reach", "error", m.text, "offset", c.state.NextOffset)
	}
	c.progress.LogError = m.text
}

func (m batch) handle(c *core) {
	for _, it := range m.items {
		if !c.fold(it, m.next) {
			break
		}
	}
	if c.state.NextOffset >= m.next {
		c.progress.ConfirmedAt = time.Now()
		c.progress.Configured = true
		c.progress.Trusted = c.progress.Trusted || m.trusted
	}
	if m.fromLog {
		c.progress.LogError = ""
	}
	c.settle()
	m.reply <- c.state.NextOffset
}

// fold folds one record and reports whether the next one can follow.
func (c *core) fold(it plat.Record, next uint64) bool {
	if it.Offset < c.state.NextOffset {
		return true
	}
	e := codec.DecodeEntry(it.Offset, it.Data)
	v, err := c.state.Apply(e)
	if err != nil {
		c.f.logger.Error("fold", "error", err)
		return false
	}
	if v.Result != record.Accepted {
		c.f.logger.Info("record not in force", "offset", v.Offset, "id", v.ID,
			"result", v.Result, "reason", v.Reason)
	}
	c.remember(JudgedRecord{Raw: it.Data, Verdict: v})
	if check, ok := e.Record.Body.(ledger.Checkpoint); ok && v.Result == record.Accepted {
		c.compare(check)
	}
	if c.state.NextOffset%hashEvery == 0 && next < c.state.NextOffset+hashEvery*keptHashes {
		c.hash()
	}
	return true
}

func (c *core) remember(j JudgedRecord) {
	c.entries = append(c.entries, j)
	if len(c.entries) >= 2*keptEntries {
		c.entries = append([]JudgedRecord(nil), c.entries[len(c.entries)-keptEntries:]...)
	}
	if j.Verdict.Result == record.Duplicate {
		return
	}
	c.verdicts[j.Verdict.ID] = j.Verdict
	c.order = append(c.order, j.Verdict.ID)
	if len(c.order) >= 2*keptVerdicts {
		for _, id := range c.order[:keptVerdicts] {
			delete(c.verdicts, id)
		}
		c.order = append([]record.ID(nil), c.order[keptVerdicts:]...)
	}
}

// hash hashes the state and keeps the encoded form for the next snapshot.
func (c *core) hash() {
	saved, err := encode(c.state)
	if err != nil {
		c.f.logger.Error("hash", "error", err)
		return
	}
	c.saved = saved
	c.hashes[saved.Offset] = saved.Hash
	delete(c.hashes, saved.Offset-hashEvery*keptHashes)
	c.progress.HashOffset, c.progress.Hash = saved.Offset, saved.Hash
}

// compare holds the instance's own hash against a checkpoint's. An instance that
// differs takes no part in planning any more.
func (c *core) compare(check ledger.Checkpoint) {
	own, known := c.hashes[check.AsOf]
	if !known || own == check.Hash {
		return
	}
	c.progress.Diverged = true
	c.f.logger.Error("state differs from the checkpoint",
		"offset", check.AsOf, "own", own, "checkpoint", check.Hash)
}

func (m adopt) handle(c *core) {
	if m.state.NextOffset > c.state.NextOffset || !c.progress.Configured && m.state.NextOffset == c.state.NextOffset {
		c.state = m.state
		c.entries, c.hashes = nil, make(map[uint64]string)
		c.progress.Configured = c.progress.Configured || m.current
		c.progress.Trusted = c.progress.Trusted || m.trusted
		c.f.logger.Info("state taken over", "source", m.source, "offset", m.state.NextOffset)
		c.observeAll(ledger.Changed{Routing: true})
		c.settle()
	} else {
		c.f.logger.Info("older state refused", "source", m.source,
			"offset", m.state.NextOffset, "own", c.state.NextOffset)
	}
	m.reply <- c.state.NextOffset
}

// settle answers waiters and tells observers after the state has moved.
func (c *core) settle() {
	c.progress.Offset = c.state.NextOffset
	waiting := c.byOffset[:0]
	for _, w := range c.byOffset {
		if c.state.NextOffset >= w.offset {
			w.reply <- struct{}{}
		} else {
			waiting = append(waiting, w)
		}
	}
	c.byOffset = waiting
	byID := c.byID[:0]
	for _, w := range c.byID {
		if v, known := c.verdicts[w.id]; known {
			w.reply <- v
		} else {
			byID = append(byID, w)
		}
	}
	c.byID = byID
	c.observeAll(c.state.TakeChanges())
}

func (c *core) observeAll(changed ledger.Changed) {
	for _, o := range c.f.observe {
		o(c.state, changed, c.progress)
	}
}

// dropWaiters forgets waiters whose callers gave up.
func (c *core) dropWaiters() {
	c.byOffset = slices.DeleteFunc(c.byOffset, func(w waitOffset) bool { return w.ctx.Err() != nil })
	c.byID = slices.DeleteFunc(c.byID, func(w waitVerdict) bool { return w.ctx.Err() != nil })
}
