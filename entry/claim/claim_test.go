package claim_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/claim"
	"carawaymux.dev/fleet/port"
)

// scriptedStore is a store that answers appends with the given errors, one after the other, and
// then with success.
type scriptedStore struct{ outcomes []error }

func (s *scriptedStore) Append(_ context.Context, _ port.Stream, records []port.Record, w *port.Writer, _ int64) (int64, error) {
	if w == nil || records == nil || len(s.outcomes) == 0 {
		return 1, nil
	}
	err := s.outcomes[0]
	s.outcomes = s.outcomes[1:]
	return 1, err
}

func (s *scriptedStore) Read(context.Context, port.Stream, int64, time.Duration) (port.Page, error) {
	return port.Page{}, nil
}

func (s *scriptedStore) Newest(context.Context, port.Stream, string) (port.Page, error) {
	return port.Page{}, nil
}

// The store may have carried out the first call and may repeat the answer to it, so a later
// answer must not confirm the claim for a later time.
func TestRepeatedAppendConfirmsFromTheFirstCall(t *testing.T) {
	store := &scriptedStore{outcomes: []error{errors.New("no answer"), errors.New("no answer")}}
	c, err := claim.Acquire(t.Context(), store, "pool", "entry", 1, 4)
	require.NoError(t, err)
	before := time.Now()
	sent, err := c.Append(t.Context(), []port.Record{{Key: "k"}})
	require.NoError(t, err)
	require.Less(t, sent.Sub(before), 50*time.Millisecond)
}

// A rejected call was not carried out, so the call that is answered confirms the claim.
func TestAppendAfterRejectionConfirmsFromTheAnsweredCall(t *testing.T) {
	store := &scriptedStore{outcomes: []error{port.ErrBusy, port.ErrBusy}}
	c, err := claim.Acquire(t.Context(), store, "pool", "entry", 1, 4)
	require.NoError(t, err)
	before := time.Now()
	sent, err := c.Append(t.Context(), []port.Record{{Key: "k"}})
	require.NoError(t, err)
	require.GreaterOrEqual(t, sent.Sub(before), 200*time.Millisecond)
}

// silentStore is a store that answers no reads of the state.
type silentStore struct{ scriptedStore }

func (s *silentStore) Newest(ctx context.Context, stream port.Stream, _ string) (port.Page, error) {
	if stream == claim.Stream {
		return port.Page{}, nil
	}
	<-ctx.Done()
	return port.Page{}, ctx.Err()
}

// Guards against a pool that is left to an entry which cannot read its state.
func TestReadingEndsWhenTheStoreDoesNotAnswer(t *testing.T) {
	c, err := claim.Acquire(t.Context(), &silentStore{}, "pool", "entry", 1, 4)
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	require.Error(t, c.Load(ctx, func(port.Record) {}))
	require.NoError(t, ctx.Err())
}
