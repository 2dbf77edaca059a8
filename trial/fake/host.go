package fake

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Specifications of tasks that the stand-in's hosts understand: a duration in
// milliseconds, or one of these.
const (
	// SpecFail makes each run fail, and TextLast makes it last.
	SpecFail            = "fail"
	SpecRunUntilStopped = "last"
)

const (
	// startupDuration is how long a unit that lasts takes to be at work.
	startupDuration = 150 * time.Millisecond
	// failDuration is how long a run that fails takes.
	failDuration = 60 * time.Millisecond
	// stopDuration is how long a host takes to end a run.
	stopDuration = 40 * time.Millisecond
	// hostCores and hostMemory are a host's capacity.
	hostCores, hostMemory = 4000, 16000
)

// run is a run on a host.
type run struct {
	number        int64
	specification string
	startedAt     time.Time
	stopOrderedAt time.Time
}

// finishedRun is an end that the host lists.
type finishedRun struct {
	number int64
	task   string
	run    int64
	result string
	// leaseExpired says that the host's lease has run out since.
	leaseExpired bool
}

// host is one life of a machine.
type host struct {
	id            string
	pool          string
	machine       *machine
	bootedAt      time.Time
	token         int64
	leaseEnd      time.Time
	running       map[string]*run
	finished      []*finishedRun
	number        int64
	closedRuns    map[string]int64
	draining      bool
	unreachable   bool
	lastHeartbeat time.Time
	sequence      int
	changed       chan struct{}
}

func (h *host) clock(now time.Time) int64 { return now.Sub(h.bootedAt).Milliseconds() }

// boot starts a new life of a machine.
func (s *state) boot(m *machine, now time.Time) {
	s.hostsIssued++
	h := &host{
		id: fmt.Sprintf("i-%04d", s.hostsIssued), pool: m.pool, machine: m, bootedAt: now, running: map[string]*run{},
		closedRuns: map[string]int64{}, changed: make(chan struct{}),
	}
	m.host, m.state = h, stateUp
	s.hosts[h.id] = h
}

// removeHost ends a life.
func (s *state) removeHost(h *host) {
	for unit, r := range h.running {
		s.checker.runEnded(unit, r.number)
	}
	h.running = map[string]*run{}
	h.notify()
	delete(s.hosts, h.id)
	s.store.partition("keyed.servers", "0").put(h.id, nil)
	h.machine.host = nil
}

func (h *host) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// advance lets runs end, leases run out and records be written.
func (h *host) advance(s *state, now time.Time) {
	lapsed := now.After(h.leaseEnd)
	if lapsed {
		for _, e := range h.finished {
			e.leaseExpired = true
		}
	}
	for _, unit := range sortedKeys(h.running) {
		r := h.running[unit]
		if result := r.result(now, lapsed); result != "" {
			h.endRun(s, unit, result)
		}
	}
	if !h.unreachable && now.Sub(h.lastHeartbeat) > s.timing.HeartbeatInterval {
		h.lastHeartbeat = now
		h.writeRecord(s, now)
	}
}

// result is how a run has ended; empty while it goes on.
func (r *run) result(now time.Time, lapsed bool) string {
	took := now.Sub(r.startedAt)
	switch {
	case !r.stopOrderedAt.IsZero() && now.Sub(r.stopOrderedAt) > stopDuration:
		return "stopped"
	case lapsed:
		return "lapsed"
	case r.specification == SpecRunUntilStopped:
		return ""
	case r.specification == SpecFail:
		if took > failDuration {
			return "failed"
		}
		return ""
	}
	ms, err := strconv.Atoi(r.specification)
	if err != nil || took > time.Duration(ms)*time.Millisecond {
		return "done"
	}
	return ""
}

