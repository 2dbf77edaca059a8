package ledger

import (
	"slices"

	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wave"
)

func (s *State) applyWave(r *record.Record, version uint64, spec wave.Spec) *refusal {
	if r.Object == "" {
		return refuse("object: must name the wave")
	}
	for _, name := range spec.Pools {
		if s.Pools[name] == nil {
			return refuse("pools: there is no pool %q", name)
		}
	}
	old := s.Waves[r.Object]
	if old == nil {
		if r.Base != 0 {
			return refuse("base %d: wave %q does not exist", r.Base, r.Object)
		}
		s.Waves[r.Object] = s.newWave(r, version, spec)
		return nil
	}
	if no := checkBase(r, old.Version, old.Published.Author); no != nil {
		return no
	}
	if !slices.Equal(spec.Pools, old.Published.Spec.Pools) {
		return refuse("pools: a wave's pools stay as they are; start another wave")
	}
	old.Published, old.Version = *versioned(r, version, spec), version
	return nil
}

func (s *State) newWave(r *record.Record, version uint64, spec wave.Spec) *wave.Wave {
	w := &wave.Wave{
		Published: *versioned(r, version, spec), Version: version, Phase: wave.Running, Reason: r.Reason,
	}
	for _, name := range spec.Pools {
		w.PendingHosts = append(w.PendingHosts, s.HostsOf(name)...)
	}
	slices.Sort(w.PendingHosts)
	w.TotalHosts = len(w.PendingHosts)
	return w
}

func (s *State) applyWaveChange(r *record.Record, version uint64, c wave.Change) *refusal {
	w := s.Waves[r.Object]
	if w == nil {
		return refuse("object: there is no wave %q", r.Object)
	}
	if no := checkBase(r, w.Version, w.Published.Author); no != nil {
		return no
	}
	to, ok := s.waveLife.Next(w.Phase, c.Event)
	if !ok {
		return refuse("wave %q is %s; %s is not possible", r.Object, w.Phase, c.Event)
	}
	if c.Event == wave.EventFinish && len(w.PendingHosts) > 0 {
		return refuse("wave %q has %d hosts to maintain", r.Object, len(w.PendingHosts))
	}
	w.Phase, w.Version, w.Reason = to, version, r.Reason
	return nil
}
