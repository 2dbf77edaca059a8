package owner

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/agent"
	"carawaymux.dev/entry/claim"
	"carawaymux.dev/entry/feed"
	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/codec"
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

func (h idleHost) Heartbeat(ctx context.Context, b port.Heartbeat) (port.HostReport, error) {
	h.acked <- b.Acked
	<-ctx.Done()
	return port.HostReport{}, ctx.Err()
}

func (idleHost) Close() {}

// testCore is the state of an owner whose task does not run. The tests handle its messages.
type testCore struct {
	*core
	delivered chan queued
}

func newTestCore(t *testing.T, host idleHost) *testCore {
	return restoreTestCore(t, host, &StoredState{}, &port.Config{Queues: []port.Queue{{Name: "q", Pool: "pool"}}})
}

// restoreTestCore returns the state of an owner that knows what earlier owners have stored.
func restoreTestCore(t *testing.T, host idleHost, stored *StoredState, config *port.Config) *testCore {
	acquired, err := claim.Acquire(context.Background(), emptyLog{}, "pool", "e", 1, 1)
	require.NoError(t, err)
	c := newCore(&Owner{lost: make(chan struct{})},
		Settings{Partitions: 1, Timing: shard.Timing{Lease: 5 * time.Second, Grace: 6 * time.Second}},
		Deps{HostClients: host, Logger: slog.New(slog.NewJSONHandler(io.Discard, nil))},
		acquired)
	ctx, cancel := context.WithCancel(context.Background())
	c.runCtx = ctx
	c.writer = claim.NewWriter(acquired, func(ctx context.Context, w claim.WriteResult) { c.post(ctx, writeResult{w}) })
	delivered := make(chan queued, 64)
	c.owner.task = task.Start(func(ctx context.Context, inbox <-chan queued) {
		for {
			select {
			case <-ctx.Done():
				return
			case m := <-inbox:
				delivered <- m
			}
		}
	})
	c.restore(stored, config, nil)
	t.Cleanup(func() {
		cancel()
		for id := range c.agents {
			c.dropAgent(id)
		}
		c.background.Wait()
		c.writer.Close()
		c.owner.task.Close()
	})
	return &testCore{c, delivered}
}

// lastMessage marks the end of the messages that settle handles.
type lastMessage struct{}

func (lastMessage) handle(*core) {}

// settle waits for the background work of the owner and handles its results.
func (c *testCore) settle() {
	c.background.Wait()
	c.post(c.runCtx, lastMessage{})
	for m := range c.delivered {
		if _, ok := m.message.(lastMessage); ok {
			return
		}
		m.message.handle(c.core)
	}
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
	writeResult{claim.WriteResult{Sent: now}}.handle(c.core)
	require.Zero(t, c.state.Hosts["h"].StoredEnd)

	_, c.journal.inFlight = c.collect(now)
	writeResult{claim.WriteResult{Sent: now}}.handle(c.core)
	require.EqualValues(t, 3, c.state.Hosts["h"].StoredEnd)
}

