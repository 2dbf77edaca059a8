package crowd_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/trial/crowd"
	"carawaymux.dev/trial/fake"
	"carawaymux.dev/trial/procs"
)

// headStatus sends a request for the number of waiting jobs with a head of some size, and returns the status.
func headStatus(c net.Conn, t crowd.Target, size int) (int, error) {
	begin := "GET " + fake.QueuePath(pool) + " HTTP/1.1\r\nHost: " + t.Host + "\r\nX-Long: "
	if _, err := fmt.Fprint(c, begin+strings.Repeat("x", size-len(begin)-4)+"\r\n\r\n"); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// publish publishes a configuration with limits of requests.
func publish(t *testing.T, d *fake.Deployment, version, body, head int) {
	t.Helper()
	config := fake.Config(version, fake.Layout{Pools: map[string]int{pool: 2}})
	config["limits"] = map[string]int{"max_body_bytes": body, "max_header_bytes": head}
	require.NoError(t, d.Publish("config", config))
}

// requireHead waits until an entry answers a head of some size with a status.
func requireHead(ctx context.Context, t *testing.T, target crowd.Target, size, want int) {
	t.Helper()
	require.NoError(t, procs.WaitFor(ctx, "head", func(ctx context.Context) error {
		c, err := new(net.Dialer).DialContext(ctx, "tcp", target.Address)
		if err != nil {
			return err
		}
		defer c.Close()
		status, err := headStatus(c, target, size)
		if err == nil && status != want {
			err = fmt.Errorf("status %d to a head of %d bytes", status, size)
		}
		return err
	}))
}

// Guards against heads that the configuration allows and an entry refuses, and the reverse, also on a connection that is open
// while the configuration changes.
func TestTheLimitOfHeadsIsThatOfTheConfiguration(t *testing.T) {
	d := startEntries(t, 1, fake.Layout{EntryLimits: limits(memoryMB, descriptors)})
	v := newVictim(d, d.Entries[0])
	ctx, cancel := context.WithTimeout(t.Context(), answerTime)
	defer cancel()
	require.NoError(t, procs.WaitFor(ctx, "first request", v.ask))
	open, err := net.Dial("tcp", v.callers.Address)
	require.NoError(t, err)
	defer open.Close()
	requireHead(ctx, t, v.callers, 16<<10, http.StatusOK)
	for i, test := range []struct{ configured, legal, illegal int }{
		{64 << 10, 64 << 10, 64<<10 + 1},
		{8 << 10, 8 << 10, 8<<10 + 1},
		// More than the entry can hold.
		{1 << 40, 256 << 10, 4 << 20},
		{0, 16 << 10, 16<<10 + 1},
		// No request has so small a head.
		{1, 0, 100},
	} {
		publish(t, d, 2+i, maxBody, test.configured)
		requireHead(ctx, t, v.callers, test.illegal, http.StatusRequestHeaderFieldsTooLarge)
		if test.legal == 0 {
			continue
		}
		requireHead(ctx, t, v.callers, test.legal, http.StatusOK)
		status, err := headStatus(open, v.callers, test.legal)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status, "on a connection that was open before")
	}
	require.NoError(t, v.proc.CheckRunning())
}

// Guards against bodies that are refused for a while, although the entry can never hold them.
func TestBodiesThatNoEntryCanHoldAreTooLarge(t *testing.T) {
	d := startEntries(t, 1, fake.Layout{EntryLimits: limits(memoryMB, descriptors)})
	v := newVictim(d, d.Entries[0])
	ctx, cancel := context.WithTimeout(t.Context(), answerTime)
	defer cancel()
	require.NoError(t, procs.WaitFor(ctx, "first request", v.ask))
	publish(t, d, 2, 1<<40, 32<<10)
	requireHead(ctx, t, v.callers, 32<<10, http.StatusOK)
	c, err := net.Dial("tcp", v.callers.Address)
	require.NoError(t, err)
	defer c.Close()
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n", fmt.Sprintf(v.callers.Path, 1), v.callers.Host, memoryMB<<20)
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode)
}
