package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/trial/edits"
	"carawaymux.dev/trial/fake"
)

// bin is the folder of the programs under test.
var bin string

// TestMain builds the programs once for all tests.
func TestMain(m *testing.M) { os.Exit(edits.Main(m, &bin, "../..", "./platform/cmd/carawaymux")) }

// ciRun is a run of the soak in CI.
type ciRun struct {
	options Options
	// notAbout lists the promises that the run need not put to the test.
	notAbout []string
}

// aboutTenants lists the promises that only runs with tenants put to the test.
var aboutTenants = []string{"keys-refused", "keys-valid", "own-jobs-only", "caps-of-tenants", "room-under-half-cap"}

// ciRuns are short and have fixed seeds. Together they put all promises to the test.
var ciRuns = map[string]ciRun{
	// The seed has 27 faults of 14 kinds that overlap: two rolling restarts, a queue that is removed twice, killed and paused
	// entries, a crashed host, a lossy and slow store, and faults of links. No job of the removed queue fails in it; the kept
	// case of a removed queue has those.
	"all faults": {
		options:  Options{Series: Series{Seed: 151, Seeds: 1, Minutes: 0.4, Entries: 3, Hosts: 3}},
		notAbout: append([]string{"answers-in-a-stop", "stop-in-time", "config-in-time", "waves-whole", "within-memory"}, aboutTenants...),
	},
	"planned work": {
		options:  Options{Series: Series{Seed: 26, Seeds: 1, Minutes: 0.4, Entries: 3, Hosts: 3, Faults: []string{string(Term), string(Reload), string(Queue), string(MaintenanceWave)}}},
		notAbout: append([]string{"refused-is-not-run", "within-memory"}, aboutTenants...),
	},
	// Guards against owners that end when a tenant has a weight and a cap, against keys that are accepted or refused wrongly, and
	// against starts above a cap. Keys are replaced twice, and a cap is lowered and raised.
	"tenants": {
		options:  Options{Series: Series{Seed: 26, Seeds: 1, Minutes: 0.4, Entries: 3, Hosts: 4, Faults: []string{string(Term), string(Reload), string(Queue)}}, Tenants: true},
		notAbout: []string{"refused-is-not-run", "waves-whole", "within-memory"},
	},
}

// hostileRun has no fault but hostile clients of eight kinds, at one entry and then the other. No other run is played beside it.
var hostileRun = ciRun{
	options: Options{Series: Series{Seed: 7009, Seeds: 1, Minutes: 0.3, Entries: 2, Hosts: 2, Faults: []string{string(Hostile)}}},
	notAbout: append([]string{
		"answers-in-a-stop", "stop-in-time", "no-run-twice", "refused-is-not-run", "never-unknown", "waves-whole", "config-in-time", "ready-again",
		"capacity-of-hosts", "max-attempts", "stays-cancelled", "lasting-runs",
	}, aboutTenants...),
}

// mixedRun has hostile clients of all kinds at all listeners, nine times, and three stops. No other run is played beside it.
var mixedRun = ciRun{
	options: Options{
		Series: Series{Seed: 9008, Seeds: 1, Minutes: 0.3, Entries: 3, Hosts: 3, Faults: []string{string(Hostile), string(Term)}},
		Mixed:  true,
	},
	notAbout: append([]string{"refused-is-not-run", "stop-in-time", "max-attempts", "waves-whole", "config-in-time"}, aboutTenants...),
}

// plantSeed is the seed of runs with faults of the stand-ins.
const plantSeed = 26

// runSoak runs the soak command and returns its results.
func runSoak(t *testing.T, o Options) ([]Row, error) {
	t.Helper()
	var out, progress bytes.Buffer
	if o.Bin == "" {
		o.Bin = bin
	}
	o.JSON, o.Out, o.Progress = true, &out, &progress
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
	for name, run := range ciRuns {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := run.options
			o.Keep = t.TempDir()
			rows, err := runSoak(t, o)
			require.NoError(t, err)
			require.Len(t, rows, 1)
			require.Empty(t, rows[0].Broken)
			require.Subset(t, run.notAbout, rows[0].NotChecked, "promises that were not checked")
			stops, changes := rows[0].AtStops, rows[0].AtChanges
			require.NotZero(t, stops.Moments)
			if !o.Tenants {
				requireOpen(t, stops, changes)
			}
			for _, name := range []string{"case.json", "history.json", "result.json", "entry-0.log"} {
				require.FileExists(t, filepath.Join(o.Keep, fmt.Sprintf("seed-%d", o.Seed), name))
			}
		})
	}
}

