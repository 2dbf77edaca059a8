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

// poolOf makes a pool whose kind has its name, with equal targets.
func poolOf(name string, targets, slots int) route.PoolTable {
	p := route.PoolTable{Name: name, Kinds: []string{name}, Zones: map[string]int{"z": targets}}
	for i := range targets {
		p.Targets = append(p.Targets, route.Target{
			Host: fmt.Sprintf("%s-%d", name, i), Address: "10.0.0.1:80", Slots: slots, Serving: true,
		})
	}
	return p
}

func tableOf(offset uint64, pools ...route.PoolTable) *route.Table {
	t := &route.Table{Offset: offset, Pools: make(map[string]route.PoolTable), Kinds: make(map[string]string)}
	for _, p := range pools {
		t.Pools[p.Name] = p
		for _, k := range p.Kinds {
			t.Kinds[k] = p.Name
		}
	}
	return t
}

type rig struct {
	*route.Router
	t *testing.T
}

func newRig(t *testing.T, limits route.Limits, pools ...route.PoolTable) *rig {
	r := &rig{Router: route.New(limits), t: t}
	t.Cleanup(r.Close)
	r.Apply(tableOf(1, pools...))
	r.acked(1)
	return r
}

var roomy = route.Limits{Queue: 100, BodyMemory: 1 << 20, RetryShare: 0.1}

// acked waits until an offset is in force in every pool.
func (r *rig) acked(offset uint64) route.Summary {
	r.t.Helper()
	var s route.Summary
	require.Eventually(r.t, func() bool {
		var err error
		s, err = r.Summary(context.Background())
		return err == nil && s.Offset >= offset
	}, 5*time.Second, 10*time.Millisecond)
	return s
}

func ask(kind string) route.SlotRequest {
	return route.SlotRequest{Kind: kind, Urgency: jobs.Normal, Deadline: time.Now().Add(10 * time.Second)}
}

func (r *rig) submit(a route.SlotRequest) (*route.Ticket, route.Reply) {
	r.t.Helper()
	t, err := r.Submit(context.Background(), a)
	require.NoError(r.t, err)
	return t, r.next(t)
}

func (r *rig) next(t *route.Ticket) route.Reply {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	reply, err := t.Next(ctx)
	require.NoError(r.t, err)
	return reply
}

// silent checks that a ticket gets no reply for a while.
func (r *rig) silent(t *route.Ticket) {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Millisecond)
	defer cancel()
	_, err := t.Next(ctx)
	require.ErrorIs(r.t, err, context.DeadlineExceeded)
}

func TestSlotsAreNeverPassedAndAreHandedOn(t *testing.T) {
	r := newRig(t, roomy, poolOf("docs", 2, 2))
	inUse := make(map[string]int)
	var grants []*route.Grant
	for range 4 {
		_, reply := r.submit(ask("docs"))
		require.NotNil(t, reply.Grant)
		inUse[reply.Grant.Host]++
		grants = append(grants, reply.Grant)
	}
	require.Equal(t, map[string]int{"docs-0": 2, "docs-1": 2}, inUse)
	waiting, reply := r.submit(ask("docs"))
	require.True(t, reply.Queued)
	r.silent(waiting)
	grants[0].Release(route.Result{Attempted: true, Duration: time.Millisecond})
	require.Equal(t, grants[0].Host, r.next(waiting).Grant.Host)
}

func TestRefusesAtOnceWhatCannotStartInTime(t *testing.T) {
	r := newRig(t, route.Limits{Queue: 2, BodyMemory: 100}, poolOf("docs", 1, 1), poolOf("empty", 0, 0))
	_, reply := r.submit(ask("empty"))
	require.NotEmpty(t, reply.Refused)
	require.True(t, reply.Full)
	_, reply = r.submit(ask("docs"))
	require.NotNil(t, reply.Grant)
	late := ask("docs")
	late.Deadline = time.Now().Add(time.Millisecond)
	_, reply = r.submit(late)
	require.Contains(t, reply.Refused, "deadline")
	require.Positive(t, reply.RetryAfter)
	big := ask("docs")
	big.BodyBytes = 80
	_, reply = r.submit(big)
	require.True(t, reply.Queued, "the first waiting body may be large")
	_, reply = r.submit(big)
	require.Contains(t, reply.Refused, "100 bytes, the limit")
	_, reply = r.submit(ask("docs"))
	require.True(t, reply.Queued)
	_, reply = r.submit(ask("docs"))
	require.Contains(t, reply.Refused, "2 requests wait, the limit")
}

