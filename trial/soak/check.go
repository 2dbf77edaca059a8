package soak

import (
	"cmp"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/trial/fake"
)

// Promise is a promise of the system with a check of a history.
type Promise struct {
	Name string
	// Sentence is the promise as the users' or the project's pages state it.
	Sentence string
	// Check describes each case in which the history breaks the promise.
	Check func(*History) []string
}

// Promises lists the promises that are checked.
func Promises() []Promise {
	return []Promise{
		{"answers-in-a-stop", "In a planned stop, each whole request that an entry has read is answered (RULES, LOST; docs/OPERATIONS.md).", checkStopAnswers},
		{"stop-in-time", "An entry that gets SIGTERM ends by itself within the grace period; no entry ends without a signal (RULES, Fault).", checkExits},
		{"no-run-twice", "No two runs of a task at the same time, and no start after an end that was done and taken note of (RULES, TWICE).", checkTwice},
		{"nothing-unasked", "A host starts only what a caller sent, with the specification that the caller sent (RULES, UNASKED).", checkUnasked},
		{"order-of-steps", "A task starts only after all tasks of the steps before it are done (RULES, ORDER).", checkOrder},
		{"capacity-of-hosts", "No start brings a host over its capacity (RULES, LIMIT).", checkCapacity},
		{"max-attempts", "No start after max_attempts runs of a task have failed (RULES, BUDGET).", checkAttempts},
		{"stays-cancelled", "No task of a job starts later than cancel_ms after its cancelling was confirmed, and none runs on stop_ms after that (RULES, UNASKED).", checkCancelled},
		{"refused-is-not-run", "A job all of whose submissions were refused never runs (RULES, REFUSED).", checkRefused},
		{"never-unknown", "\"No such job\" is not answered for a job that was accepted (docs/SYSTEM.md, What is stored; RULES, LOST).", checkUnknown},
		{"state-is-true", "A job is shown as completed only when all its tasks are done, and as failed only with cause (RULES, MIXED and LOST).", checkState},
		{"accepted-is-done", "A job that was accepted is done, or said to have failed, finish_s after the end of the traffic (RULES, LOST).", checkFinished},
		{"config-in-time", "A request sent later than config_apply_ms after a configuration is handled as it says, by entries in touch (RULES, CONFIG).", checkConfig},
		{"ready-again", "An entry that is in touch is ready (RULES, In touch and Duty).", checkReady},
	}
}

// The bounds of the promises, as the users' pages set them.
const (
	// contactTime is contact_ms, lossSlack loss_slack_ms, cancelTime cancel_ms, configTime config_apply_ms and
	// finishTime finish_s.
	contactTime = 3 * time.Second
	lossSlack   = 200 * time.Millisecond
	cancelTime  = 3 * time.Second
	configTime  = 2 * time.Second
	finishTime  = 14 * time.Second
	// stopMargin is added to the grace period for requests that are cut off.
	stopMargin = time.Second
	// stuckTime is the time without a run of a job after which it counts as stuck if hosts have room, and
	// calmBefore the time before it that has to be calm.
	stuckTime, calmBefore = 3 * time.Second, 4 * time.Second
	// crashesToGiveUp is the number of crashed hosts after which a task under which they crashed may be given
	// up (docs/SYSTEM.md, Tasks that crash their hosts).
	crashesToGiveUp = 3
	// missedProbes is the number of probes that an entry has to miss before it counts as not ready.
	missedProbes = 2
)

// calm reports whether no unplanned fault was active in a span of time.
func (h *History) calm(from, to time.Duration) bool {
	return !slices.ContainsFunc(h.Windows, func(w Window) bool { return !w.Kind.planned() && w.From <= to && w.To >= from })
}

// untouched reports whether neither a planned nor an unplanned fault of an entry was active in a span of time.
func (h *History) untouched(entry string, from, to time.Duration) bool {
	return !slices.ContainsFunc(h.Windows, func(w Window) bool { return w.Target == entry && w.From <= to && w.To >= from })
}

