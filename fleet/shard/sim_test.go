package shard_test

import (
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/batch"
	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// simRun is a run on a host.
type simRun struct {
	run  int64
	left time.Duration
	need batch.Size
	// lasts reports whether the run does not end by itself, but may fail.
	lasts bool
}

// simHost is a host that behaves as the platform specifies.
type simHost struct {
	id        string
	capacity  batch.Size
	labels    []string
	clock     time.Duration
	clockRate float64
	instance  int64
	token     int64
	deadline  time.Duration
	running   map[string]*simRun
	ended     []port.FinishedRun
	number    int64
	// highestEnded is the highest run of each task that was stopped or has ended here.
	highestEnded map[string]int64
	down         bool
	// gone reports whether the host is down for good. A host that is replaced is listed under another ID.
	gone bool
	// expiredEnd is the highest end number at the last time at which the host's lease had
	// expired. Ends up to it do not bind the owner.
	expiredEnd int64
}

// simOwner is an owner and what it can reach.
type simOwner struct {
	state       *shard.State
	holding     map[string]bool
	partitioned bool
	// unreachable holds the hosts that the owner cannot reach.
	unreachable map[string]bool
	stopped     bool
	// lateUntil is until when the owner's process reads few of the answers that hosts send.
	lateUntil time.Time
}

// simMessage is a message that is being sent, or its answer. It takes effect at the time at.
type simMessage struct {
	at time.Time
	do func()
}

// free returns the capacity that no run takes.
func (h *simHost) free() batch.Size {
	left := h.capacity
	for _, r := range h.running {
		left = left.Sub(r.need)
	}
	return left
}

// extendLease extends the lease up to a deadline, which is shortened to the longest lease.
func (h *simHost) extendLease(deadline time.Duration) {
	h.deadline = max(h.deadline, min(deadline, h.clock+timing.MaxLease))
}

// endRun ends a run and reports its end.
func (w *simulation) endRun(h *simHost, task string, result port.Result) {
	r := h.running[task]
	w.logf("end %s run %d on %s: %s", task, r.run, h.id, result)
	delete(h.running, task)
	h.number++
	h.highestEnded[task] = max(h.highestEnded[task], r.run)
	h.ended = append(h.ended, port.FinishedRun{Number: h.number, Unit: task, Run: r.run, Result: result})
}

// runHost advances a host by one step.
func (w *simulation) runHost(h *simHost) {
	if h.down {
		return
	}
	step := time.Duration(float64(simStep) * h.clockRate)
	h.clock += step
	if h.clock > h.deadline {
		h.expiredEnd = h.number
	}
	for _, task := range sortedKeys(h.running) {
		r := h.running[task]
		r.left -= simStep
		switch {
		case h.clock > h.deadline:
			w.endRun(h, task, port.ResultLeaseExpired)
		case r.lasts:
			if w.rand.IntN(lastingFailure) == 0 {
				w.endRun(h, task, port.ResultFailed)
			}
		case r.left <= 0 && w.failsAtEnd(task):
			w.endRun(h, task, port.ResultFailed)
		case r.left <= 0:
			w.done[task] = true
			w.doneAt[port.ActiveRun{Unit: task, Run: r.run}] = w.now
			w.endRun(h, task, port.ResultDone)
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// ackEnds makes a host drop the ends up to a number.
func (w *simulation) ackEnds(h *simHost, seen int64) {
	for len(h.ended) > 0 && h.ended[0].Number <= seen {
		e := h.ended[0]
		h.ended = h.ended[1:]
		if e.Result == port.ResultDone && e.Number > h.expiredEnd {
			w.acked[e.Unit] = true
			require.Falsef(w.t, w.started[e.Unit].After(w.doneAt[port.ActiveRun{Unit: e.Unit, Run: e.Run}]),
				"end of %s run %d acknowledged although the task was started after it", e.Unit, e.Run)
			for _, other := range w.hosts {
				if r := other.running[e.Unit]; r != nil && r.run > e.Run && !other.down {
					require.Failf(w.t, "end acknowledged after a later start", "%s run %d, run %d runs on %s", e.Unit, e.Run, r.run, other.id)
				}
			}
		}
		if e.Result == port.ResultFailed {
			w.failures[e.Unit]++
		}
	}
}
