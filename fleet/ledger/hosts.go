package ledger

import (
	"maps"
	"slices"

	"carawaymux.dev/fleet/host"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wave"
)

func (s *State) applyHost(r *record.Record, version uint64, spec host.Spec) *rejection {
	if r.Object == "" {
		return reject("object: must name the host")
	}
	if s.Pools[spec.Pool] == nil {
		return reject("pool: there is no pool %q", spec.Pool)
	}
	h := s.Hosts[r.Object]
	if h == nil {
		if r.Base != 0 {
			return reject("base %d: host %q does not exist; a new host needs base 0", r.Base, r.Object)
		}
		h = &host.Host{Spec: spec, Version: version, Phase: host.Serving, HomePool: spec.Pool}
		h.AppendHistory(historyEntry(r, version, host.EventJoin))
		s.Hosts[r.Object] = h
		s.index.insert(r.Object, h)
		s.updateUnplaceable(spec.Pool)
		s.changed.Routing = true
		return nil
	}
	if rejected := checkBase(r, h.Version, lastAuthor(h)); rejected != nil {
		return rejected
	}
	if spec.Pool != h.Spec.Pool {
		return reject("pool: host %q belongs to pool %q; use a move to change its pool", r.Object, h.Spec.Pool)
	}
	if spec.Zone != h.Spec.Zone {
		return reject("zone: host %q is in zone %q; the zone of a host cannot be changed", r.Object, h.Spec.Zone)
	}
	if dimension := spec.Size.Shortfall(s.HostUsage(r.Object)); dimension != "" {
		return reject("size.%s: is less than the size of the tasks placed on host %q", dimension, r.Object)
	}
	h.Spec, h.Version = spec, version
	s.updateUnplaceable(spec.Pool)
	s.changed.Routing = true
	return nil
}

// lastAuthor returns the author of the newest entry in a host's history.
func lastAuthor(h *host.Host) string {
	if len(h.History) == 0 {
		return ""
	}
	return h.History[len(h.History)-1].Author
}

func historyEntry(r *record.Record, version uint64, event host.Event) host.HistoryEntry {
	return host.HistoryEntry{
		Offset: version - 1, At: r.At, Author: r.Author, Event: event,
		Rule: r.Reason.Rule, Figures: r.Reason.Figures,
	}
}

func (s *State) applyMove(r *record.Record, version uint64, m host.Move) *rejection {
	h := s.Hosts[r.Object]
	if h == nil {
		return reject("object: there is no host %q", r.Object)
	}
	if rejected := checkBase(r, h.Version, lastAuthor(h)); rejected != nil {
		return rejected
	}
	if s.Pools[m.To] == nil {
		return reject("to: there is no pool %q", m.To)
	}
	if m.To == h.Spec.Pool {
		return reject("to: host %q already belongs to pool %q", r.Object, m.To)
	}
	if h.Phase != host.Serving {
		return reject("host %q is %s; only a serving host can be moved", r.Object, h.Phase)
	}
	h.MoveTo, h.Loan, h.Version = m.To, m.Loan, version
	h.AppendHistory(historyEntry(r, version, host.EventMove))
	return nil
}

// applyHostChange applies an event to all hosts of the batch, or to none if one of them rejects it.
func (s *State) applyHostChange(r *record.Record, version uint64, c host.Change) *rejection {
	next := make(map[string]host.Phase, len(c.Hosts))
	leaving := make(map[string]int)
	for _, name := range c.Hosts {
		h := s.Hosts[name]
		if h == nil {
			return reject("hosts: there is no host %q", name)
		}
		to, ok := s.hostLifecycle.Next(h.Phase, c.Event)
		if !ok {
			return reject("host %q is %s; event %s is not possible in this phase", name, h.Phase, c.Event)
		}
		if rejected := s.checkHostEvent(name, h, c); rejected != nil {
			return rejected
		}
		next[name] = to
		if h.Phase == host.Serving && to != host.Serving {
			leaving[h.Spec.Pool]++
		}
	}
	if rejected := s.checkLeaving(c, leaving); rejected != nil {
		return rejected
	}
	for _, name := range c.Hosts {
		s.transitionHost(name, next[name], r, version, c)
	}
	s.changed.Routing = true
	return nil
}

