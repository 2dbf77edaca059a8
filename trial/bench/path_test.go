// Package bench compares the cost of a request through an entry with that of a bare relay and
// of a direct call, all in one process.
package bench

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/daemon"
	"carawaymux.dev/entry/setup"
	"carawaymux.dev/fleet/budget"
	"carawaymux.dev/fleet/client"
	"carawaymux.dev/fleet/host"
	"carawaymux.dev/fleet/pool"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wire"
	"carawaymux.dev/trial/hostd"
	"carawaymux.dev/trial/load"
	"carawaymux.dev/trial/logsvc"
	"carawaymux.dev/trial/procs"
)

// bodyBytes is the size of the body of each request and answer.
const bodyBytes = 1 << 10

// echoTarget returns a target that answers at once with the body of the request.
func echoTarget() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body)
	})
}

// bareRelay returns the baseline: a handler that forwards each request to url without any
// decision.
func bareRelay(url string) http.Handler {
	c := load.NewHTTPClient()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		req, _ := http.NewRequestWithContext(r.Context(), http.MethodPost, url, bytes.NewReader(body))
		resp, err := c.Do(req)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		defer resp.Body.Close()
		answer, err := io.ReadAll(resp.Body)
		if err != nil {
			return
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = w.Write(answer)
	})
}

// startEntry starts a complete entry in this process, with one pool of one target, and
// returns its URL.
func startEntry(b *testing.B, targetURL string, slots int) string {
	platform := logsvc.New()
	hosts := hostd.New([]hostd.Machine{{Name: "h1"}})
	logServer, hostServer := httptest.NewServer(platform.Handler()), httptest.NewServer(hosts.Handler())
	ports, err := procs.FreePorts(2)
	require.NoError(b, err)
	s, err := setup.Parse("bench.ini", fmt.Appendf(nil, `
[entry]
name = e1
zone = z1
drain-delay = 0s
[listen]
http = %s
peer = %s
clear = yes
[platform]
log = %s
hosts = %s
[auth]
open = yes
[limits]
queue = 0
[log]
level = error
`, ports[0], ports[1], logServer.URL, hostServer.URL))
	require.NoError(b, err)
	d, err := daemon.Start(s, daemon.WithLogOutput(io.Discard))
	require.NoError(b, err)
	b.Cleanup(func() {
		d.Close()
		logServer.CloseClientConnections()
		logServer.Close()
		hostServer.Close()
		platform.Close()
		hosts.Close()
	})
	c := client.New("http://" + ports[0])
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	require.NoError(b, procs.WaitFor(ctx, "the entry is ready", c.Ready))
	for _, r := range []record.Record{
		client.NewRecord("b", "one", 0, budget.Spec{MaxUnavailable: 1}),
		client.NewRecord("b", "docs", 0, pool.Spec{Budget: "one", Kinds: []string{"docs"}}),
		client.NewRecord("b", "h1", 0, host.Spec{
			Pool: "docs", Zone: "z1", Rack: "r1", Address: strings.TrimPrefix(targetURL, "http://"),
			Size: host.Resources{Cores: 16, MemoryMiB: 65536}, Slots: slots, Connections: host.MaxConnections,
		}),
	} {
		_, err := c.Publish(ctx, r)
		require.NoError(b, err)
	}
	require.NoError(b, procs.WaitFor(ctx, "the entry routes requests to the target", func(ctx context.Context) error {
		a, err := c.Do(ctx, client.Request{Kind: "docs", ID: "probe", Idempotent: true})
		if err == nil && a.Outcome != wire.Done && slots > 1 {
			err = fmt.Errorf("outcome %s: %s", a.Outcome, a.Reason)
		}
		return err
	}))
	return "http://" + ports[0]
}

// runPosts runs the benchmark with one caller for each processor. Every answer must have the
// wanted status.
func runPosts(b *testing.B, url string, want int) {
	c := load.NewHTTPClient()
	body := bytes.Repeat([]byte("x"), bodyBytes)
	var n atomic.Int64
	b.ReportAllocs()
	b.ResetTimer()
	before := cpuTime(b)
	defer func() {
		b.ReportMetric(float64(cpuTime(b)-before)/float64(b.N), "cpu-ns/op")
	}()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			req, _ := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
			req.Header.Set(wire.HeaderID, strconv.FormatInt(n.Add(1), 10))
			req.Header.Set(wire.HeaderIdempotent, "true")
			resp, err := c.Do(req)
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode != want {
				b.Error(resp.StatusCode, resp.Header.Get(wire.HeaderReason))
				return
			}
		}
	})
}

// cpuTime returns the user and system CPU time of this process so far. On a shared machine
// it varies less than wall time.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// manySlots exceeds the number of callers, so that no request waits for a slot.
const manySlots = 1024

func BenchmarkDirect(b *testing.B) {
	t := httptest.NewServer(echoTarget())
	defer t.Close()
	runPosts(b, t.URL+"/run/docs", http.StatusOK)
}

func BenchmarkBareRelay(b *testing.B) {
	t := httptest.NewServer(echoTarget())
	defer t.Close()
	r := httptest.NewServer(bareRelay(t.URL + "/run/docs"))
	defer r.Close()
	runPosts(b, r.URL, http.StatusOK)
}

func BenchmarkEntry(b *testing.B) {
	t := httptest.NewServer(echoTarget())
	b.Cleanup(t.Close)
	runPosts(b, startEntry(b, t.URL, manySlots)+wire.PathRequests+"docs", http.StatusOK)
}

// BenchmarkRefusal sends requests to a pool whose only slot is taken and whose queue has
// length 0, so that each is refused.
func BenchmarkRefusal(b *testing.B) {
	release := make(chan struct{})
	t := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		if r.Header.Get(wire.HeaderID) == "hold" {
			<-release
		}
	}))
	b.Cleanup(t.Close)
	url := startEntry(b, t.URL, 1)
	holderDone := make(chan struct{})
	go func() {
		defer close(holderDone)
		_, _ = client.New(url).Do(context.Background(), client.Request{Kind: "docs", ID: "hold", Idempotent: true, Deadline: 5 * time.Minute})
	}()
	time.Sleep(200 * time.Millisecond)
	runPosts(b, url+wire.PathRequests+"docs", http.StatusServiceUnavailable)
	b.StopTimer()
	close(release)
	<-holderDone
}
