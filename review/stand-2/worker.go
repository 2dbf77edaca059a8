package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// beat is heartbeat_interval_ms, maxHold is max_hold_ms and stopTime is below stop_ms of the settings.
	beat, maxHold, stopTime = 1500 * time.Millisecond, 10 * time.Second, 40 * time.Millisecond
	// endsPerAnswer is the number of ends that a worker returns at a time.
	endsPerAnswer = 500
	// expiryBeats is the number of check-in intervals of silence after which the store drops an entry.
	expiryBeats = 3
)

// Size is an amount of resources.
type Size struct {
	CPU    int `json:"cpu"`
	Memory int `json:"memory_request_mb"`
	GPU    int `json:"gpu"`
}

// Need returns what a work unit requests.
type Need func(task string) Size

// gangTimeout is gang_timeout_ms of the settings.
const gangTimeout = 3 * time.Second

// Pool is the workers of a service.
type Pool struct {
	mu      sync.Mutex
	record  *Record
	store   *Store
	service string
	need    Need
	// GangSize is the number of work units of each step if the steps are gangs, and 0 otherwise.
	GangSize int
	// issued counts the ids that have been given out.
	issued  int
	workers []*Worker
	// running holds the runs that are under way, by work unit. done holds the first run of each work unit that has ended
	// done, again the last run that was started after that, and broken the work units that were found so.
	running     map[string]map[*Worker]int64
	done, again map[string]int64
	// failed holds the runs that have ended failed, by job.
	failed map[string]map[int64]bool
	broken map[string]bool
}

// Worker is a machine with its present lifetime.
type Worker struct {
	pool        *Pool
	name        string
	zone, rack  string
	address     string
	capacity    Size
	id          string
	server      *http.Server
	born        time.Time
	token       int64
	leaseEnd    time.Time
	runs        map[string]*run
	closed      map[string]int64
	ends        []end
	lastEnd     int64
	sequence    int
	changed     chan struct{}
	up, dropped bool
	silentFrom  time.Time
	machine     machineState
	// greyUntil is until when the worker fails all that it starts.
	greyUntil time.Time
}

// run is a run under way. It works from worksFrom, which is zero while the other members of its gang are missing.
type run struct {
	number               int64
	work                 time.Duration
	startedAt, worksFrom time.Time
	stopAt               time.Time
	fails                bool
}

type end struct {
	number    int64
	task      string
	run       int64
	how       string
	at        time.Time
	leaseLost bool
}

// NewPool starts the workers of a service. Each has an address of its own.
func NewPool(record *Record, store *Store, service string, count int, capacity Size, need Need) (*Pool, error) {
	p := &Pool{
		record: record, store: store, service: service, need: need,
		running: map[string]map[*Worker]int64{}, done: map[string]int64{}, again: map[string]int64{}, failed: map[string]map[int64]bool{}, broken: map[string]bool{},
	}
	for i := range count {
		w := &Worker{pool: p, name: fmt.Sprintf("%s-%d", service, i), zone: zones[i%len(zones)], rack: fmt.Sprintf("r%d-%s", i/4, service), capacity: capacity}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		w.address = l.Addr().String()
		p.workers = append(p.workers, w)
		p.mu.Lock()
		w.boot(l)
		p.mu.Unlock()
	}
	go p.advance()
	return p, nil
}

// boot starts a lifetime of a worker, which knows nothing of earlier ones.
func (w *Worker) boot(l net.Listener) {
	w.pool.issued++
	w.id = fmt.Sprintf("%s-w%03d", w.pool.service, w.pool.issued)
	w.born, w.token, w.leaseEnd, w.runs, w.closed = time.Now(), 0, time.Time{}, map[string]*run{}, map[string]int64{}
	w.ends, w.lastEnd, w.sequence, w.changed, w.up, w.dropped, w.machine.inUpkeep = nil, 0, 0, make(chan struct{}), true, false, false
	id := w.id
	mux := http.NewServeMux()
	for path, f := range map[string]func(*Worker, *order, time.Time) (int, map[string]any){
		"/v1/run-start": (*Worker).start, "/v1/run-stop": (*Worker).stop, "/v1/hold": (*Worker).hold, "/v1/pace": (*Worker).pace,
	} {
		mux.HandleFunc("POST "+path, func(rw http.ResponseWriter, r *http.Request) { w.serve(rw, r, id, f) })
	}
	w.server = &http.Server{Handler: mux}
	go w.server.Serve(l) //nolint:errcheck // it returns an error once the server is closed
	w.pool.record.Add("worker %s is up as %s at %s", w.name, w.id, w.address)
	w.checkIn()
}

func (w *Worker) clock(now time.Time) int64 { return now.Sub(w.born).Milliseconds() }

