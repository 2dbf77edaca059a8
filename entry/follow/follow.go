// Package follow runs the task that applies the records of the platform's log to the fleet state
// (the fold). The task owns the state. Other tasks query it by message and must not keep references
// to it. While the log cannot be reached, records come from peers.
package follow

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"carawaymux.dev/fleet/ledger"
	"carawaymux.dev/fleet/plat"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/task"
)

const (
	// hashEvery is the number of records between two hashes of the state. Entries compare their hashes.
	hashEvery = 64
	// keptHashes is the number of hashes kept for comparison.
	keptHashes = 16
	// keptRecords is the minimum number of recent records kept for peers.
	keptRecords = 2048
	// keptVerdicts is the minimum number of recent verdicts kept by record ID.
	keptVerdicts = 2048
	// waiterCheckInterval is the interval at which waiters whose context is done are removed.
	waiterCheckInterval = time.Second
)

// ErrNoConfig reports that this entry has not received a configuration since it started.
var ErrNoConfig = errors.New("no configuration: neither the log nor a peer has provided one since this entry started")

// Observer is called in the task after records have been applied. It must not block or keep a
// reference to the state.
type Observer func(s *ledger.State, changed ledger.Changed, p Progress)

// Fetcher asks peers for the records starting at offset from.
type Fetcher func(ctx context.Context, from uint64) (Fetched, error)

// Fetched is the answer of a peer to a fetch.
type Fetched struct {
	// Peer is the name of the peer.
	Peer string
	// Trusted reports that the peer is in the zone of this entry and its own state is trusted.
	Trusted bool
	// Next is the next offset that the peer will apply.
	Next uint64
	// Records are the records starting at the requested offset. They are empty if the peer has no
	// newer records, or no longer keeps the requested ones.
	Records []plat.Record
	// Snapshot is the peer's full state, sent if the peer no longer keeps the requested records.
	Snapshot []byte
}

// Progress describes how far an entry has applied the log, and whether its state can be relied on.
type Progress struct {
	// Offset is the offset of the next record to apply.
	Offset uint64
	// Configured reports that the state has been complete once: it had caught up with the log or with
	// a peer.
	Configured bool
	// Trusted reports that the state came from the log or from a trusted peer of the same zone, so
	// it is at least as new as any barrier that was passed.
	Trusted bool
	// ConfirmedAt is when the log or a peer last confirmed that it has no newer records.
	ConfirmedAt time.Time
	// LogReadAt is the time as of which all records of the log are applied, on the clock of [clock.SinceBoot]; 0 if the log
	// was never read to its end. Records from peers do not advance it, since a peer may not be able to read the log either.
	LogReadAt time.Duration
	// LogError is the error of the last read of the log; empty if it succeeded.
	LogError string
	// HashOffset and Hash are the offset and value of the newest hash of the state. Diverged is set
	// once a hash differed from a checkpoint.
	HashOffset uint64
	Hash       string
	Diverged   bool
}

// Follower applies the log to the fleet state. Use [New] to build it.
type Follower struct {
	client    *plat.Client
	fetch     Fetcher
	logger    *slog.Logger
	observers []Observer
	poll      time.Duration

	core   *task.Task[message]
	reader *task.Task[struct{}]
}

// Option configures a Follower.
type Option func(*Follower)

// WithFetcher sets the function that fetches records from peers while the log cannot be read.
func WithFetcher(f Fetcher) Option { return func(fo *Follower) { fo.fetch = f } }

// WithObserver adds an observer of state changes.
func WithObserver(o Observer) Option {
	return func(fo *Follower) { fo.observers = append(fo.observers, o) }
}

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option { return func(fo *Follower) { fo.logger = l } }

// WithPoll sets how long a read waits for new records.
func WithPoll(d time.Duration) Option { return func(fo *Follower) { fo.poll = d } }

// defaultPoll is how long a read waits for new records.
const defaultPoll = 2 * time.Second

