// Package route decides which target runs a request and when. Each pool has a task
// of its own that owns the pool's queues and slots, so a flood for one pool does not
// hold up another. Pools lend each other free slots by message.
package route

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"carawaymux.dev/fleet/host"
	"carawaymux.dev/fleet/ledger"
)

// Table says how requests are routed. It is made from the folded state and never
// changed afterwards, so it can be handed from task to task.
type Table struct {
	// Offset is the offset that the table was made at.
	Offset uint64
	// Pools holds every pool by name.
	Pools map[string]PoolTable
	// Kinds maps each request kind to its pool.
	Kinds map[string]string
}

// PoolTable is the routing of one pool as seen from one entry.
type PoolTable struct {
	Name string
	// Kinds are the request kinds that the pool serves.
	Kinds []string
	// Spare says that the pool lends free slots.
	Spare bool
	// Guard is the number of slots that this entry keeps free when it lends.
	Guard int
	// Targets are the pool's hosts in the entry's own zone.
	Targets []Target
	// Zones counts the serving hosts in each zone.
	Zones map[string]int
}

// Target is a host as seen from one entry.
type Target struct {
	Host    string
	Address string
	// Slots is this entry's share of the host's slots; the shares of all
	// entries of the zone add up to what the host has.
	Slots int
	// Serving says that the host takes new requests.
	Serving bool
}

// Zone tells an entry its place among the entries of its zone.
type Zone struct {
	Name string
	// Self is the entry's name; Entries are the names of all entries of the
	// zone, Self included, sorted.
	Self    string
	Entries []string
}

// BuildTable makes the table of one entry.
func BuildTable(s *ledger.State, z Zone) *Table {
	t := &Table{
		Offset: s.NextOffset, Pools: make(map[string]PoolTable, len(s.Pools)), Kinds: make(map[string]string),
	}
	for name, p := range s.Pools {
		pt := PoolTable{Name: name, Kinds: p.Spec.Kinds, Spare: p.Spec.Spare, Zones: make(map[string]int)}
		own, total := 0, 0
		for _, hostName := range s.HostsOf(name) {
			h := s.Hosts[hostName]
			total += h.Spec.Slots
			serving := h.Phase == host.Serving
			if serving {
				pt.Zones[h.Spec.Zone]++
			}
			if h.Spec.Zone != z.Name {
				continue
			}
			share := SlotShare(hostName, h.Spec.Slots, z)
			own += share
			pt.Targets = append(pt.Targets, Target{
				Host: hostName, Address: h.Spec.Address, Slots: share, Serving: serving,
			})
		}
		if total > 0 {
			pt.Guard = (p.Spec.Guard*own + total - 1) / total
		}
		for _, k := range p.Spec.Kinds {
			t.Kinds[k] = name
		}
		t.Pools[name] = pt
	}
	return t
}

// SlotShare is how many of a host's slots belong to the entry z.Self. What does not
// divide evenly goes to entries that the host's name picks, so that all shares
// together are exactly the host's slots.
func SlotShare(hostName string, slots int, z Zone) int {
	n := len(z.Entries)
	if n == 0 {
		return 0
	}
	place := slices.Index(z.Entries, z.Self)
	share, rest := slots/n, slots%n
	turn := int(xxhash.Sum64String(hostName) % uint64(n))
	if (place+turn)%n < rest {
		share++
	}
	return share
}
