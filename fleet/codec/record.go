// Package codec encodes and decodes records and the parts of snapshots as JSON, and snapshots and
// frames as CBOR. Packages ledger and plan use neither encoding.
package codec

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"carawaymux.dev/fleet/apikey"
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

// envelope is the JSON form of a record.
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

// bodyCodec decodes and encodes the body of one schema version of a kind.
type bodyCodec struct {
	decode func(raw []byte) (record.Body, error)
	encode func(body record.Body) ([]byte, error)
}

// currentSchema returns the codec of the schema version that body B itself represents.
func currentSchema[B record.Body]() bodyCodec {
	return bodyCodec{
		decode: func(raw []byte) (record.Body, error) { return decodeStrict[B](raw) },
		encode: func(body record.Body) ([]byte, error) { return json.Marshal(body) },
	}
}

// olderSchema returns the codec of the earlier schema version V of body B.
func olderSchema[V interface{ Upgrade() B }, B interface {
	record.Body
	Downgrade() (V, error)
}]() bodyCodec {
	return bodyCodec{
		decode: func(raw []byte) (record.Body, error) {
			v, err := decodeStrict[V](raw)
			if err != nil {
				return nil, err
			}
			return v.Upgrade(), nil
		},
		encode: func(body record.Body) ([]byte, error) {
			b, ok := body.(B)
			if !ok {
				return nil, fmt.Errorf("body: has the unexpected type %T", body)
			}
			v, err := b.Downgrade()
			if err != nil {
				return nil, err
			}
			return json.Marshal(v)
		},
	}
}

// bodyCodecs lists the schema versions of each kind, starting at version 1.
var bodyCodecs = map[record.Kind][]bodyCodec{
	record.KindBudget:     {olderSchema[budget.SpecV1, budget.Spec](), currentSchema[budget.Spec]()},
	record.KindPool:       {olderSchema[pool.SpecV1, pool.Spec](), currentSchema[pool.Spec]()},
	record.KindJob:        {olderSchema[jobs.SpecV1, jobs.Spec](), currentSchema[jobs.Spec]()},
	record.KindHost:       {currentSchema[host.Spec]()},
	record.KindQuota:      {currentSchema[quota.Spec]()},
	record.KindWave:       {currentSchema[wave.Spec]()},
	record.KindMove:       {currentSchema[host.Move]()},
	record.KindCancel:     {currentSchema[jobs.Cancel]()},
	record.KindRetire:     {currentSchema[ledger.Retire]()},
	record.KindGate:       {currentSchema[ledger.Gate]()},
	record.KindLease:      {currentSchema[lease.Claim]()},
	record.KindHostChange: {currentSchema[host.Change]()},
	record.KindWaveChange: {currentSchema[wave.Change]()},
	record.KindPlacement:  {olderSchema[jobs.PlacementV1, jobs.Placement](), currentSchema[jobs.Placement]()},
	record.KindCheckpoint: {currentSchema[ledger.Checkpoint]()},
	record.KindKey:        {currentSchema[apikey.Spec]()},
	record.KindTeamCancel: {currentSchema[jobs.TeamCancel]()},
}

// NewestSchema returns the highest schema version of a kind that this program supports; 0 means
// that it does not support the kind.
func NewestSchema(k record.Kind) int { return len(bodyCodecs[k]) }

