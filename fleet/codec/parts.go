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
	parts := max(1, (len(raw)+MaxPartBytes-1)/MaxPartBytes)
	var out [][]byte
	for i := range parts {
		end := min((i+1)*MaxPartBytes, len(raw))
		encoded, err := json.Marshal(Part{
			ID: id, Offset: offset, Hash: hash, Index: i, Count: parts, Data: raw[i*MaxPartBytes : end],
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
	open map[string][]*Part
}

// Add takes one encoded part. When it completes a snapshot whose hash is right,
// it returns the snapshot and its offset.
func (j *Reassembler) Add(encoded []byte) (raw []byte, offset uint64, err error) {
	p, err := DecodeStrict[Part](encoded)
	if err != nil {
		return nil, 0, err
	}
	if p.Count < 1 || p.Count > MaxParts || p.Index < 0 || p.Index >= p.Count {
		return nil, 0, fmt.Errorf("snapshot part %d of %d: out of range", p.Index, p.Count)
	}
	if j.open == nil {
		j.open = make(map[string][]*Part)
	}
	parts := j.open[p.ID]
	if parts == nil {
		parts = make([]*Part, p.Count)
		j.open[p.ID] = parts
	}
	if len(parts) != p.Count {
		return nil, 0, fmt.Errorf("snapshot %s: %d parts and %d parts", p.ID, len(parts), p.Count)
	}
	parts[p.Index] = &p
	for _, one := range parts {
		if one == nil {
			return nil, 0, nil
		}
	}
	delete(j.open, p.ID)
	for _, one := range parts {
		raw = append(raw, one.Data...)
	}
	if hash := Hash(raw); hash != p.Hash {
		return nil, 0, fmt.Errorf("snapshot %s: hash is %s, its parts say %s", p.ID, hash, p.Hash)
	}
	return raw, p.Offset, nil
}
