package setup_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/setup"
	"carawaymux.dev/fleet/conf"
)

const validSettings = `
[entry]
name = e1
zone = tp-a
[listen]
http = 127.0.0.1:7000
peer = 127.0.0.1:7100
clear = yes
[platform]
log = http://127.0.0.1:7900
hosts = http://127.0.0.1:7901
[peers]
e2 = tp-a 127.0.0.1:7101
e3 = tp-b 127.0.0.1:7102
[auth]
open = yes
`

func TestParseReadsSettingsAndDefaults(t *testing.T) {
	s, err := setup.Parse("e1.ini", []byte(validSettings))
	require.NoError(t, err)
	require.Equal(t, []setup.Peer{{"e2", "tp-a", "127.0.0.1:7101"}, {"e3", "tp-b", "127.0.0.1:7102"}}, s.Peers)
	require.Equal(t, 2*time.Second, s.DrainDelay)
	require.Equal(t, 256, s.Limits.Queue)
}

// TestParseReportsAllProblemsAtOnce also checks that listening without TLS and access without keys
// must be set explicitly.
func TestParseReportsAllProblemsAtOnce(t *testing.T) {
	_, err := setup.Parse("e1.ini", []byte(`
[entry]
name = e1
zone = tp-a
[listen]
http = 127.0.0.1:7000
peer = 127.0.0.1:7100
[platform]
log = http://127.0.0.1:7900
hosts = http://127.0.0.1:7901/path
[peers]
e1 = tp-a 127.0.0.1:7100
e4 = tp-a
[trace]
exporter = file
`))
	var problems conf.Problems
	require.ErrorAs(t, err, &problems)
	var keys []string
	for _, p := range problems {
		keys = append(keys, p.Section+"."+p.Key)
	}
	require.ElementsMatch(t, []string{
		"listen.tls-cert", "platform.hosts", "peers.e1", "peers.e4", "auth.key-file", "trace.file",
	}, keys)
}

func TestStopTimeoutLeavesTimeAfterTheDrainDelay(t *testing.T) {
	text := strings.Replace(validSettings, "zone = tp-a", "zone = tp-a\ndrain-delay = 2s\nstop-timeout = 3s", 1)
	_, err := setup.Parse("e1.ini", []byte(text))
	require.ErrorContains(t, err, "stop-timeout")
}
