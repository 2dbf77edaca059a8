package peers

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/shard"
)

// Guards against a rolling upgrade in which entries of two releases do not empty hosts for each other.
func TestRequestsToEmptyAHostAreReadAcrossReleases(t *testing.T) {
	type earlierRequest struct {
		Pool    string `cbor:"1,keyasint"`
		Verb    Verb   `cbor:"2,keyasint"`
		Subject string `cbor:"3,keyasint,omitempty"`
	}
	order := shard.LeaveOrder{Purpose: shard.ForMove, Holder: "h", Epoch: 7}
	encoded, err := cbor.Marshal(Request{Pool: "p", Verb: VerbVacate, Subject: "host", Leave: &order})
	require.NoError(t, err)
	var r Request
	require.NoError(t, cbor.Unmarshal(encoded, &r))
	require.Equal(t, order, r.LeaveOrder())
	var earlier earlierRequest
	require.NoError(t, cbor.Unmarshal(encoded, &earlier))
	require.Equal(t, earlierRequest{"p", VerbVacate, "host"}, earlier)

	encoded, err = cbor.Marshal(earlier)
	require.NoError(t, err)
	r = Request{}
	require.NoError(t, cbor.Unmarshal(encoded, &r))
	require.Zero(t, r.LeaveOrder())
}
