package ledger

import (
	"maps"
	"slices"

	"carawaymux.dev/fleet/host"
	"carawaymux.dev/fleet/record"
	"carawaymux.dev/fleet/wave"
)

func (s *State) applyHost(r *record.Record, version uint64, spec host.Spec) *refusal {
	if r.Object == "" {
		return refuse("object: must name the host")
	}
	if s.Pools[spec.Pool] == nil {
		return refuse("pool: there is no pool %q", spec.Pool)
	}
	h := s.Hosts[r.Object]
	if h == nil {
		if r.Base != 0 {
			return refuse("base %d: host %q does not exist", r.Base, r.Object)
		}
		h = &host.Host{Spec: spec, Version: version, Phase: host.Serving, HomePool: spec.Pool}
		h.AppendHistory(step(r, version, host.EventJoin))
		s.Hosts[r.Object] = h
		s.index.insert(r.Object, h)
		s.reviewNever(spec.Pool)
		s.changed.Routing = true
		return nil
	}
	if no := checkBase(r, h.Version, lastAuthor(h)); no != nil {
		return no
	}
	if spec.Pool != h.Spec.Pool {
		return refuse("pool: host %q belongs to %q; a move changes that", r.Object, h.Spec.Pool)
	}
	if spec.Zone != h.Spec.Zone {
		return refuse("zone: host %q is in zone %q, which never changes", r.Object, h.Spec.Zone)
	}
	if dimension := spec.Size.Shortfall(s.HostUsage(r.Object)); dimension != "" {
		return refuse("size.%s: less than the tasks placed on host %q hold", dimension, r.Object)
	}
	h.Spec, h.Version = spec, version
	s.reviewNever(spec.Pool)
	s.changed.Routing = true
	return nil
}

func lastAuthor(h *host.Host) string {
	if len(h.History) == 0 {
		return ""
	}
	return h.History[len(h.History)-1].Author
}

func step(r *record.Record, version uint64, event host.Event) host.HistoryEntry {
	return host.HistoryEntry{
		Offset: version - 1, At: r.At, Author: r.Author, Event: event,
		Rule: r.Reason.Rule, Figures: r.Reason.Figures,
	}
}

func (s *State) applyMove(r *record.Record, version uint64, m host.Move) *refusal {
	h := s.Hosts[r.Object]
	if h == nil {
		return refuse("object: there is no host %q", r.Object)
	}
	if no := checkBase(r, h.Version, lastAuthor(h)); no != nil {
		return no
	}
	if s.Pools[m.To] == nil {
		return refuse("to: there is no pool %q", m.To)
	}
	if m.To == h.Spec.Pool {
		return refuse("to: host %q belongs to pool %q already", r.Object, m.To)
	}
	if h.Phase != host.Serving {
		return refuse("host %q is %s; only a serving host can be moved", r.Object, h.Phase)
	}
	h.MoveTo, h.Loan, h.Version = m.To, m.Loan, version
	h.AppendHistory(step(r, version, host.EventMove))
	return nil
}

// applyHostChange moves hosts along their lives, all of the batch or none.
func (s *State) applyHostChange(r *record.Record, version uint64, c host.Change) *refusal {
	next := make(map[string]host.Phase, len(c.Hosts))
	leaving := make(map[string]int)
	for _, name := range c.Hosts {
		h := s.Hosts[name]
		if h == nil {
			return refuse("hosts: there is no host %q", name)
		}
		to, ok := s.hostLife.Next(h.Phase, c.Event)
		if !ok {
			return refuse("host %q is %s; %s is not possible", name, h.Phase, c.Event)
		}
		if no := s.checkHostEvent(name, h, c); no != nil {
			return no
		}
		next[name] = to
		if h.Phase == host.Serving && to != host.Serving {
			leaving[h.Spec.Pool]++
		}
	}
	if no := s.checkLeaving(c, leaving); no != nil {
		return no
	}
	for _, name := range c.Hosts {
		s.moveHost(name, next[name], r, version, c)
	}
	s.changed.Routing = true
	return nil
}

