package ledger

import (
	"slices"

	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wave"
)

func (s *State) applyWave(r *record.Record, version uint64, spec wave.Spec) *rejection {
	if r.Object == "" {
		return reject("object: must name the wave")
	}
	for _, name := range spec.Pools {
		if s.Pools[name] == nil {
			return reject("pools: there is no pool %q", name)
		}
	}
	old := s.Waves[r.Object]
	if old == nil {
		if r.Base != 0 {
			return reject("base %d: wave %q does not exist; a new wave needs base 0", r.Base, r.Object)
		}
		s.Waves[r.Object] = s.newWave(r, version, spec)
		return nil
	}
	if rejected := checkBase(r, old.Version, old.Published.Author); rejected != nil {
		return rejected
	}
	if !slices.Equal(spec.Pools, old.Published.Spec.Pools) {
		return reject("pools: the pools of a wave cannot be changed; start another wave")
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

func (s *State) applyWaveChange(r *record.Record, version uint64, c wave.Change) *rejection {
	w := s.Waves[r.Object]
	if w == nil {
		return reject("object: there is no wave %q", r.Object)
	}
	if rejected := checkBase(r, w.Version, w.Published.Author); rejected != nil {
		return rejected
	}
	to, ok := s.waveLifecycle.Next(w.Phase, c.Event)
	if !ok {
		return reject("wave %q is %s; event %s is not possible in this phase", r.Object, w.Phase, c.Event)
	}
	if c.Event == wave.EventFinish && len(w.PendingHosts) > 0 {
		return reject("wave %q still has %d hosts to maintain", r.Object, len(w.PendingHosts))
	}
	w.Phase, w.Version, w.Reason = to, version, r.Reason
	return nil
}
