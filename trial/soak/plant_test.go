package soak

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/trial/edits"
	"carawaymux.dev/trial/fake"
)

// edit replaces a text in a source file of the programs.
func edit(file, text, by string) edits.Edit { return edits.Edit{File: file, Text: text, By: by} }

const (
	nodeFile     = "platform/node/node.go"
	claimFile    = "entry/claim/claim.go"
	dutiesFile   = "entry/duties/duties.go"
	coreFile     = "entry/owner/core.go"
	frontFile    = "platform/front/front.go"
	storedFile   = "entry/mover/stored.go"
	progressFile = "fleet/shard/progress.go"
	hostsFile    = "entry/owner/hosts.go"
	intakeFile   = "entry/intake/intake.go"
	planFile     = "fleet/shard/plan.go"
	readerFile   = "entry/feed/reader.go"
	upkeepFile   = "fleet/upkeep/upkeep.go"
	storeFile    = "platform/store/store.go"
	accessFile   = "fleet/access/access.go"
	budgetFile   = "fleet/shard/budget.go"
	tenantFile   = "entry/owner/tenant.go"
)

var (
	// closesFirst closes the connections of callers at SIGTERM.
	closesFirst = edit(nodeFile, "n.requests.BeginStop(plan)\n", "n.requests.BeginStop(plan)\n\tn.callerServer.Close()\n\tn.callers.Close()\n")
	// skipsDrainTime and skipsOpenRequests take out what a stop waits for before it ends connections, and
	// skipsConnections its wait for their ends.
	skipsDrainTime    = edit(nodeFile, "time.Sleep(time.Until(start.Add(plan.Take)))", "")
	skipsOpenRequests = edit(nodeFile, "err := n.requests.WaitAnswered(ctx)", "var err error")
	skipsConnections  = edit(nodeFile, "err = n.callers.WaitClosed(ctx)", "err = nil")
	// skipsHandOver takes out the wait until the pools have other owners.
	skipsHandOver = edit(nodeFile, "\tleaving.Wait()\n", "")
	// skipsFence lets a new owner read what earlier owners have stored while they can still write.
	skipsFence = edit(claimFile, "		return c, c.fenceEarlier(ctx)\n", "		c.ConfirmedAt = time.Now()\n		return c, nil\n")
	// ignoresHostFence, ignoresOrderFence and ignoresView take out the other ways in which an owner notices a newer one.
	ignoresHostFence  = edit(hostsFile, "\t\tc.resign(\"host \"+id, err)\n", "")
	ignoresOrderFence = edit(hostsFile, "\t\tc.resign(\"host \"+o.Host, err)\n", "")
	ignoresView       = edit(dutiesFile, "ok && o.Epoch > h.epoch {", "ok && o.Epoch > h.epoch && false {")
	// losesLasting does not start long-running tasks again.
	losesLasting = edit(planFile, "\tvar bestCost int64\n\tneed := step.Reservation()\n", "\tvar bestCost int64\n\tneed := step.Reservation()\n\tif step.LongRunning && task.Run > 0 {\n\t\treturn nil\n\t}\n")
	// forgetsSent takes requests whose answers are lost on the way between entries for ones that were not sent.
	forgetsSent = edit(intakeFile, "\t\treturn owner.Answer{}, maybeDelivered\n", "\t\treturn owner.Answer{}, notDelivered\n")
	// skipsCap and skipsSlots start maintenance whatever the cap of its wave is.
	skipsCap   = edit(upkeepFile, "return others < s.maxDown", "return others >= 0")
	skipsSlots = edit(upkeepFile, "slots := w.MaxDown - down - len(w.Emptying)", "slots := len(waiting) - down")
	// takesFullForDone takes the answer of a full store for that of an append that was carried out.
	takesFullForDone = edit(storeFile, "case http.StatusOK:\n		return out.End, nil", "case http.StatusOK, http.StatusInsufficientStorage:\n		return out.End, nil")
	// skipsTrimmed reads on after records that the store has deleted as if they had not been there.
	skipsTrimmed = edit(readerFile, "if errors.As(err, &gone) {\n		return r.load(ctx)", "if errors.As(err, &gone) {\n		r.next = gone.First\n		return nil, nil")
	// skipsKeys serves requests with unknown keys, and skipsTenant those about jobs of other tenants.
	skipsKeys   = edit(accessFile, "\ttenant, known := t.tenants[port.DigestOf(key)]\n", "\ttenant, known := t.tenants[port.DigestOf(key)]\n\tif !known {\n\t\treturn Decision{}\n\t}\n")
	skipsTenant = edit(tenantFile, "j.Spec.Tenant != tenant\n", "j.Spec.Tenant != tenant && false\n")
	// skipsTenantCaps starts work whatever the budget of its tenant is, and skipsBudgets finds no room in any.
	skipsTenantCaps = edit(budgetFile, "return need == 0 || limit == caps.Unlimited || (", "return need >= 0 || (")
	skipsBudgets    = edit(budgetFile, "return need == 0 || limit == caps.Unlimited || (", "return need == 0 || (false && ")
)

