package route_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"carawaymux.dev/entry/route"
	"carawaymux.dev/fleet/jobs"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testPool returns a pool with equal targets that serves the kind of the same name.
func testPool(name string, targets, slots int) route.PoolTable {
	p := route.PoolTable{Name: name, Kinds: []string{name}, Zones: map[string]int{"z": targets}}
	for i := range targets {
		p.Targets = append(p.Targets, route.Target{
			Host: fmt.Sprintf("%s-%d", name, i), Address: "10.0.0.1:80", Slots: slots, Serving: true,
		})
	}
	return p
}

func testTable(offset uint64, pools ...route.PoolTable) *route.Table {
	t := &route.Table{Offset: offset, Pools: make(map[string]route.PoolTable), Kinds: make(map[string]string)}
	for _, p := range pools {
		t.Pools[p.Name] = p
		for _, k := range p.Kinds {
			t.Kinds[k] = p.Name
		}
	}
	return t
}

type fixture struct {
	*route.Router
	t *testing.T
}

func newFixture(t *testing.T, limits route.Limits, pools ...route.PoolTable) *fixture {
	r := &fixture{Router: route.New(limits), t: t}
	t.Cleanup(r.Close)
	r.Apply(testTable(1, pools...))
	r.waitForOffset(1)
	return r
}

var generousLimits = route.Limits{Queue: 100, BodyMemory: 1 << 20, RetryShare: 0.1}

// waitForOffset waits until the records up to an offset are in force in every pool.
func (r *fixture) waitForOffset(offset uint64) route.Summary {
	r.t.Helper()
	var s route.Summary
	require.Eventually(r.t, func() bool {
		var err error
		s, err = r.Summary(context.Background())
		return err == nil && s.Offset >= offset
	}, 5*time.Second, 10*time.Millisecond)
	return s
}

func slotRequest(kind string) route.SlotRequest {
	return route.SlotRequest{Kind: kind, Urgency: jobs.Normal, Deadline: time.Now().Add(10 * time.Second)}
}

func (r *fixture) submit(request route.SlotRequest) (*route.Ticket, route.Reply) {
	r.t.Helper()
	t, err := r.Submit(context.Background(), request)
	require.NoError(r.t, err)
	return t, r.next(t)
}

func (r *fixture) next(t *route.Ticket) route.Reply {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	reply, err := t.Next(ctx)
	require.NoError(r.t, err)
	return reply
}

// requireNoReply checks that a ticket gets no reply for 60 ms.
func (r *fixture) requireNoReply(t *route.Ticket) {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Millisecond)
	defer cancel()
	_, err := t.Next(ctx)
	require.ErrorIs(r.t, err, context.DeadlineExceeded)
}

func TestSlotLimitHoldsAndReleasedSlotIsGrantedAgain(t *testing.T) {
	r := newFixture(t, generousLimits, testPool("docs", 2, 2))
	inUse := make(map[string]int)
	var grants []*route.Grant
	for range 4 {
		_, reply := r.submit(slotRequest("docs"))
		require.NotNil(t, reply.Grant)
		inUse[reply.Grant.Host]++
		grants = append(grants, reply.Grant)
	}
	require.Equal(t, map[string]int{"docs-0": 2, "docs-1": 2}, inUse)
	waiting, reply := r.submit(slotRequest("docs"))
	require.True(t, reply.Queued)
	r.requireNoReply(waiting)
	grants[0].Release(route.Result{Attempted: true, Duration: time.Millisecond})
	require.Equal(t, grants[0].Host, r.next(waiting).Grant.Host)
}

func TestRequestThatCannotStartInTimeIsRefusedAtOnce(t *testing.T) {
	r := newFixture(t, route.Limits{Queue: 2, BodyMemory: 100}, testPool("docs", 1, 1), testPool("empty", 0, 0))
	_, reply := r.submit(slotRequest("empty"))
	require.NotEmpty(t, reply.Refused)
	require.True(t, reply.NoCapacity)
	_, reply = r.submit(slotRequest("docs"))
	require.NotNil(t, reply.Grant)
	late := slotRequest("docs")
	late.Deadline = time.Now().Add(time.Millisecond)
	_, reply = r.submit(late)
	require.Contains(t, reply.Refused, "deadline")
	require.Positive(t, reply.RetryAfter)
	big := slotRequest("docs")
	big.BodyBytes = 80
	_, reply = r.submit(big)
	require.True(t, reply.Queued, "the first waiting body is admitted whatever its size")
	_, reply = r.submit(big)
	require.Contains(t, reply.Refused, "exceed the limit of 100 bytes")
	_, reply = r.submit(slotRequest("docs"))
	require.True(t, reply.Queued)
	_, reply = r.submit(slotRequest("docs"))
	require.Contains(t, reply.Refused, "2 requests are waiting, which is the limit")
}

