package owner

import (
	"log/slog"
	"strconv"
	"time"
)

const (
	// tenantInterval is the time between two reports of what the largest tenants use.
	tenantInterval = time.Second
	// maxTenantsReported bounds the tenants of one report. The metrics name them by rank, so that their number is bounded, too.
	maxTenantsReported = 8
	// perMille is the unit in which metrics give parts of a whole.
	perMille = 1000
)

// logTenants updates the gauges of the tenants that have used most of the pool lately, and logs them while the pool is
// overloaded.
func (c *core) logTenants(now time.Time) {
	if now.Before(c.nextTenantLog) || (c.nextTenantLog.IsZero() && !c.state.HasTenants()) {
		return
	}
	c.nextTenantLog = now.Add(tenantInterval)
	tenants := c.state.LargestTenants(maxTenantsReported, now)
	var named []any
	for i := range maxTenantsReported {
		share, use := 0.0, 0.0
		if i < len(tenants) {
			share, use = tenants[i].Share, tenants[i].Use
			named = append(named, slog.Group(tenants[i].Name, "share", share, "use", use))
		}
		c.deps.Stats.Gauge("tenant-share", int64(share*perMille), "pool", c.state.Pool, "rank", strconv.Itoa(i+1))
		c.deps.Stats.Gauge("tenant-use", int64(use*perMille), "pool", c.state.Pool, "rank", strconv.Itoa(i+1))
	}
	if c.state.Overloaded && len(named) > 0 {
		c.logger.Info("pool overloaded", slog.Group("tenants", named...))
	}
}
