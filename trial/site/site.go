// Package site runs a complete deployment on loopback: the simulated platform services, targets and
// entries, each in its own process.
package site

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"carawaymux.dev/fleet/budget"
	"carawaymux.dev/fleet/client"
	"carawaymux.dev/fleet/fault"
	"carawaymux.dev/fleet/host"
	"carawaymux.dev/fleet/plat"
	"carawaymux.dev/fleet/pool"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/trial/faulty"
	"carawaymux.dev/trial/hostd"
	"carawaymux.dev/trial/procs"
	"carawaymux.dev/trial/target"
)

// Author is the author of the records that a site publishes.
const Author = "site"

// Pool is a pool of a deployment.
type Pool struct {
	// Name is also the pool's request kind.
	Name string
	// Zones holds the number of hosts in each zone.
	Zones map[string]int
	// Budget is the pool's availability budget.
	Budget budget.Spec
	Spare  bool
	Guard  int
	Floor  int
	// RunTime is how long a request of the pool's kind runs.
	RunTime time.Duration
}

// Plan describes the pools, entries and platform of a deployment.
type Plan struct {
	Zones          []string
	EntriesPerZone int
	Pools          []Pool
	// Slots is the number of slots of each target; 0 means 8.
	Slots int
	// ListLag is the time by which the platform's list of machines lags behind, RebootDuration how
	// long the reboot of a machine takes.
	ListLag, RebootDuration time.Duration
	// Retain is the number of records that each stream of the log retains; 0 retains all.
	Retain int
	// Settings holds lines of the entries' settings by section. They are added to the default
	// lines, or replace those with the same key.
	Settings map[string][]string
}

// Entry is an entry of a deployment.
type Entry struct {
	Name, Zone string
	// HTTP and Peer are the addresses where the entry listens for callers and for other entries.
	HTTP, Peer string
	Config     string
	Proc       *procs.Proc
	Client     *client.Client
}

// Target is a target of a deployment.
type Target struct {
	Name, Pool, Zone, Rack string
	Address, Control       string
	Proc                   *procs.Proc
}

// Proxy returns the address that the entry from dials instead of the address of the service or entry
// to. It returns the address unchanged for a direct connection.
type Proxy func(from, to, address string) (string, error)

// Site is a running deployment. Use [New], then [Site.Start].
type Site struct {
	Plan    Plan
	Bin     string
	Dir     string
	Entries []*Entry
	Targets []*Target
	LogURL  string
	HostURL string
	proxy   Proxy
	clients func(address string) *client.Client
	procs   []*procs.Proc
}

// Option changes how a site is built.
type Option func(*Site)

// WithProxy sets the proxies between entries, and between entries and the platform.
func WithProxy(p Proxy) Option { return func(s *Site) { s.proxy = p } }

// WithClients sets how clients of entries are built; the address is that of an HTTP listener.
func WithClients(f func(address string) *client.Client) Option {
	return func(s *Site) { s.clients = f }
}

// New assigns names and ports to all processes of a deployment without starting them. bin is the
// folder of the programs, dir the folder for settings and logs.
func New(p Plan, bin, dir string, opts ...Option) (*Site, error) {
	s := &Site{
		Plan: p, Bin: bin, Dir: dir,
		proxy:   func(_, _, address string) (string, error) { return address, nil },
		clients: func(address string) *client.Client { return client.New("http://" + address) },
	}
	for _, opt := range opts {
		opt(s)
	}
	if s.Plan.Slots == 0 {
		s.Plan.Slots = 8
	}
	s.addTargets()
	for _, zone := range p.Zones {
		for i := range p.EntriesPerZone {
			s.Entries = append(s.Entries, &Entry{Name: fmt.Sprintf("%s-e%d", zone, i+1), Zone: zone})
		}
	}
	ports, err := procs.FreePorts(2 + 2*len(s.Targets) + 2*len(s.Entries))
	if err != nil {
		return nil, err
	}
	s.LogURL, s.HostURL, ports = "http://"+ports[0], "http://"+ports[1], ports[2:]
	for _, t := range s.Targets {
		t.Address, t.Control, ports = ports[0], ports[1], ports[2:]
	}
	for _, e := range s.Entries {
		e.HTTP, e.Peer, ports = ports[0], ports[1], ports[2:]
		e.Client = s.clients(e.HTTP)
	}
	return s, os.MkdirAll(dir, 0o755)
}

// hostsPerRack is the number of hosts of one rack.
const hostsPerRack = 4

// addTargets adds the targets of all pools. The racks of a zone are filled across its pools.
func (s *Site) addTargets() {
	for _, zone := range s.Plan.Zones {
		count := 0
		for _, p := range s.Plan.Pools {
			for i := range p.Zones[zone] {
				s.Targets = append(s.Targets, &Target{
					Name: fmt.Sprintf("%s-%s-%d", zone, p.Name, i+1), Pool: p.Name, Zone: zone,
					Rack: fmt.Sprintf("r%d", count/hostsPerRack+1),
				})
				count++
			}
		}
	}
}

