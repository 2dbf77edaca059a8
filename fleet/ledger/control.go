package ledger

import (
	"fmt"

	"carawaymux.dev/fleet/host"
	"carawaymux.dev/fleet/record"
)

// Checkpoint records the state's hash at an offset, so that instances can compare their states, and
// the offset below which the log has been truncated.
type Checkpoint struct {
	// AsOf is the offset at which the hash was computed.
	AsOf uint64 `json:"as-of"`
	// Hash is the state's hash at AsOf, in hexadecimal.
	Hash string `json:"hash"`
	// FirstOffset is the first offset that the log still holds. Applying the checkpoint drops the
	// record IDs below it.
	FirstOffset uint64 `json:"first"`
}

// Kind returns [record.KindCheckpoint].
func (Checkpoint) Kind() record.Kind { return record.KindCheckpoint }

// Check validates the fields.
func (c Checkpoint) Check() record.Problems {
	var p record.Problems
	if len(c.Hash) != hashDigits {
		p.Add("hash", fmt.Sprintf("%q", c.Hash), fmt.Sprintf("%d hexadecimal digits", hashDigits))
	}
	if c.FirstOffset > c.AsOf {
		p.Add("first", fmt.Sprint(c.FirstOffset), fmt.Sprintf("at most as-of, %d", c.AsOf))
	}
	return p
}

// hashDigits is the length of a state hash: 64 bits in hexadecimal.
const hashDigits = 16

func (s *State) applyCheckpoint(c Checkpoint) *rejection {
	if c.AsOf > s.NextOffset {
		return reject("as-of: offset %d is above the next offset %d", c.AsOf, s.NextOffset)
	}
	if c.FirstOffset <= s.FirstOffset {
		return nil
	}
	s.FirstOffset = c.FirstOffset
	for id, offset := range s.IDs {
		if offset < s.FirstOffset {
			delete(s.IDs, id)
		}
	}
	for offset := range s.Unknown {
		if offset < s.FirstOffset {
			delete(s.Unknown, offset)
		}
	}
	return nil
}

// Gate opens the next schema version of a record kind, so that records in this version are applied.
// It is published once every live instance reports that it supports the version.
type Gate struct {
	// RecordKind is the kind whose schema version is opened.
	RecordKind record.Kind `json:"of"`
	// Schema is the version to open, which must be the highest open version plus one.
	Schema int `json:"schema"`
}

// Kind returns [record.KindGate].
func (Gate) Kind() record.Kind { return record.KindGate }

// Check validates the fields.
func (g Gate) Check() record.Problems {
	var p record.Problems
	p.CheckName("of", string(g.RecordKind))
	p.CheckRange("schema", int64(g.Schema), 2, 1000)
	return p
}

func (s *State) applyGate(g Gate) *rejection {
	if open := s.OpenSchema(g.RecordKind); g.Schema != open+1 {
		return reject("schema: version %d is open for kind %q, so only %d can be opened", open, g.RecordKind, open+1)
	}
	s.Gates[g.RecordKind] = g.Schema
	return nil
}

// Retire removes an object that is not in use. The record's Object field names it.
type Retire struct {
	// ObjectKind is the kind of the object to remove.
	ObjectKind record.Kind `json:"of"`
}

// Kind returns [record.KindRetire].
func (Retire) Kind() record.Kind { return record.KindRetire }

// Check validates the fields.
func (x Retire) Check() record.Problems {
	var p record.Problems
	switch x.ObjectKind {
	case record.KindBudget, record.KindPool, record.KindHost, record.KindJob, record.KindQuota, record.KindKey:
	default:
		p.Add("of", fmt.Sprintf("%q", x.ObjectKind), "budget, pool, host, job, quota or key")
	}
	return p
}

func (s *State) applyRetire(r *record.Record, x Retire) *rejection {
	switch x.ObjectKind {
	case record.KindBudget:
		for name, p := range s.Pools {
			if p.Spec.Budget == r.Object {
				return reject("budget %q is used by pool %q", r.Object, name)
			}
		}
		return retire(s.Budgets, r, x.ObjectKind)
	case record.KindPool:
		return s.retirePool(r, x)
	case record.KindQuota:
		for name, j := range s.Jobs {
			if j.Published.Spec.Team == r.Object {
				return reject("quota %q is used by job %q", r.Object, name)
			}
		}
		return retire(s.Quotas, r, x.ObjectKind)
	case record.KindKey:
		s.changed.Keys = true
		return retire(s.Keys, r, x.ObjectKind)
	case record.KindJob:
		return s.retireJob(r)
	}
	return s.retireHost(r)
}

// retire deletes a versioned object if the record is based on its current version.
func retire[T any](objects map[string]*record.Versioned[T], r *record.Record, k record.Kind) *rejection {
	old := objects[r.Object]
	if old == nil {
		return reject("object: there is no %s %q", k, r.Object)
	}
	if rejected := checkBase(r, old.Version, old.Author); rejected != nil {
		return rejected
	}
	delete(objects, r.Object)
	return nil
}

func (s *State) retirePool(r *record.Record, x Retire) *rejection {
	if n := len(s.HostsOf(r.Object)); n > 0 {
		return reject("pool %q still has %d hosts", r.Object, n)
	}
	for name, h := range s.Hosts {
		if h.MoveTo == r.Object {
			return reject("host %q is being moved to pool %q", name, r.Object)
		}
		if h.HomePool == r.Object {
			return reject("host %q is on loan from pool %q", name, r.Object)
		}
	}
	for name, j := range s.Jobs {
		if j.Published.Spec.Pool == r.Object {
			return reject("pool %q is used by job %q", r.Object, name)
		}
	}
	old := s.Pools[r.Object]
	if rejected := retire(s.Pools, r, x.ObjectKind); rejected != nil {
		return rejected
	}
	for _, k := range old.Spec.Kinds {
		delete(s.index.poolForKind, k)
	}
	s.changed.Routing = true
	return nil
}

func (s *State) retireJob(r *record.Record) *rejection {
	j := s.Jobs[r.Object]
	if j == nil {
		return reject("object: there is no job %q", r.Object)
	}
	if rejected := checkBase(r, j.Published.Version, j.Published.Author); rejected != nil {
		return rejected
	}
	if s.hasPlacedTasks(j) {
		return reject("job %q still has tasks placed", r.Object)
	}
	delete(s.Jobs, r.Object)
	return nil
}

func (s *State) retireHost(r *record.Record) *rejection {
	h := s.Hosts[r.Object]
	if h == nil {
		return reject("object: there is no host %q", r.Object)
	}
	if rejected := checkBase(r, h.Version, lastAuthor(h)); rejected != nil {
		return rejected
	}
	if h.Phase != host.Failed {
		return reject("host %q is %s; only a failed host can be retired", r.Object, h.Phase)
	}
	if n := s.TaskCount(r.Object); n > 0 {
		return reject("host %q still holds %d tasks", r.Object, n)
	}
	s.index.remove(r.Object, h)
	delete(s.Hosts, r.Object)
	for _, w := range s.Waves {
		w.RemovePending(r.Object)
	}
	s.changed.Routing = true
	return nil
}
