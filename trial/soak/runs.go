package soak

import (
	"fmt"
	"time"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/trial/fake"
)

// runKey identifies a run on a host.
type runKey struct {
	host, task string
	run        int64
}

func keyOf(e HostEvent) runKey { return runKey{e.Host, e.Task, e.Run} }

// acknowledged returns the ends that entries have taken note of, except those whose lease expired before.
func (h *History) acknowledged() map[runKey]bool {
	out := map[runKey]bool{}
	for _, e := range h.Hosts {
		if e.Kind == fake.RunAcknowledged && !e.LeaseExpired {
			out[keyOf(e)] = true
		}
	}
	return out
}

// runs follows the runs that are under way through the events of a history.
type runs struct {
	// byTask and byHost hold the same runs, and whether each is of a small task.
	byTask, byHost map[string]map[runKey]bool
	// small is the number of small ones on each host.
	small map[string]int
}

func newRuns() runs {
	return runs{map[string]map[runKey]bool{}, map[string]map[runKey]bool{}, map[string]int{}}
}

// slots returns the room that runs take on a host, in tasks that are not small. Parts of a slot count as a whole one.
func (r runs) slots(host string) int {
	small := r.small[host]
	return len(r.byHost[host]) - small + (small+fake.SmallPerTask-1)/fake.SmallPerTask
}

// count adds to the number of small runs on a host.
func (r runs) count(host string, small bool, n int) {
	if small {
		r.small[host] += n
	}
}

func (r runs) apply(e HostEvent) {
	switch e.Kind {
	case fake.RunStarted:
		for _, group := range []struct {
			runs map[string]map[runKey]bool
			name string
		}{{r.byTask, e.Task}, {r.byHost, e.Host}} {
			if group.runs[group.name] == nil {
				group.runs[group.name] = map[runKey]bool{}
			}
			group.runs[group.name][keyOf(e)] = e.Small
		}
		r.count(e.Host, e.Small, 1)
	case fake.RunEnded:
		r.count(e.Host, r.byHost[e.Host][keyOf(e)], -1)
		delete(r.byTask[e.Task], keyOf(e))
		delete(r.byHost[e.Host], keyOf(e))
	case fake.HostGone:
		for k := range r.byHost[e.Host] {
			delete(r.byTask[k.task], k)
		}
		delete(r.byHost, e.Host)
		delete(r.small, e.Host)
	}
}

func checkTwice(h *History) []string {
	var out []string
	noted, now, doneAt := h.acknowledged(), newRuns(), map[string]HostEvent{}
	for _, e := range h.Hosts {
		if e.Kind == fake.RunStarted {
			for other := range now.byTask[e.Task] {
				out = append(out, fmt.Sprintf("task %s: run %d started on %s at %s while run %d is under way on %s", e.Task, e.Run, e.Host, seconds(e.At), other.run, other.host))
			}
			if done, ok := doneAt[e.Task]; ok {
				out = append(out, fmt.Sprintf("task %s: run %d started on %s at %s, but run %d was done at %s", e.Task, e.Run, e.Host, seconds(e.At), done.Run, seconds(done.At)))
			}
		}
		if e.Kind == fake.RunEnded && e.Result == "done" && noted[keyOf(e)] {
			doneAt[e.Task] = e
		}
		now.apply(e)
	}
	return out
}

// jobsByID returns the jobs of a history.
func (h *History) jobsByID() map[string]Job {
	out := map[string]Job{}
	for _, j := range h.Jobs {
		out[j.ID] = j
	}
	return out
}

// starts calls f for each start with its task and job. Tasks whose names cannot be parsed are passed as zero.
func (h *History) starts(f func(e HostEvent, ref batch.Ref, j Job)) {
	jobs := h.jobsByID()
	for _, e := range h.Hosts {
		if e.Kind == fake.RunStarted {
			ref, err := batch.ParseRef(e.Task)
			if err != nil {
				ref = batch.Ref{}
			}
			f(e, ref, jobs[ref.Job])
		}
	}
}

func checkUnasked(h *History) []string {
	var out []string
	h.starts(func(e HostEvent, ref batch.Ref, j Job) {
		switch {
		case j.ID == "" || ref.Step >= len(j.Steps) || ref.Index >= j.Steps[ref.Step].Count:
			out = append(out, fmt.Sprintf("task %s started on %s at %s, but no caller sent it", e.Task, e.Host, seconds(e.At)))
		case e.Specification != j.Specification:
			out = append(out, fmt.Sprintf("task %s started on %s at %s with specification %q, not %q", e.Task, e.Host, seconds(e.At), e.Specification, j.Specification))
		case e.Pool != j.Pool:
			out = append(out, fmt.Sprintf("task %s started on %s at %s, a host of pool %s, not %s", e.Task, e.Host, seconds(e.At), e.Pool, j.Pool))
		}
	})
	return out
}

