package ledger

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"carawaymux.dev/fleet/apikey"
	"carawaymux.dev/fleet/budget"
	"carawaymux.dev/fleet/host"
	"carawaymux.dev/fleet/jobs"
	"carawaymux.dev/fleet/lease"
	"carawaymux.dev/fleet/pool"
	"carawaymux.dev/fleet/quota"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wave"
)

// Snapshot is the form of a [State] that is encoded and hashed.
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
	// Keys is left out while there are none, so that versions without keys compute the same hash.
	Keys map[string]*record.Versioned[apikey.Spec] `json:"keys,omitempty"`
	// IDs holds packedIDBytes for each record ID, sorted by offset: the offset in big-endian order,
	// then the ID.
	IDs []byte `json:"ids"`
}

const (
	offsetBytes   = 8
	packedIDBytes = offsetBytes + len(record.ID{})
)

// Snapshot returns the state in its encodable form. It shares the state's maps, so it must be
// encoded before the next record is applied.
func (s *State) Snapshot() Snapshot {
	return Snapshot{
		NextOffset: s.NextOffset, FirstOffset: s.FirstOffset, Budgets: s.Budgets, Pools: s.Pools,
		Quotas: s.Quotas, Hosts: s.Hosts, Waves: s.Waves, Jobs: s.Jobs, Lease: s.Lease, Gates: s.Gates,
		Unknown: s.Unknown, Keys: s.Keys, IDs: packIDs(s.IDs),
	}
}

// Restore builds a state from a decoded snapshot. The state takes ownership of the maps in snap.
func Restore(snap Snapshot) (*State, error) {
	ids, err := unpackIDs(snap.IDs)
	if err != nil {
		return nil, err
	}
	s := New()
	s.NextOffset, s.FirstOffset, s.IDs, s.Lease = snap.NextOffset, snap.FirstOffset, ids, snap.Lease
	replaceIfSet(&s.Budgets, snap.Budgets)
	replaceIfSet(&s.Pools, snap.Pools)
	replaceIfSet(&s.Quotas, snap.Quotas)
	replaceIfSet(&s.Keys, snap.Keys)
	replaceIfSet(&s.Hosts, snap.Hosts)
	replaceIfSet(&s.Waves, snap.Waves)
	replaceIfSet(&s.Jobs, snap.Jobs)
	replaceIfSet(&s.Gates, snap.Gates)
	replaceIfSet(&s.Unknown, snap.Unknown)
	if err := s.checkReferences(); err != nil {
		return nil, err
	}
	s.buildIndex()
	return s, nil
}

// checkReferences returns an error if a restored state has an object without a value, or a reference
// to an object that does not exist.
func (s *State) checkReferences() error {
	if err := errors.Join(
		checkNoNil("budget", s.Budgets), checkNoNil("pool", s.Pools), checkNoNil("quota", s.Quotas),
		checkNoNil("host", s.Hosts), checkNoNil("wave", s.Waves), checkNoNil("job", s.Jobs), checkNoNil("key", s.Keys),
	); err != nil {
		return err
	}
	for name, p := range s.Pools {
		if s.Budgets[p.Spec.Budget] == nil {
			return fmt.Errorf("snapshot: the budget of pool %q does not exist", name)
		}
	}
	for name, h := range s.Hosts {
		if s.Pools[h.Spec.Pool] == nil {
			return fmt.Errorf("snapshot: the pool of host %q does not exist", name)
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
				return fmt.Errorf("snapshot: a task of job %q is on host %q, which does not exist", name, t.Host)
			}
		}
	}
	return nil
}

// checkNoNil returns an error if a map of a snapshot has a name without a value.
func checkNoNil[T any](kind string, objects map[string]*T) error {
	for name, o := range objects {
		if o == nil {
			return fmt.Errorf("snapshot: %s %q is empty", kind, name)
		}
	}
	return nil
}

// replaceIfSet replaces a map by a decoded one, unless that is nil: a decoder may return nil for an
// empty map.
func replaceIfSet[K comparable, V any](to *map[K]V, from map[K]V) {
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
	out := make([]byte, 0, len(pairs)*packedIDBytes)
	for _, p := range pairs {
		out = binary.BigEndian.AppendUint64(out, p.offset)
		out = append(out, p.id[:]...)
	}
	return out
}

func unpackIDs(packed []byte) (map[record.ID]uint64, error) {
	if len(packed)%packedIDBytes != 0 {
		return nil, fmt.Errorf("snapshot: ids: got %d bytes, expected a multiple of %d", len(packed), packedIDBytes)
	}
	ids := make(map[record.ID]uint64, len(packed)/packedIDBytes)
	for ; len(packed) > 0; packed = packed[packedIDBytes:] {
		var id record.ID
		copy(id[:], packed[offsetBytes:packedIDBytes])
		ids[id] = binary.BigEndian.Uint64(packed)
	}
	return ids, nil
}
