package system

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/trial/fake"
	"carawaymux.dev/trial/procs"
)

// logLines returns all log lines of all entries that contain an ID.
func (f *fixture) logLines(id string) string {
	var out strings.Builder
	for _, e := range f.Entries {
		for line := range strings.Lines(f.Log(e)) {
			if strings.Contains(line, id) {
				out.WriteString(line)
			}
		}
	}
	return out.String()
}

// waitForLogLine waits until a log line that contains an ID matches a pattern. It has to wait because
// entries write a line concurrently with the response that it describes.
func (f *fixture) waitForLogLine(id, pattern string) {
	f.t.Helper()
	require.NoError(f.t, procs.WaitFor(f.ctx, pattern, func(context.Context) error {
		if !regexp.MustCompile(pattern).MatchString(f.logLines(id)) {
			return fmt.Errorf("no log line that contains %s matches yet", id)
		}
		return nil
	}))
}

// explain returns what "caraway log explain" reports about a job from the logs of all entries.
func (f *fixture) explain(id string) string {
	f.t.Helper()
	var logs strings.Builder
	for _, e := range f.Entries {
		logs.WriteString(f.Log(e))
	}
	cmd := exec.CommandContext(f.ctx, filepath.Join(bin, "caraway"), "log", "explain", id, "-")
	cmd.Stdin = strings.NewReader(logs.String())
	out, err := cmd.CombinedOutput()
	require.NoError(f.t, err, string(out))
	return string(out)
}

// The operations page describes how to get from an ID to the cause of a failure. The test produces
// such failures and checks that the log lines of each step exist.
func TestTheOperationsPageLeadsFromAnIDToItsCause(t *testing.T) {
	f := start(t, 2)
	failing := f.submitAccepted("docs", fake.SpecFail, fake.StepSpec{Count: 1, EstimatedMS: 50})
	f.waitForState("docs", failing, "failed")
	f.waitForLogLine(failing.ID, `"msg":"run ended".*"result":"failed"`)
	f.waitForLogLine(failing.ID, `"msg":"job ended".*"phase":"failed"`)
	require.Regexp(t, `(?s)(job submitted|job came by the inbox).*run ordered.*run ended.*result=failed.*job ended.*phase=failed`, f.explain(failing.ID))

	f.SetStoreFaults(fake.StoreFaults{Busy: true})
	time.Sleep(time.Second)
	status, unknown := f.Submit(f.ctx, f.Entries[0], "docs", f.nextID(), "50", fake.StepSpec{Count: 1})
	for status != http.StatusServiceUnavailable {
		require.NoError(t, f.ctx.Err())
		status, unknown = f.Submit(f.ctx, f.Entries[0], "docs", f.nextID(), "50", fake.StepSpec{Count: 1})
	}
	f.waitForLogLine(unknown.ID, `"msg":"request answered".*"outcome":"refused","why":"the store is away"`)
	f.waitForLogLine(`"pool":"docs"`, `"msg":"store lost"`)
	f.SetStoreFaults(fake.StoreFaults{})

	// The page must list these messages, and the code must write them.
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	written := sources(t)
	for _, m := range []string{
		"request answered", "job refused", "store lost", "store regained", "pool taken over", "pool given up",
		"job submitted", "job left in the inbox", "job came by the inbox", "job ended", "run ended", "run ordered",
		"machine to be moved", "machine to be emptied", "host lost", "host has ended", "order failed", "log lines dropped",
		"move dropped", "advice taken", "entries: store lost", "stop ordered",
	} {
		require.Contains(t, string(page), "`"+m+"`")
		require.Contains(t, written, `"`+m+`"`)
	}
	f.requireNoViolations()
}

// sources returns the source text of the packages whose log messages the page lists.
func sources(t *testing.T) string {
	t.Helper()
	var out strings.Builder
	name := regexp.MustCompile(`^[a-z]+\.go$`)
	for _, dir := range []string{"owner", "mover", "intake", "roster", "feed", "sink", "../platform/front"} {
		files, err := os.ReadDir("../../entry/" + dir)
		require.NoError(t, err)
		for _, file := range files {
			if name.MatchString(file.Name()) {
				raw, err := os.ReadFile("../../entry/" + dir + "/" + file.Name())
				require.NoError(t, err)
				out.Write(raw)
			}
		}
	}
	return out.String()
}