// doneTimes returns when each task was done first.
func (h *History) doneTimes() map[string]time.Duration {
	out := map[string]time.Duration{}
	for _, e := range h.Hosts {
		if _, ok := out[e.Task]; !ok && e.Kind == fake.RunEnded && e.Result == "done" {
			out[e.Task] = e.At
		}
	}
	return out
}

// notDone returns a task of a step that was not done at a time, or "".
func notDone(j Job, step int, done map[string]time.Duration, at time.Duration) string {
	for i := range j.Steps[step].Count {
		task := batch.Ref{Job: j.ID, Step: step, Index: i}.String()
		if doneAt, ok := done[task]; !ok || doneAt > at {
			return task
		}
	}
	return ""
}

func checkOrder(h *History) []string {
	var out []string
	done := h.doneTimes()
	h.starts(func(e HostEvent, ref batch.Ref, j Job) {
		if ref.Step >= len(j.Steps) {
			return
		}
		for _, before := range j.Steps[ref.Step].After {
			if task := notDone(j, before, done, e.At); task != "" {
				out = append(out, fmt.Sprintf("task %s started on %s at %s before task %s was done", e.Task, e.Host, seconds(e.At), task))
			}
		}
	})
	return out
}

func checkCapacity(h *History) []string {
	var out []string
	now := newRuns()
	for _, e := range h.Hosts {
		now.apply(e)
		if n := now.slots(e.Host); e.Kind == fake.RunStarted && n > fake.TasksPerHost() {
			out = append(out, fmt.Sprintf("task %s started on %s at %s, which then runs %d tasks and has room for %d", e.Task, e.Host, seconds(e.At), n, fake.TasksPerHost()))
		}
	}
	return out
}

func checkAttempts(h *History) []string {
	var out []string
	noted, failures := h.acknowledged(), map[string]int{}
	for _, e := range h.Hosts {
		if e.Kind == fake.RunEnded && e.Result == "failed" && noted[keyOf(e)] {
			failures[e.Task]++
		}
		if n := failures[e.Task]; e.Kind == fake.RunStarted && n >= fake.MaxAttempts {
			out = append(out, fmt.Sprintf("task %s started on %s at %s after %d failures", e.Task, e.Host, seconds(e.At), n))
		}
	}
	return out
}

// usage is what a pool had in use in a span of time.
type usage struct {
	// maxRuns is the largest number of runs, minHosts the smallest number of hosts.
	maxRuns, minHosts int
}

// use returns the usage of each pool since a time, and when a run of each job was last under way.
func (h *History) use(since time.Duration) (pools map[string]usage, lastRun map[string]time.Duration) {
	pools, lastRun = map[string]usage{}, map[string]time.Duration{}
	now, poolOfHost := newRuns(), map[string]string{}
	count := func() {
		current := map[string]usage{}
		for host, pool := range poolOfHost {
			u := current[pool]
			current[pool] = usage{u.maxRuns + now.slots(host), u.minHosts + 1}
		}
		for pool, u := range current {
			before, ok := pools[pool]
			if !ok {
				before = u
			}
			pools[pool] = usage{max(before.maxRuns, u.maxRuns), min(before.minHosts, u.minHosts)}
		}
	}
	counting := false
	for _, e := range h.Hosts {
		if !counting && e.At >= since {
			counting = true
			count()
		}
		for k := range now.byHost[e.Host] {
			lastRun[jobOf(k.task)] = e.At
		}
		now.apply(e)
		switch e.Kind {
		case fake.HostBooted:
			poolOfHost[e.Host] = e.Pool
		case fake.HostGone:
			delete(poolOfHost, e.Host)
		}
		if counting {
			count()
		}
	}
	if !counting {
		count()
	}
	for task, list := range now.byTask {
		if len(list) > 0 {
			lastRun[jobOf(task)] = h.End
		}
	}
	return pools, lastRun
}

// jobOf returns the ID of a task's job.
func jobOf(task string) string {
	ref, err := batch.ParseRef(task)
	if err != nil {
		return ""
	}
	return ref.Job
}
