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
	// repairTimeout bounds the wait for the pools to be whole again.
	repairTimeout = 40 * time.Second
)

// failureDomain names a failure failureDomain.
type failureDomain struct{ zone, rack string }

// hostsByDomain counts the hosts of each pool that each rack holds.
func hostsByDomain(s *site.Site) map[failureDomain]map[string]int {
	out := make(map[failureDomain]map[string]int)
	for _, t := range s.Targets {
		key := failureDomain{t.Zone, t.Rack}
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
func (h *harness) buffer(ctx context.Context, d deployment) error {
	p := d.plan()
	spare := d.services[len(d.services)-1]
	layout, err := site.New(p, h.options.Bin, h.dir)
	if err != nil {
		return err
	}
	worst, lost, static := largestLoss(layout, spare)
	for i := range p.Pools {
		p.Pools[i].Floor = hostsPerPool
		if p.Pools[i].Spare {
			p.Pools[i].Floor = hostsPerPool - lost
		}
	}
	return h.withSite(ctx, d.name+"-buffer", p, func(s *site.Site) error {
		for _, target := range s.Targets {
			if target.Zone == worst.zone && target.Rack == worst.rack {
				if err := s.SetMachineState(ctx, target.Name, plat.MachineDown); err != nil {
					return err
				}
			}
		}
		begin := time.Now()
		waiting, cancel := context.WithTimeout(ctx, repairTimeout)
		defer cancel()
		if err := procs.WaitFor(waiting, "the loss seen", func(ctx context.Context) error {
			if checkFloors(ctx, s, d, spare) == nil {
				return errors.New("every pool still seems whole")
			}
			return nil
		}); err != nil {
			return err
		}
		err := procs.WaitFor(waiting, "pools whole again", func(ctx context.Context) error { return checkFloors(ctx, s, d, spare) })
		if err != nil {
			return err
		}
		note := fmt.Sprintf("rack %s/%s lost, every pool at its floor again after %.1f s", worst.zone, worst.rack, time.Since(begin).Seconds())
		h.addRow(Row{d.name, "buffer-cost", "loans-from-spare", float64(lost), "hosts idle", bufferBound * float64(lost), note})
		h.addRow(Row{d.name, "buffer-cost", "computed-limit", float64(lost), "hosts idle", 0, "most hosts outside the spare pool in one rack"})
		h.addRow(Row{d.name, "buffer-cost", "static-shares", float64(static), "hosts idle", 0, "computed: each pool holds its own largest loss"})
		return nil
	})
}

// largestLoss returns the rack whose loss takes the most hosts from pools other than the
// spare one, that number, and what pools would have to hold each for itself.
func largestLoss(s *site.Site, spare string) (rack failureDomain, lost, static int) {
	largest := make(map[string]int)
	hosts := hostsByDomain(s)
	keys := make([]failureDomain, 0, len(hosts))
	for key := range hosts {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b failureDomain) int {
		return slices.Compare([]string{a.zone, a.rack}, []string{b.zone, b.rack})
	})
	for _, key := range keys {
		total := 0
		for pool, n := range hosts[key] {
			largest[pool] = max(largest[pool], n)
			if pool != spare {
				total += n
			}
		}
		if total > lost {
			rack, lost = key, total
		}
	}
	for _, n := range largest {
		static += n
	}
	return rack, lost, static
}

// checkFloors reports whether every pool serves at its floor again.
func checkFloors(ctx context.Context, s *site.Site, d deployment, spare string) error {
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
