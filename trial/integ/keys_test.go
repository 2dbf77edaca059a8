package integ

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"carawaymux.dev/fleet/client"
	"carawaymux.dev/fleet/host"
	"carawaymux.dev/fleet/jobs"
	"carawaymux.dev/fleet/plat"
	"carawaymux.dev/fleet/quota"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wire"
	"carawaymux.dev/trial/site"
)

// caraway runs the command line with an entry and returns its standard output.
func (f *fixture) caraway(e *site.Entry, args ...string) string {
	f.t.Helper()
	cmd := exec.CommandContext(f.ctx, filepath.Join(bin, "caraway"), append([]string{"--entry", "http://" + e.HTTP, "--author", site.Author}, args...)...)
	cmd.Env = append(os.Environ(), "CARAWAY_CONFIG="+os.DevNull)
	out, err := cmd.Output()
	require.NoError(f.t, err, "caraway %s", strings.Join(args, " "))
	return string(out)
}

// createKey creates a key of a team that is in force on all entries, and returns it.
func (f *fixture) createKey(name, team string) string {
	f.t.Helper()
	fields := strings.Fields(f.caraway(f.Entries[0], "key", "create", name, "--team", team, "--wait"))
	require.Len(f.t, fields, 3)
	return fields[2]
}

// send sends an idempotent request with a key to an entry.
func (f *fixture) send(e *site.Entry, key string) client.Response {
	f.t.Helper()
	a, err := client.New("http://"+e.HTTP, client.WithKey(key)).Do(f.ctx, client.Request{
		Kind: "documents", ID: record.NewID().String(), Idempotent: true, Body: []byte("x"), Deadline: 3 * time.Second,
	})
	require.NoError(f.t, err)
	return a
}

