package fake

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Specifications of tasks that the simulated hosts accept besides a duration in milliseconds.
const (
	// SpecFail makes each run fail. SpecRunUntilStopped makes it run until it is stopped.
	SpecFail            = "fail"
	SpecRunUntilStopped = "last"
	// SpecRunUntilReleased makes all runs of a job end as done at once, when the job is released.
	SpecRunUntilReleased = "until-released"
)

const (
	// startupDuration is how long a long-running task takes to start up.
	startupDuration = 150 * time.Millisecond
	// failDuration is how long a run takes to fail.
	failDuration = 60 * time.Millisecond
	// stopDuration is how long a host takes to stop a run.
	stopDuration = 40 * time.Millisecond
)

// EndsPerAnswer is the number of finished runs that a host lists in one answer at most.
const EndsPerAnswer = 500

// run is an execution of a task that is under way on a host.
type run struct {
	number        int64
	specification string
	need          Capacity
	startedAt     time.Time
	stopOrderedAt time.Time
}

// isSmall reports whether the run takes less room than most.
func (r *run) isSmall() bool { return r.need.Cores < taskCores }

// finishedRun is a finished run that the host still reports, until an entry acknowledges it.
type finishedRun struct {
	number int64
	task   string
	run    int64
	result string
	// endedAt is when the run finished.
	endedAt time.Time
	// leaseExpired is set when the host's lease has expired since the run finished.
	leaseExpired bool
}

// host is one incarnation of a machine: it exists from a boot of the machine until it crashes,
// moves or goes into maintenance.
type host struct {
	id       string
	pool     string
	machine  *machine
	bootedAt time.Time
	token    int64
	capacity Capacity
	// formerCapacities holds the capacities that the host had before, oldest first.
	formerCapacities []formerCapacity
	// leaseEnd is when the host's lease expires and the host ends all runs.
	leaseEnd time.Time
	running  map[string]*run
	finished []*finishedRun
	// lastFinished is the number of the newest finished run.
	lastFinished int64
	// closedRuns holds the highest run of each task that has finished or that an entry has
	// ordered to stop; the host refuses to start this run and older ones.
	closedRuns map[string]int64
	draining   bool
	// unreachable makes the host neither answer calls nor write records.
	unreachable   bool
	lastHeartbeat time.Time
	sequence      int
	// changed is closed, and replaced, when a run finishes or the host is removed.
	changed chan struct{}
}

func (h *host) clock(now time.Time) int64 { return now.Sub(h.bootedAt).Milliseconds() }

// boot starts a new incarnation of a machine.
func (s *state) boot(m *machine, now time.Time) {
	id := m.nextHostID
	if id == "" {
		s.hostsIssued++
		id = fmt.Sprintf("i-%04d", s.hostsIssued)
	}
	h := &host{
		id: id, pool: m.pool, machine: m, bootedAt: now, capacity: machineCapacity, running: map[string]*run{},
		closedRuns: map[string]int64{}, changed: make(chan struct{}),
	}
	m.host, m.state, m.nextHostID = h, stateUp, ""
	delete(s.recordExpiry, id)
	s.hosts[h.id] = h
	s.notify(h, Event{Kind: HostBooted})
}

// removeHost ends an incarnation of a machine, with all its runs, and removes its record.
func (s *state) removeHost(h *host) {
	s.endHost(h)
	s.store.partition("keyed.servers", "0").put(h.id, nil)
}

// endHost ends an incarnation of a machine, with all its runs.
func (s *state) endHost(h *host) {
	for task, r := range h.running {
		s.checker.runEnded(task, r.number)
	}
	h.running = map[string]*run{}
	s.notify(h, Event{Kind: HostGone})
	h.notify()
	delete(s.hosts, h.id)
	h.machine.host = nil
}

func (h *host) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// advance crashes the host if a run causes it, ends runs that are due, applies the end of the lease and
// writes the heartbeat record.
func (h *host) advance(s *state, now time.Time) {
	if crash := h.crashDue(s, now); crash != nil {
		s.crash(h, crash.Downtime, crash.KeepID, now)
		return
	}
	leaseExpired := now.After(h.leaseEnd)
	if leaseExpired {
		for _, e := range h.finished {
			e.leaseExpired = true
		}
	}
	for _, task := range sortedKeys(h.running) {
		r := h.running[task]
		if result := r.result(now, leaseExpired, s.released[jobOf(task)]); result != "" {
			h.endRun(s, task, result, now)
		}
	}
	if !h.unreachable && now.Sub(h.lastHeartbeat) > s.timing.HeartbeatInterval {
		h.lastHeartbeat = now
		h.writeRecord(s, now)
	}
}

