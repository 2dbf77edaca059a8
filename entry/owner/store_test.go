package owner

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/claim"
	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
	"carawaymux.dev/fleet/task"
)

// idleHost is a host whose answers the tests give to the owner themselves. It records the numbers
// up to which heartbeats acknowledge ends.
type idleHost struct {
	port.HostClient
	acked chan int64
}

func (h idleHost) Open(port.Host) port.HostClient { return h }

func (h idleHost) Heartbeat(ctx context.Context, _, _, acked int64, _ time.Duration) (port.HostReport, error) {
	h.acked <- acked
	<-ctx.Done()
	return port.HostReport{}, ctx.Err()
}

func (idleHost) Close() {}

// newTestCore returns the state of an owner whose task does not run.
func newTestCore(t *testing.T, host idleHost) *core {
	c := newCore(&Owner{lost: make(chan struct{})},
		Settings{Partitions: 1, Timing: shard.Timing{Lease: 5 * time.Second, Grace: 6 * time.Second}},
		Deps{HostClients: host, Logger: slog.New(slog.NewJSONHandler(io.Discard, nil))},
		&claim.Claim{Name: "pool", Epoch: 1, ConfirmedAt: time.Now()})
	ctx, cancel := context.WithCancel(context.Background())
	c.runCtx = ctx
	c.owner.task = task.Start(func(ctx context.Context, inbox <-chan queued) {
		for {
			select {
			case <-ctx.Done():
				return
			case m := <-inbox:
				m.handle(c)
			}
		}
	})
	c.restore(&StoredState{}, &port.Config{Queues: []port.Queue{{Name: "q", Pool: "pool"}}}, nil)
	t.Cleanup(func() {
		cancel()
		for id := range c.agents {
			c.dropAgent(id)
		}
		c.background.Wait()
		c.owner.task.Close()
	})
	return c
}

// settled is a message that closes its channel when it is handled.
type settled chan struct{}

func (m settled) handle(*core) { close(m) }

// settle waits for the background work of the owner and until its results are handled.
func settle(c *core) {
	c.background.Wait()
	done := make(settled)
	c.post(c.runCtx, done)
	<-done
}

var testHost = port.Host{ID: "h", Address: "h:1", Pool: "pool", Capacity: batch.Size{MilliCores: 1000, MemoryMB: 1000}}

func finished(numbers ...int64) []port.FinishedRun {
	var out []port.FinishedRun
	for _, n := range numbers {
		out = append(out, port.FinishedRun{Number: n, Unit: "job.0.0.0", Run: n, Result: port.ResultDone})
	}
	return out
}

// Guards against acknowledging ends that the store does not have. After a restart of the host, the
// numbers of its ends start again, and an append that began before covered those of the new
// instance. The next owner ran tasks again whose ends had been acknowledged.
func TestAnAppendFromBeforeAHostRestartAcknowledgesNoEndOfTheNewInstance(t *testing.T) {
	c := newTestCore(t, idleHost{acked: make(chan int64, 8)})
	c.addHost(testHost)
	now := time.Now()
	c.state.HandleReport("h", &port.HostReport{Clock: 1000, Born: 1, Finished: finished(1, 2)}, now)
	_, c.journal.inFlight = c.collect(now)
	c.state.HandleReport("h", &port.HostReport{Clock: 10, Born: 2, Finished: finished(1, 2, 3)}, now.Add(time.Second))
	writeResult{claim.WriteResult{Sent: now}}.handle(c)
	require.Zero(t, c.state.Hosts["h"].StoredEnd)

	_, c.journal.inFlight = c.collect(now)
	writeResult{claim.WriteResult{Sent: now}}.handle(c)
	require.EqualValues(t, 3, c.state.Hosts["h"].StoredEnd)
}

