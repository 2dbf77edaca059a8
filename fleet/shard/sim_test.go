package shard_test

import (
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"carawaymux.dev/fleet/port"
	"carawaymux.dev/fleet/shard"
)

// simRun is a run on a host.
type simRun struct {
	run  int64
	left time.Duration
}

// simHost is a host as the platform describes it.
type simHost struct {
	id          string
	clock       time.Duration
	clockRate   float64
	incarnation int64
	token       int64
	deadline    time.Duration
	running     map[string]*simRun
	ended       []port.Ended
	number      int64
	// highestEnded is the highest run of each unit that was stopped or ended here.
	highestEnded map[string]int64
	down         bool
	// expiredEnd is the highest end after which the host's lease has run out; such an end
	// does not bind the owner any more.
	expiredEnd int64
}

// simOwner is an owner with what it has under way.
type simOwner struct {
	state       *shard.State
	holding     map[string]bool
	partitioned bool
	// unreachable holds hosts that the owner cannot reach.
	unreachable map[string]bool
	stopped     bool
}

// simMessage is a message on its way, or its answer.
type simMessage struct {
	at time.Time
	do func()
}

func (w *simulation) endRun(h *simHost, unit string, result port.Result) {
	r := h.running[unit]
	w.logf("end %s run %d on %s: %s", unit, r.run, h.id, result)
	delete(h.running, unit)
	h.number++
	h.highestEnded[unit] = max(h.highestEnded[unit], r.run)
	h.ended = append(h.ended, port.Ended{Number: h.number, Unit: unit, Run: r.run, Result: result})
}

// runHost lets a host's time pass.
func (w *simulation) runHost(h *simHost) {
	if h.down {
		return
	}
	step := time.Duration(float64(simStep) * h.clockRate)
	h.clock += step
	if h.clock > h.deadline {
		h.expiredEnd = h.number
	}
	for _, unit := range sortedKeys(h.running) {
		r := h.running[unit]
		r.left -= simStep
		switch {
		case h.clock > h.deadline:
			w.endRun(h, unit, port.ResultLapsed)
		case r.left <= 0 && w.rand.IntN(12) == 0:
			w.endRun(h, unit, port.ResultFailed)
		case r.left <= 0:
			w.done[unit] = true
			w.endRun(h, unit, port.ResultDone)
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

// ackEnds lets a host forget ends.
func (w *simulation) ackEnds(h *simHost, seen int64) {
	for len(h.ended) > 0 && h.ended[0].Number <= seen {
		e := h.ended[0]
		h.ended = h.ended[1:]
		if e.Result == port.ResultDone && e.Number > h.expiredEnd {
			w.acked[e.Unit] = true
			for _, other := range w.hosts {
				if r := other.running[e.Unit]; r != nil && r.run > e.Run && !other.down {
					require.Failf(w.t, "noted after a later start", "%s run %d, run %d runs on %s", e.Unit, e.Run, r.run, other.id)
				}
			}
		}
		if e.Result == port.ResultFailed {
			w.failures[e.Unit]++
		}
	}
}
