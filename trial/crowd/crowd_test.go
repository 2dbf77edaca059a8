// Tests that clients which send incomplete, oversized or endless requests end no process. Entries run as processes on
// loopback. The tests check that the process is alive, what it held at most, and that it answers an ordinary request.
package crowd_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/budget"
	"carawaymux.dev/fleet/client"
	"carawaymux.dev/fleet/wire"
	"carawaymux.dev/trial/crowd"
	"carawaymux.dev/trial/edits"
	"carawaymux.dev/trial/fake"
	"carawaymux.dev/trial/procs"
	"carawaymux.dev/trial/site"
)

const (
	// memoryMB is the memory that the settings of an entry state. A process that holds more is killed by the platform.
	memoryMB = 96
	// clients is the number of clients of a case.
	clients = 320
	// descriptors is the number of descriptors that the settings state, and fewDescriptors in the cases about them.
	descriptors, fewDescriptors = 4100, 300
	// stepsClients is the number of clients that send complete bodies, each of which takes processor time to decode.
	stepsClients = 40
	// linkClients is the number of clients that send messages on WebSockets, each of up to 8 MiB.
	linkClients = 40
	// hold is how long a crowd is there.
	hold = 4 * time.Second
	// answerTime limits the wait for the answer to an ordinary request, which is repeated when it is refused. It asserts
	// no speed: it is far above what an entry needs on a busy machine.
	answerTime = time.Minute

	maxBody, maxFrame = 256 << 10, 8 << 20
	daemonBody        = 1 << 20
	pool              = "docs"
	kind              = "docs"
)

var bin string

func TestMain(m *testing.M) {
	os.Exit(edits.Main(m, &bin, "../..", "./platform/cmd/carawaymux", "./entry/cmd/carawayd", "./trial/cmd/trial"))
}

// victim is an entry that crowds are sent to.
type victim struct {
	proc *procs.Proc
	// callers, ready, peer and metrics are the targets at its listeners. Those that it does not have are empty.
	callers, ready, peer, metrics, operators crowd.Target
	// ask sends an ordinary request and returns an error unless it was served.
	ask func(context.Context) error
	// runs returns how often requests ran, by their IDs. It is nil for an entry of carawaymux.
	runs func(context.Context) map[string]int
}

func limits(memory, files int) string {
	return fmt.Sprintf("memory_mb = %d\nfile_descriptors = %d\nlink_mbps = 200", memory, files)
}

// startEntry starts an entry of carawaymux with limits of its settings.
func startEntry(t *testing.T, limits string) *victim {
	t.Helper()
	ports, err := procs.FreePorts(1)
	require.NoError(t, err)
	metrics := ports[0]
	d := startEntries(t, 1, fake.Layout{EntryLimits: limits, EntryArgs: []string{"--metrics", strings.Split(metrics, ":")[1]}})
	v := newVictim(d, d.Entries[0])
	v.metrics = crowd.Target{Address: metrics, Host: "e", Path: "/metrics", Body: maxBody}
	return v
}

// startEntries starts entries of carawaymux on a platform with a pool of two hosts.
func startEntries(t *testing.T, count int, layout fake.Layout) *fake.Deployment {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), answerTime)
	t.Cleanup(cancel)
	layout.Pools = map[string]int{pool: 2}
	layout.Timing = fake.Timing{MaxLease: 10 * time.Second, MoveDuration: time.Second, MaintenanceDuration: time.Second, HeartbeatInterval: 300 * time.Millisecond}
	platform, err := fake.New(layout)
	require.NoError(t, err)
	t.Cleanup(platform.Close)
	require.NoError(t, platform.Publish("config", fake.Config(1, layout)))
	d, err := fake.NewDeployment(platform, bin, t.TempDir(), count)
	require.NoError(t, err)
	t.Cleanup(d.KillAll)
	require.NoError(t, d.StartAll(ctx))
	return d
}

// newVictim returns an entry of a deployment as one to send crowds to.
func newVictim(d *fake.Deployment, e *fake.Entry) *victim {
	last := 0
	return &victim{
		proc:    e.Proc(),
		callers: crowd.Target{Address: e.CallerAddress, Host: fake.VirtualHost, Path: fake.QueuePath(pool) + "%016x", Body: maxBody},
		ready:   crowd.Target{Address: e.ReadyAddress, Host: "e", Path: "/v1/readiness", Body: maxBody},
		peer:    crowd.Target{Address: e.PeerAddress, Host: "e", Path: "/v1/peer", Body: maxBody, Message: maxFrame},
		ask: func(ctx context.Context) error {
			last++
			status, _ := d.Submit(ctx, e, pool, fmt.Sprintf("ffffffff%08x", last), "10", fake.StepSpec{Count: 1, EstimatedMS: 10})
			if status != http.StatusOK {
				return fmt.Errorf("status %d", status)
			}
			return nil
		},
	}
}

