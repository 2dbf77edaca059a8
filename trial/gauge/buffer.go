package gauge

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"carawaymux.dev/fleet/plat"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/trial/procs"
	"carawaymux.dev/trial/site"
)

const (
	// bufferBound is the bound on idle hosts over the least that survives.
	bufferBound = 1.15
	// repairWithin bounds the wait for the pools to be whole again.
	repairWithin = 40 * time.Second
)

// domain names a failure domain.
type domain struct{ zone, rack string }

// lossByDomain counts the hosts of each pool that each rack holds.
func lossByDomain(s *site.Site) map[domain]map[string]int {
	out := make(map[domain]map[string]int)
	for _, t := range s.Targets {
		key := domain{t.Zone, t.Rack}
		if out[key] == nil {
			out[key] = make(map[string]int)
		}
		out[key][t.Pool]++
	}
	return out
}

// buffer measures the idle hosts that the fleet holds against the loss of its largest
// rack: pools keep no surplus of their own, the spare pool holds it for all and lends it
// out. The loss is brought about, and every pool must be whole again.
func (t *taker) buffer(ctx context.Context, d deployment) error {
	p := d.plan()
	spare := d.services[len(d.services)-1]
	probe, err := site.New(p, t.o.Bin, t.dir)
	if err != nil {
		return err
	}
	worst, least, static := worstLoss(probe, spare)
	for i := range p.Pools {
		p.Pools[i].Floor = hostsPerPool
		if p.Pools[i].Spare {
			p.Pools[i].Floor = hostsPerPool - least
		}
	}
	return t.withSite(ctx, d.name+"-buffer", p, func(s *site.Site) error {
		for _, one := range s.Targets {
			if one.Zone == worst.zone && one.Rack == worst.rack {
				if err := s.SetMachineState(ctx, one.Name, plat.MachineDown); err != nil {
					return err
				}
			}
		}
		begin := time.Now()
		waiting, cancel := context.WithTimeout(ctx, repairWithin)
		defer cancel()
		if err := procs.WaitFor(waiting, "the loss seen", func(ctx context.Context) error {
			if whole(ctx, s, d, spare) == nil {
				return errors.New("every pool still seems whole")
			}
			return nil
		}); err != nil {
			return err
		}
		err := procs.WaitFor(waiting, "pools whole again", func(ctx context.Context) error { return whole(ctx, s, d, spare) })
		if err != nil {
			return err
		}
		note := fmt.Sprintf("rack %s/%s lost, every pool at its floor again after %.1f s", worst.zone, worst.rack, time.Since(begin).Seconds())
		t.add(Row{d.name, "buffer-cost", "loans-from-spare", float64(least), "hosts idle", bufferBound * float64(least), note})
		t.add(Row{d.name, "buffer-cost", "computed-limit", float64(least), "hosts idle", 0, "most hosts outside the spare pool in one rack"})
		t.add(Row{d.name, "buffer-cost", "static-shares", float64(static), "hosts idle", 0, "computed: each pool holds its own largest loss"})
		return nil
	})
}

// worstLoss returns the rack whose loss takes the most hosts from pools other than the
// spare one, that number, and what pools would have to hold each for itself.
func worstLoss(s *site.Site, spare string) (worst domain, least, static int) {
	largest := make(map[string]int)
	losses := lossByDomain(s)
	keys := make([]domain, 0, len(losses))
	for key := range losses {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b domain) int { return slices.Compare([]string{a.zone, a.rack}, []string{b.zone, b.rack}) })
	for _, key := range keys {
		total := 0
		for pool, n := range losses[key] {
			largest[pool] = max(largest[pool], n)
			if pool != spare {
				total += n
			}
		}
		if total > least {
			worst, least = key, total
		}
	}
	for _, n := range largest {
		static += n
	}
	return worst, least, static
}

// whole reports whether every pool serves at its floor again.
func whole(ctx context.Context, s *site.Site, d deployment, spare string) error {
	pools, err := s.Entries[0].Client.Objects(ctx, record.KindPool, 0)
	if err != nil {
		return err
	}
	for _, p := range pools.Objects {
		if p.Name != spare && p.Status.Serving < hostsPerPool {
			return fmt.Errorf("%s serves with %d of %d hosts", p.Name, p.Status.Serving, hostsPerPool)
		}
	}
	return nil
}
