package leader

import (
	"context"
	"time"

	"carawaymux.dev/entry/follow"
	"carawaymux.dev/fleet/lease"
	"carawaymux.dev/fleet/ledger"
	"carawaymux.dev/fleet/record"
)

const (
	// checksPerTerm is the number of times within its term that the lease is checked.
	checksPerTerm = 4
	// checksPerRenewal is the number of checks after which the holder renews the lease.
	checksPerRenewal = 2
)

// keepLease claims the lease after it has expired, and renews it while this entry holds it.
func (l *Leader) keepLease(ctx context.Context, _ <-chan struct{}) {
	tick := time.NewTicker(l.settings.LeaseTerm / checksPerTerm)
	defer tick.Stop()
	var watch lease.Watch
	for check := 0; ; check++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if !l.canPlan(ctx) {
			// This entry's state may be outdated, so an unchanged lease version does not show that
			// the holder has stopped renewing. The watch starts anew.
			watch = lease.Watch{}
			continue
		}
		current, err := follow.Ask(ctx, l.Follower, func(s *ledger.State) lease.Lease { return s.Lease })
		if err != nil {
			return
		}
		own := current.Holder == l.holder
		if own && check%checksPerRenewal == 0 || !own && watch.Expired(current, time.Now()) {
			l.claimLease(ctx, current)
		}
	}
}

// canPlan reports whether the entry may plan: it has a configuration, can read the log, and has
// not diverged from a checkpoint.
func (l *Leader) canPlan(ctx context.Context) bool {
	p, err := l.Follower.Progress(ctx)
	return err == nil && p.Configured && !p.Diverged && p.LogError == ""
}

func (l *Leader) claimLease(ctx context.Context, current lease.Lease) {
	ctx, cancel := context.WithTimeout(ctx, l.settings.LeaseTerm/2)
	defer cancel()
	v, err := l.Follower.Publish(ctx, record.Record{
		ID: record.NewID(), Schema: 1, Author: l.holder, Base: current.Version, At: time.Now().UnixMilli(),
		Body: lease.Claim{Holder: l.holder, TermMS: l.settings.LeaseTerm.Milliseconds()},
	})
	if err != nil || v.Result != record.Accepted {
		l.Logger.Debug("claim of the planner lease not accepted", "verdict", v.Reason, "err", err)
		return
	}
	if current.Holder != l.holder {
		l.Logger.Info("planner lease acquired", "version", record.Version(v.Offset), "from", current.Holder)
	}
}
