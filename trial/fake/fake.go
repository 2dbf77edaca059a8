// Package fake is a stand-in of the users' platform: its store, hosts and machines,
// on loopback, with faults that tests bring about. It judges what the entries do from
// what the stand-ins see.
package fake

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"time"

	"carawaymux.dev/fleet/task"
)

// tick is the time between looks at what only time brings about.
const tick = 15 * time.Millisecond

// Platform is the stand-in. Use [New] to build it.
type Platform struct {
	task    *task.Task[func(*state)]
	servers []*http.Server
	// StoreAddress, MachinesAddress and AdviceAddress are the addresses of the services.
	StoreAddress, MachinesAddress, AdviceAddress string
	hosts                                        map[string]string
}

// state is the state of the world's task.
type state struct {
	began    time.Time
	store    store
	hosts    map[string]*host
	machines map[string]*machine
	// issued counts the IDs of hosts that were given out.
	issued     int
	violations []string
	seen       ledger
	rules      Timing
	wave       *waveState
	// advised is the pool whose work needs tickets; unticketed counts the starts that
	// were refused for want of one.
	advised    string
	unticketed int
}

// Timing are the figures that the stand-in goes by.
type Timing struct {
	// MaxLease is the longest lease of a host.
	MaxLease time.Duration
	// MoveDuration and MaintenanceDuration are how long a machine is away.
	MoveDuration, MaintenanceDuration time.Duration
	// HeartbeatInterval is the time between a host's records in the store.
	HeartbeatInterval time.Duration
}

// Layout is what a world has.
type Layout struct {
	// Pools holds the number of machines of each pool; Standby names the pool whose
	// machines are switched off.
	Pools       map[string]int
	StandbyPool string
	// AdvisedPool names a pool whose work needs advice; empty for none.
	AdvisedPool string
	Timing      Timing
}

// New starts a world on loopback.
func New(s Layout) (*Platform, error) {
	w := &Platform{hosts: map[string]string{}}
	st := &state{
		began: time.Now(), store: newStore(), hosts: map[string]*host{}, machines: map[string]*machine{},
		seen: newLedger(), rules: s.Timing, advised: s.AdvisedPool,
	}
	w.task = task.Start(func(ctx context.Context, inbox <-chan func(*state)) {
		t := time.NewTicker(tick)
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
	if w.StoreAddress, err = w.serve(w.storeHandler()); err != nil {
		return nil, err
	}
	if w.MachinesAddress, err = w.serve(w.machinesHandler()); err != nil {
		return nil, err
	}
	if w.AdviceAddress, err = w.serve(w.adviceHandler()); err != nil {
		return nil, err
	}
	return w, w.populate(s)
}

// populate gives each machine an address of its own, and starts those that work.
func (w *Platform) populate(s Layout) error {
	for _, pool := range keys(s.Pools) {
		for i := range s.Pools[pool] {
			id := fmt.Sprintf("m-%s-%d", pool, i)
			address, err := w.serve(w.hostHandler(id))
			if err != nil {
				return err
			}
			w.do(func(st *state) {
				m := &machine{
					id: id, pool: pool, state: stateUp, address: address,
					zone: zones[i%len(zones)], rack: fmt.Sprintf("r%d-%d", i%len(zones), i/racked),
				}
				st.machines[id] = m
				if pool == s.StandbyPool {
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

// racked is the number of machines of a pool in one rack.
const racked = 4

// zones are the availability zones of the stand-in.
var zones = [...]string{"zone-a", "zone-b"}

// Zones lists the availability zones.
func Zones() []string { return zones[:] }

func keys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

// serve starts a server on a free port.
func (w *Platform) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	w.servers = append(w.servers, s)
	go s.Serve(l) //nolint:errcheck // it ends with Close
	return l.Addr().String(), nil
}

// do runs f in the world's task and waits for it.
func (w *Platform) do(f func(*state)) {
	done := make(chan struct{})
	if err := w.task.Send(context.Background(), func(s *state) { defer close(done); f(s) }); err != nil {
		return
	}
	select {
	case <-done:
	case <-w.task.Done():
	}
}

// ask runs f in the world's task and returns what it says.
func ask[T any](w *Platform, f func(*state) T) T {
	var out T
	w.do(func(s *state) { out = f(s) })
	return out
}

// Close stops the world.
func (w *Platform) Close() {
	for _, s := range w.servers {
		s.Close()
	}
	w.task.Close()
}

// Violations lists the promises that were broken.
func (w *Platform) Violations() []string {
	return ask(w, func(s *state) []string { return append([]string(nil), s.violations...) })
}

// advance lets time pass.
func (s *state) advance(now time.Time) {
	for _, id := range keys(s.hosts) {
		s.hosts[id].advance(s, now)
	}
	for _, id := range keys(s.machines) {
		s.machines[id].advance(s, now)
	}
}

func (s *state) broken(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("%.3f ", time.Since(s.began).Seconds())+fmt.Sprintf(format, args...))
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may have gone.
	_ = json.NewEncoder(w).Encode(body)
}

// hang keeps a connection open without an answer until the caller gives up.
func hang(r *http.Request) { <-r.Context().Done() }
