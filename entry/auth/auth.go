// Package auth decides whether callers' requests may be served, by the keys in the newest configuration and by how recently
// the entry has been able to read it.
package auth

import (
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"carawaymux.dev/entry/stats"
	"carawaymux.dev/fleet/access"
	"carawaymux.dev/fleet/clock"
	"carawaymux.dev/fleet/port"
)

// revocationShare is the share of the revocation time limit for which a configuration that was read is relied on. The rest is
// for the time between the decision on a request and the request's effect.
const revocationShare = 0.9

// PresentedKey returns the key that a request presents after a scheme in the header Authorization, and an empty string if it presents
// none. Of another scheme it returns all, which is no key of any tenant.
func PresentedKey(r *http.Request, scheme string) string {
	value := strings.TrimSpace(r.Header.Get("Authorization"))
	if found, key, ok := strings.Cut(value, " "); ok && strings.EqualFold(found, scheme) {
		return strings.TrimSpace(key)
	}
	return value
}

// Limits are the time limits for changes of keys.
type Limits struct {
	// FailClosed reports whether keys are refused once they may have been revoked for longer than Revocation.
	FailClosed bool
	// Revocation is the time after which a key that was taken away must not work any more.
	Revocation time.Duration
	// Apply is the time after which a key that was added has to work.
	Apply time.Duration
}

// Gate decides on requests. Configurations come from one goroutine, requests from any.
type Gate struct {
	limits Limits
	logger *slog.Logger
	stats  *stats.Set
	now    func() time.Duration
	// table is nil until a configuration has been applied.
	table atomic.Pointer[access.Table]
	// confirmedAt is as of when the newest configuration has been applied, in nanoseconds of now.
	confirmedAt atomic.Int64
	// unreadable reports whether the newest configuration could not be read. It may have revoked keys.
	unreadable atomic.Bool
	// closed reports whether the gate refused keys when that was last looked at, for logs.
	closed atomic.Bool
}

// Option configures a [Gate].
type Option func(*Gate)

// WithStats counts the decisions in a set.
func WithStats(s *stats.Set) Option { return func(g *Gate) { g.stats = s } }

// WithClock sets the clock. It has to count the time for which the machine is suspended.
func WithClock(now func() time.Duration) Option { return func(g *Gate) { g.now = now } }

// New returns a gate without a configuration.
func New(limits Limits, logger *slog.Logger, opts ...Option) *Gate {
	g := &Gate{limits: limits, logger: logger, now: clock.SinceBoot}
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// Configure applies a configuration. It ignores one that is older than the current one.
func (g *Gate) Configure(c *port.Config) {
	if t := g.table.Load(); t != nil && t.Version > c.Version {
		return
	}
	g.table.Store(access.NewTable(c))
	g.unreadable.Store(false)
}

// IsConfigured reports whether a configuration has been applied.
func (g *Gate) IsConfigured() bool { return g.table.Load() != nil }

// Reject records that the newest configuration could not be read.
func (g *Gate) Reject() { g.unreadable.Store(true) }

// Confirm records that the configurations up to a time have been applied.
func (g *Gate) Confirm(asOf time.Duration) { g.confirmedAt.Store(int64(asOf)) }

// Now returns the time on the clock of the gate.
func (g *Gate) Now() time.Duration { return g.now() }

// freshness returns how much the configuration can be relied on.
func (g *Gate) freshness() access.Freshness {
	age := g.now() - time.Duration(g.confirmedAt.Load())
	readable := !g.unreadable.Load()
	return access.Freshness{
		Current:   readable && age <= g.limits.Apply,
		Unrevoked: !g.limits.FailClosed || (readable && age <= time.Duration(revocationShare*float64(g.limits.Revocation))),
	}
}

// Decide decides on a request that presents a key, or none if the key is empty.
func (g *Gate) Decide(key string, allowAnonymous bool) access.Decision {
	t := g.table.Load()
	if t == nil || !t.Required() {
		return access.Decision{}
	}
	f := g.freshness()
	g.noteClosed(!f.Unrevoked)
	d := t.Decide(key, allowAnonymous, f)
	if d.Verdict != access.Allowed {
		g.stats.Add("requests-without-access", 1, "verdict", d.Verdict.String())
	}
	return d
}

// IsClosed reports whether the entry refuses all keys, because they may have been revoked.
func (g *Gate) IsClosed() bool {
	t := g.table.Load()
	closed := t != nil && t.Required() && !g.freshness().Unrevoked
	g.noteClosed(closed)
	return closed
}

// noteClosed logs when the entry begins and ends to refuse all keys.
func (g *Gate) noteClosed(closed bool) {
	switch was := g.closed.Swap(closed); {
	case closed && !was:
		g.logger.Warn("keys are refused: the configuration could not be read lately, and keys may have been revoked",
			"limit-ms", g.limits.Revocation.Milliseconds(), "unreadable", g.unreadable.Load())
	case was && !closed:
		g.logger.Info("keys are accepted again")
	}
}
