package fake

import "time"

// EventKind is what has happened on a host.
type EventKind string

// The kinds of events.
const (
	// HostBooted and HostGone are the begin and the end of an incarnation of a machine. All runs of a host
	// end with it.
	HostBooted EventKind = "host-booted"
	HostGone   EventKind = "host-gone"
	// RunStarted and RunEnded are the begin and the end of a run. RunAcknowledged means that an entry has
	// taken note of an end.
	RunStarted      EventKind = "run-started"
	RunEnded        EventKind = "run-ended"
	RunAcknowledged EventKind = "run-acknowledged"
	// MaintenanceBegun and MaintenanceEnded are the begin and the end of a machine's maintenance in a wave.
	MaintenanceBegun EventKind = "maintenance-begun"
	MaintenanceEnded EventKind = "maintenance-ended"
)

// Event is an event on a host.
type Event struct {
	At         time.Time
	Kind       EventKind
	Host, Pool string
	// Task and Run are set for runs, and Specification for starts.
	Task          string
	Run           int64
	Specification string
	// Small is set for runs of tasks that take little room, see [SmallPerTask].
	Small bool
	// Result is how a run has ended.
	Result string
	// LeaseExpired is set if the host's lease expired between the end of a run and its acknowledgement.
	LeaseExpired bool
	// Machine and Wave are set for maintenance, which has no host.
	Machine string
	Wave    int64
}

const (
	// MaxAttempts is the number of failures after which a task is not started again.
	MaxAttempts = maxAttempts
	// GracePeriod is the time between SIGTERM and SIGKILL, StopTime the longest time that a host takes to
	// stop a run, and StatusTime how long the state of a job that has ended stays known.
	GracePeriod = 6 * time.Second
	StopTime    = 900 * time.Millisecond
	StatusTime  = 120 * time.Second
	// TenantConfigTime and RevocationTime are config_apply_ms and revocation_ms of the settings with [Layout.FailClosed].
	TenantConfigTime = 3 * time.Second
	RevocationTime   = 5 * time.Second
)

// SmallPerTask is the number of small tasks that take the cores of one other task. Hosts have memory for more.
const SmallPerTask = taskCores / smallCores

// TasksPerHost returns the number of tasks, other than small ones, that a host has room for.
func TasksPerHost() int {
	return min(machineCapacity.Cores/taskCores, machineCapacity.MemoryMB/taskMemory)
}

// notify passes an event on a host to the observer.
func (s *state) notify(h *host, e Event) {
	e.At, e.Host, e.Pool = time.Now(), h.id, h.pool
	s.observe(e)
}

// notifyMaintenance passes an event of a machine's maintenance to the observer.
func (s *state) notifyMaintenance(m *machine, k EventKind) {
	s.observe(Event{At: time.Now(), Kind: k, Pool: m.pool, Machine: m.id, Wave: m.lastWave})
}

// rerun starts a task that is done once more, if the layout asks for this fault.
func (s *state) rerun(h *host, e *finishedRun, now time.Time) {
	if j := s.checker.jobs[jobOf(e.task)]; s.rerunDone && e.result == "done" && j != nil && h.running[e.task] == nil {
		h.running[e.task] = &run{number: e.run + 1, specification: j.Specification, need: s.checker.needOf(e.task), startedAt: now}
		s.notify(h, Event{Kind: RunStarted, Task: e.task, Run: e.run + 1, Specification: j.Specification})
	}
}