// startDaemon starts an entry of carawayd with limits of its settings.
func startDaemon(t *testing.T, limits ...string) *victim {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), answerTime)
	t.Cleanup(cancel)
	s, err := site.New(site.Plan{
		Zones: []string{"tp-a"}, EntriesPerZone: 1, Settings: map[string][]string{"limits": limits},
		Pools: []site.Pool{{Name: pool, Zones: map[string]int{"tp-a": 1}, Budget: budget.Spec{MaxUnavailable: 1}, RunTime: 10 * time.Millisecond}},
	}, bin, t.TempDir())
	require.NoError(t, err)
	t.Cleanup(s.Close)
	require.NoError(t, s.Start(ctx))
	require.NoError(t, s.Publish(ctx))
	e := s.Entries[0]
	idempotent := wire.HeaderIdempotent + ": true\r\n" + wire.HeaderID + ": crowd\r\n"
	last := 0
	return &victim{
		proc:      e.Proc,
		callers:   crowd.Target{Address: e.HTTP, Host: "e", Path: wire.PathRequests + kind, Header: idempotent, Body: daemonBody},
		operators: crowd.Target{Address: e.HTTP, Host: "e", Path: wire.PathRecords, Body: 60 << 10},
		peer:      crowd.Target{Address: e.Peer, Host: "e", Path: "/peer/work", Body: maxBody, Message: maxFrame},
		ask: func(ctx context.Context) error {
			last++
			a, err := e.Client.Do(ctx, client.Request{Kind: kind, ID: fmt.Sprintf("ordinary-%d", last), Idempotent: true, Body: []byte("x")})
			if err == nil && a.Outcome != wire.Done {
				err = fmt.Errorf("outcome %s", a.Outcome)
			}
			return err
		},
		runs: func(ctx context.Context) map[string]int { return s.Totals(ctx).Runs },
	}
}

// requireHolds sends a crowd to an entry and requires that the entry stays alive and under its limits, and that it answers
// an ordinary request afterwards. It returns the most that the entry held.
func (v *victim) requireHolds(t *testing.T, target crowd.Target, kind crowd.Kind, count, memory, files int) crowd.Peak {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*answerTime)
	defer cancel()
	require.NoError(t, procs.WaitFor(ctx, "first request", v.ask))
	meter := crowd.Watch(v.proc.PID(), v.callers.Address, v.ready.Address, v.peer.Address, v.metrics.Address)
	c := crowd.Start(target, kind, count)
	time.Sleep(hold)
	c.Close()
	answer := procs.WaitFor(ctx, "request after the crowd", v.ask)
	peak := meter.Close()
	t.Logf("%s: %d clients, %d connections opened: %v", kind, count, c.Opened.Load(), peak)
	require.NoError(t, v.proc.CheckRunning())
	require.NoError(t, answer)
	require.Less(t, peak.Memory, int64(memory)<<20, "memory in bytes")
	require.Less(t, peak.Descriptors, files, "open descriptors")
	return peak
}

// Guards against an entry of carawaymux that clients bring to its end, each case in one way, and each listener.
func TestCrowdsEndNoEntry(t *testing.T) {
	for _, kind := range []crowd.Kind{
		crowd.Whole, crowd.Pieces, crowd.LargeChunks, crowd.SmallChunks, crowd.LongHead, crowd.EndlessHead, crowd.EndlessLines, crowd.EmptyLines,
		crowd.Silent, crowd.Unread, crowd.Pipelined,
	} {
		t.Run("callers/"+string(kind), func(t *testing.T) {
			v := startEntry(t, limits(memoryMB, descriptors))
			v.requireHolds(t, v.callers, kind, clients, memoryMB, descriptors)
		})
	}
	t.Run("callers/"+string(crowd.Steps), func(t *testing.T) {
		v := startEntry(t, limits(memoryMB, descriptors))
		v.requireHolds(t, v.callers, crowd.Steps, stepsClients, memoryMB, descriptors)
	})
	for name, target := range map[string]func(*victim) crowd.Target{
		"readiness": func(v *victim) crowd.Target { return v.ready },
		"peers":     func(v *victim) crowd.Target { return v.peer },
		"metrics":   func(v *victim) crowd.Target { return v.metrics },
	} {
		for _, kind := range []crowd.Kind{crowd.EndlessHead, crowd.Whole} {
			t.Run(name+"/"+string(kind), func(t *testing.T) {
				v := startEntry(t, limits(memoryMB, descriptors))
				v.requireHolds(t, target(v), kind, clients, memoryMB, descriptors)
			})
		}
	}
	for _, kind := range []crowd.Kind{crowd.Fragments, crowd.CompressedFragments} {
		t.Run("peers/"+string(kind), func(t *testing.T) {
			v := startEntry(t, limits(memoryMB, descriptors))
			v.requireHolds(t, v.peer, kind, linkClients, memoryMB, descriptors)
		})
	}
}

