package root_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wire"
	"carawaymux.dev/oper/deps"
	"carawaymux.dev/oper/exits"
	"carawaymux.dev/oper/root"
)

// cliFixture runs commands against a fake entry.
type cliFixture struct {
	t        *testing.T
	url      string
	terminal bool
	in       string
	out, err bytes.Buffer
	// published are the records that the fake entry received.
	published []map[string]any
}

// newCLIFixture starts a fake entry with a pool and a budget. answer returns the HTTP status and
// the body of the response to each published record.
func newCLIFixture(t *testing.T, answer func() (int, any)) *cliFixture {
	c := &cliFixture{t: t}
	mux := http.NewServeMux()
	reply := func(w http.ResponseWriter, status int, body any) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
	mux.HandleFunc("GET "+wire.PathMembers, func(w http.ResponseWriter, _ *http.Request) {
		reply(w, 200, wire.MemberList{Members: []wire.Member{
			{Name: "e1", Zone: "a", State: "live", Offset: 8}, {Name: "e2", Zone: "b", State: "silent", Offset: 3},
		}})
	})
	mux.HandleFunc("GET "+wire.PathObjects+"{kind}", func(w http.ResponseWriter, r *http.Request) {
		reply(w, 200, wire.ObjectList{Objects: []wire.Object{{
			Kind: record.Kind(r.PathValue("kind")), Name: "docs", Version: 5, Author: "ana",
			Spec: json.RawMessage(`{"budget":"b","kinds":["x","y"]}`), Status: wire.ObjectStatus{Size: 3, Serving: 2, Headroom: 1},
		}}})
	})
	mux.HandleFunc("GET "+wire.PathObjects+"{kind}/{name}", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, 200, wire.ObjectList{Objects: []wire.Object{{
			Kind: "budget", Name: "b", Version: 5, Spec: json.RawMessage(`{"max-unavailable":4,"min-available":2}`),
		}}})
	})
	mux.HandleFunc("POST "+wire.PathRecords, func(w http.ResponseWriter, r *http.Request) {
		var got map[string]any
		require.NoError(t, json.NewDecoder(r.Body).Decode(&got))
		c.published = append(c.published, got)
		status, body := answer()
		reply(w, status, body)
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	c.url = server.URL
	return c
}

func acceptedAnswer() (int, any) { return 200, wire.PublishResult{Verdict: record.Verdict{Offset: 7}} }

// run executes a command line and returns its exit code.
func (c *cliFixture) run(args ...string) int {
	c.out.Reset()
	c.err.Reset()
	s := &deps.Streams{In: strings.NewReader(c.in), Out: &c.out, Err: &c.err, IsTerminal: c.terminal}
	return root.Run(s, append([]string{"--entry", c.url, "--author", "ana"}, args...))
}

func TestListFormats(t *testing.T) {
	c := newCLIFixture(t, acceptedAnswer)
	require.Equal(t, exits.OK, c.run("pool", "list"))
	require.Equal(t, "docs\tb\tx,y\t\t3\t2\t1\t5\tana\n", c.out.String())
	c.terminal = true
	require.Equal(t, exits.OK, c.run("pool", "list"))
	require.Contains(t, c.out.String(), "NAME  BUDGET  KINDS")
	require.Equal(t, exits.OK, c.run("pool", "list", "--json", "name,kinds,room"))
	require.JSONEq(t, `[{"name":"docs","kinds":["x","y"],"room":1}]`, c.out.String())
	require.Equal(t, exits.Usage, c.run("pool", "list", "--json", "colour"))
	require.Contains(t, c.err.String(), "unknown field")
}

func TestPublishedRecordMatchesFlags(t *testing.T) {
	c := newCLIFixture(t, acceptedAnswer)
	require.Equal(t, exits.OK, c.run("budget", "create", "b", "--max-unavailable", "2", "--schema", "1"))
	require.Equal(t, "budget b accepted at offset 7\n", c.out.String())
	got := c.published[0]
	require.Equal(t, "ana", got["author"])
	require.EqualValues(t, 1, got["schema"])
	require.Equal(t, map[string]any{"max-unavailable": 2.0}, got["body"])
	require.Equal(t, exits.OK, c.run("budget", "edit", "b", "--max-unavailable", "1"))
	require.EqualValues(t, 5, c.published[1]["base"], "an edit must be based on the version in force")
	require.Equal(t, map[string]any{"max-unavailable": 1.0, "min-available": 2.0}, c.published[1]["body"])
}

func TestExitCodesDistinguishFailures(t *testing.T) {
	status, body := 409, any(wire.ErrorBody{Error: "budget \"b\" is at version 9 by bo"})
	c := newCLIFixture(t, func() (int, any) { return status, body })
	require.Equal(t, exits.Refused, c.run("budget", "create", "b", "--max-unavailable", "2"))
	require.Contains(t, c.err.String(), "at version 9 by bo")
	status, body = 503, wire.ErrorBody{Error: "log down"}
	require.Equal(t, exits.Unreachable, c.run("budget", "create", "b", "--max-unavailable", "2"))
	require.Contains(t, c.err.String(), "retry safely with --id")
	require.Equal(t, exits.Usage, c.run("budget", "create", "b", "--max-unavailable", "-1"))
	require.Equal(t, exits.Usage, c.run("budget", "create", "Bad Name", "--max-unavailable", "1"))
	require.Equal(t, exits.Usage, c.run("budget", "create", "b", "--max-unavailable", "many"))
	require.Equal(t, exits.Usage, c.run("budget", "create", "b"))
	require.Equal(t, exits.Usage, c.run("budget", "edit", "b"))
	require.Equal(t, exits.Usage, c.run("bugdet"))
	c.url = "http://127.0.0.1:1"
	require.Equal(t, exits.Unreachable, c.run("budget", "list"))
	c.url = "not a url"
	require.Equal(t, exits.Usage, c.run("budget", "list"))
}

func TestWaitListsEntriesBehind(t *testing.T) {
	c := newCLIFixture(t, acceptedAnswer)
	config := filepath.Join(t.TempDir(), "c.ini")
	require.NoError(t, os.WriteFile(config, []byte("[client]\ntimeout = 300ms\n"), 0o600))
	require.Equal(t, exits.NotPropagated, c.run("--config", config, "budget", "create", "b", "--max-unavailable", "2", "--wait"))
	require.Contains(t, c.err.String(), "e2 (silent, at offset 3)")
	require.NotContains(t, c.err.String(), "e1")
}

func TestPublishFillsDefaultsAndValidates(t *testing.T) {
	c := newCLIFixture(t, acceptedAnswer)
	c.in = `{"kind":"budget","schema":1,"object":"b","body":{"max-unavailable":2}}`
	require.Equal(t, exits.OK, c.run("record", "publish", "-F", "-"))
	require.NotEmpty(t, c.published[0]["id"])
	for _, bad := range []string{
		`nope`, `{"kind":"comet","schema":1,"body":{}}`, `{"kind":"budget","schema":9,"body":{}}`,
		`{"kind":"job","schema":1,"object":"j","body":{"pool":"p","cores":-1,"memory-mib":1,"tasks":1}}`,
	} {
		c.in = bad
		require.Equal(t, exits.Usage, c.run("record", "publish", "-F", "-"), bad)
	}
	require.Len(t, c.published, 1, "invalid records must not be sent")
}

func TestAllInvalidSettingsAreReported(t *testing.T) {
	c := newCLIFixture(t, acceptedAnswer)
	config := filepath.Join(t.TempDir(), "c.ini")
	require.NoError(t, os.WriteFile(config, []byte("[client]\ntimeout = soon\ncolour = red\n"), 0o600))
	require.Equal(t, exits.Usage, c.run("--config", config, "budget", "list"))
	require.Contains(t, c.err.String(), "[client] timeout = soon")
	require.Contains(t, c.err.String(), "[client] colour = red: unknown key")
}

// TestEveryCommandHasHelpAndExample checks all commands of the tree.
func TestEveryCommandHasHelpAndExample(t *testing.T) {
	var walk func(cmd *cobra.Command)
	walk = func(cmd *cobra.Command) {
		if cmd.Name() == "completion" || cmd.Name() == "help" {
			return
		}
		require.NotEmpty(t, cmd.Short, cmd.CommandPath())
		if cmd.Runnable() {
			require.Contains(t, cmd.Example, "caraway ", cmd.CommandPath())
		}
		for _, sub := range cmd.Commands() {
			walk(sub)
		}
	}
	walk(root.New(&deps.Streams{In: strings.NewReader(""), Out: io.Discard, Err: io.Discard}))
}
