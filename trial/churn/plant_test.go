package churn

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/trial/edits"
	"carawaymux.dev/trial/soak"
)

// ignoresBudgets lets any number of hosts leave service, in plans and in the fold.
var ignoresBudgets = edits.Edit{
	File: "fleet/ledger/state.go", Text: "	return s.Budgets[p.Spec.Budget].Spec.Headroom(s.Tally(poolName))\n", By: "	return len(s.Hosts)\n",
}

// skipsWaves begins no maintenance.
var skipsWaves = edits.Edit{File: "fleet/plan/waves.go", Text: "			cordonNext(r, order, name, w)\n", By: "			_ = order\n"}

// waveRun is a run with a wave beside planned stops.
var waveRun = Options{Series: soak.Series{Seed: 5, Minutes: soak.MinMinutes, Entries: 2, Hosts: 3, Faults: []string{string(soak.Term), string(soak.MaintenanceWave)}}}

// runWith plays the run with a wave on programs with an edit.
func runWith(t *testing.T, e edits.Edit) (Row, error) {
	t.Helper()
	built, err := edits.Build("../..", t.TempDir(), []string{"./entry/cmd/carawayd", "./trial/cmd/trial"}, e)
	require.NoError(t, err)
	o := waveRun
	o.Bin, o.waveTime = built, 3*time.Second
	return runChurn(t, o)
}

// requireBroken requires that a promise was broken in a run.
func requireBroken(t *testing.T, r Row, err error, promise string) {
	t.Helper()
	require.ErrorIs(t, err, ErrBroken)
	breaches := count(r.Broken, func(b Breach) bool { return b.Promise == promise })
	t.Logf("%d breaches of %s in %d cases", breaches, promise, r.Cases[promise])
	require.NotZero(t, breaches)
}

func TestHostsThatAreRebootedBeyondTheBudgetAreSeen(t *testing.T) {
	t.Parallel()
	r, err := runWith(t, ignoresBudgets)
	requireBroken(t, r, err, "budgets-are-kept")
}

func TestWavesThatDoNotBeginAreSeen(t *testing.T) {
	t.Parallel()
	r, err := runWith(t, skipsWaves)
	requireBroken(t, r, err, "waves-end")
}
