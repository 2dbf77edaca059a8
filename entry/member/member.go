// Package member tracks the state of all entries through heartbeats on direct links: which entries
// are live, which configuration offset they apply, and which hosts they still use. Entries of one
// zone send heartbeats to each other. Between zones, one entry of each zone (the speaker) forwards
// the rows of its zone, so the cost for an entry grows with the size of its zone, not of the fleet.
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
	// silentTicks is the number of heartbeat intervals without a new heartbeat after which an
	// entry counts as silent.
	silentTicks = 6
)

// Row is the state that an entry reports about itself.
type Row struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Incarnation increases with every start of the entry.
	Incarnation uint64 `json:"incarnation"`
	// HeartbeatSeq increases with every heartbeat within one incarnation.
	HeartbeatSeq uint64 `json:"beat"`
	// Revision increases with every change of Busy, Failing, FreeSlots, Stopping or Left.
	Revision uint64 `json:"revision"`
	// Unchanged reports that the row omits the fields that Revision covers. The receiver takes them
	// from an earlier row of the same revision.
	Unchanged bool `json:"same,omitempty"`
	// Offset is the offset up to which the entry applies the configuration to its requests; 0 while
	// the entry does not route.
	Offset uint64 `json:"offset"`
	// Busy lists the hosts out of service on which the entry still has requests in flight.
	Busy []string `json:"busy,omitempty"`
	// Failing lists the hosts that fail the requests of this entry.
	Failing []string `json:"failing,omitempty"`
	// FreeSlots is the number of free slots of each pool that has any. It is rounded down to a power
	// of two so that it changes rarely.
	FreeSlots map[string]int `json:"room,omitempty"`
	// Stopping reports that the entry takes no new work.
	Stopping bool `json:"stopping,omitempty"`
	// Left reports that the entry has handed over all its work and ended.
	Left bool `json:"left,omitempty"`
}

// newer reports whether r replaces old.
func (r Row) newer(old Row) bool {
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	return r.HeartbeatSeq > old.HeartbeatSeq
}

// abridged returns the row without the fields that Revision covers.
func (r Row) abridged() Row {
	return Row{
		Name: r.Name, Zone: r.Zone, Incarnation: r.Incarnation, HeartbeatSeq: r.HeartbeatSeq,
		Revision: r.Revision, Offset: r.Offset, Unchanged: true,
	}
}

// complete fills an abridged row from an older row of the same revision. It returns false if the
// older row has another revision.
func (r Row) complete(old Row) (Row, bool) {
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

// State is the state of an entry as seen by another entry.
type State string

// The states.
const (
	// Live entries have sent a heartbeat within the last silentTicks intervals.
	Live State = "live"
	// Silent entries have sent no recent heartbeat; they may still be running.
	Silent State = "silent"
	// Left entries handed over their work before they ended.
	Left State = "left"
	// Gone entries are silent, and the platform lists their machine as gone for good.
	Gone State = "gone"
)

// Peer is an entry as seen by this entry.
type Peer struct {
	Row
	// Address is the address at which the entry accepts links from peers.
	Address string
	State   State
	// Silence is the time since the last heartbeat arrived; 0 if none has arrived yet.
	Silence time.Duration
}

// Report is the state that the entry's own tasks provide for its row.
type Report struct {
	Offset    uint64
	Busy      []string
	Failing   []string
	FreeSlots map[string]int
}

// PeerConfig identifies another entry, as configured in the settings.
type PeerConfig struct{ Name, Zone, Address string }

// Tracker tracks the state of all entries. Use [New] to build it.
type Tracker struct {
	self     Row
	configs  []PeerConfig
	dialer   *link.Dialer
	follower func() *follow.Follower
	logger   *slog.Logger
	tick     time.Duration
	core     *task.Task[message]
	// published is the list of entries as of the last heartbeat. A stored list is never modified.
	published atomic.Pointer[[]Peer]
}

// Option configures a Tracker.
type Option func(*Tracker)

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option { return func(t *Tracker) { t.logger = l } }

// WithTick sets the time between two heartbeats.
func WithTick(d time.Duration) Option { return func(t *Tracker) { t.tick = d } }

// WithFollower sets the function that returns the follower whose records are provided to peers.
func WithFollower(f func() *follow.Follower) Option { return func(t *Tracker) { t.follower = f } }

// New starts a tracker for the configured entries.
func New(self Row, configs []PeerConfig, dialer *link.Dialer, opts ...Option) *Tracker {
	t := &Tracker{self: self, configs: configs, dialer: dialer, logger: slog.Default(), tick: defaultTick}
	for _, opt := range opts {
		opt(t)
	}
	t.published.Store(&[]Peer{})
	t.core = task.Start(t.run)
	return t
}

// Close stops the tracker and waits until its links are closed.
func (t *Tracker) Close() { t.core.Close() }

// Peers returns all entries including this one, sorted by name.
func (t *Tracker) Peers(ctx context.Context) ([]Peer, error) {
	return task.Call(ctx, t.core, func(reply chan<- []Peer) message { return listPeers{reply} })
}

// SetReport updates the row of this entry. The report is dropped while the inbox is full.
func (t *Tracker) SetReport(r Report) { t.core.TrySend(setReport(r)) }

// AnnounceStop tells the peers that this entry takes no new work.
func (t *Tracker) AnnounceStop(ctx context.Context) error {
	return t.core.Send(ctx, announceStop{})
}

// Leave tells all reachable peers that this entry has handed over its work and ends. It waits until
// the message has been sent.
func (t *Tracker) Leave(ctx context.Context) error {
	_, err := task.Call(ctx, t.core, func(reply chan<- struct{}) message { return leave{reply} })
	return err
}

// SetMachines updates the platform's list of machines. It blocks while the inbox is full: the caller
// passes a list only when it has changed, so a dropped list would not come again.
func (t *Tracker) SetMachines(l plat.MachineList) {
	_ = t.core.Send(context.Background(), setMachines(l))
}

// MostFreeSlots returns the other live entry of a zone that takes work and has the most free slots
// of a pool, as of the last heartbeat. It returns false if there is none. It is called for every
// request that finds no slot, so it reads the published list and sends no message to the task.
func (t *Tracker) MostFreeSlots(zone, pool string) (Peer, bool) {
	var best Peer
	found := false
	for _, p := range *t.published.Load() {
		if p.Zone != zone || p.State != Live || p.Stopping || p.Name == t.self.Name {
			continue
		}
		if !found || p.FreeSlots[pool] > best.FreeSlots[pool] {
			best, found = p, true
		}
	}
	return best, found
}

// Get returns the entry with a name, or false if there is none.
func (t *Tracker) Get(ctx context.Context, name string) (Peer, bool) {
	peers, err := t.Peers(ctx)
	if err != nil {
		return Peer{}, false
	}
	i := slices.IndexFunc(peers, func(p Peer) bool { return p.Name == name })
	if i < 0 {
		return Peer{}, false
	}
	return peers[i], true
}