// checkLeaving holds planned departures to the budgets. Failures are facts and
// are never refused; they use up the budget instead.
func (s *State) checkLeaving(c host.Change, leaving map[string]int) *refusal {
	if c.Event != host.EventCordon && c.Event != host.EventQuarantine {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(leaving)) {
		if s.Headroom(name) < leaving[name] {
			return refuse("budget of pool %q does not let %d more go: %s",
				name, leaving[name], s.BudgetFigures(name))
		}
	}
	if w := s.Waves[c.Wave]; w != nil && w.Published.Spec.Parallel > 0 {
		out := s.outFor(c.Wave) + len(c.Hosts)
		if out > w.Published.Spec.Parallel {
			return refuse("wave %q takes %d hosts at once, this would be %d",
				c.Wave, w.Published.Spec.Parallel, out)
		}
	}
	return nil
}

// outFor counts the hosts that are out of service for a wave.
func (s *State) outFor(waveName string) int {
	n := 0
	for _, name := range s.Waves[waveName].PendingHosts {
		if h := s.Hosts[name]; h.Wave == waveName && h.Phase != host.Serving {
			n++
		}
	}
	return n
}

// checkHostEvent checks what an event needs beyond the phase.
func (s *State) checkHostEvent(name string, h *host.Host, c host.Change) *refusal {
	switch c.Event {
	case host.EventCordon:
		return s.checkCordon(name, h, c)
	case host.EventDrain:
		if c.Barrier < h.CordonVersion {
			return refuse("barrier %d of host %q is below its cordon at %d", c.Barrier, name, h.CordonVersion)
		}
		if n := s.TaskCount(name); n > 0 {
			return refuse("host %q still holds %d tasks", name, n)
		}
	case host.EventReboot:
		return s.checkReboot(name, h)
	case host.EventAssign:
		return s.checkAssign(name, h)
	}
	return nil
}

func (s *State) checkCordon(name string, h *host.Host, c host.Change) *refusal {
	if c.Wave == "" {
		if h.MoveTo == "" {
			return refuse("host %q is in no wave and has no move to make", name)
		}
		return nil
	}
	w := s.Waves[c.Wave]
	if w == nil {
		return refuse("wave: there is no wave %q", c.Wave)
	}
	if w.Phase != wave.Running {
		return refuse("wave %q is %s", c.Wave, w.Phase)
	}
	if _, todo := slices.BinarySearch(w.PendingHosts, name); !todo {
		return refuse("host %q is not to be maintained by wave %q", name, c.Wave)
	}
	return nil
}

func (s *State) checkReboot(name string, h *host.Host) *refusal {
	w := s.Waves[h.Wave]
	if w == nil {
		return refuse("host %q is in no wave", name)
	}
	if w.Phase != wave.Running {
		return refuse("wave %q is %s", h.Wave, w.Phase)
	}
	if s.Headroom(h.Spec.Pool) < 0 {
		return refuse("budget of pool %q is overdrawn: %s", h.Spec.Pool, s.BudgetFigures(h.Spec.Pool))
	}
	return nil
}

func (s *State) checkAssign(name string, h *host.Host) *refusal {
	if h.MoveTo == "" || s.Pools[h.MoveTo] == nil {
		return refuse("host %q has no pool to move to", name)
	}
	if s.Headroom(h.Spec.Pool) < 0 {
		return refuse("budget of pool %q is overdrawn: %s", h.Spec.Pool, s.BudgetFigures(h.Spec.Pool))
	}
	return nil
}

// moveHost puts a host into its next phase and keeps the index in step.
func (s *State) moveHost(
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
		s.finishHost(name, h, from)
	}
	s.index.insert(name, h)
	h.AppendHistory(step(r, version, c.Event))
}

// finishHost ends a host's part in its wave. Only a host that was rebooted after
// its cordon has been maintained.
func (s *State) finishHost(name string, h *host.Host, from host.Phase) {
	w := s.Waves[h.Wave]
	if w != nil && from == host.Returning && h.RebootVersion > h.CordonVersion {
		w.RemovePending(name)
	}
	h.Wave = ""
}
