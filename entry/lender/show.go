package lender

import (
	"cmp"
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
