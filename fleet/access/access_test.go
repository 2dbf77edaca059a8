package access_test

import (
	"crypto/sha256"
	"testing"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/access"
	"carawaymux.dev/fleet/port"
)

func digest(key string) port.KeyDigest { return sha256.Sum256([]byte(key)) }

func config() *port.Config {
	return &port.Config{RequiresKeys: true, Tenants: []port.Tenant{
		{Name: "a", Keys: []port.KeyDigest{digest("a1"), digest("a2")}}, {Name: "b", Keys: []port.KeyDigest{digest("b1")}}, {Name: "keyless"},
	}}
}

// Guards against keys that are accepted although they are unknown or may have been revoked, and against refusals of requests that
// need no key.
func TestDecisions(t *testing.T) {
	fresh := access.Freshness{Current: true, Unrevoked: true}
	for name, c := range map[string]struct {
		key       string
		anonymous bool
		freshness access.Freshness
		want      access.Decision
	}{
		"a known key":                             {"a1", false, fresh, access.Decision{Tenant: "a"}},
		"the second key of a tenant":              {"a2", false, fresh, access.Decision{Tenant: "a"}},
		"a key where none is needed":              {"b1", true, fresh, access.Decision{Tenant: "b"}},
		"an unknown key":                          {"c1", false, fresh, access.Decision{Verdict: access.Unauthorized}},
		"an unknown key where none is needed":     {"c1", true, fresh, access.Decision{Verdict: access.Unauthorized}},
		"no key":                                  {"", false, fresh, access.Decision{Verdict: access.Unauthorized}},
		"no key where none is needed":             {"", true, access.Freshness{}, access.Decision{}},
		"a known key that may be revoked":         {"a1", false, access.Freshness{Current: true}, access.Decision{Verdict: access.Unverified}},
		"a key that may be new":                   {"c1", false, access.Freshness{Unrevoked: true}, access.Decision{Verdict: access.Unverified}},
		"a known key while new ones may be known": {"a1", false, access.Freshness{Unrevoked: true}, access.Decision{Tenant: "a"}},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, access.NewTable(config()).Decide(c.key, c.anonymous, c.freshness))
		})
	}
}

// Guards against deployments without tenants that ask for keys.
func TestWithoutTenantsNoKeyIsNeeded(t *testing.T) {
	table := access.NewTable(&port.Config{})
	require.False(t, table.Required())
	require.Equal(t, access.Decision{}, table.Decide("anything", false, access.Freshness{}))
}
