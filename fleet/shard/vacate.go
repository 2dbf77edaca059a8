package shard

import (
	"maps"
	"time"

	"carawaymux.dev/fleet/batch"
)

const (
	// checkpointStopDelay is how long a host that is being emptied keeps work that can resume
	// from a checkpoint. Most work ends by itself before that.
	checkpointStopDelay = 1500 * time.Millisecond
	// forcedStopDelay is how long it keeps other work.
	forcedStopDelay = 6 * time.Second
	// emptyingPatience is the time after which a host that is being emptied, and is not empty, takes work that no other
	// host takes: long-running work if a long-running task there may not be stopped or finds no room elsewhere, and work of
	// late jobs of which nothing runs. It is well below the time within which such work has to be started.
	emptyingPatience = 2 * time.Second
)

// mayTake reports whether the host takes work of a kind although it is being emptied. A host takes none while its
// machine may be ordered because it was called empty.
func (h *Host) mayTake(kind workKind, now time.Time) bool {
	emptyingFor := now.Sub(h.CordonedAt)
	switch {
	case kind == anyWork || !now.After(h.CalledEmptyUntil) || len(h.Assigned) == 0 || emptyingFor <= emptyingPatience:
		return false
	case h.blocked:
		return true
	}
	return kind == starvedWork && emptyingFor <= forcedStopDelay
}

// Vacate cordons a host for a time, and stops the tasks there that can be moved. It stops no more
// tasks of a long-running step than may be unavailable, and other tasks after a delay in which
// most of them end. It reports whether the host is empty. A host that an earlier owner may have given work
// to is not empty before it has listed all its ends, which would be lost with it, or its lease has expired.
func (s *State) Vacate(h *Host, now time.Time, cordon time.Duration) bool {
	if now.After(h.CordonedUntil) {
		h.CordonedAt = now
	}
	if until := now.Add(cordon); until.After(h.CordonedUntil) {
		h.CordonedUntil = until
	}
	h.blocked = false
	var moves *relocation
	for r, task := range h.Assigned {
		j, stage, _ := s.task(r)
		if stage == nil || task.Status != Running {
			continue
		}
		step := &j.Spec.Steps[r.Step]
		// Work may have started there since.
		waited := min(now.Sub(h.CordonedAt), now.Sub(task.OrderedAt))
		switch {
		case step.LongRunning:
			if !s.mayStop(step, stage, now) {
				h.blocked = true
				break
			}
			if moves == nil {
				moves = s.newRelocation(now)
			}
			placed := moves.place(r, step, stage, task)
			moves.keepRoom(r, step, stage, placed)
			if placed {
				s.orderStop(r, task, "host is being emptied")
			} else {
				h.blocked = true
			}
		case step.Checkpoints && waited > checkpointStopDelay, waited > forcedStopDelay:
			s.orderStop(r, task, "host is being emptied")
		}
	}
	return !s.isPrior(h, now) && s.isPresent(h, now) && len(h.Assigned) == 0 && h.UnknownRuns == 0
}

// isPresent reports whether a host is still the one on its machine, as far as is known. Otherwise another host may be at
// work there. After a lease without an answer, the list of machines would show that one.
func (s *State) isPresent(h *Host, now time.Time) bool {
	switch {
	case !h.EndedAt.IsZero():
		return false
	case !h.Confirmed, s.leaseExpired(h, now):
		return true
	}
	return !h.Unreachable && now.Sub(h.LastAnswer) <= silentTimeout
}

// NoteLeave notes the order by which a host is emptied.
func (s *State) NoteLeave(h *Host, o LeaveOrder) { h.leave = o }

// unlistedCordon is the cordon of a host that is not known yet.
type unlistedCordon struct{ since, until time.Time }

// CordonUnlisted cordons a host that is not known yet, and returns since when it has been cordoned. A host that joins before
// the cordon expires takes no work until then, so that one which was called empty stays empty.
func (s *State) CordonUnlisted(host string, now time.Time, cordon time.Duration) time.Time {
	maps.DeleteFunc(s.unlistedCordons, func(_ string, c unlistedCordon) bool { return now.After(c.until) })
	c, ok := s.unlistedCordons[host]
	if !ok {
		c.since = now
	}
	c.until = now.Add(cordon)
	s.unlistedCordons[host] = c
	return c.since
}

// RestoreCordon cordons a host that an earlier owner has called empty.
func (s *State) RestoreCordon(host string, now time.Time, cordon time.Duration) {
	if h := s.Hosts[host]; h != nil {
		h.CordonedAt, h.CordonedUntil, h.CalledEmptyUntil, h.leave = now, now.Add(cordon), now.Add(cordon), LeaveOrder{}
		return
	}
	s.CordonUnlisted(host, now, cordon)
}

// applyUnlistedCordon cordons a host that has joined after a request to empty it.
func (s *State) applyUnlistedCordon(h *Host, now time.Time) {
	if c, ok := s.unlistedCordons[h.ID]; ok {
		delete(s.unlistedCordons, h.ID)
		// It may have been called empty.
		h.CordonedAt, h.CordonedUntil, h.CalledEmptyUntil, h.leave = now, c.until, c.until, LeaveOrder{}
	}
}

