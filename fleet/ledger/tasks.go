package ledger

import (
	"carawaymux.dev/fleet/host"
	"carawaymux.dev/fleet/jobs"
	"carawaymux.dev/fleet/record"
)

func (s *State) applyJob(r *record.Record, version uint64, spec jobs.Spec) *refusal {
	if r.Object == "" {
		return refuse("object: must name the job")
	}
	if s.Pools[spec.Pool] == nil {
		return refuse("pool: there is no pool %q", spec.Pool)
	}
	if spec.Team != "" && s.Quotas[spec.Team] == nil {
		return refuse("team: there is no quota for team %q", spec.Team)
	}
	old := s.Jobs[r.Object]
	if old == nil {
		if r.Base != 0 {
			return refuse("base %d: job %q does not exist", r.Base, r.Object)
		}
		j := &jobs.Job{Published: *versioned(r, version, spec), Tasks: make([]jobs.Task, spec.Tasks)}
		s.Jobs[r.Object] = j
		j.UnplaceableFor = s.never(spec)
		return nil
	}
	if no := checkBase(r, old.Published.Version, old.Published.Author); no != nil {
		return no
	}
	if s.placed(old) {
		return refuse("job %q has tasks placed; cancel it before it is changed", r.Object)
	}
	old.Published = *versioned(r, version, spec)
	old.Tasks = make([]jobs.Task, spec.Tasks)
	old.Cancelled = false
	old.UnplaceableFor = s.never(spec)
	return nil
}

func (s *State) placed(j *jobs.Job) bool {
	for _, t := range j.Tasks {
		if t.Host != "" {
			return true
		}
	}
	return false
}

// never names the dimension in which no host of the pool could hold a task even
// when empty. A pool without hosts is no verdict on the job.
func (s *State) never(spec jobs.Spec) string {
	dimension := ""
	for _, name := range s.HostsOf(spec.Pool) {
		short := s.Hosts[name].Spec.Size.Short(spec.Size)
		if short == "" {
			return ""
		}
		dimension = short
	}
	return dimension
}

// reviewNever looks again at the jobs of a pool whose hosts have changed.
func (s *State) reviewNever(poolName string) {
	for _, j := range s.Jobs {
		if j.Published.Spec.Pool == poolName {
			j.UnplaceableFor = s.never(j.Published.Spec)
		}
	}
}

func (s *State) applyCancel(c jobs.Cancel) *refusal {
	for _, name := range c.Jobs {
		j := s.Jobs[name]
		if j == nil || j.Cancelled {
			continue
		}
		j.Cancelled = true
	}
	return nil
}

// applyPlacement judges each item by itself. The record is rejected only when no
// item fits.
func (s *State) applyPlacement(version uint64, b jobs.Placement) *refusal {
	var first *refusal
	done := 0
	for _, it := range b.Items {
		no := s.applyItem(version, it)
		if no == nil {
			done++
		} else if first == nil {
			first = no
		}
	}
	if done == 0 {
		return first
	}
	return nil
}

func (s *State) applyItem(version uint64, it jobs.PlacementItem) *refusal {
	j := s.Jobs[it.Job]
	if j == nil {
		return refuse("items: there is no job %q", it.Job)
	}
	if it.Task >= len(j.Tasks) {
		return refuse("items: job %q has %d tasks, no task %d", it.Job, len(j.Tasks), it.Task)
	}
	t := &j.Tasks[it.Task]
	if it.Act == jobs.ActStart {
		return s.startTask(version, it, j, t)
	}
	if t.Host != "" {
		s.index.unplace(j, t.Host)
	}
	t.Host, t.Fence = "", 0
	t.Finished = t.Finished || it.Act == jobs.ActFinish
	return nil
}

func (s *State) startTask(version uint64, it jobs.PlacementItem, j *jobs.Job, t *jobs.Task) *refusal {
	spec := j.Published.Spec
	switch h := s.Hosts[it.Host]; {
	case j.Cancelled:
		return refuse("items: job %q is cancelled", it.Job)
	case t.Finished:
		return refuse("items: task %d of job %q has finished", it.Task, it.Job)
	case t.Host != "":
		return refuse("items: task %d of job %q is on host %q", it.Task, it.Job, t.Host)
	case h == nil:
		return refuse("items: there is no host %q", it.Host)
	case h.Spec.Pool != spec.Pool:
		return refuse("items: host %q belongs to pool %q, job %q to %q",
			it.Host, h.Spec.Pool, it.Job, spec.Pool)
	case h.Phase != host.Serving:
		return refuse("items: host %q is %s", it.Host, h.Phase)
	default:
		free := h.Spec.Size.Sub(s.Used(it.Host))
		if dimension := free.Short(spec.Size); dimension != "" {
			return refuse("items: host %q is short of %s", it.Host, dimension)
		}
	}
	if dimension := s.OverQuota(spec.Team, spec.Size); dimension != "" {
		return refuse("items: team %q has no quota of %s left", spec.Team, dimension)
	}
	t.Host, t.Fence = it.Host, version
	s.index.place(j, it.Host)
	return nil
}

// OverQuota names the dimension in which a team's quota does not hold one more
// task of the size, or "".
func (s *State) OverQuota(team string, size host.Size) string {
	q := s.Quotas[team]
	if team == "" || q == nil {
		return ""
	}
	limit := host.Size{
		Cores: q.Spec.Cores, MemoryMiB: q.Spec.MemoryMiB, Accelerators: q.Spec.Accelerators,
	}
	return limit.Short(s.TeamUsed(team).Add(size))
}
