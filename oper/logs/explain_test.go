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
	job = "5c0e7a21d94b36f8"
	// callerLog is the log of the entry that the caller sent the job to, ownerLog the log of the
	// owner of the job's pool.
	callerLog = `{"time":"2026-12-04T10:00:01.000Z","level":"INFO","msg":"request answered","entry":"e-1","verb":"submit","job":"5c0e7a21d94b36f8","pool":"docs","outcome":"accepted","why":""}
{"time":"2026-12-04T10:00:02.000Z","level":"INFO","msg":"machine to be moved","entry":"e-1","machine":"m-1","from":"spare","to":"docs","waiting":9000}
{"time":"2026-12-04T10:00:02.100Z","level":"INFO","msg":"machine to be moved","entry":"e-1","machine":"m-2","from":"spare","to":"wages"}
{"time":"2026-12-04T09:00:00.000Z","level":"INFO","msg":"pool taken over","entry":"e-1","pool":"docs","epoch":1}
`
	ownerLog = `2.1 e-2 {"time":"2026-12-04T10:00:00.990Z","level":"INFO","msg":"job submitted","entry":"e-2","pool":"docs","epoch":2,"job":"5c0e7a21d94b36f8","units":2}
{"time":"2026-12-04T10:00:03.000Z","level":"INFO","msg":"run ordered","entry":"e-2","pool":"docs","epoch":2,"unit":"5c0e7a21d94b36f8.0.0.1","run":1,"host":"i-1","why":"scheduled"}
{"time":"2026-12-04T10:00:03.500Z","level":"WARN","msg":"host lost","entry":"e-2","pool":"docs","epoch":2,"host":"i-1","err":"EOF"}
{"time":"2026-12-04T10:00:03.600Z","level":"WARN","msg":"host lost","entry":"e-2","pool":"docs","epoch":2,"host":"i-2","err":"EOF"}
{"time":"2026-12-04T10:00:03.700Z","level":"INFO","msg":"inherited host unread","entry":"e-2","pool":"docs","epoch":2,"host":"i-7","state":"incomplete"}
{"time":"2026-12-04T10:00:04.000Z","level":"INFO","msg":"run ordered","entry":"e-2","pool":"docs","epoch":2,"unit":"00000000000000aa.0.0.1","run":1,"host":"i-3"}
{"time":"2026-12-04T10:00:09.000Z","level":"INFO","msg":"job ended","entry":"e-2","pool":"docs","epoch":2,"job":"5c0e7a21d94b36f8","phase":"completed","late":true}
not a line of an entry
{"time":"broken"}
`
)

// runExplain runs the explain command on callerLog and either the given arguments or ownerLog. It
// returns what the command prints.
func runExplain(t *testing.T, id string, args ...string) (out, errOut string, err error) {
	t.Helper()
	dir := t.TempDir()
	for name, text := range map[string]string{"e-1.log": callerLog, "e-2.log": ownerLog} {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	var stdout, stderr bytes.Buffer
	cmd := logs.New(&deps.Factory{Streams: &deps.Streams{In: strings.NewReader(ownerLog), Out: &stdout, Err: &stderr}})
	cmd.SilenceErrors, cmd.SilenceUsage = true, true
	all := []string{"explain", id, filepath.Join(dir, "e-1.log")}
	if len(args) == 0 {
		args = []string{filepath.Join(dir, "e-2.log")}
	}
	cmd.SetArgs(append(all, args...))
	err = cmd.Execute()
	return stdout.String(), stderr.String(), err
}

func TestExplainSortsJobEventsByTimeWithContext(t *testing.T) {
	out, errOut, err := runExplain(t, job)
	require.NoError(t, err)
	var events []string
	for line := range strings.Lines(out) {
		cells := strings.Split(strings.TrimSuffix(line, "\n"), "\t")
		require.Len(t, cells, 4)
		events = append(events, cells[0]+" "+cells[1]+" "+cells[2])
	}
	require.Equal(t, []string{
		"10:00:00.990 e-2 job submitted", "10:00:01.000 e-1 request answered", "10:00:02.000 e-1 machine to be moved",
		"10:00:03.000 e-2 run ordered", "10:00:03.500 e-2 host lost", "10:00:03.700 e-2 inherited host unread", "10:00:09.000 e-2 job ended",
	}, events)
	require.Contains(t, out, "late=true")
	require.Contains(t, out, "host=i-1 pool=docs run=1")
	require.Equal(t, "skipped 2 lines that are not JSON log lines with a valid time\n", errOut)
}

func TestExplainReadsStandardInputAndPrintsJSON(t *testing.T) {
	out, _, err := runExplain(t, job, "-", "--json", "event,entry")
	require.NoError(t, err)
	require.Contains(t, out, `"event": "job ended"`)
	require.NotContains(t, out, "detail")
}

func TestExplainExitCodes(t *testing.T) {
	_, _, err := runExplain(t, "not-an-id")
	require.Equal(t, exits.Usage, exits.Code(err))
	_, _, err = runExplain(t, "00000000000000ff")
	require.Equal(t, exits.Failed, exits.Code(err))
	require.ErrorContains(t, err, "the logs contain no line about job 00000000000000ff")
	_, _, err = runExplain(t, job, "no-such-file")
	require.Equal(t, exits.Failed, exits.Code(err))
}
