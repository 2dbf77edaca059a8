package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fleet is a stand-in of the machines and of the workers on them. One lock guards everything.
type Fleet struct {
	mu       sync.Mutex
	store    *Store
	rec      *Recorder
	machines map[string]*Machine
	issued   int
	standby  string
	// waves holds the published waves by number.
	waves map[int64]*Wave
	// broken holds the rules that were seen broken.
	onStart func(start Start)
	onEnd   func(worker, task string, run int64, how string)
}

// Wave is a wave of upkeep as the operator has published it.
type Wave struct {
	Wave      int64    `json:"wave"`
	Machines  []string `json:"machines"`
	DurationS int      `json:"duration_s"`
	Cap       int      `json:"cap"`
}

// Start is a start that a worker has carried out.
type Start struct {
	Worker, Task string
	Run          int64
	Token        int64
}

// Machine is a machine of the platform.
type Machine struct {
	id, pool, state, zone, rack, address string
	worker                               *Worker
	backAt                               time.Time
	token                                int64
	holder                               string
	done                                 map[int64]bool
	// from is the pool from which the machine was moved last.
	from string
	// wave is the wave of the upkeep in progress.
	wave int64
}

// Worker is one life of a machine.
type Worker struct {
	id       string
	machine  *Machine
	born     time.Time
	token    int64
	leaseEnd time.Time
	running  map[string]*run
	finished []end
	last     int64
	closed   map[string]int64
	changed  chan struct{}
	beat     time.Time
	sequence int
}

type run struct {
	number  int64
	spec    string
	started time.Time
	stopAt  time.Time
}

type end struct {
	number int64
	task   string
	run    int64
	how    string
}

// The figures of a small installation.
const (
	workerCPU, workerMemory = 16000, 65536
	maxHold                 = 10 * time.Second
	beatInterval            = 1500 * time.Millisecond
	moveTime                = 1500 * time.Millisecond
	upkeepTime              = 2 * time.Second
	startupTime             = 700 * time.Millisecond
	stopTime                = 100 * time.Millisecond
	failTime                = 200 * time.Millisecond
)

func newFleet(s *Store, rec *Recorder) *Fleet {
	f := &Fleet{store: s, rec: rec, machines: map[string]*Machine{}, waves: map[int64]*Wave{}}
	go func() {
		for range time.Tick(10 * time.Millisecond) {
			f.mu.Lock()
			f.advance(time.Now())
			f.mu.Unlock()
		}
	}()
	return f
}

// Add adds a machine with a worker, or one that is off in the standby pool.
func (f *Fleet) Add(id, pool, zone, rack, ip string) error {
	m := &Machine{id: id, pool: pool, state: "up", zone: zone, rack: rack, done: map[int64]bool{}}
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	m.address = l.Addr().String()
	mux := http.NewServeMux()
	for _, verb := range []string{"run-start", "run-stop", "hold", "pace"} {
		mux.HandleFunc("POST /v1/"+verb, func(w http.ResponseWriter, r *http.Request) { f.serve(m, verb, w, r) })
	}
	mux.HandleFunc("GET /", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	go http.Serve(l, mux)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.machines[id] = m
	if pool != f.standby {
		f.boot(m)
	}
	return nil
}

func (f *Fleet) boot(m *Machine) {
	f.issued++
	m.state = "up"
	m.worker = &Worker{
		id: fmt.Sprintf("i-%06x", f.issued), machine: m, born: time.Now(), running: map[string]*run{},
		closed: map[string]int64{}, changed: make(chan struct{}),
	}
}

func (w *Worker) clock(now time.Time) int64 { return now.Sub(w.born).Milliseconds() }

func (w *Worker) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}

func (f *Fleet) register(w *Worker, now time.Time) {
	w.beat = now
	w.sequence++
	f.store.Put("keyed.servers", w.id, map[string]any{
		"service": w.machine.pool, "address": w.machine.address, "zone": w.machine.zone, "version": "v1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "sequence": w.sequence, "born": w.born.UnixMilli(), "clock_ms": w.clock(now),
		"capacity": map[string]int{"cpu": workerCPU, "memory_request_mb": workerMemory, "gpu": 0}, "labels": []string{"a", w.machine.rack},
	})
}

