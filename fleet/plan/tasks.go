package plan

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"carawaymux.dev/fleet/host"
	"carawaymux.dev/fleet/jobs"
	"carawaymux.dev/fleet/place"
	"carawaymux.dev/fleet/plat"
	"carawaymux.dev/fleet/record"
)

// leaseMargin is added to a lease's term before a task of a failed host is started elsewhere,
// because the platform measures the term by its own clock.
const leaseMargin = time.Second

// RenewalsPerTerm is how many times the lease of a task is renewed within its term.
const RenewalsPerTerm = 3

// placeTasks drafts one batch of placements and the calls for tasks that are placed.
func (r *round) placeTasks() {
	usage := make(map[TaskKey]plat.TaskUsage, len(r.input.Usage))
	for _, u := range r.input.Usage {
		usage[TaskKey{u.Job, u.Task}] = u
	}
	maps.DeleteFunc(r.lostTasks, func(key TaskKey, fence uint64) bool {
		j := r.state.Jobs[key.Job]
		return j == nil || key.Task >= len(j.Tasks) || j.Tasks[key.Task].Fence != fence
	})
	oversized := r.oversizedTasks(usage)
	var items []jobs.PlacementItem
	for _, name := range slices.Sorted(maps.Keys(r.state.Jobs)) {
		j := r.state.Jobs[name]
		for i, t := range j.Tasks {
			if t.Host == "" || len(items) >= record.MaxBatch {
				continue
			}
			key := TaskKey{name, i}
			if act := r.reviewTask(key, j, t, usage, oversized); act != "" {
				items = append(items, jobs.PlacementItem{Job: name, Task: i, Act: act})
			}
		}
	}
	limit := record.MaxBatch - len(items)
	items = append(items, r.startTasks(limit, usage)...)
	if len(items) == 0 {
		return
	}
	r.output.Drafts = append(r.output.Drafts, Draft{
		Schema: min(r.state.OpenSchema(record.KindPlacement), jobs.CrashSchema),
		Body:   jobs.Placement{Items: items},
		Reason: record.Reason{
			Rule: "place-tasks", Figures: fmt.Sprintf("%d steps for tasks, sizes corrected by usage", len(items)),
		},
	})
}

// reviewTask renews a placed task's lease or asks the platform to stop the task. It returns the
// act to record for the task, or "" for none.
func (r *round) reviewTask(
	key TaskKey, j *jobs.Job, t jobs.Task, usage map[TaskKey]plat.TaskUsage, oversized map[TaskKey]bool,
) jobs.Act {
	h := r.state.Hosts[t.Host]
	u, reported := usage[key]
	reported = reported && u.Fence == t.Fence
	r.observeLoss(key, t, reported && u.State == plat.TaskRunning)
	failedFor := r.conditions.heldFor(condition{"host failed", key.Job, key.Task}, h.Phase == host.Failed, r.input.Now)
	switch {
	case reported && u.State == plat.TaskFinished:
		return jobs.ActFinish
	case reported && u.State == plat.TaskFailed:
		return r.removalAct(key, t)
	case r.input.StoppedTasks[key] == t.Fence:
		return r.removalAct(key, t)
	case h.Phase == host.Failed:
		// The lease is no longer renewed; after its term the platform has stopped the task.
		if failedFor > r.timing.TaskLeaseTerm+leaseMargin {
			return r.removalAct(key, t)
		}
	case h.Phase != host.Serving || j.Cancelled || oversized[key] || r.lostTasks[key] == t.Fence:
		r.output.Calls = append(r.output.Calls, Call{Verb: VerbStop, Host: t.Host, Fence: t.Fence, Task: key})
	default:
		r.output.Calls = append(r.output.Calls, Call{
			Verb: VerbStart, Host: t.Host, Fence: t.Fence, Task: key,
			Start: plat.TaskStart{
				Fence: t.Fence, TermMS: r.timing.TaskLeaseTerm.Milliseconds(), Size: j.Published.Spec.Size,
				RunSeconds: j.Published.Spec.RunSeconds,
			},
		})
	}
	return ""
}

// observeLoss notes a task that does not run while its host is down. The host may return before it
// counts as failed; the platform would then start the task there again when its lease is renewed, and
// the crash would not be counted.
func (r *round) observeLoss(key TaskKey, t jobs.Task, running bool) {
	if r.countsCrashes() && r.down(t.Host) && r.input.Usage != nil && !running {
		r.lostTasks[key] = t.Fence
	}
}

