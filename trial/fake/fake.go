// Package fake simulates the users' platform on loopback: its metadata store, hosts, machines
// and policy service, with faults that tests inject. It checks the behaviour of the entries
// against the guarantees that they give, from the calls that the simulated services receive.
package fake

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"time"

	"carawaymux.dev/fleet/task"
	"carawaymux.dev/trial/faulty"
)

// advanceInterval is the time between two checks for events that only depend on time.
const advanceInterval = 15 * time.Millisecond

// Platform is the simulated platform. Use [New] to build it.
type Platform struct {
	task    *task.Task[func(*state)]
	servers []*http.Server
	// StoreAddress, MachinesAddress and AdviceAddress are the addresses of the metadata store,
	// the machines API and the policy service.
	StoreAddress, MachinesAddress, AdviceAddress string
	hosts                                        map[string]string
	// entryCores, entryLimits, entryArgs, failClosed and proxy are the values of the fields of the layout.
	entryCores  []float64
	entryLimits string
	entryArgs   []string
	failClosed  bool
	proxy       Proxy
	// machineFaults applies the faults of the machines API.
	machineFaults *faulty.Injector
}

// state is the state that the platform's task owns.
type state struct {
	startedAt time.Time
	store     store
	hosts     map[string]*host
	machines  map[string]*machine
	// hostsIssued counts the host IDs that have been assigned.
	hostsIssued int
	// recordExpiry holds when the records of crashed hosts are removed, by host ID.
	recordExpiry map[string]time.Time
	// unguardedPools holds the pools whose hosts accept tasks beyond their capacity.
	unguardedPools map[string]bool
	violations     []string
	checker        checker
	timing         Timing
	// waves holds the published waves, by number.
	waves map[int64]publishedWave
	// advisedPool is the pool whose tasks need tickets; refusedForTicket counts the starts that
	// were refused because the ticket was missing or wrong.
	advisedPool      string
	refusedForTicket int
	// observe is called with each event on a host.
	observe func(Event)
	// rerunDone is the value of Layout.RerunDone.
	rerunDone bool
	// released holds the jobs that were released, by ID.
	released map[string]bool
}

// Timing holds the durations of the simulation.
type Timing struct {
	// MaxLease is the longest lease that a host grants.
	MaxLease time.Duration
	// MoveDuration and MaintenanceDuration are how long a machine is offline for a move and for
	// maintenance.
	MoveDuration, MaintenanceDuration time.Duration
	// HeartbeatInterval is the time between two records that a host writes to the store.
	HeartbeatInterval time.Duration
}

// Layout describes the pools of a simulated platform and its timing.
type Layout struct {
	// Pools holds the number of machines of each pool; StandbyPool names the pool whose
	// machines are switched off.
	Pools       map[string]int
	StandbyPool string
	// AdvisedPool names the pool whose tasks need tickets of the policy service; empty for none.
	AdvisedPool string
	// UnguardedPools holds the pools whose hosts accept tasks beyond their capacity.
	UnguardedPools map[string]bool
	// FailClosed adds the settings by which entries refuse keys that they cannot verify.
	FailClosed bool
	// EntryCores holds the processor capacity that the settings state for each entry, in cores. They
	// state none for the entries beyond it.
	EntryCores []float64
	// EntryLimits holds lines of the limits in the settings of entries. If it is empty, they state defaultLimits.
	EntryLimits string
	// EntryArgs are further arguments of the command that starts an entry.
	EntryArgs []string
	Timing    Timing
	// AppendTime is the time that each append to the store takes at first.
	AppendTime time.Duration
	// Rewrite returns what the store keeps of a value that an entry appends under a key; nil to keep values as they are.
	Rewrite func(topic, key string, value []byte) []byte
	// NoFences makes the store accept appends of earlier owners. Tests use it to see checks fail.
	NoFences bool
	// Proxy sets the proxies on the connections of entries; nil for none.
	Proxy Proxy
	// Observe is called with each event on a host, in their order. It must not block; nil for no calls.
	Observe func(Event)
	// RerunDone makes hosts start each task again that has succeeded. Tests use it to see checks fail.
	RerunDone bool
}

// The services that a [Proxy] may be for, beside machines.
const (
	StoreLink    = "store"
	MachinesLink = "machines"
)

// MachineID returns the ID of a machine of a pool.
func MachineID(pool string, i int) string { return fmt.Sprintf("m-%s-%d", pool, i) }

// Proxy returns the address of a proxy for the connections from an entry to a service or to a machine. The name
// of the entry is empty for proxies that all entries share.
type Proxy func(from, to, address string) (string, error)

// EntryMemoryMB is the memory of entries unless a layout sets other limits.
const EntryMemoryMB = 284

// defaultLimits are the limits of entries unless a layout sets others.
var defaultLimits = fmt.Sprintf("memory_mb = %d", EntryMemoryMB)

