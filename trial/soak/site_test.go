package soak

import (
	"testing"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/roster"
	"carawaymux.dev/fleet/codec"
)

func TestEntriesConnectToTheProxiesInFrontOfOthers(t *testing.T) {
	s := &site{peers: map[string]string{"127.0.0.1:1": "127.0.0.1:2"}}
	sent := roster.Heartbeat{Name: "entry-0", Address: "127.0.0.1:1", Seq: 7, Pools: map[string]int64{"docs": 3}}
	raw, err := codec.EncodeFrame(sent)
	require.NoError(t, err)
	kept, err := codec.DecodeFrame[roster.Heartbeat](s.rewrite(heartbeatTopic, "entry-0", raw))
	require.NoError(t, err)
	sent.Address = "127.0.0.1:2"
	require.Equal(t, sent, kept)
	for _, other := range []struct {
		topic string
		value []byte
	}{{"keyed.owners", raw}, {heartbeatTopic, []byte("odd")}} {
		require.Equal(t, other.value, s.rewrite(other.topic, "entry-0", other.value))
	}
}