func (h *host) endRun(s *state, unit, result string) {
	r := h.running[unit]
	delete(h.running, unit)
	h.number++
	h.closedRuns[unit] = max(h.closedRuns[unit], r.number)
	h.finished = append(h.finished, &finishedRun{number: h.number, task: unit, run: r.number, result: result})
	s.checker.runEnded(unit, r.number)
	if result == "done" {
		s.checker.done[unit] = true
	}
	h.notify()
}

// writeRecord puts the host's record into the store.
func (h *host) writeRecord(s *state, now time.Time) {
	h.sequence++
	state := "ready"
	if h.draining {
		state = "draining"
	}
	raw, err := json.Marshal(map[string]any{
		"service": h.pool, "address": h.machine.address, "zone": h.machine.zone, "version": "v1", "slots": 8,
		"state": state, "sequence": h.sequence, "born": h.bootedAt.UnixMilli(), "clock_ms": h.clock(now),
		"capacity": map[string]int{"cpu": hostCores, "memory_request_mb": hostMemory, "gpu": 0},
		"labels":   []string{"a", h.machine.rack},
	})
	if err != nil {
		s.addViolation("record of %s: %v", h.id, err)
		return
	}
	s.store.partition("keyed.servers", "0").put(h.id, raw)
}

// hostOrder is what an entry sends to a host.
type hostOrder struct {
	Task          string `json:"task"`
	Run           int64  `json:"run"`
	Specification string `json:"specification"`
	DeadlineMS    int64  `json:"deadline_ms"`
	Token         int64  `json:"fencing_token"`
	LastSeen      int64  `json:"last_seen"`
	WaitMS        int64  `json:"wait_ms"`
	Ticket        string `json:"ticket"`
}

// reply is a host's answer.
type reply struct {
	status int
	body   map[string]any
}

func (w *Platform) hostHandler(machine string) http.Handler {
	mux := http.NewServeMux()
	handle := func(path string, f func(*state, *host, *hostOrder, time.Time) reply) {
		mux.HandleFunc("POST "+path, func(rw http.ResponseWriter, r *http.Request) {
			var o hostOrder
			if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
				writeJSON(rw, http.StatusBadRequest, map[string]string{"reason": err.Error()})
				return
			}
			w.serveOrder(rw, r, machine, &o, f)
		})
	}
	handle("/v1/run-start", (*state).start)
	handle("/v1/run-stop", (*state).stop)
	handle("/v1/hold", (*state).hold)
	handle("/v1/pace", func(_ *state, h *host, _ *hostOrder, now time.Time) reply {
		return reply{http.StatusOK, map[string]any{"clock_ms": h.clock(now)}}
	})
	return mux
}