// New starts a follower. Call Close to stop it.
func New(client *plat.Client, opts ...Option) *Follower {
	f := &Follower{client: client, logger: slog.Default(), poll: defaultPoll}
	for _, opt := range opts {
		opt(f)
	}
	f.core = task.Start(f.run)
	f.reader = task.Start(f.read)
	return f
}

// Close stops the follower and waits until its tasks have ended.
func (f *Follower) Close() {
	f.reader.Close()
	f.core.Close()
}

// Ask runs a query in the task that owns the state and returns its result. The query must not block
// or keep references to the state.
func Ask[R any](ctx context.Context, f *Follower, query func(s *ledger.State) R) (R, error) {
	return task.Call(ctx, f.core, func(reply chan<- R) message {
		return ask(func(s *ledger.State) { reply <- query(s) })
	})
}

// Progress returns the progress of this entry.
func (f *Follower) Progress(ctx context.Context) (Progress, error) {
	return task.Call(ctx, f.core, func(reply chan<- Progress) message {
		return progress{reply}
	})
}

// WaitOffset waits until every record below an offset has been applied.
func (f *Follower) WaitOffset(ctx context.Context, offset uint64) error {
	_, err := task.Call(ctx, f.core, func(reply chan<- struct{}) message {
		return waitOffset{ctx: ctx, offset: offset, reply: reply}
	})
	return err
}

// ErrIsolated reports that neither the log nor a peer could be reached.
var ErrIsolated = errors.New("neither the log nor a peer can be reached")

// Confirm waits until all records are applied that the log holds at the time of the call. If the log
// cannot be reached, it uses the offset of a peer. It returns [ErrIsolated] if neither can be reached.
func (f *Follower) Confirm(ctx context.Context) error {
	if bounds, err := f.client.Bounds(ctx, plat.StreamMain); err == nil {
		return f.WaitOffset(ctx, bounds.Next)
	}
	p, err := f.Progress(ctx)
	if err != nil {
		return err
	}
	if f.fetch == nil {
		return ErrIsolated
	}
	got, err := f.fetch(ctx, p.Offset)
	if err != nil {
		return ErrIsolated
	}
	return f.WaitOffset(ctx, got.Next)
}

// waitVerdict waits for the verdict on a record.
func (f *Follower) waitVerdict(ctx context.Context, id record.ID) (record.Verdict, error) {
	return task.Call(ctx, f.core, func(reply chan<- record.Verdict) message {
		return waitVerdict{ctx: ctx, id: id, reply: reply}
	})
}

// RecordsFrom returns at most limit kept records starting at offset from, with their verdicts.
// Range.Kept is false if the offset is no longer kept.
func (f *Follower) RecordsFrom(ctx context.Context, from uint64, limit int) (Range, error) {
	return task.Call(ctx, f.core, func(reply chan<- Range) message {
		return recordsFrom{from: from, limit: limit, reply: reply}
	})
}

// Range is a sequence of kept records.
type Range struct {
	// Kept reports that the requested offset is still kept, or is the next one.
	Kept bool
	// Next is the offset of the next record to apply.
	Next    uint64
	Records []JudgedRecord
}

// JudgedRecord is an applied record with its verdict.
type JudgedRecord struct {
	Raw     []byte
	Verdict record.Verdict
}

// LastSnapshot returns the snapshot taken at the newest hash.
func (f *Follower) LastSnapshot(ctx context.Context) (Snapshot, error) {
	return task.Call(ctx, f.core, func(reply chan<- Snapshot) message { return lastSnapshot{reply} })
}

// Snapshot is an encoded state: all records below Offset are applied.
type Snapshot struct {
	Offset uint64
	Hash   string
	Raw    []byte
}

// SnapshotNow returns a snapshot of the current state.
func (f *Follower) SnapshotNow(ctx context.Context) (Snapshot, error) {
	return task.Call(ctx, f.core, func(reply chan<- Snapshot) message { return snapshotNow{reply} })
}
