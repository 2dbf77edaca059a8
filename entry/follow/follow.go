// Package follow runs the task that folds the platform's log. The task owns the
// folded state; others ask it by message and never hold on to what they see.
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
	// hashEvery is the number of records between two hashes of the state.
	hashEvery = 64
	// keptHashes is the number of hashes kept for comparison.
	keptHashes = 16
	// keptEntries is the number of records kept for peers.
	keptEntries = 2048
	// keptVerdicts is the number of verdicts kept by record ID.
	keptVerdicts = 2048
	// tickEvery is how often waiters that gave up are forgotten.
	tickEvery = time.Second
)

// ErrNoConfig reports that the instance has no configuration to go by yet.
var ErrNoConfig = errors.New("no configuration: neither the log nor a peer has been reached since the start")

// Observer is called inside the task after records were folded. It must not keep
// the state nor block.
type Observer func(s *ledger.State, changed ledger.Changed, p Progress)

// Fetcher asks peers for records from an offset on.
type Fetcher func(ctx context.Context, from uint64) (Fetched, error)

// Fetched is what a peer hands over.
type Fetched struct {
	// Peer is the name of the peer.
	Peer string
	// SameZone says that the peer is of the asking entry's zone.
	SameZone bool
	// Next is the peer's offset.
	Next uint64
	// Records are records from the asked offset on; empty when the peer no longer
	// holds them.
	Records []plat.Record
	// Snapshot is the peer's whole state when it could not give the records.
	Snapshot []byte
}

// Progress tells how far the instance is.
type Progress struct {
	// Offset is the next offset to fold.
	Offset uint64
	// Configured says that there is a state to go by.
	Configured bool
	// Trusted says that the state came from the log or from a peer of the same
	// zone, so that it is at least as new as any barrier that was passed.
	Trusted bool
	// ConfirmedAt is when the log or a peer last confirmed that nothing newer is there.
	ConfirmedAt time.Time
	// LogError is why the log could not be read; empty when it could.
	LogError string
	// HashOffset and Hash are the newest hash of the state; Diverged is set when it
	// differed from a checkpoint.
	HashOffset uint64
	Hash       string
	Diverged   bool
}

// Follower folds the log. Use [New] to build it.
type Follower struct {
	client  *plat.Client
	fetch   Fetcher
	logger  *slog.Logger
	observe []Observer
	poll    time.Duration

	core   *task.Task[message]
	reader *task.Task[struct{}]
}

// Option changes how a follower is built.
type Option func(*Follower)

// WithFetcher sets how peers are asked when the log cannot be reached.
func WithFetcher(f Fetcher) Option { return func(fo *Follower) { fo.fetch = f } }

// WithObserver adds an observer.
func WithObserver(o Observer) Option {
	return func(fo *Follower) { fo.observe = append(fo.observe, o) }
}

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option { return func(fo *Follower) { fo.logger = l } }

// WithPoll sets how long a read waits for new records.
func WithPoll(d time.Duration) Option { return func(fo *Follower) { fo.poll = d } }

// defaultPoll is how long a read waits for new records.
const defaultPoll = 2 * time.Second

// New starts a follower. Close it to stop it.
func New(client *plat.Client, opts ...Option) *Follower {
	f := &Follower{client: client, logger: slog.Default(), poll: defaultPoll}
	for _, opt := range opts {
		opt(f)
	}
	f.core = task.Start(f.run)
	f.reader = task.Start(f.read)
	return f
}

// Close stops the follower and waits for its tasks.
func (f *Follower) Close() {
	f.reader.Close()
	f.core.Close()
}

// Ask runs a question inside the task that owns the state. The question must be
// quick and must not keep anything that belongs to the state.
func Ask[R any](ctx context.Context, f *Follower, question func(s *ledger.State) R) (R, error) {
	return task.Call(ctx, f.core, func(reply chan<- R) message {
		return ask(func(s *ledger.State) { reply <- question(s) })
	})
}

// Progress tells how far the instance is.
func (f *Follower) Progress(ctx context.Context) (Progress, error) {
	return task.Call(ctx, f.core, func(reply chan<- Progress) message {
		return progress{reply}
	})
}

// WaitOffset waits until every record below an offset has been folded.
func (f *Follower) WaitOffset(ctx context.Context, offset uint64) error {
	_, err := task.Call(ctx, f.core, func(reply chan<- struct{}) message {
		return waitOffset{ctx: ctx, offset: offset, reply: reply}
	})
	return err
}

// ErrIsolated reports that neither the log nor a peer could be reached.
var ErrIsolated = errors.New("neither the log nor a peer can be reached")

// Confirm makes sure that everything is folded that the log, or else a peer, holds
// by now. It returns [ErrIsolated] when neither can be reached.
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

// RecordsFrom returns kept records from an offset on, at most limit of them, and
// the verdicts on them. It returns false when the offset is no longer kept.
func (f *Follower) RecordsFrom(ctx context.Context, from uint64, limit int) (Range, error) {
	return task.Call(ctx, f.core, func(reply chan<- Range) message {
		return entriesFrom{from: from, limit: limit, reply: reply}
	})
}

// Range is a run of kept records.
type Range struct {
	// Kept says that the asked offset is still kept, or is the next one.
	Kept bool
	// Next is the next offset to fold.
	Next    uint64
	Records []JudgedRecord
}

// JudgedRecord is a record with its verdict.
type JudgedRecord struct {
	Raw     []byte
	Verdict record.Verdict
}

// LastSnapshot returns the newest state that was hashed, encoded.
func (f *Follower) LastSnapshot(ctx context.Context) (Snapshot, error) {
	return task.Call(ctx, f.core, func(reply chan<- Snapshot) message { return lastSnapshot{reply} })
}

// Snapshot is an encoded state.
type Snapshot struct {
	Offset uint64
	Hash   string
	Raw    []byte
}

// SnapshotNow encodes the present state.
func (f *Follower) SnapshotNow(ctx context.Context) (Snapshot, error) {
	return task.Call(ctx, f.core, func(reply chan<- Snapshot) message { return snapshotNow{reply} })
}
