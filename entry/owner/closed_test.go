package owner_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/owner"
)

// Guards against status 503 without a Retry-After while a pool changes its owner.
func TestAnOwnerThatHasStoppedRefusesWithARetryTime(t *testing.T) {
	o := startOwner(t.Context(), t, &partialStore{})
	o.Close()
	a := o.JobStatus(t.Context(), "job")
	require.Equal(t, owner.Refused, a.Outcome)
	require.Positive(t, a.RetryAfter)
}