// countsCrashes reports whether every entry knows the act ActCrash.
func (r *round) countsCrashes() bool {
	return r.state.OpenSchema(record.KindPlacement) >= jobs.CrashSchema
}

// removalAct returns the act that takes a task off its host: ActCrash if the host failed soon after the
// task had been placed there. The loss of a machine that the platform has removed is no crash.
func (r *round) removalAct(key TaskKey, t jobs.Task) jobs.Act {
	if !r.countsCrashes() || r.input.Machines[t.Host].State == plat.MachineGone {
		return jobs.ActStop
	}
	if r.lostTasks[key] == t.Fence && withinCrashWindow(t, r.input.Now.UnixMilli()) {
		return jobs.ActCrash
	}
	for _, entry := range r.state.Hosts[t.Host].History {
		if entry.Event == host.EventFail && entry.Offset >= t.Fence && withinCrashWindow(t, entry.At) {
			return jobs.ActCrash
		}
	}
	return jobs.ActStop
}

func withinCrashWindow(t jobs.Task, atMS int64) bool {
	return time.Duration(atMS-t.StartedAt)*time.Millisecond < jobs.CrashWindow
}

// oversizedTasks returns, for each host whose tasks use more memory than it has, the task that
// exceeds its declared memory the most. This task has to stop.
func (r *round) oversizedTasks(usage map[TaskKey]plat.TaskUsage) map[TaskKey]bool {
	memoryUsed := make(map[string]int64)
	worst := make(map[string]TaskKey)
	excess := make(map[string]int64)
	for key, u := range usage {
		j := r.state.Jobs[key.Job]
		if u.State != plat.TaskRunning || j == nil {
			continue
		}
		memoryUsed[u.Host] += u.Used.MemoryMiB
		over := u.Used.MemoryMiB - j.Published.Spec.Size.MemoryMiB
		if over > excess[u.Host] || over > 0 && over == excess[u.Host] && lessTaskKey(key, worst[u.Host]) {
			worst[u.Host], excess[u.Host] = key, over
		}
	}
	out := make(map[TaskKey]bool)
	for name, key := range worst {
		if h := r.state.Hosts[name]; h != nil && memoryUsed[name] > h.Spec.Size.MemoryMiB {
			out[key] = true
		}
	}
	return out
}

func lessTaskKey(a, b TaskKey) bool {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task)) < 0
}

// startTasks places up to limit waiting tasks, the most urgent first. On a host, a task takes the
// larger of its declared and its reported size; against the quota, it counts its declared size.
func (r *round) startTasks(limit int, usage map[TaskKey]plat.TaskUsage) []jobs.PlacementItem {
	var names []string
	for name, j := range r.state.Jobs {
		if j.Waiting() > 0 {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		x, y := r.state.Jobs[a].Published, r.state.Jobs[b].Published
		return cmp.Or(
			cmp.Compare(x.Spec.Urgency.Rank(), y.Spec.Urgency.Rank()),
			cmp.Compare(x.Version, y.Version), cmp.Compare(a, b))
	})
	r.taskHosts = r.findTaskHosts()
	candidates := make(map[string][]place.Candidate)
	teamStarts := make(map[string]host.Resources)
	var items []jobs.PlacementItem
	for _, name := range names {
		j := r.state.Jobs[name]
		spec := j.Published.Spec
		if candidates[spec.Pool] == nil {
			candidates[spec.Pool] = r.candidates(spec.Pool, usage)
		}
		countRackPeers(r, candidates[spec.Pool], j)
		for i, t := range j.Tasks {
			if t.Host != "" || t.Finished || t.GivenUp() || len(items) >= limit {
				continue
			}
			need := maxSize(spec.Size, usage[TaskKey{name, i}].Used)
			if r.state.ExceededQuota(spec.Team, teamStarts[spec.Team].Add(spec.Size)) != "" {
				break
			}
			chosen := r.pickHost(candidates[spec.Pool], need, spec.Spread, t)
			if chosen < 0 && t.Suspect(r.input.Now) {
				continue
			}
			if chosen < 0 {
				break // The other tasks of the job have the same declared size.
			}
			chosenName := candidates[spec.Pool][chosen].Name
			r.taskHosts.add(chosenName, t, r.input.Now)
			place.ReserveSpread(candidates[spec.Pool], chosen, need)
			teamStarts[spec.Team] = teamStarts[spec.Team].Add(spec.Size)
			items = append(items, jobs.PlacementItem{Job: name, Task: i, Act: jobs.ActStart, Host: chosenName})
		}
	}
	return items
}

