package owner_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/claim"
	"carawaymux.dev/entry/owner"
	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// The tests in this file run an owner whose calls to hosts all pass through one slow processor, as
// on a small entry. They run in a synctest bubble, so all durations are in virtual time and the
// speed of the machine does not matter.

const (
	// callCost is the processor time of one call to a host.
	callCost = 2 * time.Millisecond
	// maxStartAge is the longest time in which a start has to reach its host after its decision.
	maxStartAge = 250 * time.Millisecond
	// slotsPerHost is the number of tasks for which a host has room.
	slotsPerHost = 4
	// taskTime is how long a task runs.
	taskTime = 300 * time.Millisecond
	// testLease is half of the longest lease that the platform allows.
	testLease = 2500 * time.Millisecond
	// heartbeatWait is how long a host may delay its answer to a heartbeat.
	heartbeatWait = time.Second
	// endsPerAnswer is the number of ends that a host lists in one answer.
	endsPerAnswer = 500
)

// processor is a resource that serves one call at a time, in the order of arrival.
type processor chan struct{}

// use waits for the processor and holds it for the cost of one call. It fails if ctx ends before
// the processor is free.
func (p processor) use(ctx context.Context) error {
	select {
	case p <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	time.Sleep(callCost)
	<-p
	return nil
}

// storeAtOnce is a store that carries out each append at once and has no records to read. An
// append takes a moment of virtual time, since it confirms the claim only as of when it was sent.
type storeAtOnce struct{}

func (storeAtOnce) Append(context.Context, port.Stream, []port.Record, *port.Writer, int64) (int64, error) {
	time.Sleep(time.Millisecond)
	return 1, nil
}

func (storeAtOnce) Read(ctx context.Context, _ port.Stream, from int64, wait time.Duration) (port.Page, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return port.Page{End: from}, nil
}

func (storeAtOnce) Newest(context.Context, port.Stream, string) (port.Page, error) {
	return port.Page{}, nil
}

// machinesUp lists the machines of hosts that are all up.
type machinesUp struct {
	port.MachineService
	hosts []port.Host
}

func (m machinesUp) List(context.Context) ([]port.Machine, error) {
	var out []port.Machine
	for _, h := range m.hosts {
		out = append(out, port.Machine{ID: "m-" + h.ID, Pool: h.Pool, State: port.MachineUp, Host: h.ID})
	}
	return out, nil
}

// runID identifies a run.
type runID struct {
	unit string
	run  int64
}

// runEnd is the end of a run on a host.
type runEnd struct {
	runID
	result port.Result
}

// slowHosts is a fleet of hosts behind one processor. It implements [port.HostClients].
type slowHosts struct {
	processor processor
	hosts     map[string]*leasedHost
	running   sync.WaitGroup
}

// leasedHost is a host that enforces its lease and its capacity. Its goroutine owns its state.
type leasedHost struct {
	calls chan func()
	since time.Time
	// lease is until when the host runs work, on its clock in milliseconds.
	lease    int64
	active   map[runID]time.Time
	finished []port.FinishedRun
	number   int64
	// listed is the number of ends in all answers.
	listed int
	// pending holds the heartbeats that wait for a run to finish.
	pending []pendingHeartbeat
	// reached holds when each start reached the host, and ends how the runs ended.
	reached map[runID]time.Time
	ends    []runEnd
}

type pendingHeartbeat struct {
	until time.Time
	reply chan<- port.HostReport
}

// startSlowHosts starts hosts that run until ctx ends.
func startSlowHosts(ctx context.Context, hosts []port.Host) *slowHosts {
	f := &slowHosts{processor: make(processor, 1), hosts: map[string]*leasedHost{}}
	for _, h := range hosts {
		host := &leasedHost{
			calls: make(chan func()), since: time.Now().Add(-time.Minute),
			active: map[runID]time.Time{}, reached: map[runID]time.Time{},
		}
		f.hosts[h.ID] = host
		f.running.Go(func() { host.serve(ctx) })
	}
	return f
}

// Open implements [port.HostClients].
func (f *slowHosts) Open(h port.Host) port.HostClient {
	return slowClient{processor: f.processor, host: f.hosts[h.ID]}
}

func (h *leasedHost) serve(ctx context.Context) {
	for {
		wake := time.NewTimer(time.Until(h.nextEvent()))
		select {
		case <-ctx.Done():
			return
		case call := <-h.calls:
			call()
		case <-wake.C:
		}
		wake.Stop()
		h.update()
	}
}

func (h *leasedHost) clock() int64 { return time.Since(h.since).Milliseconds() }

// nextEvent returns when a run ends, the lease expires or a heartbeat has to be answered.
func (h *leasedHost) nextEvent() time.Time {
	next := time.Now().Add(time.Minute)
	for _, end := range h.active {
		next = earlier(next, end)
	}
	if len(h.active) > 0 {
		next = earlier(next, h.since.Add(time.Duration(h.lease+1)*time.Millisecond))
	}
	for _, p := range h.pending {
		next = earlier(next, p.until)
	}
	return next
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// update ends the runs that are done or whose lease has expired, and answers heartbeats.
func (h *leasedHost) update() {
	now := time.Now()
	for r, end := range h.active {
		switch {
		case !now.Before(end):
			h.end(r, port.ResultDone)
		case h.clock() > h.lease:
			h.end(r, port.ResultLeaseExpired)
		}
	}
	h.pending = slices.DeleteFunc(h.pending, func(p pendingHeartbeat) bool {
		if len(h.finished) == 0 && now.Before(p.until) {
			return false
		}
		p.reply <- h.report()
		return true
	})
}

func (h *leasedHost) end(r runID, result port.Result) {
	delete(h.active, r)
	h.number++
	h.finished = append(h.finished, port.FinishedRun{Number: h.number, Unit: r.unit, Run: r.run, Result: result})
	h.ends = append(h.ends, runEnd{r, result})
}

func (h *leasedHost) report() port.HostReport {
	listed := min(len(h.finished), endsPerAnswer)
	h.listed += listed
	out := port.HostReport{Clock: h.clock(), Born: 1, Finished: slices.Clone(h.finished[:listed]), Truncated: listed == endsPerAnswer}
	for r := range h.active {
		out.Running = append(out.Running, port.ActiveRun{Unit: r.unit, Run: r.run})
	}
	return out
}

// slowClient is a client of one host. Each call takes the processor before it reaches the host.
type slowClient struct {
	processor processor
	host      *leasedHost
}

// callResult is a host's answer to an order.
type callResult struct {
	clock int64
	err   error
}

// reach takes the processor and has the host execute a call.
func reach[R any](ctx context.Context, c slowClient, execute func(h *leasedHost, reply chan<- R)) (R, error) {
	var none R
	if err := c.processor.use(ctx); err != nil {
		return none, err
	}
	reply := make(chan R, 1)
	select {
	case c.host.calls <- func() { execute(c.host, reply) }:
	case <-ctx.Done():
		return none, ctx.Err()
	}
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		return none, ctx.Err()
	}
}

func (c slowClient) Start(ctx context.Context, o port.StartOrder) (int64, error) {
	r, err := reach(ctx, c, func(h *leasedHost, reply chan<- callResult) {
		r := runID{o.Unit, o.Run}
		h.reached[r] = time.Now()
		switch {
		case h.clock() > o.Deadline:
			reply <- callResult{err: &port.RefusedError{Reason: port.RefusedDeadline, Clock: h.clock()}}
			return
		case len(h.active) >= slotsPerHost:
			reply <- callResult{err: &port.RefusedError{Reason: port.RefusedCapacity, Clock: h.clock()}}
			return
		}
		h.lease = max(h.lease, o.Deadline)
		h.active[r] = time.Now().Add(taskTime)
		reply <- callResult{clock: h.clock()}
	})
	if err == nil {
		err = r.err
	}
	return r.clock, err
}

func (c slowClient) Stop(ctx context.Context, unit string, run, _ int64) (int64, error) {
	r, err := reach(ctx, c, func(h *leasedHost, reply chan<- callResult) {
		if r := (runID{unit, run}); !h.active[r].IsZero() {
			h.end(r, port.ResultStopped)
		}
		reply <- callResult{clock: h.clock()}
	})
	return r.clock, err
}

func (slowClient) Throttle(context.Context, string, int64, int, int64) error { return nil }

func (c slowClient) Heartbeat(ctx context.Context, b port.Heartbeat) (port.HostReport, error) {
	return reach(ctx, c, func(h *leasedHost, reply chan<- port.HostReport) {
		h.lease = max(h.lease, b.Deadline)
		h.finished = slices.DeleteFunc(h.finished, func(f port.FinishedRun) bool { return f.Number <= b.Acked })
		h.pending = append(h.pending, pendingHeartbeat{time.Now().Add(b.Wait), reply})
	})
}

func (slowClient) Close() {}

// slowHostList returns the list entries of a number of hosts.
func slowHostList(count int) []port.Host {
	hosts := make([]port.Host, count)
	for i := range hosts {
		hosts[i] = port.Host{
			ID: fmt.Sprintf("h%04d", i), Address: fmt.Sprintf("h%04d:1", i), Pool: "pool", Born: 1,
			Capacity: batch.Size{MilliCores: 1000 * slotsPerHost, MemoryMB: 1000 * slotsPerHost},
		}
	}
	return hosts
}

// slowQueue is the queue of the pool.
var slowQueue = port.Queue{Name: "q", Pool: "pool", Stretch: 2, Target: time.Second}

// startSlowOwner starts an owner of hosts from what earlier owners have stored.
func startSlowOwner(
	ctx context.Context, t *testing.T, fleet *slowHosts, hosts []port.Host, stored *owner.StoredState, logger *slog.Logger,
) *owner.Owner {
	t.Helper()
	acquired, err := claim.Acquire(ctx, storeAtOnce{}, "pool", "e", 1, 24)
	require.NoError(t, err)
	return owner.Start(
		owner.Settings{
			Partitions: 24, HeartbeatWait: heartbeatWait,
			Timing: shard.Timing{Lease: testLease, Grace: 3 * time.Second, Retention: time.Hour},
		},
		owner.Deps{Log: storeAtOnce{}, HostClients: fleet, Machines: machinesUp{hosts: hosts}, Logger: logger},
		acquired, stored, &port.Config{Queues: []port.Queue{slowQueue}, Pools: []port.Pool{{Name: "pool", EnforcesCapacity: true}}}, hosts)
}

// overload is what a run of an overloaded owner has shown.
type overload struct {
	// ordered holds when each start was decided. reached holds when it reached its host, if it
	// did.
	ordered, reached map[runID]time.Time
	ends             []runEnd
	completed        bool
}

// runOverload submits jobs of ten tasks each at once to an owner with idle hosts, and waits until
// all jobs are completed, for a minute at most.
func runOverload(t *testing.T, hostCount, jobCount int) overload {
	ctx, cancel := context.WithCancel(context.Background())
	hosts := slowHostList(hostCount)
	fleet := startSlowHosts(ctx, hosts)
	var lines bytes.Buffer
	o := startSlowOwner(ctx, t, fleet, hosts, &owner.StoredState{}, slog.New(slog.NewJSONHandler(&lines, nil)))
	// The hosts answer for the first time.
	time.Sleep(3 * time.Second)

	var callers sync.WaitGroup
	spec := batch.Spec{Queue: "q", Steps: []batch.Step{{
		Count: 10, Need: batch.Size{MilliCores: 1000, MemoryMB: 100}, Estimate: taskTime,
	}}}
	jobID := func(i int) string { return fmt.Sprintf("%016x", i) }
	for i := range jobCount {
		callers.Go(func() { o.Submit(ctx, slowQueue, jobID(i), spec) })
	}
	callers.Wait()
	out := overload{ordered: map[runID]time.Time{}, reached: map[runID]time.Time{}}
	for waited := time.Duration(0); waited < time.Minute && !out.completed; waited += 50 * time.Millisecond {
		time.Sleep(50 * time.Millisecond)
		out.completed = true
		for i := 0; i < jobCount && out.completed; i++ {
			out.completed = o.JobStatus(ctx, jobID(i)).Phase == shard.Completed
		}
	}
	o.Close()
	cancel()
	fleet.running.Wait()
	for _, h := range fleet.hosts {
		for r, at := range h.reached {
			out.reached[r] = at
		}
		out.ends = append(out.ends, h.ends...)
	}
	for scan := bufio.NewScanner(&lines); scan.Scan(); {
		var line struct {
			Time time.Time
			Msg  string
			Unit string
			Run  int64
		}
		require.NoError(t, json.Unmarshal(scan.Bytes(), &line))
		if line.Msg == "run ordered" {
			out.ordered[runID{line.Unit, line.Run}] = line.Time
		}
	}
	return out
}

// The hosts have room for five times as many starts a second as the processor can send. The owner
// ordered them all. Most starts waited too long in their agents, were returned unsent and were
// ordered again, and heartbeats waited behind them.
func TestOverloadedOwnerKeepsLeasesAndSendsWhatItOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts, jobs = 200, 200
		got := runOverload(t, hosts, jobs)
		results := map[port.Result]int{}
		doneRuns := map[string]int{}
		for _, e := range got.ends {
			results[e.result]++
			if e.result == port.ResultDone {
				doneRuns[e.unit]++
			}
		}
		late, oldest := 0, time.Duration(0)
		for r, at := range got.reached {
			age := at.Sub(got.ordered[r])
			oldest = max(oldest, age)
			if age > maxStartAge {
				late++
			}
		}
		unsent := len(got.ordered) - len(got.reached)
		t.Logf("ordered %d, unsent %d, late at the host %d, oldest %v, ends %v", len(got.ordered), unsent, late, oldest, results)

		require.LessOrEqual(t, unsent*10, len(got.reached), "at most a tenth of the starts that are sent may be returned unsent")
		require.Zero(t, late, "starts that reached their host later than %v after the decision", maxStartAge)
		require.Zero(t, results[port.ResultLeaseExpired], "runs that ended because the lease of their host expired")
		require.True(t, got.completed, "all jobs are completed within a minute")
		require.Len(t, doneRuns, jobs*10)
		for unit, n := range doneRuns {
			require.Equal(t, 1, n, "runs of %s that ended as done", unit)
		}
	})
}
