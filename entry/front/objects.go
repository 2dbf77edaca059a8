package front

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"

	"carawaymux.dev/entry/follow"
	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/fault"
	"carawaymux.dev/fleet/host"
	"carawaymux.dev/fleet/ledger"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wire"
)

// objectInfo is an object read from the state, with its specification not yet encoded.
type objectInfo struct {
	object  wire.Object
	spec    record.Body
	history []host.HistoryEntry
	reasons []string
}

// objectMetadata returns an object with the fields that all published objects share.
func objectMetadata[T any](k record.Kind, v *record.Versioned[T]) wire.Object {
	return wire.Object{Kind: k, Name: v.Name, Version: v.Version, Author: v.Author, At: v.At, Schema: v.Schema}
}

// collectObjects returns the objects of a kind from the state, sorted by name. If name is not
// empty, it returns only the object of that name, or errNotFound. For a team it returns only the team's jobs.
func collectObjects(s *ledger.State, k record.Kind, name, team string) ([]objectInfo, error) {
	var out []objectInfo
	add := func(info objectInfo) {
		if name == "" || info.object.Name == name {
			out = append(out, info)
		}
	}
	switch k {
	case record.KindKey:
		for _, v := range sortedByName(s.Keys) {
			add(objectInfo{object: objectMetadata(k, v), spec: v.Spec})
		}
	case record.KindBudget:
		for _, v := range sortedByName(s.Budgets) {
			add(objectInfo{object: objectMetadata(k, v), spec: v.Spec})
		}
	case record.KindPool:
		for _, v := range sortedByName(s.Pools) {
			add(poolInfo(s, objectMetadata(k, v), v.Spec))
		}
	case record.KindQuota:
		for _, v := range sortedByName(s.Quotas) {
			add(objectInfo{object: objectMetadata(k, v), spec: v.Spec})
		}
	case record.KindHost:
		for _, hostName := range slices.Sorted(maps.Keys(s.Hosts)) {
			add(hostInfo(s, hostName))
		}
	case record.KindJob:
		for _, j := range sortedByName(s.Jobs) {
			if team == "" || j.Published.Spec.Team == team {
				add(jobInfo(s, j))
			}
		}
	case record.KindWave:
		for _, w := range sortedByName(s.Waves) {
			add(waveInfo(s, w))
		}
	default:
		return nil, record.Problems{{
			Field: "kind", Got: fmt.Sprintf("%q", k), Allowed: "budget, pool, quota, host, job, wave or key"}}
	}
	if name != "" && len(out) == 0 {
		return nil, fault.At("look-up", "", fmt.Errorf("%w: %s %q", errNotFound, k, name))
	}
	return out, nil
}

func sortedByName[T any](objects map[string]*T) []*T {
	out := make([]*T, 0, len(objects))
	for _, name := range slices.SortedFunc(maps.Keys(objects), cmp.Compare[string]) {
		out = append(out, objects[name])
	}
	return out
}

// encodeObjects encodes objects with their specifications in a schema version. Version 0 selects
// the newest version of each kind.
func encodeObjects(list []objectInfo, schema int) ([]wire.Object, error) {
	out := make([]wire.Object, 0, len(list))
	for _, info := range list {
		version := schema
		if version == 0 {
			version = codec.NewestSchema(info.object.Kind)
		}
		raw, err := codec.EncodeBody(info.spec, version)
		if err != nil {
			return nil, fmt.Errorf("%s %s: %w", info.object.Kind, info.object.Name, err)
		}
		info.object.Spec = raw
		out = append(out, info.object)
	}
	return out, nil
}

// readObjects returns the objects that a request asks for, and the offset of the state that they
// were read from. With detail, which requires a name, it adds reasons that are costly to compute.
func readObjects(f *Front, r *http.Request, name, team string, detail bool) ([]objectInfo, uint64, error) {
	if err := f.waitMinOffset(r); err != nil {
		return nil, 0, err
	}
	type result struct {
		list   []objectInfo
		offset uint64
		err    error
	}
	got, err := follow.Ask(r.Context(), f.Follower, func(s *ledger.State) result {
		list, err := collectObjects(s, record.Kind(r.PathValue("kind")), name, team)
		if detail && err == nil {
			addDetail(s, &list[0])
		}
		return result{list, s.NextOffset, err}
	})
	if err == nil {
		err = f.checkStillAdmitted(r, readers, team)
	}
	if err == nil {
		err = got.err
	}
	return got.list, got.offset, err
}

// objects lists all objects of a kind.
func (f *Front) objects(w http.ResponseWriter, r *http.Request, team string) {
	f.writeObjects(w, r, "", team)
}

// object shows one object.
func (f *Front) object(w http.ResponseWriter, r *http.Request, team string) {
	f.writeObjects(w, r, r.PathValue("name"), team)
}

func (f *Front) writeObjects(w http.ResponseWriter, r *http.Request, name, team string) {
	if f.refuseForeignKind(w, r, team) {
		return
	}
	schema, err := uintParam(r, "schema", 0)
	if err != nil {
		f.handleError(w, err)
		return
	}
	list, offset, err := readObjects(f, r, name, team, false)
	if err != nil {
		f.handleError(w, err)
		return
	}
	objects, err := encodeObjects(list, int(schema))
	if err != nil {
		f.writeError(w, http.StatusConflict, wire.ErrorBody{Error: err.Error()})
		return
	}
	progress, err := f.Follower.Progress(r.Context())
	if err != nil {
		f.handleError(w, err)
		return
	}
	f.writeJSON(w, http.StatusOK, wire.ObjectList{Offset: offset, AgeMS: ageMS(progress), Objects: objects})
}

// explain shows one object, the reasons for its present state, and its history.
func (f *Front) explain(w http.ResponseWriter, r *http.Request, team string) {
	if f.refuseForeignKind(w, r, team) {
		return
	}
	list, offset, err := readObjects(f, r, r.PathValue("name"), team, true)
	if err != nil {
		f.handleError(w, err)
		return
	}
	objects, err := encodeObjects(list, 0)
	if err != nil {
		f.handleError(w, err)
		return
	}
	f.writeJSON(w, http.StatusOK, wire.Explanation{
		Offset: offset, Object: objects[0], Why: list[0].reasons, History: list[0].history,
	})
}

// asJSON returns a record unchanged if it is valid JSON, and otherwise as a JSON string.
func asJSON(raw []byte) json.RawMessage {
	if json.Valid(raw) {
		return raw
	}
	quoted, err := json.Marshal(string(raw))
	if err != nil {
		return json.RawMessage(`""`)
	}
	return quoted
}
