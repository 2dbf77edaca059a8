package limit_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"carawaymux.dev/entry/limit"
	"carawaymux.dev/fleet/shed"
)

const maxBody = 64 << 10

// small are limits that hold two of the largest bodies.
var small = shed.Limits{
	Large: 2*maxBody + 2, Small: 64 << 10, Decode: 64 << 10,
	Connections: map[shed.Listener]int{shed.Callers: 16},
}

// largeAnswer is more than the kernel's buffers take of a response that nobody reads.
const largeAnswer = 32 << 20

// served is a server whose handler answers with the size of the body, or with the reason of a refusal, and to a GET of /large
// with a large body that counts as one of the largest size.
type served struct {
	*limit.Limiter
	address string
}

func serve[P shed.Policy](t testing.TB, limits shed.Limits, policy P, timeout time.Duration) served {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	limiter := limit.Start(limits, policy, slog.New(slog.DiscardHandler))
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/large" {
			limit.HoldAnswer(r.Context(), maxBody+1)
			_, _ = w.Write(make([]byte, largeAnswer))
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), timeout)
		defer cancel()
		raw, err := limit.ReadBody(ctx, w, r, maxBody)
		if err != nil {
			w.Header().Set("Connection", "close")
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		fmt.Fprint(w, len(raw))
	})}
	limiter.Serve(server, 16<<10)
	var group errgroup.Group
	limited := limiter.Listen(shed.Callers, l)
	group.Go(func() error { return server.Serve(limited) })
	t.Cleanup(func() {
		server.Close()
		_ = group.Wait()
		limiter.Close()
	})
	return served{limiter, l.Addr().String()}
}

func (s served) send(t testing.TB, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	// An error means that the server has closed the connection.
	_, _ = io.WriteString(c, text)
	return c
}

func post(size, sent int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: e\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", sent))
}

// answer returns the status and body of a response, or 0 if the connection ends without one.
func answer(c net.Conn) (int, string) {
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	raw, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(raw)
}

// awaitBytes waits until clients hold some bytes.
func (s served) awaitBytes(t testing.TB, bytes int64) {
	t.Helper()
	require.Eventually(t, func() bool {
		totals, err := s.Totals(t.Context())
		return err == nil && totals.Large+totals.Small == bytes
	}, 20*time.Second, 5*time.Millisecond)
}

// Guards against bodies that stop short of their end and keep others from being served.
func TestAClientThatStopsShortIsClosedForOneThatDoesNot(t *testing.T) {
	s := serve(t, small, shed.LeastProgress{}, time.Minute)
	s.send(t, post(maxBody, maxBody-1))
	s.send(t, post(maxBody, 1))
	s.awaitBytes(t, 2*maxBody+2)
	status, body := answer(s.send(t, post(maxBody, maxBody)))
	require.Equal(t, http.StatusOK, status, body)
	require.Equal(t, fmt.Sprint(maxBody), body)
	totals, err := s.Totals(t.Context())
	require.NoError(t, err)
	require.Positive(t, totals.Refused[limit.Held])
}

// Guards against responses that nobody reads and that keep others from being served.
func TestAClientThatDoesNotTakeItsResponseIsClosedForOthers(t *testing.T) {
	s := serve(t, small, shed.LeastProgress{}, time.Minute)
	for range 2 {
		s.send(t, "GET /large HTTP/1.1\r\nHost: e\r\n\r\n")
	}
	s.awaitBytes(t, 2*maxBody+2)
	status, body := answer(s.send(t, post(maxBody, maxBody)))
	require.Equal(t, http.StatusOK, status, body)
	// A response is sent though there are no bytes for it.
	s.send(t, post(maxBody, 1))
	status, body = answer(s.send(t, "GET /large HTTP/1.1\r\nHost: e\r\n\r\n"))
	require.Equal(t, http.StatusOK, status)
	require.Len(t, body, largeAnswer)
}

// Guards against large bodies that take the share of small ones.
func TestSmallRequestsAreServedWhileLargeOnesHoldTheirShare(t *testing.T) {
	s := serve(t, small, shed.None{}, time.Minute)
	s.send(t, post(maxBody, 1))
	s.send(t, post(maxBody, 1))
	s.awaitBytes(t, 2*maxBody+2)
	for _, size := range []int{0, 10, 8 << 10} {
		status, body := answer(s.send(t, post(size, size)))
		require.Equal(t, http.StatusOK, status, body)
	}
}

