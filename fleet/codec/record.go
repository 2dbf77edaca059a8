// Package codec turns records into JSON and back, and snapshots and frames into
// CBOR and back. It is the only package of the fleet module that knows encodings.
package codec

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"carawaymux.dev/fleet/budget"
	"carawaymux.dev/fleet/host"
	"carawaymux.dev/fleet/jobs"
	"carawaymux.dev/fleet/lease"
	"carawaymux.dev/fleet/ledger"
	"carawaymux.dev/fleet/pool"
	"carawaymux.dev/fleet/quota"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wave"
)

// envelope is a record on the wire.
type envelope struct {
	ID     string          `json:"id"`
	Kind   record.Kind     `json:"kind"`
	Schema int             `json:"schema"`
	Author string          `json:"author"`
	Object string          `json:"object,omitempty"`
	Base   uint64          `json:"base,omitempty"`
	Fence  uint64          `json:"fence,omitempty"`
	At     int64           `json:"at,omitempty"`
	Reason *record.Reason  `json:"reason,omitempty"`
	Body   json.RawMessage `json:"body"`
}

// form reads and writes one schema version of a kind.
type form struct {
	decode func(raw []byte) (record.Body, error)
	encode func(body record.Body) ([]byte, error)
}

// plain is the form of a body that is written as it is held.
func plain[B record.Body]() form {
	return form{
		decode: func(raw []byte) (record.Body, error) { return strict[B](raw) },
		encode: func(body record.Body) ([]byte, error) { return json.Marshal(body) },
	}
}

// older is the form of an earlier schema version V of the body B.
func older[V interface{ Upgrade() B }, B interface {
	record.Body
	Downgrade() (V, error)
}]() form {
	return form{
		decode: func(raw []byte) (record.Body, error) {
			v, err := strict[V](raw)
			if err != nil {
				return nil, err
			}
			return v.Upgrade(), nil
		},
		encode: func(body record.Body) ([]byte, error) {
			b, ok := body.(B)
			if !ok {
				return nil, fmt.Errorf("body: is a %T", body)
			}
			v, err := b.Downgrade()
			if err != nil {
				return nil, err
			}
			return json.Marshal(v)
		},
	}
}

// forms lists the schema versions of each kind, version 1 first.
var forms = map[record.Kind][]form{
	record.KindBudget:     {older[budget.SpecV1, budget.Spec](), plain[budget.Spec]()},
	record.KindPool:       {older[pool.SpecV1, pool.Spec](), plain[pool.Spec]()},
	record.KindJob:        {older[jobs.SpecV1, jobs.Spec](), plain[jobs.Spec]()},
	record.KindHost:       {plain[host.Spec]()},
	record.KindQuota:      {plain[quota.Spec]()},
	record.KindWave:       {plain[wave.Spec]()},
	record.KindMove:       {plain[host.Move]()},
	record.KindCancel:     {plain[jobs.Cancel]()},
	record.KindRetire:     {plain[ledger.Retire]()},
	record.KindGate:       {plain[ledger.Gate]()},
	record.KindLease:      {plain[lease.Claim]()},
	record.KindHostChange: {plain[host.Change]()},
	record.KindWaveChange: {plain[wave.Change]()},
	record.KindPlacement:  {plain[jobs.Placement]()},
	record.KindCheckpoint: {plain[ledger.Checkpoint]()},
}

// Newest is the highest schema version of a kind that this program knows; 0 for
// a kind that it does not know.
func Newest(k record.Kind) int { return len(forms[k]) }

