package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

func TestADrainingHostGetsNothingNew(t *testing.T) {
	o := newOwner(t, 1, "a")
	h := o.Hosts["a"].Host
	h.Draining = true
	o.UpdateHost(h, o.now)
	o.submit("job", small(1))
	require.Empty(t, o.plan())
}

func TestEmptyingAHostMovesLastingWorkOneAtATime(t *testing.T) {
	o := newOwner(t, 1, "a", "b", "c")
	o.submit("job", lasting(2, 1, 1))
	s := o.start()
	require.Len(t, s, 2)
	for _, one := range s {
		o.list(one.Host, running(one, 100))
	}
	first, second := s[0], s[1]
	require.False(t, o.Vacate(o.Hosts[first.Host], o.now, time.Second))
	require.Len(t, o.TakeOrders(), 1)
	require.False(t, o.Vacate(o.Hosts[second.Host], o.now, time.Second))
	require.Empty(t, o.TakeOrders(), "one of the step is away already")
	o.list(first.Host, port.FinishedRun{Number: 1, Unit: first.Ref.String(), Run: first.Run, Result: port.ResultStopped})
	require.True(t, o.Vacate(o.Hosts[first.Host], o.now, time.Second))
	moved := o.start()
	require.Len(t, moved, 1)
	o.list(moved[0].Host, running(moved[0], 40))
	o.Vacate(o.Hosts[second.Host], o.now, time.Second)
	require.Empty(t, o.TakeOrders(), "not at work yet")
}

// A unit on a host that had just been lost counted as at work, and one more was
// stopped.
func TestUnitsOnSilentHostsAreAway(t *testing.T) {
	o := newOwner(t, 1, "a", "b", "c")
	o.submit("job", lasting(2, 1, 1))
	s := o.start()
	for _, one := range s {
		o.list(one.Host, running(one, 100))
	}
	o.pass(1500 * time.Millisecond)
	for _, id := range []string{"a", "b", "c"} {
		if id != s[0].Host {
			row := []any{}
			if id == s[1].Host {
				row = append(row, running(s[1], 100))
			}
			o.list(id, row...)
		}
	}
	o.Vacate(o.Hosts[s[1].Host], o.now, time.Second)
	require.Empty(t, o.TakeOrders())
}

// A unit that the last owner had ordered to stop still showed at work, and the new
// owner stopped another one of its step.
func TestANewOwnerStopsNoLastingWorkUntilEarlierStopsShow(t *testing.T) {
	o := newOwner(t, 2, "a", "b", "c")
	o.submit("job", lasting(2, 1, 1))
	s := o.start()
	for _, one := range s {
		o.list(one.Host, running(one, 100))
		o.Hosts[one.Host].FirstAnswer = o.now
	}
	o.Vacate(o.Hosts[s[1].Host], o.now, time.Second)
	require.Empty(t, o.TakeOrders())
	o.pass(timing.StopTimeout + 1300*time.Millisecond)
	for _, id := range []string{"a", "b", "c"} {
		var rows []any
		for _, one := range s {
			if one.Host == id {
				rows = append(rows, running(one, 100))
			}
		}
		o.list(id, rows...)
	}
	o.Vacate(o.Hosts[s[1].Host], o.now, time.Second)
	require.Len(t, o.TakeOrders(), 1)
}

func TestEmptyingStopsNoLastingWorkThatHasNowhereToGo(t *testing.T) {
	o := newOwner(t, 1, "a")
	o.submit("job", lasting(1, 0, 1))
	s := o.start()
	o.list("a", running(s[0], 100))
	o.Vacate(o.Hosts["a"], o.now, time.Second)
	require.Empty(t, o.TakeOrders())
}

func TestAHostThatFailsAllItStartsIsLeftAlone(t *testing.T) {
	o := newOwner(t, 1, "bad", "good", "fine")
	number := int64(0)
	for i := 0; i < 40 && !o.now.Before(o.Hosts["bad"].UnhealthyUntil); i++ {
		o.submit(fmt.Sprintf("job-%d", i), small(1))
		for _, s := range o.start() {
			number++
			e := done(number, s)
			if s.Host == "bad" {
				e.Result = port.ResultFailed
			}
			o.list(s.Host, e)
		}
	}
	require.True(t, o.now.Before(o.Hosts["bad"].UnhealthyUntil))
	require.False(t, o.now.Before(o.Hosts["good"].UnhealthyUntil))
}

func TestWhatFillsGivesWayToWorkThatServes(t *testing.T) {
	o := newOwner(t, 1, "a")
	serves := lasting(1, 0, 1)
	serves.TailLatency = 100 * time.Millisecond
	fills := lasting(1, 0, 1)
	fills.BestEffort = true
	o.submit("job", serves, fills)
	s := o.start()
	require.Len(t, s, 2)
	look := func(tail float64) []shard.Order {
		o.pass(time.Second)
		server, filler := running(s[0], 100), running(s[1], 100)
		server.Load = tail
		o.list("a", server, filler)
		return o.TakeOrders()
	}
	require.Empty(t, look(50))
	down := look(120)
	require.Len(t, down, 1)
	require.Equal(t, shard.OrderPace, down[0].Kind)
	require.Equal(t, s[1].Ref, down[0].Ref)
	require.Zero(t, down[0].Percent)
	require.Empty(t, look(120), "it is paced already")
	// An order without an answer is given again.
	o.HandlePaceResult(&down[0], errSilent)
	require.Len(t, look(120), 1)
	require.Empty(t, look(80), "between the bounds nothing changes")
	var back []int
	for range 20 {
		for _, up := range look(40) {
			back = append(back, up.Percent)
		}
	}
	require.Equal(t, []int{25, 50, 75, 100}, back)
}
