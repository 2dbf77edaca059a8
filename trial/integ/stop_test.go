package integ

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/budget"
	"carawaymux.dev/fleet/client"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wire"
	"carawaymux.dev/trial/load"
	"carawaymux.dev/trial/site"
	"carawaymux.dev/trial/target"
)

// oneEntry returns a plan with one entry and one host, whose requests hang, and a short stop.
func oneEntry() site.Plan {
	return site.Plan{
		Zones: []string{zoneA}, EntriesPerZone: 1, ListLag: 100 * time.Millisecond,
		Pools: []site.Pool{{
			Name: "documents", Zones: map[string]int{zoneA: 1}, Budget: budget.Spec{MaxUnavailable: 1},
			RunTime: 5 * time.Millisecond,
		}},
		Settings: map[string][]string{"entry": {"drain-delay = 500ms", "stop-timeout = 2s"}},
	}
}

// Guards against a connection that is closed with no answer when the deadline of its request is later
// than the end of the entry.
func TestAStoppingEntryAnswersRequestsWhoseDeadlineIsLaterThanTheStop(t *testing.T) {
	f := start(t, oneEntry())
	for _, host := range f.hostsOf("documents", "") {
		require.NoError(t, f.SetBehaviour(f.ctx, host, target.Behaviour{Mode: target.Hang}))
	}
	entry := f.Entries[0]
	caller := client.New("http://"+entry.HTTP, client.WithHTTP(load.NewHTTPClient()))
	// The host has eight slots, so some of the requests wait in the queue.
	const count = 12
	type answer struct {
		client.Response
		err error
	}
	answers := make(chan answer, count)
	for range count {
		go func() {
			a, err := caller.Do(f.ctx, client.Request{
				Kind: "documents", ID: record.NewID().String(), Idempotent: true, Deadline: time.Minute, Body: []byte("x"),
			})
			answers <- answer{a, err}
		}()
	}
	f.eventually("requests run and wait", 10*time.Second, func(ctx context.Context) error {
		s, err := entry.Client.Status(ctx)
		if err != nil {
			return err
		}
		if len(s.Kinds) != 1 || s.Kinds[0].Running != 8 || s.Kinds[0].Queued != count-8 {
			return fmt.Errorf("kinds: %+v", s.Kinds)
		}
		return nil
	})
	stopped := make(chan error, 1)
	go func() { stopped <- entry.Proc.Stop() }()
	outcomes := make(map[wire.Outcome]int)
	for range count {
		a := <-answers
		require.NoError(t, a.err)
		require.Contains(t, a.Reason, "stop")
		outcomes[a.Outcome]++
	}
	require.Equal(t, map[wire.Outcome]int{wire.Unknown: 8, wire.NotRun: count - 8}, outcomes)
	require.NoError(t, <-stopped)
}

// Guards against an entry that ends later than its stop timeout because of a request that another entry
// has forwarded to it.
func TestAStoppingEntryEndsInTimeWithForwardedRequestsInFlight(t *testing.T) {
	p := oneEntry()
	p.Zones = []string{zoneA, zoneB}
	f := start(t, p)
	for _, host := range f.hostsOf("documents", "") {
		require.NoError(t, f.SetBehaviour(f.ctx, host, target.Behaviour{Mode: target.Hang}))
	}
	// Documents run in zone A only, so the entry of zone B forwards its requests.
	owner, other := f.entry(zoneA+"-e1"), f.entry(zoneB+"-e1")
	answered := make(chan client.Response, 1)
	go func() {
		a, _ := other.Client.Do(f.ctx, client.Request{
			Kind: "documents", ID: record.NewID().String(), Idempotent: true, Deadline: time.Minute, Body: []byte("x"),
		})
		answered <- a
	}()
	f.eventually("the request runs", 10*time.Second, func(ctx context.Context) error {
		s, err := owner.Client.Status(ctx)
		if err != nil {
			return err
		}
		if len(s.Kinds) != 1 || s.Kinds[0].Running != 1 {
			return fmt.Errorf("kinds: %+v", s.Kinds)
		}
		return nil
	})
	require.NoError(t, owner.Proc.Stop())
	require.Equal(t, wire.Unknown, (<-answered).Outcome)
}

// Guards against an ID that cannot be used once the stopping entry that has issued it has ended.
func TestAnIDIssuedByAStoppingEntryCanBeUsedAfterItsEnd(t *testing.T) {
	p := oneEntry()
	p.EntriesPerZone = 2
	p.Settings = map[string][]string{"entry": {"drain-delay = 2s"}}
	f := start(t, p)
	stopping, other := f.Entries[0], f.Entries[1]
	f.eventually("the entries know each other", 5*time.Second, func(ctx context.Context) error {
		members, err := stopping.Client.Members(ctx)
		if err == nil && !slices.ContainsFunc(members, func(m wire.Member) bool { return m.Name == other.Name && m.State == "live" }) {
			err = fmt.Errorf("members: %+v", members)
		}
		return err
	})
	stopped := make(chan error, 1)
	go func() { stopped <- stopping.Proc.Stop() }()
	f.eventually("the entry is stopping", 5*time.Second, func(ctx context.Context) error {
		if stopping.Client.Ready(ctx) == nil {
			return errors.New("it is ready")
		}
		return nil
	})
	id, err := stopping.Client.IssueID(f.ctx, "documents")
	require.NoError(t, err)
	require.NoError(t, <-stopped)
	a, err := other.Client.Do(f.ctx, client.Request{Kind: "documents", ID: id, Deadline: 3 * time.Second, Body: []byte("x")})
	require.NoError(t, err)
	require.Equal(t, wire.Done, a.Outcome, a.Reason)
}

// Guards against a connection that is closed with no answer under a request which arrives after the entry
// has stopped listening, on a connection that was opened before.
func TestAStoppingEntryAnswersRequestsThatArriveOnNewConnections(t *testing.T) {
	f := start(t, oneEntry())
	for _, host := range f.hostsOf("documents", "") {
		require.NoError(t, f.SetBehaviour(f.ctx, host, target.Behaviour{Mode: target.Hang}))
	}
	entry := f.Entries[0]
	// A request in flight keeps the entry from ending at once.
	go func() {
		_, _ = entry.Client.Do(f.ctx, client.Request{
			Kind: "documents", ID: record.NewID().String(), Idempotent: true, Deadline: time.Minute, Body: []byte("x"),
		})
	}()
	f.eventually("the request runs", 10*time.Second, func(ctx context.Context) error {
		s, err := entry.Client.Status(ctx)
		if err == nil && (len(s.Kinds) != 1 || s.Kinds[0].Running != 1) {
			err = fmt.Errorf("kinds: %+v", s.Kinds)
		}
		return err
	})
	header := "GET " + wire.PathLive + " HTTP/1.1\r\nHost: " + entry.HTTP + "\r\n\r\n"
	dial := func(sent int) net.Conn {
		c, err := net.Dial("tcp", entry.HTTP)
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		_, err = io.WriteString(c, header[:sent])
		require.NoError(t, err)
		return c
	}
	conns := map[int]net.Conn{0: dial(0), 20: dial(20)}
	stopped := make(chan error, 1)
	go func() { stopped <- entry.Proc.Stop() }()
	f.eventually("the entry has stopped listening", 5*time.Second, func(context.Context) error {
		if reachable(entry.HTTP) {
			return errors.New("it listens")
		}
		return nil
	})
	for sent, c := range conns {
		_, err := io.WriteString(c, header[sent:])
		require.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err, "with %d bytes sent before the stop", sent)
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.NoError(t, response.Body.Close())
	}
	require.NoError(t, <-stopped)
}
