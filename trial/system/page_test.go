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

// linesOf returns all log lines that name an ID.
func (r *rig) linesOf(id string) string {
	var out strings.Builder
	for _, e := range r.Entries {
		for line := range strings.Lines(r.Log(e)) {
			if strings.Contains(line, id) {
				out.WriteString(line)
			}
		}
	}
	return out.String()
}

// says waits until some log line that names an ID matches: lines are written beside
// the answer that they tell of.
func (r *rig) says(id, pattern string) {
	r.t.Helper()
	require.NoError(r.t, procs.WaitFor(r.ctx, pattern, func(context.Context) error {
		if !regexp.MustCompile(pattern).MatchString(r.linesOf(id)) {
			return fmt.Errorf("no such line of %s", id)
		}
		return nil
	}))
}

// explain lets the command line tell a job's story from the logs of all entries.
func (r *rig) explain(id string) string {
	r.t.Helper()
	var logs strings.Builder
	for _, e := range r.Entries {
		logs.WriteString(r.Log(e))
	}
	cmd := exec.CommandContext(r.ctx, filepath.Join(bin, "caraway"), "log", "explain", id, "-")
	cmd.Stdin = strings.NewReader(logs.String())
	out, err := cmd.CombinedOutput()
	require.NoError(r.t, err, string(out))
	return string(out)
}

// The page's way from an ID to its cause is walked with real failures.
func TestTheOperationsPageLeadsFromAnIDToItsCause(t *testing.T) {
	r := start(t, 2)
	failing := r.accepted("docs", fake.SpecFail, fake.StepSpec{Count: 1, EstimatedMS: 50})
	r.waitState("docs", failing, "failed")
	r.says(failing.ID, `"msg":"run ended".*"result":"failed"`)
	r.says(failing.ID, `"msg":"job ended".*"phase":"failed"`)
	require.Regexp(t, `(?s)(job submitted|job came by the inbox).*run ordered.*run ended.*result=failed.*job ended.*phase=failed`, r.explain(failing.ID))

	r.SetStoreFaults(fake.StoreFaults{Busy: true})
	time.Sleep(time.Second)
	status, unknown := r.Submit(r.ctx, r.Entries[0], "docs", r.id(), "50", fake.StepSpec{Count: 1})
	for status != http.StatusServiceUnavailable {
		require.NoError(t, r.ctx.Err())
		status, unknown = r.Submit(r.ctx, r.Entries[0], "docs", r.id(), "50", fake.StepSpec{Count: 1})
	}
	r.says(unknown.ID, `"msg":"request answered".*"outcome":"refused","why":"the store is away"`)
	r.says(`"pool":"docs"`, `"msg":"store lost"`)
	r.SetStoreFaults(fake.StoreFaults{})

	// Every message that the page names is one that the code writes.
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
	r.sound()
}

// sources is the text of the packages that log.
func sources(t *testing.T) string {
	t.Helper()
	var out strings.Builder
	name := regexp.MustCompile(`^[a-z]+\.go$`)
	for _, dir := range []string{"owner", "mover", "intake", "roster", "feed", "sink", "../platform/front"} {
		files, err := os.ReadDir("../../entry/" + dir)
		require.NoError(t, err)
		for _, f := range files {
			if name.MatchString(f.Name()) {
				raw, err := os.ReadFile("../../entry/" + dir + "/" + f.Name())
				require.NoError(t, err)
				out.Write(raw)
			}
		}
	}
	return out.String()
}
