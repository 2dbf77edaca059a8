package lender

import (
	"cmp"
	"log/slog"
	"maps"
	"slices"
	"time"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/caps"
)

const (
	// showInterval is the minimum time between two reports of what is lent.
	showInterval = time.Second
	// maxTenantsShown is the number of tenants that have gauges of their own.
	maxTenantsShown = 20
)

// shown is what was last reported in metrics and logs.
type shown struct {
	at      time.Time
	tenants map[string]struct{}
	// waiting is the tenant that was last logged as waiting for a pool.
	waiting string
}

func newShown() shown { return shown{tenants: map[string]struct{}{}} }

// show updates the gauges of what is lent, used and wanted, by pool and for the largest tenants, and logs which pool keeps a cap from being
// lent.
func (c *core) show(now time.Time) {
	if now.Sub(c.shown.at) < showInterval {
		return
	}
	c.shown.at = now
	byPool, byTenant := map[string]caps.Lending{}, map[string]caps.Lending{}
	waiting, missing := "", ""
	for _, tenant := range slices.Sorted(maps.Keys(c.caps)) {
		for name, l := range c.ledger.Lendings(tenant) {
			byPool[name] = add(byPool[name], l)
			byTenant[tenant] = add(byTenant[tenant], l)
		}
		if name := c.ledger.Unknown(tenant); name != "" && waiting == "" {
			waiting, missing = tenant, name
		}
	}
	for name := range c.pools {
		c.gauge(byPool[name], "pool", name)
	}
	largest := slices.SortedFunc(maps.Keys(byTenant), func(a, b string) int {
		return cmp.Or(cmp.Compare(byTenant[b].Used.MilliCores, byTenant[a].Used.MilliCores), cmp.Compare(a, b))
	})
	previous := c.shown.tenants
	c.shown.tenants = map[string]struct{}{}
	for _, tenant := range largest[:min(len(largest), maxTenantsShown)] {
		c.shown.tenants[tenant] = struct{}{}
		c.gauge(byTenant[tenant], "tenant", tenant)
	}
	for tenant := range previous {
		if _, still := c.shown.tenants[tenant]; !still {
			c.gauge(caps.Lending{}, "tenant", tenant)
		}
	}
	c.logShort(byTenant)
	if waiting != "" && waiting != c.shown.waiting {
		c.logger.Warn("cap of a tenant not lent: what runs in a pool is not known", "tenant", waiting, "pool", missing)
	}
	c.shown.waiting = waiting
}

// gauge sets the gauges of what is lent, used and wanted.
func (c *core) gauge(l caps.Lending, label, value string) {
	for _, g := range [...]struct {
		kind string
		size batch.Size
	}{{"lent", l.Lent}, {"used", l.Used}, {"wanted", l.Wanted}} {
		c.deps.Stats.Gauge("caps-"+label+"-millicores", g.size.MilliCores, label, value, "kind", g.kind)
		c.deps.Stats.Gauge("caps-"+label+"-memory-mb", g.size.MemoryMB, label, value, "kind", g.kind)
		c.deps.Stats.Gauge("caps-"+label+"-accelerators", g.size.Accelerators, label, value, "kind", g.kind)
	}
}

func add(a, b caps.Lending) caps.Lending {
	return caps.Lending{Lent: a.Lent.Add(b.Lent), Used: a.Used.Add(b.Used), Wanted: a.Wanted.Add(b.Wanted)}
}

// logShort logs how many tenants want more than their caps allow, and the one that wants the most beyond it.
func (c *core) logShort(byTenant map[string]caps.Lending) {
	short, first, most := 0, "", int64(0)
	for _, tenant := range slices.Sorted(maps.Keys(byTenant)) {
		l, limit := byTenant[tenant], c.caps[tenant]
		if isWithin(l.Wanted, limit) {
			continue
		}
		if beyond := l.Wanted.MilliCores - limit.MilliCores; short == 0 || beyond > most {
			first, most = tenant, beyond
		}
		short++
	}
	if short == 0 {
		return
	}
	l, limit := byTenant[first], c.caps[first]
	var pools []any
	for name, in := range c.ledger.Lendings(first) {
		if len(pools) < maxPoolsLogged && !isWithin(in.Wanted, in.Lent) {
			pools = append(pools, slog.Group(name, sizeGroup("lent", in.Lent), sizeGroup("used", in.Used), sizeGroup("wanted", in.Wanted)))
		}
	}
	c.logger.Info("tenants want more than their caps", "tenants", short, "tenant", first, sizeGroup("cap", limit), sizeGroup("lent", l.Lent),
		sizeGroup("used", l.Used), sizeGroup("wanted", l.Wanted), slog.Group("pools", pools...))
}

// maxPoolsLogged bounds the pools of one line.
const maxPoolsLogged = 4

// isWithin reports whether an amount is within a limit in the dimensions that have one.
func isWithin(amount, limit batch.Size) bool {
	return (limit.MilliCores == 0 || amount.MilliCores <= limit.MilliCores) && (limit.MemoryMB == 0 || amount.MemoryMB <= limit.MemoryMB) &&
		(limit.Accelerators == 0 || amount.Accelerators <= limit.Accelerators)
}

func sizeGroup(key string, s batch.Size) slog.Attr {
	return slog.Group(key, "millicores", s.MilliCores, "memory-mb", s.MemoryMB, "accelerators", s.Accelerators)
}
