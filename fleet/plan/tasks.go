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

// lapseMargin is added to a lease's term before a task of a failed host is started
// elsewhere, for the platform's clock.
const lapseMargin = time.Second

// Renewals is how many times the lease of a task is renewed within its term.
const Renewals = 3

// placeTasks drafts one batch of placements and the calls that go with it.
func (r *round) placeTasks() {
	usage := make(map[TaskKey]plat.TaskUsage, len(r.in.Usage))
	for _, u := range r.in.Usage {
		usage[TaskKey{u.Job, u.Task}] = u
	}
	over := r.overSize(usage)
	var items []jobs.Item
	for _, name := range slices.Sorted(maps.Keys(r.s.Jobs)) {
		j := r.s.Jobs[name]
		for i, t := range j.Tasks {
			if t.Host == "" || len(items) >= record.MaxBatch {
				continue
			}
			key := TaskKey{name, i}
			if act := r.keepOrStop(key, j, t, usage, over); act != "" {
				items = append(items, jobs.Item{Job: name, Task: i, Act: act})
			}
		}
	}
	room := record.MaxBatch - len(items)
	items = append(items, r.starts(room, usage)...)
	if len(items) == 0 {
		return
	}
	r.out.Drafts = append(r.out.Drafts, Draft{
		Body: jobs.Placement{Items: items},
		Reason: record.Reason{
			Rule: "place-tasks", Figures: fmt.Sprintf("%d steps for tasks, sizes corrected by usage", len(items)),
		},
	})
}

// keepOrStop renews a placed task's lease, or takes the task off its host.
func (r *round) keepOrStop(
	key TaskKey, j *jobs.Job, t jobs.Task, usage map[TaskKey]plat.TaskUsage, over map[TaskKey]bool,
) jobs.Act {
	h := r.s.Hosts[t.Host]
	u, reported := usage[key]
	reported = reported && u.Fence == t.Fence
	failedFor := r.since.held(condition{"lost", key.Job, key.Task}, h.Phase == host.Failed, r.in.Now)
	switch {
	case reported && u.State == plat.TaskFinished:
		return jobs.ActFinish
	case reported && u.State == plat.TaskFailed:
		return jobs.ActStop
	case r.in.Stopped[key] == t.Fence:
		return jobs.ActStop
	case h.Phase == host.Failed:
		// The lease is renewed no more; after its term the platform has let go.
		if failedFor > r.times.TaskTerm+lapseMargin {
			return jobs.ActStop
		}
	case h.Phase != host.Serving || j.Cancelled || over[key]:
		r.out.Calls = append(r.out.Calls, Call{Verb: VerbStop, Host: t.Host, Fence: t.Fence, Task: key})
	default:
		r.out.Calls = append(r.out.Calls, Call{
			Verb: VerbStart, Host: t.Host, Fence: t.Fence, Task: key,
			Start: plat.TaskStart{
				Fence: t.Fence, TermMS: r.times.TaskTerm.Milliseconds(), Size: j.Published.Spec.Size,
				RunSeconds: j.Published.Spec.RunSeconds,
			},
		})
	}
	return ""
}

// overSize names, for each host that holds more than it has, the task that exceeds its
// declared size the most: it has to go.
func (r *round) overSize(usage map[TaskKey]plat.TaskUsage) map[TaskKey]bool {
	held := make(map[string]int64)
	worst := make(map[string]TaskKey)
	excess := make(map[string]int64)
	for key, u := range usage {
		j := r.s.Jobs[key.Job]
		if u.State != plat.TaskRunning || j == nil {
			continue
		}
		held[u.Host] += u.Used.MemoryMiB
		over := u.Used.MemoryMiB - j.Published.Spec.Size.MemoryMiB
		if over > excess[u.Host] || over > 0 && over == excess[u.Host] && less(key, worst[u.Host]) {
			worst[u.Host], excess[u.Host] = key, over
		}
	}
	out := make(map[TaskKey]bool)
	for name, key := range worst {
		if h := r.s.Hosts[name]; h != nil && held[name] > h.Spec.Size.MemoryMiB {
			out[key] = true
		}
	}
	return out
}

