package shard_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// newOwnerWithAdvice returns an owner whose queue needs advice.
func newOwnerWithAdvice(t *testing.T, hosts ...string) *owner {
	t.Helper()
	o := newOwner(t, 1, hosts...)
	o.HasPolicyService = true
	o.Configure(&port.Config{
		Queues: []port.Queue{{
			Name: "q", Pool: "pool", MaxAttempts: 3, Stretch: 2, Target: time.Second,
			Advice: &port.Advice{Decision: 10 * time.Millisecond, PerHost: time.Millisecond, Valid: 3 * time.Second},
		}},
		Pools: []port.Pool{{Name: "pool", EnforcesCapacity: true}},
	})
	return o
}

// advise asks a question, and answers it with tickets for some hosts.
func (o *owner) advise(tickets map[string]string) shard.Question {
	o.t.Helper()
	require.Empty(o.t, o.plan(), "nothing can start yet")
	q, ok := shard.NextQuestion(o.State, shard.BySlack{}, o.now)
	require.True(o.t, ok)
	o.HandleAdvice(q, port.Approval{Tickets: tickets, Validity: 3 * time.Second}, nil, o.now)
	return q
}

func TestWorkThatNeedsAdviceStartsOnApprovedHostsWithTheirTickets(t *testing.T) {
	o := newOwnerWithAdvice(t, "a", "b")
	o.submit("job", smallStep(2))
	require.Empty(t, o.plan(), "no host is known to be approved")
	q := o.advise(map[string]string{"b": "t-b"})
	require.ElementsMatch(t, []string{"a", "b"}, q.Hosts)
	orders := o.plan()
	require.Len(t, orders, 2)
	for _, order := range orders {
		require.Equal(t, "b", order.Host)
		require.Equal(t, "t-b", order.Ticket)
	}
	o.advance(time.Second)
	_, ok := shard.NextQuestion(o.State, shard.BySlack{}, o.now)
	require.False(t, ok, "no step waits for a host")
}

func TestATicketIsValidForItsTimeAndInstance(t *testing.T) {
	o := newOwnerWithAdvice(t, "a")
	o.submit("job", smallStep(1))
	o.advise(map[string]string{"a": "t-1"})
	o.advance(2900 * time.Millisecond)
	o.report("a")
	require.Empty(t, o.plan(), "the ticket expires before a start can be carried out")
	require.Equal(t, []string{"a"}, o.advise(map[string]string{"a": "t-2"}).Hosts)
	o.HandleReport("a", &port.HostReport{Clock: 1, Born: 2}, o.now)
	o.advance(time.Second)
	o.report("a")
	o.HandleReport("a", &port.HostReport{Clock: 1000, Born: 2}, o.now)
	o.advance(time.Millisecond)
	require.Empty(t, o.plan(), "the host has restarted")
	o.advise(map[string]string{"a": "t-3"})
	orders := o.plan()
	require.Len(t, orders, 1)
	require.Equal(t, "t-3", orders[0].Ticket)
}

func TestAHostThatMayNotRunAStepIsNotAskedAboutAgain(t *testing.T) {
	o := newOwnerWithAdvice(t, "a", "b")
	o.submit("job", smallStep(8))
	o.advise(map[string]string{"b": "t-b"})
	require.Len(t, o.start(), 4, "as many as fit on the approved host")
	o.advance(time.Second)
	o.report("a")
	_, ok := shard.NextQuestion(o.State, shard.BySlack{}, o.now)
	require.False(t, ok)
	o.addHost("c")
	require.Equal(t, []string{"c"}, o.advise(map[string]string{"c": "t-c"}).Hosts)
	require.Len(t, o.start(), 4)
}

