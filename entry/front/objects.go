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

// found is an object as taken from the state, not yet encoded.
type found struct {
	object wire.Object
	body   record.Body
	steps  []host.HistoryEntry
	why    []string
}

// published fills in what every published object has.
func published[T any](k record.Kind, v *record.Versioned[T]) wire.Object {
	return wire.Object{Kind: k, Name: v.Name, Version: v.Version, Author: v.Author, At: v.At, Schema: v.Schema}
}

// collect takes the objects of a kind from the state, all of them or the named one.
func collect(s *ledger.State, k record.Kind, name string) ([]found, error) {
	var out []found
	add := func(f found) {
		if name == "" || f.object.Name == name {
			out = append(out, f)
		}
	}
	switch k {
	case record.KindBudget:
		for _, v := range sorted(s.Budgets) {
			add(found{object: published(k, v), body: v.Spec})
		}
	case record.KindPool:
		for _, v := range sorted(s.Pools) {
			add(foundPool(s, published(k, v), v.Spec))
		}
	case record.KindQuota:
		for _, v := range sorted(s.Quotas) {
			add(found{object: published(k, v), body: v.Spec})
		}
	case record.KindHost:
		for _, hostName := range slices.Sorted(maps.Keys(s.Hosts)) {
			add(foundHost(s, hostName))
		}
	case record.KindJob:
		for _, j := range sorted(s.Jobs) {
			add(foundJob(s, j))
		}
	case record.KindWave:
		for _, w := range sorted(s.Waves) {
			add(foundWave(s, w))
		}
	default:
		return nil, record.Problems{{
			Field: "kind", Got: fmt.Sprintf("%q", k), Allowed: "budget, pool, quota, host, job or wave"}}
	}
	if name != "" && len(out) == 0 {
		return nil, fault.At("look-up", "", fmt.Errorf("%w: %s %q", errNotFound, k, name))
	}
	return out, nil
}

func sorted[T any](objects map[string]*T) []*T {
	out := make([]*T, 0, len(objects))
	for _, name := range slices.SortedFunc(maps.Keys(objects), cmp.Compare[string]) {
		out = append(out, objects[name])
	}
	return out
}

// encode turns found objects into their wire form in a schema version; 0 stands for
// the newest.
func encode(list []found, schema int) ([]wire.Object, error) {
	out := make([]wire.Object, 0, len(list))
	for _, one := range list {
		version := schema
		if version == 0 {
			version = codec.NewestSchema(one.object.Kind)
		}
		raw, err := codec.EncodeBody(one.body, version)
		if err != nil {
			return nil, fmt.Errorf("%s %s: %w", one.object.Kind, one.object.Name, err)
		}
		one.object.Spec = raw
		out = append(out, one.object)
	}
	return out, nil
}

// look answers a question about objects, with the offset that it was answered at.
// With detail it adds what is costly to tell.
func look(f *Front, r *http.Request, name string, detail bool) ([]found, uint64, error) {
	if err := f.waitMinOffset(r); err != nil {
		return nil, 0, err
	}
	type result struct {
		list   []found
		offset uint64
		err    error
	}
	got, err := follow.Ask(r.Context(), f.Follower, func(s *ledger.State) result {
		list, err := collect(s, record.Kind(r.PathValue("kind")), name)
		if detail && err == nil {
			addDetail(s, &list[0])
		}
		return result{list, s.NextOffset, err}
	})
	if err == nil {
		err = got.err
	}
	return got.list, got.offset, err
}

// objects lists the objects of a kind that are in force.
func (f *Front) objects(w http.ResponseWriter, r *http.Request) { f.writeObjects(w, r, "") }

// object shows one object that is in force.
func (f *Front) object(w http.ResponseWriter, r *http.Request) {
	f.writeObjects(w, r, r.PathValue("name"))
}

func (f *Front) writeObjects(w http.ResponseWriter, r *http.Request, name string) {
	schema, err := number(r, "schema", 0)
	if err != nil {
		f.fail(w, err)
		return
	}
	list, offset, err := look(f, r, name, false)
	if err != nil {
		f.fail(w, err)
		return
	}
	objects, err := encode(list, int(schema))
	if err != nil {
		f.refuse(w, http.StatusConflict, wire.ErrorBody{Error: err.Error()})
		return
	}
	p, err := f.Follower.Progress(r.Context())
	if err != nil {
		f.fail(w, err)
		return
	}
	f.answer(w, http.StatusOK, wire.ObjectList{Offset: offset, AgeMS: age(p), Objects: objects})
}

// explain says what was done with an object and why.
func (f *Front) explain(w http.ResponseWriter, r *http.Request) {
	list, offset, err := look(f, r, r.PathValue("name"), true)
	if err != nil {
		f.fail(w, err)
		return
	}
	objects, err := encode(list, 0)
	if err != nil {
		f.fail(w, err)
		return
	}
	f.answer(w, http.StatusOK, wire.Explanation{
		Offset: offset, Object: objects[0], Why: list[0].why, Steps: list[0].steps,
	})
}

// readable returns a record as JSON, quoted when it is none.
func readable(raw []byte) json.RawMessage {
	if json.Valid(raw) {
		return raw
	}
	quoted, err := json.Marshal(string(raw))
	if err != nil {
		return json.RawMessage(`""`)
	}
	return quoted
}
