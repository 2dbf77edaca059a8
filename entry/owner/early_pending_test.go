package owner_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/owner"
	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/port"
)

// Guards against a number of pending jobs that lacks those in the inbox, which the owner has not read.
func TestPendingJobsInTheInboxCountBeforeTheOwnerHasReadTheInbox(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	value, err := codec.EncodeFrame(batch.Spec{Queue: "q", Steps: []batch.Step{{Count: 1}}})
	require.NoError(t, err)
	store := &slowInboxStore{release: make(chan struct{}), left: []port.Record{{Key: "pool/left", Value: value}}}
	o := startOwner(ctx, t, store)
	short, stop := context.WithTimeout(ctx, 200*time.Millisecond)
	defer stop()
	a := o.Pending(short, "q")
	require.False(t, a.Outcome == owner.Found && a.Pending == 0, "0 of 1 accepted jobs are pending")
}
