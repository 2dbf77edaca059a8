package agent_test

import (
	"context"
	"errors"
	"sync/atomic"
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

func (h unresponsiveHost) Heartbeat(ctx context.Context, _ port.Heartbeat) (port.HostReport, error) {
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
	// A start whose answer may be lost is sent a second time, under the same run.
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

func (h lateHost) Heartbeat(ctx context.Context, _ port.Heartbeat) (port.HostReport, error) {
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

// lossyHost carries out all calls and loses the first answer of each kind.
type lossyHost struct {
	unresponsiveHost
	starts, stops, heartbeats *atomic.Int64
}

func (h lossyHost) Open(port.Host) port.HostClient { return h }

// answer loses the first answer.
func answer(ctx context.Context, calls *atomic.Int64) error {
	if calls.Add(1) > 1 {
		return nil
	}
	<-ctx.Done()
	return context.Cause(ctx)
}

func (h lossyHost) Start(ctx context.Context, _ port.StartOrder) (int64, error) {
	return 7, answer(ctx, h.starts)
}

func (h lossyHost) Stop(ctx context.Context, _ string, _, _ int64) (int64, error) {
	return 8, answer(ctx, h.stops)
}

func (h lossyHost) Heartbeat(ctx context.Context, b port.Heartbeat) (port.HostReport, error) {
	return port.HostReport{Clock: int64(b.Wait)}, answer(ctx, h.heartbeats)
}

// A lost answer to a heartbeat delayed the ends of a host's work by two seconds, and one to a start the
// start by 1.5 s. Both made the job late.
func TestALostAnswerDelaysNeitherEndsNorStarts(t *testing.T) {
	h := lossyHost{starts: new(atomic.Int64), stops: new(atomic.Int64), heartbeats: new(atomic.Int64)}
	heartbeats, orders := make(chan agent.HeartbeatResult, 1), make(chan agent.OrderResult, 2)
	a := agent.Open(port.Host{ID: "a"}, h,
		func(_ context.Context, r agent.HeartbeatResult) { heartbeats <- r },
		func(_ context.Context, d agent.OrderResult) { orders <- d })
	defer a.Close()
	began := time.Now()
	require.True(t, a.SendHeartbeat(agent.Heartbeat{Wait: 100 * time.Millisecond}))
	require.True(t, a.Send(agent.Order{Order: shard.Order{Kind: shard.OrderStart, Ref: batch.Ref{Job: "one"}, Run: 1}}))
	require.True(t, a.Send(agent.Order{Order: shard.Order{Kind: shard.OrderStop, Ref: batch.Ref{Job: "one", Index: 1}, Run: 1}}))
	for range 2 {
		require.NoError(t, (<-orders).Err)
	}
	r := <-heartbeats
	require.NoError(t, r.Err)
	require.Zero(t, r.Report.Clock, "the second heartbeat does not wait for an end")
	require.Less(t, time.Since(began), 600*time.Millisecond)
	require.EqualValues(t, 2, h.starts.Load())
}

// refusingHost refuses the second copy of each start, and never answers the first.
type refusingHost struct {
	unresponsiveHost
	starts *atomic.Int64
	reason port.Refusal
}

func (h refusingHost) Open(port.Host) port.HostClient { return h }

func (h refusingHost) Start(ctx context.Context, _ port.StartOrder) (int64, error) {
	if h.starts.Add(1) > 1 {
		return 0, &port.RefusedError{Reason: h.reason}
	}
	<-ctx.Done()
	return 0, context.Cause(ctx)
}

// The first copy may still be carried out after the second one was refused. A task that counted as not
// started would then run twice.
func TestARefusedCopyDoesNotShowThatTheRunHasNotStarted(t *testing.T) {
	for reason, conclusive := range map[port.Refusal]bool{
		port.RefusedCapacity: false, port.RefusedStaleRun: false, port.RefusedDeadline: false, port.RefusedUnhealthy: false,
		port.RefusedRestarted: false,
		port.RefusedFence:     true, port.RefusedInstance: true,
	} {
		t.Run(string(reason), func(t *testing.T) {
			t.Parallel()
			h := refusingHost{starts: new(atomic.Int64), reason: reason}
			orders := make(chan agent.OrderResult, 1)
			a := agent.Open(port.Host{ID: "a"}, h,
				func(context.Context, agent.HeartbeatResult) {},
				func(_ context.Context, d agent.OrderResult) { orders <- d })
			defer a.Close()
			require.True(t, a.Send(agent.Order{Order: shard.Order{Kind: shard.OrderStart, Ref: batch.Ref{Job: "one"}, Run: 1}}))
			var refused *port.RefusedError
			err := (<-orders).Err
			require.Error(t, err)
			require.Equal(t, conclusive, errors.As(err, &refused), err)
		})
	}
}