// stalled is a policy that does not return, as if its task got no processor time.
type stalled struct{ release <-chan struct{} }

func (s stalled) Holders([]shed.Client, int64) []int {
	<-s.release
	return nil
}

func (s stalled) Connection([]shed.Client) int {
	<-s.release
	return -1
}

// Guards against readers that wait for a task that stands still, beyond their own deadline.
func TestReadersGiveUpAtTheirDeadlineWhileTheTaskStandsStill(t *testing.T) {
	release := make(chan struct{})
	s := serve(t, small, stalled{release}, time.Second)
	defer close(release)
	s.send(t, post(maxBody, 1))
	s.send(t, post(maxBody, 1))
	s.awaitBytes(t, 2*maxBody+2)
	// The third makes the task stand still. Until its own deadline, no bytes are free.
	third, fourth := s.send(t, post(maxBody, maxBody)), s.send(t, post(maxBody, maxBody))
	for _, c := range []net.Conn{third, fourth} {
		status, _ := answer(c)
		require.NotEqual(t, 0, status)
	}
	status, body := answer(s.send(t, post(100, 100)))
	require.Equal(t, http.StatusOK, status, body)
}

// Guards against bytes that stay reserved after requests that were answered, refused or cut off.
func TestNothingStaysReserved(t *testing.T) {
	s := serve(t, small, shed.LeastProgress{}, 200*time.Millisecond)
	for range 8 {
		s.send(t, post(maxBody, 1)).Close()
		answer(s.send(t, post(maxBody, maxBody)))
		answer(s.send(t, post(maxBody, maxBody-1)))
		s.send(t, "POST / HTTP/1.1\r\nHost: e\r\nTransfer-Encoding: chunked\r\n\r\n"+strings.Repeat("2000\r\n"+strings.Repeat("x", 8192)+"\r\n", 7)).Close()
		s.send(t, "GET / HTTP/1.1\r\nHost: e\r\nX: "+strings.Repeat("x", 15<<10)).Close()
	}
	s.awaitBytes(t, 0)
	for range 2 {
		status, body := answer(s.send(t, post(maxBody, maxBody)))
		require.Equal(t, http.StatusOK, status, body)
	}
}

// Guards against heads above the limit, and against a limit that refuses a head of 16 KiB.
func TestHeadsOfTheLargestLegalSizeAreServed(t *testing.T) {
	s := serve(t, small, shed.LeastProgress{}, time.Second)
	const begin, end = "GET / HTTP/1.1\r\nHost: e\r\nX: ", "\r\n\r\n"
	head := func(size int) string { return begin + strings.Repeat("x", size-len(begin)-len(end)) + end }
	status, _ := answer(s.send(t, head(16<<10)))
	require.Equal(t, http.StatusOK, status)
	status, _ = answer(s.send(t, head(16<<10+1)))
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, status)
}

// Guards against empty lines without end: Go's server takes up to four bytes of them, after a POST only.
func TestEmptyLinesEndAConnection(t *testing.T) {
	s := serve(t, small, shed.LeastProgress{}, time.Second)
	for _, before := range []string{"", post(0, 0)} {
		c := s.send(t, before+strings.Repeat("\r\n", 1000))
		raw, err := io.ReadAll(c)
		if err == nil {
			require.Contains(t, string(raw), "400 Bad Request")
		}
	}
}

// Guards against silent connections that take all places.
func TestSilentConnectionsAreClosedForOthers(t *testing.T) {
	s := serve(t, small, shed.LeastProgress{}, time.Second)
	for range small.Connections[shed.Callers] {
		s.send(t, "")
	}
	require.Eventually(t, func() bool {
		status, _ := answer(s.send(t, post(1, 1)))
		return status == http.StatusOK
	}, 20*time.Second, 20*time.Millisecond)
}

// Guards against a body that is passed on cut or changed, however it arrives, and against reservations that stay.
func FuzzBody(f *testing.F) {
	f.Add(uint32(0), uint8(0), true)
	f.Add(uint32(maxBody), uint8(1), false)
	f.Add(uint32(maxBody+1), uint8(2), true)
	f.Fuzz(func(t *testing.T, size uint32, split uint8, chunked bool) {
		content := strings.Repeat("x", int(size%(2*maxBody)))
		var body io.Reader = strings.NewReader(content)
		switch split % 3 {
		case 1:
			body = iotest.HalfReader(body)
		case 2:
			body = iotest.DataErrReader(body)
		}
		r, err := http.NewRequest(http.MethodPost, "/", body)
		require.NoError(t, err)
		r.ContentLength = int64(len(content))
		if chunked {
			r.ContentLength = -1
		}
		raw, err := limit.ReadBody(t.Context(), nopWriter{}, r, maxBody)
		if len(content) > maxBody {
			var tooLarge *http.MaxBytesError
			require.True(t, errors.As(err, &tooLarge))
			return
		}
		require.NoError(t, err)
		require.Equal(t, content, string(raw))
	})
}