// Kinds lists the supported kinds in alphabetical order.
func Kinds() []record.Kind {
	out := make([]record.Kind, 0, len(bodyCodecs))
	for k := range bodyCodecs {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// DecodeRecord decodes a record from JSON. If the kind or the schema version is not supported, the
// body of the record is a [record.Unknown]. For malformed input the error is a [record.Problems]
// that names the field.
func DecodeRecord(raw []byte) (record.Record, error) {
	if len(raw) > record.MaxBytes {
		return record.Record{}, record.Problems{{
			Field: "record", Got: fmt.Sprintf("%d bytes", len(raw)),
			Allowed: fmt.Sprintf("at most %d bytes", record.MaxBytes),
		}}
	}
	e, err := decodeStrict[envelope](raw)
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
	versions := bodyCodecs[e.Kind]
	if e.Schema > len(versions) {
		r.Body = record.Unknown{Name: e.Kind, Version: e.Schema, Raw: raw}
		return r, nil
	}
	body, err := versions[e.Schema-1].decode(e.Body)
	if err != nil {
		return r, withFieldPrefix("body.", err)
	}
	r.Body = body
	return r, nil
}

// RejectUnknown returns an error for a record whose kind or schema version is not supported. Front
// ends refuse such records, while the ledger stores those that are already in the log.
func RejectUnknown(r record.Record) error {
	u, ok := r.Body.(record.Unknown)
	if !ok {
		return nil
	}
	if newest := NewestSchema(u.Name); newest > 0 {
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

// EncodeRecord encodes a record as JSON in the schema version that the record names.
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

// EncodeBody encodes a body as JSON in a schema version. It returns an error if that version cannot
// express the body.
func EncodeBody(body record.Body, schema int) ([]byte, error) {
	versions := bodyCodecs[body.Kind()]
	if schema < 1 || schema > len(versions) {
		return nil, record.Problems{{
			Field: "schema", Got: fmt.Sprint(schema), Allowed: fmt.Sprintf("from 1 to %d", len(versions)),
		}}
	}
	return versions[schema-1].encode(body)
}

// DecodeBody decodes the body of a record from JSON in a schema version of its kind.
func DecodeBody(k record.Kind, schema int, raw []byte) (record.Body, error) {
	versions := bodyCodecs[k]
	if len(versions) == 0 {
		return nil, record.Problems{{
			Field: "kind", Got: fmt.Sprintf("%q", k), Allowed: "one of " + kindList(),
		}}
	}
	if schema < 1 || schema > len(versions) {
		return nil, record.Problems{{
			Field: "schema", Got: fmt.Sprint(schema), Allowed: fmt.Sprintf("from 1 to %d", len(versions)),
		}}
	}
	body, err := versions[schema-1].decode(raw)
	if err != nil {
		return nil, withFieldPrefix("body.", err)
	}
	return body, nil
}

// DecodeEntry decodes the record at an offset of the log. If raw is not a valid record, the entry
// carries the error as its DecodeError, and the ledger rejects it.
func DecodeEntry(offset uint64, raw []byte) record.Entry {
	r, err := DecodeRecord(raw)
	e := record.Entry{Offset: offset, Record: r, Raw: raw}
	if err != nil {
		e.DecodeError = err.Error()
	}
	return e
}

// DecodeStrict decodes one JSON value. It rejects unknown fields and trailing input with a
// [record.Problems].
func DecodeStrict[T any](raw []byte) (T, error) { return decodeStrict[T](raw) }

func decodeStrict[T any](raw []byte) (T, error) {
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

// jsonProblem converts an error of the JSON decoder to a problem of the field that it concerns.
func jsonProblem(err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return record.Problems{{
			Field: typeErr.Field, Got: "a " + typeErr.Value, Allowed: "a " + typeErr.Type.String(),
		}}
	}
	const unknown = "json: unknown field "
	if text := err.Error(); strings.HasPrefix(text, unknown) {
		name := strings.Trim(strings.TrimPrefix(text, unknown), `"`)
		return record.Problems{{Field: name, Got: "unknown", Allowed: "left out"}}
	}
	return record.Problems{{Field: "record", Got: err.Error(), Allowed: "a JSON object"}}
}

// withFieldPrefix puts prefix before the fields of err if it is a [record.Problems].
func withFieldPrefix(prefix string, err error) error {
	var problems record.Problems
	if !errors.As(err, &problems) {
		return err
	}
	out := make(record.Problems, len(problems))
	for i, p := range problems {
		p.Field = prefix + p.Field
		out[i] = p
	}
	return out
}
