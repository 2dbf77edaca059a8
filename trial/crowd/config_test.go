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

// Guards against heads that the configuration allows and an entry refuses, and the reverse, also on a connection that is open
// while the configuration changes.
func TestTheLimitOfHeadsIsThatOfTheConfiguration(t *testing.T) {
	layout := fake.Layout{EntryLimits: limits(memoryMB, descriptors)}
	d := startEntries(t, 1, layout)
	v := newVictim(d, d.Entries[0])
	ctx, cancel := context.WithTimeout(t.Context(), answerTime)
	defer cancel()
	require.NoError(t, procs.WaitFor(ctx, "first request", v.ask))
	dial := func() net.Conn {
		c, err := net.Dial("tcp", v.callers.Address)
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		return c
	}
	requireStatus := func(c net.Conn, size, want int) {
		require.NoError(t, procs.WaitFor(ctx, "head", func(context.Context) error {
			status, err := headStatus(dial(), v.callers, size)
			if err == nil && status != want {
				err = fmt.Errorf("status %d to a head of %d bytes", status, size)
			}
			return err
		}))
		if want == http.StatusOK {
			status, err := headStatus(c, v.callers, size)
			require.NoError(t, err)
			require.Equal(t, want, status)
		}
	}
	open := dial()
	requireStatus(open, 16<<10, http.StatusOK)
	layout.Pools = map[string]int{pool: 2}
	for i, test := range []struct{ configured, legal, illegal int }{
		{64 << 10, 64 << 10, 64<<10 + 1},
		{8 << 10, 8 << 10, 8<<10 + 1},
		// More than the entry can hold.
		{1 << 40, 256 << 10, 4 << 20},
		{0, 16 << 10, 16<<10 + 1},
		{1, 1, 100},
	} {
		config := fake.Config(2+i, layout)
		config["limits"] = map[string]int{"max_body_bytes": 1 << 40, "max_header_bytes": test.configured}
		require.NoError(t, d.Publish("config", config))
		requireStatus(open, test.illegal, http.StatusRequestHeaderFieldsTooLarge)
		if test.legal > 1 {
			requireStatus(open, test.legal, http.StatusOK)
		}
	}
	require.NoError(t, v.proc.CheckRunning())
}

// Guards against bodies that are refused for a while, although the entry can never hold them.
func TestBodiesThatNoEntryCanHoldAreTooLarge(t *testing.T) {
	layout := fake.Layout{EntryLimits: limits(memoryMB, descriptors)}
	d := startEntries(t, 1, layout)
	v := newVictim(d, d.Entries[0])
	ctx, cancel := context.WithTimeout(t.Context(), answerTime)
	defer cancel()
	require.NoError(t, procs.WaitFor(ctx, "first request", v.ask))
	layout.Pools = map[string]int{pool: 2}
	config := fake.Config(2, layout)
	config["limits"] = map[string]int{"max_body_bytes": 1 << 40, "max_header_bytes": 32 << 10}
	require.NoError(t, d.Publish("config", config))
	require.NoError(t, procs.WaitFor(ctx, "configuration", func(context.Context) error {
		c, err := net.Dial("tcp", v.callers.Address)
		if err != nil {
			return err
		}
		defer c.Close()
		status, err := headStatus(c, v.callers, 32<<10)
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("status %d", status)
		}
		return err
	}))
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