func TestZeroQueueLimitStillGrantsFreeSlots(t *testing.T) {
	r := newFixture(t, route.Limits{}, testPool("docs", 1, 1))
	_, reply := r.submit(slotRequest("docs"))
	require.NotNil(t, reply.Grant)
	_, reply = r.submit(slotRequest("docs"))
	require.Contains(t, reply.Refused, "queue")
}

func TestWaitingRequestIsRefusedAtItsDeadline(t *testing.T) {
	r := newFixture(t, generousLimits, testPool("docs", 1, 1))
	_, first := r.submit(slotRequest("docs"))
	short := slotRequest("docs")
	short.Deadline = time.Now().Add(100 * time.Millisecond)
	waiting, reply := r.submit(short)
	require.True(t, reply.Queued)
	require.Contains(t, r.next(waiting).Refused, "deadline")
	first.Grant.Release(route.Result{})
}

func TestUrgentGoesFirstAndLowIsNotStarved(t *testing.T) {
	r := newFixture(t, generousLimits, testPool("docs", 1, 1))
	_, first := r.submit(slotRequest("docs"))
	grant := first.Grant
	tickets := make(map[jobs.Urgency][]*route.Ticket)
	for range 20 {
		for _, u := range []jobs.Urgency{jobs.Low, jobs.Urgent} {
			request := slotRequest("docs")
			request.Urgency = u
			ticket, _ := r.submit(request)
			tickets[u] = append(tickets[u], ticket)
		}
	}
	var order []jobs.Urgency
	for range 16 {
		grant.Release(route.Result{Attempted: true, Duration: time.Millisecond})
		u := jobs.Urgent
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		reply, err := tickets[u][0].Next(ctx)
		cancel()
		if errors.Is(err, context.DeadlineExceeded) {
			u = jobs.Low
			reply = r.next(tickets[u][0])
		}
		tickets[u] = tickets[u][1:]
		grant = reply.Grant
		order = append(order, u)
	}
	low := 0
	for _, u := range order {
		if u == jobs.Low {
			low++
		}
	}
	require.Equal(t, jobs.Urgent, order[0])
	require.Equal(t, 2, low, "%v", order)
}