func TestAQuestionWithoutAnAnswerIsRepeatedAfterAPause(t *testing.T) {
	o := newOwnerWithAdvice(t, "a")
	o.submit("job", smallStep(1))
	require.Empty(t, o.plan())
	q, ok := shard.NextQuestion(o.State, shard.BySlack{}, o.now)
	require.True(t, ok)
	_, ok = shard.NextQuestion(o.State, shard.BySlack{}, o.now)
	require.False(t, ok, "one question at a time")
	o.HandleAdvice(q, port.Approval{}, port.ErrBusy, o.now)
	_, ok = shard.NextQuestion(o.State, shard.BySlack{}, o.now)
	require.False(t, ok)
	o.advance(400 * time.Millisecond)
	o.advise(map[string]string{"a": "t-a"})
	require.Len(t, o.plan(), 1)
}

func TestATicketThatTheHostRefusesIsAskedForAgain(t *testing.T) {
	o := newOwnerWithAdvice(t, "a")
	o.submit("job", smallStep(1))
	o.advise(map[string]string{"a": "t-1"})
	orders := o.plan()
	require.Len(t, orders, 1)
	require.True(t, o.HandleStartResult(&orders[0], o.clock, &port.RefusedError{Reason: port.RefusedTicket}, o.now))
	require.Empty(t, o.plan())
	o.advance(time.Second)
	o.report("a")
	o.advise(map[string]string{"a": "t-2"})
	orders = o.plan()
	require.Len(t, orders, 1)
	require.Equal(t, "t-2", orders[0].Ticket)
}

func TestWithoutAPolicyServiceWorkStartsWithoutTickets(t *testing.T) {
	o := newOwnerWithAdvice(t, "a")
	o.HasPolicyService = false
	o.submit("job", smallStep(1))
	orders := o.plan()
	require.Len(t, orders, 1)
	require.Empty(t, orders[0].Ticket)
}

func TestAGangNeedsATicketForEachHost(t *testing.T) {
	o := newOwnerWithAdvice(t, "a", "b", "c")
	gang := smallStep(6)
	gang.Gang = true
	o.submit("job", gang)
	o.advise(map[string]string{"a": "t-a"})
	require.Empty(t, o.plan(), "four of six members fit")
	o.addHost("d")
	o.advance(time.Second)
	for _, h := range []string{"a", "b", "c", "d"} {
		o.report(h)
	}
	require.Equal(t, []string{"d"}, o.advise(map[string]string{"d": "t-d"}).Hosts)
	orders := o.plan()
	require.Len(t, orders, 6)
	for _, order := range orders {
		require.Equal(t, "t-"+order.Host, order.Ticket)
	}
}

// Guards against a long-running task that does not run, with room for it on a host that counts as unhealthy (LOST): the
// policy service was not asked about it.
func TestLongRunningWorkThatNeedsAdviceRunsOnUnhealthyHostsIfNoOtherTakesIt(t *testing.T) {
	o := newOwnerWithAdvice(t, "a", "b")
	o.submit("serves", longRunningStep(1, 0, 0))
	o.Hosts["b"].UnhealthyUntil = o.now.Add(time.Minute)
	require.Equal(t, []string{"a"}, o.advise(nil).Hosts, "healthy hosts first")
	o.advance(400 * time.Millisecond)
	require.Equal(t, []string{"b"}, o.advise(map[string]string{"b": "t-b"}).Hosts)
	starts := o.start()
	require.Len(t, starts, 1)
	require.Equal(t, "b", starts[0].Host)
	require.Equal(t, "t-b", starts[0].Ticket)
}

// Guards against questions about hosts on which the answer has no effect.
func TestNoAdviceIsAskedAboutUnhealthyHostsForWorkThatEnds(t *testing.T) {
	o := newOwnerWithAdvice(t, "a", "b")
	gang := longRunningStep(2, 0, 0)
	gang.Gang = true
	o.submit("ends", smallStep(1))
	o.submit("gang", gang)
	o.Hosts["b"].UnhealthyUntil = o.now.Add(time.Minute)
	for range 2 {
		require.Equal(t, []string{"a"}, o.advise(nil).Hosts)
	}
	o.advance(400 * time.Millisecond)
	_, ok := shard.NextQuestion(o.State, shard.BySlack{}, o.now)
	require.False(t, ok)
}