type nopWriter struct{}

func (nopWriter) Header() http.Header         { return http.Header{} }
func (nopWriter) Write(p []byte) (int, error) { return len(p), nil }
func (nopWriter) WriteHeader(int)             {}

// Guards against requests, whole or not, that end the server or leave bytes reserved.
func FuzzRequests(f *testing.F) {
	f.Add([]byte("\r\n\r\nGET / HTTP/1.1\r\nHost: e\r\n\r\n"))
	f.Add([]byte(post(5000, 4000)))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: e\r\nTransfer-Encoding: chunked\r\n\r\n2000\r\nxx"))
	s := serve(f, small, shed.LeastProgress{}, 50*time.Millisecond)
	f.Fuzz(func(t *testing.T, raw []byte) {
		s.send(t, string(raw)).Close()
		s.awaitBytes(t, 0)
	})
}

// The cost of the limits where nothing is short: one request on a connection that stays open.
func BenchmarkRequest(b *testing.B) {
	for name, limited := range map[string]bool{"plain": false, "limited": true} {
		b.Run(name, func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(b, err)
			limiter := limit.Start(shed.Derive(shed.Process{}), shed.LeastProgress{}, slog.New(slog.DiscardHandler))
			defer limiter.Close()
			server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				ctx, cancel := context.WithTimeout(r.Context(), time.Second)
				defer cancel()
				_, _ = limit.ReadBody(ctx, w, r, maxBody)
			})}
			if limited {
				limiter.Serve(server, 16<<10)
				l = limiter.Listen(shed.Callers, l)
			}
			go server.Serve(l)
			defer server.Close()
			c, err := net.Dial("tcp", l.Addr().String())
			require.NoError(b, err)
			in := bufio.NewReader(c)
			request := post(300, 300)
			for b.Loop() {
				_, _ = io.WriteString(c, request)
				response, err := http.ReadResponse(in, nil)
				require.NoError(b, err)
				response.Body.Close()
			}
		})
	}
}

// pipes is a listener whose connections pass on each write by itself.
type pipes struct{ conns chan net.Conn }

func (p pipes) Close() error { return nil }

func (p pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p pipes) Accept() (net.Conn, error) {
	c, open := <-p.conns
	if !open {
		return nil, net.ErrClosed
	}
	return c, nil
}

// servePipe serves one client over a pipe. It returns the client and the group of the goroutines that end with it.
func servePipe(t *testing.T, limiter *limit.Limiter, name shed.Listener, handler http.HandlerFunc) (net.Conn, *errgroup.Group) {
	t.Helper()
	listener, server, group := pipes{make(chan net.Conn, 1)}, &http.Server{Handler: handler}, new(errgroup.Group)
	limiter.Serve(server, 16<<10)
	group.Go(func() error { return server.Serve(limiter.Listen(name, listener)) })
	client, accepted := net.Pipe()
	listener.conns <- accepted
	t.Cleanup(func() {
		client.Close()
		close(listener.conns)
		_ = group.Wait()
		limiter.Close()
	})
	return client, group
}

// Guards against a head of legal size that reserves all bytes since it arrives byte by byte.
func TestALargeHeadIsServedByteByByte(t *testing.T) {
	limiter := limit.Start(shed.Derive(shed.Process{}), shed.LeastProgress{}, slog.New(slog.DiscardHandler))
	client, group := servePipe(t, limiter, shed.Callers, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "served") })
	const begin, end = "GET / HTTP/1.1\r\nHost: e\r\nX: ", "\r\n\r\n"
	head := begin + strings.Repeat("x", 16<<10-len(begin)-len(end)) + end
	group.Go(func() error {
		for i := range len(head) {
			if _, err := io.WriteString(client, head[i:i+1]); err != nil {
				return err
			}
		}
		return nil
	})
	status, body := answer(client)
	require.Equal(t, http.StatusOK, status, body)
	totals, err := limiter.Totals(t.Context())
	require.NoError(t, err)
	require.Zero(t, totals.Refused[limit.Exhausted])
}