// Guards against acknowledging ends of a new instance by the numbers of the earlier one. An
// instance that has answered nothing yet is only told apart by its answer.
func TestAHeartbeatAfterAFailedOneAcknowledgesNothing(t *testing.T) {
	host := idleHost{acked: make(chan int64, 8)}
	c := newTestCore(t, host)
	c.addHost(testHost)
	now := time.Now()
	l := c.agents["h"]
	report := port.HostReport{Clock: 1000, Born: 1, Finished: finished(1, 2)}
	heartbeatResult{agent.HeartbeatResult{Host: "h", Report: report}, l}.handle(c.core)
	c.state.Hosts["h"].StoredEnd = 2
	c.sendHeartbeat("h", l, now.Add(unackedBackoff))
	require.EqualValues(t, 2, <-host.acked)

	c.dropAgent("h")
	c.openAgent(testHost)
	l = c.agents["h"]
	c.sendHeartbeat("h", l, now.Add(unackedBackoff))
	require.Zero(t, <-host.acked, "nothing has answered over the new connection")
	c.dropAgent("h")
	c.openAgent(testHost)
	l = c.agents["h"]
	l.answered = true
	c.heartbeatFailed(l, agent.HeartbeatResult{Host: "h", Err: errors.New("connection reset")}, now)
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
	value, err := codec.EncodeFrame(batch.Spec{Queue: "q", Steps: []batch.Step{{Count: 1}}})
	require.NoError(t, err)
	inboxChanges{changes: []feed.Change[[]byte]{{Key: "pool/job", Value: value, Present: true}}}.handle(c.core)
	c.state.MarkStored(c.state.Jobs["job"])
	c.state.Cancel("job", now)
	for _, ch := range c.state.TakeChanges() {
		c.state.MarkWritten(ch)
	}
	c.trimInbox()
	c.settle()
	c.state.Timing.Retention = -time.Second
	c.tick()
	require.NotNil(t, c.state.Jobs["job"])

	log.failing = false
	c.trimInbox()
	c.settle()
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

// Guards against releasing the work of a host that runs. Another service answered at the earlier
// address of the host, and its refusal was handled after the host had been listed at its new one.
func TestARefusalFromAnEarlierAddressDoesNotEndTheHost(t *testing.T) {
	c := newTestCore(t, idleHost{acked: make(chan int64, 8)})
	c.addHost(testHost)
	earlier := c.agents["h"]
	moved := testHost
	moved.Address = "h:2"
	c.addHost(moved)
	c.state.HandleReport("h", &port.HostReport{Clock: 1000, Born: 1}, time.Now())
	refused := agent.HeartbeatResult{Host: "h", Err: &port.RefusedError{Reason: port.RefusedInstance}}
	heartbeatResult{refused, earlier}.handle(c.core)
	require.Zero(t, c.state.Hosts["h"].EndedAt)
	current := c.agents["h"]
	answer := agent.HeartbeatResult{Host: "h", Report: port.HostReport{Clock: 2000, Born: 1}}
	heartbeatResult{answer, current}.handle(c.core)
	heartbeatResult{refused, current}.handle(c.core)
	require.NotZero(t, c.state.Hosts["h"].EndedAt)
}

// Guards against two runs of one task at once (TWICE): another writer put the address of another host into the record of one
// that ran work, and the refusal from there was taken for the end of the host.
func TestARefusalFromAnAddressAtWhichTheHostNeverAnsweredDoesNotEndIt(t *testing.T) {
	c := newTestCore(t, idleHost{acked: make(chan int64, 8)})
	c.addHost(testHost)
	c.state.Hosts["h"].Stored = true
	now := time.Now()
	answer := agent.HeartbeatResult{Host: "h", Report: port.HostReport{Clock: 1000, Born: 1}}
	heartbeatResult{answer, c.agents["h"]}.handle(c.core)
	foreign := testHost
	foreign.Address, foreign.Born = "other:1", 0
	c.addHost(foreign)
	refused := agent.HeartbeatResult{Host: "h", Err: &port.RefusedError{Reason: port.RefusedInstance}}
	heartbeatResult{refused, c.agents["h"]}.handle(c.core)
	h := c.state.Hosts["h"]
	require.Zero(t, h.EndedAt)
	require.True(t, h.Unreachable)
	require.Empty(t, c.state.SilentHosts(now), "nothing runs there")
	h.Assigned[batch.Ref{Job: "job"}] = &shard.Task{Status: shard.Running, Host: "h", Run: 1}
	require.Equal(t, []string{"h"}, c.state.SilentHosts(now), "the list of machines tells whether it has ended")
}

const (
	testRecordBytes  = 256 << 10
	testRequestBytes = 2 << 20
)

// collectAppends collects and completes appends until nothing waits to be written. It returns the records
// of each and, for each, up to which end of the host the store then holds the ends.
func (c *testCore) collectAppends(t *testing.T) (appends [][]port.Record, storedEnds []int64) {
	for range 100 {
		now := time.Now()
		records, content := c.collect(now)
		if len(records) == 0 {
			return appends, storedEnds
		}
		c.journal.inFlight = content
		writeResult{claim.WriteResult{Sent: now}}.handle(c.core)
		appends, storedEnds = append(appends, records), append(storedEnds, c.state.Hosts["h"].StoredEnd)
	}
	require.Fail(t, "the changes are not written within 100 appends")
	return nil, nil
}

// Guards against an owner that writes nothing more. What waited during an outage of the store made one
// append that exceeded the store's limit; it was refused and repeated until the pool changed hands, and
// the next owner got into the same state.
func TestAnAppendStaysBelowTheLimitOfTheStore(t *testing.T) {
	c := newTestCore(t, idleHost{acked: make(chan int64, 8)})
	c.settings.MaxRecordBytes, c.settings.MaxRequestBytes = testRecordBytes, testRequestBytes
	c.addHost(testHost)
	now := time.Now()
	tasks := make([]shard.TaskProgress, 2000)
	for i := range tasks {
		tasks[i].Counted = 1 << 40
	}
	progress := shard.Progress{Phase: shard.Open, Occurrences: []shard.OccurrenceProgress{{Stages: [][]shard.TaskProgress{tasks}}}}
	var changed []shard.Change
	for i := range 400 {
		submitJob{port.Queue{Name: "q", Pool: "pool"}, fmt.Sprintf("job-%03d", i),
			batch.Spec{Queue: "q", Text: strings.Repeat("x", 8000), Steps: []batch.Step{{Count: 1}}}, make(chan Answer, 1)}.handle(c.core)
		id := fmt.Sprintf("stored-%03d", i)
		spec := batch.Spec{Queue: "q", Steps: []batch.Step{{Count: len(tasks), Need: batch.Size{MilliCores: 1, MemoryMB: 1}}}}
		c.state.Restore(id, spec, &progress, now)
		changed = append(changed, shard.Change{Job: c.state.Jobs[id]})
	}
	c.state.Requeue(changed)
	for i := range 20_000 {
		c.journal.expiredJobs = append(c.journal.expiredJobs, fmt.Sprintf("expired-%05d", i))
	}
	c.state.HandleReport("h", &port.HostReport{Clock: 1000, Born: 1, Finished: finished(1, 2)}, now)

	appends, storedEnds := c.collectAppends(t)
	keys := map[string]int{}
	for i, records := range appends {
		size := 0
		for _, r := range records {
			size += 5 + len(r.Key) + len(r.Value)
			keys[r.Key]++
		}
		require.LessOrEqual(t, size, testRequestBytes, "append %d", i)
		if i < len(appends)-1 {
			require.Zero(t, storedEnds[i], "append %d does not hold all progress", i)
		}
	}
	require.EqualValues(t, 2, storedEnds[len(storedEnds)-1])
	require.Len(t, keys, 1+400+400+2*20_000, "each record is written")
}

// Guards against losing the ends of runs, and against an owner that writes nothing more, when a record
// exceeds the store's limit. The progress counted as written, and hosts could forget the ends in it.
func TestARecordThatExceedsTheLimitOfTheStoreIsNotCountedAsWritten(t *testing.T) {
	c := newTestCore(t, idleHost{acked: make(chan int64, 8)})
	c.limitRecords()
	c.addHost(testHost)
	now := time.Now()
	reply := make(chan Answer, 1)
	submitJob{port.Queue{Name: "q", Pool: "pool"}, "large",
		batch.Spec{Queue: "q", Text: strings.Repeat("x", testRecordBytes), Steps: []batch.Step{{Count: 1}}}, reply}.handle(c.core)
	// In parts, the progress fills two appends.
	tasks := make([]shard.TaskProgress, 2000)
	for i := range tasks {
		tasks[i].Checkpoint = strings.Repeat("c", 2000)
	}
	progress := shard.Progress{Phase: shard.Open, Occurrences: []shard.OccurrenceProgress{{Stages: [][]shard.TaskProgress{tasks}}}}
	c.state.Restore("job", batch.Spec{Queue: "q", Steps: []batch.Step{{Count: len(tasks)}}}, &progress, now)
	c.state.Requeue([]shard.Change{{Job: c.state.Jobs["job"]}})
	c.state.HandleReport("h", &port.HostReport{Clock: 1000, Born: 1, Finished: finished(1, 2)}, now)

	appends, storedEnds := c.collectAppends(t)
	require.Greater(t, len(appends), 2)
	require.True(t, len(appends[0]) == 1 && appends[0][0].Key == "pool"+keyHost+"h", "%d records, only that of the host is within the limit", len(appends[0]))
	for i, end := range storedEnds[:len(storedEnds)-1] {
		require.Zero(t, end, "append %d does not hold all progress", i)
	}
	require.EqualValues(t, 2, storedEnds[len(storedEnds)-1])
	require.Equal(t, Refused, (<-reply).Outcome)
	require.Nil(t, c.state.Jobs["large"])
	checkLimits(t, appends)

	next := newTestCore(t, idleHost{acked: make(chan int64, 8)})
	stored := readAppends(t, appends)
	stored.Specs["job"] = c.state.Jobs["job"].Spec
	next.restore(stored, nil, nil)
	restored := next.state.Jobs["job"].Occurrences[0].Stages[0].Tasks
	require.True(t, restored[0].Done, "the end that was acknowledged")
	for i := range restored {
		require.Equal(t, tasks[i].Checkpoint, restored[i].Checkpoint, "task %d", i)
	}
}

func TestTheRemovalOfAHostThatCannotBeStoredDoesNotHoldUpOthers(t *testing.T) {
	c := newTestCore(t, idleHost{acked: make(chan int64, 8)})
	c.journal.removeHost(strings.Repeat("i", port.MaxKeyBytes))
	c.journal.removeHost("h")
	records, _ := c.collect(time.Now())
	require.Equal(t, []port.Record{{Key: "pool" + keyHost + "h"}}, records)
	require.Empty(t, c.journal.removedHosts)
}
