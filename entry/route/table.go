// Package route decides which target runs a request and when. Each pool has its own task that
// owns the pool's queues and slots, so that too many requests for one pool do not delay those of
// another. Pools with spare hosts lend free slots to other pools by message.
package route

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"carawaymux.dev/fleet/host"
	"carawaymux.dev/fleet/ledger"
)

// Table is the routing table of an entry. It is built from the state of the ledger and is
// immutable, so that tasks can share it.
type Table struct {
	// Offset is the log offset of the state that the table was built from.
	Offset uint64
	// Pools holds all pools by name.
	Pools map[string]PoolTable
	// Kinds maps each request kind to its pool.
	Kinds map[string]string
}

// PoolTable is the part of an entry's routing table for one pool.
type PoolTable struct {
	Name string
	// Kinds are the request kinds that the pool serves.
	Kinds []string
	// Spare is set if the pool lends free slots to other pools.
	Spare bool
	// Guard is the number of free slots that this entry does not lend.
	Guard int
	// Targets are the pool's hosts in the entry's own zone.
	Targets []Target
	// Zones holds the number of serving hosts in each zone.
	Zones map[string]int
}

// Target is a host that an entry may send requests to.
type Target struct {
	Host    string
	Address string
	// Slots is this entry's share of the host's slots. The shares of all entries of the
	// zone add up to the slots of the host.
	Slots int
	// Serving is set if the host is in service.
	Serving bool
}

// Zone names an entry's zone and the entries in it.
type Zone struct {
	Name string
	// Self is the name of this entry. Entries are the names of all entries of the zone,
	// including Self, sorted.
	Self    string
	Entries []string
}

// BuildTable builds the routing table of the entry z.Self.
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

// SlotShare returns how many of a host's slots the entry z.Self may use. The remainder of the
// division is assigned to entries by a hash of the host's name, so that the shares of all
// entries add up to exactly the host's slots.
func SlotShare(hostName string, slots int, z Zone) int {
	n := len(z.Entries)
	if n == 0 {
		return 0
	}
	position := slices.Index(z.Entries, z.Self)
	share, remainder := slots/n, slots%n
	shift := int(xxhash.Sum64String(hostName) % uint64(n))
	if (position+shift)%n < remainder {
		share++
	}
	return share
}
