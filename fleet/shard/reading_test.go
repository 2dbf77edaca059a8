package shard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

func TestReadingShowsHowFarAHostHasListedItsEnds(t *testing.T) {
	o := newSuccessor(t, smallStep(3), "a", "b")
	claimed := o.now
	require.Equal(t, shard.Reading{State: shard.ReadingUnanswered, Since: claimed}, o.ReadingOf("a", o.now))
	o.advance(time.Second)
	first := o.now
	o.reportPart("a", inheritedEnd(1, 0, port.ResultDone))
	require.Equal(t, shard.Reading{State: shard.ReadingIncomplete, Ends: 1, Since: first}, o.ReadingOf("a", o.now))
	o.report("a", inheritedEnd(2, 1, port.ResultDone))
	require.Equal(t, shard.Reading{State: shard.ReadingComplete, Ends: 2, Since: first}, o.ReadingOf("a", o.now))
	o.HostEnded("a", o.now)
	require.Equal(t, shard.ReadingGone, o.ReadingOf("a", o.now).State)
	o.advance(timing.Grace + 2*timing.Lease)
	require.Equal(t, shard.ReadingExpired, o.ReadingOf("b", o.now).State)
	require.Equal(t, shard.ReadingGone, o.ReadingOf("unknown", o.now).State)
}

// Guards against a host that is logged as having listed all its ends although its lease expired before.
func TestReadingOfAHostThatFellSilentIsNotComplete(t *testing.T) {
	o := newSuccessor(t, smallStep(2), "a", "b")
	o.report("b")
	o.reportPart("a", inheritedEnd(1, 0, port.ResultDone))
	o.advance(2 * timing.Lease)
	o.ExpireLeases(o.now)
	require.Equal(t, shard.ReadingExpired, o.ReadingOf("a", o.now).State)
	require.Equal(t, shard.ReadingComplete, o.ReadingOf("b", o.now).State)
}