// checkIn writes what the worker reports of itself to the store.
func (w *Worker) checkIn() {
	w.sequence++
	w.silentFrom = time.Now()
	w.pool.store.Put("keyed.servers", w.id, map[string]any{
		"service": w.pool.service, "address": w.address, "zone": w.zone, "version": "1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "sequence": w.sequence, "born": w.born.UnixMilli(),
		"capacity": w.capacity, "labels": []string{"a", w.rack},
	})
}

// ForeignEntry writes an entry under the id of a worker, as another writer may: it has the address of another worker, and
// lacks zone, version, slots, cold_remaining_ms, sequence, born and labels.
func (p *Pool) ForeignEntry(w, other *Worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record.Add("another writer writes servers/%s with the address of %s (%s) and without most fields", w.id, other.id, other.address)
	p.store.Put("keyed.servers", w.id, map[string]any{"service": p.service, "address": other.address, "state": "ready", "capacity": w.capacity})
}

// Crash ends the lifetime of a worker without notice, and starts another one after a time.
func (p *Pool) Crash(w *Worker, down time.Duration) {
	p.mu.Lock()
	if !w.up {
		p.mu.Unlock()
		return
	}
	p.record.Add("worker %s (%s) crashes for %v; it runs %v", w.name, w.id, down, slices.Sorted(maps.Keys(w.runs)))
	for task, r := range w.runs {
		p.ended(w, task, r.number)
	}
	w.up, w.runs = false, map[string]*run{}
	close(w.changed)
	server := w.server
	p.mu.Unlock()
	server.Close()
	time.AfterFunc(down, func() {
		l, err := net.Listen("tcp", w.address)
		if err != nil {
			p.record.Add("worker %s does not come back: %v", w.name, err)
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		if !w.dropped {
			p.store.Put("keyed.servers", w.id, nil)
		}
		w.boot(l)
	})
}

// Find returns the worker that runs a work unit, or nil.
func (p *Pool) Find(task string) *Worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	for w := range p.running[task] {
		return w
	}
	return nil
}

// FailedRuns returns how many runs of a job have ended failed. The members of a gang share the number of the run.
func (p *Pool) FailedRuns(job string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.failed[job])
}

// Workers returns the workers.
func (p *Pool) Workers() []*Worker { return p.workers }

// Stats returns the number of runs under way and of work units that are done.
func (p *Pool) Stats() (running, done int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.workers {
		running += len(w.runs)
	}
	return running, len(p.done)
}

// FirstEnd returns when the first of the runs under way ends.
func (p *Pool) FirstEnd() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	var first time.Time
	for _, w := range p.workers {
		for _, r := range w.runs {
			if at := r.startedAt.Add(r.work); first.IsZero() || at.Before(first) {
				first = at
			}
		}
	}
	return first
}

// advance ends runs that are due and writes check-ins.
func (p *Pool) advance() {
	for range time.Tick(5 * time.Millisecond) {
		now := time.Now()
		p.mu.Lock()
		for _, w := range p.workers {
			w.advance(now)
		}
		p.mu.Unlock()
	}
}

func (w *Worker) advance(now time.Time) {
	if !w.up {
		if !w.dropped && now.Sub(w.silentFrom) > expiryBeats*beat {
			w.dropped = true
			w.pool.store.Put("keyed.servers", w.id, nil)
		}
		return
	}
	lapsed := now.After(w.leaseEnd)
	for i := range w.ends {
		w.ends[i].leaseLost = w.ends[i].leaseLost || lapsed
	}
	for _, task := range slices.Sorted(maps.Keys(w.runs)) {
		r := w.runs[task]
		switch {
		case r == nil:
			// It has ended together with another member of its gang.
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			w.finish(task, r, "stopped", now)
		case lapsed:
			w.finish(task, r, "lapsed", now)
		case r.fails:
			w.finish(task, r, "failed", now)
		case r.worksFrom.IsZero():
			w.pool.join(task, r, now)
			if r.worksFrom.IsZero() && now.Sub(r.startedAt) > gangTimeout {
				w.finish(task, r, "alone", now)
			}
		case r.work > 0 && now.Sub(r.worksFrom) >= r.work:
			w.finish(task, r, "done", now)
		}
	}
	if now.Sub(w.silentFrom) >= beat {
		w.checkIn()
	}
}

