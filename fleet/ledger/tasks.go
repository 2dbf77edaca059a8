package ledger

import (
	"carawaymux.dev/fleet/host"
	"carawaymux.dev/fleet/jobs"
	"carawaymux.dev/fleet/record"
)

func (s *State) applyJob(r *record.Record, version uint64, spec jobs.Spec) *rejection {
	if r.Object == "" {
		return reject("object: must name the job")
	}
	if s.Pools[spec.Pool] == nil {
		return reject("pool: there is no pool %q", spec.Pool)
	}
	if spec.Team != "" && s.Quotas[spec.Team] == nil {
		return reject("team: there is no quota for team %q", spec.Team)
	}
	old := s.Jobs[r.Object]
	if old == nil {
		if r.Base != 0 {
			return reject("base %d: job %q does not exist; a new job needs base 0", r.Base, r.Object)
		}
		j := &jobs.Job{Published: *versioned(r, version, spec), Tasks: make([]jobs.Task, spec.Tasks)}
		s.Jobs[r.Object] = j
		j.UnplaceableFor = s.unplaceableDimension(spec)
		return nil
	}
	if rejected := checkBase(r, old.Published.Version, old.Published.Author); rejected != nil {
		return rejected
	}
	if s.hasPlacedTasks(old) {
		return reject("job %q has placed tasks; cancel it before changing it", r.Object)
	}
	old.Published = *versioned(r, version, spec)
	old.Tasks = make([]jobs.Task, spec.Tasks)
	old.Cancelled = false
	old.UnplaceableFor = s.unplaceableDimension(spec)
	return nil
}

func (s *State) hasPlacedTasks(j *jobs.Job) bool {
	for _, t := range j.Tasks {
		if t.Host != "" {
			return true
		}
	}
	return false
}

// unplaceableDimension returns a dimension in which a task exceeds a host of the pool, or "" if the
// task fits on at least one empty host. It returns "" for a pool without hosts, since hosts that fit
// may still join.
func (s *State) unplaceableDimension(spec jobs.Spec) string {
	dimension := ""
	for _, name := range s.HostsOf(spec.Pool) {
		missing := s.Hosts[name].Spec.Size.Shortfall(spec.Size)
		if missing == "" {
			return ""
		}
		dimension = missing
	}
	return dimension
}

// updateUnplaceable recomputes the UnplaceableFor field of a pool's jobs after a host of the pool
// was published.
func (s *State) updateUnplaceable(poolName string) {
	for _, j := range s.Jobs {
		if j.Published.Spec.Pool == poolName {
			j.UnplaceableFor = s.unplaceableDimension(j.Published.Spec)
		}
	}
}

func (s *State) applyCancel(c jobs.Cancel) *rejection {
	for _, name := range c.Jobs {
		j := s.Jobs[name]
		if j == nil || j.Cancelled {
			continue
		}
		j.Cancelled = true
	}
	return nil
}

func (s *State) applyTeamCancel(c jobs.TeamCancel) *rejection {
	for _, name := range c.Jobs {
		if j := s.Jobs[name]; j != nil && j.Published.Spec.Team == c.Team {
			j.Cancelled = true
		}
	}
	return nil
}

// applyPlacement applies each item on its own. The record is rejected only if no item can be
// applied.
func (s *State) applyPlacement(r *record.Record, version uint64, placement jobs.Placement) *rejection {
	var first *rejection
	applied := 0
	for _, item := range placement.Items {
		rejected := s.applyItem(r, version, item)
		if rejected == nil {
			applied++
		} else if first == nil {
			first = rejected
		}
	}
	if applied == 0 {
		return first
	}
	return nil
}

func (s *State) applyItem(r *record.Record, version uint64, item jobs.PlacementItem) *rejection {
	j := s.Jobs[item.Job]
	if j == nil {
		return reject("items: there is no job %q", item.Job)
	}
	if item.Task >= len(j.Tasks) {
		return reject("items: job %q has %d tasks, no task %d", item.Job, len(j.Tasks), item.Task)
	}
	t := &j.Tasks[item.Task]
	if item.Act == jobs.ActStart {
		rejected := s.startTask(version, item, j, t)
		// The start time is not set by schema version 1, so that entries which know only that version
		// have the same state.
		if rejected == nil && r.Schema >= jobs.CrashSchema {
			t.StartedAt = r.At
		}
		return rejected
	}
	if item.Act == jobs.ActCrash && (r.Schema < jobs.CrashSchema || t.Host == "") {
		return reject("items: task %d of job %q has no host that could have crashed", item.Task, item.Job)
	}
	if t.Host != "" {
		s.index.removeTask(j, t.Host)
	}
	t.Remove(item.Act, r.At)
	return nil
}

func (s *State) startTask(version uint64, item jobs.PlacementItem, j *jobs.Job, t *jobs.Task) *rejection {
	spec := j.Published.Spec
	switch h := s.Hosts[item.Host]; {
	case j.Cancelled:
		return reject("items: job %q is cancelled", item.Job)
	case t.Finished:
		return reject("items: task %d of job %q has finished", item.Task, item.Job)
	case t.GivenUp():
		return reject("items: task %d of job %q is given up: %d hosts crashed under it", item.Task, item.Job, t.Crashes)
	case t.Host != "":
		return reject("items: task %d of job %q is on host %q", item.Task, item.Job, t.Host)
	case h == nil:
		return reject("items: there is no host %q", item.Host)
	case h.Spec.Pool != spec.Pool:
		return reject("items: host %q belongs to pool %q, but job %q runs in pool %q",
			item.Host, h.Spec.Pool, item.Job, spec.Pool)
	case h.Phase != host.Serving:
		return reject("items: host %q is %s; only a serving host can take a task", item.Host, h.Phase)
	default:
		free := h.Spec.Size.Sub(s.HostUsage(item.Host))
		if dimension := free.Shortfall(spec.Size); dimension != "" {
			return reject("items: host %q does not have enough %s left", item.Host, dimension)
		}
	}
	if dimension := s.ExceededQuota(spec.Team, spec.Size); dimension != "" {
		return reject("items: quota of team %q does not have enough %s left", spec.Team, dimension)
	}
	t.Host, t.Fence = item.Host, version
	s.index.addTask(j, item.Host)
	return nil
}

// ExceededQuota returns the first dimension in which one more task of the given size would exceed
// the team's quota, or "".
func (s *State) ExceededQuota(team string, size host.Resources) string {
	q := s.Quotas[team]
	if team == "" || q == nil {
		return ""
	}
	limit := host.Resources{
		Cores: q.Spec.Cores, MemoryMiB: q.Spec.MemoryMiB, Accelerators: q.Spec.Accelerators,
	}
	return limit.Shortfall(s.TeamUsage(team).Add(size))
}
