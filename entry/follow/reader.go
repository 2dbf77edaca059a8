package follow

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"carawaymux.dev/fleet/clock"
	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/fault"
	"carawaymux.dev/fleet/plat"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/task"
)

const (
	// minBackoff and maxBackoff limit the delay after a failed read or append.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
	// snapshotScan is the number of records read from the end of the snapshot stream. It covers the
	// newest complete snapshot even if an incomplete one follows it.
	snapshotScan = 2 * plat.MaxRead
)

// read reads the log, and fetches records from peers while the log cannot be read.
func (f *Follower) read(ctx context.Context, _ <-chan struct{}) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = minBackoff, maxBackoff
	offset := f.initialOffset(ctx)
	for ctx.Err() == nil {
		askedAt := clock.SinceBoot()
		page, err := f.client.Read(ctx, plat.StreamMain, offset, plat.MaxRead, f.poll)
		var gone *plat.GoneError
		switch {
		case err == nil && page.Next < offset:
			f.reportLogError(ctx, fault.New("read", "log",
				"the log ends at offset %d, below offset %d up to which records are applied", page.Next, offset))
		case err == nil && page.First <= offset:
			retry.Reset()
			offset = f.applyLogRecords(ctx, page.Records, page.Next, askedAt)
			continue
		case errors.As(err, &gone) || err == nil:
			offset = f.recoverState(ctx, offset)
		default:
			f.reportLogError(ctx, err)
			offset = f.fetchFromPeers(ctx, offset)
		}
		sleep(ctx, retry.NextBackOff())
	}
}

// initialOffset loads the newest snapshot, so that a starting entry does not apply the whole log,
// and returns the offset at which to read on.
func (f *Follower) initialOffset(ctx context.Context) uint64 {
	offset, err := f.loadSnapshot(ctx)
	if err != nil {
		f.reportLogError(ctx, err)
	}
	return offset
}

// recoverState obtains a state if the log no longer holds the next record: a snapshot from the log,
// or else the state of a peer. A log that does not start at offset 0 and has no snapshot must not be
// taken for an empty fleet.
func (f *Follower) recoverState(ctx context.Context, offset uint64) uint64 {
	next, err := f.loadSnapshot(ctx)
	if err != nil {
		f.reportLogError(ctx, err)
	}
	if next > offset {
		return next
	}
	return f.fetchFromPeers(ctx, offset)
}

func (f *Follower) reportLogError(ctx context.Context, err error) {
	if ctx.Err() == nil {
		_ = f.core.Send(ctx, logError{text: err.Error()})
	}
}

// applyLogRecords passes records from the log to the core and returns the next offset to read.
func (f *Follower) applyLogRecords(ctx context.Context, records []plat.Record, next uint64, askedAt time.Duration) uint64 {
	offset, err := task.Call(ctx, f.core, func(reply chan<- uint64) message {
		return batch{records: records, next: next, trusted: true, fromLog: true, askedAt: askedAt, reply: reply}
	})
	if err != nil {
		return next
	}
	return offset
}

// loadSnapshot offers the newest complete snapshot of the log to the core and returns the core's
// offset.
func (f *Follower) loadSnapshot(ctx context.Context) (uint64, error) {
	raw, err := f.newestSnapshot(ctx)
	if err != nil || raw == nil {
		p, progressErr := f.Progress(ctx)
		if err == nil {
			err = progressErr
		}
		return p.Offset, err
	}
	return f.offerState(ctx, raw, adoptState{source: "log"})
}

func (f *Follower) newestSnapshot(ctx context.Context) ([]byte, error) {
	bounds, err := f.client.Bounds(ctx, plat.StreamSnapshots)
	if err != nil {
		return nil, err
	}
	from := bounds.First
	if bounds.Next > snapshotScan {
		from = max(from, bounds.Next-snapshotScan)
	}
	var assembler codec.Reassembler
	var newest []byte
	var newestOffset uint64
	for from < bounds.Next {
		page, err := f.client.Read(ctx, plat.StreamSnapshots, from, plat.MaxRead, 0)
		if err != nil {
			return nil, err
		}
		if len(page.Records) == 0 {
			break
		}
		for _, r := range page.Records {
			raw, offset, err := assembler.Add(r.Data)
			if err != nil {
				f.logger.Warn("snapshot part skipped: it is invalid or does not match its snapshot",
					"offset", r.Offset, "err", err)
			}
			if raw != nil && offset >= newestOffset {
				newest, newestOffset = raw, offset
			}
			from = r.Offset + 1
		}
	}
	return newest, nil
}

// offerState decodes a state and offers it to the core.
func (f *Follower) offerState(ctx context.Context, raw []byte, m adoptState) (uint64, error) {
	state, err := codec.DecodeSnapshot(raw)
	if err != nil {
		return 0, err
	}
	m.state = state
	return task.Call(ctx, f.core, func(reply chan<- uint64) message {
		m.reply = reply
		return m
	})
}

// fetchFromPeers fetches the records or the state of a peer from offset on, applies them, and returns
// the next offset to read.
func (f *Follower) fetchFromPeers(ctx context.Context, offset uint64) uint64 {
	if f.fetch == nil {
		return offset
	}
	got, err := f.fetch(ctx, offset)
	if err != nil {
		f.logger.Debug("records could not be fetched from any peer; retrying", "err", err)
		return offset
	}
	if got.Snapshot != nil {
		next, err := f.offerState(ctx, got.Snapshot,
			adoptState{source: got.Peer, current: true, trusted: got.Trusted})
		if err != nil {
			f.logger.Warn("snapshot of a peer could not be used; retrying", "peer", got.Peer, "err", err)
			return offset
		}
		return next
	}
	return f.applyPeerRecords(ctx, got)
}

func (f *Follower) applyPeerRecords(ctx context.Context, got Fetched) uint64 {
	offset, err := task.Call(ctx, f.core, func(reply chan<- uint64) message {
		return batch{records: got.Records, next: got.Next, trusted: got.Trusted, reply: reply}
	})
	if err != nil {
		return got.Next
	}
	return offset
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// Publish appends a record and waits for the fold's verdict on it. The append is repeated under the
// same ID until ctx is done, so a lost answer of the log cannot apply the record twice. Unless the
// record cannot be encoded or is too large, an error means that the outcome is unknown: the record may
// still take effect.
func (f *Follower) Publish(ctx context.Context, r record.Record) (record.Verdict, error) {
	raw, err := codec.EncodeRecord(r)
	if err != nil {
		return record.Verdict{}, err
	}
	if len(raw) > record.MaxBytes {
		return record.Verdict{}, record.Problems{{
			Field: "record", Got: "too large", Allowed: "at most 65536 bytes"}}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	appended := make(chan error, 1)
	go func() { appended <- f.appendWithRetry(ctx, raw) }()
	v, err := f.waitVerdict(ctx, r.ID)
	cancel()
	appendErr := <-appended
	if err == nil {
		return v, nil
	}
	if appendErr != nil {
		err = appendErr
	}
	return record.Verdict{}, err
}

// appendWithRetry repeats an append until it succeeds or ctx is done. It returns the last error of
// the log.
func (f *Follower) appendWithRetry(ctx context.Context, raw []byte) error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = minBackoff, maxBackoff
	var lastErr error
	for {
		_, err := f.client.Append(ctx, plat.StreamMain, raw)
		if err == nil {
			return nil
		}
		if ctx.Err() == nil || lastErr == nil {
			lastErr = err
		}
		if ctx.Err() != nil {
			return lastErr
		}
		sleep(ctx, retry.NextBackOff())
	}
}
