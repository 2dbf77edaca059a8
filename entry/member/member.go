// Package member keeps track of the entries: which ones are live, in which zone,
// up to which offset they have the configuration in force, and what they are still
// busy with.
//
// Entries of one zone tell each other everything. Across zones one entry of each
// zone, the speaker, passes its zone's rows on, so that the cost for an entry grows
// with its zone and not with the fleet.
package member

import (
	"context"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"carawaymux.dev/entry/follow"
	"carawaymux.dev/entry/link"
	"carawaymux.dev/fleet/plat"
	"carawaymux.dev/fleet/task"
)

const (
	// defaultTick is the time between two heartbeats.
	defaultTick = 250 * time.Millisecond
	// silentTicks is the number of heartbeats after which an entry that was not
	// heard of counts as silent.
	silentTicks = 6
)

// Row is what an entry tells of itself.
type Row struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Incarnation grows with every start of the entry.
	Incarnation uint64 `json:"incarnation"`
	// HeartbeatSeq grows with every heartbeat within one incarnation.
	HeartbeatSeq uint64 `json:"beat"`
	// Revision grows with every change of Busy, Failing, Room, Stopping or Left.
	Revision uint64 `json:"revision"`
	// Unchanged says that the row leaves these out: they are those of the revision.
	Unchanged bool `json:"same,omitempty"`
	// Offset is the offset up to which the configuration is in force for the
	// entry's requests; 0 while the entry routes nothing.
	Offset uint64 `json:"offset"`
	// Busy names the hosts out of service on which the entry still has requests
	// in flight.
	Busy []string `json:"busy,omitempty"`
	// Failing names the hosts that fail what the entry sends them.
	Failing []string `json:"failing,omitempty"`
	// FreeSlots is the number of free slots of each pool that has any, rounded down to
	// a power of two so that it seldom changes.
	FreeSlots map[string]int `json:"room,omitempty"`
	// Stopping says that the entry takes no new work.
	Stopping bool `json:"stopping,omitempty"`
	// Left says that the entry has handed everything over and ended.
	Left bool `json:"left,omitempty"`
}

// newer reports whether r replaces old.
func (r Row) newer(old Row) bool {
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	return r.HeartbeatSeq > old.HeartbeatSeq
}

// pulse is the row without what its revision tells.
func (r Row) pulse() Row {
	return Row{
		Name: r.Name, Zone: r.Zone, Incarnation: r.Incarnation, HeartbeatSeq: r.HeartbeatSeq, Revision: r.Revision, Offset: r.Offset, Unchanged: true,
	}
}

// fill gives a pulse what its revision tells, from an older row of the same revision. It
// reports false when that is not known.
func (r Row) fill(old Row) (Row, bool) {
	if !r.Unchanged {
		return r, true
	}
	if old.Incarnation != r.Incarnation || old.Revision != r.Revision {
		return r, false
	}
	r.Busy, r.Failing, r.FreeSlots, r.Stopping, r.Left = old.Busy, old.Failing, old.FreeSlots, old.Stopping, old.Left
	r.Unchanged = false
	return r, true
}

// State says what is thought of an entry.
type State string

// The states.
const (
	// Live entries were heard of lately.
	Live State = "live"
	// Silent entries were not heard of lately; they may still be running.
	Silent State = "silent"
	// Left entries ended in good order.
	Left State = "left"
	// Gone entries are gone for good by the platform's list.
	Gone State = "gone"
)

// Peer is an entry as seen from here.
type Peer struct {
	Row
	// Address is where the entry listens for peers.
	Address string
	State   State
	// Silence is how long the entry has not been heard of.
	Silence time.Duration
}

// Report is what the entry's own tasks say for its row.
type Report struct {
	Offset    uint64
	Busy      []string
	Failing   []string
	FreeSlots map[string]int
}

// PeerConfig names another entry by the settings.
type PeerConfig struct{ Name, Zone, Address string }

// Tracker keeps track of the entries. Use [New] to build it.
type Tracker struct {
	self     Row
	known    []PeerConfig
	dialer   *link.Dialer
	follower func() *follow.Follower
	logger   *slog.Logger
	tick     time.Duration
	core     *task.Task[message]
	// seen is what the core last published; it is never changed afterwards.
	seen atomic.Pointer[[]Peer]
}

// Option changes how a member is built.
type Option func(*Tracker)

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option { return func(m *Tracker) { m.logger = l } }

// WithTick sets the time between two heartbeats.
func WithTick(d time.Duration) Option { return func(m *Tracker) { m.tick = d } }

// WithFollower sets where records for peers are taken from.
func WithFollower(f func() *follow.Follower) Option { return func(m *Tracker) { m.follower = f } }

// New starts to keep track of the known entries.
func New(self Row, known []PeerConfig, dialer *link.Dialer, opts ...Option) *Tracker {
	m := &Tracker{self: self, known: known, dialer: dialer, logger: slog.Default(), tick: defaultTick}
	for _, opt := range opts {
		opt(m)
	}
	m.seen.Store(&[]Peer{})
	m.core = task.Start(m.run)
	return m
}

// Close stops the member and waits for its links.
func (m *Tracker) Close() { m.core.Close() }

// Peers lists all entries, this one included, sorted by name.
func (m *Tracker) Peers(ctx context.Context) ([]Peer, error) {
	return task.Call(ctx, m.core, func(reply chan<- []Peer) message { return list{reply} })
}

// SetReport sets what the entry says of itself.
func (m *Tracker) SetReport(r Report) { m.core.TrySend(tell(r)) }

// AnnounceStop says that the entry takes no new work.
func (m *Tracker) AnnounceStop(ctx context.Context) error {
	return m.core.Send(ctx, stopping{})
}

// Leave tells all reachable peers that the entry has ended in good order, and
// waits until that has been sent.
func (m *Tracker) Leave(ctx context.Context) error {
	_, err := task.Call(ctx, m.core, func(reply chan<- struct{}) message { return leave{reply} })
	return err
}

// SetMachines takes over the platform's list. It waits for room, since a list is told only
// when it has changed.
func (m *Tracker) SetMachines(l plat.MachineList) { _ = m.core.Send(context.Background(), listed(l)) }

// MostFreeSlots returns the live entry of a zone that takes work and has the most free slots
// of a pool, as of the last heartbeat; false when there is none. It costs no message,
// since it is asked for each request that finds no slot.
func (m *Tracker) MostFreeSlots(zone, pool string) (Peer, bool) {
	var best Peer
	found := false
	for _, p := range *m.seen.Load() {
		if p.Zone != zone || p.State != Live || p.Stopping || p.Name == m.self.Name {
			continue
		}
		if !found || p.FreeSlots[pool] > best.FreeSlots[pool] {
			best, found = p, true
		}
	}
	return best, found
}

// Get returns an entry by its name, and false when it is not known.
func (m *Tracker) Get(ctx context.Context, name string) (Peer, bool) {
	peers, err := m.Peers(ctx)
	if err != nil {
		return Peer{}, false
	}
	i := slices.IndexFunc(peers, func(p Peer) bool { return p.Name == name })
	if i < 0 {
		return Peer{}, false
	}
	return peers[i], true
}
