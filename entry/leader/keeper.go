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
	// looks is how many times a candidate looks at the lease within its term.
	looks = 4
	// renewAfter is the number of looks after which a holder renews the lease.
	renewAfter = 2
)

// keepLease takes the lease when its holder lets it lapse, and renews it.
func (l *Leader) keepLease(ctx context.Context, _ <-chan struct{}) {
	tick := time.NewTicker(l.settings.LeaseTerm / looks)
	defer tick.Stop()
	var watch lease.Watch
	for look := 0; ; look++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if !l.fit(ctx) {
			// What was watched meanwhile says nothing: the view stood still.
			watch = lease.Watch{}
			continue
		}
		current, err := follow.Ask(ctx, l.Follower, func(s *ledger.State) lease.Lease { return s.Lease })
		if err != nil {
			return
		}
		own := current.Holder == l.holder
		if own && look%renewAfter == 0 || !own && watch.Expired(current, time.Now()) {
			l.claim(ctx, current)
		}
	}
}

// fit reports whether the instance may plan.
func (l *Leader) fit(ctx context.Context) bool {
	p, err := l.Follower.Progress(ctx)
	return err == nil && p.Configured && !p.Diverged && p.LogError == ""
}

func (l *Leader) claim(ctx context.Context, current lease.Lease) {
	ctx, cancel := context.WithTimeout(ctx, l.settings.LeaseTerm/2)
	defer cancel()
	v, err := l.Follower.Publish(ctx, record.Record{
		ID: record.NewID(), Schema: 1, Author: l.holder, Base: current.Version, At: time.Now().UnixMilli(),
		Body: lease.Claim{Holder: l.holder, TermMS: l.settings.LeaseTerm.Milliseconds()},
	})
	if err != nil || v.Result != record.Accepted {
		l.Logger.Debug("lease claim", "verdict", v.Reason, "error", err)
		return
	}
	if current.Holder != l.holder {
		l.Logger.Info("planner lease taken", "version", record.Version(v.Offset), "from", current.Holder)
	}
}