func (w *Worker) finish(task string, r *run, how string, now time.Time) {
	delete(w.runs, task)
	w.lastEnd++
	w.closed[task] = max(w.closed[task], r.number)
	w.ends = append(w.ends, end{w.lastEnd, task, r.number, how, now, false})
	w.pool.ended(w, task, r.number)
	if how == "done" && w.pool.done[task] == 0 {
		w.pool.done[task] = r.number
	}
	if job := task[:strings.IndexByte(task, '.')]; how == "failed" {
		if w.pool.failed[job] == nil {
			w.pool.failed[job] = map[int64]bool{}
		}
		w.pool.failed[job][r.number] = true
	}
	w.pool.record.Add("%s: run %d of %s ends: %s (end %d)", w.id, r.number, task, how, w.lastEnd)
	close(w.changed)
	w.changed = make(chan struct{})
	if p := w.pool; p.GangSize > 0 && !r.worksFrom.IsZero() {
		together := "broken"
		if how == "done" {
			together = "done"
		}
		p.members(task, r.number, func(w *Worker, task string, r *run) { w.finish(task, r, together, now) })
	}
}

// members calls a function with the runs of a gang that are under way.
func (p *Pool) members(task string, number int64, f func(w *Worker, task string, r *run)) {
	step := task[:strings.LastIndexByte(task, '.')]
	for _, w := range p.workers {
		for other, r := range w.runs {
			if r.number == number && other[:strings.LastIndexByte(other, '.')] == step {
				f(w, other, r)
			}
		}
	}
}

// join has the members of a gang work once all of them are there.
func (p *Pool) join(task string, r *run, now time.Time) {
	count := 0
	p.members(task, r.number, func(*Worker, string, *run) { count++ })
	if count == p.GangSize {
		p.members(task, r.number, func(_ *Worker, _ string, r *run) { r.worksFrom = now })
	}
}

// Grey has a worker fail all that it starts, for a time.
func (p *Pool) Grey(w *Worker, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record.Add("worker %s (%s) fails all that it starts, for %v", w.name, w.id, d)
	w.greyUntil = time.Now().Add(d)
}

func (p *Pool) ended(w *Worker, task string, number int64) {
	if p.running[task][w] == number {
		delete(p.running[task], w)
	}
}

// order is the body of a call to a worker.
type order struct {
	Task          string `json:"task"`
	Run           int64  `json:"run"`
	Specification string `json:"specification"`
	Deadline      int64  `json:"deadline_ms"`
	Token         int64  `json:"fencing_token"`
	LastSeen      int64  `json:"last_seen"`
	Wait          int64  `json:"wait_ms"`
}

func (w *Worker) serve(rw http.ResponseWriter, r *http.Request, id string, f func(*Worker, *order, time.Time) (int, map[string]any)) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		reply(rw, http.StatusBadRequest, map[string]any{})
		return
	}
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != id {
		reply(rw, http.StatusMisdirectedRequest, map[string]any{})
		return
	}
	timeout := time.After(time.Duration(o.Wait) * time.Millisecond)
	for waits := o.Wait > 0; ; {
		w.pool.mu.Lock()
		if !w.up || w.id != id {
			w.pool.mu.Unlock()
			return
		}
		changed := w.changed
		status, body := f(w, &o, time.Now())
		hasEnds := len(w.ends) > 0
		w.pool.mu.Unlock()
		if !waits || hasEnds || status != http.StatusOK {
			reply(rw, status, body)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waits = false
		case <-r.Context().Done():
			return
		}
	}
}

// admit refuses a lower fence number, and extends the lease otherwise.
func (w *Worker) admit(o *order, now time.Time) bool {
	if o.Token < w.token {
		return false
	}
	w.token = o.Token
	w.extend(o, now)
	return true
}

func (w *Worker) extend(o *order, now time.Time) {
	if o.Deadline <= 0 {
		return
	}
	until := w.born.Add(time.Duration(o.Deadline) * time.Millisecond)
	if latest := now.Add(maxHold); until.After(latest) {
		until = latest
	}
	if until.After(w.leaseEnd) {
		w.leaseEnd = until
	}
}

func (w *Worker) used() Size {
	var out Size
	for task := range w.runs {
		need := w.pool.need(task)
		out.CPU, out.Memory = out.CPU+need.CPU, out.Memory+need.Memory
	}
	return out
}

func (w *Worker) start(o *order, now time.Time) (int, map[string]any) {
	refuse := func(reason string) (int, map[string]any) {
		w.pool.record.Add("%s: start of %s run %d refused: %s", w.id, o.Task, o.Run, reason)
		return http.StatusConflict, map[string]any{"clock_ms": w.clock(now), "reason": reason}
	}
	if o.Token < w.token {
		return refuse("fence")
	}
	if o.Deadline < w.clock(now) {
		return refuse("late")
	}
	w.admit(o, now)
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		return http.StatusOK, map[string]any{"clock_ms": w.clock(now)}
	}
	if o.Run <= w.closed[o.Task] {
		return refuse("old")
	}
	need, used := w.pool.need(o.Task), w.used()
	if w.runs[o.Task] != nil || used.CPU+need.CPU > w.capacity.CPU || used.Memory+need.Memory > w.capacity.Memory {
		return refuse("room")
	}
	started := &run{number: o.Run, work: workOf(o.Specification, o.Task), startedAt: now, fails: now.Before(w.greyUntil)}
	if w.pool.GangSize == 0 {
		started.worksFrom = now
	}
	w.runs[o.Task] = started
	w.pool.started(w, o)
	return http.StatusOK, map[string]any{"clock_ms": w.clock(now)}
}

