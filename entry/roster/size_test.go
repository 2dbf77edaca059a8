package roster_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/roster"
	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/port"
)

// An entry that owns all pools of a large fleet writes heartbeats within a record of the store.
func TestHeartbeatOfAnOwnerOfManyPoolsFitsARecord(t *testing.T) {
	const (
		maxRecordBytes = 262_144
		pools          = 4000
	)
	h := roster.Heartbeat{Name: strings.Repeat("n", 64), Zone: strings.Repeat("z", 64), Address: "10.250.250.250:65535", Pools: map[string]int64{}}
	for i := range pools {
		h.Pools[fmt.Sprintf("%s-%05d", strings.Repeat("p", 40), i)] = 1 << 40
	}
	value, err := codec.EncodeFrame(h)
	require.NoError(t, err)
	r := port.Record{Key: h.Name, Value: value}
	require.LessOrEqual(t, r.StoredBytes(), maxRecordBytes)
}