// Guards against acknowledging ends of a new instance by the numbers of the earlier one. An
// instance that has answered nothing yet is only told apart by its answer.
func TestAHeartbeatAfterAFailedOneAcknowledgesNothing(t *testing.T) {
	host := idleHost{acked: make(chan int64, 8)}
	c := newTestCore(t, host)
	c.addHost(testHost)
	now := time.Now()
	c.state.HandleReport("h", &port.HostReport{Clock: 1000, Born: 1, Finished: finished(1, 2)}, now)
	c.state.Hosts["h"].StoredEnd = 2
	l := c.agents["h"]
	c.sendHeartbeat("h", l, now)
	require.EqualValues(t, 2, <-host.acked)

	c.dropAgent("h")
	c.openAgent(testHost)
	l = c.agents["h"]
	c.heartbeatFailed("h", l, errors.New("connection reset"), now)
	c.sendHeartbeat("h", l, now.Add(heartbeatBackoff))
	require.Zero(t, <-host.acked)
}

// Guards against a host that runs work and of which the next owner does not know. The host was
// dropped and listed again before the next append, which deleted its record.
func TestAHostThatIsDroppedAndListedAgainStaysStored(t *testing.T) {
	c := newTestCore(t, idleHost{acked: make(chan int64, 8)})
	c.addHost(testHost)
	c.dropHost("h")
	delete(c.state.Hosts, "h")
	c.addHost(testHost)
	records, _ := c.collect(time.Now())
	stored := map[string]bool{}
	for _, r := range records {
		stored[r.Key] = r.Value != nil
	}
	require.True(t, stored["pool"+keyHost+"h"])

	c.dropHost("h")
	delete(c.state.Hosts, "h")
	records, _ = c.collect(time.Now())
	for _, r := range records {
		stored[r.Key] = r.Value != nil
	}
	require.False(t, stored["pool"+keyHost+"h"])
}

// failingLog is a store that refuses appends without a writer while it fails.
type failingLog struct {
	port.Log
	failing bool
	deleted []string
}

func (f *failingLog) Append(_ context.Context, _ port.Stream, records []port.Record, _ *port.Writer, _ int64) (int64, error) {
	if f.failing {
		return 0, port.ErrBusy
	}
	for _, r := range records {
		f.deleted = append(f.deleted, r.Key)
	}
	return 1, nil
}

// Guards against running a job again whose record had expired. Its submission was still in the
// inbox, because deleting it had failed once, and the next owner took it for a new job.
func TestAJobIsKeptUntilItsSubmissionIsDeletedFromTheInbox(t *testing.T) {
	log := &failingLog{failing: true}
	c := newTestCore(t, idleHost{})
	c.deps.Log = log
	now := time.Now()
	j, _ := c.state.Submit("job", batch.Spec{Queue: "q", Steps: []batch.Step{{Count: 1}}}, now)
	c.state.MarkStored(j)
	c.journal.inboxJobs = []string{"job"}
	c.state.Cancel("job", now)
	for _, ch := range c.state.TakeChanges() {
		c.state.MarkWritten(ch)
	}
	c.trimInbox()
	settle(c)
	c.state.Timing.Retention = -time.Second
	c.tick()
	require.NotNil(t, c.state.Jobs["job"])

	log.failing = false
	c.trimInbox()
	settle(c)
	require.Equal(t, []string{"pool/job"}, log.deleted)
	c.nextExpiryScan = time.Time{}
	c.tick()
	require.Nil(t, c.state.Jobs["job"])
}

// Guards against a task that is never started again. The outcome of its start was lost when the
// host was listed at another address, and the task counted as starting from then on.
func TestAStartThatWasUnderWayToAnEarlierAddressIsStopped(t *testing.T) {
	c := newTestCore(t, idleHost{acked: make(chan int64, 8)})
	c.addHost(testHost)
	now := time.Now()
	h := c.state.Hosts["h"]
	h.Stored = true
	c.state.HandleReport("h", &port.HostReport{Clock: 1000, Born: 1}, now.Add(-time.Second))
	c.state.ConfirmedAt = now
	j, _ := c.state.Submit("job", batch.Spec{Queue: "q", Steps: []batch.Step{{Count: 1, Need: batch.Size{MilliCores: 1, MemoryMB: 1}}}}, now)
	c.state.MarkStored(j)
	shard.Plan(c.state, shard.BySlack{}, now, now.UnixMilli())
	require.Len(t, c.state.TakeOrders(), 1)

	moved := testHost
	moved.Address = "h:2"
	c.addHost(moved)
	orders := c.state.TakeOrders()
	require.Len(t, orders, 1)
	require.Equal(t, shard.OrderStop, orders[0].Kind)
}
