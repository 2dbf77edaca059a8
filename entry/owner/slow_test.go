package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against submissions that are refused although a slow store would have taken them in the caller's time, and against ones that
// wait long for a store that does not answer.
func TestAppendsToASlowStoreMayTakeLonger(t *testing.T) {
	now := time.Unix(1000, 0)
	var a appendTimes
	require.Equal(t, unavailableAfter, a.limit(now), "nothing is known")
	a.record(20*time.Millisecond, now)
	require.Equal(t, unavailableAfter, a.limit(now), "the store is fast")
	a.record(500*time.Millisecond, now)
	require.Equal(t, time.Second, a.limit(now.Add(time.Second)))
	a.record(time.Minute, now)
	require.Equal(t, maxUnavailableAfter, a.limit(now))
	require.Equal(t, unavailableAfter, a.limit(now.Add(slowFor+1)), "the store may have recovered")
}
