package ledger

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"carawaymux.dev/fleet/budget"
	"carawaymux.dev/fleet/host"
	"carawaymux.dev/fleet/jobs"
	"carawaymux.dev/fleet/lease"
	"carawaymux.dev/fleet/pool"
	"carawaymux.dev/fleet/quota"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wave"
)

// Snapshot is a state in the form that is encoded and hashed.
type Snapshot struct {
	NextOffset  uint64                                    `json:"offset"`
	FirstOffset uint64                                    `json:"floor"`
	Budgets     map[string]*record.Versioned[budget.Spec] `json:"budgets"`
	Pools       map[string]*record.Versioned[pool.Spec]   `json:"pools"`
	Quotas      map[string]*record.Versioned[quota.Spec]  `json:"quotas"`
	Hosts       map[string]*host.Host                     `json:"hosts"`
	Waves       map[string]*wave.Wave                     `json:"waves"`
	Jobs        map[string]*jobs.Job                      `json:"jobs"`
	Lease       lease.Lease                               `json:"lease"`
	Gates       map[record.Kind]int                       `json:"gates"`
	Unknown     map[uint64]record.Unknown                 `json:"unread"`
	// IDs holds idBytes for each record ID: its offset, big endian, then the ID;
	// sorted by offset.
	IDs []byte `json:"ids"`
}

const (
	offsetBytes = 8
	idBytes     = offsetBytes + len(record.ID{})
)

// Snapshot returns the state in the form that is encoded. It shares the state's
// maps, so it must be encoded before the next record is folded.
func (s *State) Snapshot() Snapshot {
	return Snapshot{
		NextOffset: s.NextOffset, FirstOffset: s.FirstOffset, Budgets: s.Budgets, Pools: s.Pools, Quotas: s.Quotas,
		Hosts: s.Hosts, Waves: s.Waves, Jobs: s.Jobs, Lease: s.Lease, Gates: s.Gates,
		Unknown: s.Unknown, IDs: packIDs(s.IDs),
	}
}

// Restore builds a state from a decoded snapshot, which it takes over.
func Restore(n Snapshot) (*State, error) {
	ids, err := unpackIDs(n.IDs)
	if err != nil {
		return nil, err
	}
	s := New()
	s.NextOffset, s.FirstOffset, s.IDs, s.Lease = n.NextOffset, n.FirstOffset, ids, n.Lease
	keep(&s.Budgets, n.Budgets)
	keep(&s.Pools, n.Pools)
	keep(&s.Quotas, n.Quotas)
	keep(&s.Hosts, n.Hosts)
	keep(&s.Waves, n.Waves)
	keep(&s.Jobs, n.Jobs)
	keep(&s.Gates, n.Gates)
	keep(&s.Unknown, n.Unknown)
	if err := s.checkWhole(); err != nil {
		return nil, err
	}
	s.prepare()
	return s, nil
}

// checkWhole reports what would make a decoded state unusable.
func (s *State) checkWhole() error {
	if err := errors.Join(
		noNil("budget", s.Budgets), noNil("pool", s.Pools), noNil("quota", s.Quotas),
		noNil("host", s.Hosts), noNil("wave", s.Waves), noNil("job", s.Jobs),
	); err != nil {
		return err
	}
	for name, p := range s.Pools {
		if s.Budgets[p.Spec.Budget] == nil {
			return fmt.Errorf("snapshot: pool %q has no budget", name)
		}
	}
	for name, h := range s.Hosts {
		if s.Pools[h.Spec.Pool] == nil {
			return fmt.Errorf("snapshot: host %q has no pool", name)
		}
	}
	for name, w := range s.Waves {
		for _, h := range w.PendingHosts {
			if s.Hosts[h] == nil {
				return fmt.Errorf("snapshot: wave %q names host %q, which does not exist", name, h)
			}
		}
	}
	for name, j := range s.Jobs {
		for _, t := range j.Tasks {
			if t.Host != "" && s.Hosts[t.Host] == nil {
				return fmt.Errorf("snapshot: job %q is on host %q, which does not exist", name, t.Host)
			}
		}
	}
	return nil
}

// noNil reports an object that a snapshot names without holding it.
func noNil[T any](kind string, objects map[string]*T) error {
	for name, o := range objects {
		if o == nil {
			return fmt.Errorf("snapshot: %s %q is empty", kind, name)
		}
	}
	return nil
}

// keep takes over a decoded map; an empty one may have been decoded as nil.
func keep[K comparable, V any](to *map[K]V, from map[K]V) {
	if from != nil {
		*to = from
	}
}

func packIDs(ids map[record.ID]uint64) []byte {
	type pair struct {
		offset uint64
		id     record.ID
	}
	pairs := make([]pair, 0, len(ids))
	for id, offset := range ids {
		pairs = append(pairs, pair{offset, id})
	}
	slices.SortFunc(pairs, func(a, b pair) int {
		if c := cmp.Compare(a.offset, b.offset); c != 0 {
			return c
		}
		return bytes.Compare(a.id[:], b.id[:])
	})
	out := make([]byte, 0, len(pairs)*idBytes)
	for _, p := range pairs {
		out = binary.BigEndian.AppendUint64(out, p.offset)
		out = append(out, p.id[:]...)
	}
	return out
}

func unpackIDs(packed []byte) (map[record.ID]uint64, error) {
	if len(packed)%idBytes != 0 {
		return nil, fmt.Errorf("snapshot: ids: %d bytes, must be a multiple of %d", len(packed), idBytes)
	}
	ids := make(map[record.ID]uint64, len(packed)/idBytes)
	for ; len(packed) > 0; packed = packed[idBytes:] {
		var id record.ID
		copy(id[:], packed[offsetBytes:idBytes])
		ids[id] = binary.BigEndian.Uint64(packed)
	}
	return ids, nil
}
