package owner_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/owner"
	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/port"
)

// slowInboxStore is a store whose first read of the inbox takes until release is closed.
type slowInboxStore struct {
	partialStore
	release chan struct{}
	left    []port.Record
}

func (s *slowInboxStore) Newest(ctx context.Context, stream port.Stream, after string) (port.Page, error) {
	if !strings.HasPrefix(stream.Topic, "keyed.in") || after != "" {
		return port.Page{}, nil
	}
	select {
	case <-s.release:
		return port.Page{Records: s.left, End: int64(len(s.left))}, nil
	case <-ctx.Done():
		return port.Page{}, ctx.Err()
	}
}

// Guards against status 410 for a job that was accepted into the inbox before the owner started.
func TestJobInTheInboxIsNotMissingBeforeTheOwnerHasReadTheInbox(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	value, err := codec.EncodeFrame(batch.Spec{Queue: "q", Steps: []batch.Step{{Count: 1}}})
	require.NoError(t, err)
	store := &slowInboxStore{release: make(chan struct{}), left: []port.Record{{Key: "pool/left", Value: value}}}
	o := startOwner(ctx, t, store)
	short, stop := context.WithTimeout(ctx, 200*time.Millisecond)
	defer stop()
	a := o.JobStatus(short, "left")
	require.Equal(t, owner.Refused, a.Outcome)
	require.Positive(t, a.RetryAfter)
	answers := make(chan owner.Answer, 2)
	for _, id := range []string{"left", "unknown"} {
		go func() { answers <- o.JobStatus(ctx, id) }()
	}
	time.Sleep(50 * time.Millisecond)
	require.Empty(t, answers)
	close(store.release)
	got := []owner.Outcome{(<-answers).Outcome, (<-answers).Outcome}
	require.ElementsMatch(t, []owner.Outcome{owner.Found, owner.Missing}, got)
}