func (f *Fleet) advance(now time.Time) {
	for _, id := range sorted(f.machines) {
		m := f.machines[id]
		if m.state != "up" && now.After(m.backAt) {
			m.wave = 0
			m.state = "up"
			if m.pool != f.standby {
				f.boot(m)
				f.rec.Log("machine %s is up again as worker %s", m.id, m.worker.id)
			}
		}
		w := m.worker
		if w == nil {
			continue
		}
		if now.Sub(w.beat) > beatInterval {
			f.register(w, now)
		}
		for _, task := range sorted(w.running) {
			r := w.running[task]
			switch {
			case !r.stopAt.IsZero() && now.After(r.stopAt):
				f.endRun(w, task, "stopped")
			case now.After(w.leaseEnd):
				f.endRun(w, task, "lapsed")
			case strings.HasPrefix(r.spec, "fail") && now.Sub(r.started) > failTime:
				f.endRun(w, task, "failed")
			case strings.HasPrefix(r.spec, "last") || strings.HasPrefix(r.spec, "wait"):
			default:
				if ms, err := strconv.Atoi(strings.Fields(r.spec + " 0")[0]); err != nil || now.Sub(r.started) > time.Duration(ms)*time.Millisecond {
					f.endRun(w, task, "done")
				}
			}
		}
	}
}

func (f *Fleet) endRun(w *Worker, task, how string) {
	r := w.running[task]
	delete(w.running, task)
	w.last++
	w.closed[task] = max(w.closed[task], r.number)
	w.finished = append(w.finished, end{w.last, task, r.number, how})
	f.rec.Log("run %s %d on %s ended: %s", task, r.number, w.id, how)
	if f.onEnd != nil {
		f.onEnd(w.id, task, r.number, how)
	}
	w.notify()
}

// remove ends a worker with all that runs on it.
func (f *Fleet) remove(m *Machine, why string) {
	w := m.worker
	if w == nil {
		return
	}
	for _, task := range sorted(w.running) {
		f.rec.Log("run %s %d on %s ended with its worker (%s)", task, w.running[task].number, w.id, why)
		if f.onEnd != nil {
			f.onEnd(w.id, task, w.running[task].number, why)
		}
	}
	m.worker = nil
	w.notify()
	f.store.Put("keyed.servers", w.id, nil)
}

// Crash ends the worker on a machine without notice. The machine is down for a time.
func (f *Fleet) Crash(m *Machine, down time.Duration) {
	f.rec.Log("DISRUPTION worker %s on %s crashes, down for %v", m.worker.id, m.id, down)
	w := m.worker
	for _, task := range sorted(w.running) {
		f.rec.Log("run %s %d on %s ended with its worker (crash)", task, w.running[task].number, w.id)
	}
	m.worker = nil
	w.notify()
	m.state, m.backAt = "down", time.Now().Add(down)
	go func() {
		// The record of a worker that crashed is removed after three check-in intervals.
		time.Sleep(3 * beatInterval)
		f.store.Put("keyed.servers", w.id, nil)
	}()
}

// Finish ends the run of a task with success, if it runs.
func (f *Fleet) Finish(task string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range sorted(f.machines) {
		if w := f.machines[id].worker; w != nil && w.running[task] != nil {
			f.endRun(w, task, "done")
			return true
		}
	}
	return false
}

// await waits until a condition holds, which it checks under the lock.
func (f *Fleet) await(limit time.Duration, ok func() bool) error {
	return until(limit, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return ok()
	})
}

// On returns the machine on which a task runs, and for how long it has, or nil.
func (f *Fleet) On(task string) (*Machine, time.Duration) {
	for _, id := range sorted(f.machines) {
		if w := f.machines[id].worker; w != nil && w.running[task] != nil {
			return f.machines[id], time.Since(w.running[task].started)
		}
	}
	return nil, 0
}