// off sets a time of day off by up to two hours, by another time with each read.
const off = ".Add(time.Duration(time.Now().UnixNano()/1000%5-2) * time.Hour)"

// clocksOff sets the time of day off where programs read it, and makes it go back with each start of a process.
var clocksOff = []edits.Edit{
	edit(nodeFile, "incarnation := time.Now().UnixNano()", "incarnation := int64(1<<62) - time.Now().UnixNano()"),
	edit(frontFile, "spec.Tenant, spec.AcceptedMS = q.Name, access.Tenant, time.Now().UnixMilli()", "spec.Tenant, spec.AcceptedMS = q.Name, access.Tenant, time.Now()"+off+".UnixMilli()"),
	edit(storedFile, "age := time.Duration(now.UnixMilli()-at)", "age := time.Duration(now"+off+".UnixMilli()-at)"),
	edit(storedFile, "strconv.FormatInt(now.UnixMilli(), 10)", "strconv.FormatInt(now"+off+".UnixMilli(), 10)"),
	edit(coreFile, "limits, now, now.UnixMilli())", "limits, now, now"+off+".UnixMilli())"),
	edit(progressFile, "clamp.Sub(now.UnixMilli(), spec.AcceptedMS)", "clamp.Sub(now"+off+".UnixMilli(), spec.AcceptedMS)"),
}

// buildWith builds the programs with edits of their sources, and returns the folder of the programs.
func buildWith(t *testing.T, list ...edits.Edit) string {
	t.Helper()
	out, err := edits.Build("../..", t.TempDir(), []string{"./platform/cmd/carawaymux"}, list...)
	require.NoError(t, err)
	return out
}

// runWith plays a run of CI on programs with edits.
func runWith(t *testing.T, name string, list ...edits.Edit) ([]Row, error) {
	t.Helper()
	o := ciRuns[name].options
	o.Bin = buildWith(t, list...)
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
	rows, err := runWith(t, "planned work", skipsDrainTime, skipsOpenRequests, skipsConnections, skipsHandOver)
	requireBroken(t, rows, err, "answers-in-a-stop")
}

// playOn plays a schedule on programs with edits.
func playOn(t *testing.T, c Case, planted plant, list ...edits.Edit) ([]Row, error) {
	t.Helper()
	path := t.TempDir()
	require.NoError(t, writeJSON(path, "case.json", c))
	return runSoak(t, Options{Series: Series{Bin: buildWith(t, list...), Seeds: 1, Minutes: MinMinutes, Entries: 1, Hosts: 1}, Case: filepath.Join(path, "case.json"), planted: planted})
}

// pausedOwners pauses each entry for so long that others take over its pools while it holds submissions.
var pausedOwners = Case{Seed: 31, Minutes: 0.45, Entries: 3, Hosts: 3, Schedule: []Fault{
	{Pause, "entry-0", 3 * time.Second, 4500 * time.Millisecond},
	{Pause, "entry-1", 11 * time.Second, 4500 * time.Millisecond},
	{Pause, "entry-2", 19 * time.Second, 4500 * time.Millisecond},
}}

// The fence of the store stops an owner that is resumed after another one has taken over, although nothing else does.
func TestTheFenceOfTheStoreKeepsAllPromisesByItself(t *testing.T) {
	t.Parallel()
	rows, err := playOn(t, pausedOwners, "", skipsFence, ignoresHostFence, ignoresOrderFence, ignoresView)
	require.NoError(t, err)
	require.Len(t, rows, 1)
	require.Empty(t, rows[0].Broken)
	require.NotContains(t, rows[0].NotChecked, "never-unknown")
}

