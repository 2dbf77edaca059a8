// Package site runs a whole deployment on loopback: the platform's stand-ins, targets
// and entries, each in a process of its own.
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

// Plan says what a deployment consists of.
type Plan struct {
	Zones          []string
	EntriesPerZone int
	Pools          []Pool
	// Slots is the number of slots of each target; 0 means 8.
	Slots int
	// ListLag is how far the platform's list lags behind, RebootDuration how long one takes.
	ListLag, RebootDuration time.Duration
	// Retain is the number of records that the log keeps; 0 keeps all.
	Retain int
	// Settings are lines of the settings by section, beside the usual ones.
	Settings map[string][]string
}

// Entry is an entry of a deployment.
type Entry struct {
	Name, Zone string
	// HTTP and Peer are where the entry listens.
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

// Proxy stands between an entry and what it dials. It returns the address to dial
// instead; the identity proxies nothing.
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

// WithProxy puts proxies between entries, and between entries and the platform.
func WithProxy(p Proxy) Option { return func(s *Site) { s.proxy = p } }

// WithClients sets how entries are spoken to; the address is that of their HTTP listener.
func WithClients(f func(address string) *client.Client) Option {
	return func(s *Site) { s.clients = f }
}

// New lays a deployment out: bin holds the programs, dir takes settings and logs.
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
	s.layTargets()
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

// layTargets names the targets, four to a rack across the pools of a zone.
func (s *Site) layTargets() {
	for _, zone := range s.Plan.Zones {
		n := 0
		for _, p := range s.Plan.Pools {
			for i := range p.Zones[zone] {
				s.Targets = append(s.Targets, &Target{
					Name: fmt.Sprintf("%s-%s-%d", zone, p.Name, i+1), Pool: p.Name, Zone: zone,
					Rack: fmt.Sprintf("r%d", n/hostsPerRack+1),
				})
				n++
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

func address(url string) string { return strings.TrimPrefix(url, "http://") }

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
	if _, err := s.run("log", "trial", "log", "--listen", address(s.LogURL), "--retain", strconv.Itoa(s.Plan.Retain)); err != nil {
		return err
	}
	_, err = s.run("hosts", "trial", "hosts", "--listen", address(s.HostURL), "--machines", path,
		"--lag", s.Plan.ListLag.String(), "--reboot", s.Plan.RebootDuration.String())
	return err
}

func (s *Site) run(name, program string, args ...string) (*procs.Proc, error) {
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
	t.Proc, err = s.run(t.Name, "trial", args...)
	return err
}

// WriteConfig writes an entry's settings.
func (s *Site) WriteConfig(e *Entry) error {
	logAddress, err := s.proxy(e.Name, "log", address(s.LogURL))
	if err != nil {
		return err
	}
	hostAddress, err := s.proxy(e.Name, "hosts", address(s.HostURL))
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
		sections[section] = merge(sections[section], lines)
	}
	e.Config = filepath.Join(s.Dir, e.Name+".ini")
	return os.WriteFile(e.Config, render(sections), 0o644)
}

// merge replaces lines of the same key.
func merge(lines, changes []string) []string {
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

func render(sections map[string][]string) []byte {
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
	e.Proc, err = s.run(e.Name, "carawayd", "serve", "--config", e.Config)
	return err
}

// WaitReady waits until every running entry takes requests.
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

// Publish publishes budgets, pools and hosts.
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

// HostSpec is the host record of a target.
func (s *Site) HostSpec(t *Target) host.Spec {
	return host.Spec{
		Pool: t.Pool, Zone: t.Zone, Rack: t.Rack, Address: t.Address,
		Size: host.Resources{Cores: 16, MemoryMiB: 64 << 10}, Slots: s.Plan.Slots, Connections: 64,
	}
}

// WaitForOffset waits until every entry has an offset in force for its requests.
func (s *Site) WaitForOffset(ctx context.Context, offset uint64) error {
	return procs.WaitFor(ctx, fmt.Sprintf("offset %d in force", offset), func(ctx context.Context) error {
		for _, e := range s.Entries {
			members, err := e.Client.Members(ctx)
			if err != nil {
				return err
			}
			for _, m := range members {
				if m.Name == e.Name && m.Offset < offset {
					return fmt.Errorf("%s is at %d", e.Name, m.Offset)
				}
			}
		}
		return nil
	})
}

// SetMachineState sets what the platform says of a machine.
func (s *Site) SetMachineState(ctx context.Context, name string, state plat.MachineState) error {
	return Post(ctx, s.HostURL+"/control/machines/"+name, plat.Machine{State: state})
}

// SetBehaviour switches a target's behaviour.
func (s *Site) SetBehaviour(ctx context.Context, t *Target, b target.Behaviour) error {
	return Post(ctx, "http://"+t.Control+"/behaviour", b)
}

// SetLogFaults switches the faults of the log service.
func (s *Site) SetLogFaults(ctx context.Context, f faulty.Faults) error {
	return Post(ctx, s.LogURL+faulty.Path, f)
}

// SetHostFaults switches the faults of the host service.
func (s *Site) SetHostFaults(ctx context.Context, f faulty.Faults) error {
	return Post(ctx, s.HostURL+faulty.Path, f)
}

// TargetStats returns what a target has seen.
func (s *Site) TargetStats(ctx context.Context, t *Target) (target.Stats, error) {
	return Get[target.Stats](ctx, "http://"+t.Control+"/stats")
}

// HostStats returns what the host service has seen.
func (s *Site) HostStats(ctx context.Context) (hostd.Stats, error) {
	return Get[hostd.Stats](ctx, s.HostURL+"/control/stats")
}

// AppendToLog appends to the log past every check of the entries, as the platform's own
// tools can.
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

// Post sends JSON and wants status 200.
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
		return fault.New("post", url, "status %d", resp.StatusCode)
	}
	return nil
}

// Get reads JSON.
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