// Guards against an entry that runs out of descriptors through connections on which little or nothing is sent.
func TestCrowdsLeaveDescriptorsOfAnEntry(t *testing.T) {
	for name, target := range map[string]func(*victim) crowd.Target{
		"callers":   func(v *victim) crowd.Target { return v.callers },
		"readiness": func(v *victim) crowd.Target { return v.ready },
		"peers":     func(v *victim) crowd.Target { return v.peer },
		"metrics":   func(v *victim) crowd.Target { return v.metrics },
	} {
		t.Run(name, func(t *testing.T) {
			v := startEntry(t, limits(memoryMB, fewDescriptors))
			v.requireHolds(t, target(v), crowd.Silent, clients, memoryMB, fewDescriptors)
		})
	}
}

// Guards against limits that refuse the largest legal request on the smallest entry.
func TestTheLargestRequestIsServedOnTheSmallestEntry(t *testing.T) {
	const smallestMB = 184
	v := startEntry(t, limits(smallestMB, descriptors))
	content := `{"steps":[{"count":1,"cpu":1000,"memory_request_mb":256}],"specification":"10"}`
	content += strings.Repeat(" ", maxBody-len(content))
	head := strings.Repeat("x", 12<<10)
	send := func(ctx context.Context) error {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.callers.Address+fake.QueuePath(pool)+"00000000000000aa", strings.NewReader(content))
		if err != nil {
			return err
		}
		r.Host = fake.VirtualHost
		r.Header.Set("X-Long", head)
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			return err
		}
		defer response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return fmt.Errorf("status %d", response.StatusCode)
		}
		return nil
	}
	ctx, cancel := context.WithTimeout(t.Context(), answerTime)
	defer cancel()
	require.NoError(t, procs.WaitFor(ctx, "pool", v.ask))
	require.NoError(t, send(ctx))
}

// Guards against an entry of carawayd that clients bring to its end, each case in one way, and each listener.
func TestCrowdsEndNoDaemon(t *testing.T) {
	settings := []string{fmt.Sprintf("memory = %dMiB", memoryMB), fmt.Sprintf("descriptors = %d", descriptors)}
	for _, kind := range []crowd.Kind{
		crowd.Whole, crowd.Pieces, crowd.LargeChunks, crowd.SmallChunks, crowd.LongHead, crowd.EndlessHead, crowd.EndlessLines, crowd.EmptyLines,
		crowd.Silent, crowd.Unread, crowd.Pipelined,
	} {
		t.Run("callers/"+string(kind), func(t *testing.T) {
			v := startDaemon(t, settings...)
			v.requireHolds(t, v.callers, kind, clients, memoryMB, descriptors)
		})
	}
	t.Run("operators/"+string(crowd.Whole), func(t *testing.T) {
		v := startDaemon(t, settings...)
		v.requireHolds(t, v.operators, crowd.Whole, clients, memoryMB, descriptors)
	})
	t.Run("peers/"+string(crowd.EndlessHead), func(t *testing.T) {
		v := startDaemon(t, settings...)
		v.requireHolds(t, v.peer, crowd.EndlessHead, clients, memoryMB, descriptors)
	})
	for _, kind := range []crowd.Kind{crowd.Fragments, crowd.CompressedFragments} {
		t.Run("peers/"+string(kind), func(t *testing.T) {
			v := startDaemon(t, settings...)
			v.requireHolds(t, v.peer, kind, linkClients, memoryMB, descriptors)
		})
	}
}

// Guards against an entry of carawayd that runs out of descriptors through connections on which nothing is sent.
func TestCrowdsLeaveDescriptorsOfADaemon(t *testing.T) {
	for name, target := range map[string]func(*victim) crowd.Target{
		"callers": func(v *victim) crowd.Target { return v.callers },
		"peers":   func(v *victim) crowd.Target { return v.peer },
	} {
		t.Run(name, func(t *testing.T) {
			v := startDaemon(t, fmt.Sprintf("memory = %dMiB", memoryMB), fmt.Sprintf("descriptors = %d", fewDescriptors))
			v.requireHolds(t, target(v), crowd.Silent, clients, memoryMB, fewDescriptors)
		})
	}
}
