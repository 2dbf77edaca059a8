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

// boundsEvery is the time between two looks at what the log still holds.
const boundsEvery = 5 * time.Second

// snapshots writes the state to the log, so that newcomers need not fold it all and
// records that the log forgets are not lost.
type snapshots struct {
	l *Leader
	// written is the offset of the newest snapshot that this instance wrote.
	written uint64
	// looked is when the log's bounds were last read.
	looked time.Time
}

// keep writes a snapshot when enough records have come since the last one, or when
// the last one is older than half of what the log keeps.
func (s *snapshots) keep(ctx context.Context, fence uint64) {
	saved, err := s.l.Follower.LastSnapshot(ctx)
	if err != nil {
		return
	}
	if saved.Offset >= s.written+uint64(s.l.settings.SnapshotEvery) {
		s.write(ctx, fence, saved)
		return
	}
	if time.Since(s.looked) < boundsEvery {
		return
	}
	s.looked = time.Now()
	bounds, err := s.l.Client.Bounds(ctx, plat.StreamMain)
	if err != nil {
		return
	}
	if middle := bounds.First + (bounds.Next-bounds.First)/2; bounds.First > 0 && s.written < middle {
		s.l.Logger.Warn("the newest snapshot is older than half of what the log keeps",
			"snapshot", s.written, "first", bounds.First, "next", bounds.Next)
		if saved, err = s.l.Follower.SnapshotNow(ctx); err == nil {
			s.write(ctx, fence, saved)
		}
	}
}

func (s *snapshots) write(ctx context.Context, fence uint64, saved follow.Snapshot) {
	if saved.Raw == nil {
		return
	}
	parts, err := codec.SplitSnapshot(saved.Offset, saved.Raw)
	if err != nil {
		s.l.Logger.Error("snapshot", "error", err)
		return
	}
	for _, part := range parts {
		if _, err := s.l.Client.Append(ctx, plat.StreamSnapshots, part); err != nil {
			s.l.Logger.Warn("snapshot", "error", err)
			return
		}
	}
	s.written = saved.Offset
	s.announce(ctx, fence, saved)
}

// announce writes the checkpoint that every instance compares its own state with.
func (s *snapshots) announce(ctx context.Context, fence uint64, saved follow.Snapshot) {
	bounds, err := s.l.Client.Bounds(ctx, plat.StreamMain)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.l.settings.LeaseTerm)
	defer cancel()
	v, err := s.l.Follower.Publish(ctx, record.Record{
		ID: record.NewID(), Schema: 1, Author: s.l.holder, Fence: fence, At: time.Now().UnixMilli(),
		Body: ledger.Checkpoint{AsOf: saved.Offset, Hash: saved.Hash, FirstOffset: min(bounds.First, saved.Offset)},
	})
	s.l.Logger.Info("snapshot written", "offset", saved.Offset, "hash", saved.Hash,
		"bytes", len(saved.Raw), "result", v.Result, "error", err)
}
