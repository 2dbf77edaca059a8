package root_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/apikey"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wire"
	"carawaymux.dev/oper/exits"
)

// Guards against a key that is published, printed more than once, or shown although its record may not be in the log.
func TestAKeyIsShownOnceAndOnlyItsDigestIsPublished(t *testing.T) {
	status, body := acceptedAnswer()
	c := newCLIFixture(t, func() (int, any) { return status, body })
	require.Equal(t, exits.OK, c.run("key", "create", "one", "--team", "berths"))
	fields := strings.Split(strings.TrimSpace(c.out.String()), "\t")
	require.Equal(t, []string{"one", "berths"}, fields[:2])
	key := fields[2]
	require.NotContains(t, c.err.String(), key)
	require.Equal(t, "key", c.published[0]["kind"])
	require.Equal(t, map[string]any{"team": "berths", "digest": apikey.Digest(key)}, c.published[0]["body"])

	require.Equal(t, exits.OK, c.run("key", "create", "one", "--team", "berths", "--json", "key"))
	var out []map[string]string
	require.NoError(t, json.Unmarshal(c.out.Bytes(), &out))
	require.NotEqual(t, key, out[0]["key"])

	file := filepath.Join(t.TempDir(), "key")
	require.NoError(t, os.WriteFile(file, []byte(key+"\n"), 0o600))
	require.Equal(t, exits.OK, c.run("key", "create", "one", "--team", "berths", "--key-file", file))
	require.Equal(t, c.published[0]["body"], c.published[2]["body"])
	require.NotContains(t, c.out.String()+c.err.String(), key)
	require.NoError(t, os.WriteFile(file, []byte("too-short"), 0o600))
	require.Equal(t, exits.Usage, c.run("key", "create", "one", "--team", "berths", "--key-file", file))
	require.NotContains(t, c.err.String(), "too-short")

	status, body = 503, wire.ErrorBody{Error: "log down"}
	require.Equal(t, exits.Unreachable, c.run("key", "create", "one", "--team", "berths"))
	require.Empty(t, c.out.String())
	require.Contains(t, c.err.String(), "the key is not shown")
	require.Equal(t, exits.Usage, c.run("key", "create", "one"))
	require.Equal(t, exits.Usage, c.run("key", "create", "one", "--team", "Not A Team"))
}

// Guards against a deployment that needs no keys any more because its only key was replaced in the wrong order.
func TestTheLastKeyIsRevokedOnlyWhenAskedFor(t *testing.T) {
	c := newCLIFixture(t, acceptedAnswer)
	require.Equal(t, exits.Refused, c.run("key", "revoke", "docs"), "the fixture lists one key, docs")
	require.Empty(t, c.published)
	require.Equal(t, exits.OK, c.run("key", "revoke", "docs", "--last"))
	require.Equal(t, map[string]any{"of": string(record.KindKey)}, c.published[0]["body"])
	require.EqualValues(t, 5, c.published[0]["base"])
}