// Start starts all processes and waits until every entry is ready.
func (s *Site) Start(ctx context.Context) error {
	if err := s.startPlatform(); err != nil {
		return err
	}
	for _, t := range s.Targets {
		if err := s.StartTarget(t); err != nil {
			return err
		}
	}
	for _, e := range s.Entries {
		if err := s.WriteConfig(e); err != nil {
			return err
		}
		if err := s.StartEntry(e); err != nil {
			return err
		}
	}
	return s.WaitReady(ctx)
}

func hostPort(url string) string { return strings.TrimPrefix(url, "http://") }

func (s *Site) startPlatform() error {
	var machines []hostd.Machine
	for _, t := range s.Targets {
		machines = append(machines, hostd.Machine{Name: t.Name, Control: t.Control})
	}
	for _, e := range s.Entries {
		machines = append(machines, hostd.Machine{Name: e.Name})
	}
	raw, err := json.Marshal(machines)
	if err != nil {
		return err
	}
	path := filepath.Join(s.Dir, "machines.json")
	if err := os.WriteFile(path, raw, 0o644); err != nil {
		return err
	}
	if _, err := s.startProcess("log", "trial", "log", "--listen", hostPort(s.LogURL), "--retain", strconv.Itoa(s.Plan.Retain)); err != nil {
		return err
	}
	_, err = s.startProcess("hosts", "trial", "hosts", "--listen", hostPort(s.HostURL), "--machines", path,
		"--lag", s.Plan.ListLag.String(), "--reboot", s.Plan.RebootDuration.String())
	return err
}

func (s *Site) startProcess(name, program string, args ...string) (*procs.Proc, error) {
	p, err := procs.Start(s.Dir, name, filepath.Join(s.Bin, program), args...)
	if err == nil {
		s.procs = append(s.procs, p)
	}
	return p, err
}

// StartTarget starts a target's process.
func (s *Site) StartTarget(t *Target) error {
	args := []string{
		"target", "--name", t.Name, "--listen", t.Address, "--control", t.Control, "--slots", strconv.Itoa(s.Plan.Slots),
	}
	for _, p := range s.Plan.Pools {
		args = append(args, "--run", p.Name+"="+p.RunTime.String())
	}
	var err error
	t.Proc, err = s.startProcess(t.Name, "trial", args...)
	return err
}

// WriteConfig writes the settings file of an entry.
func (s *Site) WriteConfig(e *Entry) error {
	logAddress, err := s.proxy(e.Name, "log", hostPort(s.LogURL))
	if err != nil {
		return err
	}
	hostAddress, err := s.proxy(e.Name, "hosts", hostPort(s.HostURL))
	if err != nil {
		return err
	}
	sections := map[string][]string{
		"entry":    {"name = " + e.Name, "zone = " + e.Zone, "drain-delay = 300ms"},
		"listen":   {"http = " + e.HTTP, "peer = " + e.Peer, "clear = yes"},
		"platform": {"log = http://" + logAddress, "hosts = http://" + hostAddress, "list-interval = 100ms"},
		"auth":     {"open = yes"},
		"planner": {
			"term = 2s", "tick = 100ms", "fail-after = 300ms", "return-after = 200ms", "snapshot-every = 64",
		},
	}
	for _, other := range s.Entries {
		if other == e {
			continue
		}
		peerAddress, err := s.proxy(e.Name, other.Name, other.Peer)
		if err != nil {
			return err
		}
		sections["peers"] = append(sections["peers"], fmt.Sprintf("%s = %s %s", other.Name, other.Zone, peerAddress))
	}
	for section, lines := range s.Plan.Settings {
		sections[section] = mergeSettings(sections[section], lines)
	}
	e.Config = filepath.Join(s.Dir, e.Name+".ini")
	return os.WriteFile(e.Config, renderSettings(sections), 0o644)
}

// mergeSettings adds changes to lines; a change replaces the lines with the same key.
func mergeSettings(lines, changes []string) []string {
	for _, change := range changes {
		key, _, _ := strings.Cut(change, " =")
		kept := lines[:0:0]
		for _, line := range lines {
			if !strings.HasPrefix(line, key+" =") {
				kept = append(kept, line)
			}
		}
		lines = append(kept, change)
	}
	return lines
}

func renderSettings(sections map[string][]string) []byte {
	var out bytes.Buffer
	for _, name := range []string{"entry", "listen", "platform", "peers", "auth", "limits", "planner", "trace", "log"} {
		if len(sections[name]) > 0 {
			fmt.Fprintf(&out, "[%s]\n%s\n\n", name, strings.Join(sections[name], "\n"))
		}
	}
	return out.Bytes()
}

// StartEntry starts an entry's process.
func (s *Site) StartEntry(e *Entry) error {
	var err error
	e.Proc, err = s.startProcess(e.Name, "carawayd", "serve", "--config", e.Config)
	return err
}