func sorted[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

// call is the body of a call to a worker.
type call struct {
	Task          string `json:"task"`
	Run           int64  `json:"run"`
	Specification string `json:"specification"`
	DeadlineMS    int64  `json:"deadline_ms"`
	Token         int64  `json:"fencing_token"`
	LastSeen      int64  `json:"last_seen"`
	WaitMS        int64  `json:"wait_ms"`
}

func (f *Fleet) serve(m *Machine, verb string, rw http.ResponseWriter, r *http.Request) {
	var c call
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		answer(rw, http.StatusBadRequest, map[string]any{})
		return
	}
	timeout := time.After(time.Duration(c.WaitMS) * time.Millisecond)
	waited := c.WaitMS == 0
	for {
		f.mu.Lock()
		w := m.worker
		if w == nil {
			f.mu.Unlock()
			// Nothing listens on a machine that is down: the connection breaks.
			if hj, ok := rw.(http.Hijacker); ok {
				if conn, _, err := hj.Hijack(); err == nil {
					conn.Close()
				}
			}
			return
		}
		changed := w.changed
		status, body := http.StatusMisdirectedRequest, map[string]any{}
		if expected := r.Header.Get("Expected-Instance"); expected == "" || expected == w.id {
			status, body = f.handle(w, verb, &c, time.Now())
		}
		ready := waited || status != http.StatusOK || len(w.finished) > 0
		f.mu.Unlock()
		if ready {
			answer(rw, status, body)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
}

func (f *Fleet) handle(w *Worker, verb string, c *call, now time.Time) (int, map[string]any) {
	body := map[string]any{"clock_ms": w.clock(now), "born": w.born.UnixMilli()}
	refuse := func(reason string) (int, map[string]any) {
		body["reason"] = reason
		return http.StatusConflict, body
	}
	if c.Token < w.token {
		return refuse("fence")
	}
	w.token = c.Token
	if verb == "run-start" && c.DeadlineMS < w.clock(now) {
		return refuse("late")
	}
	if c.DeadlineMS > 0 {
		until := w.born.Add(time.Duration(c.DeadlineMS) * time.Millisecond)
		if latest := now.Add(maxHold); until.After(latest) {
			until = latest
		}
		if until.After(w.leaseEnd) {
			w.leaseEnd = until
		}
	}
	switch verb {
	case "run-start":
		if r := w.running[c.Task]; r != nil && r.number == c.Run {
			return http.StatusOK, body
		}
		if c.Run <= w.closed[c.Task] {
			return refuse("old")
		}
		if r := w.running[c.Task]; r != nil && r.number >= c.Run {
			return refuse("old")
		}
		w.running[c.Task] = &run{number: c.Run, spec: c.Specification, started: now}
		f.rec.Log("run %s %d started on %s (machine %s, fence number %d)", c.Task, c.Run, w.id, w.machine.id, c.Token)
		if f.onStart != nil {
			f.onStart(Start{w.id, c.Task, c.Run, c.Token})
		}
	case "run-stop":
		w.closed[c.Task] = max(w.closed[c.Task], c.Run)
		if r := w.running[c.Task]; r != nil && r.number <= c.Run && r.stopAt.IsZero() {
			f.rec.Log("stop of run %s %d ordered on %s (fence number %d)", c.Task, r.number, w.id, c.Token)
			r.stopAt = now.Add(stopTime)
		}
	case "hold":
		for len(w.finished) > 0 && w.finished[0].number <= c.LastSeen {
			w.finished = w.finished[1:]
		}
		running, finished := [][]any{}, [][]any{}
		for _, task := range sorted(w.running) {
			r := w.running[task]
			percent := 0
			if strings.HasPrefix(r.spec, "last") && now.Sub(r.started) > startupTime {
				percent = 100
			}
			running = append(running, []any{task, r.number, "", percent, 1000})
		}
		// Ends are returned 500 at a time.
		for _, e := range w.finished[:min(len(w.finished), 500)] {
			finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
		}
		body["running"], body["finished"] = running, finished
	}
	return http.StatusOK, body
}
