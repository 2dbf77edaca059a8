package leader

import (
	"context"
	"time"

	"carawaymux.dev/entry/follow"
	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/ledger"
	"carawaymux.dev/fleet/plat"
	"carawaymux.dev/fleet/record"
)

// boundsInterval is the minimum time between two reads of the log's bounds.
const boundsInterval = 5 * time.Second

// snapshotWriter writes the state to the snapshot stream, so that new entries need not apply the
// whole log and records that the log drops are not lost.
type snapshotWriter struct {
	leader *Leader
	// writtenOffset is the offset of the newest snapshot that this entry wrote.
	writtenOffset uint64
	// boundsReadAt is when the log's bounds were last read.
	boundsReadAt time.Time
}

// writeIfDue writes a snapshot if SnapshotEvery records have been applied since the last one, or, once
// the log drops records, if the last one is older than half of the records that the log keeps.
func (s *snapshotWriter) writeIfDue(ctx context.Context, fence uint64) {
	saved, err := s.leader.Follower.LastSnapshot(ctx)
	if err != nil {
		return
	}
	if saved.Offset >= s.writtenOffset+uint64(s.leader.settings.SnapshotEvery) {
		s.write(ctx, fence, saved)
		return
	}
	if time.Since(s.boundsReadAt) < boundsInterval {
		return
	}
	s.boundsReadAt = time.Now()
	bounds, err := s.leader.Client.Bounds(ctx, plat.StreamMain)
	if err != nil {
		return
	}
	if middle := bounds.First + (bounds.Next-bounds.First)/2; bounds.First > 0 && s.writtenOffset < middle {
		s.leader.Logger.Warn("newest snapshot is older than half of the records in the log; writing a new one",
			"snapshot", s.writtenOffset, "first", bounds.First, "next", bounds.Next)
		if saved, err = s.leader.Follower.SnapshotNow(ctx); err == nil {
			s.write(ctx, fence, saved)
		}
	}
}

func (s *snapshotWriter) write(ctx context.Context, fence uint64, saved follow.Snapshot) {
	if saved.Raw == nil {
		return
	}
	parts, err := codec.SplitSnapshot(saved.Offset, saved.Raw)
	if err != nil {
		s.leader.Logger.Error("snapshot could not be split into parts and is not written", "err", err)
		return
	}
	for _, part := range parts {
		if _, err := s.leader.Client.Append(ctx, plat.StreamSnapshots, part); err != nil {
			s.leader.Logger.Warn("snapshot part could not be appended; the snapshot is written again later",
				"err", err)
			return
		}
	}
	s.writtenOffset = saved.Offset
	s.publishCheckpoint(ctx, fence, saved)
}

// publishCheckpoint publishes the hash of a snapshot. Every entry compares it with the hash of its
// own state.
func (s *snapshotWriter) publishCheckpoint(ctx context.Context, fence uint64, saved follow.Snapshot) {
	bounds, err := s.leader.Client.Bounds(ctx, plat.StreamMain)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.leader.settings.LeaseTerm)
	defer cancel()
	v, err := s.leader.Follower.Publish(ctx, record.Record{
		ID: record.NewID(), Schema: 1, Author: s.leader.holder, Fence: fence, At: time.Now().UnixMilli(),
		Body: ledger.Checkpoint{AsOf: saved.Offset, Hash: saved.Hash, FirstOffset: min(bounds.First, saved.Offset)},
	})
	s.leader.Logger.Info("snapshot written and its checkpoint proposed", "offset", saved.Offset,
		"hash", saved.Hash, "bytes", len(saved.Raw), "result", v.Result, "err", err)
}
