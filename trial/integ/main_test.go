// Package integ tests complete deployments. Entries, targets and stand-ins of the platform run
// as processes; the connections between them pass through a proxy that injects faults.
package integ

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/budget"
	"carawaymux.dev/fleet/client"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wire"
	"carawaymux.dev/trial/edits"
	"carawaymux.dev/trial/procs"
	"carawaymux.dev/trial/site"
)

// seed is the seed of the arrival times of all loads.
const seed = 20261204

// bin holds the programs under test.
var bin string

// TestMain builds the programs once.
func TestMain(m *testing.M) {
	// Limits the number of deployments that run at the same time. More would wait for
	// each other on the processors.
	if err := flag.Set("test.parallel", "4"); err != nil {
		panic(err)
	}
	os.Exit(edits.Main(m, &bin, "../..", "./entry/cmd/carawayd", "./oper/cmd/caraway", "./trial/cmd/trial"))
}

// fixture is a deployment whose links can be partitioned.
type fixture struct {
	*site.Site
	t     *testing.T
	ctx   context.Context
	links map[string]*proxiedLink
}

// proxiedLink is the proxied connection from an entry to a peer or to the platform.
type proxiedLink struct {
	from, to string
	proxy    *toxiproxy.Proxy
}

const (
	zoneA = "tp-a"
	zoneB = "tp-b"
)

// oneUnavailable allows one host of a pool to be out of service.
var oneUnavailable = budget.Spec{MaxUnavailable: 1, MinAvailable: 1}

// twoZones returns a plan with two zones, two entries in each, two pools and a spare pool.
func twoZones() site.Plan {
	each := map[string]int{zoneA: 2, zoneB: 2}
	return site.Plan{
		Zones: []string{zoneA, zoneB}, EntriesPerZone: 2, ListLag: 100 * time.Millisecond, RebootDuration: 300 * time.Millisecond,
		Pools: []site.Pool{
			{Name: "documents", Zones: each, Budget: oneUnavailable, RunTime: 5 * time.Millisecond},
			{Name: "remittances", Zones: each, Budget: oneUnavailable, RunTime: 5 * time.Millisecond},
			{Name: "inquiries", Zones: each, Budget: oneUnavailable, Spare: true, Guard: 8, RunTime: 5 * time.Millisecond},
		},
	}
}

// start starts a deployment behind proxies, publishes its records and waits until they are
// applied.
func start(t *testing.T, p site.Plan, opts ...site.Option) *fixture {
	t.Helper()
	t.Parallel()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	t.Cleanup(cancel)
	f := &fixture{t: t, ctx: ctx, links: make(map[string]*proxiedLink)}
	server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop())
	opts = append(opts, site.WithProxy(func(from, to, address string) (string, error) {
		key := from + ">" + to
		if f.links[key] == nil {
			listen, err := procs.FreePorts(1)
			if err != nil {
				return "", err
			}
			proxy := toxiproxy.NewProxy(server, key, listen[0], address)
			if err := proxy.Start(); err != nil {
				return "", err
			}
			f.links[key] = &proxiedLink{from: from, to: to, proxy: proxy}
		}
		return f.links[key].proxy.Listen, nil
	}))
	s, err := site.New(p, bin, t.TempDir(), opts...)
	require.NoError(t, err)
	f.Site = s
	t.Cleanup(func() {
		s.Close()
		for _, c := range f.links {
			c.proxy.Stop()
		}
		if t.Failed() {
			f.dumpLogs()
		}
	})
	require.NoError(t, s.Start(ctx))
	require.NoError(t, s.Publish(ctx))
	f.waitUntilApplied()
	return f
}

// waitUntilApplied waits until every entry has applied the records published so far.
func (f *fixture) waitUntilApplied() {
	f.t.Helper()
	status, err := f.Entries[0].Client.Status(f.ctx)
	require.NoError(f.t, err)
	require.NoError(f.t, f.WaitForOffset(f.ctx, status.Offset))
}

// dumpLogs adds the last 25 lines of the log of each entry to the output of the test.
func (f *fixture) dumpLogs() {
	for _, e := range f.Entries {
		raw, err := os.ReadFile(filepath.Join(f.Dir, e.Name+".log"))
		if err != nil {
			continue
		}
		lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
		f.t.Logf("%s:\n%s", e.Name, strings.Join(lines[max(0, len(lines)-25):], "\n"))
	}
}

