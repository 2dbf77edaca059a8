package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// patience limits the wait for what has to happen, and shortly is the wait for what must not.
	patience, shortly = 5 * time.Second, 200 * time.Millisecond
)

var drip = Impairment{Pause: 200 * time.Microsecond}

// sink accepts connections that are never read from, and passes them on.
func sink(t *testing.T) (address string, accepted <-chan *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	out := make(chan *net.TCPConn, 64)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			out <- c.(*net.TCPConn)
		}
	}()
	return listener.Addr().String(), out
}

// Once, a run did not end: a fault of a link was removed while a slowed down connection still had data for a peer that
// was gone.
func TestAFaultOfALinkEndsThoughThePeersOfItsConnectionsAreGone(t *testing.T) {
	t.Parallel()
	const conns, rounds = 16, 20
	address, accepted := sink(t)
	l, err := Start(address)
	require.NoError(t, err)
	t.Cleanup(l.Close)
	for round := range rounds {
		var peers []*net.TCPConn
		for range conns {
			c, err := net.Dial("tcp", l.Address)
			require.NoError(t, err)
			defer c.Close()
			_, err = c.Write(make([]byte, 1<<14))
			require.NoError(t, err)
			peers = append(peers, <-accepted)
		}
		require.NoError(t, l.Inject(t.Context(), fmt.Sprint(round), Both(drip)))
		for _, c := range peers {
			_, err := c.Read(make([]byte, 64))
			require.NoError(t, err)
			require.NoError(t, c.SetLinger(0))
		}
		healed := make(chan error, 1)
		go func() { healed <- l.Heal(context.Background(), fmt.Sprint(round)) }()
		for _, c := range peers {
			c.Close()
		}
		select {
		case err := <-healed:
			require.NoError(t, err)
		case <-time.After(patience):
			require.Fail(t, "the fault did not end", "round %d", round)
		}
	}
}

// echo answers each connection with what it carries.
func echo(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return listener.Addr().String()
}

// said is what became of a message on a link to an echo.
type said struct {
	answer string
	err    error
	took   time.Duration
}

// say sends a message and waits for the same number of bytes, for some time.
func say(c net.Conn, message string, patience time.Duration) said {
	start, answer := time.Now(), make([]byte, len(message))
	if err := c.SetReadDeadline(start.Add(patience)); err != nil {
		return said{err: err}
	}
	if _, err := c.Write([]byte(message)); err != nil {
		return said{err: err}
	}
	n, err := io.ReadFull(c, answer)
	return said{string(answer[:n]), err, time.Since(start)}
}

func TestLinksCarryDataAsTheirFaultsSay(t *testing.T) {
	t.Parallel()
	const message = "in one piece"
	l, err := Start(echo(t))
	require.NoError(t, err)
	t.Cleanup(l.Close)
	for name, c := range map[string]struct {
		list []Toxic
		// answered means that there is an answer, not sooner than after min; ends that the connection does not outlive the fault.
		answered, ends bool
		min            time.Duration
	}{
		"slow":       {list: Both(Impairment{Latency: 50 * time.Millisecond, Jitter: 10 * time.Millisecond}), answered: true, min: 80 * time.Millisecond},
		"drips up":   {list: []Toxic{{Upstream, drip}}, answered: true, min: time.Duration(len(message)) * drip.Pause},
		"drips down": {list: []Toxic{{Downstream, drip}}, answered: true, min: time.Duration(len(message)) * drip.Pause},
		// The answer to a byte begins before the next byte has arrived.
		"drips":  {list: Both(drip), answered: true, min: time.Duration(len(message)+1) * drip.Pause},
		"reset":  {list: []Toxic{{Upstream, Impairment{Reset: true}}}, ends: true},
		"cut":    {list: []Toxic{{Downstream, Impairment{Drop: true}}}, ends: true},
		"silent": {list: Both(Impairment{Drop: true}), ends: true},
	} {
		old, err := net.Dial("tcp", l.Address)
		require.NoError(t, err)
		defer old.Close()
		require.Equal(t, message, say(old, message, patience).answer, name)
		require.NoError(t, l.Inject(t.Context(), name, c.list))
		fresh, err := net.Dial("tcp", l.Address)
		require.NoError(t, err)
		defer fresh.Close()
		for _, conn := range []net.Conn{old, fresh} {
			wait := shortly
			if c.answered {
				wait = patience
			}
			got := say(conn, message, wait)
			if require.Equal(t, c.answered, got.err == nil, "%s: %v", name, got.err); c.answered {
				require.Equal(t, message, got.answer, name)
				require.GreaterOrEqual(t, got.took, c.min, name)
			}
		}
		require.NoError(t, l.Heal(t.Context(), name))
		for _, conn := range []net.Conn{old, fresh} {
			require.Equal(t, c.ends, say(conn, message, patience).err != nil, name)
		}
		last, err := net.Dial("tcp", l.Address)
		require.NoError(t, err)
		defer last.Close()
		require.Equal(t, message, say(last, message, patience).answer, name)
	}
}

func TestDataOnALateLinkIsCarriedOnceTheFaultEnds(t *testing.T) {
	t.Parallel()
	l, err := Start(echo(t))
	require.NoError(t, err)
	t.Cleanup(l.Close)
	require.NoError(t, l.Inject(t.Context(), "late", []Toxic{{Upstream, Impairment{Latency: time.Minute}}}))
	c, err := net.Dial("tcp", l.Address)
	require.NoError(t, err)
	defer c.Close()
	require.ErrorIs(t, say(c, "late", shortly).err, os.ErrDeadlineExceeded)
	require.NoError(t, l.Heal(t.Context(), "late"))
	require.NoError(t, c.SetReadDeadline(time.Now().Add(patience)))
	answer := make([]byte, len("late"))
	_, err = io.ReadFull(c, answer)
	require.NoError(t, err)
	require.Equal(t, "late", string(answer))
}
