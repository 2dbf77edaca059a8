package codec_test

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/budget"
	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/jobs"
	"carawaymux.dev/fleet/ledger"
	"carawaymux.dev/fleet/pool"
	"carawaymux.dev/fleet/record"
)

const id = "0190b2c4-0000-7000-8000-000000000001"

func TestDecodeRecordNamesInvalidField(t *testing.T) {
	for name, c := range map[string]struct{ raw, want string }{
		"no JSON":        {`nope`, "record"},
		"two values":     {`{"id":"` + id + `","kind":"budget","schema":1,"author":"a","body":{}} {}`, "record"},
		"no id":          {`{"kind":"budget","schema":1,"author":"a","body":{}}`, "id"},
		"bad id":         {`{"id":"x","kind":"budget","schema":1,"author":"a","body":{}}`, "id"},
		"no kind":        {`{"id":"` + id + `","schema":1,"author":"a","body":{}}`, "kind"},
		"schema 0":       {`{"id":"` + id + `","kind":"budget","author":"a","body":{}}`, "schema"},
		"unknown field":  {`{"id":"` + id + `","kind":"budget","schema":1,"author":"a","body":{"max":1}}`, "body.max"},
		"field of v2":    {`{"id":"` + id + `","kind":"budget","schema":1,"author":"a","body":{"min-available":1}}`, "body.min-available"},
		"wrong type":     {`{"id":"` + id + `","kind":"budget","schema":1,"author":"a","body":{"max-unavailable":"x"}}`, "body.max-unavailable"},
		"too large":      {`{"id":"` + strings.Repeat("x", record.MaxBytes) + `"}`, "record"},
		"unknown member": {`{"id":"` + id + `","kind":"budget","schema":1,"author":"a","colour":1,"body":{}}`, "colour"},
	} {
		_, err := codec.DecodeRecord([]byte(c.raw))
		var problems record.Problems
		require.ErrorAs(t, err, &problems, name)
		require.Equal(t, c.want, problems[0].Field, name)
	}
}

func TestDecodeRecordKeepsUnknownKindAndRejectUnknownRefusesIt(t *testing.T) {
	r, err := codec.DecodeRecord([]byte(`{"id":"` + id + `","kind":"comet","schema":1,"author":"a","body":{}}`))
	require.NoError(t, err)
	require.ErrorContains(t, codec.RejectUnknown(r), "kind")
	r, err = codec.DecodeRecord([]byte(`{"id":"` + id + `","kind":"pool","schema":9,"author":"a","body":{}}`))
	require.NoError(t, err)
	require.ErrorContains(t, codec.RejectUnknown(r), "from 1 to 2")
}

func TestSchemaVersionsConvertBothWays(t *testing.T) {
	for _, c := range []struct {
		kind   record.Kind
		v1, v2 string
		want   record.Body
	}{
		{record.KindBudget, `{"max-unavailable":2}`, `{"max-unavailable":2,"min-available":0}`, budget.Spec{MaxUnavailable: 2}},
		{
			record.KindPool, `{"budget":"b","serves":"docs","spare":true}`, `{"budget":"b","kinds":["docs"],"spare":true}`,
			pool.Spec{Budget: "b", Kinds: []string{"docs"}, Spare: true},
		},
		{
			record.KindJob, `{"pool":"p","cores":2,"memory-mib":3,"tasks":4}`,
			`{"pool":"p","size":{"cores":2,"memory-mib":3},"tasks":4,"urgency":"normal"}`,
			jobs.SpecV1{Pool: "p", Cores: 2, MemoryMiB: 3, Tasks: 4}.Upgrade(),
		},
	} {
		body, err := codec.DecodeBody(c.kind, 1, []byte(c.v1))
		require.NoError(t, err)
		require.Equal(t, c.want, body)
		v2JSON, err := codec.EncodeBody(body, 2)
		require.NoError(t, err)
		require.JSONEq(t, c.v2, string(v2JSON))
		v1JSON, err := codec.EncodeBody(body, 1)
		require.NoError(t, err)
		again, err := codec.DecodeBody(c.kind, 1, v1JSON)
		require.NoError(t, err)
		require.Equal(t, body, again)
	}
}

func TestEncodeBodyFailsIfOldSchemaCannotExpressIt(t *testing.T) {
	_, err := codec.EncodeBody(budget.Spec{MaxUnavailable: 1, MinAvailable: 3}, 1)
	require.ErrorContains(t, err, "min-available")
	_, err = codec.EncodeBody(pool.Spec{Budget: "b", Kinds: []string{"a", "b"}}, 1)
	require.ErrorContains(t, err, "schema 1 holds one kind")
}

