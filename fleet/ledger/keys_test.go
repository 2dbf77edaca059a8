package ledger_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/apikey"
	"carawaymux.dev/fleet/codec"
	"carawaymux.dev/fleet/host"
	"carawaymux.dev/fleet/jobs"
	"carawaymux.dev/fleet/ledger"
	"carawaymux.dev/fleet/quota"
	"carawaymux.dev/fleet/record"
)

// Guards against a key that works for two teams, is lost with a snapshot, or works after it was revoked.
func TestKeysAreUniqueAndSurviveSnapshotsUntilTheyAreRevoked(t *testing.T) {
	f := newFixture(t)
	spec := apikey.Spec{Team: "berths", Digest: apikey.Digest("k1")}
	f.mustAccept("one", spec)
	require.True(t, f.state.TakeChanges().Keys)
	require.Contains(t, f.mustReject("one", apikey.Spec{Team: "quays", Digest: apikey.Digest("k2")}), "exists at version 1 by ana")
	reason := f.mustReject("two", apikey.Spec{Team: "quays", Digest: spec.Digest})
	require.Contains(t, reason, `key "one"`)
	require.NotContains(t, reason, spec.Digest)

	raw, err := codec.EncodeSnapshot(f.state.Snapshot())
	require.NoError(t, err)
	restored, err := codec.DecodeSnapshot(raw)
	require.NoError(t, err)
	require.Equal(t, spec, restored.Keys["one"].Spec)
	config := apikey.Config(restored.Keys, 3)
	require.True(t, config.RequiresKeys)
	require.Equal(t, "berths", config.Tenants[0].Name)

	f.state.TakeChanges()
	v := f.apply(record.Record{Object: "one", Base: 1, Body: ledger.Retire{ObjectKind: record.KindKey}})
	require.Equal(t, record.Accepted, v.Result, v.Reason)
	require.True(t, f.state.TakeChanges().Keys)
	require.False(t, apikey.Config(f.state.Keys, 4).RequiresKeys)
}

// Guards against entries of two versions that compute different hashes although there are no keys.
func TestASnapshotWithoutKeysHasNoFieldForThem(t *testing.T) {
	raw, err := codec.EncodeSnapshot(newSmallFleet(t).state.Snapshot())
	require.NoError(t, err)
	decoded, err := codec.DecodeFrame[map[string]any](raw)
	require.NoError(t, err)
	require.NotContains(t, decoded, "keys")
}

// Guards against a key whose plaintext gets into the log or into an error in place of its digest.
func TestOnlyDigestsAreAcceptedAndProblemsDoNotRepeatThem(t *testing.T) {
	key := apikey.New()
	for name, digest := range map[string]string{
		"a key": key, "upper case": strings.ToUpper(apikey.Digest(key)), "too long": apikey.Digest(key) + "00", "no digits": strings.Repeat("x", 64), "none": "",
	} {
		problems := apikey.Spec{Team: "berths", Digest: digest}.Check()
		require.Len(t, problems, 1, name)
		if digest != "" {
			require.NotContains(t, problems.Error(), digest, name)
		}
	}
	require.NotEqual(t, key, apikey.New())
}

// Guards against a team that cancels a job of another team, also if the job was replaced since the entry looked at it.
func TestATeamCancelsOnlyItsOwnJobs(t *testing.T) {
	f := newSmallFleet(t)
	for name, team := range map[string]string{"mine": "berths", "other": "quays", "none": ""} {
		if team != "" {
			f.mustAccept(team, quota.Spec{Cores: 10})
		}
		f.mustAccept(name, jobs.Spec{Pool: "docs", Team: team, Size: host.Resources{Cores: 1}, Tasks: 1, Urgency: jobs.Normal})
	}
	f.mustAccept("", jobs.TeamCancel{Team: "berths", Cancel: jobs.Cancel{Jobs: []string{"mine", "other", "none", "missing"}}})
	require.True(t, f.state.Jobs["mine"].Cancelled)
	require.False(t, f.state.Jobs["other"].Cancelled)
	require.False(t, f.state.Jobs["none"].Cancelled)
	require.NotEmpty(t, f.mustReject("", jobs.TeamCancel{Cancel: jobs.Cancel{Jobs: []string{"none"}}}))

	body, err := codec.EncodeBody(jobs.TeamCancel{Team: "berths", Cancel: jobs.Cancel{Jobs: []string{"mine"}}}, 1)
	require.NoError(t, err)
	require.JSONEq(t, `{"team":"berths","jobs":["mine"]}`, string(body))
}