// answered returns the requests of a kind that were answered with a status, by job, in the order of their answers.
func (h *History) answered(verb Verb, status int) map[string][]Request {
	out := map[string][]Request{}
	for _, r := range h.Requests {
		if r.Verb == verb && r.Status == status {
			out[r.Job] = append(out[r.Job], r)
		}
	}
	for _, list := range out {
		slices.SortFunc(list, func(a, b Request) int { return cmp.Compare(a.EndAt, b.EndAt) })
	}
	return out
}

func seconds(d time.Duration) string { return fmt.Sprintf("%.3fs", d.Seconds()) }

func checkStopAnswers(h *History) []string {
	var out []string
	for _, r := range h.Requests {
		if r.Status != 0 || r.TimedOut || r.EndAt-r.SentAt <= lossSlack || !h.calm(r.SentAt-contactTime, r.EndAt) {
			continue
		}
		for _, w := range h.Windows {
			if w.Target != r.Entry {
				continue
			}
			stop := w.Kind == Term && r.EndAt >= w.From && r.EndAt <= w.From+fake.GracePeriod+stopMargin
			reload := w.Kind == Reload && r.EndAt >= w.From && r.SentAt <= w.From+configTime
			if stop || reload {
				out = append(out, fmt.Sprintf("%s of job %s at %s, sent at %s, without an answer at %s, %s after %s: %s",
					r.Verb, r.Job, r.Entry, seconds(r.SentAt), seconds(r.EndAt), seconds(r.EndAt-w.From), w.Kind, r.Error))
				break
			}
		}
	}
	return out
}

func checkExits(h *History) []string {
	var out []string
	for _, e := range h.Exits {
		switch {
		case e.Cause == "":
			out = append(out, fmt.Sprintf("%s ended by itself at %s: %s", e.Entry, seconds(e.At), e.Error))
		case e.Cause == Term && (e.Overdue || e.Error != "") && h.calm(e.SignalAt-contactTime, e.At):
			out = append(out, fmt.Sprintf("%s ended at %s, %s after SIGTERM: %s", e.Entry, seconds(e.At), seconds(e.At-e.SignalAt), e.Error))
		}
	}
	return out
}

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
	// byTask and byHost hold the same runs.
	byTask, byHost map[string]map[runKey]bool
}

