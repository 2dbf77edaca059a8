package soak

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"carawaymux.dev/fleet/fault"
	"carawaymux.dev/trial/fake"
	"carawaymux.dev/trial/faulty"
)

const (
	// loseEveryNth is the number of appends of which one answer is lost.
	loseEveryNth = 4
	// storeDelay is the delay of each call while the store is slow.
	storeDelay = 150 * time.Millisecond
	// loseOrders is the number of orders for machines whose answers are lost.
	loseOrders = 3
	// healTimeout limits the time to end a fault of a link.
	healTimeout = 5 * time.Second
)

// conductor carries out a schedule. One goroutine uses it.
type conductor struct {
	site *site
	// active counts the faults of the store and of the machines API that have begun and not ended.
	active map[Kind]int
	// version is that of the newest configuration, removed counts the removals of the extra queue, and waves the published
	// waves.
	version, removed, waves int
	// stage is the number of the newest configuration of tenants.
	stage int
}

// action is the begin or the end of a fault.
type action struct {
	at  time.Duration
	run func(context.Context) error
}

// conduct carries out all faults and returns when the last one has ended. All faults have ended too when it returns
// early because ctx is done.
func (c *conductor) conduct(ctx context.Context, schedule []Fault, progress func(Fault)) error {
	var entries []string
	for _, e := range c.site.deployment.Entries {
		entries = append(entries, e.Name)
	}
	schedule = expandRolls(schedule, entries)
	var actions []action
	heals := make([]func(context.Context) error, len(schedule))
	for i, f := range schedule {
		actions = append(actions, action{f.At, func(ctx context.Context) error {
			from := c.site.recorder.now()
			progress(f)
			heal, err := c.begin(ctx, f, i)
			if err != nil {
				return err
			}
			heals[i] = func(ctx context.Context) error {
				err := heal(ctx)
				// The keeper records the windows of processes that it starts again.
				if f.Kind != Term && f.Kind != Kill {
					w := Window{f.Kind, f.Target, from, c.site.recorder.now()}
					c.site.recorder.add(func(h *History) { h.Windows = append(h.Windows, w) })
				}
				return err
			}
			return nil
		}})
		actions = append(actions, action{f.At + f.For, func(ctx context.Context) error {
			heal := heals[i]
			heals[i] = nil
			return heal(ctx)
		}})
	}
	slices.SortStableFunc(actions, func(a, b action) int { return cmp.Compare(a.at, b.at) })
	for _, a := range actions {
		if !sleep(ctx, c.site.trafficAt+a.at-c.site.recorder.now()) {
			break
		}
		if err := a.run(ctx); err != nil {
			return err
		}
	}
	if ctx.Err() == nil {
		return nil
	}
	// Processes must not stay paused.
	cleanup, cancel := context.WithTimeout(context.WithoutCancel(ctx), healTimeout)
	defer cancel()
	for _, heal := range heals {
		if heal != nil {
			_ = heal(cleanup)
		}
	}
	return ctx.Err()
}

// sleep waits for a time and reports whether it has passed before ctx was done.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// begin starts a fault and returns the function that ends it.
func (c *conductor) begin(ctx context.Context, f Fault, number int) (heal func(context.Context) error, err error) {
	nothing := func(context.Context) error { return nil }
	switch f.Kind {
	case Term, Kill, Pause, Reload:
		k := c.site.keepers[f.Target]
		if k == nil {
			return nil, fault.New("inject", f.Target, "there is no such entry")
		}
		return k.inject(ctx, f)
	case Queue:
		return func(context.Context) error { return c.publish(-1) }, c.publish(+1)
	case Tenants:
		c.stage++
		return nothing, c.publish(0)
	case MaintenanceWave:
		return nothing, c.publishWave()
	case Hostile:
		return c.site.startHostile(f.Target, number)
	case StoreTrim:
		c.site.platform.Trim()
		return nothing, nil
	case HostCrash:
		c.site.deployment.CrashMachine(f.Target, f.For)
		return nothing, nil
	case LinkDelay, LinkReset, LinkCut, LinkSilent, LinkDrip, LinkLate, PeerDelay, PeerReset, PeerCut, PeerSilent, PeerDrip:
		link, kind := f.Target, f.Kind
		if k, ok := linkFaults[kind]; ok {
			link, kind = LinkName("", f.Target), k
		}
		return c.site.proxies.inject(ctx, link, fmt.Sprint(number), Toxics(kind, number))
	default:
		c.active[f.Kind]++
		return func(ctx context.Context) error {
			c.active[f.Kind]--
			return c.applyServiceFaults(ctx)
		}, c.applyServiceFaults(ctx)
	}
}

// applyServiceFaults sets the faults of the store and of the machines API to those that are active.
func (c *conductor) applyServiceFaults(ctx context.Context) error {
	store := fake.StoreFaults{Unresponsive: c.active[StoreSilent] > 0, Busy: c.active[StoreBusy] > 0, Full: c.active[StoreFull] > 0}
	if c.active[StoreLossy] > 0 {
		store.LoseEveryNth = loseEveryNth
	}
	if c.active[StoreSlow] > 0 {
		store.Delay = storeDelay
	}
	c.site.deployment.SetStoreFaults(store)
	machines := faulty.Faults{Outage: c.active[MachinesDown] > 0}
	if c.active[MachinesLossy] > 0 {
		machines.LoseAnswers = loseOrders
	}
	return c.site.deployment.SetMachineFaults(ctx, machines)
}

// publish publishes the next configuration, after a change of the number of removals of the extra queue.
func (c *conductor) publish(change int) error {
	c.removed += change
	c.version++
	return c.site.publish(c.version, c.removed == 0, c.stage)
}

const (
	// waveMachines is the number of machines of each pool in a wave, waveCap the number of machines that may be down for
	// it at a time, and waveTime the time that it should take.
	waveMachines, waveCap = 2, 1
	waveTime              = 6 * time.Second
)

// publishWave publishes a wave of maintenance for some machines of both pools.
func (c *conductor) publishWave() error {
	c.waves++
	w := Wave{Number: int64(c.waves), Cap: waveCap}
	for _, pool := range []string{guardedPool, unguardedPool} {
		for i := range min(waveMachines, c.site.layout.Pools[pool]) {
			w.Machines = append(w.Machines, fake.MachineID(pool, i))
		}
	}
	c.site.recorder.add(func(h *History) { h.Waves = append(h.Waves, w) })
	return c.site.platform.Publish(fmt.Sprintf("wave/%d", w.Number), map[string]any{
		"wave": w.Number, "machines": w.Machines, "duration_s": waveTime.Seconds(), "cap": w.Cap,
	})
}
