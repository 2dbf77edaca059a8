package owner

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/claim"
	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// startedHost records the runs that it is told to start, and answers none of these orders.
type startedHost struct {
	idleHost
	started chan int64
}

func (h startedHost) Open(port.Host) port.HostClient { return h }

func (h startedHost) Start(ctx context.Context, o port.StartOrder) (int64, error) {
	h.started <- o.Run
	<-ctx.Done()
	return 0, ctx.Err()
}

var oneTask = batch.Spec{Queue: "q", Steps: []batch.Step{{Count: 1, Need: batch.Size{MilliCores: 1, MemoryMB: 1}}}}

// crashedOnce is the progress of a job with a task under which a host has crashed.
func crashedOnce() shard.Progress {
	tasks := []shard.TaskProgress{{Crashes: &shard.Crashes{Hosts: 1, Isolated: true}}}
	return shard.Progress{Phase: shard.Open, Occurrences: []shard.OccurrenceProgress{{Stages: [][]shard.TaskProgress{tasks}}}}
}

// takeOver returns an owner of a pool with one job, whose hosts of earlier owners have ended and which has a new host.
func takeOver(t *testing.T, epoch int64, progress shard.Progress) (*testCore, startedHost) {
	host := startedHost{idleHost{acked: make(chan int64, 8)}, make(chan int64, 8)}
	c := newTestCore(t, host.idleHost)
	c.deps.HostClients = host
	c.state.Epoch = epoch
	c.state.ClaimedAt = time.Now()
	c.state.SetQueue(port.Queue{Name: "q", Pool: "pool", MaxAttempts: 3})
	c.state.Restore("job", oneTask, &progress, time.Now())
	added := testHost
	added.ID = fmt.Sprintf("h%d", epoch)
	c.addHost(added)
	c.state.Hosts[added.ID].Stored = true
	c.state.HandleReport(added.ID, &port.HostReport{Clock: 1000, Born: epoch}, time.Now().Add(-time.Second))
	c.state.ConfirmedAt = time.Now()
	return c, host
}

// plan plans once and sends what may be sent.
func (c *testCore) plan() {
	now := time.Now()
	shard.Plan(c.state, shard.BySlack{}, now, now.UnixMilli())
	c.sendOrders(now)
}

// Guards against crashes that are not counted: an owner ended together with the host, before the store showed that the
// run had been ordered.
func TestAStartOfATaskThatRunsApartWaitsForTheStore(t *testing.T) {
	c, host := takeOver(t, 1, crashedOnce())
	c.plan()
	time.Sleep(20 * time.Millisecond)
	require.Empty(t, host.started)
	require.Len(t, c.journal.held, 1)

	records, content := c.collect(time.Now())
	stored := readAppends(t, [][]port.Record{records})
	require.True(t, stored.Progress["job"].Occurrences[0].Stages[0][0].Started)
	require.Empty(t, host.started, "the append is in flight")
	c.journal.inFlight = content
	c.complete()
	require.EqualValues(t, 1, host.nextStart(t))
	require.Empty(t, c.journal.held)
}

// complete completes the append in flight.
func (c *testCore) complete() { writeResult{claim.WriteResult{Sent: time.Now()}}.handle(c.core) }

// nextStart returns the next run that the host is told to start.
func (h startedHost) nextStart(t *testing.T) int64 {
	t.Helper()
	select {
	case run := <-h.started:
		return run
	case <-time.After(5 * time.Second):
		require.Fail(t, "the host is not told to start a run")
		return 0
	}
}

func TestAStartThatHasWaitedTooLongForTheStoreIsTakenBack(t *testing.T) {
	c, host := takeOver(t, 1, crashedOnce())
	c.plan()
	require.Len(t, c.journal.held, 1)
	c.write(time.Now())
	require.EqualValues(t, 1, host.nextStart(t))

	c, host = takeOver(t, 1, crashedOnce())
	c.plan()
	_, content := c.collect(time.Now())
	c.journal.inFlight = content
	c.returnHeld(time.Now().Add(maxHeldTime + time.Millisecond))
	require.Empty(t, c.journal.held)
	require.Equal(t, shard.Idle, c.state.Jobs["job"].Occurrences[0].Stages[0].Tasks[0].Status)
	c.complete()
	time.Sleep(20 * time.Millisecond)
	require.Empty(t, host.started)
	stored := readAppends(t, [][]port.Record{c.write(time.Now())})
	require.False(t, stored.Progress["job"].Occurrences[0].Stages[0][0].Started, "the next owner must not count a crash")
}

func TestAStartThatIsNotWantedAnyMoreIsNotSentOnceTheStoreShowsIt(t *testing.T) {
	c, host := takeOver(t, 1, crashedOnce())
	c.plan()
	require.Len(t, c.journal.held, 1)
	c.state.Cancel("job", time.Now())
	c.write(time.Now())
	require.Empty(t, c.state.Hosts["h1"].Assigned)
	time.Sleep(20 * time.Millisecond)
	require.Empty(t, host.started)
}

// Guards against starts without limit: each owner is killed as soon as the host has received the start and has crashed
// under it. The next one knows what was stored by then.
func TestCrashesTogetherWithTheOwnerAreCountedByTheNextOne(t *testing.T) {
	progress, starts := crashedOnce(), 0
	for epoch := int64(1); epoch <= 12; epoch++ {
		c, host := takeOver(t, epoch, progress)
		c.plan()
		if c.state.Jobs["job"].Phase == shard.Failed {
			require.Less(t, starts, 2+3, "after two starts more, three hosts have crashed, and fewer than three starts may follow")
			return
		}
		starts++
		select {
		case <-host.started:
			continue
		case <-time.After(50 * time.Millisecond):
		}
		progress = readAppends(t, [][]port.Record{c.write(time.Now())}).Progress["job"]
		host.nextStart(t)
	}
	require.Fail(t, "the task is not given up", "%d starts", starts)
}
