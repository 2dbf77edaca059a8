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

// silentHost answers no start, and notes which starts and stops reach it.
type silentHost struct{ starts, stops chan string }

func (h silentHost) Open(port.Host) port.HostClient { return h }

func (h silentHost) Start(ctx context.Context, s port.StartOrder) (int64, error) {
	h.starts <- s.Unit
	<-ctx.Done()
	return 0, ctx.Err()
}

func (h silentHost) Stop(_ context.Context, unit string, _, _ int64) (int64, error) {
	h.stops <- unit
	return 1, nil
}

func (h silentHost) Throttle(context.Context, string, int64, int, int64) error { return nil }

func (h silentHost) Heartbeat(ctx context.Context, _, _, _ int64, _ time.Duration) (port.HostReport, error) {
	<-ctx.Done()
	return port.HostReport{}, ctx.Err()
}

func (silentHost) Close() {}

// Starts that waited behind others without an answer were sent seconds after they had
// been decided, when the owner knew the work to be done elsewhere.
func TestAStartThatWaitedForLongIsHandedBack(t *testing.T) {
	h := silentHost{starts: make(chan string, 8), stops: make(chan string, 8)}
	outcomes := make(chan agent.OrderResult, 8)
	a := agent.Open(port.Host{ID: "a"}, h,
		func(context.Context, agent.RenewResult) {},
		func(_ context.Context, d agent.OrderResult) { outcomes <- d })
	defer a.Close()
	first, second := batch.Ref{Job: "one"}, batch.Ref{Job: "two"}
	require.True(t, a.Send(agent.Order{Order: shard.Order{Kind: shard.OrderStart, Ref: first, Run: 1}}))
	require.True(t, a.Send(agent.Order{Order: shard.Order{Kind: shard.OrderStart, Ref: second, Run: 1}}))
	require.True(t, a.Send(agent.Order{Order: shard.Order{Kind: shard.OrderStop, Ref: first, Run: 1}}))

	var refused *port.RefusedError
	d := <-outcomes
	require.Equal(t, first, d.Order.Ref)
	require.NotErrorAs(t, d.Err, &refused, "it may have been carried out")
	d = <-outcomes
	require.Equal(t, second, d.Order.Ref)
	require.ErrorAs(t, d.Err, &refused, "nothing was sent")
	require.Equal(t, port.RefusedDeadline, refused.Reason)
	d = <-outcomes
	require.NoError(t, d.Err, "a stop is sent however late")
	require.Equal(t, first.String(), <-h.starts)
	require.Empty(t, h.starts)
	require.Equal(t, first.String(), <-h.stops)
}
