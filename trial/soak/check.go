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
	// Cases counts what put the promise to the test: where a system without the mechanism behind the promise would have
	// broken it. A promise without any counts as not checked.
	Cases func(*History) int
}

// Promises lists the promises that are checked.
func Promises() []Promise {
	return []Promise{
		{"answers-in-a-stop", "In a planned stop, each whole request that an entry has read is answered (RULES, LOST; docs/OPERATIONS.md).", checkStopAnswers, countStopAnswers},
		{"stop-in-time", "An entry that gets SIGTERM ends by itself within the grace period; no entry ends without a signal (RULES, Fault).", checkExits, countExits},
		{"no-run-twice", "No two runs of a task at the same time, and no start after an end that was done and taken note of (RULES, TWICE).", checkTwice, countTwice},
		{"nothing-unasked", "A host starts only what a caller sent, with the specification that the caller sent (RULES, UNASKED).", checkUnasked, countUnasked},
		{"order-of-steps", "A task starts only after all tasks of the steps before it are done (RULES, ORDER).", checkOrder, countOrder},
		{"capacity-of-hosts", "No start brings a host over its capacity (RULES, LIMIT).", checkCapacity, countCapacity},
		{"max-attempts", "No start after max_attempts runs of a task have failed (RULES, BUDGET).", checkAttempts, countAttempts},
		{"stays-cancelled", "No task of a job starts later than cancel_ms after its cancelling was confirmed, and none runs on stop_ms after that (RULES, UNASKED).", checkCancelled, countCancelled},
		{"refused-is-not-run", "A job all of whose submissions were refused never runs (RULES, REFUSED).", checkRefused, countRefused},
		{"never-unknown", "\"No such job\" is not answered for a job that was accepted (docs/SYSTEM.md, What is stored; RULES, LOST).", checkUnknown, countUnknown},
		{"state-is-true", "A job is shown as completed only when all its tasks are done, and as failed only with cause (RULES, MIXED and LOST).", checkState, countState},
		{"accepted-is-done", "A job that was accepted is done, or said to have failed, finish_s after the end of the traffic (RULES, LOST).", checkFinished, countFinished},
		{"lasting-runs", "A long-running task whose job was accepted runs again 6 s after its last run, once there has been room for it twice over for 3 s (RULES, LOST).", checkLasting, countLasting},
		{"waves-whole", "No maintenance begins while as many machines of its wave are down as its cap allows, and a wave is said to be completed only once that of all its machines has begun (RULES, LIMIT and MIXED).", checkWaves, countWaves},
		{"config-in-time", "A request sent later than config_apply_ms after a configuration is handled as it says, by entries in touch (RULES, CONFIG).", checkConfig, countConfig},
		{"within-memory", "No process holds more than its memory_mb, whatever clients send (docs/OPERATIONS.md, Clients that hold too much).", checkMemory, countMemory},
		{"ready-again", "An entry that is in touch is ready (RULES, In touch and Duty).", checkReady, countReady},
		{"keys-refused", "No request with an unknown key, or with one that was removed longer than revocation_ms ago, is accepted (overview, part K).", checkKeysRefused, countKeysRefused},
		{"keys-valid", "A valid key is not refused with 401 later than config_apply_ms after its version was acknowledged (overview, part K).", checkKeysValid, countKeysValid},
		{"own-jobs-only", "A tenant neither sees nor cancels jobs of others (overview, part K).", checkOwnJobs, countOwnJobs},
		{"caps-of-tenants", "No start brings what a tenant has running above its cap times 1.1 and one task (overview, part Q).", checkCaps, countCaps},
		{"room-under-half-cap", "A job of a tenant under half its cap does not stay without anything running beside room (overview, part Q).", checkRoom, countRoom},
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
	// stopMargin is added to the grace period for requests that are cut off, and for ends that are seen late.
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

// stopOf returns the planned work in which an entry has to answer a request, if there is any.
func (h *History) stopOf(r Request) (Window, bool) {
	if r.TimedOut || r.Closing || r.EndAt-r.SentAt <= lossSlack || !h.calm(r.SentAt-contactTime, r.EndAt) {
		return Window{}, false
	}
	for _, w := range h.Windows {
		stop := w.Kind == Term && r.EndAt >= w.From && r.EndAt <= w.From+fake.GracePeriod+stopMargin
		reload := w.Kind == Reload && r.EndAt >= w.From && r.SentAt <= w.From+configTime
		if w.Target == r.Entry && (stop || reload) {
			return w, true
		}
	}
	return Window{}, false
}

func checkStopAnswers(h *History) []string {
	var out []string
	for _, r := range h.Requests {
		if r.Status != 0 {
			continue
		}
		if w, ok := h.stopOf(r); ok {
			out = append(out, fmt.Sprintf("%s of job %s at %s, sent at %s, without an answer at %s, %s after %s: %s",
				r.Verb, r.Job, r.Entry, seconds(r.SentAt), seconds(r.EndAt), seconds(r.EndAt-w.From), w.Kind, r.Error))
		}
	}
	return out
}

// plannedExit reports whether the end of a process is judged as that of a planned stop.
func (h *History) plannedExit(e Exit) bool {
	return e.Cause == Term && h.calm(e.SignalAt-contactTime, e.At)
}

func checkExits(h *History) []string {
	var out []string
	for _, e := range h.Exits {
		switch {
		case e.Cause == "":
			out = append(out, fmt.Sprintf("%s ended by itself at %s: %s", e.Entry, seconds(e.At), e.Error))
		case h.plannedExit(e) && (e.Overdue || e.Error != "" || e.At-e.SignalAt > fake.GracePeriod+stopMargin+h.Late):
			out = append(out, fmt.Sprintf("%s ended at %s, %s after SIGTERM: %s", e.Entry, seconds(e.At), seconds(e.At-e.SignalAt), e.Error))
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

// submissions counts the submissions of each job, and those that were refused.
func (h *History) submissions() (sent, refused map[string]int) {
	sent, refused = map[string]int{}, map[string]int{}
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
	return sent, refused
}

func checkRefused(h *History) []string {
	sent, refused := h.submissions()
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

// finishJudged reports whether jobs that have not ended at the end of the history are judged.
func (h *History) finishJudged() bool {
	return h.End-h.TrafficEnd >= finishTime && h.calm(h.End-finishTime, h.End)
}

func checkFinished(h *History) []string {
	if !h.finishJudged() {
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

// queueKnown returns whether the extra queue has to be there for a request, or has to be removed. Neither holds for
// requests that are not judged.
func (h *History) queueKnown(r Request) (there, removed bool) {
	if r.Queue != extraQueue || !h.calm(r.SentAt-contactTime, r.EndAt) || !h.untouched(r.Entry, r.SentAt-contactTime, r.EndAt) {
		return false, false
	}
	// The queue counts as removed only while it has been for configTime, and as there likewise.
	there = true
	for _, w := range h.Windows {
		if w.Kind == Queue {
			removed = removed || (w.From+configTime < r.SentAt && r.EndAt < w.To)
			there = there && (w.To+configTime < r.SentAt || r.EndAt < w.From)
		}
	}
	return there, removed
}

func checkConfig(h *History) []string {
	var out []string
	for _, r := range h.Requests {
		switch there, removed := h.queueKnown(r); {
		case there && r.Status == http.StatusNotFound:
			out = append(out, fmt.Sprintf("%s of job %s at %s, sent at %s, was answered that there is no such queue", r.Verb, r.Job, r.Entry, seconds(r.SentAt)))
		case removed && r.Status == http.StatusOK:
			out = append(out, fmt.Sprintf("%s of job %s at %s, sent at %s, was served though its queue was removed", r.Verb, r.Job, r.Entry, seconds(r.SentAt)))
		}
	}
	return out
}

// inTouch reports whether the entry of a probe has to be ready.
func (h *History) inTouch(p Probe) bool {
	return h.calm(p.At-contactTime, p.At+probeTimeout) && h.untouched(p.Entry, p.At-contactTime, p.At+probeTimeout)
}

func checkReady(h *History) []string {
	var out []string
	missed := map[string]int{}
	for _, p := range h.Probes {
		if p.Ready || !h.inTouch(p) {
			missed[p.Entry] = 0
			continue
		}
		if missed[p.Entry]++; missed[p.Entry] == missedProbes {
			out = append(out, fmt.Sprintf("%s is not ready at %s: %s", p.Entry, seconds(p.At), p.Error))
		}
	}
	return out
}