// requireOpen requires that requests were open at stops of entries and at changes of owners.
func requireOpen(t *testing.T, stops, changes Open) {
	t.Helper()
	require.Zero(t, stops.NoLong)
	require.Zero(t, stops.NoWaiting)
	require.Zero(t, stops.NoUpload)
	require.NotZero(t, changes.Moments)
	require.NotZero(t, changes.Long)
	require.Zero(t, changes.NoWaiting)
	require.Zero(t, changes.NoUpload)
}

// Guards against work that is done twice: owners are killed just before their hosts end more tasks than they list in one
// answer.
func TestPromisesAreKeptForTasksThatEndAllAtOnce(t *testing.T) {
	t.Parallel()
	rows, err := runSoak(t, Options{
		Series: Series{Seed: 7013, Seeds: 1, Minutes: 0.4, Entries: 2, Hosts: 2, Faults: []string{string(Kill)}}, Small: 600,
	})
	require.NoError(t, err)
	require.Len(t, rows, 1)
	require.Empty(t, rows[0].Broken)
	require.Greater(t, rows[0].MostUnacknowledged, fake.EndsPerAnswer)
}

// Guards against entries that hostile clients bring to their end, or that lose what was accepted under them.
func TestHostileClientsBreakNoPromise(t *testing.T) {
	rows, err := runSoak(t, hostileRun.options)
	require.NoError(t, err)
	require.Len(t, rows, 1)
	require.Empty(t, rows[0].Broken)
	require.Subset(t, hostileRun.notAbout, rows[0].NotChecked, "promises that were not checked")
}

// Guards against the same of clients of all kinds at all listeners, while entries stop and come back.
func TestHostileClientsOfAllKindsBreakNoPromise(t *testing.T) {
	rows, err := runSoak(t, mixedRun.options)
	require.NoError(t, err)
	require.Len(t, rows, 1)
	require.Empty(t, rows[0].Broken)
	require.Subset(t, mixedRun.notAbout, rows[0].NotChecked, "promises that were not checked")
}

func TestCIRunsAreAboutAllPromises(t *testing.T) {
	for _, p := range Promises() {
		require.True(t, slices.ContainsFunc(append(slices.Collect(maps.Values(ciRuns)), hostileRun), func(r ciRun) bool { return !slices.Contains(r.notAbout, p.Name) }), p.Name)
	}
}

// Cases that once broke a promise keep all of them now.
func TestKeptCasesBreakNoPromise(t *testing.T) {
	t.Parallel()
	paths, err := filepath.Glob("cases/*.json")
	require.NoError(t, err)
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			t.Parallel()
			rows, err := runSoak(t, Options{Series: Series{Seeds: 1, Minutes: MinMinutes, Entries: 1, Hosts: 1}, Case: path})
			require.NoError(t, err)
			require.Len(t, rows, 1)
			require.Empty(t, rows[0].Broken)
			require.NotZero(t, rows[0].Runs)
		})
	}
}

// requireBroken requires that a promise was broken in a run.
func requireBroken(t *testing.T, rows []Row, err error, promise string) {
	t.Helper()
	require.ErrorIs(t, err, ErrBroken)
	require.Len(t, rows, 1)
	breaches := count(rows[0].Broken, func(b Breach) bool { return b.Promise == promise })
	t.Logf("%d breaches of %s in %d cases", breaches, promise, rows[0].Cases[promise])
	require.NotZero(t, breaches, "%s was kept; broken: %v", promise, rows[0].Broken)
}

func TestAnswersThatAreDroppedInAPlannedStopAreSeen(t *testing.T) {
	t.Parallel()
	rows, err := runSoak(t, Options{Series: Series{Seed: plantSeed, Seeds: 1, Minutes: MinMinutes, Entries: 3, Hosts: 3, Faults: []string{string(Term)}}, planted: cutAnswers})
	requireBroken(t, rows, err, "answers-in-a-stop")
}

func TestTasksThatHostsRunAgainAreSeen(t *testing.T) {
	t.Parallel()
	rows, err := runSoak(t, Options{Series: Series{Seed: plantSeed, Seeds: 1, Minutes: MinMinutes, Entries: 2, Hosts: 2, Faults: []string{string(Reload)}}, planted: rerunDone})
	requireBroken(t, rows, err, "no-run-twice")
}

func TestInvalidOptionsAreRefused(t *testing.T) {
	for want, o := range map[string]Options{
		"unknown kind of fault": {Series: Series{Seeds: 1, Minutes: 1, Entries: 1, Hosts: 1, Faults: []string{"none"}}},
		"have to be positive":   {Series: Series{Seeds: 0, Minutes: 1, Entries: 1, Hosts: 1}},
		"at least a quarter":    {Series: Series{Seeds: 1, Minutes: 0.1, Entries: 1, Hosts: 1}},
	} {
		_, err := runSoak(t, o)
		require.ErrorContains(t, err, want)
	}
}
