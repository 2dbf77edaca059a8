package front_test

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/auth"
	"carawaymux.dev/entry/front"
	"carawaymux.dev/entry/keys"
	"carawaymux.dev/entry/setup"
	"carawaymux.dev/entry/vars"
	"carawaymux.dev/fleet/apikey"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wire"
)

const (
	teamKey     = "the key of team berths"
	operatorKey = "the-key-of-operator-ana"
	admitted    = http.StatusBadRequest
)

var (
	oneKey  = map[string]*record.Versioned[apikey.Spec]{"one": {Spec: apikey.Spec{Team: "berths", Digest: apikey.Digest(teamKey)}}}
	noKeys  = map[string]*record.Versioned[apikey.Spec]{}
	unknown map[string]*record.Versioned[apikey.Spec]
)

// accessFixture is a front end whose requests are refused for their key, or answered with status 400 since they are malformed.
type accessFixture struct {
	*httptest.Server
	t   *testing.T
	now time.Duration
}

// newAccessFixture returns a fixture of an entry that knows some keys, or that has no configuration if they are nil.
func newAccessFixture(t *testing.T, openToAll bool, published map[string]*record.Versioned[apikey.Spec]) *accessFixture {
	f := &accessFixture{t: t, now: time.Hour}
	logger := slog.New(slog.DiscardHandler)
	file := filepath.Join(t.TempDir(), "keys")
	require.NoError(t, os.WriteFile(file, []byte("peer pppppppppppppppppp\noperator ana "+operatorKey+"\n"), 0o600))
	store, err := keys.Open(file, openToAll, logger)
	require.NoError(t, err)
	t.Cleanup(store.Close)
	gate := auth.New(auth.Limits{FailClosed: true, Revocation: 10 * time.Second, Apply: 10 * time.Second}, logger,
		auth.WithClock(func() time.Duration { return f.now }))
	gate.Confirm(f.now)
	if published != nil {
		gate.Configure(apikey.Config(published, 1))
	}
	front := front.New(&setup.Settings{}, 1, front.Dependencies{Metrics: vars.New(), Keys: store, Gate: gate, Logger: logger})
	f.Server = httptest.NewServer(front.Handler())
	t.Cleanup(f.Close)
	return f
}

// paths maps the name of a path to a malformed request to it.
var paths = map[string][2]string{
	"request": {http.MethodPost, wire.PathRequests + "documents"},
	"publish": {http.MethodPost, wire.PathRecords},
	"job":     {http.MethodGet, wire.PathObjects + "job?schema=x"},
	"explain": {http.MethodGet, wire.PathExplain + "job/j?min-offset=x"},
	"pool":    {http.MethodGet, wire.PathObjects + "pool?schema=x"},
	"records": {http.MethodGet, wire.PathRecords + "?from=x"},
	"carry":   {http.MethodPost, wire.PathCarry},
}

// send sends a malformed request to a path with a key, if there is one.
func (f *accessFixture) send(path, key string) *http.Response {
	f.t.Helper()
	r, err := http.NewRequest(paths[path][0], f.URL+paths[path][1], nil)
	require.NoError(f.t, err)
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := http.DefaultClient.Do(r)
	require.NoError(f.t, err)
	require.NoError(f.t, response.Body.Close())
	return response
}

func (f *accessFixture) requireStatus(want int, key string, names ...string) {
	f.t.Helper()
	for _, name := range names {
		require.Equal(f.t, want, f.send(name, key).StatusCode, "%s with key %q", name, key)
	}
}

// Guards against requests that are served without a valid key, and against teams that read or change what is not theirs.
func TestOnceTeamsHaveKeysEachPathNeedsOne(t *testing.T) {
	f := newAccessFixture(t, false, oneKey)
	for path := range paths {
		f.requireStatus(http.StatusUnauthorized, "", path)
		f.requireStatus(http.StatusUnauthorized, "an unknown key", path)
		f.requireStatus(http.StatusUnauthorized, "pppppppppppppppppp", path)
		f.requireStatus(admitted, operatorKey, path)
	}
	f.requireStatus(admitted, teamKey, "request", "publish", "job", "explain")
	f.requireStatus(http.StatusForbidden, teamKey, "pool", "records", "carry")
	response := f.send("request", "")
	require.Equal(t, "Bearer", response.Header.Get("WWW-Authenticate"))
	require.Equal(t, string(wire.NotRun), response.Header.Get(wire.HeaderOutcome), "a refused request has not run")
}

// Guards against deployments without keys that behave differently than before.
func TestWithoutKeysOfTeamsOnlyPublishingNeedsAKey(t *testing.T) {
	f := newAccessFixture(t, false, noKeys)
	f.now += time.Hour
	for path := range paths {
		want := admitted
		if path == "publish" {
			want = http.StatusUnauthorized
		}
		f.requireStatus(want, "", path)
		f.requireStatus(want, "an unknown key", path)
		f.requireStatus(admitted, operatorKey, path)
	}
}

// Guards against callers without a key where the settings only mean to spare operators one.
func TestOpenSettingsSpareOperatorsAKeyButNotCallers(t *testing.T) {
	f := newAccessFixture(t, true, oneKey)
	f.requireStatus(admitted, "", "publish", "job", "explain", "pool", "records", "carry")
	f.requireStatus(http.StatusUnauthorized, "", "request")
	f.requireStatus(http.StatusUnauthorized, "an unknown key", "request", "publish", "job")
	f.requireStatus(http.StatusForbidden, teamKey, "pool", "records", "carry")
}

// Guards against a revoked key that works on an entry which cannot read the log, and against entries that stay closed.
func TestAnEntryThatCannotReadTheLogRefusesKeysUntilItCan(t *testing.T) {
	f := newAccessFixture(t, false, oneKey)
	f.now += 9500 * time.Millisecond
	for _, key := range []string{teamKey, "an unknown key"} {
		response := f.send("request", key)
		want := http.StatusServiceUnavailable
		if key != teamKey {
			// The keys that are known are recent enough to tell that the key was not valid lately.
			want = http.StatusUnauthorized
		}
		require.Equal(t, want, response.StatusCode)
		require.Equal(t, string(wire.NotRun), response.Header.Get(wire.HeaderOutcome))
	}
	f.now += time.Second
	require.Equal(t, "1", f.send("request", teamKey).Header.Get("Retry-After"))
	f.requireStatus(http.StatusServiceUnavailable, teamKey, "request", "publish", "job")
	f.requireStatus(http.StatusServiceUnavailable, "an unknown key", "request")
	f.requireStatus(admitted, operatorKey, "request", "publish", "pool")
	f.requireStatus(http.StatusUnauthorized, "", "request")
}

// Guards against requests that are run without a key while an entry that starts does not know yet whether they need one.
func TestAnEntryWithoutAConfigurationRunsNoRequest(t *testing.T) {
	response := newAccessFixture(t, true, unknown).send("request", "")
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, string(wire.NotRun), response.Header.Get(wire.HeaderOutcome))
}
