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
	// bufferBound limits the idle hosts, relative to the fewest that make up for the loss
	// of the largest rack.
	bufferBound = 1.15
	// repairTimeout limits the time until all pools serve with their floor again.
	repairTimeout = 40 * time.Second
)

// failureDomain is a rack of a zone, whose hosts may fail together.
type failureDomain struct{ zone, rack string }

// hostsByDomain returns, for each rack, the number of its hosts in each pool.
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

// buffer measures how many idle hosts the fleet needs to survive the loss of its largest
// rack. Pools have no surplus of their own: the spare pool holds it for all pools and lends
// hosts to them. buffer takes the rack down and waits until every pool has its floor again.
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
		if err := procs.WaitFor(waiting, "hosts of the lost rack are out of service", func(ctx context.Context) error {
			if checkFloors(ctx, s, d, spare) == nil {
				return errors.New("every pool still serves with its floor")
			}
			return nil
		}); err != nil {
			return err
		}
		err := procs.WaitFor(waiting, "every pool serves with its floor again", func(ctx context.Context) error { return checkFloors(ctx, s, d, spare) })
		if err != nil {
			return err
		}
		note := fmt.Sprintf("rack %s/%s lost; every pool served with its floor again after %.1f s", worst.zone, worst.rack, time.Since(begin).Seconds())
		h.addRow(Row{d.name, "buffer-cost", "loans-from-spare", float64(lost), "hosts idle", bufferBound * float64(lost), note})
		h.addRow(Row{d.name, "buffer-cost", "computed-limit", float64(lost), "hosts idle", 0, "most hosts outside the spare pool in one rack"})
		h.addRow(Row{d.name, "buffer-cost", "static-shares", float64(static), "hosts idle", 0, "computed: each pool holds its own largest loss"})
		return nil
	})
}

// largestLoss returns the rack with the most hosts outside the spare pool, the number lost
// of these hosts, and the number of idle hosts that static shares need: each pool holds as
// many as it can lose with one rack.
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

// checkFloors returns an error if a pool other than the spare pool serves with fewer hosts
// than its floor.
func checkFloors(ctx context.Context, s *site.Site, d deployment, spare string) error {
	pools, err := s.Entries[0].Client.Objects(ctx, record.KindPool, 0)
	if err != nil {
		return err
	}
	for _, p := range pools.Objects {
		if p.Name != spare && p.Status.Serving < hostsPerPool {
			return fmt.Errorf("pool %s serves with %d hosts, its floor is %d", p.Name, p.Status.Serving, hostsPerPool)
		}
	}
	return nil
}
