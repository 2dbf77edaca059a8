package integ

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// exitComment matches the comment with the expected exit status of a command.
var exitComment = regexp.MustCompile(`# exit (\d+)`)

// TestOperatorsPage runs all commands of the operators' page in order and compares their exit
// status with the one that the page states.
func TestOperatorsPage(t *testing.T) {
	raw, err := os.ReadFile("../../docs/OPERATE.md")
	require.NoError(t, err)
	f := start(t, twoZones())
	f.leaseHolder()
	var entries []string
	for _, e := range f.Entries {
		entries = append(entries, "http://"+e.HTTP)
	}
	config := filepath.Join(t.TempDir(), "config.ini")
	require.NoError(t, os.WriteFile(config, []byte("[client]\nauthor = ana\nentries = "+strings.Join(entries, ", ")+"\n"), 0o644))
	commands := 0
	for _, line := range strings.Split(string(raw), "\n") {
		typed, isCommand := strings.CutPrefix(line, "$ ")
		if !isCommand {
			continue
		}
		commands++
		want := 0
		if m := exitComment.FindStringSubmatch(typed); m != nil {
			want, err = strconv.Atoi(m[1])
			require.NoError(t, err)
		}
		cmd := exec.CommandContext(f.ctx, "sh", "-c", typed)
		cmd.Env = append(os.Environ(), "CARAWAY_CONFIG="+config, "PATH="+bin+":"+os.Getenv("PATH"))
		out, err := cmd.CombinedOutput()
		t.Logf("$ %s\n%s", typed, out)
		require.Equal(t, want, cmd.ProcessState.ExitCode(), fmt.Sprintf("%s: %v\n%s", typed, err, out))
	}
	require.Greater(t, commands, 20)
}
