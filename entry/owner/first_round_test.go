package owner

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
)

// timedHost is a host that records when its first heartbeat was sent.
type timedHost struct {
	idleHost
	sentAt chan time.Time
}

func (h timedHost) Open(port.Host) port.HostClient { return h }

func (h timedHost) Heartbeat(ctx context.Context, _ port.Heartbeat) (port.HostReport, error) {
	select {
	case h.sentAt <- time.Now():
	default:
	}
	<-ctx.Done()
	return port.HostReport{}, ctx.Err()
}

// Guards against work that does not run for a second after a change of owner: hosts are asked what they run only once the
// first round has looked at all jobs that wait.
func TestANewOwnerAsksItsHostsBeforeItPlans(t *testing.T) {
	stored := newStoredState()
	for i := range 20_000 {
		stored.Specs[fmt.Sprintf("%08d", i)] = batch.Spec{
			Queue: "q", AcceptedMS: 1, Steps: []batch.Step{{Count: 8, Estimate: time.Second, Need: batch.Size{MilliCores: 500 + int64(i%997), MemoryMB: 400}}},
		}
	}
	stored.Hosts = []port.Host{testHost}
	host := timedHost{sentAt: make(chan time.Time, 1)}
	c := restoreTestCore(t, idleHost{}, &StoredState{}, &port.Config{Queues: []port.Queue{{Name: "q", Pool: "pool"}}})
	c.deps.HostClients = host
	c.restore(stored, &port.Config{Queues: []port.Queue{{Name: "q", Pool: "pool"}}}, []port.Host{testHost})
	// Restoring may take so long that the first round also has to confirm the claim.
	c.state.ConfirmedAt = c.state.ConfirmedAt.Add(-2 * confirmInterval)
	start := time.Now()
	c.act()
	require.NotNil(t, c.journal.inFlight)
	took := time.Since(start)
	require.Less(t, (<-host.sentAt).Sub(start), took/2)
}
