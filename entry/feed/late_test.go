package feed

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/port"
)

// lateLog is a stream whose reads wait for as long as they are asked to. onRefresh is called by those that do not
// wait.
type lateLog struct {
	port.Log
	onRefresh func()
}

func (l *lateLog) Newest(context.Context, port.Stream, string) (port.Page, error) {
	return port.Page{}, nil
}

func (l *lateLog) Read(ctx context.Context, _ port.Stream, from int64, wait time.Duration) (port.Page, error) {
	if wait == 0 {
		l.onRefresh()
	}
	select {
	case <-ctx.Done():
		return port.Page{}, ctx.Err()
	default:
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return port.Page{}, ctx.Err()
	}
	return port.Page{End: from}, nil
}

// Guards against a refresh that is lost: it finds the read that already serves it and ends that one, so that the
// next read waits for a change.
func TestARefreshThatEndsItsOwnReadIsNotLost(t *testing.T) {
	var f atomic.Pointer[Feed[byte]]
	ended := false
	l := &lateLog{onRefresh: func() {
		if !ended {
			ended = true
			(*f.Load().cancelRead.Load())()
		}
	}}
	read := make(chan time.Time, 100)
	f.Store(Start(l, port.Stream{}, func(_ string, v []byte) (byte, error) { return v[0], nil }, slog.New(slog.DiscardHandler),
		func([]Change[byte]) {}, WithLongPoll(time.Minute), WithReadTime(func(at time.Time) { read <- at })))
	t.Cleanup(f.Load().Close)
	<-read
	asked := time.Now()
	f.Load().Refresh()
	for {
		select {
		case at := <-read:
			if !at.Before(asked) {
				return
			}
		case <-time.After(2 * time.Second):
			require.Fail(t, "no read after the refresh")
		}
	}
}
