package roster_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/port"
)

// silentStore is a store that never answers the calls that it gets while it is silent.
type silentStore struct {
	fakeStore
	silent atomic.Bool
}

func (s *silentStore) answers(ctx context.Context) error {
	if s.silent.Load() {
		<-ctx.Done()
	}
	return ctx.Err()
}

func (s *silentStore) Append(ctx context.Context, st port.Stream, records []port.Record, w *port.Writer, end int64) (int64, error) {
	if err := s.answers(ctx); err != nil {
		return 0, err
	}
	return s.fakeStore.Append(ctx, st, records, w, end)
}

func (s *silentStore) Read(ctx context.Context, st port.Stream, from int64, wait time.Duration) (port.Page, error) {
	if err := s.answers(ctx); err != nil {
		return port.Page{}, err
	}
	return s.fakeStore.Read(ctx, st, from, wait)
}

// Guards against a pool that is taken over late because its owner was lost while the store was silent: its silence
// counted from when calls that were sent before had timed out, up to two seconds after the store had served again.
func TestAnEntryThatIsLostDuringAnOutageIsDeadInTime(t *testing.T) {
	for outage := 1700 * time.Millisecond; outage <= 3200*time.Millisecond; outage += 50 * time.Millisecond {
		t.Run(outage.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &silentStore{}
				a, b := startRosterOn(t, s, "a"), startRosterOn(t, s, "b")
				b.SetPools(map[string]int64{"pool": 1})
				require.Eventually(t, func() bool { return a.View().Owners["pool"].Name == "b" }, 5*time.Second, 5*time.Millisecond)
				s.silent.Store(true)
				time.Sleep(outage / 2)
				go b.Close()
				time.Sleep(outage / 2)
				s.silent.Store(false)
				served := time.Now()
				require.Eventually(t, func() bool { return len(a.View().Owners) == 0 }, 6*time.Second, 5*time.Millisecond)
				// 1.5 s of silence, and the interval of the reads.
				require.Less(t, time.Since(served), 1900*time.Millisecond)
			})
		})
	}
}
