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

// message is what the core task understands.
type message interface {
	handle(ctx context.Context, c *core)
}

type (
	list     struct{ reply chan<- []Peer }
	tell     Report
	stopping struct{}
	leave    struct{ reply chan<- struct{} }
	listed   plat.MachineList
	// heard holds rows from a peer.
	heard struct{ rows []Row }
	// fetchWith asks for the outboxes of entries to fetch records from.
	fetchWith struct{ reply chan<- []source }
)

// source is a peer that records can be fetched from.
type source struct {
	peer Peer
	out  *outbound
}

// core is the state of the task.
type core struct {
	m    *Tracker
	self Row
	// rows holds the newest row of every other entry that was heard of.
	rows map[string]Row
	// heardAt is when the row of an entry last changed.
	heardAt map[string]time.Time
	// gone names the machines that the platform's list says are gone.
	gone map[string]bool
	out  map[string]*outbound
	// turn rotates over the entries of a zone none of which is known to be live.
	turn int
	// wasLive is kept to log changes only.
	wasLive map[string]bool
}

func (m *Tracker) run(ctx context.Context, inbox <-chan message) {
	c := &core{
		m: m, self: m.self,
		rows: make(map[string]Row), heardAt: make(map[string]time.Time),
		gone: make(map[string]bool), out: make(map[string]*outbound), wasLive: make(map[string]bool),
	}
	for _, k := range m.known {
		c.out[k.Name] = newOutbound(m, k)
	}
	defer c.close()
	tick := time.NewTicker(m.tick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case msg := <-inbox:
			msg.handle(ctx, c)
		case <-tick.C:
			c.beat()
		}
	}
}

func (c *core) close() {
	for _, o := range c.out {
		o.Close()
	}
}

func (l list) handle(_ context.Context, c *core) { l.reply <- c.peers() }

func (t tell) handle(_ context.Context, c *core) {
	// An offset that has been acknowledged is never taken back, nor is one
	// passed on before it is higher.
	c.self.Offset = max(c.self.Offset, t.Offset)
	room := make(map[string]int, len(c.self.FreeSlots))
	for pool, free := range t.FreeSlots {
		if free > 0 {
			room[pool] = 1 << (bits.Len(uint(free)) - 1)
		}
	}
	if slices.Equal(t.Busy, c.self.Busy) && slices.Equal(t.Failing, c.self.Failing) && maps.Equal(room, c.self.FreeSlots) {
		return
	}
	c.self.Busy, c.self.Failing, c.self.FreeSlots = t.Busy, t.Failing, room
	c.self.Revision++
}

func (stopping) handle(_ context.Context, c *core) {
	c.self.Stopping = true
	c.self.Revision++
	c.beat()
}

func (l leave) handle(ctx context.Context, c *core) {
	c.self.Stopping, c.self.Left = true, true
	c.self.Revision++
	c.beat()
	for _, o := range c.out {
		o.flush(ctx)
	}
	l.reply <- struct{}{}
}

func (l listed) handle(_ context.Context, c *core) {
	clear(c.gone)
	for _, machine := range l.Machines {
		if machine.State == plat.MachineGone {
			c.gone[machine.Name] = true
		}
	}
}

func (h heard) handle(_ context.Context, c *core) {
	for _, row := range h.rows {
		old, known := c.rows[row.Name]
		if row.Name == c.self.Name || known && !row.newer(old) {
			continue
		}
		row, whole := row.fill(old)
		if !whole {
			continue // The whole row comes again when the link is opened anew.
		}
		if known && row.Incarnation == old.Incarnation {
			row.Offset = max(row.Offset, old.Offset)
		}
		c.rows[row.Name] = row
		c.heardAt[row.Name] = time.Now()
	}
}

func (f fetchWith) handle(_ context.Context, c *core) {
	var out []source
	for _, p := range c.peers() {
		if o := c.out[p.Name]; o != nil && p.State != Left && p.State != Gone {
			out = append(out, source{peer: p, out: o})
		}
	}
	// Nearest first: a peer of the same zone has acknowledged what this zone's
	// barriers were passed on.
	slices.SortStableFunc(out, func(a, b source) int {
		return rank(b, c.self.Zone) - rank(a, c.self.Zone)
	})
	f.reply <- out
}

func rank(s source, zone string) int {
	n := 0
	if s.peer.State == Live {
		n++
	}
	if s.peer.Zone == zone {
		n += 2
	}
	return n
}

// peers lists all entries, this one included.
func (c *core) peers() []Peer {
	out := []Peer{{Row: c.self, State: Live}}
	now := time.Now()
	for _, k := range c.m.known {
		row, heardOf := c.rows[k.Name]
		p := Peer{Row: row, Address: k.Address}
		p.Name, p.Zone = k.Name, k.Zone
		p.Silence = now.Sub(c.heardAt[k.Name])
		if !heardOf {
			p.Silence = time.Duration(0)
		}
		p.State = c.state(p, heardOf)
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
	return out
}

func (c *core) state(p Peer, heardOf bool) State {
	switch {
	case p.Left:
		return Left
	case heardOf && p.Silence < silentTicks*c.m.tick:
		return Live
	case c.gone[p.Name]:
		return Gone
	}
	return Silent
}

// beat sends heartbeats to those who are to have them.
func (c *core) beat() {
	c.self.HeartbeatSeq++
	peers := c.peers()
	c.m.seen.Store(&peers)
	c.logChanges(peers)
	own := []Row{c.self}
	speaker := c.self.Name == speakerOf(peers, c.self.Zone)
	local, foreign := own, []Row(nil)
	if speaker {
		for _, p := range peers {
			switch {
			case p.Name == c.self.Name || p.Incarnation == 0:
			case p.Zone == c.self.Zone:
				own = append(own, p.Row)
			default:
				foreign = append(foreign, p.Row)
			}
		}
		local = append(slices.Clone(local), foreign...)
	}
	for _, p := range peers {
		if p.Zone == c.self.Zone && p.Name != c.self.Name {
			c.out[p.Name].beat(local)
		}
	}
	if speaker || c.self.Left {
		c.speak(peers, own)
	}
}

// speakerOf is the first live entry of a zone by name.
func speakerOf(peers []Peer, zone string) string {
	for _, p := range peers {
		if p.Zone == zone && p.State == Live && !p.Left {
			return p.Name
		}
	}
	return ""
}

// speak sends the zone's rows to the speakers of the other zones. Where no entry
// of a zone is known to be live, its entries are tried in turn.
func (c *core) speak(peers []Peer, rows []Row) {
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
		c.out[to].beat(rows)
	}
}

func (c *core) logChanges(peers []Peer) {
	for _, p := range peers {
		live := p.State == Live
		if p.Name != c.self.Name && live != c.wasLive[p.Name] {
			c.m.logger.Info("entry changed", "peer", p.Name, "zone", p.Zone,
				"state", p.State, "incarnation", p.Incarnation)
			c.wasLive[p.Name] = live
		}
	}
}