// taskHosts names the hosts with tasks of each kind.
type taskHosts struct {
	// occupied hosts have a task, suspects a suspect one, lastStarts a suspect one that the next crash
	// gives up.
	occupied, suspects, lastStarts map[string]bool
}

func (r *round) findTaskHosts() taskHosts {
	h := taskHosts{occupied: make(map[string]bool), suspects: make(map[string]bool), lastStarts: make(map[string]bool)}
	for _, j := range r.state.Jobs {
		for _, t := range j.Tasks {
			if t.Host != "" {
				h.add(t.Host, t, r.input.Now)
			}
		}
	}
	return h
}

func (h taskHosts) add(name string, t jobs.Task, now time.Time) {
	h.occupied[name] = true
	if t.Suspect(now) {
		h.suspects[name] = true
		if t.LastStart() {
			h.lastStarts[name] = true
		}
	}
}

// pickHost picks the host of a task. Suspect tasks are kept apart from each other and from other tasks
// as far as there are hosts. A task that the next crash gives up waits for a host without another
// suspect, so that it is not given up for a crash of another task.
func (r *round) pickHost(candidates []place.Candidate, need host.Resources, spread bool, t jobs.Task) int {
	h := r.taskHosts
	tiers := []map[string]bool{h.suspects, h.lastStarts, nil}
	if t.Suspect(r.input.Now) {
		tiers = []map[string]bool{h.occupied, h.suspects}
		if !t.LastStart() {
			tiers = append(tiers, h.lastStarts)
		}
	}
	for _, excluded := range tiers {
		if chosen := pickCandidate(withoutHosts(candidates, excluded), need, spread); chosen >= 0 {
			return chosen
		}
		if len(excluded) == 0 {
			break
		}
	}
	return -1
}

// withoutHosts returns the candidates with no free capacity on the given hosts.
func withoutHosts(candidates []place.Candidate, hosts map[string]bool) []place.Candidate {
	if len(hosts) == 0 {
		return candidates
	}
	out := slices.Clone(candidates)
	for i := range out {
		if hosts[out[i].Name] {
			out[i].Free = host.Resources{}
		}
	}
	return out
}

func pickCandidate(candidates []place.Candidate, need host.Resources, spread bool) int {
	if spread {
		chosen, _ := place.Pick(place.Spread{}, candidates, need)
		return chosen
	}
	chosen, _ := place.Pick(place.BestFit{}, candidates, need)
	return chosen
}

// candidates lists the hosts of a pool that can take tasks, with their free capacity. A task that
// uses more than its declared size takes what it uses.
func (r *round) candidates(pool string, usage map[TaskKey]plat.TaskUsage) []place.Candidate {
	excess := make(map[string]host.Resources)
	for key, u := range usage {
		if j := r.state.Jobs[key.Job]; j != nil && u.State == plat.TaskRunning {
			declared := j.Published.Spec.Size
			excess[u.Host] = excess[u.Host].Add(maxSize(declared, u.Used).Sub(declared))
		}
	}
	out := []place.Candidate{}
	for _, name := range r.state.HostsOf(pool) {
		h := r.state.Hosts[name]
		if h.Phase != host.Serving || h.MoveTo != "" || r.cordoned[name] || r.zone(h.Spec.Zone).unreachable || !r.live(name) {
			continue
		}
		out = append(out, place.Candidate{
			Name: name, Rack: place.Rack{Zone: h.Spec.Zone, Name: h.Spec.Rack},
			Free: h.Spec.Size.Sub(r.state.HostUsage(name)).Sub(excess[name]),
		})
	}
	return out
}

// countRackPeers counts the tasks of a job in each candidate's rack.
func countRackPeers(r *round, candidates []place.Candidate, j *jobs.Job) {
	inRack := make(map[place.Rack]int)
	for _, t := range j.Tasks {
		if h := r.state.Hosts[t.Host]; h != nil {
			inRack[place.Rack{Zone: h.Spec.Zone, Name: h.Spec.Rack}]++
		}
	}
	for i := range candidates {
		candidates[i].RackPeers = inRack[candidates[i].Rack]
	}
}

// maxSize returns the larger of two sizes in each dimension.
func maxSize(a, b host.Resources) host.Resources {
	return host.Resources{
		Cores: max(a.Cores, b.Cores), MemoryMiB: max(a.MemoryMiB, b.MemoryMiB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