func TestReassemblerJoinsPartsAndRejectsBadHash(t *testing.T) {
	raw := make([]byte, 3*codec.MaxPartBytes+17)
	for i := range raw {
		raw[i] = byte(i * 7)
	}
	parts, err := codec.SplitSnapshot(42, raw)
	require.NoError(t, err)
	other, err := codec.SplitSnapshot(43, raw[:100])
	require.NoError(t, err)
	var r codec.Reassembler
	got := map[uint64][]byte{}
	for _, part := range append(append(parts[:2:2], other...), parts[2:]...) {
		joined, offset, err := r.Add(part)
		require.NoError(t, err)
		if joined != nil {
			got[offset] = joined
		}
	}
	require.Equal(t, map[uint64][]byte{42: raw, 43: raw[:100]}, got)
	_, _, err = r.Add([]byte(strings.Replace(string(other[0]), `"hash":"`, `"hash":"0`, 1)))
	require.ErrorContains(t, err, "hash")
}

func TestDecodeSnapshotRejectsPoolWithoutBudget(t *testing.T) {
	snapshot := ledger.New().Snapshot()
	snapshot.Pools["p"] = &record.Versioned[pool.Spec]{Name: "p", Spec: pool.Spec{Budget: "none"}}
	raw, err := codec.EncodeSnapshot(snapshot)
	require.NoError(t, err)
	_, err = codec.DecodeSnapshot(raw)
	require.ErrorContains(t, err, `the budget of pool "p" does not exist`)
	snapshot.Pools["p"] = nil
	raw, err = codec.EncodeSnapshot(snapshot)
	require.NoError(t, err)
	_, err = codec.DecodeSnapshot(raw)
	require.ErrorContains(t, err, "is empty")
}

// FuzzDecodeRecord checks that the decoder does not panic on arbitrary input, and that a decoded
// record stays the same when it is encoded and decoded again.
func FuzzDecodeRecord(f *testing.F) {
	f.Add([]byte(`{"id":"` + id + `","kind":"budget","schema":1,"author":"a","object":"b","body":{"max-unavailable":2}}`))
	f.Add([]byte(`{"id":"` + id + `","kind":"pool","schema":2,"author":"a","object":"p","base":3,"body":{"budget":"b","kinds":["k"]}}`))
	f.Add([]byte(`{"id":"` + id + `","kind":"host-change","schema":1,"author":"a","fence":9,"body":{"event":"fail","hosts":["h"]}}`))
	f.Add([]byte(`{"id":"` + id + `","kind":"comet","schema":5,"author":"a","body":[1,2]}`))
	f.Add([]byte(`{`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		r, err := codec.DecodeRecord(raw)
		if err != nil {
			return
		}
		if _, unknown := r.Body.(record.Unknown); unknown {
			return
		}
		again, err := codec.EncodeRecord(r)
		require.NoError(t, err)
		second, err := codec.DecodeRecord(again)
		require.NoError(t, err)
		third, err := codec.EncodeRecord(second)
		require.NoError(t, err)
		require.JSONEq(t, string(again), string(third))
	})
}

// FuzzDecodeSnapshot checks that the snapshot decoder does not panic on arbitrary input.
func FuzzDecodeSnapshot(f *testing.F) {
	raw, err := codec.EncodeSnapshot(ledger.New().Snapshot())
	require.NoError(f, err)
	f.Add(raw)
	f.Add([]byte{0xa1})
	f.Fuzz(func(_ *testing.T, raw []byte) {
		s, err := codec.DecodeSnapshot(raw)
		if err == nil {
			_, _ = codec.EncodeSnapshot(s.Snapshot())
		}
	})
}

func TestDecodeFrameLimitsNestingAndLengths(t *testing.T) {
	_, err := codec.DecodeFrame[any](bytes.Repeat([]byte{0x81}, 1<<20))
	require.ErrorContains(t, err, "nested level")
	_, err = codec.DecodeFrame[[]int]([]byte{0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	require.ErrorContains(t, err, "number of elements")
	for _, truncated := range [][]byte{{0x9a, 0x00, 0x0f, 0xff, 0xff}, {0x7b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}} {
		_, err = codec.DecodeFrame[any](truncated)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	}
}
