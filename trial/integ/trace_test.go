package integ

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/wire"
)

// span has the fields of an exported span that the test reads.
type span struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
}

func TestTraceHasASpanForEachHop(t *testing.T) {
	file := filepath.Join(t.TempDir(), "spans")
	p := twoZones()
	p.Pools[1].Zones = map[string]int{zoneB: 2}
	p.Settings = map[string][]string{"trace": {"exporter = file", "file = " + file, "sample = 1"}}
	f := start(t, p)
	const trace, caller = "0af7651916cd43dd8448eb211c80319c", "b7ad6b7169203331"
	req, err := http.NewRequestWithContext(f.ctx, http.MethodPost, "http://"+f.Entries[0].HTTP+wire.PathRequests+"remittances", strings.NewReader("x"))
	require.NoError(t, err)
	req.Header.Set(wire.HeaderID, "traced")
	req.Header.Set(wire.HeaderIdempotent, "true")
	req.Header.Set("Traceparent", "00-"+trace+"-"+caller+"-01")
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, string(wire.Done), resp.Header.Get(wire.HeaderOutcome))
	for _, e := range f.Entries {
		require.NoError(t, e.Proc.Stop(), "an entry writes its spans when it stops")
	}
	raw, err := os.ReadFile(file)
	require.NoError(t, err)
	children := make(map[string]span)
	for _, line := range strings.Split(strings.TrimSpace(string(raw)), "\n") {
		var s span
		require.NoError(t, json.Unmarshal([]byte(line), &s), line)
		if s.SpanContext.TraceID == trace {
			children[s.Parent.SpanID] = s
		}
	}
	var hops []string
	for parent := caller; ; {
		s, found := children[parent]
		if !found {
			break
		}
		hops = append(hops, s.Name)
		parent = s.SpanContext.SpanID
	}
	require.Equal(t, []string{"entry", "relay", "entry", "target"}, hops)
}