// New starts a simulated platform on loopback.
func New(layout Layout) (*Platform, error) {
	fp := &Platform{hosts: map[string]string{}, entryCores: layout.EntryCores, entryLimits: cmp.Or(layout.EntryLimits, defaultLimits), entryArgs: layout.EntryArgs, failClosed: layout.FailClosed, proxy: layout.Proxy, machineFaults: faulty.New()}
	if fp.proxy == nil {
		fp.proxy = func(_, _, address string) (string, error) { return address, nil }
	}
	st := newState(layout)
	fp.task = task.Start(func(ctx context.Context, inbox <-chan func(*state)) {
		t := time.NewTicker(advanceInterval)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case f := <-inbox:
				f(st)
			case <-t.C:
				st.advance(time.Now())
			}
		}
	}, task.WithInbox(1024))
	var err error
	if fp.StoreAddress, err = fp.serve(fp.storeHandler()); err != nil {
		return nil, err
	}
	if fp.MachinesAddress, err = fp.serve(fp.machineFaults.Wrap(fp.machinesHandler())); err != nil {
		return nil, err
	}
	if fp.AdviceAddress, err = fp.serve(fp.adviceHandler()); err != nil {
		return nil, err
	}
	return fp, fp.addMachines(layout)
}

func newState(layout Layout) *state {
	observe := layout.Observe
	if observe == nil {
		observe = func(Event) {}
	}
	return &state{
		observe: observe, rerunDone: layout.RerunDone,
		startedAt: time.Now(), store: newStore(layout), hosts: map[string]*host{}, machines: map[string]*machine{},
		recordExpiry: map[string]time.Time{}, released: map[string]bool{}, waves: map[int64]publishedWave{}, unguardedPools: layout.UnguardedPools,
		checker: newChecker(), timing: layout.Timing, advisedPool: layout.AdvisedPool,
	}
}

// addMachines gives each machine its own address and boots the machines outside the standby pool.
func (fp *Platform) addMachines(layout Layout) error {
	for _, pool := range sortedKeys(layout.Pools) {
		for i := range layout.Pools[pool] {
			id := MachineID(pool, i)
			address, err := fp.serve(fp.hostHandler(id))
			if err != nil {
				return err
			}
			if address, err = fp.proxy("", id, address); err != nil {
				return err
			}
			fp.do(func(st *state) {
				m := &machine{
					id: id, pool: pool, state: stateUp, address: address,
					zone: zones[i%len(zones)], rack: fmt.Sprintf("r%d-%d", i%len(zones), i/machinesPerRack),
				}
				st.machines[id] = m
				if pool == layout.StandbyPool {
					m.standby = true
					st.store.standby = pool
					return
				}
				st.boot(m, time.Now())
			})
		}
	}
	return nil
}

// machinesPerRack is the number of machines of a pool in one rack.
const machinesPerRack = 4

// zones are the availability zones of the platform.
var zones = [...]string{"zone-a", "zone-b"}

// Zones lists the availability zones.
func Zones() []string { return zones[:] }

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

// serve starts an HTTP server on a free port and returns its address.
func (fp *Platform) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	fp.servers = append(fp.servers, s)
	go s.Serve(l) //nolint:errcheck // it always returns an error once Close is called
	return l.Addr().String(), nil
}

// do runs f in the platform's task and waits for it to return.
func (fp *Platform) do(f func(*state)) {
	done := make(chan struct{})
	if err := fp.task.Send(context.Background(), func(s *state) { defer close(done); f(s) }); err != nil {
		return
	}
	select {
	case <-done:
	case <-fp.task.Done():
	}
}

// query runs f in the platform's task and returns its result.
func query[T any](fp *Platform, f func(*state) T) T {
	var out T
	fp.do(func(s *state) { out = f(s) })
	return out
}

// Close stops all services and the task.
func (fp *Platform) Close() {
	for _, s := range fp.servers {
		s.Close()
	}
	fp.task.Close()
	fp.machineFaults.Close()
}

// Violations lists the violated guarantees, each with its time in seconds since the start.
func (fp *Platform) Violations() []string {
	return query(fp, func(s *state) []string { return append([]string(nil), s.violations...) })
}

// advance processes all events of hosts and machines that are due at a time.
func (s *state) advance(now time.Time) {
	for _, id := range sortedKeys(s.hosts) {
		s.hosts[id].advance(s, now)
	}
	for _, id := range sortedKeys(s.machines) {
		s.machines[id].advance(s, now)
	}
	s.expireRecords(now)
}

func (s *state) addViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("%.3f ", time.Since(s.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the caller has closed the connection.
	_ = json.NewEncoder(w).Encode(body)
}

// hang keeps a connection open without a response until the caller closes it.
func hang(r *http.Request) { <-r.Context().Done() }
