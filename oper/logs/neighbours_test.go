package logs_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/oper/deps"
	"carawaymux.dev/oper/exits"
	"carawaymux.dev/oper/logs"
)

const (
	// firstPairLog is the log of the owner of a pool, and secondPairLog that of its successor.
	firstPairLog = `{"time":"2026-12-04T10:00:00Z","level":"INFO","msg":"pair suspected","entry":"e-1","pool":"docs","epoch":1,"image":"web","beside":"crunch","slowdown":1.4,"deviations":5.1,"runs":9,"hosts":3,"jobs":4,"seen-ms":0,"since-ms":0}
{"time":"2026-12-04T10:00:10Z","level":"INFO","msg":"pair suspected","entry":"e-1","pool":"wages","epoch":1,"image":"pay","beside":"crunch","slowdown":2.5,"deviations":9,"runs":30,"hosts":5,"jobs":6,"seen-ms":2000,"since-ms":60000}
{"time":"2026-12-04T10:00:20Z","level":"INFO","msg":"hosts leaving","entry":"e-1","pool":"docs","hosts":{"schedulable":1},"runs":"none"}
`
	secondPairLog = `2.1 e-2 {"time":"2026-12-04T10:01:00Z","level":"INFO","msg":"pair suspected","entry":"e-2","pool":"docs","epoch":2,"image":"web","beside":"crunch","slowdown":1.5,"deviations":4.2,"runs":11,"hosts":3,"jobs":4,"seen-ms":30000,"since-ms":60000}
{"time":"2026-12-04T10:01:05Z","level":"INFO","msg":"pair no longer suspected","entry":"e-2","pool":"docs","epoch":2,"image":"mail","beside":"web","slowdown":1.03,"deviations":1.2,"runs":25,"hosts":1,"jobs":2,"seen-ms":0,"since-ms":0}
{"time":"2026-12-04T10:01:10Z","level":"INFO","msg":"job ended","entry":"e-2","pool":"docs"}
not a line of an entry
`
)

func runNeighbours(t *testing.T, args ...string) (out, errOut string, err error) {
	t.Helper()
	dir := t.TempDir()
	// The newer log comes first: times decide, not the order of files.
	for name, text := range map[string]string{"a.log": secondPairLog, "b.log": firstPairLog} {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	var stdout, stderr bytes.Buffer
	cmd := logs.New(&deps.Factory{Streams: &deps.Streams{In: strings.NewReader(""), Out: &stdout, Err: &stderr}})
	cmd.SilenceErrors, cmd.SilenceUsage = true, true
	cmd.SetArgs(append([]string{"neighbours", filepath.Join(dir, "a.log"), filepath.Join(dir, "b.log")}, args...))
	err = cmd.Execute()
	return stdout.String(), stderr.String(), err
}

// Guards against a view that shows stale evidence, hides its age, or fails on other lines of the log.
func TestNeighboursShowsTheNewestEvidenceAndItsAge(t *testing.T) {
	out, errOut, err := runNeighbours(t)
	require.NoError(t, err)
	require.Equal(t, "wages\tpay\tcrunch\tsuspected\t2.5\t9\t30\t5\t6\t1m2s\t2m0s\t1m0s\n"+
		"docs\tweb\tcrunch\tsuspected\t1.5\t4.2\t11\t3\t4\t40s\t1m10s\t10s\n", out)
	require.Equal(t, "skipped 1 lines that are not JSON log lines with a valid time\n", errOut)
}

func TestNeighboursSelectsPairs(t *testing.T) {
	out, _, err := runNeighbours(t, "--pool", "docs", "--image", "web", "--all", "--json", "image,beside,state")
	require.NoError(t, err)
	require.JSONEq(t, `[{"image":"web","beside":"crunch","state":"suspected"},{"image":"mail","beside":"web","state":"dropped"}]`, out)
	out, _, err = runNeighbours(t, "--image", "none", "--json", "image")
	require.NoError(t, err)
	require.JSONEq(t, `[]`, out)
	_, _, err = runNeighbours(t, "no-such-file")
	require.Equal(t, exits.Failed, exits.Code(err))
}