func newRuns() runs { return runs{map[string]map[runKey]bool{}, map[string]map[runKey]bool{}} }

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
			group.runs[group.name][keyOf(e)] = true
		}
	case fake.RunEnded:
		delete(r.byTask[e.Task], keyOf(e))
		delete(r.byHost[e.Host], keyOf(e))
	case fake.HostGone:
		for k := range r.byHost[e.Host] {
			delete(r.byTask[k.task], k)
		}
		delete(r.byHost, e.Host)
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
		if n := len(now.byHost[e.Host]); e.Kind == fake.RunStarted && n > fake.TasksPerHost() {
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

func checkCancelled(h *History) []string {
	var out []string
	cancelled := h.answered(Cancel, http.StatusOK)
	confirmedAt := func(task string) (time.Duration, bool) {
		ref, err := batch.ParseRef(task)
		if err != nil || len(cancelled[ref.Job]) == 0 {
			return 0, false
		}
		return cancelled[ref.Job][0].EndAt, true
	}
	began := map[runKey]time.Duration{}
	// ranOn judges a run that was under way until a time. It had to be gone at the end of a calm stretch
	// of allowed length after the cancelling.
	const allowed = cancelTime + fake.StopTime
	ranOn := func(k runKey, until time.Duration) {
		at, ok := confirmedAt(k.task)
		from := max(at, began[k])
		if ok && until-from > contactTime+allowed && h.calm(until-contactTime-allowed, until) {
			out = append(out, fmt.Sprintf("task %s: run %d on %s still ran at %s, but its job was cancelled at %s", k.task, k.run, k.host, seconds(until), seconds(at)))
		}
	}
	now := newRuns()
	for _, e := range h.Hosts {
		switch e.Kind {
		case fake.RunStarted:
			began[keyOf(e)] = e.At
			if at, ok := confirmedAt(e.Task); ok && e.At-at > cancelTime && h.calm(e.At-contactTime, e.At) {
				out = append(out, fmt.Sprintf("task %s started on %s at %s, %s after its job was cancelled", e.Task, e.Host, seconds(e.At), seconds(e.At-at)))
			}
		case fake.RunEnded:
			ranOn(keyOf(e), e.At)
		}
		now.apply(e)
	}
	for _, task := range slices.Sorted(maps.Keys(now.byTask)) {
		for k := range now.byTask[task] {
			ranOn(k, h.End)
		}
	}
	return out
}

func checkRefused(h *History) []string {
	sent, refused := map[string]int{}, map[string]int{}
	for _, r := range h.Requests {
		if r.Verb != Submit {
			continue
		}
		sent[r.Job]++
		switch r.Status {
		case http.StatusBadRequest, http.StatusNotFound, http.StatusTooManyRequests, http.StatusServiceUnavailable:
			refused[r.Job]++
		}
	}
	var out []string
	h.starts(func(e HostEvent, _ batch.Ref, j Job) {
		if n := refused[j.ID]; n > 0 && n == sent[j.ID] {
			out = append(out, fmt.Sprintf("task %s started on %s at %s, but all %d submissions of its job were refused", e.Task, e.Host, seconds(e.At), n))
		}
	})
	return out
}

func checkUnknown(h *History) []string {
	accepted, endShown := h.answered(Submit, http.StatusOK), map[string]time.Duration{}
	cancelSent := map[string]time.Duration{}
	for _, r := range h.Requests {
		if r.Verb == Cancel {
			if at, ok := cancelSent[r.Job]; !ok || r.SentAt < at {
				cancelSent[r.Job] = r.SentAt
			}
		}
		if ended(r.State) {
			if at, ok := endShown[r.Job]; !ok || r.EndAt < at {
				endShown[r.Job] = r.EndAt
			}
		}
	}
	var out []string
	for _, r := range h.Requests {
		if r.Status != http.StatusGone || len(accepted[r.Job]) == 0 || r.SentAt < accepted[r.Job][0].EndAt {
			continue
		}
		if at, ok := cancelSent[r.Job]; ok && at < r.EndAt && r.Verb != Cancel {
			continue
		}
		if at, ok := endShown[r.Job]; ok && r.SentAt > at+fake.StatusTime {
			continue
		}
		out = append(out, fmt.Sprintf("%s of job %s at %s, sent at %s, was answered that there is no such job; it was accepted at %s",
			r.Verb, r.Job, r.Entry, seconds(r.SentAt), seconds(accepted[r.Job][0].EndAt)))
	}
	return out
}

func checkState(h *History) []string {
	var out []string
	jobs, done := h.jobsByID(), h.doneTimes()
	failures, crashes, cancelSent := map[string]int{}, map[string]int{}, map[string]bool{}
	now := newRuns()
	for _, e := range h.Hosts {
		if e.Kind == fake.RunEnded && e.Result == "failed" {
			failures[e.Task]++
		}
		if e.Kind == fake.HostGone {
			for k := range now.byHost[e.Host] {
				crashes[k.task]++
			}
		}
		now.apply(e)
	}
	for _, r := range h.Requests {
		cancelSent[r.Job] = cancelSent[r.Job] || r.Verb == Cancel
	}
	hasCause := func(j Job) bool {
		for step, s := range j.Steps {
			for i := range s.Count {
				task := batch.Ref{Job: j.ID, Step: step, Index: i}.String()
				if failures[task] >= fake.MaxAttempts || crashes[task] >= crashesToGiveUp {
					return true
				}
			}
		}
		return false
	}
	for _, r := range h.Requests {
		j, known := jobs[r.Job]
		switch {
		case r.State != "" && !known:
			out = append(out, fmt.Sprintf("job %s is shown as %s at %s, but nobody submitted it", r.Job, r.State, seconds(r.EndAt)))
		case r.State == stateCompleted:
			for step := range j.Steps {
				if task := notDone(j, step, done, r.EndAt); task != "" {
					out = append(out, fmt.Sprintf("job %s is shown as completed by %s at %s, but task %s was not done", r.Job, r.Entry, seconds(r.EndAt), task))
				}
			}
		case r.State == stateFailed && !hasCause(j):
			out = append(out, fmt.Sprintf("job %s is shown as failed by %s at %s without cause", r.Job, r.Entry, seconds(r.EndAt)))
		case r.State == stateCancelled && !cancelSent[r.Job]:
			out = append(out, fmt.Sprintf("job %s is shown as cancelled by %s at %s, but nobody cancelled it", r.Job, r.Entry, seconds(r.EndAt)))
		}
	}
	return out
}

// open returns the jobs that were accepted and not cancelled and that were not seen to have ended, with the last
// request about each.
func (h *History) open() map[string]Request {
	accepted := h.answered(Submit, http.StatusOK)
	out := map[string]Request{}
	for _, r := range h.Requests {
		if last, ok := out[r.Job]; len(accepted[r.Job]) > 0 && (!ok || r.EndAt > last.EndAt) {
			out[r.Job] = r
		}
	}
	for _, r := range h.Requests {
		if r.Verb == Cancel || ended(r.State) {
			delete(out, r.Job)
		}
	}
	return out
}

func checkFinished(h *History) []string {
	if h.End-h.TrafficEnd < finishTime || !h.calm(h.End-finishTime, h.End) {
		return nil
	}
	var out []string
	pools, lastRun := h.use(h.End - stuckTime - calmBefore)
	open, jobs := h.open(), h.jobsByID()
	for _, id := range slices.Sorted(maps.Keys(open)) {
		last, u := open[id], pools[jobs[id].Pool]
		switch {
		case last.Status != http.StatusOK:
			out = append(out, fmt.Sprintf("job %s was accepted; its last %s at %s, sent at %s, got status %d: %s", id, last.Verb, last.Entry, seconds(last.SentAt), last.Status, last.Error))
		case 2*u.maxRuns < u.minHosts*fake.TasksPerHost() && lastRun[id] < h.End-stuckTime:
			out = append(out, fmt.Sprintf("job %s was accepted and is %s at %s; nothing of it has run since %s, and its pool of %d hosts had %d runs at most meanwhile",
				id, last.State, seconds(last.EndAt), seconds(lastRun[id]), u.minHosts, u.maxRuns))
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
			current[pool] = usage{u.maxRuns + len(now.byHost[host]), u.minHosts + 1}
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

func checkConfig(h *History) []string {
	var out []string
	for _, r := range h.Requests {
		if r.Queue != extraQueue || !h.calm(r.SentAt-contactTime, r.EndAt) || !h.untouched(r.Entry, r.SentAt-contactTime, r.EndAt) {
			continue
		}
		// The queue counts as removed only while it has been for configTime, and as there likewise.
		removed, there := false, true
		for _, w := range h.Windows {
			if w.Kind == Queue {
				removed = removed || (w.From+configTime < r.SentAt && r.EndAt < w.To)
				there = there && (w.To+configTime < r.SentAt || r.EndAt < w.From)
			}
		}
		switch {
		case there && r.Status == http.StatusNotFound:
			out = append(out, fmt.Sprintf("%s of job %s at %s, sent at %s, was answered that there is no such queue", r.Verb, r.Job, r.Entry, seconds(r.SentAt)))
		case removed && r.Status == http.StatusOK:
			out = append(out, fmt.Sprintf("%s of job %s at %s, sent at %s, was served though its queue was removed", r.Verb, r.Job, r.Entry, seconds(r.SentAt)))
		}
	}
	return out
}

func checkReady(h *History) []string {
	var out []string
	missed := map[string]int{}
	for _, p := range h.Probes {
		inTouch := h.calm(p.At-contactTime, p.At+probeTimeout) && h.untouched(p.Entry, p.At-contactTime, p.At+probeTimeout)
		if p.Ready || !inTouch {
			missed[p.Entry] = 0
			continue
		}
		if missed[p.Entry]++; missed[p.Entry] == missedProbes {
			out = append(out, fmt.Sprintf("%s is not ready at %s: %s", p.Entry, seconds(p.At), p.Error))
		}
	}
	return out
}
