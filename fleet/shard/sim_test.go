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
	id       string
	clock    time.Duration
	rate     float64
	born     int64
	token    int64
	deadline time.Duration
	running  map[string]*simRun
	ended    []port.FinishedRun
	number   int64
	// barred is the highest run of each unit that was stopped or ended here.
	barred map[string]int64
	down   bool
	// lapsed is the highest end after which the host's lease has run out; such an end
	// does not bind the owner any more.
	lapsed int64
}

// simOwner is an owner with what it has under way.
type simOwner struct {
	s       *shard.State
	holding map[string]bool
	cut     bool
	// blind holds hosts that the owner cannot reach.
	blind map[string]bool
	gone  bool
}

// letter is a message on its way, or its answer.
type letter struct {
	at time.Time
	do func()
}

func (w *world) end(h *simHost, unit string, result port.Result) {
	r := h.running[unit]
	w.tell("end %s run %d on %s: %s", unit, r.run, h.id, result)
	delete(h.running, unit)
	h.number++
	h.barred[unit] = max(h.barred[unit], r.run)
	h.ended = append(h.ended, port.FinishedRun{Number: h.number, Unit: unit, Run: r.run, Result: result})
}

// live lets a host's time pass.
func (w *world) live(h *simHost) {
	if h.down {
		return
	}
	step := time.Duration(float64(modelStep) * h.rate)
	h.clock += step
	if h.clock > h.deadline {
		h.lapsed = h.number
	}
	for _, unit := range sortedKeys(h.running) {
		r := h.running[unit]
		r.left -= modelStep
		switch {
		case h.clock > h.deadline:
			w.end(h, unit, port.ResultLeaseExpired)
		case r.left <= 0 && w.r.IntN(12) == 0:
			w.end(h, unit, port.ResultFailed)
		case r.left <= 0:
			w.done[unit] = true
			w.end(h, unit, port.ResultDone)
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

// note lets a host forget ends.
func (w *world) note(h *simHost, seen int64) {
	for len(h.ended) > 0 && h.ended[0].Number <= seen {
		e := h.ended[0]
		h.ended = h.ended[1:]
		if e.Result == port.ResultDone && e.Number > h.lapsed {
			w.noted[e.Unit] = true
			for _, other := range w.hosts {
				if r := other.running[e.Unit]; r != nil && r.run > e.Run && !other.down {
					require.Failf(w.t, "noted after a later start", "%s run %d, run %d runs on %s", e.Unit, e.Run, r.run, other.id)
				}
			}
		}
		if e.Result == port.ResultFailed {
			w.fails[e.Unit]++
		}
	}
}
