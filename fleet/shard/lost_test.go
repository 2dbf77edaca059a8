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
	starts := o.start()
	require.Len(t, starts, 1)
	other := map[string]string{"a": "b", "b": "a"}[starts[0].Host]
	o.report(starts[0].Host, runningRow(starts[0], 10))
	o.now = o.now.Add(2 * time.Second)
	o.report(other)
	o.HostEnded(starts[0].Host, o.now)
	require.Empty(t, o.plan(), "the claim was confirmed before the host ended")
	require.True(t, o.NeedsConfirmation(), "the next write is not delayed")
	o.advance(time.Millisecond)
	require.Len(t, o.plan(), 1)
}

func TestWorkOfAnEarlierInstanceWaitsForTheClaimToBeConfirmed(t *testing.T) {
	o := newOwner(t, 1, "a", "b")
	o.submit("job", smallStep(1))
	starts := o.start()
	other := map[string]string{"a": "b", "b": "a"}[starts[0].Host]
	o.report(starts[0].Host, runningRow(starts[0], 10))
	o.now = o.now.Add(2 * time.Second)
	o.report(other)
	o.HandleReport(starts[0].Host, &port.HostReport{Clock: 5000, Born: 2}, o.now)
	require.Empty(t, o.plan())
	o.advance(time.Millisecond)
	require.Len(t, o.plan(), 1)
}
