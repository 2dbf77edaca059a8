package invoke_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/dedup"
	"carawaymux.dev/entry/invoke"
	"carawaymux.dev/entry/link"
	"carawaymux.dev/entry/member"
	"carawaymux.dev/entry/relay"
	"carawaymux.dev/entry/route"
	"carawaymux.dev/entry/work"
	"carawaymux.dev/fleet/jobs"
	"carawaymux.dev/fleet/wire"
)

// fakeTarget handles its first request with a function and then accepts no more connections.
type fakeTarget struct {
	*httptest.Server
	runs atomic.Int64
}

func newFakeTarget(t *testing.T, first http.HandlerFunc) *fakeTarget {
	target := &fakeTarget{}
	target.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		target.runs.Add(1)
		require.NoError(t, target.Listener.Close())
		first(w, r)
	}))
	t.Cleanup(target.Close)
	return target
}

// breakConnection closes the connection of a request without a response.
func breakConnection(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		conn.Close()
	}
}

// failRequest answers that the request failed on the target. The connection is not used again.
func failRequest(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusInternalServerError)
}

// newInvoker returns an invoker for a pool with one target that serves the kind docs.
func newInvoker(t *testing.T, address string, opts ...invoke.Option) *invoke.Invoker {
	invoker, _ := newInvokerOf(t, []route.Target{{Host: "h", Address: address, Slots: 2, Serving: true}}, opts...)
	return invoker
}

// newInvokerOf returns an invoker for a pool that serves the kind docs, and its router.
func newInvokerOf(t *testing.T, targets []route.Target, opts ...invoke.Option) (*invoke.Invoker, *route.Router) {
	router := route.New(route.Limits{Queue: 10, BodyMemory: 1 << 20, RetryShare: 0.1})
	registry := dedup.New()
	dialer := &link.Dialer{Client: http.DefaultClient, Scheme: "ws", Token: func() string { return "" }}
	members := member.New(member.Row{Name: "self", Zone: "z", Incarnation: 1},
		[]member.PeerConfig{{Name: "peer", Zone: "z", Address: "127.0.0.1:1"}}, dialer, member.WithLogger(slog.New(slog.DiscardHandler)))
	client := relay.NewClient(dialer, 1<<20)
	invoker := invoke.New("self", "z", 1, invoke.Dependencies{Router: router, Registry: registry, Members: members, Relay: client}, opts...)
	t.Cleanup(func() {
		invoker.Close()
		client.Close()
		members.Close()
		registry.Close()
		router.Close()
	})
	pool := route.PoolTable{
		Name: "docs", Kinds: []string{"docs"}, Zones: map[string]int{"z": len(targets)}, Targets: targets,
	}
	router.Apply(&route.Table{Offset: 1, Pools: map[string]route.PoolTable{"docs": pool}, Kinds: map[string]string{"docs": "docs"}})
	require.Eventually(t, func() bool {
		s, err := router.Summary(context.Background())
		return err == nil && s.Offset >= 1
	}, 5*time.Second, 5*time.Millisecond)
	return invoker, router
}

func run(v *invoke.Invoker) work.Answer {
	deadline := time.Now().Add(5 * time.Second)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	r := work.Request{ID: "x", Kind: "docs", Urgency: jobs.Normal, Deadline: deadline, Idempotent: true}
	return v.Do(ctx, r.WithBody([]byte("body")))
}

// Guards against not-run for a request that ran. The connection broke after the target had begun to
// run the request, and no later attempt reached a target.
func TestARequestThatMayHaveRunIsNotAnsweredAsNotRunAfterALaterAttempt(t *testing.T) {
	target := newFakeTarget(t, breakConnection)
	a := run(newInvoker(t, target.Listener.Addr().String()))
	require.EqualValues(t, 1, target.runs.Load())
	require.Equal(t, wire.Unknown, a.Outcome, a.Reason)
}

// Guards against not-run for a request that a target has answered with a server error, when no later
// attempt reached a target.
func TestAFailedRequestKeepsTheAnswerOfItsTargetWhenNoLaterAttemptRuns(t *testing.T) {
	target := newFakeTarget(t, failRequest)
	a := run(newInvoker(t, target.Listener.Addr().String()))
	require.EqualValues(t, 1, target.runs.Load())
	require.Equal(t, wire.Done, a.Outcome, a.Reason)
	require.Equal(t, http.StatusInternalServerError, a.Status)
}

func TestARequestThatNoAttemptSendsIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	a := run(newInvoker(t, l.Addr().String()))
	require.Equal(t, wire.NotRun, a.Outcome)
}

// Guards against not-run for a copy of a non-idempotent request that does not reach the owner of its
// ID, although an earlier copy may have run there.
func TestACopyThatDoesNotReachTheOwnerOfItsIDHasAnUnknownOutcome(t *testing.T) {
	invoker := newInvoker(t, "127.0.0.1:1")
	deadline := time.Now().Add(5 * time.Second)
	request := func(owner string) work.Request {
		id := dedup.NewID(owner, 1, time.Now()).String()
		return work.Request{ID: id, Kind: "docs", Urgency: jobs.Normal, Deadline: deadline}.WithBody(nil)
	}
	unreadable := request("peer")
	unreadable.ReadBody = func() ([]byte, error) { return nil, errors.New("the caller has gone") }
	unknownKind := request("peer")
	unknownKind.Kind = "letters"
	for name, r := range map[string]work.Request{
		"the owner cannot be reached":                request("peer"),
		"the owner is no longer in the settings":     request("removed"),
		"the body cannot be read":                    unreadable,
		"the kind is no longer in the configuration": unknownKind,
	} {
		t.Run(name, func(t *testing.T) {
			a := invoker.Do(t.Context(), r)
			require.Equal(t, wire.Unknown, a.Outcome, a.Reason)
		})
	}
	t.Run("the deadline has passed", func(t *testing.T) {
		expired, cancel := context.WithCancel(t.Context())
		cancel()
		a := invoker.Do(expired, request("peer"))
		require.Equal(t, wire.Unknown, a.Outcome, a.Reason)
	})
}

