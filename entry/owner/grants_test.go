package owner_test

import (
	"context"
	"io"
	"log/slog"
	"strings"
	"sync/atomic"
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

// healthyHost is a host that answers at once. It counts the runs that it has been told to start.
type healthyHost struct {
	port.HostClient
	since  time.Time
	starts *atomic.Int64
	// run is the run that was started last.
	run *atomic.Pointer[port.ActiveRun]
}

func newHealthyHost() healthyHost {
	return healthyHost{since: time.Now(), starts: new(atomic.Int64), run: new(atomic.Pointer[port.ActiveRun])}
}

func (h healthyHost) Open(port.Host) port.HostClient { return h }

func (h healthyHost) clock() int64 { return time.Since(h.since).Milliseconds() + 1 }

func (h healthyHost) Heartbeat(ctx context.Context, b port.Heartbeat) (port.HostReport, error) {
	select {
	case <-time.After(b.Wait + time.Millisecond):
	case <-ctx.Done():
	}
	report := port.HostReport{Clock: h.clock(), Born: 1}
	if run := h.run.Load(); run != nil {
		report.Running = []port.ActiveRun{*run}
	}
	return report, ctx.Err()
}

func (h healthyHost) Start(_ context.Context, o port.StartOrder) (int64, error) {
	h.starts.Add(1)
	h.run.Store(&port.ActiveRun{Unit: o.Unit, Run: o.Run, ProgressPercent: 100})
	return h.clock(), nil
}

func (h healthyHost) Stop(context.Context, string, int64, int64) (int64, error) {
	return h.clock(), nil
}

func (healthyHost) Close() {}

// startSuccessor starts an owner of the pool with a host, from what earlier owners have stored.
func startSuccessor(t *testing.T, log port.Log, clients port.HostClients, hosts ...port.Host) *owner.Owner {
	t.Helper()
	acquired, err := claim.Acquire(t.Context(), log, "pool", "e", 1, 24)
	require.NoError(t, err)
	stored, err := owner.ReadState(t.Context(), acquired)
	require.NoError(t, err)
	o := owner.Start(
		owner.Settings{Partitions: 24, Timing: shard.Timing{Lease: 5 * time.Second, MaxLease: 10 * time.Second, Grace: 3 * time.Second}},
		owner.Deps{Log: log, HostClients: clients, Machines: noMachines{}, Logger: slog.New(slog.NewJSONHandler(io.Discard, nil))},
		acquired, stored, &port.Config{Queues: []port.Queue{{Name: "q", Pool: "pool"}}, Pools: []port.Pool{{Name: "pool"}}}, hosts)
	t.Cleanup(o.Close)
	return o
}

const (
	// orderableFor is how long after a takeover the machine of a host that the earlier owner has called empty may be
	// ordered: the earlier owner answers for half a second after its claim was confirmed, and the holder of the machines
	// sends the order within a second and gives it up after 900 ms.
	orderableFor = 2400 * time.Millisecond
	// cordonTime is well above the time for which a host stays reserved for an order.
	cordonTime = 5 * time.Second
)

// Guards against an order for a machine, granted by an earlier owner, that ends work which the next owner has started on
// its host (AVAIL).
func TestANewOwnerStartsNothingOnAHostThatTheEarlierOneHasCalledEmpty(t *testing.T) {
	host := port.Host{ID: "h", Address: "h:1", Pool: "pool", Capacity: batch.Size{MilliCores: 4000, MemoryMB: 4000}, Born: 1}
	for name, known := range map[string][]port.Host{"known": {host}, "not known": nil} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log, clients := newMemoryLog(), newHealthyHost()
				earlier := startSuccessor(t, log, clients, known...)
				time.Sleep(time.Second)
				requireEmpty(t, earlier, "h")

				next := startSuccessor(t, log, clients, host)
				spec := batch.Spec{Queue: "q", Steps: []batch.Step{{Count: 1, Need: batch.Size{MilliCores: 1000, MemoryMB: 1}, LongRunning: true}}}
				require.Equal(t, owner.Accepted, next.Submit(t.Context(), port.Queue{Name: "q", Pool: "pool"}, "00000000000000aa", spec).Outcome)
				time.Sleep(orderableFor)
				require.Zero(t, clients.starts.Load(), "the machine may still be ordered")
				time.Sleep(cordonTime)
				require.EqualValues(t, 1, clients.starts.Load(), "the host was not emptied in the end")

				last := startSuccessor(t, log, clients, host)
				time.Sleep(time.Second)
				require.False(t, last.Vacate(t.Context(), "h", shard.LeaveOrder{}).Vacant)
			})
		})
	}
}

// Guards against a host that is kept free although no order for its machine is possible any more.
func TestARecordOfAHostThatWasCalledEmptyIsDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := newMemoryLog()
		o := startSuccessor(t, log, newHealthyHost())
		time.Sleep(time.Second)
		for range 3 {
			requireEmpty(t, o, "h")
			require.Len(t, granted(t, log), 1)
			time.Sleep(time.Second)
		}
		time.Sleep(cordonTime)
		require.Empty(t, granted(t, log))
		requireEmpty(t, o, "h")
		require.Len(t, granted(t, log), 1)
	})
}

// requireEmpty asks for a host to be emptied until the owner calls it empty.
func requireEmpty(t *testing.T, o *owner.Owner, host string) {
	t.Helper()
	require.Eventually(t, func() bool { return o.Vacate(t.Context(), host, shard.LeaveOrder{}).Vacant }, 4*time.Second, 50*time.Millisecond)
}

// Guards against an order for a machine that ends the work of another host (AVAIL): the host that the request names has ended
// and is not known any more, and the machine already runs another one.
func TestAHostThatIsNotKnownIsCalledEmptyOnlyOnceAListWouldShowAnotherOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := startSuccessor(t, newMemoryLog(), newHealthyHost())
		// A list of machines is requested every half second, at the latest after the one before was given up.
		const oldestList = 1700 * time.Millisecond
		for begin := time.Now(); time.Since(begin) < oldestList; time.Sleep(250 * time.Millisecond) {
			require.False(t, o.Vacate(t.Context(), "gone", shard.LeaveOrder{}).Vacant)
		}
		requireEmpty(t, o, "gone")
	})
}

// granted returns the keys of the hosts that a successor has to keep free.
func granted(t *testing.T, log port.Log) []string {
	t.Helper()
	page, err := log.Newest(t.Context(), claim.StateStream("pool", 24), "")
	require.NoError(t, err)
	var out []string
	for _, r := range page.Records {
		if strings.HasPrefix(r.Key, "pool/e/") {
			out = append(out, r.Key)
		}
	}
	return out
}
