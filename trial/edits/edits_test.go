package edits_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/trial/edits"
)

// program writes a program of its own module and returns its folder.
func program(t *testing.T) string {
	t.Helper()
	root := t.TempDir()
	for name, text := range map[string]string{
		"go.mod": "module example.test/said\n\ngo 1.26\n", "main.go": "package main\n\nfunc main() { println(\"as written\") }\n",
	} {
		require.NoError(t, os.WriteFile(filepath.Join(root, name), []byte(text), 0o600))
	}
	t.Setenv("GOWORK", "off")
	return root
}

func TestProgramsAreBuiltWithEdits(t *testing.T) {
	root := program(t)
	out, err := edits.Build(root, t.TempDir(), []string{"."}, edits.Edit{File: "main.go", Text: "as written", By: "as edited"})
	require.NoError(t, err)
	said, err := exec.Command(filepath.Join(out, "said")).CombinedOutput()
	require.NoError(t, err)
	require.Equal(t, "as edited\n", string(said))
}

func TestAnEditOfATextThatIsNotThereIsAnError(t *testing.T) {
	_, err := edits.Build(program(t), t.TempDir(), []string{"."}, edits.Edit{File: "main.go", Text: "something else", By: ""})
	require.ErrorContains(t, err, "is there 0 times")
}

// runnerFunc runs tests as testing.M does.
type runnerFunc func() int

func (f runnerFunc) Run() int { return f() }

func TestTestsRunWithTheProgramsThatAreBuiltForThem(t *testing.T) {
	root, bin, said := program(t), "", ""
	code := edits.Main(runnerFunc(func() int {
		out, err := exec.Command(filepath.Join(bin, "said")).CombinedOutput()
		require.NoError(t, err)
		said = string(out)
		return 3
	}), &bin, root, ".")
	require.Equal(t, 3, code)
	require.Equal(t, "as written\n", said)
	require.NoDirExists(t, bin)
}

func TestTestsFailIfTheirProgramsCannotBeBuilt(t *testing.T) {
	var bin string
	code := edits.Main(runnerFunc(func() int { return 0 }), &bin, program(t), "./none")
	require.Equal(t, 1, code)
}
