// Package hostd is a stand-in for the platform's host service: the lagging list of
// machines, reboots, and tasks under leases.
package hostd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"carawaymux.dev/fleet/host"
	"carawaymux.dev/fleet/plat"
	"carawaymux.dev/fleet/task"
	"carawaymux.dev/trial/faulty"
)

// Machine is a machine that the stand-in knows.
type Machine struct {
	Name string `json:"name"`
	// Control is the address of the target's control calls; empty for machines
	// without a target.
	Control string `json:"control,omitempty"`
}

// Stats is what the stand-in has seen.
type Stats struct {
	// Reboots counts the reboots of each machine.
	Reboots map[string]int `json:"reboots"`
	// Starts counts the starts of each task; Doubled names tasks that were
	// started while they ran elsewhere.
	Starts          map[string]int `json:"starts"`
	DuplicateStarts []string       `json:"doubled"`
}

// Service is the stand-in. Use [New] to build it.
type Service struct {
	machines []Machine
	lag      time.Duration
	reboot   time.Duration
	task     *task.Task[message]
	faults   *faulty.Injector
}

// Option changes how a service is built.
type Option func(*Service)

// WithLag sets how far the list and the usage report lag behind.
func WithLag(d time.Duration) Option { return func(s *Service) { s.lag = d } }

// WithRebootDuration sets how long a reboot takes.
func WithRebootDuration(d time.Duration) Option { return func(s *Service) { s.reboot = d } }

// New starts a service that knows some machines, all of them live.
func New(machines []Machine, opts ...Option) *Service {
	s := &Service{machines: machines, faults: faulty.New()}
	for _, opt := range opts {
		opt(s)
	}
	s.task = task.Start(s.run)
	return s
}

// Close stops the service.
func (s *Service) Close() {
	s.task.Close()
	s.faults.Close()
}

type message interface{ handle(st *state) }

type (
	list   struct{ reply chan<- plat.MachineList }
	usage  struct{ reply chan<- plat.UsageReport }
	fenced struct {
		verb, name string
		fence      uint64
		reply      chan<- error
	}
	set struct {
		name  string
		state plat.MachineState
		reply chan<- error
	}
	start struct {
		host, job string
		task      int
		what      plat.TaskStart
		reply     chan<- error
	}
	stop struct {
		host, job string
		task      int
		fence     uint64
		reply     chan<- error
	}
	// scale sets how much more tasks of a job use than they declare.
	scale struct {
		job    string
		factor float64
		reply  chan<- error
	}
	stats struct{ reply chan<- Stats }
)

// machine is the true state of a machine.
type machine struct {
	plat.Machine
	control string
	// fence is the highest one seen; rebootEnds is set while it reboots.
	fence      uint64
	rebootEnds time.Time
}

// running is a task on a machine.
type running struct {
	plat.TaskUsage
	expires time.Time
	ends    time.Time
}

// seen is what the list and the report showed at a time.
type seen struct {
	at      time.Time
	listing plat.MachineList
	report  plat.UsageReport
}

// state is the state of the task.
type state struct {
	s        *Service
	machines map[string]*machine
	tasks    map[string]*running
	// fences holds the highest fence of each task.
	fences  map[string]uint64
	factors map[string]float64
	// history holds what is to be shown once the lag has passed, oldest first.
	history []seen
	stats   Stats
}

const tickEvery = 20 * time.Millisecond

func (s *Service) run(ctx context.Context, inbox <-chan message) {
	st := &state{
		s: s, machines: make(map[string]*machine), tasks: make(map[string]*running),
		fences: make(map[string]uint64), factors: make(map[string]float64),
		stats: Stats{Reboots: make(map[string]int), Starts: make(map[string]int), DuplicateStarts: []string{}},
	}
	for _, m := range s.machines {
		st.machines[m.Name] = &machine{Machine: plat.Machine{Name: m.Name, State: plat.MachineLive}, control: m.Control}
	}
	st.history = []seen{st.now(time.Now())}
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-inbox:
			m.handle(st)
		case now := <-tick.C:
			st.tick(now)
		}
	}
}

// tick ends reboots, leases and tasks, and moves what is shown along.
func (st *state) tick(now time.Time) {
	for _, m := range st.machines {
		if !m.rebootEnds.IsZero() && now.After(m.rebootEnds) {
			m.rebootEnds = time.Time{}
			m.State, m.BootFence = plat.MachineLive, m.fence
		}
	}
	for key, t := range st.tasks {
		m := st.machines[t.Host]
		switch {
		case t.State != plat.TaskRunning:
		case m == nil || m.State == plat.MachineDown || m.State == plat.MachineGone || now.After(t.expires):
			delete(st.tasks, key)
		case !t.ends.IsZero() && now.After(t.ends):
			t.State = plat.TaskFinished
		}
	}
	st.history = append(st.history, st.now(now))
	for len(st.history) > 1 && now.Sub(st.history[1].at) >= st.s.lag {
		st.history = st.history[1:]
	}
}