// Guards against an unknown outcome of a request that waits for a slot when the entry stops: a slot that
// a cancelled request releases must not be used for it.
func TestARequestThatWaitsWhenTheEntryStopsIsNotRun(t *testing.T) {
	var runs atomic.Int64
	running := make(chan struct{}, 4)
	target := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		running <- struct{}{}
		<-r.Context().Done()
	}))
	defer target.Close()
	base, stop := context.WithCancelCause(t.Context())
	invoker := newInvoker(t, target.Listener.Addr().String(), invoke.WithBaseContext(base))
	do := func(ctx context.Context, answers chan<- work.Answer) {
		r := work.Request{ID: "x", Kind: "docs", Urgency: jobs.Normal, Deadline: time.Now().Add(time.Minute), Idempotent: true}
		answers <- invoker.Do(ctx, r.WithBody(nil))
	}
	// The target has two slots.
	cancelled, cancel := context.WithCancel(t.Context())
	lost, answer := make(chan work.Answer, 2), make(chan work.Answer, 1)
	for range 2 {
		go do(cancelled, lost)
		<-running
	}
	// The context of this request is not done yet when the slots are released.
	later, end := context.WithTimeout(t.Context(), 5*time.Second)
	defer end()
	go do(later, answer)
	stop(work.ErrStopping)
	cancel()
	require.Equal(t, wire.Unknown, (<-lost).Outcome)
	require.Equal(t, wire.Unknown, (<-lost).Outcome)
	a := <-answer
	require.Equal(t, wire.NotRun, a.Outcome, a.Reason)
	require.Contains(t, a.Reason, "the entry stopped")
	require.EqualValues(t, 2, runs.Load())
}

// Guards against a request that spends all of its attempts on a target that is down, while the slots of
// another one are only in use.
func TestARequestThatATargetRefusedWaitsForAnotherTarget(t *testing.T) {
	running, release := make(chan struct{}, 2), make(chan struct{})
	live := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		running <- struct{}{}
		<-release
	}))
	defer live.Close()
	down, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, down.Close())
	invoker, router := newInvokerOf(t, []route.Target{
		{Host: "live", Address: live.Listener.Addr().String(), Slots: 1, Serving: true},
		{Host: "down", Address: down.Addr().String(), Slots: 1, Serving: true},
	})
	first, second := make(chan work.Answer, 1), make(chan work.Answer, 1)
	go func() { first <- run(invoker) }()
	<-running
	go func() { second <- run(invoker) }()
	require.Eventually(t, func() bool {
		s, err := router.Summary(t.Context())
		return err == nil && s.Kinds[0].Queued == 1 || len(second) == 1
	}, 5*time.Second, time.Millisecond)
	close(release)
	for _, answers := range []chan work.Answer{first, second} {
		a := <-answers
		require.Equal(t, wire.Done, a.Outcome, a.Reason)
		require.Equal(t, "live", a.Target)
	}
}

// Guards against a request that spends all of its attempts on targets which have gone down together, while
// another one has a free slot.
func TestARequestIsNotGivenUpWhenManyTargetsHaveGoneDownTogether(t *testing.T) {
	live := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer live.Close()
	down, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, down.Close())
	targets := []route.Target{{Host: "live", Address: live.Listener.Addr().String(), Slots: 1, Serving: true}}
	for i := range 30 {
		targets = append(targets, route.Target{Host: fmt.Sprintf("down-%d", i), Address: down.Addr().String(), Slots: 1, Serving: true})
	}
	// Targets are drawn at random.
	for range 5 {
		invoker, _ := newInvokerOf(t, targets)
		a := run(invoker)
		require.Equal(t, wire.Done, a.Outcome, a.Reason)
	}
}

// Guards against requests whose bodies do not arrive and that keep the slots of targets, or the places in the queue, from others.
func TestRequestsWhoseBodiesDoNotArriveTakeNoSlots(t *testing.T) {
	const stalled = 20
	target := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(target.Close)
	invoker := newInvoker(t, target.Listener.Addr().String())
	deadline := time.Now().Add(time.Minute)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	arrive, reading := make(chan struct{}), make(chan struct{}, 2*stalled)
	answers := make(chan work.Answer, 2*stalled)
	for _, size := range []int{100, 100 << 10} {
		for range stalled {
			r := work.Request{ID: "x", Kind: "docs", Urgency: jobs.Normal, Deadline: deadline, Idempotent: true, BodySize: size}
			r.ReadBody = func() ([]byte, error) {
				reading <- struct{}{}
				<-arrive
				return nil, errors.New("the client has gone")
			}
			go func() { answers <- invoker.Do(ctx, r) }()
		}
	}
	for range 2 * stalled {
		<-reading
	}
	a := run(invoker)
	require.Equal(t, wire.Done, a.Outcome, a.Reason)
	close(arrive)
	for range 2 * stalled {
		a := <-answers
		require.Equal(t, wire.NotRun, a.Outcome, a.Reason)
	}
}
