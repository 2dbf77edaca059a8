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
	"carawaymux.dev/fleet/port"
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

// startRegistering starts an owner whose first registration ends only once the channel is closed.
func (in *installation) startRegistering(pool string, config *port.Config) (*owner.Owner, chan<- struct{}) {
	t, slow := in.t, &slowRegistry{in, make(chan struct{}), true}
	acquired, err := claim.Acquire(t.Context(), in.log, pool, "e", 1, 24)
	require.NoError(t, err)
	stored, err := owner.ReadState(t.Context(), acquired)
	require.NoError(t, err)
	o := owner.Start(
		owner.Settings{Partitions: 24, Timing: shard.Timing{Lease: 5 * time.Second, Grace: 6 * time.Second, Retention: time.Minute}},
		owner.Deps{Log: in.log, Machines: noMachines{}, Places: slow, OtherPools: in, Logger: slog.New(slog.NewJSONHandler(io.Discard, nil))},
		acquired, stored, config, nil)
	t.Cleanup(o.Close)
	in.mu.Lock()
	in.owners[pool] = o
	in.mu.Unlock()
	require.Eventually(t, func() bool { return in.registrations.Load() == 1 }, 5*time.Second, time.Millisecond)
	return o, slow.release
}

// Guards against status 410 for an accepted job (LOST): a queue moved away and came back while the pool was
// being registered for it.
func TestAQueueThatComesBackDuringARegistrationFindsTheJobsOfBothPools(t *testing.T) {
	in := newInstallation(t)
	wages, release := in.startRegistering("wages", configured(settleIn("wages", 3)))
	docs := in.start("docs", configured(settleIn("docs", 14)))
	require.Eventually(t, func() bool {
		return docs.Submit(t.Context(), settleIn("docs", 14), "new", movedSpec).Outcome == owner.Accepted
	}, 5*time.Second, 5*time.Millisecond)
	back := settleIn("wages", 20)
	require.NoError(t, wages.Configure(t.Context(), configured(back)))
	close(release)
	time.Sleep(500 * time.Millisecond)
	for range 3 {
		a := wages.JobStatus(t.Context(), "new", owner.OfQueue(back))
		require.NotEqual(t, owner.Missing, a.Outcome, "the job is in the other pool")
	}
}

// Guards against status 503 for a job that does not exist, though the store answers: the pool has just been taken
// over and is being registered for the queue.
func TestAnUnknownJobIsMissingThoughThePoolIsBeingRegistered(t *testing.T) {
	in := newInstallation(t)
	docs, release := in.startRegistering("docs", configured(settleIn("docs", 3)))
	answer := make(chan owner.Answer, 1)
	go func() { answer <- docs.JobStatus(t.Context(), "none", owner.OfQueue(settleIn("docs", 3))) }()
	time.Sleep(100 * time.Millisecond)
	close(release)
	a := <-answer
	require.Equal(t, owner.Missing, a.Outcome, a.Reason)
}