// relocation holds the room on the hosts of a pool that long-running tasks which wait, are being stopped or are to be
// stopped will not take.
type relocation struct {
	state *State
	hosts candidates
	now   time.Time
	// taken holds the hosts that tasks will take.
	taken map[*Stage]map[string]int
}

// newRelocation returns the room that long-running tasks leave which wait or are being stopped.
func (s *State) newRelocation(now time.Time) *relocation {
	m := &relocation{state: s, hosts: s.candidates(now), now: now, taken: map[*Stage]map[string]int{}}
	if s.backlog.longRunningTasks > 0 {
		for _, w := range s.backlog.steps {
			if w.step.LongRunning {
				m.placeIdle(w)
			}
		}
	}
	for _, h := range s.sortedHosts() {
		for r, task := range h.Assigned {
			j, stage, _ := s.task(r)
			if stage != nil && j.Phase == Open && j.Spec.Steps[r.Step].LongRunning && (task.Status == Stopping || task.Status == Uncertain) {
				m.place(r, &j.Spec.Steps[r.Step], stage, task)
			}
		}
	}
	return m
}

// placeIdle places the tasks of a step that wait.
func (m *relocation) placeIdle(w *waitingStep) {
	w.stage.expand()
	r := w.ref()
	for i := range w.stage.Tasks {
		if task := &w.stage.Tasks[i]; task.Status == Idle && !task.closed() {
			r.Index = i
			m.place(r, w.step, w.stage, task)
		}
	}
}

// place takes the room for a task on a host, and reports whether there was any.
func (m *relocation) place(r batch.Ref, step *batch.Step, stage *Stage, task *Task) bool {
	permitted := m.state.permitFilter(r, m.now)
	c := m.state.pickHost(step, stage, task, m.hosts, func(h *Host) bool {
		spread := step.PerHost == 0 || tasksOnHost(stage, h.ID)+m.taken[stage][h.ID] < step.PerHost
		return spread && (permitted == nil || permitted(h))
	}, m.now)
	if c == nil {
		return false
	}
	c.free = c.free.Sub(step.Reservation())
	if m.taken[stage] == nil {
		m.taken[stage] = map[string]int{}
	}
	m.taken[stage][c.host.ID]++
	return true
}

// keptRoom is room on a host that is kept for a long-running task which is to move there.
type keptRoom struct {
	ref   batch.Ref
	need  batch.Size
	until time.Time
}

// keepTime is how long room is kept after the request to empty the host of its task. It covers the next request, and the stop of
// the task.
const keepTime = time.Second

// keepRoom keeps room on a host for a long-running task that is to move. If the task was not placed, no host has room now, and work that
// ends would take each core that becomes free. Room is kept for as many tasks of a step as may be stopped.
func (m *relocation) keepRoom(r batch.Ref, step *batch.Step, stage *Stage, placed bool) {
	others := 0
	for _, h := range m.state.sortedHosts() {
		k := &h.kept
		if !m.now.Before(k.until) || k.ref.Job != r.Job || k.ref.Occurrence != r.Occurrence || k.ref.Step != r.Step {
			continue
		}
		if k.ref == r {
			k.until = m.now.Add(keepTime)
			return
		}
		others++
	}
	if placed || others >= max(step.MaxUnavailable, 1) {
		return
	}
	permitted := m.state.permitFilter(r, m.now)
	need := step.Reservation()
	var best *candidate
	for _, c := range m.hosts {
		switch h := c.host; {
		case m.now.Before(h.kept.until), !h.Capacity.Sub(h.longRunningUsed).Fits(need), !labelAllows(h, step.RequiredLabel):
		case step.PerHost > 0 && tasksOnHost(stage, h.ID)+m.taken[stage][h.ID] >= step.PerHost, permitted != nil && !permitted(h):
		case best == nil || c.free.MilliCores > best.free.MilliCores:
			best = c
		}
	}
	if best != nil {
		best.host.kept = keptRoom{r, need, m.now.Add(keepTime)}
	}
}

// mayStop reports whether one more task of a long-running step may be stopped by an order. One task
// may be unavailable even if MaxUnavailable is 0, so that its host can be emptied.
func (s *State) mayStop(step *batch.Step, stage *Stage, now time.Time) bool {
	return s.unavailable(stage, now) < max(step.MaxUnavailable, 1)
}

// servingPercent is the progress from which on a long-running task serves.
const servingPercent = 100

// silentTimeout is the time without an answer after which a host counts as silent and may be
// lost. An answer is due every second.
const silentTimeout = 1200 * time.Millisecond

// unavailable returns the number of tasks of a long-running step that are not known to serve.
func (s *State) unavailable(stage *Stage, now time.Time) int {
	n := 0
	for i := range stage.Tasks {
		task := &stage.Tasks[i]
		h := s.Hosts[task.Host]
		if task.Status != Running || task.Percent < servingPercent || h == nil || now.Sub(h.LastAnswer) > silentTimeout {
			n++
			continue
		}
		if now.Sub(h.FirstAnswer) < s.Timing.StopTimeout+silentTimeout {
			// A stop that an earlier owner has ordered may not show in the report yet.
			n++
		}
	}
	return n
}
