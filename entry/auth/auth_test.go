package auth_test

import (
	"bytes"
	"crypto/sha256"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/entry/auth"
	"carawaymux.dev/fleet/access"
	"carawaymux.dev/fleet/port"
)

const key = "a-key-that-nobody-may-see"

func config() *port.Config {
	return &port.Config{RequiresKeys: true, Tenants: []port.Tenant{{Name: "t", Keys: []port.KeyDigest{sha256.Sum256([]byte(key))}}}}
}

// newGate returns a gate whose clock and log the test holds.
func newGate(failClosed bool) (g *auth.Gate, now *time.Duration, logs *bytes.Buffer) {
	now, logs = new(time.Duration), &bytes.Buffer{}
	*now = time.Hour
	limits := auth.Limits{FailClosed: failClosed, Revocation: 5 * time.Second, Apply: 3 * time.Second}
	g = auth.New(limits, slog.New(slog.NewJSONHandler(logs, nil)), auth.WithClock(func() time.Duration { return *now }))
	return g, now, logs
}

// Guards against a revoked key that works for longer than allowed in an entry that does not reach the store, and against an entry
// that stays closed.
func TestKeysAreRefusedWhileTheConfigurationMayBeOutdated(t *testing.T) {
	g, now, logs := newGate(true)
	g.Configure(config())
	g.Confirm(*now)
	require.Equal(t, access.Decision{Tenant: "t"}, g.Decide(key, false))
	*now += 5 * time.Second
	require.Equal(t, access.Unverified, g.Decide(key, false).Verdict)
	require.Equal(t, access.Unverified, g.Decide(key, true).Verdict)
	require.True(t, g.IsClosed())
	require.Equal(t, access.Allowed, g.Decide("", true).Verdict, "no key is needed")
	g.Confirm(*now)
	require.False(t, g.IsClosed())
	require.Equal(t, access.Allowed, g.Decide(key, false).Verdict)
	require.Equal(t, 1, bytes.Count(logs.Bytes(), []byte("keys are refused")))
	require.Equal(t, 1, bytes.Count(logs.Bytes(), []byte("keys are accepted again")))
	require.NotContains(t, logs.String(), key)
}

// Guards against a final refusal of a key that was added while the entry could not read the configuration.
func TestAnUnknownKeyIsNotRefusedForGoodWhileItMayBeNew(t *testing.T) {
	g, now, _ := newGate(false)
	g.Configure(config())
	g.Confirm(*now)
	require.Equal(t, access.Unauthorized, g.Decide("other", false).Verdict)
	*now += 4 * time.Second
	require.Equal(t, access.Unverified, g.Decide("other", false).Verdict)
	require.Equal(t, access.Allowed, g.Decide(key, false).Verdict, "the deployment does not fail closed")
}

// Guards against keys that go on to work after a configuration that cannot be read, which may have revoked them.
func TestAnUnreadableConfigurationClosesTheGate(t *testing.T) {
	g, now, _ := newGate(true)
	g.Configure(config())
	g.Confirm(*now)
	g.Reject()
	g.Confirm(*now)
	require.Equal(t, access.Unverified, g.Decide(key, false).Verdict)
	g.Configure(config())
	require.Equal(t, access.Allowed, g.Decide(key, false).Verdict)
}

// Guards against entries of deployments without tenants that refuse requests or report not ready.
func TestWithoutTenantsTheGateIsOpen(t *testing.T) {
	g, _, _ := newGate(true)
	require.Equal(t, access.Decision{}, g.Decide("", false))
	g.Configure(&port.Config{})
	require.Equal(t, access.Decision{}, g.Decide("anything", false))
	require.False(t, g.IsClosed())
}
