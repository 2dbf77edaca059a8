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
	// startup is how long a unit that lasts takes to be at work.
	startup = 150 * time.Millisecond
	// failsAfter is how long a run that fails takes.
	failsAfter = 60 * time.Millisecond
	// stopTakes is how long a host takes to end a run.
	stopTakes = 40 * time.Millisecond
	// hostCores and hostMemory are a host's capacity.
	hostCores, hostMemory = 4000, 16000
)

// run is a run on a host.
type run struct {
	number  int64
	text    string
	began   time.Time
	stopped time.Time
}

// ended is an end that the host lists.
type ended struct {
	number int64
	unit   string
	run    int64
	result string
	// lapsed says that the host's lease has run out since.
	lapsed bool
}

// host is one life of a machine.
type host struct {
	id       string
	pool     string
	machine  *machine
	born     time.Time
	token    int64
	deadline time.Time
	running  map[string]*run
	ended    []*ended
	number   int64
	barred   map[string]int64
	draining bool
	dark     bool
	beat     time.Time
	sequence int
	changed  chan struct{}
}

func (h *host) clock(now time.Time) int64 { return now.Sub(h.born).Milliseconds() }

// boot starts a new life of a machine.
func (s *state) boot(m *machine, now time.Time) {
	s.issued++
	h := &host{
		id: fmt.Sprintf("i-%04d", s.issued), pool: m.pool, machine: m, born: now, running: map[string]*run{},
		barred: map[string]int64{}, changed: make(chan struct{}),
	}
	m.host, m.state = h, stateUp
	s.hosts[h.id] = h
}

