package roster_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/port"
)

// slowAppends is a store whose appends take a time.
type slowAppends struct {
	silentStore
	takes time.Duration
}

func (s *slowAppends) Append(ctx context.Context, st port.Stream, records []port.Record, w *port.Writer, end int64) (int64, error) {
	if err := s.answers(ctx); err != nil {
		return 0, err
	}
	time.Sleep(s.takes)
	return s.fakeStore.Append(ctx, st, records, w, end)
}

const (
	// appendTime is the time that a slow store takes for an append.
	appendTime = 400 * time.Millisecond
	// changes is the number of changes of pools that follow each other: one for each claim that fails and for each pool that is
	// released.
	changes = 8
	// contact is the time in which an entry that reaches the store again has to be ready.
	contact = 3 * time.Second
	// trials is the number of times that a test is repeated: the task takes a message or a round in random order.
	trials = 300
)

// Guards against an entry that is not ready after an outage (ready-again): it wrote a heartbeat for each change of its
// pools, one after the other, before it read the store again.
func TestTheStoreIsRegainedInTimeAfterManyChangesOfPools(t *testing.T) {
	for i := range trials {
		before := time.Duration(i%11) * 100 * time.Millisecond
		synctest.Test(t, func(t *testing.T) {
			s := &slowAppends{takes: appendTime}
			r := startRosterOn(t, s, "a")
			time.Sleep(2 * time.Second)
			require.True(t, r.View().Settled)
			s.silent.Store(true)
			time.Sleep(before)
			for epoch := range int64(changes) {
				r.SetPools(map[string]int64{"pool": epoch + 1})
			}
			time.Sleep(2 * time.Second)
			s.silent.Store(false)
			time.Sleep(contact)
			require.Zero(t, r.View().StoreLostSince)
			require.Equal(t, int64(changes), r.View().Owners["pool"].Epoch)
		})
	}
}

// Guards against a stop that hands pools over late, and against a view that is older than the time after which an entry
// counts as dead: the task of the roster was busy with a heartbeat for each change of pools.
func TestHeartbeatsForChangesOfPoolsHoldUpNothing(t *testing.T) {
	for range trials {
		synctest.Test(t, func(t *testing.T) {
			s := &slowAppends{takes: appendTime}
			r := startRosterOn(t, s, "a")
			time.Sleep(2 * time.Second)
			for epoch := range int64(changes) {
				r.SetPools(map[string]int64{"pool": epoch + 1})
			}
			for range 3 {
				time.Sleep(time.Second)
				require.Less(t, time.Since(r.View().AsOf), 1500*time.Millisecond)
			}
			for epoch := range int64(changes) {
				r.SetPools(map[string]int64{"pool": changes + epoch + 1})
			}
			began := time.Now()
			require.NoError(t, r.PrepareLeave(t.Context()))
			// A round, the heartbeat with the newest pools and the one of the leave.
			require.LessOrEqual(t, time.Since(began), 3*appendTime)
			require.Equal(t, int64(2*changes), r.Refresh(t.Context()).Owners["pool"].Epoch)
		})
	}
}
