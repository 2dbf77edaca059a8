package follow

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/fault"
	"carawaymux.dev/fleet/plat"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/task"
)

const (
	// firstRetry and lastRetry bound the pause after a failed read.
	firstRetry = 50 * time.Millisecond
	lastRetry  = 2 * time.Second
	// snapshotScan is how many records at the end of the snapshot stream are
	// looked at; it covers the newest whole snapshot beside a broken one.
	snapshotScan = 2 * plat.MaxRead
)

// read follows the log, and peers while the log is out of reach.
func (f *Follower) read(ctx context.Context, _ <-chan struct{}) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = firstRetry, lastRetry
	offset := f.start(ctx)
	for ctx.Err() == nil {
		page, err := f.client.Read(ctx, plat.StreamMain, offset, plat.MaxRead, f.poll)
		var gone *plat.GoneError
		switch {
		case err == nil && page.Next < offset:
			f.report(ctx, fault.New("read", "log", "next offset %d is below the folded %d", page.Next, offset))
		case err == nil && page.First <= offset:
			pause.Reset()
			offset = f.deliver(ctx, page.Records, page.Next)
			continue
		case errors.As(err, &gone) || err == nil:
			offset = f.recover(ctx, offset)
		default:
			f.report(ctx, err)
			offset = f.askPeers(ctx, offset)
		}
		sleep(ctx, pause.NextBackOff())
	}
}

// start loads the newest snapshot, so that a newcomer need not fold the whole log.
func (f *Follower) start(ctx context.Context) uint64 {
	offset, err := f.loadSnapshot(ctx)
	if err != nil {
		f.report(ctx, err)
	}
	return offset
}

// recover finds a state when the log no longer holds the next record: a snapshot
// from the log, else a peer. A log that neither starts at 0 nor holds a snapshot
// is not an empty fleet.
func (f *Follower) recover(ctx context.Context, offset uint64) uint64 {
	next, err := f.loadSnapshot(ctx)
	if err != nil {
		f.report(ctx, err)
	}
	if next > offset {
		return next
	}
	return f.askPeers(ctx, offset)
}

func (f *Follower) report(ctx context.Context, err error) {
	if ctx.Err() == nil {
		_ = f.core.Send(ctx, logError{text: err.Error()})
	}
}

// deliver hands records to the core and returns the next offset to read.
func (f *Follower) deliver(ctx context.Context, items []plat.Record, next uint64) uint64 {
	offset, err := task.Call(ctx, f.core, func(reply chan<- uint64) message {
		return batch{items: items, next: next, trusted: true, fromLog: true, reply: reply}
	})
	if err != nil {
		return next
	}
	return offset
}

// loadSnapshot offers the newest whole snapshot of the log to the core and returns
// the core's offset.
func (f *Follower) loadSnapshot(ctx context.Context) (uint64, error) {
	raw, err := f.newestSnapshot(ctx)
	if err != nil || raw == nil {
		p, progressErr := f.Progress(ctx)
		if err == nil {
			err = progressErr
		}
		return p.Offset, err
	}
	return f.offer(ctx, raw, adopt{source: "log"})
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
	var joiner codec.Reassembler
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
		for _, it := range page.Records {
			raw, offset, err := joiner.Add(it.Data)
			if err != nil {
				f.logger.Warn("snapshot part refused", "offset", it.Offset, "error", err)
			}
			if raw != nil && offset >= newestOffset {
				newest, newestOffset = raw, offset
			}
			from = it.Offset + 1
		}
	}
	return newest, nil
}

// offer decodes a state and offers it to the core.
func (f *Follower) offer(ctx context.Context, raw []byte, m adopt) (uint64, error) {
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

// askPeers takes over what a peer has and this instance has not.
func (f *Follower) askPeers(ctx context.Context, offset uint64) uint64 {
	if f.fetch == nil {
		return offset
	}
	got, err := f.fetch(ctx, offset)
	if err != nil {
		f.logger.Debug("no peer could help", "error", err)
		return offset
	}
	if got.Snapshot != nil {
		next, err := f.offer(ctx, got.Snapshot,
			adopt{source: got.Peer, current: true, trusted: got.SameZone})
		if err != nil {
			f.logger.Warn("snapshot of a peer refused", "peer", got.Peer, "error", err)
			return offset
		}
		return next
	}
	return f.fromPeer(ctx, got)
}

func (f *Follower) fromPeer(ctx context.Context, got Fetched) uint64 {
	offset, err := task.Call(ctx, f.core, func(reply chan<- uint64) message {
		return batch{items: got.Records, next: got.Next, trusted: got.SameZone, reply: reply}
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

// Publish appends a record and waits for the fold's verdict on it. The append is
// repeated under the same ID until ctx is done, so an answer that the log lost does
// no harm. An error means that it is not known whether the record is in force.
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
	go func() { appended <- f.appendUntil(ctx, raw) }()
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

// appendUntil repeats an append until the log answers or ctx is done. It returns
// the last error that the log gave.
func (f *Follower) appendUntil(ctx context.Context, raw []byte) error {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = firstRetry, lastRetry
	var last error
	for {
		_, err := f.client.Append(ctx, plat.StreamMain, raw)
		if err == nil {
			return nil
		}
		if ctx.Err() == nil || last == nil {
			last = err
		}
		if ctx.Err() != nil {
			return last
		}
		sleep(ctx, pause.NextBackOff())
	}
}
