package codec

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"carawaymux.dev/fleet/ledger"
)

// MaxSnapshotBytes is the largest encoded snapshot, in bytes.
const MaxSnapshotBytes = 64 << 20

// maxElements bounds arrays and maps in what is decoded from CBOR.
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

// EncodeFrame writes a message between instances as canonical CBOR.
func EncodeFrame(v any) ([]byte, error) { return encMode.Marshal(v) }

// DecodeFrame reads a message between instances from CBOR.
func DecodeFrame[T any](raw []byte) (T, error) {
	var v T
	err := decMode.Unmarshal(raw, &v)
	return v, err
}

// EncodeSnapshot writes a snapshot as canonical CBOR: equal states give equal
// bytes.
func EncodeSnapshot(s ledger.Snapshot) ([]byte, error) { return encMode.Marshal(s) }

// DecodeSnapshot reads a snapshot and builds the state from it.
func DecodeSnapshot(raw []byte) (*ledger.State, error) {
	if len(raw) > MaxSnapshotBytes {
		return nil, fmt.Errorf("snapshot: %d bytes, at most %d", len(raw), MaxSnapshotBytes)
	}
	s, err := DecodeFrame[ledger.Snapshot](raw)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return ledger.Restore(s)
}

// Hash is the hash of an encoded snapshot, as 16 hexadecimal digits.
func Hash(raw []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(raw)) }
