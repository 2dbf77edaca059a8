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

// scripted is a store that answers appends under a claim in a given way, one after
// the other, and then with success.
type scripted struct{ outcomes []error }

func (l *scripted) Append(_ context.Context, _ port.Stream, entries []port.Record, w *port.Writer, _ int64) (int64, error) {
	if w == nil || entries == nil || len(l.outcomes) == 0 {
		return 1, nil
	}
	err := l.outcomes[0]
	l.outcomes = l.outcomes[1:]
	return 1, err
}

func (l *scripted) Read(context.Context, port.Stream, int64, time.Duration) (port.Page, error) {
	return port.Page{}, nil
}

func (l *scripted) Newest(context.Context, port.Stream, string) (port.Page, error) {
	return port.Page{}, nil
}

// The store may have carried out the first call, and repeats its answer to it.
func TestARepeatedAppendConfirmsNoMoreThanTheFirst(t *testing.T) {
	l := &scripted{outcomes: []error{errors.New("no answer"), errors.New("no answer")}}
	c, err := claim.Acquire(t.Context(), l, "pool", "entry", 1, 4)
	require.NoError(t, err)
	before := time.Now()
	sent, err := c.Append(t.Context(), []port.Record{{Key: "k"}})
	require.NoError(t, err)
	require.Less(t, sent.Sub(before), 50*time.Millisecond)
}

// After a refusal nothing was done, so the call that was answered confirms the claim.
func TestAnAppendAfterARefusalConfirmsTheClaim(t *testing.T) {
	l := &scripted{outcomes: []error{port.ErrBusy, port.ErrBusy}}
	c, err := claim.Acquire(t.Context(), l, "pool", "entry", 1, 4)
	require.NoError(t, err)
	before := time.Now()
	sent, err := c.Append(t.Context(), []port.Record{{Key: "k"}})
	require.NoError(t, err)
	require.GreaterOrEqual(t, sent.Sub(before), 200*time.Millisecond)
}