// Guards against a reader that waits beside clients which stopped short, because other messages keep the task from looking again.
func TestHoldersAreLookedAtAgainWhileOthersConnect(t *testing.T) {
	s := serve(t, small, shed.LeastProgress{}, time.Minute)
	s.send(t, post(maxBody, 1))
	s.send(t, post(maxBody, 1))
	s.awaitBytes(t, 2*maxBody+2)
	c := s.send(t, post(maxBody, maxBody))
	answered := make(chan int, 1)
	go func() {
		status, _ := answer(c)
		answered <- status
	}()
	// A message arrives much more often than the task looks again.
	for end := time.After(20 * time.Second); ; {
		select {
		case status := <-answered:
			require.Equal(t, http.StatusOK, status)
			return
		case <-end:
			require.Fail(t, "the reader still waits")
		case <-time.After(5 * time.Millisecond):
			_, err := s.Totals(t.Context())
			require.NoError(t, err)
		}
	}
}

// recording is a policy that chooses nobody and passes on the clients that it is asked about.
type recording struct{ asked chan<- []shed.Client }

func (r recording) Holders(clients []shed.Client, _ int64) []int {
	select {
	case r.asked <- clients:
	default:
	}
	return nil
}

func (recording) Connection([]shed.Client) int { return -1 }

// Guards against a client that counts as slow since it had to wait for bytes itself.
func TestTheWaitForBytesDoesNotCountAsSlowness(t *testing.T) {
	const wait = 300 * time.Millisecond
	asked := make(chan []shed.Client)
	s := serve(t, small, recording{asked}, time.Minute)
	first := s.send(t, post(maxBody, 1))
	s.send(t, post(maxBody, 1))
	s.awaitBytes(t, 2*maxBody+2)
	s.send(t, post(maxBody, 1))
	<-asked
	time.Sleep(wait)
	_, err := io.WriteString(first, strings.Repeat("x", maxBody-1))
	require.NoError(t, err)
	status, body := answer(first)
	require.Equal(t, http.StatusOK, status, body)
	first.Close()
	s.send(t, post(maxBody, 1))
	for {
		clients := <-asked
		if len(clients) != 2 || clients[0].Phase != shed.Body || clients[1].Phase != shed.Body {
			continue
		}
		for _, c := range clients {
			require.Zero(t, c.Received)
			require.Less(t, c.Age-c.Quiet, wait)
		}
		return
	}
}

// Guards against a response that calls a legal head malformed when there are no bytes for it.
func TestAHeadWithoutBytesIsNotCalledMalformed(t *testing.T) {
	limits := small
	limits.Large, limits.Small = maxBody+1, 1
	s := serve(t, limits, shed.None{}, time.Minute)
	s.send(t, post(maxBody, 1))
	s.awaitBytes(t, maxBody+1)
	status, _ := answer(s.send(t, "GET / HTTP/1.1\r\nHost: e\r\nX: "+strings.Repeat("x", 10<<10)+"\r\n\r\n"))
	require.Zero(t, status, "the connection ends without a response")
}

// Guards against a client that is closed since the server is late to read what it has sent.
func TestAClientWhoseBytesWereNotReadIsNotClosedForOthers(t *testing.T) {
	const places, others = 8, 40
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	limiter := limit.Start(shed.Limits{Connections: map[shed.Listener]int{shed.Readiness: places}}, shed.LeastProgress{}, slog.New(slog.DiscardHandler))
	t.Cleanup(limiter.Close)
	l := limiter.Listen(shed.Readiness, inner)
	var group errgroup.Group
	group.Go(func() error {
		for {
			if _, err := l.Accept(); err != nil {
				return nil
			}
		}
	})
	t.Cleanup(func() {
		l.Close()
		_ = group.Wait()
	})
	open := func() net.Conn {
		c, err := net.Dial("tcp", inner.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		return c
	}
	first := open()
	_, err = io.WriteString(first, "GET ")
	require.NoError(t, err)
	for range others {
		open()
		time.Sleep(10 * time.Millisecond)
	}
	totals, err := limiter.Totals(t.Context())
	require.NoError(t, err)
	require.Positive(t, totals.Refused[limit.Crowded])
	require.NoError(t, first.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
	_, err = first.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "the connection is open")
}