// waitForJobs lists the jobs of a team once an entry has applied the records below an offset, and returns the status of the response.
func (f *fixture) waitForJobs(e *site.Entry, key string, offset uint64) int {
	url := fmt.Sprintf("http://%s%sjob?wait-ms=30000&%s=%d", e.HTTP, wire.PathObjects, wire.QueryMinOffset, offset)
	r, err := http.NewRequestWithContext(f.ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0
	}
	r.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

func requireStatus(t *testing.T, status int, err error) string {
	t.Helper()
	var refused *client.Error
	require.ErrorAs(t, err, &refused)
	require.Equal(t, status, refused.Status)
	return refused.Body.Error
}

// Guards against keys that do not work on every entry, teams that reach the jobs of others, revoked keys that still work, and keys
// that get into the log, the logs or the metrics.
func TestTeamsUseTheirKeysOnEveryEntryUntilTheyAreRevoked(t *testing.T) {
	f := start(t, twoZones())
	a, b := f.Entries[0], f.Entries[3]
	require.Equal(t, wire.Done, f.send(a, "").Outcome, "without keys of teams none is needed")
	for _, team := range []string{"berths", "quays"} {
		f.publish(a, team, 0, quota.Spec{Cores: 10})
		f.publish(a, "job-of-"+team, 0, jobs.Spec{Pool: "documents", Team: team, Size: host.Resources{Cores: 1}, Tasks: 1, Urgency: jobs.Normal})
	}
	berths, quays := f.createKey("berths-1", "berths"), f.createKey("quays-1", "quays")
	for _, e := range f.Entries {
		require.Equal(t, wire.Done, f.send(e, berths).Outcome, e.Name)
		for _, key := range []string{"", "unknown", berths + "x"} {
			refused := f.send(e, key)
			require.Equal(t, http.StatusUnauthorized, refused.Status)
			require.Equal(t, wire.NotRun, refused.Outcome)
		}
	}

	own := client.New("http://"+b.HTTP, client.WithKey(berths))
	list, err := own.Objects(f.ctx, record.KindJob, 0)
	require.NoError(t, err)
	require.Len(t, list.Objects, 1)
	_, err = own.Explain(f.ctx, record.KindJob, "job-of-berths")
	require.NoError(t, err)
	_, err = own.Object(f.ctx, record.KindJob, "job-of-quays", 0)
	foreign := requireStatus(t, http.StatusNotFound, err)
	_, err = own.Object(f.ctx, record.KindJob, "job-of-nobody", 0)
	require.Equal(t, strings.ReplaceAll(foreign, "quays", "nobody"), requireStatus(t, http.StatusNotFound, err))
	_, err = own.Publish(f.ctx, client.NewRecord("anyone", "", 0, jobs.Cancel{Jobs: []string{"job-of-berths", "job-of-quays"}}))
	require.NoError(t, err)
	f.waitUntilApplied()
	require.True(t, f.object(a, record.KindJob, "job-of-berths").Status.Cancelled)
	require.False(t, f.object(a, record.KindJob, "job-of-quays").Status.Cancelled)
	_, err = own.Publish(f.ctx, client.NewRecord(site.Author, "quays", 0, quota.Spec{}))
	requireStatus(t, http.StatusForbidden, err)

	// One of these requests waits for just the record that revokes its key.
	status, err := b.Client.Status(f.ctx)
	require.NoError(t, err)
	waiting := map[uint64]chan int{}
	for offset := status.Offset + 1; offset <= status.Offset+30; offset++ {
		waiting[offset] = make(chan int, 1)
		go func() { waiting[offset] <- f.waitForJobs(b, berths, offset) }()
	}
	var revokedAt uint64
	out := f.caraway(b, "key", "revoke", "berths-1", "--wait")
	_, err = fmt.Sscanf(out, "retire berths-1 accepted at offset %d", &revokedAt)
	require.NoError(t, err, out)
	require.Contains(t, waiting, revokedAt+1)
	require.Equal(t, http.StatusUnauthorized, <-waiting[revokedAt+1], "a request that waited while its key was revoked")
	for _, e := range f.Entries {
		require.Equal(t, http.StatusUnauthorized, f.send(e, berths).Status, e.Name)
		require.Equal(t, wire.Done, f.send(e, quays).Outcome, e.Name)
	}
	f.restartEntry(b)
	f.eventually("the new incarnation is ready", 20*time.Second, b.Client.Ready)
	require.Equal(t, http.StatusUnauthorized, f.send(b, berths).Status, "a new incarnation knows that the key was revoked")
	require.Equal(t, wire.Done, f.send(b, quays).Outcome)
	f.requireNowhere(berths, quays)
}

// requireNowhere checks that secrets are in no record of the log, no log and no metric of an entry.
func (f *fixture) requireNowhere(secrets ...string) {
	f.t.Helper()
	texts := map[string]string{}
	for _, stream := range []string{plat.StreamMain, plat.StreamSnapshots} {
		items, err := f.ReadStream(f.ctx, stream)
		require.NoError(f.t, err)
		for _, it := range items {
			texts["stream "+stream] += string(it.Data)
		}
	}
	for _, e := range f.Entries {
		raw, err := os.ReadFile(filepath.Join(f.Dir, e.Name+".log"))
		require.NoError(f.t, err)
		texts["log of "+e.Name] = string(raw)
		response, err := http.Get("http://" + e.HTTP + wire.PathMetrics)
		require.NoError(f.t, err)
		var metrics strings.Builder
		_, err = fmt.Fprint(&metrics, response.Status)
		require.NoError(f.t, err)
		require.NoError(f.t, response.Write(&metrics))
		require.NoError(f.t, response.Body.Close())
		texts["metrics of "+e.Name] = metrics.String()
	}
	for place, text := range texts {
		for _, secret := range secrets {
			require.NotContains(f.t, text, secret, place)
		}
	}
}

// Guards against a revoked key that works on an entry which has lost the log, against an entry that does not say so, and against
// one that stays closed when the log is back.
func TestAnEntryThatLosesTheLogRefusesKeysSaysSoAndRecovers(t *testing.T) {
	p := twoZones()
	p.Settings = map[string][]string{"platform": {"poll = 200ms", "timeout = 1s"}, "auth": {"key-max-age = 3s"}}
	f := start(t, p)
	lost, other := f.Entries[0], f.Entries[1]
	f.createKey("quays-1", "quays")
	berths := f.createKey("berths-1", "berths")
	require.Equal(t, wire.Done, f.send(lost, berths).Outcome)

	heal := f.partition(func(from, to string) bool { return from == lost.Name && to == "log" })
	f.eventually("the entry refuses keys", 20*time.Second, func(context.Context) error {
		if refused := f.send(lost, berths); refused.Status != http.StatusServiceUnavailable || refused.RetryAfter == 0 || refused.Outcome != wire.NotRun {
			return fmt.Errorf("status %d, outcome %s", refused.Status, refused.Outcome)
		}
		return nil
	})
	require.Contains(t, requireStatus(t, http.StatusServiceUnavailable, lost.Client.Ready(f.ctx)), "keys of teams cannot be verified")
	require.Equal(t, wire.Done, f.send(other, berths).Outcome, "an entry that reads the log accepts the key")
	raw, err := os.ReadFile(filepath.Join(f.Dir, lost.Name+".log"))
	require.NoError(t, err)
	require.Contains(t, string(raw), "keys are refused")

	heal()
	f.eventually("the entry accepts keys", 20*time.Second, func(ctx context.Context) error {
		if a := f.send(lost, berths); a.Outcome != wire.Done {
			return errors.New(a.Reason)
		}
		return lost.Client.Ready(ctx)
	})
}

// Guards against callers that are refused while their key is replaced, and against entries that stop to accept keys under load.
func TestNoRequestIsRefusedWhileKeysAreReplacedUnderLoad(t *testing.T) {
	f := start(t, twoZones())
	key := f.createKey("key-0", "berths")
	const rounds, senders = 5, 4
	for i := range rounds {
		ctx, stop := context.WithCancel(f.ctx)
		var group errgroup.Group
		for s := range senders {
			group.Go(func() error {
				for n := 0; ctx.Err() == nil; n++ {
					if a := f.send(f.Entries[(s+n)%len(f.Entries)], key); a.Status == http.StatusUnauthorized || a.Status == http.StatusServiceUnavailable {
						return fmt.Errorf("status %d: %s", a.Status, a.Reason)
					}
				}
				return nil
			})
		}
		next := f.createKey(fmt.Sprintf("key-%d", i+1), "berths")
		if i > 0 {
			f.caraway(f.Entries[i%4], "key", "revoke", fmt.Sprintf("key-%d", i-1), "--wait")
		}
		stop()
		require.NoError(t, group.Wait())
		key = next
	}
}