// gone ends a life.
func (s *state) gone(h *host) {
	for unit, r := range h.running {
		s.seen.left(unit, r.number)
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
	lapsed := now.After(h.deadline)
	if lapsed {
		for _, e := range h.ended {
			e.lapsed = true
		}
	}
	for _, unit := range keys(h.running) {
		r := h.running[unit]
		if result := r.result(now, lapsed); result != "" {
			h.end(s, unit, result)
		}
	}
	if !h.dark && now.Sub(h.beat) > s.rules.HeartbeatInterval {
		h.beat = now
		h.write(s, now)
	}
}

// result is how a run has ended; empty while it goes on.
func (r *run) result(now time.Time, lapsed bool) string {
	took := now.Sub(r.began)
	switch {
	case !r.stopped.IsZero() && now.Sub(r.stopped) > stopTakes:
		return "stopped"
	case lapsed:
		return "lapsed"
	case r.text == SpecRunUntilStopped:
		return ""
	case r.text == SpecFail:
		if took > failsAfter {
			return "failed"
		}
		return ""
	}
	ms, err := strconv.Atoi(r.text)
	if err != nil || took > time.Duration(ms)*time.Millisecond {
		return "done"
	}
	return ""
}

func (h *host) end(s *state, unit, result string) {
	r := h.running[unit]
	delete(h.running, unit)
	h.number++
	h.barred[unit] = max(h.barred[unit], r.number)
	h.ended = append(h.ended, &ended{number: h.number, unit: unit, run: r.number, result: result})
	s.seen.left(unit, r.number)
	if result == "done" {
		s.seen.done[unit] = true
	}
	h.notify()
}

// write puts the host's record into the store.
func (h *host) write(s *state, now time.Time) {
	h.sequence++
	state := "ready"
	if h.draining {
		state = "draining"
	}
	raw, err := json.Marshal(map[string]any{
		"service": h.pool, "address": h.machine.address, "zone": h.machine.zone, "version": "v1", "slots": 8,
		"state": state, "sequence": h.sequence, "born": h.born.UnixMilli(), "clock_ms": h.clock(now),
		"capacity": map[string]int{"cpu": hostCores, "memory_request_mb": hostMemory, "gpu": 0},
		"labels":   []string{"a", h.machine.rack},
	})
	if err != nil {
		s.broken("record of %s: %v", h.id, err)
		return
	}
	s.store.partition("keyed.servers", "0").put(h.id, raw)
}

// order is what an entry sends to a host.
type order struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	Text     string `json:"specification"`
	Deadline int64  `json:"deadline_ms"`
	Token    int64  `json:"fencing_token"`
	Seen     int64  `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
	Ticket   string `json:"ticket"`
}

// reply is a host's answer.
type reply struct {
	status int
	body   map[string]any
}

func (w *Platform) hostHandler(machine string) http.Handler {
	mux := http.NewServeMux()
	handle := func(path string, f func(*state, *host, *order, time.Time) reply) {
		mux.HandleFunc("POST "+path, func(rw http.ResponseWriter, r *http.Request) {
			var o order
			if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
				answer(rw, http.StatusBadRequest, map[string]string{"reason": err.Error()})
				return
			}
			w.serveOrder(rw, r, machine, &o, f)
		})
	}
	handle("/v1/run-start", (*state).start)
	handle("/v1/run-stop", (*state).stop)
	handle("/v1/hold", (*state).hold)
	handle("/v1/pace", func(_ *state, h *host, _ *order, now time.Time) reply {
		return reply{http.StatusOK, map[string]any{"clock_ms": h.clock(now)}}
	})
	return mux
}

func (w *Platform) serveOrder(
	rw http.ResponseWriter, r *http.Request, machine string, o *order, f func(*state, *host, *order, time.Time) reply,
) {
	until := time.After(time.Duration(o.Wait) * time.Millisecond)
	waited := o.Wait == 0
	for {
		var out *reply
		var changed chan struct{}
		dark := false
		w.do(func(s *state) {
			h := s.machines[machine].host
			if h == nil || h.dark {
				dark = true
				return
			}
			changed = h.changed
			if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != h.id {
				out = &reply{http.StatusMisdirectedRequest, map[string]any{}}
				return
			}
			one := f(s, h, o, time.Now())
			if waited || one.status != http.StatusOK || len(h.ended) > 0 {
				out = &one
			}
		})
		if dark {
			hang(r)
			return
		}
		if out != nil {
			answer(rw, out.status, out.body)
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
func (h *host) admit(o *order, now time.Time, longest time.Duration) *reply {
	body := map[string]any{"clock_ms": h.clock(now), "reason": "fence"}
	if o.Token < h.token {
		return &reply{http.StatusConflict, body}
	}
	h.token = o.Token
	if o.Deadline > 0 {
		at := h.born.Add(time.Duration(o.Deadline) * time.Millisecond)
		if most := now.Add(longest); at.After(most) {
			at = most
		}
		if at.After(h.deadline) {
			h.deadline = at
		}
	}
	return nil
}

func (s *state) start(h *host, o *order, now time.Time) reply {
	refuse := func(why string) reply {
		return reply{http.StatusConflict, map[string]any{"clock_ms": h.clock(now), "reason": why}}
	}
	if o.Deadline < h.clock(now) {
		return refuse("late")
	}
	if no := h.admit(o, now, s.rules.MaxLease); no != nil {
		return *no
	}
	ok := reply{http.StatusOK, map[string]any{"clock_ms": h.clock(now)}}
	if r := h.running[o.Task]; r != nil && r.number == o.Run {
		return ok
	}
	if o.Run <= h.barred[o.Task] {
		return refuse("old")
	}
	if h.pool == s.advised && (!approves(h.machine) || o.Ticket != ticketFor(stepOf(o.Task), h.id)) {
		s.unticketed++
		return refuse("ticket")
	}
	if len(h.running) >= hostCores/unitCores {
		return refuse("room")
	}
	s.seen.start(s, h, o)
	h.running[o.Task] = &run{number: o.Run, text: o.Text, began: now}
	return ok
}

func (s *state) stop(h *host, o *order, now time.Time) reply {
	if no := h.admit(o, now, s.rules.MaxLease); no != nil {
		return *no
	}
	h.barred[o.Task] = max(h.barred[o.Task], o.Run)
	if r := h.running[o.Task]; r != nil && r.number <= o.Run && r.stopped.IsZero() {
		r.stopped = now
	}
	return reply{http.StatusOK, map[string]any{"clock_ms": h.clock(now)}}
}

func (s *state) hold(h *host, o *order, now time.Time) reply {
	if no := h.admit(o, now, s.rules.MaxLease); no != nil {
		return *no
	}
	for len(h.ended) > 0 && h.ended[0].number <= o.Seen {
		s.seen.note(s, h.ended[0])
		h.ended = h.ended[1:]
	}
	running, finished := [][]any{}, [][]any{}
	for _, unit := range keys(h.running) {
		r := h.running[unit]
		percent := 0
		if r.text == SpecRunUntilStopped && now.Sub(r.began) > startup {
			percent = 100
		}
		running = append(running, []any{unit, r.number, "", percent, 0})
	}
	for _, e := range h.ended {
		finished = append(finished, []any{e.number, e.unit, e.run, e.result, ""})
	}
	return reply{http.StatusOK, map[string]any{
		"clock_ms": h.clock(now), "born": h.born.UnixMilli(), "running": running, "finished": finished,
	}}
}

// CrashHosts ends some hosts of a pool without a word; they are back after a time.
func (w *Platform) CrashHosts(pool string, count int, back time.Duration) {
	w.do(func(s *state) {
		for _, id := range keys(s.hosts) {
			if h := s.hosts[id]; h.pool == pool && count > 0 {
				count--
				m := h.machine
				s.gone(h)
				m.state, m.until = stateDown, time.Now().Add(back)
			}
		}
	})
}

// SetUnreachable cuts some hosts of a pool off; they run on.
func (w *Platform) SetUnreachable(pool string, count int, dark bool) {
	w.do(func(s *state) {
		for _, id := range keys(s.hosts) {
			if h := s.hosts[id]; h.pool == pool && count > 0 {
				count--
				h.dark = dark
			}
		}
	})
}

// job is the ID of a task's job.
func job(unit string) string { return unit[:strings.IndexByte(unit, '.')] }