func TestClosedQueueStillServesWhatFindsAFreeSlot(t *testing.T) {
	r := newRig(t, route.Limits{}, poolOf("docs", 1, 1))
	_, reply := r.submit(ask("docs"))
	require.NotNil(t, reply.Grant)
	_, reply = r.submit(ask("docs"))
	require.Contains(t, reply.Refused, "queue")
}

func TestDeadlinePassesWhileWaiting(t *testing.T) {
	r := newRig(t, roomy, poolOf("docs", 1, 1))
	_, first := r.submit(ask("docs"))
	short := ask("docs")
	short.Deadline = time.Now().Add(100 * time.Millisecond)
	waiting, reply := r.submit(short)
	require.True(t, reply.Queued)
	require.Contains(t, r.next(waiting).Refused, "deadline")
	first.Grant.Release(route.Result{})
}

func TestUrgentGoesFirstAndLowIsNotStarved(t *testing.T) {
	r := newRig(t, roomy, poolOf("docs", 1, 1))
	_, first := r.submit(ask("docs"))
	grant := first.Grant
	tickets := make(map[jobs.Urgency][]*route.Ticket)
	for range 20 {
		for _, u := range []jobs.Urgency{jobs.Low, jobs.Urgent} {
			a := ask("docs")
			a.Urgency = u
			ticket, _ := r.submit(a)
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

func TestFloodOfOneKindLeavesTheOtherItsTurn(t *testing.T) {
	p := poolOf("docs", 1, 1)
	p.Kinds = []string{"docs", "pay"}
	r := newRig(t, roomy, p)
	_, first := r.submit(ask("docs"))
	for range 50 {
		r.submit(ask("docs"))
	}
	pay, reply := r.submit(ask("pay"))
	require.True(t, reply.Queued)
	first.Grant.Release(route.Result{Attempted: true, Duration: time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := pay.Next(ctx)
	require.NoError(t, err, "the kinds of a pool take turns")
}

func TestCancelledRequestIsNeverGranted(t *testing.T) {
	r := newRig(t, roomy, poolOf("docs", 1, 1))
	_, first := r.submit(ask("docs"))
	gone, _ := r.submit(ask("docs"))
	next, _ := r.submit(ask("docs"))
	gone.Cancel()
	first.Grant.Release(route.Result{})
	granted := r.next(next).Grant
	require.NotNil(t, granted)
	r.silent(gone)
	// A ticket that is cancelled after its grant gives the slot back.
	late, _ := r.submit(ask("docs"))
	granted.Release(route.Result{})
	require.Eventually(t, func() bool {
		s, err := r.Summary(context.Background())
		return err == nil && s.Kinds[0].Queued == 0
	}, 5*time.Second, 10*time.Millisecond)
	late.Cancel()
	last, reply := r.submit(ask("docs"))
	if reply.Queued {
		reply = r.next(last)
	}
	require.NotNil(t, reply.Grant, "the slot is given back")
}

func TestHeldRequestWaitsForItsBody(t *testing.T) {
	r := newRig(t, roomy, poolOf("docs", 1, 1))
	held := ask("docs")
	held.Hold = true
	slow, reply := r.submit(held)
	require.True(t, reply.Queued)
	_, quick := r.submit(ask("docs"))
	require.NotNil(t, quick.Grant, "a request whose body is still coming holds no slot")
	require.NoError(t, slow.Ready(context.Background()))
	quick.Grant.Release(route.Result{})
	require.NotNil(t, r.next(slow).Grant)
}

// spareOf makes a spare pool.
func spareOf(slots, guard int) route.PoolTable {
	p := poolOf("spare", 1, slots)
	p.Spare, p.Guard = true, guard
	return p
}

func TestSparePoolLendsAboveItsGuardAndTakesBack(t *testing.T) {
	r := newRig(t, roomy, poolOf("docs", 1, 1), spareOf(4, 2))
	_, own := r.submit(ask("docs"))
	require.False(t, own.Grant.Lent())
	var lent []*route.Grant
	var waiting []*route.Ticket
	for range 4 {
		ticket, reply := r.submit(ask("docs"))
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
	r.silent(waiting[2])
	// The owner's requests use the guard at once, and wait for one lent slot at most.
	for range 2 {
		_, reply := r.submit(ask("spare"))
		require.NotNil(t, reply.Grant)
	}
	owner, reply := r.submit(ask("spare"))
	require.True(t, reply.Queued)
	lent[0].Release(route.Result{Attempted: true, Duration: time.Millisecond})
	require.NotNil(t, r.next(owner).Grant, "a lent slot goes back to its owner first")
	r.silent(waiting[2])
}

func TestHostOutOfServiceGetsNothingNewAndStaysBusyUntilDone(t *testing.T) {
	p := poolOf("docs", 2, 2)
	r := newRig(t, roomy, p)
	_, reply := r.submit(ask("docs"))
	out := reply.Grant.Host
	next := poolOf("docs", 2, 2)
	for i := range next.Targets {
		next.Targets[i].Serving = next.Targets[i].Host != out
	}
	r.Apply(tableOf(9, next))
	require.Equal(t, []string{out}, r.acked(9).Busy)
	for range 2 {
		_, other := r.submit(ask("docs"))
		require.NotEqual(t, out, other.Grant.Host)
	}
	reply.Grant.Release(route.Result{Attempted: true, Duration: time.Millisecond})
	require.Eventually(t, func() bool {
		s, err := r.Summary(context.Background())
		return err == nil && len(s.Busy) == 0
	}, 5*time.Second, 10*time.Millisecond)
}

func TestAvoidedHostGetsNothingNew(t *testing.T) {
	r := newRig(t, roomy, poolOf("docs", 2, 8))
	r.Avoid([]string{"docs-0"})
	time.Sleep(50 * time.Millisecond)
	for range 8 {
		_, reply := r.submit(ask("docs"))
		require.Equal(t, "docs-1", reply.Grant.Host)
	}
}

func TestFailingTargetIsLeftOutUnlessMostFail(t *testing.T) {
	run := func(r *rig, fails func(host string) bool) map[string]int {
		counts := make(map[string]int)
		for range 200 {
			_, reply := r.submit(ask("docs"))
			counts[reply.Grant.Host]++
			reply.Grant.Release(route.Result{Attempted: true, Failed: fails(reply.Grant.Host), Duration: time.Millisecond})
		}
		return counts
	}
	one := run(newRig(t, roomy, poolOf("docs", 4, 8)), func(host string) bool { return host == "docs-2" })
	require.Less(t, one["docs-2"], 30)
	most := run(newRig(t, roomy, poolOf("docs", 4, 8)), func(host string) bool { return host != "docs-0" })
	for _, host := range []string{"docs-1", "docs-2", "docs-3"} {
		require.Greater(t, most[host], 20, "none is left out when most fail")
	}
}

func TestRetryBudgetRunsOutAndIsEarnedBack(t *testing.T) {
	r := newRig(t, roomy, poolOf("docs", 1, 8))
	taken := 0
	for r.TakeRetry(context.Background(), "docs") {
		taken++
		require.Less(t, taken, 1000)
	}
	// Ten requests earn one retry; twenty leave no doubt about rounding.
	for range 20 {
		_, reply := r.submit(ask("docs"))
		reply.Grant.Release(route.Result{Attempted: true, Duration: time.Millisecond})
	}
	require.Eventually(t, func() bool { return r.TakeRetry(context.Background(), "docs") }, 5*time.Second, 10*time.Millisecond)
}

func TestSharesOfAllEntriesAreExactlyTheSlots(t *testing.T) {
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
