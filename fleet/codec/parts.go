package codec

import (
	"encoding/json"
	"fmt"

	"github.com/google/uuid"
)

// MaxPartBytes is the largest piece of a snapshot in one record, in bytes.
const MaxPartBytes = 32 << 10

// MaxParts is the largest number of parts of one snapshot.
const MaxParts = MaxSnapshotBytes / MaxPartBytes

// Part is a piece of an encoded snapshot as the log holds it.
type Part struct {
	// ID is the same for all parts of one snapshot.
	ID string `json:"id"`
	// Offset and Hash are those of the whole snapshot.
	Offset uint64 `json:"offset"`
	Hash   string `json:"hash"`
	// Index counts from 0; Parts is their number.
	Index int    `json:"part"`
	Count int    `json:"parts"`
	Data  []byte `json:"data"`
}

// SplitSnapshot cuts an encoded snapshot into encoded parts.
func SplitSnapshot(offset uint64, raw []byte) ([][]byte, error) {
	id, hash := uuid.NewString(), Hash(raw)
	count := max(1, (len(raw)+MaxPartBytes-1)/MaxPartBytes)
	var out [][]byte
	for i := range count {
		end := min((i+1)*MaxPartBytes, len(raw))
		encoded, err := json.Marshal(Part{
			ID: id, Offset: offset, Hash: hash, Index: i, Count: count, Data: raw[i*MaxPartBytes : end],
		})
		if err != nil {
			return nil, err
		}
		out = append(out, encoded)
	}
	return out, nil
}

// Reassembler puts parts back together. Its zero value is ready; parts of several
// snapshots may come mixed.
type Reassembler struct {
	// pending holds the parts of each incomplete snapshot, by ID.
	pending map[string][]*Part
}

// Add takes one encoded part. When it completes a snapshot whose hash is right,
// it returns the snapshot and its offset.
func (r *Reassembler) Add(encoded []byte) (raw []byte, offset uint64, err error) {
	p, err := DecodeStrict[Part](encoded)
	if err != nil {
		return nil, 0, err
	}
	if p.Count < 1 || p.Count > MaxParts || p.Index < 0 || p.Index >= p.Count {
		return nil, 0, fmt.Errorf("snapshot part %d of %d: out of range", p.Index, p.Count)
	}
	if r.pending == nil {
		r.pending = make(map[string][]*Part)
	}
	parts := r.pending[p.ID]
	if parts == nil {
		parts = make([]*Part, p.Count)
		r.pending[p.ID] = parts
	}
	if len(parts) != p.Count {
		return nil, 0, fmt.Errorf("snapshot %s: %d parts and %d parts", p.ID, len(parts), p.Count)
	}
	parts[p.Index] = &p
	for _, part := range parts {
		if part == nil {
			return nil, 0, nil
		}
	}
	delete(r.pending, p.ID)
	for _, part := range parts {
		raw = append(raw, part.Data...)
	}
	if hash := Hash(raw); hash != p.Hash {
		return nil, 0, fmt.Errorf("snapshot %s: hash is %s, its parts say %s", p.ID, hash, p.Hash)
	}
	return raw, p.Offset, nil
}
