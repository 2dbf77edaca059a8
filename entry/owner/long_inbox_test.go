package owner_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/owner"
	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/port"
)

// pagedInboxStore is a store with an inbox of several pages, each of which takes pageTime.
type pagedInboxStore struct {
	partialStore
	pages    int
	pageTime time.Duration
	value    []byte
}

func (s *pagedInboxStore) Newest(ctx context.Context, stream port.Stream, after string) (port.Page, error) {
	if !strings.HasPrefix(stream.Topic, "keyed.in") {
		return port.Page{}, nil
	}
	select {
	case <-time.After(s.pageTime):
	case <-ctx.Done():
		return port.Page{}, ctx.Err()
	}
	n := 0
	if after != "" {
		fmt.Sscanf(after, "pool/page-%d", &n)
		n++
	}
	return port.Page{Records: []port.Record{{Key: fmt.Sprintf("pool/page-%d", n), Value: s.value}}, More: n < s.pages-1, End: 1}, nil
}

// Guards against an owner that never answers for jobs in an inbox whose pages take longer than one poll.
func TestALongInboxIsReadInTheEnd(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	value, err := codec.EncodeFrame(batch.Spec{Queue: "q", Steps: []batch.Step{{Count: 1}}})
	require.NoError(t, err)
	store := &pagedInboxStore{pages: 30, pageTime: 100 * time.Millisecond, value: value}
	o := startOwner(ctx, t, store)
	within, stop := context.WithTimeout(ctx, 12*time.Second)
	defer stop()
	require.Equal(t, owner.Found, o.JobStatus(within, "page-0").Outcome)
}
