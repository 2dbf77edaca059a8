package ledger

import (
	"fmt"

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

// GapError reports that a log entry is above the next one to apply.
type GapError struct {
	// Want is the offset of the next entry to apply, Got the offset of the given entry.
	Want, Got uint64
}

// Error describes the expected and the given offset.
func (e *GapError) Error() string {
	return fmt.Sprintf("apply log entry: expected offset %d, got %d", e.Want, e.Got)
}

// rejection describes why a record was not applied.
type rejection struct {
	reason        string
	winnerVersion uint64
	winnerAuthor  string
	// kept means that the record is stored in Unknown.
	kept bool
}

func reject(format string, args ...any) *rejection {
	return &rejection{reason: fmt.Sprintf(format, args...)}
}

// Apply applies one log entry. Unless the verdict is [record.Accepted], only NextOffset, IDs and
// Unknown may change. An entry below NextOffset was applied before and is ignored; an entry above
// it returns a [GapError].
func (s *State) Apply(e record.Entry) (record.Verdict, error) {
	v := record.Verdict{Offset: e.Offset, ID: e.Record.ID, Result: record.Duplicate}
	if e.Offset < s.NextOffset {
		return v, nil
	}
	if e.Offset > s.NextOffset {
		return v, &GapError{Want: s.NextOffset, Got: e.Offset}
	}
	s.NextOffset++
	if e.DecodeError != "" {
		v.Result, v.Reason = record.Rejected, e.DecodeError
		return v, nil
	}
	if first, seen := s.IDs[e.Record.ID]; seen {
		v.Reason = fmt.Sprintf("a record with this ID is already in the log at offset %d", first)
		return v, nil
	}
	if problems := e.Record.CheckEnvelope(); len(problems) > 0 {
		v.Result, v.Reason = record.Rejected, problems.Error()
		return v, nil
	}
	s.IDs[e.Record.ID] = e.Offset
	rejected := s.applyBody(e)
	if rejected == nil {
		v.Result = record.Accepted
		return v, nil
	}
	v.Result, v.Reason = record.Rejected, rejected.reason
	v.WinnerVersion, v.WinnerAuthor = rejected.winnerVersion, rejected.winnerAuthor
	if rejected.kept {
		v.Result = record.Kept
	}
	return v, nil
}

// applyBody validates the body of a record and applies it.
func (s *State) applyBody(e record.Entry) *rejection {
	r := &e.Record
	if rejected := s.checkSchema(e); rejected != nil {
		return rejected
	}
	if problems := r.Body.Check(); len(problems) > 0 {
		return reject("%s", problems.Error())
	}
	if rejected := s.checkFence(r); rejected != nil {
		return rejected
	}
	version := record.Version(e.Offset)
	switch body := r.Body.(type) {
	case budget.Spec:
		return publish(s.Budgets, r, version, body)
	case pool.Spec:
		return s.applyPool(r, version, body)
	case quota.Spec:
		return publish(s.Quotas, r, version, body)
	case apikey.Spec:
		return s.applyKey(r, version, body)
	case host.Spec:
		return s.applyHost(r, version, body)
	case host.Move:
		return s.applyMove(r, version, body)
	case host.Change:
		return s.applyHostChange(r, version, body)
	case wave.Spec:
		return s.applyWave(r, version, body)
	case wave.Change:
		return s.applyWaveChange(r, version, body)
	case jobs.Spec:
		return s.applyJob(r, version, body)
	case jobs.Cancel:
		return s.applyCancel(body)
	case jobs.TeamCancel:
		return s.applyTeamCancel(body)
	case jobs.Placement:
		return s.applyPlacement(r, version, body)
	case lease.Claim:
		return s.applyLease(r, version, body)
	case Checkpoint:
		return s.applyCheckpoint(body)
	case Gate:
		return s.applyGate(body)
	case Retire:
		return s.applyRetire(r, body)
	}
	return reject("kind %q cannot be applied by this version", r.Body.Kind())
}

// checkSchema stores a record in Unknown instead of applying it if its kind or schema version is
// unknown or if its schema version is not open yet.
func (s *State) checkSchema(e record.Entry) *rejection {
	r := &e.Record
	if u, ok := r.Body.(record.Unknown); ok {
		s.Unknown[e.Offset] = u
		rejected := reject("kind %q in schema %d is unknown to this version; the record is stored but not applied",
			u.Name, u.Version)
		rejected.kept = true
		return rejected
	}
	if open := s.OpenSchema(r.Body.Kind()); r.Schema > open {
		s.Unknown[e.Offset] = record.Unknown{Name: r.Body.Kind(), Version: r.Schema, Raw: e.Raw}
		rejected := reject("schema %d of kind %q is not open yet (highest open version: %d); the record is stored but not applied",
			r.Schema, r.Body.Kind(), open)
		rejected.kept = true
		return rejected
	}
	return nil
}

// checkFence rejects records of the planner that do not carry the fence of the current lease.
func (s *State) checkFence(r *record.Record) *rejection {
	switch body := r.Body.(type) {
	case host.Change, jobs.Placement, Checkpoint:
	case wave.Change:
		if body.Event == wave.EventCancel {
			return nil
		}
	default:
		return nil
	}
	if s.Lease.Holder != "" && r.Fence == s.Lease.Fence {
		return nil
	}
	return reject("fence %d is stale: %q holds the planner lease under fence %d",
		r.Fence, s.Lease.Holder, s.Lease.Fence)
}

// publish creates or replaces a specification. Of two changes based on the same version, the first
// in the log is accepted.
func publish[T any](
	objects map[string]*record.Versioned[T], r *record.Record, version uint64, spec T,
) *rejection {
	if r.Object == "" {
		return reject("object: must name the %s", r.Body.Kind())
	}
	if old := objects[r.Object]; old != nil {
		if rejected := checkBase(r, old.Version, old.Author); rejected != nil {
			return rejected
		}
	} else if r.Base != 0 {
		return reject("base %d: %s %q does not exist; a new object needs base 0", r.Base, r.Body.Kind(), r.Object)
	}
	objects[r.Object] = versioned(r, version, spec)
	return nil
}

func versioned[T any](r *record.Record, version uint64, spec T) *record.Versioned[T] {
	return &record.Versioned[T]{
		Name: r.Object, Version: version, Author: r.Author, At: r.At, Schema: r.Schema, Spec: spec,
	}
}

// checkBase rejects a change that is not based on the current version of its object.
func checkBase(r *record.Record, current uint64, author string) *rejection {
	if r.Base == current {
		return nil
	}
	rejected := reject("%s %q is at version %d by %s; this change is based on version %d",
		r.Body.Kind(), r.Object, current, author, r.Base)
	rejected.winnerVersion, rejected.winnerAuthor = current, author
	return rejected
}

func (s *State) applyPool(r *record.Record, version uint64, spec pool.Spec) *rejection {
	if s.Budgets[spec.Budget] == nil {
		return reject("budget: there is no budget %q; publish it first", spec.Budget)
	}
	for _, k := range spec.Kinds {
		if other := s.index.poolForKind[k]; other != "" && other != r.Object {
			return reject("kinds: %q is already served by pool %q", k, other)
		}
	}
	var before []string
	if old := s.Pools[r.Object]; old != nil {
		before = old.Spec.Kinds
	}
	if rejected := publish(s.Pools, r, version, spec); rejected != nil {
		return rejected
	}
	for _, k := range before {
		delete(s.index.poolForKind, k)
	}
	for _, k := range spec.Kinds {
		s.index.poolForKind[k] = r.Object
	}
	s.changed.Routing = true
	return nil
}

// applyKey adds a key. Keys are not changed: to replace one, a second is created and the first one revoked.
func (s *State) applyKey(r *record.Record, version uint64, spec apikey.Spec) *rejection {
	if old := s.Keys[r.Object]; old != nil {
		rejected := reject("key %q exists at version %d by %s; revoke it first, or choose another name", r.Object, old.Version, old.Author)
		rejected.winnerVersion, rejected.winnerAuthor = old.Version, old.Author
		return rejected
	}
	for name, k := range s.Keys {
		if k.Spec.Digest == spec.Digest {
			return reject("digest: is the one of key %q", name)
		}
	}
	if rejected := publish(s.Keys, r, version, spec); rejected != nil {
		return rejected
	}
	s.changed.Keys = true
	return nil
}

func (s *State) applyLease(r *record.Record, version uint64, c lease.Claim) *rejection {
	if r.Base != s.Lease.Version {
		rejected := reject("the planner lease is at version %d, held by %q; this claim is based on version %d",
			s.Lease.Version, s.Lease.Holder, r.Base)
		rejected.winnerVersion, rejected.winnerAuthor = s.Lease.Version, s.Lease.Holder
		return rejected
	}
	s.Lease = s.Lease.Grant(c, version)
	return nil
}