// WaitReady waits until every entry reports that it is ready. It fails when the process of an entry
// has exited.
func (s *Site) WaitReady(ctx context.Context) error {
	for _, e := range s.Entries {
		if err := procs.WaitFor(ctx, e.Name+" ready", func(ctx context.Context) error {
			if err := e.Proc.CheckRunning(); err != nil {
				return errors.Join(procs.ErrPermanent, err)
			}
			return e.Client.Ready(ctx)
		}); err != nil {
			return err
		}
	}
	return nil
}

// Publish publishes the budgets, pools and hosts of the plan at the first entry.
func (s *Site) Publish(ctx context.Context) error {
	c := s.Entries[0].Client
	for _, p := range s.Plan.Pools {
		if _, err := c.Publish(ctx, client.NewRecord(Author, p.Name, 0, p.Budget)); err != nil {
			return err
		}
		spec := pool.Spec{Budget: p.Name, Kinds: []string{p.Name}, Spare: p.Spare, Guard: p.Guard, Floor: p.Floor}
		if _, err := c.Publish(ctx, client.NewRecord(Author, p.Name, 0, spec)); err != nil {
			return err
		}
	}
	var group errgroup.Group
	group.SetLimit(8)
	for _, t := range s.Targets {
		group.Go(func() error {
			_, err := c.Publish(ctx, client.NewRecord(Author, t.Name, 0, s.HostSpec(t)))
			return err
		})
	}
	return group.Wait()
}

// HostSpec returns the host record of a target.
func (s *Site) HostSpec(t *Target) host.Spec {
	return host.Spec{
		Pool: t.Pool, Zone: t.Zone, Rack: t.Rack, Address: t.Address,
		Size: host.Resources{Cores: 16, MemoryMiB: 64 << 10}, Slots: s.Plan.Slots, Connections: 64,
	}
}

// WaitForOffset waits until every entry applies the records below an offset to its requests.
func (s *Site) WaitForOffset(ctx context.Context, offset uint64) error {
	return procs.WaitFor(ctx, fmt.Sprintf("offset %d in force", offset), func(ctx context.Context) error {
		for _, e := range s.Entries {
			members, err := e.Client.Members(ctx)
			if err != nil {
				return err
			}
			for _, m := range members {
				if m.Name == e.Name && m.Offset < offset {
					return fmt.Errorf("entry %s has only applied offset %d", e.Name, m.Offset)
				}
			}
		}
		return nil
	})
}

// SetMachineState sets the state of a machine in the host service.
func (s *Site) SetMachineState(ctx context.Context, name string, state plat.MachineState) error {
	return Post(ctx, s.HostURL+"/control/machines/"+name, plat.Machine{State: state})
}

// SetBehaviour changes the behaviour of a target.
func (s *Site) SetBehaviour(ctx context.Context, t *Target, b target.Behaviour) error {
	return Post(ctx, "http://"+t.Control+"/behaviour", b)
}

// SetLogFaults sets the faults of the log service.
func (s *Site) SetLogFaults(ctx context.Context, f faulty.Faults) error {
	return Post(ctx, s.LogURL+faulty.Path, f)
}

// SetHostFaults sets the faults of the host service.
func (s *Site) SetHostFaults(ctx context.Context, f faulty.Faults) error {
	return Post(ctx, s.HostURL+faulty.Path, f)
}

// TargetStats returns the statistics of a target.
func (s *Site) TargetStats(ctx context.Context, t *Target) (target.Stats, error) {
	return Get[target.Stats](ctx, "http://"+t.Control+"/stats")
}

// HostStats returns the statistics of the host service.
func (s *Site) HostStats(ctx context.Context) (hostd.Stats, error) {
	return Get[hostd.Stats](ctx, s.HostURL+"/control/stats")
}

// AppendToLog appends a record directly to the log, without the checks of an entry, as the
// platform's own tools can.
func (s *Site) AppendToLog(ctx context.Context, r record.Record, encode func(record.Record) ([]byte, error)) error {
	raw, err := encode(r)
	if err != nil {
		return err
	}
	p := plat.New(s.LogURL, s.HostURL)
	defer p.Close()
	_, err = p.Append(ctx, plat.StreamMain, raw)
	return err
}

// Close kills all processes and waits for them.
func (s *Site) Close() {
	for _, p := range s.procs {
		p.Kill()
	}
}

// Post sends JSON and returns an error unless the response has status 200.
func Post(ctx context.Context, url string, body any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fault.At("post", url, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fault.New("post", url, "got HTTP status %d, expected 200", resp.StatusCode)
	}
	return nil
}

// Get requests a URL and decodes the JSON response. It does not check the status.
func Get[T any](ctx context.Context, url string) (T, error) {
	var out T
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return out, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return out, fault.At("get", url, err)
	}
	defer resp.Body.Close()
	return out, fault.At("get", url, json.NewDecoder(resp.Body).Decode(&out))
}