// partition stops all traffic on the matching links but keeps their connections open, as a
// network partition does. heal closes these connections and allows new ones.
func (f *fixture) partition(match func(from, to string) bool) (heal func()) {
	f.t.Helper()
	var cutLinks []*proxiedLink
	for _, c := range f.links {
		if !match(c.from, c.to) {
			continue
		}
		for _, direction := range []string{"upstream", "downstream"} {
			toxic := fmt.Sprintf(`{"name":"cut-%s","type":"timeout","stream":"%s","attributes":{"timeout":0}}`, direction, direction)
			_, err := c.proxy.Toxics.AddToxicJson(strings.NewReader(toxic))
			require.NoError(f.t, err)
		}
		cutLinks = append(cutLinks, c)
	}
	return func() {
		for _, c := range cutLinks {
			c.proxy.Toxics.ResetToxics(f.ctx)
			c.proxy.Stop()
			// A process that another test is starting holds the closed listener until its exec,
			// and the port stays in use that long.
			require.NoError(f.t, procs.WaitFor(f.ctx, "the proxy listens again", func(context.Context) error { return c.proxy.Start() }))
		}
	}
}

// partitionZone stops all traffic between a zone and the other zones and the platform.
func (f *fixture) partitionZone(zone string) (heal func()) {
	return f.partition(func(from, to string) bool {
		return f.zoneOf(from) != f.zoneOf(to) && (f.zoneOf(from) == zone || f.zoneOf(to) == zone)
	})
}

func (f *fixture) zoneOf(name string) string {
	for _, e := range f.Entries {
		if e.Name == name {
			return e.Zone
		}
	}
	return "platform"
}

func (f *fixture) entry(name string) *site.Entry {
	for _, e := range f.Entries {
		if e.Name == name {
			return e
		}
	}
	f.t.Fatalf("no entry %s", name)
	return nil
}

func (f *fixture) target(name string) *site.Target {
	for _, t := range f.Targets {
		if t.Name == name {
			return t
		}
	}
	f.t.Fatalf("no target %s", name)
	return nil
}

// publish publishes a record through an entry and requires that it is accepted.
func (f *fixture) publish(e *site.Entry, object string, base uint64, body record.Body) record.Verdict {
	f.t.Helper()
	v, err := e.Client.Publish(f.ctx, client.NewRecord("ana", object, base, body))
	require.NoError(f.t, err)
	return v
}

// object returns the state of an object at an entry.
func (f *fixture) object(e *site.Entry, k record.Kind, name string) wire.Object {
	f.t.Helper()
	o, err := e.Client.Object(f.ctx, k, name, 0)
	require.NoError(f.t, err)
	return o
}

// eventually polls check until it returns nil, and fails the test after the time within.
func (f *fixture) eventually(what string, within time.Duration, check func(ctx context.Context) error) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.ctx, within)
	defer cancel()
	require.NoError(f.t, procs.WaitFor(ctx, what, check))
}

// waitForPhase waits until an entry reports the phase for an object.
func (f *fixture) waitForPhase(e *site.Entry, k record.Kind, name, phase string, within time.Duration) {
	f.t.Helper()
	f.eventually(fmt.Sprintf("%s %s is %s", k, name, phase), within, func(ctx context.Context) error {
		o, err := e.Client.Object(ctx, k, name, 0)
		if err != nil {
			return err
		}
		if o.Status.Phase != phase {
			return fmt.Errorf("its phase is %s", o.Status.Phase)
		}
		return nil
	})
}

// leaseHolder returns the entry that holds the planner lease.
func (f *fixture) leaseHolder() *site.Entry {
	f.t.Helper()
	var found *site.Entry
	f.eventually("an entry holds the planner lease", 20*time.Second, func(ctx context.Context) error {
		for _, e := range f.Entries {
			status, err := e.Client.Status(ctx)
			if err != nil {
				continue
			}
			name, _, _ := strings.Cut(status.Lease.Holder, ":")
			if name != "" {
				found = f.entry(name)
				return nil
			}
		}
		return fmt.Errorf("no entry holds the lease")
	})
	return found
}

// request sends one idempotent request through an entry.
func (f *fixture) request(e *site.Entry, kind string) client.Response {
	f.t.Helper()
	a, err := e.Client.Do(f.ctx, client.Request{
		Kind: kind, ID: record.NewID().String(), Idempotent: true, Deadline: 3 * time.Second, Body: []byte("x"),
	})
	require.NoError(f.t, err)
	return a
}

// restartEntry kills the process of an entry and starts a new incarnation at the same address.
func (f *fixture) restartEntry(e *site.Entry) {
	f.t.Helper()
	e.Proc.Kill()
	require.NoError(f.t, f.StartEntry(e))
}

// reachable reports whether an address accepts connections.
func reachable(address string) bool {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	c.Close()
	return true
}
