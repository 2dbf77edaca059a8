// Package hostd simulates the platform's host service: a list of machines and a usage report that
// lag behind, reboots of machines, and tasks under leases.
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

// Machine is a machine of the simulated service.
type Machine struct {
	Name string `json:"name"`
	// Control is the address where the machine's target serves control calls; empty if the
	// machine has no target.
	Control string `json:"control,omitempty"`
}

// Stats counts the calls that the service has executed.
type Stats struct {
	// Reboots counts the reboots of each machine.
	Reboots map[string]int `json:"reboots"`
	// Starts counts the starts of each task. DuplicateStarts names the tasks that were started
	// while an earlier start was still running.
	Starts          map[string]int `json:"starts"`
	DuplicateStarts []string       `json:"doubled"`
	// Outages holds the times in which machines were down for a reboot.
	Outages []Outage `json:"outages"`
}

// Outage is a time in which a machine was down for a reboot.
type Outage struct {
	Machine string    `json:"machine"`
	From    time.Time `json:"from"`
	To      time.Time `json:"to"`
}

// Service is the simulated service. Use [New] to build it.
type Service struct {
	machines       []Machine
	listLag        time.Duration
	rebootDuration time.Duration
	task           *task.Task[message]
	faults         *faulty.Injector
}

// Option changes how a service is built.
type Option func(*Service)

// WithLag sets the time by which the list and the usage report lag behind.
func WithLag(d time.Duration) Option { return func(s *Service) { s.listLag = d } }

// WithRebootDuration sets how long a reboot takes.
func WithRebootDuration(d time.Duration) Option { return func(s *Service) { s.rebootDuration = d } }

// New starts a service with the given machines, all of them live.
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
	list  struct{ reply chan<- plat.MachineList }
	usage struct{ reply chan<- plat.UsageReport }
	// fencedCall drains or reboots a machine.
	fencedCall struct {
		verb, name string
		fence      uint64
		reply      chan<- error
	}
	setState struct {
		name  string
		state plat.MachineState
		reply chan<- error
	}
	start struct {
		host, job string
		task      int
		spec      plat.TaskStart
		reply     chan<- error
	}
	stop struct {
		host, job string
		task      int
		fence     uint64
		reply     chan<- error
	}
	// scale sets the ratio between the memory that tasks of a job use and what they declare.
	scale struct {
		job    string
		factor float64
		reply  chan<- error
	}
	stats struct{ reply chan<- Stats }
)

// machine is the current state of a machine, which the list shows after the lag.
type machine struct {
	plat.Machine
	control string
	// fence is the highest one received; rebootEnds is set while the machine reboots.
	fence      uint64
	rebootEnds time.Time
}

// runningTask is a task on a machine.
type runningTask struct {
	plat.TaskUsage
	leaseEnd time.Time
	finishAt time.Time
}

// snapshot is the list of machines and the usage report as of a time.
type snapshot struct {
	at    time.Time
	list  plat.MachineList
	usage plat.UsageReport
}

// state is the state that the service's task owns.
type state struct {
	service  *Service
	machines map[string]*machine
	tasks    map[string]*runningTask
	// fences holds the highest fence received for each task. factors holds the ratio between used
	// and declared memory by job.
	fences  map[string]uint64
	factors map[string]float64
	// history holds the snapshots of the lag, oldest first. Calls are answered from the first.
	history []snapshot
	stats   Stats
}

const tickInterval = 20 * time.Millisecond

func (s *Service) run(ctx context.Context, inbox <-chan message) {
	st := &state{
		service: s, machines: make(map[string]*machine), tasks: make(map[string]*runningTask),
		fences: make(map[string]uint64), factors: make(map[string]float64),
		stats: Stats{Reboots: make(map[string]int), Starts: make(map[string]int), DuplicateStarts: []string{}, Outages: []Outage{}},
	}
	for _, m := range s.machines {
		st.machines[m.Name] = &machine{Machine: plat.Machine{Name: m.Name, State: plat.MachineLive}, control: m.Control}
	}
	st.history = []snapshot{st.snapshot(time.Now())}
	tick := time.NewTicker(tickInterval)
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

// tick ends reboots, leases and tasks that are due, records a snapshot, and drops those older than
// the lag.
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
		case m == nil || m.State == plat.MachineDown || m.State == plat.MachineGone || now.After(t.leaseEnd):
			delete(st.tasks, key)
		case !t.finishAt.IsZero() && now.After(t.finishAt):
			t.State = plat.TaskFinished
		}
	}
	st.history = append(st.history, st.snapshot(now))
	for len(st.history) > 1 && now.Sub(st.history[1].at) >= st.service.listLag {
		st.history = st.history[1:]
	}
}

