package owner_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/owner"
	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// Guards against 410 for an accepted job (LOST) by an entry whose configuration is older than that of the entry which
// accepted it: it asks the owner of the queue's earlier pool.
func TestTheEarlierPoolDoesNotAnswerMissingForAJobOfTheNewOne(t *testing.T) {
	in, wages, docs := newMoved(t)
	require.Equal(t, owner.Accepted, docs.Submit(t.Context(), settleIn("docs", 14), "new", movedSpec).Outcome)
	q := owner.OfQueue(settleIn("wages", 3))
	require.Equal(t, owner.Refused, wages.JobStatus(t.Context(), "new", q).Outcome)
	require.Equal(t, owner.Found, wages.JobStatus(t.Context(), "old", q).Outcome)
	wages.Close()
	wages = in.start("wages", configured(settleIn("wages", 3)))
	require.Equal(t, owner.Refused, wages.JobStatus(t.Context(), "new", q).Outcome)
}

// Guards against work that runs on after its cancellation was confirmed (UNASKED) by an entry with an older
// configuration.
func TestTheEarlierPoolDoesNotConfirmTheCancellationOfAJobOfTheNewOne(t *testing.T) {
	_, wages, docs := newMoved(t)
	require.Equal(t, owner.Accepted, docs.Submit(t.Context(), settleIn("docs", 14), "new", movedSpec).Outcome)
	q := owner.OfQueue(settleIn("wages", 3))
	require.Equal(t, owner.Refused, wages.Cancel(t.Context(), "new", q).Outcome)
	require.Equal(t, shard.Open, docs.JobStatus(t.Context(), "new", owner.OfQueue(settleIn("docs", 14))).Phase)
	require.Equal(t, owner.Accepted, wages.Cancel(t.Context(), "old", q).Outcome)
}

// Guards against a number of pending jobs (MIXED) that leaves out the pool which takes the jobs of the queue now.
func TestTheEarlierPoolDoesNotCountTheJobsOfTheNewOneAsNone(t *testing.T) {
	_, wages, docs := newMoved(t)
	require.Equal(t, owner.Accepted, docs.Submit(t.Context(), settleIn("docs", 14), "new", movedSpec).Outcome)
	require.Equal(t, owner.Refused, wages.Pending(t.Context(), "settle", owner.OfQueue(settleIn("wages", 3))).Outcome)
}

// Guards against 410 for an accepted job (LOST) by an owner whose configuration is older than that of the entry which
// asks: the queue is back from another pool, which holds the job.
func TestAnOwnerThatDoesNotKnowThatItsQueueIsBackDoesNotAnswerMissing(t *testing.T) {
	_, wages, docs := newMoved(t)
	require.Equal(t, owner.Accepted, docs.Submit(t.Context(), settleIn("docs", 14), "new", movedSpec).Outcome)
	back := settleIn("wages", 20)
	require.Equal(t, owner.Refused, wages.JobStatus(t.Context(), "new", owner.OfQueue(back)).Outcome)
	require.NoError(t, wages.Configure(t.Context(), configured(back)))
	require.Eventually(t, func() bool { return wages.JobStatus(t.Context(), "new", owner.OfQueue(back)).Outcome == owner.Found }, 5*time.Second, 5*time.Millisecond)
}

// Guards against 410 for a job (LOST) after two hand-overs within the retention time of its end.
func TestAnEndedJobIsKnownAfterTwoHandOvers(t *testing.T) {
	in := newInstallation(t)
	q := settleIn("wages", 3)
	wages := in.start("wages", configured(q))
	require.Equal(t, owner.Accepted, wages.Submit(t.Context(), q, "ended", movedSpec).Outcome)
	require.Equal(t, owner.Accepted, wages.Cancel(t.Context(), "ended", owner.OfQueue(q)).Outcome)
	value, err := codec.EncodeFrame(movedSpec)
	require.NoError(t, err)
	_, err = in.log.Append(t.Context(), owner.InboxStream("wages", 24), []port.Record{{Key: "wages/left", Value: value}}, nil, -1)
	require.NoError(t, err)
	for range 3 {
		a := wages.JobStatus(t.Context(), "ended", owner.OfQueue(q))
		require.Equal(t, owner.Found, a.Outcome)
		require.Equal(t, shard.Cancelled, a.Phase)
		require.Equal(t, owner.Found, wages.JobStatus(t.Context(), "left", owner.OfQueue(q)).Outcome)
		wages.Close()
		wages = in.start("wages", configured(q))
	}
}
