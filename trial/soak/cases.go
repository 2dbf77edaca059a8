package soak

import (
	"net/http"
	"slices"
	"time"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/trial/fake"
)

func countStopAnswers(h *History) int {
	return count(h.Requests, func(r Request) bool {
		_, judged := h.stopOf(r)
		return judged
	})
}

func countExits(h *History) int { return count(h.Exits, h.plannedExit) }

// countTwice counts the runs that were under way, or whose end had not been taken note of, when their pool changed its
// owner or an earlier host of their task had gone.
func countTwice(h *History) int {
	pending, lost := map[runKey]HostEvent{}, map[string]bool{}
	cases, changes := 0, h.Changes
	for _, e := range h.Hosts {
		for len(changes) > 0 && changes[0].At <= e.At {
			for _, p := range pending {
				if p.Pool == changes[0].Pool {
					cases++
				}
			}
			changes = changes[1:]
		}
		switch e.Kind {
		case fake.RunStarted:
			if lost[e.Task] {
				cases++
			}
			pending[keyOf(e)] = e
		case fake.RunAcknowledged:
			delete(pending, keyOf(e))
		case fake.HostGone:
			for k := range pending {
				if k.host == e.Host {
					lost[k.task] = true
					delete(pending, k)
				}
			}
		}
	}
	return cases
}

func countUnasked(h *History) int {
	return count(h.Hosts, func(e HostEvent) bool { return e.Kind == fake.RunStarted })
}

func countOrder(h *History) int {
	cases := 0
	h.starts(func(_ HostEvent, ref batch.Ref, j Job) {
		if ref.Step < len(j.Steps) && len(j.Steps[ref.Step].After) > 0 {
			cases++
		}
	})
	return cases
}

// countCapacity counts the starts that leave a host no room.
func countCapacity(h *History) int {
	now := newRuns()
	return count(h.Hosts, func(e HostEvent) bool {
		now.apply(e)
		return e.Kind == fake.RunStarted && now.slots(e.Host) >= fake.TasksPerHost()
	})
}

// countAttempts counts the tasks that have used up their attempts.
func countAttempts(h *History) int {
	noted, failures := h.acknowledged(), map[string]int{}
	return count(h.Hosts, func(e HostEvent) bool {
		if e.Kind != fake.RunEnded || e.Result != "failed" || !noted[keyOf(e)] {
			return false
		}
		failures[e.Task]++
		return failures[e.Task] == fake.MaxAttempts
	})
}

// countCancelled counts the jobs that had work left when their cancelling was confirmed.
func countCancelled(h *History) int {
	jobs, done, cases := h.jobsByID(), h.doneTimes(), 0
	for id, cancels := range h.answered(Cancel, http.StatusOK) {
		j := jobs[id]
		if slices.ContainsFunc(steps(j), func(step int) bool { return notDone(j, step, done, cancels[0].EndAt) != "" }) {
			cases++
		}
	}
	return cases
}

// steps returns the numbers of the steps of a job.
func steps(j Job) []int {
	var out []int
	for i := range j.Steps {
		out = append(out, i)
	}
	return out
}

func countRefused(h *History) int {
	cases := 0
	sent, refused := h.submissions()
	for job, n := range refused {
		if n == sent[job] {
			cases++
		}
	}
	return cases
}

// countUnknown counts the answers about accepted jobs whose pool has changed its owner since they were accepted.
func countUnknown(h *History) int {
	accepted, jobs := h.answered(Submit, http.StatusOK), h.jobsByID()
	return count(h.Requests, func(r Request) bool {
		return r.Verb != Submit && r.Status != 0 && len(accepted[r.Job]) > 0 &&
			h.changedOwner(jobs[r.Job].Pool, accepted[r.Job][0].EndAt, r.SentAt)
	})
}

// changedOwner reports whether a pool changed its owner in a span of time.
func (h *History) changedOwner(pool string, from, to time.Duration) bool {
	return slices.ContainsFunc(h.Changes, func(c Change) bool { return c.Pool == pool && c.At >= from && c.At <= to })
}

func countState(h *History) int {
	return count(h.Requests, func(r Request) bool { return ended(r.State) })
}

// countFinished counts the jobs that were accepted and not cancelled. Those that had not ended count only if they are
// judged.
func countFinished(h *History) int {
	cancels := map[string]bool{}
	for _, r := range h.Requests {
		cancels[r.Job] = cancels[r.Job] || r.Verb == Cancel
	}
	cases, open := 0, h.open()
	for job := range h.answered(Submit, http.StatusOK) {
		if _, unfinished := open[job]; !cancels[job] && (!unfinished || h.finishJudged()) {
			cases++
		}
	}
	return cases
}

// countConfig counts the requests to the extra queue that come after a change of it.
func countConfig(h *History) int {
	return count(h.Requests, func(r Request) bool {
		there, removed := h.queueKnown(r)
		changed := slices.ContainsFunc(h.Windows, func(w Window) bool { return w.Kind == Queue && w.To < r.SentAt })
		return removed || there && changed
	})
}

// countReady counts the probes of entries that were started again or have been paused.
func countReady(h *History) int {
	return count(h.Probes, func(p Probe) bool {
		return h.inTouch(p) && slices.ContainsFunc(h.Windows, func(w Window) bool {
			return w.Target == p.Entry && (w.Kind == Term || w.Kind == Kill || w.Kind == Pause) && w.To < p.At
		})
	})
}

func count[T any](list []T, f func(T) bool) int {
	n := 0
	for _, v := range list {
		if f(v) {
			n++
		}
	}
	return n
}
