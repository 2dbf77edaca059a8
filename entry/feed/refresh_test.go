package feed_test

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/feed"
	"carawaymux.dev/fleet/port"
)

// waitingLog is a stream whose reads wait for as long as they are asked to.
type waitingLog struct {
	port.Log
	reads atomic.Int64
}

func (l *waitingLog) Newest(context.Context, port.Stream, string) (port.Page, error) {
	return port.Page{}, nil
}

func (l *waitingLog) Read(ctx context.Context, _ port.Stream, from int64, wait time.Duration) (port.Page, error) {
	l.reads.Add(1)
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return port.Page{}, ctx.Err()
	}
	return port.Page{End: from}, nil
}

// Guards against a read that is due at once and waits for a change that does not come.
func TestARefreshEndsAReadThatWaits(t *testing.T) {
	l := &waitingLog{}
	read := make(chan time.Time, 100)
	f := feed.Start(l, port.Stream{}, func(_ string, v []byte) (byte, error) { return v[0], nil },
		slog.New(slog.NewJSONHandler(io.Discard, nil)), func([]feed.Change[byte]) {},
		feed.WithLongPoll(time.Minute), feed.WithReadTime(func(at time.Time) { read <- at }))
	t.Cleanup(f.Close)
	<-read
	for range 20 {
		asked := time.Now()
		f.Refresh()
		for at := range read {
			if !at.Before(asked) {
				break
			}
		}
		require.Less(t, time.Since(asked), time.Second)
	}
	require.Less(t, l.reads.Load(), int64(100))
}

// pagedLog is a stream whose reads return one record at a time.
type pagedLog struct{ waitingLog }

func (l *pagedLog) Read(ctx context.Context, stream port.Stream, from int64, wait time.Duration) (port.Page, error) {
	const end = 3
	if from >= end {
		return l.waitingLog.Read(ctx, stream, from, wait)
	}
	return port.Page{Records: []port.Record{{Key: "k", Value: []byte{byte(from)}, Offset: from}}, End: end}, nil
}

// Guards against a read that counts as one of all records, although the store returned only some of them.
func TestAReadOfSomeRecordsDoesNotShowTheStreamAsOfItsTime(t *testing.T) {
	seen := make(chan string, 100)
	f := feed.Start(&pagedLog{}, port.Stream{}, func(_ string, v []byte) (byte, error) { return v[0], nil },
		slog.New(slog.NewJSONHandler(io.Discard, nil)), func(changes []feed.Change[byte]) {
			for _, c := range changes {
				seen <- string('0' + rune(c.Value))
			}
		}, feed.WithLongPoll(time.Minute), feed.WithReadTime(func(time.Time) { seen <- "all" }))
	t.Cleanup(f.Close)
	var got []string
	for range 5 {
		got = append(got, <-seen)
	}
	require.Equal(t, []string{"all", "0", "1", "all", "2"}, got)
}
