package codec

import (
	"encoding/json"
	"fmt"

	"github.com/google/uuid"
)

// MaxPartBytes is the maximum size of the snapshot data in one part, in bytes before encoding.
const MaxPartBytes = 32 << 10

// MaxParts is the maximum number of parts of one snapshot.
const MaxParts = MaxSnapshotBytes / MaxPartBytes

// Part is a piece of an encoded snapshot, as it is stored in one record of the log.
type Part struct {
	// ID is the same for all parts of one snapshot.
	ID string `json:"id"`
	// Offset and Hash describe the complete snapshot.
	Offset uint64 `json:"offset"`
	Hash   string `json:"hash"`
	// Index counts from 0 to Count-1.
	Index int    `json:"part"`
	Count int    `json:"parts"`
	Data  []byte `json:"data"`
}

// SplitSnapshot splits an encoded snapshot into encoded parts.
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

// Reassembler rebuilds snapshots from their parts. Its zero value is ready to use. The parts of
// several snapshots may arrive interleaved.
type Reassembler struct {
	// pending holds the parts of each incomplete snapshot, by ID.
	pending map[string][]*Part
}

// Add adds one encoded part. If the part completes a snapshot and the hash matches, Add returns the
// snapshot and its offset.
func (r *Reassembler) Add(encoded []byte) (raw []byte, offset uint64, err error) {
	p, err := DecodeStrict[Part](encoded)
	if err != nil {
		return nil, 0, err
	}
	if p.Count < 1 || p.Count > MaxParts || p.Index < 0 || p.Index >= p.Count {
		return nil, 0, fmt.Errorf("snapshot part: index %d of %d parts is out of range", p.Index, p.Count)
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
		return nil, 0, fmt.Errorf("snapshot %s: earlier parts announced %d parts, this one %d", p.ID, len(parts), p.Count)
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
		return nil, 0, fmt.Errorf("snapshot %s: hash of the joined parts is %s, expected %s", p.ID, hash, p.Hash)
	}
	return raw, p.Offset, nil
}