func (w *Platform) serveOrder(
	rw http.ResponseWriter, r *http.Request, machine string, o *hostOrder, f func(*state, *host, *hostOrder, time.Time) reply,
) {
	until := time.After(time.Duration(o.WaitMS) * time.Millisecond)
	waited := o.WaitMS == 0
	for {
		var out *reply
		var changed chan struct{}
		dark := false
		w.do(func(s *state) {
			h := s.machines[machine].host
			if h == nil || h.unreachable {
				dark = true
				return
			}
			changed = h.changed
			if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != h.id {
				out = &reply{http.StatusMisdirectedRequest, map[string]any{}}
				return
			}
			one := f(s, h, o, time.Now())
			if waited || one.status != http.StatusOK || len(h.finished) > 0 {
				out = &one
			}
		})
		if dark {
			hang(r)
			return
		}
		if out != nil {
			writeJSON(rw, out.status, out.body)
			return
		}
		select {
		case <-changed:
		case <-until:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
}

// admit checks an order's token and takes its deadline.
func (h *host) admit(o *hostOrder, now time.Time, longest time.Duration) *reply {
	body := map[string]any{"clock_ms": h.clock(now), "reason": "fence"}
	if o.Token < h.token {
		return &reply{http.StatusConflict, body}
	}
	h.token = o.Token
	if o.DeadlineMS > 0 {
		at := h.bootedAt.Add(time.Duration(o.DeadlineMS) * time.Millisecond)
		if most := now.Add(longest); at.After(most) {
			at = most
		}
		if at.After(h.leaseEnd) {
			h.leaseEnd = at
		}
	}
	return nil
}

func (s *state) start(h *host, o *hostOrder, now time.Time) reply {
	refuse := func(why string) reply {
		return reply{http.StatusConflict, map[string]any{"clock_ms": h.clock(now), "reason": why}}
	}
	if o.DeadlineMS < h.clock(now) {
		return refuse("late")
	}
	if no := h.admit(o, now, s.timing.MaxLease); no != nil {
		return *no
	}
	ok := reply{http.StatusOK, map[string]any{"clock_ms": h.clock(now)}}
	if r := h.running[o.Task]; r != nil && r.number == o.Run {
		return ok
	}
	if o.Run <= h.closedRuns[o.Task] {
		return refuse("old")
	}
	if h.pool == s.advisedPool && (!approves(h.machine) || o.Ticket != ticketFor(stepOf(o.Task), h.id)) {
		s.refusedForTicket++
		return refuse("ticket")
	}
	if len(h.running) >= hostCores/taskCores {
		return refuse("room")
	}
	s.checker.checkStart(s, h, o)
	h.running[o.Task] = &run{number: o.Run, specification: o.Specification, startedAt: now}
	return ok
}

func (s *state) stop(h *host, o *hostOrder, now time.Time) reply {
	if no := h.admit(o, now, s.timing.MaxLease); no != nil {
		return *no
	}
	h.closedRuns[o.Task] = max(h.closedRuns[o.Task], o.Run)
	if r := h.running[o.Task]; r != nil && r.number <= o.Run && r.stopOrderedAt.IsZero() {
		r.stopOrderedAt = now
	}
	return reply{http.StatusOK, map[string]any{"clock_ms": h.clock(now)}}
}

func (s *state) hold(h *host, o *hostOrder, now time.Time) reply {
	if no := h.admit(o, now, s.timing.MaxLease); no != nil {
		return *no
	}
	for len(h.finished) > 0 && h.finished[0].number <= o.LastSeen {
		s.checker.acknowledge(s, h.finished[0])
		h.finished = h.finished[1:]
	}
	running, finished := [][]any{}, [][]any{}
	for _, unit := range sortedKeys(h.running) {
		r := h.running[unit]
		percent := 0
		if r.specification == SpecRunUntilStopped && now.Sub(r.startedAt) > startupDuration {
			percent = 100
		}
		running = append(running, []any{unit, r.number, "", percent, 0})
	}
	for _, e := range h.finished {
		finished = append(finished, []any{e.number, e.task, e.run, e.result, ""})
	}
	return reply{http.StatusOK, map[string]any{
		"clock_ms": h.clock(now), "born": h.bootedAt.UnixMilli(), "running": running, "finished": finished,
	}}
}

// CrashHosts ends some hosts of a pool without a word; they are back after a time.
func (w *Platform) CrashHosts(pool string, count int, back time.Duration) {
	w.do(func(s *state) {
		for _, id := range sortedKeys(s.hosts) {
			if h := s.hosts[id]; h.pool == pool && count > 0 {
				count--
				m := h.machine
				s.removeHost(h)
				m.state, m.awayUntil = stateDown, time.Now().Add(back)
			}
		}
	})
}

// SetUnreachable cuts some hosts of a pool off; they run on.
func (w *Platform) SetUnreachable(pool string, count int, dark bool) {
	w.do(func(s *state) {
		for _, id := range sortedKeys(s.hosts) {
			if h := s.hosts[id]; h.pool == pool && count > 0 {
				count--
				h.unreachable = dark
			}
		}
	})
}

// jobOf is the ID of a task's jobOf.
func jobOf(unit string) string { return unit[:strings.IndexByte(unit, '.')] }