// Kinds lists the known kinds in order.
func Kinds() []record.Kind {
	out := make([]record.Kind, 0, len(forms))
	for k := range forms {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// DecodeRecord reads a record from JSON. A kind or schema version that is not
// known gives a record whose body is a [record.Unknown]; anything malformed gives
// a [record.Problems] that names the field.
func DecodeRecord(raw []byte) (record.Record, error) {
	if len(raw) > record.MaxBytes {
		return record.Record{}, record.Problems{{
			Field: "record", Got: fmt.Sprintf("%d bytes", len(raw)),
			Allowed: fmt.Sprintf("at most %d bytes", record.MaxBytes),
		}}
	}
	e, err := strict[envelope](raw)
	if err != nil {
		return record.Record{}, err
	}
	r := record.Record{
		Schema: e.Schema, Author: e.Author, Object: e.Object, Base: e.Base, Fence: e.Fence, At: e.At,
	}
	if e.Reason != nil {
		r.Reason = *e.Reason
	}
	if err := r.ID.UnmarshalText([]byte(e.ID)); err != nil {
		return r, record.Problems{{Field: "id", Got: fmt.Sprintf("%q", e.ID), Allowed: "a UUID"}}
	}
	if e.Kind == "" {
		return r, record.Problems{{Field: "kind", Allowed: "one of " + kindList()}}
	}
	if e.Schema < 1 {
		return r, record.Problems{{Field: "schema", Got: fmt.Sprint(e.Schema), Allowed: "1 or more"}}
	}
	known := forms[e.Kind]
	if e.Schema > len(known) {
		r.Body = record.Unknown{Name: e.Kind, Version: e.Schema, Raw: raw}
		return r, nil
	}
	body, err := known[e.Schema-1].decode(e.Body)
	if err != nil {
		return r, prefixed("body.", err)
	}
	r.Body = body
	return r, nil
}

// RefuseUnread returns an error for a record that is not understood. Front ends
// refuse such records, while the fold keeps them.
func RefuseUnread(r record.Record) error {
	u, ok := r.Body.(record.Unknown)
	if !ok {
		return nil
	}
	if newest := Newest(u.Name); newest > 0 {
		return record.Problems{{
			Field: "schema", Got: fmt.Sprint(u.Version), Allowed: fmt.Sprintf("from 1 to %d", newest),
		}}
	}
	return record.Problems{{
		Field: "kind", Got: fmt.Sprintf("%q", u.Name), Allowed: "one of " + kindList(),
	}}
}

func kindList() string {
	var names []string
	for _, k := range Kinds() {
		names = append(names, string(k))
	}
	return strings.Join(names, ", ")
}

// EncodeRecord writes a record as JSON in the schema version that it names.
func EncodeRecord(r record.Record) ([]byte, error) {
	body, err := EncodeBody(r.Body, r.Schema)
	if err != nil {
		return nil, err
	}
	e := envelope{
		ID: r.ID.String(), Kind: r.Body.Kind(), Schema: r.Schema, Author: r.Author, Object: r.Object,
		Base: r.Base, Fence: r.Fence, At: r.At, Body: body,
	}
	if r.Reason != (record.Reason{}) {
		e.Reason = &r.Reason
	}
	return json.Marshal(e)
}

// EncodeBody writes a body as JSON in a schema version. It fails when the version
// cannot hold what the body says.
func EncodeBody(body record.Body, schema int) ([]byte, error) {
	known := forms[body.Kind()]
	if schema < 1 || schema > len(known) {
		return nil, record.Problems{{
			Field: "schema", Got: fmt.Sprint(schema), Allowed: fmt.Sprintf("from 1 to %d", len(known)),
		}}
	}
	return known[schema-1].encode(body)
}

// DecodeBody reads a body of a kind and schema version from JSON.
func DecodeBody(k record.Kind, schema int, raw []byte) (record.Body, error) {
	known := forms[k]
	if len(known) == 0 {
		return nil, record.Problems{{
			Field: "kind", Got: fmt.Sprintf("%q", k), Allowed: "one of " + kindList(),
		}}
	}
	if schema < 1 || schema > len(known) {
		return nil, record.Problems{{
			Field: "schema", Got: fmt.Sprint(schema), Allowed: fmt.Sprintf("from 1 to %d", len(known)),
		}}
	}
	body, err := known[schema-1].decode(raw)
	if err != nil {
		return nil, prefixed("body.", err)
	}
	return body, nil
}

// DecodeEntry reads a record at its place in the log. What is no record gives an
// entry with a fault, which the fold rejects.
func DecodeEntry(offset uint64, raw []byte) record.Entry {
	r, err := DecodeRecord(raw)
	e := record.Entry{Offset: offset, Record: r, Raw: raw}
	if err != nil {
		e.DecodeError = err.Error()
	}
	return e
}

// Strict reads one JSON value and refuses unknown fields and trailing input with
// a [record.Problems].
func Strict[T any](raw []byte) (T, error) { return strict[T](raw) }

func strict[T any](raw []byte) (T, error) {
	var out T
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(&out); err != nil {
		return out, jsonProblem(err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return out, record.Problems{{Field: "record", Got: "more than one value", Allowed: "one JSON object"}}
	}
	return out, nil
}

// jsonProblem names the field that a JSON error speaks of.
func jsonProblem(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return record.Problems{{
			Field: wrongType.Field, Got: "a " + wrongType.Value, Allowed: "a " + wrongType.Type.String(),
		}}
	}
	const unknown = "json: unknown field "
	if text := err.Error(); strings.HasPrefix(text, unknown) {
		name := strings.Trim(strings.TrimPrefix(text, unknown), `"`)
		return record.Problems{{Field: name, Got: "unknown", Allowed: "left out"}}
	}
	return record.Problems{{Field: "record", Got: err.Error(), Allowed: "a JSON object"}}
}

func prefixed(prefix string, err error) error {
	var list record.Problems
	if !errors.As(err, &list) {
		return err
	}
	out := make(record.Problems, len(list))
	for i, one := range list {
		one.Field = prefix + one.Field
		out[i] = one
	}
	return out
}