func TestFloodOfOneKindDoesNotStarveAnother(t *testing.T) {
	p := testPool("docs", 1, 1)
	p.Kinds = []string{"docs", "pay"}
	r := newFixture(t, generousLimits, p)
	_, first := r.submit(slotRequest("docs"))
	for range 50 {
		r.submit(slotRequest("docs"))
	}
	pay, reply := r.submit(slotRequest("pay"))
	require.True(t, reply.Queued)
	first.Grant.Release(route.Result{Attempted: true, Duration: time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := pay.Next(ctx)
	require.NoError(t, err, "the kinds of a pool are served in rotation")
}

func TestCancelledRequestIsNeverGranted(t *testing.T) {
	r := newFixture(t, generousLimits, testPool("docs", 1, 1))
	_, first := r.submit(slotRequest("docs"))
	cancelled, _ := r.submit(slotRequest("docs"))
	next, _ := r.submit(slotRequest("docs"))
	cancelled.Cancel()
	first.Grant.Release(route.Result{})
	granted := r.next(next).Grant
	require.NotNil(t, granted)
	r.requireNoReply(cancelled)
	// A ticket that is cancelled after its grant releases the slot.
	late, _ := r.submit(slotRequest("docs"))
	granted.Release(route.Result{})
	require.Eventually(t, func() bool {
		s, err := r.Summary(context.Background())
		return err == nil && s.Kinds[0].Queued == 0
	}, 5*time.Second, 10*time.Millisecond)
	late.Cancel()
	last, reply := r.submit(slotRequest("docs"))
	if reply.Queued {
		reply = r.next(last)
	}
	require.NotNil(t, reply.Grant, "the cancelled ticket must release its slot")
}

// Guards against requests whose bodies have not arrived and that take a slot or a place in the queue.
func TestAProbeTakesNeitherASlotNorAPlaceInTheQueue(t *testing.T) {
	limits := generousLimits
	limits.Queue = 1
	r := newFixture(t, limits, testPool("docs", 1, 1))
	probe := slotRequest("docs")
	probe.Probe = true
	for range 3 {
		_, reply := r.submit(probe)
		require.Equal(t, route.Reply{}, reply)
	}
	_, quick := r.submit(slotRequest("docs"))
	require.NotNil(t, quick.Grant, "a request whose body has not arrived yet must not take a slot")
	for range 3 {
		_, reply := r.submit(probe)
		require.Equal(t, route.Reply{}, reply)
	}
	waiting, reply := r.submit(slotRequest("docs"))
	require.True(t, reply.Queued, "a request whose body has not arrived yet must not take a place in the queue")
	_, reply = r.submit(probe)
	require.NotEmpty(t, reply.Refused, "a request that would be refused must be told before its body arrives")
	quick.Grant.Release(route.Result{})
	require.NotNil(t, r.next(waiting).Grant)
}

// sparePool returns a pool that lends its free slots above the guard.
func sparePool(slots, guard int) route.PoolTable {
	p := testPool("spare", 1, slots)
	p.Spare, p.Guard = true, guard
	return p
}

func TestSparePoolLendsAboveGuardAndReclaimsSlots(t *testing.T) {
	r := newFixture(t, generousLimits, testPool("docs", 1, 1), sparePool(4, 2))
	_, own := r.submit(slotRequest("docs"))
	require.False(t, own.Grant.Lent())
	var lent []*route.Grant
	var waiting []*route.Ticket
	for range 4 {
		ticket, reply := r.submit(slotRequest("docs"))
		if reply.Grant == nil {
			waiting = append(waiting, ticket)
		}
	}
	for _, ticket := range waiting[:2] {
		g := r.next(ticket).Grant
		require.True(t, g.Lent())
		require.Equal(t, "spare-0", g.Host)
		lent = append(lent, g)
	}
	r.requireNoReply(waiting[2])
	// The lender's own requests use the guarded slots at once. One more request waits only
	// until the next lent slot is released.
	for range 2 {
		_, reply := r.submit(slotRequest("spare"))
		require.NotNil(t, reply.Grant)
	}
	owner, reply := r.submit(slotRequest("spare"))
	require.True(t, reply.Queued)
	lent[0].Release(route.Result{Attempted: true, Duration: time.Millisecond})
	require.NotNil(t, r.next(owner).Grant, "a returned slot must serve the owner before borrowers")
	r.requireNoReply(waiting[2])
}

func TestHostOutOfServiceGetsNoNewRequestsAndIsBusyUntilDone(t *testing.T) {
	p := testPool("docs", 2, 2)
	r := newFixture(t, generousLimits, p)
	_, reply := r.submit(slotRequest("docs"))
	out := reply.Grant.Host
	next := testPool("docs", 2, 2)
	for i := range next.Targets {
		next.Targets[i].Serving = next.Targets[i].Host != out
	}
	r.Apply(testTable(9, next))
	require.Equal(t, []string{out}, r.waitForOffset(9).Busy)
	for range 2 {
		_, other := r.submit(slotRequest("docs"))
		require.NotEqual(t, out, other.Grant.Host)
	}
	reply.Grant.Release(route.Result{Attempted: true, Duration: time.Millisecond})
	require.Eventually(t, func() bool {
		s, err := r.Summary(context.Background())
		return err == nil && len(s.Busy) == 0
	}, 5*time.Second, 10*time.Millisecond)
}

func TestAvoidedHostGetsNoNewRequests(t *testing.T) {
	r := newFixture(t, generousLimits, testPool("docs", 2, 8))
	r.Avoid([]string{"docs-0"})
	time.Sleep(50 * time.Millisecond)
	for range 8 {
		_, reply := r.submit(slotRequest("docs"))
		require.Equal(t, "docs-1", reply.Grant.Host)
	}
}

func TestFailingTargetIsEjectedUnlessMostFail(t *testing.T) {
	run := func(r *fixture, fails func(host string) bool) map[string]int {
		counts := make(map[string]int)
		for range 200 {
			_, reply := r.submit(slotRequest("docs"))
			counts[reply.Grant.Host]++
			reply.Grant.Release(route.Result{Attempted: true, Failed: fails(reply.Grant.Host), Duration: time.Millisecond})
		}
		return counts
	}
	one := run(newFixture(t, generousLimits, testPool("docs", 4, 8)), func(host string) bool { return host == "docs-2" })
	require.Less(t, one["docs-2"], 30)
	most := run(newFixture(t, generousLimits, testPool("docs", 4, 8)), func(host string) bool { return host != "docs-0" })
	for _, host := range []string{"docs-1", "docs-2", "docs-3"} {
		require.Greater(t, most[host], 20, "no target may be ejected if most targets fail")
	}
}

func TestRetryBudgetRunsOutAndIsReplenished(t *testing.T) {
	r := newFixture(t, generousLimits, testPool("docs", 1, 8))
	taken := 0
	for r.TakeRetry(context.Background(), "docs") {
		taken++
		require.Less(t, taken, 1000)
	}
	// Ten requests add one retry to the budget; twenty are sent to be safe from rounding.
	for range 20 {
		_, reply := r.submit(slotRequest("docs"))
		reply.Grant.Release(route.Result{Attempted: true, Duration: time.Millisecond})
	}
	require.Eventually(t, func() bool { return r.TakeRetry(context.Background(), "docs") }, 5*time.Second, 10*time.Millisecond)
}

func TestSlotSharesOfAllEntriesAddUpToTheSlots(t *testing.T) {
	for entries := 1; entries <= 5; entries++ {
		var names []string
		for i := range entries {
			names = append(names, fmt.Sprintf("e%d", i))
		}
		for h := range 20 {
			total := 0
			for _, self := range names {
				total += route.SlotShare(fmt.Sprintf("h%d", h), 8, route.Zone{Name: "z", Self: self, Entries: names})
			}
			require.Equal(t, 8, total)
		}
	}
}
