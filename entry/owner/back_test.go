package owner_test

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/claim"
	"carawaymux.dev/entry/owner"
	"carawaymux.dev/entry/place"
	"carawaymux.dev/fleet/shard"
)

// slowRegistry answers the first registration once it is released.
type slowRegistry struct {
	*installation
	release chan struct{}
	first   bool
}

func (r *slowRegistry) Register(ctx context.Context, places []place.Place) ([]place.Place, error) {
	others, err := r.installation.Register(ctx, places)
	if r.first {
		r.first = false
		<-r.release
	}
	return others, err
}

// Guards against status 410 for an accepted job (LOST): a queue moved away and came back while the pool was
// being registered for it.
func TestAQueueThatComesBackDuringARegistrationFindsTheJobsOfBothPools(t *testing.T) {
	in := newInstallation(t)
	slow := &slowRegistry{in, make(chan struct{}), true}
	acquired, err := claim.Acquire(t.Context(), in.log, "wages", "e", 1, 24)
	require.NoError(t, err)
	stored, err := owner.ReadState(t.Context(), acquired)
	require.NoError(t, err)
	wages := owner.Start(
		owner.Settings{Partitions: 24, Timing: shard.Timing{Lease: 5 * time.Second, Grace: 6 * time.Second, Retention: time.Minute}},
		owner.Deps{Log: in.log, Machines: noMachines{}, Places: slow, OtherPools: in, Logger: slog.New(slog.NewJSONHandler(io.Discard, nil))},
		acquired, stored, configured(settleIn("wages", 3)), nil)
	t.Cleanup(wages.Close)
	in.mu.Lock()
	in.owners["wages"] = wages
	in.mu.Unlock()
	require.Eventually(t, func() bool { return in.registrations.Load() == 1 }, 5*time.Second, time.Millisecond)
	docs := in.start("docs", configured(settleIn("docs", 14)))
	require.Eventually(t, func() bool {
		return docs.Submit(t.Context(), settleIn("docs", 14), "new", movedSpec).Outcome == owner.Accepted
	}, 5*time.Second, 5*time.Millisecond)
	back := settleIn("wages", 20)
	require.NoError(t, wages.Configure(t.Context(), configured(back)))
	close(slow.release)
	time.Sleep(500 * time.Millisecond)
	for range 3 {
		a := wages.JobStatus(t.Context(), "new", owner.OfQueue(back))
		require.NotEqual(t, owner.Missing, a.Outcome, "the job is in the other pool")
	}
}
