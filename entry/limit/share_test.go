package limit_test

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"carawaymux.dev/entry/limit"
	"carawaymux.dev/fleet/shed"
)

// Guards against requests on a link that are refused since callers hold all bytes for large reservations.
func TestSmallRequestsOnALinkAreHeldWhileLargeOnesHoldTheirShare(t *testing.T) {
	limits := small
	limits.Large = 1
	limits.Connections = map[shed.Listener]int{shed.Peers: 4}
	limiter := limit.Start(limits, shed.None{}, slog.New(slog.DiscardHandler))
	client, group := servePipe(t, limiter, shed.Peers, func(w http.ResponseWriter, r *http.Request) {
		for range 10 {
			if _, err := limit.TryHold(r.Context(), 4<<10); err != nil {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
		}
	})
	group.Go(func() error {
		_, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: e\r\n\r\n")
		return err
	})
	status, body := answer(client)
	require.Equal(t, http.StatusOK, status, body)
}

// Guards against requests of other entries that are refused since callers hold all bytes.
func TestRequestsOnALinkAreHeldWhileCallersHoldAllBytes(t *testing.T) {
	limits := small
	limits.Forwarded, limits.DecodeLinks = 2*maxBody, maxBody
	limits.Connections = map[shed.Listener]int{shed.Callers: 16, shed.Peers: 4}
	s := serve(t, limits, shed.None{}, time.Minute)
	s.send(t, post(maxBody, 1))
	s.send(t, post(maxBody, 1))
	s.awaitBytes(t, 2*maxBody+2)
	for _, size := range []int64{4 << 10, maxBody} {
		client, group := servePipe(t, s.Limiter, shed.Peers, func(w http.ResponseWriter, r *http.Request) {
			release, err := limit.TryHold(r.Context(), size)
			defer release()
			if err == nil {
				err = limit.Decode(r.Context(), maxBody, func() {})
			}
			if err != nil {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		})
		group.Go(func() error {
			_, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: e\r\n\r\n")
			return err
		})
		status, body := answer(client)
		require.Equal(t, http.StatusOK, status, body)
	}
	status, body := answer(s.send(t, post(maxBody, maxBody)))
	require.Equal(t, http.StatusServiceUnavailable, status, "callers take none of the bytes of links: "+body)
}

// endless is a reader without an end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// Guards against senders of frames without an end who all wait for more bytes and keep what they hold, and against such who take
// what callers need.
func TestFramesWithoutAnEndKeepNoBytes(t *testing.T) {
	const frame, links = 8 << 20, 4
	limits := small
	limits.Frames = 3 << 20
	limits.Connections = map[shed.Listener]int{shed.Callers: 16, shed.Peers: 16}
	s := serve(t, limits, shed.LeastProgress{}, time.Minute)
	request := func(body func() io.Reader) (net.Conn, *errgroup.Group) {
		client, group := servePipe(t, s.Limiter, shed.Peers, func(w http.ResponseWriter, r *http.Request) {
			_, release, err := limit.ReadMessage(r.Context(), body(), frame, func() {})
			defer release()
			if err != nil {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		})
		group.Go(func() error {
			_, err := io.WriteString(client, "GET / HTTP/1.1\r\nHost: e\r\n\r\n")
			return err
		})
		return client, group
	}
	var waiting []net.Conn
	for range links {
		c, _ := request(func() io.Reader { return endless{} })
		waiting = append(waiting, c)
	}
	for _, c := range waiting {
		// Each would wait for as long as the largest frame may take to arrive, 99 s.
		require.NoError(t, c.SetReadDeadline(time.Now().Add(20*time.Second)))
		status, body := answer(c)
		require.Equal(t, http.StatusServiceUnavailable, status, body)
	}
	status, body := answer(s.send(t, post(maxBody, maxBody)))
	require.Equal(t, http.StatusOK, status, body)
	c, _ := request(func() io.Reader { return strings.NewReader(strings.Repeat("x", 1<<20)) })
	status, body = answer(c)
	require.Equal(t, http.StatusOK, status, body)
}
