package peers_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/limit"
	"carawaymux.dev/entry/owner"
	"carawaymux.dev/entry/peers"
	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/shed"
)

// Guards against frames, whole or not, that end the server or leave bytes reserved.
func FuzzFrames(f *testing.F) {
	raw, err := codec.EncodeFrame(peers.Frame{ID: 1, Request: &peers.Request{Pool: "p", Verb: peers.VerbPending}})
	require.NoError(f, err)
	// The masking key is zero.
	frame := append([]byte{0x82, 0x80 | byte(len(raw)), 0, 0, 0, 0}, raw...)
	f.Add(frame)
	f.Add(frame[:len(frame)-3])
	f.Add([]byte{0x02, 0x80 | 127, 0, 0, 0, 0, 0, 0x7f, 0xff, 0xff, 0, 0, 0, 0, 1, 2, 3})
	f.Add([]byte{0x42, 0x81, 0, 0, 0, 0, 1})
	limiter := limit.Start(shed.Derive(shed.Process{}), shed.LeastProgress{}, slog.New(slog.DiscardHandler))
	f.Cleanup(limiter.Close)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f, err)
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: peers.Handler(slog.New(slog.DiscardHandler), func(context.Context, peers.Request) owner.Answer {
		return owner.Answer{Outcome: owner.Found}
	})}
	limiter.Serve(server, 16<<10)
	served := make(chan error, 1)
	go func() { served <- server.Serve(limiter.Listen(shed.Peers, l)) }()
	f.Cleanup(func() {
		server.Close()
		<-served
	})
	const upgrade = "GET " + peers.Path + " HTTP/1.1\r\nHost: e\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\n" +
		"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"
	f.Fuzz(func(t *testing.T, raw []byte) {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		// An error means that the server has closed the connection.
		_, _ = io.WriteString(c, upgrade+string(raw))
		c.Close()
		require.Eventually(t, func() bool {
			totals, err := limiter.Totals(t.Context())
			return err == nil && totals.Small+totals.Large == 0
		}, 20*time.Second, time.Millisecond)
	})
}