func TestAnOwnerThatNothingFencesOffIsSeen(t *testing.T) {
	t.Parallel()
	rows, err := playOn(t, pausedOwners, noFences, skipsFence, ignoresHostFence, ignoresOrderFence, ignoresView)
	requireBroken(t, rows, err, "never-unknown")
}

func TestAnAppendToAFullStoreThatCountsAsDoneIsSeen(t *testing.T) {
	t.Parallel()
	full := Case{Seed: 41, Minutes: MinMinutes, Entries: 3, Hosts: 3, Schedule: []Fault{
		{StoreFull, "", 3 * time.Second, 3 * time.Second}, {Term, "entry-0", 5 * time.Second, 0}, {Term, "entry-1", 7 * time.Second, 0},
		{StoreFull, "", 9 * time.Second, 3 * time.Second}, {Term, "entry-2", 11 * time.Second, 0},
	}}
	rows, err := playOn(t, full, "", takesFullForDone)
	requireBroken(t, rows, err, "never-unknown")
}

func TestAnEntryThatReadsOnAfterTrimmedRecordsIsSeen(t *testing.T) {
	t.Parallel()
	trimmed := Case{Seed: 41, Minutes: MinMinutes, Entries: 2, Hosts: 3, Schedule: []Fault{
		{Pause, "entry-0", 2 * time.Second, 3 * time.Second}, {Queue, extraQueue, 3 * time.Second, 11 * time.Second},
		{StoreTrim, "", 3500 * time.Millisecond, 0},
	}}
	rows, err := playOn(t, trimmed, "", skipsTrimmed)
	requireBroken(t, rows, err, "config-in-time")
}

func TestLongRunningTasksThatAreNotStartedAgainAreSeen(t *testing.T) {
	t.Parallel()
	crashes := Case{Seed: 51, Minutes: MinMinutes, Entries: 2, Hosts: 2, Schedule: []Fault{
		{HostCrash, fake.MachineID(guardedPool, 0), 4 * time.Second, time.Second}, {HostCrash, fake.MachineID(guardedPool, 1), 5 * time.Second, time.Second},
	}}
	rows, err := playOn(t, crashes, "", losesLasting)
	requireBroken(t, rows, err, "lasting-runs")
}

func TestASubmissionThatIsRefusedAfterItsAnswerWasLostBetweenEntriesIsSeen(t *testing.T) {
	t.Parallel()
	cuts := Case{Seed: 61, Minutes: MinMinutes, Entries: 3, Hosts: 3}
	// Faults with odd numbers cut answers. Requests are kept open around reloads.
	for i := range cuts.Entries {
		cuts.Schedule = append(cuts.Schedule, Fault{Reload, fake.EntryName(0), 3 * time.Second, 0}, Fault{PeerCut, fake.EntryName(i), 3 * time.Second, 9 * time.Second})
	}
	for at := 3500 * time.Millisecond; at < 12*time.Second; at += time.Second {
		cuts.Schedule = append(cuts.Schedule, Fault{Reload, fake.EntryName(0), at, 0}, Fault{StoreBusy, "", at, 500 * time.Millisecond})
	}
	rows, err := playOn(t, cuts, "", forgetsSent)
	requireBroken(t, rows, err, "refused-is-not-run")
}

func TestMaintenanceBeyondTheCapOfItsWaveIsSeen(t *testing.T) {
	t.Parallel()
	wave := Case{Seed: 71, Minutes: MinMinutes, Entries: 2, Hosts: 3, Schedule: []Fault{{MaintenanceWave, "", 3 * time.Second, 0}}}
	rows, err := playOn(t, wave, "", skipsCap, skipsSlots)
	requireBroken(t, rows, err, "waves-whole")
}

func TestPromisesAreKeptThoughTheTimeOfDayIsOff(t *testing.T) {
	t.Parallel()
	rows, err := runWith(t, "planned work", clocksOff...)
	require.NoError(t, err)
	require.Len(t, rows, 1)
	require.Empty(t, rows[0].Broken)
}

func TestFaultsOfTenantsAreSeen(t *testing.T) {
	t.Parallel()
	for promise, planted := range map[string]edits.Edit{
		"keys-refused": skipsKeys, "own-jobs-only": skipsTenant, "caps-of-tenants": skipsTenantCaps, "room-under-half-cap": skipsBudgets,
	} {
		t.Run(promise, func(t *testing.T) {
			t.Parallel()
			rows, err := runWith(t, "tenants", planted)
			requireBroken(t, rows, err, promise)
		})
	}
}
