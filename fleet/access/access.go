// Package access decides whether a caller's request may be served, by the key that it presents. It keeps keys as digests only,
// reads no clock and does no I/O.
package access

import "carawaymux.dev/fleet/port"

// Verdict is the decision on a request.
type Verdict uint8

// The verdicts.
const (
	// Allowed means that the request may be served.
	Allowed Verdict = iota
	// Unauthorized means that the key is unknown, or that the request has none and needs one.
	Unauthorized
	// Unverified means that the entry does not know whether the key is valid now, because it has not been able to read the
	// configuration lately. Another entry may know, and this one may know later.
	Unverified
)

// String returns the name of the verdict in logs and metrics.
func (v Verdict) String() string { return [...]string{"allowed", "unauthorized", "unverified"}[v] }

// Table holds the keys of a configuration. It is never modified.
type Table struct {
	// Version is that of the configuration.
	Version int64
	// tenants maps the digests of the keys to the names of their tenants. How long a look-up takes depends on the digest of
	// what was presented, which callers cannot steer towards the digest of a key that they do not have.
	tenants  map[port.KeyDigest]string
	required bool
}

// NewTable returns the table for a configuration.
func NewTable(c *port.Config) *Table {
	t := &Table{Version: c.Version, required: c.RequiresKeys, tenants: map[port.KeyDigest]string{}}
	for i := range c.Tenants {
		for _, digest := range c.Tenants[i].Keys {
			t.tenants[digest] = c.Tenants[i].Name
		}
	}
	return t
}

// Required reports whether callers need keys.
func (t *Table) Required() bool { return t.required }

// Freshness says how much the entry may rely on the configuration.
type Freshness struct {
	// Current reports whether a key that is missing in the configuration is known not to be valid yet.
	Current bool
	// Unrevoked reports whether a key that is in the configuration is known not to have been revoked for longer than is
	// allowed.
	Unrevoked bool
}

// Decision is the verdict on a request and the tenant that it is from. The tenant is empty if the verdict is not Allowed, and
// for requests without a key.
type Decision struct {
	Verdict Verdict
	Tenant  string
}

// Decide decides on a request that presents a key, or none if the key is empty.
func (t *Table) Decide(key string, allowAnonymous bool, f Freshness) Decision {
	if !t.required {
		return Decision{}
	}
	if key == "" {
		if allowAnonymous {
			return Decision{}
		}
		return Decision{Verdict: Unauthorized}
	}
	tenant, known := t.tenants[port.DigestOf(key)]
	switch {
	case known && f.Unrevoked:
		return Decision{Tenant: tenant}
	case known, !f.Current:
		return Decision{Verdict: Unverified}
	}
	return Decision{Verdict: Unauthorized}
}
