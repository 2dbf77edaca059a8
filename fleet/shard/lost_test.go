package shard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/port"
)

// Guards against starting work again that has ended. A newer owner may have counted the end
// before the host ended, without this owner having an answer that says so. The owner in a zone
// that was cut off started such work again as soon as the connection was restored.
func TestWorkOfAHostThatHasEndedWaitsForTheClaimToBeConfirmed(t *testing.T) {
	o := newOwner(t, 1, "a", "b")
	o.submit("job", smallStep(1))
	s := o.start()
	require.Len(t, s, 1)
	other := map[string]string{"a": "b", "b": "a"}[s[0].Host]
	o.report(s[0].Host, runningRow(s[0], 10))
	o.now = o.now.Add(2 * time.Second)
	o.report(other)
	o.HostEnded(s[0].Host, o.now)
	require.Empty(t, o.plan(), "the claim was confirmed before the host ended")
	require.True(t, o.NeedsConfirmation(), "the next write is not delayed")
	o.advance(time.Millisecond)
	require.Len(t, o.plan(), 1)
}

func TestWorkOfAnEarlierInstanceWaitsForTheClaimToBeConfirmed(t *testing.T) {
	o := newOwner(t, 1, "a", "b")
	o.submit("job", smallStep(1))
	s := o.start()
	other := map[string]string{"a": "b", "b": "a"}[s[0].Host]
	o.report(s[0].Host, runningRow(s[0], 10))
	o.now = o.now.Add(2 * time.Second)
	o.report(other)
	o.HandleReport(s[0].Host, &port.HostReport{Clock: 5000, Born: 2}, o.now)
	require.Empty(t, o.plan())
	o.advance(time.Millisecond)
	require.Len(t, o.plan(), 1)
}
