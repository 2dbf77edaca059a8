package owner

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/agent"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// recordingHost passes on the heartbeats that it receives and answers none.
type recordingHost struct {
	port.HostClient
	heartbeats chan port.Heartbeat
}

func (h recordingHost) Open(port.Host) port.HostClient { return h }

func (h recordingHost) Heartbeat(ctx context.Context, b port.Heartbeat) (port.HostReport, error) {
	h.heartbeats <- b
	<-ctx.Done()
	return port.HostReport{}, ctx.Err()
}

func (recordingHost) Close() {}

// Guards against a second run of a task that is done (TWICE): the store was away for longer than leases are extended without it, and a heartbeat that
// acknowledged ends of the earlier instance of a host was carried out late by the next one, which forgot its own end.
func TestAHeartbeatWithoutADeadlineAcknowledgesNoEndOfTheNextInstance(t *testing.T) {
	host := recordingHost{heartbeats: make(chan port.Heartbeat, 8)}
	c := newTestCore(t, idleHost{})
	c.deps.HostClients = host
	now := time.Now()
	c.state.SetQueue(port.Queue{Name: "q", Pool: "pool", MaxAttempts: 3})
	j, _ := c.state.Submit("job", oneTask, now)
	c.state.MarkStored(j)
	c.addHost(testHost)
	c.state.Hosts["h"].Stored = true
	l := c.agents["h"]
	earlier := port.HostReport{Clock: 1000, Born: 1, Finished: []port.FinishedRun{end(1, "x.0.0.0"), end(2, "x.0.0.1")}}
	heartbeatResult{agent.HeartbeatResult{Host: "h", Report: earlier}, l}.handle(c.core)
	c.state.Hosts["h"].StoredEnd = 2
	c.state.ConfirmedAt = now.Add(-c.settings.Timing.Grace - time.Second)
	c.sendHeartbeat("h", l, time.Now().Add(unackedBackoff))
	require.True(t, l.heartbeatInFlight)
	late := <-host.heartbeats
	require.Zero(t, late.Deadline)

	// The host restarts and has not carried the call out yet. The store is back.
	c.heartbeatFailed(l, agent.HeartbeatResult{Host: "h", Err: errors.New("no answer")}, now)
	report := func(after time.Duration, r port.HostReport) {
		c.state.HandleReport("h", &r, now.Add(after))
		c.state.ConfirmedAt = now.Add(after + time.Millisecond)
	}
	plan := func(after time.Duration) []shard.Order {
		at := now.Add(after)
		shard.Plan(c.state, shard.BySlack{}, at, at.UnixMilli())
		return c.state.TakeOrders()
	}
	report(time.Second, port.HostReport{Clock: 10, Born: 2})
	starts := plan(1100 * time.Millisecond)
	require.Len(t, starts, 1)
	require.True(t, c.state.HandleStartResult(&starts[0], 20, nil, now.Add(1200*time.Millisecond)))
	ends := []port.FinishedRun{{Number: 1, Unit: starts[0].Ref.String(), Run: starts[0].Run, Result: port.ResultDone}}
	if late.Instance == 0 || late.Instance == 2 {
		ends = slices.DeleteFunc(ends, func(f port.FinishedRun) bool { return f.Number <= late.Acked })
	}
	report(2*time.Second, port.HostReport{Clock: 1000, Born: 2, Finished: ends})
	require.Empty(t, plan(2100*time.Millisecond), "the task is done")
}
