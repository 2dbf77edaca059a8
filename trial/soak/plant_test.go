package soak

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// edit replaces a text in a source file of the programs. The text must be there once.
type edit struct{ file, text, by string }

const (
	nodeFile = "platform/node/node.go"
)

var (
	// closesFirst closes the connections of callers at SIGTERM.
	closesFirst = edit{nodeFile, "n.requests.BeginStop(plan)\n", "n.requests.BeginStop(plan)\n\tn.callerServer.Close()\n\tn.callers.Close()\n"}
	// skipsDrainTime and skipsOpenRequests take out what a stop waits for before it ends connections, and
	// skipsConnections its wait for their ends.
	skipsDrainTime    = edit{nodeFile, "time.Sleep(time.Until(start.Add(plan.Take)))", ""}
	skipsOpenRequests = edit{nodeFile, "err := n.requests.WaitAnswered(ctx)", "var err error"}
	skipsConnections  = edit{nodeFile, "err = n.callers.WaitClosed(ctx)", "err = nil"}
)

// buildWith builds the programs with edits of their sources, and returns the folder of the programs.
func buildWith(t *testing.T, edits ...edit) string {
	t.Helper()
	dir, root := t.TempDir(), "../.."
	sources, overlay := map[string]string{}, map[string]string{}
	for _, e := range edits {
		path, err := filepath.Abs(filepath.Join(root, e.file))
		require.NoError(t, err)
		if _, ok := sources[path]; !ok {
			raw, err := os.ReadFile(path)
			require.NoError(t, err)
			sources[path] = string(raw)
		}
		require.Equal(t, 1, strings.Count(sources[path], e.text), "%s: %q", e.file, e.text)
		sources[path] = strings.Replace(sources[path], e.text, e.by, 1)
	}
	for path, source := range sources {
		overlay[path] = filepath.Join(dir, filepath.Base(path))
		require.NoError(t, os.WriteFile(overlay[path], []byte(source), 0o600))
	}
	raw, err := json.Marshal(map[string]any{"Replace": overlay})
	require.NoError(t, err)
	overlayFile, out := filepath.Join(dir, "overlay.json"), filepath.Join(dir, "bin")
	require.NoError(t, os.WriteFile(overlayFile, raw, 0o600))
	build := exec.Command("go", "build", "-overlay", overlayFile, "-o", out+"/", "./platform/cmd/carawaymux")
	build.Dir = root
	output, err := build.CombinedOutput()
	require.NoError(t, err, string(output))
	return out
}

// runWith plays a run of CI on programs with edits.
func runWith(t *testing.T, name string, edits ...edit) ([]Row, error) {
	t.Helper()
	o := ciRuns[name].options
	o.Bin = buildWith(t, edits...)
	return runSoak(t, o)
}

func TestConnectionsThatAreClosedAtSIGTERMAreSeen(t *testing.T) {
	t.Parallel()
	rows, err := runWith(t, "planned work", closesFirst)
	requireBroken(t, rows, err, "answers-in-a-stop")
}

// The wait for the ends of connections covers the waits for the drain time and for open requests.
func TestAStopThatWaitsForConnectionsOnlyKeepsAllPromises(t *testing.T) {
	t.Parallel()
	rows, err := runWith(t, "planned work", skipsDrainTime, skipsOpenRequests)
	require.NoError(t, err)
	require.Len(t, rows, 1)
	require.Empty(t, rows[0].Broken)
	require.NotContains(t, rows[0].NotChecked, "answers-in-a-stop")
}

func TestAStopThatWaitsForNothingIsSeen(t *testing.T) {
	t.Parallel()
	rows, err := runWith(t, "planned work", skipsDrainTime, skipsOpenRequests, skipsConnections)
	requireBroken(t, rows, err, "answers-in-a-stop")
}