// checkLeaving rejects cordons and quarantines that would take more hosts out of service than the
// budgets and the wave's limit allow. Failures are observed, not planned: the budget does not limit
// them, but they count against it.
func (s *State) checkLeaving(c host.Change, leaving map[string]int) *rejection {
	if c.Event != host.EventCordon && c.Event != host.EventQuarantine {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(leaving)) {
		if s.Headroom(name) < leaving[name] {
			return reject("budget of pool %q does not allow %d more hosts to leave service: %s",
				name, leaving[name], s.BudgetFigures(name))
		}
	}
	if w := s.Waves[c.Wave]; w != nil && w.Published.Spec.Parallel > 0 {
		unavailable := s.unavailableForWave(c.Wave) + len(c.Hosts)
		if unavailable > w.Published.Spec.Parallel {
			return reject("wave %q allows %d hosts out of service at once; this change would make it %d",
				c.Wave, w.Published.Spec.Parallel, unavailable)
		}
	}
	return nil
}

// unavailableForWave returns the number of hosts that are out of service for a wave.
func (s *State) unavailableForWave(waveName string) int {
	n := 0
	for _, name := range s.Waves[waveName].PendingHosts {
		if h := s.Hosts[name]; h.Wave == waveName && h.Phase != host.Serving {
			n++
		}
	}
	return n
}

// checkHostEvent checks the preconditions of an event other than the host's phase.
func (s *State) checkHostEvent(name string, h *host.Host, c host.Change) *rejection {
	switch c.Event {
	case host.EventCordon:
		return s.checkCordon(name, h, c)
	case host.EventDrain:
		if c.Barrier < h.CordonVersion {
			return reject("barrier %d of host %q is below its cordon version %d", c.Barrier, name, h.CordonVersion)
		}
		if n := s.TaskCount(name); n > 0 {
			return reject("host %q still holds %d tasks", name, n)
		}
	case host.EventReboot:
		return s.checkReboot(name, h)
	case host.EventAssign:
		return s.checkAssign(name, h)
	}
	return nil
}

func (s *State) checkCordon(name string, h *host.Host, c host.Change) *rejection {
	if c.Wave == "" {
		if h.MoveTo == "" {
			return reject("cordon of host %q names no wave, and the host has no pending move", name)
		}
		return nil
	}
	w := s.Waves[c.Wave]
	if w == nil {
		return reject("wave: there is no wave %q", c.Wave)
	}
	if w.Phase != wave.Running {
		return reject("wave %q is %s; only a running wave can cordon hosts", c.Wave, w.Phase)
	}
	if _, pending := slices.BinarySearch(w.PendingHosts, name); !pending {
		return reject("host %q is not waiting for maintenance by wave %q", name, c.Wave)
	}
	return nil
}

func (s *State) checkReboot(name string, h *host.Host) *rejection {
	w := s.Waves[h.Wave]
	if w == nil {
		return reject("host %q is not out of service for a wave, so it cannot be rebooted", name)
	}
	if w.Phase != wave.Running {
		return reject("wave %q is %s; only a running wave can reboot hosts", h.Wave, w.Phase)
	}
	if s.Headroom(h.Spec.Pool) < 0 {
		return reject("budget of pool %q is overdrawn: %s", h.Spec.Pool, s.BudgetFigures(h.Spec.Pool))
	}
	return nil
}

func (s *State) checkAssign(name string, h *host.Host) *rejection {
	if h.MoveTo == "" || s.Pools[h.MoveTo] == nil {
		return reject("host %q has no pending move to an existing pool", name)
	}
	if s.Headroom(h.Spec.Pool) < 0 {
		return reject("budget of pool %q is overdrawn: %s", h.Spec.Pool, s.BudgetFigures(h.Spec.Pool))
	}
	return nil
}

// transitionHost puts a host into its next phase, and updates the fields that the event concerns
// and the index.
func (s *State) transitionHost(
	name string, to host.Phase, r *record.Record, version uint64, c host.Change,
) {
	h := s.Hosts[name]
	s.index.remove(name, h)
	from := h.Phase
	h.Phase, h.Version = to, version
	switch c.Event {
	case host.EventCordon:
		h.Wave, h.CordonVersion = c.Wave, version
	case host.EventReboot:
		h.RebootVersion = version
	case host.EventAssign:
		if !h.Loan {
			h.HomePool = h.MoveTo
		}
		h.Spec.Pool, h.MoveTo, h.Loan = h.MoveTo, "", false
	case host.EventReturn:
		s.leaveWave(name, h, from)
	}
	s.index.insert(name, h)
	h.AppendHistory(historyEntry(r, version, c.Event))
}

// leaveWave takes a host out of its wave. The host counts as maintained only if it was rebooted
// after its cordon.
func (s *State) leaveWave(name string, h *host.Host, from host.Phase) {
	w := s.Waves[h.Wave]
	if w != nil && from == host.Returning && h.RebootVersion > h.CordonVersion {
		w.RemovePending(name)
	}
	h.Wave = ""
}
