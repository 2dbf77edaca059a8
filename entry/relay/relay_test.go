package relay_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"carawaymux.dev/entry/link"
	"carawaymux.dev/entry/relay"
	"carawaymux.dev/entry/work"
	"carawaymux.dev/fleet/jobs"
	"carawaymux.dev/fleet/wire"
)

const incarnation = 7

// newPair starts a relay server with a handler, and a client for it.
func newPair(t *testing.T, handle work.Handler) (*relay.Client, relay.Peer, *httptest.Server) {
	server := relay.NewServer(handle, incarnation, 1<<20, slog.New(slog.DiscardHandler))
	client, peer, listener := connect(t, server)
	t.Cleanup(server.Close)
	return client, peer, listener
}

// connect starts a client for a server. The caller closes the server.
func connect(t *testing.T, server *relay.Server) (*relay.Client, relay.Peer, *httptest.Server) {
	listener := httptest.NewServer(server)
	client := relay.NewClient(&link.Dialer{Client: http.DefaultClient, Scheme: "ws", Token: func() string { return "" }}, 1<<20)
	t.Cleanup(func() {
		client.Close()
		listener.Close()
	})
	return client, relay.Peer{Name: "e", Address: strings.TrimPrefix(listener.URL, "http://"), Incarnation: incarnation}, listener
}

func request(id string) work.Request {
	return work.Request{ID: id, Kind: "docs", Urgency: jobs.Normal, Deadline: time.Now().Add(5 * time.Second), Idempotent: true}
}

// echo answers with the ID and body of the request. It delays some answers, so that they arrive out of
// order.
func echo(_ context.Context, r work.Request) work.Answer {
	body, _ := r.ReadBody()
	if len(r.ID)%2 == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	return work.Answer{Outcome: wire.Done, Status: 200, Body: append([]byte(r.ID+":"), body...)}
}

func TestEachRequestGetsItsOwnCompleteAnswer(t *testing.T) {
	client, peer, _ := newPair(t, echo)
	var group errgroup.Group
	for i := range 60 {
		group.Go(func() error {
			id := strings.Repeat("i", 1+i%7) + fmt.Sprint(i)
			body := bytes.Repeat([]byte{byte('a' + i%26)}, i*5000)
			a, err := client.Do(context.Background(), peer, "docs", request(id), body)
			require.NoError(t, err)
			require.Equal(t, wire.Done, a.Outcome, a.Reason)
			require.Equal(t, id+":"+string(body), string(a.Body))
			return nil
		})
	}
	require.NoError(t, group.Wait())
}

func TestNotSentIsDistinguishedFromUnknownOutcome(t *testing.T) {
	started := make(chan struct{})
	client, peer, listener := newPair(t, func(ctx context.Context, _ work.Request) work.Answer {
		close(started)
		<-ctx.Done()
		return work.Unknown("cancelled")
	})
	_, err := client.Do(context.Background(), relay.Peer{Address: "127.0.0.1:1"}, "docs", request("x"), nil)
	require.ErrorIs(t, err, relay.ErrNotSent)
	answer := make(chan work.Answer, 1)
	go func() {
		a, _ := client.Do(context.Background(), peer, "docs", request("y"), []byte("b"))
		answer <- a
	}()
	<-started
	listener.CloseClientConnections()
	require.Equal(t, wire.Unknown, (<-answer).Outcome)
}

func TestAbandonedRequestIsCancelledAndItsLateAnswerDropped(t *testing.T) {
	cancelled := make(chan struct{})
	client, peer, _ := newPair(t, func(ctx context.Context, _ work.Request) work.Answer {
		<-ctx.Done()
		close(cancelled)
		return work.Answer{Outcome: wire.Done, Body: []byte("late")}
	})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	a, err := client.Do(ctx, peer, "docs", request("x"), nil)
	require.NoError(t, err)
	require.Equal(t, wire.Unknown, a.Outcome)
	<-cancelled
	require.Eventually(t, func() bool { return client.DroppedAnswers() > 0 }, 5*time.Second, 10*time.Millisecond)
}

func TestRequestForOtherIncarnationIsNotRun(t *testing.T) {
	client, peer, _ := newPair(t, func(context.Context, work.Request) work.Answer {
		t.Error("the request ran")
		return work.Answer{}
	})
	peer.Incarnation++
	r := request("x")
	a, err := client.Do(context.Background(), peer, "docs", r, nil)
	require.NoError(t, err)
	require.Equal(t, wire.NotRun, a.Outcome)
	r.Idempotent = false
	a, err = client.Do(context.Background(), peer, "docs", r, nil)
	require.NoError(t, err)
	require.Equal(t, wire.Unknown, a.Outcome, "a copy may have run in the earlier incarnation")
}

func TestBodyOverTheLimitIsRefused(t *testing.T) {
	client, peer, _ := newPair(t, echo)
	a, err := client.Do(context.Background(), peer, "docs", request("x"), make([]byte, 2<<20))
	require.NoError(t, err)
	require.Equal(t, wire.NotRun, a.Outcome)
	require.Contains(t, a.Reason, "limit")
}

// Guards against not-run for a copy of a non-idempotent request that the owner of its ID refuses before
// it looks for an earlier copy, which may have run.
func TestRefusedCopyOfANonIdempotentRequestHasAnUnknownOutcome(t *testing.T) {
	client, peer, _ := newPair(t, echo)
	r := request("x")
	r.Idempotent = false
	a, err := client.Do(context.Background(), peer, "docs", r, make([]byte, 2<<20))
	require.NoError(t, err)
	require.Equal(t, wire.Unknown, a.Outcome)
	require.Contains(t, a.Reason, "limit")
	r.Deduplicated = true
	a, err = client.Do(context.Background(), peer, "docs", r, make([]byte, 2<<20))
	require.NoError(t, err)
	require.Equal(t, wire.NotRun, a.Outcome, "the sender has ensured that there is no other copy")
}
