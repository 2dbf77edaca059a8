package churn

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/trial/edits"
	"carawaymux.dev/trial/soak"
)

// bin is the folder of the programs under test.
var bin string

// TestMain builds the programs once for all tests.
func TestMain(m *testing.M) {
	os.Exit(edits.Main(m, &bin, "../..", "./entry/cmd/carawayd", "./trial/cmd/trial"))
}

// runChurn runs the churn command with one seed and returns its result.
func runChurn(t *testing.T, o Options) (Row, error) {
	t.Helper()
	var out, progress bytes.Buffer
	if o.Bin == "" {
		o.Bin = bin
	}
	o.Seeds, o.Out, o.Progress = 1, &out, &progress
	err := Run(t.Context(), &o)
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(progress.String())
		}
	})
	var r Row
	require.NoError(t, json.Unmarshal(out.Bytes(), &r))
	return r, err
}

func TestPromisesAreKeptUnderFaults(t *testing.T) {
	t.Parallel()
	for name, o := range map[string]Options{
		"planned stops": waveRun,
		"all faults":    {Series: soak.Series{Seed: 3, Minutes: 0.4, Entries: 2, Hosts: 3}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, err := runChurn(t, o)
			require.NoError(t, err)
			require.Empty(t, r.Broken)
			if len(o.Faults) > 0 {
				require.Empty(t, r.NotChecked)
				require.NotZero(t, r.LeastLong, "requests that had been open for long at each stop")
			}
		})
	}
}

func TestAStopThatIsCutShortIsSeen(t *testing.T) {
	t.Parallel()
	r, err := runChurn(t, Options{Series: soak.Series{Seed: 1, Minutes: soak.MinMinutes, Entries: 2, Hosts: 3, Faults: []string{string(soak.Term)}}, cuts: true})
	require.ErrorIs(t, err, ErrBroken)
	broken := map[string]int{}
	for _, b := range r.Broken {
		broken[b.Promise]++
	}
	require.Equal(t, r.Stops, broken["stop-in-time"])
	require.NotZero(t, broken["answers-in-a-stop"])
}

// closesFirst closes the connections of callers at SIGTERM.
var closesFirst = edits.Edit{File: "entry/daemon/daemon.go", Text: "	d.front.MarkStopping()\n", By: "	d.front.MarkStopping()\n	_ = d.callerServer.Close()\n"}

func TestConnectionsThatAreClosedAtSIGTERMAreSeen(t *testing.T) {
	t.Parallel()
	built, err := edits.Build("../..", t.TempDir(), []string{"./entry/cmd/carawayd", "./trial/cmd/trial"}, closesFirst)
	require.NoError(t, err)
	r, err := runChurn(t, Options{Series: soak.Series{Bin: built, Seed: 1, Minutes: soak.MinMinutes, Entries: 2, Hosts: 3, Faults: []string{string(soak.Term)}}})
	requireBroken(t, r, err, "answers-in-a-stop")
}

func TestInvalidOptionsAreRefused(t *testing.T) {
	for want, o := range map[string]Options{
		"have to be positive":   {Series: soak.Series{Minutes: soak.MinMinutes, Entries: 0, Hosts: 1, Seeds: 1}},
		"unknown kind of fault": {Series: soak.Series{Minutes: soak.MinMinutes, Entries: 1, Hosts: 1, Seeds: 1, Faults: []string{"queue"}}},
	} {
		require.ErrorContains(t, Run(t.Context(), &o), want)
	}
}
