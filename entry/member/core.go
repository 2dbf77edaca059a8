package member

import (
	"context"
	"maps"
	"math/bits"
	"slices"
	"strings"
	"time"

	"carawaymux.dev/fleet/plat"
)

// message is handled by the task that owns core.
type message interface {
	handle(ctx context.Context, c *core)
}

type (
	listPeers    struct{ reply chan<- []Peer }
	setReport    Report
	announceStop struct{}
	leave        struct{ reply chan<- struct{} }
	setMachines  plat.MachineList
	// peerRows carries the rows of a heartbeat from a peer.
	peerRows struct{ rows []Row }
	// listSources asks for the peers to fetch records from, those of the own zone first.
	listSources struct{ reply chan<- []source }
)

// source is a peer from which records can be fetched.
type source struct {
	peer Peer
	link *outbound
}

// core is the state of the tracker's task.
type core struct {
	tracker *Tracker
	self    Row
	// rows holds the newest row of every other entry that has sent one.
	rows map[string]Row
	// changedAt holds the time at which a newer row of an entry last arrived.
	changedAt map[string]time.Time
	// gone holds the names of the machines that the platform lists as gone.
	gone  map[string]bool
	links map[string]*outbound
	// turn selects the entry to contact in a zone without live entries. It increases with every
	// round, so each entry of the zone is tried in turn.
	turn int
	// wasLive holds the last logged liveness of each entry, so that only changes are logged.
	wasLive map[string]bool
}

func (t *Tracker) run(ctx context.Context, inbox <-chan message) {
	c := &core{
		tracker: t, self: t.self,
		rows: make(map[string]Row), changedAt: make(map[string]time.Time),
		gone: make(map[string]bool), links: make(map[string]*outbound), wasLive: make(map[string]bool),
	}
	for _, config := range t.configs {
		c.links[config.Name] = newOutbound(t, config)
	}
	defer c.close()
	tick := time.NewTicker(t.tick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case msg := <-inbox:
			msg.handle(ctx, c)
		case <-tick.C:
			c.sendHeartbeats()
		}
	}
}

func (c *core) close() {
	for _, o := range c.links {
		o.Close()
	}
}

func (m listPeers) handle(_ context.Context, c *core) { m.reply <- c.peers() }

func (m setReport) handle(_ context.Context, c *core) {
	// An acknowledged offset is never taken back. A lower one is ignored until the entry has passed
	// the acknowledged offset again.
	c.self.Offset = max(c.self.Offset, m.Offset)
	rounded := make(map[string]int, len(c.self.FreeSlots))
	for pool, freeSlots := range m.FreeSlots {
		if freeSlots > 0 {
			rounded[pool] = 1 << (bits.Len(uint(freeSlots)) - 1)
		}
	}
	if slices.Equal(m.Busy, c.self.Busy) && slices.Equal(m.Failing, c.self.Failing) && maps.Equal(rounded, c.self.FreeSlots) {
		return
	}
	c.self.Busy, c.self.Failing, c.self.FreeSlots = m.Busy, m.Failing, rounded
	c.self.Revision++
}

func (announceStop) handle(_ context.Context, c *core) {
	c.self.Stopping = true
	c.self.Revision++
	c.sendHeartbeats()
}

func (m leave) handle(ctx context.Context, c *core) {
	c.self.Stopping, c.self.Left = true, true
	c.self.Revision++
	c.sendHeartbeats()
	for _, o := range c.links {
		o.flush(ctx)
	}
	m.reply <- struct{}{}
}

func (m setMachines) handle(_ context.Context, c *core) {
	clear(c.gone)
	for _, machine := range m.Machines {
		if machine.State == plat.MachineGone {
			c.gone[machine.Name] = true
		}
	}
}

func (m peerRows) handle(_ context.Context, c *core) {
	for _, row := range m.rows {
		old, known := c.rows[row.Name]
		if row.Name == c.self.Name || known && !row.newer(old) {
			continue
		}
		row, ok := row.complete(old)
		if !ok {
			continue // The peer sends the full row again after fullRowsInterval or on a new link.
		}
		if known && row.Incarnation == old.Incarnation {
			row.Offset = max(row.Offset, old.Offset)
		}
		c.rows[row.Name] = row
		c.changedAt[row.Name] = time.Now()
	}
}

