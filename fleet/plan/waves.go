package plan

import (
	"cmp"
	"fmt"
	"slices"

	"carawaymux.dev/fleet/host"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wave"
)

// Choice is a host that a wave could take next.
type Choice struct {
	Host string
	Zone string
	Rack string
	// OutInRack is the number of hosts of the rack that are out already.
	OutInRack int
	// Tasks is the number of tasks that would have to go elsewhere.
	Tasks int
}

// Order decides which host of a pool a wave takes next: the one that is less than all
// others.
type Order interface {
	Compare(a, b Choice) int
}

// ByName takes hosts by name. It is the baseline.
type ByName struct{}

// Compare compares names.
func (ByName) Compare(a, b Choice) int { return cmp.Compare(a.Host, b.Host) }

// ByRack takes hosts of racks that are partly out already, so that one more failed
// rack costs as little as possible; then those with the fewest tasks.
type ByRack struct{}

// Compare compares the hosts out in the racks, the tasks and the names.
func (ByRack) Compare(a, b Choice) int {
	return cmp.Or(
		cmp.Compare(b.OutInRack, a.OutInRack),
		cmp.Compare(a.Tasks, b.Tasks),
		cmp.Compare(a.Zone, b.Zone),
		cmp.Compare(a.Rack, b.Rack),
		cmp.Compare(a.Host, b.Host),
	)
}

// planWaves pauses, resumes and ends waves and lets running ones cordon hosts.
func planWaves[O Order](r *round, order O) {
	var names []string
	for name, w := range r.s.Waves {
		if w.Phase == wave.Running || w.Phase == wave.Paused {
			names = append(names, name)
		}
	}
	// Older waves go first, so that two at once do not starve each other.
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Compare(r.s.Waves[a].Published.Version, r.s.Waves[b].Published.Version)
	})
	for _, name := range names {
		w := r.s.Waves[name]
		failed := r.failedIn(w)
		limit := w.Published.Spec.PauseThreshold()
		figures := fmt.Sprintf("%d failed hosts in its pools, the limit is %d", failed, limit)
		switch {
		case w.Phase == wave.Running && failed >= limit:
			r.changeWave(name, w, wave.EventPause, record.Reason{Rule: "correlated-failure", Figures: figures})
		case w.Phase == wave.Paused && failed < limit:
			r.changeWave(name, w, wave.EventResume, record.Reason{Rule: "failures-repaired", Figures: figures})
		case w.Phase == wave.Running && len(w.PendingHosts) == 0:
			r.changeWave(name, w, wave.EventFinish, record.Reason{
				Rule: "all-hosts-maintained", Figures: fmt.Sprintf("%d hosts", w.TotalHosts),
			})
		case w.Phase == wave.Running:
			cordonNext(r, order, name, w)
		}
	}
}

func (r *round) changeWave(name string, w *wave.Wave, event wave.Event, why record.Reason) {
	r.out.Drafts = append(r.out.Drafts, Draft{Object: name, Base: w.Version, Body: wave.Change{Event: event}, Reason: why})
}

func (r *round) failedIn(w *wave.Wave) int {
	failed := 0
	for _, pool := range w.Published.Spec.Pools {
		for _, name := range r.s.HostsOf(pool) {
			if r.s.Hosts[name].Phase == host.Failed {
				failed++
			}
		}
	}
	return failed
}

func (r *round) waveRunning(name string) bool {
	w := r.s.Waves[name]
	return w != nil && w.Phase == wave.Running
}

func (r *round) waveOver(name string) bool {
	w := r.s.Waves[name]
	return w == nil || w.Phase == wave.Cancelled
}

// cordonNext cordons as many hosts of a wave as budgets and the wave's own bound
// allow. Hosts of a zone with a silent entry are left alone; the rest goes on.
func cordonNext[O Order](r *round, order O, name string, w *wave.Wave) {
	out := make(map[string]int)
	outForWave := 0
	for _, h := range r.s.Hosts {
		if h.Phase != host.Serving {
			out[h.Spec.Zone+"/"+h.Spec.Rack]++
			if h.Wave == name {
				outForWave++
			}
		}
	}
	byPool := make(map[string][]Choice)
	var pools []string
	for _, hostName := range w.PendingHosts {
		h := r.s.Hosts[hostName]
		if h == nil || h.Phase != host.Serving || r.zone(h.Spec.Zone).silent || !r.live(hostName) || r.cordons[hostName] {
			continue
		}
		if byPool[h.Spec.Pool] == nil {
			pools = append(pools, h.Spec.Pool)
		}
		byPool[h.Spec.Pool] = append(byPool[h.Spec.Pool], Choice{
			Host: hostName, Zone: h.Spec.Zone, Rack: h.Spec.Rack,
			OutInRack: out[h.Spec.Zone+"/"+h.Spec.Rack], Tasks: r.s.TaskCount(hostName),
		})
	}
	slices.Sort(pools)
	for _, pool := range pools {
		take := r.room[pool]
		if parallel := w.Published.Spec.Parallel; parallel > 0 {
			take = min(take, parallel-outForWave)
		}
		outForWave += cordon(r, order, name, pool, byPool[pool], take)
	}
}

// cordon drafts the cordon of up to take hosts, one record for all of them.
func cordon[O Order](r *round, order O, waveName, pool string, choices []Choice, take int) int {
	take = min(take, len(choices), record.MaxBatch)
	if take <= 0 {
		return 0
	}
	slices.SortFunc(choices, order.Compare)
	hosts := make([]string, take)
	for i := range hosts {
		hosts[i] = choices[i].Host
	}
	r.out.Drafts = append(r.out.Drafts, Draft{
		Body: host.Change{Event: host.EventCordon, Hosts: hosts, Wave: waveName},
		Reason: record.Reason{
			Rule: "wave-cordon", Figures: fmt.Sprintf("wave %s; %s: %s", waveName, pool, r.s.BudgetFigures(pool)),
		},
	})
	for _, name := range hosts {
		r.cordons[name] = true
	}
	r.room[pool] -= take
	return take
}
