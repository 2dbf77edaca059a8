package ledger_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/host"
	"carawaymux.dev/fleet/jobs"
	"carawaymux.dev/fleet/ledger"
	"carawaymux.dev/fleet/record"
)

// newCrashFleet returns a small fleet with job j of one task, in which crashes are counted.
func newCrashFleet(t *testing.T) *fixture {
	f := newSmallFleet(t)
	f.mustAccept("", ledger.Gate{RecordKind: record.KindPlacement, Schema: jobs.CrashSchema})
	f.mustAccept("j", jobs.Spec{Pool: "docs", Size: host.Resources{Cores: 1}, Tasks: 1, Urgency: jobs.Normal})
	return f
}

// placement applies an act on the task of job j at a time in Unix milliseconds.
func (f *fixture) placement(act jobs.Act, atMS int64) record.Verdict {
	f.t.Helper()
	item := jobs.PlacementItem{Job: "j", Act: act}
	if act == jobs.ActStart {
		item.Host = "h1"
	}
	return f.apply(record.Record{At: atMS, Fence: f.state.Lease.Fence, Body: jobs.Placement{Items: []jobs.PlacementItem{item}}})
}

// Guards against a task that crashes one host after the other without an end.
func TestATaskIsNotStartedAgainAfterThreeHostsCrashedUnderIt(t *testing.T) {
	f := newCrashFleet(t)
	for range jobs.MaxCrashes {
		require.Equal(t, record.Accepted, f.placement(jobs.ActStart, 1000).Result)
		require.Equal(t, record.Accepted, f.placement(jobs.ActCrash, 2000).Result)
	}
	v := f.placement(jobs.ActStart, 3000)
	require.Equal(t, record.Rejected, v.Result)
	require.Contains(t, v.Reason, "given up")
	require.Zero(t, f.state.Jobs["j"].Waiting())
	raw, err := codec.EncodeSnapshot(f.state.Snapshot())
	require.NoError(t, err)
	restored, err := codec.DecodeSnapshot(raw)
	require.NoError(t, err)
	require.True(t, restored.Jobs["j"].Tasks[0].GivenUp(), "the count survives a change of the planner")
}

// Guards against giving up a task that lasts, because its hosts have failed far apart.
func TestATaskThatHasRunForLongIsNoLongerSuspect(t *testing.T) {
	f := newCrashFleet(t)
	for range 2 * jobs.MaxCrashes {
		require.Equal(t, record.Accepted, f.placement(jobs.ActStart, 1000).Result)
		require.Equal(t, record.Accepted, f.placement(jobs.ActCrash, 2000).Result)
		require.Equal(t, record.Accepted, f.placement(jobs.ActStart, 3000).Result)
		require.Equal(t, record.Accepted, f.placement(jobs.ActStop, 3000+jobs.CrashWindow.Milliseconds()).Result)
		require.Zero(t, f.state.Jobs["j"].Tasks[0].Crashes)
	}
}

// Guards against giving up a task that was stopped, with no crash of its host.
func TestStopsAreNoCrashes(t *testing.T) {
	f := newCrashFleet(t)
	for range 2 * jobs.MaxCrashes {
		require.Equal(t, record.Accepted, f.placement(jobs.ActStart, 1000).Result)
		require.Equal(t, record.Accepted, f.placement(jobs.ActStop, 2000).Result)
	}
	require.Zero(t, f.state.Jobs["j"].Tasks[0].Crashes)
}

// Guards against states that differ between entries of two versions while both run.
func TestCrashesAreNotCountedBeforeTheirSchemaIsOpen(t *testing.T) {
	f := newSmallFleet(t)
	f.mustAccept("j", jobs.Spec{Pool: "docs", Size: host.Resources{Cores: 1}, Tasks: 1, Urgency: jobs.Normal})
	require.Equal(t, record.Accepted, f.placement(jobs.ActStart, 1000).Result)
	require.Zero(t, f.state.Jobs["j"].Tasks[0].StartedAt)
	require.Equal(t, record.Rejected, f.placement(jobs.ActCrash, 2000).Result)
	_, err := codec.EncodeBody(jobs.Placement{Items: []jobs.PlacementItem{{Job: "j", Act: jobs.ActCrash}}}, 1)
	require.Error(t, err)
}

// Guards against a task that cannot be tried again once an operator has changed its job.
func TestAJobThatIsPublishedAgainStartsWithoutCrashes(t *testing.T) {
	f := newCrashFleet(t)
	for range jobs.MaxCrashes {
		f.placement(jobs.ActStart, 1000)
		f.placement(jobs.ActCrash, 2000)
	}
	j := f.state.Jobs["j"].Published
	v := f.apply(record.Record{Object: "j", Base: j.Version, Body: j.Spec})
	require.Equal(t, record.Accepted, v.Result, v.Reason)
	require.Equal(t, 1, f.state.Jobs["j"].Waiting())
	require.Equal(t, record.Accepted, f.placement(jobs.ActStart, 3000).Result)
}