func (m listSources) handle(_ context.Context, c *core) {
	var out []source
	for _, p := range c.peers() {
		if o := c.links[p.Name]; o != nil && p.State != Left && p.State != Gone {
			out = append(out, source{peer: p, link: o})
		}
	}
	// Peers of the same zone come first: they have acknowledged the offsets on which the barriers of
	// this zone were passed.
	slices.SortStableFunc(out, func(a, b source) int {
		return rank(b, c.self.Zone) - rank(a, c.self.Zone)
	})
	m.reply <- out
}

// rank orders sources, the highest rank first: peers of the zone before others, and within each group
// live peers before silent ones.
func rank(s source, zone string) int {
	score := 0
	if s.peer.State == Live {
		score++
	}
	if s.peer.Zone == zone {
		score += 2
	}
	return score
}

// peers returns all entries including this one, sorted by name.
func (c *core) peers() []Peer {
	out := []Peer{{Row: c.self, State: Live}}
	now := time.Now()
	for _, config := range c.tracker.configs {
		row, reported := c.rows[config.Name]
		p := Peer{Row: row, Address: config.Address}
		p.Name, p.Zone = config.Name, config.Zone
		p.Silence = now.Sub(c.changedAt[config.Name])
		if !reported {
			p.Silence = time.Duration(0)
		}
		p.State = c.state(p, reported)
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
	return out
}

func (c *core) state(p Peer, reported bool) State {
	switch {
	case p.Left:
		return Left
	case reported && p.Silence < silentTicks*c.tracker.tick:
		return Live
	case c.gone[p.Name]:
		return Gone
	}
	return Silent
}

// sendHeartbeats sends this entry's row to the other entries of its zone. The speaker also forwards
// the rows of other zones to its own zone, and the rows of its zone to the speakers of other zones. An
// entry that has left sends its own row to the other zones itself.
func (c *core) sendHeartbeats() {
	c.self.HeartbeatSeq++
	peers := c.peers()
	c.tracker.published.Store(&peers)
	c.logChanges(peers)
	ownZoneRows := []Row{c.self}
	isSpeaker := c.self.Name == speakerOf(peers, c.self.Zone)
	rowsForOwnZone, otherZoneRows := ownZoneRows, []Row(nil)
	if isSpeaker {
		for _, p := range peers {
			switch {
			case p.Name == c.self.Name || p.Incarnation == 0:
			case p.Zone == c.self.Zone:
				ownZoneRows = append(ownZoneRows, p.Row)
			default:
				otherZoneRows = append(otherZoneRows, p.Row)
			}
		}
		rowsForOwnZone = append(slices.Clone(rowsForOwnZone), otherZoneRows...)
	}
	for _, p := range peers {
		if p.Zone == c.self.Zone && p.Name != c.self.Name {
			c.links[p.Name].sendRows(rowsForOwnZone)
		}
	}
	if isSpeaker || c.self.Left {
		c.sendToOtherZones(peers, ownZoneRows)
	}
}

// speakerOf returns the first live entry of a zone by name, or "" if the zone has none.
func speakerOf(peers []Peer, zone string) string {
	for _, p := range peers {
		if p.Zone == zone && p.State == Live && !p.Left {
			return p.Name
		}
	}
	return ""
}

// sendToOtherZones sends the rows of this zone to the speakers of the other zones. If a zone has no
// live entry, its entries are tried in turn.
func (c *core) sendToOtherZones(peers []Peer, rows []Row) {
	c.turn++
	byZone := make(map[string][]string)
	for _, p := range peers {
		if p.Zone != c.self.Zone && p.State != Left {
			byZone[p.Zone] = append(byZone[p.Zone], p.Name)
		}
	}
	for zone, names := range byZone {
		to := speakerOf(peers, zone)
		if to == "" {
			to = names[c.turn%len(names)]
		}
		c.links[to].sendRows(rows)
	}
}

func (c *core) logChanges(peers []Peer) {
	for _, p := range peers {
		live := p.State == Live
		if p.Name != c.self.Name && live != c.wasLive[p.Name] {
			c.tracker.logger.Info("peer became live or stopped being live", "peer", p.Name, "zone", p.Zone,
				"state", p.State, "incarnation", p.Incarnation)
			c.wasLive[p.Name] = live
		}
	}
}
