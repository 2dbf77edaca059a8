package plan

import (
	"cmp"
	"fmt"
	"slices"

	"carawaymux.dev/fleet/host"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wave"
)

// WaveCandidate is a host that a wave could take next.
type WaveCandidate struct {
	Host string
	Zone string
	Rack string
	// UnavailableInRack is the number of hosts of the rack that are already out of service.
	UnavailableInRack int
	// Tasks is the number of tasks that would have to move to other hosts.
	Tasks int
}

// HostOrder decides which host of a pool a wave takes next: the one that orders before all
// others.
type HostOrder interface {
	Compare(a, b WaveCandidate) int
}

// ByName takes hosts in the order of their names. It is the baseline.
type ByName struct{}

// Compare compares names.
func (ByName) Compare(a, b WaveCandidate) int { return cmp.Compare(a.Host, b.Host) }

// ByRack prefers hosts of racks that already have hosts out of service, so that the failure of
// another rack costs as little as possible; then hosts with the fewest tasks.
type ByRack struct{}

// Compare compares the hosts out of service in the racks, the tasks, the zones, the racks
// and the names.
func (ByRack) Compare(a, b WaveCandidate) int {
	return cmp.Or(
		cmp.Compare(b.UnavailableInRack, a.UnavailableInRack),
		cmp.Compare(a.Tasks, b.Tasks),
		cmp.Compare(a.Zone, b.Zone),
		cmp.Compare(a.Rack, b.Rack),
		cmp.Compare(a.Host, b.Host),
	)
}

// planWaves pauses, resumes and finishes waves, and lets running waves cordon hosts.
func planWaves[O HostOrder](r *round, order O) {
	var names []string
	for name, w := range r.state.Waves {
		if w.Phase == wave.Running || w.Phase == wave.Paused {
			names = append(names, name)
		}
	}
	// Older waves go first, so that concurrent waves do not starve each other.
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Compare(r.state.Waves[a].Published.Version, r.state.Waves[b].Published.Version)
	})
	for _, name := range names {
		w := r.state.Waves[name]
		failed := r.failedHosts(w)
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
	r.output.Drafts = append(r.output.Drafts, Draft{Object: name, Base: w.Version, Body: wave.Change{Event: event}, Reason: why})
}

func (r *round) failedHosts(w *wave.Wave) int {
	failed := 0
	for _, pool := range w.Published.Spec.Pools {
		for _, name := range r.state.HostsOf(pool) {
			if r.state.Hosts[name].Phase == host.Failed {
				failed++
			}
		}
	}
	return failed
}

func (r *round) waveRunning(name string) bool {
	w := r.state.Waves[name]
	return w != nil && w.Phase == wave.Running
}

func (r *round) waveCancelled(name string) bool {
	w := r.state.Waves[name]
	return w == nil || w.Phase == wave.Cancelled
}

// cordonNext cordons as many hosts of a wave as the budgets and the wave's own limit allow. It
// skips hosts of a zone with an unreachable entry and continues with the others.
func cordonNext[O HostOrder](r *round, order O, name string, w *wave.Wave) {
	unavailable := make(map[string]int)
	unavailableForWave := 0
	for _, h := range r.state.Hosts {
		if h.Phase != host.Serving {
			unavailable[h.Spec.Zone+"/"+h.Spec.Rack]++
			if h.Wave == name {
				unavailableForWave++
			}
		}
	}
	byPool := make(map[string][]WaveCandidate)
	var pools []string
	for _, hostName := range w.PendingHosts {
		h := r.state.Hosts[hostName]
		if h == nil || h.Phase != host.Serving || r.zone(h.Spec.Zone).unreachable || !r.live(hostName) || r.cordoned[hostName] {
			continue
		}
		if byPool[h.Spec.Pool] == nil {
			pools = append(pools, h.Spec.Pool)
		}
		byPool[h.Spec.Pool] = append(byPool[h.Spec.Pool], WaveCandidate{
			Host: hostName, Zone: h.Spec.Zone, Rack: h.Spec.Rack,
			UnavailableInRack: unavailable[h.Spec.Zone+"/"+h.Spec.Rack], Tasks: r.state.TaskCount(hostName),
		})
	}
	slices.Sort(pools)
	for _, pool := range pools {
		count := r.headroom[pool]
		if parallel := w.Published.Spec.Parallel; parallel > 0 {
			count = min(count, parallel-unavailableForWave)
		}
		unavailableForWave += cordonHosts(r, order, name, pool, byPool[pool], count)
	}
}

// cordonHosts drafts one record that cordons up to count hosts, and returns how many it cordons.
func cordonHosts[O HostOrder](r *round, order O, waveName, pool string, candidates []WaveCandidate, count int) int {
	count = min(count, len(candidates), record.MaxBatch)
	if count <= 0 {
		return 0
	}
	slices.SortFunc(candidates, order.Compare)
	hosts := make([]string, count)
	for i := range hosts {
		hosts[i] = candidates[i].Host
	}
	r.output.Drafts = append(r.output.Drafts, Draft{
		Body: host.Change{Event: host.EventCordon, Hosts: hosts, Wave: waveName},
		Reason: record.Reason{
			Rule: "wave-cordon", Figures: fmt.Sprintf("wave %s; %s: %s", waveName, pool, r.state.BudgetFigures(pool)),
		},
	})
	for _, name := range hosts {
		r.cordoned[name] = true
	}
	r.headroom[pool] -= count
	return count
}