// result returns the result of a run that has ended, or "" while it is under way.
func (r *run) result(now time.Time, leaseExpired, released bool) string {
	took := now.Sub(r.startedAt)
	switch {
	case !r.stopOrderedAt.IsZero() && now.Sub(r.stopOrderedAt) > stopDuration:
		return "stopped"
	case leaseExpired:
		return "lapsed"
	case r.specification == SpecRunUntilStopped, r.specification == SpecRunUntilReleased && !released:
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

func (h *host) endRun(s *state, task, result string, now time.Time) {
	r := h.running[task]
	delete(h.running, task)
	h.lastFinished++
	h.closedRuns[task] = max(h.closedRuns[task], r.number)
	h.finished = append(h.finished, &finishedRun{number: h.lastFinished, task: task, run: r.number, result: result, endedAt: now})
	s.checker.runEnded(task, r.number)
	s.notify(h, Event{Kind: RunEnded, Task: task, Run: r.number, Result: result, Small: r.isSmall()})
	switch result {
	case "done":
		s.checker.done[task] = true
	case "failed":
		s.checker.failedRuns[task]++
	}
	h.notify()
}

// writeRecord writes the host's record to the store; it serves as a heartbeat.
func (h *host) writeRecord(s *state, now time.Time) {
	h.sequence++
	state := "ready"
	if h.draining {
		state = "draining"
	}
	raw, err := json.Marshal(map[string]any{
		"service": h.pool, "address": h.machine.address, "zone": h.machine.zone, "version": "v1", "slots": 8, "cold_remaining_ms": 0,
		"state": state, "sequence": h.sequence, "born": h.bootedAt.UnixMilli(), "clock_ms": h.clock(now),
		"capacity": h.capacity.wire(),
		"labels":   []string{"a", h.machine.rack},
	})
	if err != nil {
		s.addViolation("encode the record of host %s: %v", h.id, err)
		return
	}
	s.store.partition("keyed.servers", "0").put(h.id, raw)
}

// hostOrder is the body of every call from an entry to a host.
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

// reply is a host's response. It is not sent if the status is 0.
type reply struct {
	status int
	body   map[string]any
}

func (fp *Platform) hostHandler(machine string) http.Handler {
	mux := http.NewServeMux()
	handle := func(path string, f func(*state, *host, *hostOrder, time.Time) reply) {
		mux.HandleFunc("POST "+path, func(rw http.ResponseWriter, r *http.Request) {
			var o hostOrder
			if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
				writeJSON(rw, http.StatusBadRequest, map[string]string{"reason": err.Error()})
				return
			}
			fp.serveOrder(rw, r, machine, &o, f)
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

func (fp *Platform) serveOrder(
	rw http.ResponseWriter, r *http.Request, machine string, o *hostOrder, f func(*state, *host, *hostOrder, time.Time) reply,
) {
	timeout := time.After(time.Duration(o.WaitMS) * time.Millisecond)
	timedOut := o.WaitMS == 0
	for {
		var response *reply
		var changed chan struct{}
		unreachable := false
		fp.do(func(s *state) {
			h := s.machines[machine].host
			if h == nil || h.unreachable {
				unreachable = true
				return
			}
			changed = h.changed
			if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != h.id {
				response = &reply{http.StatusMisdirectedRequest, map[string]any{}}
				return
			}
			current := f(s, h, o, time.Now())
			if current.status == 0 {
				unreachable = true
				return
			}
			if timedOut || current.status != http.StatusOK || len(h.finished) > 0 {
				response = &current
			}
		})
		if unreachable {
			hang(r)
			return
		}
		if response != nil {
			writeJSON(rw, response.status, response.body)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

// admit rejects an order whose fencing token is outdated, and extends the lease up to its
// deadline otherwise.
func (h *host) admit(o *hostOrder, now time.Time, maxLease time.Duration) *reply {
	body := map[string]any{"clock_ms": h.clock(now), "reason": "fence"}
	if o.Token < h.token {
		return &reply{http.StatusConflict, body}
	}
	h.token = o.Token
	if o.DeadlineMS > 0 {
		end := h.bootedAt.Add(time.Duration(o.DeadlineMS) * time.Millisecond)
		if latest := now.Add(maxLease); end.After(latest) {
			end = latest
		}
		if end.After(h.leaseEnd) {
			h.leaseEnd = end
		}
	}
	return nil
}

func (s *state) start(h *host, o *hostOrder, now time.Time) reply {
	refuse := func(reason string) reply {
		return reply{http.StatusConflict, map[string]any{"clock_ms": h.clock(now), "reason": reason}}
	}
	if o.DeadlineMS < h.clock(now) {
		return refuse("late")
	}
	if refusal := h.admit(o, now, s.timing.MaxLease); refusal != nil {
		return *refusal
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
	if !s.unguardedPools[h.pool] && !h.capacity.fits(h.needWith(&s.checker, o.Task)) {
		return refuse("room")
	}
	s.checker.checkStart(s, h, o, now)
	r := &run{number: o.Run, specification: o.Specification, need: s.checker.needOf(o.Task), startedAt: now}
	h.running[o.Task] = r
	s.notify(h, Event{Kind: RunStarted, Task: o.Task, Run: o.Run, Specification: o.Specification, Small: r.isSmall()})
	if crash := h.crashDue(s, now); crash != nil && crash.Delay == 0 {
		s.crash(h, crash.Downtime, crash.KeepID, now)
		return reply{}
	}
	return ok
}

func (s *state) stop(h *host, o *hostOrder, now time.Time) reply {
	if refusal := h.admit(o, now, s.timing.MaxLease); refusal != nil {
		return *refusal
	}
	h.closedRuns[o.Task] = max(h.closedRuns[o.Task], o.Run)
	if r := h.running[o.Task]; r != nil && r.number <= o.Run && r.stopOrderedAt.IsZero() {
		r.stopOrderedAt = now
	}
	return reply{http.StatusOK, map[string]any{"clock_ms": h.clock(now)}}
}

func (s *state) hold(h *host, o *hostOrder, now time.Time) reply {
	if refusal := h.admit(o, now, s.timing.MaxLease); refusal != nil {
		return *refusal
	}
	for len(h.finished) > 0 && h.finished[0].number <= o.LastSeen {
		e := h.finished[0]
		h.finished = h.finished[1:]
		s.checker.acknowledge(s, e)
		s.notify(h, Event{Kind: RunAcknowledged, Task: e.task, Run: e.run, Result: e.result, LeaseExpired: e.leaseExpired})
		s.rerun(h, e, now)
	}
	running, finished := [][]any{}, [][]any{}
	for _, task := range sortedKeys(h.running) {
		r := h.running[task]
		percent := 0
		if r.specification == SpecRunUntilStopped && now.Sub(r.startedAt) > startupDuration {
			percent = 100
		}
		running = append(running, []any{task, r.number, "", percent, 0})
	}
	for _, e := range h.finished[:min(len(h.finished), EndsPerAnswer)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.result, ""})
	}
	return reply{http.StatusOK, map[string]any{
		"clock_ms": h.clock(now), "born": h.bootedAt.UnixMilli(), "running": running, "finished": finished,
	}}
}

// CrashHosts crashes up to count hosts of a pool; their machines boot again after downtime, each with a
// new host.
func (fp *Platform) CrashHosts(pool string, count int, downtime time.Duration) {
	fp.do(func(s *state) {
		for _, id := range sortedKeys(s.hosts) {
			if h := s.hosts[id]; h.pool == pool && count > 0 {
				count--
				s.crash(h, downtime, false, time.Now())
			}
		}
	})
}

// CrashMachine crashes the host of a machine, if it has one. The machine boots again after downtime with a new
// host, under the same address.
func (fp *Platform) CrashMachine(id string, downtime time.Duration) {
	fp.do(func(s *state) {
		if m := s.machines[id]; m != nil && m.host != nil {
			s.crash(m.host, downtime, false, time.Now())
		}
	})
}

// SetUnreachable disconnects up to count hosts of a pool from entries and store, or connects them
// again. Their runs continue.
func (fp *Platform) SetUnreachable(pool string, count int, unreachable bool) {
	fp.do(func(s *state) {
		for _, id := range sortedKeys(s.hosts) {
			if h := s.hosts[id]; h.pool == pool && count > 0 {
				count--
				h.unreachable = unreachable
			}
		}
	})
}

// jobOf returns the ID of a task's job.
func jobOf(task string) string { return task[:strings.IndexByte(task, '.')] }
