package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// bin is the folder of the programs under test.
var bin string

// TestMain builds the programs once for all tests.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "caraway-soak-")
	if err != nil {
		panic(err)
	}
	bin = filepath.Join(dir, "bin")
	build := exec.Command("go", "build", "-o", bin+"/", "./platform/cmd/carawaymux")
	build.Dir = "../.."
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v: %s", err, out))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

const (
	// ciSeed has a rolling restart beside unplanned faults and one in a calm time.
	ciSeed = 26
	// ciMinutes keeps each run below a minute.
	ciMinutes = 0.4
)

// runSoak runs the soak command and returns its results.
func runSoak(t *testing.T, o Options) ([]Row, error) {
	t.Helper()
	var out, progress bytes.Buffer
	o.Bin, o.JSON, o.Out, o.Progress = bin, true, &out, &progress
	err := Run(context.Background(), &o)
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(progress.String())
		}
	})
	var rows []Row
	for decoder := json.NewDecoder(&out); decoder.More(); {
		var r Row
		require.NoError(t, decoder.Decode(&r))
		rows = append(rows, r)
	}
	return rows, err
}

func TestPromisesAreKeptUnderFaults(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	rows, err := runSoak(t, Options{Seed: ciSeed, Seeds: 1, Minutes: ciMinutes, Entries: 3, Hosts: 3, Keep: dir})
	require.NoError(t, err)
	require.Len(t, rows, 1)
	require.Empty(t, rows[0].Broken)
	require.NotZero(t, rows[0].Runs)
	require.NotZero(t, rows[0].Stops)
	for _, name := range []string{"case.json", "history.json", "result.json", "entry-0.log"} {
		require.FileExists(t, filepath.Join(dir, fmt.Sprintf("seed-%d", ciSeed), name))
	}
}

// requireBroken requires that a promise was broken in a run.
func requireBroken(t *testing.T, rows []Row, err error, promise string) {
	t.Helper()
	require.ErrorIs(t, err, ErrBroken)
	require.Len(t, rows, 1)
	for _, b := range rows[0].Broken {
		if b.Promise == promise {
			return
		}
	}
	require.Fail(t, "the promise was kept", "%s; broken: %v", promise, rows[0].Broken)
}

func TestAnswersThatAreDroppedInAPlannedStopAreSeen(t *testing.T) {
	t.Parallel()
	rows, err := runSoak(t, Options{Seed: ciSeed, Seeds: 1, Minutes: minMinutes, Entries: 3, Hosts: 3, Faults: []string{string(Term)}, planted: cutAnswers})
	requireBroken(t, rows, err, "answers-in-a-stop")
}

func TestTasksThatHostsRunAgainAreSeen(t *testing.T) {
	t.Parallel()
	rows, err := runSoak(t, Options{Seed: ciSeed, Seeds: 1, Minutes: minMinutes, Entries: 2, Hosts: 2, Faults: []string{string(Reload)}, planted: rerunDone})
	requireBroken(t, rows, err, "no-run-twice")
}

func TestInvalidOptionsAreRefused(t *testing.T) {
	for want, o := range map[string]Options{
		"unknown kind of fault": {Seeds: 1, Minutes: 1, Entries: 1, Hosts: 1, Faults: []string{"none"}},
		"have to be positive":   {Seeds: 0, Minutes: 1, Entries: 1, Hosts: 1},
		"at least a quarter":    {Seeds: 1, Minutes: 0.1, Entries: 1, Hosts: 1},
	} {
		_, err := runSoak(t, o)
		require.ErrorContains(t, err, want)
	}
}