// started notes a start and checks the rule TWICE, as far as workers that are up can see it.
func (p *Pool) started(w *Worker, o *order) {
	p.record.Add("%s: run %d of %s starts, fence number %d", w.id, o.Run, o.Task, o.Token)
	for other, number := range p.running[o.Task] {
		p.record.Break("TWICE: run %d of %s starts on %s while run %d runs on %s", o.Run, o.Task, w.id, number, other.id)
	}
	if p.running[o.Task] == nil {
		p.running[o.Task] = map[*Worker]int64{}
	}
	p.running[o.Task][w] = o.Run
	if number := p.done[o.Task]; number != 0 {
		p.record.Add("run %d of %s starts after run %d has ended done", o.Run, o.Task, number)
		p.again[o.Task] = o.Run
	}
}

func (w *Worker) stop(o *order, now time.Time) (int, map[string]any) {
	if !w.admit(o, now) {
		return http.StatusConflict, map[string]any{"clock_ms": w.clock(now), "reason": "fence"}
	}
	w.pool.record.Add("%s: stop of %s run %d", w.id, o.Task, o.Run)
	w.closed[o.Task] = max(w.closed[o.Task], o.Run)
	if r := w.runs[o.Task]; r != nil && r.number <= o.Run && r.stopAt.IsZero() {
		r.stopAt = now.Add(stopTime)
	}
	return http.StatusOK, map[string]any{"clock_ms": w.clock(now)}
}

func (w *Worker) pace(o *order, now time.Time) (int, map[string]any) {
	if !w.admit(o, now) {
		return http.StatusConflict, map[string]any{"clock_ms": w.clock(now), "reason": "fence"}
	}
	return http.StatusOK, map[string]any{"clock_ms": w.clock(now)}
}

func (w *Worker) hold(o *order, now time.Time) (int, map[string]any) {
	if !w.admit(o, now) {
		return http.StatusConflict, map[string]any{"clock_ms": w.clock(now), "reason": "fence"}
	}
	for len(w.ends) > 0 && w.ends[0].number <= o.LastSeen {
		w.pool.takeNote(w, w.ends[0])
		w.ends = w.ends[1:]
	}
	running, finished := [][]any{}, [][]any{}
	for _, task := range slices.Sorted(maps.Keys(w.runs)) {
		r := w.runs[task]
		percent := 100
		switch {
		case r.worksFrom.IsZero():
			percent = 0
		case r.work > 0:
			percent = int(100 * now.Sub(r.worksFrom) / r.work)
		}
		running = append(running, []any{task, r.number, "", min(percent, 100), 0})
	}
	for _, e := range w.ends[:min(len(w.ends), endsPerAnswer)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	return http.StatusOK, map[string]any{"clock_ms": w.clock(now), "born": w.born.UnixMilli(), "running": running, "finished": finished}
}

// takeNote notes that last_seen has reached an end. An end done is one after which the work unit must not have started again.
func (p *Pool) takeNote(w *Worker, e end) {
	if e.how != "done" {
		return
	}
	p.record.Add("%s: end %d (run %d of %s, done) is taken note of", w.id, e.number, e.run, e.task)
	if again := p.again[e.task]; again != 0 && p.done[e.task] == e.run && !e.leaseLost && !p.broken[e.task] {
		p.broken[e.task] = true
		p.record.Break("TWICE: run %d of %s started after run %d had ended done, an end that is taken note of now", again, e.task, e.run)
	}
}

// Summary writes how many work units are done and how many were started again after that.
func (p *Pool) Summary() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.record.Add("%d work units done, %d of them started again after that", len(p.done), len(p.again))
}

// workOf returns how long a work unit works: the number of milliseconds for its step in a specification such as
// "work 500 800".
func workOf(specification, task string) time.Duration {
	fields := strings.Fields(specification)
	parts := strings.Split(task, ".")
	if len(fields) < 2 || len(parts) != 4 {
		return 0
	}
	step, _ := strconv.Atoi(parts[2])
	ms, _ := strconv.Atoi(fields[1+min(step, len(fields)-2)])
	return time.Duration(ms) * time.Millisecond
}
