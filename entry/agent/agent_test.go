package agent_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/agent"
	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// unresponsiveHost never answers a start, and records which starts and stops reach it.
type unresponsiveHost struct{ starts, stops chan string }

func (h unresponsiveHost) Open(port.Host) port.HostClient { return h }

func (h unresponsiveHost) Start(ctx context.Context, s port.StartOrder) (int64, error) {
	h.starts <- s.Unit
	<-ctx.Done()
	return 0, ctx.Err()
}

func (h unresponsiveHost) Stop(_ context.Context, unit string, _, _ int64) (int64, error) {
	h.stops <- unit
	return 1, nil
}

func (h unresponsiveHost) Throttle(context.Context, string, int64, int, int64) error { return nil }

func (h unresponsiveHost) Heartbeat(ctx context.Context, _, _, _ int64, _ time.Duration) (port.HostReport, error) {
	<-ctx.Done()
	return port.HostReport{}, ctx.Err()
}

func (unresponsiveHost) Close() {}

// Starts that waited behind unanswered ones were sent seconds after they had been decided, when
// the owner already knew that the work had been done on another host.
func TestStartThatWaitedTooLongIsReturnedUnsent(t *testing.T) {
	h := unresponsiveHost{starts: make(chan string, 8), stops: make(chan string, 8)}
	outcomes := make(chan agent.OrderResult, 8)
	a := agent.Open(port.Host{ID: "a"}, h,
		func(context.Context, agent.HeartbeatResult) {},
		func(_ context.Context, d agent.OrderResult) { outcomes <- d })
	defer a.Close()
	first, second := batch.Ref{Job: "one"}, batch.Ref{Job: "two"}
	require.True(t, a.Send(agent.Order{Order: shard.Order{Kind: shard.OrderStart, Ref: first, Run: 1}}))
	require.True(t, a.Send(agent.Order{Order: shard.Order{Kind: shard.OrderStart, Ref: second, Run: 1}}))
	require.True(t, a.Send(agent.Order{Order: shard.Order{Kind: shard.OrderStop, Ref: first, Run: 1}}))

	var refused *port.RefusedError
	d := <-outcomes
	require.Equal(t, first, d.Order.Ref)
	require.NotErrorAs(t, d.Err, &refused, "the first start may have been carried out")
	d = <-outcomes
	require.Equal(t, second, d.Order.Ref)
	require.ErrorAs(t, d.Err, &refused, "the second start was not sent")
	require.Equal(t, port.RefusedDeadline, refused.Reason)
	d = <-outcomes
	require.NoError(t, d.Err, "a stop is sent however long it waited")
	require.Equal(t, first.String(), <-h.starts)
	require.Empty(t, h.starts)
	require.Equal(t, first.String(), <-h.stops)
}

// lateHost lets a heartbeat return some time after the call was given up.
type lateHost struct {
	unresponsiveHost
	delay time.Duration
}

func (h lateHost) Open(port.Host) port.HostClient { return h }

func (h lateHost) Heartbeat(ctx context.Context, _, _, _ int64, _ time.Duration) (port.HostReport, error) {
	<-ctx.Done()
	time.Sleep(h.delay)
	return port.HostReport{}, context.Cause(ctx)
}

// Guards against taking the lateness of this process for the silence of a host, whose lease then
// counted as expired although its answers had arrived.
func TestAHeartbeatThatFailsLongAfterItsTimeoutIsMarkedAsLate(t *testing.T) {
	outcomes := make(chan agent.HeartbeatResult, 1)
	a := agent.Open(port.Host{ID: "a"}, lateHost{delay: 300 * time.Millisecond},
		func(_ context.Context, r agent.HeartbeatResult) { outcomes <- r },
		func(context.Context, agent.OrderResult) {})
	defer a.Close()
	require.True(t, a.SendHeartbeat(agent.Heartbeat{}))
	late := <-outcomes
	require.ErrorIs(t, late.Err, context.DeadlineExceeded)
	require.True(t, late.Late)
}
