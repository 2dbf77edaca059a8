package feed_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/feed"
	"carawaymux.dev/fleet/port"
)

// log is a stream whose only key gets a new value with each record. It counts the calls.
type log struct {
	port.Log
	end, calls atomic.Int64
}

func (l *log) Newest(context.Context, port.Stream, string) (port.Page, error) {
	l.calls.Add(1)
	end := l.end.Load()
	return port.Page{Records: []port.Record{{Key: "k", Value: []byte{byte(end)}, Offset: end - 1}}, End: end}, nil
}

func (l *log) Read(_ context.Context, _ port.Stream, from int64, _ time.Duration) (port.Page, error) {
	l.calls.Add(1)
	page := port.Page{End: l.end.Load()}
	for at := from; at < page.End; at++ {
		page.Records = append(page.Records, port.Record{Key: "k", Value: []byte{byte(at + 1)}, Offset: at})
	}
	return page, nil
}

func TestPausedFeedMakesNoCallsAndGoesOnFromTheNewestValues(t *testing.T) {
	l := &log{}
	l.end.Store(1)
	changes := make(chan feed.Change[byte], 100)
	f := feed.Start(l, port.Stream{}, func(_ string, v []byte) (byte, error) { return v[0], nil },
		slog.New(slog.NewJSONHandler(io.Discard, nil)),
		func(all []feed.Change[byte]) {
			for _, c := range all {
				changes <- c
			}
		}, feed.WithInterval(time.Hour))
	t.Cleanup(f.Close)
	require.EqualValues(t, 1, (<-changes).Value)
	f.SetInterval(feed.Pause)
	time.Sleep(100 * time.Millisecond)
	calls := l.calls.Load()
	l.end.Store(50)
	time.Sleep(100 * time.Millisecond)
	require.Equal(t, calls, l.calls.Load())
	f.SetInterval(time.Millisecond)
	require.EqualValues(t, 50, (<-changes).Value, "the values between are left out")
	l.end.Store(51)
	require.EqualValues(t, 51, (<-changes).Value)
}

// page is a stream that consists of some records and gets no others.
type page struct {
	port.Log
	records []port.Record
}

func (p page) Newest(context.Context, port.Stream, string) (port.Page, error) {
	return port.Page{}, nil
}

func (p page) Read(ctx context.Context, _ port.Stream, from int64, _ time.Duration) (port.Page, error) {
	out := port.Page{End: int64(len(p.records))}
	if from == out.End {
		<-ctx.Done()
		return port.Page{}, ctx.Err()
	}
	for at := from; at < out.End; at++ {
		r := p.records[at]
		r.Offset = at
		out.Records = append(out.Records, r)
	}
	return out, nil
}

func TestAFeedGoesOnAfterARecordWithoutAKey(t *testing.T) {
	l := page{records: []port.Record{{Key: "a", Value: []byte{1}}, {}, {Value: []byte{2}}, {Key: "b", Value: []byte{3}}}}
	changes := make(chan feed.Change[byte], 100)
	f := feed.Start(l, port.Stream{}, func(_ string, v []byte) (byte, error) { return v[0], nil },
		slog.New(slog.NewJSONHandler(io.Discard, nil)),
		func(all []feed.Change[byte]) {
			for _, c := range all {
				changes <- c
			}
		})
	t.Cleanup(f.Close)
	require.Equal(t, feed.Change[byte]{Key: "a", Value: 1, Present: true}, <-changes)
	require.Equal(t, feed.Change[byte]{Key: "b", Value: 3, Present: true}, <-changes)
}

func TestALogLineAboutARecordThatCannotBeDecodedIsShort(t *testing.T) {
	l := page{records: []port.Record{{Key: "k", Value: []byte(`{"cpu":` + strings.Repeat("9", 1<<20) + `}`)}}}
	var out bytes.Buffer
	changes := make(chan []feed.Change[int64], 100)
	f := feed.Start(l, port.Stream{}, func(_ string, v []byte) (int64, error) {
		var in struct {
			MilliCores int64 `json:"cpu"`
		}
		return in.MilliCores, json.Unmarshal(v, &in)
	}, slog.New(slog.NewJSONHandler(&out, nil)), func(all []feed.Change[int64]) { changes <- all })
	require.Empty(t, <-changes)
	require.Equal(t, []feed.Change[int64]{{Key: "k"}}, <-changes)
	f.Close()
	require.Contains(t, out.String(), "record cannot be decoded")
	require.Less(t, out.Len(), 1<<10)
}

// oddKeys is a stream whose first page consists of the key "a" and many keys that are no UTF-8. The store
// encodes keys as JSON, so the key after which the next page begins sorts before all of them.
type oddKeys struct{ port.Log }

func (oddKeys) Newest(ctx context.Context, _ port.Stream, after string) (port.Page, error) {
	select {
	case <-ctx.Done():
		return port.Page{}, ctx.Err()
	case <-time.After(4 * time.Millisecond):
	}
	out := port.Page{End: 1, More: true}
	if after < "a" {
		out.Records = append(out.Records, port.Record{Key: "a", Value: []byte{1}})
	}
	for range 10 {
		out.Records = append(out.Records, port.Record{Key: "\ufffd", Value: []byte{2}})
	}
	return out, nil
}

func (oddKeys) Read(ctx context.Context, _ port.Stream, from int64, _ time.Duration) (port.Page, error) {
	<-ctx.Done()
	return port.Page{}, ctx.Err()
}

func TestAFeedLoadsAStreamWithManyKeysThatCannotBePagedOver(t *testing.T) {
	changes := make(chan []feed.Change[byte], 100)
	f := feed.Start(oddKeys{}, port.Stream{}, func(_ string, v []byte) (byte, error) { return v[0], nil },
		slog.New(slog.NewJSONHandler(io.Discard, nil)), func(all []feed.Change[byte]) { changes <- all })
	t.Cleanup(f.Close)
	select {
	case all := <-changes:
		require.Equal(t, feed.Change[byte]{Key: "a", Value: 1, Present: true}, all[0])
	case <-time.After(3 * time.Second):
		require.Fail(t, "the stream is not loaded")
	}
}
