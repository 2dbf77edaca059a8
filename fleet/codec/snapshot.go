package codec

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"carawaymux.dev/fleet/ledger"
)

// MaxSnapshotBytes is the maximum size of an encoded snapshot.
const MaxSnapshotBytes = 64 << 20

// maxElements limits the length of each array and map in decoded CBOR.
const maxElements = 1 << 20

var (
	encMode = must(cbor.CanonicalEncOptions().EncMode())
	decMode = must(cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// EncodeFrame encodes a message between entries, or a stored value, as canonical CBOR.
func EncodeFrame(v any) ([]byte, error) { return encMode.Marshal(v) }

// DecodeFrame decodes a message between entries, or a stored value, from CBOR.
func DecodeFrame[T any](raw []byte) (T, error) {
	var v T
	err := decMode.Unmarshal(raw, &v)
	return v, err
}

// EncodeSnapshot encodes a snapshot as canonical CBOR, so that equal states give equal bytes.
func EncodeSnapshot(s ledger.Snapshot) ([]byte, error) { return encMode.Marshal(s) }

// DecodeSnapshot decodes a snapshot and restores the state from it.
func DecodeSnapshot(raw []byte) (*ledger.State, error) {
	if len(raw) > MaxSnapshotBytes {
		return nil, fmt.Errorf("snapshot: is %d bytes long, the limit is %d bytes", len(raw), MaxSnapshotBytes)
	}
	s, err := DecodeFrame[ledger.Snapshot](raw)
	if err != nil {
		return nil, fmt.Errorf("snapshot: decode CBOR: %w", err)
	}
	return ledger.Restore(s)
}

// Hash returns the xxHash64 of an encoded snapshot as 16 hexadecimal digits.
func Hash(raw []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(raw)) }
