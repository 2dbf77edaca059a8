package limit_test

import (
	"bufio"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"carawaymux.dev/entry/limit"
	"carawaymux.dev/fleet/shed"
)

// fields returns header lines of a size, of which each has a name of its own.
func fields(size int) string {
	var out strings.Builder
	for i := 0; out.Len() < size-10; i++ {
		fmt.Fprintf(&out, "%x:\r\n", i)
	}
	return out.String()
}

const begin = "POST / HTTP/1.1\r\nHost: e\r\n"

// Guards against heads that take more memory than is reserved for them and counts with their connection.
func TestAHeadTakesNoMoreThanIsReserved(t *testing.T) {
	const heads, free = 100, 16 << 10
	for name, head := range map[string]string{
		"short fields":      begin + fields(16<<10-len(begin)) + "\r\n",
		"few short fields":  begin + fields(3<<10) + "\r\n",
		"the same field":    begin + strings.Repeat("a:\r\n", 4000) + "\r\n",
		"fields of 16 byte": begin + strings.Repeat("x-abcd: abcdef\r\n", 1000) + "\r\n",
		"one long field":    begin + "a: " + strings.Repeat("x", 15<<10) + "\r\n\r\n",
		"an ordinary head":  begin + strings.Repeat("x-abcd: abcdef\r\n", 20) + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			requests := make([]*http.Request, heads)
			for i := range requests {
				var err error
				requests[i], err = http.ReadRequest(bufio.NewReader(strings.NewReader(head)))
				require.NoError(t, err)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			taken := int64(after.HeapAlloc-before.HeapAlloc) / heads
			require.LessOrEqual(t, taken, shed.HeadBytes(int64(len(head)), int64(strings.Count(head, "\n")))+free)
			runtime.KeepAlive(requests)
		})
	}
	require.Zero(t, shed.HeadBytes(1<<10, 40), "an ordinary head reserves nothing")
}

// heldFor sends text to a server and returns how many bytes it holds once the server waits for more.
func heldFor(t *testing.T, text string) int64 {
	t.Helper()
	limits := small
	limits.Large, limits.Small = 1<<20, 1<<20
	s := serve(t, limits, shed.LeastProgress{}, time.Minute)
	s.send(t, text)
	var held int64
	require.Eventually(t, func() bool {
		totals, err := s.Totals(t.Context())
		require.NoError(t, err)
		last := held
		held = totals.Large + totals.Small
		return held > 0 && held == last
	}, 5*time.Second, 50*time.Millisecond)
	return held
}

// Guards against heads of many short fields, each of which takes a hundred bytes, that reserve nothing but for their size.
func TestTheFieldsOfAHeadAreReserved(t *testing.T) {
	head := begin + fields(3<<10)
	lines := int64(strings.Count(head, "\n"))
	require.GreaterOrEqual(t, heldFor(t, head), 64*lines, "a head without its end")
	whole := head + "Content-Length: 100\r\n\r\n"
	require.GreaterOrEqual(t, heldFor(t, whole), 64*lines, "a head whose body is missing")
	require.GreaterOrEqual(t, heldFor(t, post(2, 2)+head), 64*lines, "a head without its end that arrived with the request before it")
	require.GreaterOrEqual(t, heldFor(t, post(2, 2)+whole), 64*lines, "a head that arrived with the request before it")
}

// Guards against bodies whose lines count as those of a head.
func TestTheLinesOfABodyReserveNothing(t *testing.T) {
	s := serve(t, small, shed.LeastProgress{}, time.Minute)
	c := s.send(t, begin+"Content-Length: 3000\r\n\r\n"+strings.Repeat("\n", 2999))
	require.Never(t, func() bool {
		totals, err := s.Totals(t.Context())
		return err != nil || totals.Large+totals.Small > 0
	}, 200*time.Millisecond, 20*time.Millisecond)
	_, err := c.Write([]byte("\n"))
	require.NoError(t, err)
	status, body := answer(c)
	require.Equal(t, http.StatusOK, status, body)
	s.awaitBytes(t, 0)
	// The connection is open and idle.
	_, err = c.Write([]byte(post(1, 1)))
	require.NoError(t, err)
	status, body = answer(c)
	require.Equal(t, http.StatusOK, status, body)
}

// Guards against a limit that is lowered while a request is served, and that is then applied to its head: what arrives of the
// body, or of the next request, must not be answered 431 in place of the request.
func TestALoweredLimitDoesNotApplyToARequestThatIsServed(t *testing.T) {
	limiter := limit.Start(small, shed.LeastProgress{}, slog.New(slog.DiscardHandler))
	heads := limiter.NewHeadLimit(16 << 10)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	started, finish := make(chan struct{}), make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		raw, err := limit.ReadBody(r.Context(), w, r, maxBody)
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		<-finish
		fmt.Fprint(w, len(raw))
	})}
	limiter.ServeHeads(server, heads)
	var group errgroup.Group
	group.Go(func() error { return server.Serve(limiter.Listen(shed.Callers, inner)) })
	t.Cleanup(func() {
		server.Close()
		_ = group.Wait()
		limiter.Close()
	})
	c, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	_, err = fmt.Fprintf(c, "%sX: %s\r\nContent-Length: 8000\r\n\r\n", begin, strings.Repeat("x", 10<<10))
	require.NoError(t, err)
	<-started
	heads.Set(1 << 10)
	_, err = c.Write([]byte(strings.Repeat("x", 8000)))
	require.NoError(t, err)
	// A byte of the next request arrives while the request runs.
	time.Sleep(50 * time.Millisecond)
	_, err = c.Write([]byte("G"))
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	close(finish)
	status, body := answer(c)
	require.Equal(t, http.StatusOK, status, body)
	require.Equal(t, "8000", body)
}

// Guards against a head that is cut into reads at any place and is counted differently.
func TestAHeadIsCountedHoweverItArrives(t *testing.T) {
	text := begin + fields(3<<10) + "Content-Length: 100\r\n\r\n" + strings.Repeat("\r\n", 40)
	want := heldFor(t, text)
	for _, size := range []int{1, 7, 1000} {
		limits := small
		limits.Large, limits.Small = 1<<20, 1<<20
		s := serve(t, limits, shed.LeastProgress{}, time.Minute)
		c := s.send(t, "")
		require.NoError(t, c.(*net.TCPConn).SetNoDelay(true))
		for rest := text; rest != ""; {
			n := min(size, len(rest))
			_, err := c.Write([]byte(rest[:n]))
			require.NoError(t, err)
			rest = rest[n:]
		}
		s.awaitBytes(t, want)
	}
}
