package system

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"carawaymux.dev/trial/fake"
)

// Guards against an entry that stops while the owner of a pool does not answer, and that closes
// connections under requests that still wait.
func TestAStoppingEntryAnswersRequestsForAnOwnerThatDoesNotAnswer(t *testing.T) {
	f := start(t, 2)
	owner := f.waitForOwner("docs")
	e := f.Entries[0]
	if e == owner {
		e = f.Entries[1]
	}
	j := f.submitAccepted("docs", "80", fake.StepSpec{Count: 1, EstimatedMS: 80})
	f.waitForState("docs", j, "completed")
	require.NoError(t, owner.Proc().Pause())
	stop := time.Now().Add(200 * time.Millisecond)
	// Connections are open for half of the grace period. Later ones may be closed within slack of a request.
	const taken, slack = 3 * time.Second, 200 * time.Millisecond
	var callers errgroup.Group
	for _, at := range []time.Duration{
		-100 * time.Millisecond, time.Second, 2 * time.Second, 2900 * time.Millisecond, 3200 * time.Millisecond, 4 * time.Second, 4400 * time.Millisecond,
	} {
		c, err := net.Dial("tcp", e.CallerAddress)
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		callers.Go(func() error {
			time.Sleep(time.Until(stop.Add(at)))
			sent := time.Now()
			err := look(c, j.ID)
			if err != nil && (at < taken || time.Since(sent) > slack) {
				return fmt.Errorf("request %v after SIGTERM, no answer until %v after it: %w", at, time.Since(stop), err)
			}
			return nil
		})
	}
	callers.Go(func() error {
		time.Sleep(time.Until(stop.Add(time.Second)))
		// A second signal must not cut the stop short.
		return e.Proc().Signal(syscall.SIGTERM)
	})
	time.Sleep(time.Until(stop))
	require.NoError(t, e.Proc().Stop())
	require.Less(t, time.Since(stop), 6*time.Second, "within the grace period")
	require.NoError(t, owner.Proc().Resume())
	require.NoError(t, callers.Wait())
	require.NotContains(t, f.Log(e), "request cut off")
}

// Guards against requests without an answer (LOST) at the stop of an entry that had no processor time from before the time of
// its requests ended until its connections were to be closed.
func TestAStoppingEntryThatStoodStillAnswersItsOpenRequests(t *testing.T) {
	f := start(t, 2)
	owner := f.waitForOwner("docs")
	e := f.Entries[0]
	if e == owner {
		e = f.Entries[1]
	}
	j := f.submitAccepted("docs", "80", fake.StepSpec{Count: 1, EstimatedMS: 80})
	f.waitForState("docs", j, "completed")
	require.NoError(t, owner.Proc().Pause())
	var callers errgroup.Group
	for range 8 {
		c, err := net.Dial("tcp", e.CallerAddress)
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		callers.Go(func() error {
			time.Sleep(2 * time.Second)
			return look(c, j.ID)
		})
	}
	callers.Go(func() error {
		// The time of requests ends 3.3 s after SIGTERM, and connections are closed 4.5 s after it.
		time.Sleep(3 * time.Second)
		if err := e.Proc().Pause(); err != nil {
			return err
		}
		time.Sleep(1600 * time.Millisecond)
		return e.Proc().Resume()
	})
	stop := time.Now()
	require.NoError(t, e.Proc().Stop())
	require.Less(t, time.Since(stop), fake.GracePeriod, "within the grace period")
	require.NoError(t, owner.Proc().Resume())
	require.NoError(t, callers.Wait())
	require.NotContains(t, f.Log(e), "request cut off")
}

// look asks for the state of a job on a connection and reads the whole answer.
func look(c net.Conn, id string) error {
	_, err := fmt.Fprintf(c, "GET %s%s HTTP/1.1\r\nHost: %s\r\nDeadline: 3000\r\n\r\n", fake.QueuePath("docs"), id, fake.VirtualHost)
	if err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