func less(a, b TaskKey) bool {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task)) < 0
}

// starts places waiting tasks, the most urgent first, on what the hosts have left by
// the larger of declared and reported sizes.
func (r *round) starts(limit int, usage map[TaskKey]plat.TaskUsage) []jobs.Item {
	var names []string
	for name, j := range r.s.Jobs {
		if j.Waiting() > 0 {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		x, y := r.s.Jobs[a].Published, r.s.Jobs[b].Published
		return cmp.Or(
			cmp.Compare(x.Spec.Urgency.Rank(), y.Spec.Urgency.Rank()),
			cmp.Compare(x.Version, y.Version), cmp.Compare(a, b))
	})
	free := make(map[string][]place.Candidate)
	quota := make(map[string]host.Resources)
	var items []jobs.Item
	for _, name := range names {
		j := r.s.Jobs[name]
		spec := j.Published.Spec
		if free[spec.Pool] == nil {
			free[spec.Pool] = r.candidates(spec.Pool, usage)
		}
		mates(r, free[spec.Pool], j)
		for i, t := range j.Tasks {
			if t.Host != "" || t.Finished || len(items) >= limit {
				continue
			}
			need := larger(spec.Size, usage[TaskKey{name, i}].Used)
			if r.s.ExceededQuota(spec.Team, quota[spec.Team].Add(spec.Size)) != "" {
				break
			}
			chosen := choose(free[spec.Pool], need, spec.Spread)
			if chosen < 0 {
				break // Later tasks of the job are no smaller.
			}
			place.TakeSpread(free[spec.Pool], chosen, need)
			quota[spec.Team] = quota[spec.Team].Add(spec.Size)
			items = append(items, jobs.Item{Job: name, Task: i, Act: jobs.ActStart, Host: free[spec.Pool][chosen].Name})
		}
	}
	return items
}

func choose(free []place.Candidate, need host.Resources, spread bool) int {
	if spread {
		chosen, _ := place.Pick(place.Spread{}, free, need)
		return chosen
	}
	chosen, _ := place.Pick(place.BestFit{}, free, need)
	return chosen
}

// candidates lists the serving hosts of a pool with what they have left.
func (r *round) candidates(pool string, usage map[TaskKey]plat.TaskUsage) []place.Candidate {
	extra := make(map[string]host.Resources)
	for key, u := range usage {
		if j := r.s.Jobs[key.Job]; j != nil && u.State == plat.TaskRunning {
			declared := j.Published.Spec.Size
			extra[u.Host] = extra[u.Host].Add(larger(declared, u.Used).Sub(declared))
		}
	}
	out := []place.Candidate{}
	for _, name := range r.s.HostsOf(pool) {
		h := r.s.Hosts[name]
		if h.Phase != host.Serving || h.MoveTo != "" || r.cordons[name] || r.zone(h.Spec.Zone).silent || !r.live(name) {
			continue
		}
		out = append(out, place.Candidate{
			Name: name, Rack: place.Rack{Zone: h.Spec.Zone, Name: h.Spec.Rack},
			Free: h.Spec.Size.Sub(r.s.HostUsage(name)).Sub(extra[name]),
		})
	}
	return out
}

// mates counts the tasks of a job in each candidate's rack.
func mates(r *round, free []place.Candidate, j *jobs.Job) {
	inRack := make(map[place.Rack]int)
	for _, t := range j.Tasks {
		if h := r.s.Hosts[t.Host]; h != nil {
			inRack[place.Rack{Zone: h.Spec.Zone, Name: h.Spec.Rack}]++
		}
	}
	for i := range free {
		free[i].Mates = inRack[free[i].Rack]
	}
}

// larger is the larger of two sizes in each dimension.
func larger(a, b host.Resources) host.Resources {
	return host.Resources{
		Cores: max(a.Cores, b.Cores), MemoryMiB: max(a.MemoryMiB, b.MemoryMiB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