// snapshot returns the current list and report.
func (st *state) snapshot(at time.Time) snapshot {
	out := snapshot{at: at, list: plat.MachineList{Machines: []plat.Machine{}}, usage: plat.UsageReport{Tasks: []plat.TaskUsage{}}}
	for _, m := range st.machines {
		out.list.Machines = append(out.list.Machines, m.Machine)
	}
	slices.SortFunc(out.list.Machines, func(a, b plat.Machine) int { return strings.Compare(a.Name, b.Name) })
	for _, t := range st.tasks {
		out.usage.Tasks = append(out.usage.Tasks, t.TaskUsage)
	}
	return out
}

func (m list) handle(st *state) { m.reply <- st.history[0].list }

func (m usage) handle(st *state) { m.reply <- st.history[0].usage }

func (m fencedCall) handle(st *state) {
	known := st.machines[m.name]
	switch {
	case known == nil:
		m.reply <- fmt.Errorf("no machine %q", m.name)
	case m.fence < known.fence:
		m.reply <- fmt.Errorf("fence %d is stale, %d was seen", m.fence, known.fence)
	case m.verb == "drain" || m.fence == known.fence:
		m.reply <- nil
	default:
		known.fence, known.State = m.fence, plat.MachineDown
		now := time.Now()
		known.rebootEnds = now.Add(st.service.rebootDuration)
		st.stats.Reboots[m.name]++
		st.stats.Outages = append(st.stats.Outages, Outage{m.name, now, known.rebootEnds})
		if known.control != "" {
			go disconnectTarget(known.control, st.service.rebootDuration)
		}
		m.reply <- nil
	}
}

// disconnectTarget makes a target refuse connections for the duration d, as a reboot does.
func disconnectTarget(control string, d time.Duration) {
	body, err := json.Marshal(map[string]int64{"down-ms": max(1, d.Milliseconds())})
	if err != nil {
		return
	}
	resp, err := http.Post("http://"+control+"/behaviour", "application/json", bytes.NewReader(body))
	if err == nil {
		resp.Body.Close()
	}
}

func (m setState) handle(st *state) {
	known := st.machines[m.name]
	if known == nil {
		known = &machine{Machine: plat.Machine{Name: m.name}}
		st.machines[m.name] = known
	}
	known.State = m.state
	m.reply <- nil
}

func taskKey(job string, task int) string { return job + "/" + strconv.Itoa(task) }

func (m start) handle(st *state) {
	key := taskKey(m.job, m.task)
	if m.spec.Fence < st.fences[key] {
		m.reply <- fmt.Errorf("fence %d is stale, %d was seen", m.spec.Fence, st.fences[key])
		return
	}
	st.fences[key] = m.spec.Fence
	now := time.Now()
	leaseEnd := now.Add(time.Duration(m.spec.TermMS) * time.Millisecond)
	previous := st.tasks[key]
	if previous != nil && previous.Fence == m.spec.Fence {
		previous.leaseEnd = leaseEnd
		m.reply <- nil
		return
	}
	if previous != nil && previous.State == plat.TaskRunning {
		st.stats.DuplicateStarts = append(st.stats.DuplicateStarts, key)
	}
	st.stats.Starts[key]++
	t := &runningTask{leaseEnd: leaseEnd, TaskUsage: plat.TaskUsage{
		Job: m.job, Task: m.task, Host: m.host, Fence: m.spec.Fence, State: plat.TaskRunning,
		Used: st.scaledUsage(m.job, m.spec.Size),
	}}
	if m.spec.RunSeconds > 0 {
		t.finishAt = now.Add(time.Duration(m.spec.RunSeconds) * time.Second)
	}
	st.tasks[key] = t
	m.reply <- nil
}

// scaledUsage returns the resources that a task of a job uses, given those that it declares.
func (st *state) scaledUsage(job string, declared host.Resources) host.Resources {
	factor, found := st.factors[job]
	if !found {
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