// now is what a list without lag would show.
func (st *state) now(at time.Time) seen {
	out := seen{at: at, listing: plat.MachineList{Machines: []plat.Machine{}}, report: plat.UsageReport{Tasks: []plat.TaskUsage{}}}
	for _, m := range st.machines {
		out.listing.Machines = append(out.listing.Machines, m.Machine)
	}
	slices.SortFunc(out.listing.Machines, func(a, b plat.Machine) int { return strings.Compare(a.Name, b.Name) })
	for _, t := range st.tasks {
		out.report.Tasks = append(out.report.Tasks, t.TaskUsage)
	}
	return out
}

func (m list) handle(st *state) { m.reply <- st.history[0].listing }

func (m usage) handle(st *state) { m.reply <- st.history[0].report }

func (m fenced) handle(st *state) {
	one := st.machines[m.name]
	switch {
	case one == nil:
		m.reply <- fmt.Errorf("no machine %q", m.name)
	case m.fence < one.fence:
		m.reply <- fmt.Errorf("fence %d is stale, %d was seen", m.fence, one.fence)
	case m.verb == "drain" || m.fence == one.fence:
		m.reply <- nil
	default:
		one.fence, one.State = m.fence, plat.MachineDown
		one.rebootEnds = time.Now().Add(st.s.reboot)
		st.stats.Reboots[m.name]++
		if one.control != "" {
			go turnOff(one.control, st.s.reboot)
		}
		m.reply <- nil
	}
}

// turnOff makes a target refuse connections for a time.
func turnOff(control string, d time.Duration) {
	body, err := json.Marshal(map[string]int64{"down-ms": max(1, d.Milliseconds())})
	if err != nil {
		return
	}
	resp, err := http.Post("http://"+control+"/behaviour", "application/json", bytes.NewReader(body))
	if err == nil {
		resp.Body.Close()
	}
}

func (m set) handle(st *state) {
	one := st.machines[m.name]
	if one == nil {
		one = &machine{Machine: plat.Machine{Name: m.name}}
		st.machines[m.name] = one
	}
	one.State = m.state
	m.reply <- nil
}

func taskKey(job string, task int) string { return job + "/" + strconv.Itoa(task) }

func (m start) handle(st *state) {
	key := taskKey(m.job, m.task)
	if m.what.Fence < st.fences[key] {
		m.reply <- fmt.Errorf("fence %d is stale, %d was seen", m.what.Fence, st.fences[key])
		return
	}
	st.fences[key] = m.what.Fence
	now := time.Now()
	expires := now.Add(time.Duration(m.what.TermMS) * time.Millisecond)
	old := st.tasks[key]
	if old != nil && old.Fence == m.what.Fence {
		old.expires = expires
		m.reply <- nil
		return
	}
	if old != nil && old.State == plat.TaskRunning {
		st.stats.DuplicateStarts = append(st.stats.DuplicateStarts, key)
	}
	st.stats.Starts[key]++
	t := &running{expires: expires, TaskUsage: plat.TaskUsage{
		Job: m.job, Task: m.task, Host: m.host, Fence: m.what.Fence, State: plat.TaskRunning,
		Used: st.used(m.job, m.what.Size),
	}}
	if m.what.RunSeconds > 0 {
		t.ends = now.Add(time.Duration(m.what.RunSeconds) * time.Second)
	}
	st.tasks[key] = t
	m.reply <- nil
}

func (st *state) used(job string, declared host.Resources) host.Resources {
	factor, set := st.factors[job]
	if !set {
		return declared
	}
	declared.MemoryMiB = int64(float64(declared.MemoryMiB) * factor)
	return declared
}

func (m stop) handle(st *state) {
	key := taskKey(m.job, m.task)
	if m.fence < st.fences[key] {
		m.reply <- fmt.Errorf("fence %d is stale, %d was seen", m.fence, st.fences[key])
		return
	}
	st.fences[key] = m.fence
	if t := st.tasks[key]; t != nil && t.Host == m.host {
		delete(st.tasks, key)
	}
	m.reply <- nil
}

func (m scale) handle(st *state) {
	st.factors[m.job] = m.factor
	for _, t := range st.tasks {
		if t.Job == m.job {
			t.Used.MemoryMiB = int64(float64(t.Used.MemoryMiB) * m.factor)
		}
	}
	m.reply <- nil
}

func (m stats) handle(st *state) {
	raw, err := json.Marshal(st.stats)
	var out Stats
	if err == nil {
		err = json.Unmarshal(raw, &out)
	}
	if err != nil {
		out = Stats{}
	}
	m.reply <- out
}
