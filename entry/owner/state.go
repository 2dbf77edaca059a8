package owner

import (
	"context"
	"slices"
	"strings"

	"carawaymux.dev/entry/claim"
	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/caps"
	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/pairs"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// stateSplits divides the state of a pool with many jobs into parts of similar size: IDs of jobs are mostly random and in
// hexadecimal.
var stateSplits = claim.WithSplits(keySpec[1:]+"8", keyProgress[1:], keyProgress[1:]+"8")

// StoredState is what earlier owners of a pool have stored. Its maps are keyed by job ID where nothing else is
// said.
type StoredState struct {
	Specs    map[string]batch.Spec
	Progress map[string]shard.Progress
	Parts    map[string][]shard.Part
	Hosts    []port.Host
	// Queues holds the rules of the queues whose jobs the pool may hold, by name.
	Queues map[string]storedQueue
	// Granted holds the hosts whose machines may be ordered since an earlier owner has called them empty.
	Granted map[string]struct{}
	// Neighbors is the evidence about images that slow each other down.
	Neighbors []pairs.Evidence
	// Budgets holds the budgets of tenants, by name.
	Budgets map[string]caps.Budget
	// OrphanedParts are parts of jobs that are not stored any more.
	OrphanedParts []shard.StalePart
	// Unreadable holds the errors of the records that could not be read, by key.
	Unreadable map[string]error
}

func newStoredState() *StoredState {
	return &StoredState{
		Specs: map[string]batch.Spec{}, Progress: map[string]shard.Progress{}, Parts: map[string][]shard.Part{},
		Queues: map[string]storedQueue{}, Granted: map[string]struct{}{}, Unreadable: map[string]error{},
		Budgets: map[string]caps.Budget{},
	}
}

// ReadState reads what earlier owners of a pool have stored.
func ReadState(ctx context.Context, acquired *claim.Claim) (*StoredState, error) {
	stored := newStoredState()
	err := acquired.Load(ctx, stored.taker(acquired.Name), stateSplits)
	stored.finish(acquired.Name)
	return stored, err
}

// taker returns the function that takes the records of a pool.
func (s *StoredState) taker(pool string) func(port.Record) {
	return func(e port.Record) {
		delete(s.Unreadable, e.Key)
		if e.Value == nil {
			s.remove(pool, e.Key)
			return
		}
		if err := s.add(pool, e); err != nil {
			// Without the record, the pool still needs an owner.
			s.remove(pool, e.Key)
			s.Unreadable[e.Key] = err
		}
	}
}

// finish drops what depends on records that could not be read. No record is added after it.
func (s *StoredState) finish(pool string) {
	s.findOrphans(pool)
	for key := range s.Unreadable {
		// Some of the job may have run, so nothing of it is started again.
		if id, ok := strings.CutPrefix(key, pool+keyProgress); ok {
			delete(s.Specs, id)
		}
		if part, ok := strings.CutPrefix(key, pool+keyPart); ok {
			id, _, _ := strings.Cut(part, partSeparator)
			delete(s.Specs, id)
		}
	}
}

// remove removes what the record of a key held.
func (s *StoredState) remove(pool, key string) {
	key = key[len(pool):]
	if len(key) < len(keySpec) {
		return
	}
	id := key[len(keySpec):]
	switch key[:len(keySpec)] {
	case keySpec:
		delete(s.Specs, id)
	case keyProgress:
		delete(s.Progress, id)
	case keyPart:
		job, part, _ := strings.Cut(id, partSeparator)
		s.Parts[job] = slices.DeleteFunc(s.Parts[job], func(p shard.Part) bool { return p.String() == part })
		if len(s.Parts[job]) == 0 {
			delete(s.Parts, job)
		}
	case keyHost:
		s.Hosts = slices.DeleteFunc(s.Hosts, func(h port.Host) bool { return h.ID == id })
	case keyQueue:
		delete(s.Queues, id)
	case keyGrant:
		delete(s.Granted, id)
	case keyNeighbors:
		s.Neighbors = nil
	case keyBudget:
		delete(s.Budgets, id)
	}
}

// findOrphans finds the parts of jobs that are not stored any more.
func (s *StoredState) findOrphans(pool string) {
	for id, parts := range s.Parts {
		_, readable := s.Specs[id]
		if _, unreadable := s.Unreadable[pool+keySpec+id]; readable || unreadable {
			continue
		}
		for _, p := range parts {
			s.OrphanedParts = append(s.OrphanedParts, shard.StalePart{Job: id, PartRef: p.PartRef})
		}
	}
}

func (s *StoredState) add(pool string, e port.Record) error {
	key := e.Key[len(pool):]
	if len(key) < len(keySpec) {
		return nil
	}
	id := key[len(keySpec):]
	switch key[:len(keySpec)] {
	case keySpec:
		v, err := decodeSpec(e.Value)
		if err != nil {
			return err
		}
		s.Specs[id] = v
	case keyProgress:
		v, err := decodeProgress(e.Value)
		if err != nil {
			return err
		}
		s.Progress[id] = v
	case keyPart:
		v, err := codec.DecodeFrame[shard.Part](e.Value)
		if err != nil {
			return err
		}
		s.remove(pool, e.Key)
		id, _, _ = strings.Cut(id, partSeparator)
		s.Parts[id] = append(s.Parts[id], v)
	case keyHost:
		v, err := codec.DecodeFrame[port.Host](e.Value)
		if err != nil {
			return err
		}
		s.remove(pool, e.Key)
		s.Hosts = append(s.Hosts, v)
	case keyQueue:
		v, err := codec.DecodeFrame[storedQueue](e.Value)
		if err != nil {
			return err
		}
		s.Queues[id] = v
	case keyGrant:
		s.Granted[id] = struct{}{}
	case keyNeighbors:
		v, err := codec.DecodeFrame[storedPairs](e.Value)
		if err != nil {
			return err
		}
		s.Neighbors = v.evidence()
	case keyBudget:
		return s.addBudget(id, e.Value)
	}
	return nil
}

// partSeparator separates the ID of a job from its part.
const partSeparator = "."

// partKey returns the key of a part of a job's progress.
func partKey(pool, job string, part shard.PartRef) string {
	return pool + keyPart + job + partSeparator + part.String()
}

// decodeProgress decodes the progress of a job, whether its tasks are stored with it or in parts.
func decodeProgress(raw []byte) (shard.Progress, error) {
	p, err := codec.DecodeFrame[shard.Progress](raw)
	if err == nil {
		return p, nil
	}
	parted, partedErr := codec.DecodeFrame[shard.PartedProgress](raw)
	if partedErr != nil {
		return p, err
	}
	return parted.Progress(), nil
}

// decodeSpec decodes the specification of a job and checks it.
func decodeSpec(raw []byte) (batch.Spec, error) {
	spec, err := codec.DecodeFrame[batch.Spec](raw)
	if err != nil {
		return spec, err
	}
	return spec, spec.Check()
}
