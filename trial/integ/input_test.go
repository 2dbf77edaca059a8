package integ

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/plat"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wire"
)

func TestInvalidInputIsRefusedWithAReasonAndChangesNothing(t *testing.T) {
	f := start(t, twoZones())
	base := "http://" + f.Entries[0].HTTP
	send := func(method, path, body string, headers map[string]string) (int, http.Header, wire.ErrorBody) {
		req, err := http.NewRequestWithContext(f.ctx, method, base+path, bytes.NewReader([]byte(body)))
		require.NoError(t, err)
		for k, v := range headers {
			req.Header.Set(k, v)
		}
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		defer resp.Body.Close()
		raw, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		var refusal wire.ErrorBody
		_ = json.Unmarshal(raw, &refusal)
		return resp.StatusCode, resp.Header, refusal
	}
	rec := func(rest string) string { return `{"id":"` + record.NewID().String() + `","author":"a",` + rest + `}` }
	before := f.countOperatorRecords()
	for name, c := range map[string]struct {
		body   string
		status int
		field  string
	}{
		"malformed":             {`{"id":`, 400, "record"},
		"unknown kind":          {rec(`"kind":"comet","schema":1,"body":{}`), 400, "kind"},
		"unknown version":       {rec(`"kind":"pool","schema":7,"body":{}`), 400, "schema"},
		"negative size":         {rec(`"kind":"job","schema":2,"object":"j","body":{"pool":"documents","size":{"cores":-1,"memory-mib":1},"tasks":1,"urgency":"low"}`), 400, "size.cores"},
		"pool without a budget": {rec(`"kind":"pool","schema":2,"object":"p","body":{"kinds":["x"]}`), 400, "budget"},
		"too large":             {rec(`"kind":"budget","schema":1,"object":"` + strings.Repeat("x", record.MaxBytes) + `","body":{}`), 413, ""},
	} {
		status, _, refusal := send(http.MethodPost, wire.PathRecords, c.body, nil)
		require.Equal(t, c.status, status, "%s: %s", name, refusal.Error)
		if c.field != "" {
			require.NotEmpty(t, refusal.Problems, name)
			require.Equal(t, c.field, refusal.Problems[0].Field, name)
			require.NotEmpty(t, refusal.Problems[0].Allowed, name)
		} else {
			require.Contains(t, refusal.Error, "65536 bytes", name)
		}
	}
	require.Equal(t, before, f.countOperatorRecords(), "an invalid record reached the log")

	good := map[string]string{wire.HeaderID: "x", wire.HeaderIdempotent: "true"}
	without := func(key, value string) map[string]string {
		out := map[string]string{key: value}
		for k, v := range good {
			if k != key {
				out[k] = v
			}
		}
		return out
	}
	for name, c := range map[string]struct {
		headers map[string]string
		body    string
		status  int
		want    string
	}{
		"no id":         {without(wire.HeaderID, ""), "", 400, wire.HeaderID},
		"long id":       {without(wire.HeaderID, strings.Repeat("x", wire.MaxID+1)), "", 400, "1 to 128 bytes"},
		"no idempotent": {without(wire.HeaderIdempotent, ""), "", 400, wire.HeaderIdempotent},
		"bad urgency":   {without(wire.HeaderUrgency, "now"), "", 400, "low, normal or urgent"},
		"bad deadline":  {without(wire.HeaderDeadline, "-5"), "", 400, "from 1 to 600000"},
		"large body":    {good, strings.Repeat("x", 2<<20), 413, "the limit is 1048576"},
		"large header":  {without("X-Big", strings.Repeat("x", 64<<10)), "", 431, ""},
	} {
		status, header, refusal := send(http.MethodPost, wire.PathRequests+"documents", c.body, c.headers)
		require.Equal(t, c.status, status, "%s: %s", name, refusal.Error)
		require.Contains(t, refusal.Error, c.want, name)
		if c.status != 431 {
			require.Equal(t, string(wire.NotRun), header.Get(wire.HeaderOutcome), name)
		}
	}
	for path, status := range map[string]int{
		"/v1/objects/comet": 400, "/v1/objects/pool/none": 404, "/v1/nowhere": 404, "/v1/records?from=x": 400,
		"/v1/objects/pool?min-offset=999999&wait-ms=50": 503, "/v1/ids?kind=none": 400,
	} {
		got, _, refusal := send(http.MethodGet, path, "", nil)
		require.Equal(t, status, got, "%s: %s", path, refusal.Error)
		require.NotEmpty(t, refusal.Error, path)
	}
	require.Empty(t, f.Totals(f.ctx).Runs, "an invalid request ran on a target")
}

// countOperatorRecords returns the number of records in the log except lease records, which
// the planner appends all the time.
func (f *fixture) countOperatorRecords() int {
	f.t.Helper()
	items, err := f.ReadStream(f.ctx, plat.StreamMain)
	require.NoError(f.t, err)
	n := 0
	for _, it := range items {
		if !bytes.Contains(it.Data, []byte(`"kind":"lease"`)) {
			n++
		}
	}
	return n
}
